/* What one change of primary costs in messages and log entries, counted on the pure module. */
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"
#include "misc/clock.h"
#include "promote/promote.h"

enum { INSTANCES = 3, TICKS = 400, TICK_US = 5000, KILL_AT = 100 };

struct world {
    struct pr_group p;
    struct vw_group g;
    int64_t now;
    int counts[PR_DO_PROBE + 1];
};

/* All that the module asks for is done at once: the least a change of primary can cost. */
static void carry_out(struct world *w, const struct pr_action *a)
{
    const char *id = a->inst >= 0 ? w->g.inst[a->inst].id : "";
    struct ps_pos held = {1, 100};
    bool dead = a->inst == 0;
    w->counts[a->kind]++;
    switch (a->kind) {
    case PR_DO_CHECK:
        pr_checks_sent(&w->p, 1);
        pr_check_reply(&w->p, a->term, PR_REFUSED);
        break;
    case PR_DO_REPLACE:
        w->g.phase = VW_REPLACING;
        w->g.term = a->term;
        break;
    case PR_DO_FENCE:
        if (!dead)
            pr_fenced(&w->p, id, a->term, held);
        break;
    case PR_DO_PROMOTE:
        pr_promoted(&w->p, id, a->term, held);
        break;
    case PR_DO_PRIMARY:
        w->g.phase = VW_SERVING;
        w->g.primary = a->inst;
        break;
    default:
        break;
    }
}

static void step(struct world *w, bool killed)
{
    struct pr_actions acts;
    for (int i = 0; i < INSTANCES; i++) {
        bool dead = killed && i == 0;
        const char *id = w->g.inst[i].id;
        for (int v = 0; v < 3; v++)
            pr_probed(&w->p, id, (uint64_t)v + 1, (const char *[]){"a", "b", "c"}[v],
                      dead ? PR_REFUSED : PR_UP, w->now);
        if (!dead)
            pr_set_status(&w->p, id, i == w->g.primary, w->g.term, w->g.term,
                          (struct ps_pos){1, 100}, w->now);
    }
    pr_tick(&w->p, &w->g, true, w->now, &acts);
    for (int i = 0; i < acts.n; i++)
        carry_out(w, &acts.a[i]);
    w->now += TICK_US;
}

int bn_messages(void)
{
    static struct world w;
    struct pr_config cfg = {.silence_us = CK_MS(300),
                            .check_us = CK_MS(100),
                            .resend_us = CK_MS(100),
                            .attempt_us = CK_MS(500),
                            .hold_us = CK_MS(500),
                            .fenced_endpoints = true};
    w.g = (struct vw_group){.name = "g", .n = INSTANCES, .copies = 2, .term = 1};
    for (int i = 0; i < INSTANCES; i++)
        w.g.inst[i].id[0] = (char)('a' + i);
    w.now = CK_SEC(10);
    pr_begin(&w.p, &cfg, w.now);
    for (int i = 0; i < KILL_AT; i++)
        step(&w, false);
    memset(w.counts, 0, sizeof(w.counts));
    for (int i = KILL_AT; i < TICKS && w.g.primary == 0; i++)
        step(&w, true);
    printf("failover_checks %d\n", w.counts[PR_DO_CHECK]);
    printf("failover_log_entries %d\n", w.counts[PR_DO_REPLACE] + w.counts[PR_DO_PRIMARY]);
    printf("failover_fences %d\n", w.counts[PR_DO_FENCE]);
    printf("failover_promotions %d\n", w.counts[PR_DO_PROMOTE]);
    return w.g.primary == 0;
}
