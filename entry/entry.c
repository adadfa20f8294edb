/* The entry node itself: creation, planned stop, the periodic tick, and applying a changed view
 * to the groups and instances. */
#include "entry/entry.h"

#include <stdlib.h>

#include <sodium.h>

#include "misc/clock.h"

enum {
    TICK_US = 5000,
    DRAIN_US = 1000000, /* for statements in flight to finish before a planned change */
    FLUSH_US = 50000,   /* for sending the lease release before the exit */
    /* Longest time for sending the last answers, to callers that are slow to read them. */
    FLUSH_TIMEOUT_US = 300000,
    LINGER_US = 1000000, /* for callers that do not close on the notice */
    LAG_UNKNOWN = -1
};

struct en_group *en_group(struct en_node *n, const char *name)
{
    int lo = 0, hi = n->n_groups;
    while (lo < hi) { /* sorted by name, like the view's groups */
        int mid = (lo + hi) / 2;
        int c = strcmp(n->groups[mid]->cfg.name, name);
        if (c == 0)
            return n->groups[mid];
        if (c < 0)
            lo = mid + 1;
        else
            hi = mid;
    }
    return NULL;
}

struct en_inst *en_inst(struct en_node *n, const char *id)
{
    for (int g = 0; g < n->n_groups; g++) {
        int i = vw_instance(&n->groups[g]->cfg, id);
        if (i >= 0)
            return n->groups[g]->inst[i];
    }
    return NULL;
}

bool en_leased(const struct en_node *n)
{
    return ls_live(&n->lease, ck_now()) || n->s->off_terms;
}

/* ---- applying the view ---- */

static struct en_group *group_new(struct en_node *n)
{
    struct en_group *g = sr_alloc(sizeof(*g));
    g->node = n;
    g->parked_tail = &g->parked;
    g->cfg.primary = -1;
    g->held = n->s->holders == 0;
    return g;
}

static struct en_inst *detach_inst(struct en_group *g, const char *id)
{
    for (int i = 0; i < VW_MAX_INSTANCES; i++) {
        struct en_inst *in = g->inst[i];
        if (!in || strcmp(in->cfg.id, id) != 0)
            continue;
        g->inst[i] = NULL;
        return in;
    }
    return NULL;
}

static void sync_instances(struct en_group *g, const struct vw_group *v)
{
    struct en_inst *next[VW_MAX_INSTANCES] = {0};
    struct rt_inst rt[RT_MAX_INSTANCES] = {0};
    for (int i = 0; i < v->n; i++) {
        struct en_inst *in = detach_inst(g, v->inst[i].id);
        if (in) {
            rt[i] = g->rt.inst[in->index];
        } else {
            in = sr_alloc(sizeof(*in));
            en_inst_init(in, g->node, g, i, &v->inst[i]);
            rt[i].lag_us = LAG_UNKNOWN;
        }
        in->index = i;
        in->cfg = v->inst[i];
        rt[i].distance = rt_distance(g->node->s->domain, in->cfg.domain);
        next[i] = in;
    }
    for (int i = 0; i < VW_MAX_INSTANCES; i++) {
        if (g->inst[i])
            en_inst_remove(g->inst[i]);
    }
    memcpy(g->inst, next, sizeof(next));
    memcpy(g->rt.inst, rt, sizeof(rt));
    g->rt.n = v->n;
}

static void sync_phase(struct en_group *g)
{
    uint64_t term = g->cfg.term;
    struct en_node *n = g->node;
    switch (g->cfg.phase) {
    case VW_SERVING:
        if (g->serve_term && g->serve_term != term)
            en_drop_term(g);
        g->drain_until = 0;
        g->serve_term = term;
        en_unpark(g);
        break;
    case VW_HANDING:
        if (g->serve_term && !g->drain_until)
            g->drain_until = ck_now() + DRAIN_US;
        break;
    case VW_REPLACING:
        if (g->serve_term)
            tl_add(n->tl, TL_TERM_DROPPED, g->cfg.name, g->serve_term, "term dropped");
        g->drain_until = 0;
        en_drop_term(g);
        break;
    }
}

static void sync_group(struct en_group *g, const struct vw_group *v)
{
    bool serving_changed = g->cfg.term != v->term || g->cfg.phase != v->phase;
    sync_instances(g, v);
    g->idle = false;
    g->cfg = *v;
    g->rt.n_starts = v->n_starts;
    memcpy(g->rt.starts, v->starts, sizeof(v->starts));
    if (serving_changed)
        sync_phase(g);
}

void en_view_changed(struct en_node *n)
{
    const struct vw_view *v = &n->view;
    if (n->px) {
        px_set_view(n->px, v);
        return;
    }
    struct en_group **next = sr_alloc(sizeof(*next) * (size_t)v->n);
    for (int i = 0; i < v->n; i++) {
        struct en_group *g = en_group(n, v->groups[i].name);
        next[i] = g ? g : group_new(n);
    }
    free(n->groups);
    n->groups = next;
    bool groups_added = n->n_groups != v->n; /* groups are added, never removed */
    n->n_groups = v->n;
    for (int i = 0; i < v->n; i++)
        sync_group(n->groups[i], &v->groups[i]);
    if (groups_added)
        en_update_holders(n);
}

/* Computes the group's holders; returns whether this node is one of them. */
static bool pick_holders(struct en_node *n, struct en_group *g)
{
    int out[HO_MAX_HOLDERS], k = n->s->holders;
    bool all = k <= 0 || n->n_nodes <= k, held = all;
    g->n_holders = all ? 0 : (uint16_t)ho_pick(n->nodes, n->n_nodes, g->cfg.name, k, out);
    for (int i = 0; i < g->n_holders; i++) {
        g->holders[i] = (uint16_t)out[i];
        held = held || strcmp(n->nodes[out[i]].name, n->s->name) == 0;
    }
    return held;
}

void en_update_holders(struct en_node *n)
{
    for (int i = 0; i < n->n_groups; i++) {
        struct en_group *g = n->groups[i];
        bool held = pick_holders(n, g);
        if (held == g->held)
            continue;
        g->held = held;
        g->idle = false;
        for (int k = 0; k < g->cfg.n && !held; k++)
            en_inst_release(g->inst[k]);
        en_unpark(g);
    }
}

/* In a planned change of the primary, statements and transactions at the old primary may finish
 * until drain_until. */
static void drain_tick(struct en_group *g)
{
    if (!g->drain_until)
        return;
    bool idle = en_writes_in_flight(g) == 0 && en_txns_open(g) == 0;
    if (!idle && nt_received_until(g->node->loop) < g->drain_until)
        return;
    g->drain_until = 0;
    tl_add(g->node->tl, TL_TERM_DROPPED, g->cfg.name, g->serve_term, "parked and drained");
    en_drop_term(g);
}

void en_ack_view(struct en_node *n)
{
    if (n->acked_generation == n->view.generation || (n->px && !px_settled(n->px)))
        return;
    for (int i = 0; i < n->n_groups; i++) {
        if (n->groups[i]->drain_until)
            return;
    }
    n->acked_generation = n->view.generation;
    en_send_ack(n, n->acked_generation);
}

/* ---- periodic work ---- */

static void lease_tick(struct en_node *n)
{
    if (!n->had_lease || en_leased(n))
        return;
    n->had_lease = false;
    n->lease_lost_at = ck_now();
    n->c.lease_lost++;
    if (n->px)
        px_lease_lost(n->px);
    tl_add(n->tl, TL_LEASE_LOST, "", 0, "lease lost");
    FL_EVENT(&n->log, LG_WARN, "lease_lost",
             "generation=%llu detail=writes and reads at the primary wait until control grants "
             "a lease",
             (unsigned long long)n->view.generation);
    /* Without a lease the node keeps one connection, for reads that need no lease. */
    for (int g = 0; g < n->n_groups; g++) {
        for (int i = 0; i < n->groups[g]->cfg.n; i++) {
            struct en_inst *in = n->groups[g]->inst[i];
            in->share = in->share > 0 ? 1 : 0;
        }
    }
}

/* Whether all requests are answered and the callers have closed. Callers that do not understand
 * the notice are closed LINGER_US after the last answer. */
static bool callers_have_left(struct en_node *n, int64_t now)
{
    if (n->n_reqs > 0 || n->txns)
        n->idle_since = now;
    else if (nt_received_until(n->loop) - n->idle_since > LINGER_US)
        en_callers_close_idle(n);
    return n->n_callers == 0;
}

static bool may_exit(struct en_node *n, int64_t now)
{
    bool left = callers_have_left(n, now);
    return now > n->stop_deadline || (left && (!n->px || px_stopped(n->px)));
}

static bool has_unsent(const struct en_node *n)
{
    return nt_has_unsent(n->listener) || (n->px && px_has_unsent(n->px));
}

/* Waits until the lease release and the last answers are sent. */
static void flush_tick(void *ud)
{
    struct en_node *n = ud;
    int64_t waited = ck_now() - n->exit_began;
    if ((waited >= FLUSH_US && !has_unsent(n)) || waited >= FLUSH_TIMEOUT_US) {
        n->stopped(n->stopped_ud);
        return;
    }
    nt_timer_set(n->loop, &n->tick, TICK_US, flush_tick, n);
}

/* From here on nothing is read from callers, so that no request is lost with the process. What
 * was read before and is still open, as the time for the stop is over, is answered with what is
 * known of it. */
static void answer_all(struct en_node *n)
{
    nt_stop_reading(n->listener);
    if (n->px)
        px_end_all(n->px);
    en_requests_end(n);
    en_callers_close(n);
}

static void begin_exit(struct en_node *n)
{
    n->exit_began = ck_now();
    if (n->px)
        px_log_open_work(n->px);
    if (!n->s->off_finish)
        answer_all(n);
    en_release_lease(n);
    nt_timer_set(n->loop, &n->tick, TICK_US, flush_tick, n);
}

/* A group that other nodes hold becomes idle once its connections are closed, so that ticks
 * skip the hundreds of such groups. */
static void group_tick(struct en_group *g, int64_t now)
{
    g->idle = !g->held;
    for (int i = 0; i < g->cfg.n; i++) {
        struct en_inst *in = g->inst[i];
        if (en_inst_idle(in))
            continue;
        g->idle = false;
        en_pool_tick(in, now);
        en_inst_dispatch(in);
    }
}

static void tick(void *ud)
{
    struct en_node *n = ud;
    int64_t now = ck_now();
    lease_tick(n);
    en_links_tick(n, now);
    if (n->s->observer)
        en_observer_tick(n);
    en_expire_requests(n, now);
    en_txns_expire(n);
    if (n->px)
        px_tick(n->px, now);
    for (int g = 0; g < n->n_groups; g++) {
        struct en_group *group = n->groups[g];
        drain_tick(group);
        if (!group->idle)
            group_tick(group, now);
    }
    en_ack_view(n);
    if (n->stopping && may_exit(n, now)) {
        begin_exit(n);
        return;
    }
    nt_timer_set(n->loop, &n->tick, TICK_US, tick, n);
}

void en_stop(struct en_node *n, void (*done)(void *), void *ud)
{
    if (n->stopping)
        return;
    n->stopping = true;
    n->stopped = done;
    n->stopped_ud = ud;
    n->stop_deadline = ck_now() + CK_MS(n->s->stop_ms);
    n->idle_since = ck_now();
    if (n->s->off_finish)
        n->stop_deadline = 0;
    en_callers_notify_stop(n);
    if (n->px)
        px_stop(n->px, ck_now());
    n->next_renew_at = ck_now(); /* tells control now, so that other nodes hold the groups */
    tl_add(n->tl, TL_STOP, "", 0, "planned stop, %d requests to finish", n->n_reqs);
    FL_INFO(&n->log, "stopping: %d requests to finish", n->n_reqs);
}

static bool host_leased(void *ud)
{
    return en_leased(ud);
}

static void host_report_inst(void *ud, const char *inst, enum wr_health health)
{
    en_send_suspicion(ud, inst, health);
}

static bool start_proxy(struct en_node *n, struct er_err *err)
{
    const struct st_settings *s = n->s;
    if (!s->sessions.port)
        return true;
    if (!n->interface)
        return er_set(err, ER_CONFIG,
                      "entry.sessions needs the interface of an outside platform");
    struct px_config cfg = {.name = s->name,
                            .domain = s->domain,
                            .ip = s->sessions.ip,
                            .port = s->sessions.port,
                            .max_sessions = s->max_callers,
                            .max_ahead = s->max_ahead,
                            .grace_us = CK_MS(s->grace_ms ? s->grace_ms : s->stop_ms),
                            .seed = n->id,
                            .codec = n->interface->sessions,
                            .documents = n->interface->documents,
                            .host = {host_leased, host_report_inst, n}};
    n->px = px_create(n->loop, &cfg, err);
    return n->px != NULL;
}

struct en_node *en_create(struct nt_loop *l, const struct st_settings *s, struct tl_ring *tl,
                          const struct en_interface *interface, struct er_err *err)
{
    struct en_node *n = sr_alloc(sizeof(*n));
    n->log.prefix = "entry";
    n->s = s;
    n->loop = l;
    n->tl = tl;
    n->driver = &ep_ws;
    n->retry_budget = 10;
    randombytes_buf(&n->id, sizeof(n->id));
    n->id |= 1;
    n->rng = rn_seed(n->id);
    n->interface = interface;
    n->lease_lost_at = INT64_MIN / 2;
    if (s->secret[0])
        ss_key_from(&n->key, sr_from(s->secret));
    else /* sessions carry no tokens, so no other node has to read this node's tokens */
        randombytes_buf(&n->key, sizeof(n->key));
    vw_init(&n->view);
    en_links_start(n);
    if (!en_callers_listen(n, err) || !en_observer_listen(n, err) || !start_proxy(n, err)) {
        free(n);
        return NULL;
    }
    tl_add(tl, TL_START, "", 0, "entry node %llx", (unsigned long long)n->id);
    nt_timer_set(l, &n->tick, TICK_US, tick, n);
    return n;
}
