#include "proxy/window.h"

/* The window follows additive increase and multiplicative decrease. It begins with one
 * statement because all nodes that share an instance may begin at the same time: with eight
 * each, sixteen nodes sent 128 statements to an instance with a queue of 24 after a loss of all
 * power, and 2,000 statements in 0.2 s were refused as busy. With one each they fit, and the
 * window grows with each answer. */
#define INITIAL_SIZE 1.0
#define MAX_SIZE 64.0
#define MIN_SIZE 0.15
#define SHRINK_QUEUE_FULL 0.7
#define SHRINK_SLOW 0.9
#define GROWTH 0.5
#define SMOOTHING (1.0 / 16)
/* Statements differ in work; only a mean far above the baseline indicates a queue. */
#define SLOW_FACTOR 3.0
#define SLOW_MARGIN_US 25000.0
/* Lets the baseline follow an instance that became slower permanently. */
#define BASELINE_GROWTH 1.0005
#define INITIAL_TIME_US 15000.0

void px_window_init(struct px_window *w)
{
    *w = (struct px_window){
        .size = INITIAL_SIZE, .smoothed_us = INITIAL_TIME_US, .baseline_us = INITIAL_TIME_US};
}

static void shrink(struct px_window *w, double by, int64_t now)
{
    /* At most once per round trip: outstanding statements were sent under the larger window. */
    if (now - w->shrunk_at < (int64_t)w->smoothed_us)
        return;
    w->shrunk_at = now;
    w->size *= by;
    if (w->size < MIN_SIZE)
        w->size = MIN_SIZE;
}

void px_window_queue_full(struct px_window *w, int64_t now)
{
    shrink(w, SHRINK_QUEUE_FULL, now);
}

void px_window_answered(struct px_window *w, int64_t us, int running, int64_t now)
{
    w->smoothed_us += ((double)us - w->smoothed_us) * SMOOTHING;
    w->baseline_us *= BASELINE_GROWTH;
    if (w->smoothed_us < w->baseline_us)
        w->baseline_us = w->smoothed_us;
    if (w->smoothed_us > w->baseline_us * SLOW_FACTOR + SLOW_MARGIN_US)
        shrink(w, SHRINK_SLOW, now);
    else if (running + 1 >= (int)w->size && w->size < MAX_SIZE)
        w->size += w->size > 1 ? GROWTH / w->size : GROWTH * w->size;
    if (w->size < 1)
        w->next_send_at = now + (int64_t)(w->smoothed_us * (1 / w->size - 1));
}

bool px_window_open(const struct px_window *w, int running, int64_t now)
{
    if (w->size >= 1)
        return running < (int)w->size;
    return running == 0 && now >= w->next_send_at;
}
