/* Dispatches a caller's statement: the proxy answers BEGIN, ROLLBACK and changes of the
 * session's state by itself; other statements are sent to an instance (work.c). */
#include "proxy/priv.h"

/* Refuses a statement before px_begin_work, which would set its time of arrival. */
static void refuse(struct px_session *s, enum er_kind kind, const char *detail)
{
    s->arrived = ck_now();
    px_refuse(s, kind, detail);
}

static void refuse_bad_input(struct px_session *s, const char *why)
{
    refuse(s, ER_BAD_INPUT, why);
}

/* Sets the session's route and account by the configuration document in force. Not called
 * within a transaction, which keeps the route that it began with. False: the statement was
 * refused. */
static bool take_route(struct px_session *s)
{
    const struct cg_route *r = cg_route(&s->p->catalog, sr_from(s->database));
    struct er_err err = {0};
    if (!r) {
        er_set(&err, ER_NO_DATABASE, "%.80s", s->database);
        refuse(s, err.kind, err.text);
        return false;
    }
    if (!px_identify(s, r)) {
        refuse(s, ER_NO_ACCOUNT, "the key no longer belongs to an account");
        return false;
    }
    s->route = *r;
    return true;
}

static void handle_begin(struct px_session *s)
{
    if (s->txn != PX_IDLE) {
        refuse_bad_input(s, "BEGIN: a transaction is already open");
        return;
    }
    if (!take_route(s))
        return;
    px_permit_begin(s);
    s->stage_since = ck_now();
    if (px_permit_take(s) == LM_OVER) {
        s->arrived = ck_now();
        px_refuse_over_limit(s);
        return;
    }
    s->txn = PX_IN_TXN;
    s->txn_read_only = s->stmt.read_only;
    s->txn_begun = s->txn_wrote = s->txn_rolled_back = false;
    px_answer_local(s); /* the instance gets BEGIN with the transaction's first statement */
}

static void handle_rollback(struct px_session *s)
{
    if (s->txn == PX_IDLE) {
        refuse_bad_input(s, "ROLLBACK: no transaction is open");
        return;
    }
    px_drop_txn(s);
    s->txn = PX_IDLE;
    px_answer_local(s);
}

static void handle_commit(struct px_session *s)
{
    if (s->txn == PX_IDLE) {
        refuse_bad_input(s, "COMMIT: no transaction is open");
        return;
    }
    s->writes = false;
    if (s->txn_rolled_back) {
        s->txn = PX_IDLE;
        refuse(s, ER_ABORTED, "the transaction was rolled back before COMMIT");
        return;
    }
    px_begin_work(s);
}

/* Refuses the statement if the session's transaction has failed: only COMMIT and ROLLBACK are
 * accepted then. Returns whether it was refused. */
static bool refuse_in_failed_txn(struct px_session *s)
{
    if (s->txn != PX_TXN_FAILED)
        return false;
    if (s->txn_rolled_back)
        refuse(s, ER_ABORTED, "the transaction was rolled back");
    else
        refuse_bad_input(s, "the transaction has failed; expected ROLLBACK or COMMIT");
    return true;
}

/* Sets s->writes from the prepared statement, for which PREPARE declared it. False: the session
 * has no such prepared statement, and the statement was refused. */
static bool find_prepared(struct px_session *s)
{
    const struct px_prepared *p = px_find_prepared(&s->state, s->stmt.name);
    struct er_err err = {0};
    if (p) {
        s->writes = p->writes;
        return true;
    }
    er_set(&err, ER_NO_STATEMENT, "%.*s", (int)s->stmt.name.len, s->stmt.name.p);
    if (s->txn != PX_IDLE)
        s->txn = PX_TXN_FAILED;
    refuse(s, err.kind, err.text);
    return false;
}

static void handle_run(struct px_session *s)
{
    bool begins = s->txn == PX_IDLE;
    if (refuse_in_failed_txn(s) || (begins && !take_route(s)))
        return;
    if (begins)
        px_permit_begin(s);
    s->writes = s->stmt.verb == PX_V_WRITE;
    if (s->stmt.verb == PX_V_EXECUTE && !find_prepared(s))
        return;
    px_begin_work(s);
}

static bool apply_to_state(struct px_state *to, const struct px_stmt *st, struct er_err *err)
{
    if (st->verb == PX_V_SET)
        return px_set_value(to, st->name, st->value, err);
    if (st->verb == PX_V_PREPARE)
        return px_prepare(to, st->name, st->writes, st->value, err);
    return px_deallocate(to, st->name, err);
}

/* Changes the session's values or prepared statements. Connections to instances are set up with
 * them only when a statement of the session runs there. */
static void handle_state_change(struct px_session *s)
{
    struct er_err err = {0};
    if (refuse_in_failed_txn(s))
        return;
    if (apply_to_state(&s->state, &s->stmt, &err))
        px_answer_local(s);
    else
        refuse(s, err.kind, err.text);
}

/* Copies the request's id and text, because the text is sent to an instance unchanged, perhaps
 * more than once. */
static void save_request(struct px_session *s, const struct px_msg *m)
{
    s->request.len = 0;
    sr_buf_add(&s->request, m->id.p, m->id.len);
    sr_buf_add(&s->request, m->text.p, m->text.len);
    s->id = (struct sr_str){s->request.p, m->id.len};
    s->text = (struct sr_str){s->request.p + m->id.len, m->text.len};
}

void px_statement(struct px_session *s, const struct px_msg *m)
{
    save_request(s, m);
    s->p->c.statements_served += s->relayed_to_us;
    s->p->cfg.codec->parse_text(s->text, &s->stmt);
    s->offers = 0;
    switch (s->stmt.verb) {
    case PX_V_BEGIN:
        handle_begin(s);
        break;
    case PX_V_COMMIT:
        handle_commit(s);
        break;
    case PX_V_ROLLBACK:
        handle_rollback(s);
        break;
    case PX_V_READ:
    case PX_V_WRITE:
    case PX_V_EXECUTE:
        handle_run(s);
        break;
    case PX_V_SET:
    case PX_V_PREPARE:
    case PX_V_DEALLOCATE:
        handle_state_change(s);
        break;
    default:
        refuse_bad_input(s, "unknown statement");
    }
}
