/* The interface of endpoint drivers: the operations that ferryd needs from a database instance.
 *
 * A connection carries one statement at a time; position pushes may arrive in between. Users of
 * a driver check its capabilities (`caps`), never which driver it is. Times are in
 * microseconds. */
#ifndef FL_ENDPOINT_ENDPOINT_H
#define FL_ENDPOINT_ENDPOINT_H

#include "misc/pos.h"
#include "misc/str.h"
#include "task/net.h"

enum ep_cap {
    EP_FENCE = 1,     /* an instance that has seen a higher term refuses lower ones */
    EP_MINPOS = 2,    /* a read states the position that must be applied */
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
    uint64_t id;        /* returned in the reply; unique per connection */
    struct sr_str stmt; /* READ, WRITE */
    /* WRITE, BEGIN, DO_*: the term in which the request is valid. READ: the primary's term, or
     * 0 to read at a replica. With 0, an instance that is a primary, or was one and has not
     * followed another since, answers EP_BEHIND, as the end of its log may be discarded. */
    uint64_t term;
    struct ps_pos min;   /* READ: position that must be applied; pos 0: any */
    int64_t wait_us;     /* READ: how long the instance may wait for `min` */
    struct sr_str claim; /* WRITE, COMMIT: request id; empty: none */
    bool txn;            /* READ, WRITE inside the open transaction */
    struct sr_str ip;    /* DO_FOLLOW: the primary */
    int port;
    /* STATUS: replies until one reports what was so at this time or later are of no use; 0: any
     * is. */
    int64_t since;
};

enum ep_result {
    EP_OK,
    EP_BEHIND,  /* READ: `min` is not applied; not run */
    EP_REFUSED, /* different term, or not the primary; not run */
    EP_BAD,     /* invalid statement; not run */
};

struct ep_reply {
    uint64_t id;
    enum ep_result result;
    struct sr_str value; /* the result of the statement, or its error */
    bool duplicate;      /* the claim already existed; this is the answer of the first run */
    struct ps_pos pos;   /* READ: applied position at the run; WRITE, COMMIT: of the write */
    /* Set for DO_*, STATUS and pushes: */
    bool primary;
    uint64_t term, following;
    struct ps_pos held, applied;
    /* STATUS: it reports what was so at this time or later, if the driver can't tell by `id`;
     * else 0. */
    int64_t as_of;
};

struct ep_conn;

struct ep_events {
    void (*open)(struct ep_conn *c, void *ud);
    void (*reply)(struct ep_conn *c, void *ud, const struct ep_reply *r);
    /* The instance's positions have changed; the reply's id is 0. */
    void (*push)(struct ep_conn *c, void *ud, const struct ep_reply *r);
    /* The last event of a connection. `opened`: open() was called. `refused`: the host rejected
     * the connection because nothing listens on the port. */
    void (*close)(struct ep_conn *c, void *ud, bool opened, bool refused);
};

/* The instance that a connection is for. */
struct ep_target {
    const char *ip;
    int port;
    const char *group, *id; /* a driver may send them so that a wrong instance refuses */
};

struct ep_driver {
    const char *name;
    unsigned caps;
    /* Connects and sends `client_name` ("entry:e0", "control:c1"); the open event follows. */
    struct ep_conn *(*open)(struct nt_loop *l, const struct ep_target *to,
                            const char *client_name, const struct ep_events *ev, void *ud);
    /* Returns false if nothing was queued; the request is then certainly not run. */
    bool (*send)(struct ep_conn *c, const struct ep_request *r);
    /* The close event follows, never during this call. */
    void (*close)(struct ep_conn *c);
};

/* The first member of every driver's connection struct. */
struct ep_conn {
    const struct ep_driver *driver;
    void *ud;
};

/* Driver for instances that expose terms and positions, over WebSocket with JSON messages. */
extern const struct ep_driver ep_ws;

/* Parses untrusted text; returns false if it is not a valid reply. Strings in `r` point into
 * `*json`, released with json_decref by the user of the function. */
bool ep_reply_parse(const char *data, size_t len, struct ep_reply *r, void **json,
                    struct er_err *err);

#endif
