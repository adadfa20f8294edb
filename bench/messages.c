/* Counts the messages and log entries of one change of primary, in a simulation of the
 * promotion module. */
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"
#include "misc/clock.h"
#include "promote/promote.h"

enum { INSTANCES = 3, TICKS = 400, TICK_US = 5000, KILL_TICK = 100 };

struct simulation {
    struct pr_group p;
    struct vw_group g;
    int64_t now;
    int counts[PR_DO_PROBE + 1];
};

/* Performs the action at once, so that the counts are the minimum that a
 * change of primary can take. */
static void perform_action(struct simulation *sim, const struct pr_action *a)
{
    const char *id = a->inst >= 0 ? sim->g.inst[a->inst].id : "";
    struct ps_pos pos = {1, 100};
    bool down = a->inst == 0;
    sim->counts[a->kind]++;
    switch (a->kind) {
    case PR_DO_CHECK:
        pr_checks_sent(&sim->p, 1);
        pr_check_reply(&sim->p, a->term, PR_REFUSED);
        break;
    case PR_DO_REPLACE:
        sim->g.phase = VW_REPLACING;
        sim->g.term = a->term;
        break;
    case PR_DO_FENCE:
        if (!down)
            pr_fenced(&sim->p, id, a->term, pos);
        break;
    case PR_DO_PROMOTE:
        pr_promoted(&sim->p, id, a->term, pos);
        break;
    case PR_DO_PRIMARY:
        sim->g.phase = VW_SERVING;
        sim->g.primary = a->inst;
        break;
    default:
        break;
    }
}

static void run_tick(struct simulation *sim, bool killed)
{
    struct pr_actions actions;
    for (int i = 0; i < INSTANCES; i++) {
        bool down = killed && i == 0;
        const char *id = sim->g.inst[i].id;
        for (int v = 0; v < 3; v++)
            pr_probed(&sim->p, id, (uint64_t)v + 1, (const char *[]){"a", "b", "c"}[v],
                      down ? PR_REFUSED : PR_UP, sim->now);
        if (!down)
            pr_set_status(&sim->p, id, i == sim->g.primary, sim->g.term, sim->g.term,
                          (struct ps_pos){1, 100}, sim->now);
    }
    pr_tick(&sim->p, &sim->g, true, sim->now, &actions);
    for (int i = 0; i < actions.n; i++)
        perform_action(sim, &actions.a[i]);
    sim->now += TICK_US;
}

int bn_failover_messages(void)
{
    static struct simulation sim;
    struct pr_config cfg = {.silence_us = CK_MS(300),
                            .check_us = CK_MS(100),
                            .resend_us = CK_MS(100),
                            .attempt_us = CK_MS(500),
                            .hold_us = CK_MS(500),
                            .fenced_endpoints = true};
    sim.g = (struct vw_group){.name = "g", .n = INSTANCES, .copies = 2, .term = 1};
    for (int i = 0; i < INSTANCES; i++)
        sim.g.inst[i].id[0] = (char)('a' + i);
    sim.now = CK_SEC(10);
    pr_begin(&sim.p, &cfg, sim.now);
    for (int i = 0; i < KILL_TICK; i++)
        run_tick(&sim, false);
    memset(sim.counts, 0, sizeof(sim.counts));
    for (int i = KILL_TICK; i < TICKS && sim.g.primary == 0; i++)
        run_tick(&sim, true);
    printf("failover_checks %d\n", sim.counts[PR_DO_CHECK]);
    printf("failover_log_entries %d\n", sim.counts[PR_DO_REPLACE] + sim.counts[PR_DO_PRIMARY]);
    printf("failover_fences %d\n", sim.counts[PR_DO_FENCE]);
    printf("failover_promotions %d\n", sim.counts[PR_DO_PROMOTE]);
    return sim.g.primary == 0;
}
