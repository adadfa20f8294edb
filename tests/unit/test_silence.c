/* The way of relayed sessions round nodes that are silent or can't be reached: what a caller is
 * told, how soon, and who is asked to pass its session on. Real sockets on loopback. */
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
    "\"primary\",\"timeoutMs\":1000,\"latencySloMs\":200,\"priority\":1,\"service\":\"g\","
    "\"maxAttempts\":2}],\"services\":[{\"name\":\"g\",\"healthPath\":\"/\",\"maxConns\":1,"
    "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}";

/* When in a session's life the loop serves nobody, and for how long. */
enum moment { NEVER, GREETED, ANSWERED, ASKED_LAST };

struct still {
    const char *what, *first, *second, *third;
    bool serves_itself, in_txn;
    enum moment at;
    int ms;
    void (*before_tick)(void), (*after_tick)(void);
    int opened; /* sessions at the other side */
};

static struct {
    struct nt_loop *loop;
    struct px_proxy *p;
    struct nt_timer tick, late, freeze;
    bool greets,
        frozen;  /* the other node: it opens sessions; it takes bytes and says nothing */
    bool in_txn; /* its answers leave a transaction open */
    bool leased, serves_itself; /* our node; it holds the group, the other is its instance */
    const struct still *still;
    struct nt_conn *caller, *slow; /* the session there, its question not answered yet */
    bool ends_early;               /* instead of a greeting, once */
    bool stood;
    int ticks_more;                         /* since the caller was told */
    int opened;                             /* sessions there, trials too */
    char hello[80];                         /* the first line that it got */
    const char *open_with, *first, *second; /* the caller's words; NULL: none */
    int said;
    struct sr_buf got; /* by the caller */
    int64_t greeted_at, asked_at, told_at;
    bool closed;
} w;

static void stop(void *ud)
{
    (void)ud;
    nt_stop(w.loop);
}

static bool leased(void *ud)
{
    (void)ud;
    return w.leased;
}

static void tick(void *ud)
{
    (void)ud;
    ck_advance(CK_MS(5)); /* if it is paused */
    if (w.still && w.still->before_tick)
        w.still->before_tick();
    px_tick(w.p, ck_now());
    if (w.still && w.still->after_tick)
        w.still->after_tick();
    nt_timer_set(w.loop, &w.tick, CK_MS(5), tick, NULL);
}

/* ---- standing still ---- */

/* The loop serves nobody for a while, and its timers come first then. */
static void stand_still(int64_t us)
{
    for (int k = 0; k < 4; k++) {
        ck_advance(us / 4);
        px_tick(w.p, ck_now());
    }
}

static void maybe_stand_still(enum moment now)
{
    if (w.still && w.still->at == now)
        stand_still(CK_MS(w.still->ms));
}

static bool counted(const char *line)
{
    struct sr_buf b = {0};
    px_metrics(w.p, &b);
    bool is = memmem(b.p, b.len, line, strlen(line));
    sr_buf_free(&b);
    return is;
}

/* As soon as a trial has begun, before its connection is seen to be open. */
static void trial_began(void)
{
    if (!w.stood && counted("neighbor_trials_total 1\n")) {
        w.stood = true;
        stand_still(CK_MS(300));
    }
}

/* While a statement waits for the lease, which is back then. */
static void waits_for_lease(void)
{
    if (!w.leased && counted("session_parked_total 1\n")) {
        stand_still(CK_MS(800));
        w.leased = true;
    }
}

/* The caller goes on talking until it is told that the node is silent, which then answers; the
 * end of what it says comes later than a resting session would be closed. */
static void talks_on(void)
{
    enum { TICKS_MORE = 30 };
    if (!counted("silent_told_total 1\n")) {
        if (w.slow)
            nt_send(w.caller, "Q", 1);
    } else if (w.slow) {
        nt_send(w.slow, "COMPLETE x\r\nREADY I -\r\n", 23);
        w.slow = NULL;
    } else if (++w.ticks_more == TICKS_MORE && !w.closed) {
        nt_send(w.caller, "\r\n", 2);
    }
}

/* ---- the other node ---- */

static void answer(struct nt_conn *c, const char *data, size_t len)
{
    char line[96], out[96];
    snprintf(line, sizeof(line), "%.*s", (int)len, data);
    int n =
        snprintf(out, sizeof(out), "%sREADY %c -\r\n", on_success(line), w.in_txn ? 'T' : 'I');
    nt_send(c, out, (size_t)n);
}

static void there_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)ud;
    bool opens = len > 7 && memcmp(data, "STARTUP", 7) == 0;
    if (opens && !w.hello[0])
        snprintf(w.hello, sizeof(w.hello), "%.*s", (int)len, data);
    w.opened += opens;
    if (w.frozen)
        return;
    if (w.still && (w.still->after_tick == trial_began || w.still->before_tick) && !opens) {
        w.slow = c;
        w.frozen = w.still->before_tick != NULL;
        return;
    }
    if (opens && !w.greets)
        nt_close(c, true);
    else if (opens && w.ends_early)
        nt_send(c, "TERMINATE\r\n", 11);
    else if (opens)
        nt_send(c, "READY I -\r\n", 11);
    else
        answer(c, data, len);
    w.ends_early = false;
    maybe_stand_still(opens ? GREETED : ANSWERED);
    if (opens && w.slow) { /* the trial */
        stand_still(CK_MS(100));
        nt_send(w.slow, "COMPLETE x\r\nREADY I -\r\n", 23);
    }
}

static const struct nt_ops there_ops = {on_no_open, there_message, on_no_close};

static void *there_accept(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    return &w;
}

/* ---- the caller ---- */

static void say(struct nt_conn *c, const char *line)
{
    w.said++;
    w.asked_at = ck_now();
    nt_send(c, line, strlen(line));
}

static void caller_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    w.caller = c;
    nt_send(c, w.open_with, strlen(w.open_with));
}

static void caller_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)ud;
    sr_buf_add(&w.got, data, len);
    w.told_at = ck_now();
    const char *third = w.said == 2 && w.still ? w.still->third : NULL;
    const char *next = w.said == 0 ? w.first : w.said == 1 ? w.second : third;
    bool last = w.said == 0 ? !w.second : w.said == 1;
    if (w.said == 0)
        w.greeted_at = w.told_at;
    if (next && !w.closed) {
        w.frozen = last && w.greets && !w.still; /* the last question finds it frozen */
        w.leased = w.leased && (!w.still || w.still->after_tick != waits_for_lease);
        say(c, next);
        if (w.said == 3)
            maybe_stand_still(ASKED_LAST);
    } else if (w.still && !w.still->before_tick) {
        nt_stop(w.loop);
    } else if (!next && w.said == 0) {
        nt_stop(w.loop); /* a greeting is all that is wanted */
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

/* Holders are at one port, the others at another; ours is the first that holds nothing. */
static const char *fill_nodes(struct ho_node nodes[NODES], int holders_port, int others_port)
{
    int holders[HO_MAX_HOLDERS];
    const char *ours = NULL;
    for (int i = 0; i < NODES; i++) {
        nodes[i] = (struct ho_node){.domain = "z", .ip = "127.0.0.1"};
        snprintf(nodes[i].name, sizeof(nodes[i].name), "n%d", i);
    }
    ho_prepare(nodes, NODES);
    int k = ho_pick(nodes, NODES, "g", HOLDERS, holders);
    for (int i = 0; i < NODES; i++) {
        bool holds = false;
        for (int h = 0; h < k; h++)
            holds = holds || holders[h] == i;
        nodes[i].port = holds ? holders_port : others_port;
        if (!holds && !ours)
            ours = nodes[i].name;
    }
    return ours;
}

static void make_proxy(const char *name, int port, int inst_port)
{
    w.p = on_create(w.loop, name, port, 8, leased);
    on_show_group(w.p, inst_port, document_text);
}

/* The caller opens a session at a node that holds nothing. The other node stands for its
 * holders, or for those that hold nothing while nobody is at the holders' addresses. */
static void call(bool holders_there)
{
    struct er_err err = {0};
    struct ho_node nodes[NODES];
    int there = on_free_port(), nobody = on_free_port(), here = on_free_port();
    w.loop = nt_loop_create(64, &err);
    struct nt_listen l = {.ip = "127.0.0.1",
                          .port = there,
                          .stream = true,
                          .ops = &there_ops,
                          .accept = there_accept};
    CU_ASSERT_PTR_NOT_NULL(nt_listen(w.loop, &l, &err));
    const char *name = fill_nodes(nodes, holders_there ? there : nobody, there);
    make_proxy(w.serves_itself ? "n0" : name, here, w.serves_itself ? there : nobody);
    px_set_nodes(w.p, nodes, w.serves_itself ? 1 : NODES);
    px_set_share(w.p, SR_LIT("i"), w.serves_itself);
    tick(NULL);
    nt_connect_stream(w.loop, "127.0.0.1", here, &caller_ops, &w);
    nt_timer_set(w.loop, &w.late, CK_SEC(3), stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.tick);
}

static void reset(const char *open_with, const char *first, const char *second)
{
    sr_buf_free(&w.got);
    memset(&w, 0, sizeof(w));
    w.greets = w.leased = true;
    w.open_with = open_with;
    w.first = first;
    w.second = second;
}

static bool told(const char *what)
{
    return w.got.p && memmem(w.got.p, w.got.len, what, strlen(what));
}

static const char caller_opens[] = "STARTUP db me\r\n";

/* Promise attacked: what is told of a question at a silent node is true, and comes in time. */
static const struct row {
    const char *what, *first, *second;
    bool in_txn;
    const char *told;
    int within_ms, not_before_ms;
} rows[] = {
    {"a read is told at once", "QUERY a READ x\r\n", NULL, false, "ERROR BUSY ", 800, 0},
    {"a write is not called harmless, and told after its route's second",
     "QUERY a WRITE x y\r\n", NULL, false, "ERROR INDOUBT ", 1500, 1000},
    {"a statement of a transaction is rolled back", "QUERY a READ x\r\n",
     "QUERY b WRITE x y\r\n", true, "ERROR ABORTED ", 800, 0},
    {"the first write of a transaction, which may run outside of it, is told as soon",
     "QUERY a BEGIN\r\n", "QUERY b WRITE x y\r\n", true, "ERROR INDOUBT ", 800, 0},
    {"COMMIT after a write may have run", "QUERY a WRITE x y\r\n", "QUERY b COMMIT\r\n", true,
     "ERROR INDOUBT ", 1500, 1000},
};

/* Load: the node that holds a group freezes; its kernel takes bytes still. */
static void a_silent_holder_keeps_no_caller(void)
{
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        const struct row *r = &rows[i];
        reset(caller_opens, r->first, r->second);
        w.in_txn = r->in_txn;
        call(true);
        int64_t took = w.told_at - w.asked_at;
        if (!told(r->told) || !w.closed || took > CK_MS(r->within_ms) ||
            took < CK_MS(r->not_before_ms))
            CU_FAIL(r->what);
    }
    sr_buf_free(&w.got);
}

/* Load: nodes are cut off from all holders, and from none of their neighbours. */
static void who_reaches_no_holder_is_passed_on(void)
{
    reset(caller_opens, NULL, NULL);
    call(false);
    CU_ASSERT(told("READY I "));
    CU_ASSERT(strncmp(w.hello, "STARTUP db ~ferry+.1 ", 21) == 0);
    sr_buf_free(&w.got);
}

/* The other side of it: a node that holds nothing passes the session on to a holder, once. */
static void a_session_is_passed_on_once(void)
{
    reset("STARTUP db ~ferry+.1 me\r\n", NULL, NULL);
    call(true);
    CU_ASSERT(told("READY I "));
    CU_ASSERT(strncmp(w.hello, "STARTUP db ~ferry.1 ", 20) == 0);
    reset("STARTUP db ~ferry+.1 me\r\n", NULL, NULL);
    call(false);
    CU_ASSERT(!told("READY") && w.closed && !w.hello[0]);
    sr_buf_free(&w.got);
}

static const char reads[] = "QUERY a READ x\r\n", writes[] = "QUERY a WRITE x y\r\n";

static const struct still stills[] = {
    {.what = "a relayed read", reads, .at = ANSWERED, .ms = 1200, .opened = 1},
    {.what = "a relayed write", writes, .at = ANSWERED, .ms = 1200, .opened = 1},
    {.what = "a relayed session's greeting", reads, .at = GREETED, .ms = 1200, .opened = 1},
    {.what = "a trial of a slow node", reads, .after_tick = trial_began, .opened = 2},
    {.what = "an instance's greeting",
     reads,
     .serves_itself = true,
     .at = GREETED,
     .ms = 1200,
     .opened = 1},
    {.what = "a read", reads, .serves_itself = true, .at = ANSWERED, .ms = 1200, .opened = 1},
    {.what = "a write", writes, .serves_itself = true, .at = ANSWERED, .ms = 1200, .opened = 1},
    {.what = "a transaction that rests",
     "QUERY a BEGIN\r\n",
     reads,
     reads,
     .serves_itself = true,
     .in_txn = true,
     .at = ASKED_LAST,
     .ms = 4000,
     .opened = 1},
    {.what = "the lease",
     writes,
     .serves_itself = true,
     .after_tick = waits_for_lease,
     .opened = 1},
};

/* Guards against verdicts over what is in the socket: after a long step of the loop, timers
 * took nodes, instances and callers that had spoken for silent. */
static void what_has_come_is_no_silence(void)
{
    for (size_t i = 0; i < sizeof(stills) / sizeof(stills[0]); i++) {
        const struct still *x = &stills[i];
        reset(caller_opens, x->first, x->second);
        w.still = x;
        w.in_txn = x->in_txn;
        w.serves_itself = x->serves_itself;
        ck_pause(CK_SEC(1000));
        call(true);
        ck_resume();
        bool good = told("COMPLETE") && !told("ERROR") && !w.closed && w.opened == x->opened;
        if (!good)
            printf("\n    %s: opened %d, got %.*s", x->what, w.opened, (int)w.got.len,
                   w.got.p ? w.got.p : "");
        CU_ASSERT_TRUE(good);
    }
    sr_buf_free(&w.got);
}

static int answers(void)
{
    int n = 0;
    for (size_t i = 0; i + 5 <= w.got.len; i++)
        n += memcmp(w.got.p + i, "READY", 5) == 0;
    return n;
}

/* Guards against an answer in the place of another: a question that was given up was answered
 * after all, while its caller was being sent away; and against a caller that was sent away
 * while the rest of its next question was on its way. */
static void a_question_that_was_given_up_has_one_answer(void)
{
    static const struct still late = {.what = "", .before_tick = talks_on};
    reset(caller_opens, reads, NULL);
    w.still = &late;
    ck_pause(CK_SEC(1000));
    call(true);
    ck_resume();
    CU_ASSERT(told("ERROR BUSY ") && !told("COMPLETE") && w.closed);
    CU_ASSERT_EQUAL(answers(), 3);
    sr_buf_free(&w.got);
}

/* Guards against callers who were sent away ungreeted, though other holders had not been asked:
 * one that stops ends what is relayed to it, also what it has not greeted. */
static void who_is_ended_before_the_greeting_is_asked_no_more(void)
{
    reset(caller_opens, NULL, NULL);
    w.ends_early = true;
    call(true);
    CU_ASSERT(told("READY I ") && !w.closed);
    sr_buf_free(&w.got);
}

void silence_suite(void)
{
    CU_pSuite s = CU_add_suite("silence", NULL, NULL);
    TEST(s, what_has_come_is_no_silence);
    TEST(s, a_question_that_was_given_up_has_one_answer);
    TEST(s, who_is_ended_before_the_greeting_is_asked_no_more);
    TEST(s, a_silent_holder_keeps_no_caller);
    TEST(s, who_reaches_no_holder_is_passed_on);
    TEST(s, a_session_is_passed_on_once);
}
