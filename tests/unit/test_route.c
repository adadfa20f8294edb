#include <stdio.h>
#include <string.h>

#include "misc/clock.h"
#include "route/holders.h"
#include "route/route.h"
#include "tests/unit/unit.h"

/* Three instances: 0 the primary at position 100, 1 near and behind, 2 far and level. */
static struct rt_group three(void)
{
    static struct rt_group g;
    memset(&g, 0, sizeof(g));
    g.n = 3;
    g.primary = 0;
    g.n_starts = 1;
    g.starts[0] = (struct ps_start){1, 0};
    for (int i = 0; i < 3; i++)
        g.inst[i] = (struct rt_inst){.usable = true, .limit = 4, .lag_us = -1};
    g.inst[0].applied = g.inst[2].applied = (struct ps_pos){1, 100};
    g.inst[1].applied = (struct ps_pos){1, 90};
    g.inst[2].distance = 1;
    return g;
}

static struct rt_query token_at(uint64_t pos)
{
    return (struct rt_query){.has_token = true, .token = {1, pos}, .max_age_us = -1};
}

static void session_read_needs_the_position(void)
{
    struct rt_group g = three();
    struct rt_query q = token_at(90);
    CU_ASSERT_EQUAL(rt_choose_for_read(&g, &q, 0, 0).inst, 1); /* near and good enough */
    q = token_at(95);
    struct rt_choice c = rt_choose_for_read(&g, &q, 0, 0);
    CU_ASSERT_EQUAL(c.inst, 2);
    CU_ASSERT_EQUAL(c.min.pos, 95); /* the instance checks it again */
    q = token_at(101);
    CU_ASSERT_EQUAL(rt_choose_for_read(&g, &q, 0, 0).inst, 0);
}

static void without_token_or_age_the_primary(void)
{
    struct rt_group g = three();
    struct rt_query q = {.max_age_us = -1};
    struct rt_choice c = rt_choose_for_read(&g, &q, 0, 0);
    CU_ASSERT(c.primary && c.inst == 0);
    g.primary = -1;
    c = rt_choose_for_read(&g, &q, 0, 0);
    CU_ASSERT(c.inst == -1 && c.why == ER_NO_PRIMARY);
}

/* The age is counted from when the primary was asked, not from when it answered. */
static void age_is_conservative(void)
{
    struct rt_group g = three();
    struct ps_pos floor;
    CU_ASSERT_FALSE(rt_age_floor(&g, CK_MS(500), CK_SEC(10), &floor));
    rt_record_primary_pos(&g, CK_MS(9000), (struct ps_pos){1, 80});
    rt_record_primary_pos(&g, CK_MS(9600), (struct ps_pos){1, 95});
    rt_record_primary_pos(&g, CK_MS(9900), (struct ps_pos){1, 100});
    CU_ASSERT_TRUE(rt_age_floor(&g, CK_MS(500), CK_SEC(10), &floor));
    CU_ASSERT_EQUAL(floor.pos, 95);
    CU_ASSERT_TRUE(rt_age_floor(&g, CK_MS(1000), CK_SEC(10), &floor));
    CU_ASSERT_EQUAL(floor.pos, 80);
    CU_ASSERT_FALSE(rt_age_floor(&g, CK_MS(50), CK_SEC(10), &floor));
}

/* A read that accepts an age still sees the session's own writes. */
static void age_and_token_together(void)
{
    struct rt_group g = three();
    rt_record_primary_pos(&g, CK_MS(9900), (struct ps_pos){1, 85});
    struct rt_query q = token_at(95);
    q.max_age_us = CK_MS(500);
    struct rt_choice c = rt_choose_for_read(&g, &q, 0, CK_SEC(10));
    CU_ASSERT_EQUAL(c.inst, 2);
    CU_ASSERT_EQUAL(c.min.pos, 95);
}

static void primary_gone_ages_run_out(void)
{
    struct rt_group g = three();
    rt_record_primary_pos(&g, CK_MS(9900), (struct ps_pos){1, 90});
    g.primary = -1;
    g.inst[0].usable = false;
    struct rt_query q = {.max_age_us = CK_MS(500)};
    CU_ASSERT_EQUAL(rt_choose_for_read(&g, &q, 0, CK_SEC(10)).inst, 1);
    struct rt_choice c = rt_choose_for_read(&g, &q, 0, CK_SEC(11));
    CU_ASSERT_EQUAL(c.inst, -1);
}

static void draining_and_tried_are_passed_over(void)
{
    struct rt_group g = three();
    struct rt_query q = token_at(80);
    g.inst[1].draining = true;
    CU_ASSERT_EQUAL(rt_choose_for_read(&g, &q, 0, 0).inst, 2);
    CU_ASSERT_EQUAL(rt_choose_for_read(&g, &q, 1u << 2, 0).inst, 0);
}

static void full_near_replica_yields(void)
{
    struct rt_group g = three();
    struct rt_query q = token_at(80);
    g.inst[1].in_flight = 4;
    CU_ASSERT_EQUAL(rt_choose_for_read(&g, &q, 0, 0).inst, 2);
}

/* A nearly caught-up replica is waited for within the bound; a slow one is not. */
static void bounded_wait(void)
{
    struct rt_group g = three();
    struct rt_query q = token_at(101);
    q.max_wait_us = CK_MS(10);
    g.inst[2].lag_us = CK_MS(4);
    struct rt_choice c = rt_choose_for_read(&g, &q, 0, 0);
    CU_ASSERT(c.inst == 2 && c.wait_us == CK_MS(10));
    g.inst[2].lag_us = CK_MS(40);
    CU_ASSERT_EQUAL(rt_choose_for_read(&g, &q, 0, 0).inst, 0);
}

/* Near ones first: this domain, this region, then the rest. */
static void region_comes_before_the_rest(void)
{
    static const struct {
        const char *a, *b;
        int distance;
    } rows[] = {{"west/a", "west/a", 0}, {"west/a", "west/b", 1}, {"west/a", "east/a", 2},
                {"a", "a", 0},           {"a", "b", 1},           {"a", "west/a", 2},
                {"west/a", "wes/a", 2}};
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
        CU_ASSERT_EQUAL(rt_distance(rows[i].a, rows[i].b), rows[i].distance);
    struct rt_group g = three();
    struct rt_query q = token_at(90);
    g.inst[1].distance = 2;
    CU_ASSERT_EQUAL(rt_choose_for_read(&g, &q, 0, 0).inst, 2);
}

/* ---- holders ---- */

enum { NODES = 40, GROUPS = 200, HOLD = 6 };

static int make_nodes(struct ho_node *x)
{
    for (int i = 0; i < NODES; i++) {
        snprintf(x[i].name, sizeof(x[i].name), "e%d", i);
        snprintf(x[i].domain, sizeof(x[i].domain), "d%d", i % 3);
    }
    ho_prepare(x, NODES);
    return NODES;
}

static void holders_are_spread(void)
{
    static struct ho_node x[NODES];
    int n = make_nodes(x), load[NODES] = {0}, most = 0;
    for (int g = 0; g < GROUPS; g++) {
        char name[16];
        int out[HO_MAX_HOLDERS], in[3] = {0};
        snprintf(name, sizeof(name), "db%d", g);
        CU_ASSERT_EQUAL(ho_pick(x, n, name, HOLD, out), HOLD);
        for (int i = 0; i < HOLD; i++) {
            in[out[i] % 3]++;
            load[out[i]]++;
        }
        CU_ASSERT(in[0] == 2 && in[1] == 2 && in[2] == 2); /* evenly over domains */
    }
    for (int i = 0; i < n; i++)
        most = load[i] > most ? load[i] : most;
    CU_ASSERT(most < 2 * GROUPS * HOLD / NODES); /* nobody twice the average */
}

/* One node of forty leaves: only what it held moves. */
static void a_node_moves_only_its_own(void)
{
    static struct ho_node x[NODES];
    int n = make_nodes(x), moved = 0;
    for (int g = 0; g < GROUPS; g++) {
        char name[16];
        snprintf(name, sizeof(name), "db%d", g);
        bool had = ho_is_holder(x, n, name, HOLD, x[n - 1].name);
        for (int i = 0; i < n - 1; i++) {
            bool before = ho_is_holder(x, n, name, HOLD, x[i].name);
            bool after = ho_is_holder(x, n - 1, name, HOLD, x[i].name);
            moved += before != after;
            CU_ASSERT(had || before == after || i % 3 == (n - 1) % 3);
        }
    }
    CU_ASSERT(moved <= GROUPS * HOLD / NODES * 2);
    CU_ASSERT_TRUE(ho_is_holder(x, 3, "g", 5, "anybody")); /* fewer nodes than holders: all */
    CU_ASSERT_TRUE(ho_is_holder(x, n, "g", 0, "anybody"));
}

void route_suite(void)
{
    CU_pSuite s = CU_add_suite("route", NULL, NULL);
    TEST(s, session_read_needs_the_position);
    TEST(s, without_token_or_age_the_primary);
    TEST(s, age_is_conservative);
    TEST(s, age_and_token_together);
    TEST(s, primary_gone_ages_run_out);
    TEST(s, draining_and_tried_are_passed_over);
    TEST(s, full_near_replica_yields);
    TEST(s, bounded_wait);
    TEST(s, region_comes_before_the_rest);
    TEST(s, holders_are_spread);
    TEST(s, a_node_moves_only_its_own);
}
