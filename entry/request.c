/* Requests from callers: parsing, admission checks, deadlines and the answer. */
#include <stddef.h>
#include <stdlib.h>

#include <xxhash.h>

#include "entry/entry.h"
#include "misc/clock.h"

enum {
    NO_LEASE_RETRY_MS = 200,
    LARGE_RETRY_MS = 1000,
    RETRY_BUDGET_MAX = 100,
    STUCK_READ_US = 200000, /* then a read at a silent instance is sent to another one */
};

/* ---- what requests hold ---- */

void en_req_hold(struct en_req *r, size_t bytes)
{
    struct en_caller *c = r->caller;
    c->held = c->held - r->held + bytes;
    r->held = (uint32_t)bytes;
    if (c->net)
        nt_charge(c->net, c->held);
}

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
    n->n_http_reqs -= r->caller->http;
}

static void unlink_waiting(struct en_req **at, struct en_req *r)
{
    while (*at && *at != r)
        at = &(*at)->next_waiting;
    if (*at)
        *at = r->next_waiting;
}

/* Removes the request from the queue, list or connection that its state names. */
static void detach(struct en_req *r)
{
    struct en_group *g = r->group;
    if (r->state == EN_PARKED) {
        unlink_waiting(&g->parked, r);
        g->parked_tail = &g->parked;
        while (*g->parked_tail)
            g->parked_tail = &(*g->parked_tail)->next_waiting;
        g->n_parked--;
    } else if (r->state == EN_AWAIT_COPIES) {
        unlink_waiting(&g->awaiting_copies, r);
    } else if (r->state == EN_SENT && r->ep && r->ep->req == r) {
        r->ep->req = NULL;
        r->ep->discard_reply = true; /* the reply may still come; it counts as late */
        if (r->txn)
            en_ep_close(r->ep); /* the state of the transaction is not known */
    } else if (r->state == EN_QUEUED) {
        ad_remove(&r->inst->queue, &r->item);
    } else if (r->state == EN_FORWARDED && r->upstream) {
        en_upstream_forget(r);
    }
    r->ep = NULL;
    r->state = EN_NEW;
}

static void count_answer(struct en_node *n, const struct en_req *r, enum er_kind kind)
{
    static const size_t offsets[] = {[ER_ANS_OK] = offsetof(struct en_counters, ok),
                                     [ER_ANS_NOT_RUN] = offsetof(struct en_counters, not_run),
                                     [ER_ANS_UNKNOWN] = offsetof(struct en_counters, unknown),
                                     [ER_ANS_REJECTED] =
                                         offsetof(struct en_counters, rejected)};
    (*(uint64_t *)((char *)&n->c + offsets[er_answer(kind)]))++;
    n->c.by_reason[kind]++;
    if (kind != ER_NONE)
        return;
    n->retry_budget += n->s->retry_permille / 1000.0;
    if (n->retry_budget > RETRY_BUDGET_MAX)
        n->retry_budget = RETRY_BUDGET_MAX;
    hi_add(r->req.kind == CL_READ ? &n->lat_read : &n->lat_write, ck_now() - r->arrived_at);
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
    count_answer(c->node, r, kind);
    en_req_hold(r, 0);
    send_text(c, text, kind);
    unlink_req(r);
    if (r->txn && r->txn->busy)
        r->txn->busy = false;
    cl_request_free(&r->req);
    sr_buf_free(&r->value);
    free(r);
    c->outstanding--;
    en_caller_release(c);
}

void en_answer(struct en_req *r, const struct cl_answer *a)
{
    struct sr_buf b = {0};
    struct cl_answer tagged = *a;
    tagged.tag = r->req.tag;
    cl_write_answer(&b, r->req.id, &tagged);
    finish(r, &b, a->kind);
    sr_buf_free(&b);
}

void en_relay(struct en_req *r, const char *text, size_t len, enum er_kind kind)
{
    struct sr_buf b = {0};
    sr_buf_add(&b, text, len);
    if (r->req.tag)
        sr_buf_printf(&b, ",\"tag\":%llu", (unsigned long long)r->req.tag);
    sr_buf_add(&b, "}", 1);
    finish(r, &b, kind);
    sr_buf_free(&b);
}

void en_fail(struct en_req *r, enum er_kind kind, int64_t retry_ms, const char *detail)
{
    /* A refusal of a repeated write does not tell whether the first attempt ran. */
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
    char token[SS_TOKEN_TEXT_BYTES] = "";
    struct ps_pos seen = r->has_token ? ps_max(r->token, r->pos) : r->pos;
    if (seen.pos)
        ss_token_make(&n->key, sr_from(g->cfg.name), seen, token);
    struct cl_answer a = {.value = {r->value.p ? r->value.p : "", r->value.len},
                          .token = token,
                          .txn = r->txn && r->req.kind == CL_BEGIN ? r->txn->name : NULL,
                          .served_by = r->inst ? r->inst->cfg.id : NULL,
                          .replica = !r->at_primary,
                          .duplicate = r->duplicate,
                          .durable = true};
    n->c.duplicates += r->duplicate;
    en_answer(r, &a);
}

/* ---- terms and deadlines ---- */

int en_writes_in_flight(const struct en_group *g)
{
    int n = 0;
    for (const struct en_req *r = g->node->reqs; r; r = r->next) {
        bool at_work = r->state == EN_SENT || r->state == EN_AWAIT_COPIES;
        n += r->group == g && r->at_primary && at_work;
    }
    return n;
}

/* Stops serving the term. A request that ran in it must not be acknowledged any more: it fails,
 * except a read without a transaction that is still at the instance, which is routed again. */
void en_drop_term(struct en_group *g)
{
    struct en_req *next;
    g->serve_term = 0;
    for (struct en_req *r = g->node->reqs; r; r = next) {
        next = r->next;
        if (r->group != g || !r->at_primary)
            continue;
        if (r->state == EN_SENT && r->req.kind == CL_READ && !r->txn) {
            r->ep->req = NULL;
            r->ep->discard_reply = true;
            r->ep = NULL;
            en_defer(r, ER_NONE,
                     0); /* a read changes nothing and can run at the next primary */
        } else if (r->state == EN_SENT || r->state == EN_AWAIT_COPIES) {
            en_fail(r, ER_REPLACED, 0, "the primary was replaced while the statement ran");
        }
    }
    en_txns_drop(g);
}

/* True if the request has left this node, so that an instance may have run it. */
static bool may_have_reached(const struct en_req *r)
{
    return r->state == EN_SENT || r->state == EN_AWAIT_COPIES || r->state == EN_FORWARDED;
}

static enum er_kind past_deadline(const struct en_req *r)
{
    if (may_have_reached(r))
        return r->req.kind == CL_BEGIN ? ER_DEADLINE : ER_LOST;
    return r->state == EN_PARKED ? ER_NO_PRIMARY : ER_DEADLINE;
}

static bool parked_too_long(const struct en_req *r, int64_t received_until)
{
    const struct en_node *n = r->group->node;
    bool leased = ls_live(&n->lease, received_until) || n->s->off_terms;
    return r->state == EN_PARKED &&
           (received_until - r->parked_at > CK_MS(n->s->park_ms) || !leased);
}

static bool stuck_read(const struct en_req *r, int64_t received_until)
{
    if (r->state != EN_SENT || r->req.kind != CL_READ || r->txn || r->at_primary || !r->inst)
        return false;
    return !en_inst_usable(r->inst) && received_until - r->ep->sent_at > STUCK_READ_US;
}

static bool waits(const struct en_req *r)
{
    return r->state == EN_QUEUED || r->state == EN_PARKED || r->state == EN_FORWARDED;
}

void en_requests_caller_closed(struct en_caller *c)
{
    struct en_req *next;
    c->outstanding++; /* keeps the caller until its last request has ended */
    for (struct en_req *r = c->node->reqs; r && c->outstanding > 1; r = next) {
        next = r->next;
        if (r->caller == c && waits(r))
            en_fail(r, past_deadline(r), 0, "the caller has disconnected");
    }
    c->outstanding--;
}

void en_requests_end(struct en_node *n)
{
    struct en_req *next;
    for (struct en_req *r = n->reqs; r; r = next) {
        next = r->next;
        if (r->state != EN_DEFERRED)
            en_fail(r, past_deadline(r), 1, "this node is stopping");
    }
}

void en_expire_requests(struct en_node *n, int64_t now)
{
    struct en_req *next;
    int64_t received_until = nt_received_until(n->loop);
    for (struct en_req *r = n->reqs; r; r = next) {
        next = r->next;
        if (r->state == EN_DEFERRED)
            continue;
        if ((may_have_reached(r) ? received_until : now) >= r->deadline) {
            en_fail(r, past_deadline(r), en_jitter(n, 50), "the deadline passed");
        } else if (parked_too_long(r, received_until)) {
            en_fail(r, en_leased(n) ? ER_NO_PRIMARY : ER_NO_LEASE, en_jitter(n, 200), NULL);
        } else if (stuck_read(r, received_until)) {
            struct en_ep *ep = r->ep;
            r->tried_mask |= 1u << r->inst->index;
            ep->req = NULL;
            en_ep_close(ep);
            en_defer(r, ER_NONE, 0);
        }
    }
}

/* ---- admission ---- */

static bool is_unsafe(const struct cl_request *r)
{
    return !r->repeat_safe && (r->kind == CL_WRITE || r->kind == CL_COMMIT);
}

/* Instances that store no request ids can't tell whether the first attempt ran. */
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

/* Another entry node forwards requests on one connection for all its callers, so it is not
 * limited like one caller. Anybody may claim to be one, so its address is looked up. */
static void recognize_node(struct en_caller *c)
{
    const struct en_node *n = c->node;
    char ip[64];
    nt_peer_ip(c->net, ip, sizeof(ip));
    for (int i = 0; i < n->n_nodes && !c->is_node; i++)
        c->is_node = strcmp(n->nodes[i].ip, ip) == 0;
    if (c->is_node)
        nt_set_rank(c->net, SD_PEER);
}

/* Whether the caller has so many requests in progress that others would find no room. From half
 * of the limit on, callers may have equal parts of that half. */
static bool exceeds_its_part(const struct en_caller *c)
{
    const struct en_node *n = c->node;
    int half = n->s->max_outstanding / 2;
    return !c->is_node && n->n_reqs > half && c->outstanding > 1 &&
           c->outstanding > half / n->n_callers;
}

static const char *no_room_for_request(const struct en_caller *c)
{
    const struct en_node *n = c->node;
    if (n->n_reqs > n->s->max_outstanding)
        return "too many requests are in progress";
    if (exceeds_its_part(c))
        return "too many requests of this connection are in progress";
    /* The others are left to the load balancer and to operators. */
    if (c->http && n->n_http_reqs > n->s->max_http / 2)
        return "too many requests over HTTP are in progress";
    return NULL;
}

static void admit_request(struct en_req *r)
{
    struct en_node *n = r->caller->node;
    r->group = en_group(n, r->req.db);
    if (n->stopping && !r->req.txn[0]) {
        en_fail(r, ER_STOPPING, 1, "this node is stopping: use another node");
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
    r->group->last_request_at = r->arrived_at;
    if (id_expired(n, &r->req)) {
        en_fail(r, ER_ID_EXPIRED, 0, "issued_ms is older than the resend window");
        return;
    }
    if (cannot_resend(n, &r->req)) {
        en_fail(r, ER_LOST, 0, "the database keeps no request ids: check before you resend");
        return;
    }
    if (r->req.token[0]) {
        r->has_token =
            ss_token_read(&n->key, sr_from(r->req.db), sr_from(r->req.token), &r->token);
        n->c.bad_tokens += !r->has_token;
    }
    if (r->req.txn[0] && r->group->held)
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
    r->arrived_at = ck_now();
    r->next = n->reqs;
    if (r->next)
        r->next->prev = r;
    n->reqs = r;
    n->n_reqs++;
    n->n_http_reqs += c->http;
    n->c.requests++;
    c->outstanding++;
    if (!nt_may_parse(n->loop, len)) {
        en_fail(r, ER_OVERLOAD, en_jitter(n, LARGE_RETRY_MS),
                "too many large requests; this one was not read");
        return;
    }
    if (!cl_parse(text, len, &r->req, &err)) {
        en_fail(r, err.kind, 0, err.text);
        return;
    }
    r->deadline = r->arrived_at + CK_MS(r->req.deadline_ms);
    if (r->req.hop && !c->http && !c->is_node)
        recognize_node(c);
    const char *why = no_room_for_request(c);
    if (why) {
        en_fail(r, ER_OVERLOAD, en_jitter(n, 100), why);
        return;
    }
    en_req_hold(r, sizeof(*r) + len);
    admit_request(r);
}
