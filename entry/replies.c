/* Replies from endpoints: when a statement may be acknowledged, and what is retried. */
#include <stddef.h>
#include <stdlib.h>

#include "entry/entry.h"
#include "misc/clock.h"

/* ---- waiting until enough instances hold a position ---- */

static int count_copies(const struct en_group *g, struct ps_pos pos)
{
    int n = 0;
    for (int i = 0; i < g->cfg.n; i++) {
        if (i == g->cfg.primary) {
            n++; /* the primary replied with this position, so it holds it */
            continue;
        }
        if (g->cfg.inst[i].draining)
            continue; /* a draining instance may be removed at any moment */
        n += ps_covers(g->inst[i]->held_pos, pos, g->cfg.starts, g->cfg.n_starts);
    }
    return n;
}

static void record_first_write(struct en_group *g, const struct en_req *r)
{
    if (g->first_write_term == r->term || r->req.kind == CL_READ)
        return;
    g->first_write_term = r->term;
    tl_add(g->node->tl, TL_FIRST_WRITE, g->cfg.name, r->term, "first acknowledged write");
}

/* Every acknowledgement of a write, a commit or a read at the primary is sent here. The lease
 * must be valid, and the statement must have run in the term that this node serves. */
static void acknowledge(struct en_req *r)
{
    struct en_group *g = r->group;
    bool may_acknowledge = en_leased(g->node) && r->term == g->serve_term;
    if (!may_acknowledge && !g->node->s->off_terms) {
        en_fail(r, ER_REPLACED, 0, "the primary was replaced or this node lost its lease");
        return;
    }
    record_first_write(g, r);
    en_succeed(r);
}

void en_await_copies(struct en_req *r)
{
    struct en_group *g = r->group;
    if (count_copies(g, r->pos) >= g->cfg.copies || g->node->s->off_copies) {
        acknowledge(r);
        return;
    }
    r->state = EN_AWAIT_COPIES;
    r->next_waiting = g->awaiting_copies;
    g->awaiting_copies = r;
}

void en_commit_done(struct en_req *r)
{
    en_await_copies(r);
}

void en_held_pos_changed(struct en_group *g)
{
    struct en_req *r = g->awaiting_copies;
    while (r) {
        struct en_req *next = r->next_waiting;
        if (count_copies(g, r->pos) >= g->cfg.copies)
            acknowledge(r);
        r = next;
    }
}

/* ---- replies ---- */

static void finish_read(struct en_req *r, struct en_inst *in, const struct ep_reply *rep)
{
    struct en_node *n = in->node;
    r->pos = rep->pos;
    if (!r->at_primary) {
        n->c.reads_replica++;
        en_succeed(r);
        return;
    }
    /* A value read at the primary must not be lost if the primary fails, so the read waits for
     * copies like a write. */
    n->c.reads_primary++;
    en_await_copies(r);
}

static void park_refused(struct en_req *r, struct en_inst *in)
{
    /* The instance did not run the request, as its term is newer than this node's view. */
    en_report_inst(in, WR_UNKNOWN);
    en_park(r);
}

/* True if the replica ran the read before it had applied min_pos. For an instance that does not
 * check this itself (MINPOS), the position in its reply shows it. */
static bool read_before_min_pos(const struct en_req *r, const struct ep_reply *rep)
{
    const struct vw_group *g = &r->group->cfg;
    if (r->req.kind != CL_READ || r->at_primary || !r->min_pos.pos)
        return false;
    return !ps_covers(rep->pos, r->min_pos, g->starts, g->n_starts);
}

void en_handle_reply(struct en_req *r, struct en_ep *ep, const struct ep_reply *rep)
{
    struct en_inst *in = ep->inst;
    r->ep = NULL;
    if (r->txn || r->req.kind == CL_BEGIN) {
        en_txn_reply(r, ep, rep);
        return;
    }
    switch (rep->result) {
    case EP_BEHIND:
        in->node->c.reads_behind++;
        r->tried_mask |= 1u << in->index;
        en_route(r);
        return;
    case EP_REFUSED:
        park_refused(r, in);
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
    if (read_before_min_pos(r, rep)) {
        in->node->c.reads_behind++;
        r->tried_mask |= 1u << in->index;
        en_route(r);
        return;
    }
    sr_buf_add(&r->value, rep->value.p, rep->value.len);
    en_req_hold(r, r->held + rep->value.len);
    r->duplicate = rep->duplicate;
    if (r->req.kind == CL_READ) {
        finish_read(r, in, rep);
        return;
    }
    in->node->c.writes++;
    r->pos = rep->pos;
    en_await_copies(r);
}

static bool may_retry(struct en_req *r)
{
    struct en_node *n = r->caller->node;
    bool safe = r->req.kind == CL_READ || r->req.kind == CL_BEGIN || r->req.repeat_safe;
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

void en_connection_lost(struct en_req *r)
{
    r->ep = NULL;
    r->state = EN_NEW;
    if (r->txn) {
        bool commit = r->req.kind == CL_COMMIT;
        en_fail(r, commit ? ER_LOST : ER_BAD_TXN, 0,
                commit ? "the connection was lost at commit"
                       : "the transaction was lost with its connection and rolled back");
        return;
    }
    if (may_retry(r)) {
        r->may_have_run |= r->req.kind == CL_WRITE;
        r->tried_mask |= r->req.kind == CL_READ && r->inst ? 1u << r->inst->index : 0;
        en_route(r);
        return;
    }
    if (r->caller->node->s->off_not_run) {
        en_fail(r, ER_ENDPOINT, 1, NULL);
        return;
    }
    en_fail(r, ER_LOST, 0, "the connection was lost after the statement was sent");
}
