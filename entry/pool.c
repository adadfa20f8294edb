/* Endpoint connections of the entry role: opens at most this node's share of connections per
 * instance, polls the positions of instances, and sends statements. */
#include <stdlib.h>

#include "entry/entry.h"
#include "misc/clock.h"

/* The request ids of a connection count up from a random number below this bound. If each
 * connection counted from 1, a reply that an instance sends on the wrong connection would match
 * the pending id there whenever both connections had sent equally many requests. JSON
 * represents integers up to 53 bits exactly. */
#define FIRST_ID_BOUND (1ull << 48)

enum {
    RECONNECT_DELAY_US = 50000, /* after a connection attempt that failed */
    STATUS_PRIMARY_US = 25000,  /* between status requests to a primary */
    STATUS_REPLICA_US = 50000,  /* between status requests to a replica */
    STATUS_IDLE_US = 100000,    /* in an idle group; must be below HEALTH_FRESH_US (link.c) */
    GROUP_IDLE_AFTER_US = 2000000, /* a group without requests for this long is idle */
    STATUS_TIMEOUT_US = 200000,  /* no new work while a status request is pending for longer */
    WATCH_TIMEOUT_US = 1000000,  /* a status request pending for longer closes the connection */
    ORPHAN_TIMEOUT_US = 2000000, /* longest wait for the reply to an abandoned request */
};

void en_inst_init(struct en_inst *in, struct en_node *n, struct en_group *g, int at,
                  const struct vw_instance *cfg)
{
    in->node = n;
    in->group = g;
    in->index = at;
    in->cfg = *cfg;
    struct ad_config ac = {n->s->queue, CK_MS(n->s->target_ms), n->s->first_come};
    ad_init(&in->queue, &ac, rn_next(&n->rng));
}

/* Whether a status request has been pending for at least `us`. Replies that were received but
 * not yet read don't count as missing. */
static bool status_overdue(const struct en_inst *in, int64_t us)
{
    return in->status_sent_at && nt_received_until(in->node->loop) - in->status_sent_at >= us;
}

bool en_inst_usable(const struct en_inst *in)
{
    if (!in->status_ep || !in->status_ep->open)
        return false;
    return !status_overdue(in, STATUS_TIMEOUT_US);
}

/* ---- connection events ---- */

static void record_positions(struct en_inst *in, const struct ep_reply *r, int64_t now)
{
    struct en_group *g = in->group;
    in->last_received = now;
    in->held_pos = r->held;
    in->applied_pos = r->applied;
    in->followed_term = r->following;
    rt_record_applied(&g->rt, in->index, r->applied, now);
    en_held_pos_changed(g);
}

static void on_status(struct en_ep *ep, const struct ep_reply *r, int64_t now)
{
    struct en_inst *in = ep->inst;
    ep->status_req_id = 0;
    in->status_sent_at = 0;
    if (in->removed)
        return;
    struct en_group *g = in->group;
    if (ep->status_leased && r->primary && in->index == g->cfg.primary &&
        r->term == g->serve_term)
        rt_record_primary_pos(&g->rt, ep->status_sent_at, r->held);
    record_positions(in, r, now);
    if (g->n_parked && in->index == g->cfg.primary)
        en_unpark(g); /* the primary answers, so parked requests can be routed */
}

static void send_status(struct en_ep *ep, enum ep_op op, int64_t now)
{
    struct ep_request q = {.op = op, .id = ++ep->last_id};
    ep->status_req_id = q.id;
    ep->status_sent_at = now;
    ep->status_leased = en_leased(ep->inst->node);
    ep->inst->status_sent_at = now;
    ep->inst->node->driver->send(ep->conn, &q);
}

static void update_admission_max(struct en_inst *in)
{
    int open = 0;
    for (struct en_ep *e = in->eps; e; e = e->next)
        open += e->open && !e->closing;
    ad_set_max(&in->queue, open);
}

/* One open connection must carry position pushes and status requests; without it the instance
 * is not usable. */
static void choose_watching_connection(struct en_inst *in)
{
    for (struct en_ep *e = in->eps; e && !in->status_ep; e = e->next) {
        if (!e->open || e->closing)
            continue;
        in->status_ep = e;
        e->is_status_ep = true;
        send_status(e, EP_SUBSCRIBE, ck_now());
    }
}

static void on_open(struct ep_conn *c, void *ud)
{
    struct en_ep *ep = ud;
    struct en_inst *in = ep->inst;
    (void)c;
    ep->open = true;
    in->refusing = false;
    in->last_received = ck_now();
    choose_watching_connection(in);
    update_admission_max(in);
    if (!in->removed)
        en_unpark(in->group);
    en_inst_dispatch(in);
}

static void on_push(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    struct en_ep *ep = ud;
    (void)c;
    if (!ep->inst->removed)
        record_positions(ep->inst, r, ck_now());
}

static void on_reply(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    struct en_ep *ep = ud;
    struct en_inst *in = ep->inst;
    int64_t now = ck_now();
    (void)c;
    if (ep->status_req_id && r->id == ep->status_req_id) {
        on_status(ep, r, now);
        return;
    }
    bool matches = r->id == ep->req_id || in->node->s->off_own_id;
    if (!ep->req_id || !matches) {
        in->node->c.late_replies++;
        return;
    }
    in->last_received = now;
    ep->req_id = 0;
    if (ep->rolling_back) {
        ep->rolling_back = false;
        en_ep_release(ep);
        return;
    }
    if (!ep->txn)
        ad_done(&in->queue, now - ep->sent_at, now);
    struct en_req *req = ep->req;
    ep->req = NULL;
    if (ep->discard_reply) {
        in->node->c.late_replies++;
        ep->discard_reply = false;
        if (ep->op == EP_BEGIN)
            en_ep_close(ep); /* no caller owns the transaction that BEGIN opened */
    }
    if (req)
        en_handle_reply(req, ep, r);
    if (!ep->txn && !ep->req)
        en_ep_release(ep);
}

static void unlink_ep(struct en_ep *ep)
{
    struct en_ep **at = &ep->inst->eps;
    while (*at && *at != ep)
        at = &(*at)->next;
    if (*at)
        *at = ep->next;
}

/* Fails the request and the transaction that used the connection, chooses another watching
 * connection, and reports an unexpected close to control. */
static void on_close(struct ep_conn *c, void *ud, bool opened, bool refused)
{
    struct en_ep *ep = ud;
    struct en_inst *in = ep->inst;
    struct en_req *req = ep->req;
    struct en_txn *txn = ep->txn;
    bool counted_in_flight = ep->req_id != 0 && !txn && !ep->rolling_back;
    (void)c;
    ep->conn = NULL;
    unlink_ep(ep);
    in->n_conns--;
    if (in->status_ep == ep) {
        in->status_ep = NULL;
        in->status_sent_at = 0;
    }
    if (opened && counted_in_flight)
        ad_cancel(&in->queue);
    update_admission_max(in);
    bool unexpected = !ep->closing;
    free(ep);
    if (in->removed) {
        if (req)
            en_connection_lost(req);
        if (txn)
            en_txn_conn_lost(txn);
        if (in->n_conns == 0)
            free(in);
        return;
    }
    in->refusing = refused;
    choose_watching_connection(in);
    if (unexpected) {
        in->next_open_at = ck_now() + (opened ? 0 : RECONNECT_DELAY_US);
        en_report_inst(in, refused ? WR_REFUSED : WR_SILENT);
    }
    if (txn)
        en_txn_conn_lost(txn);
    if (req)
        en_connection_lost(req);
}

static const struct ep_events events = {on_open, on_reply, on_push, on_close};

/* ---- opening and closing ---- */

static void open_connection(struct en_inst *in)
{
    struct en_ep *ep = sr_alloc(sizeof(*ep));
    char client_name[64];
    snprintf(client_name, sizeof(client_name), "entry:%s", in->node->s->name);
    ep->inst = in;
    ep->last_id = rn_below(&in->node->rng, FIRST_ID_BOUND);
    ep->next = in->eps;
    in->eps = ep;
    in->n_conns++;
    struct ep_target to = {in->cfg.ip, in->cfg.port, in->group->cfg.name, in->cfg.id};
    ep->conn = in->node->driver->open(in->node->loop, &to, client_name, &events, ep);
}

void en_ep_close(struct en_ep *ep)
{
    if (ep->closing)
        return;
    ep->closing = true;
    ep->inst->node->driver->close(ep->conn);
}

static int n_opening(const struct en_inst *in)
{
    int n = 0;
    for (const struct en_ep *e = in->eps; e; e = e->next)
        n += !e->open;
    return n;
}

static struct en_ep *idle_connection(const struct en_inst *in)
{
    bool pinning = !in->node->s->off_pinning;
    for (struct en_ep *e = in->eps; e; e = e->next) {
        if (e->open && !e->closing && !e->req_id && !(e->txn && pinning) && !e->req)
            return e;
    }
    return NULL;
}

/* Whether positions from the watching connection are still needed: by this node's share, or by
 * writes that run or wait for acknowledgement. */
static bool watch_needed(const struct en_inst *in)
{
    return in->share > 0 || in->group->awaiting_copies || en_writes_in_flight(in->group) > 0;
}

/* Closes idle connections beyond the share. */
static void close_excess(struct en_inst *in)
{
    int excess = in->n_conns - in->share;
    for (struct en_ep *e = in->eps; e && excess > 0; e = e->next) {
        if (e->closing) {
            excess--;
            continue;
        }
        bool idle = !e->req_id && !e->txn && !e->req;
        if (idle && (!e->is_status_ep || !watch_needed(in))) {
            en_ep_close(e);
            excess--;
        }
    }
}

static int wanted_connections(const struct en_inst *in)
{
    int n = in->queue.queued + in->queue.in_flight;
    if (n > in->cfg.max_conns)
        n = in->cfg.max_conns;
    return n < 1 ? 1 : n;
}

/* Records the peak demand since the last lease renewal, which reports it to control. */
static void record_peak_want(struct en_inst *in)
{
    int want = wanted_connections(in);
    if (want > in->peak_demand)
        in->peak_demand = want;
}

/* Closes connections whose reply is so late that none is expected any more. */
static void close_unresponsive(struct en_inst *in)
{
    struct en_ep *w = in->status_ep;
    int64_t heard = nt_received_until(in->node->loop);
    if (w && status_overdue(in, WATCH_TIMEOUT_US))
        en_ep_close(w);
    for (struct en_ep *e = in->eps; e; e = e->next) {
        if (e->discard_reply && heard - e->sent_at > ORPHAN_TIMEOUT_US)
            en_ep_close(e);
    }
}

/* Time between status requests. Most of several hundred groups are idle, and the positions of
 * their instances are polled less often. */
static int64_t status_interval(const struct en_inst *in, int64_t now)
{
    const struct en_group *g = in->group;
    if (g->awaiting_copies && !in->node->s->pushes)
        return 0; /* writes wait for this instance's position: poll at every tick */
    if (now - g->last_request_at > GROUP_IDLE_AFTER_US)
        return STATUS_IDLE_US;
    return in->index == g->cfg.primary ? STATUS_PRIMARY_US : STATUS_REPLICA_US;
}

bool en_inst_idle(const struct en_inst *in)
{
    return !in->group->held && in->n_conns == 0 && in->queue.queued == 0;
}

void en_pool_tick(struct en_inst *in, int64_t now)
{
    record_peak_want(in);
    close_excess(in);
    close_unresponsive(in);
    if (in->n_conns == 0 && in->share > 0 && in->group->held && now >= in->next_open_at)
        open_connection(in);
    struct en_ep *w = in->status_ep;
    if (!w || !w->open)
        return;
    int64_t interval = status_interval(in, now);
    if (!w->status_req_id && now - w->status_sent_at >= interval)
        send_status(w, EP_STATUS, now);
    if (status_overdue(in, STATUS_TIMEOUT_US))
        en_report_inst(in, WR_SILENT);
}

void en_ep_release(struct en_ep *ep)
{
    struct en_inst *in = ep->inst;
    if (in->removed || (in->n_conns > in->share && !ep->is_status_ep)) {
        en_ep_close(ep);
        return;
    }
    en_inst_dispatch(in);
}

/* ---- sending ---- */

bool en_ep_send(struct en_ep *ep, struct en_req *r, struct ep_request *q)
{
    q->id = ++ep->last_id;
    ep->req = r;
    ep->req_id = q->id;
    ep->op = q->op;
    ep->discard_reply = false;
    ep->sent_at = ck_now();
    if (r) {
        r->ep = ep;
        r->state = EN_SENT;
    }
    if (ep->inst->node->driver->send(ep->conn, q))
        return true;
    ep->req = NULL;
    ep->req_id = 0;
    if (r)
        r->ep = NULL;
    return false;
}

static void fill_request(const struct en_req *r, struct ep_request *q, char *claim, size_t cap)
{
    static const enum ep_op ops[] = {EP_READ, EP_WRITE, EP_BEGIN, EP_COMMIT, EP_ROLLBACK};
    q->op = ops[r->req.kind];
    q->stmt = sr_from(r->req.stmt);
    q->term = r->term;
    const struct st_settings *s = r->caller->node->s;
    if (s->minpos) {
        q->min = r->min_pos;
        q->wait_us = r->wait_us;
    }
    if (r->req.kind == CL_WRITE && !r->req.repeat_safe && s->claims && !s->off_once) {
        snprintf(claim, cap, "%s:%s", r->req.account, r->req.id);
        q->claim = sr_from(claim);
    }
}

static void start_request(struct en_inst *in, struct en_ep *ep, struct en_req *r)
{
    char claim[CL_ACCOUNT_BYTES + CL_ID_BYTES + 2];
    struct ep_request q = {0};
    r->term = r->at_primary ? in->group->serve_term : 0;
    fill_request(r, &q, claim, sizeof(claim));
    if (en_ep_send(ep, r, &q))
        return;
    /* Nothing was sent, so the request may run at another instance. */
    ad_cancel(&in->queue);
    r->tried_mask |= 1u << in->index;
    en_defer(r, ER_NONE, 0);
}

/* Whether the current view still allows the request at this instance. A request for the primary
 * needs a serving group, this instance as its primary, and a valid lease. */
static bool valid_in_current_view(const struct en_inst *in, const struct en_req *r)
{
    const struct en_group *g = in->group;
    if (!r->at_primary)
        return true;
    return g->cfg.phase == VW_SERVING && g->cfg.primary == in->index && en_leased(in->node);
}

void en_inst_dispatch(struct en_inst *in)
{
    int64_t now = ck_now(), retry;
    struct ad_item *it;
    record_peak_want(in);
    while ((it = ad_pop_late(&in->queue, now, &retry)))
        en_defer((struct en_req *)it, ER_OVERLOAD, retry);
    struct en_ep *ep;
    while (in->queue.queued > 0 && (ep = idle_connection(in)) &&
           (it = ad_next(&in->queue, now))) {
        struct en_req *r = (struct en_req *)it;
        if (!valid_in_current_view(in, r)) {
            ad_cancel(&in->queue);
            en_defer(r, ER_NONE, 0);
            continue;
        }
        start_request(in, ep, r);
    }
    bool may_open =
        in->n_conns < in->share && in->group->held && n_opening(in) < in->queue.queued;
    if (in->queue.queued > 0 && may_open && now >= in->next_open_at)
        open_connection(in);
}

void en_inst_release(struct en_inst *in)
{
    struct ad_item *it;
    in->share = 0; /* en_pool_tick closes the idle connections */
    while ((it = ad_pop_any(&in->queue)))
        en_defer((struct en_req *)it, ER_NONE, 0);
}

/* The instance was removed from the view: queued requests are routed again, running ones may
 * finish. */
void en_inst_remove(struct en_inst *in)
{
    struct ad_item *it;
    in->removed = true;
    while ((it = ad_pop_any(&in->queue)))
        en_defer((struct en_req *)it, ER_NONE, 0);
    if (in->n_conns == 0) {
        free(in);
        return;
    }
    for (struct en_ep *e = in->eps; e; e = e->next) {
        if (!e->req_id && !e->txn)
            en_ep_close(e);
    }
}
