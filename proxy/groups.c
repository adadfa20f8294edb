/* Groups and instances, updated from the view. */
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    /* A planned change of primary waits this long for statements and transactions at the old
     * primary. Transactions with pauses would block all other writes longer; most end within
     * this time. */
    HANDOVER_WAIT_US = 600000,
    /* For this long an instance that refused the role of primary is not used as one: control
     * detects the change by its own probe within this time. */
    PRIMARY_REFUSED_US = 60000,
    /* Subtracted from an accepted age, since clocks run at slightly different rates. */
    CLOCK_MARGIN_US = 20000,
};

struct px_group *px_find_group(const struct px_proxy *p, const char *name)
{
    int lo = 0, hi = p->n_groups;
    while (lo < hi) { /* sorted like the groups of the view */
        int mid = (lo + hi) / 2;
        int c = strcmp(p->groups[mid]->cfg.name, name);
        if (c == 0)
            return p->groups[mid];
        if (c < 0)
            lo = mid + 1;
        else
            hi = mid;
    }
    return NULL;
}

struct px_group *px_session_group(const struct px_session *s)
{
    return px_find_group(s->p, s->route.group);
}

struct px_inst *px_find_inst(const struct px_proxy *p, struct sr_str id)
{
    for (int g = 0; g < p->n_groups; g++) {
        for (int i = 0; i < p->groups[g]->cfg.n; i++) {
            if (sr_eq(sr_from(p->groups[g]->inst[i]->cfg.id), id))
                return p->groups[g]->inst[i];
        }
    }
    return NULL;
}

struct px_inst *px_serving_primary(const struct px_group *g, int64_t now)
{
    bool serves = g->cfg.phase == VW_SERVING && g->cfg.primary >= 0;
    if (!serves || !px_leased(g->p) || now - g->primary_refused_at < PRIMARY_REFUSED_US)
        return NULL;
    return g->inst[g->cfg.primary];
}

/* Control orders a promotion only when no node with a lease acts on the old term any more. In a
 * planned change this node says so once it has settled; from then on the instance that the view
 * names may be the old primary, whatever it still answers. */
bool px_is_primary_now(const struct px_inst *in)
{
    const struct px_group *g = in->group;
    bool settling = g->cfg.phase == VW_HANDING && g->settle_deadline;
    return (g->cfg.phase == VW_SERVING || settling) && !in->removed &&
           in->index == g->cfg.primary && px_leased(g->p);
}

bool px_age_floor(const struct px_group *g, int64_t max_age_us, int64_t now,
                  struct ps_pos *floor)
{
    return max_age_us > CLOCK_MARGIN_US &&
           rt_age_floor(&g->rt, max_age_us - CLOCK_MARGIN_US, now, floor);
}

/* ---- updates from the view ---- */

static struct px_inst *detach_inst(struct px_group *g, int n, const char *id)
{
    for (int i = 0; i < n; i++) {
        struct px_inst *in = g->inst[i];
        if (!in || strcmp(in->cfg.id, id) != 0)
            continue;
        g->inst[i] = NULL;
        return in;
    }
    return NULL;
}

/* Whether the instance has another address or was restarted, so that its recorded state is
 * void. */
static bool was_replaced(const struct vw_instance *a, const struct vw_instance *b)
{
    return strcmp(a->ip, b->ip) != 0 || a->port != b->port || a->born != b->born;
}

static void sync_instances(struct px_group *g, const struct vw_group *v)
{
    struct px_inst *next[VW_MAX_INSTANCES] = {0};
    int n_before = g->cfg.n;
    for (int i = 0; i < v->n; i++) {
        struct px_inst *in = detach_inst(g, n_before, v->inst[i].id);
        if (in && was_replaced(&in->cfg, &v->inst[i])) {
            px_inst_remove(in);
            in = NULL;
        }
        if (!in) {
            in = px_inst_new(g, &v->inst[i]);
            g->p->has_changes = true;
        }
        in->cfg = v->inst[i];
        in->index = i;
        next[i] = in;
    }
    for (int i = 0; i < n_before; i++) {
        if (g->inst[i])
            px_inst_remove(g->inst[i]);
    }
    memcpy(g->inst, next, sizeof(next));
}

/* Parked statements of the group are routed again in the next tick: they may wait for its
 * primary or for an instance that changed. */
static void wake_parked(struct px_group *g)
{
    for (struct px_session *s = g->p->active; s; s = s->next_active) {
        if (s->stage == PX_S_PARKED && strcmp(s->route.group, g->cfg.name) == 0)
            s->retry_at = 0;
    }
}

static void update_group(struct px_group *g, const struct vw_group *v)
{
    bool new_term = g->cfg.term != v->term, new_phase = g->cfg.phase != v->phase;
    sync_instances(g, v);
    g->cfg = *v;
    if (new_term)
        g->term_began_at = ck_now();
    if (new_term || new_phase) {
        FL_EVENT(&g->p->log, LG_INFO, "group_changed", "group=%s phase=%s term=%llu primary=%s",
                 v->name, vw_phase_name(v->phase), (unsigned long long)v->term,
                 v->primary >= 0 ? v->inst[v->primary].id : "-");
        g->settle_deadline = v->phase == VW_HANDING ? ck_now() + HANDOVER_WAIT_US : 0;
        g->primary_refused_at = 0;
    }
    /* The end of the log may be lost with its primary, and then no instance would ever have the
     * positions that were reported. In a planned change the successor receives all of it. */
    if (new_term && v->phase != VW_HANDING)
        g->rt.n_samples = 0;
    wake_parked(g);
}

static struct px_group *group_new(struct px_proxy *p, const struct vw_group *v)
{
    struct px_group *g = sr_alloc(sizeof(*g));
    g->p = p;
    g->cfg.primary = -1;
    sr_copy(g->cfg.name, sizeof(g->cfg.name), sr_from(v->name));
    return g;
}

void px_set_view(struct px_proxy *p, const struct vw_view *v)
{
    struct px_group **next = sr_alloc(sizeof(*next) * (size_t)(v->n + 1));
    px_load_document(p, &v->doc);
    for (int i = 0; i < v->n; i++) {
        struct px_group *g = px_find_group(p, v->groups[i].name);
        next[i] = g ? g : group_new(p, &v->groups[i]);
    }
    free(p->groups); /* groups are never removed */
    p->groups = next;
    p->n_groups = v->n;
    for (int i = 0; i < v->n; i++)
        update_group(p->groups[i], &v->groups[i]);
    px_update_holders(p);
}

/* ---- planned change of primary ---- */

/* Whether a statement or transaction is still open at the primary. */
static bool primary_has_work(const struct px_group *g)
{
    const struct px_inst *in = g->cfg.primary >= 0 ? g->inst[g->cfg.primary] : NULL;
    for (const struct px_conn *c = in ? in->conns : NULL; c; c = c->next) {
        if (c->session && !c->session->txn_read_only)
            return true;
    }
    return false;
}

bool px_settled(const struct px_proxy *p)
{
    if (px_document_loading(p))
        return false;
    for (int i = 0; i < p->n_groups; i++) {
        if (p->groups[i]->settle_deadline)
            return false;
    }
    return true;
}

void px_groups_tick(struct px_proxy *p, int64_t now)
{
    for (int i = 0; i < p->n_groups; i++) {
        struct px_group *g = p->groups[i];
        if (g->settle_deadline &&
            (px_received_until(p) > g->settle_deadline || !primary_has_work(g)))
            g->settle_deadline = 0;
        for (int k = 0; k < g->cfg.n; k++)
            px_inst_tick(g->inst[k], now);
    }
    for (struct px_inst *in = p->removed_insts, *next; in; in = next) {
        next = in->next_removed;
        px_inst_tick(in, now);
    }
}
