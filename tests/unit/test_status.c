/* How new an instance's status is: what answers on control's connections prove, as tables, and
 * on sockets with an instance that sends answers again. */
#include <stdio.h>
#include <string.h>

#include "misc/clock.h"
#include "platform/platform.h"
#include "platform/status_age.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

static struct sa_history h;

static enum sa_verdict says(bool primary, uint64_t term, uint64_t pos)
{
    const struct px_status st = {.primary = primary, .term = term, .received = {term, pos}};
    return sa_row(&h, &st);
}

static void rows_that_grow_prove_the_last_request(void)
{
    h = (struct sa_history){0};
    for (int i = 1; i <= 100; i++) {
        sa_sent(&h, i);
        CU_ASSERT_EQUAL(says(false, 3, (uint64_t)i), SA_NEW);
        CU_ASSERT_EQUAL(h.proved_at, i);
        CU_ASSERT_TRUE(sa_may_prove(&h, i + 1));
    }
}

static void equal_rows_are_as_old_as_the_first(void)
{
    h = (struct sa_history){0};
    sa_sent(&h, 10);
    CU_ASSERT_EQUAL(says(false, 3, 7), SA_NEW);
    sa_sent(&h, 20);
    CU_ASSERT_EQUAL(says(false, 3, 7), SA_ALIKE);
    CU_ASSERT_EQUAL(h.proved_at, 10);
}

/* The answer to the request of 20 may have been a repeat: then that of 30 gets the answer to
 * it. */
static void after_a_doubt_new_rows_are_a_request_older(void)
{
    equal_rows_are_as_old_as_the_first();
    CU_ASSERT_FALSE(sa_may_prove(&h, 30));
    CU_ASSERT_TRUE(sa_may_prove(&h, 20));
    sa_sent(&h, 30);
    CU_ASSERT_EQUAL(says(false, 3, 8), SA_NEW);
    CU_ASSERT_EQUAL(h.proved_at, 20);
    sa_sent(&h, 40);
    CU_ASSERT_EQUAL(says(false, 3, 9), SA_NEW);
    CU_ASSERT_EQUAL(h.proved_at, 30);
}

static void many_doubts_leave_what_was_proved(void)
{
    h = (struct sa_history){0};
    for (int i = 1; i <= 100; i++) {
        sa_sent(&h, i);
        CU_ASSERT_EQUAL(says(true, 3, 7), i == 1 ? SA_NEW : SA_ALIKE);
    }
    sa_sent(&h, 101);
    CU_ASSERT_EQUAL(says(true, 3, 8), SA_NEW);
    CU_ASSERT_EQUAL(h.proved_at, 1);
    CU_ASSERT_FALSE(sa_may_prove(&h, 2));
}

static void lower_rows_are_no_evidence(void)
{
    h = (struct sa_history){0};
    sa_sent(&h, 10);
    CU_ASSERT_EQUAL(says(false, 3, 7), SA_NEW);
    sa_sent(&h, 20);
    CU_ASSERT_EQUAL(says(false, 3, 6), SA_OLD);
    sa_sent(&h, 30);
    CU_ASSERT_EQUAL(says(true, 3, 7), SA_OLD); /* another role in the same state */
    sa_sent(&h, 40);
    CU_ASSERT_EQUAL(says(true, 4, 2), SA_NEW); /* a new term may begin lower */
    CU_ASSERT_EQUAL(h.proved_at, 20);
}

static void the_first_refusal_is_no_repeat(void)
{
    h = (struct sa_history){0};
    sa_sent(&h, 10);
    sa_refused(&h);
    CU_ASSERT_TRUE(sa_may_prove(&h, 20));
    sa_sent(&h, 20);
    sa_refused(&h);
    CU_ASSERT_FALSE(sa_may_prove(&h, 30));
}

/* ---- sockets ---- */

#define ROW(pos) "DATAROW replica 3 3." pos " 0 1 0 2\r\nCOMPLETE -\r\nREADY I 3." pos "\r\n"
#define BUSY "ERROR BUSY i\r\nREADY I 3.9\r\n"
#define GREETING "READY I 3.5\r\n"

/* The answers to an instance's first requests, each sent before the next request is made, and
 * what each reply tells: "P@N": position P, as of request number N or a later one; "-": that it
 * is alive. Requests ask for a status as of then. `links`: connections that were opened; a
 * second one answers position 9. */
static const struct scene {
    const char *what, *answers[4], *told;
    int links;
} scenes[] = {
    {"each is answered once", {ROW("5"), ROW("6"), ROW("7")}, "5@1 6@2 7@3 ", 1},
    {"the status before is sent again, then the answer",
     {ROW("5"), ROW("6"), ROW("5") ROW("7")},
     "5@1 6@2 - 9@3 ",
     2},
    {"the last status is sent again, then the answer",
     {ROW("5"), ROW("6"), ROW("6") ROW("7")},
     "5@1 6@2 6@2 9@3 ",
     2},
    {"the status is the same again", {ROW("5"), ROW("5")}, "5@1 5@1 9@2 ", 2},
    {"a status is sent again while nothing is asked",
     {ROW("5") ROW("5"), ROW("6")},
     "5@1 6@2 ",
     1},
    {"the greeting is sent again before the answer",
     {ROW("5"), GREETING ROW("6")},
     "5@1 6@2 ",
     1},
    {"one is refused", {ROW("5"), BUSY, ROW("6")}, "5@1 - 6@3 ", 1},
    {"a refusal is sent again before the answer",
     {BUSY, BUSY ROW("5"), ROW("6")},
     "- - 6@2 9@3 ",
     2},
};

enum { REQUESTS = 8 };

static struct {
    struct nt_loop *loop;
    const struct scene *s;
    struct ep_conn *conn;
    int first, second; /* connections */
    int links, answered, asked;
    int64_t asked_at[REQUESTS + 1];
    char told[128];
    struct nt_timer next, late;
} w;

static void stop(void *ud)
{
    (void)ud;
    nt_stop(w.loop);
}

static void inst_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    const char *text = ROW("9");
    (void)len;
    if (memcmp(data, "STARTUP", 7) == 0)
        text = GREETING;
    else if (ud == &w.first && w.answered < 4 && w.s->answers[w.answered])
        text = w.s->answers[w.answered++];
    nt_send(c, text, strlen(text));
}

static const struct nt_ops inst_ops = {on_no_open, inst_message, on_no_close};

static void *inst_accept(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    w.links++;
    return w.links == 1 ? &w.first : &w.second;
}

static void ask(void *ud)
{
    (void)ud;
    w.asked_at[++w.asked] = ck_now();
    const struct ep_request r = {
        .op = EP_STATUS, .id = (uint64_t)w.asked, .since = w.asked_at[w.asked]};
    CU_ASSERT_TRUE(pf_endpoint.send(w.conn, &r));
}

static void opened(struct ep_conn *c, void *ud)
{
    (void)c;
    ask(ud);
}

/* Asks on until an answer of the second connection came, or the scene has no more. */
static void replied(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    char *end = w.told + strlen(w.told);
    size_t room = sizeof(w.told) - strlen(w.told);
    int k = w.asked;
    (void)c;
    (void)ud;
    while (k > 1 && w.asked_at[k] > r->as_of)
        k--;
    if (r->result == EP_OK)
        snprintf(end, room, "%d@%d ", (int)r->held.pos, k);
    else
        snprintf(end, room, "- ");
    bool more = w.links == 1 && w.asked < 4 && w.s->answers[w.asked];
    bool renews = w.s->links == 2 && r->held.pos != 9;
    if (more)
        nt_timer_set(w.loop, &w.next, CK_MS(20), ask, NULL);
    else if (!renews)
        nt_timer_set(w.loop, &w.next, CK_MS(20), stop, NULL);
}

static void pushed(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    (void)c;
    (void)ud;
    (void)r;
}

static void closed(struct ep_conn *c, void *ud, bool was_open, bool refused)
{
    (void)c;
    (void)ud;
    (void)was_open;
    (void)refused;
    w.conn = NULL;
    nt_stop(w.loop);
}

static const struct ep_events events = {opened, replied, pushed, closed};

static void play(const struct scene *s)
{
    struct er_err err = {0};
    int port = on_free_port();
    memset(&w, 0, sizeof(w));
    w.loop = nt_loop_create(16, &err);
    w.s = s;
    on_listen(w.loop, port, &inst_ops, inst_accept, &w);
    const struct ep_target to = {"127.0.0.1", port, "g", "i"};
    w.conn = pf_endpoint.open(w.loop, &to, "control:c", &events, NULL);
    nt_timer_set(w.loop, &w.late, CK_SEC(2), stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.next);
}

/* A successor was chosen by what an instance had reported earlier: a status that was sent again
 * was read as the answer to the next request. */
static void a_repeated_status_is_no_newer(void)
{
    for (size_t i = 0; i < sizeof(scenes) / sizeof(scenes[0]); i++) {
        play(&scenes[i]);
        if (strcmp(w.told, scenes[i].told) != 0 || w.links != scenes[i].links) {
            printf("%s: %s, %d links\n", scenes[i].what, w.told, w.links);
            CU_FAIL("status");
        }
    }
}

SUITE(status)
{
    CU_pSuite s = CU_add_suite("status", NULL, NULL);
    TEST(s, rows_that_grow_prove_the_last_request);
    TEST(s, equal_rows_are_as_old_as_the_first);
    TEST(s, after_a_doubt_new_rows_are_a_request_older);
    TEST(s, many_doubts_leave_what_was_proved);
    TEST(s, lower_rows_are_no_evidence);
    TEST(s, the_first_refusal_is_no_repeat);
    TEST(s, a_repeated_status_is_no_newer);
}
