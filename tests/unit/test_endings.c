/* Sessions that the proxy ends while their caller's question has arrived and was not read yet:
 * the process stood still, or the end came in the same turn of the loop. Real sockets on
 * loopback, the clock is paused. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"
#include "proxy/proxy.h"
#include "task/net.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

enum { NODES = 5, HOLDERS = 3 };

static const char document_text[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"pathPrefix\":\"/\",\"kind\":"
    "\"primary\",\"timeoutMs\":100,\"latencySloMs\":200,\"priority\":1,\"service\":\"g\","
    "\"maxAttempts\":2}],\"services\":[{\"name\":\"g\",\"healthPath\":\"/\",\"maxConns\":1,"
    "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}";

static struct {
    struct nt_loop *loop;
    struct px_proxy *p;
    struct nt_timer tick, late, act;
    const struct row *row;
    struct ho_node nodes[NODES];
    struct nt_conn *caller, *there; /* the caller's own end; the session at the other node */
    bool leased, closed;
    bool mute, ends;   /* the other node does not answer; the process would end */
    bool in_txn;       /* the other node says that a transaction is open */
    bool passed_on;    /* the other node got the question */
    struct sr_buf got; /* by the caller */
} w;

struct row {
    const char *what;
    bool relayed;          /* the other node serves the session */
    void (*settled)(void); /* the question before was answered */
    void (*before)(void);  /* the question is sent */
    void (*after)(void);
};

static bool leased(void *ud)
{
    (void)ud;
    return w.leased;
}

static void stop(void *ud)
{
    (void)ud;
    nt_stop(w.loop);
}

static void tick(void *ud)
{
    (void)ud;
    ck_advance(CK_MS(5));
    px_tick(w.p, ck_now());
    nt_timer_set(w.loop, &w.tick, CK_MS(5), tick, NULL);
}

/* The loop served nobody for so long, and its timers come first. */
static void stand_still(int64_t us)
{
    ck_advance(us);
    px_tick(w.p, ck_now());
}

/* ---- how sessions end ---- */

static void nothing(void)
{
}

/* The loop hears nothing of a lease; the tick that closes sessions comes with the question. */
static void lease_lost(void)
{
    w.leased = false;
    nt_timer_cancel(&w.tick);
    ck_advance(CK_SEC(2));
}

static void cut_off(void)
{
    tick(NULL);
}

static void moved(void)
{
    px_set_nodes(w.p, w.nodes, NODES);
    stand_still(CK_SEC(2));
}

static void stopping(void)
{
    px_stop(w.p, ck_now());
    stand_still(CK_MS(590));
}

static void holder_ends(void)
{
    nt_send(w.there, "TERMINATE\r\n", 11);
}

static const struct row rows[] = {
    {"cut off from control", false, lease_lost, nothing, cut_off},
    {"its group moved to other nodes", false, nothing, nothing, moved},
    {"this node stops", false, nothing, nothing, stopping},
    {"the holder ends it", true, nothing, holder_ends, nothing},
};

/* ---- the other node ---- */

static void there_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)ud;
    if (len > 7 && memcmp(data, "STARTUP", 7) == 0) {
        w.there = c;
        nt_send(c, "READY I -\r\n", 11);
        return;
    }
    w.passed_on = w.passed_on || memmem(data, len, "QUERY b", 7);
    if (w.mute)
        return;
    const char *answer =
        w.in_txn ? "COMPLETE x\r\nREADY T -\r\n" : "COMPLETE x\r\nREADY I -\r\n";
    nt_send(c, answer, strlen(answer));
}

static bool in_txn; /* of the next play */

static const struct nt_ops there_ops = {on_no_open, there_message, on_no_close};

static void *there_accept(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    return &w;
}

/* ---- the caller ---- */

static void (*half)(void *ud); /* instead of a whole question */

static void act(void *ud)
{
    if (half) {
        half(ud);
        return;
    }
    w.row->before();
    nt_send(w.caller, "QUERY b READ x\r\n", 16);
    w.row->after();
}

static void caller_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    w.caller = c;
    nt_send(c, "STARTUP db me\r\n", 15);
}

/* Answers that the caller got, the greeting among them. */
static int answers(void)
{
    int n = 0;
    for (size_t i = 0; i + 5 <= w.got.len; i++)
        n += memcmp(w.got.p + i, "READY", 5) == 0;
    return n;
}

/* After the greeting a first question, which finds the group; after its answer the one that
 * meets the end. */
static void caller_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)ud;
    sr_buf_add(&w.got, data, len);
    if (answers() == 1) {
        nt_send(c, "QUERY a READ x\r\n", 16);
    } else if (answers() == 2) {
        w.row->settled();
        nt_timer_set(w.loop, &w.act, CK_MS(1), act, NULL);
    }
}

static void caller_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
    w.closed = true;
    nt_stop(w.loop);
}

static const struct nt_ops caller_ops = {caller_open, caller_message, caller_close};

/* ---- the proxy between them ---- */

/* Our node is n0; the others hold the group once it knows of them. */
static void fill_nodes(int port)
{
    int holders[HO_MAX_HOLDERS];
    bool ours = true;
    for (int name = 0; ours; name++) {
        for (int i = 0; i < NODES; i++) {
            w.nodes[i] = (struct ho_node){.domain = "z", .ip = "127.0.0.1", .port = port};
            snprintf(w.nodes[i].name, sizeof(w.nodes[i].name), "n%d", i ? i + NODES * name : 0);
        }
        ho_prepare(w.nodes, NODES);
        int k = ho_pick(w.nodes, NODES, "g", HOLDERS, holders);
        ours = false;
        for (int h = 0; h < k; h++)
            ours = ours || strcmp(w.nodes[holders[h]].name, "n0") == 0;
    }
}

static void play(const struct row *row)
{
    struct er_err err = {0};
    int there = on_free_port(), here = on_free_port();
    sr_buf_free(&w.got);
    memset(&w, 0, sizeof(w));
    w.row = row;
    w.in_txn = in_txn;
    w.leased = true;
    ck_pause(CK_SEC(1000));
    w.loop = nt_loop_create(64, &err);
    struct nt_listen l = {.ip = "127.0.0.1",
                          .port = there,
                          .stream = true,
                          .ops = &there_ops,
                          .accept = there_accept};
    CU_ASSERT_PTR_NOT_NULL(nt_listen(w.loop, &l, &err));
    fill_nodes(there);
    w.p = on_create(w.loop, "n0", here, 8, leased);
    on_show_group(w.p, on_free_port(), document_text); /* nobody is there */
    px_set_nodes(w.p, w.nodes, row->relayed ? NODES : 0);
    tick(NULL);
    nt_connect_stream(w.loop, "127.0.0.1", here, &caller_ops, &w);
    nt_timer_set(w.loop, &w.late, CK_SEC(3), stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.tick);
    nt_timer_cancel(&w.act);
    ck_resume();
}

/* Guards against LOST beside a change of the configuration: a session that was ended as one at
 * rest, with its caller's question in the socket, dropped the question and said nothing. */
static void a_question_that_has_arrived_is_answered_when_its_session_ends(void)
{
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        play(&rows[i]);
        bool told = answers() == 3 && memmem(w.got.p, w.got.len, "ERROR BUSY ", 11);
        if (!told)
            printf("\n    %s: %.*s", rows[i].what, (int)w.got.len, w.got.p ? w.got.p : "");
        CU_ASSERT_TRUE(told);
    }
}

static void end_due(void *ud)
{
    px_stop(w.p, ck_now());
    ck_advance(CK_MS(800));
    w.ends = px_stopped(w.p);
    stop(ud);
}

static bool told(const char *what)
{
    return memmem(w.got.p, w.got.len, what, strlen(what)) != NULL;
}

static void ask_the_mute(void)
{
    w.mute = true;
}

/* ---- a planned stop with a transaction open at the other node ---- */

/* A transaction is open from the first answer on. */
static void play_in_txn(const struct row *row)
{
    in_txn = true;
    play(row);
    in_txn = false;
}

static void stop_for_600_ms(void)
{
    px_stop(w.p, ck_now());
    stand_still(CK_MS(600));
}

/* Guards against LOST in a planned stop: a transaction at another node stayed open until the
 * process ended, and its statements went on running there. */
static void a_relayed_transaction_is_rolled_back_when_its_time_is_over(void)
{
    const struct row row = {"in a transaction", true, nothing, stop_for_600_ms, nothing};
    play_in_txn(&row);
    CU_ASSERT(told("ERROR ABORTED ") && answers() == 3);
    CU_ASSERT_TRUE(w.closed);
    CU_ASSERT_FALSE(w.passed_on);
}

/* The time until sessions are closed whatever is open is over, and a tick comes before the
 * question is read. */
static void last_tick(void)
{
    px_stop(w.p, ck_now());
    ck_advance(CK_MS(800));
}

static void tick_and_look(void)
{
    px_tick(w.p, ck_now());
    w.ends = px_stopped(w.p);
}

/* Guards against LOST in a planned stop: the process ended with sessions open, whose questions
 * it went on reading. */
static void a_process_with_an_open_session_does_not_end(void)
{
    for (int relayed = 0; relayed < 2; relayed++) {
        const struct row row = {"late", relayed, nothing, last_tick, tick_and_look};
        play_in_txn(&row);
        CU_ASSERT_FALSE(w.ends);
        CU_ASSERT(told("ERROR ") && answers() == 3);
        CU_ASSERT_TRUE(w.closed);
        CU_ASSERT_FALSE(w.passed_on);
    }
}

static void say_one_more(void *ud)
{
    (void)ud;
    nt_send(w.caller, "QUERY b2 READ x\r\n", 17);
    nt_timer_set(w.loop, &w.late, CK_MS(100), stop, NULL);
}

static void end_all(void *ud)
{
    (void)ud;
    px_stop(w.p, ck_now());
    px_end_all(w.p);
    w.ends = !px_has_unsent(w.p);
    nt_timer_set(w.loop, &w.late, CK_MS(20), say_one_more, NULL);
}

static void end_all_soon(void)
{
    nt_timer_set(w.loop, &w.late, CK_MS(20), end_all, NULL);
}

/* Guards against a question without an answer: the time for the stop is over while the question
 * is at another node, or waits here for its instance. What is said later is not read. */
static void what_is_open_when_the_process_ends_is_answered(void)
{
    for (int relayed = 0; relayed < 2; relayed++) {
        const struct row row = {"open", relayed, nothing, ask_the_mute, end_all_soon};
        play(&row);
        CU_ASSERT(told("ERROR ") && answers() == 3);
        CU_ASSERT_TRUE(w.closed);
    }
}

/* A caller that sends ahead of its answers. */
static void ask_four(void)
{
    ask_the_mute();
    nt_send(w.caller, "QUERY a1 READ x\r\nQUERY a2 WRITE x y\r\nQUERY a3 READ x\r\n", 54);
}

/* Guards against the same for questions that were read and wait for their turn. */
static void what_was_sent_ahead_is_answered_when_the_process_ends(void)
{
    for (int relayed = 0; relayed < 2; relayed++) {
        const struct row row = {"sent ahead", relayed, nothing, ask_four, end_all_soon};
        play(&row);
        CU_ASSERT_EQUAL(answers(), 6);
    }
}

static void stop_soon(void)
{
    nt_timer_set(w.loop, &w.late, CK_MS(20), end_due, NULL);
}

/* Guards against LOST beside a planned stop: the process ended while a question had gone to
 * another node, which is among no statements at work here. */
static void the_process_does_not_end_before_another_node_has_answered(void)
{
    const struct row row = {"asked elsewhere", true, nothing, ask_the_mute, stop_soon};
    play(&row);
    CU_ASSERT_EQUAL(answers(), 2);
    CU_ASSERT_FALSE(w.ends);
}

static void say_the_rest(void *ud)
{
    (void)ud;
    nt_send(w.caller, " READ x\r\n", 9);
    nt_timer_set(w.loop, &w.late, CK_MS(500), stop, NULL);
}

static void half_said(void *ud)
{
    (void)ud;
    nt_send(w.there, "TERMINATE\r\n", 11);
    nt_send(w.caller, "QUERY b", 7);
    nt_timer_set(w.loop, &w.late, CK_MS(120), say_the_rest, NULL);
}

/* Guards against a question without an answer: its first part was read before its session
 * ended, the rest comes in another segment. */
static void a_question_of_which_a_part_has_arrived_is_answered(void)
{
    const struct row row = {"half a question", true, nothing, nothing, nothing};
    half = half_said;
    play(&row);
    half = NULL;
    CU_ASSERT_EQUAL(answers(), 3);
}

static void nothing_more(void *ud)
{
    (void)ud;
    nt_send(w.there, "TERMINATE\r\n", 11);
    nt_send(w.caller, "QUERY b", 7);
}

/* Guards against a session that nobody serves and nobody ends: its close was put off for what
 * had come, and that was no question. */
static void a_session_whose_holder_ended_it_does_not_stay_open(void)
{
    const struct row row = {"half a question, for good", true, nothing, nothing, nothing};
    half = nothing_more;
    play(&row);
    half = NULL;
    CU_ASSERT_TRUE(w.closed);
}

static void goodbye(void *ud)
{
    (void)ud;
    nt_send(w.there, "TERMINATE\r\n", 11);
    nt_send(w.caller, "TERMINATE\r\n", 11);
}

/* Guards against an answer to nothing: the caller's own end is no question. */
static void a_goodbye_that_meets_the_end_of_its_session_gets_no_answer(void)
{
    const struct row row = {"goodbye", true, nothing, nothing, nothing};
    half = goodbye;
    play(&row);
    half = NULL;
    CU_ASSERT_TRUE(w.closed);
    CU_ASSERT_EQUAL(answers(), 2);
}

void endings_suite(void)
{
    CU_pSuite s = CU_add_suite("endings", NULL, NULL);
    TEST(s, a_question_that_has_arrived_is_answered_when_its_session_ends);
    TEST(s, the_process_does_not_end_before_another_node_has_answered);
    TEST(s, a_relayed_transaction_is_rolled_back_when_its_time_is_over);
    TEST(s, a_process_with_an_open_session_does_not_end);
    TEST(s, what_is_open_when_the_process_ends_is_answered);
    TEST(s, what_was_sent_ahead_is_answered_when_the_process_ends);
    TEST(s, a_question_of_which_a_part_has_arrived_is_answered);
    TEST(s, a_session_whose_holder_ended_it_does_not_stay_open);
    TEST(s, a_goodbye_that_meets_the_end_of_its_session_gets_no_answer);
}
