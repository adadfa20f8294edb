/* Observer: a control node without a disk. It accepts no callers and stores nothing. It knows
 * from its links to control which voters are reachable and which one leads, and sends that to
 * every process that connects. Thus the settings of a process that starts may name observers
 * only. Voters connect to an observer as to any address in their settings, so it learns of them
 * even if its own settings name no voter. */
#include <stdlib.h>

#include <xxhash.h>

#include "entry/entry.h"

/* A connection that another process opened to this observer. */
struct en_subscriber {
    struct en_subscriber *next;
    struct en_node *node;
    struct nt_conn *net;
    bool greeted;
    uint64_t sent_hash; /* hash of the list last sent; 0 none */
};

enum {
    MAX_PEER_CONNS = 2048,      /* connections, equal to CT_MAX_CONNS of control nodes */
    MAX_FIRST_FRAME = 64 << 10, /* frames of a process that has not greeted yet */
};

static void send_msg(struct en_subscriber *c, const struct wr_msg *m)
{
    struct sr_buf b = {0};
    wr_encode(&b, m);
    nt_send(c->net, b.p, b.len);
    sr_buf_free(&b);
}

/* ---- sending ---- */

/* The control nodes that this node has an open connection to; others may not answer. */
static uint32_t reachable_controls(const struct en_node *n, struct wr_node nodes[EN_MAX_LINKS],
                                   uint64_t *hash)
{
    uint32_t k = 0;
    *hash = 1; /* a sum, so the order doesn't matter; 0 means that no list was sent */
    for (int i = 0; i < EN_MAX_LINKS; i++) {
        const struct st_peer *p = &n->links[i].peer;
        if (!n->links[i].used || !n->links[i].open)
            continue;
        nodes[k++] = (struct wr_node){.name = sr_from(p->name),
                                      .domain = SR_LIT(""),
                                      .ip = sr_from(p->ip),
                                      .port = (uint32_t)p->port};
        *hash += XXH64(p->ip, strlen(p->ip), (uint64_t)p->port);
    }
    return k;
}

void en_observer_tick(struct en_node *n)
{
    struct wr_node nodes[EN_MAX_LINKS];
    uint64_t hash;
    uint32_t k = reachable_controls(n, nodes, &hash);
    struct wr_msg m = {.type = WR_CONTROLS, .nodes = {k, nodes}};
    for (struct en_subscriber *c = n->subscribers; k > 0 && c; c = c->next) {
        if (!c->greeted || c->sent_hash == hash)
            continue;
        c->sent_hash = hash;
        send_msg(c, &m);
    }
}

/* An observer grants no leases. The answer names the leader, or nothing if none is known. */
static void answer_renewal(struct en_subscriber *c)
{
    struct wr_msg m = {.type = WR_NOT_LEADER, .leader = sr_from(en_leader_name(c->node))};
    send_msg(c, &m);
}

/* ---- receiving ---- */

static void on_hello(struct en_subscriber *c, const struct wr_hello *h)
{
    struct en_node *n = c->node;
    const char *mismatch = wr_hello_mismatch(h, n->s->cluster, n->id);
    if (mismatch) {
        FL_WARN(&n->log, "hello of a peer is refused: %s", mismatch);
        nt_close(c->net, true);
        return;
    }
    c->greeted = true;
    nt_set_rank(c->net, SD_PEER);
    if (h->role == WR_ROLE_CONTROL)
        en_link_add(n, h->name, h->ip, (int)h->port);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct en_subscriber *c = ud;
    struct wr_msg m;
    struct er_err err = {0};
    if (!wr_decode(&c->node->dec, data, len, &m, &err)) {
        FL_WARN(&c->node->log, "message from a peer: %s; closing the connection", err.text);
        nt_close(net, true);
    } else if (m.type == WR_HELLO) {
        on_hello(c, &m.hello);
    } else if (!c->greeted) {
        nt_close(net, true);
    } else if (m.type == WR_RENEW) {
        answer_renewal(c);
    }
}

static void on_open(struct nt_conn *net, void *ud)
{
    (void)net;
    (void)ud;
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct en_subscriber *c = ud, **at = &c->node->subscribers;
    (void)net;
    (void)opened;
    (void)refused;
    while (*at != c)
        at = &(*at)->next;
    *at = c->next;
    c->node->n_subscribers--;
    free(c);
}

static const struct nt_ops ops = {on_open, on_message, on_close};

static void *accept_conn(struct nt_conn *net, void *ud)
{
    struct en_node *n = ud;
    if (n->n_subscribers >= MAX_PEER_CONNS && !nt_make_room(n->peer_listener))
        return NULL;
    struct en_subscriber *c = sr_alloc(sizeof(*c));
    c->node = n;
    c->net = net;
    c->next = n->subscribers;
    n->subscribers = c;
    n->n_subscribers++;
    return c;
}

bool en_observer_listen(struct en_node *n, struct er_err *err)
{
    struct nt_listen l = {.ip = n->s->control_ip,
                          .port = n->s->control_port,
                          .raw = true,
                          .max_first_frame = MAX_FIRST_FRAME,
                          .ops = &ops,
                          .accept = accept_conn,
                          .ud = n};
    if (!n->s->observer)
        return true;
    n->peer_listener = nt_listen(n->loop, &l, err);
    return n->peer_listener != NULL;
}
