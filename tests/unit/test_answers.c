/* What a caller is told when an instance sends answers twice, too early or in the wrong state:
 * a table of what is asked, what the instance sends for each line that it gets, and what comes
 * of it. Real sockets on loopback; the instance is a stand-in. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"
#include "proxy/proxy.h"
#include "task/net.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

enum { SAY = 6, REPLIES = 8 };

static const char document[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"pathPrefix\":\"/\",\"kind\":"
    "\"own\",\"maxStalenessMs\":2500,\"timeoutMs\":600,\"latencySloMs\":300,\"priority\":1,"
    "\"service\":\"g\",\"maxAttempts\":2}],\"services\":[{\"name\":\"g\",\"healthPath\":\"/\","
    "\"maxConns\":9,\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}";

#define IDLE "READY I 1.5\r\n"
#define OPEN "READY T 1.5\r\n"
#define SETUP "COMPLETE -\r\n" IDLE
#define BEGUN "COMPLETE -\r\n" OPEN
#define DONE(s) "COMPLETE " s "\r\n" IDLE
#define DONE_T(s) "COMPLETE " s "\r\n" OPEN
#define ROW(r, s) "DATAROW " r "\r\nCOMPLETE " s "\r\n" IDLE
#define ROW_T(r, s) "DATAROW " r "\r\nCOMPLETE " s "\r\n" OPEN
#define FAILS(e) "ERROR " e " i\r\n" IDLE
#define FAILS_T(e) "ERROR " e " i\r\n" OPEN

/* `replies`: to each line that the instance gets after a greeting. `told`: how the answer to
 * the last of `say` begins. `got`: what the instance must have been sent; "!...": must not. */
static const struct row {
    const char *what;
    const char *say[SAY];
    const char *replies[REPLIES];
    const char *told;
    int opened;
    const char *got;
} rows[] = {
    {"an answer is repeated at once",
     {"READ x", "READ y"},
     {ROW("1", "a") ROW("1", "a"), ROW("2", "b")},
     "DATAROW 2\r\nCOMPLETE b\r\n",
     1,
     NULL},
    {"it is repeated before the next answer",
     {"READ x", "READ y"},
     {ROW("1", "a"), ROW("1", "a") ROW("1", "a") ROW("2", "b")},
     "DATAROW 2\r\nCOMPLETE b\r\n",
     1,
     NULL},
    {"a write is repeated at a newer position before the answer to the next",
     {"WRITE x 1", "WRITE x 2"},
     {DONE("a"), "COMPLETE a\r\nREADY I 1.6\r\n" DONE("b")},
     "COMPLETE b\r\n",
     1,
     NULL},
    {"answers are repeated in a transaction that rests",
     {"READ x", "BEGIN", "WRITE x 1", "COMMIT"},
     {ROW("1", "a"), BEGUN, DONE_T("b") ROW("1", "a") BEGUN DONE_T("b"), DONE("c")},
     "COMPLETE c\r\n",
     1,
     NULL},
    {"BEGIN's answer is repeated before COMMIT's",
     {"BEGIN", "WRITE x 1", "COMMIT"},
     {BEGUN, DONE_T("b"), BEGUN DONE_T("b") DONE("c")},
     "COMPLETE c\r\n",
     1,
     NULL},
    {"the greeting is repeated",
     {"READ x", "WRITE x 1"},
     {IDLE ROW("1", "a"), DONE("b")},
     "COMPLETE b\r\n",
     1,
     NULL},
    {"a write is refused: it is tried again on a connection that gave no error",
     {"WRITE x 1"},
     {FAILS("BUSY"), DONE("a")},
     "COMPLETE a\r\n",
     2,
     NULL},
    {"a refusal in a transaction that may not have begun: its first write may be kept",
     {"BEGIN", "WRITE x 1", "COMMIT", "BEGIN", "WRITE x 2"},
     {BEGUN, DONE_T("a"), DONE("b"), BEGUN, FAILS_T("BUSY")},
     "ERROR INDOUBT",
     1,
     NULL},
    {"a refusal of a write after a setup that may have been refused",
     {"SET v 1", "READ x", "SET v 2", "WRITE x 1"},
     {SETUP, ROW("1", "a"), SETUP, FAILS("BUSY"), DONE("b")},
     "ERROR INDOUBT",
     1,
     NULL},
    {"an error that a read can't get",
     {"READ x"},
     {FAILS("READONLY"), ROW("1", "a")},
     "DATAROW 1\r\nCOMPLETE a\r\n",
     2,
     NULL},
    {"a refusal is repeated in a transaction that has begun for certain",
     {"BEGIN", "WRITE x 0", "WRITE x 1", "WRITE x 2"},
     {BEGUN, DONE_T("a"), FAILS_T("BUSY"), FAILS_T("BUSY")},
     "ERROR ABORTED",
     1,
     NULL},
    {"an error after a setup that may have failed",
     {"SET v 1", "READ x", "SET v 2", "WRITE x 1"},
     {SETUP, ROW("1", "a"), SETUP, FAILS("FAILED")},
     "ERROR INDOUBT",
     1,
     NULL},
    {"the same for a read: another try",
     {"SET v 1", "READ x", "SET v 2", "READ y"},
     {SETUP, ROW("1", "a"), SETUP, FAILS("FAILED"), SETUP, ROW("2", "b")},
     "DATAROW 2\r\nCOMPLETE b\r\n",
     2,
     NULL},
    {"a setup's answer is no answer to a write",
     {"SET v 1", "WRITE x 1"},
     {SETUP, SETUP DONE("a")},
     "COMPLETE a\r\n",
     1,
     NULL},
    {"a write runs outside of its transaction",
     {"BEGIN", "WRITE x 1"},
     {BEGUN, DONE("a")},
     "ERROR INDOUBT",
     1,
     NULL},
    {"a write runs outside of its transaction: its COMMIT promises nothing",
     {"BEGIN", "WRITE x 1", "COMMIT"},
     {BEGUN, DONE("a")},
     "ERROR INDOUBT",
     1,
     NULL},
    {"nor does the next statement",
     {"BEGIN", "WRITE x 1", "READ y"},
     {BEGUN, DONE("a")},
     "ERROR INDOUBT",
     1,
     NULL},
    {"a write fails, which may have run, and its COMMIT is not answered",
     {"BEGIN", "WRITE x 1", "COMMIT"},
     {BEGUN, FAILS_T("TIMEOUT"), NULL},
     "ERROR TIMEOUT",
     2,
     "COMMIT"},
    {"a read runs outside of its transaction",
     {"BEGIN READ", "READ x"},
     {BEGUN, ROW("1", "a")},
     "ERROR ABORTED",
     1,
     NULL},
    {"a connection that gave an error is not rolled back but closed",
     {"BEGIN", "READ x", "ROLLBACK", "READ y"},
     {BEGUN, "ERROR FAILED i\r\nREADY E 1.5\r\n", ROW("2", "a")},
     "DATAROW 2\r\nCOMPLETE a\r\n",
     2,
     "!ROLLBACK"},
    {"a new answer that nothing asked for ends the connection",
     {"READ x", "READ y"},
     {ROW("1", "a") ROW("9", "z"), ROW("2", "b")},
     "DATAROW 2\r\nCOMPLETE b\r\n",
     2,
     NULL},
    {"and the transaction on it",
     {"BEGIN", "WRITE x 1", "WRITE x 2"},
     {BEGUN, DONE_T("a") DONE_T("z")},
     "ERROR ABORTED",
     1,
     NULL},
    {"an answer of two mixed is none",
     {"READ x", "WRITE x 1"},
     {ROW("1", "a"), "DATAROW 7\r\n" ROW("1", "a")},
     "ERROR INDOUBT",
     1,
     NULL},
};

static struct world {
    struct nt_loop *loop;
    struct px_proxy *p;
    struct nt_timer tick, late;
    const struct row *r;
    int said, replied, opened;
    struct sr_buf got, told; /* by the instance; by the caller, for the last statement */
} w;

static void stop(void *ud)
{
    (void)ud;
    nt_stop(w.loop);
}

/* ---- the instance ---- */

static void inst_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    static const char greeting[] = IDLE;
    (void)ud;
    if (len > 7 && memcmp(data, "STARTUP", 7) == 0) {
        nt_send(c, greeting, sizeof(greeting) - 1);
        return;
    }
    sr_buf_add(&w.got, data, len);
    const char *reply = w.replied < REPLIES ? w.r->replies[w.replied++] : NULL;
    if (reply)
        nt_send(c, reply, strlen(reply));
}

static const struct nt_ops inst_ops = {on_no_open, inst_message, on_no_close};

static void *inst_accept(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    w.opened++;
    return &w;
}

/* ---- the caller ---- */

static void say_next(void *ud)
{
    struct nt_conn *c = ud;
    char line[96];
    int n = snprintf(line, sizeof(line), "QUERY q%d %s\r\n", w.said, w.r->say[w.said]);
    w.said++;
    w.told.len = 0;
    nt_send(c, line, (size_t)n);
}

static void caller_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    nt_send(c, "STARTUP db me\r\n", 15);
}

/* What an instance sends beside its answer has come before the next statement is said. */
static void caller_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    enum { PAUSE_US = 3000 };
    (void)ud;
    sr_buf_add(&w.told, data, len);
    if (!memmem(w.told.p, w.told.len, "READY ", 6))
        return;
    bool more = w.said < SAY && w.r->say[w.said];
    nt_timer_set(w.loop, &w.late, PAUSE_US, more ? say_next : stop, c);
}

static const struct nt_ops caller_ops = {caller_open, caller_message, on_no_close};

/* ---- the node between them ---- */

static void tick(void *ud)
{
    (void)ud;
    px_tick(w.p, ck_now());
    nt_timer_set(w.loop, &w.tick, CK_MS(5), tick, NULL);
}

static void play(const struct row *r, int64_t for_us)
{
    struct er_err err = {0};
    struct nt_timer end = {0};
    int here = on_free_port(), there = on_free_port();
    w = (struct world){.loop = nt_loop_create(64, &err), .r = r};
    on_listen(w.loop, there, &inst_ops, inst_accept, NULL);
    w.p = on_create(w.loop, "n0", here, 8, NULL);
    on_show_group(w.p, there, document);
    on_show_two_nodes(w.p, here);
    px_set_share(w.p, SR_LIT("i"), 1);
    tick(NULL);
    nt_connect_stream(w.loop, "127.0.0.1", here, &caller_ops, &w);
    nt_timer_set(w.loop, &end, for_us, stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&end);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.tick);
}

static bool got(const char *text)
{
    bool unwanted = text[0] == '!';
    const char *t = text + unwanted;
    return (memmem(w.got.p, w.got.len, t, strlen(t)) == NULL) == unwanted;
}

/* Guards against the answer, or the refusal, of another statement. */
static void an_answer_is_the_statements_own(void)
{
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        const struct row *r = &rows[i];
        play(r, CK_SEC(2));
        size_t n = strlen(r->told);
        bool good = w.told.len >= n && memcmp(w.told.p, r->told, n) == 0 &&
                    w.opened == r->opened && (!r->got || got(r->got));
        if (!good)
            printf("\n    %s: opened %d, told %.*s\n    the instance got %.*s", r->what,
                   w.opened, (int)w.told.len, w.told.p ? w.told.p : "", (int)w.got.len,
                   w.got.p ? w.got.p : "");
        CU_ASSERT_TRUE(good);
        sr_buf_free(&w.got);
        sr_buf_free(&w.told);
    }
}

/* An instance that never answers a setup statement as it must is not connected to over and over
 * at once. */
static void a_setup_that_is_always_broken_is_paced(void)
{
    static const struct row r = {"",
                                 {"BEGIN", "READ x"},
                                 {DONE("a"), DONE("b"), DONE("c"), DONE("d"), DONE("e"),
                                  DONE("f"), DONE("g"), DONE("h")},
                                 "",
                                 0,
                                 NULL};
    play(&r, CK_MS(450));
    CU_ASSERT_TRUE(w.opened >= 2 && w.opened <= 6);
    sr_buf_free(&w.got);
    sr_buf_free(&w.told);
}

SUITE(answers)
{
    CU_pSuite s = CU_add_suite("answers", NULL, NULL);
    TEST(s, an_answer_is_the_statements_own);
    TEST(s, a_setup_that_is_always_broken_is_paced);
}
