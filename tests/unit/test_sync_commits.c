/* Commits at an instance that answers them once a replica has received them: none is
 * acknowledged in a term that this node has dropped, and those that wait for a replica are no
 * evidence against the instance. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"
#include "proxy/proxy.h"
#include "task/net.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

enum { CALLERS = 6, INSTANCES = 3 };

static struct {
    struct nt_loop *loop;
    struct px_proxy *p;
    struct nt_timer tick, step, late;
    int port[INSTANCES];
    int copies;     /* syncReplicas of the document */
    int timeout_ms; /* of the route */
    bool leased;
    bool in_txn;             /* of the single caller, at the primary */
    bool answers_writes;     /* or they stay without an answer */
    struct nt_conn *waiting; /* the commit on it has no answer yet */
    bool settled;            /* px_settled when the commit was answered */
    void (*meanwhile)(void); /* called when the commit has arrived */
    int64_t answer_after_us;
    char told[256]; /* what the caller got since it sent the commit */
} w;

static bool leased(void *ud)
{
    (void)ud;
    return w.leased;
}

/* ---- the view ---- */

static void show_view(enum vw_phase phase, uint64_t term)
{
    static uint64_t generation;
    static struct vw_group g;
    struct vw_view view = {.generation = ++generation, .n = 1, .groups = &g};
    char text[512];
    g = (struct vw_group){.name = "g", .term = term, .n = INSTANCES, .phase = phase};
    g.target = phase == VW_HANDING ? 1 : -1;
    for (int i = 0; i < INSTANCES; i++) {
        struct vw_instance *in = &g.inst[i];
        *in = (struct vw_instance){.ip = "127.0.0.1", .domain = "z", .port = w.port[i]};
        snprintf(in->id, sizeof(in->id), "i%d", i);
    }
    snprintf(text, sizeof(text),
             "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"pathPrefix\":\"/\","
             "\"kind\":\"own\",\"timeoutMs\":%d,\"latencySloMs\":%d,\"priority\":1,"
             "\"service\":\"g\",\"maxAttempts\":2,\"maxStalenessMs\":60000}],\"services\":[{"
             "\"name\":\"g\",\"maxConns\":131,\"syncReplicas\":%d}],"
             "\"limits\":{\"txIdleMs\":3000}}",
             w.timeout_ms, w.timeout_ms, w.copies);
    view.doc = (struct vw_document){1, strdup(text), strlen(text)};
    px_set_view(w.p, &view);
    free(view.doc.text);
}

static void nothing(void)
{
}

static void replace(void)
{
    show_view(VW_REPLACING, 2);
}

static void hand_over(void)
{
    show_view(VW_HANDING, 2);
}

static void lose_lease(void)
{
    w.leased = false;
    px_lease_lost(w.p);
}

/* ---- the instances ---- */

static void answer(struct nt_conn *c, const char *done)
{
    char out[96];
    int n = snprintf(out, sizeof(out), "%sREADY %c 1.7\r\n", done, w.in_txn ? 'T' : 'I');
    nt_send(c, out, (size_t)n);
}

static void answer_commit(void *ud)
{
    (void)ud;
    w.settled = px_settled(w.p);
    answer(w.waiting, on_success(" COMMIT"));
}

static void on_commit(struct nt_conn *c)
{
    if (!w.answers_writes)
        return;
    w.in_txn = false;
    w.waiting = c;
    w.meanwhile();
    nt_timer_set(w.loop, &w.step, w.answer_after_us, answer_commit, NULL);
}

static void inst_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    char line[256];
    (void)ud;
    snprintf(line, sizeof(line), "%.*s", (int)len, data);
    if (strstr(line, "STARTUP")) {
        answer(c, "");
    } else if (strstr(line, "COMMIT") || (strstr(line, "WRITE") && !w.in_txn)) {
        on_commit(c);
    } else {
        w.in_txn = w.in_txn || strstr(line, "BEGIN") != NULL;
        char done[96];
        snprintf(done, sizeof(done), "%s%s", strstr(line, "READ x") ? "DATAROW 1\r\n" : "",
                 on_success(line));
        answer(c, done);
    }
}

static const struct nt_ops inst_ops = {on_no_open, inst_message, on_no_close};

static void *inst_accept(struct nt_conn *c, void *ud)
{
    (void)c;
    return ud;
}

/* ---- the node ---- */

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

static int make_node(int copies, int timeout_ms)
{
    struct er_err err = {0};
    int here = on_free_port();
    memset(&w, 0, sizeof(w));
    w.loop = nt_loop_create(64, &err);
    w.copies = copies;
    w.timeout_ms = timeout_ms;
    w.leased = true;
    for (int i = 0; i < INSTANCES; i++) {
        w.port[i] = on_free_port();
        on_listen(w.loop, w.port[i], &inst_ops, inst_accept, &w);
    }
    w.p = on_create(w.loop, "n0", here, CALLERS, leased);
    show_view(VW_SERVING, 1);
    on_show_two_nodes(w.p, here);
    for (int i = 0; i < INSTANCES; i++) {
        char id[8];
        snprintf(id, sizeof(id), "i%d", i);
        px_set_share(w.p, sr_from(id), 8);
    }
    tick(NULL);
    return here;
}

static void run_for(int64_t us)
{
    nt_timer_set(w.loop, &w.late, us, stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.tick);
    nt_timer_cancel(&w.step);
}

/* ---- a commit that is answered while its term ends ---- */

static const char *commits; /* what the caller sends to commit */

static void caller_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    nt_send(c, "STARTUP db me\r\n", 15);
}

static void caller_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)ud;
    bool greeted = w.told[0] != 0;
    size_t n = strlen(w.told);
    snprintf(w.told + n, sizeof(w.told) - n, "%.*s", (int)len, data);
    if (!greeted)
        nt_send(c, commits, strlen(commits));
    else if (w.waiting)
        nt_stop(w.loop);
}

static const struct nt_ops caller_ops = {caller_open, caller_message, on_no_close};

static void commit_while(int copies, void (*meanwhile)(void), int64_t answer_after_us)
{
    int here = make_node(copies, 2000);
    w.answers_writes = true;
    w.meanwhile = meanwhile;
    w.answer_after_us = answer_after_us;
    nt_connect_stream(w.loop, "127.0.0.1", here, &caller_ops, &w);
    run_for(CK_SEC(3));
}

static bool is_acknowledged(void)
{
    return strstr(w.told, "COMPLETE s.") != NULL;
}

static bool is_in_doubt(void)
{
    return !is_acknowledged() && strstr(w.told, "ERROR INDOUBT") != NULL &&
           strstr(strstr(w.told, "INDOUBT"), "READY I") != NULL;
}

/* LOST: control chooses the next primary by what the replicas had when the term was dropped; a
 * commit that is acknowledged after it may be at another one. */
static void a_dropped_term_acknowledges_nothing(void)
{
    commits = "QUERY w WRITE x y\r\n";
    commit_while(1, nothing, CK_MS(20));
    CU_ASSERT_TRUE(is_acknowledged());
    commit_while(1, replace, CK_MS(20));
    CU_ASSERT_TRUE(is_in_doubt());
    commit_while(1, lose_lease, CK_MS(20));
    CU_ASSERT_TRUE(is_in_doubt());
    commit_while(0, replace, CK_MS(20)); /* nothing is promised for it */
    CU_ASSERT_TRUE(is_acknowledged());
    commits = "QUERY b BEGIN\r\nQUERY w WRITE x y\r\nQUERY c COMMIT\r\n";
    commit_while(1, replace, CK_MS(20));
    CU_ASSERT_PTR_NOT_NULL(strstr(w.told, "ERROR INDOUBT"));
}

/* In a planned change the term is dropped when the statements have ended, or after a while. */
static void a_planned_change_lets_commits_end(void)
{
    commits = "QUERY w WRITE x y\r\n";
    commit_while(1, hand_over, CK_MS(100));
    CU_ASSERT_FALSE(w.settled);
    CU_ASSERT_TRUE(is_acknowledged());
    commit_while(1, hand_over, CK_MS(900));
    CU_ASSERT_TRUE(w.settled);
    CU_ASSERT_TRUE(is_in_doubt());
}

/* ---- commits without an answer, beside reads that have one ---- */

static void write_and_read(struct nt_conn *c)
{
    static const char both[] = "QUERY w WRITE x y\r\nQUERY r READ x\r\n";
    nt_send(c, both, sizeof(both) - 1);
}

static void writer_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    nt_send(c, "STARTUP db me\r\n", 15);
    write_and_read(c);
}

static void writer_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)ud;
    if (memmem(data, len, "DATAROW", 7))
        write_and_read(c);
}

static const struct nt_ops writer_ops = {writer_open, writer_message, on_no_close};

static void watch_health(void *ud)
{
    (void)ud;
    if (px_instance_health(w.p, SR_LIT("i0")) == WR_SILENT)
        nt_stop(w.loop);
    else
        nt_timer_set(w.loop, &w.step, CK_MS(10), watch_health, NULL);
}

static enum wr_health health_after_writes(int copies)
{
    int here = make_node(copies, 150);
    for (int i = 0; i < CALLERS; i++)
        nt_connect_stream(w.loop, "127.0.0.1", here, &writer_ops, &w);
    watch_health(NULL);
    run_for(CK_SEC(4));
    return px_instance_health(w.p, SR_LIT("i0"));
}

/* LOST: the primary, whose commits waited for a replica, was reported as failing. */
static void commits_that_wait_for_a_replica_are_no_failure(void)
{
    CU_ASSERT_EQUAL(health_after_writes(0), WR_SILENT);
    CU_ASSERT_NOT_EQUAL(health_after_writes(1), WR_SILENT);
}

void sync_commits_suite(void)
{
    CU_pSuite s = CU_add_suite("sync commits", NULL, NULL);
    TEST(s, a_dropped_term_acknowledges_nothing);
    TEST(s, a_planned_change_lets_commits_end);
    TEST(s, commits_that_wait_for_a_replica_are_no_failure);
}
