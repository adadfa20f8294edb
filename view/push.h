/* How fast a leader sends views to entry nodes.
 *
 * Pattern: a change concerns all nodes at once. A document of 1,500 routes takes 31 KB
 * deflated; to 300 nodes that is 9 MB, 0.7 s of a link of 100 Mbit/s, and heartbeats in line
 * behind it come later than an election takes: on a day with such documents each brought two or
 * three leaders, who sent it again. So views go out at a rate, and not while the voters' last
 * answer is late; the rate follows from that answer alone, as the link's is not known.
 *
 * Pure. */
#ifndef FL_VIEW_PUSH_H
#define FL_VIEW_PUSH_H

#include <stdbool.h>
#include <stdint.h>

struct vp_pace {
    int64_t rate;      /* bytes a second; 0: not begun */
    int64_t credit;    /* bytes that may go out now */
    int64_t at;        /* of the last tick */
    int64_t slowed_at; /* when the rate was lowered last */
};

/* Regularly, while leading. `lag_us`: since the newest heartbeat that a quorum has answered was
 * sent; above `bound_us` it is late. */
void vp_tick(struct vp_pace *p, int64_t lag_us, int64_t bound_us, int64_t now);
/* Whether another view may go out now. */
bool vp_may(const struct vp_pace *p);
/* The same for a node that lacks the view. Held back, it is *due: offered again in the ticks
 * that follow, since a node has no lease without the view and asks again only 0.2 s later. */
bool vp_take(const struct vp_pace *p, bool *due);
/* One of so many bytes went out. */
void vp_spent(struct vp_pace *p, int64_t bytes);

/* News that can wait a moment for more of its kind.
 *
 * Pattern: hundreds of instances come at once, each a change that goes to every node, which
 * acknowledges it and asks for connections. Zero-initialised: the first goes out at once. */
struct vp_news {
    int64_t next; /* the earliest time of the next batch */
    bool waits;   /* changes that did not go out yet */
};

/* The view changed, as `nodes` nodes have to learn. Whether it goes out now; what waited goes
 * with it. If not, vp_news_due will say when. */
bool vp_changed(struct vp_news *w, bool can_wait, int nodes, int64_t now);
/* Regularly: whether what waits goes out now. */
bool vp_news_due(struct vp_news *w, int nodes, int64_t now);

#endif
