/* Outside requests that wait until the entry of the log that they caused is committed. */
#include "control/control.h"
#include "misc/clock.h"

/* Requesters disconnect from a node after 1 s without an answer and read no later one. */
enum { COMMIT_TIMEOUT_US = 3000000 };

bool ct_may_answer(const struct ct_node *n, struct er_err *err)
{
    if (n->leading && ct_quorum_confirmed(n))
        return true;
    const char *ip = ct_leader_ip(n);
    if (ip[0] && qr_role(n->q) != QR_LEADER)
        return er_set(err, ER_NOT_LEADER, "%s leads", ip);
    return er_set(err, ER_NO_QUORUM, "no leader confirmed by a quorum is known");
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

static void answer(struct ct_commit_wait *w, const struct er_err *err)
{
    struct nt_conn *c = w->conn;
    w->index = 0;
    w->conn = NULL;
    if (c)
        w->done(w->node, c, err);
}

static void on_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    struct ct_commit_wait *w = ud;
    (void)c;
    (void)opened;
    (void)refused;
    w->conn = NULL;
}

static const struct nt_ops close_ops = {NULL, NULL, on_close};

void ct_await_commit(struct ct_node *n, struct nt_conn *c, uint64_t index,
                     void (*done)(struct ct_node *, struct nt_conn *, const struct er_err *))
{
    for (int i = 0; i < CT_MAX_COMMIT_WAITS; i++) {
        struct ct_commit_wait *w = &n->commit_waits[i];
        if (w->index)
            continue;
        *w = (struct ct_commit_wait){n,   c, index, qr_term(n->q), ck_now() + COMMIT_TIMEOUT_US,
                                     done};
        nt_http_watch(c, &close_ops, w);
        return;
    }
    struct er_err err = {0};
    er_set(&err, ER_OVERLOAD, "%d requests already wait for a commit", CT_MAX_COMMIT_WAITS);
    done(n, c, &err);
}

void ct_commit_waits_applied(struct ct_node *n, const struct qr_entry *e)
{
    for (int i = 0; i < CT_MAX_COMMIT_WAITS; i++) {
        struct ct_commit_wait *w = &n->commit_waits[i];
        struct er_err err = {0};
        if (!w->index || w->index > e->index)
            continue;
        if (w->index != e->index || w->term != e->term)
            er_set(&err, ER_NO_QUORUM, "another entry has its index in the log");
        answer(w, &err);
    }
}

/* Ends a wait whose entry may still be committed by a later leader. */
static void give_up(struct ct_commit_wait *w, const char *why)
{
    struct er_err err = {0};
    er_set(&err, ER_NO_QUORUM, "%s; the change may or may not be committed", why);
    answer(w, &err);
}

void ct_commit_waits_abort(struct ct_node *n)
{
    for (int i = 0; i < CT_MAX_COMMIT_WAITS; i++) {
        if (n->commit_waits[i].index)
            give_up(&n->commit_waits[i], "this node no longer leads");
    }
}

void ct_commit_waits_tick(struct ct_node *n, int64_t now)
{
    for (int i = 0; i < CT_MAX_COMMIT_WAITS; i++) {
        if (n->commit_waits[i].index && now > n->commit_waits[i].until)
            give_up(&n->commit_waits[i], "not committed in time");
    }
}
