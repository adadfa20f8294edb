/* Reports and status of a group's instances; decides whether an instance is down. */
#include "promote/evidence.h"

#include <stdio.h>
#include <string.h>

enum { REPORT_STALE_US = 1000000 };

struct pr_inst *pe_find_inst(struct pr_group *p, const char *id)
{
    for (int i = 0; i < p->n; i++) {
        if (strcmp(p->inst[i].id, id) == 0)
            return &p->inst[i];
    }
    return NULL;
}

void pe_sync_instances(struct pr_group *p, const struct vw_group *g)
{
    struct pr_inst next[VW_MAX_INSTANCES];
    bool same = p->n == g->n;
    for (int i = 0; i < g->n && same; i++)
        same = strcmp(p->inst[i].id, g->inst[i].id) == 0;
    if (same)
        return;
    memset(next, 0, sizeof(next));
    for (int i = 0; i < g->n; i++) {
        const struct pr_inst *old = pe_find_inst(p, g->inst[i].id);
        if (old)
            next[i] = *old;
        else
            snprintf(next[i].id, sizeof(next[i].id), "%s", g->inst[i].id);
    }
    memcpy(p->inst, next, sizeof(next));
    p->n = g->n;
}

void pr_probed(struct pr_group *p, const char *inst, uint64_t vantage, const char *domain,
               enum pr_health health, int64_t now)
{
    struct pr_inst *in = pe_find_inst(p, inst);
    if (!in)
        return;
    struct pr_report *r = NULL;
    for (int i = 0; i < PR_VANTAGES; i++) {
        if (in->reports[i].vantage == vantage) {
            r = &in->reports[i];
            break;
        }
        if (!r &&
            (in->reports[i].vantage == 0 || now - in->reports[i].reported_at > REPORT_STALE_US))
            r = &in->reports[i];
    }
    if (!r)
        return;
    bool was_down = r->vantage == vantage && r->health >= PR_SILENT;
    if (health >= PR_SILENT && !was_down)
        r->down_since = now;
    r->vantage = vantage;
    snprintf(r->domain, sizeof(r->domain), "%s", domain);
    r->health = health;
    r->reported_at = now;
}

void pr_set_status(struct pr_group *p, const char *inst, bool primary, uint64_t term,
                   uint64_t following, struct ps_pos held, int64_t now)
{
    struct pr_inst *in = pe_find_inst(p, inst);
    if (!in)
        return;
    in->primary = primary;
    in->term = term;
    in->following = following;
    in->held = held;
    in->status_at = now;
}

void pr_checks_sent(struct pr_group *p, int n)
{
    p->checks_pending = n;
}

void pr_check_reply(struct pr_group *p, uint64_t nonce, enum pr_health health)
{
    if (p->step != PR_CHECKING || nonce != p->nonce)
        return;
    p->checks_pending--;
    if (health == PR_UP)
        p->checks_up++;
    else if (health >= PR_SILENT)
        p->checks_down++;
}

void pr_fenced(struct pr_group *p, const char *inst, uint64_t term, struct ps_pos held)
{
    struct pr_inst *in = pe_find_inst(p, inst);
    if (!in || term < in->fence_term)
        return;
    in->fence_term = term;
    in->fenced_pos = held;
}

void pr_promoted(struct pr_group *p, const char *inst, uint64_t term, struct ps_pos start)
{
    struct pr_inst *in = pe_find_inst(p, inst);
    if (!in || p->step != PR_PROMOTING || term != p->term || in != &p->inst[p->chosen])
        return;
    in->fenced_pos = start;
    p->step = PR_CONCLUDING;
    p->step_at = 0;
}

void pr_reconnected(struct pr_group *p, const char *inst, int64_t now)
{
    struct pr_inst *in = pe_find_inst(p, inst);
    if (in)
        in->order_sent_at = now - p->cfg.resend_us;
}

/* ---- detection ---- */

struct pe_verdict pe_evaluate(const struct pr_inst *in, int64_t now)
{
    struct pe_verdict v = {0};
    const char *seen[PR_VANTAGES];
    for (int i = 0; i < PR_VANTAGES; i++) {
        const struct pr_report *r = &in->reports[i];
        if (!r->vantage || now - r->reported_at > REPORT_STALE_US)
            continue;
        if (r->health == PR_UP)
            v.up++;
        if (r->health < PR_SILENT)
            continue;
        v.refused = v.refused || r->health == PR_REFUSED;
        bool is_new = true;
        for (int k = 0; k < v.down_domains; k++)
            is_new = is_new && strcmp(seen[k], r->domain) != 0;
        if (is_new)
            seen[v.down_domains++] = r->domain;
    }
    return v;
}

bool pe_is_down(const struct pe_verdict *v)
{
    return v->down_domains >= 2 && v->up == 0;
}

bool pe_inst_is_down(const struct pr_inst *in, int64_t now)
{
    struct pe_verdict v = pe_evaluate(in, now);
    return pe_is_down(&v);
}
