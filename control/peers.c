/* Connections between processes: those that control nodes, entry nodes and observers opened to
 * this node, and those that this node opened to other control nodes. A control node sends
 * quorum messages and the results of its probes on the connection that it opened itself. */
#include <stdlib.h>

#include "control/control.h"
#include "misc/clock.h"

enum {
    FORGET_ADDRESS_US = 10000000, /* an address without a member is dropped after it did not
                                     answer for this time */
    MAX_PEER_QUEUE_BYTES = 4 << 20,
    MAX_FIRST_FRAME = 64 << 10, /* frames of a process that has not greeted yet */
};

static void send_msg(struct ct_node *n, struct nt_conn *net, const struct wr_msg *m)
{
    struct sr_buf b = {0};
    wr_encode(&b, m);
    tf_count_out(&n->traffic, m->type, b.len);
    nt_send(net, b.p, b.len);
    sr_buf_free(&b);
}

void ct_send_conn(struct ct_conn *c, const struct wr_msg *m)
{
    if (c->net)
        send_msg(c->node, c->net, m);
}

/* ---- connections to other control nodes ---- */

static struct ct_peer *peer_of(struct ct_node *n, uint64_t id)
{
    for (struct ct_peer *p = n->peers; p; p = p->next) {
        if (p->member.id == id)
            return p;
    }
    return NULL;
}

/* Messages to a peer that is not connected or too slow are dropped: the quorum protocol sends
 * them again where needed. */
void ct_send_peer(struct ct_node *n, uint64_t id, const struct wr_msg *m)
{
    struct ct_peer *p = peer_of(n, id);
    if (p && p->net && p->open && nt_queued(p->net) < MAX_PEER_QUEUE_BYTES)
        send_msg(n, p->net, m);
}

static struct ct_peer *peer_add(struct ct_node *n, const struct qr_member *m)
{
    struct ct_peer *p = sr_alloc(sizeof(*p));
    p->node = n;
    p->member = *m;
    p->next = n->peers;
    n->peers = p;
    return p;
}

static struct ct_peer *peer_at(struct ct_node *n, const char *ip, int port)
{
    for (struct ct_peer *p = n->peers; p; p = p->next) {
        if (p->member.port == port && strcmp(p->member.ip, ip) == 0)
            return p;
    }
    return NULL;
}

/* Adds an address where a control node is reported to be; its id is learned from the hello
 * message on the connection that it opens itself. */
static void add_address(struct ct_node *n, const char *name, const char *ip, int port)
{
    struct qr_member m = {.port = port};
    if (peer_at(n, ip, port) ||
        (strcmp(ip, n->s->control_ip) == 0 && port == n->s->control_port))
        return;
    sr_copy(m.name, sizeof(m.name), sr_from(name));
    sr_copy(m.ip, sizeof(m.ip), sr_from(ip));
    peer_add(n, &m)->active_at = ck_now();
}

static void learn_addresses(struct ct_node *n, const struct wr_nodes *list)
{
    for (uint32_t i = 0; i < list->n && i < QR_MAX_MEMBERS; i++) {
        char name[32], ip[46];
        if (sr_copy(name, sizeof(name), list->nodes[i].name) &&
            sr_copy(ip, sizeof(ip), list->nodes[i].ip))
            add_address(n, name, ip, (int)list->nodes[i].port);
    }
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
                                .expected_id = expect};
    send_msg(n, net, &m);
}

static void peer_open(struct nt_conn *net, void *ud)
{
    struct ct_peer *p = ud;
    p->open = true;
    rd_opened(&p->redial);
    p->active_at = ck_now();
    hello(p->node, net, p->member.id);
}

/* The peer sends its messages on the connection that it opened itself; on this one it only
 * sends the addresses of the control nodes. */
static void peer_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct ct_peer *p = ud;
    struct wr_msg m;
    struct er_err err = {0};
    if (!wr_decode(&p->node->dec, data, len, &m, &err)) {
        FL_WARN(&p->node->log, "bad message from %s: %s; closing the connection", p->member.ip,
                err.text);
        nt_close(net, true);
    } else if (m.type == WR_CONTROLS) {
        learn_addresses(p->node, &m.nodes);
    }
}

static void peer_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct ct_peer *p = ud;
    (void)net;
    (void)opened;
    (void)refused;
    p->net = NULL;
    p->open = false;
    rd_closed(&p->redial, ck_now());
}

static const struct nt_ops peer_ops = {peer_open, peer_message, peer_close};

static void peer_remove(struct ct_node *n, struct ct_peer *p)
{
    struct ct_peer **at = &n->peers;
    while (*at != p)
        at = &(*at)->next;
    *at = p->next;
    free(p);
}

/* Whether to drop a peer that is no member and has not answered for FORGET_ADDRESS_US: members
 * change and their addresses are reused. Seeds are added again as long as the settings name
 * them. */
static bool is_stale(struct ct_node *n, const struct ct_peer *p, int64_t now)
{
    const struct qr_members *ms = qr_members(n->q);
    for (uint32_t i = 0; p->member.id && i < ms->n; i++) {
        if (ms->m[i].id == p->member.id)
            return false;
    }
    return n->s->registers && !p->net && now - p->active_at > FORGET_ADDRESS_US;
}

void ct_peers_sync(struct ct_node *n)
{
    const struct qr_members *ms = qr_members(n->q);
    for (uint32_t i = 0; i < ms->n; i++) {
        if (ms->m[i].id == n->id)
            continue;
        struct ct_peer *p = peer_of(n, ms->m[i].id);
        if (!p) {
            p = peer_at(n, ms->m[i].ip, ms->m[i].port);
            if (p && p->member.id)
                p = NULL; /* the address belongs to another id */
        }
        if (!p) {
            p = peer_add(n, &ms->m[i]);
            p->active_at = ck_now();
        }
        p->member = ms->m[i];
    }
}

void ct_peers_tick(struct ct_node *n, int64_t now)
{
    ct_peers_sync(n);
    for (int i = 0; n->s->registers && i < n->s->n_voters; i++)
        add_address(n, n->s->voters[i].name, n->s->voters[i].ip, n->s->voters[i].port);
    for (struct ct_peer *p = n->peers, *next; p; p = next) {
        next = p->next;
        if (is_stale(n, p, now)) {
            peer_remove(n, p);
        } else if (!p->net && rd_due(&p->redial, now)) {
            p->net = nt_connect(n->loop, p->member.ip, p->member.port, true, &peer_ops, p);
            nt_meter(p->net, &n->peer_traffic);
            rd_connect_started(&p->redial, now);
        } else if (p->net && !p->open && rd_connect_timed_out(&p->redial, now)) {
            rd_connect_abandoned(&p->redial);
            nt_close(p->net, true);
        }
    }
}

/* ---- connections that other processes opened ---- */

static void refuse(struct ct_conn *c, const char *why)
{
    c->node->counters.refused_peers++;
    FL_WARN(&c->node->log, "connection of a peer refused: %s", why);
    nt_close(c->net, true);
}

/* A connection attempt that began before the peer was reachable may never be answered, so it is
 * started again now that the peer has connected. */
static void reconnect_peer(struct ct_node *n, uint64_t id)
{
    struct ct_peer *p = peer_of(n, id);
    if (!p || p->open)
        return;
    rd_peer_connected(&p->redial, ck_now());
    if (p->net)
        nt_close(p->net, true);
}

static void on_hello(struct ct_conn *c, const struct wr_hello *h)
{
    struct ct_node *n = c->node;
    const char *mismatch = wr_hello_mismatch(h, n->s->cluster, n->id);
    if (mismatch) {
        refuse(c, mismatch);
        return;
    }
    if (!sr_copy(c->name, sizeof(c->name), h->name) ||
        !sr_copy(c->domain, sizeof(c->domain), h->domain) ||
        !sr_copy(c->ip, sizeof(c->ip), h->ip)) {
        refuse(c, "a text in its hello message is too long");
        return;
    }
    c->greeted = true;
    nt_set_rank(c->net, SD_PEER);
    c->role = h->role;
    c->id = h->id;
    c->port = (int)h->port;
    c->carries = (int)h->capacity;
    c->http_port = (int)h->http_port;
    if (c->role == WR_ROLE_CONTROL && !peer_of(n, c->id)) {
        struct qr_member m = {.id = c->id, .port = c->port};
        sr_copy(m.name, sizeof(m.name), sr_from(c->name));
        sr_copy(m.ip, sizeof(m.ip), sr_from(c->ip));
        /* a node that has no members yet must be able to answer */
        peer_add(n, &m)->active_at = ck_now();
    }
    if (c->role == WR_ROLE_CONTROL)
        reconnect_peer(n, c->id);
    ct_send_controls(c);
}

static void handle_control(struct ct_conn *c, const struct wr_msg *m)
{
    struct ct_node *n = c->node;
    if (m->type == WR_QUORUM && m->quorum.from == c->id)
        qr_receive(n->q, &m->quorum, ck_now());
    else if (m->type == WR_PROBES)
        ct_on_probes(c, &m->probes);
}

static void handle_entry(struct ct_conn *c, const struct wr_msg *m)
{
    struct ct_node *n = c->node;
    switch (m->type) {
    case WR_RENEW:
        ct_on_renew(c, &m->renew);
        break;
    case WR_ACK:
        if (n->leading) {
            ls_acked(&n->leases, c->id, m->ack);
            for (int i = 0; i < n->n_groups; i++)
                if (n->groups[i]->phase != VW_SERVING)
                    ct_group_tick(n, n->groups[i]);
        }
        break;
    case WR_CHECKED:
        ct_on_check_reply(n, &m->check);
        break;
    case WR_SUSPECT:
        ct_on_suspect(c, &m->check);
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
        c->node->counters.bad_messages++;
        FL_WARN(&c->node->log, "bad message from %s: %s; closing the connection",
                c->name[0] ? c->name : "a peer", err.text);
        nt_close(net, true);
        return;
    }
    tf_count_in(&c->node->traffic, m.type, len);
    if (m.type == WR_HELLO) {
        on_hello(c, &m.hello);
    } else if (!c->greeted) {
        c->node->counters.bad_messages++;
        nt_close(net, true);
    } else if (c->role == WR_ROLE_CONTROL) {
        handle_control(c, &m);
    } else if (c->role == WR_ROLE_ENTRY) {
        handle_entry(c, &m);
    } else if (m.type == WR_RENEW) {
        ct_on_renew(c, &m.renew);
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
    free(c);
}

static const struct nt_ops conn_ops = {conn_open, conn_message, conn_close};

static void *conn_accept(struct nt_conn *net, void *ud)
{
    struct ct_node *n = ud;
    if (n->n_conns >= CT_MAX_CONNS && !nt_make_room(n->peer_listener))
        return NULL; /* all are processes of the cluster */
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
                          .max_first_frame = MAX_FIRST_FRAME,
                          .ops = &conn_ops,
                          .accept = conn_accept,
                          .ud = n};
    n->peer_listener = nt_listen(n->loop, &l, err);
    return n->peer_listener != NULL;
}
