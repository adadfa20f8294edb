/* Chooses operations and sends their requests. */
#include "load/session.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "misc/clock.h"
#include "misc/str.h"

static double random_share(struct run *r)
{
    return (double)rn_below(&r->rng, 1000000) / 1e6;
}

static int64_t since_start(const struct run *r, int64_t now)
{
    return now - r->start;
}

/* ---- records ---- */

struct ld_bucket *ld_bucket(struct run *r, int64_t now)
{
    int64_t b = since_start(r, now) / CK_MS(LD_BUCKET_MS);
    if (b < 0 || b >= LD_MAX_BUCKETS)
        return NULL;
    if (b >= r->r->n_buckets)
        r->r->n_buckets = (int)b + 1;
    return &r->r->buckets[b];
}

void ld_count_reason(struct run *r, const char *reason)
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

void ld_update_write_gap(struct run *r, int db, int64_t now)
{
    struct ld_result *x = r->r;
    /* No new writes start after the end, so the time between late resends is not a gap. */
    if (now > r->end && r->start)
        return;
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
        /* The platform's load balancer also sends no new requests to an unresponsive node. */
        bool unresponsive = c->waiting_since && ck_now() - c->waiting_since > UNRESPONSIVE_US;
        if (c->open && !c->stopping && !unresponsive)
            return c;
    }
    return NULL;
}

/* Closes the connection to a stopping node once no session waits for it or has a transaction
 * open on it. */
void ld_close_if_drained(struct conn *c)
{
    bool in_use = false;
    for (int i = 0; i < c->run->o->sessions; i++) {
        const struct session *s = &c->run->s[i];
        in_use = in_use || (s->busy && s->conn == c && (s->waiting || s->txn[0]));
    }
    if (c->stopping && !in_use && c->net)
        nt_close(c->net, false);
}

static void send_request(struct session *s, const char *kind, const char *stmt)
{
    struct run *r = s->run;
    const struct ld_opts *o = r->o;
    char rid[96];
    s->n = ++r->seq;
    /* A write or commit keeps its id on every resend; other ids contain the request number. */
    bool keeps_id = strcmp(kind, "write") == 0 ? !s->txn[0] : strcmp(kind, "commit") == 0;
    if (keeps_id)
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
    if (keeps_id && s->resends > 0)
        json_object_set_new(q, "resend", json_true());
    if (s->aged && s->op == OP_READ)
        json_object_set_new(q, "age_ms", json_integer(o->age_ms));
    char *text = json_dumps(q, JSON_COMPACT);
    json_decref(q);
    s->sent = ck_now();
    s->waiting = true;
    r->r->sent += s->op != OP_VERIFY;
    if (!s->conn->waiting_since)
        s->conn->waiting_since = s->sent;
    nt_send(s->conn->net, text, strlen(text));
    free(text);
}

void ld_key_name(const struct session *s, char *out, size_t cap)
{
    snprintf(out, cap, "d%dk%d", s->db, s->key);
}

void ld_send_step(struct session *s)
{
    char key[32], stmt[160];
    ld_key_name(s, key, sizeof(key));
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

void ld_go_idle(struct session *s)
{
    s->busy = s->waiting = false;
    s->txn[0] = 0;
    s->run->idle[s->run->n_idle++] = s->no;
}

void ld_start_on_conn(struct session *s)
{
    s->conn = pick_conn(s->run, s);
    s->step = 0;
    s->txn[0] = 0;
    if (s->conn) {
        s->retry_at = 0;
        ld_send_step(s);
    } else {
        s->retry_at = ck_now() + RECONNECT_US; /* no entry node is reachable */
    }
}

static void record_id(struct run *r, const char *id)
{
    if (r->n_ids == r->cap_ids) {
        r->cap_ids = r->cap_ids ? r->cap_ids * 2 : 1024;
        r->ids = sr_realloc(r->ids, sizeof(*r->ids) * (size_t)r->cap_ids);
    }
    r->ids[r->n_ids++] = strdup(id);
}

void ld_start_op(struct run *r, struct session *s, int64_t intended)
{
    const struct ld_opts *o = r->o;
    double draw = random_share(r);
    s->busy = true;
    s->intended = intended;
    s->resends = 0;
    s->aged = false;
    s->db = (int)rn_below(&r->rng, (uint64_t)o->n_dbs);
    s->key = (int)rn_below(&r->rng, (uint64_t)o->keys);
    s->had_token = s->tokens[s->db][0] != 0;
    if (draw < o->reads) {
        s->op = OP_READ;
        s->aged = random_share(r) < o->aged;
    } else {
        s->op = draw < o->reads + o->txns ? OP_TXN : OP_WRITE;
        /* The nonce keeps ids distinct between runs: the proxy remembers ids for minutes. */
        snprintf(s->id, sizeof(s->id), "w%d.%d.%llu.%llx", s->db, s->no,
                 (unsigned long long)++r->seq, (unsigned long long)r->nonce);
        snprintf(s->twin, sizeof(s->twin), "%s.t", s->id);
        record_id(r, s->id);
        if (s->op == OP_TXN)
            record_id(r, s->twin);
    }
    ld_start_on_conn(s);
}
