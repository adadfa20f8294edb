/* Runs the decisions on changes of primary (promotions.c, takeovers.c) for each group and
 * proposes the changes that they decide on. */
#include "control/control.h"

void ct_propose_for_group(struct ct_node *n, const struct ct_group *g, int inst,
                          struct vw_change *ch)
{
    struct er_err err = {0};
    sr_copy(ch->group, sizeof(ch->group), sr_from(g->name));
    if (inst >= 0)
        sr_copy(ch->instance, sizeof(ch->instance), sr_from(g->inst[inst]->id));
    if (!ct_propose(n, ch, NULL, &err))
        FL_WARN(&n->log, "%s: %s: %s", g->name, vw_change_name(ch->kind), err.text);
}

void ct_group_tick(struct ct_node *n, struct ct_group *g)
{
    const struct vw_group *v = vw_group(&n->view, g->name);
    if (!v || !n->leading || !ct_quorum_confirmed(n))
        return;
    if (v->primary < 0 && v->phase == VW_SERVING)
        return;
    n->failover->tick(n, g);
}

static void tick_groups(void *ud)
{
    struct ct_node *n = ud;
    for (int g = 0; g < n->n_groups; g++) {
        if (n->groups[g]->tick_due)
            ct_group_tick(n, n->groups[g]);
        n->groups[g]->tick_due = false;
    }
}

void ct_schedule_group_ticks(struct ct_node *n)
{
    nt_timer_set(n->loop, &n->group_tick_timer, 1, tick_groups, n);
}
