/* Decides which entry nodes hold connections to a group's instances if an instance accepts
 * fewer connections than there are nodes. Sessions at other nodes are relayed to a holder
 * (relay.c).
 *
 * Where all nodes hold a group, a few of them connect first. After a loss of power of all VMs,
 * an instance keeps their dead connections for seconds, and only its reserve is free. If the
 * first nodes to arrive took the reserve, it would serve the callers of a few nodes; taken by
 * these few, one in each failure domain, it serves the sessions of all nodes, which are relayed
 * to them until the other nodes get connections of their own. */
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    CONNS_PER_HOLDER = 4, /* minimum connections to an instance for each of its holders */
    /* Where connections belong to accounts, a holder serves all of its accounts on these. */
    CONNS_PER_HOLDER_WITH_ACCOUNTS = 4,
    MIN_HOLDERS = 3,              /* even if an instance accepts few connections */
    STATEMENTS_PER_OPERATION = 2, /* a transaction has several, most operations have one */
    /* All nodes hold a group if each may have this many connections to an instance, or if there
     * are no more nodes than a group may have holders. With one connection each the result was
     * worse than with holders: 184 of 300 nodes were disconnected from control, the other 117
     * began to hold all 60 instances of 131 connections, and within half a second 2,000
     * connections were refused as too many and 600 statements as busy. */
    CONNS_PER_NODE = 3,
    /* A starting node waits this long for the list of nodes. When 300 nodes that started
     * together held all groups meanwhile, they requested 18,000 connections to 60 instances and
     * opened those that were free, each taking 12 ms of an instance's slot, and the instances
     * then refused the actual holders. The list arrives within 0.5 s if 300 nodes start
     * together, and at once if others run already; a new leader that misses a node reports it
     * after a lease. */
    NODE_LIST_WAIT_US = 1000000,
};

bool px_knows_nodes(const struct px_proxy *p)
{
    bool waited_enough =
        p->configured_at && px_received_until(p) - p->configured_at >= NODE_LIST_WAIT_US;
    return p->n_nodes > 0 || waited_enough;
}

static bool is_holder(const struct px_proxy *p, const struct px_group *g)
{
    for (int k = 0; k < g->n_holders; k++) {
        if (strcmp(p->nodes[g->holders[k]].name, p->cfg.name) == 0)
            return true;
    }
    return false;
}

static int clamp_holders(int k)
{
    return k < MIN_HOLDERS ? MIN_HOLDERS : k > HO_MAX_HOLDERS ? HO_MAX_HOLDERS : k;
}

/* Operations per second that the limits of all accounts allow together; 0: an account has no
 * limit. */
static double declared_rate(const struct ac_table *t)
{
    double sum = 0;
    for (int i = 0; i < t->n; i++) {
        if (!t->accounts[i].limited)
            return 0;
        sum += t->accounts[i].rate;
    }
    return sum;
}

/* Whether the strong nodes can carry what all accounts may request. Weak nodes, whose links
 * would be saturated by a few accounts, then hold a group only where a failure domain has no
 * strong node. */
static bool strong_suffice(const struct px_proxy *p, int n_strong, int64_t strong_capacity)
{
    double statements_per_s = declared_rate(&p->catalog.accounts) * STATEMENTS_PER_OPERATION;
    return n_strong >= MIN_HOLDERS && statements_per_s > 0 &&
           (double)strong_capacity >= statements_per_s;
}

/* The number of holders such that each has a few connections. If the strong nodes suffice, only
 * these, and one in each failure domain without a strong node. */
static int holders_for_accounts(const struct px_proxy *p, int conns)
{
    int64_t strong_capacity;
    int k = conns > 0 ? clamp_holders(conns / CONNS_PER_HOLDER_WITH_ACCOUNTS) : MIN_HOLDERS;
    int n_strong = ho_count_strong(p->nodes, p->n_nodes, &strong_capacity);
    int strong_holders = n_strong + ho_count_domains_without_strong(p->nodes, p->n_nodes);
    return strong_holders < k && strong_suffice(p, n_strong, strong_capacity) ? strong_holders
                                                                              : k;
}

/* The number of holders such that each has a few connections; 0: all nodes. `svc`: of the
 * group, or NULL. */
static int holders_of(const struct px_proxy *p, const struct cg_service *svc)
{
    int conns = svc ? svc->max_conns : 0;
    if (px_has_accounts(p))
        return holders_for_accounts(p, conns);
    bool few = p->n_nodes <= conns && p->n_nodes <= HO_MAX_HOLDERS;
    if (conns <= 0 || few || p->n_nodes * CONNS_PER_NODE <= conns)
        return 0;
    return clamp_holders(conns / CONNS_PER_HOLDER);
}

void px_update_holders(struct px_proxy *p)
{
    bool known = p->knew_nodes = px_knows_nodes(p);
    for (int i = 0; i < p->n_groups; i++) {
        struct px_group *g = p->groups[i];
        const struct cg_service *svc = cg_service(&p->catalog, g->cfg.name);
        int out[HO_MAX_HOLDERS], k = holders_of(p, svc), n_before = g->n_holders;
        bool was_held = g->held;
        g->sync_copies = svc ? svc->sync_copies : 1;
        free(g->placements);
        g->placements = NULL;
        g->n_holders = ho_pick(p->nodes, p->n_nodes, g->cfg.name, k ? k : MIN_HOLDERS, out);
        for (int h = 0; h < g->n_holders; h++)
            g->holders[h] = (uint16_t)out[h];
        g->connects_first = is_holder(p, g);
        g->held = known && px_configured(p) && (k == 0 || g->connects_first);
        if (was_held && !g->held)
            g->released_at = ck_now();
        p->has_changes = p->has_changes || (g->held && !was_held);
        if (was_held != g->held || n_before != g->n_holders)
            FL_EVENT(&p->log, LG_INFO, "holding_changed",
                     "group=%s held=%d holders=%d nodes=%d", g->cfg.name, g->held, g->n_holders,
                     p->n_nodes);
    }
}

void px_holders_tick(struct px_proxy *p)
{
    if (!p->knew_nodes && px_knows_nodes(p))
        px_update_holders(p);
}

/* ---- placement of accounts ---- */

static void place_accounts(struct px_group *g)
{
    const struct ac_table *t = &g->p->catalog.accounts;
    struct pl_account *a = sr_alloc(sizeof(*a) * (size_t)(t->n + 1));
    for (int i = 0; i < t->n; i++) {
        const struct ac_account *from = &t->accounts[i];
        a[i] = (struct pl_account){from->name, from->limited ? from->rate : 0};
    }
    g->placements = sr_alloc(sizeof(*g->placements) * (size_t)(t->n + 1));
    pl_place_accounts(a, t->n, g->p->nodes, g->holders, g->n_holders, g->cfg.name,
                      g->placements);
    free(a);
}

const struct pl_placement *px_account_placement(struct px_group *g, const char *account)
{
    const struct ac_table *t = &g->p->catalog.accounts;
    const struct ac_account *a = ac_by_name(t, account);
    if (!a || g->n_holders == 0)
        return NULL;
    if (!g->placements)
        place_accounts(g);
    return &g->placements[a - t->accounts];
}

/* Moves entry `from` of the list forward to index `to`. */
static void move_forward(int *list, int from, int to)
{
    int x = list[from];
    for (; from > to; from--)
        list[from] = list[from - 1];
    list[to] = x;
}

int px_holders_for(const struct px_session *s, struct px_group *g, int *out)
{
    const struct px_proxy *p = s->p;
    const struct pl_placement *placement = px_account_placement(g, s->account);
    ho_order_for_account(p->nodes, g->holders, g->n_holders, g->cfg.name, s->account, out);
    for (int k = 0; placement && k < placement->n; k++) {
        int at = placement->holder[(s->state.session + (uint64_t)k) % placement->n], i = k;
        while (out[i] != at)
            i++;
        move_forward(out, i, k);
    }
    for (int k = 0; k < g->n_holders; k++)
        out[k] = g->holders[out[k]];
    return g->n_holders;
}

bool px_serves_account(const struct px_session *s, struct px_group *g)
{
    const struct px_proxy *p = s->p;
    const struct pl_placement *placement = px_account_placement(g, s->account);
    int order[HO_MAX_HOLDERS], n = px_holders_for(s, g, order);
    int n_preferred = placement ? placement->n : 1;
    for (int k = 0; k < n_preferred && k < n; k++) {
        if (strcmp(p->nodes[order[k]].name, p->cfg.name) == 0)
            return true;
    }
    return n == 0;
}

/* ---- other interfaces ---- */

bool px_reaches_primary(const struct px_group *g)
{
    if (g->cfg.primary < 0)
        return true;
    for (const struct px_conn *c = g->inst[g->cfg.primary]->conns; c; c = c->next) {
        if (c->phase != PX_C_OPENING && !c->closing)
            return true;
    }
    return false;
}

void px_set_nodes(struct px_proxy *p, const struct ho_node *nodes, int n)
{
    p->nodes = sr_realloc(p->nodes, sizeof(*nodes) * (size_t)(n + 1));
    sr_move(p->nodes, nodes, sizeof(*nodes) * (size_t)n);
    p->n_nodes = n;
    px_forget_unlisted_neighbors(p);
    px_update_holders(p);
}
