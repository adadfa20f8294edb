/* Whether another entry node can be reached, judged from all that it does for this node's
 * sessions together.
 *
 * Pattern: a partition between entry nodes. Each relayed session across it has a connection of
 * its own; by itself it learns after seconds that nothing is acknowledged, and each of its
 * caller's questions is lost meanwhile. Traffic of all sessions tells at once that the node
 * answers; where it tells nothing, a message that any process answers at once is sent as a
 * test. Only a node that answers neither is out of reach: one at work on long statements is
 * not, one that is frozen is.
 *
 * Pure; zero-initialised is a node of which nothing is known, which is taken for reachable. */
#ifndef FL_PROXY_REACH_H
#define FL_PROXY_REACH_H

#include <stdbool.h>
#include <stdint.h>

struct px_reach {
    int64_t unheard_since; /* questions are open since, and nothing came; 0: not so */
    int64_t first_test_at; /* since it was heard */
    int64_t tested_at;     /* the last test began */
    int tests;             /* begun since it was heard */
    bool lost;
};

enum px_reach_step {
    PX_REACH_WAIT,
    PX_REACH_TEST, /* begin a test; px_reach_heard if it is answered */
    PX_REACH_LOST, /* it is out of reach from now on: what is open there is lost */
};

void px_reach_heard(struct px_reach *r);
/* To be called regularly; `open`: how many questions wait for an answer from there. */
enum px_reach_step px_reach_tick(struct px_reach *r, int open, int64_t now);

#endif
