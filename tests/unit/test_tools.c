/* The tools that judge: the history checker and the stand-in's engine can fail. */
#include <string.h>

#include "load/check.h"
#include "tests/standin/engine.h"
#include "tests/unit/unit.h"

/* Each broken promise, and the history that breaks it. */
static void checker_finds_each_fault(void)
{
    struct hc_check *c = hc_create();
    hc_write(c, 1, "w1", NULL, "k", HC_OK, "k=3", 1000);
    hc_read(c, 1, "k", "k=3", 2000, INT64_MAX);
    CU_ASSERT_EQUAL(hc_count(c, HC_OWN_WRITE), 0);
    hc_read(c, 1, "k", "k=2", 2000, INT64_MAX);
    CU_ASSERT_EQUAL(hc_count(c, HC_OWN_WRITE), 1);
    hc_read(c, 2, "k", "k=2", 2000, INT64_MAX); /* another session may be behind */
    CU_ASSERT_EQUAL(hc_count(c, HC_OWN_WRITE), 1);
    hc_read(c, 3, "k", "k=2", 1400, 500);
    CU_ASSERT_EQUAL(hc_count(c, HC_STALE), 0);
    hc_read(c, 3, "k", "k=2", 1600, 500);
    CU_ASSERT_EQUAL(hc_count(c, HC_STALE), 1);
    hc_read(c, 4, "k", "k=2", 1100, -1);
    CU_ASSERT_EQUAL(hc_count(c, HC_OLD_PRIMARY), 1);
    hc_read(c, 5, "k", "other=9", 1100, -1);
    CU_ASSERT_EQUAL(hc_count(c, HC_CROSSED), 1);
    hc_write(c, 1, "lost", NULL, "k", HC_OK, "k=4", 3000);
    hc_runs(c, "lost", 0);
    hc_write(c, 1, "twice", NULL, "k", HC_UNKNOWN, "", 3000);
    hc_runs(c, "twice", 2);
    hc_write(c, 1, "ran", NULL, "k", HC_NOT_RUN, "", 3000);
    hc_runs(c, "ran", 1);
    hc_write(c, 1, "half", "other half", "k", HC_UNKNOWN, "", 3000);
    hc_write(c, 1, "other half", NULL, "k", HC_UNKNOWN, "", 3000);
    hc_runs(c, "half", 1);
    hc_runs(c, "other half", 0);
    hc_runs(c, "w1", 1);
    hc_finish(c);
    CU_ASSERT_EQUAL(hc_count(c, HC_LOST), 1);
    CU_ASSERT_EQUAL(hc_count(c, HC_DOUBLED), 1);
    CU_ASSERT_EQUAL(hc_count(c, HC_FALSE_NOT_RUN), 1);
    CU_ASSERT_EQUAL(hc_count(c, HC_TORN), 1);
    hc_destroy(c);
}

static void checker_passes_a_good_history(void)
{
    struct hc_check *c = hc_create();
    hc_write(c, 1, "a", NULL, "k", HC_OK, "k=1", 10);
    hc_write(c, 1, "b", NULL, "k", HC_UNKNOWN, "", 20);
    hc_write(c, 1, "c", NULL, "k", HC_NOT_RUN, "", 30);
    hc_runs(c, "a", 1);
    hc_runs(c, "b", 0);
    hc_runs(c, "c", 0);
    hc_read(c, 1, "k", "k=1", 40, -1);
    hc_finish(c);
    for (int f = 0; f < HC_FAULTS; f++)
        CU_ASSERT_EQUAL(hc_count(c, f), 0);
    CU_ASSERT_EQUAL(hc_unverified(c), 0);
    hc_destroy(c);
}

static void engine_log_and_state(void)
{
    struct eg_engine *e = eg_create();
    char out[64];
    eg_append(e, 1, "mark a k", "c1", "k=1");
    eg_append(e, 1, "mark b k\nmark c k", "", "k=3");
    eg_append(e, 4, "mark d k", "c2", "k=4");
    eg_read(e, "get k", NULL, out, sizeof(out));
    CU_ASSERT_STRING_EQUAL(out, "k=0"); /* held, not applied */
    eg_apply_to(e, 2);
    eg_read(e, "get k", "mark z k", out, sizeof(out));
    CU_ASSERT_STRING_EQUAL(out, "k=4"); /* with the transaction's own */
    CU_ASSERT_STRING_EQUAL(eg_claimed(e, "c2"), "k=4");
    eg_apply_to(e, 9);
    struct ps_start s[4];
    CU_ASSERT_EQUAL(eg_starts(e, s, 4), 2);
    CU_ASSERT(s[1].term == 4 && s[1].pos == 2);
    eg_truncate(e, 2);
    CU_ASSERT_PTR_NULL(eg_claimed(e, "c2"));
    CU_ASSERT_STRING_EQUAL(eg_claimed(e, "c1"), "k=1");
    eg_read(e, "runs d", NULL, out, sizeof(out));
    CU_ASSERT_STRING_EQUAL(out, "d=0");
    eg_destroy(e);
}

void check_suite(void)
{
    CU_pSuite s = CU_add_suite("checker", NULL, NULL);
    TEST(s, checker_finds_each_fault);
    TEST(s, checker_passes_a_good_history);
}

void engine_suite(void)
{
    CU_pSuite s = CU_add_suite("stand-in engine", NULL, NULL);
    TEST(s, engine_log_and_state);
}
