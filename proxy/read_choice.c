#include "proxy/read_choice.h"

enum {
    /* The primary's time is what writes need: a read there is taken for dearer by a half.
     * Origin: a guess; 250 % was no better for callers (docs/DECISIONS.md). */
    PRIMARY_PERCENT = 150,
    OPEN_CONN_US = 12000, /* a new connection occupies an instance for so long (users' pages) */
    TRIP_US = 1500,       /* a trip to another failure domain and back */
    /* The bytes of a far answer are paid for: beyond the trip, a far instance is taken for
     * dearer by this part of the statement. The near one is asked while it is idle or little
     * slower, the far one as soon as that saves a statement's wait. With twice as much callers
     * wait longer.
     */
    DISTANCE_PERCENT = 25,
    /* A read that fails costs its caller another try: an instance that fails half of them is
     * taken for five times as slow, so that it is asked only where the others are that full. */
    FAIL_FACTOR = 8,
    FAIL_RETRY_US = 20000, /* the try that follows, however short the statement is */
    NOISE_PERCENT = 10,    /* nodes that know the same do not all choose the same */
};

/* It refused a position like this a moment ago, and was not heard to have it since. */
static bool lacks_floor(const struct px_candidate *c, bool has_floor, struct ps_pos floor,
                        int64_t now)
{
    return has_floor && !c->primary && now < c->behind_until && ps_cmp(c->known_pos, floor) < 0;
}

static int64_t expected_cost(const struct px_candidate *c, struct rn_rng *rng)
{
    int64_t us = c->service_us * (1 + c->outstanding);
    if (c->primary)
        us = us * PRIMARY_PERCENT / 100;
    if (!c->has_conn)
        us += OPEN_CONN_US;
    us += c->distance * (TRIP_US + c->service_us * DISTANCE_PERCENT / 100);
    us += (int64_t)((double)(us * FAIL_FACTOR + FAIL_RETRY_US) * c->fail_rate);
    return us + us * (int64_t)rn_below(rng, NOISE_PERCENT) / 100;
}

int px_choose_instance(const struct px_candidate *c, int n, bool has_floor, struct ps_pos floor,
                       int64_t now, struct rn_rng *rng)
{
    int best = -1;
    int64_t best_us = 0;
    for (int i = 0; i < n; i++) {
        if (!c[i].usable || lacks_floor(&c[i], has_floor, floor, now))
            continue;
        int64_t us = expected_cost(&c[i], rng);
        if (best >= 0 && us >= best_us)
            continue;
        best = i;
        best_us = us;
    }
    return best;
}
