/* Adds, promotes and removes members of the quorum without an operator: the leader carries out
 * what member/ decides. Also sends the addresses of the control nodes to connected processes.
 */
#include <xxhash.h>

#include "control/control.h"
#include "member/member.h"
#include "misc/clock.h"

enum { MEMBER_INTERVAL_US = 100000 };

static void add_members(struct ct_node *n, struct mb_state *s, int64_t now)
{
    const struct qr_members *m = qr_members(n->q);
    for (uint32_t i = 0; i < m->n; i++) {
        const struct qr_member *x = &m->m[i];
        bool self = x->id == n->id;
        uint64_t match = qr_match(n->q, x->id);
        s->node[s->n++] =
            (struct mb_node){.id = x->id,
                             .ip = x->ip,
                             .member = true,
                             .voter = x->voter,
                             .connected = self,
                             .caught_up = match > 0 && match >= qr_commit(n->q),
                             .silent_us = self ? 0 : now - qr_last_contact(n->q, x->id)};
    }
}

static bool has_node(const struct mb_state *s, uint64_t id)
{
    for (int i = 0; i < s->n; i++) {
        if (s->node[i].id == id)
            return true;
    }
    return false;
}

static struct ct_conn *control_conn(struct ct_node *n, uint64_t id)
{
    for (struct ct_conn *c = n->conns; c; c = c->next) {
        if (c->greeted && c->role == WR_ROLE_CONTROL && c->id == id)
            return c;
    }
    return NULL;
}

static void add_non_members(struct ct_node *n, struct mb_state *s)
{
    for (struct ct_conn *c = n->conns; c && s->n < MB_MAX_NODES; c = c->next) {
        if (!c->greeted || c->role != WR_ROLE_CONTROL || has_node(s, c->id))
            continue;
        s->node[s->n++] = (struct mb_node){.id = c->id, .ip = c->ip, .connected = true};
    }
}

static bool add_learner(struct ct_node *n, uint64_t id, int64_t now, struct er_err *err)
{
    const struct ct_conn *c = control_conn(n, id);
    struct qr_member m = {.id = id, .port = c->port};
    sr_copy(m.name, sizeof(m.name), sr_from(c->name));
    sr_copy(m.ip, sizeof(m.ip), sr_from(c->ip));
    sr_copy(m.domain, sizeof(m.domain), sr_from(c->domain));
    return qr_add_learner(n->q, &m, now, err);
}

static void apply_action(struct ct_node *n, const struct mb_action *a, int64_t now)
{
    static const char *const names[] = {"", "learns", "votes", "removed"};
    struct er_err err = {0};
    bool ok = true;
    switch (a->step) {
    case MB_NONE:
        return;
    case MB_ADD:
        ok = add_learner(n, a->id, now, &err);
        break;
    case MB_VOTER:
        ok = qr_promote_learner(n->q, a->id, now, &err);
        break;
    case MB_REMOVE:
        ok = qr_remove(n->q, a->id, now, &err);
        break;
    }
    if (ok)
        FL_EVENT(&n->log, LG_INFO, "member_changed", "member=%llx step=%s why=%s",
                 (unsigned long long)a->id, names[a->step], a->why);
    else
        FL_DBG(&n->log, "member %llx: %s; will be retried", (unsigned long long)a->id,
               err.text);
}

void ct_members_tick(struct ct_node *n, int64_t now)
{
    if (!n->s->registers || now < n->next_member_tick)
        return;
    n->next_member_tick = now + MEMBER_INTERVAL_US;
    for (struct ct_conn *c = n->conns; c; c = c->next)
        ct_send_controls(c);
    if (!n->leading || !ct_quorum_confirmed(n))
        return;
    struct mb_state s = {.self = n->id, .tolerates = n->s->tolerates};
    add_members(n, &s, now);
    add_non_members(n, &s);
    struct mb_action a = mb_next(&s);
    apply_action(n, &a, now);
}

void ct_send_controls(struct ct_conn *c)
{
    struct ct_node *n = c->node;
    const struct qr_members *m = qr_members(n->q);
    struct wr_node nodes[QR_MAX_MEMBERS];
    uint64_t hash = 1;
    if (!n->s->registers || !c->greeted || m->n == 0)
        return;
    for (uint32_t i = 0; i < m->n; i++) {
        nodes[i] = (struct wr_node){.name = sr_from(m->m[i].name),
                                    .domain = sr_from(m->m[i].domain),
                                    .ip = sr_from(m->m[i].ip),
                                    .port = (uint32_t)m->m[i].port};
        hash += XXH64(m->m[i].ip, strlen(m->m[i].ip), m->m[i].id);
    }
    if (hash == c->sent_controls_hash)
        return;
    c->sent_controls_hash = hash;
    struct wr_msg msg = {.type = WR_CONTROLS, .nodes = {m->n, nodes}};
    ct_send_conn(c, &msg);
}
