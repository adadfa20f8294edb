/* The endpoint driver table: what the daemons ask of a database instance.
 *
 * One connection carries one statement at a time; position pushes may come between. The core
 * never asks which driver it has, only what it can (`caps`). */
#ifndef FL_ENDPOINT_ENDPOINT_H
#define FL_ENDPOINT_ENDPOINT_H

#include "misc/pos.h"
#include "misc/str.h"
#include "task/net.h"

enum ep_cap {
    EP_FENCE = 1,     /* an instance given a higher term refuses lower ones */
    EP_MINPOS = 2,    /* a read names the position it needs */
    EP_CLAIM = 4,     /* a request id is claimed in the statement's transaction */
    EP_POSITIONS = 8, /* the instance pushes its positions */
};

enum ep_op {
    EP_HELLO,
    EP_READ,
    EP_WRITE,
    EP_BEGIN,
    EP_COMMIT,
    EP_ROLLBACK,
    EP_STATUS,
    EP_DO_FENCE,
    EP_DO_PROMOTE,
    EP_DO_FOLLOW,
    EP_SUBSCRIBE,
    EP_OP_COUNT
};

struct ep_request {
    enum ep_op op;
    uint64_t id;        /* echoed; the connection's own numbering */
    struct sr_str stmt; /* READ, WRITE */
    /* WRITE, BEGIN, DO_*: the term it is meant for. READ: the primary's term; 0 asks a replica,
     * and an instance that is or was a primary and has not followed one since then answers that
     * it is behind: the end of its log may vanish. */
    uint64_t term;
    struct ps_pos min;   /* READ: what must be applied; pos 0: anything */
    int64_t wait_us;     /* READ: how long the instance may wait for `min` */
    struct sr_str claim; /* WRITE, COMMIT: request id; empty: none */
    bool txn;            /* READ, WRITE inside the open transaction */
    struct sr_str ip;    /* DO_FOLLOW: the primary */
    int port;
};

enum ep_result {
    EP_OK,
    EP_BEHIND,  /* READ: `min` is not applied; not run */
    EP_REFUSED, /* other term, or not the primary; not run */
    EP_BAD,     /* the statement is wrong; not run */
};

struct ep_reply {
    uint64_t id;
    enum ep_result result;
    struct sr_str value; /* what the statement gives, or what is wrong with it */
    bool duplicate;      /* the claim was there: this is the first run's answer */
    struct ps_pos pos;   /* READ: applied when it ran; WRITE, COMMIT: of the write */
    /* DO_*, STATUS and pushes: */
    bool primary;
    uint64_t term, following;
    struct ps_pos held, applied;
};

struct ep_conn;

struct ep_events {
    void (*open)(struct ep_conn *c, void *ud);
    void (*reply)(struct ep_conn *c, void *ud, const struct ep_reply *r);
    /* Positions moved; id is 0. */
    void (*push)(struct ep_conn *c, void *ud, const struct ep_reply *r);
    /* Last call. `refused`: the instance is there but nothing listens. */
    void (*close)(struct ep_conn *c, void *ud, bool opened, bool refused);
};

/* Which instance a connection is for. */
struct ep_target {
    const char *ip;
    int port;
    const char *group, *id; /* a driver may tell them, so that another instance refuses */
};

struct ep_driver {
    const char *name;
    unsigned caps;
    /* Connect and introduce ourselves as `who` ("entry:e0", "control:c1"); open() follows. */
    struct ep_conn *(*open)(struct nt_loop *l, const struct ep_target *to,
                            const char *client_name, const struct ep_events *ev, void *ud);
    /* False if nothing was queued: certainly not run. */
    bool (*send)(struct ep_conn *c, const struct ep_request *r);
    /* close() follows, never from within. */
    void (*close)(struct ep_conn *c);
};

/* Every connection begins with this; a driver's own state follows it. */
struct ep_conn {
    const struct ep_driver *driver;
    void *ud;
};

/* WebSocket and JSON, for instances that expose terms and positions. */
extern const struct ep_driver ep_ws;

/* Untrusted text in; false if it is no reply. Strings point into `*keep`, which the caller
 * releases with json_decref. */
bool ep_reply_parse(const char *data, size_t len, struct ep_reply *r, void **json,
                    struct er_err *err);

#endif
