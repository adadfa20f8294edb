#include "route/route.h"

#include <string.h>

enum { LAG_SMOOTHING = 8, SAMPLE_INTERVAL_US = 2000 };

static const struct rt_sample *sample(const struct rt_group *g, uint64_t k)
{
    return &g->samples[k % RT_MAX_SAMPLES];
}

static uint64_t oldest_sample(const struct rt_group *g)
{
    return g->n_samples > RT_MAX_SAMPLES ? g->n_samples - RT_MAX_SAMPLES : 0;
}

void rt_record_primary_pos(struct rt_group *g, int64_t requested_at, struct ps_pos pos)
{
    if (g->n_samples) {
        const struct rt_sample *last = sample(g, g->n_samples - 1);
        if (requested_at < last->requested_at + SAMPLE_INTERVAL_US ||
            ps_cmp(pos, last->pos) < 0)
            return;
    }
    g->samples[g->n_samples++ % RT_MAX_SAMPLES] = (struct rt_sample){requested_at, pos};
}

/* The replica's lag by the newest sample that `applied` covers; -1 if it covers none. */
static int64_t lag_of(const struct rt_group *g, struct ps_pos applied, int64_t now)
{
    for (uint64_t k = g->n_samples; k > oldest_sample(g); k--) {
        const struct rt_sample *s = sample(g, k - 1);
        if (!ps_covers(applied, s->pos, g->starts, g->n_starts))
            continue;
        if (k == g->n_samples)
            return 0; /* it covers every known sample */
        return now - sample(g, k)->requested_at;
    }
    return -1;
}

void rt_record_applied(struct rt_group *g, int i, struct ps_pos pos, int64_t now)
{
    struct rt_inst *r = &g->inst[i];
    int64_t lag = lag_of(g, pos, now);
    if (lag >= 0)
        r->lag_us = r->lag_us < 0 ? lag : r->lag_us + (lag - r->lag_us) / LAG_SMOOTHING;
    r->applied = pos;
    r->applied_seen_at = now;
}

bool rt_age_floor(const struct rt_group *g, int64_t max_age_us, int64_t now,
                  struct ps_pos *floor)
{
    int64_t from = now - max_age_us;
    uint64_t lo = oldest_sample(g), hi = g->n_samples;
    while (lo < hi) {
        uint64_t mid = (lo + hi) / 2;
        if (sample(g, mid)->requested_at < from)
            lo = mid + 1;
        else
            hi = mid;
    }
    if (lo == g->n_samples)
        return false;
    *floor = sample(g, lo)->pos;
    return true;
}

/* Whether `a` is preferred to `b`: the nearer one, unless it is full and the other isn't; then
 * the one with less load. */
static bool is_better(const struct rt_inst *a, const struct rt_inst *b)
{
    bool a_full = a->in_flight >= a->limit, b_full = b->in_flight >= b->limit;
    if (a_full != b_full)
        return b_full;
    if (a->distance != b->distance)
        return a->distance < b->distance;
    return (int64_t)a->in_flight * b->limit < (int64_t)b->in_flight * a->limit;
}

int rt_distance(const char *a, const char *b)
{
    if (strcmp(a, b) == 0)
        return 0;
    const char *end_a = strchr(a, '/'), *end_b = strchr(b, '/');
    size_t n = end_a ? (size_t)(end_a - a) : 0, m = end_b ? (size_t)(end_b - b) : 0;
    return n == m && memcmp(a, b, n) == 0 ? 1 : 2;
}

static struct rt_choice to_primary(const struct rt_group *g, unsigned skip)
{
    struct rt_choice c = {.inst = -1, .primary = true, .why = ER_NO_PRIMARY};
    if (g->primary < 0 || (skip & (1u << g->primary)))
        return c;
    if (!g->inst[g->primary].usable) {
        c.why = ER_ENDPOINT;
        return c;
    }
    c.inst = g->primary;
    c.why = ER_NONE;
    return c;
}

/* The earliest time at which the primary can have reached `floor`: when the newest sample below
 * it was requested. 0 if there is no such sample. */
static int64_t reached_at(const struct rt_group *g, struct ps_pos floor)
{
    for (uint64_t k = g->n_samples; k > oldest_sample(g); k--) {
        if (ps_cmp(sample(g, k - 1)->pos, floor) < 0)
            return sample(g, k - 1)->requested_at;
    }
    return 0;
}

/* Whether the replica is expected to cover the floor within wait_us from now: it covers the
 * position that the primary had one lag ago. */
static bool covers_soon(const struct rt_group *g, const struct rt_inst *r, struct ps_pos floor,
                        int64_t wait_us, int64_t now)
{
    if (wait_us <= 0 || r->lag_us < 0 || r->applied.term != floor.term)
        return false;
    if (r->lag_us <= wait_us)
        return true;
    int64_t at = reached_at(g, floor);
    return at && at + r->lag_us <= now + wait_us;
}

/* The preferred replica that covers the floor by its recorded position or, with `wait_us`, is
 * expected to cover it within that time; -1 if there is none. */
static int best_replica(const struct rt_group *g, struct ps_pos floor, int64_t wait_us,
                        unsigned skip, int64_t now)
{
    int best = -1;
    for (int i = 0; i < g->n; i++) {
        const struct rt_inst *r = &g->inst[i];
        if (i == g->primary || !r->usable || r->draining || (skip & (1u << i)))
            continue;
        if (!ps_covers(r->applied, floor, g->starts, g->n_starts) &&
            !covers_soon(g, r, floor, wait_us, now))
            continue;
        if (best < 0 || is_better(r, &g->inst[best]))
            best = i;
    }
    return best;
}

struct rt_choice rt_choose_for_read(const struct rt_group *g, const struct rt_query *q,
                                    unsigned skip, int64_t now)
{
    struct ps_pos floor = {0}, age_floor = {0};
    bool by_age = q->max_age_us >= 0 && rt_age_floor(g, q->max_age_us, now, &age_floor);
    if (!by_age && (q->max_age_us >= 0 || !q->has_token))
        return to_primary(g, skip);
    if (q->has_token)
        floor = q->token;
    if (by_age)
        floor = ps_max(floor, age_floor);
    int i = best_replica(g, floor, 0, skip, now);
    int64_t wait = 0;
    if (i < 0) {
        i = best_replica(g, floor, q->max_wait_us, skip, now);
        wait = q->max_wait_us;
    }
    if (i < 0)
        return to_primary(g, skip);
    return (struct rt_choice){.inst = i, .min = floor, .wait_us = wait};
}
