/* A view that an entry node has not been sent yet because the pace of sending (view/push.h)
 * deferred it.
 *
 * A large configuration document is sent to all nodes at a limited rate, so the last nodes get
 * it after most of a lease. A node accepts no lease for a view that it does not have, so while
 * the newer view is deferred the node is granted a lease for the view that it was sent last.
 * Pure; called by control/nodes.c. Times are microseconds. */
#ifndef FL_CONTROL_PENDING_VIEW_H
#define FL_CONTROL_PENDING_VIEW_H

#include "view/push.h"

struct pv_pending_view {
    bool waiting;  /* a view is deferred */
    int64_t since; /* when it was first deferred */
};

/* Whether the view may be sent now; otherwise it is deferred. */
static inline bool pv_try_send(struct pv_pending_view *t, const struct vp_limiter *p,
                               int64_t now)
{
    if (!t->waiting)
        t->since = now;
    return vp_send_or_defer(p, &t->waiting);
}

/* Whether a lease is still granted for the older view. This is limited to half a lease: the
 * node would act on the older view for that time and one more lease. */
static inline bool pv_keeps_lease(const struct pv_pending_view *t, int64_t lease_us,
                                  int64_t now)
{
    return t->waiting && now - t->since <= lease_us / 2;
}

#endif
