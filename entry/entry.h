/* The entry role: accepts callers, keeps connections to endpoints and routes each request to an
 * instance or to another entry node. All of it runs on one thread. This
 * header is shared by the files of entry/; ferryd and the platform interface use parts of it.
 * Times are microseconds of ck_now() unless the name has another unit. */
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
struct en_subscriber;

/* The interface of an outside platform, which ferryd passes to en_create. */
struct en_interface {
    const struct px_codec *sessions;
    const struct cg_codec *documents;
    /* Answers a request of the platform's own paths; false if the path is not one of them. */
    bool (*http)(struct en_node *n, const struct nt_http *req);
};

/* A caller's connection, or one plain HTTP request. */
struct en_caller {
    struct en_caller *prev, *next; /* list en_node.callers */
    struct en_node *node;
    struct nt_conn *net; /* NULL once the connection is closed */
    bool http;
    bool is_node;    /* another entry node, which forwards requests of its callers */
    int outstanding; /* requests without an answer yet */
    size_t held;     /* bytes of these requests */
};

enum en_state {
    EN_NEW,
    EN_QUEUED,       /* in an instance's admission queue */
    EN_PARKED,       /* waits for a primary to serve the group */
    EN_SENT,         /* sent to an endpoint */
    EN_AWAIT_COPIES, /* completed; waits until enough instances hold its position */
    EN_FORWARDED,    /* sent to another entry node, which holds the group */
    EN_DEFERRED,     /* taken out of a queue; routed or refused in the next loop iteration */
};

/* A request from its arrival until its answer is sent. */
struct en_req {
    /* Must be the first member: admission queue items are cast to en_req. */
    struct ad_item item;
    struct en_req *prev, *next;  /* list en_node.reqs */
    struct en_req *next_waiting; /* next in the parked, awaiting_copies or deferred list */
    struct en_caller *caller;
    struct cl_request req;
    struct en_group *group;
    struct en_inst *inst;
    struct en_ep *ep;
    struct en_txn *txn;
    enum en_state state;
    int64_t arrived_at, deadline, parked_at;
    bool has_token;
    uint32_t held;       /* bytes charged to the caller's connection */
    struct ps_pos token; /* highest position the session has seen */
    struct ps_pos min_pos;
    int64_t wait_us;
    bool at_primary;
    unsigned tried_mask; /* bit i: the instance with index i could not serve the request */
    int attempts;
    uint64_t term;     /* term the request was sent under */
    struct ps_pos pos; /* position that the statement read or wrote */
    struct sr_buf value;
    bool duplicate;
    struct en_upstream *upstream; /* EN_FORWARDED */
    uint64_t upstream_tag;        /* tag that the holding node's answer carries */
    int forwards;
    bool may_have_run;          /* a repeatable write was sent and its answer lost */
    enum er_kind deferred_kind; /* EN_DEFERRED: ER_NONE routes again, otherwise the refusal */
    int64_t deferred_retry_ms;
};

/* An endpoint connection. */
struct en_ep {
    struct en_ep *next;
    struct en_inst *inst;
    struct ep_conn *conn;
    bool open, closing;
    struct en_req *req; /* request that waits for a reply; NULL: none */
    uint64_t req_id;    /* id that the pending reply carries; 0: no reply is pending */
    enum ep_op op;
    bool discard_reply; /* the request was abandoned; its reply is discarded */
    uint64_t last_id;
    int64_t sent_at;
    struct en_txn *txn; /* transaction that has the connection pinned */
    bool is_status_ep;  /* the connection carries pushes and status polls */
    bool status_leased; /* the node had a lease when the last status request was sent */
    uint64_t status_req_id;
    int64_t status_sent_at;
    bool rolling_back;
};

struct en_inst {
    struct en_node *node;
    struct en_group *group;
    int index; /* index in en_group.inst */
    struct vw_instance cfg;
    struct ad_queue queue;
    int share;   /* connections that this node may hold */
    int n_conns; /* connections open or opening */
    struct en_ep *eps;
    struct en_ep *status_ep;
    struct ps_pos held_pos, applied_pos;
    uint64_t followed_term; /* term of the primary whose log the instance follows */
    /* Time of the last reply or push; time of the unanswered status request, 0: none. */
    int64_t last_received, status_sent_at;
    int64_t next_open_at; /* no new connection is opened before this time */
    int64_t suspected_at; /* time of the last report to control */
    bool refusing;
    bool removed;
    int peak_demand;
    int renewals_left; /* further lease renewals that list the instance */
};

struct en_txn {
    struct en_txn *next; /* list en_node.txns */
    char name[CL_TXN_BYTES];
    struct en_caller *caller;
    struct en_group *group;
    struct en_ep *ep; /* NULL: the connection was lost and the transaction rolled back */
    uint64_t term;
    int64_t last_used;
    bool busy, wrote;
    struct ps_pos token;
};

struct en_group {
    struct en_node *node;
    struct vw_group cfg;
    uint64_t serve_term; /* only statements of this term are acknowledged; 0: none */
    /* Planned change: statements in flight may finish until then; 0: none. */
    int64_t drain_until;
    bool idle;                                   /* the group is skipped in ticks */
    uint16_t n_holders, holders[HO_MAX_HOLDERS]; /* indices into en_node.nodes, best first */
    bool held; /* this node holds connections to the group's instances */
    struct en_inst *inst[VW_MAX_INSTANCES];
    struct rt_group rt;
    struct en_req *parked, **parked_tail;
    int n_parked;
    struct en_req *awaiting_copies;
    int64_t last_request_at;   /* time of the last request */
    uint64_t first_write_term; /* term whose first acknowledged write is recorded */
};

struct en_counters {
    uint64_t requests, ok, not_run, unknown, rejected;
    uint64_t by_reason[ER_COUNT];
    uint64_t reads_primary, reads_replica, reads_behind, writes, commits, rollbacks;
    uint64_t forwarded, retries, retry_denied, late_replies, parked, waited, duplicates;
    uint64_t bad_tokens, lease_lost, views, snapshots;
    uint64_t renewed_instances; /* instances listed in lease renewals */
};

/* A connection to one control node. */
struct en_link {
    struct en_node *node;
    bool used, seed; /* seed: from the settings, retried without end */
    struct st_peer peer;
    struct nt_conn *net;
    bool open;
    struct rd_state line;
};

enum { EN_MAX_LINKS = 2 * ST_MAX_PEERS };

struct en_node {
    struct lg_log log;
    const struct st_settings *s;
    struct nt_loop *loop;
    struct tl_ring *tl;
    const struct ep_driver *driver;
    struct ss_key key;
    uint64_t id; /* random, chosen at start */
    struct vw_view view;
    struct ls_holder lease;
    bool had_lease;
    struct nt_traffic control_traffic; /* bytes exchanged with control */
    int64_t lease_lost_at;             /* far in the past before the first lease: not ready */
    int n_groups;
    struct en_group **groups;
    struct en_req *reqs;
    struct en_req *deferred;
    struct nt_timer deferred_timer;
    struct en_txn *txns;
    struct en_upstream *upstreams; /* connections to nodes that hold groups */
    uint64_t upstream_tags;        /* last tag used for a forwarded request */
    int n_nodes;
    struct ho_node nodes[HO_MAX_NODES]; /* alive entry nodes as reported by control */
    uint64_t nodes_hash;                /* hash of the list `nodes` */
    int n_reqs, n_callers;
    int n_http_reqs; /* requests over plain HTTP */
    struct en_caller *callers;
    uint64_t txn_seq;
    double retry_budget;
    const struct en_interface *interface; /* NULL: only the product's own interface is served */
    struct px_proxy *px; /* proxy for callers whose connection is a session; NULL: none */
    struct en_link links[EN_MAX_LINKS];
    int leader;                        /* index of the link that answered last; -1: none */
    struct en_subscriber *subscribers; /* nodes connected to this observer */
    int n_subscribers;
    int64_t next_renew_at;
    bool renewal_pending; /* the last lease renewal has no reply yet */
    uint64_t shares_seq, acked_generation;
    struct wr_decoder dec;
    struct nt_timer tick;
    struct nt_listener *listener;
    struct nt_listener *peer_listener; /* an observer's, for other entry nodes */
    bool stopping;
    int64_t stop_deadline, idle_since;
    int64_t exit_began; /* when the node stopped reading from callers */
    void (*stopped)(void *ud);
    void *stopped_ud;
    struct en_counters c;
    struct hi_hist lat_read, lat_write;
    struct rn_rng rng;
};

/* entry.c */
struct en_node *en_create(struct nt_loop *l, const struct st_settings *s, struct tl_ring *tl,
                          const struct en_interface *interface, struct er_err *err);
/* Reason why the load balancer must not send callers to this node; NULL if it may. */
const char *en_not_ready(const struct en_node *n);
/* IP address of the control node that granted the last lease; "" if no lease is valid. */
const char *en_leader_ip(const struct en_node *n);
/* Name of the control node that granted the last lease; "" if no lease is valid. */
const char *en_leader_name(const struct en_node *n);
/* Stops in a planned way: tells callers to use another node, finishes requests within stop_ms,
 * releases the lease, then calls done(ud). */
void en_stop(struct en_node *n, void (*done)(void *ud), void *ud);
struct en_group *en_group(struct en_node *n, const char *name);
struct en_inst *en_inst(struct en_node *n, const char *id);
/* Applies a changed view to groups, instances and requests. */
void en_view_changed(struct en_node *n);
/* Acknowledges the view's generation to control once nothing acts on an older one. */
void en_ack_view(struct en_node *n);
bool en_leased(const struct en_node *n);
/* Chooses anew which groups this node holds, after the nodes or the groups have changed. */
void en_update_holders(struct en_node *n);

/* request.c, routing.c, replies.c */
/* Answers with the value and a new token. */
void en_succeed(struct en_req *r);
/* A random time between ms and 2 * ms. */
int64_t en_jitter(struct en_node *n, int64_t ms);
/* Acknowledges the request once enough instances hold r->pos. */
void en_await_copies(struct en_req *r);
/* Makes the request wait, within limits, for the group's next primary. */
void en_park(struct en_req *r);
void en_submit(struct en_caller *c, const char *text, size_t len);
/* Ends the requests of a disconnected caller that wait here or at another entry node. */
void en_requests_caller_closed(struct en_caller *c);
/* Answers all requests with what is known of them, as the process ends. */
void en_requests_end(struct en_node *n);
/* Sets the number of bytes that the request holds; they count for its caller's connection. */
void en_req_hold(struct en_req *r, size_t bytes);
void en_route(struct en_req *r);
void en_answer(struct en_req *r, const struct cl_answer *a);
void en_fail(struct en_req *r, enum er_kind kind, int64_t retry_ms, const char *detail);
void en_handle_reply(struct en_req *r, struct en_ep *ep, const struct ep_reply *rep);
/* Handles a request whose endpoint connection was lost before the reply. */
void en_connection_lost(struct en_req *r);
/* Acknowledges a commit that ran once enough instances hold its position. */
void en_commit_done(struct en_req *r);
void en_held_pos_changed(struct en_group *g);
void en_unpark(struct en_group *g);
void en_expire_requests(struct en_node *n, int64_t now);
/* Routes (ER_NONE) or refuses the request in the next loop iteration, which is safe while a
 * list of requests is iterated. */
void en_defer(struct en_req *r, enum er_kind kind, int64_t retry_ms);
void en_drop_term(struct en_group *g);
int en_writes_in_flight(const struct en_group *g);

/* pool.c */
void en_inst_init(struct en_inst *in, struct en_node *n, struct en_group *g, int at,
                  const struct vw_instance *cfg);
void en_inst_dispatch(struct en_inst *in);
/* True if the instance needs no work in a tick, because this node does not hold its group. */
bool en_inst_idle(const struct en_inst *in);
void en_pool_tick(struct en_inst *in, int64_t now);
void en_ep_release(struct en_ep *ep);
void en_ep_close(struct en_ep *ep);
bool en_ep_send(struct en_ep *ep, struct en_req *r, struct ep_request *q);
bool en_inst_usable(const struct en_inst *in);
void en_inst_remove(struct en_inst *in);
/* Called when this node stops holding the group: queued requests are routed again, requests at
 * the instance finish here. */
void en_inst_release(struct en_inst *in);

/* forward.c */
struct en_upstream;
void en_forward(struct en_req *r);
/* Discards the holding node's answer, because the request is answered in another way. */
void en_upstream_forget(struct en_req *r);
void en_upstreams_caller_closed(struct en_caller *c);
/* Passes a holding node's answer on unchanged; `text` lacks its closing brace (cl_strip_tag).
 */
void en_relay(struct en_req *r, const char *text, size_t len, enum er_kind kind);

/* txn.c */
void en_txn_begun(struct en_req *r, struct en_ep *ep);
void en_txn_request(struct en_req *r);
void en_txn_reply(struct en_req *r, struct en_ep *ep, const struct ep_reply *rep);
void en_txn_end(struct en_txn *t, bool rollback);
void en_txn_conn_lost(struct en_txn *t);
void en_txns_caller_closed(struct en_caller *c);
void en_txns_expire(struct en_node *n);
/* Drops the group's open transactions because its term has ended. */
void en_txns_drop(struct en_group *g);
int en_txns_open(const struct en_group *g);

/* caller.c */
bool en_callers_listen(struct en_node *n, struct er_err *err);
void en_caller_release(struct en_caller *c);
/* Tells callers to close and use another node, because this node stops. */
void en_callers_notify_stop(struct en_node *n);
/* Closes the WebSocket connections over which nothing is asked. */
void en_callers_close_idle(struct en_node *n);
/* Closes all WebSocket connections, each when what is queued for it is sent. */
void en_callers_close(struct en_node *n);

/* link.c */
void en_links_start(struct en_node *n);
/* Applies a changed list of control nodes in the settings. */
void en_links_update_seeds(struct en_node *n);
void en_links_tick(struct en_node *n, int64_t now);
/* Connects to a control node that was reported to be reachable, unless it is this node. */
void en_link_add(struct en_node *n, struct sr_str name, struct sr_str ip, int port);
void en_send_ack(struct en_node *n, uint64_t generation);
/* Releases the lease and the shares at a planned stop. */
void en_release_lease(struct en_node *n);
void en_report_inst(struct en_inst *in, enum wr_health health);
void en_send_suspicion(struct en_node *n, const char *inst, enum wr_health health);

/* observer.c: a control node without a disk */
/* Accepts connections from entry and control nodes. Does nothing and returns true if n is no
 * observer. */
bool en_observer_listen(struct en_node *n, struct er_err *err);
/* Sends the addresses of the control nodes to the connected nodes if they have changed. */
void en_observer_tick(struct en_node *n);

/* ops.c */
void en_handle_http(const struct nt_http *req);

#endif
