/* What this node believes of another entry node, by what passes between them.
 *
 * Pattern: a node that relays sessions sends its callers' questions to one that is frozen or
 * behind a cut. The kernel there takes bytes for seconds, and the list of nodes names it until
 * its lease is over, so that each caller learned of it by its own deadline.
 *
 * A question without an answer alone says little: the instance may be slow. So a node that
 * is silent is asked for a greeting, which needs nothing but its process (a trial). Without one
 * it is silent: nobody is sent there, and trials go on in growing pauses until one is answered.
 *
 * Pure: the time comes in; who carries trials out tells what came of them. */
#ifndef FL_PROXY_NEIGHBOR_H
#define FL_PROXY_NEIGHBOR_H

#include <stdbool.h>
#include <stdint.h>

enum nb_state {
    NB_GOOD,    /* or nothing is known */
    NB_DOUBTED, /* a trial is due, or out */
    NB_SILENT,  /* it did not answer a trial, and none since */
};

/* In the order in which they are asked. */
enum nb_rank { NB_FIRST, NB_SECOND, NB_LAST, NB_NEVER };

struct nb_neighbor {
    enum nb_state state;
    int64_t last_received; /* last sign of life */
    int64_t refuses_until; /* it said no to a session: others are asked first until then */
    bool trial_pending;    /* a trial is out since tried_at */
    int64_t trial_began_at, next_trial_at;
    int64_t trial_pause_us; /* between two trials while it is silent */
    int64_t silent_since;   /* it is silent since then */
    int64_t recovered_at;   /* it was silent until then; 0: never */
};

/* It said something on a relayed session. */
void nb_received(struct nb_neighbor *n, int64_t now);
/* Something that was sent to it then has no answer in what had come by `heard`. */
void nb_unanswered(struct nb_neighbor *n, int64_t since, int64_t heard);
/* A greeting did not come, or a connection was reset or refused. */
void nb_doubt(struct nb_neighbor *n, int64_t now);
/* It is there, and opens no session for so long. */
void nb_session_refused(struct nb_neighbor *n, int64_t for_us, int64_t now);

/* Whether a trial is to be begun; call nb_tried when it is, and when its connection is open:
 * what this node took until it asked is not the other's silence. */
bool nb_trial_due(const struct nb_neighbor *n, int64_t now);
void nb_trial_began(struct nb_neighbor *n, int64_t now);
/* Whether the trial that is out has been waited for long enough; what had come by `heard` was
 * taken in. */
bool nb_trial_late(const struct nb_neighbor *n, int64_t heard);
/* What came of it; a no is an answer. */
void nb_trial_ended(struct nb_neighbor *n, bool answered, int64_t now);

enum nb_rank nb_rank(const struct nb_neighbor *n, int64_t now);

#endif
