/* The entry role: takes callers, holds endpoint connections, routes. One thread; this header is
 * shared by the parts of the role only. */
#ifndef FL_ENTRY_ENTRY_H
#define FL_ENTRY_ENTRY_H

#include "admit/admit.h"
#include "caller/caller.h"
#include "endpoint/endpoint.h"
#include "lease/lease.h"
#include "misc/hist.h"
#include "misc/log.h"
#include "pool/shares.h"
#include "proxy/proxy.h"
#include "route/holders.h"
#include "route/nodelist.h"
#include "route/route.h"
#include "session/token.h"
#include "settings/settings.h"
#include "task/net.h"
#include "task/redial.h"
#include "timeline/timeline.h"
#include "view/view.h"
#include "wire/wire.h"

struct en_node;
struct en_group;
struct en_inst;
struct en_req;
struct en_txn;
struct en_asker;

/* What an outside platform's interface brings; ferryd gives it to en_create. */
struct en_interface {
    const struct px_codec *sessions;
    const struct cg_codec *documents;
    /* Whether the request was one of the platform's; it is answered then. */
    bool (*http)(struct en_node *n, const struct nt_http *req);
};

/* A caller's connection, or one plain HTTP request. */
struct en_caller {
    struct en_caller *prev, *next; /* the node's */
    struct en_node *node;
    struct nt_conn *net; /* NULL once it is gone */
    bool http;
    int outstanding;
};

enum en_state {
    EN_NEW,
    EN_QUEUED,    /* in an instance's admission queue */
    EN_PARKED,    /* waits for a primary */
    EN_SENT,      /* at an endpoint */
    EN_HOLDING,   /* done there; waits until enough instances hold it */
    EN_FORWARDED, /* at another entry node, which holds the group */
    EN_LATER,     /* taken out of a queue; acted on in the loop's next turn */
};

/* One request, from arrival to its one answer. */
struct en_req {
    struct ad_item item;        /* first: the queue gives it back */
    struct en_req *prev, *next; /* all live requests of the node */
    struct en_req *chain;       /* in the group's parked or holding list */
    struct en_caller *caller;
    struct cl_request r;
    struct en_group *group;
    struct en_inst *inst;
    struct en_ep *ep;
    struct en_txn *txn;
    enum en_state state;
    int64_t arrived, deadline, parked_at;
    bool has_token;
    struct ps_pos token; /* what the session has seen */
    struct ps_pos min;
    int64_t wait_us;
    bool at_primary;
    unsigned tried; /* bits of instances that could not serve it */
    int attempts;
    uint64_t term;     /* it was sent under */
    struct ps_pos pos; /* what it read or wrote */
    struct sr_buf value;
    bool duplicate;
    struct en_up *up; /* EN_FORWARDED */
    uint64_t up_tag;  /* what the holder's answer will carry */
    int forwards;
    bool may_have_run;       /* a write that may be repeated was sent and its answer lost */
    enum er_kind later_kind; /* EN_LATER: ER_NONE routes anew, else the refusal */
    int64_t later_retry;
};

/* An endpoint connection. */
struct en_ep {
    struct en_ep *next;
    struct en_inst *inst;
    struct ep_conn *c;
    bool open, closing;
    struct en_req *req; /* at work for; NULL idle */
    uint64_t req_id;    /* what its reply will carry; 0 idle */
    enum ep_op op;
    bool orphan; /* its request was given up; the reply goes nowhere */
    uint64_t last_id;
    int64_t sent_at;
    struct en_txn *txn; /* pinned by */
    bool watching;      /* this connection carries pushes and status polls */
    uint64_t status_id;
    int64_t status_at;
    bool rolling_back;
};

struct en_inst {
    struct en_node *node;
    struct en_group *group;
    int at; /* index in the group */
    struct vw_instance cfg;
    struct ad_queue q;
    int share;   /* connections this node may hold */
    int n_conns; /* open and opening */
    struct en_ep *eps;
    struct en_ep *watch;
    struct ps_pos held, applied;
    uint64_t following;         /* term of the primary whose log it takes */
    int64_t heard, status_sent; /* last sign of life; last unanswered status */
    int64_t next_open;          /* no new connection before */
    int64_t suspected;          /* last told to control */
    bool refusing;
    bool gone;
    int peak_want;
    int named; /* renewals that name it still */
};

struct en_txn {
    struct en_txn *next; /* of the node's */
    char name[CL_TXN_BYTES];
    struct en_caller *caller;
    struct en_group *group;
    struct en_ep *ep; /* NULL: lost, rolled back */
    uint64_t term;
    int64_t used;
    bool busy, wrote;
    struct ps_pos token;
};

struct en_group {
    struct en_node *node;
    struct vw_group cfg;
    uint64_t serve_term; /* acknowledgements are given for this term only; 0 none */
    int64_t
        drain_until; /* planned change: statements in flight may finish until then; 0 none */
    bool rests;      /* nothing to do for it in a tick */
    uint16_t n_holders, holders[HO_MAX_HOLDERS]; /* in the node's `nodes`, best first */
    bool held; /* this node holds connections to its instances */
    struct en_inst *inst[VW_MAX_INSTANCES];
    struct rt_group rt;
    struct en_req *parked, **parked_tail;
    int n_parked;
    struct en_req *holding;
    int64_t used;         /* when a request came last */
    uint64_t first_write; /* term in which a write was acknowledged first */
};

struct en_counters {
    uint64_t requests, ok, not_run, unknown, rejected;
    uint64_t by_reason[ER_COUNT];
    uint64_t reads_primary, reads_replica, reads_behind, writes, commits, rollbacks;
    uint64_t forwarded, retries, retry_denied, late_replies, parked, waited, duplicates;
    uint64_t bad_tokens, lease_lost, views, snapshots;
    uint64_t renewed; /* instances named in renewals */
};

/* A connection to one control node. */
struct en_link {
    struct en_node *node;
    bool used, seed; /* seed: named by the settings, tried for ever */
    struct st_peer peer;
    struct nt_conn *net;
    bool open;
    struct rd_line line;
};

enum { EN_MAX_LINKS = 2 * ST_MAX_PEERS };

struct en_node {
    struct lg_log log;
    const struct st_settings *s;
    struct nt_loop *loop;
    struct tl_ring *tl;
    const struct ep_driver *driver;
    struct ss_key key;
    uint64_t id; /* drawn at start */
    struct vw_view view;
    struct ls_holder lease;
    bool had_lease;
    struct nt_traffic control_traffic; /* with control */
    int64_t lease_lost_at;             /* long ago if it never had one: not ready at all */
    int n_groups;
    struct en_group **groups;
    struct en_req *reqs;
    struct en_req *later;
    struct nt_timer later_timer;
    struct en_txn *txns;
    struct en_up *ups; /* connections to holders */
    uint64_t up_tags;  /* drawn so far */
    int n_nodes;
    struct ho_node nodes[HO_MAX_NODES]; /* live entry nodes, as control says */
    uint64_t nodes_hash;                /* of that list */
    int n_reqs, n_callers;
    struct en_caller *callers;
    uint64_t txn_seq;
    double retry_budget;
    const struct en_interface *outside; /* NULL: our own interface only */
    struct px_proxy *px;                /* callers whose connection is a session; NULL none */
    struct en_link links[EN_MAX_LINKS];
    int leader;              /* index of the link that answered last; -1 */
    struct en_asker *askers; /* an observer's: who connected to it */
    int n_askers;
    int64_t next_renew;
    bool awaiting; /* the last renewal is unanswered */
    uint64_t shares_seq, acked;
    struct wr_decoder dec;
    struct nt_timer tick;
    struct nt_listener *listener;
    bool stopping;
    int64_t stop_by, quiet_since;
    void (*stopped)(void *ud);
    void *stopped_ud;
    struct en_counters c;
    struct hi_hist lat_read, lat_write;
    struct rn_rng rng;
};

/* entry.c */
struct en_node *en_create(struct nt_loop *l, const struct st_settings *s, struct tl_ring *tl,
                          const struct en_interface *outside, struct er_err *err);
/* Why the balancer must not send callers here; NULL if it may. */
const char *en_not_ready(const struct en_node *n);
/* IP number of the control node that granted the last lease, "" if there is none live. */
const char *en_leader_ip(const struct en_node *n);
/* Its name, in the same way. */
const char *en_leader_name(const struct en_node *n);
/* Stop accepting, tell callers to go elsewhere, finish, give the lease back; then done(ud). */
void en_stop(struct en_node *n, void (*done)(void *ud), void *ud);
struct en_group *en_group(struct en_node *n, const char *name);
struct en_inst *en_inst(struct en_node *n, const char *id);
/* The view has changed: bring groups, instances and requests in line. */
void en_view_changed(struct en_node *n);
/* Acknowledge the generation once nothing acts on an older one. */
void en_ack_view(struct en_node *n);
bool en_leased(const struct en_node *n);
/* The nodes or the groups have changed: which groups this node holds. */
void en_holding_changed(struct en_node *n);

/* request.c, routing.c, replies.c */
/* Answer with the value and a new token. */
void en_succeed(struct en_req *r);
/* Between ms and twice that. */
int64_t en_jitter(struct en_node *n, int64_t ms);
/* Acknowledge once enough instances hold r->pos. */
void en_hold(struct en_req *r);
/* Wait, within bounds, for the group's next primary. */
void en_park(struct en_req *r);
void en_submit(struct en_caller *c, const char *text, size_t len);
void en_route(struct en_req *r);
void en_answer(struct en_req *r, const struct cl_answer *a);
void en_fail(struct en_req *r, enum er_kind kind, int64_t retry_ms, const char *detail);
void en_reply(struct en_req *r, struct en_ep *ep, const struct ep_reply *rep);
/* The connection died with the request on it. */
void en_lost(struct en_req *r);
/* A commit ran: wait until enough instances hold it, then acknowledge. */
void en_commit_done(struct en_req *r);
void en_held_moved(struct en_group *g);
void en_unpark(struct en_group *g);
void en_sweep(struct en_node *n, int64_t now);
/* Route (ER_NONE) or refuse in the loop's next turn: safe while requests are being walked. */
void en_later(struct en_req *r, enum er_kind kind, int64_t retry_ms);
void en_drop_term(struct en_group *g);
int en_writes_in_flight(const struct en_group *g);

/* pool.c */
void en_inst_init(struct en_inst *in, struct en_node *n, struct en_group *g, int at,
                  const struct vw_instance *cfg);
void en_pump(struct en_inst *in);
/* Nothing is to be done for it: this node does not hold its group. */
bool en_inst_rests(const struct en_inst *in);
void en_pool_tick(struct en_inst *in, int64_t now);
void en_ep_release(struct en_ep *ep);
void en_ep_close(struct en_ep *ep);
bool en_ep_send(struct en_ep *ep, struct en_req *r, struct ep_request *q);
bool en_usable(const struct en_inst *in);
void en_inst_gone(struct en_inst *in);
/* This node does not hold the group any more: what waits goes elsewhere, what runs ends here.
 */
void en_inst_let_go(struct en_inst *in);

/* forward.c */
struct en_up;
void en_forward(struct en_req *r);
/* The request is answered otherwise: its answer from the holder goes nowhere. */
void en_up_forget(struct en_req *r);
void en_ups_caller_gone(struct en_caller *c);
/* Pass a holder's answer on as it is; `text` lacks its closing brace (cl_strip_tag). */
void en_relay(struct en_req *r, const char *text, size_t len, enum er_kind kind);

/* txn.c */
void en_txn_begun(struct en_req *r, struct en_ep *ep);
void en_txn_request(struct en_req *r);
void en_txn_reply(struct en_req *r, struct en_ep *ep, const struct ep_reply *rep);
void en_txn_end(struct en_txn *t, bool rollback);
void en_txn_conn_lost(struct en_txn *t);
void en_caller_gone(struct en_caller *c);
void en_txn_sweep(struct en_node *n);
/* The group's term ended: its open transactions are lost. */
void en_txn_drop(struct en_group *g);
int en_txns_open(const struct en_group *g);

/* caller.c */
bool en_callers_listen(struct en_node *n, struct er_err *err);
void en_caller_release(struct en_caller *c);
/* A planned stop: callers are told to go elsewhere and to close. */
void en_callers_notice(struct en_node *n);

/* link.c */
void en_links_start(struct en_node *n);
/* The settings name other control nodes. */
void en_links_seeds(struct en_node *n);
void en_links_tick(struct en_node *n, int64_t now);
/* A control node is said to be there: connect to it, unless it is this node. */
void en_link_learned(struct en_node *n, struct sr_str name, struct sr_str ip, int port);
void en_send_ack(struct en_node *n, uint64_t generation);
/* A planned stop: the lease and the shares go back. */
void en_give_back(struct en_node *n);
void en_suspect(struct en_inst *in, enum wr_health health);
void en_tell_suspicion(struct en_node *n, const char *inst, enum wr_health health);

/* observer.c: a control node without a disk */
/* Take connections from entry and control nodes. True, and nothing done, if n is no observer.
 */
bool en_observer_listen(struct en_node *n, struct er_err *err);
/* Tell who connected where control nodes are, if that is news. */
void en_observer_tick(struct en_node *n);

/* ops.c */
void en_http(const struct nt_http *req);

#endif
