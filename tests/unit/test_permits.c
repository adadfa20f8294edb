/* Limits of accounts under load, by cases: a new leader, a holder that ends, an account that
 * asks for several times its limit. */
#include "limit/limit.h"
#include "tests/unit/unit.h"

static const struct lm_tolerance tolerance = {5, 0.1, 20};

/* A node gets its first permits in the moment in which those of another, whose place in the
 * list is before it, have ended. */
static void permits_count_when_a_holder_ends(void)
{
    struct lm_allocator g = {0};
    struct lm_report r = {.want = 5};
    struct lm_grant a;
    lm_begin(&g, &tolerance, true, 0);
    lm_set(&g, "a", 20, 20, 1);
    lm_renewed(&g, 1, true, CK_SEC(5));
    lm_handle_report(&g, "a", 1, &r, 0, 1, CK_SEC(5), &a);
    lm_renewed(&g, 2, true, CK_SEC(7));
    lm_handle_report(&g, "a", 2, &r, 0, 2, CK_SEC(7), &a);
    CU_ASSERT_EQUAL(a.given, 5);
    CU_ASSERT_EQUAL((int)lm_out(&g, "a", CK_SEC(7)), 5);
    lm_free(&g);
}

/* A leader that follows another, at an account that asks for nine tenths of its limit from the
 * first moment on: what was used makes room, so nothing that its rate allows waits for the time
 * in which permits of the leader before may be out. */
static void a_new_leader_gives_the_rate(void)
{
    enum { RATE = 200, ASKED = RATE * 9 / 10, TICKS = 1320, NODE = 1 };
    struct lm_allocator g = {0};
    struct lm_pool stock = {0};
    int64_t now = CK_SEC(50);
    int asked = 0, served = 0;
    lm_begin(&g, &tolerance, false, now);
    lm_set(&g, "a", RATE, RATE, now);
    for (int ms = 1; ms <= TICKS; ms++) {
        now += CK_MS(1);
        asked += ms * ASKED / 1000 > (ms - 1) * ASKED / 1000;
        struct lm_report r;
        struct lm_grant a;
        while (served < asked && lm_take(&stock, 0, now) == LM_GO)
            served++;
        lm_renewed(&g, NODE, true, now);
        if (!lm_make_report(&stock, now, &r))
            continue;
        lm_handle_report(&g, "a", NODE, &r, UINT64_MAX, 1, now, &a);
        a.over_us = 0; /* it asks again at once */
        lm_apply_grant(&stock, &a, now);
    }
    CU_ASSERT(served >= asked * 9 / 10);
    lm_free(&g);
}

/* Load: an account asks for three times its limit, a seventh of that is served first. What is
 * served first gets its permits, the rest what is left, and none lies unused; the last class
 * does not starve. */
static void what_goes_first_gets_the_permits(void)
{
    enum {
        RATE = 100,
        ASKED = 300,
        FIRST_OF = 7,
        RENEW_MS = 200,
        LOOK_MS = 20,
        TICKS = 5000,
        NODE = 1
    };
    struct lm_allocator g = {0};
    struct lm_pool stock = {0};
    int64_t now = CK_SEC(50);
    int waits = 0, asked[LM_CLASSES] = {0}, begun[LM_CLASSES] = {0};
    lm_begin(&g, &tolerance, true, now);
    lm_set(&g, "a", RATE, RATE / 10, now);
    for (int ms = 1; ms <= TICKS; ms++) {
        struct lm_report r;
        struct lm_grant a;
        now += CK_MS(1);
        int k = ms * ASKED / 1000, seventh = k % FIRST_OF;
        int priority = seventh == 0 ? 0 : seventh < 4 ? 1 : 2;
        if (k > (ms - 1) * ASKED / 1000) {
            enum lm_verdict v = lm_take(&stock, priority, now);
            asked[priority]++;
            begun[priority] += v == LM_GO;
            waits += priority == 0 && v == LM_WAIT;
        }
        while (ms % LOOK_MS == 0 && waits > 0 && lm_take(&stock, 0, now) == LM_GO) {
            begun[0]++;
            waits--;
        }
        if (ms % RENEW_MS)
            continue;
        lm_renewed(&g, NODE, true, now);
        if (!lm_make_report(&stock, now, &r))
            continue;
        lm_handle_report(&g, "a", NODE, &r, UINT64_MAX, 1, now, &a);
        lm_apply_grant(&stock, &a, now);
    }
    CU_ASSERT(begun[0] >= asked[0] * 9 / 10);
    CU_ASSERT(begun[0] + begun[1] + begun[2] >= RATE * TICKS / 1000 * 9 / 10);
    CU_ASSERT(begun[2] >= RATE * TICKS / 1000 / 20);
    lm_free(&g);
}

void permits_suite(void)
{
    CU_pSuite s = CU_add_suite("permits", NULL, NULL);
    TEST(s, permits_count_when_a_holder_ends);
    TEST(s, a_new_leader_gives_the_rate);
    TEST(s, what_goes_first_gets_the_permits);
}
