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

static bool send_msg(struct px_conn *c, const struct px_msg *m, struct mt_outstanding o)
{
    struct sr_buf b = {0};
    struct px_proxy *p = c->inst->p;
    p->cfg.codec->put(&b, m);
    c->sent_at = ck_now();
    c->term = c->inst->group->cfg.term;
    c->at_primary = px_is_primary_now(c->inst);
    c->awaits_copies = false;
    c->outstanding = o;
    bool ok = c->net && nt_send(c->net, b.p, b.len);
    sr_buf_free(&b);
    return ok;
}

/* The kinds of errors that a statement may get. An instance that lacks a position says so only
 * of a statement that states one, and refuses as no primary only what needs the primary. */
static uint64_t possible_errors(bool has_floor, bool needs_primary)
{
    uint64_t all = ~(mt_error_bit(ER_BEHIND) | mt_error_bit(ER_TERM));
    return all | (has_floor ? mt_error_bit(ER_BEHIND) : 0) |
           (needs_primary ? mt_error_bit(ER_TERM) : 0);
}

/* BEGIN is the only statement of the proxy that opens a transaction, and ROLLBACK the only one
 * that ends it; the others leave it as it is. */
static struct mt_outstanding own_stmt(const struct px_conn *c, const struct px_stmt *st,
                                      bool has_floor)
{
    bool in_txn = c->state == PX_IN_TXN && st->verb != PX_V_ROLLBACK;
    bool begins = st->verb == PX_V_BEGIN;
    struct mt_outstanding o = {
        .expected = begins   ? MT_SETUP_BEGIN
                    : in_txn ? MT_SETUP_IN_TXN
                             : MT_SETUP,
        .errors = possible_errors(has_floor, in_txn || (begins && !st->read_only))};
    return o;
}

static bool send_own_stmt(struct px_conn *c, const struct px_stmt *st, bool has_floor,
                          struct ps_pos floor)
{
    struct sr_buf text = {0};
    c->inst->p->cfg.codec->put_text(&text, st);
    struct px_msg m = {
        .kind = PX_STATEMENT, .text = {text.p, text.len}, .has_floor = has_floor, .pos = floor};
    bool ok = send_msg(c, &m, own_stmt(c, st, has_floor));
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

static bool is_read(const struct px_session *s)
{
    return !s->writes && s->stmt.verb != PX_V_COMMIT;
}

static bool send_statement(struct px_conn *c, struct px_session *s)
{
    struct sr_buf text = {0};
    const struct px_prepared *prepared = prepared_to_execute(s);
    /* A transaction checked the floor when it began, if it began. */
    bool in_txn = s->txn != PX_IDLE;
    bool floor = s->has_floor && (!in_txn || (!c->history.begin_settled && is_read(s)));
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
    bool needs_primary = !is_read(s) || (in_txn && !s->txn_read_only);
    struct mt_outstanding o = {MT_SIGNED, possible_errors(floor, needs_primary)};
    bool ok = send_msg(c, &m, o);
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

/* Closes the connection if its next answers could not be matched. Returns whether it did. */
static bool close_if_worn(struct px_conn *c)
{
    if (!mt_worn(&c->history) || c->closing)
        return c->closing;
    c->inst->p->c.worn_conns++;
    px_conn_close(c);
    return true;
}

void px_conn_idle(struct px_conn *c)
{
    if (c->phase != PX_C_IDLE && c->phase != PX_C_OPENING)
        c->inst->busy--;
    c->phase = PX_C_IDLE;
    c->outstanding = (struct mt_outstanding){MT_NOTHING, 0};
    c->session = NULL;
    close_if_worn(c);
    px_inst_serve_waiters(c->inst);
}

void px_conn_idle_in_txn(struct px_conn *c)
{
    c->phase = PX_C_IDLE_IN_TXN;
    c->outstanding = (struct mt_outstanding){MT_NOTHING, 0};
}

void px_conn_rollback(struct px_conn *c)
{
    struct px_stmt st = {.verb = PX_V_ROLLBACK};
    struct ps_pos none = {0};
    c->session = NULL;
    c->phase = PX_C_ROLLING_BACK;
    if (close_if_worn(c)) /* the instance rolls back */
        return;
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

/* Records the position of an answer. If the instance was the primary when the statement was
 * sent, it covers every commit that was acknowledged before; else it says what the instance has
 * applied. */
static void note_position(struct px_conn *c)
{
    struct px_inst *in = c->inst;
    if (!c->has_pos || in->removed)
        return;
    if (ps_cmp(c->pos, in->known_pos) > 0)
        in->known_pos = c->pos;
    if (c->at_primary && c->term == in->group->cfg.term && !c->history.unsettled)
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

/* ---- matching answers ---- */

static const char *const phase_names[] = {
    [PX_C_OPENING] = "opening",
    [PX_C_IDLE] = "idle",
    [PX_C_SETUP] = "setup",
    [PX_C_RUNNING] = "running",
    [PX_C_IDLE_IN_TXN] = "idle_in_txn",
    [PX_C_ROLLING_BACK] = "rolling_back",
    [PX_C_ORPHANED] = "orphaned",
};

static const char *form_name(const struct mt_answer *a)
{
    if (a->error != ER_NONE)
        return "error";
    if (!a->done)
        return a->rows.len ? "incomplete" : "ready";
    return a->signature.len ? "signed" : "unsigned";
}

static void log_unmatched(struct px_conn *c, const struct mt_answer *a, const char *event)
{
    if (!px_may_log(c->inst->p))
        return;
    FL_EVENT(&c->inst->p->log, LG_INFO, event,
             "instance=%s group=%s form=%s phase=%s kind=%s since_sent_ms=%lld signatures=%d",
             c->inst->cfg.id, c->inst->group->cfg.name, form_name(a), phase_names[c->phase],
             er_name(a->error), (long long)((ck_now() - c->sent_at) / 1000), c->history.n);
}

static void on_broken_answer(struct px_conn *c, const struct mt_answer *a)
{
    bool outstanding = c->phase != PX_C_IDLE && c->phase != PX_C_IDLE_IN_TXN;
    if (outstanding)
        px_outlier_record(&c->inst->outlier, false, ck_now());
    if (c->phase == PX_C_SETUP) /* its statement is tried again at once, and may fail again */
        c->inst->next_open_at = ck_now() + CONNECT_RETRY_US;
    log_unmatched(c, a,
                  a->done || a->error != ER_NONE ? "answer_unexpected" : "answer_broke_off");
    px_conn_close(c); /* treated like the loss of the answer */
}

/* The outstanding statement's answer. */
static void on_matched_answer(struct px_conn *c, const struct mt_answer *a)
{
    c->state = a->txn;
    c->has_pos = a->has_pos;
    c->pos = a->pos;
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
        break; /* nothing matches there */
    }
    if (mt_full(&c->history))
        px_conn_close(c);
}

/* An error that may be a repeat. The statement may have run, or still run, and its answer may
 * still come, so the connection is closed. For a read, and for a statement that was not sent
 * yet, the error says nothing that could be untrue; for another, the answer counts as lost. */
static void on_doubtful_answer(struct px_conn *c, const struct mt_answer *a)
{
    struct px_session *s = c->session;
    c->inst->p->c.doubted_answers++;
    log_unmatched(c, a, "answer_doubted");
    px_conn_close(c); /* reported to the session, if it still has it */
    if (a->error == ER_BUSY)
        px_window_queue_full(&c->inst->window, ck_now());
    if (c->phase == PX_C_RUNNING)
        note_outcome(c); /* a repeat or not, the instance gave it */
    c->has_pos = false;
    if (c->phase == PX_C_SETUP)
        handle_setup_error(c, s);
    else if (c->phase == PX_C_RUNNING && !px_in_txn(s) && is_read(s))
        px_on_answer(s, c);
}

static void handle_answer(struct px_conn *c, const struct mt_answer *a)
{
    switch (mt_judge(&c->history, &c->inst->signer, &c->outstanding, a)) {
    case MT_TAKE:
        on_matched_answer(c, a);
        break;
    case MT_DOUBT:
        on_doubtful_answer(c, a);
        break;
    case MT_DROP:
        c->inst->p->c.repeated_answers++;
        log_unmatched(c, a, "answer_repeated");
        break;
    case MT_BROKEN:
        on_broken_answer(c, a);
        break;
    }
}

/* An answer is complete; what follows belongs to another. */
static void on_ready(struct px_conn *c, const struct px_msg *m)
{
    struct mt_answer a = {.done = c->complete_seen,
                          .error = c->error,
                          .signature = {c->signature.p, c->signature.len},
                          .rows = {c->rows.p, c->rows.len},
                          .txn = m->txn,
                          .has_pos = m->has_pos,
                          .pos = m->pos};
    handle_answer(c, &a);
    sr_buf_reset(&c->rows);
    sr_buf_reset(&c->signature);
    c->complete_seen = false;
    c->error = ER_NONE;
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
        on_ready(c, m);
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
    sr_buf_add(&c->input, data, len);
    bool ends_line = px_ends_line(&c->input, len);
    while (ends_line && !c->closing && px_next_msg(c->inst->p->cfg.codec, &c->input, &at, &m))
        handle_msg(c, &m);
    px_consume(&c->input, at);
    nt_charge(net, c->input.cap + c->rows.cap + c->signature.cap + mt_bytes(&c->history));
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
    send_msg(c, &m, (struct mt_outstanding){MT_GREETING, 0});
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
    c->outstanding.expected = MT_GREETING;
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
