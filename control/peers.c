/* Sockets between processes: those that others opened to us, and ours to other control nodes.
 */
#include <stdlib.h>

#include "control/control.h"
#include "misc/clock.h"

enum { RECONNECT_US = 100000, MAX_QUEUED_TO_PEER = 4 << 20 };

static void send_on(struct nt_conn *net, const struct wr_msg *m)
{
    struct sr_buf b = {0};
    wr_encode(&b, m);
    nt_send(net, b.p, b.len);
    sr_buf_free(&b);
}

void ct_send_conn(struct ct_conn *c, const struct wr_msg *m)
{
    if (c->net)
        send_on(c->net, m);
}

/* ---- our connections to other control nodes ---- */

static struct ct_peer *peer_of(struct ct_node *n, uint64_t id)
{
    for (struct ct_peer *p = n->peers; p; p = p->next) {
        if (p->m.id == id)
            return p;
    }
    return NULL;
}

/* A peer that can't take messages loses them: the core sends anew what matters. */
void ct_send_peer(struct ct_node *n, uint64_t id, const struct wr_msg *m)
{
    struct ct_peer *p = peer_of(n, id);
    if (p && p->net && p->open && nt_queued(p->net) < MAX_QUEUED_TO_PEER)
        send_on(p->net, m);
}

static void hello(struct ct_node *n, struct nt_conn *net, uint64_t expect)
{
    struct wr_msg m = {.type = WR_HELLO};
    m.hello = (struct wr_hello){.version = WR_VERSION,
                                .cluster = sr_from(n->s->cluster),
                                .name = sr_from(n->s->name),
                                .domain = sr_from(n->s->domain),
                                .ip = sr_from(n->s->control_ip),
                                .port = (uint32_t)n->s->control_port,
                                .role = WR_ROLE_CONTROL,
                                .id = n->id,
                                .expect = expect};
    send_on(net, &m);
}

static void peer_open(struct nt_conn *net, void *ud)
{
    struct ct_peer *p = ud;
    p->open = true;
    hello(p->node, net, p->m.id);
}

static void peer_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    /* Answers come on the other side's own connection. */
    (void)net;
    (void)ud;
    (void)data;
    (void)len;
}

static void peer_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct ct_peer *p = ud;
    (void)net;
    (void)opened;
    (void)refused;
    p->net = NULL;
    p->open = false;
    p->next_try = ck_now() + RECONNECT_US;
}

static const struct nt_ops peer_ops = {peer_open, peer_message, peer_close};

static struct ct_peer *peer_add(struct ct_node *n, const struct qr_member *m)
{
    struct ct_peer *p = sr_alloc(sizeof(*p));
    p->node = n;
    p->m = *m;
    p->next = n->peers;
    n->peers = p;
    return p;
}

void ct_peers_sync(struct ct_node *n)
{
    const struct qr_members *ms = qr_members(n->q);
    for (uint32_t i = 0; i < ms->n; i++) {
        if (ms->m[i].id == n->id)
            continue;
        struct ct_peer *p = peer_of(n, ms->m[i].id);
        if (!p)
            p = peer_add(n, &ms->m[i]);
        p->m = ms->m[i];
    }
}

void ct_peers_tick(struct ct_node *n, int64_t now)
{
    ct_peers_sync(n);
    for (struct ct_peer *p = n->peers; p; p = p->next) {
        if (!p->net && now >= p->next_try)
            p->net = nt_connect(n->loop, p->m.ip, p->m.port, true, &peer_ops, p);
    }
}

/* ---- connections that others opened ---- */

static void refuse(struct ct_conn *c, const char *why)
{
    c->node->c.wrong_cluster++;
    FL_WARN(&c->node->log, "a peer is refused: %s", why);
    nt_close(c->net, true);
}

static void on_hello(struct ct_conn *c, const struct wr_hello *h)
{
    struct ct_node *n = c->node;
    if (h->version != WR_VERSION) {
        refuse(c, "it speaks another version");
        return;
    }
    if (!sr_eq(h->cluster, sr_from(n->s->cluster))) {
        refuse(c, "it belongs to another cluster");
        return;
    }
    if (h->expect && h->expect != n->id) {
        refuse(c, "it expects another identity: this data folder is not the one it knew");
        return;
    }
    if (!sr_copy(c->name, sizeof(c->name), h->name) ||
        !sr_copy(c->domain, sizeof(c->domain), h->domain) ||
        !sr_copy(c->ip, sizeof(c->ip), h->ip) || h->id == 0) {
        refuse(c, "its greeting is wrong");
        return;
    }
    c->greeted = true;
    c->role = h->role;
    c->id = h->id;
    c->port = (int)h->port;
    if (c->role == WR_ROLE_CONTROL && !peer_of(n, c->id)) {
        struct qr_member m = {.id = c->id, .port = c->port};
        sr_copy(m.name, sizeof(m.name), sr_from(c->name));
        sr_copy(m.ip, sizeof(m.ip), sr_from(c->ip));
        peer_add(n, &m); /* a node without members yet must be able to answer */
    }
}

static void from_control(struct ct_conn *c, const struct wr_msg *m)
{
    struct ct_node *n = c->node;
    if (m->type == WR_QUORUM && m->quorum.from == c->id)
        qr_receive(n->q, &m->quorum, ck_now());
    else if (m->type == WR_PROBES)
        ct_probes(c, &m->probes);
}

static void from_entry(struct ct_conn *c, const struct wr_msg *m)
{
    struct ct_node *n = c->node;
    switch (m->type) {
    case WR_RENEW:
        ct_renewed(c, &m->renew);
        break;
    case WR_ACK:
        if (n->leading) {
            ls_acked(&n->giver, c->id, m->ack);
            for (int i = 0; i < n->n_groups; i++)
                if (n->groups[i]->phase != VW_SERVING)
                    ct_group_tick(n, n->groups[i]);
        }
        break;
    case WR_CHECKED:
        ct_checked(n, &m->check);
        break;
    case WR_SUSPECT:
        ct_suspected(c, &m->check);
        break;
    default:
        break;
    }
}

static void conn_open(struct nt_conn *net, void *ud)
{
    (void)net;
    (void)ud;
}

static void conn_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct ct_conn *c = ud;
    struct wr_msg m;
    struct er_err err = {0};
    if (!wr_decode(&c->node->dec, data, len, &m, &err)) {
        c->node->c.bad_messages++;
        FL_WARN(&c->node->log, "from %s: %s; closing", c->name[0] ? c->name : "a peer",
                err.text);
        nt_close(net, true);
    } else if (m.type == WR_HELLO) {
        on_hello(c, &m.hello);
    } else if (!c->greeted) {
        c->node->c.bad_messages++;
        nt_close(net, true);
    } else if (c->role == WR_ROLE_CONTROL) {
        from_control(c, &m);
    } else {
        from_entry(c, &m);
    }
}

static void conn_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct ct_conn *c = ud, **at = &c->node->conns;
    (void)net;
    (void)opened;
    (void)refused;
    while (*at != c)
        at = &(*at)->next;
    *at = c->next;
    c->node->n_conns--;
    c->node->nodes_at = 0; /* the list points into this connection */
    free(c);
}

static const struct nt_ops conn_ops = {conn_open, conn_message, conn_close};

static void *conn_accept(struct nt_conn *net, void *ud)
{
    struct ct_node *n = ud;
    if (n->n_conns >= CT_MAX_CONNS)
        return NULL;
    struct ct_conn *c = sr_alloc(sizeof(*c));
    c->node = n;
    c->net = net;
    c->next = n->conns;
    n->conns = c;
    n->n_conns++;
    return c;
}

bool ct_peers_listen(struct ct_node *n, struct er_err *err)
{
    struct nt_listen l = {.ip = n->s->control_ip,
                          .port = n->s->control_port,
                          .raw = true,
                          .ops = &conn_ops,
                          .accept = conn_accept,
                          .ud = n};
    n->peer_listener = nt_listen(n->loop, &l, err);
    return n->peer_listener != NULL;
}
