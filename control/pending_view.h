/* A node's turn for a view that the pace (view/push.h) holds back.
 *
 * Pattern: a large document goes to all nodes, those at the end of the line get it after most
 * of a lease. A node takes no lease for a view that it has not got, so it is granted one for
 * the view that it was sent last, as long as the newer one waits here. Pure. */
#ifndef FL_CONTROL_PENDING_VIEW_H
#define FL_CONTROL_PENDING_VIEW_H

#include "view/push.h"

struct pv_pending_view {
    bool waiting;  /* a view waits */
    int64_t since; /* when it began to */
};

/* Whether the view may go out now; else it waits. */
static inline bool pv_try_send(struct pv_pending_view *t, const struct vp_limiter *p,
                               int64_t now)
{
    if (!t->waiting)
        t->since = now;
    return vp_send_or_defer(p, &t->waiting);
}

/* Whether a lease is granted for the older view. Not for long: what is in force elsewhere would
 * be missing here for that time and a lease more. */
static inline bool pv_keeps_lease(const struct pv_pending_view *t, int64_t lease_us,
                                  int64_t now)
{
    return t->waiting && now - t->since <= lease_us / 2;
}

#endif
