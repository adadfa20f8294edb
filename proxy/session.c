/* Callers' sessions: their connections, what they say, and the answers they get. */
#include <stdio.h>
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    UNANSWERED_OPEN_US = 1500000, /* without a document nobody can be told what there is */
    FAILURE_LINES_PER_S = 20,     /* of the log; more are counted */
    /* A lease outlives an election; who has none for longer is on its own. */
    CUT_OFF_US = 300000,
    CUT_OFF_CLOSE_OVER_US = 1000000, /* its resting sessions are closed, spread over so long */
    /* A planned stop: callers are sent elsewhere by the balancer within two of its probes, then
     * sessions that rest are closed, spread over a while so that they don't all come back at
     * once; transactions may end meanwhile. Shares of the time until the process is killed. */
    STOP_CLOSE_FROM_PERCENT = 30,
    STOP_CLOSE_OVER_PERCENT = 25,
};

bool px_leased(const struct px_proxy *p)
{
    return p->cfg.host.leased(p->cfg.host.ud);
}

bool px_cut_off(const struct px_proxy *p, int64_t now)
{
    return p->leased_at && now - p->leased_at > CUT_OFF_US;
}

/* ---- answering ---- */

static void send_buf(struct px_session *s, const struct sr_buf *b)
{
    if (s->net)
        nt_send(s->net, b->p, b->len);
}

static void put_ready(const struct px_session *s, struct sr_buf *b, bool has_pos,
                      struct ps_pos pos)
{
    struct px_msg m = {.kind = PX_READY, .txn = s->txn, .has_pos = has_pos, .pos = pos};
    s->p->cfg.codec->put(b, &m);
}

static void put_failure(const struct px_session *s, struct sr_buf *b, enum er_kind kind,
                        const char *detail)
{
    struct px_msg m = {.kind = PX_FAILURE, .error = kind, .detail = sr_from(detail)};
    s->p->cfg.codec->put(b, &m);
}

/* A few lines a second, the rest counted: a bad hour must not fill the disk. */
static bool may_log(struct px_proxy *p)
{
    int64_t now = ck_now();
    if (now - p->log_budget_at > CK_SEC(1)) {
        p->log_budget_at = now;
        p->log_budget = FAILURE_LINES_PER_S;
    }
    if (p->log_budget > 0) {
        p->log_budget--;
        return true;
    }
    p->c.log_lines_left_out++;
    return false;
}

/* Instances of the group that lacked a position a moment ago: why the others are full. */
static int behind_now(const struct px_group *g, int64_t now)
{
    int k = 0;
    for (int i = 0; g && i < g->cfg.n; i++)
        k += now < g->inst[i]->behind_until;
    return k;
}

static void note_failure(struct px_session *s, enum er_kind kind, const char *detail)
{
    struct px_proxy *p = s->p;
    const struct px_group *g = s->route.group[0] ? px_group(p, s->route.group) : NULL;
    p->c.failed++;
    p->c.by_reason[kind]++;
    if (!may_log(p))
        return;
    FL_EVENT(&p->log, LG_INFO, "request_failed",
             "request=%.*s session=%llu database=%s group=%s term=%llu document=%llu leased=%d "
             "kind=%s after_ms=%lld offers=%d behind=%d instances=%d detail=%s",
             (int)s->id.len, s->id.p, (unsigned long long)s->state.session, s->database,
             s->route.group, (unsigned long long)(g ? g->cfg.term : 0),
             (unsigned long long)p->catalog.version, px_leased(p), er_name(kind),
             (long long)((ck_now() - s->arrived) / 1000), s->offers, behind_now(g, ck_now()),
             g ? g->cfg.n : 0, detail);
}

static void note_success(struct px_session *s)
{
    int64_t us = ck_now() - s->arrived;
    s->p->c.ok++;
    hi_add(s->writes ? &s->p->latency_write : &s->p->latency_read, us);
}

static void rest(struct px_session *s)
{
    s->since = ck_now();
}

void px_answer(struct px_session *s, const struct px_conn *c)
{
    struct sr_buf b = {0};
    if (c->error != ER_NONE) {
        note_failure(s, c->error, c->detail);
        put_failure(s, &b, c->error, c->detail);
    } else {
        struct px_msg done = {.kind = PX_DONE, .signature = {c->signature.p, c->signature.len}};
        note_success(s);
        sr_buf_add(&b, c->rows.p, c->rows.len);
        s->p->cfg.codec->put(&b, &done);
    }
    put_ready(s, &b, c->has_pos, c->pos);
    send_buf(s, &b);
    sr_buf_free(&b);
    rest(s);
    px_session_go_on(s);
}

void px_refuse(struct px_session *s, enum er_kind kind, const char *detail)
{
    struct sr_buf b = {0};
    struct ps_pos none = {0};
    note_failure(s, kind, detail);
    px_end_work(s);
    put_failure(s, &b, kind, detail);
    put_ready(s, &b, false, none);
    send_buf(s, &b);
    sr_buf_free(&b);
    rest(s);
    px_session_go_on(s);
}

/* Answered by the proxy itself: it ran nowhere. */
static void answer_own(struct px_session *s)
{
    struct sr_buf b = {0};
    struct px_msg done = {.kind = PX_DONE};
    struct ps_pos none = {0};
    s->p->cfg.codec->put(&b, &done);
    put_ready(s, &b, false, none);
    send_buf(s, &b);
    sr_buf_free(&b);
    rest(s);
}

static void refuse_own(struct px_session *s, const struct er_err *err)
{
    s->arrived = ck_now();
    px_refuse(s, err->kind, err->text);
}

static void malformed(struct px_session *s, const char *why)
{
    struct er_err err = {0};
    er_set(&err, ER_BAD_INPUT, "%s", why);
    refuse_own(s, &err);
}

/* ---- statements ---- */

/* What is in force for the database now; a transaction keeps what was when it began. */
static bool take_route(struct px_session *s)
{
    const struct cg_route *r = cg_route(&s->p->catalog, sr_from(s->database));
    struct er_err err = {0};
    if (r) {
        s->route = *r;
        return true;
    }
    er_set(&err, ER_NO_DATABASE, "%.80s", s->database);
    refuse_own(s, &err);
    return false;
}

static void begin(struct px_session *s)
{
    if (s->txn != PX_IDLE) {
        malformed(s, "a transaction is open");
        return;
    }
    if (!take_route(s))
        return;
    s->txn = PX_IN_TXN;
    s->read_only = s->stmt.read_only;
    s->begun = s->wrote = s->lost = false;
    answer_own(s); /* it begins at an instance with its first statement */
}

static void rollback(struct px_session *s)
{
    if (s->txn == PX_IDLE) {
        malformed(s, "no transaction is open");
        return;
    }
    px_drop_txn(s);
    s->txn = PX_IDLE;
    answer_own(s);
}

static void commit(struct px_session *s)
{
    if (s->txn == PX_IDLE) {
        malformed(s, "no transaction is open");
        return;
    }
    s->writes = false;
    if (s->lost) {
        struct er_err err = {0};
        s->txn = PX_IDLE;
        er_set(&err, ER_ABORTED, "the transaction was rolled back before");
        refuse_own(s, &err);
        return;
    }
    px_begin_work(s);
}

/* In a failed transaction only its end is taken. */
static bool in_failed(struct px_session *s)
{
    if (s->txn != PX_TXN_FAILED)
        return false;
    if (s->lost) {
        struct er_err err = {0};
        er_set(&err, ER_ABORTED, "the transaction was rolled back");
        refuse_own(s, &err);
    } else {
        malformed(s, "the transaction has failed; it can only be ended");
    }
    return true;
}

static void run(struct px_session *s)
{
    if (in_failed(s) || (s->txn == PX_IDLE && !take_route(s)))
        return;
    s->writes = s->stmt.verb == PX_V_WRITE;
    if (s->stmt.verb == PX_V_EXECUTE) {
        const struct px_prepared *p = px_find_prepared(&s->state, s->stmt.name);
        struct er_err err = {0};
        if (!p) {
            er_set(&err, ER_NO_STATEMENT, "%.*s", (int)s->stmt.name.len, s->stmt.name.p);
            if (s->txn != PX_IDLE)
                s->txn = PX_TXN_FAILED;
            refuse_own(s, &err);
            return;
        }
        s->writes = p->writes;
    }
    px_begin_work(s);
}

static void change_state(struct px_session *s)
{
    const struct px_stmt *st = &s->stmt;
    struct er_err err = {0};
    if (in_failed(s))
        return;
    bool ok = st->verb == PX_V_SET ? px_set(&s->state, st->name, st->value, &err)
              : st->verb == PX_V_PREPARE
                  ? px_prepare(&s->state, st->name, st->writes, st->value, &err)
                  : px_forget(&s->state, st->name, &err);
    if (ok)
        answer_own(s);
    else
        refuse_own(s, &err);
}

static void statement(struct px_session *s, const struct px_msg *m)
{
    /* The line is kept: the text goes to an instance as it came, perhaps twice. */
    s->line.len = 0;
    sr_buf_add(&s->line, m->id.p, m->id.len);
    sr_buf_add(&s->line, m->text.p, m->text.len);
    s->id = (struct sr_str){s->line.p, m->id.len};
    s->text = (struct sr_str){s->line.p + m->id.len, m->text.len};
    s->p->cfg.codec->parse_text(s->text, &s->stmt);
    switch (s->stmt.verb) {
    case PX_V_BEGIN:
        begin(s);
        break;
    case PX_V_COMMIT:
        commit(s);
        break;
    case PX_V_ROLLBACK:
        rollback(s);
        break;
    case PX_V_READ:
    case PX_V_WRITE:
    case PX_V_EXECUTE:
        run(s);
        break;
    case PX_V_SET:
    case PX_V_PREPARE:
    case PX_V_FORGET:
        change_state(s);
        break;
    default:
        malformed(s, "not a statement of this interface");
    }
}

/* ---- opening ---- */

static void fail_and_close(struct px_session *s, enum er_kind kind, const char *detail)
{
    struct sr_buf b = {0};
    put_failure(s, &b, kind, detail);
    send_buf(s, &b);
    sr_buf_free(&b);
    if (s->net)
        nt_close(s->net, false);
}

/* Without a document it can't be told whether the database is there: it waits a while. */
static void try_open(struct px_session *s)
{
    struct sr_buf b = {0};
    struct ps_pos none = {0};
    if (!px_configured(s->p))
        return;
    if (!cg_route(&s->p->catalog, sr_from(s->database))) {
        fail_and_close(s, ER_NO_DATABASE, s->database);
        return;
    }
    if (px_should_relay(s)) {
        px_relay_start(s);
        return;
    }
    s->opened = true;
    s->opened_at = ck_now();
    put_ready(s, &b, false, none);
    send_buf(s, &b);
    sr_buf_free(&b);
}

static void open_session(struct px_session *s, const struct px_msg *m)
{
    if (!sr_copy(s->database, sizeof(s->database), m->database) || !s->database[0]) {
        fail_and_close(s, ER_BAD_INPUT, "the name of a database is expected");
        return;
    }
    s->came_relayed = px_is_relayed(m);
    try_open(s);
}

/* ---- the connection ---- */

static void take(struct px_session *s, const struct px_msg *m)
{
    if (m->kind == PX_END)
        nt_close(s->net, true);
    else if (m->kind == PX_OPEN && !s->database[0])
        open_session(s, m);
    else if (m->kind == PX_STATEMENT && s->opened)
        statement(s, m);
    else
        fail_and_close(s, ER_BAD_INPUT, "not a message that is expected here");
}

void px_session_go_on(struct px_session *s)
{
    struct sr_str line;
    size_t at = 0;
    if (s->reading)
        return; /* the loop below goes on by itself */
    s->reading = true;
    while (s->net && s->stage == PX_S_REST && (s->opened || !s->database[0]) &&
           px_next_line(&s->in, &at, &line)) {
        struct px_msg m;
        s->p->cfg.codec->parse(line, &m);
        take(s, &m);
    }
    s->reading = false;
    px_consume(&s->in, at);
    bool full = s->in.len > PX_MAX_LINE;
    if (s->net && full != s->paused) {
        s->paused = full;
        if (full && s->stage == PX_S_REST)
            fail_and_close(s, ER_TOO_LARGE, "a message of more than 1 MiB");
        else
            nt_pause_reading(s->net, full);
    }
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
    if (s->relay) {
        px_relay_bytes(s, data, len);
        return;
    }
    sr_buf_add(&s->in, data, len);
    px_session_go_on(s);
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct px_session *s = ud;
    struct px_proxy *p = s->p;
    (void)net;
    (void)opened;
    (void)refused;
    s->net = NULL;
    px_relay_end(s);
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
    sr_buf_free(&s->line);
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
    s->since = ck_now();
    s->state.session = ++p->numbered;
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

static void open_tick(struct px_session *s, int64_t now)
{
    if (!s->database[0] || s->opened || s->relay)
        return;
    try_open(s);
    if (s->opened)
        px_session_go_on(s);
    else if (now - s->since > UNANSWERED_OPEN_US)
        fail_and_close(s, ER_NO_LEASE, "no configuration has come yet; retry in 500 ms");
}

/* A transaction that rests too long holds a connection that others wait for. */
static void txn_tick(struct px_session *s, int64_t now)
{
    int64_t bound = s->p->catalog.txn_idle_us;
    if (s->txn == PX_IDLE || s->stage != PX_S_REST || !bound || now - s->since < bound)
        return;
    if (s->conn) {
        px_drop_txn(s);
        s->txn = PX_TXN_FAILED;
        s->lost = true;
    }
}

static bool rests(const struct px_session *s)
{
    if (s->relay)
        return px_rests_elsewhere(s);
    return s->opened && s->stage == PX_S_REST && s->txn == PX_IDLE && s->in.len == 0;
}

/* When in a span this session's turn is: they don't all come back at once. */
static int64_t turn(const struct px_session *s, int64_t span_us)
{
    return (int64_t)(s->state.session * 0x9E3779B97F4A7C15ull % (uint64_t)(span_us + 1));
}

/* Its caller finds another node, which can serve it, when it comes back. */
static void cut_off_tick(struct px_session *s, int64_t now)
{
    const struct px_proxy *p = s->p;
    /* Once: where all nodes are cut off it would only come back to be closed again. */
    if (s->relay || !px_cut_off(p, now) || !rests(s) || s->opened_at > p->leased_at)
        return;
    if (now - p->leased_at - CUT_OFF_US > turn(s, CUT_OFF_CLOSE_OVER_US))
        nt_close(s->net, false);
}

/* Another node holds the group now: the session's next life is there. */
static void moved_tick(struct px_session *s, int64_t now)
{
    const struct px_group *g = s->route.group[0] ? px_group(s->p, s->route.group) : NULL;
    if (s->relay || !g || g->held || !rests(s))
        return;
    if (now - s->since > turn(s, CUT_OFF_CLOSE_OVER_US))
        nt_close(s->net, false);
}

static void stop_tick(struct px_session *s, int64_t now)
{
    struct px_proxy *p = s->p;
    if (!p->stopping || !rests(s))
        return;
    int64_t from = p->cfg.grace_us * STOP_CLOSE_FROM_PERCENT / 100;
    int64_t mine = turn(s, p->cfg.grace_us * STOP_CLOSE_OVER_PERCENT / 100);
    if (now - p->stop_began > from + mine)
        nt_close(s->net, false);
}

void px_sessions_slow_tick(struct px_proxy *p, int64_t now)
{
    for (struct px_session *s = p->sessions, *next; s; s = next) {
        next = s->next;
        open_tick(s, now);
        txn_tick(s, now);
        stop_tick(s, now);
        cut_off_tick(s, now);
        moved_tick(s, now);
        px_relay_tick(s, now);
    }
}
