/* HTTP interface of an entry node for load balancers and operators: health, readiness, metrics,
 * status, timeline and the placement of client accounts. All requests are read-only. */
#include <stdlib.h>

#include "entry/entry.h"
#include "misc/clock.h"

/* How long a node stays ready after it lost its lease. It still serves requests that need no
 * lease, and an election interrupts the leases of all nodes, which must not remove all of them
 * from the load balancer at once. */
enum { READY_WITHOUT_LEASE_US = 300000 };

static void reply_json(const struct nt_http *req, int status_json, json_t *o)
{
    char *s = json_dumps(o, JSON_COMPACT);
    nt_http_reply(req->conn, status_json, "application/json", s, strlen(s));
    free(s);
    json_decref(o);
}

const char *en_not_ready(const struct en_node *n)
{
    if (n->stopping)
        return "stopping";
    if (n->view.generation == 0)
        return "no view yet";
    if (n->px && !px_configured(n->px))
        return "no configuration document yet";
    if (!en_leased(n) && nt_received_until(n->loop) - n->lease_lost_at > READY_WITHOUT_LEASE_US)
        return "no lease";
    return NULL;
}

static void put_hist(struct sr_buf *b, const char *kind, const struct hi_hist *h)
{
    static const double qs[] = {0.5, 0.9, 0.99, 0.999};
    for (size_t i = 0; i < sizeof(qs) / sizeof(qs[0]); i++)
        sr_buf_printf(b, "ferry_latency_us{kind=\"%s\",quantile=\"%g\"} %lld\n", kind, qs[i],
                      (long long)hi_quantile(h, qs[i]));
    sr_buf_printf(b, "ferry_latency_us_count{kind=\"%s\"} %llu\n", kind,
                  (unsigned long long)h->count);
}

static void put_counters(struct sr_buf *b, const struct en_counters *c)
{
    const struct {
        const char *name;
        uint64_t v;
    } rows[] = {
        {"requests", c->requests},
        {"answers_ok", c->ok},
        {"answers_not_run", c->not_run},
        {"answers_unknown", c->unknown},
        {"answers_rejected", c->rejected},
        {"reads_primary", c->reads_primary},
        {"reads_replica", c->reads_replica},
        {"reads_behind", c->reads_behind},
        {"writes", c->writes},
        {"commits", c->commits},
        {"rollbacks", c->rollbacks},
        {"forwarded", c->forwarded},
        {"retries", c->retries},
        {"retry_denied", c->retry_denied},
        {"late_replies", c->late_replies},
        {"parked", c->parked},
        {"waited_at_replica", c->waited},
        {"duplicates", c->duplicates},
        {"bad_tokens", c->bad_tokens},
        {"lease_lost", c->lease_lost},
        {"views", c->views},
        {"renewed_instances", c->renewed_instances},
        {"view_snapshots", c->snapshots},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
        sr_buf_printf(b, "ferry_%s_total %llu\n", rows[i].name, (unsigned long long)rows[i].v);
    for (int k = 1; k < ER_COUNT; k++) {
        if (c->by_reason[k])
            sr_buf_printf(b, "ferry_refusals_total{reason=\"%s\"} %llu\n", er_name(k),
                          (unsigned long long)c->by_reason[k]);
    }
}

static void put_net(struct sr_buf *b, const struct nt_counters *s, size_t held)
{
    sr_buf_printf(b,
                  "ferry_net_accepted_total %llu\nferry_net_closed_total %llu\n"
                  "ferry_net_oversized_total %llu\nferry_net_bad_frames_total %llu\n"
                  "ferry_net_queue_overrun_total %llu\nferry_net_shed_memory_total %llu\n"
                  "ferry_net_shed_room_total %llu\nferry_net_not_parsed_total %llu\n"
                  "ferry_net_throttled_total %llu\n"
                  "ferry_net_held_bytes %zu\nferry_net_bytes_in_total %llu\n"
                  "ferry_net_bytes_out_total %llu\nferry_net_stalls_total %llu\n"
                  "ferry_net_longest_stall_us %lld\n",
                  (unsigned long long)s->accepted, (unsigned long long)s->closed,
                  (unsigned long long)s->oversized, (unsigned long long)s->bad_frames,
                  (unsigned long long)s->queue_overrun, (unsigned long long)s->shed_for_memory,
                  (unsigned long long)s->shed_for_room, (unsigned long long)s->not_parsed,
                  (unsigned long long)s->throttled, held, (unsigned long long)s->bytes_in,
                  (unsigned long long)s->bytes_out, (unsigned long long)s->stalls,
                  (long long)s->longest_stall_us);
}

static void reply_metrics(const struct nt_http *req, struct en_node *n)
{
    struct sr_buf b = {0};
    put_counters(&b, &n->c);
    put_net(&b, nt_stats(n->loop), nt_held(n->loop));
    sr_buf_printf(
        &b, "ferry_control_link_bytes_out_total %llu\nferry_control_link_bytes_in_total %llu\n",
        (unsigned long long)n->control_traffic.bytes_out,
        (unsigned long long)n->control_traffic.bytes_in);
    put_hist(&b, "read", &n->lat_read);
    put_hist(&b, "write", &n->lat_write);
    sr_buf_printf(&b, "ferry_generation %llu\nferry_lease %d\nferry_requests_held %d\n",
                  (unsigned long long)n->view.generation, en_leased(n), n->n_reqs);
    for (int g = 0; g < n->n_groups; g++) {
        for (int i = 0; i < n->groups[g]->cfg.n; i++) {
            const struct en_inst *in = n->groups[g]->inst[i];
            sr_buf_printf(&b,
                          "ferry_instance_connections{instance=\"%s\"} %d\n"
                          "ferry_instance_share{instance=\"%s\"} %d\n"
                          "ferry_instance_limit{instance=\"%s\"} %.1f\n"
                          "ferry_instance_queued{instance=\"%s\"} %d\n"
                          "ferry_instance_lag_us{instance=\"%s\"} %lld\n",
                          in->cfg.id, in->n_conns, in->cfg.id, in->share, in->cfg.id,
                          in->queue.limit, in->cfg.id, in->queue.queued, in->cfg.id,
                          (long long)n->groups[g]->rt.inst[i].lag_us);
        }
    }
    sr_buf_printf(&b, "ferry_node_link_kbps %d\nferry_node_core_permille %d\n", n->s->link_kbps,
                  n->s->core_permille);
    if (n->px)
        px_metrics(n->px, &b);
    nt_http_reply(req->conn, 200, "text/plain; version=0.0.4", b.p, b.len);
    sr_buf_free(&b);
}

/* For each node, the number of groups whose sessions of the account are placed there. */
static json_t *placement_by_node(struct en_node *n, const char *account)
{
    json_t *o = json_object();
    for (int g = 0; g < n->view.n; g++) {
        const char *nodes[HO_MAX_HOLDERS];
        int k = px_account_nodes(n->px, n->view.groups[g].name, account, nodes);
        for (int i = 0; i < k; i++) {
            json_int_t previous = json_integer_value(json_object_get(o, nodes[i]));
            json_object_set_new(o, nodes[i], json_integer(previous + 1));
        }
    }
    return o;
}

static json_t *placement_by_group(struct en_node *n, const char *account)
{
    json_t *o = json_object();
    for (int g = 0; g < n->view.n; g++) {
        const char *nodes[HO_MAX_HOLDERS], *group = n->view.groups[g].name;
        int k = px_account_nodes(n->px, group, account, nodes);
        json_t *a = json_array();
        for (int i = 0; i < k; i++)
            json_array_append_new(a, json_string(nodes[i]));
        json_object_set_new(o, group, a);
    }
    return o;
}

/* Placement of client accounts. With an account: its nodes for each group. Without: for the
 * accounts that use this node most, the number of groups per node. */
static json_t *placement_json(struct en_node *n, const char *account)
{
    const char *names[PX_ACCOUNTS_LISTED];
    if (!n->px)
        return json_object();
    if (account[0])
        return placement_by_group(n, account);
    json_t *o = json_object();
    int k = px_accounts_by_use(n->px, names);
    for (int i = 0; i < k; i++)
        json_object_set_new(o, names[i], placement_by_node(n, names[i]));
    return o;
}

static json_t *status_json(struct en_node *n)
{
    const char *why = en_not_ready(n);
    json_t *groups = json_array();
    for (int g = 0; g < n->n_groups; g++) {
        const struct vw_group *v = &n->groups[g]->cfg;
        json_array_append_new(groups, json_pack("{s:s,s:s,s:I,s:s,s:i}", "name", v->name,
                                                "phase", vw_phase_name(v->phase), "term",
                                                (json_int_t)v->term, "primary",
                                                v->primary >= 0 ? v->inst[v->primary].id : "",
                                                "parked", n->groups[g]->n_parked));
    }
    return json_pack("{s:s,s:s,s:I,s:b,s:s,s:i,s:i,s:o}", "node", n->s->name, "role", "entry",
                     "generation", (json_int_t)n->view.generation, "ready", why == NULL, "why",
                     why ? why : "", "requests", n->n_reqs, "callers", n->n_callers, "groups",
                     groups);
}

void en_handle_http(const struct nt_http *req)
{
    struct en_node *n = req->ud;
    if (n->interface && n->interface->http(n, req))
        return;
    if (strcmp(req->path, "/healthz") == 0) {
        reply_json(req, 200, json_pack("{s:b}", "alive", 1));
    } else if (strcmp(req->path, "/readyz") == 0) {
        const char *why = en_not_ready(n);
        reply_json(req, why ? 503 : 200,
                   json_pack("{s:b,s:s}", "ready", why == NULL, "why", why ? why : ""));
    } else if (strcmp(req->path, "/metrics") == 0) {
        reply_metrics(req, n);
    } else if (strcmp(req->path, "/v1/status") == 0) {
        reply_json(req, 200, status_json(n));
    } else if (strcmp(req->path, "/v1/places") == 0) {
        reply_json(req, 200, placement_json(n, ""));
    } else if (strncmp(req->path, "/v1/places/", 11) == 0) {
        reply_json(req, 200, placement_json(n, req->path + 11));
    } else if (strcmp(req->path, "/v1/timeline") == 0) {
        reply_json(req, 200, tl_json(n->tl, n->s->name));
    } else {
        reply_json(req, 404,
                   json_pack("{s:s,s:s}", "reason", "bad_input", "detail",
                             "expected /v1/request (POST), /v1/status, /v1/timeline, /metrics, "
                             "/healthz or /readyz"));
    }
}
