/* Entry nodes: leases, the view they act on, their shares. */
#include <stdlib.h>

#include "control/control.h"
#include "misc/clock.h"

enum {
    MAX_VIEWS_QUEUED = 8 << 20,
    NODES_EVERY_US = 100000,
    /* A quorum's answer to a heartbeat is late if none that is younger than so many was
     * answered: one is under way always, and elections wait for four (their settings'
     * defaults). */
    LATE_HEARTBEATS = 2,
    /* A node whose lease ran out is listed so long while its connection is there: it is stalled
     * or behind a slow link and comes back, and each change of the list moves groups and with
     * them sessions. Origin: above the time in which a dark peer's connection ends (2.5 s). */
    NODES_KEPT_US = 3000000,
    /* Nodes that start together come to a new leader one after the other, and each change of
     * the list moves groups: none has come for so long. Two trips and a lease between domains.
     */
    JOIN_PAUSE_US = 50000,
};

/* Whole views on their way to nodes: hundreds that start together would each have one queued.
 */
static size_t views_queued(const struct ct_node *n)
{
    size_t sum = 0;
    for (const struct ct_conn *c = n->conns; c; c = c->next)
        sum += c->net ? nt_queued(c->net) : 0;
    return sum;
}

static void make_frame(struct ct_node *n, uint64_t from, struct ct_cached_frame *f)
{
    struct wr_msg m = {.type = WR_VIEW};
    char *text = ct_changes_since(n, from, &m.view.from);
    m.view.to = n->view.generation;
    m.view.text = sr_from(text);
    f->from = from;
    f->to = m.view.to;
    f->bytes.len = 0;
    wr_encode(&f->bytes, &m);
    free(text);
}

/* What nodes of generation `from` lack, encoded; made anew only if it is not what was sent
 * last: a change goes to all nodes at once, and hundreds that start together ask for the same.
 */
static const struct ct_cached_frame *view_frame(struct ct_node *n, uint64_t from, bool whole)
{
    struct ct_cached_frame *f = whole ? &n->whole_frame : &n->changes_frame;
    bool same = f->bytes.len && f->to == n->view.generation && (whole || f->from == from);
    if (!same)
        make_frame(n, from, f);
    return f;
}

/* Whether the node is to learn the newest changes with the next batch. */
static bool batch_waits(const struct ct_conn *c)
{
    return c->node->unsent_changes.pending && c->sent_generation;
}

/* Whether the newest view goes out to the node later, and it acts on the one before meanwhile.
 */
static bool view_waits(const struct ct_conn *c, int64_t now)
{
    int64_t lease = CK_MS(c->node->s->lease_ms);
    return batch_waits(c) ||
           (c->sent_generation && pv_keeps_lease(&c->pending_view, lease, now));
}

/* Send what the node is missing, once per connection. A node that must wait gets it in a later
 * tick, or with one of its next renewals. */
static void send_view(struct ct_conn *c, uint64_t has)
{
    struct ct_node *n = c->node;
    uint64_t from = c->sent_generation > has ? c->sent_generation : has;
    if (from >= n->view.generation || batch_waits(c) ||
        !pv_try_send(&c->pending_view, &n->pace, ck_now()))
        return;
    bool whole = ct_needs_whole_view(n, from);
    if (whole && views_queued(n) > MAX_VIEWS_QUEUED)
        return;
    const struct ct_cached_frame *f = view_frame(n, from, whole);
    n->counters.views++;
    n->counters.snapshots += whole;
    n->counters.view_bytes += f->bytes.len;
    tf_count_out(&n->traffic, WR_VIEW, f->bytes.len);
    vp_spent(&n->pace, (int64_t)f->bytes.len);
    c->sent_generation = n->view.generation;
    c->view_sent_at = ck_now();
    if (c->net)
        nt_send(c->net, f->bytes.p, f->bytes.len);
}

/* A node that still reports an older generation well after a view was sent did not get it, or
 * could not apply it: send again from where it is. Without this it would hold a lease that it
 * can't use, and every change of primary would wait for that lease. */
static void note_generation(struct ct_conn *c, uint64_t has, int64_t now)
{
    bool late = now - c->view_sent_at > CK_MS(c->node->s->lease_ms) / 2;
    if (has == 0 || has > c->sent_generation || late)
        c->sent_generation = has;
}

void ct_push_view(struct ct_node *n)
{
    for (struct ct_conn *c = n->conns; c; c = c->next) {
        bool knows = c->greeted && c->role == WR_ROLE_ENTRY;
        if (knows && (c->sent_generation || c->pending_view.waiting))
            send_view(c, c->sent_generation);
    }
}

/* Instances that come and go: many at once, and callers are served meanwhile. */
static bool can_wait(enum vw_change_kind kind)
{
    return kind == VW_CH_JOIN || kind == VW_CH_LEAVE || kind == VW_CH_DRAIN;
}

void ct_view_changed(struct ct_node *n, enum vw_change_kind kind)
{
    if (vp_batch_add(&n->unsent_changes, can_wait(kind), n->n_conns, ck_now()))
        ct_push_view(n);
}

static void take_shares(struct ct_conn *c, const struct wr_renew *r, int64_t now)
{
    struct ct_node *n = c->node;
    int64_t until = r->stopping ? now : now + n->leases.lease_us;
    for (uint32_t i = 0; i < r->n; i++) {
        char id[VW_NAME];
        if (!sr_copy(id, sizeof(id), r->shares[i].inst))
            continue;
        bool news = sh_report(&n->shares, id, c->id, (int)r->shares[i].held,
                              (int)r->shares[i].want, r->shares_seq, until, now);
        if (news)
            sh_balance(&n->shares, id, now);
    }
}

/* Tell the node those of its shares that changed since it was told, or all of them the first
 * time. A renewal names every instance that the node holds or wants connections to: it has no
 * share in others. */
static void send_shares(struct ct_conn *c, const struct wr_renew *r)
{
    struct ct_node *n = c->node;
    struct wr_share *s = sr_alloc(sizeof(*s) * (size_t)(r->n + 1));
    struct wr_permit *p = sr_alloc(sizeof(*p) * (size_t)(r->n_permits + 1));
    uint32_t k = 0, permits = 0;
    if (c->reported_permits)
        permits = ct_limits_on_renew(n, c->id, r, n->shares_seq + 1, p);
    for (uint32_t i = 0; i < r->n; i++) {
        char id[VW_NAME];
        bool named = sr_copy(id, sizeof(id), r->shares[i].inst);
        if (!named || (c->shares_sent && !sh_untold(&n->shares, id, c->id)))
            continue;
        s[k++] = (struct wr_share){
            .inst = r->shares[i].inst,
            .held = (uint32_t)sh_tell(&n->shares, id, c->id, n->shares_seq + 1)};
    }
    if (k > 0 || permits > 0) {
        struct wr_msg m = {.type = WR_SHARES};
        m.shares = (struct wr_shares){k, s, ++n->shares_seq, permits, p, r->seq};
        ct_send_conn(c, &m);
        c->shares_sent = c->shares_sent || k > 0;
    }
    free(s);
    free(p);
}

/* An entry node that others are told of: it has a lease, or had one until a moment ago. */
static bool is_listed(const struct ct_conn *c, int64_t now)
{
    bool entry = c->greeted && c->role == WR_ROLE_ENTRY && c->port && !c->leaving;
    return entry && ls_node_live(&c->node->leases, c->id, now - NODES_KEPT_US);
}

/* A new leader knows of no lease at first: until all that are connected have one, or a lease's
 * time is over, the lists that its predecessor sent are better. */
static bool list_settled(const struct ct_node *n, int64_t now)
{
    if (now - n->leading_since >= CK_MS(n->s->lease_ms))
        return true;
    bool starts = now - n->leading_since < CK_MS(n->s->election_ms);
    if (starts && now - n->node_joined_at < JOIN_PAUSE_US)
        return false;
    for (const struct ct_conn *c = n->conns; c; c = c->next) {
        bool waited_for = c->greeted && c->role == WR_ROLE_ENTRY && !c->leaving;
        if (waited_for && !is_listed(c, now))
            return false;
    }
    return true;
}

static bool list_node(const struct ct_conn *c, struct ho_node *x)
{
    *x = (struct ho_node){.port = c->port, .carries = c->carries};
    return sr_copy(x->name, sizeof(x->name), sr_from(c->name)) &&
           sr_copy(x->domain, sizeof(x->domain), sr_from(c->domain)) &&
           sr_copy(x->ip, sizeof(x->ip), sr_from(c->ip));
}

/* The entry nodes that are listed; made at most every NODES_EVERY_US, for all that ask. */
static void make_nodes(struct ct_node *n, int64_t now)
{
    int k = 0;
    if (n->nodes_built_at && now - n->nodes_built_at < NODES_EVERY_US)
        return;
    n->nodes_built_at = now;
    struct ho_node *list = sr_alloc(sizeof(*list) * HO_MAX_NODES);
    for (struct ct_conn *c = n->conns; c && k < HO_MAX_NODES; c = c->next) {
        if (is_listed(c, now))
            k += list_node(c, &list[k]);
    }
    uint64_t hash = nl_sort(list, k);
    nl_note(&n->nodes, list, k, hash);
    free(list);
}

static struct wr_node wire_node(const struct ho_node *x)
{
    return (struct wr_node){sr_from(x->name), sr_from(x->domain), sr_from(x->ip),
                            (uint32_t)x->port, (uint32_t)x->carries};
}

static void encode_nodes(const struct nl_change *ch, bool told, struct sr_buf *out)
{
    struct wr_node *came = sr_alloc(sizeof(*came) * (size_t)(ch->n_came + 1));
    struct sr_str *gone = sr_alloc(sizeof(*gone) * (size_t)(ch->n_gone + 1));
    struct wr_msg m = {.type = WR_NODES,
                       .nodes = {.n = (uint32_t)ch->n_came,
                                 .nodes = came,
                                 .from = ch->from,
                                 .to = told ? ch->to : 0,
                                 .n_removed = (uint32_t)ch->n_gone,
                                 .removed = gone}};
    for (int i = 0; i < ch->n_came; i++)
        came[i] = wire_node(ch->came[i]);
    for (int i = 0; i < ch->n_gone; i++)
        gone[i] = sr_from(ch->gone[i]);
    wr_encode(out, &m);
    free(came);
    free(gone);
}

/* What a node that has list `has` lacks, encoded; made anew only if it is not what was sent
 * last: most that ask have the same list. */
static const struct ct_cached_frame *nodes_frame(struct ct_node *n, uint64_t has)
{
    uint64_t to = nl_newest(&n->nodes)->hash;
    struct nl_change ch;
    struct ct_cached_frame *f = has > NL_EMPTY ? &n->nodes_changes : &n->nodes_whole;
    if (f->bytes.len && f->from == has && f->to == to)
        return f;
    nl_since(&n->nodes, has, &ch);
    f->from = has;
    f->to = to;
    f->bytes.len = 0;
    encode_nodes(&ch, has != 0, &f->bytes);
    return f;
}

/* Tell the node which entry nodes there are, if that is news for it. */
static void send_nodes(struct ct_conn *to, int64_t now)
{
    struct ct_node *n = to->node;
    if (!to->reported_nodes || !list_settled(n, now))
        return;
    make_nodes(n, now);
    if (nl_newest(&n->nodes)->hash == to->nodes_hash)
        return;
    const struct ct_cached_frame *f = nodes_frame(n, to->nodes_hash);
    n->counters.node_lists++;
    n->counters.node_list_bytes += f->bytes.len;
    tf_count_out(&n->traffic, WR_NODES, f->bytes.len);
    to->nodes_hash = f->to;
    to->nodes_sent_at = now;
    if (to->net)
        nt_send(to->net, f->bytes.p, f->bytes.len);
}

/* Which list a node has counts, not what it was sent: it may not have taken that. What was sent
 * a moment ago may still be on its way. */
static void note_nodes(struct ct_conn *c, uint64_t has, int64_t now)
{
    bool late = now - c->nodes_sent_at > CK_MS(c->node->s->lease_ms) / 2;
    if (!c->reported_nodes || late)
        c->nodes_hash = has;
    c->reported_nodes = true;
}

/* Views that the pace held back. */
static void push_tick(struct ct_node *n, int64_t now)
{
    int64_t heard = qr_vouched_until(n->q) - CK_MS(n->s->election_ms);
    int64_t late = CK_MS(n->s->heartbeat_ms) * LATE_HEARTBEATS;
    bool held = !vp_may_send(&n->pace);
    vp_tick(&n->pace, now - heard, late, now);
    if (held && vp_may_send(&n->pace))
        ct_push_view(n);
}

void ct_nodes_tick(struct ct_node *n, int64_t now)
{
    if (n->leading && vp_batch_due(&n->unsent_changes, n->n_conns, now))
        ct_push_view(n);
    if (n->leading)
        push_tick(n, now);
    bool tells = n->leading && (n->s->holders || n->s->registers);
    if (!tells || now - n->nodes_built_at < NODES_EVERY_US)
        return;
    for (struct ct_conn *c = n->conns; c; c = c->next) {
        if (c->greeted && c->role == WR_ROLE_ENTRY)
            send_nodes(c, now);
    }
}

static void not_leader(struct ct_conn *c)
{
    struct wr_msg m = {.type = WR_NOT_LEADER};
    m.leader = sr_from(ct_member_name(c->node, qr_leader(c->node->q)));
    ct_send_conn(c, &m);
}

void ct_announce_leader(struct ct_conn *c)
{
    struct wr_msg m = {.type = WR_NOT_LEADER, .leader = sr_from(c->node->s->name)};
    if (c->greeted && c->role != WR_ROLE_CONTROL)
        ct_send_conn(c, &m);
}

/* The part of the answer that every renewal gets. */
static struct wr_msg granted(struct ct_node *n, const struct wr_renew *r)
{
    struct wr_msg m = {.type = WR_GRANT};
    m.grant.seq = r->seq;
    m.grant.hlc = ck_hlc_now(&n->tl->hlc);
    return m;
}

/* An observer sends callers here for a while. That is no lease: a node that does not lead any
 * more sends them on, and nothing has to wait until an observer knows. */
static void tell_observer(struct ct_conn *c, const struct wr_renew *r)
{
    struct wr_msg m = granted(c->node, r);
    m.grant.duration_ms = (uint32_t)c->node->s->lease_ms;
    ct_send_conn(c, &m);
}

void ct_on_renew(struct ct_conn *c, const struct wr_renew *r)
{
    struct ct_node *n = c->node;
    int64_t now = ck_now();
    ck_hlc_seen(&n->tl->hlc, r->hlc);
    if (!n->leading || !ct_quorum_confirmed(n)) {
        n->counters.refused_grants++;
        not_leader(c);
        return;
    }
    if (c->role == WR_ROLE_OBSERVER) {
        tell_observer(c, r);
        return;
    }
    struct wr_msg m = granted(n, r);
    if (!ls_node_live(&n->leases, c->id, now))
        n->node_joined_at = now;
    int64_t us = r->stopping ? 0 : ls_grant(&n->leases, c->id, qr_vouched_until(n->q), now);
    m.grant.duration_ms = (uint32_t)(us / 1000);
    if (r->stopping)
        ls_released(&n->leases, c->id);
    else
        n->counters.grants++;
    c->leaving = r->leaving;
    c->reported_permits = c->reported_permits || r->permits_complete;
    m.grant.permits_known = c->reported_permits;
    ls_acked(&n->leases, c->id, r->generation);
    note_generation(c, r->generation, now);
    send_view(c, r->generation);
    m.grant.generation = view_waits(c, now) ? c->sent_generation : n->view.generation;
    take_shares(c, r, now);
    send_shares(c, r);
    note_nodes(c, r->nodes_hash, now);
    if (n->s->holders || n->s->registers)
        send_nodes(c, now);
    ct_send_conn(c, &m);
}

int ct_request_checks(struct ct_node *n, uint64_t nonce, const char *inst)
{
    struct wr_msg m = {.type = WR_CHECK};
    m.check.nonce = nonce;
    m.check.inst = sr_from(inst);
    int asked = 0;
    for (struct ct_conn *c = n->conns; c; c = c->next) {
        if (!c->greeted || c->role != WR_ROLE_ENTRY)
            continue;
        ct_send_conn(c, &m);
        asked++;
    }
    return asked;
}
