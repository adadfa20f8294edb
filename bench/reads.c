/* Where reads go, on a simulated group: the router's choice, what the instance then says, and
 * what an oracle that knows every replica's true position would have done. */
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"
#include "misc/clock.h"
#include "misc/hist.h"
#include "misc/rng.h"
#include "route/route.h"

enum {
    SESSIONS = 200,
    RATE = 2000,
    SECONDS = 30,
    ONE_WAY_US = 1500,
    SAMPLE_US = 25000,
    HISTORY = 1 << 17,
    WRITES_PERCENT = 20,
    AGED_PERCENT = 50,
    AGE_MS = 500
};

struct world {
    struct rn_rng rng;
    int64_t lag_us;
    int64_t written[HISTORY];    /* when position p was written */
    int64_t applied[2][HISTORY]; /* when each replica applied it */
    uint64_t pos;
    struct rt_group g;
    int64_t next_sample, pushed[2];
    uint64_t push_pos[2];
    struct ps_pos token[SESSIONS];
    bool has[SESSIONS];
};

struct tally {
    uint64_t reads, replica, oracle, behind, waited;
    struct hi_hist lat;
};

static void write_one(struct world *w, int64_t now)
{
    w->pos++;
    w->written[w->pos] = now;
    for (int r = 0; r < 2; r++) {
        int64_t jitter = (int64_t)rn_below(&w->rng, (uint64_t)w->lag_us / 5 + 1);
        int64_t at = now + ONE_WAY_US + w->lag_us + jitter;
        int64_t before = w->applied[r][w->pos - 1];
        w->applied[r][w->pos] = at > before ? at : before; /* in order */
    }
}

/* The true position of replica r (or, with r < 0, of the primary) at a time. */
static uint64_t pos_at(const struct world *w, int r, int64_t at)
{
    const int64_t *when = r < 0 ? w->written : w->applied[r];
    uint64_t lo = 0, hi = w->pos;
    while (lo < hi) {
        uint64_t mid = (lo + hi + 1) / 2;
        if (when[mid] <= at)
            lo = mid;
        else
            hi = mid - 1;
    }
    return lo;
}

/* What the entry node hears: pushes and samples, one way late. */
static void hear(struct world *w, int64_t now)
{
    for (int r = 0; r < 2; r++) {
        uint64_t p = pos_at(w, r, now - ONE_WAY_US);
        if (p == w->push_pos[r])
            continue;
        w->push_pos[r] = p;
        rt_record_applied(&w->g, r + 1, (struct ps_pos){1, p}, now);
    }
    while (now >= w->next_sample + 2 * ONE_WAY_US) {
        uint64_t p = pos_at(w, -1, w->next_sample + ONE_WAY_US);
        rt_record_primary_pos(&w->g, w->next_sample, (struct ps_pos){1, p});
        w->next_sample += SAMPLE_US;
    }
}

static bool oracle_could(const struct world *w, uint64_t floor, int64_t at)
{
    return pos_at(w, 0, at) >= floor || pos_at(w, 1, at) >= floor;
}

static void read_one(struct world *w, struct tally *t, int s, bool aged, int64_t wait_us,
                     int64_t now)
{
    struct rt_query q = {.has_token = w->has[s],
                         .token = w->token[s],
                         .max_age_us = aged ? CK_MS(AGE_MS) : -1,
                         .max_wait_us = wait_us};
    int64_t at = now + ONE_WAY_US, took = 2 * ONE_WAY_US;
    uint64_t floor = w->has[s] ? w->token[s].pos : 0;
    uint64_t age_floor = pos_at(w, -1, now - CK_MS(AGE_MS));
    bool placeable = w->has[s] || aged;
    uint64_t need = aged && age_floor > floor ? age_floor : floor;
    t->reads++;
    t->oracle +=
        placeable && (oracle_could(w, need, at) || oracle_could(w, need, at + wait_us));
    struct rt_choice c = rt_choose_for_read(&w->g, &q, 0, now);
    uint64_t seen = pos_at(w, -1, at);
    if (c.inst > 0) {
        int r = c.inst - 1;
        int64_t ready = w->applied[r][c.min.pos];
        bool served = ready <= at + c.wait_us;
        if (served) {
            t->replica++;
            int64_t run_at = ready > at ? ready : at;
            took += run_at - at;
            t->waited += run_at > at;
            seen = pos_at(w, r, run_at);
        } else {
            t->behind++;
            took += c.wait_us + 2 * ONE_WAY_US;
        }
    }
    if (!w->has[s] || seen > w->token[s].pos)
        w->token[s] = (struct ps_pos){1, seen};
    w->has[s] = true;
    hi_add(&t->lat, took);
}

static struct tally run(int64_t lag_us, int64_t wait_us)
{
    static struct world w;
    static struct tally t;
    memset(&w, 0, sizeof(w));
    memset(&t, 0, sizeof(t));
    w.rng = rn_seed(9);
    w.lag_us = lag_us;
    w.g.n = 3;
    w.g.n_starts = 1;
    w.g.starts[0] = (struct ps_start){1, 0};
    for (int i = 0; i < 3; i++)
        w.g.inst[i] =
            (struct rt_inst){.usable = true, .limit = 8, .lag_us = -1, .distance = i != 1};
    for (int64_t now = CK_SEC(1); now < CK_SEC(1 + SECONDS); now += 1000000 / RATE) {
        hear(&w, now);
        int s = (int)rn_below(&w.rng, SESSIONS);
        if (rn_below(&w.rng, 100) < WRITES_PERCENT) {
            write_one(&w, now + ONE_WAY_US);
            w.token[s] = (struct ps_pos){1, w.pos};
            w.has[s] = true;
        } else {
            read_one(&w, &t, s, rn_below(&w.rng, 100) < AGED_PERCENT, wait_us, now);
        }
    }
    return t;
}

int bn_reads(void)
{
    static const int64_t lags[] = {5000, 100000, 2000000};
    static const int64_t waits[] = {0, 5000, 10000, 20000, 50000};
    printf("reads by replicas, %% of all reads (%d sessions, %d/s, %d %% writes, half of the "
           "reads accept %d ms; primary-only: 0 %%)\n",
           SESSIONS, RATE, WRITES_PERCENT, AGE_MS);
    printf("%8s %8s %10s %10s %10s %8s %8s %10s\n", "lag ms", "wait ms", "ours", "oracle",
           "of oracle", "behind", "p50 ms", "p99 ms");
    for (size_t l = 0; l < sizeof(lags) / sizeof(lags[0]); l++) {
        for (size_t k = 0; k < sizeof(waits) / sizeof(waits[0]); k++) {
            struct tally t = run(lags[l], waits[k]);
            double ours = 100.0 * (double)t.replica / (double)t.reads;
            double best = 100.0 * (double)t.oracle / (double)t.reads;
            printf("%8lld %8lld %9.1f%% %9.1f%% %9.1f%% %8llu %8.1f %10.1f\n",
                   (long long)lags[l] / 1000, (long long)waits[k] / 1000, ours, best,
                   100.0 * ours / best, (unsigned long long)t.behind,
                   (double)hi_quantile(&t.lat, 0.5) / 1000,
                   (double)hi_quantile(&t.lat, 0.99) / 1000);
        }
    }
    return 0;
}
