/* Which of the nodes that serve sessions can be reached: as tables of what happens when, under
 * a load whose statements differ in length, and with a node that stops answering on real
 * sockets.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "misc/clock.h"
#include "misc/rng.h"
#include "proxy/reach.h"
#include "task/net.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

enum {
    STEP_US = 50000,
    /* A caller that waits 2.5 s at most is told when it can still be served elsewhere. */
    TOLD_WITHIN_US = 1250000,
};

/* Load: questions are open from `asked_ms` on; the node is heard at `heard_ms`, if not 0, and
 * answers tests from the `takes`th on, 0: none. */
static const struct situation {
    const char *what;
    int asked_ms, heard_ms, takes;
    bool lost;
} situations[] = {
    {"a partition", 100, 0, 0, true},
    {"statements that take seconds at a node that answers tests", 100, 0, 1, false},
    {"the first packet of a test is lost", 100, 0, 2, false},
    {"nothing is asked of it", 1000000, 0, 0, false},
    {"it answers late, but before all tests are lost", 100, 900, 1, false},
    {"a partition after it was heard", 100, 300, 0, true},
};

static int64_t play(const struct situation *f, struct px_reach *r)
{
    int tests = 0;
    for (int64_t t = STEP_US; t < CK_SEC(3); t += STEP_US) {
        if (f->heard_ms && t == CK_MS(f->heard_ms))
            px_reach_heard(r);
        enum px_reach_step step = px_reach_tick(r, t >= CK_MS(f->asked_ms), t);
        if (step == PX_REACH_LOST)
            return t;
        if (step == PX_REACH_TEST && f->takes && ++tests >= f->takes)
            px_reach_heard(r);
    }
    return 0;
}

static void only_a_partition_loses_a_node(void)
{
    for (size_t i = 0; i < sizeof(situations) / sizeof(situations[0]); i++) {
        const struct situation *f = &situations[i];
        struct px_reach r = {0};
        int64_t lost_at = play(f, &r);
        int64_t since = CK_MS(f->heard_ms > f->asked_ms ? f->heard_ms : f->asked_ms);
        if (r.lost != f->lost || (f->lost && lost_at - since > TOLD_WITHIN_US))
            CU_FAIL(f->what);
    }
}

/* Load: this node is frozen for seconds with questions open; when it wakes, answers need a
 * moment to come. */
static void a_node_that_stood_still_itself_waits_for_answers(void)
{
    struct px_reach r = {0};
    int64_t t = CK_SEC(1), until;
    px_reach_tick(&r, 1, t);
    t += CK_SEC(6);
    for (until = t + CK_MS(500); t < until; t += STEP_US)
        CU_ASSERT_NOT_EQUAL(px_reach_tick(&r, 1, t), PX_REACH_LOST);
}

/* The partition ends: its callers come back within a second. */
static void a_lost_node_is_tested_until_it_answers(void)
{
    struct px_reach r = {0};
    int64_t t = play(&situations[0], &r), until = t + CK_SEC(10);
    int tests = 0;
    for (; t < until; t += STEP_US)
        tests += px_reach_tick(&r, 0, t) == PX_REACH_TEST;
    CU_ASSERT(tests >= 10 && tests <= 20);
    px_reach_heard(&r);
    CU_ASSERT_FALSE(r.lost);
    CU_ASSERT_EQUAL(px_reach_tick(&r, 1, t + STEP_US), PX_REACH_WAIT);
}

/* Load: eight sessions that ask one node in turn, 5 to 60 ms a statement, 3 in 100 of them
 * seven times as long, a packet in twenty of a test lost; from `cut_at` on nothing comes
 * through. The time at which the node was taken for lost, 0: never. */
static int64_t play_load(uint64_t seed, int64_t cut_at, int64_t until)
{
    enum { SESSIONS = 8 };
    struct rn_rng rng = rn_seed(seed);
    struct px_reach r = {0};
    int64_t answer_at[SESSIONS] = {0}, asks_at[SESSIONS];
    for (int i = 0; i < SESSIONS; i++)
        asks_at[i] = (int64_t)rn_below(&rng, CK_SEC(1));
    for (int64_t t = STEP_US; t < until; t += STEP_US) {
        int open = 0;
        for (int i = 0; i < SESSIONS; i++) {
            if (answer_at[i] && answer_at[i] <= t && answer_at[i] < cut_at) {
                px_reach_heard(&r);
                answer_at[i] = 0;
                asks_at[i] = t + (int64_t)rn_below(&rng, CK_SEC(4));
            } else if (!answer_at[i] && asks_at[i] <= t) {
                int64_t work = CK_MS(5) + (int64_t)rn_below(&rng, CK_MS(55));
                answer_at[i] = t + (rn_below(&rng, 100) < 3 ? 7 * work : work);
            }
            open += answer_at[i] != 0;
        }
        enum px_reach_step step = px_reach_tick(&r, open, t);
        if (step == PX_REACH_LOST)
            return t;
        if (step == PX_REACH_TEST && t < cut_at && rn_below(&rng, 20) > 0)
            px_reach_heard(&r);
    }
    return 0;
}

/* The worst of a hundred seeds counts. */
static void load_is_no_partition_and_a_partition_is_found(void)
{
    for (uint64_t seed = 1; seed <= 100; seed++) {
        int64_t cut_at = CK_SEC(5);
        CU_ASSERT_EQUAL(play_load(seed, CK_SEC(100), CK_SEC(30)), 0);
        int64_t at = play_load(seed, cut_at, CK_SEC(12));
        /* The first question after the cut may come a second later. */
        if (at < cut_at || at > cut_at + CK_SEC(1) + TOLD_WITHIN_US)
            CU_FAIL("a partition was not found in its time");
    }
}

/* ---- a node that stops answering, on sockets ---- */

enum { NODES = 5, FILLERS = 4 };

static struct world {
    struct nt_loop *loop;
    struct px_proxy *p;
    int there, session;   /* the other node: a listener, the relayed session */
    int fillers[FILLERS]; /* they fill its queue of new connections */
    bool frozen;          /* its kernel takes connections, nobody answers on them */
    bool asked, closed;
    int64_t asked_at, closed_at;
    struct nt_timer tick, late;
} w;

static void stop(void *ud)
{
    (void)ud;
    nt_stop(w.loop);
}

static struct sockaddr_in address(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return a;
}

static void listen_there(int port)
{
    struct sockaddr_in a = address(port);
    w.there = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    CU_ASSERT_EQUAL(bind(w.there, (struct sockaddr *)&a, sizeof(a)), 0);
    CU_ASSERT_EQUAL(listen(w.there, 0), 0);
}

/* Packets for new connections are dropped from now on, as behind a partition. */
static void take_no_more(int port)
{
    struct sockaddr_in a = address(port);
    for (int i = 0; i < FILLERS; i++) {
        w.fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect(w.fillers[i], (struct sockaddr *)&a, sizeof(a));
    }
}

static void tick(void *ud)
{
    int *port = ud;
    if (w.session < 0 && (w.session = accept(w.there, NULL, NULL)) >= 0) {
        CU_ASSERT_EQUAL(write(w.session, "READY I -\r\n", 11), 11);
        if (!w.frozen)
            take_no_more(*port);
    }
    px_tick(w.p, ck_now());
    nt_timer_set(w.loop, &w.tick, CK_MS(5), tick, ud);
}

static void caller_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    nt_send(c, "STARTUP db me\r\n", 15);
}

static void caller_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)ud;
    (void)data;
    (void)len;
    if (!w.asked)
        nt_send(c, "QUERY q1 READ x\r\n", 17);
    w.asked = true;
    w.asked_at = ck_now();
}

static void caller_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
    w.closed = true;
    w.closed_at = ck_now();
    nt_stop(w.loop);
}

static const struct nt_ops caller_ops = {caller_open, caller_message, caller_close};

static const char document[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"pathPrefix\":\"/\",\"kind\":"
    "\"primary\",\"timeoutMs\":1000,\"latencySloMs\":200,\"priority\":1,\"service\":\"g\","
    "\"maxAttempts\":2}],\"services\":[{\"name\":\"g\",\"healthPath\":\"/\",\"maxConns\":1,"
    "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}";

/* Our node is one that does not hold the group; all others are at the stand-in's address. */
static void make_node(int here, int there)
{
    struct ho_node nodes[NODES];
    int holders[HO_MAX_HOLDERS], self = -1;
    for (int i = 0; i < NODES; i++) {
        nodes[i] = (struct ho_node){.domain = "z", .ip = "127.0.0.1", .port = there};
        snprintf(nodes[i].name, sizeof(nodes[i].name), "n%d", i);
    }
    ho_prepare(nodes, NODES);
    int k = ho_pick(nodes, NODES, "g", 3, holders);
    for (int i = 0; i < NODES; i++) {
        bool holds = false;
        for (int h = 0; h < k; h++)
            holds = holds || holders[h] == i;
        self = holds ? self : i;
    }
    static char name[sizeof(nodes[0].name)];
    snprintf(name, sizeof(name), "n%d", self);
    w.p = on_create(w.loop, name, here, 8, NULL);
    struct vw_group group = {.name = "g", .term = 1, .n = 1};
    group.inst[0] = (struct vw_instance){.id = "i", .ip = "127.0.0.1", .domain = "z"};
    group.inst[0].port = on_free_port();
    struct vw_view view = {.generation = 1, .n = 1, .groups = &group};
    char *text = strdup(document);
    view.doc = (struct vw_document){1, text, strlen(text)};
    px_view(w.p, &view);
    free(text);
    px_nodes(w.p, nodes, NODES);
}

static void ask_lost_node(bool frozen)
{
    struct er_err err = {0};
    int here = on_free_port(), there = on_free_port();
    w = (struct world){.loop = nt_loop_create(64, &err), .session = -1, .frozen = frozen};
    listen_there(there);
    make_node(here, there);
    tick(&there);
    nt_connect_stream(w.loop, "127.0.0.1", here, &caller_ops, &w);
    nt_timer_set(w.loop, &w.late, CK_SEC(3), stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.tick);
    CU_ASSERT(w.asked && w.closed && w.closed_at - w.asked_at <= TOLD_WITHIN_US);
    struct sr_buf text = {0};
    px_metrics(w.p, &text);
    sr_buf_add(&text, "", 1);
    CU_ASSERT_PTR_NOT_NULL(strstr(text.p, "nodes_out_of_reach 1\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text.p, "closed_total{why=\"holder_lost\"} 1\n"));
    sr_buf_free(&text);
    for (int i = 0; i < FILLERS && !frozen; i++)
        close(w.fillers[i]);
    close(w.session);
    close(w.there);
}

/* Promise attacked: a caller learns of a node that is lost, behind a partition or frozen, while
 * another try can be served. */
static void questions_to_a_lost_node_end_soon(void)
{
    ask_lost_node(false);
    ask_lost_node(true);
}

void reach_suite(void)
{
    CU_pSuite s = CU_add_suite("reach", NULL, NULL);
    TEST(s, only_a_partition_loses_a_node);
    TEST(s, a_node_that_stood_still_itself_waits_for_answers);
    TEST(s, a_lost_node_is_tested_until_it_answers);
    TEST(s, load_is_no_partition_and_a_partition_is_found);
    TEST(s, questions_to_a_lost_node_end_soon);
}
