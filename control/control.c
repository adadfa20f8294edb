/* Creates and stops the control role, runs its periodic work, and starts a new leader. */
#include "control/control.h"

#include <stdlib.h>

#include <sodium.h>
#include <xxhash.h>

#include "misc/clock.h"

enum {
    TICK_US = 5000,
    STOP_TIMEOUT_US = 1000000,
    /* The platform's instances close a connection after its peer has been unreachable for 3 s
     * (documented by the platform). */
    PLATFORM_FORGET_US = 3000000,
};

bool ct_quorum_confirmed(const struct ct_node *n)
{
    return !n->disk_failed && ck_now() < qr_sole_leader_until(n->q);
}

bool ct_in_force(const struct ct_node *n, uint64_t generation)
{
    return ls_all_applied(&n->leases, generation, ck_now());
}

const char *ct_member_name(const struct ct_node *n, uint64_t id)
{
    const struct qr_members *m = qr_members(n->q);
    for (uint32_t i = 0; i < m->n; i++) {
        if (m->m[i].id == id)
            return m->m[i].name;
    }
    return "";
}

/* ---- start of a leader's term ---- */

static void propose_groups(struct ct_node *n)
{
    size_t i;
    json_t *g;
    json_array_foreach(n->s->groups, i, g)
    {
        struct vw_change ch = {.kind = VW_CH_GROUP};
        struct er_err err = {0};
        if (!vw_group_parse(g, &ch.def, &err) || !ct_propose(n, &ch, NULL, &err))
            FL_ERR(&n->log, "control.groups[%zu]: %s", i, err.text);
    }
}

static void begin_leading(struct ct_node *n, int64_t now)
{
    bool first = n->view.generation == 0;
    n->leading = true;
    n->leading_since = n->node_joined_at = now;
    n->step_index = 0;
    n->measured_generation = 0;
    n->in_force_since = 0;
    n->unsent_changes = (struct vp_batch){0};
    n->pace = (struct vp_limiter){0};
    vp_tick(&n->pace, 0, 0, now);
    ls_grantor_begin(&n->leases, CK_MS(n->s->lease_ms), now, first);
    /* Instances of the platform limit their connections themselves and refuse any above the
     * limit, which costs the node one retry: a new leader need not wait until the shares that
     * its predecessor assigned have expired. */
    bool await_shares = !first && !n->platform;
    sh_begin(&n->shares, await_shares ? now + CK_MS(n->s->lease_ms) * 11 / 10 : now);
    ct_limits_begin(n, first, now);
    n->shares.forget_us = n->platform ? PLATFORM_FORGET_US : 0;
    ct_watch_begin(n);
    ct_groups_sync(n);
    for (struct ct_conn *c = n->conns; c; c = c->next) {
        c->sent_generation = 0;
        c->shares_sent = false;
        c->reported_permits = false;
        c->reported_nodes = false;
        c->pending_view = (struct pv_pending_view){0};
        ct_announce_leader(c);
    }
    FL_INFO(&n->log, "a quorum confirmed this leader in term %llu, generation %llu",
            (unsigned long long)qr_term(n->q), (unsigned long long)n->view.generation);
    if (first)
        propose_groups(n);
}

static void measure_time_to_force(struct ct_node *n, int64_t now)
{
    if (!n->leading || !n->measured_generation || !ct_in_force(n, n->measured_generation))
        return;
    hi_add(&n->time_to_force, now - n->measured_since);
    n->measured_generation = 0;
}

/* ---- ticks, disk, stopping ---- */

static void finish_stop(struct ct_node *n, bool failed)
{
    nt_timer_cancel(&n->tick_timer);
    nt_timer_cancel(&n->group_tick_timer);
    n->stopped(n->stopped_ud, failed);
}

/* A voter whose disk is full keeps running: it acknowledges no entry and grants no vote that it
 * can't store, so the other voters decide without it. It continues by itself when there is
 * space again. */
static void check_disk_space(struct ct_node *n)
{
    struct er_err err = {0};
    bool full = dk_waits_for_space(n->disk, &err);
    if (full == n->disk_full)
        return;
    n->disk_full = full;
    if (full) {
        tl_add(n->tl, TL_DISK, "", 0, "full: %.100s", err.text);
        FL_EVENT(&n->log, LG_ERR, "disk_full", "folder=%s why=%s", n->s->data, err.text);
    } else {
        tl_add(n->tl, TL_DISK, "", 0, "has space again");
        FL_EVENT(&n->log, LG_INFO, "disk_has_room", "folder=%s", n->s->data);
    }
}

static void on_disk(void *ud)
{
    struct ct_node *n = ud;
    struct er_err err = {0};
    if (n->disk_failed)
        return;
    if (dk_failed(n->disk, &err)) {
        n->disk_failed = true;
        tl_add(n->tl, TL_DISK, "", 0, "%.100s", err.text);
        FL_FATAL(&n->log,
                 "%s; this voter stops: free or replace the disk, then start it again (its "
                 "data is intact up to the last sync) or replace it",
                 err.text);
        finish_stop(n, true);
        return;
    }
    check_disk_space(n);
    qr_persisted(n->q, dk_durable_seq(n->disk), ck_now());
}

static void wake_loop(void *ud)
{
    struct ct_node *n = ud;
    nt_wake(n->loop);
}

static void tick(void *ud)
{
    struct ct_node *n = ud;
    int64_t now = ck_now();
    on_disk(n);
    if (n->disk_failed)
        return;
    qr_tick(n->q, now, nt_received_until(n->loop));
    if (n->document_pending)
        ct_load_document(n);
    if (!n->leading && ct_quorum_confirmed(n))
        begin_leading(n, now);
    ct_peers_tick(n, now);
    ct_watch_tick(n, now);
    measure_time_to_force(n, now);
    ct_nodes_tick(n, now);
    ct_intents_tick(n, now);
    ct_platform_tick(n, now);
    ct_members_tick(n, now);
    ct_commit_waits_tick(n, now);
    ct_ops_tick(n, now);
    ct_log_traffic(n, now);
    ct_compact_tick(n);
    if (n->stopping && (qr_role(n->q) != QR_LEADER || now > n->stop_by)) {
        finish_stop(n, false);
        return;
    }
    if (n->stopping || n->disk_full)
        qr_transfer_leadership(n->q, now);
    nt_timer_set(n->loop, &n->tick_timer, TICK_US, tick, n);
}

void ct_stop(struct ct_node *n)
{
    n->stopping = true;
    n->stop_by = ck_now() + STOP_TIMEOUT_US;
    tl_add(n->tl, TL_STOP, "", 0, "planned stop");
}

/* ---- creation ---- */

/* The initial voters' ids are computed from the cluster's name and theirs, so that each knows
 * the others' ids before any of them runs. */
static uint64_t initial_identity(const struct st_settings *s, const char *name)
{
    uint64_t h = XXH64(s->cluster, strlen(s->cluster), 7);
    return XXH64(name, strlen(name), h) | 1;
}

static void initial_members(const struct st_settings *s, struct qr_members *m)
{
    for (int i = 0; i < s->n_voters; i++) {
        struct qr_member *x = &m->m[m->n++];
        const struct st_peer *p = &s->voters[i];
        x->id = initial_identity(s, p->name);
        x->voter = true;
        x->port = p->port;
        sr_copy(x->name, sizeof(x->name), sr_from(p->name));
        sr_copy(x->ip, sizeof(x->ip), sr_from(p->ip));
        sr_copy(x->domain, sizeof(x->domain), sr_from(p->domain));
    }
}

/* Whether this node is one of the seeds; where nodes register, the seeds are the initial
 * voters. */
static bool is_seed(const struct st_settings *s)
{
    for (int i = 0; i < s->n_voters; i++) {
        if (strcmp(s->voters[i].name, s->name) == 0)
            return true;
    }
    return false;
}

static bool open_store(struct ct_node *n, bool bootstrap, struct so_loaded *disk,
                       struct er_err *err)
{
    const struct st_settings *s = n->s;
    bool may_found = !s->registers || is_seed(s);
    uint64_t wanted = bootstrap && may_found ? initial_identity(s, s->name) : 0;
    n->store = so_open(s->data, s->cluster, wanted, disk, err);
    if (!n->store)
        return false;
    n->id = disk->identity;
    if (disk->torn_bytes)
        FL_WARN(&n->log, "%llu bytes of an incomplete write were removed from the log",
                (unsigned long long)disk->torn_bytes);
    if (disk->created && !bootstrap && !s->registers)
        FL_WARN(&n->log,
                "%s was empty: this is a new member, id %llx; it votes once an operator has "
                "added it (ferryctl plan replace)",
                s->data, (unsigned long long)n->id);
    /* An initial voter without a snapshot starts with the members that the settings listed when
     * the cluster was created. */
    bool founder = n->id == initial_identity(s, s->name);
    if (!founder || disk->restore.snap_index != 0)
        return true;
    if (!s->registers) {
        initial_members(s, &disk->restore.members);
        return true;
    }
    if (bootstrap && disk->created)
        initial_members(s, &disk->restore.members);
    return ct_initial_voters(n, bootstrap && disk->created, &disk->restore.members, err);
}

static void restore_view(struct ct_node *n, const struct so_loaded *disk)
{
    if (!disk->restore.snap_len)
        return;
    ct_restore_view(n, disk->restore.snap, disk->restore.snap_len);
    n->history_floor = n->view.generation;
}

struct ct_node *ct_create(struct nt_loop *l, const struct st_settings *s, struct tl_ring *tl,
                          const struct ct_platform_ops *platform, bool bootstrap,
                          void (*stopped)(void *, bool), void *ud, struct er_err *err)
{
    struct ct_node *n = sr_alloc(sizeof(*n));
    struct so_loaded disk;
    n->log.prefix = "control";
    n->s = s;
    n->loop = l;
    n->tl = tl;
    n->platform = platform;
    n->driver = platform ? platform->endpoints : &ep_ws;
    n->failover = platform ? &ct_failover_takeover : &ct_failover_promote;
    n->stopped = stopped;
    n->stopped_ud = ud;
    vw_init(&n->view);
    if (!open_store(n, bootstrap, &disk, err) || !ct_peers_listen(n, err) ||
        !ct_ops_listen(n, err)) {
        free(n);
        return NULL;
    }
    restore_view(n, &disk);
    n->disk = dk_start(n->store, wake_loop, n);
    nt_on_wake(l, on_disk, n);
    struct qr_config cfg = {.self = n->id,
                            .election_us = CK_MS(s->election_ms),
                            .heartbeat_us = CK_MS(s->heartbeat_ms),
                            .sink = &ct_quorum_sink,
                            .ud = n};
    randombytes_buf(&cfg.seed, sizeof(cfg.seed));
    n->q = qr_create(&cfg, &disk.restore, ck_now());
    so_free_loaded(n->store);
    ct_load_document(n);
    ct_groups_sync(n);
    tl_add(tl, TL_START, "", qr_term(n->q), "control node %llx", (unsigned long long)n->id);
    nt_timer_set(l, &n->tick_timer, TICK_US, tick, n);
    return n;
}

void ct_destroy(struct ct_node *n)
{
    dk_stop(n->disk);
    so_close(n->store);
}
