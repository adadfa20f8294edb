/* The other entry nodes that this one relays to, and trials of those that are silent. A trial
 * is a connection that opens a session as a relay does and waits for the greeting. neighbor.c
 * decides the state of a node. */
#include <stdlib.h>
#include <string.h>

#include "proxy/priv.h"

static const char *const state_names[] = {"good", "doubted", "silent"};

static bool is_listed(const struct px_proxy *p, const char *name)
{
    for (int i = 0; i < p->n_nodes; i++) {
        if (strcmp(p->nodes[i].name, name) == 0)
            return true;
    }
    return false;
}

static struct px_neighbor *find(const struct px_proxy *p, const char *name)
{
    struct px_neighbor *nb = p->neighbors;
    while (nb && strcmp(nb->name, name) != 0)
        nb = nb->next;
    return nb;
}

enum nb_rank px_neighbor_rank(const struct px_proxy *p, const struct ho_node *node, int64_t now)
{
    const struct px_neighbor *nb = find(p, node->name);
    return nb ? nb_rank(&nb->status, now) : NB_FIRST;
}

static bool passes_on(const struct px_neighbor *nb, int64_t now)
{
    return nb->passed_on_at && now - nb->passed_on_at < PX_PASSED_ON_RECENTLY_US &&
           nb_rank(&nb->status, now) == NB_FIRST;
}

bool px_neighbor_passes_on(const struct px_proxy *p, const struct ho_node *node, int64_t now)
{
    const struct px_neighbor *nb = find(p, node->name);
    return nb && passes_on(nb, now);
}

bool px_any_neighbor_passes_on(const struct px_proxy *p, int64_t now)
{
    for (const struct px_neighbor *nb = p->neighbors; nb; nb = nb->next) {
        if (passes_on(nb, now))
            return true;
    }
    return false;
}

struct px_neighbor *px_neighbor_ref(struct px_proxy *p, const struct ho_node *node)
{
    struct px_neighbor *nb = find(p, node->name);
    if (!nb) {
        nb = sr_alloc(sizeof(*nb));
        nb->p = p;
        nb->next = p->neighbors;
        p->neighbors = nb;
        sr_copy(nb->name, sizeof(nb->name), sr_from(node->name));
    }
    sr_copy(nb->ip, sizeof(nb->ip), sr_from(node->ip));
    sr_copy(nb->domain, sizeof(nb->domain), sr_from(node->domain));
    nb->port = node->port;
    nb->n_relays++;
    return nb;
}

void px_neighbor_unref(struct px_neighbor *nb)
{
    nb->n_relays--;
}

/* ---- trials ---- */

/* This node itself may be disconnected, so the other neighbors are tried before sessions rely
 * on them. */
static void doubt_others(struct px_proxy *p)
{
    for (struct px_neighbor *nb = p->neighbors; nb; nb = nb->next) {
        if (nb->n_relays > 0)
            nb_doubt(&nb->status, ck_now());
    }
}

static void end_trial(struct px_neighbor *nb, bool answered)
{
    enum nb_state before = nb->status.state;
    nb_trial_ended(&nb->status, answered, ck_now());
    if (before == NB_DOUBTED && !answered)
        doubt_others(nb->p);
    if (nb->status.state == before || (before == NB_DOUBTED && answered))
        return; /* the doubt was unfounded */
    FL_EVENT(&nb->p->log, LG_INFO, "neighbor_changed", "name=%s state=%s was=%s relayed=%d",
             nb->name, state_names[nb->status.state], state_names[before], nb->n_relays);
}

static void on_open(struct nt_conn *net, void *ud)
{
    struct px_neighbor *nb = ud;
    nb_trial_began(&nb->status, ck_now());
    px_relay_hello(nb->p, net, nb->database, nb->key, PX_HELLO_TRIAL);
}

/* Any message shows that the node's process runs. */
static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct px_neighbor *nb = ud;
    (void)data;
    (void)len;
    nb->trial_conn = NULL;
    end_trial(nb, true);
    nt_forget(net);
}

/* Closed before a greeting: the node is alive if the connection was opened. */
static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct px_neighbor *nb = ud;
    (void)net;
    (void)refused;
    nb->trial_conn = NULL;
    end_trial(nb, opened && !nb_trial_late(&nb->status, px_received_until(nb->p)));
}

static const struct nt_ops trial_ops = {on_open, on_message, on_close};

static void start_trial(struct px_neighbor *nb, int64_t now)
{
    struct px_proxy *p = nb->p;
    nb_trial_began(&nb->status, now);
    p->c.trials++;
    nb->trial_conn = nt_connect_stream(p->loop, nb->ip, nb->port, &trial_ops, nb);
    px_meter(p, nb->trial_conn, PX_PEER_NODE, nb->domain);
}

static void abandon_trial(struct px_neighbor *nb)
{
    nt_forget(nb->trial_conn);
    nb->trial_conn = NULL;
    end_trial(nb, false);
}

void px_neighbors_tick(struct px_proxy *p, int64_t now)
{
    int64_t received_until = px_received_until(p);
    for (struct px_neighbor *nb = p->neighbors; nb; nb = nb->next) {
        if (nb->trial_conn && nb_trial_late(&nb->status, received_until))
            abandon_trial(nb);
        else if (nb_trial_due(&nb->status, now) && (nb->n_relays > 0 || is_listed(p, nb->name)))
            start_trial(nb, now);
    }
}

void px_forget_unlisted_neighbors(struct px_proxy *p)
{
    for (struct px_neighbor **at = &p->neighbors; *at;) {
        struct px_neighbor *nb = *at;
        if (nb->n_relays > 0 || nb->trial_conn || is_listed(p, nb->name)) {
            at = &nb->next;
            continue;
        }
        *at = nb->next;
        free(nb);
    }
}

int px_count_silent_neighbors(const struct px_proxy *p)
{
    int k = 0;
    for (const struct px_neighbor *nb = p->neighbors; nb; nb = nb->next)
        k += nb->status.state == NB_SILENT;
    return k;
}
