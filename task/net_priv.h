/* Internal state of the socket layer, shared by net.c, http.c and loop.c. The public interface
 * is task/net.h. */
#ifndef FL_TASK_NET_PRIV_H
#define FL_TASK_NET_PRIV_H

#include <libwebsockets.h>
#include <uv.h>

#include "misc/str.h"
#include "task/net.h"

#define SERVICE_BUF 16384
#define HANDSHAKE_SEC 5
struct out {
    struct out *next;
    size_t len;
    size_t off;           /* bytes already written */
    unsigned char data[]; /* LWS_PRE bytes reserved for lws, then the message */
};

enum kind { K_WS, K_RAW, K_STREAM, K_HTTP_SERVER, K_HTTP_CLIENT };
enum { NP_MAX_HEADERS = 4 };

struct nt_conn {
    struct nt_loop *loop;
    struct nt_listener *ln; /* NULL for an outgoing connection */
    struct lws *wsi;
    enum kind kind;
    const struct nt_ops *ops;
    void *ud;
    bool opened, refused, closing, hard, dead;
    struct out *head, **tail;
    size_t queued;
    size_t in_lws;  /* bytes that lws copied because the kernel did not accept them */
    size_t charged; /* nt_charge */
    bool reading_paused, throttled;
    size_t recent;     /* bytes read since recent_at, with NT_MESSAGE_COST for each message */
    int64_t recent_at; /* begin of the current second */
    struct nt_conn *prev_throttled, *next_throttled;
    struct sd_conn use; /* outgoing connections: only `bytes` */
    void (*drained)(struct nt_conn *, void *);
    size_t dropped;             /* bytes received while closing, which were discarded */
    struct nt_traffic *traffic; /* NULL if nt_meter was not called */
    struct sr_buf in;        /* bytes received but not delivered; HTTP client: body to send */
    int64_t connect_started; /* ck_now() time */
    struct nt_timer connect_failure; /* reports a failed connect from the loop */
    /* plain HTTP */
    char path[256], query[512], method[8];
    struct sr_buf body;
    void (*done)(void *, int, const char *, size_t);
    int status;
    bool replied;
    bool requested; /* sent a request */
    bool serving;   /* a whole request was received and is not answered */
    bool idle; /* the last request is answered and the connection is kept for the next one */
    int n_headers; /* headers of an outgoing request */
    char header_name[NP_MAX_HEADERS][32], header_value[NP_MAX_HEADERS][64];
};

struct nt_listener {
    struct nt_loop *loop;
    struct nt_listen what;
    struct lws_vhost *vh;
    char ip[64];
    bool refuse_new;           /* close new connections before their handshake */
    bool reading_stopped;      /* nt_stop_reading */
    int n_http;                /* open plain HTTP connections that sent a request */
    int n_pending;             /* and those that did not */
    struct sd_set conns, http; /* plain HTTP is in `http` only */
    struct nt_listener *next;
};

struct nt_loop {
    uv_loop_t uv; /* uses epoll; the cost of poll() in lws grows with the idle sockets */
    uv_prepare_t before_poll;
    int64_t received_until; /* returned by nt_received_until */
    struct lws_context *ctx;
    struct lws_vhost *client_vh;
    bool stop;
    void (*wake)(void *);
    void *wake_ud;
    struct nt_counters st;
    size_t held, max_held; /* bytes held for all connections, and their limit; 0: none */
    /* bytes that may be read from callers for whom much is held, at that time */
    int64_t bulk_bytes, bulk_at;
    struct nt_conn *first_throttled, *last_throttled;
    int64_t large_bytes,
        large_at;          /* bytes of large messages that may be parsed, at that time */
    int64_t log_budget_at; /* limits log lines on connections closed, per second */
    int log_budget;
    int64_t stalled_until; /* ck_now() time at which the last logged stall ended */
    int n_displaced;       /* see MAX_DISPLACED; in this iteration */
    struct nt_listener *listeners;
};

extern const struct lws_protocols np_protocols[];

struct nt_conn *np_conn_new(struct nt_loop *l, enum kind kind, const struct nt_ops *ops,
                            void *ud);
void np_conn_closed(struct nt_conn *c);
void np_pop_out(struct nt_conn *c);
/* Whether the socket has received bytes that are not read yet. */
bool np_has_unread(const struct nt_conn *c);
/* Enable TCP timeouts on an open connection, so that an unreachable peer is detected. */
void np_watch_peer(struct nt_conn *c);
void np_start_connect(struct nt_conn *c, const char *ip, int port, const char *method,
                      const char *path);
/* room.c: counts what is held for a connection; call after it has changed. */
void np_recount(struct nt_conn *c);
void np_room_add(struct nt_conn *c, enum sd_rank rank);
void np_room_remove(struct nt_conn *c);
/* Whether `is` returns true for any connection of the listener; it must not close them. */
bool np_any_conn(const struct nt_listener *ln, bool (*is)(struct nt_conn *c));
/* `len` bytes were read from the connection: reading waits if it was much. With `message` they
 * ended one whose handling counts too. */
void np_note_read(struct nt_conn *c, size_t len, bool message);
/* Continues reading where it waited; called in each iteration of the loop. */
void np_continue_reading(struct nt_loop *l);
/* Closes connections if too much is held. Buffers of any connection may be freed, so it is not
 * called while a received message is handled. */
void np_relieve(struct nt_loop *l);

void np_http_conn_closed(struct nt_conn *c);
/* A peer has connected to an HTTP listener; its request may follow. */
int np_http_adopt(struct nt_listener *ln, struct lws *wsi);
/* room.c: like nt_make_room, leaving out those that sent no request yet. */
bool np_make_room_for_request(const struct nt_listener *ln);
/* Closes the connection that has waited longest for its first request. */
void np_drop_oldest_pending(const struct nt_listener *ln);
/* The connection turns into a WebSocket: frees its state of plain HTTP. */
void np_http_upgraded(struct nt_conn *c);
enum nt_shed_answer np_http_shed(struct nt_conn *c, enum nt_shed why);
int np_http_writable(struct nt_conn *c);
int np_http_start(struct nt_listener *ln, struct lws *wsi, const char *uri, size_t len);
int np_http_body(struct nt_conn *c, const void *in, size_t len);
void np_dispatch_http(struct nt_conn *c);
int np_client_http(struct nt_conn *c, enum lws_callback_reasons why, void *in, size_t len);

#endif
