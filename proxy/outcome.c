/* The outcome of a statement (an answer, a refusal, a lost connection or a timeout) and its
 * effect on the transaction. */
#include "proxy/priv.h"

enum {
    /* An instance that lacked a position gets no read with such a floor for this long. Without
     * the pause, two lagging replicas got 600 useless requests a second. */
    BEHIND_PAUSE_US = 250000,
    BUSY_RETRY_US = 15000, /* delay of a retry at an instance whose queue was full */
};

/* Makes the connection available to other sessions, after a rollback if a transaction is open
 * on it. */
static void release(struct px_conn *c)
{
    if (c->state == PX_IDLE)
        px_conn_idle(c);
    else
        px_conn_rollback(c);
}

static void detach(struct px_session *s, struct px_conn *c)
{
    s->conn = NULL;
    c->session = NULL;
    release(c);
}

/* ---- retries ---- */

/* Excludes the instance for this statement, unless no other is left. */
static void skip_instance(struct px_session *s, const struct px_inst *in)
{
    if (in->removed)
        return; /* its index in the group belongs to another instance now */
    s->skip_mask |= 1u << in->index;
}

static void note_behind(struct px_session *s, struct px_inst *in)
{
    s->p->c.behind++;
    skip_instance(s, in);
    in->behind_until = ck_now() + BEHIND_PAUSE_US;
}

/* The instance that is primary in the view replied that it is not primary. */
static void note_not_primary(struct px_inst *in)
{
    if (in->removed)
        return;
    in->group->primary_refused_at = ck_now();
    px_inst_report_suspicion(in, WR_REFUSED);
}

static bool retry_elsewhere(struct px_session *s, struct px_conn *c, int64_t after_us)
{
    if (px_last_try(s))
        return false;
    if (!px_needs_primary(s))
        skip_instance(s, c->inst);
    detach(s, c);
    return px_retry(s, after_us, true);
}

/* Retries on another connection: the prepared statements on this one differ from what was
 * recorded. */
static bool retry_on_new_conn(struct px_session *s, struct px_conn *c)
{
    if (px_last_try(s))
        return false;
    s->conn = NULL;
    c->session = NULL;
    px_conn_close(c);
    return px_retry(s, 0, true);
}

/* Retries a statement that the instance refused before it ran, or a read that failed there. */
static bool retry_after_refusal(struct px_session *s, struct px_conn *c)
{
    bool primary_only = px_needs_primary(s);
    FL_DBG(&s->p->log, "request %.*s session %llu: instance %s answers %s; attempt %d",
           (int)s->id.len, s->id.p, (unsigned long long)s->state.session, c->inst->cfg.id,
           er_name(c->error), s->attempts + 1);
    switch (c->error) {
    case ER_BEHIND:
        note_behind(s, c->inst);
        detach(s, c);
        return px_retry(s, 0, false);
    case ER_BUSY:
        return retry_elsewhere(s, c, primary_only ? BUSY_RETRY_US : 0);
    case ER_TERM:
        if (!primary_only)
            return false;
        note_not_primary(c->inst);
        detach(s, c);
        return px_retry(s, PX_PARK_US, false);
    case ER_NO_STATEMENT:
        return retry_on_new_conn(s, c);
    case ER_FAILED:
    case ER_TIMEOUT:
        return !s->writes && retry_elsewhere(s, c, 0);
    default:
        return false;
    }
}

/* ---- answers ---- */

bool px_commits_writes(const struct px_session *s)
{
    return s->stmt.verb == PX_V_COMMIT ? s->txn_wrote : s->writes && !px_in_txn(s);
}

/* Records the position of a commit of the session, which its later reads must see. */
static void note_commit(struct px_session *s, const struct px_conn *c)
{
    const struct px_group *g = c->inst->group;
    if (!px_commits_writes(s))
        return;
    bool tracked = c->has_pos;
    if (!c->has_pos)
        px_own_commit_untracked(&s->own_commits, g, ck_now());
    else
        tracked = px_own_commit_add(&s->own_commits, g, c->pos, ck_now());
    s->p->c.untracked_commits += !tracked;
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
    /* A write that fails may have run, and is kept if the transaction goes on. */
    s->txn_wrote = s->txn_wrote || s->writes;
    s->txn = ends ? PX_IDLE : c->state;
    if (!ends && c->state == PX_IDLE)
        s->txn = PX_TXN_FAILED; /* the instance has rolled it back: nothing of it is kept */
    s->conn = NULL;
    px_end_work(s);
    if (s->txn != PX_IDLE && c->state != PX_IDLE) {
        s->conn = c;
        px_conn_idle_in_txn(c);
        px_answer(s, c);
        px_inst_serve_waiters(c->inst);
        return;
    }
    s->txn_rolled_back = s->txn != PX_IDLE;
    c->session = NULL;
    px_answer(s, c);
    release(c);
}

/* The outcome of a statement of the transaction that was sent and has no answer. If it may have
 * run outside of the transaction, a write of it may be kept. */
static bool may_be_kept(const struct px_session *s, const struct px_conn *c)
{
    if (s->stmt.verb == PX_V_COMMIT)
        return s->txn_wrote;
    return s->writes && !c->history.begin_settled;
}

/* Marks the transaction as rolled back at the instance; the caller learns of it with its next
 * statement. */
static void fail_txn(struct px_session *s)
{
    s->txn = PX_TXN_FAILED;
    s->txn_rolled_back = true;
}

/* The statement ran, but no transaction is open on the connection: its BEGIN did not run. */
static void ran_outside_txn(struct px_session *s, struct px_conn *c)
{
    bool kept = s->writes;
    s->conn = NULL;
    c->session = NULL;
    px_conn_close(c);
    fail_txn(s);
    s->txn_in_doubt = kept;
    px_refuse(s, kept ? ER_LOST : ER_ABORTED,
              kept ? "the instance ran the write outside of its transaction"
                   : "the instance lost the transaction; nothing of it is kept");
}

/* Whether a commit that the instance answered may be acknowledged. Where replicas must have
 * received it, control chooses the next primary by what they hold once every node has dropped
 * the term; so nothing may be acknowledged in a term that this node has dropped, or may have to
 * by now. In a planned change it is dropped when the statements at the old primary have ended.
 */
static bool may_acknowledge(const struct px_group *g, const struct px_conn *c)
{
    if (g->sync_copies == 0)
        return true;
    bool ending = g->cfg.phase == VW_HANDING && g->settle_deadline;
    return px_leased(g->p) && (c->term == g->cfg.term || ending);
}

static void withhold_acknowledgement(struct px_session *s, struct px_conn *c)
{
    s->p->c.withheld_commits++;
    s->txn = PX_IDLE;
    s->conn = NULL;
    c->session = NULL;
    px_refuse(s, ER_LOST, "the primary was being replaced when it answered the commit");
    release(c);
}

void px_on_answer(struct px_session *s, struct px_conn *c)
{
    if (c->error == ER_NONE && px_commits_writes(s) && !may_acknowledge(c->inst->group, c)) {
        withhold_acknowledgement(s, c);
        return;
    }
    bool ends = s->stmt.verb == PX_V_COMMIT;
    if (px_in_txn(s) && c->error == ER_NONE && !ends && c->state == PX_IDLE) {
        ran_outside_txn(s, c);
        return;
    }
    if (px_in_txn(s)) {
        count_read(s, c);
        if (c->error == ER_NONE)
            note_commit(s, c);
        in_txn_answered(s, c);
        return;
    }
    if (c->error != ER_NONE && retry_after_refusal(s, c))
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

/* ---- errors ---- */

void px_on_not_sent(struct px_session *s, struct px_conn *c, enum er_kind why)
{
    struct px_inst *in = c->inst;
    if (why == ER_BEHIND)
        note_behind(s, in);
    else if (why == ER_TERM)
        note_not_primary(in);
    else if (!px_needs_primary(s))
        skip_instance(s, in);
    bool counts = why != ER_BEHIND && why != ER_TERM;
    if (!px_retry(s, why == ER_BEHIND ? 0 : PX_PARK_US, counts))
        px_refuse(s, ER_OVERLOAD,
                  "instances refused the setup of the statement; retry in 100 ms");
}

/* The transaction's connection was lost: the transaction was rolled back, unless its COMMIT had
 * been sent, whose outcome is unknown. */
static void txn_lost(struct px_session *s, const struct px_conn *c, bool sent)
{
    bool ends = s->stmt.verb == PX_V_COMMIT;
    bool in_doubt = sent && may_be_kept(s, c);
    if (s->stage == PX_S_IDLE) { /* idle in transaction: the next statement gets the error */
        fail_txn(s);
        return;
    }
    s->txn = ends ? PX_IDLE : PX_TXN_FAILED;
    s->txn_rolled_back = !ends;
    s->txn_in_doubt = in_doubt;
    px_refuse(s, in_doubt ? ER_LOST : ER_ABORTED,
              in_doubt ? "the connection was lost after the write or commit was sent"
                       : "the connection was lost; the transaction was rolled back");
}

void px_on_conn_lost(struct px_session *s, struct px_conn *c, bool sent)
{
    struct px_inst *in = c->inst;
    s->p->c.lost_conns += sent;
    if (px_in_txn(s) && s->txn_begun) {
        txn_lost(s, c, sent);
        return;
    }
    if (!px_needs_primary(s))
        skip_instance(s, in);
    if (!sent) {
        px_retry(s, 0, false);
        return;
    }
    if (s->writes) {
        px_refuse(s, ER_LOST, "the connection was lost after the write was sent");
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

/* ---- deadlines ---- */

/* Ends a statement of a transaction whose deadline has passed. A COMMIT that was sent may still
 * be carried out. */
static void expire_txn(struct px_session *s, struct px_conn *c, bool sent)
{
    bool ends = s->stmt.verb == PX_V_COMMIT;
    bool in_doubt = sent && may_be_kept(s, c);
    s->conn = NULL;
    c->session = NULL;
    if (ends)
        px_conn_orphan(c);
    else
        px_conn_close(c); /* the instance rolls back */
    s->txn = ends ? PX_IDLE : PX_TXN_FAILED;
    s->txn_rolled_back = !ends;
    s->txn_in_doubt = in_doubt;
    px_refuse(s, in_doubt ? ER_TIMEOUT : ER_ABORTED,
              in_doubt ? "no answer to the write or commit before its deadline"
                       : "no answer before the deadline; the transaction was rolled back");
}

/* The deadline has passed while the statement is at an instance. */
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
        px_refuse(s, ER_DEADLINE, "not sent before the deadline; retry in 100 ms");
    else
        px_refuse(s, ER_TIMEOUT, "no answer before the deadline");
}

void px_expire(struct px_session *s)
{
    if (s->stage == PX_S_AT_INSTANCE && s->conn)
        expire_at_instance(s);
    else
        px_refuse(s, ER_DEADLINE,
                  "no instance was available before the deadline; retry in 200 ms");
}
