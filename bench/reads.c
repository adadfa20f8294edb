/* Simulates a group and counts the reads that the router sends to replicas, the reads that the
 * chosen replica could serve, and the reads that an oracle could send to a replica. The oracle
 * knows the true position of every replica. */
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"
#include "misc/clock.h"
#include "misc/hist.h"
#include "misc/rng.h"
#include "route/route.h"

enum {
    SESSIONS = 200,
    RATE_PER_S = 2000,
    DURATION_S = 30,
    ONE_WAY_US = 1500,
    SAMPLE_INTERVAL_US = 25000,
    MAX_POSITIONS = 1 << 17,
    WRITES_PERCENT = 20,
    AGED_PERCENT = 50,
    AGE_MS = 500
};

struct simulation {
    struct rn_rng rng;
    int64_t lag_us;
    int64_t written_at[MAX_POSITIONS];    /* time at which position p was written */
    int64_t applied_at[2][MAX_POSITIONS]; /* time at which replica r applied p */
    uint64_t pos;
    struct rt_group g;
    int64_t next_sample, pushed_at[2];
    uint64_t pushed_pos[2];
    struct ps_pos token[SESSIONS];
    bool has_token[SESSIONS];
};

struct read_stats {
    uint64_t reads, by_replica, by_oracle, replica_behind, replica_waited;
    struct hi_hist latency;
};

static void write_one(struct simulation *sim, int64_t now)
{
    sim->pos++;
    sim->written_at[sim->pos] = now;
    for (int r = 0; r < 2; r++) {
        int64_t jitter = (int64_t)rn_below(&sim->rng, (uint64_t)sim->lag_us / 5 + 1);
        int64_t at = now + ONE_WAY_US + sim->lag_us + jitter;
        int64_t before = sim->applied_at[r][sim->pos - 1];
        /* A replica applies positions in order. */
        sim->applied_at[r][sim->pos] = at > before ? at : before;
    }
}

/* The true position of replica r (of the primary if r < 0) at the time `at`. */
static uint64_t pos_at(const struct simulation *sim, int r, int64_t at)
{
    const int64_t *when = r < 0 ? sim->written_at : sim->applied_at[r];
    uint64_t lo = 0, hi = sim->pos;
    while (lo < hi) {
        uint64_t mid = (lo + hi + 1) / 2;
        if (when[mid] <= at)
            lo = mid;
        else
            hi = mid - 1;
    }
    return lo;
}

/* Passes the router the positions that an entry node receives: pushes of the replicas, which
 * arrive ONE_WAY_US late, and samples of the primary, which arrive a round trip after their
 * request. */
static void update_router(struct simulation *sim, int64_t now)
{
    for (int r = 0; r < 2; r++) {
        uint64_t p = pos_at(sim, r, now - ONE_WAY_US);
        if (p == sim->pushed_pos[r])
            continue;
        sim->pushed_pos[r] = p;
        rt_record_applied(&sim->g, r + 1, (struct ps_pos){1, p}, now);
    }
    while (now >= sim->next_sample + 2 * ONE_WAY_US) {
        uint64_t p = pos_at(sim, -1, sim->next_sample + ONE_WAY_US);
        rt_record_primary_pos(&sim->g, sim->next_sample, (struct ps_pos){1, p});
        sim->next_sample += SAMPLE_INTERVAL_US;
    }
}

static bool oracle_could_serve(const struct simulation *sim, uint64_t floor, int64_t at)
{
    return pos_at(sim, 0, at) >= floor || pos_at(sim, 1, at) >= floor;
}

static void read_one(struct simulation *sim, struct read_stats *stats, int s, bool aged,
                     int64_t wait_us, int64_t now)
{
    struct rt_query q = {.has_token = sim->has_token[s],
                         .token = sim->token[s],
                         .max_age_us = aged ? CK_MS(AGE_MS) : -1,
                         .max_wait_us = wait_us};
    int64_t at = now + ONE_WAY_US, latency_us = 2 * ONE_WAY_US;
    uint64_t floor = sim->has_token[s] ? sim->token[s].pos : 0;
    uint64_t age_floor = pos_at(sim, -1, now - CK_MS(AGE_MS));
    bool replica_allowed = sim->has_token[s] || aged;
    uint64_t min_pos = aged && age_floor > floor ? age_floor : floor;
    stats->reads++;
    stats->by_oracle += replica_allowed && (oracle_could_serve(sim, min_pos, at) ||
                                            oracle_could_serve(sim, min_pos, at + wait_us));
    struct rt_choice c = rt_choose_for_read(&sim->g, &q, 0, now);
    uint64_t seen_pos = pos_at(sim, -1, at);
    if (c.inst > 0) {
        int r = c.inst - 1;
        int64_t ready_at = sim->applied_at[r][c.min.pos];
        bool served = ready_at <= at + c.wait_us;
        if (served) {
            stats->by_replica++;
            int64_t run_at = ready_at > at ? ready_at : at;
            latency_us += run_at - at;
            stats->replica_waited += run_at > at;
            seen_pos = pos_at(sim, r, run_at);
        } else {
            stats->replica_behind++;
            latency_us += c.wait_us + 2 * ONE_WAY_US;
        }
    }
    if (!sim->has_token[s] || seen_pos > sim->token[s].pos)
        sim->token[s] = (struct ps_pos){1, seen_pos};
    sim->has_token[s] = true;
    hi_add(&stats->latency, latency_us);
}

static struct read_stats run(int64_t lag_us, int64_t wait_us)
{
    static struct simulation sim;
    static struct read_stats stats;
    memset(&sim, 0, sizeof(sim));
    memset(&stats, 0, sizeof(stats));
    sim.rng = rn_seed(9);
    sim.lag_us = lag_us;
    sim.g.n = 3;
    sim.g.n_starts = 1;
    sim.g.starts[0] = (struct ps_start){1, 0};
    for (int i = 0; i < 3; i++)
        sim.g.inst[i] =
            (struct rt_inst){.usable = true, .limit = 8, .lag_us = -1, .distance = i != 1};
    for (int64_t now = CK_SEC(1); now < CK_SEC(1 + DURATION_S); now += 1000000 / RATE_PER_S) {
        update_router(&sim, now);
        int s = (int)rn_below(&sim.rng, SESSIONS);
        if (rn_below(&sim.rng, 100) < WRITES_PERCENT) {
            write_one(&sim, now + ONE_WAY_US);
            sim.token[s] = (struct ps_pos){1, sim.pos};
            sim.has_token[s] = true;
        } else {
            read_one(&sim, &stats, s, rn_below(&sim.rng, 100) < AGED_PERCENT, wait_us, now);
        }
    }
    return stats;
}

int bn_reads(void)
{
    static const int64_t lags[] = {5000, 100000, 2000000};
    static const int64_t waits[] = {0, 5000, 10000, 20000, 50000};
    printf("reads by replicas, %% of all reads (%d sessions, %d/s, %d %% writes, half of the "
           "reads accept %d ms; primary-only: 0 %%)\n",
           SESSIONS, RATE_PER_S, WRITES_PERCENT, AGE_MS);
    printf("%8s %8s %10s %10s %10s %8s %8s %10s\n", "lag ms", "wait ms", "router", "oracle",
           "of oracle", "behind", "p50 ms", "p99 ms");
    for (size_t l = 0; l < sizeof(lags) / sizeof(lags[0]); l++) {
        for (size_t k = 0; k < sizeof(waits) / sizeof(waits[0]); k++) {
            struct read_stats stats = run(lags[l], waits[k]);
            double routed_percent = 100.0 * (double)stats.by_replica / (double)stats.reads;
            double oracle_percent = 100.0 * (double)stats.by_oracle / (double)stats.reads;
            printf("%8lld %8lld %9.1f%% %9.1f%% %9.1f%% %8llu %8.1f %10.1f\n",
                   (long long)lags[l] / 1000, (long long)waits[k] / 1000, routed_percent,
                   oracle_percent, 100.0 * routed_percent / oracle_percent,
                   (unsigned long long)stats.replica_behind,
                   (double)hi_quantile(&stats.latency, 0.5) / 1000,
                   (double)hi_quantile(&stats.latency, 0.99) / 1000);
        }
    }
    return 0;
}
