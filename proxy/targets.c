/* Chooses the node that a session is relayed to: a holder of its group, in the order that its
 * account or failure domain gives, skipping silent ones; or, if none is left, a node that may
 * reach a holder and passes the session on, once. */
#include <string.h>

#include "proxy/priv.h"

static bool is_self(const struct px_proxy *p, int i)
{
    return strcmp(p->nodes[i].name, p->cfg.name) == 0;
}

static bool was_tried(const struct px_proxy *p, const struct px_tried_nodes *t, int i)
{
    for (int k = 0; k < t->n; k++) {
        if (strcmp(t->nb[k]->name, p->nodes[i].name) == 0)
            return true;
    }
    return false;
}

/* ---- holders ---- */

/* Distance class of a node: own failure domain, own region, another region. After the first
 * attempt the own domain counts like the rest of its region, as the domain itself may be
 * failing. */
static int distance_class(const struct px_proxy *p, int i, bool near_first)
{
    int far = rt_distance(p->cfg.domain, p->nodes[i].domain);
    return far == 0 && !near_first ? 1 : far;
}

/* Orders holders by distance: a shorter round trip, and no bytes between failure domains or
 * regions. Holders at the same distance start at an offset given by the session's number, so
 * that sessions spread over them. */
static int order_by_distance(const struct px_session *s, const struct px_group *g,
                             bool near_first, int *out)
{
    const struct px_proxy *p = s->p;
    uint64_t n = (uint64_t)g->n_holders;
    int k = 0;
    for (int far = 0; far < PX_DISTANCES; far++) {
        for (uint64_t h = 0; h < n; h++) {
            int i = g->holders[(s->state.session + h) % n];
            if (distance_class(p, i, near_first) == far)
                out[k++] = i;
        }
    }
    return k;
}

/* With accounts, the sessions of an account go where its connections are, whatever the
 * distance. Otherwise, with 78 accounts on three connections, each node would open a connection
 * for nearly every statement. */
static int holder_order(const struct px_session *s, struct px_group *g, bool near_first,
                        int *out)
{
    if (px_has_accounts(s->p))
        return px_holders_for(s, g, out);
    return order_by_distance(s, g, near_first, out);
}

/* The first holder of the best rank; -1: none is left. */
static int pick_holder(const struct px_session *s, struct px_group *g,
                       const struct px_tried_nodes *t, int64_t now)
{
    const struct px_proxy *p = s->p;
    int order[HO_MAX_HOLDERS], best = -1, n = holder_order(s, g, t->n == 0, order);
    enum nb_rank rank = NB_NEVER;
    for (int k = 0; k < n; k++) {
        int i = order[k];
        if (is_self(p, i) || was_tried(p, t, i))
            continue;
        enum nb_rank r = px_neighbor_rank(p, &p->nodes[i], now);
        if (r < rank) {
            rank = r;
            best = i;
        }
    }
    return best;
}

/* ---- nodes that pass sessions on ---- */

enum {
    /* One session in this many tries a node that is not known to pass sessions on. */
    TRY_UNKNOWN_EVERY = 4,
    /* While no node is known to pass sessions on, one session per interval looks for one. The
     * others are refused at once, so that their callers have time to try another node. */
    SEEK_INTERVAL_US = 200000,
};

static bool is_holder(const struct px_group *g, int i)
{
    for (int k = 0; k < g->n_holders; k++) {
        if (g->holders[k] == i)
            return true;
    }
    return false;
}

/* A pseudo-random weight for each node and session, so that the nodes that pass sessions on
 * share the load. */
static uint64_t draw_weight(const struct px_session *s, uint64_t node_hash)
{
    uint64_t own = s->state.session * 0x9E3779B97F4A7C15ull ^ s->p->cfg.seed;
    uint64_t x = (node_hash ^ own) * 0xBF58476D1CE4E5B9ull;
    return x ^ (x >> 31);
}

static int pick_non_holder(const struct px_session *s, const struct px_group *g,
                           const struct px_tried_nodes *t, int64_t now)
{
    const struct px_proxy *p = s->p;
    bool known_first = s->state.session % TRY_UNKNOWN_EVERY != 0;
    int best = -1;
    bool best_known = false;
    uint64_t best_weight = 0;
    for (int i = 0; i < p->n_nodes; i++) {
        const struct ho_node *x = &p->nodes[i];
        if (is_self(p, i) || is_holder(g, i) || was_tried(p, t, i) ||
            px_neighbor_rank(p, x, now) >= NB_LAST)
            continue;
        bool known = known_first && px_neighbor_passes_on(p, x, now);
        uint64_t d = draw_weight(s, x->hash);
        if (best < 0 || known > best_known || (known == best_known && d > best_weight)) {
            best = i;
            best_known = known;
            best_weight = d;
        }
    }
    return best;
}

/* Whether this session may look for a node that passes it on: it already does, a node is known,
 * or the interval has passed. */
static bool may_seek(struct px_proxy *p, bool seeks, int64_t now)
{
    if (seeks || px_any_neighbor_passes_on(p, now))
        return true;
    if (now - p->last_seek_at < SEEK_INTERVAL_US)
        return false;
    p->last_seek_at = now;
    return true;
}

struct px_group *px_database_group(const struct px_session *s)
{
    const struct cg_route *r = cg_route(&s->p->catalog, sr_from(s->database));
    return r ? px_find_group(s->p, r->group) : NULL;
}

struct px_target px_next_target(const struct px_session *s, const struct px_tried_nodes *t,
                                bool seeks, int64_t now)
{
    struct px_group *g = px_database_group(s);
    struct px_target to = {-1, false};
    if (!g || g->n_holders == 0 || t->n == PX_MAX_TRIES)
        return to;
    to.node = pick_holder(s, g, t, now);
    if (to.node >= 0 || s->relayed_to_us || !may_seek(s->p, seeks, now))
        return to;
    to.node = pick_non_holder(s, g, t, now);
    to.passes_on = to.node >= 0;
    return to;
}
