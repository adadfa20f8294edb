/* Changes of primary where instances obey fences: carries out what promote/ decides for each
 * group. */
#include <stdlib.h>

#include "control/control.h"
#include "misc/clock.h"

static void propose(struct ct_node *n, struct ct_group *g, enum vw_change_kind kind,
                    const struct pr_action *a)
{
    struct vw_change ch = {.kind = kind, .term = a->term, .pos = a->pos};
    if (kind == VW_CH_REPLACE)
        tl_add(n->tl, TL_DOWN, g->name, a->term, "%s",
               g->pr.why[0] ? g->pr.why : "no primary yet");
    ct_propose_for_group(n, g, a->inst, &ch);
}

static void do_follow(struct ct_node *n, struct ct_group *g, const struct pr_action *a)
{
    const struct vw_group *v = vw_group(&n->view, g->name);
    if (v->primary < 0)
        return;
    struct ep_request q = {.op = EP_DO_FOLLOW,
                           .term = a->term,
                           .ip = sr_from(v->inst[v->primary].ip),
                           .port = v->inst[v->primary].port};
    ct_send_op(g->inst[a->inst], &q);
}

static void do_action(struct ct_node *n, struct ct_group *g, const struct pr_action *a)
{
    struct ct_inst *in = a->inst >= 0 && a->inst < g->n ? g->inst[a->inst] : NULL;
    struct ep_request q = {.term = a->term};
    switch (a->kind) {
    case PR_DO_CHECK:
        pr_checks_sent(&g->pr, ct_request_checks(n, g->pr.nonce, in->id));
        break;
    case PR_DO_REPLACE:
        propose(n, g, VW_CH_REPLACE, a);
        break;
    case PR_DO_ABANDON:
        propose(n, g, VW_CH_ABANDON, a);
        break;
    case PR_DO_PRIMARY:
        n->counters.promotions++;
        propose(n, g, VW_CH_PRIMARY, a);
        break;
    case PR_DO_FENCE:
        q.op = EP_DO_FENCE;
        in->fence_term = a->term;
        in->fence_id = ct_send_op(in, &q);
        break;
    case PR_DO_PROMOTE:
        q.op = EP_DO_PROMOTE;
        in->promote_term = a->term;
        in->promote_id = ct_send_op(in, &q);
        break;
    case PR_DO_FOLLOW:
        do_follow(n, g, a);
        break;
    case PR_DO_PROBE:
        ct_probe(in, 0, ck_now());
        break;
    }
}

static void act_on(struct ct_node *n, struct ct_group *g, const struct pr_actions *acts)
{
    for (int i = 0; i < acts->n; i++)
        do_action(n, g, &acts->a[i]);
}

static void decide(struct ct_node *n, struct ct_group *g)
{
    const struct vw_group *v = vw_group(&n->view, g->name);
    struct pr_actions acts;
    bool fenced_handover = n->s->fence && v->phase == VW_HANDING;
    bool applied = fenced_handover ? ls_known_applied(&n->leases, g->phase_generation, ck_now())
                                   : ls_all_applied(&n->leases, g->phase_generation, ck_now());
    pr_tick(&g->pr, v, applied, ck_now(), &acts);
    act_on(n, g, &acts);
}

static struct pr_config pr_config_of(const struct st_settings *s)
{
    return (struct pr_config){
        .silence_us = CK_MS(s->silence_ms),
        .check_us = CK_MS(s->check_ms),
        .resend_us = CK_MS(s->probe_ms) * 2,
        .attempt_us = CK_MS(s->attempt_ms),
        .hold_us = CK_MS(s->hold_ms),
        .hand_us = CK_MS(s->hand_ms),
        .fenced_endpoints = s->fence,
        .fault = {.wait_leases = s->lease_failover, .any_replica = s->off_best}};
}

static void begin(struct ct_node *n, struct ct_group *g)
{
    struct pr_config cfg = pr_config_of(n->s);
    pr_begin(&g->pr, &cfg, ck_now());
}

static void probed(struct ct_group *g, const char *inst, uint64_t vantage, const char *domain,
                   enum pr_health health)
{
    pr_probed(&g->pr, inst, vantage, domain, health == PR_UNFIT ? PR_UP : health, ck_now());
}

static void replied(struct ct_group *g, const char *inst, const struct ep_reply *r,
                    int64_t asked_at)
{
    (void)asked_at;
    pr_set_status(&g->pr, inst, r->primary, r->term, r->following, r->held, ck_now());
}

static void connected(struct ct_group *g, const char *inst)
{
    pr_reconnected(&g->pr, inst, ck_now());
}

static void checked(struct ct_group *g, uint64_t nonce, enum pr_health health)
{
    pr_check_reply(&g->pr, nonce, health == PR_UNFIT ? PR_UP : health);
}

static bool busy(const struct ct_group *g)
{
    return g->pr.step != PR_IDLE;
}

const struct ct_failover_ops ct_failover_promote = {begin,   probed, replied, connected,
                                                    checked, decide, busy};
