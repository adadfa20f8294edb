#include <string.h>

#include "lease/lease.h"
#include "misc/clock.h"
#include "misc/rng.h"
#include "pool/shares.h"
#include "tests/unit/unit.h"

/* ---- leases ---- */

#define LEASE CK_SEC(2)

static void holder_counts_from_the_sending(void)
{
    struct ls_holder h = {0};
    uint64_t a = ls_renewal_sent(&h, CK_MS(100));
    ls_granted(&h, a, LEASE);
    CU_ASSERT_TRUE(ls_live(&h, CK_MS(2000)));
    CU_ASSERT_FALSE(ls_live(&h, CK_MS(2090))); /* drift allowance */
    for (int i = 0; i < LS_MAX_OUTSTANDING; i++)
        ls_renewal_sent(&h, CK_SEC(10));
    ls_granted(&h, a, LEASE * 100); /* too old to know when it was asked for */
    CU_ASSERT_FALSE(ls_live(&h, CK_SEC(10)));
    ls_granted(&h, h.seq + 1, LEASE); /* never asked for */
    CU_ASSERT_FALSE(ls_live(&h, CK_SEC(10)));
}

/* Whatever the delays, the giver counts a lease longer than its holder does. */
static void giver_outlasts_holder(void)
{
    struct rn_rng rng = rn_seed(5);
    for (int i = 0; i < 1000; i++) {
        struct ls_holder h = {0};
        static struct ls_grantor g;
        ls_grantor_begin(&g, LEASE, 0, true);
        int64_t sent = (int64_t)rn_below(&rng, 1000000);
        int64_t granted = sent + (int64_t)rn_below(&rng, 500000);
        uint64_t seq = ls_renewal_sent(&h, sent);
        ls_granted(&h, seq, ls_grant(&g, 1, INT64_MAX, granted));
        CU_ASSERT_TRUE(ls_node_live(&g, 1, h.until));
    }
}

static void no_grant_without_a_quorum(void)
{
    static struct ls_grantor g;
    ls_grantor_begin(&g, LEASE, 0, true);
    CU_ASSERT_EQUAL(ls_grant(&g, 1, CK_MS(100), CK_MS(100)), 0);
    CU_ASSERT_EQUAL(ls_grant(&g, 1, CK_MS(100), CK_MS(99)), LEASE);
}

static void dropped_by_all_or_run_out(void)
{
    static struct ls_grantor g;
    ls_grantor_begin(&g, LEASE, 0, true);
    ls_grant(&g, 1, INT64_MAX, 0);
    ls_grant(&g, 2, INT64_MAX, 0);
    ls_acked(&g, 1, 7);
    CU_ASSERT_FALSE(ls_all_applied(&g, 7, CK_MS(10)));
    ls_acked(&g, 2, 6);
    CU_ASSERT_FALSE(ls_all_applied(&g, 7, CK_MS(10)));
    CU_ASSERT_TRUE(ls_all_applied(&g, 7, CK_MS(2021))); /* node 2's ran out, with drift */
    CU_ASSERT_FALSE(ls_all_applied(&g, 7, CK_MS(2019)));
    ls_acked(&g, 2, 7);
    CU_ASSERT_TRUE(ls_all_applied(&g, 7, CK_MS(10)));
}

/* A new leader does not know whom the last one gave leases. */
static void earlier_leaders_leases_count(void)
{
    static struct ls_grantor g;
    ls_grantor_begin(&g, LEASE, CK_SEC(5), false);
    CU_ASSERT_FALSE(ls_all_applied(&g, 1, CK_SEC(6)));
    CU_ASSERT_TRUE(ls_all_applied(&g, 1, CK_MS(7021)));
}

void lease_suite(void)
{
    CU_pSuite s = CU_add_suite("lease", NULL, NULL);
    TEST(s, holder_counts_from_the_sending);
    TEST(s, giver_outlasts_holder);
    TEST(s, no_grant_without_a_quorum);
    TEST(s, dropped_by_all_or_run_out);
    TEST(s, earlier_leaders_leases_count);
}

/* ---- shares ---- */

static struct sh_table t;

static int report(uint64_t node, int held, int want, uint64_t seq, int64_t now)
{
    static uint64_t msg;
    sh_report(&t, "i", node, held, want, seq, now + LEASE, now);
    sh_balance(&t, "i", now);
    return sh_target_to_send(&t, "i", node, ++msg);
}

static void fresh(int64_t quiet_until)
{
    sh_begin(&t, quiet_until);
    sh_set_instance(&t, "i", 25, 3);
}

static void demand_is_followed(void)
{
    fresh(0);
    int a = report(1, 0, 100, 0, 0);
    CU_ASSERT_EQUAL(a, 22);
    int b = report(2, 0, 100, 0, 0);
    CU_ASSERT_EQUAL(b, 0); /* nothing is free until node 1 has confirmed */
    a = report(1, 22, 100, 1, 1000);
    CU_ASSERT_EQUAL(a, 11);
    CU_ASSERT_EQUAL(report(2, 0, 100, 2, 1000), 0);
    report(1, 11, 100, 1000, 2000); /* confirmed */
    CU_ASSERT_EQUAL(report(2, 0, 100, 1000, 2000), 11);
}

/* 22 among 12 that want five each: ten have two, two have one, and none is left over. */
static void remainder_is_dealt_out(void)
{
    int sum = 0, least = 9, most = 0, has[13] = {0};
    fresh(0);
    for (int round = 0; round < 6; round++) {
        sum = most = 0;
        least = 9;
        for (uint64_t node = 1; node <= 12; node++) {
            has[node] = report(node, has[node], 5, 100000, round);
            sum += has[node];
            least = has[node] < least ? has[node] : least;
            most = has[node] > most ? has[node] : most;
        }
    }
    CU_ASSERT_EQUAL(sum, 22);
    CU_ASSERT_EQUAL(least, 1);
    CU_ASSERT_EQUAL(most, 2);
}

static void forgetting_can_be_sooner(void)
{
    fresh(0);
    t.forget_us = 3000;
    report(1, 0, 100, 0, 0);
    CU_ASSERT_EQUAL(report(2, 0, 100, 1, LEASE + 1), 21);
    CU_ASSERT_EQUAL(report(2, 21, 100, 1000, LEASE + 3002), 22);
    t.forget_us = 0;
}

static void dead_nodes_share_comes_back_late(void)
{
    fresh(0);
    report(1, 0, 100, 0, 0);
    CU_ASSERT_EQUAL(report(2, 0, 100, 0, LEASE - 1), 0);
    CU_ASSERT_EQUAL(report(2, 0, 100, 1, LEASE + 1), 21); /* one stays counted */
    CU_ASSERT_EQUAL(report(2, 21, 100, 1000, LEASE + SH_FORGET_US + 2), 22);
}

static void new_leader_deals_nothing_new_at_first(void)
{
    fresh(LEASE);
    CU_ASSERT_EQUAL(report(1, 5, 100, 0, 10), 5); /* what it holds is left to it */
    CU_ASSERT(report(1, 5, 100, 1000, LEASE + 1) > 5);
}

/* A node that holds nothing and wants nothing has given the instance up: nobody waits for its
 * lease. Not while a message that grants it something may be on its way. */
static void given_up_share_is_free_at_once(void)
{
    fresh(0);
    CU_ASSERT_EQUAL(report(1, 0, 100, 0, 0), 22);
    CU_ASSERT_EQUAL(report(1, 0, 0, 0, 1000), 0); /* it has not seen the grant yet */
    CU_ASSERT_EQUAL(report(2, 0, 100, 1000, 1000), 0);
    CU_ASSERT_EQUAL(report(1, 0, 0, 1000, 2000), 0);
    CU_ASSERT_EQUAL(report(2, 0, 100, 1000, 2000), 22);
}

/* A node is told only what has changed since it was told. */
static void only_changes_are_told(void)
{
    fresh(0);
    CU_ASSERT_FALSE(sh_has_unsent_target(&t, "i", 1));
    sh_report(&t, "i", 1, 0, 5, 0, LEASE, 0);
    sh_balance(&t, "i", 0);
    CU_ASSERT_TRUE(sh_has_unsent_target(&t, "i", 1));
    CU_ASSERT_EQUAL(sh_target_to_send(&t, "i", 1, 1), 5);
    CU_ASSERT_FALSE(sh_has_unsent_target(&t, "i", 1));
    sh_report(&t, "i", 1, 5, 5, 1, LEASE, 0);
    sh_balance(&t, "i", 0);
    CU_ASSERT_FALSE(sh_has_unsent_target(&t, "i", 1));
}

/* Random nodes that obey with delays, die and come back, and leaders that change: the truth,
 * what nodes may really hold, never exceeds the limit. */
enum { NODES = 14 };

struct real {
    uint64_t id;
    int cap; /* what it may hold */
    int64_t until;
    uint64_t applied;
    bool told; /* all it has, by this leader: only changes go out since */
    struct {
        int cap;
        uint64_t seq;
    } mail[4];
    int n_mail;
};

static int held_in_truth(const struct real *r, int64_t now)
{
    int sum = 0;
    for (int i = 0; i < NODES; i++) {
        if (r[i].id && now >= r[i].until)
            sum += r[i].cap > 0; /* it has shrunk to one by itself */
        else if (r[i].id)
            sum += r[i].cap;
    }
    return sum;
}

static void sum_never_exceeds_the_limit(void)
{
    struct rn_rng rng = rn_seed(11);
    struct real r[NODES] = {{0}};
    uint64_t next_id = 1, seq = 0;
    int64_t now = 0;
    fresh(0);
    for (int step = 0; step < 60000; step++) {
        now += (int64_t)rn_below(&rng, 20000);
        struct real *x = &r[rn_below(&rng, NODES)];
        uint64_t d = rn_below(&rng, 1000);
        if (d < 2) {
            x->until = now < x->until ? now : x->until;
            memset(x, 0, sizeof(*x)); /* dies: holds nothing any more */
            x->id = next_id++;
        } else if (d < 4) {
            sh_begin(&t, now + LEASE * 101 / 100); /* another leader */
            sh_set_instance(&t, "i", 25, 3);
            seq = 0;
            for (int i = 0; i < NODES; i++)
                r[i].applied = 0, r[i].n_mail = 0, r[i].told = false;
        } else if (d < 300 && x->n_mail) {
            x->cap = x->mail[0].cap; /* a message arrives, in order */
            x->applied = x->mail[0].seq;
            memmove(&x->mail[0], &x->mail[1], sizeof(x->mail[0]) * 3);
            x->n_mail--;
        } else if (d < 600 && x->n_mail < 4) {
            if (!x->id)
                x->id = next_id++;
            if (now >= x->until && x->cap > 1)
                x->cap = 1;
            x->until = now + LEASE;
            sh_report(&t, "i", x->id, x->cap, (int)rn_below(&rng, 30), x->applied,
                      now + LEASE * 101 / 100, now);
            sh_balance(&t, "i", now);
            if (!x->told || sh_has_unsent_target(&t, "i", x->id)) {
                int cap = sh_target_to_send(&t, "i", x->id, ++seq);
                x->mail[x->n_mail].cap = cap;
                x->mail[x->n_mail++].seq = seq;
                x->told = true;
            }
        }
        if (held_in_truth(r, now) > 22) {
            CU_FAIL("more connections may be held than the limit");
            return;
        }
    }
}

static void what_was_given_up_is_named_a_few_times_more(void)
{
    int left = 0, more = 0;
    CU_ASSERT_FALSE(sh_name_in_renewal(&left, 0, 0)); /* never held */
    CU_ASSERT_TRUE(sh_name_in_renewal(&left, 0, 1));
    CU_ASSERT_TRUE(sh_name_in_renewal(&left, 1, 0));
    while (more < 10 && sh_name_in_renewal(&left, 0, 0))
        more++;
    CU_ASSERT_EQUAL(more, 3);
    CU_ASSERT_FALSE(sh_name_in_renewal(&left, 0, 0));
    CU_ASSERT_TRUE(sh_name_in_renewal(&left, 1, 1));
}

void shares_suite(void)
{
    CU_pSuite s = CU_add_suite("shares", NULL, NULL);
    TEST(s, demand_is_followed);
    TEST(s, remainder_is_dealt_out);
    TEST(s, forgetting_can_be_sooner);
    TEST(s, dead_nodes_share_comes_back_late);
    TEST(s, new_leader_deals_nothing_new_at_first);
    TEST(s, given_up_share_is_free_at_once);
    TEST(s, only_changes_are_told);
    TEST(s, what_was_given_up_is_named_a_few_times_more);
    TEST(s, sum_never_exceeds_the_limit);
}
