/* Instances that register themselves: what a call of one asks of the replicated view.
 *
 * Pure. Regular calls that tell nothing new change nothing and cost no entry of the log;
 * joining, draining and leaving are changes, and are acknowledged only once they are committed.
 */
#ifndef FL_REGISTRY_REGISTRY_H
#define FL_REGISTRY_REGISTRY_H

#include "view/view.h"

/* What an instance tells of itself. */
struct rg_heartbeat {
    char group[VW_NAME];
    struct vw_instance inst; /* draining: it will end by plan */
    bool primary;            /* it takes itself for the primary */
    uint64_t seq;            /* grows with each call of its life: a late one is told by it */
};

/* The newest call of an instance that a node has taken. Zero-initialised: none. */
struct rg_last_call {
    int64_t born;
    uint64_t seq;
};

enum rg_result {
    RG_UNCHANGED, /* acknowledge at once */
    RG_CHANGE,    /* acknowledge when *ch is committed */
    RG_STALE,  /* an earlier call that came late, or one that left: acknowledge, believe nothing
                */
    RG_REFUSE, /* *err says why */
};

/* `last`: of this instance, as far as this node knows. */
enum rg_result rg_on_heartbeat(const struct vw_view *v, const struct rg_heartbeat *b,
                               const struct rg_last_call *last, struct vw_change *ch,
                               struct er_err *err);
/* Whether a call that needs this is acknowledged by a node that does not lead: all it tells is
 * in that node's view, so it is committed. */
bool rg_needs_no_leader(enum rg_result result);
/* The instance of that id ends. */
enum rg_result rg_on_leave(const struct vw_view *v, const char *id, struct vw_change *ch);

#endif
