/* Changes of primary that somebody else carries out: what is done when, and what never is. */
#include <string.h>

#include "misc/clock.h"
#include "takeover/takeover.h"
#include "tests/unit/unit.h"

static struct vw_group g;
static struct tk_group t;
static struct tk_actions out;
static int64_t now;

static void tick(bool dropped)
{
    now += CK_MS(10);
    tk_tick(&t, &g, dropped, now, &out);
}

static const struct tk_action *done(enum tk_action_kind kind)
{
    for (int i = 0; i < out.n; i++) {
        if (out.a[i].kind == kind)
            return &out.a[i];
    }
    return NULL;
}

/* `a` leads term 1; b and c are replicas; all are up, b received most. */
static void fresh(void)
{
    static const struct tk_config cfg = {.check_us = CK_MS(100),
                                         .answer_us = CK_MS(1000),
                                         .lead_us = CK_MS(3000),
                                         .settle_us = CK_MS(500),
                                         .recheck_us = CK_MS(200)};
    static const char *const ids[] = {"a", "b", "c"};
    now = CK_SEC(10);
    g = (struct vw_group){.phase = VW_SERVING, .term = 1, .n = 3, .target = -1};
    for (int i = 0; i < 3; i++)
        strcpy(g.inst[i].id, ids[i]);
    tk_begin(&t, &cfg, now);
    tick(false);
    for (int i = 0; i < 3; i++) {
        tk_set_health(&t, ids[i], TK_UP);
        tk_set_status(&t, ids[i], i == 0, (struct ps_pos){1, i == 1 ? 100 : 90}, now);
    }
    tk_set_status(&t, "a", true, (struct ps_pos){1, 100}, now);
}

/* What the view says once the proposal is committed. */
static void commit(const struct tk_action *a)
{
    if (a->kind == TK_DO_PRIMARY) {
        g.phase = VW_SERVING;
        g.primary = a->inst;
    } else {
        g.phase = a->kind == TK_DO_HAND ? VW_HANDING : VW_REPLACING;
        g.target = a->inst;
    }
    g.term = a->term;
}

static void say(const char *id, bool primary, uint64_t pos)
{
    tk_set_status(&t, id, primary, (struct ps_pos){1, pos}, now);
}

/* The primary refuses, entry nodes agree: until the call is out. */
static void until_called(void)
{
    fresh();
    tk_set_health(&t, "a", TK_REFUSED);
    tick(false);
    CU_ASSERT_PTR_NOT_NULL(done(TK_DO_CHECK));
    tk_checks_sent(&t, 2);
    tk_check_reply(&t, t.nonce, TK_REFUSED);
    tk_check_reply(&t, t.nonce, TK_UNKNOWN);
    tick(false);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_REPLACE));
    commit(done(TK_DO_REPLACE));
    tick(false);
    tick(false);
    CU_ASSERT_PTR_NULL(done(TK_DO_CALL)); /* somebody may still act on the old term */
    tick(true);
    say("b", false, 100);
    say("c", false, 95);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_CALL));
}

static void dead_primary_is_replaced_by_the_best(void)
{
    until_called();
    CU_ASSERT_EQUAL(done(TK_DO_CALL)->inst, 1);
    CU_ASSERT_EQUAL(done(TK_DO_CALL)->term, 2);
    tk_call_result(&t, 2, TK_DONE, now);
    tick(true);
    CU_ASSERT_PTR_NULL(done(TK_DO_PRIMARY)); /* it does not lead yet */
    say("b", true, 100);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_PRIMARY));
    CU_ASSERT_EQUAL(done(TK_DO_PRIMARY)->inst, 1);
    commit(done(TK_DO_PRIMARY));
    tick(true);
    CU_ASSERT_EQUAL(t.step, TK_IDLE);
}

/* A primary that more entry nodes reach than not is left alone, whatever this leader sees. */
static void reachable_primary_stays(void)
{
    fresh();
    tk_set_health(&t, "a", TK_SILENT);
    tick(false);
    tk_checks_sent(&t, 3);
    tk_check_reply(&t, t.nonce, TK_UP);
    tk_check_reply(&t, t.nonce, TK_UP);
    tk_check_reply(&t, t.nonce, TK_SILENT);
    tick(false);
    CU_ASSERT_PTR_NULL(done(TK_DO_REPLACE));
    CU_ASSERT_EQUAL(t.step, TK_IDLE);
    tick(false);
    CU_ASSERT_PTR_NULL(done(TK_DO_CHECK)); /* not asked again at once */
    now += CK_MS(200);
    tick(false);
    CU_ASSERT_PTR_NOT_NULL(done(TK_DO_CHECK));
}

/* Most entry nodes are cut off from a primary that is there: it hands over, so that nothing
 * that was acknowledged is lost, and not to itself. */
static void unreachable_primary_hands_over(void)
{
    fresh();
    tk_suspected(&t, "a");
    tick(false);
    CU_ASSERT_PTR_NOT_NULL(done(TK_DO_CHECK));
    tk_checks_sent(&t, 3);
    for (int i = 0; i < 3; i++)
        tk_check_reply(&t, t.nonce, TK_SILENT);
    tick(false);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_HAND));
    CU_ASSERT_EQUAL(done(TK_DO_HAND)->inst, 1);
    commit(done(TK_DO_HAND));
    tick(false);
    tick(true);
    say("a", true, 105);
    say("b", false, 105);
    say("c", false, 105);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_CALL));
    CU_ASSERT_NOT_EQUAL(done(TK_DO_CALL)->inst, 0);
}

/* A call without an answer may be carried out later. The next has a higher token; and while a
 * call for b may be out, c is not taken for the primary before its own call was answered. */
static void unanswered_calls_are_fenced(void)
{
    until_called();
    now += CK_MS(1100);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_REPLACE));
    CU_ASSERT_EQUAL(done(TK_DO_REPLACE)->term, 3);
    tk_set_health(&t, "b", TK_REFUSED);
    commit(done(TK_DO_REPLACE));
    tick(true);
    tick(true);
    say("c", false, 95);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_CALL));
    CU_ASSERT_EQUAL(done(TK_DO_CALL)->inst, 2);
    CU_ASSERT_EQUAL(done(TK_DO_CALL)->term, 3);
    tick(true);
    say("c", true, 95);
    tick(true);
    CU_ASSERT_PTR_NULL(done(TK_DO_PRIMARY));
    tk_call_result(&t, 2, TK_DONE, now); /* the late one's answer says nothing of this one */
    tick(true);
    CU_ASSERT_PTR_NULL(done(TK_DO_PRIMARY));
    tk_call_result(&t, 3, TK_DONE, now);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL(done(TK_DO_PRIMARY));
}

/* A new leader does not know what its predecessor called for: it begins a term of its own. */
static void new_leader_takes_a_new_token(void)
{
    fresh();
    g.phase = VW_REPLACING;
    g.term = 5;
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_REPLACE));
    CU_ASSERT_EQUAL(done(TK_DO_REPLACE)->term, 6);
    CU_ASSERT_PTR_NULL(done(TK_DO_CALL));
}

static void refused_call_goes_elsewhere(void)
{
    until_called();
    tk_call_result(&t, 2, TK_REFUSED_CALL, now);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_REPLACE));
    commit(done(TK_DO_REPLACE));
    tick(true);
    tick(true);
    say("b", false, 100);
    say("c", false, 95);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_CALL));
    CU_ASSERT_EQUAL(done(TK_DO_CALL)->inst, 2);
}

/* A draining primary hands over once the successor has received all of it. */
static void draining_primary_hands_over(void)
{
    fresh();
    g.inst[0].draining = true;
    tick(false);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_HAND));
    CU_ASSERT_EQUAL(done(TK_DO_HAND)->inst, 1);
    commit(done(TK_DO_HAND));
    tick(false);
    tick(true);
    say("a", true, 105);
    say("b", false, 104);
    say("c", false, 90);
    tick(true);
    CU_ASSERT_PTR_NULL(done(TK_DO_CALL));
    say("b", false, 105);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_CALL));
    CU_ASSERT_EQUAL(done(TK_DO_CALL)->inst, 1);
}

static void ask_of_unfit(int unfit, int up)
{
    tk_suspected(&t, "a");
    tick(false);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_CHECK));
    tk_checks_sent(&t, unfit + up);
    for (int i = 0; i < unfit; i++)
        tk_check_reply(&t, t.nonce, TK_UNFIT);
    for (int i = 0; i < up; i++)
        tk_check_reply(&t, t.nonce, TK_UP);
    tick(false);
}

/* A primary that is there and that most nodes want relieved hands over all that it has; without
 * a majority, or if this leader does not reach it, it stays. */
static void unfit_primary_hands_over(void)
{
    fresh();
    ask_of_unfit(3, 1);
    CU_ASSERT_PTR_NOT_NULL(done(TK_DO_HAND));
    fresh();
    ask_of_unfit(2, 1); /* this leader is the second that finds it up */
    CU_ASSERT_PTR_NULL(done(TK_DO_HAND));
    fresh();
    tk_set_health(&t, "a", TK_UNKNOWN);
    ask_of_unfit(3, 0);
    CU_ASSERT_TRUE(!done(TK_DO_HAND) && !done(TK_DO_REPLACE));
}

/* A late order made another instance the primary: what the view says is not true any more. */
static void demoted_primary_is_noticed(void)
{
    fresh();
    now += CK_MS(500);
    say("a", false, 100);
    tick(false);
    CU_ASSERT_PTR_NOT_NULL(done(TK_DO_REPLACE));
}

static void nobody_left_waits(void)
{
    fresh();
    tk_set_health(&t, "b", TK_REFUSED);
    tk_set_health(&t, "c", TK_SILENT);
    tk_set_health(&t, "a", TK_REFUSED);
    tick(false);
    CU_ASSERT_EQUAL(out.n, 0);
    /* The named instance leaves while its call is out. */
    until_called();
    g.n = 1;
    tick(true);
    CU_ASSERT_PTR_NULL(done(TK_DO_PRIMARY));
}

void takeover_suite(void)
{
    CU_pSuite s = CU_add_suite("takeover", NULL, NULL);
    TEST(s, dead_primary_is_replaced_by_the_best);
    TEST(s, reachable_primary_stays);
    TEST(s, unreachable_primary_hands_over);
    TEST(s, unanswered_calls_are_fenced);
    TEST(s, new_leader_takes_a_new_token);
    TEST(s, refused_call_goes_elsewhere);
    TEST(s, draining_primary_hands_over);
    TEST(s, unfit_primary_hands_over);
    TEST(s, demoted_primary_is_noticed);
    TEST(s, nobody_left_waits);
}
