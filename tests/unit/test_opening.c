/* How many connections a node opens at once to an instance that is slow to greet, while many of
 * its callers wait: each takes a slot there, and sixteen nodes do the same. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"
#include "proxy/proxy.h"
#include "task/net.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

enum { CALLERS = 12, SHARE = 8 };

static const char document[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"pathPrefix\":\"/\",\"kind\":"
    "\"primary\",\"timeoutMs\":2000,\"latencySloMs\":2000,\"priority\":1,\"service\":\"g\","
    "\"maxAttempts\":2}],\"services\":[{\"name\":\"g\",\"healthPath\":\"/\",\"maxConns\":131,"
    "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}";

static struct world {
    struct nt_loop *loop;
    struct px_proxy *p;
    struct nt_timer tick, late;
    bool greets; /* the instance does */
    int opened;  /* connections to it */
    int answered;
    struct nt_conn *callers[CALLERS];
} w;

/* ---- the instance ---- */

static void inst_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    static const char ready[] = "READY I 1.1\r\n";
    char line[96], done[96];
    snprintf(line, sizeof(line), "%.*s", (int)len, data);
    bool opens = len > 7 && memcmp(data, "STARTUP", 7) == 0;
    (void)ud;
    if (opens && w.greets)
        nt_send(c, ready, sizeof(ready) - 1);
    else if (!opens)
        nt_send(c, done, (size_t)snprintf(done, sizeof(done), "%s%s", on_success(line), ready));
}

static const struct nt_ops inst_ops = {on_no_open, inst_message, on_no_close};

static void *inst_accept(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    w.opened++;
    return &w;
}

/* ---- the callers ---- */

static void caller_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    nt_send(c, "STARTUP db me\r\nQUERY q1 READ x\r\n", 32);
}

static void caller_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)c;
    (void)ud;
    w.answered += memmem(data, len, "COMPLETE", 8) != NULL;
}

static const struct nt_ops caller_ops = {caller_open, caller_message, on_no_close};

/* ---- the node between them ---- */

static void tick(void *ud)
{
    (void)ud;
    px_tick(w.p, ck_now());
    nt_timer_set(w.loop, &w.tick, CK_MS(5), tick, NULL);
}

static void stop(void *ud)
{
    (void)ud;
    nt_stop(w.loop);
}

static void make_node(int port, int inst_port)
{
    static struct vw_group group;
    struct vw_view view = {.generation = 1, .n = 1, .groups = &group};
    group = (struct vw_group){.name = "g", .term = 1, .n = 1, .phase = VW_SERVING};
    group.inst[0] = (struct vw_instance){.id = "i", .ip = "127.0.0.1", .domain = "z"};
    group.inst[0].port = inst_port;
    view.doc = (struct vw_document){1, strdup(document), strlen(document)};
    w.p = on_create(w.loop, "n0", port, CALLERS, NULL);
    px_set_view(w.p, &view);
    free(view.doc.text);
    on_show_two_nodes(w.p, port);
    px_set_share(w.p, SR_LIT("i"), SHARE);
}

static void play(bool greets, int64_t for_us)
{
    struct er_err err = {0};
    int here = on_free_port(), there = on_free_port();
    w = (struct world){.loop = nt_loop_create(64, &err), .greets = greets};
    on_listen(w.loop, there, &inst_ops, inst_accept, NULL);
    make_node(here, there);
    tick(NULL);
    for (int i = 0; i < CALLERS; i++)
        nt_connect_stream(w.loop, "127.0.0.1", here, &caller_ops, &w);
    nt_timer_set(w.loop, &w.late, for_us, stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.tick);
}

/* One is opened, and the others only as the instance shows that it answers. */
static void connections_are_opened_within_the_window(void)
{
    play(false, CK_MS(200)); /* before a connect counts as silent */
    CU_ASSERT_EQUAL(w.opened, 1);
    play(true, CK_SEC(1));
    CU_ASSERT_EQUAL(w.answered, CALLERS);
    CU_ASSERT(w.opened >= 1 && w.opened <= SHARE);
}

void opening_suite(void)
{
    CU_pSuite s = CU_add_suite("opening", NULL, NULL);
    TEST(s, connections_are_opened_within_the_window);
}
