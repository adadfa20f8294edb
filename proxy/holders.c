/* Which entry nodes hold connections to a group's instances, where an instance accepts fewer
 * connections than there are nodes; sessions elsewhere are relayed to one of them (relay.c).
 *
 * Where all nodes hold a group, a few of them connect first. After all VMs have lost power an
 * instance keeps their dark connections for seconds, and only its reserve is free: taken by
 * whoever comes first it would serve the callers of a few nodes; taken by these few, one in
 * each failure domain, it serves the sessions of all, which are relayed to them until the other
 * nodes get connections of their own. */
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    CONNS_PER_HOLDER =
        4, /* connections to an instance, at least, for each node that holds it */
    /* Where connections belong to accounts, a holder serves all of its accounts on them. */
    CONNS_PER_HOLDER_WITH_ACCOUNTS = 4,
    MIN_HOLDERS = 3,              /* nodes, however few the connections */
    STATEMENTS_PER_OPERATION = 2, /* a transaction has several, most operations one */
    /* All nodes hold a group where each may have so many connections to an instance, or where
     * they are no more than the holders that a group has at most. With one each it was worse
     * than with holders: of 300 nodes 184 were cut off from control, the 117 that were left
     * took to holding all 60 instances of 131 connections, and in half a second 2,000
     * connections were refused as too many and 600 statements as busy. */
    CONNS_PER_NODE = 3,
    /* So long a node that starts waits for the list of nodes. Holding everything meanwhile, 300
     * nodes that come back together asked for 18,000 connections to 60 instances and opened
     * those that were free, 12 ms of an instance's slot each; the nodes that do hold a group
     * were refused then. Origin: the list comes within 0.5 s where 300 nodes start together, at
     * once where others run already; a new leader that misses a node tells after a lease. */
    NODE_LIST_WAIT_US = 1000000,
};

bool px_knows_nodes(const struct px_proxy *p)
{
    bool waited =
        p->configured_at && px_received_until(p) - p->configured_at >= NODE_LIST_WAIT_US;
    return p->n_nodes > 0 || waited;
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

/* Operations a second that the document's accounts may ask for together; 0: not told of all. */
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

/* Whether the strong nodes carry what all accounts may ask for: then weak ones, whose links
 * would be full with a few accounts, hold nothing. */
static bool strong_suffice(const struct px_proxy *p, int n_strong, int64_t carry)
{
    double asked = declared_rate(&p->catalog.accounts) * STATEMENTS_PER_OPERATION;
    return n_strong >= MIN_HOLDERS && asked > 0 && (double)carry >= asked;
}

/* So many that each has a few connections; if the strong nodes suffice, only these, and one in
 * each failure domain that has none of them. */
static int holders_for_accounts(const struct px_proxy *p, int conns)
{
    int64_t carry;
    int k = conns > 0 ? clamp_holders(conns / CONNS_PER_HOLDER_WITH_ACCOUNTS) : MIN_HOLDERS;
    int n_strong = ho_strong(p->nodes, p->n_nodes, &carry);
    int least = n_strong + ho_domains_without_strong(p->nodes, p->n_nodes);
    return least < k && strong_suffice(p, n_strong, carry) ? least : k;
}

/* 0: all of them; else so many that each has a few connections. */
static int holders_of(const struct px_proxy *p, const struct px_group *g)
{
    const struct cg_service *svc = cg_service(&p->catalog, g->cfg.name);
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
        int out[HO_MAX_HOLDERS], k = holders_of(p, g), before = g->n_holders;
        bool held = g->held;
        free(g->placements);
        g->placements = NULL;
        g->n_holders = ho_pick(p->nodes, p->n_nodes, g->cfg.name, k ? k : MIN_HOLDERS, out);
        for (int h = 0; h < g->n_holders; h++)
            g->holders[h] = (uint16_t)out[h];
        g->connects_first = is_holder(p, g);
        g->held = known && px_configured(p) && (k == 0 || g->connects_first);
        if (held && !g->held)
            g->released_at = ck_now();
        p->has_changes = p->has_changes || (g->held && !held);
        if (held != g->held || before != g->n_holders)
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

/* ---- accounts' places ---- */

static void place_accounts(struct px_group *g)
{
    const struct ac_table *t = &g->p->catalog.accounts;
    struct sp_account *a = sr_alloc(sizeof(*a) * (size_t)(t->n + 1));
    for (int i = 0; i < t->n; i++) {
        const struct ac_account *from = &t->accounts[i];
        a[i] = (struct sp_account){from->name, from->limited ? from->rate : 0};
    }
    g->placements = sr_alloc(sizeof(*g->placements) * (size_t)(t->n + 1));
    sp_place(a, t->n, g->p->nodes, g->holders, g->n_holders, g->cfg.name, g->placements);
    free(a);
}

const struct sp_place *px_account_placement(struct px_group *g, const char *account)
{
    const struct ac_table *t = &g->p->catalog.accounts;
    const struct ac_account *a = ac_by_name(t, account);
    if (!a || g->n_holders == 0)
        return NULL;
    if (!g->placements)
        place_accounts(g);
    return &g->placements[a - t->accounts];
}

/* Move entry `from` of the list to place `to`, in front of it. */
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
    const struct sp_place *place = px_account_placement(g, s->account);
    ho_order(p->nodes, g->holders, g->n_holders, g->cfg.name, s->account, out);
    for (int k = 0; place && k < place->n; k++) {
        int at = place->at[(s->state.session + (uint64_t)k) % place->n], i = k;
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
    const struct sp_place *place = px_account_placement(g, s->account);
    int order[HO_MAX_HOLDERS], n = px_holders_for(s, g, order);
    int meet = place ? place->n : 1;
    for (int k = 0; k < meet && k < n; k++) {
        if (strcmp(p->nodes[order[k]].name, p->cfg.name) == 0)
            return true;
    }
    return n == 0;
}

/* ---- */

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
