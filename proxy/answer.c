/* Answers to callers, with their counters and log lines. */
#include "proxy/priv.h"

/* Failure lines logged per second; further ones are counted. */
enum { FAILURE_LINES_PER_S = 20 };

static const struct ps_pos no_pos;

/* ---- counters and log ---- */

/* Limits failure lines to a few per second, so that a long failure does not fill the disk; the
 * rest are counted. */
bool px_may_log(struct px_proxy *p)
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

/* The number of the group's instances that lacked a position a moment ago, which explains why
 * the others are busy. */
static int count_behind(const struct px_group *g, int64_t now)
{
    int k = 0;
    for (int i = 0; g && i < g->cfg.n; i++)
        k += now < g->inst[i]->behind_until;
    return k;
}

static void record_failure(struct px_session *s, enum er_kind kind, const char *detail)
{
    struct px_proxy *p = s->p;
    const struct px_group *g = px_session_group(s);
    p->c.failed++;
    p->c.by_reason[kind]++;
    if (!px_may_log(p))
        return;
    FL_EVENT(&p->log, LG_INFO, "request_failed",
             "request=%.*s session=%llu database=%s group=%s term=%llu document=%llu leased=%d "
             "kind=%s after_ms=%lld offers=%d behind=%d instances=%d detail=%s",
             (int)s->id.len, s->id.p, (unsigned long long)s->state.session, s->database,
             s->route.group, (unsigned long long)(g ? g->cfg.term : 0),
             (unsigned long long)p->catalog.version, px_leased(p), er_name(kind),
             s->arrived ? (long long)((ck_now() - s->arrived) / 1000) : 0, s->offers,
             count_behind(g, ck_now()), g ? g->cfg.n : 0, detail);
}

static void record_success(struct px_session *s)
{
    int64_t us = ck_now() - s->arrived;
    s->p->c.ok++;
    hi_add(s->writes ? &s->p->latency_write : &s->p->latency_read, us);
}

/* ---- sending ---- */

/* Sends the content of *b and frees it. */
static void send_and_free(struct px_session *s, struct sr_buf *b)
{
    if (s->net)
        nt_send(s->net, b->p, b->len);
    sr_buf_free(b);
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

/* ---- replies ---- */

void px_answer(struct px_session *s, const struct px_conn *c)
{
    struct sr_buf b = {0};
    if (c->error != ER_NONE) {
        record_failure(s, c->error, c->detail);
        put_failure(s, &b, c->error, c->detail);
    } else {
        struct px_msg done = {.kind = PX_DONE, .signature = {c->signature.p, c->signature.len}};
        record_success(s);
        sr_buf_add(&b, c->rows.p, c->rows.len);
        s->p->cfg.codec->put(&b, &done);
    }
    put_ready(s, &b, c->has_pos, c->pos);
    send_and_free(s, &b);
    s->idle_since = ck_now();
    px_session_resume(s);
}

static void send_failure(struct px_session *s, enum er_kind kind, const char *detail)
{
    struct sr_buf b = {0};
    record_failure(s, kind, detail);
    put_failure(s, &b, kind, detail);
    put_ready(s, &b, false, no_pos);
    send_and_free(s, &b);
}

void px_refuse(struct px_session *s, enum er_kind kind, const char *detail)
{
    px_end_work(s);
    send_failure(s, kind, detail);
    s->idle_since = ck_now();
    px_session_resume(s);
}

void px_refuse_relayed(struct px_session *s, enum er_kind kind, const char *detail)
{
    send_failure(s, kind, detail);
}

void px_answer_local(struct px_session *s)
{
    struct sr_buf b = {0};
    struct px_msg done = {.kind = PX_DONE};
    s->p->cfg.codec->put(&b, &done);
    put_ready(s, &b, false, no_pos);
    send_and_free(s, &b);
    s->idle_since = ck_now();
}

void px_greet(struct px_session *s)
{
    struct sr_buf b = {0};
    put_ready(s, &b, false, no_pos);
    send_and_free(s, &b);
}

void px_fail_disconnected(struct px_session *s)
{
    px_fail_and_close(s, ER_NO_LEASE,
                      "this node is disconnected from control; retry at another node at once");
}

static const char *const end_names[PX_END_REASONS] = {
    [PX_END_BY_CALLER] = "caller",
    [PX_END_REFUSED] = "refused",
    [PX_END_MOVED] = "elsewhere",
    [PX_END_NOT_ACCEPTED] = "not_taken",
    [PX_END_HOLDER_CLOSED] = "holder_ends",
    [PX_END_HOLDER_LOST] = "holder_lost",
    [PX_END_HOLDER_SILENT] = "silent",
    [PX_END_NO_HOLDER] = "no_holder",
    [PX_END_QUEUE_FULL] = "not_read",
    [PX_END_TIMEOUT] = "left",
    [PX_END_NOT_READING] = "not_reading",
    [PX_END_NO_MEMORY] = "memory",
    [PX_END_NO_ROOM] = "room",
};

const char *px_end_reason_name(enum px_end_reason why)
{
    return end_names[why];
}

void px_note_dropped(struct px_session *s, size_t bytes)
{
    struct px_proxy *p = s->p;
    p->c.dropped++;
    if (px_may_log(p))
        FL_EVENT(&p->log, LG_INFO, "session_dropped",
                 "session=%llu database=%s relayed=%d why=%s bytes=%zu",
                 (unsigned long long)s->state.session, s->database, s->relay != NULL,
                 end_names[s->end_reason], bytes);
}

void px_note_end(struct px_session *s, enum px_end_reason why)
{
    struct px_proxy *p = s->p;
    bool cut = why != PX_END_BY_CALLER && (s->stage != PX_S_IDLE || px_relay_pending(s));
    s->ended = true;
    s->end_reason = why;
    p->c.ends[why]++;
    p->c.cut += cut;
    if (cut && px_may_log(p))
        FL_EVENT(&p->log, LG_INFO, "session_cut", "session=%llu database=%s relayed=%d why=%s",
                 (unsigned long long)s->state.session, s->database, s->relay != NULL,
                 end_names[why]);
}

void px_close(struct px_session *s, enum px_end_reason why, bool at_once)
{
    px_note_end(s, why);
    nt_close(s->net, at_once);
}

bool px_close_idle(struct px_session *s, enum px_end_reason why)
{
    if (s->ended)
        return true;
    if (!nt_close_if_idle(s->net))
        return false;
    px_note_end(s, why);
    return true;
}

void px_send_refusal(struct px_session *s, enum er_kind kind, const char *detail)
{
    struct sr_buf b = {0};
    if (px_may_log(s->p))
        FL_EVENT(&s->p->log, LG_INFO, "session_refused",
                 "session=%llu database=%s document=%llu kind=%s detail=%s",
                 (unsigned long long)s->state.session, s->database,
                 (unsigned long long)s->p->catalog.version, er_name(kind), detail);
    put_failure(s, &b, kind, detail);
    send_and_free(s, &b);
}

void px_fail_and_close(struct px_session *s, enum er_kind kind, const char *detail)
{
    px_send_refusal(s, kind, detail);
    if (s->net)
        px_close(s, PX_END_REFUSED, false);
}
