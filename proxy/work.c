/* Routes a statement to an instance and retries it. outcome.c handles its outcome. */
#include "proxy/priv.h"

enum {
    /* A statement that waits for a connection is refused after this share of the operation's
     * latency target, so that its caller still has time to try another node. */
    WAIT_PERCENT = 70,
    MIN_WAIT_US = 30000,
    MOVE_READ_AFTER_US = 20000, /* a read that waits longer may move to another instance */
    /* A read without an answer is also sent to another instance (hedged) after this share of
     * its latency target, but not before a multiple of the instance's service time. */
    HEDGE_PERCENT = 45,
    HEDGE_SERVICE_TIMES = 4,
};

/* Whether the statement may be run twice, or run without its answer being used. */
static bool repeatable(const struct px_session *s)
{
    return !s->writes && !px_in_txn(s);
}

/* ---- start and end ---- */

void px_stage_done(struct px_session *s, enum px_latency_stage stage)
{
    int64_t now = ck_now();
    px_stages_add(&s->p->stages, stage, now - s->stage_since);
    s->stage_since = now;
}

void px_begin_work(struct px_session *s)
{
    struct px_proxy *p = s->p;
    s->arrived = s->stage_since = ck_now();
    s->deadline = s->arrived + s->route.timeout_us;
    s->attempts = s->offers = 0;
    s->skip_mask = 0;
    s->pace_kind = px_statement_kind(sr_from(s->database), s->writes);
    s->prev_active = NULL;
    s->next_active = p->active;
    if (p->active)
        p->active->prev_active = s;
    p->active = s;
    p->c.statements++;
    s->stage = PX_S_STARTED;
    px_route_work(s);
}

void px_end_work(struct px_session *s)
{
    if (s->stage == PX_S_IDLE)
        return;
    if (s->stage == PX_S_WAITING)
        px_inst_dequeue(s->inst, s);
    if (s->prev_active)
        s->prev_active->next_active = s->next_active;
    else
        s->p->active = s->next_active;
    if (s->next_active)
        s->next_active->prev_active = s->prev_active;
    s->prev_active = s->next_active = NULL;
    s->stage = PX_S_IDLE;
    s->inst = NULL;
    px_ahead_ended(s);
}

void px_park(struct px_session *s, int64_t until)
{
    if (s->stage != PX_S_PARKED)
        s->p->c.parked++;
    s->stage = PX_S_PARKED;
    s->retry_at = until;
}

/* ---- routing ---- */

bool px_needs_primary(const struct px_session *s)
{
    if (s->writes || (px_in_txn(s) && !s->txn_read_only))
        return true;
    return s->route.reads == CG_NEWEST;
}

static struct px_candidate candidate(const struct px_session *s, const struct px_inst *in,
                                     int64_t now)
{
    const struct px_group *g = in->group;
    /* With accounts, room for one more connection does not count as a free one: it would first
     * have to be opened for the account. */
    bool accounts = px_has_accounts(in->p);
    bool idle = accounts ? px_inst_has_idle_conn(in, s) : px_inst_has_free_conn(in);
    return (struct px_candidate){
        .usable = px_inst_usable(in, now) && !(s->skip_mask & (1u << in->index)),
        .primary = in->index == g->cfg.primary,
        .has_conn = idle || (!accounts && px_inst_has_room(in, now)),
        /* A transaction that is idle between two statements holds a connection but no execution
         * slot. */
        .outstanding = px_inst_running(in) + in->n_waiters,
        .service_us =
            px_service_time_expect(&g->service_times, s->pace_kind, in->service_factor),
        .failure_rate = px_outlier_failure_rate(&in->outlier, now),
        .distance = rt_distance(s->p->cfg.domain, in->cfg.domain),
        .known_pos = in->known_pos,
        .behind_until = in->behind_until,
    };
}

/* Chooses an instance for a read that accepts old data: any whose log holds the floor. */
static struct px_inst *choose_for_read(struct px_session *s, struct px_group *g, int64_t now)
{
    struct px_candidate c[VW_MAX_INSTANCES];
    struct ps_pos floor;
    if (!px_age_floor(g, s->route.max_age_us, now, &floor))
        return px_serving_primary(g, now);
    if (s->route.reads == CG_SESSION &&
        !px_own_commit_floor(&s->own_commits, g, now - s->route.max_age_us, &floor)) {
        s->p->c.reads_untracked++;
        return px_serving_primary(g, now);
    }
    s->has_floor = true;
    s->floor = floor;
    for (int i = 0; i < g->cfg.n; i++)
        c[i] = candidate(s, g->inst[i], now);
    int i = px_choose_instance(c, g->cfg.n, true, floor, now, &s->p->rng);
    for (int k = 0; i < 0 && k < g->cfg.n; k++)
        px_inst_request_share(g->inst[k], now);
    return i < 0 ? NULL : g->inst[i];
}

static struct px_inst *choose_instance(struct px_session *s, struct px_group *g, int64_t now)
{
    s->has_floor = false;
    if (!px_needs_primary(s)) {
        struct px_inst *in = choose_for_read(s, g, now);
        /* The primary of a term in force has everything, so no floor applies there: a position
         * that was lost with the previous term must not keep the session from reading. */
        if (in && in == px_serving_primary(g, now))
            s->has_floor = false;
        return in;
    }
    struct px_inst *in = px_serving_primary(g, now);
    if (in && !px_inst_usable(in, now))
        px_inst_request_share(in, now);
    return in && px_inst_usable(in, now) ? in : NULL;
}

void px_route_work(struct px_session *s)
{
    int64_t now = ck_now();
    enum lm_verdict permit = px_permit_take(s);
    if (permit == LM_REFUSE) {
        px_refuse_over_limit(s);
        return;
    }
    if (permit == LM_WAIT) {
        px_park(s, now + PX_PARK_US);
        return;
    }
    if (s->conn) { /* pinned by its transaction */
        px_conn_run(s->conn, s);
        return;
    }
    struct px_group *g = px_session_group(s);
    struct px_inst *in = g ? choose_instance(s, g, now) : NULL;
    if (!in) {
        s->skip_mask = 0; /* no instance is left: allow all of them again */
        px_park(s, now + PX_PARK_US);
        return;
    }
    px_inst_submit(in, s);
}

bool px_retry(struct px_session *s, int64_t after_us, bool counts)
{
    if (counts && ++s->attempts >= s->route.attempts)
        return false;
    if (counts)
        px_permit_charge_retry(s);
    s->p->c.retries++;
    px_park(s, ck_now() + after_us);
    if (after_us == 0)
        px_route_work(s);
    return true;
}

bool px_last_try(const struct px_session *s)
{
    return s->attempts + 1 >= s->route.attempts;
}

/* ---- time limits ---- */

static int64_t hedge_delay_us(const struct px_session *s)
{
    int64_t by_target = s->route.target_us * HEDGE_PERCENT / 100;
    int64_t by_service_time = s->inst->service_us * HEDGE_SERVICE_TIMES;
    return by_target > by_service_time ? by_target : by_service_time;
}

/* Sends a read that got no answer for long to another instance. The answer of the first one is
 * discarded. */
static void hedge(struct px_session *s)
{
    struct px_conn *c = s->conn;
    if (!repeatable(s) || px_needs_primary(s) || px_last_try(s))
        return;
    if (c->phase != PX_C_RUNNING || px_received_until(s->p) - s->sent_at < hedge_delay_us(s))
        return;
    s->skip_mask |= 1u << c->inst->index;
    s->conn = NULL;
    px_conn_orphan(c);
    px_retry(s, 0, true);
}

static int64_t max_wait_us(const struct px_session *s)
{
    int64_t us = s->route.target_us * WAIT_PERCENT / 100;
    return us > MIN_WAIT_US ? us : MIN_WAIT_US;
}

/* Refuses a statement that waited too long for a connection, or moves a read to another
 * instance that may have a free one. */
static void wait_tick(struct px_session *s, int64_t now)
{
    if (px_received_until(s->p) - s->arrived > max_wait_us(s)) {
        if (s->inst->index == s->inst->group->cfg.primary)
            s->inst->group->wait_failed_at = now;
        px_refuse(s, ER_OVERLOAD, "no connection to the database is free; retry in 100 ms");
        return;
    }
    bool usable = px_inst_usable(s->inst, now);
    bool may_move = !px_needs_primary(s) && now - s->waiting_since > MOVE_READ_AFTER_US;
    if (usable && !may_move)
        return;
    px_inst_dequeue(s->inst, s);
    px_park(s, now);
    px_route_work(s);
}

/* A sent statement may have an answer that is not read yet, so its deadline is checked against
 * the input read so far; one that was not sent has no time left to be sent. */
static bool expired(const struct px_session *s, int64_t now)
{
    bool sent = s->stage == PX_S_AT_INSTANCE && s->conn && s->conn->phase == PX_C_RUNNING;
    return (sent ? px_received_until(s->p) : now) > s->deadline;
}

void px_work_tick(struct px_session *s, int64_t now)
{
    if (expired(s, now))
        px_expire(s);
    else if (s->stage == PX_S_PARKED && px_disconnected(s->p))
        px_refuse(s, ER_NO_LEASE,
                  "this node is disconnected from control; retry at another node at once");
    else if (s->permit == PX_PERMIT_NEEDED &&
             px_received_until(s->p) - s->arrived > max_wait_us(s))
        px_refuse(s, ER_LIMIT, "no permit for the account was received; retry in 200 ms");
    else if (s->stage == PX_S_PARKED && now >= s->retry_at)
        px_route_work(s);
    else if (s->stage == PX_S_WAITING)
        wait_tick(s, now);
    else if (s->stage == PX_S_AT_INSTANCE && s->conn)
        hedge(s);
}
