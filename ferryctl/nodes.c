/* ferryctl nodes: entry nodes sorted by link use, with the load their VMs are configured to
 * carry, the groups and sessions they hold, and the bytes on their links by kind of peer. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ferryctl/fleet.h"
#include "misc/str.h"

enum peer { INSTANCES, SERVING_NODES, RELAYING_NODES, CONTROL, CALLERS, PEERS };

/* Values of one node; peer[] is in bytes per second, both directions together. */
struct row {
    const struct ft_node *node;
    bool answered;
    double out_s, in_s, link_s; /* bytes/s; link_s: capacity of each direction, 0 if unknown */
    double peer[PEERS];
    double relayed_s, served_s; /* statements/s relayed to and served for other nodes */
    double groups, conns, sessions, waiting;
};

static double rate_both_directions(const struct ft_node *n, const char *peer)
{
    return ft_rate(n, "ferry_session_bytes_out_total", peer) +
           ft_rate(n, "ferry_session_bytes_in_total", peer);
}

static void read_links(const struct ft_node *n, struct row *r)
{
    r->out_s = ft_rate(n, "ferry_net_bytes_out_total", "");
    r->in_s = ft_rate(n, "ferry_net_bytes_in_total", "");
    r->link_s = ft_value(n, "ferry_node_link_kbps", "") * 1000 / 8;
    r->peer[INSTANCES] = rate_both_directions(n, "peer=\"instance\"");
    r->peer[SERVING_NODES] = rate_both_directions(n, "peer=\"node\"");
    r->peer[RELAYING_NODES] = rate_both_directions(n, "peer=\"asker\"");
    r->peer[CONTROL] = ft_rate(n, "ferry_control_link_bytes_out_total", "") +
                       ft_rate(n, "ferry_control_link_bytes_in_total", "");
    double rest = r->out_s + r->in_s;
    for (int i = 0; i < CALLERS; i++)
        rest -= r->peer[i];
    r->peer[CALLERS] = rest > 0 ? rest : 0;
}

static struct row read_row(const struct ft_node *n)
{
    struct row r = {.node = n, .answered = n->metrics[FT_SAMPLES - 1] != NULL};
    if (!r.answered)
        return r;
    read_links(n, &r);
    r.relayed_s = ft_rate(n, "ferry_session_peer_statements_total", "peer=\"node\"");
    r.served_s = ft_rate(n, "ferry_session_peer_statements_total", "peer=\"asker\"");
    r.groups = ft_value(n, "ferry_session_groups_held", "");
    r.conns = ft_value(n, "ferry_session_instance_connections", "") +
              ft_value(n, "ferry_instance_connections", "");
    r.sessions = ft_value(n, "ferry_session_open", "");
    r.waiting =
        ft_value(n, "ferry_session_waiting", "") + ft_value(n, "ferry_instance_queued", "");
    return r;
}

static double busier_direction(const struct row *r)
{
    return r->out_s > r->in_s ? r->out_s : r->in_s;
}

/* Orders nodes by the used share of the link, largest first. Nodes of unknown link capacity
 * have share 0; equal shares are ordered by bytes per second, then by name. */
static int compare_by_link_use(const void *a, const void *b)
{
    const struct row *x = a, *y = b;
    double x_use = x->link_s > 0 ? busier_direction(x) / x->link_s : 0;
    double y_use = y->link_s > 0 ? busier_direction(y) / y->link_s : 0;
    if (x_use == y_use) {
        x_use = busier_direction(x);
        y_use = busier_direction(y);
    }
    if (x_use == y_use)
        return strcmp(x->node->node.name, y->node->node.name);
    return x_use < y_use ? 1 : -1;
}

static struct row *read_rows(struct ft_fleet *f)
{
    struct row *rows = sr_alloc(sizeof(*rows) * (size_t)(f->n + 1));
    struct ho_node *nodes = sr_alloc(sizeof(*nodes) * (size_t)(f->n + 1));
    for (int i = 0; i < f->n; i++)
        nodes[i] = f->nodes[i].node;
    ho_prepare(nodes, f->n);
    for (int i = 0; i < f->n; i++) {
        f->nodes[i].node.strong = nodes[i].carries > 0 && nodes[i].strong;
        rows[i] = read_row(&f->nodes[i]);
    }
    qsort(rows, (size_t)f->n, sizeof(*rows), compare_by_link_use);
    free(nodes);
    return rows;
}

/* ---- output ---- */

static void print_header(void)
{
    printf(
        "link: kB/s, and the share of the VM's link capacity in the busier direction; by peer: "
        "both directions\n");
    printf("%-16s %-16s %-8s %8s %-6s", "node", "domain", "lease", "carries", "");
    printf(" %6s %6s %8s %8s %8s %7s", "groups", "conns", "sessions", "passed/s", "served/s",
           "waiting");
    printf(" %8s %8s %6s | %8s %8s %8s %8s %8s | %s\n", "out", "in", "full", "inst.", "nodes",
           "askers", "control", "callers", "bytes a statement passed, served");
}

static double bytes_per_statement(double bytes, double statements)
{
    return statements > 0 ? bytes / statements : 0;
}

static void show_row(const struct row *r)
{
    const struct ho_node *n = &r->node->node;
    printf("%-16s %-16s %-8s %8d %-6s", n->name, n->domain, r->node->lease ? "held" : "none",
           n->carries, n->strong ? "strong" : "");
    if (!r->answered) {
        printf(" no answer from %s:%d\n", n->ip, n->port);
        return;
    }
    printf(" %6.0f %6.0f %8.0f %8.1f %8.1f %7.0f", r->groups, r->conns, r->sessions,
           r->relayed_s, r->served_s, r->waiting);
    printf(" %8.1f %8.1f", r->out_s / 1e3, r->in_s / 1e3);
    if (r->link_s > 0)
        printf(" %4.0f %%", busier_direction(r) * 100 / r->link_s);
    else
        printf(" %6s", "-");
    printf(" |");
    for (int i = 0; i < PEERS; i++)
        printf(" %8.1f", r->peer[i] / 1e3);
    printf(" | %.0f, %.0f\n", bytes_per_statement(r->peer[SERVING_NODES], r->relayed_s),
           bytes_per_statement(r->peer[RELAYING_NODES], r->served_s));
}

static json_t *row_json(const struct row *r)
{
    const struct ho_node *n = &r->node->node;
    return json_pack("{s:s,s:s,s:b,s:b,s:i,s:b,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f}", "name",
                     n->name, "domain", n->domain, "lease", r->node->lease, "answered",
                     r->answered, "carries", n->carries, "strong", n->strong, "groups",
                     r->groups, "connections", r->conns, "sessions", r->sessions, "passed_s",
                     r->relayed_s, "served_s", r->served_s, "waiting", r->waiting, "out_s",
                     r->out_s, "in_s", r->in_s, "link", r->link_s);
}

int ctl_nodes(const struct ctl *c)
{
    struct ft_fleet f;
    int rc = ft_read(c, &f);
    if (rc != EX_GOOD)
        return rc;
    struct row *rows = read_rows(&f);
    json_t *all = json_array();
    if (!c->json)
        print_header();
    for (int i = 0; i < f.n; i++) {
        if (c->json)
            json_array_append_new(all, row_json(&rows[i]));
        else
            show_row(&rows[i]);
    }
    if (c->json)
        print_json(all);
    json_decref(all);
    free(rows);
    ft_free(&f);
    return EX_GOOD;
}
