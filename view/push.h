/* Limits the rate at which a leader sends views to entry nodes.
 *
 * A change concerns all nodes at once. A document of 1,500 routes takes 31 KB deflated; sent to
 * 300 nodes it is 9 MB, which occupies a link of 100 Mbit/s for 0.7 s. Heartbeats queued behind
 * it are later than the election timeout, so each such document caused two or three elections,
 * and every new leader sent the document again. Therefore views are sent at a limited rate, and
 * not while the voters' latest reply is late. The rate is adapted by the delay of that reply
 * only, because the bandwidth of the link is unknown.
 *
 * Pure; called by the control leader. */
#ifndef FL_VIEW_PUSH_H
#define FL_VIEW_PUSH_H

#include <stdbool.h>
#include <stdint.h>

struct vp_pace {
    int64_t rate;         /* bytes per second; 0 before the first tick */
    int64_t credit_bytes; /* bytes that may be sent now; negative after an overrun */
    int64_t ticked_at;    /* time of the latest tick */
    int64_t slowed_at;    /* when the rate was last lowered */
};

/* Called regularly while leading. `lag_us` is the time since the newest heartbeat that a quorum
 * has acknowledged was sent; above `bound_us` the quorum's reply is late. */
void vp_tick(struct vp_pace *p, int64_t lag_us, int64_t bound_us, int64_t now);
/* Whether another view may be sent now. */
bool vp_may(const struct vp_pace *p);
/* Whether the view may be sent now to a node that lacks it. If not, *due is set and the caller
 * tries again in the following ticks, because a node has no lease without the view and asks
 * again only 0.2 s later. */
bool vp_take(const struct vp_pace *p, bool *due);
/* A view of this many bytes was sent. */
void vp_spent(struct vp_pace *p, int64_t bytes);

/* Collects changes that can be delayed and sent to the nodes together.
 *
 * Hundreds of instances may register at once. Each is a change that is sent to every node, and
 * every node acknowledges it and asks for connections. Zero-initialized: the first change is
 * sent at once. */
struct vp_batch {
    int64_t next_at; /* earliest time of the next batch */
    bool pending;    /* changes are not sent yet */
};

/* A change of the view has to be sent to `nodes` nodes. Returns whether it is sent now,
 * together with the pending changes; if not, vp_batch_due returns true when it is time. */
bool vp_batch_add(struct vp_batch *w, bool can_wait, int nodes, int64_t now);
/* Called regularly: whether the pending changes are sent now. */
bool vp_batch_due(struct vp_batch *w, int nodes, int64_t now);

#endif
