#include "view/push.h"

enum {
    /* The initial rate is two thirds of a link of 100 Mbit/s: 300 nodes that reconnect get 1.2
     * MB in 0.1 s and 9 MB within 2 s. */
    START = 8000000,
    LEAST = 1000000,  /* a document still reaches 100 nodes within 3 s */
    MOST = 100000000, /* about the rate of a link of 1 Gbit/s */
    /* What may be sent at once: 30 ms of a link of 100 Mbit/s, which is enough for all views of
     * a small deployment. */
    BURST = 384 * 1024,
    SLOWER_EVERY_US = 200000, /* until a lower rate has an effect on the quorum's replies */
    SECOND_US = 1000000,
    /* Batches are limited to a thousand views a second, each of which is five messages at the
     * leader. The delay stays well below the time for which a lease outlives its renewal. */
    NEWS_A_NODE_US = 1000,
    NEWS_MOST_US = 300000,
};

static int64_t within(int64_t v, int64_t least, int64_t most)
{
    return v < least ? least : v > most ? most : v;
}

static void slow_down(struct vp_pace *p, int64_t now)
{
    if (p->credit > 0)
        p->credit = 0;
    if (now - p->slowed_at < SLOWER_EVERY_US)
        return;
    p->slowed_at = now;
    p->rate = within(p->rate / 2, LEAST, MOST);
}

void vp_tick(struct vp_pace *p, int64_t lag_us, int64_t bound_us, int64_t now)
{
    if (p->rate == 0)
        *p = (struct vp_pace){.rate = START, .credit = BURST, .at = now};
    int64_t passed = within(now - p->at, 0, SECOND_US);
    p->at = now;
    if (lag_us > bound_us) {
        slow_down(p, now);
        return;
    }
    if (p->credit <= 0) /* the whole rate is used: it doubles within a second */
        p->rate = within(p->rate + p->rate * passed / SECOND_US, LEAST, MOST);
    p->credit = within(p->credit + p->rate * passed / SECOND_US, -MOST, BURST);
}

bool vp_may(const struct vp_pace *p)
{
    return p->credit > 0;
}

bool vp_take(const struct vp_pace *p, bool *due)
{
    *due = !vp_may(p);
    return !*due;
}

void vp_spent(struct vp_pace *p, int64_t bytes)
{
    p->credit -= bytes;
}

static void news_sent(struct vp_news *w, int nodes, int64_t now)
{
    w->waits = false;
    w->next = now + within((int64_t)nodes * NEWS_A_NODE_US, 0, NEWS_MOST_US);
}

bool vp_changed(struct vp_news *w, bool can_wait, int nodes, int64_t now)
{
    if (can_wait && now < w->next) {
        w->waits = true;
        return false;
    }
    news_sent(w, nodes, now);
    return true;
}

bool vp_news_due(struct vp_news *w, int nodes, int64_t now)
{
    if (!w->waits || now < w->next)
        return false;
    news_sent(w, nodes, now);
    return true;
}
