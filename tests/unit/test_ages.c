/* Which answers of an instance count as positions of the primary, by which the age of reads is
 * judged: a table of what a node knows when it asks and when the age is judged. Real sockets on
 * loopback, the clock is paused; the instances are stand-ins. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"
#include "proxy/proxy.h"
#include "task/net.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

enum { INSTANCES = 3, STEP_MS = 1000 };

static const char document[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"pathPrefix\":\"/\",\"kind\":"
    "\"bounded\",\"maxStalenessMs\":1500,\"timeoutMs\":9000,\"latencySloMs\":9000,"
    "\"priority\":1,\"service\":\"g\",\"maxAttempts\":2},{\"name\":\"p\",\"host\":\"newest\","
    "\"pathPrefix\":\"/\",\"kind\":\"primary\",\"timeoutMs\":9000,\"latencySloMs\":9000,"
    "\"priority\":1,\"service\":\"g\",\"maxAttempts\":2}],\"services\":[{\"name\":\"g\","
    "\"healthPath\":\"/\",\"maxConns\":50,\"syncReplicas\":0}],"
    "\"limits\":{\"txIdleMs\":60000}}";

static struct {
    struct nt_loop *loop;
    struct px_proxy *p;
    struct nt_timer tick, late;
    int port[INSTANCES], here;
    const struct row *row;
    bool leased;
    int answers;    /* that the first caller got */
    char last[128]; /* what an instance was sent for the second caller */
    enum vw_phase phase;
    uint64_t term;
    int primary;
    bool far; /* the primary, so that replicas are preferred */
} w;

/* A read transaction is open at instance 0, the primary of term 1. `then`: what happens before
 * a read of it, whose answer has position 1.6; `later`: what happens before another session
 * reads data of at most 1.5 s, 1 s after that. */
static const struct row {
    const char *what;
    void (*then)(void), (*later)(void);
    bool counts; /* position 1.6 is the floor of that read */
} rows[];

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
    px_tick(w.p, ck_now());
    nt_timer_set(w.loop, &w.tick, CK_MS(5), tick, NULL);
}

/* ---- the view ---- */

static void show(void)
{
    static uint64_t generation;
    static struct vw_group g;
    struct vw_view view = {.generation = ++generation, .n = 1, .groups = &g};
    g = (struct vw_group){
        .name = "g", .term = w.term, .n = INSTANCES, .phase = w.phase, .primary = w.primary};
    g.target = w.phase == VW_HANDING ? 1 : -1;
    for (int i = 0; i < INSTANCES; i++) {
        struct vw_instance *in = &g.inst[i];
        *in = (struct vw_instance){.ip = "127.0.0.1", .domain = "z", .port = w.port[i]};
        snprintf(in->id, sizeof(in->id), "i%d", i);
        if (w.far && i == w.primary)
            snprintf(in->domain, sizeof(in->domain), "far/y");
    }
    view.doc = (struct vw_document){1, strdup(document), strlen(document)};
    px_set_view(w.p, &view);
    free(view.doc.text);
}

static void show_view(enum vw_phase phase, uint64_t term, int primary)
{
    w.phase = phase;
    w.term = term;
    w.primary = primary;
    show();
}

static void nothing(void)
{
}

static void no_lease(void)
{
    w.leased = false;
    px_lease_lost(w.p);
}

static void give_shares(void)
{
    for (int i = 0; i < INSTANCES; i++) {
        char id[8];
        snprintf(id, sizeof(id), "i%d", i);
        px_set_share(w.p, sr_from(id), 4);
    }
}

static void lease_is_back(void)
{
    w.leased = true;
    give_shares();
}

/* No tick comes before the read, so the node has not settled yet. */
static void handing(void)
{
    nt_timer_cancel(&w.tick);
    show_view(VW_HANDING, 2, 0);
}

static void handing_settled(void)
{
    handing();
    tick(NULL);
    CU_ASSERT_TRUE(px_settled(w.p));
}

static void replacing(void)
{
    show_view(VW_REPLACING, 2, 0);
}

static void new_primary(void)
{
    show_view(VW_SERVING, 2, 1);
    tick(NULL);
}

static void handed_over(void)
{
    handing_settled();
    new_primary();
}

static void same_primary(void)
{
    show_view(VW_SERVING, 2, 0);
    tick(NULL);
}

static const struct row rows[] = {
    {"the primary of the term in force", nothing, nothing, true},
    {"it may have been replaced: this node has no lease", no_lease, lease_is_back, false},
    {"a planned change, before this node has settled", handing, new_primary, true},
    {"a planned change may go on", handing_settled, new_primary, false},
    {"a planned change that left the primary as it was", handing_settled, same_primary, false},
    {"before a planned change", nothing, handed_over, true},
    {"before a change that may lose the end of the log", nothing, new_primary, false},
    {"while a successor is chosen", replacing, new_primary, false},
};

/* ---- the instances ---- */

static void inst_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    char line[128], out[128];
    (void)ud;
    snprintf(line, sizeof(line), "%.*s", (int)len, data);
    if (strstr(line, "READ z")) {
        snprintf(w.last, sizeof(w.last), "%s", line);
        nt_stop(w.loop);
        return;
    }
    bool second = strstr(line, "READ y") != NULL;
    const char *done = strstr(line, "STARTUP") ? "" : on_success(line);
    int n = snprintf(out, sizeof(out), "%sREADY %c 1.%d\r\n", done, *done ? 'T' : 'I',
                     second ? 6 : 5);
    nt_send(c, out, (size_t)n);
}

static const struct nt_ops inst_ops = {on_no_open, inst_message, on_no_close};

static void *inst_accept(struct nt_conn *c, void *ud)
{
    (void)c;
    return ud;
}

/* ---- the callers ---- */

static void second_open(struct nt_conn *c, void *ud)
{
    static const char reads[] = "STARTUP db me\r\nQUERY d READ z\r\n";
    (void)ud;
    nt_send(c, reads, sizeof(reads) - 1);
}

static void second_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)c;
    (void)ud;
    (void)data;
    (void)len;
}

static const struct nt_ops second_ops = {second_open, second_message, on_no_close};

static void first_open(struct nt_conn *c, void *ud)
{
    static const char begins[] =
        "STARTUP newest me\r\nQUERY a BEGIN READ\r\nQUERY b READ x\r\n";
    (void)ud;
    nt_send(c, begins, sizeof(begins) - 1);
}

static void first_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    enum { OPENED = 3 }; /* the greeting, BEGIN and the first read are answered */
    (void)ud;
    for (size_t i = 0; i + 6 <= len; i++)
        w.answers += memcmp(data + i, "READY ", 6) == 0;
    if (w.answers == OPENED) {
        ck_advance(CK_MS(STEP_MS));
        w.row->then();
        nt_send(c, "QUERY c READ y\r\n", 16);
    } else if (w.answers > OPENED) {
        ck_advance(CK_MS(STEP_MS));
        w.row->later();
        w.far = true;
        show();
        nt_connect_stream(w.loop, "127.0.0.1", w.here, &second_ops, &w);
        nt_timer_set(w.loop, &w.late, CK_MS(200), stop, NULL);
    }
}

static const struct nt_ops first_ops = {first_open, first_message, on_no_close};

static void play(const struct row *row)
{
    struct er_err err = {0};
    memset(&w, 0, sizeof(w));
    w.row = row;
    w.leased = true;
    w.here = on_free_port();
    ck_pause(CK_SEC(1000));
    w.loop = nt_loop_create(64, &err);
    for (int i = 0; i < INSTANCES; i++) {
        w.port[i] = on_free_port();
        on_listen(w.loop, w.port[i], &inst_ops, inst_accept, &w.port[i]);
    }
    w.p = on_create(w.loop, "n0", w.here, 8, leased);
    show_view(VW_SERVING, 1, 0);
    on_show_two_nodes(w.p, w.here);
    give_shares();
    tick(NULL);
    nt_connect_stream(w.loop, "127.0.0.1", w.here, &first_ops, &w);
    nt_timer_set(w.loop, &w.late, CK_SEC(2), stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.tick);
    ck_resume();
}

/* Guards against STALE: answers of an instance that was no longer the primary counted as
 * positions of the primary, so that reads at replicas were too old. */
static void only_the_present_primary_tells_the_age(void)
{
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        play(&rows[i]);
        /* Without a floor the primary is read. */
        bool floor = strstr(w.last, "WAITLSN 1.6") != NULL;
        bool good = w.last[0] && floor == rows[i].counts;
        if (!good || w.answers < 4)
            printf("\n    %s: %d answers, then an instance was sent \"%s\"", rows[i].what,
                   w.answers, w.last);
        CU_ASSERT_TRUE(good && w.answers == 4);
    }
}

SUITE(ages)
{
    CU_pSuite s = CU_add_suite("ages", NULL, NULL);
    TEST(s, only_the_present_primary_tells_the_age);
}
