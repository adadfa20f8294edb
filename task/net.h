/* The event loop with its timers and sockets, on libwebsockets.
 *
 * There is one loop per thread. All functions except nt_wake must be called on the loop's
 * thread. A connection carries whole messages: WebSocket text messages, or raw TCP frames with
 * a 4-byte big-endian length prefix. Lengths are checked before memory is allocated. Times are
 * in microseconds of ck_now(). */
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
    NT_MAX_MESSAGE = 1 << 20, /* bytes of a WebSocket message or of an HTTP request body */
    /* Bytes of a frame between ferrylanding processes. The frame must hold a snapshot of the
     * whole view, including the configuration document escaped as a string. */
    NT_MAX_FRAME = 8 << 20,
    NT_MAX_QUEUED = 16 << 20, /* bytes queued for a peer that does not read */
    NT_MAX_HTTP = 1024,       /* default limit of plain HTTP connections per listener */
};

/* Callbacks of a connection. `ud` is the connection's user pointer. */
struct nt_ops {
    /* The connection is ready to send. */
    void (*open)(struct nt_conn *c, void *ud);
    /* A whole message was received. `data` is valid during the call and followed by a NUL. */
    void (*message)(struct nt_conn *c, void *ud, const char *data, size_t len);
    /* The connection ended. This is its last callback; the connection is freed afterwards.
     * `opened` tells whether open() was called, `refused` whether the peer actively refused the
     * connection. */
    void (*close)(struct nt_conn *c, void *ud, bool opened, bool refused);
};

/* A plain HTTP request. The handler answers with nt_http_reply, during the call or later. */
struct nt_http {
    struct nt_conn *conn;
    const char *method; /* "GET" or "POST" */
    const char *path;
    const char *query; /* text after '?', or "" */
    const char *body;
    size_t body_len;
    void *ud; /* user pointer of the listener */
};

struct nt_listen {
    const char *ip;
    int port;
    bool raw; /* frames over TCP instead of WebSocket and HTTP */
    const struct nt_ops *ops;
    /* Called when a peer connects. Returns the user pointer for the connection, or NULL to
     * refuse it. */
    void *(*accept)(struct nt_conn *c, void *ud);
    void (*http)(const struct nt_http *req); /* NULL: 404 */
    /* Limit of open plain HTTP connections; 0 means NT_MAX_HTTP. At the limit a new connection
     * displaces the one that has been idle longest, and is closed if none is idle. */
    int max_http;
    void *ud;
    bool stream; /* unframed TCP: message() gets the received bytes, not NUL-terminated */
};

/* Traffic and error counters of a loop, for /metrics. */
struct nt_counters {
    uint64_t accepted, closed, oversized, queue_overrun, bad_frames, bytes_in, bytes_out;
    uint64_t messages_in, messages_out;
    /* Plain HTTP on the listeners: accepted connections, requests, connections closed by this
     * process after its reply, and all closed connections. */
    uint64_t http_accepted, http_requests, http_ended_by_us, http_closed;
    uint64_t http_displaced; /* idle connections closed to make room for a newer one */
    uint64_t stalls;         /* stalls of the loop of 100 ms or more */
    int64_t longest_stall_us;
};

/* Payload bytes of a group of connections, without the transport's overhead. */
struct nt_traffic {
    uint64_t bytes_in, bytes_out;
};

struct nt_timer {
    struct nt_timer *next;
    int64_t due; /* ck_now() time of expiry; 0 while not set */
    void (*fn)(void *ud);
    void *ud;
    void *sul; /* private */
};

struct nt_loop *nt_loop_create(int max_fds, struct er_err *err);
/* Run the loop until nt_stop is called. */
void nt_run(struct nt_loop *l);
void nt_stop(struct nt_loop *l);
/* Make the loop call the function set with nt_on_wake. Can be called from any thread; several
 * calls may lead to a single callback. */
void nt_wake(struct nt_loop *l);
void nt_on_wake(struct nt_loop *l, void (*fn)(void *ud), void *ud);
const struct nt_counters *nt_stats(const struct nt_loop *l);
/* The ck_now() time up to which received data was delivered or is being delivered now. Timers
 * run before sockets are read, so after a long loop iteration data may be received but not yet
 * delivered. A timer that checks a peer for silence must therefore compare with this time
 * instead of the clock. */
int64_t nt_received_until(const struct nt_loop *l);

/* Call fn(ud) once after `us` microseconds. A timer that is already set is rescheduled. */
void nt_timer_set(struct nt_loop *l, struct nt_timer *t, int64_t us, void (*fn)(void *),
                  void *ud);
void nt_timer_cancel(struct nt_timer *t);

/* Returns NULL with *err filled if the port can't be bound. */
struct nt_listener *nt_listen(struct nt_loop *l, const struct nt_listen *what,
                              struct er_err *err);

/* Close each new connection before its handshake is answered, so that its peer can't have sent
 * a message. Open connections are not affected. */
void nt_refuse_new(struct nt_listener *ln);

/* Start connecting. If the connect fails, ops->close is called, never from within this call. */
struct nt_conn *nt_connect(struct nt_loop *l, const char *ip, int port, bool raw,
                           const struct nt_ops *ops, void *ud);
/* Like nt_connect, for a byte stream without framing: message() gets the received bytes in
 * pieces of any size, not NUL-terminated, and nt_send sends its bytes unchanged. */
struct nt_conn *nt_connect_stream(struct nt_loop *l, const char *ip, int port,
                                  const struct nt_ops *ops, void *ud);
/* Stop or resume reading from the peer. Bounds the memory that a fast sender can fill. */
void nt_pause_reading(struct nt_conn *c, bool pause);

/* A header of an outgoing request. A list of headers ends with a NULL name. Names are lower
 * case and end with a colon. */
struct nt_header {
    const char *name, *value;
};
/* Send an HTTP request with headers. `done` is called as for nt_http_get. */
void nt_http_call(struct nt_loop *l, const char *ip, int port, const char *method,
                  const char *path, const struct nt_header *headers, const char *body,
                  void (*done)(void *ud, int status, const char *body, size_t len), void *ud);
/* Send an HTTP request. `done` is called once, with status 0 if no response was received. */
void nt_http_get(struct nt_loop *l, const char *ip, int port, const char *method,
                 const char *path, const char *body,
                 void (*done)(void *ud, int status, const char *body, size_t len), void *ud);

/* Queue a whole message. Returns false if the connection is closing. Returns false and closes
 * the connection if its queue would exceed NT_MAX_QUEUED. */
bool nt_send(struct nt_conn *c, const void *data, size_t len);
/* Close the connection after the queued messages are sent, or immediately if `hard`. ops->close
 * is called afterwards, never from within this call. */
void nt_close(struct nt_conn *c, bool hard);
/* Close an idle connection. Returns false and leaves the connection open if it has received
 * data that is not delivered yet, or if data is queued for its peer. Data that the peer sends
 * later crosses the close on the network. */
bool nt_close_if_idle(struct nt_conn *c);
/* Close the connection immediately and call none of its callbacks any more. */
void nt_forget(struct nt_conn *c);
/* Bytes queued for the peer. */
size_t nt_queued(const struct nt_conn *c);
/* Bytes received after nt_close, which were discarded. */
size_t nt_dropped(const struct nt_conn *c);
/* Also count the connection's bytes in `t`, which must outlive the connection. Does not work
 * for plain HTTP. */
void nt_meter(struct nt_conn *c, struct nt_traffic *t);
/* The local IP address of the connection as text; "" if it is unknown. */
void nt_local_ip(const struct nt_conn *c, char *out, size_t cap);
/* Call ops->close if the peer of an HTTP request disconnects before the reply. */
void nt_http_watch(struct nt_conn *c, const struct nt_ops *ops, void *ud);
void nt_http_reply(struct nt_conn *c, int status, const char *type, const char *body,
                   size_t len);
/* Redirect the request to `url` with the same method and body (status 307). */
void nt_http_redirect(struct nt_conn *c, const char *url);

#endif
