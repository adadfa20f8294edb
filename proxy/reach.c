#include "proxy/reach.h"

enum {
    /* Most statements are answered by then, so that a test is rare while all is well. */
    TEST_AFTER_US = 400000,
    TEST_EVERY_US = 200000, /* one packet that is lost is no partition */
    LEAST_TESTS = 2,
    /* So long the tests may take. A caller that is told then has time left for another try;
     * counted from the first test, as this node itself may have stood still meanwhile. */
    ANSWER_US = 600000,
    /* A node that is out of reach is tested so often, that its callers come back to it. */
    RETEST_US = 500000,
};

void px_reach_heard(struct px_reach *r)
{
    r->unheard_since = 0;
    r->tests = 0;
    r->lost = false;
}

static enum px_reach_step test(struct px_reach *r, int64_t now)
{
    if (r->tests++ == 0)
        r->first_test_at = now;
    r->tested_at = now;
    return PX_REACH_TEST;
}

enum px_reach_step px_reach_tick(struct px_reach *r, int open, int64_t now)
{
    if (r->lost)
        return now - r->tested_at >= RETEST_US ? test(r, now) : PX_REACH_WAIT;
    if (open == 0) {
        r->unheard_since = 0;
        r->tests = 0;
        return PX_REACH_WAIT;
    }
    if (!r->unheard_since)
        r->unheard_since = now;
    if (r->tests >= LEAST_TESTS && now - r->first_test_at >= ANSWER_US) {
        r->lost = true;
        return PX_REACH_LOST;
    }
    bool due = now - r->unheard_since >= TEST_AFTER_US;
    return due && (r->tests == 0 || now - r->tested_at >= TEST_EVERY_US) ? test(r, now)
                                                                         : PX_REACH_WAIT;
}
