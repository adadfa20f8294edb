/* Connections to instances, probes, and the reports on instances' health. */
#include <stdlib.h>

#include <xxhash.h>

#include "control/control.h"
#include "misc/clock.h"

enum {
    RECONNECT_DELAY_US = 30000,
    RECONNECT_AFTER_SILENCES = 3, /* a connection is closed after so many silence limits */
    FRESH_PROBE_INTERVALS = 4,
    /* Factor on the interval between probes of a replica that answers: each probe costs a slot
     * and bytes. With three instances per group this saves 4 of 9 probes. */
    CALM_REPLICA_PROBE_FACTOR = 3,
    REPORT_AFTER_CHANGE_US = 1000000,
    CALM_GROUP_TICKS = 10, /* a calm group is ticked once in so many ticks */
    /* Connections opened or closed per tick: a new leader that opened a thousand in one tick
     * would send its next heartbeat after its followers' election timeout. */
    CONN_CHANGES_PER_TICK = 16,
};

/* ---- lookup ---- */

struct ct_group *ct_group_of(struct ct_node *n, const char *name)
{
    int i = ix_get(&n->group_index, name);
    return i == IX_NONE ? NULL : n->groups[i];
}

/* The group of the instance `inst` of a message, or NULL; copies the instance's id to `id`. */
static struct ct_group *group_of_instance(struct ct_node *n, struct sr_str inst,
                                          char id[VW_NAME])
{
    int i = sr_copy(id, VW_NAME, inst) ? ix_get(&n->inst_index, id) : IX_NONE;
    return i == IX_NONE ? NULL : n->groups[i];
}

static struct pr_inst *pr_inst_of(struct ct_group *g, const char *inst)
{
    for (int i = 0; g && i < g->pr.n; i++) {
        if (strcmp(g->pr.inst[i].id, inst) == 0)
            return &g->pr.inst[i];
    }
    return NULL;
}

/* ---- connections to instances ---- */

uint64_t ct_send_op(struct ct_inst *in, struct ep_request *q)
{
    q->id = ++in->last_request_id;
    if (!in->conn || !in->open || !in->node->driver->send(in->conn, q))
        return 0;
    tf_count_probe(&in->node->traffic, TF_PROBE_SENT);
    if (!in->unanswered_id) {
        in->unanswered_id = q->id;
        in->unanswered_since = ck_now();
    }
    return q->id;
}

/* The time at which the answered request was made, or an earlier one; 0: unknown. */
static int64_t take_asked_at(struct ct_inst *in, uint64_t id)
{
    if (!in->unanswered_id || id < in->unanswered_id)
        return 0;
    in->unanswered_id = 0;
    return in->unanswered_since;
}

static void set_health(struct ct_inst *in, enum pr_health health)
{
    struct ct_node *n = in->node;
    if (in->health != health)
        in->health_changed_at = ck_now();
    in->health = health;
    if (!in->removed)
        n->failover->probed(in->group, in->id, n->id, n->s->domain, health);
}

static void on_open(struct ep_conn *c, void *ud)
{
    struct ct_inst *in = ud;
    (void)c;
    in->open = true;
    tf_count_probe(&in->node->traffic, TF_PROBE_OPENED);
    in->replied_at = ck_now();
    in->probed_at = 0;
    if (in->removed)
        return;
    in->node->failover->connected(in->group, in->id);
    if (in->node->leading)
        ct_group_tick(in->node, in->group);
}

/* Whether the reply's request was answered before. Where the driver tells times itself, it
 * dropped such replies. */
static bool is_repeated(struct ct_inst *in, const struct ep_reply *r)
{
    bool repeated = !r->as_of && r->id <= in->answered_id;
    if (r->id > in->answered_id)
        in->answered_id = r->id;
    return repeated;
}

static void on_reply(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    struct ct_inst *in = ud;
    struct ct_node *n = in->node;
    int64_t now = ck_now();
    (void)c;
    if (is_repeated(in, r))
        return;
    int64_t asked_at = take_asked_at(in, r->id);
    if (r->as_of)
        asked_at = r->as_of;
    tf_count_probe(&n->traffic, TF_PROBE_ANSWERED);
    in->replied_at = now;
    in->status = *r;
    in->status.value = SR_LIT("");
    struct ct_group *g = in->group;
    if (in->removed)
        return;
    set_health(in, PR_UP);
    if (r->result == EP_OK)
        n->failover->replied(g, in->id, r, asked_at);
    bool phase_running = g->phase != VW_SERVING;
    if (r->id == in->fence_id && r->result == EP_OK) {
        tl_add(n->tl, TL_FENCED, g->name, in->fence_term, "%s at %llu/%llu", in->id,
               (unsigned long long)r->held.term, (unsigned long long)r->held.pos);
        pr_fenced(&g->pr, in->id, in->fence_term, r->held);
    }
    if (r->id == in->promote_id && r->result == EP_OK) {
        tl_add(n->tl, TL_PROMOTED, g->name, in->promote_term, "%s from %llu", in->id,
               (unsigned long long)r->pos.pos);
        pr_promoted(&g->pr, in->id, in->promote_term, r->pos);
    }
    if (phase_running && n->leading)
        ct_group_tick(n, g);
}

static void on_push(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    (void)c;
    (void)ud;
    (void)r;
}

static void send_probes(struct ct_node *n);

static void on_close(struct ep_conn *c, void *ud, bool opened, bool refused)
{
    struct ct_inst *in = ud;
    (void)c;
    in->conn = NULL;
    in->open = false;
    tf_count_probe(&in->node->traffic, TF_PROBE_CLOSED);
    in->fence_id = in->promote_id = in->unanswered_id = 0;
    if (in->removed) {
        free(in);
        return;
    }
    /* After the loss of an open connection the next attempt follows at once: if it is refused,
     * the process has died. */
    in->next_connect = ck_now() + (opened ? 0 : RECONNECT_DELAY_US);
    enum pr_health h = refused ? PR_REFUSED : PR_SILENT;
    bool health_changed = in->health != h;
    set_health(in, h);
    if (health_changed)
        send_probes(in->node); /* the leader must learn of a failure at once */
    if (in->node->leading)
        ct_group_tick(in->node, in->group);
}

static const struct ep_events events = {on_open, on_reply, on_push, on_close};

/* Interval between two probes of an instance: control.probe_ms, or longer if there are so many
 * instances that the node would send more than control.probe_rate per second. A closed
 * connection is noticed at once in any case. */
static int64_t probe_interval_us(const struct ct_node *n)
{
    int64_t by_rate = CK_SEC(1) * n->n_insts / n->s->probe_rate;
    int64_t configured = CK_MS(n->s->probe_ms);
    return by_rate > configured ? by_rate : configured;
}

/* A replica of a serving group is probed less often: entry nodes notice themselves when a
 * replica does not answer reads, and a change of primary probes all instances again. */
static int64_t inst_probe_interval_us(const struct ct_inst *in)
{
    const struct ct_group *g = in->group;
    bool primary = g->primary >= 0 && g->primary < g->n && g->inst[g->primary] == in;
    bool is_calm = g->phase == VW_SERVING && in->health == PR_UP;
    return probe_interval_us(in->node) * (is_calm && !primary ? CALM_REPLICA_PROBE_FACTOR : 1);
}

/* An instance is silent when three probes went unanswered and control.silence_ms has passed. */
static int64_t silence_limit_us(const struct ct_inst *in)
{
    int64_t intervals = 3 * inst_probe_interval_us(in),
            configured = CK_MS(in->node->s->silence_ms);
    return intervals > configured ? intervals : configured;
}

void ct_probe(struct ct_inst *in, int64_t since, int64_t now)
{
    struct ep_request q = {.op = EP_STATUS, .since = since};
    /* The first probe is sent at once, the next after an offset that depends on the instance's
     * id, so that thousands of instances that were connected together are not probed together.
     */
    int64_t every = probe_interval_us(in->node);
    int64_t offset = (int64_t)(XXH64(in->id, strlen(in->id), 0) % (uint64_t)every);
    in->probed_at = in->probed_at ? now : now - offset;
    ct_send_op(in, &q);
}

/* The platform's instances allow few connections, so only the leader connects to them. */
static bool connects_to_instances(const struct ct_node *n)
{
    return !n->platform || n->leading;
}

/* Whether a connection may be opened or closed in this tick; if not, the next tick begins with
 * this group, so that instances that refuse connections don't keep the others from being
 * connected. */
static bool may_change_conn(struct ct_node *n, int group)
{
    if (n->conn_changes_left > 0) {
        n->conn_changes_left--;
        return true;
    }
    if (n->next_group < 0)
        n->next_group = group;
    return false;
}

/* Probes are sent on time whether or not the last one was answered: a slow instance is not
 * silent. */
static void inst_tick(struct ct_inst *in, int group, int64_t now)
{
    const struct st_settings *s = in->node->s;
    if (!connects_to_instances(in->node)) {
        if (in->conn && may_change_conn(in->node, group))
            in->node->driver->close(in->conn);
        return;
    }
    if (!in->conn) {
        char who[64];
        snprintf(who, sizeof(who), "control:%s", s->name);
        struct ep_target to = {in->ip, in->port, in->group->name, in->id};
        if (now >= in->next_connect && may_change_conn(in->node, group))
            in->conn = in->node->driver->open(in->node->loop, &to, who, &events, in);
        if (in->conn)
            in->connecting_since = now;
        return;
    }
    if (!in->open && now - in->connecting_since > silence_limit_us(in))
        set_health(in, PR_SILENT);
    /* A connection may have failed unnoticed while a new one would work. */
    if (now - (in->open ? in->replied_at : in->connecting_since) >
        RECONNECT_AFTER_SILENCES * silence_limit_us(in)) {
        in->node->driver->close(in->conn);
        return;
    }
    if (!in->open)
        return;
    if (now - in->probed_at >= inst_probe_interval_us(in))
        ct_probe(in, 0, now);
    if (now - in->replied_at > silence_limit_us(in) && in->health != PR_SILENT) {
        set_health(in, PR_SILENT);
        send_probes(in->node);
        if (in->node->leading)
            ct_group_tick(in->node, in->group);
    }
}

/* ---- groups and instances of the view ---- */

static struct ct_inst *inst_new(struct ct_node *n, struct ct_group *g,
                                const struct vw_instance *v)
{
    struct ct_inst *in = sr_alloc(sizeof(*in));
    in->node = n;
    in->group = g;
    in->port = v->port;
    in->born = v->born;
    sr_copy(in->id, sizeof(in->id), sr_from(v->id));
    sr_copy(in->ip, sizeof(in->ip), sr_from(v->ip));
    return in;
}

static void inst_remove(struct ct_inst *in)
{
    in->removed = true;
    sh_drop_instance(&in->node->shares, in->id);
    ix_drop(&in->node->inst_index, in->id);
    in->node->n_insts--;
    if (in->conn)
        in->node->driver->close(in->conn);
    else
        free(in);
}

/* From the configuration document in force if it has a value, else from the view. */
static int max_conns(const struct ct_node *n, const struct ct_group *g,
                     const struct vw_instance *in)
{
    const struct cg_service *s = cg_service(&n->catalog, g->name);
    return s && s->max_conns > 0 ? s->max_conns : in->max_conns;
}

/* A group that the document in force lacks may have acknowledged commits under an earlier one:
 * one replica is assumed. */
static int sync_copies(const struct ct_node *n, const struct ct_group *g)
{
    const struct cg_service *s = cg_service(&n->catalog, g->name);
    if (s)
        return s->sync_copies;
    return n->catalog.version > 0 ? 1 : 0;
}

static bool same_process(const struct ct_inst *in, const struct vw_instance *v)
{
    return strcmp(in->id, v->id) == 0 && in->born == v->born;
}

static void sync_instances(struct ct_node *n, struct ct_group *g, const struct vw_group *v)
{
    struct ct_inst *next[VW_MAX_INSTANCES] = {0};
    for (int i = 0; i < v->n; i++) {
        for (int k = 0; k < g->n; k++) {
            if (g->inst[k] && same_process(g->inst[k], &v->inst[i])) {
                next[i] = g->inst[k];
                g->inst[k] = NULL;
            }
        }
        if (!next[i]) {
            next[i] = inst_new(n, g, &v->inst[i]);
            ix_set(&n->inst_index, v->inst[i].id, ix_get(&n->group_index, g->name));
            n->n_insts++;
        }
        sh_set_instance(&n->shares, v->inst[i].id, max_conns(n, g, &v->inst[i]),
                        n->s->conn_reserve);
    }
    for (int k = 0; k < g->n; k++) {
        if (g->inst[k])
            inst_remove(g->inst[k]);
    }
    memcpy(g->inst, next, sizeof(next));
    g->n = v->n;
}

static struct ct_group *group_new(struct ct_node *n, const char *name)
{
    struct ct_group *g = sr_alloc(sizeof(*g));
    sr_copy(g->name, sizeof(g->name), sr_from(name));
    g->phase = VW_SERVING;
    n->failover->begin(n, g);
    n->groups = sr_realloc(n->groups, sizeof(*n->groups) * (size_t)(n->n_groups + 1));
    ix_set(&n->group_index, name, n->n_groups);
    n->groups[n->n_groups++] = g;
    return g;
}

static void sync_group(struct ct_node *n, const struct vw_group *v)
{
    struct ct_group *g = ct_group_of(n, v->name);
    if (!g)
        g = group_new(n, v->name);
    sync_instances(n, g, v);
    if (g->phase != v->phase || g->term != v->term)
        g->phase_generation = n->view.generation;
    g->phase = v->phase;
    g->term = v->term;
    g->primary = v->primary;
    g->sync_copies = sync_copies(n, g);
    g->tick_due = true;
}

void ct_group_sync(struct ct_node *n, const char *name)
{
    const struct vw_group *v = vw_group(&n->view, name);
    if (v)
        sync_group(n, v);
}

void ct_groups_sync(struct ct_node *n)
{
    for (int i = 0; i < n->view.n; i++)
        sync_group(n, &n->view.groups[i]);
}

void ct_watch_begin(struct ct_node *n)
{
    for (int i = 0; i < n->n_groups; i++) {
        n->failover->begin(n, n->groups[i]);
        n->groups[i]->phase_generation = n->view.generation;
    }
}

/* ---- reports from other nodes ---- */

static enum pr_health health_of(enum wr_health h)
{
    static const enum pr_health map[] = {PR_UNKNOWN, PR_UP, PR_SILENT, PR_REFUSED, PR_UNFIT};
    return map[h];
}

void ct_on_probes(struct ct_conn *c, const struct wr_probes *p)
{
    struct ct_node *n = c->node;
    for (uint32_t i = 0; i < p->n; i++) {
        char id[VW_NAME];
        struct ct_group *g = group_of_instance(n, p->probes[i].inst, id);
        if (!g)
            continue;
        n->failover->probed(g, id, c->id, c->domain, health_of(p->probes[i].health));
        if (n->leading && p->probes[i].health >= WR_SILENT)
            ct_group_tick(n, g);
    }
}

void ct_on_check_reply(struct ct_node *n, const struct wr_check *m)
{
    char id[VW_NAME];
    struct ct_group *g = group_of_instance(n, m->inst, id);
    if (!g)
        return;
    n->failover->checked(g, m->nonce, health_of(m->health));
    ct_group_tick(n, g);
}

void ct_on_suspect(struct ct_conn *c, const struct wr_check *m)
{
    char id[VW_NAME];
    struct ct_node *n = c->node;
    struct ct_group *g = group_of_instance(n, m->inst, id);
    if (!g || m->health < WR_SILENT)
        return;
    n->failover->probed(g, id, c->id, c->domain, health_of(m->health));
    ct_group_tick(n, g);
}

/* Whether the instance's health is reported to the leader: it is not up, or its health changed
 * less than REPORT_AFTER_CHANGE_US ago. An instance that stays up costs no message. */
static bool must_report(const struct ct_inst *in, int64_t now)
{
    return in->health != PR_UP || now - in->health_changed_at < REPORT_AFTER_CHANGE_US;
}

/* Sends the results of this node's probes to the leader. */
static void send_probes(struct ct_node *n)
{
    static const enum wr_health map[] = {WR_UNKNOWN, WR_OK, WR_SILENT, WR_REFUSED};
    uint64_t leader = qr_leader(n->q);
    int64_t now = ck_now();
    if (!leader || leader == n->id || !connects_to_instances(n))
        return;
    struct wr_probe *p = sr_alloc(sizeof(*p) * (size_t)n->n_groups * VW_MAX_INSTANCES);
    uint32_t k = 0;
    for (int g = 0; g < n->n_groups; g++) {
        for (int i = 0; i < n->groups[g]->n && k < WR_MAX_PROBES; i++) {
            const struct ct_inst *in = n->groups[g]->inst[i];
            if (!must_report(in, now))
                continue;
            p[k++] = (struct wr_probe){
                sr_from(in->id),      map[in->health],     in->status.primary,  in->status.term,
                in->status.held.term, in->status.held.pos, in->status.following};
        }
    }
    struct wr_msg m = {.type = WR_PROBES, .probes = {k, p}};
    if (k > 0)
        ct_send_peer(n, leader, &m);
    free(p);
}

bool ct_replica_caught_up(void *ud, const char *group, const char *inst)
{
    struct ct_node *n = ud;
    struct ct_group *g = ct_group_of(n, group);
    const struct vw_group *v = vw_group(&n->view, group);
    if (!g || !v || v->primary < 0)
        return false;
    const struct pr_inst *p = pr_inst_of(g, v->inst[v->primary].id);
    const struct pr_inst *r = pr_inst_of(g, inst);
    int64_t oldest = ck_now() - FRESH_PROBE_INTERVALS * probe_interval_us(n);
    if (!p || !r || p->status_at < oldest || r->status_at < oldest)
        return false;
    return r->following == v->term && ps_cmp(r->held, p->held) >= 0;
}

/* Whether no change of primary is running and the primary answers. Each event that ends this
 * state ticks the group at once; ticking all of 940 groups at every tick would take 7 % of a
 * core. */
static bool is_calm(const struct ct_node *n, const struct ct_group *g)
{
    if (g->phase != VW_SERVING || n->failover->busy(g) || g->primary < 0)
        return false;
    return g->inst[g->primary]->health == PR_UP;
}

void ct_watch_tick(struct ct_node *n, int64_t now)
{
    int first = n->next_group > 0 ? n->next_group : 0;
    n->next_group = -1;
    n->conn_changes_left = CONN_CHANGES_PER_TICK;
    for (int k = 0; k < n->n_groups; k++) {
        int g = (first + k) % n->n_groups;
        for (int i = 0; i < n->groups[g]->n; i++)
            inst_tick(n->groups[g]->inst[i], g, now);
        bool scheduled = (n->ticks + (unsigned)g) % CALM_GROUP_TICKS == 0;
        if (scheduled || !is_calm(n, n->groups[g]))
            ct_group_tick(n, n->groups[g]);
    }
    n->ticks++;
    if (now >= n->next_probe_report) {
        n->next_probe_report = now + CK_MS(n->s->probe_ms);
        send_probes(n);
    }
}
