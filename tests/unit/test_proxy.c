/* The session proxy's pure parts: a session's state on shared connections, and which instance
 * serves a read. */
#include <string.h>

#include "misc/clock.h"
#include "proxy/outlier.h"
#include "proxy/read_choice.h"
#include "proxy/handover.h"
#include "proxy/state.h"
#include "proxy/window.h"
#include "tests/unit/unit.h"

/* ---- placing reads ---- */

static struct px_candidate at(bool primary, int waiting)
{
    return (struct px_candidate){.usable = true,
                                 .primary = primary,
                                 .has_conn = true,
                                 .outstanding = waiting,
                                 .service_us = 20000};
}

static void reads_go_where_they_are_served_soonest(void)
{
    struct rn_rng rng = rn_seed(1);
    struct ps_pos none = {0};
    struct px_candidate c[3] = {at(true, 0), at(false, 0), at(false, 3)};
    CU_ASSERT_EQUAL(px_choose_instance(c, 3, false, none, 0, &rng), 1);
    c[1].outstanding = 8;
    CU_ASSERT_EQUAL(px_choose_instance(c, 3, false, none, 0, &rng),
                    0); /* the primary serves reads too */
    c[0].usable = c[1].usable = c[2].usable = false;
    CU_ASSERT_EQUAL(px_choose_instance(c, 3, false, none, 0, &rng), -1);
}

/* The near one is asked while it is about as fast, whatever statements take; not where it is
 * busy, or fails. */
static void near_instances_are_asked_for_their_bytes_only(void)
{
    static const int64_t takes[] = {200, 800, 5000, 20000, 80000};
    struct ps_pos none = {0};
    for (int i = 0; i < 5; i++) {
        struct rn_rng rng = rn_seed(2);
        struct px_candidate c[2] = {at(false, 0), at(false, 0)};
        c[0].service_us = c[1].service_us = takes[i];
        c[1].distance = 1;
        for (int k = 0; k < 50; k++)
            CU_ASSERT_EQUAL(px_choose_instance(c, 2, false, none, 0, &rng), 0);
        c[0].fail_rate = 0.5;
        for (int k = 0; k < 50; k++)
            CU_ASSERT_EQUAL(px_choose_instance(c, 2, false, none, 0, &rng), 1);
        c[0].fail_rate = 0;
        c[0].outstanding = takes[i] < 800 ? 12 : 4; /* a trip takes time, too */
        for (int k = 0; k < 50; k++)
            CU_ASSERT_EQUAL(px_choose_instance(c, 2, false, none, 0, &rng), 1);
    }
}

/* A replica that refused a position is not asked for it again at once; when it is heard to have
 * it, or after a while, it is. */
static void lagging_replicas_are_left_alone(void)
{
    struct rn_rng rng = rn_seed(1);
    struct ps_pos floor = {3, 100};
    struct px_candidate c[2] = {at(true, 5), at(false, 0)};
    c[1].known_pos = (struct ps_pos){3, 99};
    c[1].behind_until = 1000;
    CU_ASSERT_EQUAL(px_choose_instance(c, 2, true, floor, 999, &rng), 0);
    CU_ASSERT_EQUAL(px_choose_instance(c, 2, true, floor, 1000, &rng), 1);
    c[1].known_pos.pos = 100;
    CU_ASSERT_EQUAL(px_choose_instance(c, 2, true, floor, 999, &rng), 1);
    c[1].known_pos.pos = 99;
    floor.pos = 99;
    CU_ASSERT_EQUAL(px_choose_instance(c, 2, true, floor, 999, &rng), 1);
    floor.pos = 100;
    c[0].usable = false; /* nobody else: it waits rather than asks in vain */
    CU_ASSERT_EQUAL(px_choose_instance(c, 2, true, floor, 999, &rng), -1);
}

/* ---- instances that fail ---- */

static void failing_instances_are_told_from_unlucky_ones(void)
{
    struct px_outlier o = {0};
    int64_t now = 1000000;
    for (int i = 0; i < 400; i++) /* one lost answer in forty */
        px_outlier_record(&o, i % 40 != 0, now += 10000);
    CU_ASSERT_FALSE(px_outlier_failing(&o, now));
    for (int i = 0; i < 3; i++)
        px_outlier_record(&o, false, now);
    CU_ASSERT_FALSE(px_outlier_failing(&o, now)); /* three of many */
    for (int i = 0; i < 10000; i++)
        px_outlier_record(&o, true, now);
    for (int i = 0; i < 40; i++) /* a busy past excuses nothing */
        px_outlier_record(&o, i % 2 == 0, now);
    CU_ASSERT_TRUE(px_outlier_failing(&o, now));
    o = (struct px_outlier){0};
    px_outlier_record(&o, false, now);
    CU_ASSERT_FALSE(px_outlier_failing(&o, now) || px_outlier_sound(&o, now)); /* too few */
    for (int i = 0; i < 20; i++)                                               /* two in five */
        px_outlier_record(&o, i % 5 > 1, now += 100000);
    CU_ASSERT_TRUE(px_outlier_failing(&o, now));
    now += 10000000; /* asked no more, it is trusted again */
    CU_ASSERT_FALSE(px_outlier_failing(&o, now) || px_outlier_sound(&o, now));
    for (int i = 0; i < 3; i++)
        px_outlier_record(&o, true, now);
    CU_ASSERT_TRUE(px_outlier_sound(&o, now));
}

static void reads_avoid_failing_instances(void)
{
    struct rn_rng rng = rn_seed(1);
    struct ps_pos none = {0};
    struct px_candidate c[3] = {at(true, 9), at(false, 0), at(false, 2)};
    c[1].fail_rate = 0.5;
    CU_ASSERT_EQUAL(px_choose_instance(c, 3, false, none, 0, &rng), 2);
    c[2].outstanding = 9; /* so full that a failure costs less */
    CU_ASSERT_EQUAL(px_choose_instance(c, 3, false, none, 0, &rng), 1);
    c[0].usable = c[1].usable = false;
    c[2].fail_rate = 1; /* nobody else */
    CU_ASSERT_EQUAL(px_choose_instance(c, 3, false, none, 0, &rng), 2);
}

/* ---- a primary that serves alone ---- */

static void a_lone_primary_is_relieved(void)
{
    struct px_handover r = {0};
    int64_t now = CK_SEC(100);
    struct px_handover_view v = {.replicas = 2, .behind = 2, .term_began_at = CK_SEC(1)};
    CU_ASSERT_FALSE(px_handover_due(&r, &v, now)); /* nobody is refused */
    for (int i = 0; i < 5; i++) {
        v.wait_failed_at = now += 100000;
        CU_ASSERT_FALSE(px_handover_due(&r, &v, now)); /* not long enough */
    }
    v.wait_failed_at = now += 100000;
    CU_ASSERT_TRUE(px_handover_due(&r, &v, now));
    v.term_began_at = now - CK_SEC(3);
    CU_ASSERT_FALSE(px_handover_due(&r, &v, now)); /* it leads for a short time only */
    v.term_began_at = CK_SEC(1);
    v.behind = 1;
    CU_ASSERT_FALSE(px_handover_due(&r, &v, now)); /* one replica serves */
    v.behind = 2;
    CU_ASSERT_FALSE(px_handover_due(&r, &v, now)); /* and it begins anew */
    v.replicas = v.behind = 0;
    CU_ASSERT_FALSE(px_handover_due(&r, &v, now + CK_SEC(9))); /* nobody could take over */
}

/* Load: both replicas of a group are far behind, its primary alone serves what 16 nodes bring
 * and refuses 20 statements a second of theirs. Each node notes its own refusals only; asked
 * together, as the leader asks them every 0.1 s, they have to agree soon that it is too much.
 */
static void nodes_that_share_the_refusals_agree(void)
{
    enum { NODES_HERE = 16, REFUSED_A_SECOND = 20, ROUNDS_A_SECOND = 10, WITHIN_ROUNDS = 20 };
    struct px_handover r[NODES_HERE] = {{0}};
    int64_t refused_at[NODES_HERE] = {0}, now = CK_SEC(100);
    struct rn_rng rng = rn_seed(5);
    int agreed = 0;
    for (int round = 1; !agreed && round <= WITHIN_ROUNDS; round++) {
        int unfit = 0, up = 1; /* the leader reaches it */
        now += CK_SEC(1) / ROUNDS_A_SECOND;
        for (int k = 0; k < REFUSED_A_SECOND / ROUNDS_A_SECOND; k++)
            refused_at[rn_below(&rng, NODES_HERE)] = now;
        for (int i = 0; i < NODES_HERE; i++) {
            struct px_handover_view v = {2, 2, refused_at[i], CK_SEC(1)};
            bool due = px_handover_due(&r[i], &v, now);
            unfit += due;
            up += !due && !px_primary_serves_alone(&v);
        }
        agreed = unfit > up ? round : 0;
    }
    CU_ASSERT(agreed > 0);
    struct px_handover_view one_serves = {2, 1, now, CK_SEC(1)};
    CU_ASSERT_FALSE(
        px_primary_serves_alone(&one_serves)); /* that node says that the primary is well */
}

/* ---- a session's state ---- */

/* What a connection is asked, one after the other, before the session's statement. */
static int setup(const struct px_state *s, struct px_applied *a, const struct px_prepared *run,
                 enum px_verb verbs[8])
{
    char name[PX_STMT_NAME];
    struct px_stmt st;
    int n = 0;
    while (n < 8 && px_next_setup(s, a, run, name, &st)) {
        verbs[n++] = st.verb;
        px_setup_done(s, a, &st);
    }
    return n;
}

static void values_follow_the_session(void)
{
    struct px_state one = {.session = 1}, two = {.session = 2};
    struct px_applied conn = {0};
    struct er_err err = {0};
    enum px_verb v[8];
    CU_ASSERT_TRUE(px_set_value(&one, SR_LIT("a"), SR_LIT("1"), &err));
    CU_ASSERT_TRUE(px_set_value(&one, SR_LIT("b"), SR_LIT("2"), &err));
    CU_ASSERT_EQUAL(setup(&one, &conn, NULL, v), 2);
    CU_ASSERT_EQUAL(setup(&one, &conn, NULL, v), 0);
    CU_ASSERT_TRUE(px_set_value(&one, SR_LIT("a"), SR_LIT("3"), &err));
    CU_ASSERT_EQUAL(setup(&one, &conn, NULL, v), 1); /* only what changed */
    CU_ASSERT_EQUAL(setup(&two, &conn, NULL, v), 1);
    CU_ASSERT_EQUAL(v[0], PX_V_DISCARD); /* nothing of another session's stays */
    CU_ASSERT_EQUAL(setup(&two, &conn, NULL, v), 0);
    CU_ASSERT_EQUAL(setup(&one, &conn, NULL, v), 2);
    px_state_free(&one);
    px_state_free(&two);
    px_applied_free(&conn);
}

static void prepared_statements_go_by_their_content(void)
{
    struct px_state one = {.session = 1}, two = {.session = 2};
    struct px_applied conn = {0};
    struct er_err err = {0};
    enum px_verb v[8];
    CU_ASSERT_TRUE(px_prepare(&one, SR_LIT("s"), true, SR_LIT("q1"), &err));
    CU_ASSERT_TRUE(px_prepare(&two, SR_LIT("s"), true, SR_LIT("q2"), &err));
    CU_ASSERT_TRUE(px_prepare(&two, SR_LIT("t"), true, SR_LIT("q1"), &err));
    const struct px_prepared *p1 = px_find_prepared(&one, SR_LIT("s"));
    const struct px_prepared *p2 = px_find_prepared(&two, SR_LIT("s"));
    CU_ASSERT_EQUAL(setup(&one, &conn, p1, v), 1);
    CU_ASSERT_EQUAL(setup(&two, &conn, p2, v), 1);
    CU_ASSERT_STRING_NOT_EQUAL(px_prepared_name_on(&conn, p1), px_prepared_name_on(&conn, p2));
    CU_ASSERT_EQUAL(setup(&two, &conn, px_find_prepared(&two, SR_LIT("t")), v), 0);
    /* The same name, another shape: the old one is not run. */
    CU_ASSERT_TRUE(px_prepare(&one, SR_LIT("s"), false, SR_LIT("q1"), &err));
    CU_ASSERT_EQUAL(setup(&one, &conn, px_find_prepared(&one, SR_LIT("s")), v), 1);
    CU_ASSERT_TRUE(px_deallocate(&one, SR_LIT("s"), &err));
    CU_ASSERT_FALSE(px_deallocate(&one, SR_LIT("s"), &err));
    CU_ASSERT_EQUAL(err.kind, ER_NO_STATEMENT);
    px_state_free(&one);
    px_state_free(&two);
    px_applied_free(&conn);
}

static void a_connection_keeps_a_bounded_number(void)
{
    struct px_state s = {.session = 1};
    struct px_applied conn = {0};
    struct er_err err = {0};
    enum px_verb v[8];
    char shape[16];
    for (int i = 0; i <= PX_MAX_PREPARED_ON_CONN; i++) {
        snprintf(shape, sizeof(shape), "q%d", i);
        CU_ASSERT_TRUE(px_prepare(&s, SR_LIT("s"), false, sr_from(shape), &err));
        int n = setup(&s, &conn, px_find_prepared(&s, SR_LIT("s")), v);
        CU_ASSERT_EQUAL(n, i < PX_MAX_PREPARED_ON_CONN ? 1 : 2);
    }
    CU_ASSERT_EQUAL(v[0], PX_V_DISCARD);
    for (int i = 0; i < PX_MAX_VALUES; i++) {
        snprintf(shape, sizeof(shape), "v%d", i);
        CU_ASSERT_TRUE(px_set_value(&s, sr_from(shape), SR_LIT("x"), &err));
    }
    CU_ASSERT_FALSE(px_set_value(&s, SR_LIT("more"), SR_LIT("x"), &err));
    CU_ASSERT_EQUAL(err.kind, ER_TOO_LARGE);
    px_state_free(&s);
    px_applied_free(&conn);
}

/* ---- how many at a time ---- */

static void window_follows_the_instance(void)
{
    struct px_window w;
    int64_t now = 1000000;
    px_window_init(&w);
    for (int i = 0; i < 400; i++) /* calm: it widens while it is used, and only then */
        px_window_answered(&w, 15000, 63, now += 5000);
    CU_ASSERT_TRUE(w.size > 16);
    double wide = w.size;
    for (int i = 0; i < 400; i++)
        px_window_answered(&w, 15000, 1, now += 5000);
    CU_ASSERT_EQUAL(w.size, wide);
    px_window_queue_full(&w, now);
    double once = w.size;
    CU_ASSERT_TRUE(once < wide);
    px_window_queue_full(&w, now + 1); /* once a round trip */
    CU_ASSERT_EQUAL(w.size, once);
    for (int i = 0; i < 100; i++)
        px_window_queue_full(&w, now += 100000);
    CU_ASSERT_TRUE(w.size > 0 && w.size < 1);
    px_window_answered(&w, 15000, 0, now); /* one, then a pause */
    CU_ASSERT_FALSE(px_window_open(&w, 0, now) || px_window_open(&w, 1, now + 1000000));
    CU_ASSERT_TRUE(px_window_open(&w, 0, now + 1000000));
    px_window_init(&w);
    for (int i = 0; i < 400; i++)
        px_window_answered(&w, 15000, 63, now += 5000);
    CU_ASSERT_TRUE(w.size > 8);
    for (int i = 0; i < 400; i++) /* slow by queueing */
        px_window_answered(&w, 90000, 63, now += 90000);
    CU_ASSERT_TRUE(w.size < 4);
}

/* Load: all VMs come back at once, and sixteen nodes that know nothing of one another begin at
 * the same moment at an instance that runs three statements and queues 24. What all of them
 * send before the first answer fits; then each widens its window within a few answers. */
static void nodes_that_begin_together_fit_the_queue(void)
{
    enum { TOGETHER = 16, SLOTS = 3, QUEUE = 24, ANSWERS = 8 };
    struct px_window w[TOGETHER];
    int64_t now = 1000000;
    int sent = 0;
    for (int i = 0; i < TOGETHER; i++) {
        px_window_init(&w[i]);
        for (int running = 0; px_window_open(&w[i], running, now); running++)
            sent++;
    }
    CU_ASSERT(sent >= SLOTS && sent <= SLOTS + QUEUE);
    for (int i = 0; i < ANSWERS; i++)
        px_window_answered(&w[0], 15000, (int)w[0].size - 1, now += 15000);
    CU_ASSERT_TRUE(px_window_open(&w[0], 2, now));
}

void proxy_suite(void)
{
    CU_pSuite s = CU_add_suite("proxy", NULL, NULL);
    TEST(s, reads_go_where_they_are_served_soonest);
    TEST(s, near_instances_are_asked_for_their_bytes_only);
    TEST(s, lagging_replicas_are_left_alone);
    TEST(s, failing_instances_are_told_from_unlucky_ones);
    TEST(s, reads_avoid_failing_instances);
    TEST(s, a_lone_primary_is_relieved);
    TEST(s, nodes_that_share_the_refusals_agree);
    TEST(s, window_follows_the_instance);
    TEST(s, nodes_that_begin_together_fit_the_queue);
    TEST(s, values_follow_the_session);
    TEST(s, prepared_statements_go_by_their_content);
    TEST(s, a_connection_keeps_a_bounded_number);
}
