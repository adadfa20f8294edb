/* The loop, its timers and its sockets, on libwebsockets.
 *
 * One loop per thread. Everything below runs on the loop's thread, but for nt_wake.
 * A connection carries whole messages: WebSocket text messages, or frames of a 4-byte
 * big-endian length over raw TCP. Lengths are checked before anything is allocated. */
#ifndef FL_TASK_NET_H
#define FL_TASK_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "misc/err.h"

struct nt_loop;
struct nt_conn;
struct nt_listener;

enum {
    NT_MAX_MESSAGE = 1 << 20, /* bytes of a caller's message, and of a body */
    /* Bytes of a frame between our processes: a snapshot of the whole view, its document
     * escaped as text, is one. */
    NT_MAX_FRAME = 8 << 20,
    NT_MAX_QUEUED = 16 << 20, /* bytes that wait for a peer that does not read */
    NT_MAX_HTTP = 1024,
};

/* What happens on a connection. `ud` is the connection's user pointer. */
struct nt_ops {
    /* The connection is ready to send. */
    void (*open)(struct nt_conn *c, void *ud);
    /* A whole message; `data` is valid during the call and followed by a NUL. */
    void (*message)(struct nt_conn *c, void *ud, const char *data, size_t len);
    /* The last call. `opened` says whether open() was called before; `refused` that the peer
     * actively refused the connection. The connection is freed after it. */
    void (*close)(struct nt_conn *c, void *ud, bool opened, bool refused);
};

/* A plain HTTP request; the handler answers with nt_http_reply, now or later. */
struct nt_http {
    struct nt_conn *conn;
    const char *method; /* "GET" or "POST" */
    const char *path;
    const char *query; /* text after '?', or "" */
    const char *body;
    size_t body_len;
    void *ud; /* the listener's */
};

struct nt_listen {
    const char *ip;
    int port;
    bool raw; /* frames over TCP instead of WebSocket and HTTP */
    const struct nt_ops *ops;
    /* A peer connected: gives the user pointer of its connection, NULL refuses it. */
    void *(*accept)(struct nt_conn *c, void *ud);
    void (*http)(const struct nt_http *req); /* NULL: 404 */
    /* Plain HTTP connections at once, 0: NT_MAX_HTTP. One beyond takes the place of the one
     * that has rested longest, and is closed if none rests. */
    int max_http;
    void *ud;
    bool stream; /* bytes over TCP: message() gets what has come, not NUL-ended */
};

/* Counters of what the sockets refused; for /metrics. */
struct nt_counters {
    uint64_t accepted, closed, oversized, queue_overrun, bad_frames, bytes_in, bytes_out;
    uint64_t messages_in, messages_out;
    /* plain HTTP to our listeners: connections, the requests on them, connections that ended
     * with our answer, and all that ended */
    uint64_t http_accepted, http_requests, http_ended_by_us, http_closed;
    uint64_t http_displaced; /* ended for a newer one */
    uint64_t stalls;         /* times the loop served nobody for 100 ms or more */
    int64_t longest_stall_us;
};

/* Bytes of some connections, as their user groups them; without the transport's own. */
struct nt_traffic {
    uint64_t bytes_in, bytes_out;
};

struct nt_timer {
    struct nt_timer *next;
    int64_t due; /* ck_now microseconds; 0 while not set */
    void (*fn)(void *ud);
    void *ud;
    void *sul; /* private */
};

struct nt_loop *nt_loop_create(int max_fds, struct er_err *err);
/* Serve until nt_stop. */
void nt_run(struct nt_loop *l);
void nt_stop(struct nt_loop *l);
/* From any thread: makes the loop call `fn(ud)` soon; calls may be merged. */
void nt_wake(struct nt_loop *l);
void nt_on_wake(struct nt_loop *l, void (*fn)(void *ud), void *ud);
const struct nt_counters *nt_stats(const struct nt_loop *l);
/* What had come by this time (ck_now) was delivered, or is being delivered now. After a long
 * step it is older than that step, as timers run before sockets are read: whoever judges by a
 * timer that a peer said nothing compares with this, not with the clock. */
int64_t nt_received_until(const struct nt_loop *l);

/* Call fn(ud) once after `us` microseconds; sets anew if it is set. */
void nt_timer_set(struct nt_loop *l, struct nt_timer *t, int64_t us, void (*fn)(void *),
                  void *ud);
void nt_timer_cancel(struct nt_timer *t);

/* Returns NULL with *err filled if the port can't be bound. */
struct nt_listener *nt_listen(struct nt_loop *l, const struct nt_listen *what,
                              struct er_err *err);

/* From now on a peer that connects is closed before its handshake is answered, so that it can't
 * have sent a message. Open connections go on. */
void nt_refuse_new(struct nt_listener *ln);

/* Start connecting. ops->close follows if it fails, never from within this call. */
struct nt_conn *nt_connect(struct nt_loop *l, const char *ip, int port, bool raw,
                           const struct nt_ops *ops, void *ud);
/* The same for a stream of bytes without framing: message() gets what has come, whole or in
 * part, and not NUL-ended; nt_send's bytes go out as they are. */
struct nt_conn *nt_connect_stream(struct nt_loop *l, const char *ip, int port,
                                  const struct nt_ops *ops, void *ud);
/* Stop delivering what the peer sends, or go on: bounds what a fast sender can make us hold. */
void nt_pause_reading(struct nt_conn *c, bool pause);

/* A header of a request of our own; the list ends with name NULL. Names are lower case and end
 * with a colon. */
struct nt_header {
    const char *name, *value;
};
/* One HTTP request with headers; `done` as below. */
void nt_http_call(struct nt_loop *l, const char *ip, int port, const char *method,
                  const char *path, const struct nt_header *headers, const char *body,
                  void (*done)(void *ud, int status, const char *body, size_t len), void *ud);
/* One HTTP request; `done` is called once, with status 0 if no answer came. */
void nt_http_get(struct nt_loop *l, const char *ip, int port, const char *method,
                 const char *path, const char *body,
                 void (*done)(void *ud, int status, const char *body, size_t len), void *ud);

/* Queue a whole message. False, and the connection is closed, if its queue is over bound. */
bool nt_send(struct nt_conn *c, const void *data, size_t len);
/* Close once what is queued has been sent (or at once if `hard`). ops->close follows, never
 * from within this call. */
void nt_close(struct nt_conn *c, bool hard);
/* Close a connection at rest. False, and it stays open, if its peer has sent something that was
 * not delivered yet, or something is queued for it: that comes first. What the peer sends later
 * met the close on its way. */
bool nt_close_if_idle(struct nt_conn *c);
/* From now on this connection's callbacks go nowhere; it closes by itself. */
void nt_forget(struct nt_conn *c);
size_t nt_queued(const struct nt_conn *c);
/* Bytes that came after nt_close and were delivered to nobody. */
size_t nt_dropped(const struct nt_conn *c);
/* From now on the connection's bytes are added to `t`, too, which must outlive it. Not for
 * plain HTTP. */
void nt_meter(struct nt_conn *c, struct nt_traffic *t);
/* The address of our side, as text; "" if it can't be told. */
void nt_local_ip(const struct nt_conn *c, char *out, size_t cap);
/* Tell ops->close if the peer of an HTTP request goes away before the reply. */
void nt_http_watch(struct nt_conn *c, const struct nt_ops *ops, void *ud);
void nt_http_reply(struct nt_conn *c, int status, const char *type, const char *body,
                   size_t len);
/* Answer that the request is to be sent to `url` instead, method and body kept (307). */
void nt_http_redirect(struct nt_conn *c, const char *url);

#endif
