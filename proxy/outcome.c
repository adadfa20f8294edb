/* What comes of a statement: an answer, a refusal, a lost connection, or nothing in its time;
 * and what that does to its transaction. */
#include "proxy/priv.h"

enum {
    /* An instance that lacked a position is not asked for one like it so long. Origin: measured
     * days; asked at once again, two lagging replicas cost 600 vain questions a second. */
    BEHIND_FOR_US = 250000,
    BUSY_RETRY_US = 15000, /* an instance's queue was full */
};

/* The connection is for others now, once what is open on it is rolled back. */
static void release(struct px_conn *c)
{
    if (c->state == PX_IDLE)
        px_conn_idle(c);
    else
        px_conn_rollback(c);
}

static void let_go(struct px_session *s, struct px_conn *c)
{
    s->conn = NULL;
    c->session = NULL;
    release(c);
}

/* ---- another try ---- */

/* This statement is not offered to the instance again, unless no other is left. */
static void skip(struct px_session *s, const struct px_inst *in)
{
    if (in->removed)
        return; /* its place in the group is another's now */
    s->skip_mask |= 1u << in->index;
}

static void note_behind(struct px_session *s, struct px_inst *in)
{
    s->p->c.behind++;
    skip(s, in);
    in->behind_until = ck_now() + BEHIND_FOR_US;
}

/* The view's primary says that it is none. */
static void note_no_primary(struct px_inst *in)
{
    if (in->removed)
        return;
    in->group->primary_refused_at = ck_now();
    px_inst_report_suspicion(in, WR_REFUSED);
}

static bool ask_another(struct px_session *s, struct px_conn *c, int64_t after_us)
{
    if (px_last_try(s))
        return false;
    if (!px_needs_primary(s))
        skip(s, c->inst);
    let_go(s, c);
    return px_retry(s, after_us, true);
}

/* What the connection has prepared is not what we thought. */
static bool ask_anew(struct px_session *s, struct px_conn *c)
{
    if (px_last_try(s))
        return false;
    s->conn = NULL;
    c->session = NULL;
    px_conn_close(c);
    return px_retry(s, 0, true);
}

/* The instance said no before it ran anything, or a read failed there: somewhere else. */
static bool try_elsewhere(struct px_session *s, struct px_conn *c)
{
    bool primary_only = px_needs_primary(s);
    FL_DBG(&s->p->log, "request %.*s session %llu: instance %s answers %s; attempt %d",
           (int)s->id.len, s->id.p, (unsigned long long)s->state.session, c->inst->cfg.id,
           er_name(c->error), s->attempts + 1);
    switch (c->error) {
    case ER_BEHIND:
        note_behind(s, c->inst);
        let_go(s, c);
        return px_retry(s, 0, false);
    case ER_BUSY:
        return ask_another(s, c, primary_only ? BUSY_RETRY_US : 0);
    case ER_TERM:
        if (!primary_only)
            return false;
        note_no_primary(c->inst);
        let_go(s, c);
        return px_retry(s, PX_PARK_US, false);
    case ER_NO_STATEMENT:
        return ask_anew(s, c);
    case ER_FAILED:
    case ER_TIMEOUT:
        return !s->writes && ask_another(s, c, 0);
    default:
        return false;
    }
}

/* ---- answers ---- */

static void note_commit(struct px_session *s, const struct px_conn *c)
{
    bool commits = s->stmt.verb == PX_V_COMMIT ? s->txn_wrote : s->writes && !px_in_txn(s);
    if (!commits || !c->has_pos)
        return;
    bool same = strcmp(s->last_commit_group, s->route.group) == 0;
    s->last_commit = same ? ps_max(s->last_commit, c->pos) : c->pos;
    sr_copy(s->last_commit_group, sizeof(s->last_commit_group), sr_from(s->route.group));
}

static void count_read(struct px_session *s, const struct px_conn *c)
{
    if (s->writes || s->stmt.verb == PX_V_COMMIT)
        return;
    bool primary = !c->inst->removed && c->inst->index == c->inst->group->cfg.primary;
    s->p->c.reads_primary += primary;
    s->p->c.reads_replica += !primary;
}

static void in_txn_answered(struct px_session *s, struct px_conn *c)
{
    bool ends = s->stmt.verb == PX_V_COMMIT;
    if (c->error == ER_NONE)
        s->txn_wrote = s->txn_wrote || s->writes;
    s->txn = ends ? PX_IDLE : c->state;
    if (!ends && c->state == PX_IDLE)
        s->txn = PX_TXN_FAILED; /* it is not open there any more: nothing of it is kept */
    s->conn = NULL;
    px_end_work(s);
    if (s->txn != PX_IDLE && c->state != PX_IDLE) {
        s->conn = c;
        c->phase = PX_C_IDLE_IN_TXN;
        px_answer(s, c);
        px_inst_serve_waiters(c->inst);
        return;
    }
    s->txn_rolled_back = s->txn != PX_IDLE;
    c->session = NULL;
    px_answer(s, c);
    release(c);
}

void px_on_answer(struct px_session *s, struct px_conn *c)
{
    if (px_in_txn(s)) {
        count_read(s, c);
        if (c->error == ER_NONE)
            note_commit(s, c);
        in_txn_answered(s, c);
        return;
    }
    if (c->error != ER_NONE && try_elsewhere(s, c))
        return;
    count_read(s, c);
    if (c->error == ER_NONE)
        note_commit(s, c);
    s->conn = NULL;
    px_end_work(s);
    c->session = NULL;
    px_answer(s, c);
    release(c);
}

/* ---- what goes wrong on the way ---- */

void px_on_not_sent(struct px_session *s, struct px_conn *c, enum er_kind why)
{
    struct px_inst *in = c->inst;
    if (why == ER_BEHIND)
        note_behind(s, in);
    else if (why == ER_TERM)
        note_no_primary(in);
    else if (!px_needs_primary(s))
        skip(s, in);
    bool counts = why != ER_BEHIND && why != ER_TERM;
    if (!px_retry(s, why == ER_BEHIND ? 0 : PX_PARK_US, counts))
        px_refuse(s, ER_OVERLOAD, "instances refused what it needs first; retry in 100 ms");
}

/* It is rolled back at its instance; the caller is told with its next statement. */
static void fail_txn(struct px_session *s)
{
    s->txn = PX_TXN_FAILED;
    s->txn_rolled_back = true;
}

/* A transaction's connection is gone: it was rolled back, unless its commit was under way. */
static void txn_lost(struct px_session *s, bool sent)
{
    bool ends = s->stmt.verb == PX_V_COMMIT;
    bool in_doubt = ends && s->txn_wrote && sent;
    if (s->stage == PX_S_IDLE) { /* between two statements: the next one is told */
        fail_txn(s);
        return;
    }
    s->txn = ends ? PX_IDLE : PX_TXN_FAILED;
    s->txn_rolled_back = !ends;
    px_refuse(s, in_doubt ? ER_LOST : ER_ABORTED,
              in_doubt ? "the connection was lost with the commit on its way"
                       : "the connection was lost; nothing of the transaction is kept");
}

void px_on_conn_lost(struct px_session *s, struct px_conn *c, bool sent)
{
    struct px_inst *in = c->inst;
    s->p->c.lost_conns += sent;
    if (px_in_txn(s) && s->txn_begun) {
        txn_lost(s, sent);
        return;
    }
    if (!px_needs_primary(s))
        skip(s, in);
    if (!sent) {
        px_retry(s, 0, false);
        return;
    }
    if (s->writes) {
        px_refuse(s, ER_LOST, "the connection was lost with the write on its way");
        return;
    }
    if (!px_retry(s, 0, true))
        px_refuse(s, ER_OVERLOAD, "no instance answered the read; retry in 100 ms");
}

void px_drop_txn(struct px_session *s)
{
    struct px_conn *c = s->conn;
    s->conn = NULL;
    if (!c)
        return;
    if (c->phase == PX_C_IDLE_IN_TXN)
        px_conn_rollback(c);
    else
        px_conn_orphan(c);
}

void px_abort_txn(struct px_session *s)
{
    px_drop_txn(s);
    fail_txn(s);
}

/* ---- its time is up ---- */

/* A transaction's time is up. A commit that is out may be carried out still. */
static void expire_txn(struct px_session *s, struct px_conn *c, bool sent)
{
    bool ends = s->stmt.verb == PX_V_COMMIT;
    bool in_doubt = ends && s->txn_wrote && sent;
    s->conn = NULL;
    c->session = NULL;
    if (ends)
        px_conn_orphan(c);
    else
        px_conn_close(c); /* which rolls back */
    s->txn = ends ? PX_IDLE : PX_TXN_FAILED;
    s->txn_rolled_back = !ends;
    px_refuse(s, in_doubt ? ER_TIMEOUT : ER_ABORTED,
              in_doubt ? "no answer to the commit in its time"
                       : "no answer in its time; the transaction was rolled back");
}

/* The time is up while its answer is out. */
static void expire_at_instance(struct px_session *s)
{
    struct px_conn *c = s->conn;
    bool sent = c->phase == PX_C_RUNNING;
    if (px_in_txn(s) && s->txn_begun) {
        expire_txn(s, c, sent);
        return;
    }
    s->conn = NULL;
    px_conn_orphan(c);
    if (!sent)
        px_refuse(s, ER_DEADLINE, "not sent in its time; retry in 100 ms");
    else
        px_refuse(s, ER_TIMEOUT, "no answer in its time");
}

void px_expire(struct px_session *s)
{
    if (s->stage == PX_S_AT_INSTANCE && s->conn)
        expire_at_instance(s);
    else
        px_refuse(s, ER_DEADLINE, "no instance could take it in its time; retry in 200 ms");
}
