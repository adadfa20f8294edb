/* Effect of a caller's statement on its session: the proxy answers some statements itself and
 * passes the others to an instance (work.c). */
#include "proxy/priv.h"

/* Refuses a statement that was not started. */
static void refuse(struct px_session *s, enum er_kind kind, const char *detail)
{
    s->arrived = ck_now();
    px_refuse(s, kind, detail);
}

static void refuse_malformed(struct px_session *s, const char *why)
{
    refuse(s, ER_BAD_INPUT, why);
}

/* Takes the route that is in force for the database now; a transaction keeps the route that it
 * began with. */
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
        refuse(s, ER_NO_ACCOUNT, "the key belongs to no account anymore");
        return false;
    }
    s->route = *r;
    return true;
}

static void begin_txn(struct px_session *s)
{
    if (s->txn != PX_IDLE) {
        refuse_malformed(s, "a transaction is already open");
        return;
    }
    if (!take_route(s))
        return;
    px_permit_begin(s);
    s->stage_since = ck_now();
    if (px_permit_take(s) == LM_REFUSE) {
        s->arrived = ck_now();
        px_refuse_over_limit(s);
        return;
    }
    s->txn = PX_IN_TXN;
    s->txn_read_only = s->stmt.read_only;
    s->txn_begun = s->txn_wrote = s->txn_rolled_back = s->txn_in_doubt = false;
    px_answer_local(s); /* BEGIN is sent to an instance with the first statement */
}

static void rollback_txn(struct px_session *s)
{
    if (s->txn == PX_IDLE) {
        refuse_malformed(s, "ROLLBACK: no transaction is open");
        return;
    }
    px_drop_txn(s);
    s->txn = PX_IDLE;
    px_answer_local(s);
}

/* Refuses a statement of a transaction that was rolled back. */
static void refuse_rolled_back(struct px_session *s, const char *why)
{
    if (s->txn_in_doubt)
        refuse(s, ER_LOST, "a write of the transaction may have run outside of it");
    else
        refuse(s, ER_ABORTED, why);
}

static void commit_txn(struct px_session *s)
{
    if (s->txn == PX_IDLE) {
        refuse_malformed(s, "COMMIT: no transaction is open");
        return;
    }
    s->writes = false;
    if (s->txn_rolled_back) {
        s->txn = PX_IDLE;
        refuse_rolled_back(s, "the transaction was already rolled back");
        return;
    }
    px_begin_work(s);
}

/* Refuses a statement in a failed transaction, which accepts only its end. */
static bool refuse_if_failed(struct px_session *s)
{
    if (s->txn != PX_TXN_FAILED)
        return false;
    if (s->txn_rolled_back)
        refuse_rolled_back(s, "the transaction was rolled back");
    else
        refuse_malformed(s, "the transaction has failed; only COMMIT and ROLLBACK are allowed");
    return true;
}

/* Takes from PREPARE whether the statement writes. */
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

static void run_statement(struct px_session *s)
{
    bool begins = s->txn == PX_IDLE;
    if (refuse_if_failed(s) || (begins && !take_route(s)))
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

/* Values and prepared statements belong to the session; connections get them when a statement
 * needs them. */
static void handle_state_change(struct px_session *s)
{
    struct er_err err = {0};
    if (refuse_if_failed(s))
        return;
    if (apply_to_state(&s->state, &s->stmt, &err))
        px_answer_local(s);
    else
        refuse(s, err.kind, err.text);
}

/* Keeps a copy of the request: its text is sent to an instance unchanged, perhaps more than
 * once. */
static void keep_request(struct px_session *s, const struct px_msg *m)
{
    sr_buf_reset(&s->request);
    sr_buf_add(&s->request, m->id.p, m->id.len);
    sr_buf_add(&s->request, m->text.p, m->text.len);
    s->id = (struct sr_str){s->request.p, m->id.len};
    s->text = (struct sr_str){s->request.p + m->id.len, m->text.len};
}

/* Refuses a statement, as the process ends; the open transaction is rolled back. */
static void refuse_at_end(struct px_session *s)
{
    bool ends = s->stmt.verb == PX_V_COMMIT || s->stmt.verb == PX_V_ROLLBACK;
    if (s->txn == PX_IDLE) {
        refuse(s, ER_STOPPING, "this node is stopping; retry at another node at once");
        return;
    }
    px_abort_txn(s);
    if (ends)
        s->txn = PX_IDLE;
    refuse_rolled_back(s, "this node is stopping; the transaction was rolled back");
}

void px_statement(struct px_session *s, const struct px_msg *m)
{
    keep_request(s, m);
    s->p->c.statements_served += s->relayed_to_us;
    s->p->cfg.codec->parse_text(s->text, &s->stmt);
    s->offers = 0;
    if (s->p->ends) {
        refuse_at_end(s);
        return;
    }
    switch (s->stmt.verb) {
    case PX_V_BEGIN:
        begin_txn(s);
        break;
    case PX_V_COMMIT:
        commit_txn(s);
        break;
    case PX_V_ROLLBACK:
        rollback_txn(s);
        break;
    case PX_V_READ:
    case PX_V_WRITE:
    case PX_V_EXECUTE:
        run_statement(s);
        break;
    case PX_V_SET:
    case PX_V_PREPARE:
    case PX_V_DEALLOCATE:
        handle_state_change(s);
        break;
    default:
        refuse_malformed(s, "unknown statement");
    }
}
