/* Decides whether a primary that serves a group alone should hand over its role. Pure; called
 * by pool.c on every tick.
 *
 * Replicas that apply their log late serve no read that must see recent positions, so the
 * group's whole load meets the few slots of the primary. A successor becomes primary with
 * everything it has received, and the former primary, which has applied all of it, serves reads
 * as a replica. A change of primary thus returns an instance to service, at the cost of a pause
 * of some hundred milliseconds; it is requested only if callers are refused. */
#ifndef FL_PROXY_HANDOVER_H
#define FL_PROXY_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

struct px_handover {
    int64_t
        condition_since; /* since when the conditions hold without a break; 0: they do not */
};

struct px_handover_view {
    /* Replicas of the group; those that lack positions and have served no read recently. */
    int replicas, behind;
    int64_t wait_failed_at; /* when a statement last failed to get the primary */
    int64_t term_began_at;  /* when this node learned of the primary's term */
};

/* Call on every tick. Returns whether the primary should hand over. */
bool px_handover_due(struct px_handover *r, const struct px_handover_view *v, int64_t now);
/* Whether all replicas are behind. A node that sees this, and whose own callers are not refused
 * now, can't tell whether the primary suffices, and should abstain when all nodes are polled:
 * if sixteen nodes share 20 refusals a second, each has one every 0.8 s. A majority of nodes
 * with a recent refusal then takes 15 s to form; if the others abstain it takes 0.6 s (model in
 * the unit tests). */
bool px_primary_serves_alone(const struct px_handover_view *v);

#endif
