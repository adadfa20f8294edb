/* Changes of primary that somebody else carries out: what is done when, and what never is. */
#include <string.h>

#include "misc/clock.h"
#include "takeover/takeover.h"
#include "tests/unit/unit.h"

static struct vw_group g;
static struct tk_group t;
static struct tk_actions out;
static int64_t now;
static int copies; /* replicas that must have received an acknowledged commit */

static void tick(bool dropped)
{
    now += CK_MS(10);
    tk_tick(&t, &g, copies, dropped, now, &out);
}

static void health(const char *id, enum tk_health h)
{
    tk_set_health(&t, id, h, now);
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
                                         .call_timeout_us = CK_MS(1000),
                                         .lead_timeout_us = CK_MS(3000),
                                         .catch_up_timeout_us = CK_MS(500),
                                         .recheck_delay_us = CK_MS(200)};
    static const char *const ids[] = {"a", "b", "c"};
    now = CK_SEC(10);
    g = (struct vw_group){.phase = VW_SERVING, .term = 1, .n = 3, .target = -1};
    for (int i = 0; i < 3; i++)
        strcpy(g.inst[i].id, ids[i]);
    tk_begin(&t, &cfg, now);
    tick(false);
    for (int i = 0; i < 3; i++) {
        health(ids[i], TK_UP);
        tk_set_status(&t, ids[i], i == 0, (struct ps_pos){1, i == 1 ? 100 : 90}, now, now);
    }
    tk_set_status(&t, "a", true, (struct ps_pos){1, 100}, now, now);
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
    tk_set_status(&t, id, primary, (struct ps_pos){1, pos}, now, now);
}

/* The primary refuses, entry nodes agree: until the call is out. */
static void until_called(void)
{
    fresh();
    health("a", TK_REFUSED);
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
    health("a", TK_SILENT);
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
    health("b", TK_REFUSED);
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
    health("a", TK_UNKNOWN);
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
    health("b", TK_REFUSED);
    health("c", TK_SILENT);
    health("a", TK_REFUSED);
    tick(false);
    CU_ASSERT_EQUAL(out.n, 0);
    /* The named instance leaves while its call is out. */
    until_called();
    g.n = 1;
    tick(true);
    CU_ASSERT_PTR_NULL(done(TK_DO_PRIMARY));
}

/* ---- commits that are acknowledged once a replica has received them ---- */

/* The primary is gone, and entry nodes have dropped its term: until statuses are awaited. */
static void until_choosing(int n_copies)
{
    copies = n_copies;
    fresh();
    health("a", TK_REFUSED);
    tick(false);
    tk_checks_sent(&t, 1);
    tk_check_reply(&t, t.nonce, TK_REFUSED);
    tick(false);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_REPLACE));
    commit(done(TK_DO_REPLACE));
    tick(true);
    tick(true);
    CU_ASSERT_EQUAL(t.step, TK_CHOOSING);
}

/* The instance that is called for within `ms`; -1: none. */
static int called_within(int ms)
{
    for (int k = 0; k < ms / 10; k++) {
        tick(true);
        if (done(TK_DO_CALL))
            return done(TK_DO_CALL)->inst;
    }
    return -1;
}

/* LOST: the replica that answers may lack what the other one has received. */
static void replica_without_the_other_waits(void)
{
    until_choosing(1);
    health("b", TK_SILENT);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(5000), -1);
    CU_ASSERT_TRUE(t.waits_for_copies);
    health("b", TK_UP);
    CU_ASSERT_EQUAL(called_within(100), -1); /* its status is of before */
    say("b", false, 100);
    CU_ASSERT_EQUAL(called_within(100), 1);
    CU_ASSERT_FALSE(t.waits_for_copies);

    copies = 0; /* nothing was promised, so nothing is waited for */
    until_choosing(0);
    health("b", TK_SILENT);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(100), 2);

    until_choosing(2); /* both have what was acknowledged */
    health("b", TK_SILENT);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(100), 2);
}

static void both_replicas_known_waits_for_nothing(void)
{
    until_choosing(1);
    say("b", false, 100);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(20), 1);
}

/* The status was requested before the term was dropped: commits may have been acknowledged
 * after it. */
static void early_status_does_not_count(void)
{
    until_choosing(1);
    int64_t before = t.step_at - 1;
    tk_set_status(&t, "b", false, (struct ps_pos){1, 100}, now, now);
    tk_set_status(&t, "c", false, (struct ps_pos){1, 100}, before, now);
    CU_ASSERT_EQUAL(called_within(1000), -1);
    say("c", false, 105);
    CU_ASSERT_EQUAL(called_within(100), 2);
}

/* The primary comes back with its log before anybody was called. */
static void returned_primary_leads_again(void)
{
    until_choosing(1);
    health("b", TK_SILENT);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(1000), -1);
    health("a", TK_UP);
    say("a", true, 120);
    CU_ASSERT_EQUAL(called_within(100), 0);
}

/* LOST: a draining replica was passed over though it alone had the commits. */
static void draining_replica_is_the_last_resort(void)
{
    until_choosing(1);
    g.inst[1].draining = true;
    say("b", false, 100);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(1000), 1);
    until_choosing(1);
    g.inst[1].draining = true;
    say("b", false, 100);
    say("c", false, 100);
    CU_ASSERT_EQUAL(called_within(100), 2);
    until_choosing(0);
    g.inst[1].draining = true;
    say("b", false, 100);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(100), 2);
}

/* A call was refused; the other replica is no substitute if it lacks commits. */
static void refused_call_does_not_go_to_one_behind(void)
{
    until_choosing(1);
    say("b", false, 100);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(100), 1);
    tk_call_result(&t, 2, TK_REFUSED_CALL, now);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_REPLACE));
    commit(done(TK_DO_REPLACE));
    tick(true);
    tick(true);
    say("b", false, 100);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(1000), -1);
    CU_ASSERT_EQUAL(called_within(1500), 1); /* asked again later */
}

/* A new leader knows nothing of earlier positions: it asks all of them. */
static void new_leader_waits_too(void)
{
    copies = 1;
    fresh();
    health("a", TK_REFUSED);
    health("b", TK_SILENT);
    g.phase = VW_REPLACING;
    g.term = 5;
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_REPLACE));
    commit(done(TK_DO_REPLACE));
    tick(true);
    tick(true);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(3000), -1);
    health("b", TK_UP);
    say("b", false, 100);
    CU_ASSERT_EQUAL(called_within(100), 1);
}

/* The process of one replica is gone for long, so it received nothing of late: what the primary
 * reported since bounds what it may have. */
static void replica_that_is_gone_is_not_waited_for(void)
{
    copies = 1;
    fresh();
    health("c", TK_REFUSED);
    now += CK_MS(10);
    say("a", true, 110); /* whatever c has, it is below */
    tick(false);
    health("a", TK_REFUSED);
    tick(false);
    tk_checks_sent(&t, 1);
    tk_check_reply(&t, t.nonce, TK_REFUSED);
    tick(false);
    commit(done(TK_DO_REPLACE));
    tick(true);
    tick(true);
    say("b", false, 109);
    CU_ASSERT_EQUAL(called_within(1000), -1); /* c may have one that b lacks */
    say("b", false, 110);
    CU_ASSERT_EQUAL(called_within(100), 1);
}

/* Its bound does not hold any more once it was there again. */
static void replica_that_was_back_is_waited_for(void)
{
    copies = 1;
    fresh();
    health("c", TK_REFUSED);
    now += CK_MS(10);
    say("a", true, 110);
    tick(false);
    health("c", TK_UP);
    health("c", TK_REFUSED);
    health("a", TK_REFUSED);
    tick(false);
    tk_checks_sent(&t, 1);
    tk_check_reply(&t, t.nonce, TK_REFUSED);
    tick(false);
    commit(done(TK_DO_REPLACE));
    tick(true);
    tick(true);
    say("b", false, 200);
    CU_ASSERT_EQUAL(called_within(1000), -1);
}

/* A replica has left, and its successor, which gets its log, has not registered yet. */
static void replica_that_left_counts(void)
{
    for (int known = 0; known < 2; known++) {
        copies = 1;
        fresh();
        g.n = 2;
        g.n_left = 1;
        tick(false);
        now += CK_MS(10);
        if (known)
            say("a", true, 100);
        tick(false);
        health("a", TK_REFUSED);
        tick(false);
        tk_checks_sent(&t, 1);
        tk_check_reply(&t, t.nonce, TK_REFUSED);
        tick(false);
        commit(done(TK_DO_REPLACE));
        tick(true);
        tick(true);
        say("b", false, 100);
        CU_ASSERT_EQUAL(called_within(1000), known ? 1 : -1);
    }
}

/* A replica that had commits was lost for good. A new instance without its log is at its
 * address, and counts as little as the one that receives nothing. */
static void replaced_replica_is_no_proof(void)
{
    copies = 1;
    fresh();
    strcpy(g.inst[1].id, "d");
    tick(false);
    health("d", TK_UP);
    say("d", false, 0);
    say("a", true, 110);
    tick(false);
    health("a", TK_REFUSED);
    tick(false);
    tk_checks_sent(&t, 1);
    tk_check_reply(&t, t.nonce, TK_REFUSED);
    tick(false);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_REPLACE));
    commit(done(TK_DO_REPLACE));
    tick(true);
    tick(true);
    say("d", false, 0);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(1000), -1);
    health("a", TK_UP);
    say("a", true, 115);
    CU_ASSERT_EQUAL(called_within(100), 0);
}

/* The primary left the group; what it acknowledged is at the replicas that stay. */
static void primary_that_left_is_not_waited_for(void)
{
    copies = 1;
    fresh();
    tick(false);
    g.n = 2; /* "b" and "c" */
    g.inst[0] = g.inst[1];
    g.inst[1] = g.inst[2];
    g.primary = -1;
    g.phase = VW_REPLACING;
    g.term = 2;
    tick(false);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_REPLACE));
    commit(done(TK_DO_REPLACE));
    tick(true);
    tick(true);
    say("b", false, 100);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(100), 0);
}

/* LOST: a primary whose commits wait for a replica was taken for failing, and replaced by the
 * replica that is behind, after a while. */
static void sound_primary_is_not_replaced_by_one_behind(void)
{
    copies = 1;
    fresh();
    health("b", TK_REFUSED);
    for (int k = 0; k < 300; k++) { /* c receives nothing */
        say("a", true, 100 + (uint64_t)k);
        say("c", false, 90);
        tick(false);
    }
    ask_of_unfit(3, 0);
    CU_ASSERT_PTR_NULL(done(TK_DO_HAND));
    now += CK_SEC(1);
    tk_suspected(&t, "a");
    tick(false);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_CHECK));
    tk_checks_sent(&t, 2);
    tk_check_reply(&t, t.nonce, TK_SILENT);
    tk_check_reply(&t, t.nonce, TK_SILENT);
    tick(false);
    CU_ASSERT_EQUAL(out.n, 0);
    CU_ASSERT_EQUAL(t.step, TK_IDLE);
    g.inst[0].draining = true; /* nor if it is to leave */
    tick(false);
    CU_ASSERT_EQUAL(out.n, 0);
}

/* The hand-over began while the successor received; then it stops, and the other replica is
 * gone. The primary leads on. */
static void hand_over_that_cannot_end_is_abandoned(void)
{
    copies = 1;
    fresh();
    g.inst[0].draining = true;
    health("c", TK_SILENT);
    tick(false);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_HAND));
    commit(done(TK_DO_HAND));
    tick(false);
    tick(true);
    say("a", true, 105);
    say("b", false, 104);
    CU_ASSERT_EQUAL(called_within(450), -1); /* catch_up_timeout_us is 500 ms */
    CU_ASSERT_EQUAL(called_within(100), 0);
    tk_call_result(&t, 2, TK_DONE, now);
    tick(true);
    say("a", true, 105);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_PRIMARY));
    CU_ASSERT_EQUAL(done(TK_DO_PRIMARY)->inst, 0);
    commit(done(TK_DO_PRIMARY));
    tick(true);
    tick(true);
    CU_ASSERT_PTR_NULL(done(TK_DO_HAND)); /* not at once again */
    now += CK_SEC(2);
    say("b", false, 110);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL(done(TK_DO_HAND));
}

/* The successor lacks only writes that no replica has received, so none was acknowledged. */
static void hand_over_leaves_unacknowledged_writes(void)
{
    copies = 1;
    fresh();
    g.inst[0].draining = true;
    tick(false);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_HAND));
    commit(done(TK_DO_HAND));
    tick(false);
    tick(true);
    say("a", true, 120);
    say("b", false, 100);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(450), -1);
    CU_ASSERT_EQUAL(called_within(100), 1);
}

/* The primary of the former term is a replica now; it holds what it acknowledged. */
static void second_change_waits_for_the_former_primary(void)
{
    until_choosing(1);
    say("b", false, 100);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(100), 1);
    tk_call_result(&t, 2, TK_DONE, now);
    say("b", true, 100);
    tick(true);
    say("b", true, 100);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_PRIMARY));
    commit(done(TK_DO_PRIMARY));
    health("a", TK_SILENT); /* its machine is dark */
    tick(true);
    health("b", TK_REFUSED);
    tick(true);
    tk_checks_sent(&t, 1);
    tk_check_reply(&t, t.nonce, TK_REFUSED);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_REPLACE));
    commit(done(TK_DO_REPLACE));
    tick(true);
    tick(true);
    say("c", false, 90);
    CU_ASSERT_EQUAL(called_within(2000), -1);
    health("a", TK_UP);
    say("a", false, 100);
    CU_ASSERT_EQUAL(called_within(100), 0);
}

/* ---- statuses that were sent again ---- */

/* A status that arrives after the call, but was so before it, does not conclude the change. */
static void an_old_role_concludes_nothing(void)
{
    until_called();
    int64_t before = now - CK_MS(100);
    tk_call_result(&t, 2, TK_DONE, now);
    now += CK_MS(50);
    tk_set_status(&t, "b", true, (struct ps_pos){1, 100}, before, now);
    tick(true);
    CU_ASSERT_PTR_NULL(done(TK_DO_PRIMARY));
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_PROBE));
    CU_ASSERT(done(TK_DO_PROBE)->since > before);
    say("b", true, 100);
    tick(true);
    CU_ASSERT_PTR_NOT_NULL(done(TK_DO_PRIMARY));
}

/* Nor does one from before the primary led replace it; a newer one is asked for. */
static void an_old_role_replaces_no_primary(void)
{
    fresh();
    int64_t before = now;
    now += CK_SEC(2);
    tk_set_status(&t, "a", false, (struct ps_pos){1, 100}, before, now);
    tick(false);
    CU_ASSERT_PTR_NULL(done(TK_DO_REPLACE));
    CU_ASSERT_PTR_NOT_NULL_FATAL(done(TK_DO_PROBE));
    CU_ASSERT_EQUAL(done(TK_DO_PROBE)->inst, 0);
    CU_ASSERT(done(TK_DO_PROBE)->since > before);
    say("a", false, 100);
    tick(false);
    CU_ASSERT_PTR_NOT_NULL(done(TK_DO_REPLACE));
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
    TEST(s, replica_without_the_other_waits);
    TEST(s, both_replicas_known_waits_for_nothing);
    TEST(s, early_status_does_not_count);
    TEST(s, returned_primary_leads_again);
    TEST(s, draining_replica_is_the_last_resort);
    TEST(s, refused_call_does_not_go_to_one_behind);
    TEST(s, new_leader_waits_too);
    TEST(s, replica_that_is_gone_is_not_waited_for);
    TEST(s, replica_that_was_back_is_waited_for);
    TEST(s, replica_that_left_counts);
    TEST(s, replaced_replica_is_no_proof);
    TEST(s, primary_that_left_is_not_waited_for);
    TEST(s, sound_primary_is_not_replaced_by_one_behind);
    TEST(s, hand_over_that_cannot_end_is_abandoned);
    TEST(s, hand_over_leaves_unacknowledged_writes);
    TEST(s, second_change_waits_for_the_former_primary);
    TEST(s, an_old_role_concludes_nothing);
    TEST(s, an_old_role_replaces_no_primary);
}
