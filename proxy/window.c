#include "proxy/window.h"

/* Origin of the figures: the usual ones of additive increase and multiplicative decrease, tried
 * under overload on the users' platform. */
/* All nodes that share an instance may begin at the same moment. With eight each, sixteen of
 * them met a queue of 24 with 128 statements after a loss of all power, and 2,000 statements in
 * 0.2 s were refused as busy; one each fits, and is widened with each answer. */
#define START 1.0
#define MOST 64.0
#define LEAST 0.15
#define CUT_FULL 0.7
#define CUT_SLOW 0.9
#define WIDEN 0.5
#define SMOOTH (1.0 / 16)
/* Statements differ in work; only a mean far above the calm one is a queue. */
#define SLOW_TIMES 3.0
#define SLOW_PLUS_US 25000.0
#define CREEP 1.0005 /* the instance may have become slower for good */
#define FIRST_US 15000.0

void px_window_init(struct px_window *w)
{
    *w = (struct px_window){.size = START, .smooth_us = FIRST_US, .calm_us = FIRST_US};
}

static void cut(struct px_window *w, double by, int64_t now)
{
    /* Once a round trip: what is out now was sent under the wider window. */
    if (now - w->cut_at < (int64_t)w->smooth_us)
        return;
    w->cut_at = now;
    w->size *= by;
    if (w->size < LEAST)
        w->size = LEAST;
}

void px_window_full(struct px_window *w, int64_t now)
{
    cut(w, CUT_FULL, now);
}

void px_window_done(struct px_window *w, int64_t us, int running, int64_t now)
{
    w->smooth_us += ((double)us - w->smooth_us) * SMOOTH;
    w->calm_us *= CREEP;
    if (w->smooth_us < w->calm_us)
        w->calm_us = w->smooth_us;
    if (w->smooth_us > w->calm_us * SLOW_TIMES + SLOW_PLUS_US)
        cut(w, CUT_SLOW, now);
    else if (running + 1 >= (int)w->size && w->size < MOST)
        w->size += w->size > 1 ? WIDEN / w->size : WIDEN * w->size;
    if (w->size < 1)
        w->next_at = now + (int64_t)(w->smooth_us * (1 / w->size - 1));
}

bool px_window_open(const struct px_window *w, int running, int64_t now)
{
    if (w->size >= 1)
        return running < (int)w->size;
    return running == 0 && now >= w->next_at;
}
