/* A few agreement cores with messages, disks and a clock of their own: random schedules of
 * delays, losses, repeats, crashes and partitions, and the safety checks. Drives the pure
 * module; no process, no socket. */
#ifndef FL_TESTS_CLUSTER_SIM_H
#define FL_TESTS_CLUSTER_SIM_H

#include "quorum/quorum.h"

enum { CS_NODES = 5 };

struct cs_options {
    uint64_t seed;
    int voters; /* 3..5; the others may join */
    int steps;
    bool members; /* change members during the schedule */
    bool commit_old_terms, no_vote_check, ack_before_sync, forget_vote;
    bool no_quiet;
    bool forget_vote_no_quiet; /* both: each hides what the other's absence does */
    bool herd;                 /* now and then most or all nodes start anew together */
    bool some_fresh;
    bool trace; /* print the schedule */
};

struct cs_result {
    bool ok;
    char what[160]; /* which promise broke */
    int step;
    uint64_t committed, elections, crashes, snapshots;
};

struct cs_result cs_explore(const struct cs_options *o);

#endif
