/* One statement, from its arrival to its answer: where it goes, when it is tried again, and
 * what its caller is told. */
#include <stdio.h>

#include "proxy/priv.h"

enum {
    /* Waiting for a connection is given up after this share of what the operation should take:
     * a refusal then still leaves its caller time to try another node. */
    WAIT_PERCENT = 70,
    LEAST_WAIT_US = 30000,
    /* A node that is cut off lets a statement wait so long for it to end, then its caller is
     * better served elsewhere. */
    CUT_OFF_PARK_US = 150000,
    PARK_US = 20000,       /* between two looks at what a parked statement waits for */
    BUSY_RETRY_US = 15000, /* an instance's queue was full */
    /* An instance that lacked a position is not asked for one like it so long. Origin: measured
     * days; asked at once again, two lagging replicas cost 600 vain questions a second. */
    BEHIND_FOR_US = 250000,
    /* A read without an answer is asked of another instance after this share of its aim, but
     * not before a few times what a statement takes there. */
    HEDGE_PERCENT = 45,
    HEDGE_TIMES = 4,
};

static struct px_group *group_of(const struct px_session *s)
{
    return px_group(s->p, s->route.group);
}

static bool in_txn(const struct px_session *s)
{
    return s->txn != PX_IDLE;
}

/* Whether running it twice, or having run it in vain, harms nobody. */
static bool repeatable(const struct px_session *s)
{
    return !s->writes && !in_txn(s);
}

/* ---- beginning and ending ---- */

void px_begin_work(struct px_session *s)
{
    struct px_proxy *p = s->p;
    s->arrived = ck_now();
    s->deadline = s->arrived + s->route.limit_us;
    s->attempts = s->offers = 0;
    s->skip = 0;
    s->prev_active = NULL;
    s->next_active = p->active;
    if (p->active)
        p->active->prev_active = s;
    p->active = s;
    p->c.statements++;
    px_route_work(s);
}

void px_end_work(struct px_session *s)
{
    if (s->stage == PX_S_REST)
        return;
    if (s->stage == PX_S_WAITING)
        px_inst_unwait(s->inst, s);
    if (s->prev_active)
        s->prev_active->next_active = s->next_active;
    else
        s->p->active = s->next_active;
    if (s->next_active)
        s->next_active->prev_active = s->prev_active;
    s->prev_active = s->next_active = NULL;
    s->stage = PX_S_REST;
    s->inst = NULL;
}

void px_park(struct px_session *s, int64_t until)
{
    if (s->stage != PX_S_PARKED)
        s->p->c.parked++;
    s->stage = PX_S_PARKED;
    s->retry_at = until;
}

/* ---- routing ---- */

static bool needs_primary(const struct px_session *s)
{
    if (s->writes || (in_txn(s) && !s->read_only))
        return true;
    return s->route.reads == CG_NEWEST;
}

static struct px_candidate candidate(const struct px_session *s, const struct px_inst *in,
                                     int64_t now)
{
    const struct px_group *g = in->group;
    bool idle = in->n_conns > in->busy;
    return (struct px_candidate){
        .usable = px_inst_usable(in, now) && !(s->skip & (1u << in->at)),
        .primary = in->at == g->cfg.primary,
        .free_conn = idle || px_inst_has_room(in, now),
        .waiting = in->busy + in->n_waiters,
        .service_us = in->service_us,
        .distance = rt_distance(s->p->cfg.domain, in->cfg.domain),
        .known = in->known,
        .behind_until = in->behind_until,
    };
}

/* A read that may be old: any instance whose log holds the floor. */
static struct px_inst *place_read(struct px_session *s, struct px_group *g, int64_t now)
{
    struct px_candidate c[VW_MAX_INSTANCES];
    struct ps_pos floor;
    if (!px_age_floor(g, s->route.max_age_us, now, &floor))
        return px_primary(g, now);
    if (s->route.reads == CG_SESSION && strcmp(s->seen_in, g->cfg.name) == 0)
        floor = ps_max(floor, s->seen);
    s->has_floor = true;
    s->floor = floor;
    for (int i = 0; i < g->cfg.n; i++)
        c[i] = candidate(s, g->inst[i], now);
    int i = px_place(c, g->cfg.n, true, floor, now, &s->p->rng);
    return i < 0 ? NULL : g->inst[i];
}

static struct px_inst *place(struct px_session *s, struct px_group *g, int64_t now)
{
    s->has_floor = false;
    if (!needs_primary(s)) {
        struct px_inst *in = place_read(s, g, now);
        /* The primary of a term in force misses nothing: a position that was lost with the term
         * before must not keep the session from reading. */
        if (in && in == px_primary(g, now))
            s->has_floor = false;
        return in;
    }
    struct px_inst *in = px_primary(g, now);
    return in && px_inst_usable(in, now) ? in : NULL;
}

void px_route_work(struct px_session *s)
{
    int64_t now = ck_now();
    if (s->conn) { /* its transaction is there */
        px_conn_run(s->conn, s);
        return;
    }
    struct px_group *g = group_of(s);
    struct px_inst *in = g ? place(s, g, now) : NULL;
    if (!in) {
        s->skip = 0; /* nobody is left: all may be asked again */
        px_park(s, now + PARK_US);
        return;
    }
    px_inst_take(in, s);
}

/* Another try, at once or later, if the attempts allow. */
static bool again(struct px_session *s, int64_t after_us, bool counts)
{
    if (counts && ++s->attempts >= s->route.attempts)
        return false;
    s->p->c.retries++;
    px_park(s, ck_now() + after_us);
    if (after_us == 0)
        px_route_work(s);
    return true;
}

/* ---- answers ---- */

static void note_commit(struct px_session *s, const struct px_conn *c)
{
    bool commits = s->stmt.verb == PX_V_COMMIT ? s->wrote : s->writes && !in_txn(s);
    if (!commits || !c->has_pos)
        return;
    bool same = strcmp(s->seen_in, s->route.group) == 0;
    s->seen = same ? ps_max(s->seen, c->pos) : c->pos;
    sr_copy(s->seen_in, sizeof(s->seen_in), sr_from(s->route.group));
}

static void count_read(struct px_session *s, const struct px_conn *c)
{
    if (s->writes || s->stmt.verb == PX_V_COMMIT)
        return;
    bool primary = c->inst->at == c->inst->group->cfg.primary;
    s->p->c.reads_primary += primary;
    s->p->c.reads_replica += !primary;
}

static void in_txn_answered(struct px_session *s, struct px_conn *c)
{
    bool ends = s->stmt.verb == PX_V_COMMIT;
    if (c->error == ER_NONE)
        s->wrote = s->wrote || s->writes;
    s->txn = ends ? PX_IDLE : c->state;
    if (!ends && c->state == PX_IDLE)
        s->txn = PX_TXN_FAILED; /* it is not open there any more: nothing of it is kept */
    bool open = c->state != PX_IDLE;
    s->conn = NULL;
    px_end_work(s);
    if (s->txn != PX_IDLE && open) {
        s->conn = c;
        c->phase = PX_C_RESTING;
        px_answer(s, c);
        px_inst_pump(c->inst);
        return;
    }
    s->lost = s->txn != PX_IDLE;
    c->session = NULL;
    px_answer(s, c);
    if (open)
        px_conn_rollback(c);
    else
        px_conn_idle(c);
}

static void let_go(struct px_session *s, struct px_conn *c)
{
    s->conn = NULL;
    c->session = NULL;
    if (c->state == PX_IDLE)
        px_conn_idle(c);
    else
        px_conn_rollback(c);
}

/* The instance said no before it ran anything, or a read failed there: somewhere else. */
static bool try_elsewhere(struct px_session *s, struct px_conn *c)
{
    struct px_inst *in = c->inst;
    int64_t now = ck_now();
    bool primary_only = needs_primary(s);
    FL_DBG(&s->p->log, "request %.*s session %llu: instance %s answers %s; attempt %d",
           (int)s->id.len, s->id.p, (unsigned long long)s->state.session, in->cfg.id,
           er_name(c->error), s->attempts + 1);
    switch (c->error) {
    case ER_BEHIND:
        s->p->c.behind++;
        s->skip |= 1u << in->at;
        in->behind_until = now + BEHIND_FOR_US;
        let_go(s, c);
        return again(s, 0, false);
    case ER_BUSY:
        if (s->attempts + 1 >= s->route.attempts)
            return false;
        if (!primary_only)
            s->skip |= 1u << in->at;
        let_go(s, c);
        return again(s, primary_only ? BUSY_RETRY_US : 0, true);
    case ER_TERM:
        if (!primary_only)
            return false;
        in->group->primary_refused = now;
        px_inst_suspect(in, WR_REFUSED);
        let_go(s, c);
        return again(s, PARK_US, false);
    case ER_NO_STATEMENT:
        if (s->attempts + 1 >= s->route.attempts)
            return false;
        s->conn = NULL;
        c->session = NULL;
        px_conn_close(c); /* what it has prepared is not what we thought */
        return again(s, 0, true);
    case ER_FAILED:
    case ER_TIMEOUT:
        if (s->writes || s->attempts + 1 >= s->route.attempts)
            return false;
        if (!primary_only)
            s->skip |= 1u << in->at;
        let_go(s, c);
        return again(s, 0, true);
    default:
        return false;
    }
}

void px_answered(struct px_session *s, struct px_conn *c)
{
    if (in_txn(s)) {
        count_read(s, c);
        if (c->error == ER_NONE)
            note_commit(s, c);
        in_txn_answered(s, c);
        return;
    }
    if (c->error != ER_NONE && try_elsewhere(s, c))
        return;
    count_read(s, c);
    if (c->error == ER_NONE)
        note_commit(s, c);
    s->conn = NULL;
    px_end_work(s);
    c->session = NULL;
    px_answer(s, c);
    if (c->state == PX_IDLE)
        px_conn_idle(c);
    else
        px_conn_rollback(c);
}

/* ---- what goes wrong on the way ---- */

void px_not_sent(struct px_session *s, struct px_conn *c, enum er_kind why)
{
    struct px_inst *in = c->inst;
    if (why == ER_BEHIND) {
        s->p->c.behind++;
        in->behind_until = ck_now() + BEHIND_FOR_US;
        s->skip |= 1u << in->at;
    } else if (why == ER_TERM) {
        in->group->primary_refused = ck_now();
        px_inst_suspect(in, WR_REFUSED);
    } else if (!needs_primary(s)) {
        s->skip |= 1u << in->at;
    }
    again(s, why == ER_BEHIND ? 0 : PARK_US, false);
}

/* A transaction's connection is gone: it was rolled back, unless its commit was under way. */
static void txn_lost(struct px_session *s, bool sent)
{
    bool commit = sent && s->stmt.verb == PX_V_COMMIT && s->wrote;
    bool ended = s->stage != PX_S_REST && s->stmt.verb == PX_V_COMMIT;
    if (s->stage == PX_S_REST) { /* between two statements: the next one is told */
        s->txn = PX_TXN_FAILED;
        s->lost = true;
        return;
    }
    s->txn = ended ? PX_IDLE : PX_TXN_FAILED;
    s->lost = !ended;
    px_refuse(s, commit ? ER_LOST : ER_ABORTED,
              commit ? "the connection was lost with the commit on its way"
                     : "the connection was lost; nothing of the transaction is kept");
}

void px_lost(struct px_session *s, struct px_conn *c, bool sent)
{
    struct px_inst *in = c->inst;
    s->p->c.lost += sent;
    if (in_txn(s) && s->begun) {
        txn_lost(s, sent);
        return;
    }
    if (!needs_primary(s))
        s->skip |= 1u << in->at;
    if (!sent) {
        again(s, 0, false);
        return;
    }
    if (s->writes) {
        px_refuse(s, ER_LOST, "the connection was lost with the write on its way");
        return;
    }
    if (!again(s, 0, true))
        px_refuse(s, ER_OVERLOAD, "no instance answered the read; retry in 100 ms");
}

void px_drop_txn(struct px_session *s)
{
    struct px_conn *c = s->conn;
    s->conn = NULL;
    if (!c)
        return;
    if (c->phase == PX_C_RESTING)
        px_conn_rollback(c);
    else
        px_conn_orphan(c);
}

/* ---- time ---- */

/* The time is up while its answer is out. */
static void expire_at_instance(struct px_session *s)
{
    struct px_conn *c = s->conn;
    bool sent = c->phase == PX_C_RUNNING;
    if (in_txn(s) && s->begun) {
        bool commit = s->stmt.verb == PX_V_COMMIT;
        bool open = commit && s->wrote && sent;
        s->conn = NULL;
        c->session = NULL;
        if (commit)
            px_conn_orphan(c);
        else
            px_conn_close(c); /* which rolls back */
        s->txn = commit ? PX_IDLE : PX_TXN_FAILED;
        s->lost = !commit;
        px_refuse(s, open ? ER_TIMEOUT : ER_ABORTED,
                  open ? "no answer to the commit in its time"
                       : "no answer in its time; the transaction was rolled back");
        return;
    }
    s->conn = NULL;
    px_conn_orphan(c);
    if (!sent)
        px_refuse(s, ER_DEADLINE, "not sent in its time; retry in 100 ms");
    else
        px_refuse(s, ER_TIMEOUT, "no answer in its time");
}

static void expire(struct px_session *s)
{
    if (s->stage == PX_S_AT_INSTANCE && s->conn)
        expire_at_instance(s);
    else
        px_refuse(s, ER_DEADLINE, "no instance could take it in its time; retry in 200 ms");
}

static int64_t patience(const struct px_session *s)
{
    int64_t by_aim = s->route.aim_us * HEDGE_PERCENT / 100;
    int64_t by_pace = s->inst->service_us * HEDGE_TIMES;
    return by_aim > by_pace ? by_aim : by_pace;
}

/* A read that got no answer for long is asked of another instance; its first answer is not
 * waited for. */
static void hedge(struct px_session *s, int64_t now)
{
    struct px_conn *c = s->conn;
    if (!repeatable(s) || needs_primary(s) || s->attempts + 1 >= s->route.attempts)
        return;
    if (c->phase != PX_C_RUNNING || now - s->sent_at < patience(s))
        return;
    s->skip |= 1u << c->inst->at;
    s->conn = NULL;
    px_conn_orphan(c);
    again(s, 0, true);
}

static int64_t longest_wait(const struct px_session *s)
{
    int64_t us = s->route.aim_us * WAIT_PERCENT / 100;
    return us > LEAST_WAIT_US ? us : LEAST_WAIT_US;
}

/* Where it waits no connection comes free; another instance may have one. */
static void wait_tick(struct px_session *s, int64_t now)
{
    enum { MOVE_US = 20000 };
    if (now - s->arrived > longest_wait(s)) {
        px_refuse(s, ER_OVERLOAD, "no connection to the database is free; retry in 100 ms");
        return;
    }
    bool usable = px_inst_usable(s->inst, now);
    bool may_move = !needs_primary(s) && now - s->waiting_since > MOVE_US;
    if (usable && !may_move)
        return;
    px_inst_unwait(s->inst, s);
    px_park(s, now);
    px_route_work(s);
}

void px_work_tick(struct px_session *s, int64_t now)
{
    if (now > s->deadline)
        expire(s);
    else if (s->stage == PX_S_PARKED && px_cut_off(s->p, now) &&
             now - s->arrived > CUT_OFF_PARK_US)
        px_refuse(s, ER_NO_LEASE, "this node is cut off; another may serve it, in 50 ms");
    else if (s->stage == PX_S_PARKED && now >= s->retry_at)
        px_route_work(s);
    else if (s->stage == PX_S_WAITING)
        wait_tick(s, now);
    else if (s->stage == PX_S_AT_INSTANCE && s->conn)
        hedge(s, now);
}
