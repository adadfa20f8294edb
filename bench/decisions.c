/* Runs one decision repeatedly. Run under callgrind with two repeat counts: the difference,
 * divided by the difference of the counts, is the cost of one decision without its setup. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "account/account.h"
#include "admit/admit.h"
#include "bench/bench.h"
#include "caller/caller.h"
#include "lease/lease.h"
#include "limit/limit.h"
#include "misc/clock.h"
#include "pool/shares.h"
#include "promote/promote.h"
#include "quorum/quorum.h"
#include "route/holders.h"
#include "route/route.h"
#include "session/token.h"
#include "wire/wire.h"

/* Takes the results, so that the compiler cannot remove the decisions. */
static volatile uint64_t result_sink;

static void route_read(int n)
{
    static struct rt_group g;
    g.n = 3;
    g.n_starts = 1;
    g.starts[0] = (struct ps_start){1, 0};
    for (int i = 0; i < 3; i++)
        g.inst[i] = (struct rt_inst){.usable = true, .limit = 4, .applied = {1, 1000}};
    for (int i = 0; i < RT_MAX_SAMPLES; i++)
        rt_record_primary_pos(&g, CK_MS(25) * i, (struct ps_pos){1, (uint64_t)i});
    for (int i = 0; i < n; i++) {
        struct rt_query q = {true, {1, 900}, CK_MS(500), CK_MS(10)};
        result_sink += (uint64_t)rt_choose_for_read(&g, &q, 0, CK_MS(25) * RT_MAX_SAMPLES).inst;
    }
}

static void make_and_read_token(int n)
{
    struct ss_key k;
    char text[SS_TOKEN_TEXT_BYTES];
    struct ps_pos p;
    ss_key_from(&k, SR_LIT("secret"));
    for (int i = 0; i < n; i++) {
        ss_token_make(&k, SR_LIT("dispatch1"), (struct ps_pos){1, (uint64_t)i}, text);
        result_sink += ss_token_read(&k, SR_LIT("dispatch1"), sr_from(text), &p);
    }
}

static void admit_request(int n)
{
    static struct ad_queue q;
    static struct ad_item it;
    struct ad_config cfg = {.max_queue = 100, .target_us = 5000};
    ad_init(&q, &cfg, 1);
    ad_set_max(&q, 4);
    for (int i = 0; i < n; i++) {
        int64_t retry, now = (int64_t)i * 1000;
        it = (struct ad_item){.cls = AD_SESSION, .account = 5, .deadline = now + CK_SEC(1)};
        ad_offer(&q, &it, now, &retry);
        result_sink += ad_next(&q, now) != NULL;
        ad_done(&q, 900, now + 900);
    }
}

static void lease_of_460(int n)
{
    static struct ls_grantor g;
    ls_grantor_begin(&g, CK_SEC(2), 0, true);
    for (int i = 0; i < 460; i++)
        ls_grant(&g, (uint64_t)i + 1, INT64_MAX, 0);
    for (int i = 0; i < n; i++)
        result_sink += (uint64_t)ls_grant(&g, (uint64_t)(i % 460) + 1, INT64_MAX, i);
}

static void share_of_12(int n)
{
    static struct sh_table t;
    sh_begin(&t, 0);
    sh_set_instance(&t, "i", 25, 4);
    for (int i = 0; i < n; i++) {
        uint64_t node = (uint64_t)(i % 12) + 1;
        sh_report(&t, "i", node, 1, i % 5, UINT64_MAX - 1, CK_SEC(100), 0);
        result_sink += sh_balance(&t, "i", 0);
        result_sink += (uint64_t)sh_target_to_send(&t, "i", node, 1);
    }
}

/* A lease renewal that reports the share of one of 2,820 instances, each held by 8 nodes. */
static void share_at_target(int n)
{
    enum { INSTANCES = 2820, HOLDERS = 8 };
    static struct sh_table t;
    char id[16];
    sh_begin(&t, 0);
    for (int i = 0; i < INSTANCES; i++) {
        snprintf(id, sizeof(id), "db%d", i);
        sh_set_instance(&t, id, 25, 4);
        for (uint64_t k = 1; k <= HOLDERS; k++)
            sh_report(&t, id, k, 1, 1, UINT64_MAX - 1, CK_SEC(100), 0);
        sh_balance(&t, id, 0);
    }
    for (int i = 0; i < n; i++) {
        uint64_t node = (uint64_t)(i % HOLDERS) + 1;
        snprintf(id, sizeof(id), "db%d", i * 7 % INSTANCES);
        result_sink += sh_report(&t, id, node, 1, 1, UINT64_MAX - 1, CK_SEC(100), 0);
        result_sink += sh_has_unsent_target(&t, id, node);
    }
}

/* Picks eight holders of a group among 460 nodes in five failure domains. */
static void holders_of_460(int n)
{
    enum { NODES = 460, DOMAINS = 5, HOLDERS = 8 };
    static struct ho_node nodes[NODES];
    int out[HO_MAX_HOLDERS];
    char group[16];
    for (int i = 0; i < NODES; i++) {
        snprintf(nodes[i].name, sizeof(nodes[i].name), "e%d", i);
        snprintf(nodes[i].domain, sizeof(nodes[i].domain), "d%d", i % DOMAINS);
    }
    ho_prepare(nodes, NODES);
    for (int i = 0; i < n; i++) {
        snprintf(group, sizeof(group), "db%d", i % 940);
        result_sink += (uint64_t)ho_pick(nodes, NODES, group, HOLDERS, out) + (uint64_t)out[0];
    }
}

static void promote_tick(int n)
{
    static struct pr_group p;
    static struct vw_group g;
    static struct pr_actions a;
    struct pr_config cfg = {.silence_us = CK_MS(300), .resend_us = CK_MS(100)};
    g.n = 3;
    g.copies = 2;
    for (int i = 0; i < 3; i++)
        g.inst[i].id[0] = (char)('a' + i);
    pr_begin(&p, &cfg, 0);
    for (int i = 0; i < n; i++) {
        int64_t now = CK_MS(5) * i;
        pr_probed(&p, "a", 1, "d1", PR_UP, now);
        pr_set_status(&p, "a", true, 0, 0, (struct ps_pos){0, 0}, now);
        pr_tick(&p, &g, true, now, &a);
        result_sink += (uint64_t)a.n;
    }
}

static void parse_request(int n)
{
    static const char text[] =
        "{\"id\":\"r1.22\",\"account\":\"acme\",\"db\":\"dispatch1\",\"kind\":\"read\","
        "\"stmt\":"
        "\"get k\",\"token\":\"AcCGKMVRSvCsAQAAAAAAAAABAAAAAAAAAMZH65xeohgWQL_GtuEiA7E\","
        "\"age_ms\":500,\"deadline_ms\":1000}";
    for (int i = 0; i < n; i++) {
        struct cl_request r;
        result_sink += cl_parse(text, sizeof(text) - 1, &r, NULL);
        cl_request_free(&r);
    }
}

static void write_answer(int n)
{
    struct sr_buf b = {0};
    struct cl_answer a = {
        .value = SR_LIT("k=1"), .token = "token", .served_by = "i", .durable = true};
    for (int i = 0; i < n; i++) {
        b.len = 0;
        cl_write_answer(&b, "r1.22", &a);
        result_sink += b.len;
    }
    sr_buf_free(&b);
}

/* Encodes and decodes a lease renewal with the shares of nine instances. */
static void wire_renew(int n)
{
    struct wr_share s[9];
    struct wr_decoder d = {0};
    struct sr_buf b = {0};
    for (int i = 0; i < 9; i++)
        s[i] = (struct wr_share){SR_LIT("dispatch1-burnaby-a"), 2, 3};
    for (int i = 0; i < n; i++) {
        struct wr_msg m = {.type = WR_RENEW, .renew = {1, 2, 3, false, 9, s, 4}}, back;
        b.len = 0;
        wr_encode(&b, &m);
        result_sink += wr_decode(&d, b.p, b.len, &back, NULL);
    }
    sr_buf_free(&b);
    wr_decoder_free(&d);
}

static void stub_send(void *ud, const struct qr_msg *m)
{
    (void)ud;
    result_sink += m->round;
}

static void stub_persist(void *ud, const struct qr_persist *p)
{
    *(uint64_t *)ud = p->seq;
}

static void stub_apply(void *ud, const struct qr_entry *e)
{
    (void)ud;
    result_sink += e->index;
}

static void stub_restore(void *ud, uint64_t i, const char *d, uint32_t n)
{
    (void)ud;
    (void)d;
    result_sink += i + n;
}

static void stub_role(void *ud)
{
    (void)ud;
}

/* A follower appends one entry: it receives the message, persists the entry, replies and
 * applies the entry. */
static void quorum_append(int n)
{
    static const struct qr_sink sink = {stub_send, stub_persist, stub_apply, stub_restore,
                                        stub_role};
    uint64_t seq = 0;
    struct qr_config cfg = {.self = 2,
                            .election_us = CK_MS(250),
                            .heartbeat_us = CK_MS(50),
                            .sink = &sink,
                            .ud = &seq};
    struct qr_restore r = {
        .members = {2, {{1, true, "", "", 0, ""}, {2, true, "", "", 0, ""}}}};
    struct qr *q = qr_create(&cfg, &r, 0);
    for (int i = 1; i <= n; i++) {
        struct qr_entry e = {(uint64_t)i, 1, QR_DATA, 150,
                             (char[150]){"{\"kind\":\"rule\",\"group\":\"dispatch1\"}"}};
        struct qr_msg m = {.type = QR_APPEND,
                           .from = 1,
                           .to = 2,
                           .term = 1,
                           .index = (uint64_t)i - 1,
                           .log_term = i > 1,
                           .commit = (uint64_t)i - 1,
                           .round = (uint64_t)i,
                           .n = 1,
                           .entries = &e};
        qr_receive(q, &m, i);
        qr_persisted(q, seq, i);
    }
    qr_destroy(q);
}

/* Looks up one key among 100,000 keys of 1,000 accounts. */
static void key_of_100000(int n)
{
    enum { ACCOUNTS = 1000, KEYS = 100000 };
    static struct ac_table t;
    char text[32];
    for (int i = 0; i < ACCOUNTS; i++) {
        snprintf(text, sizeof(text), "account%d", i);
        ac_add(&t, sr_from(text), NULL);
    }
    for (int i = 0; i < KEYS; i++) {
        snprintf(text, sizeof(text), "tapjsujqurtyii%06d", i);
        ac_add_key(&t, i % ACCOUNTS, sr_from(text), NULL);
    }
    for (int i = 0; i < n; i++)
        result_sink += ac_by_key(&t, sr_from(text)) != NULL;
}

/* The work of the leader for one operation of an account that 16 nodes serve. */
static void permit_of_16(int n)
{
    enum { NODES = 16 };
    static struct lm_allocator g;
    struct lm_tolerance t = {5, 0.1, 20};
    struct lm_report r = {.want = 1};
    struct lm_grant a;
    int64_t now = CK_SEC(10);
    lm_begin(&g, &t, true, now);
    lm_set(&g, "account", 1000, 1000, now);
    for (int i = 0; i < n; i++) {
        uint64_t node = (uint64_t)(i % NODES) + 1;
        now += 1000;
        lm_renewed(&g, node, true, now);
        lm_handle_report(&g, "account", node, &r, (uint64_t)i, (uint64_t)i + 1, now, &a);
        result_sink += (uint64_t)a.given;
    }
}

static const struct {
    const char *name;
    void (*fn)(int n);
} decisions[] = {{"route_read", route_read},         {"token", make_and_read_token},
                 {"admit", admit_request},           {"lease_of_460", lease_of_460},
                 {"share_of_12", share_of_12},       {"share_at_target", share_at_target},
                 {"holders_of_460", holders_of_460}, {"promote_tick", promote_tick},
                 {"parse_request", parse_request},   {"write_answer", write_answer},
                 {"wire_renew", wire_renew},         {"quorum_append", quorum_append},
                 {"key_of_100000", key_of_100000},   {"permit_of_16", permit_of_16}};

enum { N_DECISIONS = sizeof(decisions) / sizeof(decisions[0]) };

void bn_print_decision_names(void)
{
    for (int i = 0; i < N_DECISIONS; i++)
        printf("%s\n", decisions[i].name);
}

int bn_run_decision(const char *name, int n)
{
    for (int i = 0; i < N_DECISIONS; i++) {
        if (strcmp(decisions[i].name, name) != 0)
            continue;
        decisions[i].fn(n);
        return 0;
    }
    fprintf(stderr,
            "unknown decision %s: expected a name that \"ferry-bench decisions\" prints\n",
            name);
    return 64;
}
