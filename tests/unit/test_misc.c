#include "misc/clock.h"
#include "misc/err.h"
#include "misc/hist.h"
#include "misc/index.h"
#include "misc/rng.h"
#include "misc/log.h"
#include "misc/pos.h"
#include "misc/str.h"
#include "session/token.h"
#include "tests/unit/unit.h"
#include "timeline/timeline.h"

static void errors_first_wins(void)
{
    struct er_err e = {0};
    CU_ASSERT_FALSE(er_set(&e, ER_DISK, "first %d", 1));
    er_set(&e, ER_IO, "second");
    CU_ASSERT_EQUAL(e.kind, ER_DISK);
    CU_ASSERT_STRING_EQUAL(e.text, "first 1");
}

/* Every kind has a name and an answer; what may have run is never called not_run. */
static void every_kind_has_an_answer(void)
{
    for (int k = 0; k < ER_COUNT; k++) {
        CU_ASSERT_PTR_NOT_NULL(er_name(k));
        CU_ASSERT(er_http(k) >= 200 && er_http(k) < 600);
    }
    CU_ASSERT_EQUAL(er_answer(ER_LOST), ER_ANS_UNKNOWN);
    CU_ASSERT_EQUAL(er_answer(ER_REPLACED), ER_ANS_UNKNOWN);
    CU_ASSERT_EQUAL(er_answer(ER_OVERLOAD), ER_ANS_NOT_RUN);
}

static void histogram_error_is_bounded(void)
{
    static const int64_t values[] = {1, 17, 100, 999, 12345, 1000000, 123456789};
    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
        static struct hi_hist h;
        memset(&h, 0, sizeof(h));
        hi_add(&h, values[i]);
        double got = (double)hi_quantile(&h, 0.5), want = (double)values[i];
        CU_ASSERT(got >= want && got <= want * 1.0625 + 1);
    }
}

static void hlc_orders_and_ignores_a_bad_clock(void)
{
    struct ck_hlc h = {0};
    ck_pause(CK_SEC(1000));
    uint64_t a = ck_hlc_now(&h), b = ck_hlc_now(&h);
    CU_ASSERT(b > a);
    uint64_t ahead = ((uint64_t)ck_wall_ms() + 5000) << 16;
    ck_hlc_seen(&h, ahead);
    CU_ASSERT(ck_hlc_now(&h) > ahead);
    ck_hlc_seen(&h, ((uint64_t)ck_wall_ms() + 3600000) << 16);
    CU_ASSERT(ck_hlc_ms(ck_hlc_now(&h)) < ck_wall_ms() + 60000);
    ck_resume();
}

/* An empty text may have no address: adding it changes nothing. The sanitizers of the debug
 * build stop here when the copy is given no address. */
static void an_empty_text_may_have_no_address(void)
{
    struct sr_buf b = {0};
    sr_buf_add(&b, NULL, 0);
    CU_ASSERT_EQUAL(b.len, 0);
    sr_buf_add(&b, "ab", 2);
    sr_buf_add(&b, NULL, 0);
    CU_ASSERT_EQUAL(b.len, 2);
    CU_ASSERT_STRING_EQUAL((const char *)b.p, "ab");
    sr_buf_free(&b);
}

static void time_line_is_bounded(void)
{
    static struct tl_ring r;
    for (int i = 0; i < TL_RING + 10; i++)
        tl_add(&r, TL_VIEW, "g", 1, "%d", i);
    json_t *j = tl_json(&r, "n");
    CU_ASSERT_EQUAL(json_array_size(json_object_get(j, "events")), TL_RING);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(j, "lost")), 10);
    json_decref(j);
}

static void log_levels(void)
{
    struct lg_log a = {"quorum"}, b = {"entry"};
    CU_ASSERT_TRUE(lg_setup("n", "warn,quorum=debug", false));
    CU_ASSERT_TRUE(lg_enabled(&a, LG_DEBUG));
    CU_ASSERT_FALSE(lg_enabled(&b, LG_INFO));
    CU_ASSERT_FALSE(lg_setup("n", "loud", false));
    lg_setup("n", "fatal", false);
}

/* Whether a replica at `applied` holds `floor`, over changes of term. */
static void positions_over_terms(void)
{
    static const struct ps_start starts[] = {{1, 0}, {3, 100}, {4, 150}};
    static const struct {
        struct ps_pos applied, floor;
        bool covers;
    } rows[] = {
        {{1, 50}, {1, 50}, true},    {{1, 49}, {1, 50}, false},  {{3, 101}, {1, 100}, true},
        {{3, 120}, {1, 101}, false}, /* lost with term 1's branch */
        {{1, 200}, {3, 101}, false}, /* still on the old branch */
        {{4, 160}, {1, 90}, true},   {{4, 160}, {3, 150}, true}, {{4, 160}, {3, 151}, false},
        {{0, 0}, {0, 0}, true},      {{1, 10}, {0, 0}, true},    {{5, 300}, {4, 160}, false},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
        CU_ASSERT_EQUAL(ps_covers(rows[i].applied, rows[i].floor, starts, 3), rows[i].covers);
}

/* Against a plain list, with names that come, go and come back. */
static void index_finds_what_was_set(void)
{
    enum { NAMES = 300, STEPS = 20000 };
    static int truth[NAMES];
    struct ix_index ix = {0};
    struct rn_rng rng = rn_seed(3);
    CU_ASSERT_EQUAL(ix_get(&ix, "none"), IX_NONE);
    for (int i = 0; i < NAMES; i++)
        truth[i] = IX_NONE;
    for (int step = 0; step < STEPS; step++) {
        char name[16];
        int k = (int)rn_below(&rng, NAMES);
        snprintf(name, sizeof(name), "db%d", k);
        if (rn_below(&rng, 3)) {
            truth[k] = step;
            ix_set(&ix, name, step);
        } else {
            truth[k] = IX_NONE;
            ix_drop(&ix, name);
        }
        k = (int)rn_below(&rng, NAMES);
        snprintf(name, sizeof(name), "db%d", k);
        if (ix_get(&ix, name) != truth[k]) {
            CU_FAIL("the index and the list differ");
            break;
        }
    }
    ix_free(&ix);
    CU_ASSERT_EQUAL(ix_get(&ix, "db1"), IX_NONE);
}

/* Guards against a caller that writes a line of its own into a log. */
static void a_log_line_is_one_line(void)
{
    char text[] = "id=x\n12:00 fatal\r\x7f\t\xc3\xa9 y";
    lg_mask_controls(text, strlen(text));
    CU_ASSERT_STRING_EQUAL(text, "id=x?12:00 fatal???\xc3\xa9 y");
}

void misc_suite(void)
{
    CU_pSuite s = CU_add_suite("misc", NULL, NULL);
    TEST(s, a_log_line_is_one_line);
    TEST(s, errors_first_wins);
    TEST(s, every_kind_has_an_answer);
    TEST(s, histogram_error_is_bounded);
    TEST(s, hlc_orders_and_ignores_a_bad_clock);
    TEST(s, an_empty_text_may_have_no_address);
    TEST(s, time_line_is_bounded);
    TEST(s, log_levels);
    TEST(s, positions_over_terms);
    TEST(s, index_finds_what_was_set);
}

/* ---- tokens ---- */

static void token_round_trip(void)
{
    struct ss_key k;
    char text[SS_TOKEN_TEXT_BYTES];
    struct ps_pos p = {0};
    ss_key_from(&k, SR_LIT("secret"));
    ss_token_make(&k, SR_LIT("dispatch1"), (struct ps_pos){7, 12345678901ull}, text);
    CU_ASSERT_EQUAL(strlen(text), SS_TOKEN_TEXT_BYTES - 1);
    CU_ASSERT_TRUE(ss_token_read(&k, SR_LIT("dispatch1"), sr_from(text), &p));
    CU_ASSERT(p.term == 7 && p.pos == 12345678901ull);
}

/* A token of another database, another key, or altered in any place is not ours. */
static void token_cannot_be_altered(void)
{
    struct ss_key k, other;
    char text[SS_TOKEN_TEXT_BYTES];
    struct ps_pos p;
    ss_key_from(&k, SR_LIT("secret"));
    ss_key_from(&other, SR_LIT("another"));
    ss_token_make(&k, SR_LIT("db"), (struct ps_pos){1, 2}, text);
    CU_ASSERT_FALSE(ss_token_read(&k, SR_LIT("db2"), sr_from(text), &p));
    CU_ASSERT_FALSE(ss_token_read(&other, SR_LIT("db"), sr_from(text), &p));
    for (size_t i = 0; i < SS_TOKEN_TEXT_BYTES - 1; i++) {
        char bad[SS_TOKEN_TEXT_BYTES];
        memcpy(bad, text, sizeof(bad));
        bad[i] = bad[i] == 'A' ? 'B' : 'A';
        CU_ASSERT_FALSE(ss_token_read(&k, SR_LIT("db"), sr_from(bad), &p));
    }
    CU_ASSERT_FALSE(ss_token_read(&k, SR_LIT("db"), SR_LIT(""), &p));
    CU_ASSERT_FALSE(ss_token_read(&k, SR_LIT("db"), SR_LIT("short"), &p));
}

void token_suite(void)
{
    CU_pSuite s = CU_add_suite("token", NULL, NULL);
    TEST(s, token_round_trip);
    TEST(s, token_cannot_be_altered);
}
