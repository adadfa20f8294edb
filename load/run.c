#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "load/load.h"
#include "misc/clock.h"
#include "misc/str.h"

enum {
    TICK_US = 1000,
    RECONNECT_US = 50000,
    RESEND_US = 50000,
    MAX_RESENDS = 100,
    VERIFY_RETRY_US = 50000,
    VERIFY_LIMIT_US = 25000000,
    START_LIMIT_US = 5000000,
    GRACE_US = 1000000,
    SILENT_US = 400000,
};

enum op { OP_READ, OP_WRITE, OP_TXN, OP_VERIFY };

struct run;

struct conn {
    struct run *run;
    int entry;
    struct nt_conn *net;
    bool open, leaving;            /* leaving: the node stops; nothing new goes there */
    int64_t next_try, waits_since; /* since when it owes an answer; 0 it does not */
};

struct session {
    struct run *run;
    int no;
    char tokens[LD_MAX_DBS][80];
    /* the operation under way */
    bool busy, waiting;
    enum op op;
    int step; /* of a transaction */
    int db, key;
    uint64_t n;  /* number of the request under way */
    char id[64]; /* of the write */
    char twin[72];
    char txn[64];
    struct conn *conn;
    int64_t intended, sent, again_at;
    bool aged, had_token;
    int resends;
};

struct run {
    const struct ld_opts *o;
    struct ld_result *r;
    struct hc_check *c;
    struct nt_loop *loop;
    struct rn_rng rng;
    struct conn conns[LD_MAX_ENTRIES][LD_CONNS];
    struct session *s;
    int *idle, n_idle;
    uint64_t seq, nonce;
    int64_t start, end, next_due;
    bool verifying;
    char **ids;
    int n_ids, cap_ids, next_id, verified;
    struct nt_timer tick;
};

static double chance(struct run *r)
{
    return (double)rn_below(&r->rng, 1000000) / 1e6;
}

static int64_t since_start(const struct run *r, int64_t now)
{
    return now - r->start;
}

/* ---- records ---- */

static struct ld_bucket *bucket(struct run *r, int64_t now)
{
    int64_t b = since_start(r, now) / CK_MS(LD_BUCKET_MS);
    if (b < 0 || b >= LD_MAX_BUCKETS)
        return NULL;
    if (b >= r->r->n_buckets)
        r->r->n_buckets = (int)b + 1;
    return &r->r->buckets[b];
}

static void note_reason(struct run *r, const char *reason)
{
    struct ld_result *x = r->r;
    for (int i = 0; i < x->n_reasons; i++) {
        if (strcmp(x->reasons[i].reason, reason) == 0) {
            x->reasons[i].n++;
            return;
        }
    }
    if (x->n_reasons == LD_MAX_REASONS)
        return;
    sr_copy(x->reasons[x->n_reasons].reason, sizeof(x->reasons[0].reason), sr_from(reason));
    x->reasons[x->n_reasons++].n = 1;
}

static void note_write_gap(struct run *r, int db, int64_t now)
{
    struct ld_result *x = r->r;
    int64_t gap = x->last_write[db] ? now - x->last_write[db] : 0;
    if (gap > x->gap_us[db]) {
        x->gap_us[db] = gap;
        x->gap_from[db] = since_start(r, x->last_write[db]);
    }
    x->last_write[db] = now;
}

/* ---- sending ---- */

static struct conn *pick_conn(struct run *r, const struct session *s)
{
    int n = r->o->n_entries;
    int first = r->o->roam ? (int)rn_below(&r->rng, (uint64_t)n) : s->no % n;
    for (int k = 0; k < n; k++) {
        struct conn *c = &r->conns[(first + k) % n][s->no % LD_CONNS];
        /* As the platform's balancer: a node that does not answer gets nothing new. */
        bool silent = c->waits_since && ck_now() - c->waits_since > SILENT_US;
        if (c->open && !c->leaving && !silent)
            return c;
    }
    return NULL;
}

/* A node that stops has asked to be left: close once it owes nothing. */
static void maybe_leave(struct conn *c)
{
    bool pinned = false;
    for (int i = 0; i < c->run->o->sessions; i++) {
        const struct session *s = &c->run->s[i];
        pinned = pinned || (s->busy && s->conn == c && (s->waiting || s->txn[0]));
    }
    if (c->leaving && !pinned && c->net)
        nt_close(c->net, false);
}

static void send_request(struct session *s, const char *kind, const char *stmt)
{
    struct run *r = s->run;
    const struct ld_opts *o = r->o;
    char rid[96];
    s->n = ++r->seq;
    /* The id of a write is the same at every resend; other ids carry their number. */
    bool claim = strcmp(kind, "write") == 0 ? !s->txn[0] : strcmp(kind, "commit") == 0;
    if (claim)
        snprintf(rid, sizeof(rid), "%s", s->id);
    else
        snprintf(rid, sizeof(rid), "r%d.%llu", s->no, (unsigned long long)s->n);
    json_t *q = json_pack("{s:s,s:s,s:s,s:i}", "id", rid, "db", o->dbs[s->db], "kind", kind,
                          "deadline_ms", o->deadline_ms);
    char account[32];
    snprintf(account, sizeof(account), "account%d", s->no % o->accounts);
    json_object_set_new(q, "account", json_string(account));
    if (stmt)
        json_object_set_new(q, "stmt", json_string(stmt));
    if (s->txn[0])
        json_object_set_new(q, "txn", json_string(s->txn));
    if (s->tokens[s->db][0] && s->op != OP_VERIFY)
        json_object_set_new(q, "token", json_string(s->tokens[s->db]));
    if (s->aged && s->op == OP_READ)
        json_object_set_new(q, "age_ms", json_integer(o->age_ms));
    char *text = json_dumps(q, JSON_COMPACT);
    json_decref(q);
    s->sent = ck_now();
    s->waiting = true;
    r->r->sent += s->op != OP_VERIFY;
    if (!s->conn->waits_since)
        s->conn->waits_since = s->sent;
    nt_send(s->conn->net, text, strlen(text));
    free(text);
}

static void key_name(const struct session *s, char *out, size_t cap)
{
    snprintf(out, cap, "d%dk%d", s->db, s->key);
}

static void send_step(struct session *s)
{
    char key[32], stmt[160];
    key_name(s, key, sizeof(key));
    switch (s->op) {
    case OP_READ:
        snprintf(stmt, sizeof(stmt), "get %s", key);
        send_request(s, "read", stmt);
        break;
    case OP_VERIFY:
        snprintf(stmt, sizeof(stmt), "runs %s", s->id);
        send_request(s, "read", stmt);
        break;
    case OP_WRITE:
        snprintf(stmt, sizeof(stmt), "mark %s %s", s->id, key);
        send_request(s, "write", stmt);
        break;
    case OP_TXN:
        if (s->step == 0) {
            send_request(s, "begin", NULL);
        } else if (s->step <= 2) {
            snprintf(stmt, sizeof(stmt), "mark %s %s", s->step == 1 ? s->id : s->twin, key);
            send_request(s, "write", stmt);
        } else {
            send_request(s, "commit", NULL);
        }
        break;
    }
}

static void go_idle(struct session *s)
{
    s->busy = s->waiting = false;
    s->txn[0] = 0;
    s->run->idle[s->run->n_idle++] = s->no;
}

static void start_on_conn(struct session *s)
{
    s->conn = pick_conn(s->run, s);
    s->step = 0;
    s->txn[0] = 0;
    if (s->conn) {
        s->again_at = 0;
        send_step(s);
    } else {
        s->again_at = ck_now() + RECONNECT_US; /* no entry node is there */
    }
}

static void remember_id(struct run *r, const char *id)
{
    if (r->n_ids == r->cap_ids) {
        r->cap_ids = r->cap_ids ? r->cap_ids * 2 : 1024;
        r->ids = sr_realloc(r->ids, sizeof(*r->ids) * (size_t)r->cap_ids);
    }
    r->ids[r->n_ids++] = strdup(id);
}

static void start_op(struct run *r, struct session *s, int64_t intended)
{
    const struct ld_opts *o = r->o;
    double dice = chance(r);
    s->busy = true;
    s->intended = intended;
    s->resends = 0;
    s->aged = false;
    s->db = (int)rn_below(&r->rng, (uint64_t)o->n_dbs);
    s->key = (int)rn_below(&r->rng, (uint64_t)o->keys);
    s->had_token = s->tokens[s->db][0] != 0;
    if (dice < o->reads) {
        s->op = OP_READ;
        s->aged = chance(r) < o->aged;
    } else {
        s->op = dice < o->reads + o->txns ? OP_TXN : OP_WRITE;
        /* Unlike in any other run: the system remembers ids for minutes. */
        snprintf(s->id, sizeof(s->id), "w%d.%d.%llu.%llx", s->db, s->no,
                 (unsigned long long)++r->seq, (unsigned long long)r->nonce);
        snprintf(s->twin, sizeof(s->twin), "%s.t", s->id);
        remember_id(r, s->id);
        if (s->op == OP_TXN)
            remember_id(r, s->twin);
    }
    start_on_conn(s);
}

/* ---- answers ---- */

static const char *twin_of(const struct session *s)
{
    return s->op == OP_TXN ? s->twin : NULL;
}

static void try_again(struct session *s, int64_t in_us)
{
    s->waiting = false;
    s->again_at = ck_now() + in_us;
}

static void write_result(struct session *s, enum hc_status st, const char *value)
{
    struct run *r = s->run;
    char key[32];
    key_name(s, key, sizeof(key));
    int64_t now = ck_now();
    hc_write(r->c, s->no, s->id, twin_of(s), key, st, value, now);
    if (s->op == OP_TXN)
        hc_write(r->c, s->no, s->twin, s->id, key, st, value, now);
    if (st == HC_OK)
        note_write_gap(r, s->db, now);
}

static void finish_ok(struct session *s, const char *value, bool replica, bool duplicate)
{
    struct run *r = s->run;
    struct ld_result *x = r->r;
    int64_t now = ck_now(), took = now - s->intended;
    char key[32];
    key_name(s, key, sizeof(key));
    x->ok++;
    x->duplicates += duplicate;
    if (s->op == OP_READ) {
        int64_t age = s->aged ? CK_MS(r->o->age_ms) : s->had_token ? INT64_MAX : -1;
        hc_read(r->c, s->no, key, value, s->sent, age);
        hi_add(&x->reads, took);
        x->reads_ok++;
        x->replica_reads += replica;
        x->aged_ok += s->aged;
        x->aged_replica += s->aged && replica;
    } else {
        write_result(s, HC_OK, value);
        hi_add(s->op == OP_TXN ? &x->txns : &x->writes, took);
    }
    struct ld_bucket *b = bucket(r, now);
    if (b) {
        b->ok++;
        b->writes_ok += s->op != OP_READ;
        if (took > b->worst_us)
            b->worst_us = took;
    }
    go_idle(s);
}

/* The connection broke, or the answer is `unknown`. */
static void finish_unknown(struct session *s)
{
    struct run *r = s->run;
    bool committing = s->op == OP_WRITE || (s->op == OP_TXN && s->step == 3);
    if (committing)
        write_result(s, HC_UNKNOWN, "");
    bool again = committing && r->o->resend && s->resends < MAX_RESENDS;
    if (again) {
        s->resends++;
        r->r->resent++;
        try_again(s, RESEND_US);
        return;
    }
    go_idle(s);
}

static void finish_refused(struct session *s, const char *status, const char *reason,
                           int64_t retry_ms)
{
    struct run *r = s->run;
    bool not_run = strcmp(status, "not_run") == 0;
    int64_t now = ck_now();
    note_reason(r, reason);
    r->r->not_run += not_run;
    r->r->rejected += !not_run;
    if (now - s->sent > r->r->latest_refusal_us)
        r->r->latest_refusal_us = now - s->sent;
    struct ld_bucket *b = bucket(r, now);
    if (b)
        b->refused++;
    if (s->resends > 0 && s->resends < MAX_RESENDS) {
        s->resends++; /* an earlier sending may have run: stay with it */
        try_again(s, CK_MS(retry_ms > 0 ? retry_ms : 50));
        return;
    }
    if (s->op != OP_READ)
        write_result(s, not_run ? HC_NOT_RUN : HC_REJECTED, "");
    go_idle(s);
}

static void verify_next(struct session *s);

static void verify_answer(struct session *s, const char *status, const char *value)
{
    struct run *r = s->run;
    size_t n = strlen(s->id);
    if (strcmp(status, "ok") != 0 || strncmp(value, s->id, n) != 0 || value[n] != '=') {
        try_again(s, VERIFY_RETRY_US);
        return;
    }
    hc_runs(r->c, s->id, strtoll(value + n + 1, NULL, 10));
    r->verified++;
    verify_next(s);
}

static void txn_answer(struct session *s, const json_t *a, const char *value, bool duplicate)
{
    const char *name = json_string_value(json_object_get(a, "txn"));
    if (s->step == 0)
        sr_copy(s->txn, sizeof(s->txn), sr_from(name ? name : ""));
    if (s->step < 3) {
        s->step++;
        send_step(s);
        return;
    }
    finish_ok(s, value, false, duplicate);
}

static void on_answer(struct run *r, struct session *s, const json_t *a)
{
    const char *status = json_string_value(json_object_get(a, "status"));
    const char *value = json_string_value(json_object_get(a, "value"));
    const char *token = json_string_value(json_object_get(a, "token"));
    const char *reason = json_string_value(json_object_get(a, "reason"));
    int64_t retry = json_integer_value(json_object_get(a, "retry_after_ms"));
    bool duplicate = json_is_true(json_object_get(a, "duplicate"));
    s->waiting = false;
    status = status ? status : "?";
    value = value ? value : "";
    if (s->op == OP_VERIFY) {
        verify_answer(s, status, value);
        return;
    }
    if (strcmp(status, "ok") == 0) {
        if (token)
            sr_copy(s->tokens[s->db], sizeof(s->tokens[0]), sr_from(token));
        if (s->op == OP_TXN)
            txn_answer(s, a, value, duplicate);
        else
            finish_ok(s, value, json_is_true(json_object_get(a, "replica")), duplicate);
    } else if (strcmp(status, "unknown") == 0) {
        note_reason(r, reason ? reason : "?");
        r->r->unknown++;
        finish_unknown(s);
    } else {
        finish_refused(s, status, reason ? reason : "?", retry);
    }
}

/* The session whose request this id names, if it still waits for it. */
static struct session *by_id(struct run *r, const char *id)
{
    int no = -1;
    unsigned long long n = 0;
    if (id && sscanf(id, "r%d.%llu", &no, &n) == 2 && no >= 0 && no < r->o->sessions)
        return r->s[no].waiting && r->s[no].n == n ? &r->s[no] : NULL;
    int db;
    if (id && sscanf(id, "w%d.%d.", &db, &no) == 2 && no >= 0 && no < r->o->sessions)
        return r->s[no].waiting && strcmp(r->s[no].id, id) == 0 ? &r->s[no] : NULL;
    return NULL;
}

static void conn_open(struct nt_conn *net, void *ud)
{
    struct conn *c = ud;
    (void)net;
    c->open = true;
}

static void conn_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct conn *c = ud;
    (void)net;
    json_t *a = json_loadb(data, len, 0, NULL);
    c->waits_since = 0;
    c->leaving = c->leaving || json_object_get(a, "notice");
    struct session *s = by_id(c->run, json_string_value(json_object_get(a, "id")));
    if (s && s->conn == c)
        on_answer(c->run, s, a);
    json_decref(a);
    if (c->leaving)
        maybe_leave(c);
}

static void conn_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct conn *c = ud;
    struct run *r = c->run;
    (void)net;
    (void)opened;
    (void)refused;
    c->net = NULL;
    c->open = c->leaving = false;
    c->waits_since = 0;
    c->next_try = ck_now() + RECONNECT_US;
    for (int i = 0; i < r->o->sessions; i++) {
        struct session *s = &r->s[i];
        if (!s->waiting || s->conn != c)
            continue;
        s->waiting = false;
        if (s->op == OP_VERIFY) {
            try_again(s, VERIFY_RETRY_US);
            continue;
        }
        r->r->no_answer++;
        finish_unknown(s);
    }
}

static const struct nt_ops conn_ops = {conn_open, conn_message, conn_close};

static int open_conns(struct run *r, int64_t now)
{
    int open = 0;
    for (int e = 0; e < r->o->n_entries; e++) {
        for (int k = 0; k < LD_CONNS; k++) {
            struct conn *c = &r->conns[e][k];
            c->run = r;
            c->entry = e;
            open += c->open;
            if (!c->net && now >= c->next_try)
                c->net = nt_connect(r->loop, r->o->entries[e].ip, r->o->entries[e].port, false,
                                    &conn_ops, c);
        }
    }
    return open;
}

/* ---- verifying ---- */

static void verify_next(struct session *s)
{
    struct run *r = s->run;
    if (r->next_id >= r->n_ids) {
        go_idle(s);
        return;
    }
    s->busy = true;
    s->op = OP_VERIFY;
    s->aged = false;
    sscanf(r->ids[r->next_id], "w%d.", &s->db);
    sr_copy(s->id, sizeof(s->id), sr_from(r->ids[r->next_id++]));
    start_on_conn(s);
}

static void begin_verify(struct run *r, int64_t now)
{
    r->verifying = true;
    r->r->took_us = now - r->start;
    r->end = now + VERIFY_LIMIT_US;
    int n = r->n_idle;
    for (int i = 0; i < n; i++) {
        if (r->next_id < r->n_ids)
            verify_next(&r->s[r->idle[--r->n_idle]]);
    }
}

/* ---- time ---- */

static void start_due(struct run *r, int64_t now)
{
    double every = 1e6 / r->o->rate;
    while (r->next_due <= now && r->n_idle > 0) {
        int pick = (int)rn_below(&r->rng, (uint64_t)r->n_idle);
        int no = r->idle[pick];
        r->idle[pick] = r->idle[--r->n_idle];
        start_op(r, &r->s[no], r->next_due);
        r->next_due += (int64_t)every;
    }
    if (r->next_due <= now)
        r->r->late_start++;
}

static void tick(void *ud)
{
    struct run *r = ud;
    int64_t now = ck_now();
    int open = open_conns(r, now);
    if (!r->start) {
        if (open >= r->o->n_entries || now > r->end) {
            r->start = r->next_due = r->r->started = now;
            r->end = now + (int64_t)(r->o->seconds * 1e6);
        }
        nt_timer_set(r->loop, &r->tick, TICK_US, tick, r);
        return;
    }
    for (int i = 0; i < r->o->sessions; i++) {
        struct session *s = &r->s[i];
        if (s->busy && s->again_at && now >= s->again_at)
            start_on_conn(s);
    }
    if (!r->verifying && now < r->end)
        start_due(r, now);
    bool all_idle = r->n_idle == r->o->sessions;
    int64_t grace = CK_MS(r->o->deadline_ms) + GRACE_US;
    if (!r->verifying && now >= r->end && (all_idle || now > r->end + grace))
        begin_verify(r, now);
    else if (r->verifying && (r->verified >= r->n_ids || now >= r->end)) {
        nt_stop(r->loop);
        return;
    }
    nt_timer_set(r->loop, &r->tick, TICK_US, tick, r);
}

/* A write still unanswered at the end may have run. */
static void note_unanswered(struct run *r)
{
    for (int i = 0; i < r->o->sessions; i++) {
        struct session *s = &r->s[i];
        if (s->busy && s->op != OP_READ && s->op != OP_VERIFY)
            hc_write_sent(r->c, s->id, twin_of(s));
    }
}

bool ld_run(const struct ld_opts *o, struct ld_result *res, struct hc_check *c,
            struct er_err *err)
{
    struct run *r = sr_alloc(sizeof(*r));
    r->o = o;
    r->r = res;
    r->c = c;
    r->rng = rn_seed(o->seed);
    r->nonce = (uint64_t)ck_wall_ms();
    r->loop = nt_loop_create(4096, err);
    if (!r->loop)
        return false;
    r->s = sr_alloc(sizeof(*r->s) * (size_t)o->sessions);
    r->idle = sr_alloc(sizeof(*r->idle) * (size_t)o->sessions);
    for (int i = 0; i < o->sessions; i++) {
        r->s[i].run = r;
        r->s[i].no = i;
        r->idle[r->n_idle++] = i;
    }
    r->end = ck_now() + START_LIMIT_US;
    tick(r);
    nt_run(r->loop);
    bool ran = r->start != 0;
    note_unanswered(r);
    hc_finish(c);
    for (int i = 0; i < r->n_ids; i++)
        free(r->ids[i]);
    free(r->ids);
    free(r->s);
    free(r->idle);
    return ran;
}
