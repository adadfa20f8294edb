/* Instances: connections, probes, and the evidence that comes from them. */
#include <stdlib.h>

#include <xxhash.h>

#include "control/control.h"
#include "misc/clock.h"

enum {
    RETRY_US = 30000,
    SILENT_TIMES = 3, /* a connection is made anew after so many times what counts as silent */
    FRESH_PROBES = 4,
    /* Probes of a calm replica are so many times rarer: each takes a slot and bytes. With three
     * instances a group that is 4 probes of 9 fewer. */
    CALM_REPLICA_TIMES = 3,
    TELL_US = 1000000,
    CALM_EVERY = 10, /* ticks between two looks at a group where nothing is under way */
    /* Connections made or closed in a tick: all of a thousand in one would take a new leader
     * longer than its followers wait for a heartbeat. */
    LINES_A_TICK = 16,
};

/* ---- finding ---- */

struct ct_group *ct_group_of(struct ct_node *n, const char *name)
{
    int i = ix_get(&n->group_index, name);
    return i == IX_NONE ? NULL : n->groups[i];
}

/* The group of the instance that a message names; its id goes to `id`. */
static struct ct_group *group_with(struct ct_node *n, struct sr_str inst, char id[VW_NAME])
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
    return q->id;
}

static void report(struct ct_inst *in, enum pr_health health)
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

static void on_reply(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    struct ct_inst *in = ud;
    struct ct_node *n = in->node;
    int64_t now = ck_now();
    (void)c;
    tf_count_probe(&n->traffic, TF_PROBE_ANSWERED);
    in->replied_at = now;
    in->status = *r;
    in->status.value = SR_LIT("");
    struct ct_group *g = in->group;
    if (in->removed)
        return;
    report(in, PR_UP);
    if (r->result == EP_OK)
        n->failover->replied(g, in->id, r);
    bool event = g->phase != VW_SERVING;
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
    if (event && n->leading)
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
    in->fence_id = in->promote_id = 0;
    if (in->removed) {
        free(in);
        return;
    }
    /* A connection that was good is tried anew at once: a refusal tells that the process died.
     */
    in->next_connect = ck_now() + (opened ? 0 : RETRY_US);
    enum pr_health h = refused ? PR_REFUSED : PR_SILENT;
    bool news = in->health != h;
    report(in, h);
    if (news)
        send_probes(in->node); /* a death is worth a message of its own */
    if (in->node->leading)
        ct_group_tick(in->node, in->group);
}

static const struct ep_events events = {on_open, on_reply, on_push, on_close};

/* Between two probes of an instance: as set, or longer if there are so many that the node would
 * send more than control.probe_rate. A closed connection is noticed at once all the same. */
static int64_t probe_every(const struct ct_node *n)
{
    int64_t by_rate = CK_SEC(1) * n->n_insts / n->s->probe_rate;
    int64_t set = CK_MS(n->s->probe_ms);
    return by_rate > set ? by_rate : set;
}

/* A replica of a group that serves is asked more rarely: entry nodes notice by themselves what
 * does not answer reads, and a change of primary asks all anew. */
static int64_t probe_every_of(const struct ct_inst *in)
{
    const struct ct_group *g = in->group;
    bool primary = g->primary >= 0 && g->primary < g->n && g->inst[g->primary] == in;
    bool calm = g->phase == VW_SERVING && in->health == PR_UP;
    return probe_every(in->node) * (calm && !primary ? CALM_REPLICA_TIMES : 1);
}

/* Silent means that three probes went unanswered. */
static int64_t silent_after(const struct ct_inst *in)
{
    int64_t three = 3 * probe_every_of(in), set = CK_MS(in->node->s->silence_ms);
    return three > set ? three : set;
}

void ct_probe(struct ct_inst *in, int64_t now)
{
    struct ep_request q = {.op = EP_STATUS};
    /* The first goes out at once, the next at a time of the instance's own: thousands that were
     * connected together are not to be probed together for ever. */
    int64_t every = probe_every(in->node);
    int64_t offset = (int64_t)(XXH64(in->id, strlen(in->id), 0) % (uint64_t)every);
    in->probed_at = in->probed_at ? now : now - offset;
    ct_send_op(in, &q);
}

/* Where connections to instances are scarce only the leader has one. */
static bool watches(const struct ct_node *n)
{
    return !n->platform || n->leading;
}

/* Whether a connection may be made or closed in this tick; if not, the next one begins with
 * this group, so that those that refuse don't keep others from their turn. */
static bool may_change_line(struct ct_node *n, int group)
{
    if (n->conn_changes_left > 0) {
        n->conn_changes_left--;
        return true;
    }
    if (n->next_group < 0)
        n->next_group = group;
    return false;
}

/* Probes go out on time whether or not the last one was answered: slow is not silent. */
static void inst_tick(struct ct_inst *in, int group, int64_t now)
{
    const struct st_settings *s = in->node->s;
    if (!watches(in->node)) {
        if (in->conn && may_change_line(in->node, group))
            in->node->driver->close(in->conn);
        return;
    }
    if (!in->conn) {
        char who[64];
        snprintf(who, sizeof(who), "control:%s", s->name);
        struct ep_target to = {in->ip, in->port, in->group->name, in->id};
        if (now >= in->next_connect && may_change_line(in->node, group))
            in->conn = in->node->driver->open(in->node->loop, &to, who, &events, in);
        if (in->conn)
            in->connecting_since = now;
        return;
    }
    if (!in->open && now - in->connecting_since > silent_after(in))
        report(in, PR_SILENT);
    /* A connection may be silent for good while a new one would work. */
    if (now - (in->open ? in->replied_at : in->connecting_since) >
        SILENT_TIMES * silent_after(in)) {
        in->node->driver->close(in->conn);
        return;
    }
    if (!in->open)
        return;
    if (now - in->probed_at >= probe_every_of(in))
        ct_probe(in, now);
    if (now - in->replied_at > silent_after(in) && in->health != PR_SILENT) {
        report(in, PR_SILENT);
        send_probes(in->node);
        if (in->node->leading)
            ct_group_tick(in->node, in->group);
    }
}

/* ---- groups follow the view ---- */

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

static void inst_gone(struct ct_inst *in)
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

/* As the document in force says, else as the instance's entry does. */
static int max_conns(const struct ct_node *n, const struct ct_group *g,
                     const struct vw_instance *in)
{
    const struct cg_service *s = cg_service(&n->catalog, g->name);
    return s && s->max_conns > 0 ? s->max_conns : in->max_conns;
}

static bool same_life(const struct ct_inst *in, const struct vw_instance *v)
{
    return strcmp(in->id, v->id) == 0 && in->born == v->born;
}

static void sync_instances(struct ct_node *n, struct ct_group *g, const struct vw_group *v)
{
    struct ct_inst *next[VW_MAX_INSTANCES] = {0};
    for (int i = 0; i < v->n; i++) {
        for (int k = 0; k < g->n; k++) {
            if (g->inst[k] && same_life(g->inst[k], &v->inst[i])) {
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
            inst_gone(g->inst[k]);
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

/* ---- evidence from others ---- */

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
        struct ct_group *g = group_with(n, p->probes[i].inst, id);
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
    struct ct_group *g = group_with(n, m->inst, id);
    if (!g)
        return;
    n->failover->checked(g, m->nonce, health_of(m->health));
    ct_group_tick(n, g);
}

void ct_on_suspect(struct ct_conn *c, const struct wr_check *m)
{
    char id[VW_NAME];
    struct ct_node *n = c->node;
    struct ct_group *g = group_with(n, m->inst, id);
    if (!g || m->health < WR_SILENT)
        return;
    n->failover->probed(g, id, c->id, c->domain, health_of(m->health));
    ct_group_tick(n, g);
}

/* Whether the leader should hear of it now: it is not up, or that has just changed. What is up
 * and stays so costs no message. */
static bool worth_telling(const struct ct_inst *in, int64_t now)
{
    return in->health != PR_UP || now - in->health_changed_at < TELL_US;
}

/* What this node's probes see goes to the leader. */
static void send_probes(struct ct_node *n)
{
    static const enum wr_health map[] = {WR_UNKNOWN, WR_OK, WR_SILENT, WR_REFUSED};
    uint64_t leader = qr_leader(n->q);
    int64_t now = ck_now();
    if (!leader || leader == n->id || !watches(n))
        return;
    struct wr_probe *p = sr_alloc(sizeof(*p) * (size_t)n->n_groups * VW_MAX_INSTANCES);
    uint32_t k = 0;
    for (int g = 0; g < n->n_groups; g++) {
        for (int i = 0; i < n->groups[g]->n && k < WR_MAX_PROBES; i++) {
            const struct ct_inst *in = n->groups[g]->inst[i];
            if (!worth_telling(in, now))
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
    int64_t oldest = ck_now() - FRESH_PROBES * probe_every(n);
    if (!p || !r || p->said_at < oldest || r->said_at < oldest)
        return false;
    return r->following == v->term && ps_cmp(r->held, p->held) >= 0;
}

/* Nothing is under way and the primary answers: whatever ends that is news, which ticks the
 * group at once. Every group at every tick would be 7 % of a core for 940 of them. */
static bool calm(const struct ct_node *n, const struct ct_group *g)
{
    if (g->phase != VW_SERVING || n->failover->busy(g) || g->primary < 0)
        return false;
    return g->inst[g->primary]->health == PR_UP;
}

void ct_watch_tick(struct ct_node *n, int64_t now)
{
    int first = n->next_group > 0 ? n->next_group : 0;
    n->next_group = -1;
    n->conn_changes_left = LINES_A_TICK;
    for (int k = 0; k < n->n_groups; k++) {
        int g = (first + k) % n->n_groups;
        for (int i = 0; i < n->groups[g]->n; i++)
            inst_tick(n->groups[g]->inst[i], g, now);
        bool turn = (n->ticks + (unsigned)g) % CALM_EVERY == 0;
        if (turn || !calm(n, n->groups[g]))
            ct_group_tick(n, n->groups[g]);
    }
    n->ticks++;
    if (now >= n->next_probe_report) {
        n->next_probe_report = now + CK_MS(n->s->probe_ms);
        send_probes(n);
    }
}
