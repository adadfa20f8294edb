/* Statements of a stand-in: slots, transactions, fences. */
#include <stdlib.h>

#include "misc/clock.h"
#include "tests/standin/instance.h"

enum { LOW_ID = 1000000 }; /* a connection of a test asks less often */

static const char *text(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s ? s : "";
}

static uint64_t number(const json_t *o, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(o, key));
}

static json_t *pos_json(struct ps_pos p)
{
    return json_pack("[I,I]", (json_int_t)p.term, (json_int_t)p.pos);
}

json_t *in_positions(struct in_instance *in, json_t *o)
{
    json_object_set_new(o, "primary", json_boolean(in->primary));
    json_object_set_new(o, "term", json_integer((json_int_t)in->term));
    json_object_set_new(o, "following", json_integer((json_int_t)in->following));
    json_object_set_new(o, "held", pos_json(eg_held(in->eng)));
    json_object_set_new(o, "applied", pos_json(eg_applied(in->eng)));
    return o;
}

void in_reply(struct in_conn *c, json_t *reply)
{
    if (c && c->net) {
        char *s = json_dumps(reply, JSON_COMPACT);
        bool entry = strncmp(c->from, "entry", 5) == 0 && json_object_get(reply, "value");
        if (c->in->o.mangle[0] && entry && ++c->in->mangled % 8 == 0)
            in_send_mangled(c, s);
        else
            nt_send(c->net, s, strlen(s));
        free(s);
    }
    json_decref(reply);
}

static json_t *answer(const json_t *req, const char *result, const char *value)
{
    return json_pack("{s:I,s:s,s:s}", "id", (json_int_t)number(req, "id"), "result", result,
                     "value", value);
}

static void refuse(struct in_conn *c, const json_t *req, const char *why)
{
    json_t *r = answer(req, "refused", why);
    in_reply(c, in_positions(c->in, r));
}

void in_append(struct in_instance *in, uint64_t term, const char *stmts, const char *claim,
               const char *ans)
{
    eg_append(in->eng, term, stmts, claim, ans);
    if (!in->file)
        return;
    json_t *o =
        json_pack("{s:I,s:s,s:s,s:s}", "t", (json_int_t)term, "s", stmts, "c", claim, "a", ans);
    json_dumpf(o, in->file, JSON_COMPACT);
    fputc('\n', in->file);
    fflush(in->file);
    json_decref(o);
}

/* ---- running a statement in a slot ---- */

/* Whether statements of this term may write here. */
static bool may_write(const struct in_instance *in, uint64_t term)
{
    if (in->o.no_fence)
        return in->primary;
    return in->primary && term == in->term;
}

/* As in a database: what comes over a connection with an open transaction belongs to it. */
static bool in_txn(const struct in_conn *c, const json_t *req)
{
    return (c && c->txn) || json_is_true(json_object_get(req, "txn"));
}

static void run_read(struct in_job *j)
{
    struct in_instance *in = j->in;
    struct in_conn *c = j->conn;
    if (!c)
        return;
    char out[192];
    const char *stmt = text(j->req, "stmt");
    bool txn = in_txn(c, j->req);
    if (txn && (!c->txn || !may_write(in, c->txn_term))) {
        refuse(c, j->req, "no such transaction in this term");
        return;
    }
    eg_read(in->eng, stmt, txn ? c->pending.p : NULL, out, sizeof(out));
    json_t *r = answer(j->req, "ok", out);
    json_object_set_new(r, "pos", pos_json(eg_applied(in->eng)));
    in_reply(c, r);
}

/* Commit `stmts` as one record, unless its claim was there before. */
static void commit(struct in_job *j, const char *stmts, const char *ans)
{
    struct in_instance *in = j->in;
    const char *claim = in->o.no_claim ? "" : text(j->req, "claim");
    const char *before = claim[0] ? eg_claimed(in->eng, claim) : NULL;
    json_t *r;
    if (before) {
        r = answer(j->req, "ok", before);
        json_object_set_new(r, "duplicate", json_true());
    } else {
        in_append(in, in->term, stmts, claim, ans);
        eg_apply_to(in->eng, UINT64_MAX);
        r = answer(j->req, "ok", ans);
        in_stream(in);
        in_moved(in);
    }
    json_object_set_new(r, "pos", pos_json(eg_held(in->eng)));
    in_reply(j->conn, r);
}

static void run_write(struct in_job *j)
{
    struct in_instance *in = j->in;
    struct in_conn *c = j->conn;
    const char *stmt = text(j->req, "stmt");
    char out[192];
    if (in_txn(c, j->req)) {
        if (!c)
            return;
        if (!c->txn || !may_write(in, c->txn_term)) {
            refuse(c, j->req, "no such transaction in this term");
            return;
        }
        eg_preview(in->eng, stmt, c->pending.p, out, sizeof(out));
        sr_buf_printf(&c->pending, "%s%s", c->pending.len ? "\n" : "", stmt);
        in_reply(c, answer(j->req, "ok", out));
        return;
    }
    if (!may_write(in, number(j->req, "term"))) {
        if (c)
            refuse(c, j->req, "not the primary of this term");
        return;
    }
    eg_preview(in->eng, stmt, NULL, out, sizeof(out));
    commit(j, stmt, out);
}

static void run_commit(struct in_job *j)
{
    struct in_conn *c = j->conn;
    if (!c)
        return;
    if (!c->txn || !may_write(j->in, c->txn_term)) {
        c->txn = false;
        refuse(c, j->req, "no such transaction in this term");
        return;
    }
    char out[192] = "";
    c->txn = false;
    if (c->pending.len) {
        const char *last = strrchr(c->pending.p, '\n');
        struct sr_buf before = {0};
        if (last)
            sr_buf_add(&before, c->pending.p, (size_t)(last - c->pending.p));
        eg_preview(j->in->eng, last ? last + 1 : c->pending.p, before.p, out, sizeof(out));
        sr_buf_free(&before);
        commit(j, c->pending.p, out);
    } else {
        json_t *r = answer(j->req, "ok", "");
        json_object_set_new(r, "pos", pos_json(eg_held(j->in->eng)));
        in_reply(c, r);
    }
    c->pending.len = 0;
    if (c->pending.p)
        c->pending.p[0] = 0;
}

static void start_next(struct in_instance *in);

static void job_free(struct in_job *j)
{
    nt_timer_cancel(&j->timer);
    json_decref(j->req);
    free(j);
}

static void job_done(void *ud)
{
    struct in_job *j = ud;
    struct in_instance *in = j->in;
    const char *op = text(j->req, "op");
    in->running--;
    in->statements++;
    if (strcmp(op, "read") == 0)
        run_read(j);
    else if (strcmp(op, "write") == 0)
        run_write(j);
    else
        run_commit(j);
    if (j->conn)
        j->conn->busy = false;
    job_free(j);
    start_next(in);
}

static void start_next(struct in_instance *in)
{
    while (in->queue && in->running < in->o.slots) {
        struct in_job *j = in->queue;
        in->queue = j->next;
        if (!in->queue)
            in->queue_tail = &in->queue;
        in->running++;
        nt_timer_set(in->loop, &j->timer, in->o.service_us, job_done, j);
    }
}

static void enqueue(struct in_instance *in, struct in_job *j)
{
    j->next = NULL;
    *in->queue_tail = j;
    in->queue_tail = &j->next;
    start_next(in);
}

/* ---- reads that wait for their position ---- */

static bool covered(struct in_instance *in, const json_t *req)
{
    const json_t *min = json_object_get(req, "min");
    bool at_replica = number(req, "term") == 0;
    if (at_replica && (in->primary || !in->clean) && !in->o.no_minpos)
        return false;
    if (!min || in->o.no_minpos)
        return true;
    struct ps_pos floor = {(uint64_t)json_integer_value(json_array_get(min, 0)),
                           (uint64_t)json_integer_value(json_array_get(min, 1))};
    struct ps_start starts[64];
    int n = eg_starts(in->eng, starts, 64);
    return ps_covers(eg_applied(in->eng), floor, starts, n);
}

static void behind(struct in_job *j)
{
    if (j->conn) {
        j->conn->busy = false;
        in_reply(j->conn, in_positions(j->in, answer(j->req, "behind", "")));
    }
    job_free(j);
}

static void wait_fired(void *ud)
{
    in_check_waiting(ud);
}

void in_check_waiting(struct in_instance *in)
{
    struct in_job **at = &in->waiting;
    int64_t now = ck_now(), next = 0;
    while (*at) {
        struct in_job *j = *at;
        bool ok = covered(in, j->req);
        if (!ok && now < j->wait_until) {
            if (!next || j->wait_until < next)
                next = j->wait_until;
            at = &j->next;
            continue;
        }
        *at = j->next;
        if (ok)
            enqueue(in, j);
        else
            behind(j);
    }
    if (next)
        nt_timer_set(in->loop, &in->wait_timer, next - now, wait_fired, in);
}

static void take_statement(struct in_conn *c, json_t *req)
{
    struct in_instance *in = c->in;
    struct in_job *j = sr_alloc(sizeof(*j));
    j->conn = c;
    j->in = in;
    j->req = json_incref(req);
    c->busy = true;
    in->low_ids += number(req, "id") < LOW_ID;
    bool read = strcmp(text(req, "op"), "read") == 0;
    if (!read || in_txn(c, req) || covered(in, req)) {
        enqueue(in, j);
        return;
    }
    int64_t wait = (int64_t)number(req, "wait_us");
    if (wait <= 0) {
        behind(j);
        return;
    }
    j->wait_until = ck_now() + wait;
    j->next = in->waiting;
    in->waiting = j;
    in_check_waiting(in);
}

/* ---- requests that need no slot ---- */

static void do_fence(struct in_conn *c, const json_t *req)
{
    struct in_instance *in = c->in;
    uint64_t term = number(req, "term");
    if (term < in->term) {
        refuse(c, req, "fenced at a higher term");
        return;
    }
    if (term > in->term && !in->o.no_fence) {
        in->clean = in->clean && !in->primary;
        in->term = term;
        in->primary = false;
        in_note_term(in);
        in_unfollow(in);
    }
    in_reply(c, in_positions(in, answer(req, "ok", "")));
}

static void do_promote(struct in_conn *c, const json_t *req)
{
    struct in_instance *in = c->in;
    uint64_t term = number(req, "term");
    if (term < in->term) {
        refuse(c, req, "fenced at a higher term");
        return;
    }
    if (!in->primary || in->term != term) {
        in_unfollow(in);
        in->term = in->following = term;
        in_note_term(in);
        in->primary = true;
        eg_apply_to(in->eng, UINT64_MAX);
        in_moved(in);
    }
    json_t *r = answer(req, "ok", "");
    json_object_set_new(r, "pos", pos_json(eg_held(in->eng)));
    in_reply(c, in_positions(in, r));
}

static void do_follow(struct in_conn *c, const json_t *req)
{
    struct in_instance *in = c->in;
    uint64_t term = number(req, "term");
    if (term < in->term || (in->primary && term == in->term)) {
        refuse(c, req, "fenced at a higher term");
        return;
    }
    in_follow(in, term, text(req, "ip"), (int)number(req, "port"));
    in_reply(c, in_positions(in, answer(req, "ok", "")));
}

static void do_begin(struct in_conn *c, const json_t *req)
{
    uint64_t term = number(req, "term");
    if (c->txn || !may_write(c->in, term)) {
        refuse(c, req, "not the primary of this term");
        return;
    }
    c->txn = true;
    c->txn_term = term;
    c->pending.len = 0;
    in_reply(c, answer(req, "ok", ""));
}

static void bad(struct in_conn *c, const json_t *req, const char *what)
{
    in_reply(c, answer(req, "bad", what));
}

static void do_statement(struct in_conn *c, json_t *req, bool read)
{
    const char *stmt = text(req, "stmt");
    if (read ? !eg_is_read(stmt) : !eg_is_write(stmt))
        bad(c, req, "unknown statement: expected get KEY, runs ID or mark ID KEY");
    else
        take_statement(c, req);
}

void in_serve(struct in_conn *c, json_t *req)
{
    const char *op = text(req, "op");
    if (strcmp(op, "status") == 0)
        in_reply(c, in_positions(c->in, answer(req, "ok", "")));
    else if (strcmp(op, "fence") == 0)
        do_fence(c, req);
    else if (strcmp(op, "promote") == 0)
        do_promote(c, req);
    else if (strcmp(op, "follow") == 0)
        do_follow(c, req);
    else if (strcmp(op, "replicate") == 0)
        in_replica_joined(c, req);
    else if (c->busy)
        bad(c, req, "a statement is running on this connection");
    else if (strcmp(op, "read") == 0)
        do_statement(c, req, true);
    else if (strcmp(op, "write") == 0)
        do_statement(c, req, false);
    else if (strcmp(op, "commit") == 0)
        take_statement(c, req);
    else if (strcmp(op, "begin") == 0)
        do_begin(c, req);
    else if (strcmp(op, "rollback") == 0) {
        c->txn = false;
        c->pending.len = 0;
        in_reply(c, answer(req, "ok", ""));
    } else if (strcmp(op, "subscribe") == 0) {
        c->subscribed = true;
        in_reply(c, in_positions(c->in, answer(req, "ok", "")));
    } else {
        bad(c, req, "unknown op");
    }
}

static void forget(struct in_job *j, const struct in_conn *c)
{
    for (; j; j = j->next) {
        if (j->conn == c)
            j->conn = NULL;
    }
}

void in_conn_gone(struct in_conn *c)
{
    forget(c->in->queue, c);
    forget(c->in->waiting, c);
}
