/* Instances that register themselves: decides which change of the replicated view a call of an
 * instance requires.
 *
 * Pure; called by control/registrations.c. A repeated heartbeat without new content changes
 * nothing and costs no entry of the log. Joining, draining and leaving are changes and are
 * acknowledged only after they are committed. */
#ifndef FL_REGISTRY_REGISTRY_H
#define FL_REGISTRY_REGISTRY_H

#include "view/view.h"

/* A heartbeat: what an instance reports about itself. */
struct rg_heartbeat {
    char group[VW_NAME];
    struct vw_instance inst; /* draining: a planned stop is coming */
    bool primary;            /* the instance considers itself the primary */
    uint64_t seq; /* increases with each call of the process; identifies late calls */
};

/* The newest call of an instance that a node has accepted. Zero-initialized: none. */
struct rg_last_call {
    int64_t born;
    uint64_t seq;
};

enum rg_result {
    RG_UNCHANGED, /* nothing changes: acknowledge at once */
    RG_CHANGE,    /* propose *ch, acknowledge when it is committed */
    RG_STALE,     /* a late call, or one of an instance that left: acknowledge and ignore */
    RG_REFUSE,    /* refuse with *err */
};

/* Handles a heartbeat; `last` is the newest call of this instance that the node knows of. */
enum rg_result rg_on_heartbeat(const struct vw_view *v, const struct rg_heartbeat *b,
                               const struct rg_last_call *last, struct vw_change *ch,
                               struct er_err *err);
/* Whether a node that does not lead may acknowledge a call with this result: all that the call
 * reports is in that node's view, so it is committed. */
bool rg_needs_no_leader(enum rg_result result);
/* Handles the call of an instance that deregisters. */
enum rg_result rg_on_leave(const struct vw_view *v, const char *id, struct vw_change *ch);

#endif
