/* The nodes that serve sessions for this one, and what becomes of the sessions when one is out
 * of reach (proxy/reach.h). Their ends are told apart by address: a node that starts again has
 * the same one. */
#include <stdlib.h>
#include <string.h>

#include "proxy/priv.h"
#include "task/net.h"

struct px_neighbour {
    struct px_proxy *p;
    struct ho_node node;
    struct px_reach reach;
    int open;             /* questions that wait there, as counted in this tick */
    struct nt_conn *test; /* on its way; NULL: none */
};

static struct px_neighbour *find(const struct px_proxy *p, const struct ho_node *node)
{
    for (int i = 0; i < p->n_neighbours; i++) {
        struct px_neighbour *nb = p->neighbours[i];
        if (nb->node.port == node->port && strcmp(nb->node.ip, node->ip) == 0)
            return nb;
    }
    return NULL;
}

static struct px_neighbour *neighbour(struct px_proxy *p, const struct ho_node *node)
{
    struct px_neighbour *nb = find(p, node);
    if (nb || p->n_neighbours == HO_MAX_NODES)
        return nb;
    nb = sr_alloc(sizeof(*nb));
    nb->p = p;
    nb->node = *node;
    p->neighbours = sr_realloc(p->neighbours,
                               sizeof(struct px_neighbour *) * (size_t)(p->n_neighbours + 1));
    p->neighbours[p->n_neighbours++] = nb;
    return nb;
}

bool px_out_of_reach(const struct px_proxy *p, const struct ho_node *node)
{
    const struct px_neighbour *nb = find(p, node);
    return nb && nb->reach.lost;
}

int px_n_out_of_reach(const struct px_proxy *p)
{
    int n = 0;
    for (int i = 0; i < p->n_neighbours; i++)
        n += p->neighbours[i]->reach.lost;
    return n;
}

void px_served_by(struct px_session *s, const struct ho_node *node)
{
    s->neighbour = neighbour(s->p, node);
    s->waits_there = s->opened_there = false;
}

/* ---- tests ---- */

static void heard(struct px_neighbour *nb)
{
    if (nb->reach.lost)
        FL_EVENT(&nb->p->log, LG_INFO, "node_reached", "peer=%s", nb->node.name);
    px_reach_heard(&nb->reach);
}

static void end_test(struct px_neighbour *nb)
{
    struct nt_conn *test = nb->test;
    nb->test = NULL;
    if (test)
        nt_close(test, true);
}

/* The end of a session that was never opened: the other node closes at once. */
static void test_open(struct nt_conn *net, void *ud)
{
    struct px_neighbour *nb = ud;
    struct sr_buf b = {0};
    struct px_msg m = {.kind = PX_END};
    nb->p->cfg.codec->put(&b, &m);
    nt_send(net, b.p, b.len);
    sr_buf_free(&b);
}

static void test_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    (void)net;
    (void)ud;
    (void)data;
    (void)len;
}

/* Closed by the other node, or refused, which is an answer, too. */
static void test_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct px_neighbour *nb = ud;
    if (net != nb->test)
        return;
    nb->test = NULL;
    if (opened || refused)
        heard(nb);
}

static const struct nt_ops test_ops = {test_open, test_message, test_close};

static void begin_test(struct px_neighbour *nb)
{
    end_test(nb);
    nb->test = nt_connect_stream(nb->p->loop, nb->node.ip, nb->node.port, &test_ops, nb);
    if (nb->test)
        px_meter(nb->p, nb->test, PX_TO_NODE, nb->node.domain);
}

/* ---- sessions ---- */

/* An answer or a greeting came since the last look, or a question waits for one. */
static void look_at(struct px_session *s)
{
    struct px_neighbour *nb = s->neighbour;
    bool rests = px_rests_elsewhere(s), asked = px_asked_elsewhere(s);
    bool opened = s->opened_there || rests || asked; /* nothing is asked before */
    bool waits = asked || !opened;
    if (opened != s->opened_there || (s->waits_there && !waits))
        heard(nb);
    s->opened_there = opened;
    s->waits_there = waits;
    nb->open += waits;
}

/* Its callers ask elsewhere, those that rest before their next question is lost as well. A
 * session that is not opened yet tries the next holder by itself. */
static void close_sessions(struct px_neighbour *nb)
{
    struct px_proxy *p = nb->p;
    int n = 0;
    for (struct px_session *s = p->sessions, *next; s; s = next) {
        next = s->next;
        if (!s->relay || s->neighbour != nb || !s->opened_there || !s->net)
            continue;
        px_close(s, PX_END_HOLDER_LOST, false);
        n++;
    }
    FL_EVENT(&p->log, LG_WARN, "node_out_of_reach", "peer=%s domain=%s sessions=%d",
             nb->node.name, nb->node.domain, n);
}

void px_neighbours_tick(struct px_proxy *p, int64_t now)
{
    for (int i = 0; i < p->n_neighbours; i++)
        p->neighbours[i]->open = 0;
    for (struct px_session *s = p->sessions; s; s = s->next) {
        if (s->relay && s->neighbour && s->net)
            look_at(s);
    }
    for (int i = 0; i < p->n_neighbours; i++) {
        struct px_neighbour *nb = p->neighbours[i];
        enum px_reach_step step = px_reach_tick(&nb->reach, nb->open, now);
        if (step == PX_REACH_TEST)
            begin_test(nb);
        else if (step == PX_REACH_LOST)
            close_sessions(nb);
    }
}
