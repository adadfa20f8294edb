/* ferry-fleet simulates many entry nodes towards the control nodes, in one process. Each
 * simulated node keeps a connection to one control node, renews its lease as a real node does,
 * and acknowledges views. Reports bytes and messages per node, and the time from the first to
 * the last node that receives a change. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>
#include <sodium.h>

#include "lease/lease.h"
#include "misc/clock.h"
#include "misc/hist.h"
#include "misc/rng.h"
#include "task/net.h"
#include "wire/wire.h"

enum {
    MAX_NODES = 1000,
    MAX_VOTERS = 5,
    TICK_US = 5000,
    RENEWALS_PER_LEASE = 6,
    MAX_HELD = 64,
    DOMAINS = 5,
    STARTUP_US = 5000000
};

struct fleet;

struct node {
    struct fleet *f;
    struct nt_conn *net;
    bool open, has_lease;
    int voter; /* index of the control node in `ports` */
    uint64_t id, generation, seq, shares_seq;
    int64_t next_renew, lease_until;
};

struct fleet {
    struct nt_loop *loop;
    struct nt_timer tick;
    char cluster[64], ip[46];
    int ports[MAX_VOTERS], n_voters, n;
    double seconds;
    int instances, held_per_node; /* in the cluster; held by each node */
    char ids[4096][48];
    struct node nodes[MAX_NODES];
    struct wr_decoder dec;
    /* Figures count from `measured_from` on, when all nodes have their view. */
    int64_t end, measured_from;
    struct nt_counters start_counters;
    uint64_t measured_generation; /* newest generation, whose propagation is being measured */
    int64_t first_reached_at;     /* time at which the first node received that generation */
    int n_reached;
    struct hi_hist propagation, grant;
    uint64_t grants, refused, views, snapshots, lost_leases;
};

static void send_msg(struct node *node, const struct wr_msg *m)
{
    struct sr_buf b = {0};
    wr_encode(&b, m);
    nt_send(node->net, b.p, b.len);
    sr_buf_free(&b);
}

static void renew(struct node *node, int64_t now)
{
    struct fleet *f = node->f;
    struct wr_share s[MAX_HELD];
    int n = f->instances < f->held_per_node ? f->instances : f->held_per_node;
    int first = (int)(node - f->nodes) *
                f->held_per_node; /* spreads the holders evenly over the instances */
    for (int i = 0; i < n; i++)
        s[i] = (struct wr_share){sr_from(f->ids[(first + i) % f->instances]), 1, 1};
    struct wr_msg m = {.type = WR_RENEW,
                       .renew = {.seq = ++node->seq,
                                 .generation = node->generation,
                                 .n = (uint32_t)n,
                                 .shares = s,
                                 .shares_seq = node->shares_seq}};
    node->next_renew = now + CK_SEC(1);
    send_msg(node, &m);
}

static void on_open(struct nt_conn *c, void *ud)
{
    struct node *node = ud;
    char name[32], domain[8];
    (void)c;
    node->open = true;
    snprintf(domain, sizeof(domain), "d%d", (int)(node - node->f->nodes) % DOMAINS);
    snprintf(name, sizeof(name), "fleet%d", (int)(node - node->f->nodes));
    struct wr_msg m = {.type = WR_HELLO};
    m.hello = (struct wr_hello){.version = WR_VERSION,
                                .cluster = sr_from(node->f->cluster),
                                .name = sr_from(name),
                                .domain = sr_from(domain),
                                .ip = SR_LIT("127.0.0.1"),
                                .port = 1,
                                .role = WR_ROLE_ENTRY,
                                .id = node->id};
    send_msg(node, &m);
    node->next_renew = ck_now();
}

static void load_instances(struct fleet *f, const json_t *view)
{
    size_t g, i;
    json_t *group, *inst;
    f->instances = 0;
    json_array_foreach(json_object_get(view, "groups"), g, group)
    {
        json_array_foreach(json_object_get(group, "instances"), i, inst)
        {
            if (f->instances < 4096)
                sr_copy(f->ids[f->instances++], sizeof(f->ids[0]),
                        sr_from(json_string_value(json_object_get(inst, "id"))));
        }
    }
}

static void record_propagation(struct fleet *f, uint64_t generation, int64_t now)
{
    if (generation > f->measured_generation) {
        f->measured_generation = generation;
        f->first_reached_at = now;
        f->n_reached = 0;
    }
    if (generation == f->measured_generation && ++f->n_reached == f->n)
        hi_add(&f->propagation, now - f->first_reached_at);
}

static void on_view(struct node *node, const struct wr_view *v)
{
    struct fleet *f = node->f;
    f->views++;
    if (v->from == 0) {
        f->snapshots++;
        if (!f->instances) {
            json_t *j = json_loadb(v->text.p, v->text.len, 0, NULL);
            load_instances(f, j);
            json_decref(j);
        }
    }
    if (v->to <= node->generation)
        return;
    node->generation = v->to;
    record_propagation(f, v->to, ck_now());
    struct wr_msg m = {.type = WR_ACK, .ack = v->to};
    send_msg(node, &m);
}

static void on_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    struct node *node = ud;
    struct fleet *f = node->f;
    struct wr_msg m;
    int64_t now = ck_now();
    (void)c;
    if (!wr_decode(&f->dec, data, len, &m, NULL))
        return;
    if (m.type == WR_GRANT && m.grant.duration_ms) {
        f->grants++;
        node->has_lease = true;
        node->lease_until = now + CK_MS(m.grant.duration_ms);
        node->next_renew = now + CK_MS(m.grant.duration_ms) / RENEWALS_PER_LEASE;
    } else if (m.type == WR_NOT_LEADER) {
        f->refused++;
        nt_close(node->net, true); /* on_close() selects the next control node */
    } else if (m.type == WR_VIEW) {
        on_view(node, &m.view);
    } else if (m.type == WR_SHARES) {
        node->shares_seq = m.shares.seq;
    } else if (m.type == WR_CHECK) {
        m.type = WR_CHECKED;
        m.check.health = WR_UNKNOWN;
        send_msg(node, &m);
    }
}

static void on_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    struct node *node = ud;
    (void)c;
    (void)opened;
    (void)refused;
    node->net = NULL;
    node->open = false;
    node->voter = (node->voter + 1) % node->f->n_voters;
    node->next_renew = ck_now() + CK_MS(50);
}

static const struct nt_ops ops = {on_open, on_message, on_close};

static void report(struct fleet *f)
{
    double s = (double)(ck_now() - f->measured_from) / 1e6;
    const struct nt_counters *st = nt_stats(f->loop);
    uint64_t out = st->bytes_out - f->start_counters.bytes_out;
    uint64_t in = st->bytes_in - f->start_counters.bytes_in;
    uint64_t messages = st->messages_in + st->messages_out - f->start_counters.messages_in -
                        f->start_counters.messages_out;
    int leased = 0;
    for (int i = 0; i < f->n; i++)
        leased += ck_now() < f->nodes[i].lease_until;
    printf(
        "%d nodes, %.1f s: leases held %d, lost %llu; each node sends %.0f and receives %.0f "
        "bytes/s, %.1f messages/s\n",
        f->n, s, leased, (unsigned long long)f->lost_leases, (double)out / s / f->n,
        (double)in / s / f->n, (double)messages / s / f->n);
    printf("changes that reached all nodes: %llu; from the first node to the last p50 %.2f ms, "
           "max %.2f ms; views %llu, of them snapshots %llu\n",
           (unsigned long long)f->propagation.count,
           (double)hi_quantile(&f->propagation, 0.5) / 1000, (double)f->propagation.max / 1000,
           (unsigned long long)f->views, (unsigned long long)f->snapshots);
}

static void tick(void *ud)
{
    struct fleet *f = ud;
    int64_t now = ck_now();
    for (int i = 0; i < f->n; i++) {
        struct node *node = &f->nodes[i];
        if (node->has_lease && now >= node->lease_until) {
            node->has_lease = false;
            f->lost_leases++;
        }
        if (now < node->next_renew)
            continue;
        if (!node->net)
            node->net = nt_connect(f->loop, f->ip, f->ports[node->voter], true, &ops, node);
        else if (node->open)
            renew(node, now);
        if (!node->open)
            node->next_renew = now + CK_MS(500);
    }
    if (!f->measured_from && now >= f->end - (int64_t)(f->seconds * 1e6) + STARTUP_US) {
        f->measured_from = now;
        f->start_counters = *nt_stats(f->loop);
    }
    if (now >= f->end) {
        report(f);
        nt_stop(f->loop);
        return;
    }
    nt_timer_set(f->loop, &f->tick, TICK_US, tick, f);
}

static error_t parse_option(int key, char *arg, struct argp_state *st)
{
    struct fleet *f = st->input;
    switch (key) {
    case 'n':
        f->n = atoi(arg);
        break;
    case 't':
        f->seconds = atof(arg);
        break;
    case 'h':
        f->held_per_node = atoi(arg);
        break;
    case 'c':
        sr_copy(f->cluster, sizeof(f->cluster), sr_from(arg));
        break;
    case ARGP_KEY_ARG:
        if (f->n_voters < MAX_VOTERS)
            f->ports[f->n_voters++] = atoi(arg);
        break;
    case ARGP_KEY_END:
        if (!f->n_voters || f->n < 1 || f->n > MAX_NODES || f->held_per_node < 1 ||
            f->held_per_node > MAX_HELD || f->seconds < 6)
            argp_error(st,
                       "expected ports of control nodes, 1..%d nodes, 1..%d instances held per "
                       "node, 6 s or more",
                       MAX_NODES, MAX_HELD);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"nodes", 'n', "N", 0, "number of entry nodes (100)", 0},
        {"seconds", 't', "N", 0, "duration (10)", 0},
        {"hold", 'h', "N", 0, "instances that each node holds connections to (64)", 0},
        {"cluster", 'c', "NAME", 0, "cluster", 0},
        {0}};
    static struct fleet f = {
        .n = 100, .held_per_node = MAX_HELD, .seconds = 10, .ip = "127.0.0.1"};
    struct argp argp = {
        options, parse_option, "PORT...", "Simulates entry nodes towards control nodes.",
        NULL,    NULL,         NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &f);
    struct er_err err = {0};
    f.loop = nt_loop_create(4096, &err);
    if (!f.loop || sodium_init() < 0) {
        fprintf(stderr, "ferry-fleet: %s\n", err.text);
        return 1;
    }
    for (int i = 0; i < f.n; i++) {
        f.nodes[i] = (struct node){.f = &f, .id = ((uint64_t)randombytes_random() << 32) | 1u};
        f.nodes[i].id += (uint64_t)i << 1;
        f.nodes[i].voter = i % f.n_voters;
        f.nodes[i].next_renew = ck_now() + (int64_t)randombytes_uniform(300000);
    }
    f.end = ck_now() + (int64_t)(f.seconds * 1e6);
    tick(&f);
    nt_run(f.loop);
    return 0;
}
