/* Decoders of untrusted bytes: tables of right and wrong input, and bounded fuzzing. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller/caller.h"
#include "endpoint/endpoint.h"
#include "misc/rng.h"
#include "settings/settings.h"
#include "tests/unit/unit.h"
#include "view/view.h"
#include "wire/precheck.h"
#include "wire/wire.h"

enum { FUZZ_ROUNDS = 20000 };

/* Flip, cut, repeat or insert: 1 to 4 damages. */
static size_t damage(struct rn_rng *r, char *p, size_t n, size_t cap)
{
    for (uint64_t k = rn_below(r, 4) + 1; k > 0 && n > 0; k--) {
        size_t at = rn_below(r, n);
        switch (rn_below(r, 4)) {
        case 0:
            p[at] = (char)rn_next(r);
            break;
        case 1:
            n = at;
            break;
        case 2:
            if (n + 8 < cap) {
                memmove(p + at + 8, p + at, n - at);
                n += 8;
            }
            break;
        default:
            p[at] ^= (char)(1u << rn_below(r, 8));
        }
    }
    return n;
}

/* ---- wire ---- */

enum { MAX_SAMPLES = 24 };

static int samples(struct wr_msg *m)
{
    static struct wr_share shares[2];
    static struct wr_probe probe;
    static struct qr_members members;
    static struct qr_entry e[2];
    shares[0] = (struct wr_share){SR_LIT("i1"), 3, 9};
    shares[1] = (struct wr_share){SR_LIT("i2"), 0, 1};
    probe = (struct wr_probe){SR_LIT("i1"), WR_SILENT, true, 3, 2, 99, 3};
    members = (struct qr_members){1, {{7, true, "c0", "127.0.0.1", 9, "d"}}};
    e[0] = (struct qr_entry){5, 2, QR_DATA, 3, "abc"};
    e[1] = (struct qr_entry){6, 2, QR_MEMBERS, sizeof(members), (char *)&members};
    int n = 0;
    m[n++] =
        (struct wr_msg){.type = WR_HELLO,
                        .hello = {1, SR_LIT("cl"), SR_LIT("e0"), SR_LIT("d"),
                                  SR_LIT("127.0.0.1"), 7000, WR_ROLE_ENTRY, 42, 0, 89, 9100}};
    m[n++] = (struct wr_msg){.type = WR_QUORUM,
                             .quorum = {.type = QR_APPEND,
                                        .from = 1,
                                        .to = 2,
                                        .term = 3,
                                        .index = 4,
                                        .log_term = 2,
                                        .commit = 4,
                                        .round = 9,
                                        .n = 2,
                                        .entries = e}};
    m[n++] = (struct wr_msg){.type = WR_QUORUM,
                             .quorum = {.type = QR_SNAP,
                                        .from = 1,
                                        .to = 2,
                                        .term = 3,
                                        .members = &members,
                                        .data = "state",
                                        .len = 5}};
    m[n++] = (struct wr_msg){.type = WR_RENEW, .renew = {1, 2, 3, false, 2, shares, 4}};
    m[n++] = (struct wr_msg){.type = WR_GRANT, .grant = {1, 2, 2000, 7}};
    m[n++] = (struct wr_msg){.type = WR_NOT_LEADER, .leader = SR_LIT("c1")};
    m[n++] = (struct wr_msg){.type = WR_VIEW, .view = {3, 7, SR_LIT("[]")}};
    static char routes[40000];
    memset(routes, 0, sizeof(routes));
    for (size_t len = 0; len < sizeof(routes) / 2; len = strlen(routes))
        snprintf(routes + len, sizeof(routes) - len, "{\"route\":\"r%zu\"},", len);
    m[n++] = (struct wr_msg){.type = WR_VIEW, .view = {0, 9, sr_from(routes)}};
    m[n++] = (struct wr_msg){.type = WR_ACK, .ack = 7};
    m[n++] = (struct wr_msg){.type = WR_SHARES, .shares = {2, shares, 5}};
    m[n++] = (struct wr_msg){.type = WR_CHECK, .check = {9, SR_LIT("i1"), WR_UNKNOWN}};
    static struct wr_node node = {SR_LIT("e0"), SR_LIT("d"), SR_LIT("127.0.0.1"), 7000, 1066};
    m[n++] = (struct wr_msg){.type = WR_NODES, .nodes = {1, &node}};
    static struct sr_str gone[] = {SR_LIT("e1"), SR_LIT("e2")};
    m[n++] = (struct wr_msg){.type = WR_NODES, .nodes = {1, &node, 7, 8, 2, gone}};
    static struct wr_node many[WR_DEFLATE_ABOVE_NODES + 1];
    for (int i = 0; i <= WR_DEFLATE_ABOVE_NODES; i++)
        many[i] = node;
    m[n++] =
        (struct wr_msg){.type = WR_NODES, .nodes = {WR_DEFLATE_ABOVE_NODES + 1, many, 0, 9}};
    m[n++] = (struct wr_msg){.type = WR_RENEW,
                             .renew = {1, 2, 3, false, 2, shares, 4, .nodes_hash = 9}};
    m[n++] = (struct wr_msg){.type = WR_PROBES, .probes = {1, &probe}};
    return n;
}

static void wire_round_trip(void)
{
    struct wr_msg m[MAX_SAMPLES], back;
    struct wr_decoder d = {0};
    int n = samples(m);
    for (int i = 0; i < n; i++) {
        struct sr_buf a = {0}, b = {0};
        struct er_err err = {0};
        wr_encode(&a, &m[i]);
        CU_ASSERT_TRUE(wr_decode(&d, a.p, a.len, &back, &err));
        wr_encode(&b, &back);
        CU_ASSERT(a.len == b.len && memcmp(a.p, b.p, a.len) == 0);
        sr_buf_free(&a);
        sr_buf_free(&b);
    }
    wr_decoder_free(&d);
}

/* A long view is sent deflated; what claims to be longer than it is, or is no such text, is
 * refused. */
static void long_views_are_packed(void)
{
    char text[100000];
    struct wr_msg m = {.type = WR_VIEW, .view = {0, 9, {text, sizeof(text)}}}, back;
    struct sr_buf b = {0};
    struct wr_decoder d = {0};
    for (size_t i = 0; i < sizeof(text); i++)
        text[i] = "{\"kind\":\"primary\"},"[i % 19];
    wr_encode(&b, &m);
    CU_ASSERT_TRUE(b.len < sizeof(text) / 10);
    CU_ASSERT_TRUE(wr_decode(&d, b.p, b.len, &back, NULL));
    CU_ASSERT_EQUAL(back.view.text.len, sizeof(text));
    CU_ASSERT_EQUAL(memcmp(back.view.text.p, text, sizeof(text)), 0);
    b.p[b.len - 1] ^= 1; /* its length */
    CU_ASSERT_TRUE(!wr_decode(&d, b.p, b.len, &back, NULL) ||
                   back.view.text.len == sizeof(text));
    b.p[b.len - 1] ^= 1;
    b.p[b.len / 2] ^= 0x55;
    CU_ASSERT_FALSE(wr_decode(&d, b.p, b.len, &back, NULL));
    sr_buf_free(&b);
    wr_decoder_free(&d);
}

/* A later version's extra element is ignored; a missing one reads as zero. */
static void wire_other_versions(void)
{
    struct wr_decoder d = {0};
    struct wr_msg m;
    CU_ASSERT_TRUE(wr_decode(&d, "\x96\x04\x01\x02\x03\x04\x05", 7, &m, NULL));
    CU_ASSERT(m.type == WR_GRANT && m.grant.seq == 1 && m.grant.generation == 4);
    CU_ASSERT_TRUE(wr_decode(&d, "\x92\x07\x07", 3, &m, NULL));
    CU_ASSERT(m.type == WR_ACK && m.ack == 7);
    CU_ASSERT_TRUE(wr_decode(&d, "\x91\x07", 2, &m, NULL));
    CU_ASSERT_EQUAL(m.ack, 0);
    CU_ASSERT_FALSE(wr_decode(&d, "\x92\x07\xc3", 3, &m, NULL)); /* wrong type */
    CU_ASSERT_FALSE(wr_decode(&d, "\x91\x63", 2, &m, NULL));     /* unknown message */
    CU_ASSERT_FALSE(wr_decode(&d, "", 0, &m, NULL));
    wr_decoder_free(&d);
}

/* Lists and texts that claim more than the message holds, and lists without end. */
static void wire_claims_are_checked_first(void)
{
    static const struct {
        const char *what;
        struct sr_str bytes;
        bool holds;
    } rows[] = {
        {"a list of 2^32 - 1", SR_LIT("\xdd\xff\xff\xff\xff"), false},
        {"one within a list", SR_LIT("\x92\x07\xdd\xff\xff\xff\xff"), false},
        {"a map of 2^31", SR_LIT("\xdf\x80\x00\x00\x00\x01\x01"), false},
        {"a list of more than is left", SR_LIT("\x93\x01\x02"), false},
        {"a text of 2^32 - 1",
         SR_LIT("\xdb\xff\xff\xff\xff"
                "a"),
         false},
        {"a number cut short", SR_LIT("\xcf\x01"), false},
        {"nothing", SR_LIT(""), false},
        {"a list that is whole", SR_LIT("\xdd\x00\x00\x00\x02\x01\xa1x"), true},
        {"an empty list in a map", SR_LIT("\x81\x01\x90"), true},
        {"numbers of all sizes",
         SR_LIT("\x93\xd1\x01\x02\xcb"
                "12345678"
                "\xd8"
                "1234567890123456x"),
         true},
    };
    char deep[WP_MAX_DEPTH + 2];
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
        CU_ASSERT_EQUAL(wp_lengths_valid(rows[i].bytes.p, rows[i].bytes.len), rows[i].holds);
    memset(deep, '\x91', sizeof(deep));
    deep[sizeof(deep) - 1] = 1;
    CU_ASSERT_FALSE(wp_lengths_valid(deep, sizeof(deep)));
    CU_ASSERT_TRUE(wp_lengths_valid(deep + 1, sizeof(deep) - 1));
    struct wr_decoder d = {0};
    struct wr_msg m;
    struct er_err err = {0};
    CU_ASSERT_FALSE(wr_decode(&d, rows[1].bytes.p, rows[1].bytes.len, &m, &err));
    CU_ASSERT_PTR_NOT_NULL(strstr(err.text, "announces more"));
    wr_decoder_free(&d);
}

static void wire_fuzz(void)
{
    struct wr_msg m[MAX_SAMPLES], back;
    struct wr_decoder d = {0};
    struct rn_rng r = rn_seed(77);
    int n = samples(m), good = 0;
    for (int i = 0; i < FUZZ_ROUNDS; i++) {
        struct sr_buf a = {0};
        char bad[4096];
        wr_encode(&a, &m[i % n]);
        memcpy(bad, a.p, a.len);
        size_t len = damage(&r, bad, a.len, sizeof(bad));
        good += wr_decode(&d, bad, len, &back, NULL);
        sr_buf_free(&a);
    }
    CU_ASSERT(good > 0 && good < FUZZ_ROUNDS);
    wr_decoder_free(&d);
}

void wire_suite(void)
{
    CU_pSuite s = CU_add_suite("wire", NULL, NULL);
    TEST(s, wire_round_trip);
    TEST(s, long_views_are_packed);
    TEST(s, wire_other_versions);
    TEST(s, wire_claims_are_checked_first);
    TEST(s, wire_fuzz);
}

/* ---- callers ---- */

static const char good_request[] =
    "{\"id\":\"a1\",\"account\":\"acme\",\"db\":\"dispatch1\",\"kind\":\"read\","
    "\"stmt\":\"get k\",\"token\":\"t\",\"age_ms\":500,\"deadline_ms\":100,\"later\":1}";

static void caller_good_and_bad(void)
{
    static const struct {
        const char *text;
        enum er_kind kind;
    } rows[] = {
        {good_request, ER_NONE},
        {"", ER_BAD_INPUT},
        {"nonsense", ER_BAD_INPUT},
        {"[1]", ER_BAD_INPUT},
        {"{}", ER_BAD_INPUT},
        {"{\"id\":\"\",\"account\":\"a\",\"db\":\"d\",\"kind\":\"begin\"}", ER_BAD_INPUT},
        {"{\"id\":\"a\",\"account\":\"a\",\"db\":\"d\",\"kind\":\"begin\"}", ER_NONE},
        {"{\"id\":\"a\",\"account\":\"a\",\"db\":\"d\",\"kind\":\"commit\"}", ER_BAD_INPUT},
        {"{\"id\":\"a\",\"account\":\"a\",\"db\":\"d\",\"kind\":\"write\"}", ER_BAD_INPUT},
        {"{\"id\":\"a\",\"account\":\"a\",\"db\":\"d\",\"kind\":\"fly\"}", ER_BAD_INPUT},
        {"{\"id\":7,\"account\":\"a\",\"db\":\"d\",\"kind\":\"begin\"}", ER_BAD_INPUT},
        {"{\"id\":\"a\",\"id\":\"b\",\"account\":\"a\",\"db\":\"d\",\"kind\":\"begin\"}",
         ER_BAD_INPUT},
        {"{\"id\":\"a\",\"account\":\"a\",\"db\":\"d\",\"kind\":\"begin\",\"age_ms\":-2}",
         ER_BAD_INPUT},
        {"{\"id\":\"a\",\"account\":\"a\",\"db\":\"d\",\"kind\":\"begin\","
         "\"deadline_ms\":99999999}",
         ER_BAD_INPUT},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        struct cl_request r;
        struct er_err err = {0};
        cl_parse(rows[i].text, strlen(rows[i].text), &r, &err);
        CU_ASSERT_EQUAL(err.kind, rows[i].kind);
        cl_request_free(&r);
    }
}

static void caller_too_long_fields(void)
{
    char text[600], id[200];
    struct cl_request r;
    struct er_err err = {0};
    memset(id, 'x', sizeof(id));
    id[199] = 0;
    snprintf(text, sizeof(text),
             "{\"id\":\"%s\",\"account\":\"a\",\"db\":\"d\",\"kind\":\"begin\"}", id);
    CU_ASSERT_FALSE(cl_parse(text, strlen(text), &r, &err));
    CU_ASSERT_EQUAL(err.kind, ER_TOO_LARGE);
    cl_request_free(&r);
}

static void caller_answers_are_json(void)
{
    for (int k = 0; k < ER_COUNT; k++) {
        struct sr_buf b = {0};
        struct cl_answer a = {.kind = k,
                              .value = SR_LIT("a\"\\\n\x01"),
                              .token = "t",
                              .detail = "why \"not\"",
                              .durable = true};
        cl_write_answer(&b, "id\"", &a);
        json_t *j = json_loadb(b.p, b.len, 0, NULL);
        CU_ASSERT_PTR_NOT_NULL_FATAL(j);
        CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(j, "id")), "id\"");
        if (er_answer(k) == ER_ANS_NOT_RUN)
            CU_ASSERT(json_integer_value(json_object_get(j, "retry_after_ms")) > 0);
        json_decref(j);
        sr_buf_free(&b);
    }
}

/* The tag of a forwarded request's answer is found where it was put, and nowhere else. */
static void tags_are_told_apart(void)
{
    static const struct {
        const char *text;
        uint64_t tag;
        const char *rest;
    } rows[] = {{"{\"id\":\"a\",\"tag\":17}", 17, "{\"id\":\"a\""},
                {"{\"id\":\"a\"}", 0, NULL},
                {"{\"id\":\"a\",\"value\":\",\\\"tag\\\":5\"}", 0, NULL},
                {"{\"id\":\"a\",\"retry_after_ms\":17}", 0, NULL},
                {"{\"tag\":}", 0, NULL},
                {"", 0, NULL},
                {"}", 0, NULL},
                {"17}", 0, NULL}};
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        size_t len = strlen(rows[i].text);
        CU_ASSERT_EQUAL(cl_strip_tag(rows[i].text, &len), rows[i].tag);
        CU_ASSERT_EQUAL(len, strlen(rows[i].rest ? rows[i].rest : rows[i].text));
    }
    struct cl_answer a = {.value = SR_LIT("x=1"), .durable = true, .tag = UINT64_MAX / 2};
    struct sr_buf b = {0};
    cl_write_answer(&b, "id", &a);
    CU_ASSERT_EQUAL(cl_strip_tag(b.p, &b.len), UINT64_MAX / 2);
    sr_buf_free(&b);
}

static void caller_fuzz(void)
{
    struct rn_rng r = rn_seed(3);
    for (int i = 0; i < FUZZ_ROUNDS; i++) {
        char bad[1024];
        struct cl_request q;
        struct er_err err = {0};
        memcpy(bad, good_request, sizeof(good_request));
        size_t n = damage(&r, bad, sizeof(good_request) - 1, sizeof(bad));
        bool ok = cl_parse(bad, n, &q, &err);
        CU_ASSERT(ok == (err.kind == ER_NONE));
        cl_request_free(&q);
    }
}

static void endpoint_fuzz(void)
{
    static const char good[] = "{\"id\":3,\"result\":\"ok\",\"value\":\"k=1\",\"pos\":[1,2],"
                               "\"held\":[1,2],\"applied\":[1,2],\"term\":1}";
    struct rn_rng r = rn_seed(4);
    for (int i = 0; i < FUZZ_ROUNDS; i++) {
        char bad[512];
        struct ep_reply rep;
        struct er_err err = {0};
        void *keep = NULL;
        memcpy(bad, good, sizeof(good));
        size_t n = damage(&r, bad, sizeof(good) - 1, sizeof(bad));
        ep_reply_parse(bad, n, &rep, &keep, &err);
        json_decref(keep);
    }
    CU_PASS("no crash");
}

void caller_suite(void)
{
    CU_pSuite s = CU_add_suite("caller", NULL, NULL);
    TEST(s, caller_good_and_bad);
    TEST(s, caller_too_long_fields);
    TEST(s, caller_answers_are_json);
    TEST(s, tags_are_told_apart);
    TEST(s, caller_fuzz);
    TEST(s, endpoint_fuzz);
}

/* ---- settings ---- */

#define BASE                                                                                   \
    "\"cluster\":\"c\",\"secret\":\"s\",\"roles\":[\"entry\"],\"node\":{\"name\":\"n\","       \
    "\"domain\":\"d\"}"
#define VOTERS "\"voters\":[{\"name\":\"c0\",\"ip\":\"127.0.0.1\",\"port\":1}]"

static void settings_good_and_bad(void)
{
    static const struct {
        const char *text, *says; /* NULL: good */
    } rows[] = {
        {"{" BASE ",\"control\":{" VOTERS "}}", NULL},
        {"{", "x:1"},
        {"[]", "an object"},
        {"{" BASE "}", "control.voters"},
        {"{" BASE ",\"control\":{" VOTERS "},\"colour\":1}", "colour"},
        {"{" BASE ",\"control\":{" VOTERS ",\"leese_ms\":1}}", "control.leese_ms"},
        {"{" BASE ",\"control\":{" VOTERS ",\"lease_ms\":\"2\"}}", "control.lease_ms"},
        {"{" BASE ",\"control\":{" VOTERS ",\"lease_ms\":99999999}}", "200..60000"},
        {"{" BASE ",\"control\":{" VOTERS ",\"lease_ms\":500}}", "4 times"},
        {"{" BASE ",\"entry\":{\"ip\":\"example.org\"},\"control\":{" VOTERS "}}", "IP number"},
        {"{\"cluster\":\"c\",\"roles\":[\"cook\"],\"node\":{\"name\":\"n\",\"domain\":\"d\"}}",
         "cook"},
        {"{\"cluster\":\"c\",\"secret\":\"s\",\"roles\":[\"control\"],\"node\":{\"name\":\"n\","
         "\"domain\":\"d\"},\"control\":{" VOTERS "}}",
         "control.data"},
        {"{\"secret\":\"s\"}", "cluster"},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        struct st_settings s;
        struct er_err err = {0};
        bool ok = st_parse(rows[i].text, strlen(rows[i].text), "x", &s, &err);
        CU_ASSERT_EQUAL(ok, rows[i].says == NULL);
        if (rows[i].says)
            CU_ASSERT_PTR_NOT_NULL(strstr(err.text, rows[i].says));
        if (ok)
            st_free(&s);
    }
}

/* What --print-config prints, secrets aside, is accepted again and means the same. */
static void settings_print_and_reread(void)
{
    static const char text[] = "{" BASE ",\"control\":{" VOTERS "}}";
    struct st_settings s, t;
    struct er_err err = {0};
    CU_ASSERT_TRUE(st_parse(text, sizeof(text) - 1, "x", &s, &err));
    json_t *a = st_json(&s);
    char *again = json_dumps(a, 0);
    CU_ASSERT_PTR_NULL(strstr(again, "\"s\""));
    CU_ASSERT_TRUE(st_parse(again, strlen(again), "x", &t, &err));
    json_t *b = st_json(&t);
    CU_ASSERT_TRUE(json_equal(a, b));
    json_decref(a);
    json_decref(b);
    free(again);
    st_free(&s);
    st_free(&t);
}

static void settings_fuzz(void)
{
    static const char text[] = "{" BASE ",\"control\":{" VOTERS ",\"lease_ms\":3000}}";
    struct rn_rng r = rn_seed(8);
    for (int i = 0; i < FUZZ_ROUNDS / 4; i++) {
        char bad[1024];
        struct st_settings s;
        struct er_err err = {0};
        memcpy(bad, text, sizeof(text));
        size_t n = damage(&r, bad, sizeof(text) - 1, sizeof(bad));
        if (st_parse(bad, n, "x", &s, &err))
            st_free(&s);
        else
            CU_ASSERT_EQUAL(err.kind, ER_CONFIG);
    }
}

/* What a node is sent as a view or a change: damaged text is refused or still makes sense. */
static void view_fuzz(void)
{
    static const char text[] =
        "{\"generation\":7,\"groups\":[{\"name\":\"g\",\"phase\":\"serving\",\"term\":3,"
        "\"primary\":1,\"instances\":[{\"id\":\"a\",\"ip\":\"1.1.1.1\",\"port\":1},"
        "{\"id\":\"b\",\"ip\":\"1.1.1.1\",\"port\":2}],\"starts\":[[3,9]]}],"
        "\"intents\":[]}";
    struct rn_rng r = rn_seed(9);
    int good = 0;
    for (int i = 0; i < FUZZ_ROUNDS / 4; i++) {
        char bad[1024];
        struct vw_view v = {0};
        memcpy(bad, text, sizeof(text));
        json_t *j = json_loadb(bad, damage(&r, bad, sizeof(text) - 1, sizeof(bad)), 0, NULL);
        bool ok = j && vw_view_parse(j, &v, NULL);
        for (int g = 0; ok && g < v.n; g++)
            CU_ASSERT(v.groups[g].primary < v.groups[g].n);
        good += ok;
        vw_free(&v);
        json_decref(j);
    }
    CU_ASSERT(good > 0);
}

void settings_suite(void)
{
    CU_pSuite s = CU_add_suite("settings", NULL, NULL);
    TEST(s, settings_good_and_bad);
    TEST(s, settings_print_and_reread);
    TEST(s, settings_fuzz);
    TEST(s, view_fuzz);
}
