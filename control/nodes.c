/* Entry nodes: their leases, the views and node lists sent to them, and their shares of
 * connections. */
#include <stdlib.h>

#include "control/control.h"
#include "misc/clock.h"

enum {
    MAX_QUEUED_VIEW_BYTES = 8 << 20,
    NODE_LIST_INTERVAL_US = 100000,
    /* A quorum is late if it answered no heartbeat within this many intervals: one heartbeat is
     * always outstanding, and elections start after four (with the default settings). */
    LATE_HEARTBEAT_INTERVALS = 2,
    /* A node whose lease expired stays listed for this time while its connection is open: it is
     * probably stalled or behind a slow link and returns, and each change of the list moves
     * groups and their sessions. Above the time after which the connection of an unreachable
     * peer is closed (2.5 s). */
    LISTED_AFTER_LEASE_US = 3000000,
    /* After an election nodes reach the new leader one after the other, and each change of the
     * list moves groups, so no list is sent until no node has joined for this time: two network
     * trips and a lease between failure domains. */
    JOIN_PAUSE_US = 50000,
};

/* Bytes queued for sending to all nodes; limits the memory for whole views when hundreds of
 * nodes start together. */
static size_t queued_bytes(const struct ct_node *n)
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

/* The encoded changes for nodes at generation `from`, or the whole view. The message sent last
 * is used again if it is the same: a change is sent to all nodes at once, and hundreds of nodes
 * that start together need the same view. */
static const struct ct_cached_frame *view_frame(struct ct_node *n, uint64_t from, bool whole)
{
    struct ct_cached_frame *f = whole ? &n->whole_frame : &n->changes_frame;
    bool same = f->bytes.len && f->to == n->view.generation && (whole || f->from == from);
    if (!same)
        make_frame(n, from, f);
    return f;
}

/* Whether the newest changes are sent to the node with the next batch. */
static bool batch_pending(const struct ct_conn *c)
{
    return c->node->unsent_changes.pending && c->sent_generation;
}

/* Whether the newest view is sent to the node later, while the node acts on an older one. */
static bool view_deferred(const struct ct_conn *c, int64_t now)
{
    int64_t lease = CK_MS(c->node->s->lease_ms);
    return batch_pending(c) ||
           (c->sent_generation && pv_keeps_lease(&c->pending_view, lease, now));
}

/* Sends the changes that the node does not have, once per connection. If they are deferred,
 * they are sent in a later tick or with one of its next renewals. */
static void send_view(struct ct_conn *c, uint64_t reported)
{
    struct ct_node *n = c->node;
    uint64_t from = c->sent_generation > reported ? c->sent_generation : reported;
    if (from >= n->view.generation || batch_pending(c) ||
        !pv_try_send(&c->pending_view, &n->pace, ck_now()))
        return;
    bool whole = ct_needs_whole_view(n, from);
    if (whole && queued_bytes(n) > MAX_QUEUED_VIEW_BYTES)
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

/* A node that still reports an older generation half a lease after a view was sent did not
 * receive the view or could not apply it: it is sent again from the reported generation.
 * Otherwise the node would hold a lease that it can't use, and every change of primary would
 * wait for that lease. */
static void note_generation(struct ct_conn *c, uint64_t reported, int64_t now)
{
    bool late = now - c->view_sent_at > CK_MS(c->node->s->lease_ms) / 2;
    if (reported == 0 || reported > c->sent_generation || late)
        c->sent_generation = reported;
}

void ct_push_view(struct ct_node *n)
{
    for (struct ct_conn *c = n->conns; c; c = c->next) {
        bool is_entry = c->greeted && c->role == WR_ROLE_ENTRY;
        if (is_entry && (c->sent_generation || c->pending_view.waiting))
            send_view(c, c->sent_generation);
    }
}

/* Whether a change may wait for a batch: instances join, drain and leave many at a time, and
 * callers are served meanwhile. */
static bool may_defer(enum vw_change_kind kind)
{
    return kind == VW_CH_JOIN || kind == VW_CH_LEAVE || kind == VW_CH_DRAIN;
}

void ct_view_changed(struct ct_node *n, enum vw_change_kind kind)
{
    if (vp_batch_add(&n->unsent_changes, may_defer(kind), n->n_conns, ck_now()))
        ct_push_view(n);
}

/* Records the connections that the node holds and wants, and balances shares that changed. */
static void record_shares(struct ct_conn *c, const struct wr_renew *r, int64_t now)
{
    struct ct_node *n = c->node;
    int64_t until = r->stopping ? now : now + n->leases.lease_us;
    for (uint32_t i = 0; i < r->n; i++) {
        char id[VW_NAME];
        if (!sr_copy(id, sizeof(id), r->shares[i].inst))
            continue;
        bool changed = sh_report(&n->shares, id, c->id, (int)r->shares[i].held,
                                 (int)r->shares[i].want, r->shares_seq, until, now);
        if (changed)
            sh_balance(&n->shares, id, now);
    }
}

/* Sends the node its shares that changed since they were sent last, or all of them the first
 * time, and the answers to its permit requests. A renewal names every instance that the node
 * holds or wants connections to; the node has no share of other instances. */
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
        bool valid = sr_copy(id, sizeof(id), r->shares[i].inst);
        if (!valid || (c->shares_sent && !sh_has_unsent_target(&n->shares, id, c->id)))
            continue;
        s[k++] = (struct wr_share){
            .inst = r->shares[i].inst,
            .held = (uint32_t)sh_target_to_send(&n->shares, id, c->id, n->shares_seq + 1)};
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

/* Whether the process is an entry node that is in the list: it has a lease, or had one until
 * LISTED_AFTER_LEASE_US ago. */
static bool is_listed(const struct ct_conn *c, int64_t now)
{
    bool entry = c->greeted && c->role == WR_ROLE_ENTRY && c->port && !c->leaving;
    return entry && ls_node_live(&c->node->leases, c->id, now - LISTED_AFTER_LEASE_US);
}

/* Whether the list of entry nodes is complete. A new leader knows of no leases at first: until
 * all connected nodes have one, or the time of a lease has passed, the list that its
 * predecessor sent is better. */
static bool node_list_settled(const struct ct_node *n, int64_t now)
{
    if (now - n->leading_since >= CK_MS(n->s->lease_ms))
        return true;
    bool elected_recently = now - n->leading_since < CK_MS(n->s->election_ms);
    if (elected_recently && now - n->node_joined_at < JOIN_PAUSE_US)
        return false;
    for (const struct ct_conn *c = n->conns; c; c = c->next) {
        bool lease_expected = c->greeted && c->role == WR_ROLE_ENTRY && !c->leaving;
        if (lease_expected && !is_listed(c, now))
            return false;
    }
    return true;
}

static bool fill_node(const struct ct_conn *c, struct ho_node *x)
{
    *x = (struct ho_node){.port = c->port, .carries = c->carries};
    return sr_copy(x->name, sizeof(x->name), sr_from(c->name)) &&
           sr_copy(x->domain, sizeof(x->domain), sr_from(c->domain)) &&
           sr_copy(x->ip, sizeof(x->ip), sr_from(c->ip));
}

/* Builds the list of entry nodes, at most every NODE_LIST_INTERVAL_US. */
static void build_node_list(struct ct_node *n, int64_t now)
{
    int k = 0;
    if (n->nodes_built_at && now - n->nodes_built_at < NODE_LIST_INTERVAL_US)
        return;
    n->nodes_built_at = now;
    struct ho_node *list = sr_alloc(sizeof(*list) * HO_MAX_NODES);
    for (struct ct_conn *c = n->conns; c && k < HO_MAX_NODES; c = c->next) {
        if (is_listed(c, now))
            k += fill_node(c, &list[k]);
    }
    uint64_t hash = nl_sort(list, k);
    nl_record(&n->nodes, list, k, hash);
    free(list);
}

static struct wr_node wire_node(const struct ho_node *x)
{
    return (struct wr_node){sr_from(x->name), sr_from(x->domain), sr_from(x->ip),
                            (uint32_t)x->port, (uint32_t)x->carries};
}

static void encode_nodes(const struct nl_change *ch, bool known, struct sr_buf *out)
{
    struct wr_node *added = sr_alloc(sizeof(*added) * (size_t)(ch->n_added + 1));
    struct sr_str *removed = sr_alloc(sizeof(*removed) * (size_t)(ch->n_removed + 1));
    struct wr_msg m = {.type = WR_NODES,
                       .nodes = {.n = (uint32_t)ch->n_added,
                                 .nodes = added,
                                 .from = ch->from,
                                 .to = known ? ch->to : 0,
                                 .n_removed = (uint32_t)ch->n_removed,
                                 .removed = removed}};
    for (int i = 0; i < ch->n_added; i++)
        added[i] = wire_node(ch->added[i]);
    for (int i = 0; i < ch->n_removed; i++)
        removed[i] = sr_from(ch->removed[i]);
    wr_encode(out, &m);
    free(added);
    free(removed);
}

/* The encoded changes for a node that has the list with hash `reported`. The message sent last
 * is used again if it is the same, as most nodes have the same list. */
static const struct ct_cached_frame *nodes_frame(struct ct_node *n, uint64_t reported)
{
    uint64_t to = nl_newest(&n->nodes)->hash;
    struct nl_change ch;
    struct ct_cached_frame *f = reported > NL_EMPTY ? &n->nodes_changes : &n->nodes_whole;
    if (f->bytes.len && f->from == reported && f->to == to)
        return f;
    nl_since(&n->nodes, reported, &ch);
    f->from = reported;
    f->to = to;
    f->bytes.len = 0;
    encode_nodes(&ch, reported != 0, &f->bytes);
    return f;
}

/* Sends the list of entry nodes to a node if it has another one. */
static void send_nodes(struct ct_conn *to, int64_t now)
{
    struct ct_node *n = to->node;
    if (!to->reported_nodes || !node_list_settled(n, now))
        return;
    build_node_list(n, now);
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

/* Records the hash of the list that the node reports, since it may not have applied the list
 * sent to it. A list sent less than half a lease ago may still be in transit and is not
 * replaced. */
static void note_node_list(struct ct_conn *c, uint64_t reported, int64_t now)
{
    bool late = now - c->nodes_sent_at > CK_MS(c->node->s->lease_ms) / 2;
    if (!c->reported_nodes || late)
        c->nodes_hash = reported;
    c->reported_nodes = true;
}

/* Sends the views that the pace had deferred as soon as it allows sending again. */
static void push_deferred_views(struct ct_node *n, int64_t now)
{
    int64_t confirmed_at = qr_sole_leader_until(n->q) - CK_MS(n->s->election_ms);
    int64_t late = CK_MS(n->s->heartbeat_ms) * LATE_HEARTBEAT_INTERVALS;
    bool was_held = !vp_may_send(&n->pace);
    vp_tick(&n->pace, now - confirmed_at, late, now);
    if (was_held && vp_may_send(&n->pace))
        ct_push_view(n);
}

void ct_nodes_tick(struct ct_node *n, int64_t now)
{
    if (n->leading && vp_batch_due(&n->unsent_changes, n->n_conns, now))
        ct_push_view(n);
    if (n->leading)
        push_deferred_views(n, now);
    bool sends_lists = n->leading && (n->s->holders || n->s->registers);
    if (!sends_lists || now - n->nodes_built_at < NODE_LIST_INTERVAL_US)
        return;
    for (struct ct_conn *c = n->conns; c; c = c->next) {
        if (c->greeted && c->role == WR_ROLE_ENTRY)
            send_nodes(c, now);
    }
}

static void send_not_leader(struct ct_conn *c)
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

/* The part of the grant that is common to all renewals. */
static struct wr_msg make_grant(struct ct_node *n, const struct wr_renew *r)
{
    struct wr_msg m = {.type = WR_GRANT};
    m.grant.seq = r->seq;
    m.grant.hlc = ck_hlc_now(&n->tl->hlc);
    return m;
}

/* An observer redirects callers to this node for the granted time. This is not a lease: a node
 * that no longer leads redirects them again, so no change has to wait until observers know of
 * it. */
static void grant_observer(struct ct_conn *c, const struct wr_renew *r)
{
    struct wr_msg m = make_grant(c->node, r);
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
        send_not_leader(c);
        return;
    }
    if (c->role == WR_ROLE_OBSERVER) {
        grant_observer(c, r);
        return;
    }
    struct wr_msg m = make_grant(n, r);
    if (!ls_node_live(&n->leases, c->id, now))
        n->node_joined_at = now;
    int64_t us = r->stopping ? 0 : ls_grant(&n->leases, c->id, qr_sole_leader_until(n->q), now);
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
    m.grant.generation = view_deferred(c, now) ? c->sent_generation : n->view.generation;
    record_shares(c, r, now);
    send_shares(c, r);
    note_node_list(c, r->nodes_hash, now);
    if (n->s->holders || n->s->registers)
        send_nodes(c, now);
    ct_send_conn(c, &m);
}

int ct_request_checks(struct ct_node *n, uint64_t nonce, const char *inst)
{
    struct wr_msg m = {.type = WR_CHECK};
    m.check.nonce = nonce;
    m.check.inst = sr_from(inst);
    int sent = 0;
    for (struct ct_conn *c = n->conns; c; c = c->next) {
        if (!c->greeted || c->role != WR_ROLE_ENTRY)
            continue;
        ct_send_conn(c, &m);
        sent++;
    }
    return sent;
}
