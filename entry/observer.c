/* A control node without a disk. It takes no callers and keeps nothing; it knows by its links
 * where the voters are, and who leads, and tells whoever connects to it: settings may name
 * observers only by the time a process starts. Voters connect to it as to any address that the
 * settings name, so it learns of them even if its own settings name none. */
#include <stdlib.h>

#include <xxhash.h>

#include "entry/entry.h"

/* A connection that another process opened to us. */
struct en_subscriber {
    struct en_subscriber *next;
    struct en_node *node;
    struct nt_conn *net;
    bool greeted;
    uint64_t told; /* hash of the list it was told; 0 none */
};

enum { MAX_ASKERS = 2048 }; /* connections; as many as a control node takes (CT_MAX_CONNS) */

static void send_msg(struct en_subscriber *c, const struct wr_msg *m)
{
    struct sr_buf b = {0};
    wr_encode(&b, m);
    nt_send(c->net, b.p, b.len);
    sr_buf_free(&b);
}

/* ---- telling ---- */

/* The control nodes that this one is connected to: nobody is sent where nobody answers. */
static uint32_t reachable(const struct en_node *n, struct wr_node nodes[EN_MAX_LINKS],
                          uint64_t *hash)
{
    uint32_t k = 0;
    *hash = 1; /* in any order; 0 is who was told nothing */
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
    uint32_t k = reachable(n, nodes, &hash);
    struct wr_msg m = {.type = WR_CONTROLS, .nodes = {k, nodes}};
    for (struct en_subscriber *c = n->subscribers; k > 0 && c; c = c->next) {
        if (!c->greeted || c->told == hash)
            continue;
        c->told = hash;
        send_msg(c, &m);
    }
}

/* It grants nothing: whoever asks is told who does, as far as it knows. */
static void answer_renewal(struct en_subscriber *c)
{
    struct wr_msg m = {.type = WR_NOT_LEADER, .leader = sr_from(en_leader_name(c->node))};
    send_msg(c, &m);
}

/* ---- hearing ---- */

static void on_hello(struct en_subscriber *c, const struct wr_hello *h)
{
    struct en_node *n = c->node;
    const char *wrong = wr_hello_mismatch(h, n->s->cluster, n->id);
    if (wrong) {
        FL_WARN(&n->log, "a peer is refused: %s", wrong);
        nt_close(c->net, true);
        return;
    }
    c->greeted = true;
    if (h->role == WR_ROLE_CONTROL)
        en_link_add(n, h->name, h->ip, (int)h->port);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct en_subscriber *c = ud;
    struct wr_msg m;
    struct er_err err = {0};
    if (!wr_decode(&c->node->dec, data, len, &m, &err)) {
        FL_WARN(&c->node->log, "from a peer: %s; closing", err.text);
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
    if (n->n_subscribers >= MAX_ASKERS)
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
                          .ops = &ops,
                          .accept = accept_conn,
                          .ud = n};
    return !n->s->observer || nt_listen(n->loop, &l, err);
}
