#include "proxy/read_choice.h"

enum {
    /* Writes need the primary, so its cost for a read counts half as much again. A factor of
     * 250 % gave callers no better service. */
    PRIMARY_PERCENT = 150,
    OPEN_CONN_US = 12000, /* a new connection occupies a slot of the instance for this long */
    TRIP_US = 1500,       /* a round trip to another failure domain */
    /* Traffic between failure domains costs money, so each step of distance adds this part of
     * the statement's time to the round trip. The near instance is preferred while it is idle
     * or slightly slower, the far one as soon as it saves a statement's wait. With twice this
     * part callers wait longer. */
    DISTANCE_PERCENT = 25,
    /* A failed read costs the caller another try. An instance that fails half of its reads
     * counts as five times as slow, so that it is used only if the others have that many
     * statements waiting. */
    FAIL_FACTOR = 8,
    FAIL_RETRY_US = 20000, /* the retry, however short the statement is */
    /* Random part, so that nodes with equal knowledge choose different instances. */
    NOISE_PERCENT = 10,
};

/* Whether it recently lacked a position and has not reported the floor since. */
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
