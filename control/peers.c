/* Sockets between processes: those that others opened to us, and ours to other control nodes.
 */
#include <stdlib.h>

#include "control/control.h"
#include "misc/clock.h"

enum {
    FORGET_US = 10000000, /* an address where nobody of ours answers is forgotten */
    MAX_QUEUED_TO_PEER = 4 << 20
};

static void send_on(struct ct_node *n, struct nt_conn *net, const struct wr_msg *m)
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
        send_on(c->node, c->net, m);
}

/* ---- our connections to other control nodes ---- */

static struct ct_peer *peer_of(struct ct_node *n, uint64_t id)
{
    for (struct ct_peer *p = n->peers; p; p = p->next) {
        if (p->member.id == id)
            return p;
    }
    return NULL;
}

/* A peer that can't take messages loses them: the core sends anew what matters. */
void ct_send_peer(struct ct_node *n, uint64_t id, const struct wr_msg *m)
{
    struct ct_peer *p = peer_of(n, id);
    if (p && p->net && p->open && nt_queued(p->net) < MAX_QUEUED_TO_PEER)
        send_on(n, p->net, m);
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

/* An address where a control node is said to be; who is there greets us by its own connection.
 */
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
                                .expect = expect};
    send_on(n, net, &m);
}

static void peer_open(struct nt_conn *net, void *ud)
{
    struct ct_peer *p = ud;
    p->open = true;
    rd_opened(&p->redial);
    p->active_at = ck_now();
    hello(p->node, net, p->member.id);
}

/* Answers of the agreement come on the other side's own connection; here it only tells where
 * control nodes are. */
static void peer_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct ct_peer *p = ud;
    struct wr_msg m;
    struct er_err err = {0};
    if (!wr_decode(&p->node->dec, data, len, &m, &err)) {
        FL_WARN(&p->node->log, "from %s: %s; closing", p->member.ip, err.text);
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

static void drop_peer(struct ct_node *n, struct ct_peer *p)
{
    struct ct_peer **at = &n->peers;
    while (*at != p)
        at = &(*at)->next;
    *at = p->next;
    free(p);
}

/* Members change and addresses are used again: what is no member and did not answer for long is
 * forgotten; seeds are tried again as long as the settings name them. */
static bool outdated(struct ct_node *n, const struct ct_peer *p, int64_t now)
{
    const struct qr_members *ms = qr_members(n->q);
    for (uint32_t i = 0; p->member.id && i < ms->n; i++) {
        if (ms->m[i].id == p->member.id)
            return false;
    }
    return n->s->registers && !p->net && now - p->active_at > FORGET_US;
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
                p = NULL; /* of another identity */
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
        if (outdated(n, p, now)) {
            drop_peer(n, p);
        } else if (!p->net && rd_due(&p->redial, now)) {
            p->net = nt_connect(n->loop, p->member.ip, p->member.port, true, &peer_ops, p);
            nt_meter(p->net, &n->peer_traffic);
            rd_dialed(&p->redial, now);
        } else if (p->net && !p->open && rd_hangs(&p->redial, now)) {
            rd_gave_up(&p->redial);
            nt_close(p->net, true);
        }
    }
}

/* ---- connections that others opened ---- */

static void refuse(struct ct_conn *c, const char *why)
{
    c->node->counters.wrong_cluster++;
    FL_WARN(&c->node->log, "a peer is refused: %s", why);
    nt_close(c->net, true);
}

/* A connect to it that began before it was there is not answered: it is made anew. */
static void dial_back(struct ct_node *n, uint64_t id)
{
    struct ct_peer *p = peer_of(n, id);
    if (!p || p->open)
        return;
    rd_heard(&p->redial, ck_now());
    if (p->net)
        nt_close(p->net, true);
}

static void on_hello(struct ct_conn *c, const struct wr_hello *h)
{
    struct ct_node *n = c->node;
    const char *wrong = wr_hello_wrong(h, n->s->cluster, n->id);
    if (wrong) {
        refuse(c, wrong);
        return;
    }
    if (!sr_copy(c->name, sizeof(c->name), h->name) ||
        !sr_copy(c->domain, sizeof(c->domain), h->domain) ||
        !sr_copy(c->ip, sizeof(c->ip), h->ip)) {
        refuse(c, "its greeting is wrong");
        return;
    }
    c->greeted = true;
    c->role = h->role;
    c->id = h->id;
    c->port = (int)h->port;
    c->carries = (int)h->carries;
    c->http_port = (int)h->http;
    if (c->role == WR_ROLE_CONTROL && !peer_of(n, c->id)) {
        struct qr_member m = {.id = c->id, .port = c->port};
        sr_copy(m.name, sizeof(m.name), sr_from(c->name));
        sr_copy(m.ip, sizeof(m.ip), sr_from(c->ip));
        /* a node without members yet must be able to answer */
        peer_add(n, &m)->active_at = ck_now();
    }
    if (c->role == WR_ROLE_CONTROL)
        dial_back(n, c->id);
    ct_send_controls(c);
}

static void from_control(struct ct_conn *c, const struct wr_msg *m)
{
    struct ct_node *n = c->node;
    if (m->type == WR_QUORUM && m->quorum.from == c->id)
        qr_receive(n->q, &m->quorum, ck_now());
    else if (m->type == WR_PROBES)
        ct_on_probes(c, &m->probes);
}

static void from_entry(struct ct_conn *c, const struct wr_msg *m)
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
        FL_WARN(&c->node->log, "from %s: %s; closing", c->name[0] ? c->name : "a peer",
                err.text);
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
        from_control(c, &m);
    } else if (c->role == WR_ROLE_ENTRY) {
        from_entry(c, &m);
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
