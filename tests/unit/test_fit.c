/* Which connection a statement gets where connections belong to accounts, as a table; and a
 * load: many accounts on few connections. */
#include <string.h>

#include "misc/clock.h"
#include "misc/rng.h"
#include "proxy/fit.h"
#include "tests/unit/unit.h"

static void a_statement_gets_the_connection_that_fits(void)
{
    static const struct {
        const char *what;
        struct px_fit_view v;
        enum px_fit fit;
    } rows[] = {
        {"one of its account is idle", {.idle = true, .own = 1, .waiting = 1}, PX_FIT_RUN},
        {"none is there, and there is room", {.waiting = 1, .room = true}, PX_FIT_OPEN},
        {"one is being opened for it",
         {.own = 1, .coming = 1, .waiting = 1, .room = true},
         PX_FIT_WAIT},
        {"another statement waits for that one",
         {.own = 1, .coming = 1, .waiting = 2, .room = true},
         PX_FIT_OPEN},
        {"no room: another account's goes", {.waiting = 1, .replaces = true}, PX_FIT_REPLACE},
        {"no room, and none can go", {.waiting = 1}, PX_FIT_WAIT},
        {"its own comes free in a moment",
         {.own = 1, .waiting = 1, .replaces = true},
         PX_FIT_WAIT},
        {"its own did not come free",
         {.own = 1, .waiting = 1, .replaces = true, .waited = CK_MS(21)},
         PX_FIT_REPLACE},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        if (px_fit(&rows[i].v) != rows[i].fit)
            CU_FAIL(rows[i].what);
    }
}

static void what_is_needed_least_goes(void)
{
    struct px_spare s[] = {{10, 1}, {30, 2}, {20, 2}, {5, 1}};
    CU_ASSERT_EQUAL(px_fit_spare(s, 0), -1);
    CU_ASSERT_EQUAL(px_fit_spare(s, 4), 2); /* of those that are there twice the oldest */
    CU_ASSERT_EQUAL(px_fit_spare(s, 2), 1);
    s[1].same = s[2].same = 1;
    CU_ASSERT_EQUAL(px_fit_spare(s, 4), 3);
}

/* Load: 12 accounts, the share of a holder where an instance takes 29 connections and there are
 * 78 accounts, send 30 statements a second over four connections, two of them half of it. A
 * third of the statements at most may need an opening; of the two large accounts a tenth. */
static void large_accounts_keep_their_connections(void)
{
    enum { ACCOUNTS = 12, CONNS = 4, STATEMENTS = 20000, OF_LARGE = 4 };
    struct px_spare s[CONNS];
    int account[CONNS], openings = 0, large = 0, large_openings = 0;
    struct rn_rng rng = rn_seed(7);
    for (int i = 0; i < CONNS; i++) {
        s[i] = (struct px_spare){-1, 1};
        account[i] = -1;
    }
    for (int t = 0; t < STATEMENTS; t++) {
        bool is_large = rn_below(&rng, 10) < 8;
        int a = is_large ? (int)rn_below(&rng, 2) : 2 + (int)rn_below(&rng, ACCOUNTS - 2);
        int at = 0;
        while (at < CONNS && account[at] != a)
            at++;
        large += is_large;
        if (at == CONNS) {
            at = px_fit_spare(s, CONNS);
            account[at] = a;
            openings++;
            large_openings += is_large;
        }
        s[at].used_at = t;
    }
    CU_ASSERT(openings * 3 < STATEMENTS);
    CU_ASSERT(large_openings * 10 < large);
}

void fit_suite(void)
{
    CU_pSuite s = CU_add_suite("fit", NULL, NULL);
    TEST(s, a_statement_gets_the_connection_that_fits);
    TEST(s, what_is_needed_least_goes);
    TEST(s, large_accounts_keep_their_connections);
}
