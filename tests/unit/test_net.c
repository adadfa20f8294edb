/* The socket layer on loopback: what the promotions' evidence rests on. */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "misc/clock.h"
#include "task/net.h"
#include "task/redial.h"
#include "tests/unit/unit.h"

struct seen {
    struct nt_loop *loop;
    bool opened, closed, refused;
    int messages;
    char last[64];
};

static void on_open(struct nt_conn *c, void *ud)
{
    struct seen *s = ud;
    s->opened = true;
    nt_send(c, "hello", 5);
}

static void on_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    struct seen *s = ud;
    s->messages++;
    memcpy(s->last, data, len < sizeof(s->last) ? len : sizeof(s->last) - 1);
    nt_close(c, false);
}

static void on_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    struct seen *s = ud;
    (void)c;
    (void)opened;
    s->closed = true;
    s->refused = refused;
    nt_stop(s->loop);
}

static const struct nt_ops ops = {on_open, on_message, on_close};

/* A loopback port that nobody listens on, or (listening) one that never accepts. */
static int make_port(int *fd, bool listening)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t n = sizeof(a);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    *fd = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL(bind(*fd, (struct sockaddr *)&a, sizeof(a)), 0);
    if (listening)
        listen(*fd, 1);
    getsockname(*fd, (struct sockaddr *)&a, &n);
    return ntohs(a.sin_port);
}

static void give_up(void *ud)
{
    nt_stop(((struct seen *)ud)->loop);
}

static struct seen connect_to(int port)
{
    struct er_err err = {0};
    struct nt_timer late = {0};
    struct seen s = {.loop = nt_loop_create(64, &err)};
    nt_connect(s.loop, "127.0.0.1", port, true, &ops, &s);
    nt_timer_set(s.loop, &late, CK_MS(400), give_up, &s);
    nt_run(s.loop);
    nt_timer_cancel(&late);
    return s;
}

static void refused_is_told_from_silent(void)
{
    int fd;
    int port = make_port(&fd, false);
    struct seen s = connect_to(port);
    CU_ASSERT(s.closed && s.refused && !s.opened);
    close(fd);
    port = make_port(&fd, true);
    s = connect_to(port); /* the kernel accepts, the process never answers */
    CU_ASSERT(s.opened && !s.closed);
    close(fd);
}

static void *accept_echo(struct nt_conn *c, void *ud)
{
    (void)c;
    return ud;
}

static void echo(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)ud;
    nt_send(c, data, len);
}

static void nothing(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
}

static void ended(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
}

static void frames_and_websocket_echo(void)
{
    static const struct nt_ops server = {nothing, echo, ended};
    for (int raw = 0; raw < 2; raw++) {
        int fd, port = make_port(&fd, false);
        close(fd);
        struct er_err err = {0};
        struct seen s = {.loop = nt_loop_create(64, &err)};
        struct nt_listen l = {.ip = "127.0.0.1",
                              .port = port,
                              .raw = raw,
                              .ops = &server,
                              .accept = accept_echo,
                              .ud = &s};
        CU_ASSERT_PTR_NOT_NULL_FATAL(nt_listen(s.loop, &l, &err));
        nt_connect(s.loop, "127.0.0.1", port, raw, &ops, &s);
        nt_run(s.loop);
        CU_ASSERT(s.messages == 1 && strcmp(s.last, "hello") == 0);
    }
}

struct refusing {
    struct seen client;
    struct nt_listener *ln;
    int ln_port;
    struct nt_timer soon, late;
};

static void on_late(void *ud)
{
    struct refusing *t = ud;
    nt_stop(t->client.loop);
}

/* Whoever comes now must not be able to send: it is closed before it counts as open. */
static void refuse_and_connect(void *ud)
{
    struct refusing *t = ud;
    nt_refuse_new(t->ln);
    nt_connect(t->client.loop, "127.0.0.1", t->ln_port, false, &ops, &t->client);
}

static void refusing_listener_opens_nobody(void)
{
    static const struct nt_ops server = {nothing, echo, ended};
    int fd;
    struct er_err err = {0};
    struct refusing t = {.ln_port = make_port(&fd, false)};
    close(fd);
    t.client.loop = nt_loop_create(64, &err);
    struct nt_listen l = {
        .ip = "127.0.0.1", .port = t.ln_port, .ops = &server, .accept = accept_echo, .ud = &t};
    t.ln = nt_listen(t.client.loop, &l, &err);
    CU_ASSERT_PTR_NOT_NULL_FATAL(t.ln);
    nt_timer_set(t.client.loop, &t.soon, CK_MS(1), refuse_and_connect, &t);
    nt_timer_set(t.client.loop, &t.late, CK_MS(400), on_late, &t);
    nt_run(t.client.loop);
    CU_ASSERT(t.client.closed && !t.client.opened);
}

/* ---- connects that nobody answers ---- */

/* A connect to a VM that had no power is not answered; the VM comes back and connects to us. */
static void a_peer_that_is_heard_is_dialled_at_once(void)
{
    struct rd_line l = {0};
    rd_dialed(&l, 0);
    rd_heard(&l, 120000);
    rd_closed(&l, 120000); /* what was under way is given up */
    CU_ASSERT(rd_due(&l, 120000));
    rd_dialed(&l, 120000);
    rd_closed(&l, 121000);
    CU_ASSERT_FALSE(rd_due(&l, 122000)); /* not over and over */
}

/* A VM that comes back is met soon, not when the kernel sends the lost packet again; one that
 * never answers is asked less and less often. */
static void unanswered_connects_are_made_anew(void)
{
    struct rd_line l = {0};
    CU_ASSERT(rd_due(&l, 0));
    rd_dialed(&l, 1000);
    CU_ASSERT_FALSE(rd_hangs(&l, 1000 + 250000));
    CU_ASSERT(rd_hangs(&l, 1001 + 250000));
    rd_gave_up(&l);
    rd_closed(&l, 300000);
    CU_ASSERT_FALSE(rd_due(&l, 399999));
    CU_ASSERT(rd_due(&l, 400000));
    rd_dialed(&l, 400000);
    CU_ASSERT_FALSE(rd_hangs(&l, 400000 + 500000));
    CU_ASSERT(rd_hangs(&l, 400001 + 500000));
    for (int i = 0; i < 20; i++)
        rd_gave_up(&l);
    CU_ASSERT_FALSE(rd_hangs(&l, 400000 + 1000000));
    CU_ASSERT(rd_hangs(&l, 400001 + 1000000));
    rd_opened(&l);
    rd_dialed(&l, 5000000);
    CU_ASSERT(rd_hangs(&l, 5000001 + 250000));
}

void net_suite(void)
{
    CU_pSuite s = CU_add_suite("net", NULL, NULL);
    TEST(s, a_peer_that_is_heard_is_dialled_at_once);
    TEST(s, refused_is_told_from_silent);
    TEST(s, frames_and_websocket_echo);
    TEST(s, refusing_listener_opens_nobody);
    TEST(s, unanswered_connects_are_made_anew);
}
