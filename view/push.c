#include "view/push.h"

enum {
    /* The initial rate is two thirds of a link of 100 Mbit/s: 300 nodes that reconnect get 1.2
     * MB in 0.1 s and 9 MB within 2 s. */
    START_BYTES_PER_S = 8000000,
    MIN_BYTES_PER_S = 1000000,   /* a document still reaches 100 nodes within 3 s */
    MAX_BYTES_PER_S = 100000000, /* about the rate of a link of 1 Gbit/s */
    /* What may be sent at once: 30 ms of a link of 100 Mbit/s, which is enough for all views of
     * a small deployment. */
    BURST_BYTES = 384 * 1024,
    SLOWDOWN_INTERVAL_US = 200000, /* until a lower rate shows in the quorum's replies */
    SECOND_US = 1000000,
    /* Batches are limited to a thousand views a second, each of which is five messages at the
     * leader. The delay stays well below the time for which a lease outlives its renewal. */
    BATCH_DELAY_PER_NODE_US = 1000,
    MAX_BATCH_DELAY_US = 300000,
};

static int64_t clamp(int64_t v, int64_t least, int64_t most)
{
    return v < least ? least : v > most ? most : v;
}

static void slow_down(struct vp_limiter *p, int64_t now)
{
    if (p->credit_bytes > 0)
        p->credit_bytes = 0;
    if (now - p->slowed_at < SLOWDOWN_INTERVAL_US)
        return;
    p->slowed_at = now;
    p->rate = clamp(p->rate / 2, MIN_BYTES_PER_S, MAX_BYTES_PER_S);
}

void vp_tick(struct vp_limiter *p, int64_t lag_us, int64_t bound_us, int64_t now)
{
    if (p->rate == 0)
        *p = (struct vp_limiter){
            .rate = START_BYTES_PER_S, .credit_bytes = BURST_BYTES, .ticked_at = now};
    int64_t elapsed_us = clamp(now - p->ticked_at, 0, SECOND_US);
    p->ticked_at = now;
    if (lag_us > bound_us) {
        slow_down(p, now);
        return;
    }
    if (p->credit_bytes <= 0) /* the whole rate is used: it doubles within a second */
        p->rate =
            clamp(p->rate + p->rate * elapsed_us / SECOND_US, MIN_BYTES_PER_S, MAX_BYTES_PER_S);
    p->credit_bytes = clamp(p->credit_bytes + p->rate * elapsed_us / SECOND_US,
                            -MAX_BYTES_PER_S, BURST_BYTES);
}

bool vp_may_send(const struct vp_limiter *p)
{
    return p->credit_bytes > 0;
}

bool vp_send_or_defer(const struct vp_limiter *p, bool *due)
{
    *due = !vp_may_send(p);
    return !*due;
}

void vp_spent(struct vp_limiter *p, int64_t bytes)
{
    p->credit_bytes -= bytes;
}

static void batch_sent(struct vp_batch *w, int nodes, int64_t now)
{
    w->pending = false;
    w->next_at = now + clamp((int64_t)nodes * BATCH_DELAY_PER_NODE_US, 0, MAX_BATCH_DELAY_US);
}

bool vp_batch_add(struct vp_batch *w, bool can_wait, int nodes, int64_t now)
{
    if (can_wait && now < w->next_at) {
        w->pending = true;
        return false;
    }
    batch_sent(w, nodes, now);
    return true;
}

bool vp_batch_due(struct vp_batch *w, int nodes, int64_t now)
{
    if (!w->pending || now < w->next_at)
        return false;
    batch_sent(w, nodes, now);
    return true;
}
