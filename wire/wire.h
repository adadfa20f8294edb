/* Messages between our processes: msgpack arrays in length-prefixed frames.
 *
 * The first element is the type. Later versions may append elements: a reader ignores what it
 * does not know, and an absent element reads as zero. A wrong type or a bound overrun makes the
 * whole message invalid. Views of strings point into the decoded message. */
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
    WR_HELLO = 1,  /* both ways, first */
    WR_QUORUM,     /* control to control: struct qr_msg */
    WR_RENEW,      /* entry or observer to leader */
    WR_GRANT,      /* leader to entry; to an observer: I lead, no lease */
    WR_NOT_LEADER, /* control or observer to entry: who leads, as far as known; itself: elected
                    */
    WR_VIEW,       /* leader to entry: changes or a snapshot */
    WR_ACK,        /* entry to leader: the generation applied */
    WR_SHARES,     /* leader to entry: connections it may hold */
    WR_CHECK,      /* leader to entry: is this instance answering you? */
    WR_CHECKED,    /* entry to leader */
    WR_PROBES,     /* control follower to leader: what its probes see */
    WR_SUSPECT,    /* entry to leader: an instance stopped answering */
    WR_NODES,      /* leader to entry: the entry nodes that hold a lease, or did a moment ago */
    WR_CONTROLS,   /* control or observer to whoever connects: where the control nodes are */
};

enum { WR_TYPES = WR_CONTROLS + 1 }; /* one above the last */

enum wr_role {
    WR_ROLE_ENTRY = 1,
    WR_ROLE_CONTROL,
    WR_ROLE_OBSERVER, /* asks the leader who leads; holds no lease, no view, no connections */
};
enum wr_health {
    WR_UNKNOWN,
    WR_OK,
    WR_SILENT,
    WR_REFUSED,
    WR_UNFIT, /* it is there, and another of its group should lead */
};

struct wr_hello {
    uint32_t version;
    struct sr_str cluster, name, domain, ip;
    uint32_t port; /* where its HTTP answers */
    enum wr_role role;
    uint64_t id;      /* control: the identity on disk; else drawn at start */
    uint64_t expect;  /* control: the identity expected of the other side, 0 any */
    uint32_t carries; /* entry: statements a second (route/capacity.h); 0: not told */
    uint32_t http;    /* entry: port of its own pages; 0: not told */
};

struct wr_share {
    struct sr_str inst;
    uint32_t held, want;
};

/* Of a client account's permits (limit/limit.h): what a node has and would have. */
struct wr_permit_ask {
    struct sr_str account;
    uint32_t held, want, returned;
};

/* What it is given; nothing and over_ms: the account is over its limit for so long. */
struct wr_permit {
    struct sr_str account;
    uint32_t given, over_ms;
};

struct wr_renew {
    uint64_t seq, generation, hlc;
    bool stopping;
    uint32_t n;
    struct wr_share *shares;
    uint64_t shares_seq; /* of the last WR_SHARES applied */
    bool leaving; /* it stops soon, keeps its lease till then, and is to hold no group any more
                   */
    uint64_t nodes; /* hash of the list of nodes it has (route/nodelist.h); 0: not told */
    uint32_t n_permits;
    struct wr_permit_ask *permits;
    bool all_permits; /* they name every account of which the node has some */
};

struct wr_grant {
    uint64_t seq, hlc;
    uint32_t duration_ms; /* counted from the sending of the renewal; 0: refused */
    uint64_t generation;
    bool knows_permits; /* this connection brought all_permits: those that are out live on */
};

struct wr_view {
    uint64_t from, to; /* from = 0: `text` is a whole view; else a JSON list of changes */
    struct sr_str text;
};

struct wr_shares {
    uint32_t n;
    struct wr_share *shares; /* held: what the node may hold */
    uint64_t seq;
    uint32_t n_permits;
    struct wr_permit *permits;
    uint64_t renewal; /* that they answer */
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
    uint32_t port;    /* for callers */
    uint32_t carries; /* WR_NODES: statements a second; 0: not told */
};

/* WR_CONTROLS: a list. WR_NODES: the way from one list to another (route/nodelist.h). */
struct wr_nodes {
    uint32_t n;
    struct wr_node *nodes; /* all, or what came */
    uint64_t from, to;     /* hashes of the lists; from = 0: `nodes` is all; to = 0: not told */
    uint32_t n_gone;
    struct sr_str *gone; /* names */
};

struct wr_msg {
    enum wr_type type;
    union {
        struct wr_hello hello;
        struct qr_msg quorum;
        struct wr_renew renew;
        struct wr_grant grant;
        struct sr_str leader; /* WR_NOT_LEADER: name, may be empty */
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
    /* A view's text of more bytes is sent deflated. Origin: a document of 700 routes shrinks to
     * a tenth, and nodes have links of 2 Mbit/s (users' pages). */
    WR_PACK_ABOVE = 1024,
    WR_MAX_VIEW = 16 << 20, /* bytes that such a text is inflated to at most */
    /* A list of more nodes is sent deflated: 300 take 11 KB as they are, 2 KB so (counted). */
    WR_PACK_NODES_ABOVE = 16,
    WR_MAX_NODE_BYTES = 256, /* of one such node, at most */
};

/* Append the encoded message to `out`. */
void wr_encode(struct sr_buf *out, const struct wr_msg *m);
/* Untrusted bytes in; *m is valid until the next call. False with *err on anything wrong. */
bool wr_decode(struct wr_decoder *d, const char *data, size_t len, struct wr_msg *m,
               struct er_err *err);
void wr_decoder_free(struct wr_decoder *d);
/* Why a greeting is not for the node of this cluster and identity; NULL if it is. */
const char *wr_hello_wrong(const struct wr_hello *h, const char *cluster, uint64_t id);

#endif
