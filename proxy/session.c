/* Callers' sessions: their connections, from the greeting to the close. statement.c handles
 * what callers send, answer.c what they are sent. */
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    /* Time to receive a first document: without one no session can open. */
    OPEN_TIMEOUT_US = 1500000,
    /* Period over which idle sessions of a disconnected node are closed. */
    STAGGER_CLOSE_US = 1000000,
    /* Planned stop. The load balancer stops sending callers here within two of its health
     * checks; then idle sessions are closed, staggered so that they don't all reconnect at
     * once. Open transactions may end in the meantime. The values are percentages of the time
     * until the process is killed. */
    STOP_CLOSE_FROM_PERCENT = 30,
    STOP_CLOSE_OVER_PERCENT = 25,
    /* From then on relayed sessions end too, even in a failed transaction. */
    STOP_END_RELAYED_PERCENT = 60,
    /* Time for the relaying node to close the connection after PX_END. */
    END_TIMEOUT_US = 1000000,
    /* A caller that reads nothing of its answers for this long is closed. */
    NOT_READING_US = 10000000,
    /* Time for the rest of a partial message, once sessions are closed whatever is open. */
    PARTIAL_TIMEOUT_US = 500000,
    /* Part of max_sessions by which sessions that are ending may exceed it. */
    ENDING_PERCENT = 10,
};

/* ---- opening ---- */

/* Opens the session if that is possible now, or else refuses or relays it. While no document is
 * in force, whether the database exists is unknown, so the session waits. */
static void try_open(struct px_session *s)
{
    if (!px_configured(s->p))
        return;
    if (s->p->catalog.version < s->min_document)
        return; /* wait for the document of the relaying node, or that node tries another */
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
        return; /* whether to relay the session is not known yet */
    if (px_should_relay(s)) {
        px_relay_start(s);
        return;
    }
    s->opened = true;
    s->opened_at = ck_now();
    nt_set_rank(s->net, SD_OPENED);
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
    /* A key that is too long belongs to no account. */
    if (!sr_copy(s->key, sizeof(s->key), s->relayed_to_us ? m->expect : m->identity))
        s->key[0] = 0;
    /* The connection is closed before a greeting so that the relaying node tries another
     * holder. A node that is disconnected from control is listed for another 3 s and would
     * refuse every request. */
    if (s->relayed_to_us && (s->p->stopping || px_disconnected(s->p))) {
        px_close(s, PX_END_NOT_ACCEPTED, true);
        return;
    }
    try_open(s);
}

/* ---- the connection ---- */

static void handle_statement(struct px_session *s, const struct px_msg *m)
{
    nt_set_rank(s->net, SD_USED);
    px_statement(s, m);
    if (s->stage != PX_S_IDLE)
        px_ahead_begun(s);
}

static void handle_message(struct px_session *s, const struct px_msg *m)
{
    nt_note_progress(s->net);
    if (m->kind == PX_END)
        px_close(s, PX_END_BY_CALLER, true);
    else if (m->kind == PX_OPEN && !s->database[0])
        open_session(s, m);
    else if (m->kind == PX_STATEMENT && s->opened)
        handle_statement(s, m);
    else
        px_fail_and_close(s, ER_BAD_INPUT, "unexpected message in this state of the session");
}

static void end_if_due(struct px_session *s, int64_t now);

/* Whether the session handles its next message now. A caller that does not read its answers
 * gets no more of them. */
static bool may_handle(const struct px_session *s)
{
    return s->net && !s->ended && s->stage == PX_S_IDLE && (s->opened || !s->database[0]) &&
           nt_queued(s->net) < NT_ENOUGH_QUEUED;
}

/* Handles complete messages, as far as the session may. Returns the number of bytes handled. */
static size_t handle_input(struct px_session *s)
{
    size_t at = 0;
    struct sr_str line;
    struct px_msg m;
    while (may_handle(s)) {
        size_t next = at;
        if (!px_next_line(&s->in, &next, &line)) {
            s->lacks_line_end = true;
            if (at == s->in.len)
                px_ahead_none(s);
            break;
        }
        if (!px_ahead_allow(s))
            break;
        at = next;
        s->p->cfg.codec->parse(line, &m);
        handle_message(s, &m);
    }
    return at;
}

/* Reads no more than the session can handle now: the rest waits in the socket, so that the
 * caller can't send it. */
static void limit_input(struct px_session *s)
{
    bool waits = !may_handle(s) || s->waits_for_turn;
    size_t most = waits ? PX_MAX_AHEAD : PX_MAX_LINE;
    bool full = s->in.len > most;
    if (full && !waits)
        px_fail_and_close(s, ER_TOO_LARGE, "message exceeds 1 MiB");
    else
        nt_pause_reading(s->net, full);
}

void px_session_resume(struct px_session *s)
{
    if (s->handling_input)
        return; /* called from the loop below, which continues by itself */
    s->handling_input = true;
    size_t handled = handle_input(s);
    s->handling_input = false;
    px_consume(&s->in, handled);
    if (!s->net)
        return;
    if (!s->ended)
        limit_input(s);
    px_session_charge(s);
    /* A busy session is idle only briefly, so it is checked here too. */
    end_if_due(s, ck_now());
}

void px_session_drained(struct nt_conn *net, void *ud)
{
    struct px_session *s = ud;
    (void)net;
    if (s->relay)
        px_relay_caller_drained(s);
    else if (!s->ended && !s->end_sent_at)
        px_session_resume(s);
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
        return; /* PX_END told the relaying node that this input does not run */
    if (s->relay) {
        px_relay_input(s, data, len);
        return;
    }
    /* A long message that arrives in many pieces is searched for its end only once. */
    sr_buf_add(&s->in, data, len);
    bool ends_line = px_ends_line(&s->in, len);
    if (s->lacks_line_end && !ends_line) {
        limit_input(s);
        px_session_charge(s);
        return;
    }
    s->lacks_line_end = false;
    px_session_resume(s);
}

/* A node that relays the session waits for its caller, and closes that one itself. */
static void not_reading_tick(struct px_session *s, int64_t now)
{
    if (s->net && !s->relayed_to_us && nt_queued(s->net) > 0 &&
        now - nt_progress_at(s->net) > NOT_READING_US)
        px_close(s, PX_END_NOT_READING, true);
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
    px_ahead_dequeue(s);
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

/* Whether one more session may begin, perhaps in place of another. A relayed session takes two
 * connections. */
static bool has_room(struct px_proxy *p)
{
    int open = px_open_connections(p), most = p->cfg.max_sessions;
    if (open < most)
        return true;
    /* Also where this one is refused: otherwise sessions that began together and were relayed
     * after that would keep everybody out. */
    bool made_room = nt_make_room(p->listener);
    return made_room && open <= most + most * ENDING_PERCENT / 100;
}

static void *on_accept(struct nt_conn *net, void *ud)
{
    struct px_proxy *p = ud;
    if (!has_room(p)) {
        p->c.no_room++;
        return NULL;
    }
    struct px_session *s = sr_alloc(sizeof(*s));
    nt_on_drained(net, px_session_drained);
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
                          .shed = px_on_shed,
                          .small_windows = true,
                          .ud = p};
    p->listener = nt_listen(p->loop, &l, err);
    return p->listener != NULL;
}

/* ---- time limits ---- */

static void open_tick(struct px_session *s)
{
    if (!s->database[0] || s->opened || s->relay)
        return;
    try_open(s);
    if (s->opened)
        px_session_resume(s);
    else if (!s->relay && px_received_until(s->p) - s->idle_since > OPEN_TIMEOUT_US)
        px_fail_and_close(s, ER_NO_LEASE,
                          "no configuration document received yet; retry in 500 ms");
}

/* Rolls back a transaction that is idle for too long, as it holds a connection that others wait
 * for. */
static void txn_tick(struct px_session *s)
{
    int64_t bound = s->p->catalog.txn_idle_us;
    bool idle = s->txn != PX_IDLE && s->stage == PX_S_IDLE;
    if (!idle || !bound || px_received_until(s->p) - s->idle_since < bound)
        return;
    if (s->conn)
        px_abort_txn(s);
}

static bool is_idle(const struct px_session *s)
{
    if (s->end_sent_at || s->ended)
        return false;
    if (s->relay)
        return px_relay_idle(s);
    return s->opened && s->stage == PX_S_IDLE && s->txn == PX_IDLE && s->in.len == 0;
}

/* A request that is on its way when the connection is closed would be lost, also one that
 * another node passes on for its caller. So that node gets PX_END first, and what still arrives
 * is not run. */
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

static void end_sent_tick(struct px_session *s, int64_t now)
{
    if (now - s->end_sent_at > END_TIMEOUT_US)
        px_close(s, PX_END_TIMEOUT, true);
}

int64_t px_stagger_us(const struct px_session *s, int64_t span_us)
{
    return (int64_t)(s->state.session * 0x9E3779B97F4A7C15ull % (uint64_t)(span_us + 1));
}

/* Closes an idle session of a node that is disconnected from control: its caller reconnects to
 * another node, which can serve it. */
static void disconnected_tick(struct px_session *s)
{
    const struct px_proxy *p = s->p;
    int64_t since = p->leased_at + PX_DISCONNECTED_US;
    /* Only sessions opened before the lease was lost are closed: if all nodes are disconnected,
     * a session that reconnects here would just be closed again. */
    if (s->relay || !px_disconnected(p) || !is_idle(s) || s->opened_at > p->leased_at)
        return;
    if (px_received_until(p) - since > px_stagger_us(s, STAGGER_CLOSE_US))
        px_end_idle(s, PX_END_MOVED);
}

/* Closes an idle session whose group another node holds now; the caller reconnects and is
 * relayed there. */
static void moved_tick(struct px_session *s, int64_t now)
{
    const struct px_group *g = px_session_group(s);
    if (s->relay || !g || g->held || !is_idle(s))
        return;
    if (s->p->stopping && !s->relayed_to_us)
        return; /* the balancer would send the caller back here; stop_tick closes it */
    if (now - g->released_at > px_stagger_us(s, STAGGER_CLOSE_US))
        px_end_idle(s, PX_END_MOVED);
}

/* Whether no message was read from the caller that has no answer; `allow_partial`: the start of
 * one may have been. */
static bool is_between_requests(const struct px_session *s, bool allow_partial)
{
    if (s->relay)
        return px_relay_between_requests(s, allow_partial);
    bool no_message = s->in.len == 0 || (s->lacks_line_end && allow_partial);
    return s->stage == PX_S_IDLE && no_message && (s->opened || !s->database[0]);
}

/* Refuses a session that is not open yet. */
static void refuse_to_open(struct px_session *s)
{
    if (s->relayed_to_us) /* the relaying node tries another */
        px_close(s, PX_END_NOT_ACCEPTED, true);
    else
        px_fail_and_close(s, ER_STOPPING, "this node is stopping; retry at another node");
}

static bool is_opening(const struct px_session *s)
{
    return s->database[0] && !(s->relay ? px_relay_greeted(s) : s->opened);
}

/* The process ends soon: a session ends as soon as nothing is asked of it, also within a
 * transaction, which is rolled back. The rest of a partial message is waited for a while. */
static void linger_tick(struct px_session *s, int64_t now, int64_t since)
{
    if (!s->net || s->ended)
        return;
    if (is_opening(s))
        refuse_to_open(s);
    else if (is_between_requests(s, now - since > PARTIAL_TIMEOUT_US))
        px_end_idle(s, PX_END_MOVED);
}

static void stop_tick(struct px_session *s, int64_t now)
{
    struct px_proxy *p = s->p;
    int64_t lingers_since = px_lingers_since(p, now);
    if (!p->stopping || s->end_sent_at)
        return;
    if (lingers_since) {
        linger_tick(s, now, lingers_since);
        return;
    }
    bool late = now - p->stop_began > p->cfg.grace_us * STOP_END_RELAYED_PERCENT / 100;
    if (late && s->relayed_to_us && s->stage == PX_S_IDLE && s->in.len == 0 &&
        !px_relay_pending(s))
        px_end_idle(s, PX_END_MOVED);
    if (!is_idle(s))
        return;
    int64_t from = p->cfg.grace_us * STOP_CLOSE_FROM_PERCENT / 100;
    int64_t mine = px_stagger_us(s, p->cfg.grace_us * STOP_CLOSE_OVER_PERCENT / 100);
    if (now - p->stop_began > from + mine)
        px_end_idle(s, PX_END_MOVED);
}

/* Ends the session if another node should serve it or this node is stopping. */
static void end_if_due(struct px_session *s, int64_t now)
{
    if (s->end_sent_at)
        return;
    stop_tick(s, now);
    disconnected_tick(s);
    moved_tick(s, now);
}

void px_session_end_if_due(struct px_session *s)
{
    end_if_due(s, ck_now());
}

static void answer_rest(struct px_session *s)
{
    if (is_opening(s))
        refuse_to_open(s);
    else if (s->relay)
        px_relay_finish(s);
    else if (s->stage != PX_S_IDLE)
        px_expire(s);
    else
        px_session_resume(s); /* what waits for its turn is refused */
}

/* The connection is closed as soon as the answers are sent: a request that came while it is
 * open would be read by nobody. */
void px_session_finish(struct px_session *s)
{
    if (!s->net || s->ended || s->end_sent_at)
        return;
    answer_rest(s);
    if (s->ended || s->end_sent_at)
        return;
    if (s->relayed_to_us)
        px_end_idle(s, PX_END_MOVED);
    else
        px_close(s, PX_END_MOVED, false);
}

void px_sessions_slow_tick(struct px_proxy *p, int64_t now)
{
    for (struct px_session *s = p->sessions, *next; s; s = next) {
        next = s->next;
        if (s->end_sent_at) {
            end_sent_tick(s, now);
            continue;
        }
        not_reading_tick(s, now);
        open_tick(s);
        txn_tick(s);
        end_if_due(s, now);
        px_relay_tick(s, now);
    }
}
