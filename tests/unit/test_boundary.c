/* Where a caller's message ends: whatever its last field holds, the instance runs it as it was
 * sent, also when it comes in pieces. Real sockets on loopback; the instance is a stand-in. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"
#include "proxy/proxy.h"
#include "task/net.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

static const char document[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"pathPrefix\":\"/\",\"kind\":"
    "\"primary\",\"timeoutMs\":2000,\"latencySloMs\":2000,\"priority\":1,\"service\":\"g\","
    "\"maxAttempts\":2}],\"services\":[{\"name\":\"g\",\"healthPath\":\"/\",\"maxConns\":9,"
    "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}";

/* How a message is cut into the pieces that are sent. */
enum cut { WHOLE, BEFORE_LF, BYTES, CUTS };

/* What a session sends, and what of it the instance must get from callers, in this order. */
static const struct talk {
    const char *say[4];
    const char *run[3];
} talks[] = {
    {{"QUERY a WRITE k first\nQUERY inside WRITE k2 x"},
     {"QUERY a WRITE k first\nQUERY inside WRITE k2 x"}},
    {{"QUERY a WRITE k two\nlines", "QUERY b READ k"},
     {"QUERY a WRITE k two\nlines", "QUERY b READ k"}},
    {{"QUERY a WRITE k \n\n\n", "QUERY b WRITE k \r", "QUERY c WRITE k \n\r"},
     {"QUERY a WRITE k \n\n\n", "QUERY b WRITE k \r", "QUERY c WRITE k \n\r"}},
    {{"QUERY a WRITE k a\rb \x01\x7f\xff  c ", "QUERY b READ \nk"},
     {"QUERY a WRITE k a\rb \x01\x7f\xff  c ", "QUERY b READ \nk"}},
    {{"QUERY a BEGIN", "QUERY b WRITE k \nCOMMIT", "QUERY c COMMIT"},
     {"QUERY b WRITE k \nCOMMIT", "QUERY c COMMIT"}},
    {{"QUERY a PREPARE p WRITE s\nQUERY x WRITE k y", "QUERY b EXECUTE p k \nz"},
     {"QUERY b EXECUTE p1 k \nz"}},
    {{"QUERY a READ k\nTERMINATE", "QUERY b READ k"},
     {"QUERY a READ k\nTERMINATE", "QUERY b READ k"}},
};

static struct world {
    struct nt_loop *loop;
    struct px_proxy *p;
    struct nt_timer tick, late, piece;
    const struct talk *t;
    enum cut cut;
    int said;              /* messages */
    struct sr_buf out, in; /* the caller's bytes still to be sent; the instance's input */
    struct nt_conn *caller;
    bool in_txn;
    int n_run;
    bool wrong;
} w;

static void stop(void *ud)
{
    (void)ud;
    nt_stop(w.loop);
}

/* ---- the instance ---- */

static void answer(struct nt_conn *c, const char *line)
{
    char out[96];
    if (strstr(line, " BEGIN") || strstr(line, "COMMIT"))
        w.in_txn = strstr(line, " BEGIN") != NULL || strstr(line, "\nCOMMIT") != NULL;
    int n = snprintf(out, sizeof(out), "%sREADY %c 1.1\r\n", on_success(line),
                     w.in_txn ? 'T' : 'I');
    nt_send(c, out, (size_t)n);
}

static void note_run(const char *line)
{
    const char *due = w.n_run < 3 ? w.t->run[w.n_run] : NULL;
    if (!due || strcmp(line, due) != 0) {
        printf("\n    ran \"%s\", expected \"%s\"", line, due ? due : "nothing");
        w.wrong = true;
    }
    w.n_run++;
}

/* Splits at CR LF by itself: it must not share the mistake of what it tests. */
static void inst_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    char *end;
    (void)ud;
    sr_buf_add(&w.in, data, len);
    while ((end = memmem(w.in.p, w.in.len, "\r\n", 2))) {
        char line[256];
        size_t n = (size_t)(end - w.in.p);
        snprintf(line, sizeof(line), "%.*s", (int)n, w.in.p);
        memmove(w.in.p, end + 2, w.in.len - n - 2);
        w.in.len -= n + 2;
        if (strncmp(line, "STARTUP", 7) == 0) {
            nt_send(c, "READY I 1.1\r\n", 13);
            continue;
        }
        if (strncmp(line, "QUERY - ", 8) != 0)
            note_run(line);
        answer(c, line);
    }
}

static const struct nt_ops inst_ops = {on_no_open, inst_message, on_no_close};

static void *inst_accept(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    return &w;
}

/* ---- the caller ---- */

static size_t piece_len(void)
{
    if (w.cut == BYTES)
        return 1;
    const char *lf =
        w.cut == BEFORE_LF && w.out.len > 1 ? memchr(w.out.p + 1, '\n', w.out.len - 1) : NULL;
    return lf ? (size_t)(lf - w.out.p) : w.out.len;
}

/* Each piece is read by the proxy before the next one is sent. */
static void send_piece(void *ud)
{
    (void)ud;
    if (w.out.len == 0)
        return;
    size_t n = piece_len();
    nt_send(w.caller, w.out.p, n);
    memmove(w.out.p, w.out.p + n, w.out.len - n);
    w.out.len -= n;
    nt_timer_set(w.loop, &w.piece, 200, send_piece, NULL);
}

static void say_next(void)
{
    const char *text = w.said < 4 ? w.t->say[w.said++] : NULL;
    if (!text) {
        nt_stop(w.loop);
        return;
    }
    sr_buf_add(&w.out, text, strlen(text));
    sr_buf_add(&w.out, "\r\n", 2);
    send_piece(NULL);
}

static void caller_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    w.caller = c;
    nt_send(c, "STARTUP db me\r\n", 15);
}

static void caller_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)c;
    (void)ud;
    if (memmem(data, len, "ERROR", 5)) {
        printf("\n    told %.*s", (int)len, data);
        w.wrong = true;
    }
    if (memmem(data, len, "READY ", 6))
        say_next();
}

static const struct nt_ops caller_ops = {caller_open, caller_message, on_no_close};

/* ---- the node between them ---- */

static void tick(void *ud)
{
    (void)ud;
    px_tick(w.p, ck_now());
    nt_timer_set(w.loop, &w.tick, CK_MS(5), tick, NULL);
}

static void play(const struct talk *t, enum cut cut)
{
    struct er_err err = {0};
    int here = on_free_port(), there = on_free_port();
    w = (struct world){.loop = nt_loop_create(64, &err), .t = t, .cut = cut};
    on_listen(w.loop, there, &inst_ops, inst_accept, NULL);
    w.p = on_create(w.loop, "n0", here, 8, NULL);
    on_show_group(w.p, there, document);
    on_show_two_nodes(w.p, here);
    px_set_share(w.p, SR_LIT("i"), 1);
    tick(NULL);
    nt_connect_stream(w.loop, "127.0.0.1", here, &caller_ops, &w);
    nt_timer_set(w.loop, &w.late, CK_SEC(2), stop, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.tick);
    nt_timer_cancel(&w.piece);
    sr_buf_free(&w.out);
    sr_buf_free(&w.in);
}

/* Guards against a statement that runs cut off at a line feed, and its rest as a statement that
 * nobody sent. */
static void a_line_feed_in_a_field_ends_no_message(void)
{
    for (size_t i = 0; i < sizeof(talks) / sizeof(talks[0]); i++) {
        int due = 0;
        while (due < 3 && talks[i].run[due])
            due++;
        for (enum cut cut = WHOLE; cut < CUTS; cut++) {
            play(&talks[i], cut);
            CU_ASSERT_FALSE(w.wrong);
            CU_ASSERT_EQUAL(w.n_run, due);
        }
    }
}

SUITE(boundary)
{
    CU_pSuite s = CU_add_suite("boundary", NULL, NULL);
    TEST(s, a_line_feed_in_a_field_ends_no_message);
}
