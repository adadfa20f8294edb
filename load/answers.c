/* Handles answers: records them for the report and the history checker, resends writes, and
 * reads the run counts of all writes at the end. */
#include "load/session.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "misc/clock.h"
#include "misc/str.h"

/* ---- answers ---- */

const char *ld_twin_id(const struct session *s)
{
    return s->op == OP_TXN ? s->twin : NULL;
}

void ld_retry_in(struct session *s, int64_t in_us)
{
    s->waiting = false;
    s->retry_at = ck_now() + in_us;
}

static void record_write_result(struct session *s, enum hc_status st, const char *value)
{
    struct run *r = s->run;
    char key[32];
    ld_key_name(s, key, sizeof(key));
    int64_t now = ck_now();
    hc_write(r->c, s->no, s->id, ld_twin_id(s), key, st, value, now);
    if (s->op == OP_TXN)
        hc_write(r->c, s->no, s->twin, s->id, key, st, value, now);
    if (st == HC_OK)
        ld_update_write_gap(r, s->db, now);
}

static void finish_ok(struct session *s, const char *value, bool replica, bool duplicate)
{
    struct run *r = s->run;
    struct ld_result *x = r->r;
    int64_t now = ck_now(), took = now - s->intended;
    char key[32];
    ld_key_name(s, key, sizeof(key));
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
        record_write_result(s, HC_OK, value);
        hi_add(s->op == OP_TXN ? &x->txns : &x->writes, took);
    }
    struct ld_bucket *b = ld_bucket(r, now);
    if (b) {
        b->ok++;
        b->writes_ok += s->op != OP_READ;
        if (took > b->worst_us)
            b->worst_us = took;
    }
    ld_go_idle(s);
}

/* Ends an operation whose connection broke or whose answer is `unknown`; resends a write. */
void ld_finish_unknown(struct session *s)
{
    struct run *r = s->run;
    bool committing = s->op == OP_WRITE || (s->op == OP_TXN && s->step == 3);
    if (committing)
        record_write_result(s, HC_UNKNOWN, "");
    bool again = committing && r->o->resend && s->resends < MAX_RESENDS;
    if (again) {
        s->resends++;
        r->r->resent++;
        ld_retry_in(s, RESEND_US);
        return;
    }
    ld_go_idle(s);
}

static void finish_refused(struct session *s, const char *status, const char *reason,
                           int64_t retry_ms)
{
    struct run *r = s->run;
    bool not_run = strcmp(status, "not_run") == 0;
    int64_t now = ck_now();
    ld_count_reason(r, reason);
    r->r->not_run += not_run;
    r->r->rejected += !not_run;
    if (now - s->sent > r->r->latest_refusal_us)
        r->r->latest_refusal_us = now - s->sent;
    struct ld_bucket *b = ld_bucket(r, now);
    if (b)
        b->refused++;
    if (s->resends > 0 && s->resends < MAX_RESENDS) {
        s->resends++; /* keep resending: an earlier attempt may have run */
        ld_retry_in(s, CK_MS(retry_ms > 0 ? retry_ms : 50));
        return;
    }
    if (s->op != OP_READ)
        record_write_result(s, not_run ? HC_NOT_RUN : HC_REJECTED, "");
    ld_go_idle(s);
}

static void verify_answer(struct session *s, const char *status, const char *value)
{
    struct run *r = s->run;
    size_t n = strlen(s->id);
    if (strcmp(status, "ok") != 0 || strncmp(value, s->id, n) != 0 || value[n] != '=') {
        ld_retry_in(s, VERIFY_RETRY_US);
        return;
    }
    hc_runs(r->c, s->id, strtoll(value + n + 1, NULL, 10));
    r->verified++;
    ld_verify_next(s);
}

static void txn_answer(struct session *s, const json_t *a, const char *value, bool duplicate)
{
    const char *name = json_string_value(json_object_get(a, "txn"));
    if (s->step == 0)
        sr_copy(s->txn, sizeof(s->txn), sr_from(name ? name : ""));
    if (s->step < 3) {
        s->step++;
        ld_send_step(s);
        return;
    }
    finish_ok(s, value, false, duplicate);
}

void ld_on_answer(struct run *r, struct session *s, const json_t *a)
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
        if (token && !r->o->no_tokens)
            sr_copy(s->tokens[s->db], sizeof(s->tokens[0]), sr_from(token));
        if (s->op == OP_TXN)
            txn_answer(s, a, value, duplicate);
        else
            finish_ok(s, value, json_is_true(json_object_get(a, "replica")), duplicate);
    } else if (strcmp(status, "unknown") == 0) {
        ld_count_reason(r, reason ? reason : "?");
        r->r->unknown++;
        ld_finish_unknown(s);
    } else {
        finish_refused(s, status, reason ? reason : "?", retry);
    }
}

/* Returns the session that still waits for the answer to request `id`, or NULL. */
struct session *ld_find_waiting(struct run *r, const char *id)
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

/* ---- verification ---- */

void ld_verify_next(struct session *s)
{
    struct run *r = s->run;
    if (r->next_id >= r->n_ids) {
        ld_go_idle(s);
        return;
    }
    s->busy = true;
    s->op = OP_VERIFY;
    s->aged = false;
    sscanf(r->ids[r->next_id], "w%d.", &s->db);
    sr_copy(s->id, sizeof(s->id), sr_from(r->ids[r->next_id++]));
    ld_start_on_conn(s);
}
