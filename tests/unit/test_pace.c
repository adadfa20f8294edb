/* How fast instances are, told apart from the work they are given. */
#include <string.h>

#include "misc/rng.h"
#include "proxy/service_time.h"
#include "proxy/stages.h"
#include "tests/unit/unit.h"

/* The primary gets short statements, the replicas long ones: neither is slower for it. */
static void work_is_not_taken_for_slowness(void)
{
    struct px_service_times p = {0};
    struct rn_rng rng = rn_seed(3);
    double primary = 1, replica = 1;
    unsigned lookup = px_statement_kind(SR_LIT("tiles"), false);
    unsigned publish = px_statement_kind(SR_LIT("covers"), true);
    CU_ASSERT_NOT_EQUAL(lookup, publish);
    for (int i = 0; i < 400; i++) {
        int64_t noise = (int64_t)rn_below(&rng, 1000);
        px_service_time_record(&p, publish, &primary, 4500 + noise);
        px_service_time_record(&p, lookup, &replica, 22000 + noise);
        if (i % 8 == 0)
            px_service_time_record(&p, lookup, &primary, 22000 + noise);
    }
    int64_t there = px_service_time_expect(&p, lookup, primary);
    int64_t here = px_service_time_expect(&p, lookup, replica);
    CU_ASSERT(there > here * 9 / 10 && there < here * 11 / 10);
}

/* An instance that is three times as slow as the others of its group is soon known to be, for
 * all kinds, and soon forgiven. */
static void slowness_shows_in_all_kinds(void)
{
    struct px_service_times p = {0};
    double slow = 1, well = 1;
    unsigned a = px_statement_kind(SR_LIT("a"), false),
             b = px_statement_kind(SR_LIT("b"), true);
    for (int i = 0; i < 20; i++) {
        px_service_time_record(&p, a, &well, 10000);
        px_service_time_record(&p, b, &well, 2000);
        px_service_time_record(&p, a, &slow, 30000);
    }
    CU_ASSERT(px_service_time_expect(&p, b, slow) > 2 * px_service_time_expect(&p, b, well));
    for (int i = 0; i < 40; i++) {
        px_service_time_record(&p, a, &well, 10000);
        px_service_time_record(&p, a, &slow, 10000);
    }
    CU_ASSERT(px_service_time_expect(&p, b, slow) <
              px_service_time_expect(&p, b, well) * 11 / 10);
}

static void one_answer_that_hung_is_forgotten(void)
{
    struct px_service_times p = {0};
    double factor = 1;
    unsigned kind = px_statement_kind(SR_LIT("a"), false);
    for (int i = 0; i < 50; i++)
        px_service_time_record(&p, kind, &factor, 10000);
    px_service_time_record(&p, kind, &factor, 60 * 1000 * 1000);
    for (int i = 0; i < 60; i++)
        px_service_time_record(&p, kind, &factor, 10000);
    CU_ASSERT(factor < 1.1);
}

static void nothing_seen_is_a_guess(void)
{
    struct px_service_times p = {0};
    CU_ASSERT(px_service_time_expect(&p, 5, 1) > 0);
    CU_ASSERT_EQUAL(px_service_time_expect(&p, 5, 2), 2 * px_service_time_expect(&p, 5, 1));
}

/* Load: ten seconds of waiting statements, then none: what an operator reads of each. */
static void stages_are_told_for_the_time_since_the_last_report(void)
{
    static struct px_stages t;
    struct sr_buf b = {0};
    CU_ASSERT_FALSE(px_stages_report(&t, &b));
    px_stages_add(&t, PX_T_WAIT, 1000);
    px_stages_add(&t, PX_T_WAIT, 4000);
    px_stages_add(&t, PX_T_INSTANCE, 8200);
    b.len = 0;
    CU_ASSERT_TRUE(px_stages_report(&t, &b));
    sr_buf_add(&b, "", 1);
    CU_ASSERT_STRING_EQUAL(b.p,
                           "permit=0/0.0 wait=2/2.5 setup=0/0.0 instance=1/8.2 relay=0/0.0");
    CU_ASSERT_FALSE(px_stages_report(&t, &b));
    b.len = 0;
    px_stages_metrics(&t, &b);
    sr_buf_add(&b, "", 1);
    CU_ASSERT_PTR_NOT_NULL(strstr(b.p, "ferry_session_stage_us_count{stage=\"wait\"} 2\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(b.p, "ferry_session_stage_us_sum{stage=\"wait\"} 5000\n"));
    sr_buf_free(&b);
}

void pace_suite(void)
{
    CU_pSuite s = CU_add_suite("pace", NULL, NULL);
    TEST(s, work_is_not_taken_for_slowness);
    TEST(s, slowness_shows_in_all_kinds);
    TEST(s, one_answer_that_hung_is_forgotten);
    TEST(s, nothing_seen_is_a_guess);
    TEST(s, stages_are_told_for_the_time_since_the_last_report);
}
