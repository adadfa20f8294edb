/* Connections and timing of a load: connects, starts operations at the requested rate, then
 * verifies the writes. */
#include "load/session.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "misc/clock.h"
#include "misc/str.h"

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
    c->waiting_since = 0;
    c->stopping = c->stopping || json_object_get(a, "notice");
    struct session *s = ld_find_waiting(c->run, json_string_value(json_object_get(a, "id")));
    if (s && s->conn == c)
        ld_on_answer(c->run, s, a);
    json_decref(a);
    if (c->stopping)
        ld_close_if_drained(c);
}

static void conn_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct conn *c = ud;
    struct run *r = c->run;
    (void)net;
    (void)opened;
    (void)refused;
    c->net = NULL;
    c->open = c->stopping = false;
    c->waiting_since = 0;
    c->next_try = ck_now() + RECONNECT_US;
    for (int i = 0; i < r->o->sessions; i++) {
        struct session *s = &r->s[i];
        if (!s->waiting || s->conn != c)
            continue;
        s->waiting = false;
        if (s->op == OP_VERIFY) {
            ld_retry_in(s, VERIFY_RETRY_US);
            continue;
        }
        r->r->no_answer++;
        ld_finish_unknown(s);
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

static void begin_verify(struct run *r, int64_t now)
{
    r->verifying = true;
    r->r->took_us = now - r->start;
    r->end = now + VERIFY_LIMIT_US;
    int n = r->n_idle;
    for (int i = 0; i < n; i++) {
        if (r->next_id < r->n_ids)
            ld_verify_next(&r->s[r->idle[--r->n_idle]]);
    }
}

/* ---- timing ---- */

static void start_due(struct run *r, int64_t now)
{
    double every = 1e6 / r->o->rate;
    while (r->next_due <= now && r->n_idle > 0) {
        int pick = (int)rn_below(&r->rng, (uint64_t)r->n_idle);
        int no = r->idle[pick];
        r->idle[pick] = r->idle[--r->n_idle];
        ld_start_op(r, &r->s[no], r->next_due);
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
        if (s->busy && s->retry_at && now >= s->retry_at)
            ld_start_on_conn(s);
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

/* A write that is still unanswered at the end may have run. */
static void record_unanswered(struct run *r)
{
    for (int i = 0; i < r->o->sessions; i++) {
        struct session *s = &r->s[i];
        if (s->busy && s->op != OP_READ && s->op != OP_VERIFY)
            hc_write_sent(r->c, s->id, ld_twin_id(s));
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
    record_unanswered(r);
    hc_finish(c);
    for (int i = 0; i < r->n_ids; i++)
        free(r->ids[i]);
    free(r->ids);
    free(r->s);
    free(r->idle);
    return ran;
}
