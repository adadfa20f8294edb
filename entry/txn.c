/* Transactions. Each is pinned to one endpoint connection and belongs to one caller's
 * connection. */
#include <stdlib.h>

#include "entry/entry.h"
#include "misc/clock.h"

static struct en_txn *find_txn(struct en_caller *c, const char *name)
{
    for (struct en_txn *t = c->node->txns; t; t = t->next) {
        if (t->caller == c && strcmp(t->name, name) == 0)
            return t;
    }
    return NULL;
}

static void unlink_txn(struct en_txn *t)
{
    struct en_txn **at = &t->caller->node->txns;
    while (*at && *at != t)
        at = &(*at)->next;
    if (*at)
        *at = t->next;
}

/* Unpins the connection. With `rollback` the connection is free only after the reply to a
 * rollback, or is closed; otherwise the end of the transaction is confirmed already. */
static void unpin(struct en_ep *ep, bool rollback)
{
    ep->txn = NULL;
    if (!rollback)
        return;
    struct ep_request q = {.op = EP_ROLLBACK};
    if (ep->req_id) {
        en_ep_close(ep); /* a statement is running: closing rolls back */
        return;
    }
    ep->rolling_back = true;
    if (!en_ep_send(ep, NULL, &q))
        en_ep_close(ep);
}

void en_txn_end(struct en_txn *t, bool rollback)
{
    struct en_node *n = t->caller->node;
    if (t->ep)
        unpin(t->ep, rollback);
    for (struct en_req *r = n->reqs; r; r = r->next) {
        if (r->txn == t)
            r->txn = NULL;
    }
    unlink_txn(t);
    free(t);
}

void en_txn_conn_lost(struct en_txn *t)
{
    t->ep = NULL;
}

void en_txns_drop(struct en_group *g)
{
    for (struct en_txn *t = g->node->txns; t; t = t->next) {
        if (t->group == g && t->ep)
            en_ep_close(t->ep);
    }
}

int en_txns_open(const struct en_group *g)
{
    int n = 0;
    for (const struct en_txn *t = g->node->txns; t; t = t->next)
        n += t->group == g && t->ep && !t->ep->closing;
    return n;
}

void en_txn_begun(struct en_req *r, struct en_ep *ep)
{
    struct en_node *n = r->caller->node;
    struct en_txn *t = sr_alloc(sizeof(*t));
    snprintf(t->name, sizeof(t->name), "%llx-%llu", (unsigned long long)n->id,
             (unsigned long long)++n->txn_seq);
    t->caller = r->caller;
    t->group = r->group;
    t->ep = ep;
    t->term = r->term;
    t->last_used = ck_now();
    t->next = n->txns;
    n->txns = t;
    ep->txn = t;
    r->txn = t;
}

/* ---- statements of a transaction ---- */

static void send_statement(struct en_req *r, struct en_txn *t)
{
    char claim[CL_ACCOUNT_BYTES + CL_ID_BYTES + 2];
    struct ep_request q = {.stmt = sr_from(r->req.stmt), .term = t->term, .txn = true};
    static const enum ep_op ops[] = {EP_READ, EP_WRITE, EP_BEGIN, EP_COMMIT, EP_ROLLBACK};
    q.op = ops[r->req.kind];
    if (r->req.kind == CL_COMMIT && !r->req.repeat_safe && r->caller->node->s->claims) {
        snprintf(claim, sizeof(claim), "%s:%s", r->req.account, r->req.id);
        q.claim = sr_from(claim);
    }
    r->term = t->term;
    r->inst = t->ep->inst;
    r->at_primary = true;
    r->txn = t;
    t->busy = true;
    t->last_used = ck_now();
    if (!en_ep_send(t->ep, r, &q)) {
        r->state = EN_NEW;
        en_fail(r, ER_BAD_TXN, 0, "the transaction's connection was lost; it is rolled back");
    }
}

void en_txn_request(struct en_req *r)
{
    struct en_txn *t = find_txn(r->caller, r->req.txn);
    if (!t || t->group != r->group) {
        en_fail(r, ER_BAD_TXN, 0, "no such transaction on this connection");
        return;
    }
    if (r->req.kind == CL_BEGIN) {
        en_fail(r, ER_BAD_TXN, 0, "a transaction is already open");
        return;
    }
    bool usable = t->ep && !t->ep->closing && en_leased(r->group->node) &&
                  t->term == r->group->serve_term;
    if (!usable) {
        en_txn_end(t, true);
        en_fail(r, ER_BAD_TXN, 0, "the transaction was lost and rolled back");
        return;
    }
    if (t->busy || t->ep->req) {
        en_fail(r, ER_BAD_TXN, 0, "a statement of this transaction is running");
        return;
    }
    send_statement(r, t);
}

static void txn_refused(struct en_req *r, struct en_ep *ep, const struct ep_reply *rep)
{
    char detail[120];
    snprintf(detail, sizeof(detail), "%.*s", (int)rep->value.len, rep->value.p);
    if (rep->result == EP_BAD) {
        en_fail(r, ER_BAD_INPUT, 0, detail);
        return;
    }
    struct en_txn *t = r->txn;
    if (t)
        en_txn_end(t, false);
    en_ep_close(ep);
    en_fail(r, ER_BAD_TXN, 0, "the transaction was lost and rolled back");
}

static void answer_in_txn(struct en_req *r)
{
    struct cl_answer a = {.value = {r->value.p ? r->value.p : "", r->value.len},
                          .token = r->req.token,
                          .txn = r->req.kind == CL_BEGIN ? r->txn->name : NULL,
                          .served_by = r->inst->cfg.id,
                          .durable = true};
    en_answer(r, &a);
}

void en_txn_reply(struct en_req *r, struct en_ep *ep, const struct ep_reply *rep)
{
    struct en_node *n = r->caller->node;
    if (r->req.kind == CL_BEGIN && rep->result == EP_REFUSED) {
        r->state = EN_NEW;
        en_route(r);
        return;
    }
    if (rep->result != EP_OK) {
        txn_refused(r, ep, rep);
        return;
    }
    sr_buf_add(&r->value, rep->value.p, rep->value.len);
    en_req_hold(r, r->held + rep->value.len);
    r->state = EN_NEW;
    switch (r->req.kind) {
    case CL_BEGIN:
        if (!r->caller->net) {
            en_ep_close(ep); /* the caller has disconnected */
            en_fail(r, ER_LOST, 0, NULL);
            return;
        }
        en_txn_begun(r, ep);
        answer_in_txn(r);
        return;
    case CL_COMMIT:
        n->c.commits++;
        r->duplicate = rep->duplicate;
        en_txn_end(r->txn, false);
        r->pos = rep->pos;
        en_commit_done(r);
        return;
    case CL_ROLLBACK:
        n->c.rollbacks++;
        en_txn_end(r->txn, false);
        answer_in_txn(r);
        return;
    default:
        answer_in_txn(r);
        return;
    }
}

/* ---- transactions ended without a request ---- */

void en_txns_caller_closed(struct en_caller *c)
{
    struct en_txn *next;
    for (struct en_txn *t = c->node->txns; t; t = next) {
        next = t->next;
        if (t->caller == c)
            en_txn_end(t, true);
    }
}

void en_txns_expire(struct en_node *n)
{
    struct en_txn *next;
    int64_t received_until = nt_received_until(n->loop);
    for (struct en_txn *t = n->txns; t; t = next) {
        next = t->next;
        if (!t->busy && received_until - t->last_used > CK_MS(n->s->txn_idle_ms))
            en_txn_end(t, true);
    }
}
