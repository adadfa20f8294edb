/* The state of another entry node as this node sees it from the sessions relayed there. Pure:
 * the caller passes the time, carries out trials and reports their results; used by
 * neighbors.c.
 *
 * A node that relays sessions may send requests to a node that is frozen or behind a network
 * partition. The peer's kernel accepts bytes for seconds, and the list of nodes contains the
 * peer until its lease expires, so that without this module each caller would learn of the
 * failure by its own deadline.
 *
 * A missing answer alone proves little, as the instance may be slow. A node that is silent is
 * therefore sent a trial: a session for which only a greeting is expected, which needs nothing
 * but the node's process. If the greeting does not come, the node counts as silent: no session
 * is relayed there, and trials continue with growing pauses until one is answered. */
#ifndef FL_PROXY_NEIGHBOR_H
#define FL_PROXY_NEIGHBOR_H

#include <stdbool.h>
#include <stdint.h>

enum nb_state {
    NB_GOOD,    /* it answers, or nothing is known */
    NB_DOUBTED, /* a trial is due or pending */
    NB_SILENT,  /* it did not answer the last trial */
};

/* Order in which neighbors are tried. */
enum nb_rank { NB_FIRST, NB_SECOND, NB_LAST, NB_NEVER };

struct nb_neighbor {
    enum nb_state state;
    int64_t last_received; /* when its last bytes arrived */
    int64_t refuses_until; /* it refused a session: others are preferred until then */
    bool trial_pending;    /* a trial has been running since trial_began_at */
    int64_t trial_began_at, next_trial_at;
    int64_t trial_pause_us; /* pause between two trials while it is silent */
    int64_t silent_since;   /* when it became silent */
    int64_t recovered_at;   /* when it last stopped being silent; 0: never */
};

/* Bytes arrived from the node on a relayed session. */
void nb_received(struct nb_neighbor *n, int64_t now);
/* A request sent at `since` was unanswered in everything received by `received_until`. */
void nb_unanswered(struct nb_neighbor *n, int64_t since, int64_t received_until);
/* A greeting did not come, or a connection was reset or refused. */
void nb_doubt(struct nb_neighbor *n, int64_t now);
/* The node answers, but refuses to open sessions for `for_us` microseconds. */
void nb_session_refused(struct nb_neighbor *n, int64_t for_us, int64_t now);

/* Whether a trial should begin. Call nb_trial_began when it does, and again when its connection
 * is open, so that a delay of this node does not count as silence of the other. */
bool nb_trial_due(const struct nb_neighbor *n, int64_t now);
void nb_trial_began(struct nb_neighbor *n, int64_t now);
/* Whether the pending trial has timed out, given that everything received by `received_until`
 * was processed. */
bool nb_trial_late(const struct nb_neighbor *n, int64_t received_until);
/* The trial ended; a refusal counts as an answer. */
void nb_trial_ended(struct nb_neighbor *n, bool answered, int64_t now);

enum nb_rank nb_rank(const struct nb_neighbor *n, int64_t now);

#endif
