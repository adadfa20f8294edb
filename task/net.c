#include "task/net_priv.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "misc/clock.h"
#include "misc/log.h"

#define FRAME_HEADER 4
#define WRITE_BATCH 65536
#define REFUSED_WITHIN_US 1000000
/* A peer that acknowledges no data for this long is considered unreachable. The timeout exceeds
 * the longest pause of a live peer (a disk or CPU stall under load) and is below the time
 * within which another node must have taken over. */
#define ACK_TIMEOUT_MS 2500
/* TCP keepalive of idle connections: seconds before the first probe, seconds between probes,
 * and the number of unanswered probes (3) that closes the connection. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3
/* Time to send the rest of what is queued for a connection that is being closed. */
#define FLUSH_TIMEOUT_S 10

/* Connections without a request that are displaced in an iteration of the loop. */
enum { MAX_DISPLACED = 32 };

static const struct lg_log nlog = {"net"};

/* ---- connections ---- */

void np_watch_peer(struct nt_conn *c)
{
    int fd = c->wsi ? lws_get_socket_fd(c->wsi) : -1;
    int on = 1, idle_s = KEEPALIVE_IDLE_S, interval_s = KEEPALIVE_INTERVAL_S,
        probes = KEEPALIVE_PROBES;
    unsigned ack_ms = ACK_TIMEOUT_MS;
    if (fd < 0)
        return;
    bool ok =
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_ms, sizeof(ack_ms)) == 0 &&
        setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on)) == 0 &&
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s)) == 0 &&
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s)) == 0 &&
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes)) == 0;
    if (!ok)
        FL_DBG(&nlog, "can't set TCP keepalive options; a lost peer may not be detected");
}

struct nt_conn *np_conn_new(struct nt_loop *l, enum kind kind, const struct nt_ops *ops,
                            void *ud)
{
    struct nt_conn *c = sr_alloc(sizeof(*c));
    c->loop = l;
    c->kind = kind;
    c->ops = ops;
    c->ud = ud;
    c->tail = &c->head;
    return c;
}

static void conn_free(struct nt_conn *c)
{
    nt_timer_cancel(&c->connect_failure);
    while (c->head) {
        struct out *o = c->head;
        c->head = o->next;
        free(o);
    }
    sr_buf_free(&c->in);
    sr_buf_free(&c->body);
    free(c);
}

void np_conn_closed(struct nt_conn *c)
{
    if (c->dead)
        return;
    np_room_remove(c);
    c->loop->st.closed++;
    if (c->kind == K_HTTP_SERVER)
        np_http_conn_closed(c);
    if (c->kind == K_HTTP_CLIENT) {
        if (c->done)
            c->done(c->ud, c->status, c->body.p ? c->body.p : "", c->body.len);
    } else if (c->ops) {
        c->ops->close(c, c->ud, c->opened, c->refused);
    }
    if (c->wsi)
        lws_set_opaque_user_data(c->wsi, NULL);
    conn_free(c);
}

static int on_writable(struct nt_conn *c);

/* Writes a newly queued message without waiting for the next loop iteration, which costs two
 * changes of the poll set and a wake-up per message. Only data that the kernel accepts whole is
 * written this way. */
static void write_now(struct nt_conn *c)
{
    if (on_writable(c) < 0)
        nt_close(c, true);
}

bool nt_send(struct nt_conn *c, const void *data, size_t len)
{
    if (c->closing || c->dead || !c->wsi)
        return false;
    size_t head = c->kind == K_RAW ? FRAME_HEADER : 0;
    if (c->queued + len > NT_MAX_QUEUED) {
        c->loop->st.queue_overrun++;
        nt_close(c, true);
        return false;
    }
    struct out *o = malloc(sizeof(*o) + LWS_PRE + head + len);
    if (!o)
        abort();
    o->next = NULL;
    o->off = 0;
    o->len = head + len;
    unsigned char *p = o->data + LWS_PRE;
    if (head) {
        uint32_t be = htonl((uint32_t)len);
        memcpy(p, &be, FRAME_HEADER);
    }
    sr_move(p + head, data, len);
    bool idle = !c->head;
    *c->tail = o;
    c->tail = &o->next;
    c->queued += o->len;
    c->loop->st.messages_out++;
    if (idle && c->opened)
        write_now(c);
    else
        lws_callback_on_writable(c->wsi);
    np_recount(c);
    return true;
}

void nt_close(struct nt_conn *c, bool hard)
{
    if (c->dead)
        return;
    c->closing = true;
    c->hard = c->hard || hard;
    if (!c->wsi)
        return;
    if (!c->opened) {
        lws_set_timeout(c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        return;
    }
    /* A peer that does not read never makes the socket writable. */
    lws_set_timeout(c->wsi, PENDING_TIMEOUT_USER_OK, c->hard ? 1 : FLUSH_TIMEOUT_S);
    lws_callback_on_writable(c->wsi);
}

bool np_has_unread(const struct nt_conn *c)
{
    char byte;
    int fd = c->wsi ? lws_get_socket_fd(c->wsi) : -1;
    return fd >= 0 && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool nt_close_if_idle(struct nt_conn *c)
{
    if (c->dead || c->closing)
        return true;
    if (np_has_unread(c) || c->head || (c->wsi && lws_partial_buffered(c->wsi)))
        return false;
    /* The FIN is sent before the loop reads again, so any data read later was sent by a peer
     * that had not seen the close. */
    if (c->wsi && c->opened)
        shutdown(lws_get_socket_fd(c->wsi), SHUT_WR);
    nt_close(c, false);
    return true;
}

void nt_forget(struct nt_conn *c)
{
    c->ops = NULL;
    nt_close(c, true);
}

size_t nt_queued(const struct nt_conn *c)
{
    return c->queued;
}

size_t nt_dropped(const struct nt_conn *c)
{
    return c->dropped;
}

void nt_meter(struct nt_conn *c, struct nt_traffic *t)
{
    c->traffic = t;
}

static void write_ip(const struct sockaddr_storage *a, char *out, size_t cap)
{
    const struct sockaddr_in *v4 = (const struct sockaddr_in *)a;
    const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)a;
    if (a->ss_family == AF_INET)
        inet_ntop(AF_INET, &v4->sin_addr, out, (socklen_t)cap);
    else if (IN6_IS_ADDR_V4MAPPED(&v6->sin6_addr)) /* the listener is bound to all addresses */
        inet_ntop(AF_INET, &v6->sin6_addr.s6_addr[12], out, (socklen_t)cap);
    else
        inet_ntop(AF_INET6, &v6->sin6_addr, out, (socklen_t)cap);
}

void nt_local_ip(const struct nt_conn *c, char *out, size_t cap)
{
    struct sockaddr_storage a = {0};
    socklen_t n = sizeof(a);
    int fd = c->wsi ? lws_get_socket_fd(c->wsi) : -1;
    out[0] = 0;
    if (fd >= 0 && getsockname(fd, (struct sockaddr *)&a, &n) == 0)
        write_ip(&a, out, cap);
}

void nt_peer_ip(const struct nt_conn *c, char *out, size_t cap)
{
    struct sockaddr_storage a = {0};
    socklen_t n = sizeof(a);
    int fd = c->wsi ? lws_get_socket_fd(c->wsi) : -1;
    out[0] = 0;
    if (fd >= 0 && getpeername(fd, (struct sockaddr *)&a, &n) == 0)
        write_ip(&a, out, cap);
}

void np_pop_out(struct nt_conn *c)
{
    struct out *o = c->head;
    c->head = o->next;
    if (!c->head)
        c->tail = &c->head;
    c->queued -= o->len;
    free(o);
}

static void count_out(struct nt_conn *c, size_t n)
{
    c->loop->st.bytes_out += n;
    if (c->traffic)
        c->traffic->bytes_out += n;
}

static void count_in(struct nt_conn *c, size_t n)
{
    c->loop->st.bytes_in += n;
    if (c->traffic)
        c->traffic->bytes_in += n;
}

/* Writes a large frame in slices, because lws copies the data that the kernel does not accept
 * at once. */
static int write_slice(struct nt_conn *c)
{
    struct out *o = c->head;
    size_t n = o->len - o->off < WRITE_BATCH ? o->len - o->off : WRITE_BATCH;
    if (lws_write(c->wsi, o->data + LWS_PRE + o->off, n, LWS_WRITE_RAW) < 0)
        return -1;
    count_out(c, n);
    o->off += n;
    if (o->off == o->len)
        np_pop_out(c);
    return 0;
}

/* Joins queued frames into one write; a raw TCP peer reads a byte stream in any case. */
static int write_raw(struct nt_conn *c)
{
    static unsigned char batch[LWS_PRE + WRITE_BATCH];
    while (c->head && !lws_send_pipe_choked(c->wsi)) {
        size_t n = 0;
        if (c->head->len > WRITE_BATCH) {
            if (write_slice(c) < 0)
                return -1;
            continue;
        }
        while (c->head && n + c->head->len <= WRITE_BATCH) {
            memcpy(batch + LWS_PRE + n, c->head->data + LWS_PRE, c->head->len);
            n += c->head->len;
            np_pop_out(c);
        }
        if (lws_write(c->wsi, batch + LWS_PRE, n, LWS_WRITE_RAW) < 0)
            return -1;
        count_out(c, n);
    }
    return 0;
}

static int write_ws(struct nt_conn *c)
{
    while (c->head && !lws_send_pipe_choked(c->wsi)) {
        struct out *o = c->head;
        if (lws_write(c->wsi, o->data + LWS_PRE, o->len, LWS_WRITE_TEXT) < 0)
            return -1;
        count_out(c, o->len);
        np_pop_out(c);
    }
    return 0;
}

/* Counts what lws keeps of the last write, and the progress of a peer that reads. */
static void note_written(struct nt_conn *c, size_t queued_before)
{
    bool partial = lws_partial_buffered(c->wsi);
    if (queued_before > c->queued)
        nt_note_progress(c);
    c->in_lws = partial ? WRITE_BATCH : 0;
    if (partial || queued_before != c->queued)
        np_recount(c);
}

static int on_writable(struct nt_conn *c)
{
    size_t queued = c->queued;
    if (c->hard)
        return -1;
    int rc = c->kind == K_WS ? write_ws(c) : write_raw(c);
    if (rc < 0)
        return -1;
    note_written(c, queued);
    if (c->head)
        lws_callback_on_writable(c->wsi);
    else if (c->closing)
        return -1;
    return 0;
}

/* on_writable for a socket that has become writable. */
static int on_socket_writable(struct nt_conn *c)
{
    bool waited = c->head || c->in_lws;
    c->in_lws = 0;
    if (on_writable(c) < 0)
        return -1;
    np_recount(c);
    if (waited && !c->head && !c->in_lws && c->drained && c->ops)
        c->drained(c, c->ud);
    return 0;
}

void nt_on_drained(struct nt_conn *c, void (*fn)(struct nt_conn *c, void *ud))
{
    c->drained = fn;
}

static void deliver(struct nt_conn *c, const char *data, size_t len)
{
    c->loop->st.messages_in++;
    if (c->closing)
        c->dropped += len;
    else if (c->ops)
        c->ops->message(c, c->ud, data, len);
}

static size_t max_frame(const struct nt_conn *c)
{
    bool stranger = c->ln && c->ln->what.max_first_frame && c->use.rank != SD_PEER;
    return stranger ? c->ln->what.max_first_frame : NT_MAX_FRAME;
}

/* Delivers the complete frames in c->in. Returns -1 if a frame length is 0 or over
 * its limit, or if the connection was closed hard. */
static int parse_frames(struct nt_conn *c)
{
    size_t off = 0;
    while (c->in.len - off >= FRAME_HEADER) {
        uint32_t be;
        memcpy(&be, c->in.p + off, FRAME_HEADER);
        size_t len = ntohl(be);
        if (len == 0 || len > max_frame(c)) {
            c->loop->st.bad_frames++;
            return -1;
        }
        if (c->in.len - off - FRAME_HEADER < len)
            break;
        char *msg = c->in.p + off + FRAME_HEADER;
        char keep = msg[len];
        msg[len] = 0;
        deliver(c, msg, len);
        msg[len] = keep;
        off += FRAME_HEADER + len;
        if (c->closing && c->hard)
            return -1;
    }
    if (off == c->in.len) {
        sr_buf_reset(&c->in);
        return 0;
    }
    memmove(c->in.p, c->in.p + off, c->in.len - off);
    c->in.len -= off;
    return 0;
}

static int on_raw_data(struct nt_conn *c, const void *in, size_t len)
{
    count_in(c, len);
    if (c->kind == K_STREAM) {
        deliver(c, in, len);
        np_note_read(c, len, false);
        return c->closing && c->hard ? -1 : 0;
    }
    sr_buf_add(&c->in, in, len);
    int rc = parse_frames(c);
    np_recount(c);
    np_note_read(c, len, false);
    return rc;
}

static int on_ws_data(struct nt_conn *c, const void *in, size_t len)
{
    count_in(c, len);
    if (c->in.len + len > NT_MAX_MESSAGE) {
        c->loop->st.oversized++;
        return -1;
    }
    sr_buf_add(&c->in, in, len);
    bool whole = !lws_remaining_packet_payload(c->wsi) && lws_is_final_fragment(c->wsi);
    if (whole) {
        if (c->use.rank < SD_USED)
            nt_set_rank(c, SD_USED);
        nt_note_progress(c);
        deliver(c, c->in.p, c->in.len);
        sr_buf_reset(&c->in);
    }
    np_recount(c);
    np_note_read(c, len, whole);
    return 0;
}

/* ---- server callbacks ---- */

/* Limits what a caller can send before it is read, and what is sent before it reads. */
static void set_small_windows(int fd)
{
    /* The kernel doubles the sizes for its own use. */
    int receive = NT_RECEIVE_BYTES / 2, bytes = NT_SEND_BYTES / 2;
    if (setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive, sizeof(receive)) != 0 ||
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes)) != 0)
        FL_DBG(&nlog, "can't set the buffers of a socket to %d and %d bytes", receive, bytes);
}

/* `fd`: a new connection that lws has not adopted yet. */
static int filter_connection(struct nt_listener *ln, int fd)
{
    if (!ln)
        return 0;
    if (ln->refuse_new)
        return -1;
    if (ln->n_pending >= NT_MAX_PENDING) {
        /* Letting one go for another costs far more than refusing it, and all that wait to be
         * accepted are accepted in one iteration. */
        if (++ln->loop->n_displaced > MAX_DISPLACED) {
            ln->loop->st.shed_for_room++;
            return -1;
        }
        np_drop_oldest_pending(ln);
    }
    if (ln->what.small_windows)
        set_small_windows(fd);
    return 0;
}

static int accept_peer(struct nt_listener *ln, struct lws *wsi, enum kind kind)
{
    struct nt_conn *before = lws_get_opaque_user_data(wsi);
    if (before)
        np_http_upgraded(before);
    struct nt_conn *c = np_conn_new(ln->loop, kind, ln->what.ops, NULL);
    c->ln = ln;
    c->wsi = wsi;
    lws_set_opaque_user_data(wsi, c);
    ln->loop->st.accepted++;
    c->ud = ln->what.accept(c, ln->what.ud);
    if (!c->ud) {
        c->ops = NULL;
        return -1;
    }
    np_room_add(c, SD_NEW);
    c->opened = true;
    if (kind != K_WS)
        np_watch_peer(c);
    c->ops->open(c, c->ud);
    return 0;
}

/* lws reports every failed connect with the same text, and with another one where the event
 * library sees the reset first. The caller therefore also checks the time: a connect that fails
 * within REFUSED_WITHIN_US was refused by the peer. */
static bool looks_refused(const char *why)
{
    return why && (strcmp(why, "Unable to connect") == 0 ||
                   strcmp(why, "closed before established") == 0);
}

static int connected(struct nt_conn *c)
{
    if (c->opened)
        return 0;
    if (c->closing)
        return -1;
    c->opened = true;
    if (c->kind != K_WS)
        np_watch_peer(c);
    if (c->ops)
        c->ops->open(c, c->ud);
    return 0;
}

static void connect_failed(struct nt_conn *c, const char *why)
{
    c->refused = looks_refused(why) && ck_now() - c->connect_started < REFUSED_WITHIN_US;
    np_conn_closed(c);
}

/* Runs on the loop's thread after a thread has called nt_wake. */
static void on_wake(const struct nt_loop *l)
{
    if (l && l->wake)
        l->wake(l->wake_ud);
}

static int dispatch(struct lws *wsi, enum lws_callback_reasons why, void *in, size_t len)
{
    struct nt_conn *c = wsi ? lws_get_opaque_user_data(wsi) : NULL;
    struct lws_vhost *vh = wsi ? lws_get_vhost(wsi) : NULL;
    struct nt_listener *ln = vh ? lws_get_vhost_user(vh) : NULL;
    if (c && c->kind == K_HTTP_CLIENT)
        return np_client_http(c, why, in, len);
    switch (why) {
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
        return filter_connection(ln, (int)(intptr_t)in);
    case LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION:
        return ln && ln->refuse_new ? -1 : 0;
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
        return ln && !ln->what.raw && !ln->what.stream ? np_http_adopt(ln, wsi) : 0;
    case LWS_CALLBACK_HTTP:
        return ln ? np_http_start(ln, wsi, in, len) : -1;
    case LWS_CALLBACK_HTTP_BODY:
        return c ? np_http_body(c, in, len) : -1;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (c)
            np_dispatch_http(c);
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return c ? np_http_writable(c) : 0;
    case LWS_CALLBACK_ESTABLISHED:
        return ln ? accept_peer(ln, wsi, K_WS) : -1;
    case LWS_CALLBACK_RAW_ADOPT:
        return ln ? accept_peer(ln, wsi, ln->what.stream ? K_STREAM : K_RAW) : 0;
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
    case LWS_CALLBACK_RAW_CONNECTED:
        return c ? connected(c) : -1;
    case LWS_CALLBACK_RECEIVE:
    case LWS_CALLBACK_CLIENT_RECEIVE:
        return c ? on_ws_data(c, in, len) : -1;
    case LWS_CALLBACK_RAW_RX:
        return c ? on_raw_data(c, in, len) : -1;
    case LWS_CALLBACK_SERVER_WRITEABLE:
    case LWS_CALLBACK_CLIENT_WRITEABLE:
    case LWS_CALLBACK_RAW_WRITEABLE:
        return c ? on_socket_writable(c) : -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        if (c)
            connect_failed(c, in);
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
    case LWS_CALLBACK_CLOSED:
    case LWS_CALLBACK_CLIENT_CLOSED:
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLOSED_HTTP:
        if (c)
            np_conn_closed(c);
        return 0;
    case LWS_CALLBACK_EVENT_WAIT_CANCELLED:
        on_wake(lws_context_user(lws_get_context(wsi)));
        return 0;
    default:
        return 0;
    }
}

static int callback(struct lws *wsi, enum lws_callback_reasons why, void *user, void *in,
                    size_t len)
{
    (void)user;
    int rc = dispatch(wsi, why, in, len);
    /* Not after other events, which may occur while a received message is handled. */
    if (why == LWS_CALLBACK_RAW_RX || why == LWS_CALLBACK_RECEIVE ||
        why == LWS_CALLBACK_HTTP_BODY)
        np_relieve(lws_context_user(lws_get_context(wsi)));
    return rc;
}

const struct lws_protocols np_protocols[] = {
    {"ferry", callback, 0, SERVICE_BUF, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

/* ---- connecting ---- */

static void report_connect_failure(void *ud)
{
    np_conn_closed(ud);
}

void np_start_connect(struct nt_conn *c, const char *ip, int port, const char *method,
                      const char *path)
{
    struct lws_client_connect_info i = {0};
    c->connect_started = ck_now();
    i.context = c->loop->ctx;
    i.vhost = c->loop->client_vh;
    i.address = ip;
    i.host = ip;
    i.origin = ip;
    i.port = port;
    i.path = path;
    i.method = method;
    i.protocol = method ? NULL : "ferry";
    i.local_protocol_name = "ferry";
    i.opaque_user_data = c;
    i.pwsi = &c->wsi;
    if (method && strcmp(method, "RAW") != 0)
        i.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    /* lws may report a failure from within this call, so the callbacks are hidden during it. */
    const struct nt_ops *ops = c->ops;
    void (*done)(void *, int, const char *, size_t) = c->done;
    c->ops = NULL;
    c->done = NULL;
    c->dead = true;
    struct lws *wsi = lws_client_connect_via_info(&i);
    c->dead = false;
    c->ops = ops;
    c->done = done;
    if (!wsi) {
        c->wsi = NULL;
        c->refused = true;
        nt_timer_set(c->loop, &c->connect_failure, 1, report_connect_failure, c);
    }
}

struct nt_conn *nt_connect(struct nt_loop *l, const char *ip, int port, bool raw,
                           const struct nt_ops *ops, void *ud)
{
    struct nt_conn *c = np_conn_new(l, raw ? K_RAW : K_WS, ops, ud);
    np_start_connect(c, ip, port, raw ? "RAW" : NULL, "/");
    return c;
}

struct nt_conn *nt_connect_stream(struct nt_loop *l, const char *ip, int port,
                                  const struct nt_ops *ops, void *ud)
{
    struct nt_conn *c = np_conn_new(l, K_STREAM, ops, ud);
    np_start_connect(c, ip, port, "RAW", "/");
    return c;
}

void nt_pause_reading(struct nt_conn *c, bool pause)
{
    pause = pause || (c->ln && c->ln->reading_stopped);
    if (!c->wsi || c->dead || c->reading_paused == pause)
        return;
    c->reading_paused = pause;
    lws_rx_flow_control(c->wsi, pause || c->throttled ? 0 : 1);
    np_recount(c);
}

/* ---- listeners ---- */

struct nt_listener *nt_listen(struct nt_loop *l, const struct nt_listen *what,
                              struct er_err *err)
{
    struct nt_listener *ln = sr_alloc(sizeof(*ln));
    ln->loop = l;
    ln->what = *what;
    snprintf(ln->ip, sizeof(ln->ip), "%s", what->ip);
    struct lws_context_creation_info info = {0};
    info.port = what->port;
    info.iface = ln->ip;
    info.protocols = np_protocols;
    info.user = ln;
    info.timeout_secs = HANDSHAKE_SEC;
    info.keepalive_timeout = 30;
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    /* A library built with IPv6 opens an IPv6 socket for every address, but not every host
     * supports IPv6. */
    if (!strchr(ln->ip, ':'))
        info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
    info.vhost_name = ln->ip;
    if (what->raw || what->stream) {
        info.options |= LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
        info.listen_accept_role = "raw-skt";
        info.listen_accept_protocol = "ferry";
    }
    char name[96];
    snprintf(name, sizeof(name), "%s:%d", what->ip, what->port);
    info.vhost_name = name;
    ln->vh = lws_create_vhost(l->ctx, &info);
    if (!ln->vh) {
        free(ln);
        er_set(err, ER_IO, "can't listen on %s:%d: the port may be in use", what->ip,
               what->port);
        return NULL;
    }
    ln->next = l->listeners;
    l->listeners = ln;
    return ln;
}

void nt_refuse_new(struct nt_listener *ln)
{
    ln->refuse_new = true;
}

/* lws writes no reply over HTTP while reading is paused, and reads nothing before the reply is
 * written; the connection is closed then. */
static bool pause_one(struct nt_conn *c)
{
    if (c->kind != K_HTTP_SERVER || !c->serving)
        nt_pause_reading(c, true);
    return false;
}

void nt_stop_reading(struct nt_listener *ln)
{
    nt_refuse_new(ln);
    ln->reading_stopped = true;
    np_any_conn(ln, pause_one);
}

static bool has_unsent(struct nt_conn *c)
{
    bool awaits_reply = c->kind == K_HTTP_SERVER && c->serving;
    return !c->hard && (c->head || awaits_reply || (c->wsi && lws_partial_buffered(c->wsi)));
}

bool nt_has_unsent(const struct nt_listener *ln)
{
    return np_any_conn(ln, has_unsent);
}
