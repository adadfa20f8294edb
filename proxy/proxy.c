#include "proxy/proxy.h"

#include <stdlib.h>

#include "proxy/priv.h"

enum {
    KEEP_US = 5000000, /* an account's connection is wanted for so long after a statement */
    STAGES_EVERY_US = 10000000, /* a line in the log */
    SLOW_TICK_US = 50000,       /* sessions that rest are looked at so often */
    /* Of the time from the order to stop until the process is killed: */
    STOP_FORCE_PERCENT = 55,  /* transactions still open then are rolled back */
    STOP_LINGER_PERCENT = 75, /* whoever has not closed by then is closed with the process */
};

struct px_proxy *px_create(struct nt_loop *l, const struct px_config *cfg, struct er_err *err)
{
    struct px_proxy *p = sr_alloc(sizeof(*p));
    p->log.prefix = "proxy";
    p->loop = l;
    p->cfg = *cfg;
    p->rng = rn_seed(cfg->seed);
    p->permits_untold = true;
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

/* ---- the lease ---- */

bool px_leased(const struct px_proxy *p)
{
    return p->cfg.host.leased(p->cfg.host.ud);
}

bool px_cut_off(const struct px_proxy *p, int64_t now)
{
    return p->leased_at && now - p->leased_at > PX_CUT_OFF_US;
}

/* ---- shares ---- */

/* Connections that accounts used lately: given up, each would have to be opened anew for its
 * account's next statement. */
static int kept(const struct px_inst *in, int64_t now)
{
    int k = 0;
    if (!in->group->held || !px_has_accounts(in->p))
        return 0;
    for (const struct px_conn *c = in->conns; c; c = c->next)
        k += !c->closing && now - c->used_at < KEEP_US;
    return k;
}

static void add_want(struct px_inst *in, struct wr_share *out)
{
    int used = kept(in, ck_now());
    int held = in->n_conns > in->share ? in->n_conns : in->share;
    /* One at hand for what comes next, and room for accounts that had to make place. Where the
     * group is another node's now, sessions that move there within a second go on meanwhile:
     * without connections of theirs 50 statements in 2 s ran into their time limit while 42 of
     * 76 nodes were restarted in turn. */
    int next = in->group->held ? 1 + in->replaced : 0;
    int want = in->cfg.draining ? 0 : (used > in->peak ? used : in->peak) + next;
    in->replaced -= (in->replaced + 3) / 4;
    *out = (struct wr_share){sr_from(in->cfg.id), (uint32_t)held, (uint32_t)want};
    in->peak -= (in->peak + 3) / 4; /* demand is forgotten slowly: a share costs time to get */
    if (in->peak < in->busy + in->n_waiters)
        in->peak = in->busy + in->n_waiters;
}

uint32_t px_wants(struct px_proxy *p, struct wr_share *out, uint32_t cap)
{
    uint32_t k = 0;
    for (int g = 0; g < p->n_groups; g++) {
        for (int i = 0; i < p->groups[g]->cfg.n && k < cap; i++) {
            struct px_inst *in = p->groups[g]->inst[i];
            add_want(in, &out[k]);
            if (sh_to_name(&in->named, out[k].held, out[k].want))
                k++;
        }
    }
    return k;
}

bool px_has_news(struct px_proxy *p)
{
    bool news = p->news;
    p->news = false;
    return news;
}

void px_share(struct px_proxy *p, struct sr_str id, int connections)
{
    struct px_inst *in = px_inst(p, id);
    if (!in)
        return;
    in->share = connections;
    px_inst_want_first(in, ck_now());
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

/* ---- time ---- */

/* Half of the time to end is for transactions; what is still open then is rolled back. */
static void force_end(struct px_proxy *p, int64_t now)
{
    if (!p->stopping || now - p->stop_began < p->cfg.grace_us * STOP_FORCE_PERCENT / 100)
        return;
    for (struct px_session *s = p->sessions; s; s = s->next) {
        if (s->stage == PX_S_REST && px_in_txn(s) && s->conn)
            px_abort_txn(s);
    }
}

static void tell_stages(struct px_proxy *p, int64_t now)
{
    struct sr_buf b = {0};
    if (now - p->stages_told_at < STAGES_EVERY_US)
        return;
    p->stages_told_at = now;
    px_stages_report(&p->stages, &b);
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
    px_holders_tick(p, now);
    px_groups_tick(p, now);
    if (now < p->next_slow_tick)
        return;
    p->next_slow_tick = now + SLOW_TICK_US;
    px_sessions_slow_tick(p, now);
    px_neighbours_tick(p, now);
    force_end(p, now);
    tell_stages(p, now);
}

void px_stop(struct px_proxy *p, int64_t now)
{
    p->stopping = true;
    p->stop_began = now;
}

void px_log_end(const struct px_proxy *p)
{
    int at_work = 0;
    for (const struct px_session *s = p->active; s; s = s->next_active)
        at_work++;
    FL_INFO(&p->log, "ends with %d sessions open, %d statements at work", p->n_sessions,
            at_work);
}

void px_refuse_new(struct px_proxy *p)
{
    nt_refuse_new(p->listener);
}

bool px_stopped(const struct px_proxy *p, int64_t now)
{
    if (p->active)
        return false;
    return p->n_sessions == 0 ||
           now - p->stop_began > p->cfg.grace_us * STOP_LINGER_PERCENT / 100;
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

void px_meter(struct px_proxy *p, struct nt_conn *net, enum px_peer to, const char *domain)
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

/* Those that came first: the number is bounded, whatever documents hold. */
static void put_accounts(struct sr_buf *out, const struct px_proxy *p)
{
    enum { MOST = 64 };
    for (int i = 0; i < p->n_accounts && i < MOST; i++) {
        const struct px_account *a = &p->accounts[i];
        sr_buf_printf(out,
                      "ferry_session_account_begun_total{account=\"%s\"} %llu\n"
                      "ferry_session_account_refused_total{account=\"%s\"} %llu\n"
                      "ferry_session_account_permits{account=\"%s\"} %d\n",
                      a->name, (unsigned long long)a->begun, a->name,
                      (unsigned long long)a->refused, a->name, a->stock.held);
    }
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
                {"behind_total", p->c.behind},
                {"retries_total", p->c.retries},
                {"parked_total", p->c.parked},
                {"lost_connections_total", p->c.lost},
                {"opened_connections_total", p->c.opened},
                {"replaced_connections_total", p->c.replaced},
                {"unknown_keys_total", p->c.unknown_keys},
                {"relayed_total", p->c.relayed},
                {"cut_total", p->c.cut},
                {"log_lines_left_out_total", p->c.log_lines_left_out},
                {"open", (uint64_t)p->n_sessions},
                {"nodes", (uint64_t)p->n_nodes},
                {"nodes_out_of_reach", (uint64_t)px_n_out_of_reach(p)},
                {"document", p->catalog.version}};
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
        sr_buf_printf(out, "ferry_session_%s %llu\n", rows[i].name,
                      (unsigned long long)rows[i].v);
    for (int k = 1; k < ER_COUNT; k++)
        sr_buf_printf(out, "ferry_session_failed_by_total{reason=\"%s\"} %llu\n", er_name(k),
                      (unsigned long long)p->c.by_reason[k]);
    for (int k = 0; k < PX_ENDS; k++)
        sr_buf_printf(out, "ferry_session_closed_total{why=\"%s\"} %llu\n", px_end_name(k),
                      (unsigned long long)p->c.ends[k]);
    put_traffic(out, p);
    put_accounts(out, p);
    put_hist(out, "read", &p->latency_read);
    put_hist(out, "write", &p->latency_write);
    px_stages_metrics(&p->stages, out);
    for (int g = 0; g < p->n_groups; g++) {
        for (int i = 0; i < p->groups[g]->cfg.n; i++)
            put_instance(out, p->groups[g]->inst[i]);
    }
}
