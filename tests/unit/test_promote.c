#include <string.h>

#include "misc/clock.h"
#include "promote/promote.h"
#include "tests/unit/unit.h"

static struct pr_group p;
static struct vw_group g;
static struct pr_actions acts;
static const struct pr_config cfg = {.silence_us = CK_MS(300),
                                     .check_us = CK_MS(100),
                                     .resend_us = CK_MS(100),
                                     .attempt_us = CK_MS(500),
                                     .hold_us = CK_MS(500),
                                     .hand_us = CK_SEC(3),
                                     .fenced_endpoints = true};

static void fresh(const struct pr_config *c)
{
    memset(&g, 0, sizeof(g));
    g.n = 3;
    g.copies = 2;
    g.term = 1;
    g.primary = 0;
    for (int i = 0; i < 3; i++)
        g.inst[i].id[0] = (char)('a' + i);
    pr_begin(&p, c, CK_SEC(10));
    pr_tick(&p, &g, true, CK_SEC(10), &acts);
}

static int find(enum pr_action_kind k)
{
    for (int i = 0; i < acts.n; i++) {
        if (acts.a[i].kind == k)
            return i;
    }
    return -1;
}

static void tick(bool dropped, int64_t now)
{
    pr_tick(&p, &g, dropped, now, &acts);
}

static void down(uint64_t vantage, const char *domain, enum pr_health h, int64_t now)
{
    pr_probed(&p, "a", vantage, domain, h, now);
}

static void one_vantage_is_not_enough(void)
{
    fresh(&cfg);
    down(1, "d1", PR_REFUSED, CK_SEC(11));
    tick(true, CK_SEC(11));
    CU_ASSERT_EQUAL(find(PR_DO_CHECK), -1);
    down(2, "d1", PR_REFUSED, CK_SEC(11)); /* the same failure domain */
    tick(true, CK_SEC(11));
    CU_ASSERT_EQUAL(find(PR_DO_CHECK), -1);
    down(3, "d2", PR_REFUSED, CK_SEC(11));
    tick(true, CK_SEC(11));
    CU_ASSERT(find(PR_DO_CHECK) >= 0);
}

static void one_that_sees_it_up_vetoes(void)
{
    fresh(&cfg);
    down(1, "d1", PR_SILENT, CK_SEC(11));
    down(2, "d2", PR_SILENT, CK_SEC(11));
    down(3, "d3", PR_UP, CK_SEC(11));
    tick(true, CK_SEC(11));
    CU_ASSERT_EQUAL(find(PR_DO_CHECK), -1);
}

static void begin_check(void)
{
    down(1, "d1", PR_SILENT, CK_SEC(11));
    down(2, "d2", PR_SILENT, CK_SEC(11));
    tick(true, CK_SEC(11));
    CU_ASSERT(find(PR_DO_CHECK) >= 0);
    pr_checks_sent(&p, 2);
}

/* An instance that comes back in the middle of a change is fenced at once. */
static void fence_goes_over_a_new_connection_at_once(void)
{
    fresh(&cfg);
    g.phase = VW_REPLACING;
    g.term = 2;
    tick(true, CK_SEC(11)); /* another leader's attempt: above it */
    g.term = acts.a[find(PR_DO_REPLACE)].term;
    tick(true, CK_SEC(11));
    CU_ASSERT(find(PR_DO_FENCE) >= 0);
    tick(true, CK_MS(11010));
    CU_ASSERT_EQUAL(find(PR_DO_FENCE), -1); /* they are on their way */
    pr_reconnected(&p, "b", CK_MS(11020));
    tick(true, CK_MS(11020));
    int i = find(PR_DO_FENCE);
    CU_ASSERT(i >= 0 && acts.a[i].inst == 1);
}

/* Cut off from control only: entry nodes still get answers. */
static void entry_nodes_veto(void)
{
    fresh(&cfg);
    begin_check();
    pr_check_reply(&p, p.nonce, PR_UP);
    pr_check_reply(&p, p.nonce, PR_SILENT);
    tick(true, CK_MS(11050));
    CU_ASSERT_EQUAL(find(PR_DO_REPLACE), -1);
    tick(true, CK_MS(11200));
    CU_ASSERT_EQUAL(find(PR_DO_REPLACE), -1);
}

/* An entry node that had not noticed yet is asked again soon; one that goes on objecting, ever
 * more rarely. */
static void objections_are_asked_again(void)
{
    int asked = 0;
    fresh(&cfg);
    begin_check();
    pr_check_reply(&p, p.nonce, PR_UP);
    int64_t first = 0;
    for (int64_t now = CK_SEC(11); now < CK_SEC(21); now += CK_MS(5)) {
        down(1, "d1", PR_SILENT, now);
        down(2, "d2", PR_SILENT, now);
        tick(true, now);
        CU_ASSERT_EQUAL(find(PR_DO_REPLACE), -1);
        if (find(PR_DO_CHECK) < 0)
            continue;
        first = first ? first : now;
        asked++;
        pr_checks_sent(&p, 1);
        pr_check_reply(&p, p.nonce, PR_UP);
    }
    CU_ASSERT(first <= CK_MS(11030));
    CU_ASSERT(asked >= 8 && asked <= 20);
}

static void silent_entry_nodes_are_waited_for_within_a_bound(void)
{
    fresh(&cfg);
    begin_check();
    pr_check_reply(&p, p.nonce, PR_SILENT);
    tick(true, CK_MS(11099));
    CU_ASSERT_EQUAL(find(PR_DO_REPLACE), -1);
    tick(true, CK_MS(11100));
    CU_ASSERT(find(PR_DO_REPLACE) >= 0);
}

/* Up to the fencing of term 2, which the view shows. */
static void to_fencing(void)
{
    begin_check();
    pr_check_reply(&p, p.nonce, PR_SILENT);
    pr_check_reply(&p, p.nonce, PR_REFUSED);
    tick(true, CK_MS(11001));
    int i = find(PR_DO_REPLACE);
    CU_ASSERT(i >= 0 && acts.a[i].term == 2);
    g.phase = VW_REPLACING;
    g.term = 2;
}

static void takes_the_highest_position_of_enough(void)
{
    fresh(&cfg);
    to_fencing();
    tick(false, CK_MS(11002));
    CU_ASSERT(find(PR_DO_FENCE) >= 0);
    pr_fenced(&p, "b", 2, (struct ps_pos){1, 10});
    tick(false, CK_MS(11003));
    CU_ASSERT_EQUAL(find(PR_DO_PROMOTE), -1); /* one of three is not enough */
    pr_fenced(&p, "c", 2, (struct ps_pos){1, 12});
    tick(false, CK_MS(11004));
    int i = find(PR_DO_PROMOTE);
    CU_ASSERT(i >= 0 && acts.a[i].inst == 2);
    pr_promoted(&p, "c", 2, (struct ps_pos){1, 12});
    tick(false, CK_MS(11005));
    i = find(PR_DO_PRIMARY);
    CU_ASSERT(i >= 0 && acts.a[i].inst == 2 && acts.a[i].pos == 12);
}

/* The seeded mistake: whatever answers first is promoted; the test above tells the difference.
 */
static void any_replica_would_lose(void)
{
    struct pr_config bad = cfg;
    bad.fault.any_replica = true;
    fresh(&bad);
    to_fencing();
    tick(false, CK_MS(11002));
    pr_fenced(&p, "b", 2, (struct ps_pos){1, 10});
    pr_fenced(&p, "c", 2, (struct ps_pos){1, 12});
    tick(false, CK_MS(11004));
    int i = find(PR_DO_PROMOTE);
    CU_ASSERT(i >= 0 && acts.a[i].inst == 1);
}

static void without_fences_the_leases_are_waited_for(void)
{
    struct pr_config c = cfg;
    c.fenced_endpoints = false;
    fresh(&c);
    to_fencing();
    tick(false, CK_MS(11002));
    pr_fenced(&p, "b", 2, (struct ps_pos){1, 10});
    pr_fenced(&p, "c", 2, (struct ps_pos){1, 12});
    tick(false, CK_MS(11004));
    CU_ASSERT_EQUAL(find(PR_DO_PROMOTE), -1);
    tick(true, CK_MS(11005));
    CU_ASSERT(find(PR_DO_PROMOTE) >= 0);
}

/* A new leader finds a replacement it did not begin: an instance may have been promoted without
 * anybody knowing, so a higher term starts over. */
static void new_leader_starts_over(void)
{
    fresh(&cfg);
    g.phase = VW_REPLACING;
    g.term = 2;
    pr_begin(&p, &cfg, CK_SEC(20));
    tick(false, CK_SEC(20));
    int i = find(PR_DO_REPLACE);
    CU_ASSERT(i >= 0 && acts.a[i].term == 3);
    CU_ASSERT_EQUAL(find(PR_DO_FENCE), -1);
}

static void outbid_attempt_goes_higher(void)
{
    fresh(&cfg);
    to_fencing();
    tick(false, CK_MS(11002));
    pr_set_status(&p, "b", false, 9, 0, (struct ps_pos){1, 10}, CK_MS(11003));
    tick(false, CK_MS(11003));
    int i = find(PR_DO_REPLACE);
    CU_ASSERT(i >= 0 && acts.a[i].term == 10);
}

static void planned_change_waits_for_all(void)
{
    fresh(&cfg);
    g.phase = VW_HANDING;
    g.term = 2;
    g.target = 1;
    tick(false, CK_SEC(11));
    CU_ASSERT_EQUAL(find(PR_DO_FENCE), -1); /* statements may still run */
    tick(true, CK_MS(11010));
    int i = find(PR_DO_FENCE);
    CU_ASSERT(i >= 0 && acts.a[i].inst == 0); /* the old primary first */
    pr_fenced(&p, "a", 2, (struct ps_pos){1, 50});
    pr_set_status(&p, "b", false, 1, 1, (struct ps_pos){1, 49}, CK_MS(11011));
    tick(true, CK_MS(11012));
    CU_ASSERT_EQUAL(find(PR_DO_FENCE), -1);
    CU_ASSERT(find(PR_DO_PROBE) >= 0);
    pr_set_status(&p, "b", false, 1, 1, (struct ps_pos){1, 50}, CK_MS(11013));
    tick(true, CK_MS(11113));
    i = find(PR_DO_FENCE);
    CU_ASSERT(i >= 0 && acts.a[i].inst == 1);
    pr_fenced(&p, "b", 2, (struct ps_pos){1, 50});
    tick(true, CK_MS(11114));
    i = find(PR_DO_PROMOTE);
    CU_ASSERT(i >= 0 && acts.a[i].inst == 1);
}

static void planned_change_is_given_up(void)
{
    fresh(&cfg);
    g.phase = VW_HANDING;
    g.term = 2;
    g.target = 1;
    tick(false, CK_SEC(11));
    tick(false, CK_MS(14100));
    CU_ASSERT(find(PR_DO_ABANDON) >= 0);
}

/* How long after each of three changes of primary the next one is begun. */
static void waits_between(enum pr_health h, int64_t *waits)
{
    int64_t now = CK_SEC(11);
    fresh(&cfg);
    for (int round = 0; round < 3; round++) {
        p.step = PR_CONCLUDING; /* a change of primary has just ended */
        tick(true, now);
        int64_t ended = now;
        do {
            now += CK_MS(5);
            down(1, "d1", h, now);
            down(2, "d2", h, now);
            tick(true, now);
        } while (find(PR_DO_CHECK) < 0 && now < ended + CK_SEC(60));
        waits[round] = now - ended;
        p.step = PR_IDLE;
    }
}

/* Silence that repeats is held off longer and longer; a dead process never is. */
static void flapping_is_damped(void)
{
    int64_t waits[3];
    waits_between(PR_SILENT, waits);
    CU_ASSERT(waits[1] > waits[0] && waits[2] > waits[1]);
    waits_between(PR_REFUSED, waits);
    CU_ASSERT(waits[2] <= cfg.hold_us + CK_MS(10));
}

static void lost_role_is_noticed(void)
{
    fresh(&cfg);
    pr_set_status(&p, "a", false, 1, 0, (struct ps_pos){1, 5}, CK_SEC(12));
    tick(true, CK_SEC(12));
    CU_ASSERT(find(PR_DO_REPLACE) >= 0);
}

/* What the agreement does with proposals: each is in force `after` it was made, if its term is
 * above the view's. */
struct slow_log {
    int64_t after;
    int n;
    struct {
        int64_t at;
        struct pr_action what;
    } out[64];
};

static void propose(struct slow_log *l, const struct pr_action *a, int64_t now)
{
    bool kept = a->kind == PR_DO_REPLACE || a->kind == PR_DO_PRIMARY;
    if (!kept || l->n == 64)
        return;
    l->out[l->n].at = now + l->after;
    l->out[l->n++].what = *a;
}

static void commit(struct slow_log *l, int64_t now)
{
    for (int i = 0; i < l->n; i++) {
        const struct pr_action *a = &l->out[i].what;
        if (l->out[i].at != now)
            continue;
        if (a->kind == PR_DO_REPLACE && a->term > g.term) {
            g.term = a->term;
            g.phase = VW_REPLACING;
        } else if (a->kind == PR_DO_PRIMARY && a->term == g.term) {
            g.primary = a->inst;
            g.phase = VW_SERVING;
        }
    }
}

/* A group that awaits its primary, changes that are in force `sync` after they are proposed, an
 * instance that takes `work` to become primary: how long until one serves; -1: not in 20 s. */
static int64_t time_to_serve(int64_t sync, int64_t work)
{
    static struct slow_log l;
    int64_t step = CK_MS(10), promoted_at = 0;
    uint64_t promoted = 0;
    int inst = 0;
    l = (struct slow_log){.after = sync > step ? sync : step};
    fresh(&cfg);
    g.phase = VW_REPLACING;
    for (int64_t now = CK_SEC(11); now < CK_SEC(31); now += step) {
        commit(&l, now);
        if (g.phase == VW_SERVING)
            return now - CK_SEC(11);
        if (promoted && now >= promoted_at)
            pr_promoted(&p, g.inst[inst].id, promoted, (struct ps_pos){promoted, 0});
        tick(true, now);
        for (int i = 0; i < acts.n; i++) {
            const struct pr_action *a = &acts.a[i];
            propose(&l, a, now);
            if (a->kind == PR_DO_FENCE)
                pr_fenced(&p, g.inst[a->inst].id, a->term, (struct ps_pos){1, 5});
            if (a->kind == PR_DO_PROMOTE && a->term != promoted) {
                promoted = a->term;
                inst = a->inst;
                promoted_at = now + work;
            }
        }
    }
    return -1;
}

/* A disk that takes longer to sync than an attempt may take, or an instance that does: attempts
 * that are each given up too soon never end. */
static void slow_disks_delay_a_replacement(void)
{
    static const int64_t slow[] = {CK_MS(20), CK_MS(400), CK_MS(600), CK_MS(1300), CK_MS(2000)};
    for (size_t i = 0; i < sizeof(slow) / sizeof(slow[0]); i++) {
        int64_t by_sync = time_to_serve(slow[i], 0), by_work = time_to_serve(0, slow[i]);
        CU_ASSERT(by_sync >= 0 && by_sync <= slow[i] * 8 + CK_SEC(1));
        CU_ASSERT(by_work >= 0 && by_work <= slow[i] * 8 + CK_SEC(1));
    }
}

void promote_suite(void)
{
    CU_pSuite s = CU_add_suite("promote", NULL, NULL);
    TEST(s, slow_disks_delay_a_replacement);
    TEST(s, one_vantage_is_not_enough);
    TEST(s, one_that_sees_it_up_vetoes);
    TEST(s, fence_goes_over_a_new_connection_at_once);
    TEST(s, entry_nodes_veto);
    TEST(s, objections_are_asked_again);
    TEST(s, silent_entry_nodes_are_waited_for_within_a_bound);
    TEST(s, takes_the_highest_position_of_enough);
    TEST(s, any_replica_would_lose);
    TEST(s, without_fences_the_leases_are_waited_for);
    TEST(s, new_leader_starts_over);
    TEST(s, outbid_attempt_goes_higher);
    TEST(s, planned_change_waits_for_all);
    TEST(s, planned_change_is_given_up);
    TEST(s, flapping_is_damped);
    TEST(s, lost_role_is_noticed);
}
