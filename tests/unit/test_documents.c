/* Configuration documents that are taken in a part at a time. */
#include <stdio.h>
#include <stdlib.h>

#include "catalog/order.h"
#include "misc/clock.h"
#include "misc/json.h"
#include "misc/rng.h"
#include "platform/platform.h"
#include "proxy/proxy.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

enum {
    FEW = 3,
    MANY = 3000,
    A_TURN = 100,
    MOST_TICKS = 100, /* 0.5 s of ticks */
    MUTANTS = 20000,
};

static void put_document(struct sr_buf *out, int version, int routes, const char *last_service)
{
    out->len = 0;
    sr_buf_printf(out,
                  "{\"version\":%d,\"services\":[{\"name\":\"s\",\"maxConns\":9}],\"routes\":[",
                  version);
    for (int i = 0; i < routes; i++)
        sr_buf_printf(out,
                      "%s{\"name\":\"r%d\",\"host\":\"db%d\",\"kind\":\"own\",\"timeoutMs\":%d,"
                      "\"service\":\"%s\"}",
                      i ? "," : "", i, i * 7919 % routes, version,
                      i + 1 < routes ? "s" : last_service);
    sr_buf_printf(out, "],\"limits\":{\"txIdleMs\":3000}}");
}

/* ---- the reader ---- */

static json_t *by_jansson(struct sr_str t, size_t flags)
{
    return json_loadb(t.p, t.len, flags, NULL);
}

static bool is_valid(const char *t, size_t len)
{
    struct cg_catalog c;
    struct er_err err = {0};
    bool ok = cg_read(&pf_documents, (struct sr_str){t, len}, &c, &err);
    cg_free(&c);
    return ok;
}

/* A text that jansson refuses is refused; one that it accepts is valid if, and only if, what
 * jansson writes of it is. */
static void agrees(struct sr_str t)
{
    json_t *own = js_load(t), *theirs = by_jansson(t, 0);
    CU_ASSERT_TRUE(own ? json_equal(own, theirs) : !theirs);
    json_decref(own);
    json_decref(theirs);
    json_t *o = by_jansson(t, JSON_REJECT_DUPLICATES);
    char *again = o ? json_dumps(o, JSON_INDENT(1) | JSON_ENSURE_ASCII) : NULL;
    CU_ASSERT_EQUAL(is_valid(t.p, t.len), again && is_valid(again, strlen(again)));
    free(again);
    json_decref(o);
}

static void what_is_accepted_is_what_jansson_accepts(void)
{
    static const char bits[] = "\"\"\\\\/bu0019-.eE{}[],:: \n\t\r\x01\x7f\xc3\xa9tfnrA";
    static const char *const parts[] = {"\"version\":7",
                                        "\\u00e9",
                                        "\\ud800",
                                        "\xc3\xa9",
                                        "\"name\":\"r\",",
                                        "1e400",
                                        "null",
                                        "-0",
                                        "99999999999999999999",
                                        "{\"a\":1,\"a\":2}",
                                        "\\u0000"};
    struct rn_rng rng = rn_seed(7);
    struct sr_buf doc = {0}, t = {0};
    put_document(&doc, 7, FEW, "s");
    agrees((struct sr_str){doc.p, doc.len});
    for (int i = 0; i < MUTANTS; i++) {
        size_t at = rn_below(&rng, doc.len), cut = rn_below(&rng, 3);
        size_t behind = at + cut < doc.len ? at + cut : doc.len;
        bool one = rn_below(&rng, 2);
        t.len = 0;
        sr_buf_add(&t, doc.p, at);
        if (one)
            sr_buf_add(&t, &bits[rn_below(&rng, sizeof(bits) - 1)], 1);
        else
            sr_buf_printf(&t, "%s", parts[rn_below(&rng, sizeof(parts) / sizeof(parts[0]))]);
        sr_buf_add(&t, doc.p + behind, doc.len - behind);
        agrees((struct sr_str){t.p, t.len});
    }
    sr_buf_free(&doc);
    sr_buf_free(&t);
}

static bool below(const void *of, int a, int b)
{
    const int *v = of;
    return v[a] < v[b];
}

static void sorting_goes_on_in_parts(void)
{
    struct rn_rng rng = rn_seed(3);
    for (int n = 0; n < 70; n++) {
        int v[70], turns = 0, moves = 0;
        struct od_order o;
        for (int i = 0; i < n; i++)
            v[i] = (int)rn_below(&rng, 20);
        od_begin(&o, n);
        for (; !od_step(&o, below, v, &moves); turns++)
            moves = 5;
        CU_ASSERT_TRUE(turns <= n * 7 / 5 + 1);
        for (int i = 1; i < n; i++) {
            int a = o.from[i - 1], b = o.from[i];
            CU_ASSERT_TRUE(v[a] < v[b] || (a < b && v[a] == v[b]));
        }
        od_end(&o);
    }
}

/* No turn reads more than it may, and the parts are what is read at once. */
static void a_turn_is_bounded(void)
{
    struct cg_loader t;
    struct cg_catalog parts, whole;
    struct sr_buf doc = {0};
    put_document(&doc, 7, MANY, "s");
    struct sr_str text = {doc.p, doc.len};
    CU_ASSERT_TRUE_FATAL(cg_read(&pf_documents, text, &whole, NULL));
    cg_load_begin(&t, &pf_documents, text);
    enum cg_step step = CG_MORE;
    for (int turns = 0; step == CG_MORE && turns < MANY; turns++) {
        int read = t.cat.n_routes, placed = t.n_sorted;
        step = cg_load_step(&t, A_TURN, &parts, NULL);
        CU_ASSERT_TRUE(step == CG_DONE || t.cat.n_routes - read <= A_TURN);
        CU_ASSERT_TRUE(t.n_sorted - placed <= 16 * A_TURN);
    }
    CU_ASSERT_EQUAL_FATAL(step, CG_DONE);
    CU_ASSERT_EQUAL(parts.n_routes, MANY);
    for (int i = 0; i < MANY; i++)
        CU_ASSERT_STRING_EQUAL(parts.routes[i].database, whole.routes[i].database);
    cg_free(&parts);
    cg_free(&whole);
    sr_buf_free(&doc);
}

/* ---- a node ---- */

static void offer(struct px_proxy *p, int version, int routes, const char *last_service)
{
    struct sr_buf doc = {0};
    put_document(&doc, version, routes, last_service);
    struct vw_view view = {.generation = (uint64_t)version};
    view.doc = (struct vw_document){(uint64_t)version, doc.p, doc.len};
    px_set_view(p, &view);
    sr_buf_free(&doc); /* the view is replaced meanwhile */
}

static int in_force(const struct px_proxy *p)
{
    struct sr_buf b = {0};
    int version = 0;
    px_metrics(p, &b);
    sr_buf_add(&b, "", 1);
    sscanf(strstr(b.p, "ferry_session_document "), "ferry_session_document %d", &version);
    sr_buf_free(&b);
    return version;
}

static struct px_proxy *with_first_document(void)
{
    struct er_err err = {0};
    struct px_proxy *p = on_create(nt_loop_create(64, &err), "n", 0, 8, NULL);
    offer(p, 1, FEW, "s");
    CU_ASSERT_TRUE(in_force(p) == 1 && px_settled(p));
    return p;
}

/* Ticks until the version is in force, none below `before` seen until then. */
static int ticks_until(struct px_proxy *p, int version, int before)
{
    int n = 0;
    for (; n < MOST_TICKS && in_force(p) != version; n++) {
        CU_ASSERT_TRUE(in_force(p) >= before);
        CU_ASSERT_FALSE(px_settled(p));
        px_tick(p, ck_now());
    }
    return n;
}

/* Guards against a loop that stands still: a document of 3,000 routes was taken in at once. */
static void the_old_one_holds_until_the_new_one_is_whole(void)
{
    struct px_proxy *p = with_first_document();
    offer(p, 2, MANY, "s");
    CU_ASSERT_EQUAL(in_force(p), 1);
    int n = ticks_until(p, 2, 1);
    CU_ASSERT_TRUE(n > 10 && n < MOST_TICKS && px_settled(p));
}

static void the_newest_of_several_wins(void)
{
    struct px_proxy *p = with_first_document();
    offer(p, 2, MANY, "s");
    px_tick(p, ck_now());
    offer(p, 3, MANY, "s");
    offer(p, 4, FEW, "s");
    /* What was begun is finished: else nodes that are offered many would act on none. */
    CU_ASSERT_TRUE(ticks_until(p, 2, 1) < MOST_TICKS);
    CU_ASSERT_FALSE(px_settled(p));
    CU_ASSERT_TRUE(ticks_until(p, 4, 2) <= 1 && px_settled(p));
}

static void one_that_is_not_valid_changes_nothing(void)
{
    struct px_proxy *p = with_first_document();
    offer(p, 2, MANY, "nowhere");
    for (int i = 0; i < MOST_TICKS; i++)
        px_tick(p, ck_now());
    CU_ASSERT_TRUE(in_force(p) == 1 && px_settled(p));
    offer(p, 3, FEW, "s");
    CU_ASSERT_EQUAL(in_force(p), 3);
}

void documents_suite(void)
{
    CU_pSuite s = CU_add_suite("documents", NULL, NULL);
    TEST(s, what_is_accepted_is_what_jansson_accepts);
    TEST(s, sorting_goes_on_in_parts);
    TEST(s, a_turn_is_bounded);
    TEST(s, the_old_one_holds_until_the_new_one_is_whole);
    TEST(s, the_newest_of_several_wins);
    TEST(s, one_that_is_not_valid_changes_nothing);
}
