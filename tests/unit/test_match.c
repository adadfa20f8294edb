/* What proves that an answer is the outstanding statement's: tables of what is outstanding,
 * what arrives and what is decided. */
#include <stdio.h>

#include "proxy/match.h"
#include "tests/unit/unit.h"

static const uint64_t any_error = ~(uint64_t)0;

static struct mt_history h;
static struct mt_signer by;

static void reset(void)
{
    mt_free(&h);
    h = (struct mt_history){.conn = 1};
    by = (struct mt_signer){.n = MT_PROVED_UNIQUE};
    const struct mt_outstanding opening = {.expected = MT_GREETING};
    const struct mt_answer greeting = {.has_pos = true, .pos = {3, 7}};
    CU_ASSERT_EQUAL(mt_judge(&h, &by, &opening, &greeting), MT_TAKE);
}

static enum mt_verdict judge(enum mt_expected expected, uint64_t errors, struct mt_answer a)
{
    const struct mt_outstanding o = {expected, errors};
    return mt_judge(&h, &by, &o, &a);
}

static enum mt_verdict signs(enum mt_expected expected, const char *signature, const char *rows,
                             enum px_txn txn)
{
    struct mt_answer a = {.done = true,
                          .signature = sr_from(signature),
                          .rows = sr_from(rows),
                          .txn = txn,
                          .has_pos = true,
                          .pos = {3, 9}};
    return judge(expected, any_error, a);
}

static enum mt_verdict does(enum mt_expected expected, enum px_txn txn)
{
    return judge(expected, any_error, (struct mt_answer){.done = true, .txn = txn});
}

static enum mt_verdict fails(enum mt_expected expected, enum er_kind error, uint64_t may)
{
    return judge(expected, may, (struct mt_answer){.error = error});
}

/* Guards against the answer of an earlier statement, however late, at whatever is outstanding.
 */
static void a_signature_is_taken_once(void)
{
    static const enum mt_expected later[] = {MT_NOTHING, MT_SIGNED, MT_SETUP, MT_SETUP_BEGIN,
                                             MT_SETUP_IN_TXN};
    char text[32];
    reset();
    for (int i = 0; i < 1000; i++) {
        snprintf(text, sizeof(text), "s.%d", i);
        CU_ASSERT_EQUAL(signs(MT_SIGNED, text, "row", PX_IDLE), MT_TAKE);
    }
    for (int i = 0; i < 1000; i++) {
        snprintf(text, sizeof(text), "s.%d", i);
        CU_ASSERT_EQUAL(signs(later[i % 5], text, "row", PX_IDLE), MT_DROP);
    }
    CU_ASSERT_FALSE(mt_worn(&h));
}

static void what_is_signed_is_no_setup(void)
{
    reset();
    CU_ASSERT_EQUAL(signs(MT_SETUP, "new", "", PX_IDLE), MT_BROKEN);
    CU_ASSERT_EQUAL(signs(MT_NOTHING, "newer", "", PX_IDLE), MT_BROKEN);
}

static void two_answers_mixed_are_none(void)
{
    reset();
    CU_ASSERT_EQUAL(signs(MT_SIGNED, "a", "one", PX_IDLE), MT_TAKE);
    CU_ASSERT_EQUAL(signs(MT_SIGNED, "a", "other and one", PX_IDLE), MT_BROKEN);
}

static void a_statement_is_not_answered_without_signature(void)
{
    reset();
    CU_ASSERT_EQUAL(does(MT_SIGNED, PX_IDLE), MT_BROKEN); /* nothing that it could repeat */
    reset();
    CU_ASSERT_EQUAL(does(MT_SETUP, PX_IDLE), MT_TAKE);
    CU_ASSERT_EQUAL(does(MT_SIGNED, PX_IDLE), MT_DROP);
    CU_ASSERT_EQUAL(does(MT_NOTHING, PX_IDLE), MT_DROP);
}

/* Guards against a write that is refused by the error of an earlier one, and then runs. */
static void an_error_is_believed_once(void)
{
    reset();
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_BUSY, any_error), MT_TAKE);
    CU_ASSERT_TRUE(mt_worn(&h));
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_FAILED, any_error), MT_TAKE); /* of another kind */
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_BUSY, any_error), MT_DOUBT);
    CU_ASSERT_EQUAL(signs(MT_SIGNED, "a", "", PX_IDLE), MT_TAKE);
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_BUSY, any_error), MT_DOUBT); /* also much later */
    CU_ASSERT_EQUAL(fails(MT_NOTHING, ER_BUSY, 0), MT_DROP);
    CU_ASSERT_EQUAL(fails(MT_NOTHING, ER_TIMEOUT, 0), MT_BROKEN);
}

/* Guards against two kinds that are taken for one. */
static void each_kind_of_error_is_its_own(void)
{
    for (int a = ER_NONE + 1; a < ER_COUNT; a++) {
        reset();
        CU_ASSERT_EQUAL(fails(MT_SIGNED, (enum er_kind)a, any_error), MT_TAKE);
        for (int b = ER_NONE + 1; b < ER_COUNT; b++) {
            enum mt_verdict due = b == a ? MT_DROP : MT_BROKEN;
            struct mt_history before = h;
            CU_ASSERT_EQUAL(fails(MT_NOTHING, (enum er_kind)b, 0), due);
            h = before;
        }
    }
}

static void an_error_that_it_cannot_get_is_not_the_statements(void)
{
    const uint64_t no_floor = ~mt_error_bit(ER_BEHIND);
    reset();
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_BEHIND, any_error), MT_TAKE);
    CU_ASSERT_FALSE(mt_worn(&h)); /* writes state no position */
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_BEHIND, no_floor), MT_DROP);
    reset();
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_BEHIND, no_floor), MT_BROKEN);
}

/* Guards against an unsigned answer of earlier that hides that BEGIN or SET failed. */
static void an_error_after_an_unproved_setup_is_doubted(void)
{
    reset();
    CU_ASSERT_EQUAL(does(MT_SETUP, PX_IDLE), MT_TAKE); /* the first: proved */
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_TERM, any_error), MT_TAKE);
    reset();
    CU_ASSERT_EQUAL(does(MT_SETUP_BEGIN, PX_IN_TXN), MT_TAKE);
    CU_ASSERT_TRUE(h.begin_settled);
    CU_ASSERT_EQUAL(does(MT_SETUP_BEGIN, PX_IN_TXN), MT_TAKE); /* perhaps the first once more */
    CU_ASSERT_FALSE(h.begin_settled);
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_TERM, any_error), MT_DOUBT);
    reset();
    CU_ASSERT_EQUAL(does(MT_SETUP_BEGIN, PX_IN_TXN), MT_TAKE);
    CU_ASSERT_EQUAL(does(MT_SETUP_BEGIN, PX_IN_TXN), MT_TAKE);
    CU_ASSERT_EQUAL(signs(MT_SIGNED, "a", "", PX_IN_TXN), MT_TAKE);
    CU_ASSERT_TRUE(h.begin_settled); /* the instance is past it */
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_TERM, any_error), MT_TAKE);
}

static void a_setup_that_failed_after_all_ends_the_connection(void)
{
    const uint64_t write = ~mt_error_bit(ER_BEHIND);
    reset();
    CU_ASSERT_EQUAL(does(MT_SETUP_BEGIN, PX_IN_TXN), MT_TAKE);
    CU_ASSERT_EQUAL(fails(MT_SETUP_BEGIN, ER_BEHIND, any_error), MT_TAKE);
    CU_ASSERT_EQUAL(does(MT_SETUP_BEGIN, PX_IN_TXN), MT_TAKE); /* of the first BEGIN */
    CU_ASSERT_EQUAL(fails(MT_SIGNED, ER_BEHIND, write), MT_BROKEN);
}

static void a_setup_is_answered_in_its_state(void)
{
    reset();
    CU_ASSERT_EQUAL(does(MT_SETUP_BEGIN, PX_IDLE), MT_BROKEN);
    reset();
    CU_ASSERT_EQUAL(does(MT_SETUP, PX_IDLE), MT_TAKE);
    CU_ASSERT_EQUAL(does(MT_SETUP_BEGIN, PX_IDLE), MT_DROP);
    CU_ASSERT_EQUAL(does(MT_SETUP_IN_TXN, PX_TXN_FAILED), MT_DROP);
    CU_ASSERT_EQUAL(does(MT_SETUP_IN_TXN, PX_IN_TXN), MT_TAKE);
}

static void a_greeting_is_no_answer(void)
{
    const struct mt_answer again = {.has_pos = true, .pos = {3, 7}};
    const struct mt_answer other = {.has_pos = true, .pos = {3, 8}};
    struct mt_answer half = again;
    half.rows = SR_LIT("row");
    reset();
    CU_ASSERT_EQUAL(judge(MT_SIGNED, any_error, again), MT_DROP);
    CU_ASSERT_EQUAL(judge(MT_SIGNED, any_error, again), MT_BROKEN); /* it broke off */
    reset();
    CU_ASSERT_EQUAL(judge(MT_NOTHING, 0, again), MT_DROP);
    CU_ASSERT_EQUAL(judge(MT_SIGNED, any_error, other), MT_BROKEN);
    CU_ASSERT_EQUAL(judge(MT_SIGNED, any_error, half), MT_BROKEN);
    CU_ASSERT_EQUAL(signs(MT_GREETING, "a", "", PX_IDLE), MT_BROKEN);
}

/* An instance that signs alike is served as if it never repeated; with many signatures it is
 * known to give each once. */
static void signatures_that_are_alike_prove_nothing(void)
{
    reset();
    by = (struct mt_signer){0};
    CU_ASSERT_EQUAL(signs(MT_SIGNED, "r.1", "one", PX_IDLE), MT_TAKE);
    CU_ASSERT_EQUAL(signs(MT_SIGNED, "r.1", "one", PX_IDLE), MT_DROP);
    CU_ASSERT_EQUAL(signs(MT_SIGNED, "r.1", "two", PX_IDLE), MT_BROKEN); /* or two are mixed */
    CU_ASSERT_FALSE(by.alike);
    reset();
    by = (struct mt_signer){0};
    CU_ASSERT_EQUAL(signs(MT_SIGNED, "w.1", "", PX_IDLE), MT_TAKE);
    h.conn = 2; /* another connection */
    CU_ASSERT_EQUAL(signs(MT_SIGNED, "w.1", "", PX_IDLE), MT_TAKE);
    CU_ASSERT_TRUE(by.alike);
    char text[16];
    for (int i = 0; i < MT_PROVED_UNIQUE; i++) {
        snprintf(text, sizeof(text), "s.%d", i);
        signs(MT_SIGNED, text, "", PX_IDLE);
    }
    CU_ASSERT_FALSE(by.alike);
}

static void the_history_has_a_bound(void)
{
    char text[32];
    reset();
    for (int i = 0; i < MT_MAX_SIGNATURES + 10; i++) {
        CU_ASSERT_EQUAL(mt_worn(&h), i >= MT_MANY_SIGNATURES);
        snprintf(text, sizeof(text), "s.%d", i);
        if (signs(MT_SIGNED, text, "", PX_IN_TXN) != MT_TAKE)
            CU_FAIL("a new signature was not taken");
    }
    CU_ASSERT_TRUE(mt_full(&h));
    CU_ASSERT_EQUAL(mt_bytes(&h), 2 * MT_MAX_SIGNATURES * sizeof(struct mt_signature));
    mt_free(&h);
    CU_ASSERT_EQUAL(mt_bytes(&h), 0);
}

SUITE(match)
{
    CU_pSuite s = CU_add_suite("match", NULL, NULL);
    TEST(s, a_signature_is_taken_once);
    TEST(s, what_is_signed_is_no_setup);
    TEST(s, two_answers_mixed_are_none);
    TEST(s, a_statement_is_not_answered_without_signature);
    TEST(s, an_error_is_believed_once);
    TEST(s, each_kind_of_error_is_its_own);
    TEST(s, an_error_that_it_cannot_get_is_not_the_statements);
    TEST(s, an_error_after_an_unproved_setup_is_doubted);
    TEST(s, a_setup_that_failed_after_all_ends_the_connection);
    TEST(s, a_setup_is_answered_in_its_state);
    TEST(s, a_greeting_is_no_answer);
    TEST(s, signatures_that_are_alike_prove_nothing);
    TEST(s, the_history_has_a_bound);
}
