/* Whether a primary that serves a group alone should hand over.
 *
 * Pure. Replicas that apply what they receive late serve no read that must see it, so all of
 * the group's load meets the primary's few slots. A successor leads with all that it has
 * received, and the primary of before, which has applied all of it, serves reads beside it. So
 * a change of primary brings an instance back, at the price of a pause of some hundred
 * milliseconds; it is asked for only where callers are refused. */
#ifndef FL_PROXY_HANDOVER_H
#define FL_PROXY_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

struct px_handover {
    int64_t condition_since; /* all of it has been so; 0: it is not */
};

struct px_handover_view {
    int replicas, behind; /* of the group; those that lacked positions and served none lately */
    int64_t wait_failed_at; /* a statement waited for the primary in vain */
    int64_t term_began_at;  /* the primary leads for this node */
};

/* To be told regularly. True: the primary should hand over. */
bool px_handover_due(struct px_handover *r, const struct px_handover_view *v, int64_t now);
/* Whether the primary serves alone. A node that sees that, and whose own callers are not
 * refused now, can't tell that the primary is enough, and should not say so when all nodes are
 * asked: of sixteen nodes that share 20 refusals a second each has one every 0.8 s, and a
 * majority of those that had one just now takes 15 s; with the others abstaining, 0.6 s (model
 * in the unit tests). */
bool px_primary_serves_alone(const struct px_handover_view *v);

#endif
