#include "proxy/proxy.h"

#include <stdlib.h>

#include "proxy/priv.h"

enum {
    /* Time that an account's connection is kept after its last statement. */
    KEEP_CONN_US = 5000000,
    STAGES_LOG_INTERVAL_US = 10000000, /* interval of the "stages" log line */
    SLOW_TICK_INTERVAL_US = 50000,     /* interval of the checks of idle sessions */
    /* Percentages of the time from the stop request until the process is killed. */
    STOP_FORCE_PERCENT = 55, /* then open transactions are rolled back */
    /* then a session is closed as soon as nothing is asked of it, whatever is open in it */
    STOP_LINGER_PERCENT = 75,
};

struct px_proxy *px_create(struct nt_loop *l, const struct px_config *cfg, struct er_err *err)
{
    struct px_proxy *p = sr_alloc(sizeof(*p));
    p->log.prefix = "proxy";
    p->loop = l;
    p->cfg = *cfg;
    p->rng = rn_seed(cfg->seed);
    p->permits_unreported = true;
    if (!px_listen(p, err)) {
        free(p);
        return NULL;
    }
    return p;
}

bool px_configured(const struct px_proxy *p)
{
    return p->catalog.version > 0;
}

int px_open_connections(const struct px_proxy *p)
{
    return p->n_sessions + p->n_relays;
}

int64_t px_received_until(const struct px_proxy *p)
{
    return nt_received_until(p->loop);
}

/* ---- the lease ---- */

bool px_leased(const struct px_proxy *p)
{
    return p->cfg.host.leased(p->cfg.host.ud);
}

bool px_disconnected(const struct px_proxy *p)
{
    return p->leased_at && !px_leased(p) &&
           px_received_until(p) - p->leased_at > PX_DISCONNECTED_US;
}

/* ---- shares ---- */

/* The number of connections that accounts used recently. If they were given up, each would have
 * to be opened again for its account's next statement. */
static int recently_used(const struct px_inst *in, int64_t now)
{
    int k = 0;
    if (!in->group->held || !px_has_accounts(in->p))
        return 0;
    for (const struct px_conn *c = in->conns; c; c = c->next)
        k += !c->closing && now - c->last_used_at < KEEP_CONN_US;
    return k;
}

static void put_wanted_share(struct px_inst *in, struct wr_share *out)
{
    int used = recently_used(in, ck_now());
    int held = in->n_conns > in->share ? in->n_conns : in->share;
    /* Wants one more than is used, for new demand, and room for accounts whose connections were
     * replaced. For a group that another node holds now, the connections in use are still
     * wanted, as its sessions go on here until they move, within a second: without them 50
     * statements exceeded their time limit within 2 s while 42 of 76 nodes were restarted in
     * turn. */
    int extra = in->group->held ? 1 + in->replaced : 0;
    int want = in->cfg.draining ? 0 : (used > in->peak_demand ? used : in->peak_demand) + extra;
    in->replaced -= (in->replaced + 3) / 4;
    *out = (struct wr_share){sr_from(in->cfg.id), (uint32_t)held, (uint32_t)want};
    /* The peak demand decays slowly because it takes time to get a share. */
    in->peak_demand -=
        (in->peak_demand + 3) / 4; /* demand decays slowly, as a share takes time to get */
    if (in->peak_demand < in->busy + in->n_waiters)
        in->peak_demand = in->busy + in->n_waiters;
}

uint32_t px_wanted_shares(struct px_proxy *p, struct wr_share *out, uint32_t cap)
{
    uint32_t k = 0;
    for (int g = 0; g < p->n_groups; g++) {
        for (int i = 0; i < p->groups[g]->cfg.n && k < cap; i++) {
            struct px_inst *in = p->groups[g]->inst[i];
            put_wanted_share(in, &out[k]);
            if (sh_name_in_renewal(&in->renewals_left, out[k].held, out[k].want))
                k++;
        }
    }
    return k;
}

bool px_has_changes(struct px_proxy *p)
{
    bool changes = p->has_changes;
    p->has_changes = false;
    return changes;
}

void px_set_share(struct px_proxy *p, struct sr_str id, int connections)
{
    struct px_inst *in = px_find_inst(p, id);
    if (!in)
        return;
    in->share = connections;
    px_inst_want_first_conn(in, ck_now());
}

void px_lease_lost(struct px_proxy *p)
{
    for (int g = 0; g < p->n_groups; g++) {
        for (int i = 0; i < p->groups[g]->cfg.n; i++) {
            struct px_inst *in = p->groups[g]->inst[i];
            in->share = in->share > 0 ? 1 : 0;
        }
    }
}

/* ---- ticks and shutdown ---- */

/* Transactions have STOP_FORCE_PERCENT of the stop time to end; then those still open are
 * rolled back. */
static void abort_open_txns(struct px_proxy *p, int64_t now)
{
    if (!p->stopping || now - p->stop_began < p->cfg.grace_us * STOP_FORCE_PERCENT / 100)
        return;
    for (struct px_session *s = p->sessions; s; s = s->next) {
        if (s->relay)
            px_relay_abort_txn(s);
        else if (s->stage == PX_S_IDLE && px_in_txn(s) && s->conn)
            px_abort_txn(s);
    }
}

static void log_stages(struct px_proxy *p, int64_t now)
{
    struct sr_buf b = {0};
    if (now - p->stages_logged_at < STAGES_LOG_INTERVAL_US)
        return;
    p->stages_logged_at = now;
    if (px_stages_report(&p->stages, &b))
        FL_EVENT(&p->log, LG_INFO, "stages", "%.*s", (int)b.len, b.p);
    sr_buf_free(&b);
}

void px_tick(struct px_proxy *p, int64_t now)
{
    for (struct px_session *s = p->active, *next; s; s = next) {
        next = s->next_active;
        px_work_tick(s, now);
    }
    if (px_leased(p))
        p->leased_at = now;
    px_ahead_tick(p);
    px_documents_tick(p);
    px_holders_tick(p);
    px_groups_tick(p, now);
    px_neighbors_tick(p, now);
    if (now < p->next_slow_tick)
        return;
    p->next_slow_tick = now + SLOW_TICK_INTERVAL_US;
    if (px_lingers_since(p, now))
        nt_refuse_new(p->listener);
    px_sessions_slow_tick(p, now);
    abort_open_txns(p, now);
    log_stages(p, now);
}

void px_stop(struct px_proxy *p, int64_t now)
{
    p->stopping = true;
    p->stop_began = now;
}

void px_log_open_work(const struct px_proxy *p)
{
    int running = 0;
    for (const struct px_session *s = p->active; s; s = s->next_active)
        running++;
    FL_INFO(&p->log, "ends with %d sessions open, %d statements at work", p->n_sessions,
            running);
}

int64_t px_lingers_since(const struct px_proxy *p, int64_t now)
{
    int64_t since = p->stop_began + p->cfg.grace_us * STOP_LINGER_PERCENT / 100;
    return p->stopping && now > since ? since : 0;
}

void px_end_all(struct px_proxy *p)
{
    nt_stop_reading(p->listener);
    p->ends = true;
    for (struct px_session *s = p->sessions, *next; s; s = next) {
        next = s->next;
        px_session_finish(s);
    }
}

bool px_has_unsent(const struct px_proxy *p)
{
    return nt_has_unsent(p->listener);
}

bool px_stopped(const struct px_proxy *p)
{
    return p->n_sessions == 0;
}

/* ---- metrics ---- */

static void put_hist(struct sr_buf *out, const char *name, const struct hi_hist *h)
{
    static const double quantiles[] = {0.5, 0.9, 0.99};
    for (int i = 0; i < 3; i++)
        sr_buf_printf(out, "ferry_session_%s_us{quantile=\"%g\"} %lld\n", name, quantiles[i],
                      (long long)hi_quantile(h, quantiles[i]));
    sr_buf_printf(out, "ferry_session_%s_us_count %llu\n", name, (unsigned long long)h->count);
}

void px_meter(struct px_proxy *p, struct nt_conn *net, enum px_peer_kind to, const char *domain)
{
    nt_meter(net, &p->traffic[to][rt_distance(p->cfg.domain, domain)]);
}

static void put_traffic(struct sr_buf *out, const struct px_proxy *p)
{
    static const char *const peer[PX_PEERS] = {"instance", "node"};
    static const char *const far[PX_DISTANCES] = {"domain", "region", "any"};
    for (int i = 0; i < PX_PEERS * PX_DISTANCES; i++) {
        int to = i / PX_DISTANCES, at = i % PX_DISTANCES;
        const struct nt_traffic *t = &p->traffic[to][at];
        sr_buf_printf(out,
                      "ferry_session_bytes_out_total{peer=\"%s\",within=\"%s\"} %llu\n"
                      "ferry_session_bytes_in_total{peer=\"%s\",within=\"%s\"} %llu\n",
                      peer[to], far[at], (unsigned long long)t->bytes_out, peer[to], far[at],
                      (unsigned long long)t->bytes_in);
    }
}

/* Statements by peer. With the bytes of put_traffic they show what a statement costs on the
 * link. */
static void put_peer_statements(struct sr_buf *out, const struct px_proxy *p)
{
    const struct {
        const char *peer;
        uint64_t n;
    } rows[] = {{"instance", p->stages.hist[PX_T_SETUP].count},
                {"node", p->c.statements_relayed},
                {"asker", p->c.statements_served}};
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
        sr_buf_printf(out, "ferry_session_peer_statements_total{peer=\"%s\"} %llu\n",
                      rows[i].peer, (unsigned long long)rows[i].n);
    sr_buf_printf(out,
                  "ferry_session_bytes_out_total{peer=\"asker\",within=\"any\"} %llu\n"
                  "ferry_session_bytes_in_total{peer=\"asker\",within=\"any\"} %llu\n",
                  (unsigned long long)p->served_traffic.bytes_out,
                  (unsigned long long)p->served_traffic.bytes_in);
}

static int cmp_use_descending(const void *a, const void *b)
{
    const struct px_account *x = *(const struct px_account *const *)a;
    const struct px_account *y = *(const struct px_account *const *)b;
    uint64_t here = x->begun + x->refused, there = y->begun + y->refused;
    return here != there ? (here < there ? 1 : -1) : strcmp(x->name, y->name);
}

/* All accounts, the most used first. The caller frees the list. */
static const struct px_account **accounts_by_use(const struct px_proxy *p)
{
    const struct px_account **a =
        sr_alloc(sizeof(struct px_account *) * (size_t)(p->n_accounts + 1));
    for (int i = 0; i < p->n_accounts; i++)
        a[i] = &p->accounts[i];
    qsort(a, (size_t)p->n_accounts, sizeof(*a), cmp_use_descending);
    return a;
}

int px_accounts_by_use(const struct px_proxy *p, const char *names[PX_ACCOUNTS_LISTED])
{
    const struct px_account **a = accounts_by_use(p);
    int n = p->n_accounts < PX_ACCOUNTS_LISTED ? p->n_accounts : PX_ACCOUNTS_LISTED;
    for (int i = 0; i < n; i++)
        names[i] = a[i]->name;
    free(a);
    return n;
}

static void put_account(struct sr_buf *out, const char *name, uint64_t begun, uint64_t refused,
                        int permits)
{
    sr_buf_printf(out,
                  "ferry_session_account_begun_total{account=\"%s\"} %llu\n"
                  "ferry_session_account_refused_total{account=\"%s\"} %llu\n"
                  "ferry_session_account_permits{account=\"%s\"} %d\n",
                  name, (unsigned long long)begun, name, (unsigned long long)refused, name,
                  permits);
}

static void put_limit(struct sr_buf *out, const struct ac_account *limit)
{
    if (!limit || !limit->limited)
        return;
    sr_buf_printf(out,
                  "ferry_session_account_rate{account=\"%s\"} %g\n"
                  "ferry_session_account_burst{account=\"%s\"} %g\n",
                  limit->name, limit->rate, limit->name, limit->burst);
}

/* Writes the most used accounts, and the rest summed up as "-", so that the number of metrics
 * is bounded whatever the document lists. */
static void put_accounts(struct sr_buf *out, const struct px_proxy *p)
{
    const struct px_account **a = accounts_by_use(p);
    struct px_account rest = {0};
    for (int i = 0; i < p->n_accounts; i++) {
        if (i < PX_ACCOUNTS_LISTED) {
            put_account(out, a[i]->name, a[i]->begun, a[i]->refused, a[i]->permits.held);
            put_limit(out, ac_by_name(&p->catalog.accounts, a[i]->name));
        } else {
            rest.begun += a[i]->begun;
            rest.refused += a[i]->refused;
            rest.permits.held += a[i]->permits.held;
        }
    }
    if (p->n_accounts > PX_ACCOUNTS_LISTED)
        put_account(out, "-", rest.begun, rest.refused, rest.permits.held);
    free(a);
}

int px_account_nodes(struct px_proxy *p, const char *group, const char *account,
                     const char *nodes[HO_MAX_HOLDERS])
{
    struct px_group *g = px_find_group(p, group);
    const struct pl_placement *place = g ? px_account_placement(g, account) : NULL;
    int n = place ? place->n : 0;
    for (int k = 0; k < n; k++)
        nodes[k] = p->nodes[g->holders[place->holder[k]]].name;
    return n;
}

/* The number of statements that wait for a route, a permit or a connection. */
static int waiting_now(const struct px_proxy *p)
{
    int k = 0;
    for (const struct px_session *s = p->active; s; s = s->next_active)
        k += s->stage == PX_S_PARKED || s->stage == PX_S_WAITING;
    return k;
}

static int groups_held(const struct px_proxy *p)
{
    int k = 0;
    for (int i = 0; i < p->n_groups; i++)
        k += p->groups[i]->held;
    return k;
}

static void put_instance(struct sr_buf *out, const struct px_inst *in)
{
    const char *id = in->cfg.id;
    sr_buf_printf(out,
                  "ferry_session_instance_connections{instance=\"%s\"} %d\n"
                  "ferry_session_instance_share{instance=\"%s\"} %d\n"
                  "ferry_session_instance_waiting{instance=\"%s\"} %d\n"
                  "ferry_session_instance_service_us{instance=\"%s\"} %lld\n",
                  id, in->n_conns, id, in->share, id, in->n_waiters, id,
                  (long long)in->service_us);
}

void px_metrics(const struct px_proxy *p, struct sr_buf *out)
{
    const struct {
        const char *name;
        uint64_t v;
    } rows[] = {{"sessions_total", p->c.sessions},
                {"statements_total", p->c.statements},
                {"ok_total", p->c.ok},
                {"failed_total", p->c.failed},
                {"reads_primary_total", p->c.reads_primary},
                {"reads_replica_total", p->c.reads_replica},
                {"untracked_commits_total", p->c.untracked_commits},
                {"reads_untracked_total", p->c.reads_untracked},
                {"withheld_commits_total", p->c.withheld_commits},
                {"behind_total", p->c.behind},
                {"retries_total", p->c.retries},
                {"parked_total", p->c.parked},
                {"lost_connections_total", p->c.lost_conns},
                {"opened_connections_total", p->c.opened_conns},
                {"replaced_connections_total", p->c.replaced_conns},
                {"worn_connections_total", p->c.worn_conns},
                {"repeated_answers_total", p->c.repeated_answers},
                {"doubted_answers_total", p->c.doubted_answers},
                {"unknown_keys_total", p->c.unknown_keys},
                {"relayed_total", p->c.relayed},
                {"relayed_by_others_total", p->c.relayed_by_others},
                {"passed_on_total", p->c.passed_on},
                {"neighbors_silent", (uint64_t)px_count_silent_neighbors(p)},
                {"neighbor_trials_total", p->c.trials},
                {"silent_told_total", p->c.silent_told},
                {"cut_total", p->c.cut},
                {"dropped_total", p->c.dropped},
                {"sent_ahead_total", p->c.sent_ahead},
                {"no_room_total", p->c.no_room},
                {"log_lines_left_out_total", p->c.log_lines_left_out},
                {"open", (uint64_t)p->n_sessions},
                {"waiting", (uint64_t)waiting_now(p)},
                {"groups_held", (uint64_t)groups_held(p)},
                {"nodes", (uint64_t)p->n_nodes},
                {"document", p->catalog.version}};
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
        sr_buf_printf(out, "ferry_session_%s %llu\n", rows[i].name,
                      (unsigned long long)rows[i].v);
    for (int k = 1; k < ER_COUNT; k++)
        sr_buf_printf(out, "ferry_session_failed_by_total{reason=\"%s\"} %llu\n", er_name(k),
                      (unsigned long long)p->c.by_reason[k]);
    for (int k = 0; k < PX_END_REASONS; k++)
        sr_buf_printf(out, "ferry_session_closed_total{why=\"%s\"} %llu\n",
                      px_end_reason_name(k), (unsigned long long)p->c.ends[k]);
    put_traffic(out, p);
    put_peer_statements(out, p);
    put_accounts(out, p);
    put_hist(out, "read", &p->latency_read);
    put_hist(out, "write", &p->latency_write);
    px_stages_metrics(&p->stages, out);
    for (int g = 0; g < p->n_groups; g++) {
        for (int i = 0; i < p->groups[g]->cfg.n; i++)
            put_instance(out, p->groups[g]->inst[i]);
    }
}
