/* Which connection a statement gets where connections belong to accounts, as a table; and a
 * load: many accounts on few connections. */
#include <string.h>

#include "misc/clock.h"
#include "misc/rng.h"
#include "proxy/conn_choice.h"
#include "tests/unit/unit.h"

static void a_statement_gets_the_connection_that_fits(void)
{
    static const struct {
        const char *what;
        struct px_choice_view v;
        enum px_conn_choice choice;
    } rows[] = {
        {"one of its account is idle",
         {.idle = true, .own_conns = 1, .own_waiting = 1},
         PX_CHOICE_RUN},
        {"none is there, and there is room",
         {.own_waiting = 1, .share_has_room = true},
         PX_CHOICE_OPEN},
        {"one is being opened for it",
         {.own_conns = 1, .own_opening = 1, .own_waiting = 1, .share_has_room = true},
         PX_CHOICE_WAIT},
        {"another statement waits for that one",
         {.own_conns = 1, .own_opening = 1, .own_waiting = 2, .share_has_room = true},
         PX_CHOICE_OPEN},
        {"no room: another account's goes",
         {.own_waiting = 1, .can_replace = true},
         PX_CHOICE_REPLACE},
        {"no room, and none can go", {.own_waiting = 1}, PX_CHOICE_WAIT},
        {"its own comes free in a moment",
         {.own_conns = 1, .own_waiting = 1, .can_replace = true},
         PX_CHOICE_WAIT},
        {"its own did not come free",
         {.own_conns = 1, .own_waiting = 1, .can_replace = true, .waited_us = CK_MS(21)},
         PX_CHOICE_REPLACE},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        if (px_choose_conn(&rows[i].v) != rows[i].choice)
            CU_FAIL(rows[i].what);
    }
}

static void what_is_needed_least_goes(void)
{
    struct px_spare s[] = {{10, 1}, {30, 2}, {20, 2}, {5, 1}};
    CU_ASSERT_EQUAL(px_choose_spare(s, 0), -1);
    CU_ASSERT_EQUAL(px_choose_spare(s, 4), 2); /* of those that are there twice the oldest */
    CU_ASSERT_EQUAL(px_choose_spare(s, 2), 1);
    s[1].idle_of_account = s[2].idle_of_account = 1;
    CU_ASSERT_EQUAL(px_choose_spare(s, 4), 3);
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
            at = px_choose_spare(s, CONNS);
            account[at] = a;
            openings++;
            large_openings += is_large;
        }
        s[at].last_used_at = t;
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
