/* Callers' sessions: their connections, from the greeting to the close. What they say is at
 * statement.c, what they are told at answer.c. */
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    UNANSWERED_OPEN_US = 1500000,    /* without a document nobody can be told what there is */
    CUT_OFF_CLOSE_OVER_US = 1000000, /* its resting sessions are closed, spread over so long */
    /* A planned stop: callers are sent elsewhere by the balancer within two of its probes, then
     * sessions that rest are closed, spread over a while so that they don't all come back at
     * once; transactions may end meanwhile. Shares of the time until the process is killed. */
    STOP_CLOSE_FROM_PERCENT = 30,
    STOP_CLOSE_OVER_PERCENT = 25,
    STOP_LEAVE_PERCENT = 60, /* relayed sessions go then, also from failed transactions */
    LEAVE_US = 1000000,      /* who relays a session closes it at once, or has gone */
};

/* ---- opening ---- */

/* Without a document it can't be told whether the database is there: it waits a while. */
static void try_open(struct px_session *s)
{
    if (!px_configured(s->p))
        return;
    if (s->p->catalog.version < s->min_document)
        return; /* who relays it acts on a newer document: it comes, or another is asked */
    const struct cg_route *r = cg_route(&s->p->catalog, sr_from(s->database));
    if (!r) {
        px_fail_and_close(s, ER_NO_DATABASE, s->database);
        return;
    }
    if (!px_identify(s, r)) {
        px_fail_and_close(s, ER_NO_ACCOUNT, "the key belongs to no account");
        return;
    }
    if (!px_knows_nodes(s->p))
        return; /* it may have to be relayed */
    if (px_should_relay(s)) {
        px_relay_start(s);
        return;
    }
    s->opened = true;
    s->opened_at = ck_now();
    px_greet(s);
}

static void open_session(struct px_session *s, const struct px_msg *m)
{
    if (!sr_copy(s->database, sizeof(s->database), m->database) || !s->database[0]) {
        px_fail_and_close(s, ER_BAD_INPUT, "the name of a database is expected");
        return;
    }
    s->relayed_to_us = px_parse_relayed(m, &s->min_document, &s->may_pass_on);
    if (s->relayed_to_us)
        nt_meter(s->net, &s->p->served_traffic);
    /* One that is too long is nobody's. */
    if (!sr_copy(s->key, sizeof(s->key), s->relayed_to_us ? m->expect : m->identity))
        s->key[0] = 0;
    /* Closed before a greeting, so that another holder is asked. A node that is cut off from
     * control is listed for three seconds more and would refuse whatever it is asked. */
    if (s->relayed_to_us && (s->p->stopping || px_disconnected(s->p))) {
        px_close(s, PX_END_NOT_ACCEPTED, true);
        return;
    }
    try_open(s);
}

/* ---- the connection ---- */

static void take(struct px_session *s, const struct px_msg *m)
{
    if (m->kind == PX_END)
        px_close(s, PX_END_BY_CALLER, true);
    else if (m->kind == PX_OPEN && !s->database[0])
        open_session(s, m);
    else if (m->kind == PX_STATEMENT && s->opened)
        px_statement(s, m);
    else
        px_fail_and_close(s, ER_BAD_INPUT, "not a message that is expected here");
}

static void leave_if_due(struct px_session *s, int64_t now);

void px_session_resume(struct px_session *s)
{
    struct px_msg m;
    size_t at = 0;
    if (s->handling_input)
        return; /* the loop below goes on by itself */
    s->handling_input = true;
    while (s->net && s->stage == PX_S_IDLE && (s->opened || !s->database[0]) &&
           px_next_msg(s->p->cfg.codec, &s->in, &at, &m))
        take(s, &m);
    s->handling_input = false;
    px_consume(&s->in, at);
    bool full = s->in.len > PX_MAX_LINE;
    if (s->net && full != s->reading_paused) {
        s->reading_paused = full;
        if (full && s->stage == PX_S_IDLE)
            px_fail_and_close(s, ER_TOO_LARGE, "a message of more than 1 MiB");
        else
            nt_pause_reading(s->net, full);
    }
    if (s->net)
        leave_if_due(s, ck_now()); /* a busy session rests for moments only */
}

static void on_open(struct nt_conn *net, void *ud)
{
    (void)net;
    (void)ud;
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct px_session *s = ud;
    (void)net;
    if (s->end_sent_at)
        return; /* said not to be run */
    if (s->relay) {
        px_relay_input(s, data, len);
        return;
    }
    sr_buf_add(&s->in, data, len);
    px_session_resume(s);
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct px_session *s = ud;
    struct px_proxy *p = s->p;
    (void)opened;
    (void)refused;
    if (s->ended && s->end_reason != PX_END_BY_CALLER && nt_dropped(net) > 0)
        px_note_dropped(s, nt_dropped(net));
    s->net = NULL;
    px_relay_stop(s);
    px_end_work(s);
    px_drop_txn(s);
    if (s->prev)
        s->prev->next = s->next;
    else
        p->sessions = s->next;
    if (s->next)
        s->next->prev = s->prev;
    p->n_sessions--;
    px_state_free(&s->state);
    sr_buf_free(&s->in);
    sr_buf_free(&s->request);
    free(s);
}

static const struct nt_ops ops = {on_open, on_message, on_close};

static void *on_accept(struct nt_conn *net, void *ud)
{
    struct px_proxy *p = ud;
    if (p->n_sessions >= p->cfg.max_sessions)
        return NULL;
    struct px_session *s = sr_alloc(sizeof(*s));
    s->p = p;
    s->net = net;
    s->idle_since = ck_now();
    s->state.session = ++p->last_number;
    s->next = p->sessions;
    if (s->next)
        s->next->prev = s;
    p->sessions = s;
    p->n_sessions++;
    p->c.sessions++;
    return s;
}

bool px_listen(struct px_proxy *p, struct er_err *err)
{
    struct nt_listen l = {.ip = p->cfg.ip,
                          .port = p->cfg.port,
                          .stream = true,
                          .ops = &ops,
                          .accept = on_accept,
                          .ud = p};
    p->listener = nt_listen(p->loop, &l, err);
    return p->listener != NULL;
}

/* ---- time ---- */

static void open_tick(struct px_session *s)
{
    if (!s->database[0] || s->opened || s->relay)
        return;
    try_open(s);
    if (s->opened)
        px_session_resume(s);
    else if (!s->relay && px_received_until(s->p) - s->idle_since > UNANSWERED_OPEN_US)
        px_fail_and_close(s, ER_NO_LEASE, "no configuration has come yet; retry in 500 ms");
}

/* A transaction that rests too long holds a connection that others wait for. */
static void txn_tick(struct px_session *s)
{
    int64_t bound = s->p->catalog.txn_idle_us;
    bool rests = s->txn != PX_IDLE && s->stage == PX_S_IDLE;
    if (!rests || !bound || px_received_until(s->p) - s->idle_since < bound)
        return;
    if (s->conn)
        px_abort_txn(s);
}

static bool rests(const struct px_session *s)
{
    if (s->end_sent_at || s->ended)
        return false;
    if (s->relay)
        return px_relay_idle(s);
    return s->opened && s->stage == PX_S_IDLE && s->txn == PX_IDLE && s->in.len == 0;
}

/* What a caller sends after the close met it on its way. A question that another node passed on
 * would be lost, so that node is told first, and what still comes is not run. */
void px_end_idle(struct px_session *s, enum px_end_reason why)
{
    struct sr_buf b = {0};
    struct px_msg m = {.kind = PX_END};
    if (!s->relayed_to_us) {
        px_close_idle(s, why);
        return;
    }
    s->end_sent_at = ck_now();
    s->p->cfg.codec->put(&b, &m);
    nt_send(s->net, b.p, b.len);
    sr_buf_free(&b);
}

static void left_tick(struct px_session *s, int64_t now)
{
    if (now - s->end_sent_at > LEAVE_US)
        px_close(s, PX_END_TIMEOUT, true);
}

int64_t px_stagger_us(const struct px_session *s, int64_t span_us)
{
    return (int64_t)(s->state.session * 0x9E3779B97F4A7C15ull % (uint64_t)(span_us + 1));
}

/* Its caller finds another node, which can serve it, when it comes back. */
static void cut_off_tick(struct px_session *s)
{
    const struct px_proxy *p = s->p;
    int64_t since = p->leased_at + PX_DISCONNECTED_US;
    /* Once: where all nodes are cut off it would only come back to be closed again. */
    if (s->relay || !px_disconnected(p) || !rests(s) || s->opened_at > p->leased_at)
        return;
    if (px_received_until(p) - since > px_stagger_us(s, CUT_OFF_CLOSE_OVER_US))
        px_end_idle(s, PX_END_MOVED);
}

/* Another node holds the group now: the session's next life is there. */
static void moved_tick(struct px_session *s, int64_t now)
{
    const struct px_group *g = px_session_group(s);
    if (s->relay || !g || g->held || !rests(s))
        return;
    if (s->p->stopping && !s->relayed_to_us)
        return; /* the balancer would send its caller here again: stop_tick */
    if (now - g->released_at > px_stagger_us(s, CUT_OFF_CLOSE_OVER_US))
        px_end_idle(s, PX_END_MOVED);
}

static void stop_tick(struct px_session *s, int64_t now)
{
    struct px_proxy *p = s->p;
    if (!p->stopping || s->end_sent_at)
        return;
    bool late = now - p->stop_began > p->cfg.grace_us * STOP_LEAVE_PERCENT / 100;
    if (late && s->relayed_to_us && s->stage == PX_S_IDLE && s->in.len == 0 &&
        !px_relay_pending(s))
        px_end_idle(s, PX_END_MOVED);
    if (!rests(s))
        return;
    int64_t from = p->cfg.grace_us * STOP_CLOSE_FROM_PERCENT / 100;
    int64_t mine = px_stagger_us(s, p->cfg.grace_us * STOP_CLOSE_OVER_PERCENT / 100);
    if (now - p->stop_began > from + mine)
        px_end_idle(s, PX_END_MOVED);
}

/* Its place is elsewhere: here, or this node, ends. */
static void leave_if_due(struct px_session *s, int64_t now)
{
    if (s->end_sent_at)
        return;
    stop_tick(s, now);
    cut_off_tick(s);
    moved_tick(s, now);
}

void px_sessions_slow_tick(struct px_proxy *p, int64_t now)
{
    for (struct px_session *s = p->sessions, *next; s; s = next) {
        next = s->next;
        if (s->end_sent_at) {
            left_tick(s, now);
            continue;
        }
        open_tick(s);
        txn_tick(s);
        leave_if_due(s, now);
        px_relay_tick(s, now);
    }
}
