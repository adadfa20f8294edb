/* A request's life: from the caller's text to its one answer. */
#include <stddef.h>
#include <stdlib.h>

#include <xxhash.h>

#include "entry/entry.h"
#include "misc/clock.h"

enum {
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
    struct cl_answer tagged = *a;
    tagged.tag = r->r.tag;
    cl_write(&b, r->r.id, &tagged);
    finish(r, &b, a->kind);
    sr_buf_free(&b);
}

void en_relay(struct en_req *r, const char *text, size_t len, enum er_kind kind)
{
    struct sr_buf b = {0};
    sr_buf_add(&b, text, len);
    if (r->r.tag)
        sr_buf_printf(&b, ",\"tag\":%llu", (unsigned long long)r->r.tag);
    sr_buf_add(&b, "}", 1);
    finish(r, &b, kind);
    sr_buf_free(&b);
}

void en_fail(struct en_req *r, enum er_kind kind, int64_t retry_ms, const char *detail)
{
    /* Refused at the second try: the first may have run all the same. */
    if (r->may_have_run && er_answer(kind) == ER_ANS_NOT_RUN)
        kind = ER_LOST;
    struct cl_answer a = {.kind = kind, .retry_after_ms = retry_ms, .detail = detail};
    en_answer(r, &a);
}

int64_t en_jitter(struct en_node *n, int64_t ms)
{
    return ms + (int64_t)rn_below(&n->rng, (uint64_t)ms + 1);
}

void en_succeed(struct en_req *r)
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

/* Somebody may have run it. */
static bool away(const struct en_req *r)
{
    return r->state == EN_SENT || r->state == EN_HOLDING || r->state == EN_FORWARDED;
}

static enum er_kind past_deadline(const struct en_req *r)
{
    if (away(r))
        return r->r.kind == CL_BEGIN ? ER_DEADLINE : ER_LOST;
    return r->state == EN_PARKED ? ER_NO_PRIMARY : ER_DEADLINE;
}

static bool parked_too_long(const struct en_req *r, int64_t heard)
{
    const struct en_node *n = r->group->node;
    bool leased = ls_live(&n->lease, heard) || n->s->off_terms;
    return r->state == EN_PARKED && (heard - r->parked_at > CK_MS(n->s->park_ms) || !leased);
}

static bool stuck_read(const struct en_req *r, int64_t heard)
{
    if (r->state != EN_SENT || r->r.kind != CL_READ || r->txn || r->at_primary || !r->inst)
        return false;
    return !en_usable(r->inst) && heard - r->ep->sent_at > READ_SILENT_US;
}

void en_sweep(struct en_node *n, int64_t now)
{
    struct en_req *next;
    int64_t heard = nt_received_until(n->loop);
    for (struct en_req *r = n->reqs; r; r = next) {
        next = r->next;
        if (r->state == EN_LATER)
            continue;
        if ((away(r) ? heard : now) >= r->deadline) {
            en_fail(r, past_deadline(r), en_jitter(n, 50), "the deadline passed");
        } else if (parked_too_long(r, heard)) {
            en_fail(r, en_leased(n) ? ER_NO_PRIMARY : ER_NO_LEASE, en_jitter(n, 200), NULL);
        } else if (stuck_read(r, heard)) {
            struct en_ep *ep = r->ep;
            r->tried |= 1u << r->inst->at;
            ep->req = NULL;
            en_ep_close(ep);
            en_later(r, ER_NONE, 0);
        }
    }
}

/* ---- arrival ---- */

static bool is_unsafe(const struct cl_request *r)
{
    return !r->repeat_safe && (r->kind == CL_WRITE || r->kind == CL_COMMIT);
}

/* Instances that remember no ids can't tell whether the first sending ran. */
static bool cannot_resend(const struct en_node *n, const struct cl_request *r)
{
    return r->resend && is_unsafe(r) && !n->s->claims;
}

static bool id_expired(const struct en_node *n, const struct cl_request *r)
{
    if (!is_unsafe(r) || !r->issued_ms)
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
        en_fail(r, ER_NO_LEASE, en_jitter(n, NO_LEASE_RETRY_MS), NULL);
        return;
    }
    if (!r->group) {
        en_fail(r, ER_NO_DATABASE, 0, "no such database");
        return;
    }
    r->group->used = r->arrived;
    if (id_expired(n, &r->r)) {
        en_fail(r, ER_ID_EXPIRED, 0, "issued_ms is older than the resend window");
        return;
    }
    if (cannot_resend(n, &r->r)) {
        en_fail(r, ER_LOST, 0, "the database remembers no request ids: look before you resend");
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
        en_fail(r, ER_OVERLOAD, en_jitter(n, 100), "too many requests are held");
        return;
    }
    admit_request(r);
}
