/* A request's life: from the caller's text to its one answer. */
#include <stddef.h>
#include <stdlib.h>

#include <xxhash.h>

#include "entry/entry.h"
#include "misc/clock.h"

enum {
    MAX_PARKED = 2000, /* requests of a group that wait for a primary */
    MAX_ATTEMPTS = 6,
    NO_LEASE_RETRY_MS = 200,
    RETRY_BUDGET_MAX = 100,
    READ_SILENT_US = 200000, /* a read at an instance silent for so long goes elsewhere */
};

/* ---- answering ---- */

static void unlink_req(struct en_req *r)
{
    struct en_node *n = r->caller->node;
    if (r->prev)
        r->prev->next = r->next;
    else
        n->reqs = r->next;
    if (r->next)
        r->next->prev = r->prev;
    n->n_reqs--;
}

static void unchain(struct en_req **at, struct en_req *r)
{
    while (*at && *at != r)
        at = &(*at)->chain;
    if (*at)
        *at = r->chain;
}

/* Take the request out of whatever list it waits in. */
static void detach(struct en_req *r)
{
    struct en_group *g = r->group;
    if (r->state == EN_PARKED) {
        unchain(&g->parked, r);
        g->parked_tail = &g->parked;
        while (*g->parked_tail)
            g->parked_tail = &(*g->parked_tail)->chain;
        g->n_parked--;
    } else if (r->state == EN_HOLDING) {
        unchain(&g->holding, r);
    } else if (r->state == EN_SENT && r->ep && r->ep->req == r) {
        r->ep->req = NULL;
        r->ep->orphan = true; /* its reply is late now */
        if (r->txn)
            en_ep_close(r->ep); /* nobody can say how far the transaction is */
    } else if (r->state == EN_QUEUED) {
        ad_remove(&r->inst->q, &r->item);
    } else if (r->state == EN_FORWARDED && r->up) {
        en_up_forget(r);
    }
    r->ep = NULL;
    r->state = EN_NEW;
}

static void count(struct en_node *n, const struct en_req *r, enum er_kind kind)
{
    static const size_t at[] = {[ER_ANS_OK] = offsetof(struct en_counters, ok),
                                [ER_ANS_NOT_RUN] = offsetof(struct en_counters, not_run),
                                [ER_ANS_UNKNOWN] = offsetof(struct en_counters, unknown),
                                [ER_ANS_REJECTED] = offsetof(struct en_counters, rejected)};
    (*(uint64_t *)((char *)&n->c + at[er_answer(kind)]))++;
    n->c.by_reason[kind]++;
    if (kind != ER_NONE)
        return;
    n->retry_budget += n->s->retry_permille / 1000.0;
    if (n->retry_budget > RETRY_BUDGET_MAX)
        n->retry_budget = RETRY_BUDGET_MAX;
    hi_add(r->r.kind == CL_READ ? &n->lat_read : &n->lat_write, ck_now() - r->arrived);
}

static void send_text(struct en_caller *c, const struct sr_buf *b, enum er_kind kind)
{
    if (!c->net)
        return;
    if (c->http)
        nt_http_reply(c->net, er_http(kind), "application/json", b->p, b->len);
    else
        nt_send(c->net, b->p, b->len);
}

static void finish(struct en_req *r, const struct sr_buf *text, enum er_kind kind)
{
    struct en_caller *c = r->caller;
    detach(r);
    count(c->node, r, kind);
    send_text(c, text, kind);
    unlink_req(r);
    if (r->txn && r->txn->busy)
        r->txn->busy = false;
    cl_request_free(&r->r);
    sr_buf_free(&r->value);
    free(r);
    c->outstanding--;
    en_caller_release(c);
}

void en_answer(struct en_req *r, const struct cl_answer *a)
{
    struct sr_buf b = {0};
    cl_write(&b, r->r.id, a);
    finish(r, &b, a->kind);
    sr_buf_free(&b);
}

void en_relay(struct en_req *r, const char *text, size_t len, enum er_kind kind)
{
    struct sr_buf b = {(char *)text, len, len};
    finish(r, &b, kind);
}

void en_fail(struct en_req *r, enum er_kind kind, int64_t retry_ms, const char *detail)
{
    struct cl_answer a = {.kind = kind, .retry_after_ms = retry_ms, .detail = detail};
    en_answer(r, &a);
}

static int64_t jitter(struct en_node *n, int64_t ms)
{
    return ms + (int64_t)rn_below(&n->rng, (uint64_t)ms + 1);
}

static void succeed(struct en_req *r)
{
    struct en_group *g = r->group;
    struct en_node *n = g->node;
    char token[SS_TOKEN_TEXT] = "";
    struct ps_pos seen = r->has_token ? ps_max(r->token, r->pos) : r->pos;
    if (seen.pos)
        ss_token_make(&n->key, sr_from(g->cfg.name), seen, token);
    struct cl_answer a = {.value = {r->value.p ? r->value.p : "", r->value.len},
                          .token = token,
                          .txn = r->txn && r->r.kind == CL_BEGIN ? r->txn->name : NULL,
                          .served_by = r->inst ? r->inst->cfg.id : NULL,
                          .replica = !r->at_primary,
                          .duplicate = r->duplicate,
                          .durable = true};
    n->c.duplicates += r->duplicate;
    en_answer(r, &a);
}

/* ---- waiting until enough instances hold it ---- */

static int holders(const struct en_group *g, struct ps_pos pos)
{
    int n = 0;
    for (int i = 0; i < g->cfg.n; i++) {
        if (i == g->cfg.primary) {
            n++; /* it answered with this position */
            continue;
        }
        if (g->cfg.inst[i].draining)
            continue; /* it may be removed any moment */
        n += ps_covers(g->inst[i]->held, pos, g->cfg.starts, g->cfg.n_starts);
    }
    return n;
}

static void first_write(struct en_group *g, const struct en_req *r)
{
    if (g->first_write == r->term || r->r.kind == CL_READ)
        return;
    g->first_write = r->term;
    tl_add(g->node->tl, TL_FIRST_WRITE, g->cfg.name, r->term, "first acknowledged write");
}

/* The one place where an acknowledgement leaves: the lease must be live and for the term the
 * statement ran in. */
static void acknowledge(struct en_req *r)
{
    struct en_group *g = r->group;
    bool in_force = en_leased(g->node) && r->term == g->serve_term;
    if (!in_force && !g->node->s->off_terms) {
        en_fail(r, ER_REPLACED, 0, "the primary was replaced or this node lost its lease");
        return;
    }
    first_write(g, r);
    succeed(r);
}

static void hold(struct en_req *r)
{
    struct en_group *g = r->group;
    if (holders(g, r->pos) >= g->cfg.copies || g->node->s->off_copies) {
        acknowledge(r);
        return;
    }
    r->state = EN_HOLDING;
    r->chain = g->holding;
    g->holding = r;
}

void en_commit_done(struct en_req *r)
{
    hold(r);
}

void en_held_moved(struct en_group *g)
{
    struct en_req *r = g->holding;
    while (r) {
        struct en_req *next = r->chain;
        if (holders(g, r->pos) >= g->cfg.copies)
            acknowledge(r);
        r = next;
    }
}

/* ---- waiting for a primary ---- */

static void park(struct en_req *r)
{
    struct en_group *g = r->group;
    struct en_node *n = g->node;
    if (!en_leased(n)) {
        en_fail(r, ER_NO_LEASE, jitter(n, NO_LEASE_RETRY_MS), NULL);
        return;
    }
    if (g->n_parked >= MAX_PARKED) {
        en_fail(r, ER_OVERLOAD, jitter(n, NO_LEASE_RETRY_MS), "too many wait for a primary");
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

static void refresh_route(struct en_group *g, int64_t now)
{
    struct rt_group *rt = &g->rt;
    rt->primary = g->cfg.phase == VW_SERVING ? g->cfg.primary : -1;
    for (int i = 0; i < g->cfg.n; i++) {
        struct en_inst *in = g->inst[i];
        /* A primary on its way out may hold what nobody else does and nobody ever will. */
        bool leaving = g->cfg.phase != VW_SERVING && i == g->cfg.primary;
        rt->inst[i].usable = en_usable(in, now) && !leaving;
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
    int64_t now = ck_now();
    if (g->cfg.phase != VW_SERVING || g->cfg.primary < 0) {
        park(r);
        return;
    }
    struct en_inst *in = g->inst[g->cfg.primary];
    if (!en_leased(g->node)) {
        en_fail(r, ER_NO_LEASE, jitter(g->node, NO_LEASE_RETRY_MS), NULL);
        return;
    }
    if (!en_usable(in, now)) {
        en_suspect(in, in->refusing ? WR_REFUSED : WR_SILENT);
        park(r);
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
    refresh_route(g, now);
    if (n->s->off_tokens && r->has_token)
        q.token = (struct ps_pos){0};
    if (n->s->primary_only) {
        to_primary(r);
        return;
    }
    struct rt_choice c = rt_read(&g->rt, &q, r->tried, now);
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
        en_fail(r, ER_ENDPOINT, jitter(r->caller->node, 50), "no instance could serve it");
        return;
    }
    if (!r->group->held)
        en_forward(r);
    else if (r->r.kind == CL_READ)
        route_read(r);
    else
        to_primary(r);
}

/* ---- replies ---- */

static void read_done(struct en_req *r, struct en_inst *in, const struct ep_reply *rep)
{
    struct en_node *n = in->node;
    r->pos = rep->pos;
    if (!r->at_primary) {
        n->c.reads_replica++;
        succeed(r);
        return;
    }
    /* What was read at the primary must not vanish with it: wait like a write. */
    n->c.reads_primary++;
    hold(r);
}

static void refused(struct en_req *r, struct en_inst *in)
{
    /* The instance did not run it: this view is older than its term. */
    en_suspect(in, WR_UNKNOWN);
    park(r);
}

void en_reply(struct en_req *r, struct en_ep *ep, const struct ep_reply *rep)
{
    struct en_inst *in = ep->inst;
    r->ep = NULL;
    if (r->txn || r->r.kind == CL_BEGIN) {
        en_txn_reply(r, ep, rep);
        return;
    }
    switch (rep->result) {
    case EP_BEHIND:
        in->node->c.reads_behind++;
        r->tried |= 1u << in->at;
        en_route(r);
        return;
    case EP_REFUSED:
        refused(r, in);
        return;
    case EP_BAD: {
        char detail[160];
        snprintf(detail, sizeof(detail), "%.*s", (int)rep->value.len, rep->value.p);
        en_fail(r, ER_BAD_INPUT, 0, detail);
        return;
    }
    case EP_OK:
        break;
    }
    sr_buf_add(&r->value, rep->value.p, rep->value.len);
    r->duplicate = rep->duplicate;
    if (r->r.kind == CL_READ) {
        read_done(r, in, rep);
        return;
    }
    in->node->c.writes++;
    r->pos = rep->pos;
    hold(r);
}

static bool may_retry(struct en_req *r)
{
    struct en_node *n = r->caller->node;
    bool safe = r->r.kind == CL_READ || r->r.kind == CL_BEGIN || r->r.repeat_safe;
    if (!safe && !n->s->off_once)
        return false;
    if (n->retry_budget < 1) {
        n->c.retry_denied++;
        return false;
    }
    n->retry_budget -= 1;
    n->c.retries++;
    return true;
}

void en_lost(struct en_req *r)
{
    r->ep = NULL;
    r->state = EN_NEW;
    if (r->txn) {
        bool commit = r->r.kind == CL_COMMIT;
        en_fail(r, commit ? ER_LOST : ER_BAD_TXN, 0,
                commit ? "the connection was lost at commit"
                       : "the transaction was lost with its connection and rolled back");
        return;
    }
    if (may_retry(r)) {
        r->tried |= r->r.kind == CL_READ && r->inst ? 1u << r->inst->at : 0;
        en_route(r);
        return;
    }
    en_fail(r, ER_LOST, 0, "the connection was lost after the statement was sent");
}

/* ---- terms and time ---- */

int en_writes_in_flight(const struct en_group *g)
{
    int n = 0;
    for (const struct en_req *r = g->node->reqs; r; r = r->next) {
        bool at_work = r->state == EN_SENT || r->state == EN_HOLDING;
        n += r->group == g && r->at_primary && at_work;
    }
    return n;
}

/* The term is over here: whatever ran in it has no answer we may give. */
void en_drop_term(struct en_group *g)
{
    struct en_req *next;
    g->serve_term = 0;
    for (struct en_req *r = g->node->reqs; r; r = next) {
        next = r->next;
        if (r->group != g || !r->at_primary)
            continue;
        if (r->state == EN_SENT && r->r.kind == CL_READ && !r->txn) {
            r->ep->req = NULL;
            r->ep->orphan = true;
            r->ep = NULL;
            en_later(r, ER_NONE, 0); /* it changed nothing: ask the next primary */
        } else if (r->state == EN_SENT || r->state == EN_HOLDING) {
            en_fail(r, ER_REPLACED, 0, "the primary was replaced while the statement ran");
        }
    }
    en_txn_drop(g);
}

static enum er_kind past_deadline(const struct en_req *r)
{
    bool away = r->state == EN_SENT || r->state == EN_HOLDING || r->state == EN_FORWARDED;
    if (away)
        return r->r.kind == CL_BEGIN ? ER_DEADLINE : ER_LOST;
    return r->state == EN_PARKED ? ER_NO_PRIMARY : ER_DEADLINE;
}

static bool parked_too_long(const struct en_req *r, int64_t now)
{
    int64_t most = CK_MS(r->group->node->s->park_ms);
    return r->state == EN_PARKED && (now - r->parked_at > most || !en_leased(r->group->node));
}

static bool stuck_read(const struct en_req *r, int64_t now)
{
    if (r->state != EN_SENT || r->r.kind != CL_READ || r->txn || r->at_primary || !r->inst)
        return false;
    return !en_usable(r->inst, now) && now - r->ep->sent_at > READ_SILENT_US;
}

void en_sweep(struct en_node *n, int64_t now)
{
    struct en_req *next;
    for (struct en_req *r = n->reqs; r; r = next) {
        next = r->next;
        if (r->state == EN_LATER)
            continue;
        if (now >= r->deadline) {
            en_fail(r, past_deadline(r), jitter(n, 50), "the deadline passed");
        } else if (parked_too_long(r, now)) {
            en_fail(r, en_leased(n) ? ER_NO_PRIMARY : ER_NO_LEASE, jitter(n, 200), NULL);
        } else if (stuck_read(r, now)) {
            struct en_ep *ep = r->ep;
            r->tried |= 1u << r->inst->at;
            ep->req = NULL;
            en_ep_close(ep);
            en_later(r, ER_NONE, 0);
        }
    }
}

/* ---- arrival ---- */

static bool id_expired(const struct en_node *n, const struct cl_request *r)
{
    bool unsafe = !r->repeat_safe && (r->kind == CL_WRITE || r->kind == CL_COMMIT);
    if (!unsafe || !r->issued_ms)
        return false;
    return ck_wall_ms() - r->issued_ms > (int64_t)n->s->resend_window_s * 1000;
}

static void admit_request(struct en_req *r)
{
    struct en_node *n = r->caller->node;
    r->group = en_group(n, r->r.db);
    if (n->stopping && !r->r.txn[0]) {
        en_fail(r, ER_STOPPING, 1, "this node is stopping: use another");
        return;
    }
    if (n->view.generation == 0) {
        en_fail(r, ER_NO_LEASE, jitter(n, NO_LEASE_RETRY_MS), NULL);
        return;
    }
    if (!r->group) {
        en_fail(r, ER_NO_DATABASE, 0, "no such database");
        return;
    }
    if (id_expired(n, &r->r)) {
        en_fail(r, ER_ID_EXPIRED, 0, "issued_ms is older than the resend window");
        return;
    }
    if (r->r.token[0]) {
        r->has_token = ss_token_read(&n->key, sr_from(r->r.db), sr_from(r->r.token), &r->token);
        n->c.bad_tokens += !r->has_token;
    }
    if (r->r.txn[0] && r->group->held)
        en_txn_request(r);
    else
        en_route(r);
}

void en_submit(struct en_caller *c, const char *text, size_t len)
{
    struct en_node *n = c->node;
    struct er_err err = {0};
    struct en_req *r = sr_alloc(sizeof(*r));
    r->caller = c;
    r->arrived = ck_now();
    r->next = n->reqs;
    if (r->next)
        r->next->prev = r;
    n->reqs = r;
    n->n_reqs++;
    n->c.requests++;
    c->outstanding++;
    if (!cl_parse(text, len, &r->r, &err)) {
        en_fail(r, err.kind, 0, err.text);
        return;
    }
    r->deadline = r->arrived + CK_MS(r->r.deadline_ms);
    if (n->n_reqs > n->s->max_outstanding) {
        en_fail(r, ER_OVERLOAD, jitter(n, 100), "too many requests are held");
        return;
    }
    admit_request(r);
}
