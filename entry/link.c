/* The links to control: the lease, the view, shares, and what this node saw. */
#include <jansson.h>
#include <stdlib.h>

#include "entry/entry.h"
#include "misc/clock.h"
#include "misc/json.h"
#include "route/capacity.h"

enum {
    RENEW_PARTS = 6,         /* renewals in a lease's time */
    SEEK_US = 40000,         /* between renewals while nobody is known to grant one */
    SUSPECT_US = 100000,     /* an instance is reported again at the earliest */
    CHECK_FRESH_US = 150000, /* an instance heard within this is taken for well */
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

/* Whom the last lease is from, if it is live; else a peer without name and address. */
static const struct st_peer *granter(const struct en_node *n)
{
    static const struct st_peer nobody;
    return n->leader >= 0 && en_leased(n) ? &n->links[n->leader].peer : &nobody;
}

const char *en_leader_ip(const struct en_node *n)
{
    return granter(n)->ip;
}

const char *en_leader_name(const struct en_node *n)
{
    return granter(n)->name;
}

/* ---- renewing ---- */

static int wanted(struct en_inst *in)
{
    int want = in->peak_want < 1 ? 1 : in->peak_want;
    in->peak_want -=
        in->peak_want / 4; /* demand is forgotten slowly: a share costs time to get */
    return want;
}

static int held(const struct en_inst *in)
{
    return in->n_conns > in->share ? in->n_conns : in->share;
}

static void renew(struct en_node *n, struct en_link *l, int64_t now, bool stopping)
{
    /* A node that is strong may hold all groups: one left out here would have no share. */
    uint32_t k = 0, cap = WR_MAX_SHARES;
    struct wr_share *shares = sr_alloc(sizeof(*shares) * cap);
    for (int g = 0; g < n->n_groups; g++) {
        for (int i = 0; i < n->groups[g]->cfg.n && k < cap; i++) {
            struct en_inst *in = n->groups[g]->inst[i];
            uint32_t has = (uint32_t)held(in), want = (uint32_t)wanted(in);
            if (!n->groups[g]->held)
                want = 0;
            if (sh_name_in_renewal(&in->named, has, want))
                shares[k++] = (struct wr_share){sr_from(in->cfg.id), has, want};
        }
    }
    if (n->px)
        k = px_wanted_shares(n->px, shares, cap);
    n->c.renewed += k;
    struct wr_msg m = {.type = WR_RENEW};
    m.renew = (struct wr_renew){.seq = ls_renewal_sent(&n->lease, now),
                                .generation = n->acked,
                                .hlc = ck_hlc_now(&n->tl->hlc),
                                .stopping = stopping,
                                .n = k,
                                .shares = shares,
                                .shares_seq = n->shares_seq,
                                .leaving = n->stopping,
                                .nodes = n->nodes_hash};
    if (n->px)
        px_permit_requests(n->px, &m.renew);
    send_msg(l, &m);
    free(m.renew.permits);
    free(shares);
}

static void set_leader(struct en_node *n, int i)
{
    if (n->leader != i)
        n->shares_seq = 0; /* numbers of shares are each leader's own */
    n->leader = i;
}

static void next_leader(struct en_node *n)
{
    for (int k = 1; k <= EN_MAX_LINKS; k++) {
        int i = (n->leader + k + EN_MAX_LINKS) % EN_MAX_LINKS;
        if (!n->links[i].used || !n->links[i].open)
            continue;
        set_leader(n, i);
        return;
    }
}

/* Connections that no renewal has named are asked for as soon as the last one is answered: a
 * node that starts learns only with that answer what there is, and would have none for a sixth
 * of a lease (0.2 s) more. */
static bool renewal_due(struct en_node *n, int64_t now)
{
    int64_t by = n->awaiting ? nt_received_until(n->loop) : now; /* its answer may have come */
    return by >= n->next_renew || (!n->awaiting && n->px && px_has_changes(n->px));
}

/* A few renewals a lease; one that is not answered in time goes to the next control node. */
static void renew_tick(struct en_node *n, int64_t now)
{
    if (!renewal_due(n, now))
        return;
    struct en_link *l = leader(n);
    if (n->awaiting || !l || !l->open)
        next_leader(n);
    l = leader(n);
    if (!l || !l->open)
        return;
    n->awaiting = true;
    n->next_renew = now + CK_MS(n->s->election_ms);
    renew(n, l, now, false);
}

void en_give_back(struct en_node *n)
{
    if (n->px)
        px_permits_discard(n->px);
    if (leader(n))
        renew(n, leader(n), ck_now(), true);
}

/* ---- messages ---- */

static void on_grant(struct en_node *n, const struct wr_grant *g)
{
    int64_t now = ck_now();
    ck_hlc_seen(&n->tl->hlc, g->hlc);
    if (g->duration_ms == 0) {
        n->next_renew = now + SEEK_US;
        return;
    }
    n->awaiting = false;
    n->next_renew = now + CK_MS(g->duration_ms) / RENEW_PARTS;
    if (g->generation > n->view.generation)
        return; /* the view that belongs to it has not come: no lease for an old one */
    ls_granted(&n->lease, g->seq, CK_MS(g->duration_ms));
    if (n->px && g->knows_permits)
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
    n->awaiting = false;
    n->next_renew = ck_now() + SEEK_US;
    for (int i = 0; i < EN_MAX_LINKS; i++) {
        if (n->links[i].used && sr_eq(name, sr_from(n->links[i].peer.name))) {
            set_leader(n, i);
            n->next_renew = ck_now();
            return;
        }
    }
    next_leader(n);
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
        return; /* never backwards */
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
        FL_ERR(&n->log, "view %llu can't be applied: %s", (unsigned long long)v->to, err.text);
        return;
    }
    /* Changes of agreement that are none of ours leave gaps: the leader says where we are. */
    n->view.generation = v->to;
    n->c.views++;
    tl_add(n->tl, TL_VIEW, "", 0, "generation %llu in force, was %llu",
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
            px_share(n->px, s->shares[i].inst, (int)s->shares[i].held);
        struct en_inst *in = en_inst(n, id);
        if (in)
            in->share = (int)s->shares[i].held;
    }
}

static bool read_node(const struct wr_node *x, struct ho_node *to)
{
    *to = (struct ho_node){.port = (int)x->port, .carries = (int)x->carries};
    return sr_copy(to->name, sizeof(to->name), x->name) &&
           sr_copy(to->domain, sizeof(to->domain), x->domain) &&
           sr_copy(to->ip, sizeof(to->ip), x->ip);
}

static void on_nodes(struct en_node *n, const struct wr_nodes *m)
{
    struct ho_node *named = sr_alloc(sizeof(*named) * (size_t)(m->n + m->n_gone + 1));
    struct nl_change ch = {.from = m->from, .to = m->to};
    for (uint32_t i = 0; i < m->n; i++) {
        if (read_node(&m->nodes[i], &named[i]))
            ch.added[ch.n_added++] = &named[i];
    }
    for (uint32_t i = 0; i < m->n_gone; i++) {
        struct ho_node *x = &named[m->n + i];
        if (sr_copy(x->name, sizeof(x->name), m->gone[i]))
            ch.removed[ch.n_removed++] = x->name;
    }
    bool taken = nl_apply(n->nodes, &n->n_nodes, &n->nodes_hash, &ch);
    free(named);
    if (!taken) {
        FL_WARN(&n->log, "a change of the list of nodes belongs to another list; asking anew");
        n->nodes_hash = NL_EMPTY;
        return;
    }
    ho_prepare(n->nodes, n->n_nodes);
    if (n->px)
        px_nodes(n->px, n->nodes, n->n_nodes);
    en_holding_changed(n);
}

static enum wr_health health_by_watch(const struct en_inst *in, int64_t now)
{
    if (in->refusing)
        return WR_REFUSED;
    if (in->watch && now - in->heard <= CHECK_FRESH_US)
        return WR_OK;
    bool unread = in->watch && nt_received_until(in->node->loop) - in->heard <= CHECK_FRESH_US;
    return unread ? WR_UNKNOWN : WR_SILENT;
}

static void on_check(struct en_link *l, const struct wr_check *c)
{
    char id[VW_NAME];
    struct wr_msg m = {.type = WR_CHECKED, .check = *c};
    int64_t now = ck_now();
    m.check.health = l->node->px ? px_health(l->node->px, c->inst) : WR_UNKNOWN;
    struct en_inst *in = sr_copy(id, sizeof(id), c->inst) ? en_inst(l->node, id) : NULL;
    if (in)
        m.check.health = health_by_watch(in, now);
    send_msg(l, &m);
}

void en_suspect(struct en_inst *in, enum wr_health health)
{
    struct en_node *n = in->node;
    int64_t now = ck_now();
    struct en_group *g = in->group;
    if (in->gone || now - in->suspected < SUSPECT_US || in->at != g->cfg.primary)
        return;
    in->suspected = now;
    tl_add(n->tl, TL_SUSPECT, g->cfg.name, g->cfg.term, "%s %s", in->cfg.id,
           health == WR_REFUSED ? "refuses" : "does not answer");
    en_tell_suspicion(n, in->cfg.id, health);
}

void en_tell_suspicion(struct en_node *n, const char *inst, enum wr_health health)
{
    struct wr_msg m = {.type = WR_SUSPECT};
    m.check.inst = sr_from(inst);
    m.check.health = health;
    if (leader(n))
        send_msg(leader(n), &m);
}

/* ---- where control is ---- */

static struct en_link *link_at(struct en_node *n, const char *ip, int port)
{
    for (int i = 0; i < EN_MAX_LINKS; i++) {
        struct en_link *l = &n->links[i];
        if (l->used && l->peer.port == port && strcmp(l->peer.ip, ip) == 0)
            return l;
    }
    return NULL;
}

static struct en_link *add_link(struct en_node *n, const struct st_peer *peer)
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

/* Whether it is this node's own: an observer may be named by its own settings. */
static bool own_address(const struct en_node *n, const struct st_peer *p)
{
    return n->s->observer && p->port == n->s->control_port &&
           strcmp(p->ip, n->s->control_ip) == 0;
}

void en_link_learned(struct en_node *n, struct sr_str name, struct sr_str ip, int port)
{
    struct st_peer p = {.port = port};
    if (sr_copy(p.name, sizeof(p.name), name) && sr_copy(p.ip, sizeof(p.ip), ip) &&
        !own_address(n, &p))
        add_link(n, &p);
}

void en_links_seeds(struct en_node *n)
{
    for (int i = 0; i < EN_MAX_LINKS; i++)
        n->links[i].seed = false;
    for (int i = 0; i < n->s->n_voters; i++) {
        const struct st_peer *p = &n->s->voters[i];
        struct en_link *l = own_address(n, p) ? NULL : add_link(n, p);
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

/* What the leader lists is there; what it does not list and does not answer is forgotten. */
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
        en_link_learned(n, x->name, x->ip, (int)x->port);
    }
}

/* ---- by kind of message ---- */

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
        /* A node that names itself has just been elected. */
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

/* ---- sockets ---- */

/* Where other entry nodes send callers on to. */
static int callers_port(const struct st_settings *s)
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
        .port = (uint32_t)callers_port(s),
        .role = s->observer ? WR_ROLE_OBSERVER : WR_ROLE_ENTRY,
        .id = l->node->id,
        .carries = (uint32_t)cp_statements_per_s(s->link_kbps, s->core_permille),
        .http = (uint32_t)s->entry_port};
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
    FL_WARN(&l->node->log, "control %s: %s; closing", l->peer.name, err.text);
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
        l->node->next_renew = 0; /* ask another at once */
    rd_closed(&l->line, ck_now());
}

static const struct nt_ops link_ops = {on_open, on_message, on_close};

/* ---- start and time ---- */

void en_links_start(struct en_node *n)
{
    n->leader = -1;
    n->nodes_hash = NL_EMPTY;
    n->next_renew = ck_now();
    en_links_seeds(n);
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
    renew_tick(n, now);
}
