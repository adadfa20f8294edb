/* Routing: sends each request to a replica, to the primary or to another entry node, or parks
 * it until the group has a primary. */
#include <stddef.h>
#include <stdlib.h>

#include <xxhash.h>

#include "entry/entry.h"
#include "misc/clock.h"

enum {
    MAX_PARKED = 2000, /* limit of a group's requests that wait for a primary */
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
        en_fail(r, ER_OVERLOAD, en_jitter(n, NO_LEASE_RETRY_MS),
                "too many requests wait for a primary");
        return;
    }
    if (g->n_parked == 0)
        tl_add(n->tl, TL_PARKED, g->cfg.name, g->cfg.term, "requests wait for a primary");
    n->c.parked++;
    r->state = EN_PARKED;
    r->tried_mask = 0;
    r->attempts = 0;
    if (!r->parked_at)
        r->parked_at = ck_now();
    r->next_waiting = NULL;
    *g->parked_tail = r;
    g->parked_tail = &r->next_waiting;
    g->n_parked++;
}

void en_unpark(struct en_group *g)
{
    struct en_req *r = g->parked;
    g->parked = NULL;
    g->parked_tail = &g->parked;
    g->n_parked = 0;
    while (r) {
        struct en_req *next = r->next_waiting;
        r->state = EN_NEW;
        r->next_waiting = NULL;
        en_route(r);
        r = next;
    }
}

static void run_deferred(void *ud)
{
    struct en_node *n = ud;
    struct en_req *r = n->deferred;
    n->deferred = NULL;
    while (r) {
        struct en_req *next = r->next_waiting;
        r->state = EN_NEW;
        r->next_waiting = NULL;
        if (n->exit_began)
            en_fail(r, ER_STOPPING, 1, "this node is stopping: use another node");
        else if (r->deferred_kind == ER_NONE)
            en_route(r);
        else
            en_fail(r, r->deferred_kind, r->deferred_retry_ms, NULL);
        r = next;
    }
}

void en_defer(struct en_req *r, enum er_kind kind, int64_t retry_ms)
{
    struct en_node *n = r->caller->node;
    r->state = EN_DEFERRED;
    r->deferred_kind = kind;
    r->deferred_retry_ms = retry_ms;
    r->next_waiting = n->deferred;
    n->deferred = r;
    nt_timer_set(n->loop, &n->deferred_timer, 1, run_deferred, n);
}

/* ---- routing ---- */

/* With the setting minpos an instance checks positions itself, and it also refuses reads while
 * the end of its log may still be lost. Without minpos an instance gets reads only if it is
 * known to follow the term in force. */
static bool follows_serve_term(const struct en_inst *in)
{
    const struct en_group *g = in->group;
    bool checks_positions = in->node->s->minpos;
    return checks_positions || in->index == g->cfg.primary ||
           in->followed_term == g->serve_term;
}

static void refresh_route(struct en_group *g)
{
    struct rt_group *rt = &g->rt;
    rt->primary = g->cfg.phase == VW_SERVING ? g->cfg.primary : -1;
    for (int i = 0; i < g->cfg.n; i++) {
        struct en_inst *in = g->inst[i];
        /* A primary that is being replaced may hold entries that no other instance will ever
         * get. */
        bool being_replaced = g->cfg.phase != VW_SERVING && i == g->cfg.primary;
        rt->inst[i].usable = en_inst_usable(in) && !being_replaced && follows_serve_term(in);
        rt->inst[i].draining = g->cfg.inst[i].draining;
        rt->inst[i].in_flight = in->queue.in_flight + in->queue.queued;
        rt->inst[i].limit = in->queue.limit >= 1 ? (int)in->queue.limit : 1;
    }
}

static enum ad_class admission_class(const struct en_req *r)
{
    if (r->req.kind != CL_READ)
        return AD_WRITE;
    return r->req.age_ms >= 0 ? AD_AGED : AD_SESSION;
}

static void enqueue(struct en_req *r, struct en_inst *in)
{
    int64_t retry = 0, now = ck_now();
    r->inst = in;
    r->at_primary = in->index == in->group->cfg.primary;
    r->item.cls = admission_class(r);
    r->item.account = XXH64(r->req.account, strlen(r->req.account), 0);
    r->item.deadline = r->deadline;
    r->item.first = r->req.priority > 0;
    if (ad_offer(&in->queue, &r->item, now, &retry)) {
        r->state = EN_QUEUED;
        en_inst_dispatch(in);
        return;
    }
    r->tried_mask |= 1u << in->index;
    if (r->req.kind == CL_READ && !r->at_primary) {
        en_route(r); /* another replica may have queue space */
        return;
    }
    en_fail(r, ER_OVERLOAD, retry, NULL);
}

static void route_to_primary(struct en_req *r)
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
    if (!en_inst_usable(in)) {
        en_report_inst(in, in->refusing ? WR_REFUSED : WR_SILENT);
        en_park(r);
        return;
    }
    r->min_pos = (struct ps_pos){0};
    r->wait_us = 0;
    enqueue(r, in);
}

static void route_read(struct en_req *r)
{
    struct en_group *g = r->group;
    struct en_node *n = g->node;
    int64_t now = ck_now();
    int64_t age = r->req.age_ms;
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
        route_to_primary(r);
        return;
    }
    struct rt_choice c = rt_choose_for_read(&g->rt, &q, r->tried_mask, now);
    if (c.inst < 0 || c.primary) {
        route_to_primary(r);
        return;
    }
    r->min_pos = c.min;
    r->wait_us = c.wait_us;
    n->c.waited += c.wait_us > 0;
    enqueue(r, g->inst[c.inst]);
}

void en_route(struct en_req *r)
{
    r->state = EN_NEW;
    r->ep = NULL;
    if (++r->attempts > MAX_ATTEMPTS && r->req.kind == CL_READ) {
        en_fail(r, ER_ENDPOINT, en_jitter(r->caller->node, 50),
                "no instance could serve the read");
        return;
    }
    if (!r->group->held)
        en_forward(r);
    else if (r->req.kind == CL_READ)
        route_read(r);
    else
        route_to_primary(r);
}
