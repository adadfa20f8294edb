/* Where a request goes: to a replica, to the primary, to another entry node, or to wait. */
#include <stddef.h>
#include <stdlib.h>

#include <xxhash.h>

#include "entry/entry.h"
#include "misc/clock.h"

enum {
    MAX_PARKED = 2000, /* requests of a group that wait for a primary */
    MAX_ATTEMPTS = 6,
    NO_LEASE_RETRY_MS = 200,
};

/* ---- waiting for a primary ---- */

void en_park(struct en_req *r)
{
    struct en_group *g = r->group;
    struct en_node *n = g->node;
    if (!en_leased(n)) {
        en_fail(r, ER_NO_LEASE, en_jitter(n, NO_LEASE_RETRY_MS), NULL);
        return;
    }
    if (g->n_parked >= MAX_PARKED) {
        en_fail(r, ER_OVERLOAD, en_jitter(n, NO_LEASE_RETRY_MS), "too many wait for a primary");
        return;
    }
    if (g->n_parked == 0)
        tl_add(n->tl, TL_PARKED, g->cfg.name, g->cfg.term, "requests wait for a primary");
    n->c.parked++;
    r->state = EN_PARKED;
    r->tried = 0;
    r->attempts = 0;
    if (!r->parked_at)
        r->parked_at = ck_now();
    r->chain = NULL;
    *g->parked_tail = r;
    g->parked_tail = &r->chain;
    g->n_parked++;
}

void en_unpark(struct en_group *g)
{
    struct en_req *r = g->parked;
    g->parked = NULL;
    g->parked_tail = &g->parked;
    g->n_parked = 0;
    while (r) {
        struct en_req *next = r->chain;
        r->state = EN_NEW;
        r->chain = NULL;
        en_route(r);
        r = next;
    }
}

static void run_later(void *ud)
{
    struct en_node *n = ud;
    struct en_req *r = n->later;
    n->later = NULL;
    while (r) {
        struct en_req *next = r->chain;
        r->state = EN_NEW;
        r->chain = NULL;
        if (r->later_kind == ER_NONE)
            en_route(r);
        else
            en_fail(r, r->later_kind, r->later_retry, NULL);
        r = next;
    }
}

void en_later(struct en_req *r, enum er_kind kind, int64_t retry_ms)
{
    struct en_node *n = r->caller->node;
    r->state = EN_LATER;
    r->later_kind = kind;
    r->later_retry = retry_ms;
    r->chain = n->later;
    n->later = r;
    nt_timer_set(n->loop, &n->later_timer, 1, run_later, n);
}

/* ---- routing ---- */

/* An instance that checks positions itself also refuses while its log may still lose its end.
 * One that does not is asked only when it is known to follow the term in force. */
static bool follows(const struct en_inst *in)
{
    const struct en_group *g = in->group;
    bool checks = in->node->s->minpos;
    return checks || in->at == g->cfg.primary || in->following == g->serve_term;
}

static void refresh_route(struct en_group *g)
{
    struct rt_group *rt = &g->rt;
    rt->primary = g->cfg.phase == VW_SERVING ? g->cfg.primary : -1;
    for (int i = 0; i < g->cfg.n; i++) {
        struct en_inst *in = g->inst[i];
        /* A primary on its way out may hold what nobody else does and nobody ever will. */
        bool leaving = g->cfg.phase != VW_SERVING && i == g->cfg.primary;
        rt->inst[i].usable = en_usable(in) && !leaving && follows(in);
        rt->inst[i].draining = g->cfg.inst[i].draining;
        rt->inst[i].in_flight = in->q.in_flight + in->q.queued;
        rt->inst[i].limit = in->q.limit >= 1 ? (int)in->q.limit : 1;
    }
}

static enum ad_class class_of(const struct en_req *r)
{
    if (r->r.kind != CL_READ)
        return AD_WRITE;
    return r->r.age_ms >= 0 ? AD_AGED : AD_SESSION;
}

static void enqueue(struct en_req *r, struct en_inst *in)
{
    int64_t retry = 0, now = ck_now();
    r->inst = in;
    r->at_primary = in->at == in->group->cfg.primary;
    r->item.cls = class_of(r);
    r->item.account = XXH64(r->r.account, strlen(r->r.account), 0);
    r->item.deadline = r->deadline;
    r->item.first = r->r.priority > 0;
    if (ad_offer(&in->q, &r->item, now, &retry)) {
        r->state = EN_QUEUED;
        en_pump(in);
        return;
    }
    r->tried |= 1u << in->at;
    if (r->r.kind == CL_READ && !r->at_primary) {
        en_route(r); /* another replica may have room */
        return;
    }
    en_fail(r, ER_OVERLOAD, retry, NULL);
}

static void to_primary(struct en_req *r)
{
    struct en_group *g = r->group;
    if (g->cfg.phase != VW_SERVING || g->cfg.primary < 0) {
        en_park(r);
        return;
    }
    struct en_inst *in = g->inst[g->cfg.primary];
    if (!en_leased(g->node)) {
        en_fail(r, ER_NO_LEASE, en_jitter(g->node, NO_LEASE_RETRY_MS), NULL);
        return;
    }
    if (!en_usable(in)) {
        en_suspect(in, in->refusing ? WR_REFUSED : WR_SILENT);
        en_park(r);
        return;
    }
    r->min = (struct ps_pos){0};
    r->wait_us = 0;
    enqueue(r, in);
}

static void route_read(struct en_req *r)
{
    struct en_group *g = r->group;
    struct en_node *n = g->node;
    int64_t now = ck_now();
    int64_t age = r->r.age_ms;
    if (age > g->cfg.max_age_ms)
        age = g->cfg.max_age_ms;
    struct rt_query q = {.has_token = r->has_token,
                         .token = r->token,
                         .max_age_us = age >= 0 ? CK_MS(age) : -1,
                         .max_wait_us = CK_MS(n->s->read_wait_ms)};
    refresh_route(g);
    if (n->s->off_tokens && r->has_token)
        q.token = (struct ps_pos){0};
    if (n->s->primary_only) {
        to_primary(r);
        return;
    }
    struct rt_choice c = rt_choose_for_read(&g->rt, &q, r->tried, now);
    if (c.inst < 0 || c.primary) {
        to_primary(r);
        return;
    }
    r->min = c.min;
    r->wait_us = c.wait_us;
    n->c.waited += c.wait_us > 0;
    enqueue(r, g->inst[c.inst]);
}

void en_route(struct en_req *r)
{
    r->state = EN_NEW;
    r->ep = NULL;
    if (++r->attempts > MAX_ATTEMPTS && r->r.kind == CL_READ) {
        en_fail(r, ER_ENDPOINT, en_jitter(r->caller->node, 50), "no instance could serve it");
        return;
    }
    if (!r->group->held)
        en_forward(r);
    else if (r->r.kind == CL_READ)
        route_read(r);
    else
        to_primary(r);
}
