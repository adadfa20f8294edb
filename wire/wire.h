/* Messages between the processes of a cluster: msgpack arrays in length-prefixed frames.
 *
 * The first element is the message type. Later versions may append elements: a reader ignores
 * unknown ones, and an absent element reads as zero. An element of a wrong type or out of
 * bounds makes the whole message invalid. Decoded strings point into the message. */
#ifndef FL_WIRE_WIRE_H
#define FL_WIRE_WIRE_H

#include <msgpack.h>

#include "misc/err.h"
#include "misc/str.h"
#include "quorum/quorum.h"

enum {
    WR_VERSION = 3,
    WR_MAX_SHARES = 4096,
    WR_MAX_PROBES = 4096,
    WR_MAX_NODES = 1024,
    WR_MAX_PERMITS = 16384
};

enum wr_type {
    WR_HELLO = 1,  /* first message in both directions */
    WR_QUORUM,     /* control to control: struct qr_msg */
    WR_RENEW,      /* entry or observer to leader */
    WR_GRANT,      /* leader to entry: a lease; to an observer: the sender leads, no lease */
    WR_NOT_LEADER, /* control or observer to entry: the leader's name, if known; a sender that
                       names itself has been elected */
    WR_VIEW,       /* leader to entry: changes or a snapshot */
    WR_ACK,        /* entry to leader: the generation that was applied */
    WR_SHARES,     /* leader to entry: connections the node may hold */
    WR_CHECK,      /* leader to entry: asks whether an instance replies to the node */
    WR_CHECKED,    /* entry to leader: the reply to WR_CHECK */
    WR_PROBES,     /* control follower to leader: results of its probes */
    WR_SUSPECT,    /* entry to leader: an instance stopped replying */
    WR_NODES,      /* leader to entry: the entry nodes with a lease or a recently expired one */
    WR_CONTROLS, /* control or observer to a connecting node: addresses of the control nodes */
};

enum { WR_TYPES = WR_CONTROLS + 1 }; /* one above the highest type */

enum wr_role {
    WR_ROLE_ENTRY = 1,
    WR_ROLE_CONTROL,
    WR_ROLE_OBSERVER, /* only asks the leader who leads; has no lease, view or connections */
};
enum wr_health {
    WR_UNKNOWN,
    WR_OK,
    WR_SILENT,
    WR_REFUSED,
    WR_UNFIT, /* alive, but another instance of its group should lead */
};

struct wr_hello {
    uint32_t version;
    struct sr_str cluster, name, domain, ip;
    uint32_t port; /* control: for other nodes; entry: for callers */
    enum wr_role role;
    uint64_t id;          /* control: the identity on disk; others: drawn at start */
    uint64_t expected_id; /* control: the identity expected of the receiver; 0: any */
    uint32_t capacity;    /* entry: statements per second (route/capacity.h); 0: unknown */
    uint32_t http_port;   /* entry: port of its HTTP interface; 0: unknown */
};

struct wr_share {
    struct sr_str inst;
    uint32_t held, want;
};

/* The permits of a client account (limit/limit.h) that a node has and wants. */
struct wr_permit_ask {
    struct sr_str account;
    uint32_t held, want, returned;
};

/* Permits granted to a node. None granted and over_ms set: the account is over its limit
 * for that time. */
struct wr_permit {
    struct sr_str account;
    uint32_t given, over_ms;
};

struct wr_renew {
    uint64_t seq, generation, hlc;
    bool stopping;
    uint32_t n;
    struct wr_share *shares;
    uint64_t shares_seq; /* seq of the latest WR_SHARES that was applied */
    bool leaving; /* the node stops soon and keeps its lease until then, but must not be chosen
                     as a holder of a group any more */
    uint64_t nodes_hash; /* hash of the sender's node list (route/nodelist.h); 0: unknown */
    uint32_t n_permits;
    struct wr_permit_ask *permits;
    bool permits_complete; /* `permits` names every account of which the node has permits */
};

struct wr_grant {
    uint64_t seq, hlc;
    uint32_t duration_ms; /* counted from when the renewal was sent; 0: refused */
    uint64_t generation;
    bool permits_known; /* the leader got permits_complete on this connection: granted permits
                           stay valid */
};

struct wr_view {
    uint64_t from, to; /* from = 0: `text` is a whole view; else a JSON array of changes */
    struct sr_str text;
};

struct wr_shares {
    uint32_t n;
    struct wr_share *shares; /* `held` is the number the node may hold */
    uint64_t seq;
    uint32_t n_permits;
    struct wr_permit *permits;
    uint64_t renewal; /* seq of the renewal that the permits answer */
};

struct wr_check {
    uint64_t nonce;
    struct sr_str inst;
    enum wr_health health; /* WR_CHECKED */
};

struct wr_probe {
    struct sr_str inst;
    enum wr_health health;
    bool primary;
    uint64_t term, last_term, pos, following;
};

struct wr_probes {
    uint32_t n;
    struct wr_probe *probes;
};

struct wr_node {
    struct sr_str name, domain, ip;
    uint32_t port;     /* for callers */
    uint32_t capacity; /* WR_NODES: statements per second; 0: unknown */
};

/* WR_CONTROLS: a list. WR_NODES: the difference between two lists (route/nodelist.h). */
struct wr_nodes {
    uint32_t n;
    struct wr_node *nodes; /* all nodes, or the added ones */
    uint64_t from, to;     /* hashes of the lists; from = 0: whole list; to = 0: unknown */
    uint32_t n_removed;
    struct sr_str *removed; /* names of the removed nodes */
};

struct wr_msg {
    enum wr_type type;
    union {
        struct wr_hello hello;
        struct qr_msg quorum;
        struct wr_renew renew;
        struct wr_grant grant;
        struct sr_str leader; /* WR_NOT_LEADER: name of the leader, may be empty */
        struct wr_view view;
        uint64_t ack;
        struct wr_shares shares;
        struct wr_check check; /* WR_CHECK, WR_CHECKED, WR_SUSPECT */
        struct wr_probes probes;
        struct wr_nodes nodes;
    };
};

/* A decoder that reuses its zone from message to message. */
struct wr_decoder {
    msgpack_zone zone;
    bool ready;
};

enum {
    /* A view with a longer text is sent deflated: a document of 700 routes shrinks to a tenth,
     * and nodes may have links of 2 Mbit/s only. */
    WR_DEFLATE_ABOVE_BYTES = 1024,
    WR_MAX_VIEW_BYTES = 16 << 20, /* limit of such a text after inflating */
    /* A longer list of nodes is sent deflated: 300 nodes take 2 KB instead of 11 KB. */
    WR_DEFLATE_ABOVE_NODES = 16,
    WR_MAX_NODE_BYTES = 256, /* limit of one node of such a list after inflating */
};

/* Appends the encoded message to `out`. */
void wr_encode(struct sr_buf *out, const struct wr_msg *m);
/* Decodes untrusted bytes. *m is valid until the next call. Returns false with *err set if the
 * message is invalid. */
bool wr_decode(struct wr_decoder *d, const char *data, size_t len, struct wr_msg *m,
               struct er_err *err);
void wr_decoder_free(struct wr_decoder *d);
/* Why a greeting is not meant for a node with this cluster and identity, or NULL. */
const char *wr_hello_mismatch(const struct wr_hello *h, const char *cluster, uint64_t id);

#endif
