/* The agreement core, directed; schedules at random are tests/unit/explore.c. */
#include <stdio.h>
#include <string.h>

#include "misc/clock.h"
#include "misc/str.h"
#include "tests/unit/cluster_sim.h"
#include "tests/unit/unit.h"

static struct qr_msg sent[64];
static int n_sent;
static uint64_t last_seq;

static void on_send(void *ud, const struct qr_msg *m)
{
    (void)ud;
    if (n_sent < 64)
        sent[n_sent++] = *m;
}

static void on_persist(void *ud, const struct qr_persist *p)
{
    (void)ud;
    last_seq = p->seq;
}

static void on_apply(void *ud, const struct qr_entry *e)
{
    (void)ud;
    (void)e;
}

static void on_restore(void *ud, uint64_t i, const char *d, uint32_t n)
{
    (void)ud;
    (void)i;
    (void)d;
    (void)n;
}

static void on_role(void *ud)
{
    (void)ud;
}

static const struct qr_sink sink = {on_send, on_persist, on_apply, on_restore, on_role};

static struct qr *three(uint64_t self)
{
    struct qr_config cfg = {
        .self = self, .election_us = CK_MS(250), .heartbeat_us = CK_MS(50), .sink = &sink};
    struct qr_restore r = {
        .members = {
            3, {{1, true, "", "", 0, ""}, {2, true, "", "", 0, ""}, {3, true, "", "", 0, ""}}}};
    n_sent = 0;
    last_seq = 0;
    return qr_create(&cfg, &r, 0);
}

static int count(enum qr_msg_type t)
{
    int n = 0;
    for (int i = 0; i < n_sent; i++)
        n += sent[i].type == t;
    return n;
}

/* Make `q` (node 1) the leader of the next term at `now`. */
static void lead(struct qr *q, int64_t now)
{
    uint64_t term = qr_term(q) + 1;
    qr_tick(q, now, now);
    struct qr_msg v = {.type = QR_PREVOTE_R, .from = 2, .to = 1, .ok = true, .round = term};
    qr_receive(q, &v, now);
    qr_persisted(q, last_seq, now);
    v = (struct qr_msg){.type = QR_VOTE_R, .from = 2, .to = 1, .term = term, .ok = true};
    qr_receive(q, &v, now);
    CU_ASSERT_EQUAL(qr_role(q), QR_LEADER);
}

static void nothing_leaves_before_the_disk(void)
{
    struct qr *q = three(1);
    qr_tick(q, CK_SEC(1), CK_SEC(1));
    CU_ASSERT_EQUAL(count(QR_PREVOTE), 2);
    struct qr_msg v = {.type = QR_PREVOTE_R, .from = 2, .to = 1, .ok = true, .round = 1};
    qr_receive(q, &v, CK_SEC(1));
    CU_ASSERT_EQUAL(count(QR_VOTE), 0); /* its own vote is not on disk yet */
    qr_persisted(q, last_seq, CK_SEC(1));
    CU_ASSERT_EQUAL(count(QR_VOTE), 2);
    qr_destroy(q);
    q = three(2);
    struct qr_msg ask = {.type = QR_VOTE, .from = 1, .to = 2, .term = 4};
    qr_receive(q, &ask, CK_SEC(1));
    CU_ASSERT_EQUAL(count(QR_VOTE_R), 0);
    qr_persisted(q, last_seq, CK_SEC(1));
    CU_ASSERT_EQUAL(count(QR_VOTE_R), 1);
    qr_destroy(q);
}

/* A snapshot that comes late takes nothing away: entries behind it were acknowledged to the
 * leader and may be committed by that. Found by the exploration, seed 144900. */
static void late_snapshot_keeps_acknowledged_entries(void)
{
    struct qr *q = three(2);
    struct qr_entry e[] = {
        {1, 1, QR_DATA, 1, "a"}, {2, 1, QR_DATA, 1, "b"}, {3, 1, QR_DATA, 1, "c"}};
    struct qr_msg append = {
        .type = QR_APPEND, .from = 1, .to = 2, .term = 1, .n = 3, .entries = e};
    struct qr_members m = *qr_members(q);
    struct qr_msg snap = {.type = QR_SNAP,
                          .from = 1,
                          .to = 2,
                          .term = 1,
                          .index = 2,
                          .log_term = 1,
                          .members = &m,
                          .data = "s",
                          .len = 1};
    qr_receive(q, &append, CK_SEC(1));
    qr_persisted(q, last_seq, CK_SEC(1));
    CU_ASSERT(sent[n_sent - 1].type == QR_APPEND_R && sent[n_sent - 1].index == 3);
    qr_receive(q, &snap, CK_SEC(1));
    CU_ASSERT_EQUAL(qr_last(q), 3);
    CU_ASSERT_EQUAL(qr_commit(q), 2); /* what the snapshot holds is committed */
    qr_destroy(q);
    q = three(2); /* a log that does not agree with it goes */
    e[1].term = e[2].term = 1;
    qr_receive(q, &append, CK_SEC(1));
    snap.term = snap.log_term = 2;
    qr_receive(q, &snap, CK_SEC(1));
    CU_ASSERT_EQUAL(qr_last(q), 2);
    qr_destroy(q);
}

/* A node that was cut off comes back with a high term and disturbs nobody. */
static void returning_node_does_not_disturb(void)
{
    struct qr *q = three(2);
    struct qr_msg beat = {.type = QR_APPEND, .from = 1, .to = 2, .term = 3};
    qr_receive(q, &beat, CK_SEC(1));
    struct qr_msg pre = {
        .type = QR_PREVOTE, .from = 3, .to = 2, .term = 90, .index = 50, .log_term = 80};
    struct qr_msg vote = {
        .type = QR_VOTE, .from = 3, .to = 2, .term = 90, .index = 50, .log_term = 80};
    qr_receive(q, &pre, CK_MS(1100));
    qr_receive(q, &vote, CK_MS(1100));
    CU_ASSERT_EQUAL(qr_term(q), 3);
    CU_ASSERT_EQUAL(qr_leader(q), 1);
    qr_destroy(q);
}

static void leader_without_quorum_steps_down(void)
{
    struct qr *q = three(1);
    lead(q, CK_SEC(1));
    for (int64_t t = CK_SEC(1); t < CK_MS(1700); t += CK_MS(10))
        qr_tick(q, t, t);
    CU_ASSERT_NOT_EQUAL(qr_role(q), QR_LEADER);
    qr_destroy(q);
}

/* A loop that stands still judges nobody by its own standstill: what came meanwhile is read
 * after the timers. Guards against elections beside a long step of a follower. */
static void standstill_is_no_silence(void)
{
    struct qr *q = three(2);
    struct qr_msg beat = {.type = QR_APPEND, .from = 1, .to = 2, .term = 1};
    qr_receive(q, &beat, CK_SEC(1));
    qr_tick(q, CK_SEC(2), CK_MS(1010));
    CU_ASSERT_EQUAL(count(QR_PREVOTE), 0);
    qr_tick(q, CK_SEC(2), CK_SEC(2));
    CU_ASSERT_EQUAL(count(QR_PREVOTE), 2);
    qr_destroy(q);
    q = three(1);
    lead(q, CK_SEC(1));
    qr_tick(q, CK_SEC(2), CK_MS(1010));
    CU_ASSERT_EQUAL(qr_role(q), QR_LEADER);
    qr_tick(q, CK_SEC(2), CK_SEC(2));
    CU_ASSERT_NOT_EQUAL(qr_role(q), QR_LEADER);
    qr_destroy(q);
}

/* A leader that is about to stand still has just been heard, and by nobody else's word. */
static void leader_beats_ahead_of_a_long_step(void)
{
    struct qr *q = three(1);
    qr_send_heartbeat(q, CK_SEC(1));
    CU_ASSERT_EQUAL(n_sent, 0);
    lead(q, CK_SEC(1));
    n_sent = 0;
    qr_send_heartbeat(q, CK_MS(1010));
    CU_ASSERT_EQUAL(count(QR_APPEND), 2);
    qr_tick(q, CK_MS(1055), CK_MS(1055)); /* the next one is counted from it */
    CU_ASSERT_EQUAL(count(QR_APPEND), 2);
    qr_destroy(q);
}

static uint32_t bytes_sent_to(uint64_t id)
{
    uint32_t n = 0;
    for (int i = 0; i < n_sent; i++) {
        for (uint32_t k = 0; sent[i].to == id && k < sent[i].n; k++)
            n += sent[i].entries[k].len;
    }
    return n;
}

/* A follower is sent a long entry once, also if its answers come late: what is repeated until
 * the place to go on from is found carries no more than a few bytes. Guards against a new
 * leader whose heartbeats stand behind copies of one document. */
static void long_entry_is_sent_once(void)
{
    static char text[100000];
    struct qr_entry e = {1, 1, QR_DATA, sizeof(text), text};
    struct qr_msg append = {.type = QR_APPEND, .from = 3, .to = 1, .term = 1, .n = 1};
    struct qr *q = three(1);
    append.entries = &e;
    qr_receive(q, &append, CK_MS(100));
    qr_persisted(q, last_seq, CK_MS(100));
    lead(q, CK_SEC(1));
    n_sent = 0;
    struct qr_msg no = {.type = QR_APPEND_R, .from = 2, .to = 1, .term = 2, .round = 1};
    qr_receive(q, &no, CK_MS(1020)); /* it lacks the entry */
    for (int64_t t = CK_MS(1020); t < CK_MS(1200); t += CK_MS(10))
        qr_tick(q, t, t);
    struct qr_msg yes = no;
    yes.ok = true;
    for (yes.round = 2; yes.round < 5; yes.round++) /* it has it, not on disk yet */
        qr_receive(q, &yes, CK_MS(1200));
    CU_ASSERT_EQUAL(bytes_sent_to(2), sizeof(text));
    qr_destroy(q);
}

/* A vouching ends one shortest election after the sending of a round that a quorum answered. */
static void vouching_is_counted_from_the_sending(void)
{
    struct qr *q = three(1);
    lead(q, CK_SEC(1));
    CU_ASSERT_EQUAL(qr_sole_leader_until(q), 0); /* nothing committed in this term */
    qr_persisted(q, last_seq, CK_SEC(1));
    struct qr_msg ack = {
        .type = QR_APPEND_R, .from = 2, .to = 1, .term = 1, .ok = true, .index = 1, .round = 1};
    qr_receive(q, &ack, CK_MS(1400));
    CU_ASSERT_EQUAL(qr_sole_leader_until(q), CK_SEC(1) + CK_MS(250));
    struct er_err err = {0};
    struct qr_member m = {.id = 9};
    CU_ASSERT_TRUE(qr_add_learner(q, &m, CK_MS(1400), &err));
    CU_ASSERT_FALSE(qr_remove(q, 3, CK_MS(1400), &err)); /* one change at a time */
    qr_destroy(q);
}

static void behind_learner_does_not_become_a_voter(void)
{
    struct qr *q = three(1);
    struct er_err err = {0};
    struct qr_member m = {.id = 9};
    lead(q, CK_SEC(1));
    qr_persisted(q, last_seq, CK_SEC(1));
    struct qr_msg ack = {
        .type = QR_APPEND_R, .from = 2, .to = 1, .term = 1, .ok = true, .index = 1, .round = 1};
    qr_receive(q, &ack, CK_MS(1001));
    qr_add_learner(q, &m, CK_MS(1001), &err);
    qr_persisted(q, last_seq, CK_MS(1001));
    ack.index = 2;
    qr_receive(q, &ack, CK_MS(1002));
    CU_ASSERT_EQUAL(qr_commit(q), 2);
    CU_ASSERT_FALSE(qr_promote_learner(q, 9, CK_MS(1003), &err));
    ack.from = 9;
    qr_receive(q, &ack, CK_MS(1004));
    CU_ASSERT_TRUE(qr_promote_learner(q, 9, CK_MS(1005), &err));
    qr_destroy(q);
}

/* An entry of an earlier term on a quorum is not committed by that alone: a later leader may
 * still replace it. It is committed with the first entry of the leader's own term. */
static bool commits_old_term(bool fault)
{
    struct qr_config cfg = {
        .self = 1, .election_us = CK_MS(250), .heartbeat_us = CK_MS(50), .sink = &sink};
    cfg.fault.commit_old_terms = fault;
    struct qr_entry old = {1, 2, QR_DATA, 1, "x"};
    struct qr_restore r = {.term = 3,
                           .members = {3,
                                       {{1, true, "", "", 0, ""},
                                        {2, true, "", "", 0, ""},
                                        {3, true, "", "", 0, ""}}},
                           .entries = &old,
                           .n = 1};
    n_sent = 0;
    struct qr *q = qr_create(&cfg, &r, 0);
    qr_tick(q, CK_SEC(1), CK_SEC(1));
    struct qr_msg v = {
        .type = QR_PREVOTE_R, .from = 2, .to = 1, .term = 3, .ok = true, .round = 4};
    qr_receive(q, &v, CK_SEC(1));
    qr_persisted(q, last_seq, CK_SEC(1));
    v = (struct qr_msg){.type = QR_VOTE_R, .from = 2, .to = 1, .term = 4, .ok = true};
    qr_receive(q, &v, CK_SEC(1));
    struct qr_msg ack = {
        .type = QR_APPEND_R, .from = 2, .to = 1, .term = 4, .ok = true, .index = 1, .round = 1};
    qr_receive(q, &ack, CK_SEC(1));
    bool committed = qr_commit(q) >= 1;
    qr_persisted(q, last_seq, CK_SEC(1));
    ack.index = 2;
    qr_receive(q, &ack, CK_SEC(1));
    CU_ASSERT_EQUAL(qr_commit(q), 2);
    qr_destroy(q);
    return committed;
}

static void old_terms_are_not_counted(void)
{
    CU_ASSERT_FALSE(commits_old_term(false));
    CU_ASSERT_TRUE(commits_old_term(true)); /* the test sees the mistake */
}

/* A voter that starts again may have vouched for a leader just before: that leader counts on it
 * for an election timeout. */
static bool votes_at(int64_t at)
{
    struct qr_config cfg = {
        .self = 1, .election_us = CK_MS(250), .heartbeat_us = CK_MS(50), .sink = &sink};
    struct qr_restore r = {
        .term = 3,
        .members = {
            3, {{1, true, "", "", 0, ""}, {2, true, "", "", 0, ""}, {3, true, "", "", 0, ""}}}};
    n_sent = 0;
    last_seq = 0;
    struct qr *q = qr_create(&cfg, &r, 0);
    struct qr_msg ask = {.type = QR_PREVOTE, .from = 2, .to = 1, .term = 4};
    qr_receive(q, &ask, CK_MS(at));
    bool pre = n_sent > 0 && sent[n_sent - 1].ok;
    ask.type = QR_VOTE;
    qr_receive(q, &ask, CK_MS(at));
    qr_persisted(q, last_seq, CK_MS(at));
    bool vote = n_sent > 0 && sent[n_sent - 1].type == QR_VOTE_R && sent[n_sent - 1].ok;
    qr_destroy(q);
    CU_ASSERT_EQUAL(pre, vote);
    return vote;
}

static void restarted_voter_keeps_what_it_vouched_for(void)
{
    CU_ASSERT_FALSE(votes_at(10));
    CU_ASSERT_FALSE(votes_at(249));
    CU_ASSERT_TRUE(votes_at(251));
}

/* A voter that starts again is asked for its vote by one to whom all say that they have met no
 * leader; `heard`: it has met one in between. */
static bool votes_cold(bool heard)
{
    struct qr_config cfg = {
        .self = 1, .election_us = CK_MS(250), .heartbeat_us = CK_MS(50), .sink = &sink};
    struct qr_restore r = {
        .term = 3,
        .members = {
            3, {{1, true, "", "", 0, ""}, {2, true, "", "", 0, ""}, {3, true, "", "", 0, ""}}}};
    n_sent = 0;
    last_seq = 0;
    struct qr *q = qr_create(&cfg, &r, 0);
    struct qr_msg beat = {.type = QR_APPEND, .from = 3, .to = 1, .term = 3};
    if (heard)
        qr_receive(q, &beat, CK_MS(5));
    struct qr_msg ask = {.type = QR_VOTE, .from = 2, .to = 1, .term = 4, .fresh = true};
    qr_receive(q, &ask, CK_MS(10));
    qr_persisted(q, last_seq, CK_MS(10));
    bool vote = n_sent > 0 && sent[n_sent - 1].type == QR_VOTE_R && sent[n_sent - 1].ok;
    qr_destroy(q);
    return vote;
}

/* Whether a voter that starts asks for votes at once, when so many of the two others, the last
 * with the bits of `last`, have told that they are fresh. */
static bool asks_cold(int answers, struct qr_msg last)
{
    struct qr_config cfg = {
        .self = 1, .election_us = CK_MS(250), .heartbeat_us = CK_MS(50), .sink = &sink};
    struct qr_restore r = {
        .term = 3,
        .members = {
            3, {{1, true, "", "", 0, ""}, {2, true, "", "", 0, ""}, {3, true, "", "", 0, ""}}}};
    n_sent = 0;
    last_seq = 0;
    struct qr *q = qr_create(&cfg, &r, 0);
    qr_tick(q, CK_MS(65), CK_MS(65)); /* a quarter of an election's time: it asks */
    CU_ASSERT_TRUE(n_sent == 2 && sent[0].type == QR_PREVOTE);
    for (int i = 0; i < answers; i++) {
        struct qr_msg m = {.type = QR_PREVOTE_R, .to = 1, .term = 3, .round = 4, .fresh = true};
        if (i == answers - 1)
            m = last;
        m.from = (uint64_t)i + 2;
        qr_receive(q, &m, CK_MS(66));
    }
    bool asks = qr_role(q) == QR_CANDIDATE;
    qr_destroy(q);
    return asks;
}

/* After a loss of all power nobody waits for a leader's silence: none is left. */
static void voters_that_all_start_elect_at_once(void)
{
    struct qr_msg says = {.type = QR_PREVOTE_R, .to = 1, .term = 3, .round = 4, .fresh = true};
    CU_ASSERT_TRUE(asks_cold(2, says));
    CU_ASSERT_FALSE(asks_cold(1, says)); /* the third may lead */
    struct qr_msg met = says, newer = says, longer = says;
    met.fresh = false;
    CU_ASSERT_FALSE(asks_cold(2, met));
    newer.term = 2; /* it may have come to lead a term that was not asked about */
    CU_ASSERT_FALSE(asks_cold(2, newer));
    longer.index = 7;
    longer.log_term = 3;
    CU_ASSERT_FALSE(asks_cold(2, longer)); /* that one asks for votes */
    CU_ASSERT_TRUE(votes_cold(false));
    CU_ASSERT_FALSE(votes_cold(true));
}

static void schedules_hold(void)
{
    for (uint64_t seed = 1; seed <= 120; seed++) {
        bool herd = seed > 60;
        struct cs_options o = {
            .seed = seed, .voters = 3, .steps = 1000, .members = true, .herd = herd};
        struct cs_result r = cs_explore(&o);
        CU_ASSERT_TRUE(r.ok);
    }
}

void quorum_suite(void)
{
    CU_pSuite s = CU_add_suite("quorum", NULL, NULL);
    TEST(s, nothing_leaves_before_the_disk);
    TEST(s, late_snapshot_keeps_acknowledged_entries);
    TEST(s, returning_node_does_not_disturb);
    TEST(s, leader_without_quorum_steps_down);
    TEST(s, standstill_is_no_silence);
    TEST(s, leader_beats_ahead_of_a_long_step);
    TEST(s, long_entry_is_sent_once);
    TEST(s, vouching_is_counted_from_the_sending);
    TEST(s, behind_learner_does_not_become_a_voter);
    TEST(s, old_terms_are_not_counted);
    TEST(s, restarted_voter_keeps_what_it_vouched_for);
    TEST(s, voters_that_all_start_elect_at_once);
    TEST(s, schedules_hold);
}
