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
#include "task/shed.h"

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
    /* Connections to an HTTP listener that sent no request yet; one more displaces the oldest.
     */
    NT_MAX_PENDING = 256,
    /* Receive buffer of a socket of a listener with `small_windows`, of which the peer can fill
     * about half without being read. The window must hold a segment of the loopback device
     * (64 KiB), or each part of a long message waits for a timer of TCP. */
    NT_RECEIVE_BYTES = 128 << 10,
    /* Send buffer of such a socket: answers that its peer does not read stop here. */
    NT_SEND_BYTES = 128 << 10,
    NT_LARGE_MESSAGE = 64 << 10, /* larger messages count in nt_may_parse */
    NT_LARGE_PER_S = 4 << 20,    /* bytes of large messages that are parsed in a second */
    /* What arrives from a caller for whom more than NT_BULK_BYTES is held, or that sends more
     * than NT_BULK_RECENT in a second over a WebSocket, shares a rate, so that reading it
     * leaves processor time to the others. */
    NT_BULK_BYTES = 32 << 10,
    NT_BULK_RECENT = 128 << 10,
    NT_BULK_PER_S = 8 << 20,
    /* What a message of a WebSocket counts in this rate beyond its bytes, as handling a small
     * one takes about as long as receiving that much. */
    NT_MESSAGE_COST = 2 << 10,
    /* Bytes queued for a peer at which its owner should produce no more until it reads. */
    NT_ENOUGH_QUEUED = 64 << 10,
};

/* Why a connection is to be closed. */
enum nt_shed {
    NT_SHED_MEMORY, /* the process holds too much, and much of it for this connection */
    NT_SHED_ROOM,   /* a new connection needs the place */
};

/* What the owner answers. */
enum nt_shed_answer {
    NT_SHED_CLOSE,  /* the connection is closed now */
    NT_SHED_ENDING, /* the owner released what it held, and closes the connection soon */
    NT_SHED_KEEP,   /* it is in use; a shortage of memory closes it nevertheless */
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
    /* Limit of open plain HTTP connections that sent a request; 0 means NT_MAX_HTTP. At the
     * limit a new one displaces the one that has been idle longest, or one whose request is not
     * received in time, and is closed if there is none. */
    int max_http;
    size_t max_first_frame; /* limit of frames until the rank is SD_PEER; 0: NT_MAX_FRAME */
    /* Called before a connection is closed for want of memory or room; may send a last message.
     * NULL: any connection may be closed. Not called for plain HTTP. */
    enum nt_shed_answer (*shed)(struct nt_conn *c, void *ud, enum nt_shed why);
    bool small_windows; /* peers are callers: limits the buffers of their sockets */
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
    uint64_t shed_for_memory, shed_for_room; /* see enum nt_shed */
    uint64_t not_parsed;                     /* see nt_may_parse */
    uint64_t throttled;                      /* times that reading waited; see NT_BULK_PER_S */
    uint64_t stalls;                         /* stalls of the loop of 100 ms or more */
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
/* Read nothing more from the connections of the listener, and refuse new ones. Messages can
 * still be sent. */
void nt_stop_reading(struct nt_listener *ln);
/* Whether data is queued for a peer of the listener, or one waits for the reply to a whole HTTP
 * request. */
bool nt_has_unsent(const struct nt_listener *ln);

/* Start connecting. If the connect fails, ops->close is called, never from within this call. */
struct nt_conn *nt_connect(struct nt_loop *l, const char *ip, int port, bool raw,
                           const struct nt_ops *ops, void *ud);
/* Like nt_connect, for a byte stream without framing: message() gets the received bytes in
 * pieces of any size, not NUL-terminated, and nt_send sends its bytes unchanged. */
struct nt_conn *nt_connect_stream(struct nt_loop *l, const char *ip, int port,
                                  const struct nt_ops *ops, void *ud);
/* Stop or resume reading from the peer. Bounds the memory that a fast sender can fill; what its
 * socket holds meanwhile counts as held for the connection. */
void nt_pause_reading(struct nt_conn *c, bool pause);
/* Call fn(c, ud) with the connection's user pointer whenever its queue has become empty. */
void nt_on_drained(struct nt_conn *c, void (*fn)(struct nt_conn *c, void *ud));

/* ---- memory and room; room.c ---- */

/* Limit the bytes held for connections: received, queued, unread in paused sockets, and
 * charged. Above it those of listeners are closed, the largest without progress first.
 * 0: no limit. */
void nt_limit_memory(struct nt_loop *l, size_t bytes);
size_t nt_held(const struct nt_loop *l);
/* Set the number of bytes that the owner holds for the connection. */
void nt_charge(struct nt_conn *c, size_t bytes);
void nt_set_rank(struct nt_conn *c, enum sd_rank rank);
/* A whole message of the connection was handled. Reading by its peer counts by itself. */
void nt_note_progress(struct nt_conn *c);
/* ck_now() time of the last progress. */
int64_t nt_progress_at(const struct nt_conn *c);
/* Whether a message of this size may be parsed now. Small ones always may. Large ones share a
 * rate, so that parsing them, which may cost far more than receiving, can't occupy the process.
 */
bool nt_may_parse(struct nt_loop *l, size_t len);
/* Close the least used connection of the listener that is not in use, for the sake of a new
 * one. Returns false if there is none. */
bool nt_make_room(struct nt_listener *ln);

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
/* The same of its peer. */
void nt_peer_ip(const struct nt_conn *c, char *out, size_t cap);
/* Call ops->close if the peer of an HTTP request disconnects before the reply. */
void nt_http_watch(struct nt_conn *c, const struct nt_ops *ops, void *ud);
void nt_http_reply(struct nt_conn *c, int status, const char *type, const char *body,
                   size_t len);
/* Redirect the request to `url` with the same method and body (status 307). */
void nt_http_redirect(struct nt_conn *c, const char *url);

#endif
