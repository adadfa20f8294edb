/* Endpoint connections: opening within the share, watching positions, sending statements. */
#include <stdlib.h>

#include "entry/entry.h"
#include "misc/clock.h"

/* Ids of a connection's requests go up from a number drawn for it: counted from one on each, an
 * answer that an instance sends on the wrong connection had the id that is waited for there
 * wherever two connections were equally old. JSON holds integers of 53 bits exactly. */
#define ID_SPAN (1ull << 48)

enum {
    REOPEN_US = 50000, /* between tries to connect to an instance that refused */
    STATUS_US = 25000, /* between position requests to a primary */
    STATUS_REPLICA_US = 50000,
    STATUS_IDLE_US = 100000, /* of a group that nobody asks for; under CHECK_FRESH_US */
    IDLE_AFTER_US = 2000000,
    SILENT_US = 200000, /* unanswered status: not usable for new work */
    STATUS_LOST_US = 1000000,
    ORPHAN_US = 2000000,
};

void en_inst_init(struct en_inst *in, struct en_node *n, struct en_group *g, int at,
                  const struct vw_instance *cfg)
{
    in->node = n;
    in->group = g;
    in->at = at;
    in->cfg = *cfg;
    struct ad_config ac = {n->s->queue, CK_MS(n->s->target_ms), n->s->first_come};
    ad_init(&in->q, &ac, rn_next(&n->rng));
}

/* It was asked and has not answered in so long, as far as answers were read. */
static bool unanswered(const struct en_inst *in, int64_t us)
{
    return in->status_sent && nt_received_until(in->node->loop) - in->status_sent >= us;
}

bool en_usable(const struct en_inst *in)
{
    if (!in->watch || !in->watch->open)
        return false;
    return !unanswered(in, SILENT_US);
}

/* ---- events of a connection ---- */

static void note_positions(struct en_inst *in, const struct ep_reply *r, int64_t now)
{
    struct en_group *g = in->group;
    in->heard = now;
    in->held = r->held;
    in->applied = r->applied;
    in->following = r->following;
    rt_record_applied(&g->rt, in->at, r->applied, now);
    en_held_moved(g);
}

static void on_status(struct en_ep *ep, const struct ep_reply *r, int64_t now)
{
    struct en_inst *in = ep->inst;
    ep->status_id = 0;
    in->status_sent = 0;
    if (in->gone)
        return;
    struct en_group *g = in->group;
    if (r->primary && in->at == g->cfg.primary && r->term == g->serve_term)
        rt_record_primary_pos(&g->rt, ep->status_at, r->held);
    note_positions(in, r, now);
    if (g->n_parked && in->at == g->cfg.primary)
        en_unpark(g); /* it answers again */
}

static void send_status(struct en_ep *ep, enum ep_op op, int64_t now)
{
    struct ep_request q = {.op = op, .id = ++ep->last_id};
    ep->status_id = q.id;
    ep->status_at = now;
    ep->inst->status_sent = now;
    ep->inst->node->driver->send(ep->c, &q);
}

static void count_open(struct en_inst *in)
{
    int open = 0;
    for (struct en_ep *e = in->eps; e; e = e->next)
        open += e->open && !e->closing;
    ad_set_max(&in->q, open);
}

/* Some open connection must carry pushes and status polls, or the instance counts as gone. */
static void choose_watch(struct en_inst *in)
{
    for (struct en_ep *e = in->eps; e && !in->watch; e = e->next) {
        if (!e->open || e->closing)
            continue;
        in->watch = e;
        e->watching = true;
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
    in->heard = ck_now();
    choose_watch(in);
    count_open(in);
    if (!in->gone)
        en_unpark(in->group);
    en_pump(in);
}

static void on_push(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    struct en_ep *ep = ud;
    (void)c;
    if (!ep->inst->gone)
        note_positions(ep->inst, r, ck_now());
}

static void on_reply(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    struct en_ep *ep = ud;
    struct en_inst *in = ep->inst;
    int64_t now = ck_now();
    (void)c;
    if (ep->status_id && r->id == ep->status_id) {
        on_status(ep, r, now);
        return;
    }
    bool ours = r->id == ep->req_id || in->node->s->off_own_id;
    if (!ep->req_id || !ours) {
        in->node->c.late_replies++;
        return;
    }
    in->heard = now;
    ep->req_id = 0;
    if (ep->rolling_back) {
        ep->rolling_back = false;
        en_ep_release(ep);
        return;
    }
    if (!ep->txn)
        ad_done(&in->q, now - ep->sent_at, now);
    struct en_req *req = ep->req;
    ep->req = NULL;
    if (ep->orphan) {
        in->node->c.late_replies++;
        ep->orphan = false;
        if (ep->op == EP_BEGIN)
            en_ep_close(ep); /* nobody owns the transaction it opened */
    }
    if (req)
        en_reply(req, ep, r);
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

/* Everything that depended on the connection hears of it. */
static void on_close(struct ep_conn *c, void *ud, bool opened, bool refused)
{
    struct en_ep *ep = ud;
    struct en_inst *in = ep->inst;
    struct en_req *req = ep->req;
    struct en_txn *txn = ep->txn;
    bool counted = ep->req_id != 0 && !txn && !ep->rolling_back;
    (void)c;
    ep->c = NULL;
    unlink_ep(ep);
    in->n_conns--;
    if (in->watch == ep) {
        in->watch = NULL;
        in->status_sent = 0;
    }
    if (opened && counted)
        ad_dropped(&in->q);
    count_open(in);
    bool unasked = !ep->closing;
    free(ep);
    if (in->gone) {
        if (req)
            en_lost(req);
        if (txn)
            en_txn_conn_lost(txn);
        if (in->n_conns == 0)
            free(in);
        return;
    }
    in->refusing = refused;
    choose_watch(in);
    if (unasked) {
        in->next_open = ck_now() + (opened ? 0 : REOPEN_US);
        en_suspect(in, refused ? WR_REFUSED : WR_SILENT);
    }
    if (txn)
        en_txn_conn_lost(txn);
    if (req)
        en_lost(req);
}

static const struct ep_events events = {on_open, on_reply, on_push, on_close};

/* ---- opening and closing ---- */

static void open_one(struct en_inst *in)
{
    struct en_ep *ep = sr_alloc(sizeof(*ep));
    char who[64];
    snprintf(who, sizeof(who), "entry:%s", in->node->s->name);
    ep->inst = in;
    ep->last_id = rn_below(&in->node->rng, ID_SPAN);
    ep->next = in->eps;
    in->eps = ep;
    in->n_conns++;
    struct ep_target to = {in->cfg.ip, in->cfg.port, in->group->cfg.name, in->cfg.id};
    ep->c = in->node->driver->open(in->node->loop, &to, who, &events, ep);
}

void en_ep_close(struct en_ep *ep)
{
    if (ep->closing)
        return;
    ep->closing = true;
    ep->inst->node->driver->close(ep->c);
}

static int n_opening(const struct en_inst *in)
{
    int n = 0;
    for (const struct en_ep *e = in->eps; e; e = e->next)
        n += !e->open;
    return n;
}

static struct en_ep *idle_ep(const struct en_inst *in)
{
    bool pinned = !in->node->s->off_pinning;
    for (struct en_ep *e = in->eps; e; e = e->next) {
        if (e->open && !e->closing && !e->req_id && !(e->txn && pinned) && !e->req)
            return e;
    }
    return NULL;
}

/* Whether something still waits for positions that come over the watching connections. */
static bool watch_needed(const struct en_inst *in)
{
    return in->share > 0 || in->group->holding || en_writes_in_flight(in->group) > 0;
}

/* Close an idle connection when there are more than the share. */
static void shrink(struct en_inst *in)
{
    int over = in->n_conns - in->share;
    for (struct en_ep *e = in->eps; e && over > 0; e = e->next) {
        if (e->closing) {
            over--;
            continue;
        }
        bool idle = !e->req_id && !e->txn && !e->req;
        if (idle && (!e->watching || !watch_needed(in))) {
            en_ep_close(e);
            over--;
        }
    }
}

static int wanted(const struct en_inst *in)
{
    int n = in->q.queued + in->q.in_flight;
    if (n > in->cfg.max_conns)
        n = in->cfg.max_conns;
    return n < 1 ? 1 : n;
}

/* The most that was wanted since the last renewal goes to control. */
static void note_want(struct en_inst *in)
{
    int want = wanted(in);
    if (want > in->peak_want)
        in->peak_want = want;
}

/* A connection that owes a reply for far too long is closed: what it owes will not come. */
static void close_stuck(struct en_inst *in)
{
    struct en_ep *w = in->watch;
    int64_t heard = nt_received_until(in->node->loop);
    if (w && unanswered(in, STATUS_LOST_US))
        en_ep_close(w);
    for (struct en_ep *e = in->eps; e; e = e->next) {
        if (e->orphan && heard - e->sent_at > ORPHAN_US)
            en_ep_close(e);
    }
}

/* Of hundreds of groups most rest: their positions are asked for less often. */
static int64_t poll_every(const struct en_inst *in, int64_t now)
{
    const struct en_group *g = in->group;
    if (g->holding && !in->node->s->pushes)
        return 0; /* writes wait for what this instance holds: ask again and again */
    if (now - g->used > IDLE_AFTER_US)
        return STATUS_IDLE_US;
    return in->at == g->cfg.primary ? STATUS_US : STATUS_REPLICA_US;
}

bool en_inst_rests(const struct en_inst *in)
{
    return !in->group->held && in->n_conns == 0 && in->q.queued == 0;
}

void en_pool_tick(struct en_inst *in, int64_t now)
{
    note_want(in);
    shrink(in);
    close_stuck(in);
    if (in->n_conns == 0 && in->share > 0 && in->group->held && now >= in->next_open)
        open_one(in);
    struct en_ep *w = in->watch;
    if (!w || !w->open)
        return;
    int64_t every = poll_every(in, now);
    if (!w->status_id && now - w->status_at >= every)
        send_status(w, EP_STATUS, now);
    if (unanswered(in, SILENT_US))
        en_suspect(in, WR_SILENT);
}

void en_ep_release(struct en_ep *ep)
{
    struct en_inst *in = ep->inst;
    if (in->gone || (in->n_conns > in->share && !ep->watching)) {
        en_ep_close(ep);
        return;
    }
    en_pump(in);
}

/* ---- sending ---- */

bool en_ep_send(struct en_ep *ep, struct en_req *r, struct ep_request *q)
{
    q->id = ++ep->last_id;
    ep->req = r;
    ep->req_id = q->id;
    ep->op = q->op;
    ep->orphan = false;
    ep->sent_at = ck_now();
    if (r) {
        r->ep = ep;
        r->state = EN_SENT;
    }
    if (ep->inst->node->driver->send(ep->c, q))
        return true;
    ep->req = NULL;
    ep->req_id = 0;
    if (r)
        r->ep = NULL;
    return false;
}

static void fill(const struct en_req *r, struct ep_request *q, char *claim, size_t cap)
{
    static const enum ep_op ops[] = {EP_READ, EP_WRITE, EP_BEGIN, EP_COMMIT, EP_ROLLBACK};
    q->op = ops[r->r.kind];
    q->stmt = sr_from(r->r.stmt);
    q->term = r->term;
    const struct st_settings *s = r->caller->node->s;
    if (s->minpos) {
        q->min = r->min;
        q->wait_us = r->wait_us;
    }
    if (r->r.kind == CL_WRITE && !r->r.repeat_safe && s->claims && !s->off_once) {
        snprintf(claim, cap, "%s:%s", r->r.account, r->r.id);
        q->claim = sr_from(claim);
    }
}

static void start(struct en_inst *in, struct en_ep *ep, struct en_req *r)
{
    char claim[CL_ACCOUNT + CL_ID + 2];
    struct ep_request q = {0};
    r->term = r->at_primary ? in->group->serve_term : 0;
    fill(r, &q, claim, sizeof(claim));
    if (en_ep_send(ep, r, &q))
        return;
    /* Nothing left this process: it may go elsewhere. */
    ad_dropped(&in->q);
    r->tried |= 1u << in->at;
    en_later(r, ER_NONE, 0);
}

/* A request leaves the queue only to run under the view it was queued for. */
static bool still_right(const struct en_inst *in, const struct en_req *r)
{
    const struct en_group *g = in->group;
    if (!r->at_primary)
        return true;
    return g->cfg.phase == VW_SERVING && g->cfg.primary == in->at && en_leased(in->node);
}

void en_pump(struct en_inst *in)
{
    int64_t now = ck_now(), retry;
    struct ad_item *it;
    note_want(in);
    while ((it = ad_hopeless(&in->q, now, &retry)))
        en_later((struct en_req *)it, ER_OVERLOAD, retry);
    struct en_ep *ep;
    while (in->q.queued > 0 && (ep = idle_ep(in)) && (it = ad_next(&in->q, now))) {
        struct en_req *r = (struct en_req *)it;
        if (!still_right(in, r)) {
            ad_dropped(&in->q);
            en_later(r, ER_NONE, 0);
            continue;
        }
        start(in, ep, r);
    }
    bool room = in->n_conns < in->share && in->group->held && n_opening(in) < in->q.queued;
    if (in->q.queued > 0 && room && now >= in->next_open)
        open_one(in);
}

void en_inst_let_go(struct en_inst *in)
{
    struct ad_item *it;
    in->share = 0; /* the pool closes what is idle */
    while ((it = ad_pop_any(&in->q)))
        en_later((struct en_req *)it, ER_NONE, 0);
}

/* The instance left the view: what waits is routed anew, what runs may end. */
void en_inst_gone(struct en_inst *in)
{
    struct ad_item *it;
    in->gone = true;
    while ((it = ad_pop_any(&in->q)))
        en_later((struct en_req *)it, ER_NONE, 0);
    if (in->n_conns == 0) {
        free(in);
        return;
    }
    for (struct en_ep *e = in->eps; e; e = e->next) {
        if (!e->req_id && !e->txn)
            en_ep_close(e);
    }
}
