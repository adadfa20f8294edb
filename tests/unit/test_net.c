/* The socket layer on loopback: what the promotions' evidence rests on. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "misc/clock.h"
#include "task/net.h"
#include "task/redial.h"
#include "tests/unit/unit.h"
#include "view/view.h"

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

/* ---- after a long step ---- */

static struct {
    struct nt_loop *loop;
    struct nt_conn *peer;
    struct nt_timer step, look, late;
    int64_t said_at;
    bool heard, looked;
} stall;

static void stall_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    stall.peer = c;
}

static void stall_heard(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)c;
    (void)ud;
    (void)data;
    (void)len;
    stall.heard = true;
}

static const struct nt_ops stall_peer = {stall_open, stall_heard, ended};
static const struct nt_ops stall_server = {nothing, stall_heard, ended};

static void stall_stop(void *ud)
{
    (void)ud;
    nt_stop(stall.loop);
}

/* Runs until the message is delivered; before that nobody may believe that there is none. */
static void stall_look(void *ud)
{
    (void)ud;
    bool believed = nt_received_until(stall.loop) > stall.said_at;
    CU_ASSERT(stall.heard || !believed);
    stall.looked = true;
    if (stall.heard && believed)
        nt_stop(stall.loop);
    else
        nt_timer_set(stall.loop, &stall.look, CK_MS(1), stall_look, NULL);
}

static void stall_step(void *ud)
{
    (void)ud;
    stall.said_at = ck_now();
    nt_send(stall.peer, "x", 1);
    nt_timer_set(stall.loop, &stall.look, 1, stall_look, NULL);
    ck_advance(CK_SEC(1));
    CU_ASSERT(nt_received_until(stall.loop) <= stall.said_at);
}

/* Guards against verdicts of silence over peers whose words were in the socket: a timer that
 * runs after a long step, before the sockets are read. */
static void timers_know_what_time_was_heard_until(void)
{
    int fd, port = make_port(&fd, false);
    close(fd);
    struct er_err err = {0};
    memset(&stall, 0, sizeof(stall));
    stall.loop = nt_loop_create(64, &err);
    struct nt_listen l = {.ip = "127.0.0.1",
                          .port = port,
                          .stream = true,
                          .ops = &stall_server,
                          .accept = accept_echo,
                          .ud = &stall};
    ck_pause(CK_SEC(100));
    CU_ASSERT_PTR_NOT_NULL_FATAL(nt_listen(stall.loop, &l, &err));
    nt_connect_stream(stall.loop, "127.0.0.1", port, &stall_peer, &stall);
    nt_timer_set(stall.loop, &stall.step, CK_MS(20), stall_step, NULL);
    nt_timer_set(stall.loop, &stall.late, CK_SEC(2), stall_stop, NULL);
    nt_run(stall.loop);
    CU_ASSERT(stall.looked && stall.heard);
    CU_ASSERT_EQUAL(nt_stats(stall.loop)->stalls, 1);
    CU_ASSERT_EQUAL(nt_stats(stall.loop)->longest_stall_us, CK_SEC(1) - 1);
    nt_timer_cancel(&stall.step);
    nt_timer_cancel(&stall.look);
    nt_timer_cancel(&stall.late);
    ck_resume();
}

/* ---- the end of a connection at rest ---- */

static struct {
    struct nt_loop *loop;
    int fd; /* the peer's end */
    bool closes;
    ssize_t told; /* what the peer read right after the close */
    struct nt_timer late;
} rest;

static void rest_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    char byte;
    rest.closes = nt_close_if_idle(c);
    rest.told = recv(rest.fd, &byte, 1, MSG_DONTWAIT);
}

static void rest_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)c;
    (void)ud;
    (void)data;
    (void)len;
}

static void rest_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
    nt_stop(rest.loop);
}

static const struct nt_ops rest_ops = {rest_open, rest_message, rest_close};

static void *rest_accept(struct nt_conn *c, void *ud)
{
    (void)c;
    return ud;
}

static void rest_give_up(void *ud)
{
    (void)ud;
    nt_stop(rest.loop);
}

/* Guards against LOST: as long as the peer is not told of a close, what it says is read and
 * dropped, which may take as long as the loop's turn does. */
static void the_close_of_a_resting_connection_is_told_in_the_same_step(void)
{
    struct er_err err = {0};
    int port;
    memset(&rest, 0, sizeof(rest));
    rest.loop = nt_loop_create(64, &err);
    port = make_port(&rest.fd, false);
    close(rest.fd);
    struct nt_listen l = {.ip = "127.0.0.1",
                          .port = port,
                          .stream = true,
                          .ops = &rest_ops,
                          .accept = rest_accept,
                          .ud = &rest};
    CU_ASSERT_PTR_NOT_NULL_FATAL(nt_listen(rest.loop, &l, &err));
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    rest.fd = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL(connect(rest.fd, (struct sockaddr *)&a, sizeof(a)), 0);
    nt_timer_set(rest.loop, &rest.late, CK_SEC(2), rest_give_up, NULL);
    nt_run(rest.loop);
    CU_ASSERT_TRUE(rest.closes);
    CU_ASSERT_EQUAL(rest.told, 0);
    nt_timer_cancel(&rest.late);
    close(rest.fd);
}

/* ---- frames ---- */

struct big {
    struct seen s;
    size_t sent, got;
};

static void big_open(struct nt_conn *c, void *ud)
{
    struct big *b = ud;
    char *data = sr_alloc(b->sent);
    memset(data, 'x', b->sent);
    nt_send(c, data, b->sent);
    free(data);
}

static void big_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    struct big *b = ud;
    b->got = len;
    nt_close(c, true);
}

static void big_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    on_close(c, &((struct big *)ud)->s, opened, refused);
}

/* A snapshot with a document of the largest size is one frame; what is larger ends the
 * connection before it is taken in. */
static void frames_hold_a_whole_view(void)
{
    static const struct nt_ops server = {nothing, big_message, ended};
    static const struct nt_ops client = {big_open, big_message, big_close};
    static const size_t sizes[] = {VW_MAX_DOCUMENT_BYTES * 2 + (1 << 20), NT_MAX_FRAME + 1};
    for (int i = 0; i < 2; i++) {
        int fd, port = make_port(&fd, false);
        close(fd);
        struct er_err err = {0};
        struct big b = {.s = {.loop = nt_loop_create(64, &err)}, .sent = sizes[i]};
        struct nt_listen l = {.ip = "127.0.0.1",
                              .port = port,
                              .raw = true,
                              .ops = &server,
                              .accept = accept_echo,
                              .ud = &b};
        CU_ASSERT_PTR_NOT_NULL_FATAL(nt_listen(b.s.loop, &l, &err));
        nt_connect(b.s.loop, "127.0.0.1", port, true, &client, &b);
        nt_run(b.s.loop);
        CU_ASSERT_TRUE(b.s.closed);
        CU_ASSERT_EQUAL(b.got, i == 0 ? sizes[i] : 0);
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

/* ---- plain HTTP ---- */

enum { KEPT = 2, STEP_MS = 30, END = -1, AT_ONCE = -2 };

/* Callers that keep their connections, one more than fit. */
struct keepers {
    struct nt_loop *loop;
    struct nt_timer timer;
    const int *who; /* asks; AT_ONCE: the next with the one before; to END */
    int port, step, fd[KEPT + 1];
    bool ended[KEPT + 1]; /* the listener closed it */
    int answers[KEPT + 1];
};

static void answer_empty(const struct nt_http *req)
{
    nt_http_reply(req->conn, 200, "text/plain", "", 0);
}

static void dial(struct keepers *k)
{
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)k->port)};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (int i = 0; i <= KEPT; i++) {
        k->fd[i] = socket(AF_INET, SOCK_STREAM, 0);
        CU_ASSERT_EQUAL(connect(k->fd[i], (struct sockaddr *)&a, sizeof(a)), 0);
    }
}

static void ask(struct keepers *k, int i)
{
    static const char get[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    CU_ASSERT_EQUAL(send(k->fd[i], get, sizeof(get) - 1, MSG_NOSIGNAL),
                    (ssize_t)sizeof(get) - 1);
}

static void hear(struct keepers *k, int i)
{
    char buf[2048];
    ssize_t n = recv(k->fd[i], buf, sizeof(buf), MSG_DONTWAIT);
    if (n == 0)
        k->ended[i] = true;
    if (n > 0)
        k->answers[i]++;
}

/* One asks after the other, as k->who says. */
static void next_step(void *ud)
{
    struct keepers *k = ud;
    for (int i = 0; i <= KEPT; i++)
        hear(k, i);
    if (k->who[k->step] == END) {
        nt_stop(k->loop);
        return;
    }
    ask(k, k->who[k->step++]);
    if (k->who[k->step] == AT_ONCE) {
        ask(k, k->who[k->step + 1]);
        k->step += 2;
    }
    nt_timer_set(k->loop, &k->timer, CK_MS(STEP_MS), next_step, k);
}

static struct keepers let_ask(const int *who)
{
    int fd;
    struct er_err err = {0};
    struct keepers k = {
        .loop = nt_loop_create(64, &err), .port = make_port(&fd, false), .who = who};
    close(fd);
    struct nt_listen l = {
        .ip = "127.0.0.1", .port = k.port, .http = answer_empty, .max_http = KEPT, .ud = &k};
    CU_ASSERT_PTR_NOT_NULL_FATAL(nt_listen(k.loop, &l, &err));
    dial(&k);
    nt_timer_set(k.loop, &k.timer, CK_MS(STEP_MS), next_step, &k);
    nt_run(k.loop);
    nt_timer_cancel(&k.timer);
    for (int i = 0; i <= KEPT; i++)
        close(k.fd[i]);
    return k;
}

/* Load: more callers that keep their connections than a node has descriptors for. The one that
 * rested longest makes room; those that come often keep theirs. The first asks again, so that
 * the second has rested longest when the third comes; then the first once more. */
static void the_longest_idle_makes_room(void)
{
    static const int who[] = {0, 1, 0, 2, 0, END};
    struct keepers k = let_ask(who);
    CU_ASSERT(k.answers[0] == 3 && !k.ended[0]);
    CU_ASSERT(k.answers[1] == 1 && k.ended[1]);
    CU_ASSERT(k.answers[2] == 1 && !k.ended[2]);
    CU_ASSERT_EQUAL(nt_stats(k.loop)->http_displaced, 1);
}

/* Guards against requests that were cut off unanswered: the connection that had rested longest
 * made room though its next request had come, and was not read yet. */
static void who_has_asked_makes_no_room(void)
{
    static const int who[] = {0, 1, 2, AT_ONCE, 0, END};
    struct keepers k = let_ask(who);
    CU_ASSERT(k.answers[0] == 2 && !k.ended[0]);
    CU_ASSERT(k.answers[1] == 1 && k.ended[1]);
    CU_ASSERT(k.answers[2] == 1 && !k.ended[2]);
}

/* ---- connects that nobody answers ---- */

/* A connect to a VM that had no power is not answered; the VM comes back and connects to us. */
static void a_peer_that_is_heard_is_dialled_at_once(void)
{
    struct rd_state l = {0};
    rd_connect_started(&l, 0);
    rd_peer_connected(&l, 120000);
    rd_closed(&l, 120000); /* what was under way is given up */
    CU_ASSERT(rd_due(&l, 120000));
    rd_connect_started(&l, 120000);
    rd_closed(&l, 121000);
    CU_ASSERT_FALSE(rd_due(&l, 122000)); /* not over and over */
}

/* A VM that comes back is met soon, not when the kernel sends the lost packet again; one that
 * never answers is asked less and less often. */
static void unanswered_connects_are_made_anew(void)
{
    struct rd_state l = {0};
    CU_ASSERT(rd_due(&l, 0));
    rd_connect_started(&l, 1000);
    CU_ASSERT_FALSE(rd_connect_timed_out(&l, 1000 + 250000));
    CU_ASSERT(rd_connect_timed_out(&l, 1001 + 250000));
    rd_connect_abandoned(&l);
    rd_closed(&l, 300000);
    CU_ASSERT_FALSE(rd_due(&l, 399999));
    CU_ASSERT(rd_due(&l, 400000));
    rd_connect_started(&l, 400000);
    CU_ASSERT_FALSE(rd_connect_timed_out(&l, 400000 + 500000));
    CU_ASSERT(rd_connect_timed_out(&l, 400001 + 500000));
    for (int i = 0; i < 20; i++)
        rd_connect_abandoned(&l);
    CU_ASSERT_FALSE(rd_connect_timed_out(&l, 400000 + 1000000));
    CU_ASSERT(rd_connect_timed_out(&l, 400001 + 1000000));
    rd_opened(&l);
    rd_connect_started(&l, 5000000);
    CU_ASSERT(rd_connect_timed_out(&l, 5000001 + 250000));
}

void net_suite(void)
{
    CU_pSuite s = CU_add_suite("net", NULL, NULL);
    TEST(s, a_peer_that_is_heard_is_dialled_at_once);
    TEST(s, refused_is_told_from_silent);
    TEST(s, frames_and_websocket_echo);
    TEST(s, frames_hold_a_whole_view);
    TEST(s, refusing_listener_opens_nobody);
    TEST(s, the_longest_idle_makes_room);
    TEST(s, who_has_asked_makes_no_room);
    TEST(s, unanswered_connects_are_made_anew);
    TEST(s, timers_know_what_time_was_heard_until);
    TEST(s, the_close_of_a_resting_connection_is_told_in_the_same_step);
}
