/* Which other node a session is relayed to: a holder of its group in the order that its account
 * or failure domain asks for, but those that are silent; or, where none is left, a node that
 * may reach one (it passes the session on, once). */
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

/* How far it is: own failure domain, own region, another. After the first try the own domain
 * is as good as any other of its region: it may be in trouble. */
static int distance(const struct px_proxy *p, int i, bool near_first)
{
    int far = rt_distance(p->cfg.domain, p->nodes[i].domain);
    return far == 0 && !near_first ? 1 : far;
}

/* The near ones first: a shorter trip, and no bytes between failure domains or regions. Among
 * those alike from a place of the session's own on, so that sessions spread over them. */
static int by_place(const struct px_session *s, const struct px_group *g, bool near_first,
                    int *out)
{
    const struct px_proxy *p = s->p;
    uint64_t n = (uint64_t)g->n_holders;
    int k = 0;
    for (int far = 0; far < PX_DISTANCES; far++) {
        for (uint64_t h = 0; h < n; h++) {
            int i = g->holders[(s->state.session + h) % n];
            if (distance(p, i, near_first) == far)
                out[k++] = i;
        }
    }
    return k;
}

/* Where connections belong to accounts, an account's sessions meet where its connections are,
 * near or not: of 78 accounts on three connections each node would open one for nearly each
 * statement otherwise. */
static int order_of(const struct px_session *s, struct px_group *g, bool near_first, int *out)
{
    if (px_has_accounts(s->p))
        return px_holders_for(s, g, out);
    return by_place(s, g, near_first, out);
}

/* The first of the best rank; -1: none is left. */
static int pick_holder(const struct px_session *s, struct px_group *g,
                       const struct px_tried_nodes *t, int64_t now)
{
    const struct px_proxy *p = s->p;
    int order[HO_MAX_HOLDERS], best = -1, n = order_of(s, g, t->n == 0, order);
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

/* ---- nodes that pass on ---- */

enum {
    TRY_OTHERS_EVERY = 4, /* of the sessions, one goes to a node that is not known to */
    /* While nobody is known to, one session in so long looks for a way; the others are told at
     * once, so that their callers have time to try another node. */
    SEEK_EVERY_US = 200000,
};

static bool holds(const struct px_group *g, int i)
{
    for (int k = 0; k < g->n_holders; k++) {
        if (g->holders[k] == i)
            return true;
    }
    return false;
}

/* Each node and session draws its own order, so that those that pass on share the load. */
static uint64_t draw(const struct px_session *s, uint64_t node_hash)
{
    uint64_t own = s->state.session * 0x9E3779B97F4A7C15ull ^ s->p->cfg.seed;
    uint64_t x = (node_hash ^ own) * 0xBF58476D1CE4E5B9ull;
    return x ^ (x >> 31);
}

static int pick_other(const struct px_session *s, const struct px_group *g,
                      const struct px_tried_nodes *t, int64_t now)
{
    const struct px_proxy *p = s->p;
    bool known_first = s->state.session % TRY_OTHERS_EVERY != 0;
    int best = -1;
    bool best_known = false;
    uint64_t best_draw = 0;
    for (int i = 0; i < p->n_nodes; i++) {
        const struct ho_node *x = &p->nodes[i];
        if (is_self(p, i) || holds(g, i) || was_tried(p, t, i) ||
            px_neighbor_rank(p, x, now) >= NB_LAST)
            continue;
        bool known = known_first && px_neighbor_passes_on(p, x, now);
        uint64_t d = draw(s, x->hash);
        if (best < 0 || known > best_known || (known == best_known && d > best_draw)) {
            best = i;
            best_known = known;
            best_draw = d;
        }
    }
    return best;
}

/* Whether this session may look for a node that passes it on: it is at it, or it is time. */
static bool may_seek(struct px_proxy *p, bool seeks, int64_t now)
{
    if (seeks || px_any_neighbor_passes_on(p, now))
        return true;
    if (now - p->last_seek_at < SEEK_EVERY_US)
        return false;
    p->last_seek_at = now;
    return true;
}

/* ---- */

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
    to.node = pick_other(s, g, t, now);
    to.passes_on = to.node >= 0;
    return to;
}
