/* Sessions that another entry node serves: their bytes are passed in both directions unchanged.
 *
 * Where an instance has fewer connections than there are entry nodes, only some nodes hold each
 * group (route/holders); and a node that is disconnected from control has neighbors that are
 * not. A relayed session lives at the serving node with its values, prepared statements and
 * transactions; this node only passes its bytes. It ends when either connection ends, so no
 * state has to be moved. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy/priv.h"

enum {
    /* A holder that does not greet in this time is skipped: a caller waits 2 s for its
     * greeting. */
    GREETING_TIMEOUT_US = 500000,
    /* Holders are tried one after the other for this long. Most refuse at once, because they
     * are down or disconnected; the caller then still has half a second for the greeting. */
    FIND_NODE_TIMEOUT_US = 1500000,
    /* A node that is disconnected from control and reached no other node tries none for this
     * long: its callers are refused at once. */
    ISOLATED_US = 1000000,
    REFUSED_PAUSE_US = 300000, /* a node that refused a session is tried last for this long */
    NO_HOLDER_PAUSE_US = 1000000, /* the same for a node that reached no holder to pass it on */
    STAGGER_CLOSE_US = 300000, /* period over which idle sessions at a silent node are closed */
    PARTIAL_LINE_TIMEOUT_US = 1000000, /* time to receive the rest of a partial request */
    ENDING_TIMEOUT_US = 3000000, /* a caller that goes on sending is closed all the same */
};

/* The identity in the PX_OPEN of a relayed session: this word, `pass_on_mark` if the receiving
 * node may relay the session once more, "." and the version of the document in force. The
 * caller's key is in the last field of the message. */
static const char relay_identity[] = "~ferry";
static const char pass_on_mark = '+';

struct px_relay {
    struct px_proxy *p;
    struct px_session *s;
    struct nt_conn *net; /* to the serving node; NULL: none */
    struct px_tried_nodes tried;
    struct px_neighbor *nb;  /* the last of `tried` */
    bool via_non_holder;     /* `nb` is no holder and passes the session on */
    bool greeting_timed_out; /* `nb` did not greet in time */
    bool greeted;            /* `nb` greeted */
    bool caller_got_bytes;   /* the caller got bytes from `nb`, so no other node may greet */
    bool ending;             /* the caller's connection is to be closed, for `end_reason` */
    bool left;               /* this node closed the connection to the serving node */
    bool owes_abort;         /* the caller does not know yet that its transaction is gone */
    bool in_doubt;           /* a request was answered as one whose outcome is not known */
    enum px_end_reason end_reason;
    int64_t ending_since;
    bool idle;                 /* no statement and no transaction there since the last answer */
    bool has_pending;          /* a complete request was sent since the last answer */
    int64_t pending_since;     /* when the first of them was sent */
    struct px_pending pending; /* the requests without an answer */
    enum px_txn txn;           /* state after the last answer */
    bool txn_ran;              /* more than the BEGIN of the open transaction was answered */
    struct sr_buf in;          /* bytes of an incomplete line from the serving node */
    int64_t step_began;        /* start of the connect, then of the wait for the greeting */
};

bool px_parse_relayed(const struct px_msg *open, uint64_t *document, bool *pass_on)
{
    size_t n = sizeof(relay_identity) - 1;
    *document = 0;
    *pass_on = false;
    if (open->identity.len < n || memcmp(open->identity.p, relay_identity, n) != 0)
        return false;
    if (open->identity.len > n && open->identity.p[n] == pass_on_mark) {
        *pass_on = true;
        n++;
    }
    if (open->identity.len > n && open->identity.p[n] != '.')
        return false;
    for (size_t i = n + 1; i < open->identity.len; i++) {
        char c = open->identity.p[i];
        if (c < '0' || c > '9')
            return false;
        *document = *document * 10 + (uint64_t)(c - '0');
    }
    return true;
}

bool px_relay_pending(const struct px_session *s)
{
    return s->relay && s->relay->has_pending;
}

bool px_relay_greeted(const struct px_session *s)
{
    return s->relay && s->relay->greeted;
}

bool px_relay_txn_ran(const struct px_session *s)
{
    return s->relay && s->relay->txn_ran;
}

bool px_relay_idle(const struct px_session *s)
{
    return s->relay && s->relay->greeted && s->relay->idle;
}

/* ---- when to relay ---- */

/* A node that is disconnected from control can't prove by itself that its view is current, but
 * other nodes may have a lease: where most nodes of a failure domain are disconnected, the load
 * balancer goes on using them. If this node reaches no other, callers are refused with the
 * greeting: in a session opened here each retry would fail again, and it would have to be
 * closed when the lease is back. */
bool px_should_relay(const struct px_session *s)
{
    struct px_group *g = px_database_group(s);
    if (!g || s->p->n_nodes < 2 || (s->relayed_to_us && (!s->may_pass_on || g->held)))
        return false;
    if (px_disconnected(s->p))
        return true;
    if (g->held && px_has_accounts(s->p))
        return !px_serves_account(s, g);
    return !g->held || (!g->connects_first && !px_reaches_primary(g));
}

/* ---- the connection to the serving node ---- */

static void connect_next(struct px_relay *r);

static void drop_tried(struct px_relay *r)
{
    for (int k = 0; k < r->tried.n; k++)
        px_neighbor_unref(r->tried.nb[k]);
    r->tried.n = 0;
}

static void relay_free(struct px_relay *r)
{
    r->p->n_relays--;
    drop_tried(r);
    sr_buf_free(&r->in);
    free(r);
}

void px_relay_hello(struct px_proxy *p, struct nt_conn *net, const char *database,
                    const char *key, enum px_hello why)
{
    struct sr_buf b = {0};
    char identity[sizeof(relay_identity) + 24];
    int n = snprintf(identity, sizeof(identity), "%s", relay_identity);
    if (why == PX_HELLO_PASS_ON)
        identity[n++] = pass_on_mark;
    if (why != PX_HELLO_TRIAL)
        n += snprintf(identity + n, sizeof(identity) - (size_t)n, ".%llu",
                      (unsigned long long)p->catalog.version);
    struct px_msg m = {.kind = PX_OPEN,
                       .database = sr_from(database),
                       .identity = {identity, (size_t)n},
                       .expect = sr_from(key)};
    p->cfg.codec->put(&b, &m);
    nt_send(net, b.p, b.len);
    sr_buf_free(&b);
}

static void on_open(struct nt_conn *net, void *ud)
{
    struct px_relay *r = ud;
    r->step_began = ck_now();
    px_relay_hello(r->s->p, net, r->s->database, r->s->key,
                   r->via_non_holder ? PX_HELLO_PASS_ON : PX_HELLO_SERVE);
}

static void send_to_node(struct px_relay *r, const char *data, size_t len)
{
    r->idle = false;
    if (!r->has_pending)
        r->pending_since = ck_now();
    px_pending_add(&r->pending, r->s->p->cfg.codec, r->txn, data, len);
    r->has_pending = r->pending.open > 0;
    nt_send(r->net, data, len);
}

/* Closes the session, but waits for the rest of a partial request, and for the request that is
 * told of a rollback. */
static void finish_ending(struct px_relay *r, int64_t now)
{
    bool waits_for_rest = px_pending_partial(&r->pending) && !r->s->relayed_to_us &&
                          now - r->ending_since <= PARTIAL_LINE_TIMEOUT_US;
    if (!waits_for_rest && !r->owes_abort)
        px_end_idle(r->s, r->end_reason);
}

/* Starts to close the session; requests that arrive before the caller sees the close are
 * refused. */
static void begin_ending(struct px_relay *r, enum px_end_reason why)
{
    r->ending = true;
    r->end_reason = why;
    r->ending_since = ck_now();
    finish_ending(r, r->ending_since);
}

/* Answers each pending request with a failure; `in_txn`: the kind for those of a transaction.
 */
static void fail_pending(struct px_relay *r, enum er_kind kind, enum er_kind in_txn,
                         const char *detail)
{
    struct px_session *s = r->s;
    while (r->pending.open > 0) {
        enum er_kind k = r->txn == PX_IDLE ? kind : in_txn;
        bool stays = r->txn != PX_IDLE && !px_pending_ends_txn(&r->pending);
        s->txn = stays ? PX_TXN_FAILED : PX_IDLE;
        px_refuse_relayed(s, k, detail);
        r->txn = s->txn;
        px_pending_answered(&r->pending, r->txn);
    }
    r->has_pending = false;
}

/* Answers requests that did not run: they were not sent, or the serving node had ended the
 * session. */
static void fail_not_run(struct px_relay *r)
{
    fail_pending(r, ER_STOPPING, r->in_doubt ? ER_LOST : ER_ABORTED,
                 r->left ? "this node is stopping; retry at another node at once"
                         : "the node that serves the session is stopping; retry at once");
}

/* Answers pending requests whose answer can't reach the caller any more with what is known of
 * them, and closes the session. `sent`: they were sent to the serving node. */
static void fail_unanswered(struct px_relay *r, bool sent, enum px_end_reason why)
{
    struct px_session *s = r->s;
    bool nothing_kept = !sent || px_pending_harmless(&r->pending);
    s->arrived = r->pending_since;
    s->p->c.silent_told++;
    r->in_doubt = r->in_doubt || !nothing_kept;
    fail_pending(r, nothing_kept ? ER_OVERLOAD : ER_LOST, nothing_kept ? ER_ABORTED : ER_LOST,
                 nothing_kept
                     ? "the node that serves the session does not answer; nothing is kept, "
                       "retry at once"
                     : "the node that serves the session does not answer; outcome unknown");
    begin_ending(r, why);
}

/* Reads no more from the caller while the serving node does not take it, and the other way
 * round. */
static void pause_sending(struct px_relay *r)
{
    struct px_session *s = r->s;
    bool full = r->greeted ? nt_queued(r->net) > NT_ENOUGH_QUEUED : s->in.len > PX_MAX_AHEAD;
    if (s->net)
        nt_pause_reading(s->net, full);
    px_session_charge(s);
}

static void node_drained(struct nt_conn *net, void *ud)
{
    struct px_relay *r = ud;
    if (r->s && r->net == net && r->greeted)
        pause_sending(r);
}

void px_relay_caller_drained(struct px_session *s)
{
    if (s->relay->net)
        nt_pause_reading(s->relay->net, false);
}

size_t px_relay_bytes(const struct px_session *s)
{
    const struct px_relay *r = s->relay;
    return r ? r->in.cap + (r->net ? nt_queued(r->net) : 0) : 0;
}

/* Sends what the caller sent before the greeting. */
static void send_buffered(struct px_relay *r)
{
    struct px_session *s = r->s;
    if (s->in.len == 0)
        return;
    send_to_node(r, s->in.p, s->in.len);
    sr_buf_reset(&s->in);
    pause_sending(r);
}

/* The serving node ended the session while it was idle there. Requests sent since did not run,
 * and the caller gets an error. */
static void on_end(struct px_relay *r)
{
    if (!r->s->net)
        return;
    if (!r->caller_got_bytes) {
        nt_close(r->net, true); /* it did not open the session; on_close tries another node */
        return;
    }
    if (r->has_pending)
        fail_not_run(r);
    begin_ending(r, PX_END_HOLDER_CLOSED);
}

/* Passes the first `n` received bytes, which are complete lines, to the caller. */
static void pass_to_caller(struct px_relay *r, size_t n)
{
    r->caller_got_bytes = true;
    if (r->s->net) {
        nt_send(r->s->net, r->in.p, n);
        if (r->net && nt_queued(r->s->net) > NT_ENOUGH_QUEUED)
            nt_pause_reading(r->net, true);
    }
    px_consume(&r->in, n);
    px_session_charge(r->s);
}

/* The oldest pending request was answered, or the session was opened. */
static void note_ready(struct px_relay *r, const struct px_msg *m)
{
    int64_t now = ck_now();
    bool begins = r->txn == PX_IDLE;
    r->txn_ran = m->txn != PX_IDLE && (r->txn_ran || !begins);
    r->txn = m->txn;
    if (r->has_pending && r->greeted) {
        px_stages_add(&r->s->p->stages, PX_T_RELAY, now - r->pending_since);
        r->s->p->c.statements_relayed++;
    }
    px_pending_answered(&r->pending, m->txn);
    r->has_pending = r->pending.open > 0;
    r->pending_since = now; /* the next one waited for its turn until now */
    r->idle = m->txn == PX_IDLE && !r->has_pending;
}

/* Takes the session's state from the complete lines received, and sets *len to their length.
 * Returns false if one is PX_END, which is for this node and not for the caller: *len ends
 * before it. */
static bool note_lines(struct px_relay *r, size_t *len)
{
    const struct px_codec *codec = r->s->p->cfg.codec;
    struct px_msg m;
    *len = 0;
    for (size_t pos = 0; px_next_msg(codec, &r->in, &pos, &m); *len = pos) {
        if (m.kind == PX_END)
            return false;
        if (m.kind == PX_DONE && m.signature.len)
            px_pending_signed(&r->pending);
        if (m.kind == PX_READY)
            note_ready(r, &m);
    }
    return true;
}

/* Handles the greeting: what the caller sent in the meantime goes to the serving node. */
static void on_greeting(struct px_relay *r)
{
    struct px_proxy *p = r->s->p;
    r->greeted = true;
    if (r->s->net)
        nt_set_rank(r->s->net, SD_OPENED);
    p->c.relayed++;
    p->c.relayed_by_others += r->via_non_holder;
    p->c.passed_on += r->s->relayed_to_us;
    if (r->via_non_holder)
        r->nb->passed_on_at = ck_now();
    send_buffered(r);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct px_relay *r = ud;
    nb_received(&r->nb->status, ck_now());
    if (r->ending || r->s->ended)
        return; /* the caller already got an answer for these requests */
    sr_buf_add(&r->in, data, len);
    size_t n = 0;
    bool ended = px_ends_line(&r->in, len) && !note_lines(r, &n);
    if (n == 0 && !ended) {
        if (r->in.len > PX_MAX_LINE)
            nt_close(net, true);
        return;
    }
    bool greets = !r->greeted && r->idle;
    if (n > 0)
        pass_to_caller(r, n);
    if (greets)
        on_greeting(r);
    if (ended)
        on_end(r);
    else if (r->s->net && r->greeted && !r->has_pending)
        px_session_end_if_due(r->s); /* a busy session rests only briefly */
}

/* Records that the node did not open the session; for a node that is no holder, that it reaches
 * none. */
static void note_no_greeting(struct px_relay *r, bool opened)
{
    int64_t now = ck_now();
    if (r->via_non_holder)
        nb_session_refused(&r->nb->status, NO_HOLDER_PAUSE_US, now);
    else if (!opened || r->greeting_timed_out)
        nb_doubt(&r->nb->status, now);
    else
        nb_session_refused(&r->nb->status, REFUSED_PAUSE_US, now);
}

/* The connection was lost, and with it the session at the serving node. */
static void on_lost(struct px_relay *r)
{
    if (r->left)
        return;
    nb_doubt(&r->nb->status, ck_now());
    if (r->ending || !r->s->net || r->s->end_sent_at)
        return;
    if (r->has_pending) {
        fail_unanswered(r, true, PX_END_HOLDER_LOST);
        return;
    }
    begin_ending(r, PX_END_HOLDER_LOST);
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct px_relay *r = ud;
    (void)net;
    (void)refused;
    r->net = NULL;
    if (!r->s) {
        relay_free(r);
    } else if (!r->caller_got_bytes) {
        note_no_greeting(r, opened);
        connect_next(r);
    } else {
        on_lost(r);
    }
}

static const struct nt_ops ops = {on_open, on_message, on_close};

/* No node opens the session. */
static void give_up(struct px_relay *r)
{
    struct px_session *s = r->s;
    if (!s->net)
        return;
    if (s->relayed_to_us)
        px_close(s, PX_END_NO_HOLDER, true);
    else if (px_disconnected(s->p))
        px_fail_disconnected(s);
    else
        px_fail_and_close(
            s, ER_NO_LEASE,
            "no node that serves the database answers; retry at another node at once");
}

static bool may_try(const struct px_relay *r, int64_t now)
{
    const struct px_proxy *p = r->s->p;
    bool isolated = px_disconnected(p) && now < p->isolated_until;
    return !isolated && now - r->s->idle_since < FIND_NODE_TIMEOUT_US;
}

static void connect_next(struct px_relay *r)
{
    struct px_session *s = r->s;
    struct px_proxy *p = s->p;
    int64_t now = ck_now();
    struct px_target to = {-1, false};
    if (s->net && may_try(r, now))
        to = px_next_target(s, &r->tried, r->via_non_holder, now);
    if (to.node < 0) {
        give_up(r);
        return;
    }
    const struct ho_node *node = &p->nodes[to.node];
    r->nb = px_neighbor_ref(p, node);
    r->tried.nb[r->tried.n++] = r->nb;
    r->via_non_holder = to.passes_on;
    r->greeting_timed_out = false;
    sr_copy(r->nb->database, sizeof(r->nb->database), sr_from(s->database));
    sr_copy(r->nb->key, sizeof(r->nb->key), sr_from(s->key));
    r->in.len = 0;
    r->step_began = now;
    r->net = nt_connect_stream(p->loop, node->ip, node->port, &ops, r);
    nt_on_drained(r->net, node_drained);
    px_meter(p, r->net, PX_PEER_NODE, node->domain);
}

/* ---- the caller's connection ---- */

void px_relay_start(struct px_session *s)
{
    struct px_relay *r = sr_alloc(sizeof(*r));
    r->p = s->p;
    r->p->n_relays++;
    r->s = s;
    s->relay = r;
    /* The session counted as one connection when it was accepted. */
    if (px_open_connections(s->p) > s->p->cfg.max_sessions)
        nt_make_room(s->p->listener);
    connect_next(r);
}

/* Answers a request that is not sent because the serving node is silent. */
static void refuse_unsent(struct px_relay *r, const char *data, size_t len)
{
    r->idle = false;
    r->pending_since = ck_now();
    px_pending_add(&r->pending, r->s->p->cfg.codec, r->txn, data, len);
    if (r->pending.open > 0)
        fail_unanswered(r, false, PX_END_HOLDER_SILENT);
    else /* the rest of the request must not be sent without this part */
        begin_ending(r, PX_END_HOLDER_SILENT);
}

/* Answers a request that arrived after the session ended at the serving node. */
static void refuse_late_input(struct px_relay *r, const char *data, size_t len)
{
    struct px_session *s = r->s;
    s->arrived = ck_now();
    px_pending_add(&r->pending, s->p->cfg.codec, r->txn, data, len);
    if (r->pending.open == 0)
        return; /* incomplete request */
    fail_not_run(r);
    r->owes_abort = false;
    finish_ending(r, ck_now());
}

void px_relay_input(struct px_session *s, const char *data, size_t len)
{
    struct px_relay *r = s->relay;
    if (r->ending) {
        refuse_late_input(r, data, len);
        return;
    }
    if (!r->greeted) {
        sr_buf_add(&s->in, data, len);
        pause_sending(r);
        return;
    }
    if (r->nb->status.state == NB_SILENT && !r->has_pending) {
        refuse_unsent(r, data, len);
        return;
    }
    if (!r->net) {
        px_close(s, PX_END_QUEUE_FULL, true);
        return;
    }
    nt_set_rank(s->net, SD_USED);
    nt_note_progress(s->net);
    send_to_node(r, data, len);
    pause_sending(r);
}

void px_relay_stop(struct px_session *s)
{
    struct px_relay *r = s->relay;
    if (!r)
        return;
    s->relay = NULL;
    r->s = NULL;
    if (r->net)
        nt_close(r->net, true); /* on_close frees `r` */
    else
        relay_free(r);
}

bool px_relay_between_requests(const struct px_session *s, bool allow_partial)
{
    const struct px_relay *r = s->relay;
    bool no_request = !r->has_pending && (allow_partial || !px_pending_partial(&r->pending));
    return r->greeted && no_request;
}

/* The serving node rolls back when its connection closes, as no COMMIT was sent. */
void px_relay_abort_txn(struct px_session *s)
{
    struct px_relay *r = s->relay;
    if (!s->net || !r->net || !r->greeted || r->ending || r->has_pending || r->txn != PX_IN_TXN)
        return;
    r->ending = r->left = r->owes_abort = true;
    r->end_reason = PX_END_MOVED;
    r->ending_since = ck_now();
    nt_pause_reading(s->net, false); /* nobody takes it any more, but the rest is to be read */
    nt_close(r->net, true);
}

void px_relay_finish(struct px_session *s)
{
    if (s->relay->has_pending)
        fail_unanswered(s->relay, true, PX_END_MOVED);
}

/* Whether the session's key was removed. The serving node refuses it too as soon as it has the
 * same document, but may be disconnected from control. */
static bool key_removed(struct px_session *s)
{
    const struct cg_route *r = cg_route(&s->p->catalog, sr_from(s->database));
    return r && !px_identify(s, r);
}

/* The time limit of the session's statements. Until it has passed, the outcome of a request
 * that may have changed data is not reported as unknown, as its answer may still arrive. */
static int64_t time_limit_us(const struct px_session *s)
{
    const struct cg_route *route = cg_route(&s->p->catalog, sr_from(s->database));
    return route ? route->timeout_us : 0;
}

/* Ends a session whose serving node is silent. */
static void handle_silent_node(struct px_relay *r, int64_t now)
{
    struct px_session *s = r->s;
    if (r->has_pending) {
        if (px_pending_may_abandon(&r->pending) ||
            px_received_until(s->p) - r->pending_since > time_limit_us(s))
            fail_unanswered(r, true, PX_END_HOLDER_SILENT);
    } else if (r->idle &&
               now - r->nb->status.silent_since > px_stagger_us(s, STAGGER_CLOSE_US)) {
        begin_ending(r, PX_END_HOLDER_SILENT);
    }
}

static void check_answer_time(struct px_relay *r, int64_t now)
{
    if (r->ending || !r->s->net)
        return;
    /* Requests sent ahead wait for their turn at the serving node. */
    if (r->has_pending && r->pending.open == 1)
        nb_unanswered(&r->nb->status, r->pending_since, px_received_until(r->s->p));
    if (r->nb->status.state == NB_SILENT)
        handle_silent_node(r, now);
}

static void on_greeting_timeout(struct px_relay *r, int64_t now)
{
    struct px_proxy *p = r->s->p;
    if (px_disconnected(p) && !px_any_neighbor_passes_on(p, now))
        p->isolated_until = now + ISOLATED_US;
    r->greeting_timed_out = true;
    nt_close(r->net, true);
}

void px_relay_tick(struct px_session *s, int64_t now)
{
    struct px_relay *r = s->relay;
    if (r && r->greeted && s->net && px_relay_idle(s) && !r->has_pending && key_removed(s)) {
        px_end_idle(s, PX_END_REFUSED);
        return;
    }
    if (r && r->ending && s->net && !s->end_sent_at) {
        finish_ending(r, now);
        if (!s->ended && !r->left && now - r->ending_since > ENDING_TIMEOUT_US)
            px_close(s, r->end_reason, true);
    }
    if (!r || !r->net)
        return;
    if (r->greeted) {
        check_answer_time(r, now);
        return;
    }
    int64_t received_until = px_received_until(s->p);
    if (!r->via_non_holder)
        nb_unanswered(&r->nb->status, r->step_began, received_until);
    if (received_until - r->step_began > GREETING_TIMEOUT_US ||
        r->nb->status.state == NB_SILENT)
        on_greeting_timeout(r, now);
}
