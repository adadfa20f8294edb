/* Connections to instances. Each carries one statement at a time; the proxy's own statements
 * that prepare the connection precede the session's statement. */
#include <stdio.h>
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    /* A connection without a greeting by then is closed and retried. */
    GREETING_TIMEOUT_US = 1000000,
    /* A later answer counts as lost, and the connection is closed. */
    ORPHAN_TIMEOUT_US = 400000,
    CONNECT_RETRY_US = 100000, /* after a failed connect */
    /* The instance accepts no more connections until others close some. It is retried early
     * while connections of lost VMs may be what fills it: it drops them within 3 s, and the
     * freed ones should be used soon. */
    TOO_MANY_RETRY_US = 400000,
    TOO_MANY_EARLY_RETRY_US = 60000,
    STALE_CONNS_US = 3500000,
};

/* ---- sending ---- */

static bool send_msg(struct px_conn *c, const struct px_msg *m)
{
    struct sr_buf b = {0};
    struct px_proxy *p = c->inst->p;
    p->cfg.codec->put(&b, m);
    c->sent_at = ck_now();
    c->term = c->inst->group->cfg.term;
    c->leased = px_leased(p);
    c->awaits_copies = false;
    c->complete_seen = false;
    c->error = ER_NONE;
    sr_buf_reset(&c->rows);
    sr_buf_reset(&c->signature);
    bool ok = c->net && nt_send(c->net, b.p, b.len);
    sr_buf_free(&b);
    return ok;
}

static bool send_own_stmt(struct px_conn *c, const struct px_stmt *st, bool has_floor,
                          struct ps_pos floor)
{
    struct sr_buf text = {0};
    c->inst->p->cfg.codec->put_text(&text, st);
    struct px_msg m = {
        .kind = PX_STATEMENT, .text = {text.p, text.len}, .has_floor = has_floor, .pos = floor};
    bool ok = send_msg(c, &m);
    sr_buf_free(&text);
    return ok;
}

/* ---- the session's statement ---- */

static const struct px_prepared *prepared_to_execute(const struct px_session *s)
{
    if (s->stmt.verb != PX_V_EXECUTE)
        return NULL;
    return px_find_prepared(&s->state, s->stmt.name);
}

static bool send_statement(struct px_conn *c, struct px_session *s)
{
    struct sr_buf text = {0};
    const struct px_prepared *prepared = prepared_to_execute(s);
    /* A transaction checked the floor when it began. */
    bool floor = s->has_floor && s->txn == PX_IDLE;
    struct px_msg m = {.kind = PX_STATEMENT,
                       .id = s->id,
                       .text = s->text,
                       .has_floor = floor,
                       .pos = s->floor};
    if (prepared) { /* the connection knows the statement by a name of the proxy */
        struct px_stmt st = s->stmt;
        st.name = sr_from(px_prepared_name_on(&c->applied, prepared));
        c->inst->p->cfg.codec->put_text(&text, &st);
        m.text = (struct sr_str){text.p, text.len};
    }
    struct ps_pos own = px_own_commit_pos(&s->own_commits, c->inst->group);
    FL_DBG(&c->inst->p->log,
           "request %.*s session %llu to %s: floor %d %llu.%llu, own commit %llu.%llu in %s, "
           "begun %d",
           (int)s->id.len, s->id.p, (unsigned long long)s->state.session, c->inst->cfg.id,
           floor, (unsigned long long)s->floor.term, (unsigned long long)s->floor.pos,
           (unsigned long long)own.term, (unsigned long long)own.pos, c->inst->group->cfg.name,
           s->txn_begun);
    c->phase = PX_C_RUNNING;
    px_stage_done(s, PX_T_SETUP);
    s->sent_at = c->last_used_at = ck_now();
    s->offers++;
    bool ok = send_msg(c, &m);
    c->awaits_copies = c->inst->group->sync_copies > 0 && px_commits_writes(s);
    sr_buf_free(&text);
    return ok;
}

/* Sends the next statement of the proxy that the session's statement requires; false: none is
 * left. */
static bool send_setup(struct px_conn *c, struct px_session *s, bool *sent)
{
    if (px_next_setup(&s->state, &c->applied, prepared_to_execute(s), c->setup_name,
                      &c->setup)) {
        c->phase = PX_C_SETUP;
        *sent = send_own_stmt(c, &c->setup, false, s->floor);
        return true;
    }
    if (s->txn == PX_IDLE || s->txn_begun)
        return false;
    c->setup = (struct px_stmt){.verb = PX_V_BEGIN, .read_only = s->txn_read_only};
    c->phase = PX_C_SETUP;
    *sent = send_own_stmt(c, &c->setup, s->has_floor, s->floor);
    return true;
}

static void send_next(struct px_conn *c)
{
    struct px_session *s = c->session;
    bool sent = true;
    if (!send_setup(c, s, &sent))
        sent = send_statement(c, s);
    if (!sent)
        px_conn_close(c); /* its close is reported to the session */
}

void px_conn_run(struct px_conn *c, struct px_session *s)
{
    if (c->phase == PX_C_IDLE)
        c->inst->busy++;
    c->session = s;
    s->conn = c;
    s->inst = c->inst;
    s->stage = PX_S_AT_INSTANCE;
    px_stage_done(s, PX_T_WAIT);
    send_next(c);
}

/* ---- ending ---- */

void px_conn_idle(struct px_conn *c)
{
    if (c->phase != PX_C_IDLE && c->phase != PX_C_OPENING)
        c->inst->busy--;
    c->phase = PX_C_IDLE;
    c->session = NULL;
    px_inst_serve_waiters(c->inst);
}

void px_conn_rollback(struct px_conn *c)
{
    struct px_stmt st = {.verb = PX_V_ROLLBACK};
    struct ps_pos none = {0};
    c->session = NULL;
    c->phase = PX_C_ROLLING_BACK;
    if (!send_own_stmt(c, &st, false, none))
        px_conn_close(c);
}

void px_conn_orphan(struct px_conn *c)
{
    c->session = NULL;
    /* The outstanding statement may or may not take effect, so the connection's settings are
     * unknown and must be reset before use. */
    if (c->phase == PX_C_SETUP)
        c->applied.session = UINT64_MAX;
    if (c->phase == PX_C_IDLE_IN_TXN)
        px_conn_rollback(c);
    else
        c->phase = PX_C_ORPHANED;
}

void px_conn_close(struct px_conn *c)
{
    if (c->closing)
        return;
    c->closing = true;
    if (c->net)
        nt_close(c->net, true);
}

/* ---- reading ---- */

static void note_received(struct px_conn *c)
{
    c->inst->last_received = ck_now();
    c->inst->connect_failed_at = 0;
}

/* Records the position of an answer. The primary's position covers every commit that was
 * acknowledged before the statement was sent; a replica's says what it has applied. */
static void note_position(struct px_conn *c)
{
    struct px_inst *in = c->inst;
    if (!c->has_pos || in->removed)
        return;
    if (ps_cmp(c->pos, in->known_pos) > 0)
        in->known_pos = c->pos;
    bool primary = in->index == in->group->cfg.primary;
    if (primary && c->leased && c->term == in->group->cfg.term)
        rt_record_primary_pos(&in->group->rt, c->sent_at, c->pos);
}

static void note_service_time(struct px_conn *c)
{
    enum { WEIGHT = 8 };
    int64_t us = ck_now() - c->sent_at;
    c->inst->service_us += (us - c->inst->service_us) / WEIGHT;
    if (c->error == ER_BUSY)
        px_window_queue_full(&c->inst->window, ck_now());
    else if (c->error == ER_NONE)
        px_window_answered(&c->inst->window, us, px_inst_running(c->inst) - 1, ck_now());
    if (c->error == ER_NONE && c->session->stmt.verb != PX_V_COMMIT)
        px_service_time_record(&c->inst->group->service_times, c->session->pace_kind,
                               &c->inst->service_factor, us);
}

/* Only answers to reads are evaluated, since a write may fail because of what it writes. A lost
 * answer counts against the instance for any statement. */
static void note_outcome(struct px_conn *c)
{
    bool failed = c->error == ER_FAILED || c->error == ER_TIMEOUT;
    bool read = !c->session->writes && c->session->stmt.verb != PX_V_COMMIT;
    if (read && c->error == ER_NONE)
        c->inst->read_served_at = ck_now();
    if (read && (failed || c->error == ER_NONE))
        px_outlier_record(&c->inst->outlier, !failed, ck_now());
}

static int count_open(const struct px_inst *in)
{
    int k = 0;
    for (const struct px_conn *c = in->conns; c; c = c->next)
        k += c->phase != PX_C_OPENING && !c->closing;
    return k;
}

static void handle_opened(struct px_conn *c)
{
    struct px_inst *in = c->inst;
    c->phase = PX_C_IDLE;
    px_saturation_accepted(&in->saturation, &in->p->saturation, count_open(in), ck_now());
    in->too_many_since = 0;
    in->wants_first_conn = false;
    in->p->c.opened_conns++;
    px_inst_serve_waiters(in);
}

/* A statement of the proxy that prepares the session's one was refused. A BEGIN leaves the
 * connection as it was. After any other statement the connection's state is unknown, so it is
 * closed, and a transaction open on it is lost. */
static void handle_setup_error(struct px_conn *c, struct px_session *s)
{
    enum er_kind why = c->error;
    bool begin = c->setup.verb == PX_V_BEGIN && c->state == PX_IDLE;
    s->conn = NULL;
    c->session = NULL;
    if (begin)
        px_conn_idle(c);
    else
        px_conn_close(c);
    if (px_in_txn(s) && s->txn_begun)
        px_on_conn_lost(s, c, false);
    else
        px_on_not_sent(s, c, why);
}

static void handle_setup_answer(struct px_conn *c)
{
    struct px_session *s = c->session;
    if (c->error != ER_NONE) {
        handle_setup_error(c, s);
        return;
    }
    if (c->setup.verb == PX_V_BEGIN)
        s->txn_begun = true;
    else
        px_setup_done(&s->state, &c->applied, &c->setup);
    send_next(c);
}

/* Whether the answer ended without COMPLETE or ERROR: it is incomplete, and it is not known
 * what was executed. */
static bool is_incomplete(const struct px_conn *c)
{
    return c->phase != PX_C_OPENING && !c->complete_seen && c->error == ER_NONE;
}

/* ---- matching answers ---- */

static struct mt_outstanding outstanding(const struct px_conn *c)
{
    struct mt_outstanding o = {MT_NOTHING, ~(uint32_t)0};
    if (c->phase == PX_C_OPENING)
        o.expected = MT_GREETING;
    else if (c->phase == PX_C_RUNNING || c->phase == PX_C_ORPHANED)
        o.expected = MT_SIGNED;
    else if (c->phase == PX_C_SETUP && c->setup.verb == PX_V_BEGIN)
        o.expected = MT_SETUP_BEGIN;
    else if (c->phase == PX_C_SETUP)
        o.expected = c->state == PX_IN_TXN ? MT_SETUP_IN_TXN : MT_SETUP;
    else if (c->phase == PX_C_ROLLING_BACK)
        o.expected = MT_SETUP;
    return o;
}

/* Counts and logs an answer that is not proved to be the outstanding statement's. */
static void note_unmatched(struct px_conn *c, const struct px_msg *m)
{
    static const char *const names[] = {"taken", "doubted", "repeated", "unexpected"};
    static const char *const phases[] = {"opening",     "idle",         "setup",   "running",
                                         "idle_in_txn", "rolling_back", "orphaned"};
    const struct mt_outstanding o = outstanding(c);
    struct mt_answer a = {.done = c->complete_seen,
                          .error = c->error,
                          .signature = {c->signature.p, c->signature.len},
                          .rows = {c->rows.p, c->rows.len},
                          .txn = m->txn,
                          .has_pos = m->has_pos,
                          .pos = m->pos};
    enum mt_verdict v = mt_judge(&c->history, &c->inst->signer, &o, &a);
    c->inst->p->c.repeated_answers += v == MT_DROP;
    c->inst->p->c.doubted_answers += v == MT_DOUBT;
    if (v == MT_TAKE || !px_may_log(c->inst->p))
        return;
    FL_EVENT(&c->inst->p->log, LG_INFO, "answer_unmatched",
             "instance=%s group=%s verdict=%s signed=%d done=%d phase=%s kind=%s "
             "since_sent_ms=%lld signatures=%d",
             c->inst->cfg.id, c->inst->group->cfg.name, names[v], a.signature.len > 0, a.done,
             phases[c->phase], er_name(a.error), (long long)((ck_now() - c->sent_at) / 1000),
             c->history.n);
}

/* Handles the end of an answer, its READY. */
static void handle_answer(struct px_conn *c)
{
    if (is_incomplete(c)) {
        px_outlier_record(&c->inst->outlier, false, ck_now());
        FL_EVENT(&c->inst->p->log, LG_INFO, "answer_broke_off", "instance=%s group=%s",
                 c->inst->cfg.id, c->inst->group->cfg.name);
        px_conn_close(c); /* treated like the loss of the answer */
        return;
    }
    note_position(c);
    switch (c->phase) {
    case PX_C_OPENING:
        handle_opened(c);
        break;
    case PX_C_SETUP:
        handle_setup_answer(c);
        break;
    case PX_C_RUNNING:
        note_service_time(c);
        note_outcome(c);
        px_stage_done(c->session, PX_T_INSTANCE);
        px_on_answer(c->session, c);
        break;
    case PX_C_ROLLING_BACK:
    case PX_C_ORPHANED:
        if (c->state == PX_IDLE)
            px_conn_idle(c);
        else if (c->phase == PX_C_ORPHANED)
            px_conn_rollback(c);
        else
            px_conn_close(c);
        break;
    case PX_C_IDLE:
    case PX_C_IDLE_IN_TXN:
        FL_WARN(&c->inst->p->log, "instance %s sent an unexpected answer; closing",
                c->inst->cfg.id);
        px_conn_close(c);
        break;
    }
}

/* A connection was refused while opening. No session is affected; the next one is opened later.
 */
static void handle_open_error(struct px_conn *c, const struct px_msg *m)
{
    struct px_inst *in = c->inst;
    int64_t now = ck_now();
    bool too_many = m->error == ER_TOO_MANY;
    if (!too_many)
        in->too_many_since = 0;
    else if (!in->too_many_since)
        in->too_many_since = now;
    bool early = too_many && now - in->too_many_since < STALE_CONNS_US;
    int n_open = count_open(in);
    in->next_open_at = now + (early      ? TOO_MANY_EARLY_RETRY_US
                              : too_many ? TOO_MANY_RETRY_US
                                         : CONNECT_RETRY_US);
    /* Accounts take turns on the open connections. */
    if (early && n_open > 0 && px_has_accounts(in->p)) {
        px_saturation_refused(&in->saturation, &in->p->saturation, n_open, now);
        in->next_open_at = now;
    }
    FL_INFO(&in->p->log, "instance %s refuses a connection: %s %.*s", in->cfg.id,
            er_name(m->error), (int)m->detail.len, m->detail.p);
    px_conn_close(c);
}

static void handle_msg(struct px_conn *c, const struct px_msg *m)
{
    const struct px_codec *codec = c->inst->p->cfg.codec;
    switch (m->kind) {
    case PX_ROW:
        codec->put(&c->rows, m);
        break;
    case PX_DONE:
        c->complete_seen = true;
        c->signature.len = 0;
        sr_buf_add(&c->signature, m->signature.p, m->signature.len);
        break;
    case PX_FAILURE:
        if (c->phase == PX_C_OPENING) {
            handle_open_error(c, m);
            break;
        }
        c->error = m->error;
        snprintf(c->detail, sizeof(c->detail), "%.*s", (int)m->detail.len, m->detail.p);
        break;
    case PX_READY:
        note_unmatched(c, m);
        c->state = m->txn;
        c->has_pos = m->has_pos;
        c->pos = m->pos;
        handle_answer(c);
        break;
    default:
        FL_WARN(&c->inst->p->log, "instance %s sent an invalid message; closing",
                c->inst->cfg.id);
        px_conn_close(c);
    }
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct px_conn *c = ud;
    struct px_msg m;
    size_t at = 0;
    note_received(c);
    bool ends_line = memchr(data, '\n', len) != NULL;
    sr_buf_add(&c->input, data, len);
    while (ends_line && !c->closing && px_next_msg(c->inst->p->cfg.codec, &c->input, &at, &m))
        handle_msg(c, &m);
    px_consume(&c->input, at);
    if (c->phase == PX_C_IDLE)
        sr_buf_reset(&c->rows); /* the answer was passed on */
    nt_charge(net, c->input.cap + c->rows.cap + c->signature.cap);
    if (c->input.len > PX_MAX_LINE)
        px_conn_close(c);
}

static void on_open(struct nt_conn *net, void *ud)
{
    struct px_conn *c = ud;
    struct px_msg m = {.kind = PX_OPEN,
                       .database = sr_from(c->inst->group->cfg.name),
                       .identity = sr_from(c->account),
                       .expect = sr_from(c->inst->cfg.id)};
    (void)net;
    send_msg(c, &m);
}

static void unlink_conn(struct px_conn *c)
{
    struct px_conn **at = &c->inst->conns;
    while (*at != c)
        at = &(*at)->next;
    *at = c->next;
    c->inst->n_conns--;
    if (c->phase != PX_C_IDLE && c->phase != PX_C_OPENING)
        c->inst->busy--;
}

static void conn_free(struct px_conn *c)
{
    px_applied_free(&c->applied);
    sr_buf_free(&c->input);
    sr_buf_free(&c->rows);
    sr_buf_free(&c->signature);
    mt_free(&c->history);
    free(c);
}

/* Handles a connection that the instance closed. Without a greeting it counts as a failed
 * connect. A connection that had been open proves little, since an instance may reset it in
 * place of an answer; a new connection is to show whether the instance is alive. */
static void handle_instance_close(struct px_conn *c, bool refused)
{
    struct px_inst *in = c->inst;
    if (c->phase != PX_C_OPENING) {
        in->next_open_at = 0;
        in->wants_probe = true;
        return;
    }
    in->connect_failed_at = ck_now();
    in->next_open_at = ck_now() + CONNECT_RETRY_US;
    px_inst_report_suspicion(in, refused ? WR_REFUSED : WR_SILENT);
}

static void on_close(struct nt_conn *net, void *ud, bool was_open, bool refused)
{
    struct px_conn *c = ud;
    struct px_inst *in = c->inst;
    struct px_session *s = c->session;
    (void)net;
    (void)was_open;
    c->net = NULL;
    unlink_conn(c);
    if (!c->closing && c->phase == PX_C_RUNNING)
        px_outlier_record(&in->outlier, false, ck_now());
    if (!c->closing)
        handle_instance_close(c, refused);
    if (s) {
        s->conn = NULL;
        px_on_conn_lost(s, c, c->phase == PX_C_RUNNING);
    }
    conn_free(c);
    px_inst_serve_waiters(in);
    px_inst_free_if_removed(in);
}

static const struct nt_ops conn_ops = {on_open, on_message, on_close};

void px_conn_open(struct px_inst *in, const char *account)
{
    struct px_conn *c = sr_alloc(sizeof(*c));
    sr_copy(c->account, sizeof(c->account), sr_from(account));
    sr_copy(in->last_account, sizeof(in->last_account), sr_from(account));
    c->last_used_at = ck_now();
    c->inst = in;
    c->phase = PX_C_OPENING;
    c->history.conn = ++in->p->last_conn;
    c->sent_at = ck_now();
    px_saturation_opening(&in->saturation, &in->p->saturation, in->n_conns, c->sent_at);
    c->next = in->conns;
    in->conns = c;
    in->n_conns++;
    c->net = nt_connect_stream(in->p->loop, in->cfg.ip, in->cfg.port, &conn_ops, c);
    px_meter(in->p, c->net, PX_PEER_INSTANCE, in->cfg.domain);
}

void px_conn_tick(struct px_conn *c, int64_t now)
{
    int64_t silent_us = px_received_until(c->inst->p) - c->sent_at;
    if (c->closing)
        return;
    if (c->phase == PX_C_OPENING && silent_us > GREETING_TIMEOUT_US) {
        c->inst->next_open_at = now + CONNECT_RETRY_US;
        px_inst_report_suspicion(c->inst, WR_SILENT);
        px_conn_close(c);
    } else if ((c->phase == PX_C_ORPHANED || c->phase == PX_C_ROLLING_BACK) &&
               silent_us > ORPHAN_TIMEOUT_US) {
        if (!c->awaits_copies)
            px_outlier_record(&c->inst->outlier, false, now);
        px_conn_close(c);
    }
}
