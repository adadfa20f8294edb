/* Connections of an entry node to the control nodes. They carry lease renewals, view updates,
 * connection shares, permits, node lists, and health reports of instances. */
#include <jansson.h>
#include <stdlib.h>

#include "entry/entry.h"
#include "misc/clock.h"
#include "misc/json.h"
#include "route/capacity.h"

enum {
    RENEWALS_PER_LEASE = 6,       /* renewals per lease duration */
    LEADER_RETRY_US = 40000,      /* between renewals while no control node grants a lease */
    SUSPECT_INTERVAL_US = 100000, /* shortest time between two reports of an instance */
    HEALTH_FRESH_US = 150000,     /* an instance that replied within this time is healthy */
};

static void send_msg(struct en_link *l, const struct wr_msg *m)
{
    struct sr_buf b = {0};
    wr_encode(&b, m);
    if (l->net && l->open)
        nt_send(l->net, b.p, b.len);
    sr_buf_free(&b);
}

static struct en_link *leader(struct en_node *n)
{
    return n->leader >= 0 ? &n->links[n->leader] : NULL;
}

/* The control node that granted the lease, if the lease is valid; otherwise a peer with an
 * empty name and address. */
static const struct st_peer *lease_granter(const struct en_node *n)
{
    static const struct st_peer no_peer;
    return n->leader >= 0 && en_leased(n) ? &n->links[n->leader].peer : &no_peer;
}

const char *en_leader_ip(const struct en_node *n)
{
    return lease_granter(n)->ip;
}

const char *en_leader_name(const struct en_node *n)
{
    return lease_granter(n)->name;
}

/* ---- lease renewal ---- */

static int wanted_connections(struct en_inst *in)
{
    int want = in->peak_demand < 1 ? 1 : in->peak_demand;
    in->peak_demand -=
        in->peak_demand / 4; /* decays slowly because getting a share back takes time */
    return want;
}

static int held_connections(const struct en_inst *in)
{
    return in->n_conns > in->share ? in->n_conns : in->share;
}

static void send_renewal(struct en_node *n, struct en_link *l, int64_t now, bool stopping)
{
    /* A node with much capacity may hold all groups, and an instance that is missing here would
     * get no share. */
    uint32_t k = 0, cap = WR_MAX_SHARES;
    struct wr_share *shares = sr_alloc(sizeof(*shares) * cap);
    for (int g = 0; g < n->n_groups; g++) {
        for (int i = 0; i < n->groups[g]->cfg.n && k < cap; i++) {
            struct en_inst *in = n->groups[g]->inst[i];
            uint32_t has = (uint32_t)held_connections(in),
                     want = (uint32_t)wanted_connections(in);
            if (!n->groups[g]->held)
                want = 0;
            if (sh_name_in_renewal(&in->renewals_left, has, want))
                shares[k++] = (struct wr_share){sr_from(in->cfg.id), has, want};
        }
    }
    if (n->px)
        k = px_wanted_shares(n->px, shares, cap);
    n->c.renewed_instances += k;
    struct wr_msg m = {.type = WR_RENEW};
    m.renew = (struct wr_renew){.seq = ls_renewal_sent(&n->lease, now),
                                .generation = n->acked_generation,
                                .hlc = ck_hlc_now(&n->tl->hlc),
                                .stopping = stopping,
                                .n = k,
                                .shares = shares,
                                .shares_seq = n->shares_seq,
                                .leaving = n->stopping,
                                .nodes_hash = n->nodes_hash};
    if (n->px)
        px_permit_requests(n->px, &m.renew);
    send_msg(l, &m);
    free(m.renew.permits);
    free(shares);
}

static void set_leader(struct en_node *n, int i)
{
    if (n->leader != i)
        n->shares_seq = 0; /* each leader numbers its share messages itself */
    n->leader = i;
}

static void select_next_link(struct en_node *n)
{
    for (int k = 1; k <= EN_MAX_LINKS; k++) {
        int i = (n->leader + k + EN_MAX_LINKS) % EN_MAX_LINKS;
        if (!n->links[i].used || !n->links[i].open)
            continue;
        set_leader(n, i);
        return;
    }
}

/* Connections that no renewal has requested yet are requested as soon as the last renewal is
 * answered. A starting node learns the instances only from that answer, and would otherwise
 * have no connections for another sixth of a lease (0.2 s). */
static bool renewal_due(struct en_node *n, int64_t now)
{
    /* The answer to the last renewal may be received but unread. */
    int64_t heard_until = n->renewal_pending ? nt_received_until(n->loop) : now;
    return heard_until >= n->next_renew_at ||
           (!n->renewal_pending && n->px && px_has_changes(n->px));
}

/* Sends RENEWALS_PER_LEASE renewals per lease. After a renewal that was not answered in time,
 * the next one goes to another control node. */
static void renewal_tick(struct en_node *n, int64_t now)
{
    if (!renewal_due(n, now))
        return;
    struct en_link *l = leader(n);
    if (n->renewal_pending || !l || !l->open)
        select_next_link(n);
    l = leader(n);
    if (!l || !l->open)
        return;
    n->renewal_pending = true;
    n->next_renew_at = now + CK_MS(n->s->election_ms);
    send_renewal(n, l, now, false);
}

void en_release_lease(struct en_node *n)
{
    if (n->px)
        px_permits_discard(n->px);
    if (leader(n))
        send_renewal(n, leader(n), ck_now(), true);
}

/* ---- messages ---- */

static void on_grant(struct en_node *n, const struct wr_grant *g)
{
    int64_t now = ck_now();
    ck_hlc_seen(&n->tl->hlc, g->hlc);
    if (g->duration_ms == 0) {
        n->next_renew_at = now + LEADER_RETRY_US;
        return;
    }
    n->renewal_pending = false;
    n->next_renew_at = now + CK_MS(g->duration_ms) / RENEWALS_PER_LEASE;
    if (g->generation > n->view.generation)
        return; /* this node's view is older than the grant: it must not act on that view */
    ls_granted(&n->lease, g->seq, CK_MS(g->duration_ms));
    if (n->px && g->permits_known)
        px_permits_renewed(n->px, ls_renewal_sent_at(&n->lease, g->seq));
    else if (n->px)
        px_permits_report_all(n->px);
    if (!n->had_lease && en_leased(n)) {
        n->had_lease = true;
        FL_EVENT(&n->log, LG_INFO, "lease_held", "generation=%llu",
                 (unsigned long long)n->view.generation);
        tl_add(n->tl, TL_LEASE_HELD, "", 0, "lease held, generation %llu",
               (unsigned long long)n->view.generation);
        for (int i = 0; i < n->n_groups; i++)
            en_unpark(n->groups[i]);
    }
}

static void on_not_leader(struct en_node *n, struct sr_str name)
{
    n->renewal_pending = false;
    n->next_renew_at = ck_now() + LEADER_RETRY_US;
    for (int i = 0; i < EN_MAX_LINKS; i++) {
        if (n->links[i].used && sr_eq(name, sr_from(n->links[i].peer.name))) {
            set_leader(n, i);
            n->next_renew_at = ck_now();
            return;
        }
    }
    select_next_link(n);
}

static bool apply_changes(struct en_node *n, const json_t *list, struct er_err *err)
{
    size_t i;
    json_t *pair;
    json_array_foreach(list, i, pair)
    {
        struct vw_change ch;
        uint64_t index = (uint64_t)json_integer_value(json_array_get(pair, 0));
        if (index <= n->view.generation)
            continue;
        if (!vw_change_parse(json_array_get(pair, 1), &ch, err) ||
            !vw_apply(&n->view, index, &ch, err))
            return false;
    }
    return true;
}

static void on_view(struct en_node *n, const struct wr_view *v)
{
    struct er_err err = {0};
    uint64_t before = n->view.generation;
    if (v->to <= before)
        return; /* a view is never replaced by an older one */
    json_t *j = js_load(v->text);
    bool ok = false;
    if (v->from == 0) {
        n->c.snapshots++;
        ok = j && vw_view_parse(j, &n->view, &err);
    } else if (v->from <= before) {
        ok = json_is_array(j) && apply_changes(n, j, &err);
    }
    json_decref(j);
    if (!ok) {
        FL_ERR(&n->log, "view generation %llu can't be applied: %s", (unsigned long long)v->to,
               err.text);
        return;
    }
    /* The control log also has entries that change no view, so the generations of the changes
     * have gaps. The leader sends the generation that the view has reached. */
    n->view.generation = v->to;
    n->c.views++;
    tl_add(n->tl, TL_VIEW, "", 0, "generation %llu applied, previously %llu",
           (unsigned long long)v->to, (unsigned long long)before);
    en_view_changed(n);
    en_ack_view(n);
}

void en_send_ack(struct en_node *n, uint64_t generation)
{
    struct wr_msg m = {.type = WR_ACK, .ack = generation};
    if (leader(n))
        send_msg(leader(n), &m);
}

static void on_shares(struct en_node *n, const struct wr_shares *s)
{
    n->shares_seq = s->seq;
    if (n->px)
        px_permits_granted(n->px, ls_renewal_sent_at(&n->lease, s->renewal), s->permits,
                           s->n_permits);
    for (uint32_t i = 0; i < s->n; i++) {
        char id[VW_NAME];
        if (!sr_copy(id, sizeof(id), s->shares[i].inst))
            continue;
        if (n->px)
            px_set_share(n->px, s->shares[i].inst, (int)s->shares[i].held);
        struct en_inst *in = en_inst(n, id);
        if (in)
            in->share = (int)s->shares[i].held;
    }
}

static bool parse_node(const struct wr_node *x, struct ho_node *to)
{
    *to = (struct ho_node){.port = (int)x->port, .carries = (int)x->capacity};
    return sr_copy(to->name, sizeof(to->name), x->name) &&
           sr_copy(to->domain, sizeof(to->domain), x->domain) &&
           sr_copy(to->ip, sizeof(to->ip), x->ip);
}

static void on_nodes(struct en_node *n, const struct wr_nodes *m)
{
    struct ho_node *parsed = sr_alloc(sizeof(*parsed) * (size_t)(m->n + m->n_removed + 1));
    struct nl_change ch = {.from = m->from, .to = m->to};
    for (uint32_t i = 0; i < m->n; i++) {
        if (parse_node(&m->nodes[i], &parsed[i]))
            ch.added[ch.n_added++] = &parsed[i];
    }
    for (uint32_t i = 0; i < m->n_removed; i++) {
        struct ho_node *x = &parsed[m->n + i];
        if (sr_copy(x->name, sizeof(x->name), m->removed[i]))
            ch.removed[ch.n_removed++] = x->name;
    }
    bool applied = nl_apply(n->nodes, &n->n_nodes, &n->nodes_hash, &ch);
    free(parsed);
    if (!applied) {
        FL_WARN(&n->log,
                "node list update does not match the current list; requesting the full list");
        n->nodes_hash = NL_EMPTY;
        return;
    }
    ho_prepare(n->nodes, n->n_nodes);
    if (n->px)
        px_set_nodes(n->px, n->nodes, n->n_nodes);
    en_update_holders(n);
}

static enum wr_health health_from_watch(const struct en_inst *in, int64_t now)
{
    if (in->refusing)
        return WR_REFUSED;
    if (in->status_ep && now - in->last_received <= HEALTH_FRESH_US)
        return WR_OK;
    bool reply_may_be_unread =
        in->status_ep &&
        nt_received_until(in->node->loop) - in->last_received <= HEALTH_FRESH_US;
    return reply_may_be_unread ? WR_UNKNOWN : WR_SILENT;
}

static void on_check(struct en_link *l, const struct wr_check *c)
{
    char id[VW_NAME];
    struct wr_msg m = {.type = WR_CHECKED, .check = *c};
    int64_t now = ck_now();
    m.check.health = l->node->px ? px_instance_health(l->node->px, c->inst) : WR_UNKNOWN;
    struct en_inst *in = sr_copy(id, sizeof(id), c->inst) ? en_inst(l->node, id) : NULL;
    if (in)
        m.check.health = health_from_watch(in, now);
    send_msg(l, &m);
}

void en_report_inst(struct en_inst *in, enum wr_health health)
{
    struct en_node *n = in->node;
    int64_t now = ck_now();
    struct en_group *g = in->group;
    if (in->removed || now - in->suspected_at < SUSPECT_INTERVAL_US ||
        in->index != g->cfg.primary)
        return;
    in->suspected_at = now;
    tl_add(n->tl, TL_SUSPECT, g->cfg.name, g->cfg.term, "%s %s", in->cfg.id,
           health == WR_REFUSED ? "refuses" : "does not answer");
    en_send_suspicion(n, in->cfg.id, health);
}

void en_send_suspicion(struct en_node *n, const char *inst, enum wr_health health)
{
    struct wr_msg m = {.type = WR_SUSPECT};
    m.check.inst = sr_from(inst);
    m.check.health = health;
    if (leader(n))
        send_msg(leader(n), &m);
}

/* ---- addresses of control nodes ---- */

static struct en_link *link_at(struct en_node *n, const char *ip, int port)
{
    for (int i = 0; i < EN_MAX_LINKS; i++) {
        struct en_link *l = &n->links[i];
        if (l->used && l->peer.port == port && strcmp(l->peer.ip, ip) == 0)
            return l;
    }
    return NULL;
}

static struct en_link *find_or_add_link(struct en_node *n, const struct st_peer *peer)
{
    struct en_link *l = link_at(n, peer->ip, peer->port);
    for (int i = 0; !l && i < EN_MAX_LINKS; i++) {
        if (n->links[i].used || n->links[i].net)
            continue;
        l = &n->links[i];
        *l = (struct en_link){.node = n, .used = true, .peer = *peer};
    }
    return l;
}

/* Whether the address is this node's own: the settings of an observer may list the observer. */
static bool is_own_address(const struct en_node *n, const struct st_peer *p)
{
    return n->s->observer && p->port == n->s->control_port &&
           strcmp(p->ip, n->s->control_ip) == 0;
}

void en_link_add(struct en_node *n, struct sr_str name, struct sr_str ip, int port)
{
    struct st_peer p = {.port = port};
    if (sr_copy(p.name, sizeof(p.name), name) && sr_copy(p.ip, sizeof(p.ip), ip) &&
        !is_own_address(n, &p))
        find_or_add_link(n, &p);
}

void en_links_update_seeds(struct en_node *n)
{
    for (int i = 0; i < EN_MAX_LINKS; i++)
        n->links[i].seed = false;
    for (int i = 0; i < n->s->n_voters; i++) {
        const struct st_peer *p = &n->s->voters[i];
        struct en_link *l = is_own_address(n, p) ? NULL : find_or_add_link(n, p);
        if (l)
            l->seed = true;
    }
}

static bool in_list(const struct wr_nodes *list, const struct st_peer *p)
{
    for (uint32_t i = 0; i < list->n; i++) {
        if (sr_eq(list->nodes[i].ip, sr_from(p->ip)) && (int)list->nodes[i].port == p->port)
            return true;
    }
    return false;
}

/* Adds links to the control nodes that the list names. If the list is from the leader, links
 * to nodes that it does not name, that are not open and not from the settings are removed. */
static void on_controls(struct en_link *from, const struct wr_nodes *list)
{
    struct en_node *n = from->node;
    for (int i = 0; leader(n) == from && i < EN_MAX_LINKS; i++) {
        struct en_link *l = &n->links[i];
        if (l->used && !l->open && !l->seed && !in_list(list, &l->peer)) {
            l->used = false;
            if (l->net)
                nt_close(l->net, true);
        }
    }
    for (uint32_t i = 0; i < list->n; i++) {
        const struct wr_node *x = &list->nodes[i];
        en_link_add(n, x->name, x->ip, (int)x->port);
    }
}

/* ---- dispatch ---- */

static void dispatch(struct en_link *l, const struct wr_msg *m)
{
    struct en_node *n = l->node;
    bool is_leader = leader(n) == l;
    switch (m->type) {
    case WR_GRANT:
        if (is_leader)
            on_grant(n, &m->grant);
        break;
    case WR_NOT_LEADER:
        /* A node that reports itself as leader has just been elected. */
        if (is_leader || sr_eq(m->leader, sr_from(l->peer.name)))
            on_not_leader(n, m->leader);
        break;
    case WR_VIEW:
        on_view(n, &m->view);
        break;
    case WR_SHARES:
        if (is_leader)
            on_shares(n, &m->shares);
        break;
    case WR_CHECK:
        on_check(l, &m->check);
        break;
    case WR_NODES:
        if (is_leader)
            on_nodes(n, &m->nodes);
        break;
    case WR_CONTROLS:
        on_controls(l, &m->nodes);
        break;
    default:
        break;
    }
}

/* ---- connections ---- */

/* The port that other entry nodes forward callers to. */
static int advertised_port(const struct st_settings *s)
{
    return s->sessions.port ? s->sessions.port : s->entry_port;
}

static void on_open(struct nt_conn *net, void *ud)
{
    struct en_link *l = ud;
    const struct st_settings *s = l->node->s;
    (void)net;
    l->open = true;
    rd_opened(&l->line);
    struct wr_msg m = {.type = WR_HELLO};
    m.hello = (struct wr_hello){
        .version = WR_VERSION,
        .cluster = sr_from(s->cluster),
        .name = sr_from(s->name),
        .domain = sr_from(s->domain),
        .ip = sr_from(s->entry_ip),
        .port = (uint32_t)advertised_port(s),
        .role = s->observer ? WR_ROLE_OBSERVER : WR_ROLE_ENTRY,
        .id = l->node->id,
        .capacity = (uint32_t)cp_statements_per_s(s->link_kbps, s->core_permille),
        .http_port = (uint32_t)s->entry_port};
    send_msg(l, &m);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct en_link *l = ud;
    struct wr_msg m;
    struct er_err err = {0};
    if (wr_decode(&l->node->dec, data, len, &m, &err)) {
        dispatch(l, &m);
        return;
    }
    FL_WARN(&l->node->log, "control node %s: %s; closing the connection", l->peer.name,
            err.text);
    nt_close(net, true);
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct en_link *l = ud;
    (void)net;
    (void)opened;
    (void)refused;
    l->net = NULL;
    l->open = false;
    if (leader(l->node) == l)
        l->node->next_renew_at = 0; /* send the next renewal at once, to another node */
    rd_closed(&l->line, ck_now());
}

static const struct nt_ops link_ops = {on_open, on_message, on_close};

/* ---- start and timer ---- */

void en_links_start(struct en_node *n)
{
    n->leader = -1;
    n->nodes_hash = NL_EMPTY;
    n->next_renew_at = ck_now();
    en_links_update_seeds(n);
}

void en_links_tick(struct en_node *n, int64_t now)
{
    for (int i = 0; i < EN_MAX_LINKS; i++) {
        struct en_link *l = &n->links[i];
        if (l->used && !l->net && rd_due(&l->line, now)) {
            l->net = nt_connect(n->loop, l->peer.ip, l->peer.port, true, &link_ops, l);
            nt_meter(l->net, &n->control_traffic);
            rd_connect_started(&l->line, now);
        } else if (l->net && !l->open &&
                   rd_connect_timed_out(&l->line, nt_received_until(n->loop))) {
            rd_connect_abandoned(&l->line);
            nt_close(l->net, true);
        }
    }
    renewal_tick(n, now);
}
