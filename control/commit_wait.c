/* Outside requests that wait until the log has what they asked for. */
#include "control/control.h"
#include "misc/clock.h"

/* Callers give up on a node after a second without an answer; what comes later is not read. */
enum { WAIT_US = 3000000 };

bool ct_may_answer(const struct ct_node *n, struct er_err *err)
{
    if (n->leading && ct_quorum_confirmed(n))
        return true;
    const char *ip = ct_leader_ip(n);
    if (ip[0] && qr_role(n->q) != QR_LEADER)
        return er_set(err, ER_NOT_LEADER, "%s leads", ip);
    return er_set(err, ER_NO_QUORUM, "no leader is known that a quorum vouches for");
}

const char *ct_leader_ip(const struct ct_node *n)
{
    const struct qr_members *m = qr_members(n->q);
    uint64_t id = qr_leader(n->q);
    for (uint32_t i = 0; i < m->n; i++) {
        if (m->m[i].id == id)
            return m->m[i].ip;
    }
    return "";
}

static void finish(struct ct_commit_wait *o, const struct er_err *err)
{
    struct nt_conn *c = o->conn;
    o->index = 0;
    o->conn = NULL;
    if (c)
        o->done(o->node, c, err);
}

static void on_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    struct ct_commit_wait *o = ud;
    (void)c;
    (void)opened;
    (void)refused;
    o->conn = NULL;
}

static const struct nt_ops closing = {NULL, NULL, on_close};

void ct_await_commit(struct ct_node *n, struct nt_conn *c, uint64_t index,
                     void (*done)(struct ct_node *, struct nt_conn *, const struct er_err *))
{
    for (int i = 0; i < CT_MAX_COMMIT_WAITS; i++) {
        struct ct_commit_wait *o = &n->commit_waits[i];
        if (o->index)
            continue;
        *o = (struct ct_commit_wait){n, c, index, qr_term(n->q), ck_now() + WAIT_US, done};
        nt_http_watch(c, &closing, o);
        return;
    }
    struct er_err err = {0};
    er_set(&err, ER_OVERLOAD, "%d requests wait for the log", CT_MAX_COMMIT_WAITS);
    done(n, c, &err);
}

void ct_commit_waits_applied(struct ct_node *n, const struct qr_entry *e)
{
    for (int i = 0; i < CT_MAX_COMMIT_WAITS; i++) {
        struct ct_commit_wait *o = &n->commit_waits[i];
        struct er_err err = {0};
        if (!o->index || o->index > e->index)
            continue;
        if (o->index != e->index || o->term != e->term)
            er_set(&err, ER_NO_QUORUM, "another entry stands at its place in the log");
        finish(o, &err);
    }
}

static void give_up(struct ct_commit_wait *o, const char *why)
{
    struct er_err err = {0};
    er_set(&err, ER_NO_QUORUM, "%s; it may be in force or not", why);
    finish(o, &err);
}

void ct_commit_waits_abort(struct ct_node *n)
{
    for (int i = 0; i < CT_MAX_COMMIT_WAITS; i++) {
        if (n->commit_waits[i].index)
            give_up(&n->commit_waits[i], "this node does not lead any more");
    }
}

void ct_commit_waits_tick(struct ct_node *n, int64_t now)
{
    for (int i = 0; i < CT_MAX_COMMIT_WAITS; i++) {
        if (n->commit_waits[i].index && now > n->commit_waits[i].until)
            give_up(&n->commit_waits[i], "not committed in time");
    }
}
