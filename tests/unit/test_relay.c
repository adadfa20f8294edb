/* The relay of sessions between entry nodes: what a caller gets when the node that serves its
 * session ends it, as a fault table. Real sockets on loopback; the other node is a stand-in. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"
#include "proxy/proxy.h"
#include "task/net.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

enum { NODES = 5, HOLDERS = 3 }; /* so that one has to relay */

static const char document_of[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"pathPrefix\":\"/\",\"kind\":"
    "\"primary\",\"timeoutMs\":1000,\"latencySloMs\":200,\"priority\":1,\"service\":\"g\","
    "\"maxAttempts\":2}],\"services\":[{\"name\":\"g\",\"healthPath\":\"/\",\"maxConns\":%d,"
    "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}";

/* What the other node does with the caller's question, and what the caller is told. */
static const struct fault {
    const char *what, *answer, *told;
    bool refused;
    /* All nodes hold the group, and ours, which does not connect first, reaches no instance. */
    bool all_hold;
    /* What the caller asks ("QUERY q1 READ x"), and what it asks after the first answer; the
     * other node closes the connection at the latter. How many errors it is told. */
    const char *asks, *then;
    int errors;
} faults[] = {
    {"it answers, then ends the session at rest", "COMPLETE x\r\nREADY I -\r\nTERMINATE\r\n",
     "READY I -\r\nCOMPLETE x\r\nREADY I -\r\n", false, false, NULL, NULL, 0},
    {"it had ended the session before the question came", "TERMINATE\r\n",
     "READY I -\r\nERROR BUSY ", true, false, NULL, NULL, 0},
    {"the same in two pieces", "TERMI|NATE\r\n", "READY I -\r\nERROR BUSY ", true, false, NULL,
     NULL, 0},
    {"it ended the session in a failed transaction", "COMPLETE x\r\nREADY E -\r\nTERMINATE\r\n",
     "READY I -\r\nCOMPLETE x\r\nREADY E -\r\n", false, false, NULL, NULL, 0},
    {"an answer in pieces, all of it passed on", "DATAROW y\r\nCOMP|LETE x\r\nREADY I -\r\n",
     "READY I -\r\nDATAROW y\r\nCOMPLETE x\r\nREADY I -\r\n", false, false, NULL, NULL, 0},
    {"all nodes hold the group, but this one has no connection to its primary",
     "COMPLETE x\r\nREADY I -\r\n", "READY I -\r\nCOMPLETE x\r\nREADY I -\r\n", false, true,
     NULL, NULL, 0},
    {"it answers the first of two, then ends the session",
     "COMPLETE x\r\nREADY I -\r\nTERMINATE\r\n",
     "READY I -\r\nCOMPLETE x\r\nREADY I -\r\nERROR BUSY ", true, false,
     "QUERY q1 READ x\r\nQUERY q2 WRITE x y\r\n", NULL, 1},
    {"it had ended the session before three came", "TERMINATE\r\n", "READY I -\r\nERROR BUSY ",
     true, false, "QUERY q1 READ x\r\nQUERY q2 WRITE x y\r\nQUERY q3 READ x\r\n", NULL, 3},
    {"it answers one of two and is lost when a third came", "COMPLETE x\r\nREADY I -\r\n",
     "READY I -\r\nCOMPLETE x\r\nREADY I -\r\nERROR INDOUBT ", true, false,
     "QUERY q1 READ x\r\nQUERY q2 WRITE x y\r\n", "QUERY q3 READ x\r\n", 2},
};

static struct world {
    struct nt_loop *loop;
    const struct fault *f;
    struct nt_conn *there; /* the relayed session at the other node */
    struct sr_buf got;     /* by the caller */
    bool asked, asked_then, closed;
    bool no_lease;
    struct px_proxy *p;
    struct nt_timer rest; /* sends the second piece */
    struct nt_timer tick;
    struct nt_timer late;
} w;

static void stop(void *ud)
{
    (void)ud;
    nt_stop(w.loop);
}

static void tick(void *ud)
{
    (void)ud;
    px_tick(w.p, ck_now());
    nt_timer_set(w.loop, &w.tick, CK_MS(5), tick, NULL);
}

/* ---- the other node ---- */

static void send_second(void *ud)
{
    const char *bar = strchr(w.f->answer, '|');
    (void)ud;
    if (w.there)
        nt_send(w.there, bar + 1, strlen(bar + 1));
}

static void send_answer(struct nt_conn *c)
{
    const char *bar = strchr(w.f->answer, '|');
    nt_send(c, w.f->answer, bar ? (size_t)(bar - w.f->answer) : strlen(w.f->answer));
    if (bar)
        nt_timer_set(w.loop, &w.rest, CK_MS(20), send_second, NULL);
}

static void there_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)ud;
    if (len > 7 && memcmp(data, "STARTUP", 7) == 0)
        nt_send(c, "READY I -\r\n", 11);
    else if (memmem(data, len, "q3", 2) && w.f->then)
        nt_close(c, true);
    else
        send_answer(c);
}

static void there_open(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
}

static void there_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
    w.there = NULL;
}

static const struct nt_ops there_ops = {there_open, there_message, there_close};

static void *there_accept(struct nt_conn *c, void *ud)
{
    (void)ud;
    w.there = c;
    return &w;
}

/* ---- the caller ---- */

static void caller_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    nt_send(c, "STARTUP db me\r\n", 15);
}

/* Of the next play: what the caller says when it was told of an error. */
static const char *rest_of_input;

static void caller_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)ud;
    sr_buf_add(&w.got, data, len);
    if (rest_of_input && memmem(data, len, "ERROR ", 6)) {
        nt_send(c, rest_of_input, strlen(rest_of_input));
        return;
    }
    const char *asks = w.f->asks ? w.f->asks : "QUERY q1 READ x\r\n";
    if (!w.asked)
        nt_send(c, asks, strlen(asks));
    else if (w.f->then && !w.asked_then)
        nt_send(c, w.f->then, strlen(w.f->then));
    else if (!w.f->then && !strstr(w.f->answer, "TERM") && w.got.len >= strlen(w.f->told))
        nt_stop(w.loop); /* nothing is closed in this case */
    w.asked_then = w.asked;
    w.asked = true;
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

static bool leased(void *ud)
{
    (void)ud;
    return !w.no_lease;
}

/* All nodes but ours are the stand-in; ours is the first that does not hold the group. */
static const char *fill_nodes(struct ho_node nodes[NODES], int port)
{
    int holders[HO_MAX_HOLDERS];
    for (int i = 0; i < NODES; i++) {
        nodes[i] = (struct ho_node){.domain = "z", .ip = "127.0.0.1", .port = port};
        snprintf(nodes[i].name, sizeof(nodes[i].name), "n%d", i);
    }
    ho_prepare(nodes, NODES);
    int k = ho_pick(nodes, NODES, "g", 3, holders);
    for (int i = 0; i < NODES; i++) {
        bool holds = false;
        for (int h = 0; h < k; h++)
            holds = holds || holders[h] == i;
        if (!holds)
            return nodes[i].name;
    }
    return NULL;
}

static struct px_proxy *make_proxy(const char *name, int port)
{
    static struct vw_group group;
    char document[sizeof(document_of) + 8];
    struct px_proxy *p = on_create(w.loop, name, port, 8, leased);
    struct vw_view view = {.generation = 1, .n = 1, .groups = &group};
    group = (struct vw_group){.name = "g", .term = 1, .n = 1};
    group.inst[0] = (struct vw_instance){.id = "i", .ip = "127.0.0.1", .domain = "z"};
    group.inst[0].port = on_free_port(); /* nobody is there */
    snprintf(document, sizeof(document), document_of, w.f->all_hold ? 25 : 1);
    view.doc = (struct vw_document){1, strdup(document), strlen(document)};
    px_set_view(p, &view);
    free(view.doc.text);
    return p;
}

/* Holder number `near` is in another failure domain of our region, all others in another
 * region.
 */
static void spread_over_regions(struct ho_node nodes[NODES], int near)
{
    int holders[HO_MAX_HOLDERS];
    ho_pick(nodes, NODES, "g", HOLDERS, holders);
    for (int h = 0; h < HOLDERS; h++)
        snprintf(nodes[holders[h]].domain, sizeof(nodes[0].domain), "%s",
                 h == near ? "y" : "far/x");
}

/* `near`: -1, all nodes are in our failure domain. */
static void play_over_regions(const struct fault *f, int near)
{
    struct er_err err = {0};
    struct ho_node nodes[NODES];
    w = (struct world){.loop = nt_loop_create(64, &err), .f = f};
    int there = on_free_port();
    struct nt_listen l = {.ip = "127.0.0.1",
                          .port = there,
                          .stream = true,
                          .ops = &there_ops,
                          .accept = there_accept};
    CU_ASSERT_PTR_NOT_NULL(nt_listen(w.loop, &l, &err));
    const char *name = fill_nodes(nodes, there);
    if (near >= 0)
        spread_over_regions(nodes, near);
    int here = on_free_port();
    w.p = make_proxy(name, here);
    px_set_nodes(w.p, nodes, NODES);
    tick(NULL);
    nt_connect_stream(w.loop, "127.0.0.1", here, &caller_ops, &w);
    nt_timer_set(w.loop, &w.late, CK_SEC(2), stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.rest);
    nt_timer_cancel(&w.tick);
}

static void play(const struct fault *f)
{
    play_over_regions(f, -1);
}

/* What the node's metrics say of `name`; -1: nothing. */
static int metric(const char *name)
{
    struct sr_buf text = {0};
    px_metrics(w.p, &text);
    sr_buf_add(&text, "", 1);
    const char *at = strstr(text.p, name);
    int n = at ? atoi(at + strlen(name)) : -1;
    sr_buf_free(&text);
    return n;
}

/* How often the node says that it closed a caller's connection for this reason. */
static int closed_for(const char *why)
{
    char name[80];
    snprintf(name, sizeof(name), "ferry_session_closed_total{why=\"%s\"} ", why);
    return metric(name);
}

static int errors_told(void)
{
    int n = 0;
    for (size_t i = 0; i + 6 <= w.got.len; i++)
        n += memcmp(w.got.p + i, "ERROR ", 6) == 0;
    return n;
}

/* Promise attacked: a planned stop of the node that serves a session loses no question that
 * another node has read: it is answered, or refused as not run, before the connection ends. */
static void ends_of_relayed_sessions_lose_no_question(void)
{
    for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        const struct fault *f = &faults[i];
        play(f);
        bool ends = strstr(f->answer, "TERM") != NULL, lost = f->then != NULL;
        bool told =
            w.got.len >= strlen(f->told) && memcmp(w.got.p, f->told, strlen(f->told)) == 0;
        bool refused = memmem(w.got.p, w.got.len, "ERROR", 5);
        bool clean = !memmem(w.got.p, w.got.len, "TERMI", 5) && (refused == f->refused);
        bool counted = !f->asks || errors_told() == f->errors;
        bool named = closed_for("holder_ends") == ends && closed_for("holder_lost") == lost;
        if (!told || !clean || !counted || w.closed != (ends || lost) || !named) {
            printf("%s: %.*s\n", f->what, (int)w.got.len, w.got.p);
            CU_FAIL(f->what);
        }
        sr_buf_free(&w.got);
    }
}

/* Guards against REFUSED: the node that serves a session is lost with the COMMIT of a
 * transaction that wrote, and the caller was promised that nothing is kept, as its id is long.
 */
static void a_commit_with_a_long_id_is_in_doubt_when_its_node_is_lost(void)
{
    static const int lengths[] = {16, 148, 200, 4096};
    for (size_t i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
        struct sr_buf commit = {0};
        sr_buf_printf(&commit, "QUERY q3%0*d COMMIT\r\n", lengths[i], 0);
        sr_buf_add(&commit, "", 1);
        const struct fault f = {.what = "a commit with a long id",
                                .answer = "COMPLETE x\r\nREADY T -\r\n",
                                .asks = "QUERY q1 WRITE x y\r\n",
                                .then = commit.p};
        play(&f);
        CU_ASSERT(memmem(w.got.p, w.got.len, "ERROR INDOUBT ", 14) && errors_told() == 1);
        sr_buf_free(&w.got);
        sr_buf_free(&commit);
    }
}

/* Guards against REFUSED: the outcome of a request of the transaction is not known, so a later
 * one does not promise that nothing of the transaction is kept. */
static void a_request_after_one_in_doubt_promises_nothing(void)
{
    static const struct fault f = {.what = "two requests that can't be parsed, then COMMIT",
                                   .answer = "COMPLETE x\r\nREADY T -\r\n",
                                   .asks = "QUERY q1 WRITE x y\r\n",
                                   .then = "QUERY q3 HELLO\r\nQUERY q4 WRITE x z\r\nQ"};
    rest_of_input = "UERY q5 COMMIT\r\n";
    play(&f);
    rest_of_input = NULL;
    CU_ASSERT_EQUAL(errors_told(), 3);
    CU_ASSERT_PTR_NULL(memmem(w.got.p, w.got.len, "ERROR ABORTED ", 14));
    sr_buf_free(&w.got);
}

/* Load: callers of a failure domain without a holder, where the link between regions is narrow
 * and far: they are served within their region, whichever holder is there. */
static void a_relay_stays_in_its_region(void)
{
    static const struct fault served = {"",
                                        "COMPLETE x\r\nREADY I -\r\n",
                                        "READY I -\r\nCOMPLETE x\r\nREADY I -\r\n",
                                        false,
                                        false,
                                        NULL,
                                        NULL,
                                        0};
    for (int near = 0; near < HOLDERS; near++) {
        play_over_regions(&served, near);
        CU_ASSERT(w.got.len >= strlen(served.told));
        CU_ASSERT(metric("bytes_out_total{peer=\"node\",within=\"region\"} ") > 0);
        CU_ASSERT_EQUAL(metric("bytes_out_total{peer=\"node\",within=\"any\"} "), 0);
        sr_buf_free(&w.got);
    }
}

/* ---- a node that can't serve what is relayed to it ---- */

static void relaying_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    nt_send(c, "STARTUP db ~ferry\r\n", 19);
}

static void relaying_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)c;
    (void)ud;
    sr_buf_add(&w.got, data, len);
    nt_stop(w.loop);
}

static const struct nt_ops relaying_ops = {relaying_open, relaying_message, caller_close};

static void relay_a_session(void *ud)
{
    nt_connect_stream(w.loop, "127.0.0.1", *(int *)ud, &relaying_ops, &w);
}

static void lose_the_lease(void *ud)
{
    (void)ud;
    w.no_lease = true;
}

/* The first node that holds the group is asked to open a session for another node's caller,
 * after it had a lease. */
static void relay_to_holder(bool loses_lease)
{
    static const struct fault none = {"", "", "", false, false, NULL, NULL, 0};
    struct er_err err = {0};
    struct ho_node nodes[NODES];
    struct nt_timer lose = {0};
    int holders[HO_MAX_HOLDERS], here = on_free_port();
    w = (struct world){.loop = nt_loop_create(64, &err), .f = &none};
    fill_nodes(nodes, here);
    ho_pick(nodes, NODES, "g", 3, holders);
    w.p = make_proxy(nodes[holders[0]].name, here);
    px_set_nodes(w.p, nodes, NODES);
    tick(NULL);
    if (loses_lease)
        nt_timer_set(w.loop, &lose, CK_MS(50), lose_the_lease, NULL);
    nt_timer_set(w.loop, &w.rest, CK_MS(500), relay_a_session, &here);
    nt_timer_set(w.loop, &w.late, CK_SEC(2), stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.rest);
    nt_timer_cancel(&w.tick);
}

/* Load: a sixth of all nodes are cut off from control, holders among them; sessions that are
 * relayed to these go on to another holder at once. */
static void a_node_that_is_cut_off_opens_no_relayed_session(void)
{
    relay_to_holder(false);
    CU_ASSERT(w.got.len > 0 && !w.closed);
    sr_buf_free(&w.got);
    relay_to_holder(true);
    CU_ASSERT(w.got.len == 0 && w.closed);
    CU_ASSERT_EQUAL(closed_for("not_taken"), 1);
    sr_buf_free(&w.got);
}

/* ---- a node that is cut off from control, and its own callers ---- */

static void call_the_node(void *ud)
{
    nt_connect_stream(w.loop, "127.0.0.1", *(int *)ud, &caller_ops, &w);
}

/* A holder that had a lease and lost it is called. `reaches`: another holder can be reached and
 * has a lease; else nobody is at the others' addresses. */
static void call_cut_off_node(const struct fault *f, bool reaches)
{
    struct er_err err = {0};
    struct ho_node nodes[NODES];
    struct nt_timer lose = {0};
    int holders[HO_MAX_HOLDERS], here = on_free_port(), there = on_free_port();
    w = (struct world){.loop = nt_loop_create(64, &err), .f = f};
    struct nt_listen l = {.ip = "127.0.0.1",
                          .port = there,
                          .stream = true,
                          .ops = &there_ops,
                          .accept = there_accept};
    if (reaches)
        CU_ASSERT_PTR_NOT_NULL(nt_listen(w.loop, &l, &err));
    fill_nodes(nodes, there);
    ho_pick(nodes, NODES, "g", 3, holders);
    w.p = make_proxy(nodes[holders[0]].name, here);
    px_set_nodes(w.p, nodes, NODES);
    tick(NULL);
    nt_timer_set(w.loop, &lose, CK_MS(50), lose_the_lease, NULL);
    nt_timer_set(w.loop, &w.rest, CK_MS(500), call_the_node, &here);
    nt_timer_set(w.loop, &w.late, CK_SEC(3), stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.rest);
    nt_timer_cancel(&w.tick);
}

/* Load: most nodes of a failure domain are cut off from control, and the balancer uses them
 * still. What their callers ask is served by a node that has a lease; where none can be reached
 * they are sent away before a session is opened. */
static void a_cut_off_node_relays_its_callers(void)
{
    static const struct fault served = {"",
                                        "COMPLETE x\r\nREADY I -\r\n",
                                        "READY I -\r\nCOMPLETE x\r\nREADY I -\r\n",
                                        false,
                                        false,
                                        NULL,
                                        NULL,
                                        0},
                              alone = {"", "", "ERROR BUSY ", true, false, NULL, NULL, 0};
    const struct fault *rows[] = {&served, &alone};
    for (int i = 0; i < 2; i++) {
        const struct fault *f = rows[i];
        call_cut_off_node(f, i == 0);
        size_t n = strlen(f->told);
        CU_ASSERT(w.got.len >= n && memcmp(w.got.p, f->told, n) == 0);
        sr_buf_free(&w.got);
    }
}

void relay_suite(void)
{
    CU_pSuite s = CU_add_suite("relay", NULL, NULL);
    TEST(s, ends_of_relayed_sessions_lose_no_question);
    TEST(s, a_commit_with_a_long_id_is_in_doubt_when_its_node_is_lost);
    TEST(s, a_request_after_one_in_doubt_promises_nothing);
    TEST(s, a_relay_stays_in_its_region);
    TEST(s, a_node_that_is_cut_off_opens_no_relayed_session);
    TEST(s, a_cut_off_node_relays_its_callers);
}
