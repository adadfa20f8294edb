/* The operators' HTTP interface: status, metrics, plans, and confirmed intents, which are
 * answered when they are committed. */
#include <stdlib.h>

#include "control/control.h"
#include "misc/clock.h"

enum { COMMIT_TIMEOUT_US = 5000000, TRAFFIC_LOG_INTERVAL_US = 10000000 };

static void send_json(struct nt_conn *c, int status, json_t *o)
{
    char *s = json_dumps(o, JSON_COMPACT);
    nt_http_reply(c, status, "application/json", s, strlen(s));
    free(s);
    json_decref(o);
}

static void send_error(struct ct_node *n, struct nt_conn *c, const struct er_err *e)
{
    json_t *o = json_pack("{s:s,s:s}", "reason", er_name(e->kind), "detail", e->text);
    if (e->kind == ER_NOT_LEADER)
        json_object_set_new(o, "leader", json_string(ct_member_name(n, qr_leader(n->q))));
    send_json(c, er_http(e->kind), o);
}

/* ---- status ---- */

static json_t *members_json(struct ct_node *n)
{
    const struct qr_members *m = qr_members(n->q);
    json_t *a = json_array();
    for (uint32_t i = 0; i < m->n; i++) {
        char id[24];
        snprintf(id, sizeof(id), "%llx", (unsigned long long)m->m[i].id);
        json_array_append_new(
            a, json_pack("{s:s,s:s,s:b,s:s,s:i,s:s,s:b,s:I}", "id", id, "name", m->m[i].name,
                         "voter", m->m[i].voter, "ip", m->m[i].ip, "port", m->m[i].port,
                         "domain", m->m[i].domain, "leader", m->m[i].id == qr_leader(n->q),
                         "match", (json_int_t)qr_match(n->q, m->m[i].id)));
    }
    return a;
}

static json_t *nodes_json(struct ct_node *n)
{
    json_t *a = json_array();
    int64_t now = ck_now();
    for (struct ct_conn *c = n->conns; c; c = c->next) {
        if (!c->greeted || c->role != WR_ROLE_ENTRY)
            continue;
        json_array_append_new(
            a, json_pack("{s:s,s:s,s:i,s:i,s:s,s:b,s:i}", "name", c->name, "ip", c->ip, "port",
                         c->port, "http", c->http_port, "domain", c->domain, "lease",
                         ls_node_live(&n->leases, c->id, now), "carries", c->carries));
    }
    return a;
}

static json_t *status_json(struct ct_node *n)
{
    char id[24];
    int have = 0, live = ls_count_live(&n->leases, n->view.generation, ck_now(), &have);
    snprintf(id, sizeof(id), "%llx", (unsigned long long)n->id);
    json_t *view = vw_view_json(&n->view);
    json_t *o = json_pack(
        "{s:s,s:s,s:s,s:b,s:b,s:s,s:I,s:I,s:I,s:I,s:i,s:i,s:o}", "node", n->s->name, "role",
        "control", "id", id, "leads", n->leading, "vouched", ct_quorum_confirmed(n), "leader",
        ct_member_name(n, qr_leader(n->q)), "term", (json_int_t)qr_term(n->q), "commit",
        (json_int_t)qr_commit(n->q), "last", (json_int_t)qr_last(n->q), "first",
        (json_int_t)qr_first(n->q), "entry_nodes", live, "in_force_on", have, "view", view);
    return o;
}

static void write_shares(struct sr_buf *b, const struct sh_table *t)
{
    for (int i = 0; i < t->n; i++)
        sr_buf_printf(b, "ferry_control_shares{instance=\"%s\"} %d\n", t->inst[i].id,
                      sh_counted(t, t->inst[i].id));
}

static void write_counters(struct sr_buf *b, const struct ct_node *n)
{
    uint64_t syncs;
    int64_t longest;
    dk_stats(n->disk, &syncs, &longest);
    const struct {
        const char *name;
        uint64_t v;
    } rows[] = {
        {"disk_full", n->disk_full},
        {"term", qr_term(n->q)},
        {"commit_index", qr_commit(n->q)},
        {"generation", n->view.generation},
        {"leads", n->leading},
        {"grants_total", n->counters.grants},
        {"refused_grants_total", n->counters.refused_grants},
        {"views_sent_total", n->counters.views},
        {"view_bytes_total", n->counters.view_bytes},
        {"node_lists_total", n->counters.node_lists},
        {"node_list_bytes_total", n->counters.node_list_bytes},
        {"view_snapshots_total", n->counters.snapshots},
        {"proposals_total", n->counters.proposals},
        {"changes_applied_total", n->counters.applied},
        {"changes_refused_total", n->counters.refused_changes},
        {"promotions_total", n->counters.promotions},
        {"waits_for_copies_total", n->counters.waits_for_copies},
        {"bad_messages_total", n->counters.bad_messages},
        {"refused_peers_total", n->counters.refused_peers},
        {"platform_failures_total", n->counters.platform_failures},
        {"disk_syncs_total", syncs},
        {"disk_longest_us", (uint64_t)longest},
        {"log_bytes", so_log_bytes(n->store)},
        {"force_us_p50", (uint64_t)hi_quantile(&n->time_to_force, 0.5)},
        {"force_us_p99", (uint64_t)hi_quantile(&n->time_to_force, 0.99)},
        {"force_count", n->time_to_force.count},
        {"peer_bytes_in_total", n->peer_traffic.bytes_in},
        {"peer_bytes_out_total", n->peer_traffic.bytes_out},
        {"net_bytes_in_total", nt_stats(n->loop)->bytes_in},
        {"net_bytes_out_total", nt_stats(n->loop)->bytes_out},
        {"http_connections_total", nt_stats(n->loop)->http_accepted},
        {"http_requests_total", nt_stats(n->loop)->http_requests},
        {"http_ended_by_us_total", nt_stats(n->loop)->http_ended_by_us},
        {"http_displaced_total", nt_stats(n->loop)->http_displaced},
        {"http_closed_total", nt_stats(n->loop)->http_closed},
        {"net_bad_frames_total", nt_stats(n->loop)->bad_frames},
        {"net_oversized_total", nt_stats(n->loop)->oversized},
        {"net_shed_memory_total", nt_stats(n->loop)->shed_for_memory},
        {"net_shed_room_total", nt_stats(n->loop)->shed_for_room},
        {"net_not_parsed_total", nt_stats(n->loop)->not_parsed},
        {"net_throttled_total", nt_stats(n->loop)->throttled},
        {"net_held_bytes", nt_held(n->loop)},
        {"net_stalls_total", nt_stats(n->loop)->stalls},
        {"net_longest_stall_us", (uint64_t)nt_stats(n->loop)->longest_stall_us},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
        sr_buf_printf(b, "ferry_control_%s %llu\n", rows[i].name,
                      (unsigned long long)rows[i].v);
}

void ct_log_traffic(struct ct_node *n, int64_t now)
{
    bool due = n->traffic_logged_at && now - n->traffic_logged_at >= TRAFFIC_LOG_INTERVAL_US;
    if (due || !n->traffic_logged_at)
        n->traffic_logged_at = now;
    if (!due)
        return;
    const struct nt_counters *st = nt_stats(n->loop), *last = &n->logged_net;
    struct sr_buf b = {0};
    uint64_t syncs;
    int64_t longest;
    dk_stats(n->disk, &syncs, &longest);
    tf_report(&n->traffic, &b);
    FL_EVENT(
        &n->log, LG_INFO, "traffic",
        "leads=%d entry_nodes=%d connections=%llu requests=%llu ended_by_us=%llu "
        "closed=%llu open=%llu syncs=%llu longest_sync_ms=%lld %.*s",
        n->leading, n->n_conns, (unsigned long long)(st->http_accepted - last->http_accepted),
        (unsigned long long)(st->http_requests - last->http_requests),
        (unsigned long long)(st->http_ended_by_us - last->http_ended_by_us),
        (unsigned long long)(st->http_closed - last->http_closed),
        (unsigned long long)(st->http_accepted - st->http_closed), (unsigned long long)syncs,
        (long long)(longest / 1000), (int)b.len, b.p ? b.p : "");
    n->logged_net = *st;
    sr_buf_free(&b);
}

static void metrics(struct ct_node *n, struct nt_conn *c)
{
    struct sr_buf b = {0};
    write_counters(&b, n);
    write_shares(&b, &n->shares);
    tf_metrics(&n->traffic, &b);
    nt_http_reply(c, 200, "text/plain; version=0.0.4", b.p, b.len);
    sr_buf_free(&b);
}

static json_t *intent_json(const struct vw_view *v, const char *id)
{
    json_t *whole = vw_view_json(v), *found = NULL, *it;
    size_t i;
    json_array_foreach(json_object_get(whole, "intents"), i, it)
    {
        if (strcmp(json_string_value(json_object_get(it, "id")), id) == 0)
            found = json_incref(it);
    }
    json_decref(whole);
    return found;
}

/* ---- planning and confirming ---- */

static bool make_plan(struct ct_node *n, const json_t *args, struct it_plan *p,
                      struct it_request *r, struct er_err *err)
{
    if (!ct_quorum_confirmed(n) || !n->leading)
        return er_set(err, qr_role(n->q) == QR_LEADER ? ER_NO_QUORUM : ER_NOT_LEADER,
                      "this node is not a confirmed leader");
    return it_parse(args, r, err) && it_plan(&n->view, qr_members(n->q), r, p, err);
}

static void do_plan(struct ct_node *n, const struct nt_http *req)
{
    struct it_plan p;
    struct it_request r;
    struct er_err err = {0};
    json_t *args = json_loadb(req->body, req->body_len, 0, NULL);
    if (!args)
        er_set(&err, ER_BAD_INPUT, "the body is not valid JSON");
    if (!args || !make_plan(n, args, &p, &r, &err)) {
        send_error(n, req->conn, &err);
        json_decref(args);
        return;
    }
    json_t *steps = json_array();
    for (int i = 0; i < p.n; i++)
        json_array_append_new(steps, json_string(p.step[i]));
    send_json(req->conn, 200,
              json_pack("{s:o,s:s,s:I,s:I,s:o}", "args", args, "digest", p.digest, "generation",
                        (json_int_t)p.generation, "number", (json_int_t)p.number, "steps",
                        steps));
}

static void on_request_closed(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    struct ct_operator_request *w = ud;
    (void)c;
    (void)opened;
    (void)refused;
    w->conn = NULL;
}

static const struct nt_ops request_ops = {NULL, NULL, on_request_closed};

static bool await_commit(struct ct_node *n, struct nt_conn *c, const char *id)
{
    for (int i = 0; i < CT_MAX_OPERATOR_REQUESTS; i++) {
        struct ct_operator_request *w = &n->operator_requests[i];
        if (w->conn)
            continue;
        w->conn = c;
        w->until = ck_now() + COMMIT_TIMEOUT_US;
        sr_copy(w->id, sizeof(w->id), sr_from(id));
        nt_http_watch(c, &request_ops, w);
        return true;
    }
    return false;
}

static bool copy_field(const json_t *o, const char *key, char *dst, size_t cap,
                       struct er_err *err)
{
    const json_t *v = json_object_get(o, key);
    struct sr_str s = {json_string_value(v), json_string_length(v)};
    if (!s.p || s.len == 0 || !sr_copy(dst, cap, s))
        return er_set(err, ER_BAD_INPUT, "%s: expected text of 1 to %zu bytes", key, cap - 1);
    return true;
}

static bool parse_intent(struct ct_node *n, const json_t *o, struct vw_intent *it,
                         struct er_err *err)
{
    struct it_plan p;
    struct it_request r;
    char digest[24];
    const json_t *args = json_object_get(o, "args");
    memset(it, 0, sizeof(*it));
    it->number = (uint64_t)json_integer_value(json_object_get(o, "number"));
    if (!copy_field(o, "id", it->id, sizeof(it->id), err) ||
        !copy_field(o, "who", it->who, sizeof(it->who), err) ||
        !copy_field(o, "digest", digest, sizeof(digest), err))
        return false;
    if (vw_intent(&n->view, it->id))
        return true; /* a repeated request: the intent is in the view */
    if (it->number == 0)
        return er_set(err, ER_BAD_INPUT, "number: expected the plan's number, 1 or more");
    if (!make_plan(n, args, &p, &r, err))
        return false;
    if (strcmp(digest, p.digest) != 0)
        return er_set(err, ER_STALE_PLAN,
                      "the configuration changed since the plan was made (digest %s, now "
                      "%s): make and read a new plan",
                      digest, p.digest);
    char *s = json_dumps(args, JSON_COMPACT | JSON_SORT_KEYS);
    bool fits = sr_copy(it->args, sizeof(it->args), sr_from(s));
    free(s);
    it->kind = r.kind;
    it->n_steps = p.n;
    memcpy(it->digest, p.digest, sizeof(it->digest));
    return fits ||
           er_set(err, ER_TOO_LARGE, "args: expected under %zu bytes", sizeof(it->args));
}

static void do_confirm(struct ct_node *n, const struct nt_http *req)
{
    struct vw_change ch = {.kind = VW_CH_INTENT};
    struct er_err err = {0};
    json_t *o = json_loadb(req->body, req->body_len, 0, NULL);
    bool ok = o ? parse_intent(n, o, &ch.intent, &err)
                : er_set(&err, ER_BAD_INPUT, "the body is not valid JSON");
    json_decref(o);
    json_t *known = ok ? intent_json(&n->view, ch.intent.id) : NULL;
    if (known && ct_quorum_confirmed(n)) {
        send_json(req->conn, 200, known);
        return;
    }
    json_decref(known);
    if (!ok || !ct_propose(n, &ch, NULL, &err))
        send_error(n, req->conn, &err);
    else if (!await_commit(n, req->conn, ch.intent.id))
        send_json(req->conn, 503,
                  json_pack("{s:s,s:s}", "reason", "overload", "detail",
                            "too many requests wait; resend with the same id"));
}

void ct_ops_applied(struct ct_node *n, const struct vw_change *ch, const struct er_err *err)
{
    if (ch->kind != VW_CH_INTENT)
        return;
    json_t *known = intent_json(&n->view, ch->intent.id);
    for (int i = 0; i < CT_MAX_OPERATOR_REQUESTS; i++) {
        struct ct_operator_request *w = &n->operator_requests[i];
        if (!w->conn || strcmp(w->id, ch->intent.id) != 0)
            continue;
        struct nt_conn *c = w->conn;
        w->conn = NULL;
        if (known)
            send_json(c, 200, json_incref(known));
        else
            send_error(n, c, err);
    }
    json_decref(known);
}

void ct_ops_tick(struct ct_node *n, int64_t now)
{
    for (int i = 0; i < CT_MAX_OPERATOR_REQUESTS; i++) {
        struct ct_operator_request *w = &n->operator_requests[i];
        if (!w->conn || now < w->until)
            continue;
        struct nt_conn *c = w->conn;
        w->conn = NULL;
        send_json(c, 504,
                  json_pack("{s:s,s:s}", "reason", "unknown", "detail",
                            "not committed yet, but may be later: resend with the same id"));
    }
}

/* ---- dispatch ---- */

static void get(struct ct_node *n, const struct nt_http *req)
{
    if (strcmp(req->path, "/v1/status") == 0) {
        send_json(req->conn, 200, status_json(n));
    } else if (strcmp(req->path, "/v1/members") == 0) {
        send_json(req->conn, 200, members_json(n));
    } else if (strcmp(req->path, "/v1/nodes") == 0) {
        send_json(req->conn, 200, nodes_json(n));
    } else if (strcmp(req->path, "/v1/timeline") == 0) {
        send_json(req->conn, 200, tl_json(n->tl, n->s->name));
    } else if (strcmp(req->path, "/metrics") == 0) {
        metrics(n, req->conn);
    } else if (strcmp(req->path, "/healthz") == 0) {
        send_json(req->conn, 200, json_pack("{s:b}", "alive", 1));
    } else if (strcmp(req->path, "/readyz") == 0) {
        bool ok = !n->stopping && qr_leader(n->q) != 0;
        send_json(req->conn, ok ? 200 : 503, json_pack("{s:b}", "ready", ok));
    } else {
        send_json(req->conn, 404,
                  json_pack("{s:s,s:s}", "reason", "bad_input", "detail",
                            "unknown path; see docs/INTERFACES.md"));
    }
}

static void on_http(const struct nt_http *req)
{
    struct ct_node *n = req->ud;
    bool post = strcmp(req->method, "POST") == 0;
    if (!nt_may_parse(n->loop, req->body_len)) {
        send_json(req->conn, 503,
                  json_pack("{s:s,s:s}", "reason", "overload", "detail",
                            "too many large requests; this one was not read, send it again"));
        return;
    }
    if (n->platform && n->platform->http(n, req))
        return;
    if (post && strcmp(req->path, "/v1/plan") == 0)
        do_plan(n, req);
    else if (post && strcmp(req->path, "/v1/confirm") == 0)
        do_confirm(n, req);
    else
        get(n, req);
}

static void *no_sockets(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    return NULL; /* this port accepts HTTP only */
}

bool ct_ops_listen(struct ct_node *n, struct er_err *err)
{
    static const struct nt_ops none = {NULL, NULL, on_request_closed};
    struct nt_listen l = {.ip = n->s->control_ip,
                          .port = n->s->ops_port,
                          .ops = &none,
                          .accept = no_sockets,
                          .http = on_http,
                          .small_windows = true,
                          .ud = n};
    n->ops_listener = nt_listen(n->loop, &l, err);
    return n->ops_listener != NULL;
}
