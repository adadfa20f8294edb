/* The control role: the replicated view, leases of entry nodes, changes of primary, shares of
 * connections, and operators' intents.
 *
 * All of it runs on the loop's thread; only the log is written by a thread of its own
 * (quorum/disk.h). The header is shared by the files of control/; ferryd and platform/ use
 * ct_create, ct_stop, ct_destroy and the functions for instances' calls and documents. Times
 * are microseconds of ck_now() unless a name says otherwise. */
#ifndef FL_CONTROL_CONTROL_H
#define FL_CONTROL_CONTROL_H

#include "control/traffic.h"
#include "control/pending_view.h"
#include "catalog/catalog.h"
#include "endpoint/endpoint.h"
#include "intent/intent.h"
#include "lease/lease.h"
#include "limit/limit.h"
#include "misc/hist.h"
#include "misc/log.h"
#include "pool/shares.h"
#include "promote/promote.h"
#include "quorum/disk.h"
#include "registry/registry.h"
#include "route/nodelist.h"
#include "settings/settings.h"
#include "takeover/takeover.h"
#include "task/net.h"
#include "task/redial.h"
#include "timeline/timeline.h"
#include "view/push.h"
#include "view/view.h"
#include "wire/wire.h"

enum { CT_HISTORY_CHANGES = 4096, CT_MAX_CONNS = 2048, CT_MAX_OPERATOR_REQUESTS = 64 };

struct ct_node;
struct ct_group;

/* What the interface of an outside platform provides; ferryd passes it to ct_create. Callbacks
 * run on the loop's thread. */
struct ct_platform_ops {
    const struct ep_driver *endpoints;
    const struct cg_codec *documents;
    /* Whether the request belongs to the platform's interface. If so, the callback answers it,
     * at once or later. */
    bool (*http)(struct ct_node *n, const struct nt_http *req);
    /* Orders a change of primary; `done` is called once, also if no answer came. */
    void (*promote)(struct ct_node *n, const char *group, const char *id, uint64_t token,
                    void (*done)(struct ct_node *n, const char *group, uint64_t token,
                                 enum tk_outcome what));
};

/* How changes of primary are decided: by promote/ (instances obey fences) or by takeover/ (the
 * platform carries the change out). Each uses its own state in `g`. */
struct ct_failover_ops {
    void (*begin)(struct ct_node *n, struct ct_group *g);
    /* The node with id `vantage`, this one or another, reports the instance's health. */
    void (*probed)(struct ct_group *g, const char *inst, uint64_t vantage, const char *domain,
                   enum pr_health health);
    /* The instance answered a request that was made at `asked_at` or later; 0: unknown. */
    void (*replied)(struct ct_group *g, const char *inst, const struct ep_reply *r,
                    int64_t asked_at);
    /* A connection to the instance was opened. */
    void (*connected)(struct ct_group *g, const char *inst);
    /* An entry node answered check request `nonce`. */
    void (*checked)(struct ct_group *g, uint64_t nonce, enum pr_health health);
    /* Decides on the next actions and carries them out. */
    void (*tick)(struct ct_node *n, struct ct_group *g);
    bool (*busy)(const struct ct_group *g); /* a change of primary is running */
};

extern const struct ct_failover_ops ct_failover_promote, ct_failover_takeover;

/* An outside request that is answered when an entry of the log is committed. */
struct ct_commit_wait {
    struct ct_node *node;
    struct nt_conn *conn; /* NULL: the requester disconnected; the entry is still proposed */
    uint64_t index, term; /* of the entry; index 0: unused slot */
    int64_t until;        /* deadline */
    /* err->kind ER_NONE: committed. ER_NO_QUORUM: the entry may or may not be committed. */
    void (*done)(struct ct_node *n, struct nt_conn *c, const struct er_err *err);
};

enum { CT_MAX_COMMIT_WAITS = 64, CT_MAX_LAST_CALLS = 4096 };

/* The newest registration call of an instance. */
struct ct_last_call {
    char id[VW_NAME];
    struct rg_last_call last;
};

/* A committed change, kept for nodes that have not received it yet. */
struct ct_past_change {
    uint64_t index;
    bool document; /* the change is a VW_CH_DOCUMENT */
    char *text;
};

/* An encoded WR_VIEW or WR_NODES message, kept for the next node that needs the same one. */
struct ct_cached_frame {
    uint64_t from, to; /* generations, or hashes of lists */
    struct sr_buf bytes;
};

/* A connection that another process opened to this node. */
struct ct_conn {
    struct ct_conn *next;
    struct ct_node *node;
    struct nt_conn *net;
    bool greeted;
    enum wr_role role;
    uint64_t id;
    char name[48], domain[48], ip[46];
    int port;
    int carries;   /* entry: statements per second that it can serve; 0: not reported */
    int http_port; /* entry: port of its HTTP interface; 0: not reported */
    uint64_t sent_controls_hash;         /* hash of the list of control nodes sent last */
    uint64_t sent_generation;            /* entry: generation of the view sent last */
    int64_t view_sent_at;                /* when sent_generation was sent */
    struct pv_pending_view pending_view; /* a view deferred by the pace of sending */
    bool reported_permits;               /* entry: it has reported all permits that it holds */
    bool shares_sent;      /* entry: it received all its shares; only changed ones are sent */
    uint64_t nodes_hash;   /* entry: hash of the node list that it has or was sent last */
    int64_t nodes_sent_at; /* when nodes_hash was sent; 0: not sent on this connection */
    bool reported_nodes;   /* entry: it reported its node list to this leader by renewing */
    bool leaving;          /* entry: it stops soon and is not listed any more */
};

/* This node's connection to another control node; ct_send_peer sends on it. */
struct ct_peer {
    struct ct_peer *next;
    struct ct_node *node;
    struct qr_member member; /* id 0: only the address is known */
    struct nt_conn *net;
    bool open, wanted;
    struct rd_state redial;
    int64_t active_at; /* when the peer was added or its connection opened last */
};

/* A probed instance. */
struct ct_inst {
    struct ct_node *node;
    struct ct_group *group;
    char id[VW_NAME], ip[46];
    int port;
    int64_t born; /* start of the instance's process, as it reported it */
    struct ep_conn *conn;
    bool open, removed;
    int64_t next_connect, replied_at, probed_at, connecting_since;
    int64_t health_changed_at; /* when `health` last changed */
    enum pr_health health;
    uint64_t last_request_id, answered_id; /* the highest ids */
    /* the oldest request without an answer: its id, 0: none, and when it was made */
    uint64_t unanswered_id;
    int64_t unanswered_since;
    struct ep_reply status; /* the last one received; its strings are not valid */
    /* outstanding fence and promotion requests: their id, 0: none, and their term */
    uint64_t fence_id, promote_id, fence_term, promote_term;
};

struct ct_group {
    char name[VW_NAME];
    struct pr_group pr; /* state of ct_failover_promote */
    struct tk_group tk; /* state of ct_failover_takeover */
    int n;
    struct ct_inst *inst[VW_MAX_INSTANCES];
    uint64_t phase_generation; /* generation that began the current phase */
    enum vw_phase phase;
    uint64_t term;
    int primary;     /* index in `inst`; -1: none */
    int sync_copies; /* replicas that must have a commit before it is acknowledged */
    bool tick_due;   /* ct_group_tick is due in the next iteration of the loop */
};

/* An operator's HTTP request that is answered when its intent is committed. */
struct ct_operator_request {
    struct nt_conn *conn; /* NULL: unused slot */
    char id[VW_NAME];     /* of the intent */
    int64_t until;        /* deadline */
};

struct ct_node {
    struct lg_log log;
    const struct st_settings *s;
    struct nt_loop *loop;
    struct tl_ring *tl;
    const struct ep_driver *driver;
    const struct ct_platform_ops *platform; /* NULL: ferrylanding's own interfaces only */
    const struct ct_failover_ops *failover;
    struct cg_catalog catalog; /* the configuration document in force */
    struct ct_commit_wait commit_waits[CT_MAX_COMMIT_WAITS];
    struct ct_last_call last_calls[CT_MAX_LAST_CALLS];
    struct ix_index last_call_index;
    int n_last_calls;
    int64_t next_member_tick;
    struct so_store *store;
    struct dk_disk *disk;
    uint64_t id;
    struct qr *q;
    struct vw_view view;
    struct ct_past_change history[CT_HISTORY_CHANGES]; /* ring, by number of change */
    uint64_t n_history;
    uint64_t history_floor; /* changes at and below are not in the ring */
    struct ct_conn *conns;
    int n_conns;
    struct ct_peer *peers;
    struct nt_listener *peer_listener, *ops_listener;
    struct nl_history nodes; /* the listed entry nodes, as of nodes_built_at */
    int64_t nodes_built_at;
    struct wr_decoder dec;
    struct nt_timer tick_timer, group_tick_timer;
    int n_groups, n_insts;
    struct ct_group **groups;
    /* index in `groups` by group name, by instance id */
    struct ix_index group_index, inst_index;
    unsigned ticks;
    int next_group;        /* group that the next tick begins with; -1: the first */
    int conn_changes_left; /* connections to instances that this tick may still open or close */
    struct vp_batch unsent_changes; /* changes of instances not sent to entry nodes yet */
    struct vp_limiter pace;         /* of views sent to entry nodes; reset by a new leader */
    struct ct_cached_frame changes_frame, whole_frame; /* view messages sent last */
    struct ct_cached_frame nodes_changes, nodes_whole; /* node lists sent last */
    /* ---- state of the leader ---- */
    bool leading; /* a quorum confirmed this leader and its term's first entry is applied */
    int64_t leading_since;
    int64_t node_joined_at; /* when an entry node last got its first lease from this leader */
    struct ls_grantor leases;
    struct sh_table shares;
    uint64_t shares_seq;        /* number of the last WR_SHARES message sent */
    struct lm_allocator limits; /* permits of client accounts */
    uint64_t step_index;        /* log index of the last step proposed for an intent */
    int64_t in_force_since; /* when all entry nodes began to act on the view; 0: some do not */
    int64_t next_probe_report, next_intent, next_platform_poll, next_drain_warning;
    bool platform_polled;         /* a request for the platform's list of VMs is outstanding */
    uint64_t measured_generation; /* whose time until it is in force is measured; 0: none */
    int64_t measured_since;
    struct hi_hist time_to_force; /* from a change's commit until all entry nodes act on it */
    struct ct_operator_request operator_requests[CT_MAX_OPERATOR_REQUESTS];
    bool was_leader;
    bool disk_failed;        /* a write or sync failed; this node takes no further part */
    uint64_t applied_bytes;  /* bytes of the changes applied since the last snapshot */
    uint64_t snapshot_bytes; /* size of the last snapshot */
    bool document_pending;   /* the view has a newer document than `catalog` */
    bool disk_full;          /* the disk is full; writes wait for space */
    struct tf_traffic traffic;
    int64_t traffic_logged_at;
    struct nt_counters logged_net;  /* counters at the last traffic report */
    struct nt_traffic peer_traffic; /* on this node's connections to other control nodes */
    bool stopping;
    int64_t stop_by;
    void (*stopped)(void *ud, bool failed);
    void *stopped_ud;
    struct {
        uint64_t grants, refused_grants, views, view_bytes, snapshots, node_lists,
            node_list_bytes, proposals, applied;
        uint64_t refused_changes, promotions, waits_for_copies, bad_messages, refused_peers,
            platform_failures;
    } counters;
};

/* control.c */
/* Opens the data folder and the ports and starts the role. `platform` may be NULL. `bootstrap`
 * creates a new cluster. `stopped` is called when the role has stopped; `failed`: because the
 * disk failed. NULL with *err on failure. */
struct ct_node *ct_create(struct nt_loop *l, const struct st_settings *s, struct tl_ring *tl,
                          const struct ct_platform_ops *platform, bool bootstrap,
                          void (*stopped)(void *ud, bool failed), void *ud, struct er_err *err);
/* Begins a planned stop: a leader hands its role over first. */
void ct_stop(struct ct_node *n);
void ct_destroy(struct ct_node *n);
/* Whether a quorum has confirmed this leader recently enough that no other node can have been
 * elected. */
bool ct_quorum_confirmed(const struct ct_node *n);
/* Whether all entry nodes act on `generation` or a newer one. */
bool ct_in_force(const struct ct_node *n, uint64_t generation);
/* "" if the id is no member's. */
const char *ct_member_name(const struct ct_node *n, uint64_t id);

/* consensus.c: the replicated log and the view */
extern const struct qr_sink ct_quorum_sink;
/* Proposes a change; fails unless a quorum has confirmed this leader recently. *index, if not
 * NULL, is the entry's index in the log. */
bool ct_propose(struct ct_node *n, const struct vw_change *ch, uint64_t *index,
                struct er_err *err);
/* The same for a request that arrived while the leader was confirmed, even if the confirmation
 * has expired since: the request is not acknowledged before the entry is committed. */
bool ct_propose_unconfirmed(struct ct_node *n, const struct vw_change *ch, uint64_t *index,
                            struct er_err *err);
/* Replaces the log by a snapshot if it is long. */
void ct_compact_tick(struct ct_node *n);
/* Replaces the view by that of a snapshot. */
void ct_restore_view(struct ct_node *n, const char *data, uint32_t len);
/* Whether a node at generation `from` needs the whole view: its changes are not all kept. */
bool ct_needs_whole_view(const struct ct_node *n, uint64_t from);
/* The changes above generation `from` as a JSON list, or the whole view (*from_out = 0). The
 * text is allocated. */
char *ct_changes_since(struct ct_node *n, uint64_t from, uint64_t *from_out);

/* peers.c: connections between control nodes and from entry nodes */
bool ct_peers_listen(struct ct_node *n, struct er_err *err);
/* Adds the members of the quorum to the peers. */
void ct_peers_sync(struct ct_node *n);
void ct_peers_tick(struct ct_node *n, int64_t now);
void ct_send_peer(struct ct_node *n, uint64_t id, const struct wr_msg *m);
void ct_send_conn(struct ct_conn *c, const struct wr_msg *m);

/* nodes.c: entry nodes and observers */
void ct_on_renew(struct ct_conn *c, const struct wr_renew *r);
/* Tells the process that this node leads, so that it need not search for the leader. */
void ct_announce_leader(struct ct_conn *c);
/* Sends the newest view to all entry nodes that need it. */
void ct_push_view(struct ct_node *n);
/* A change was applied: it is sent to entry nodes at once or batched with others. */
void ct_view_changed(struct ct_node *n, enum vw_change_kind kind);
/* Asks all entry nodes whether the instance answers them; returns how many were asked. */
int ct_request_checks(struct ct_node *n, uint64_t nonce, const char *inst);

/* limits.c: limits of client accounts */
/* This node has become the leader. `first`: the cluster had no leader before. */
void ct_limits_begin(struct ct_node *n, bool first, int64_t now);
/* Applies the accounts and limits of the configuration document in force. */
void ct_limits_changed(struct ct_node *n);
/* Handles the permit requests of a renewal, to be answered in WR_SHARES message `seq`. `out`
 * must have room for an answer to each; returns the number of answers. */
uint32_t ct_limits_on_renew(struct ct_node *n, uint64_t node, const struct wr_renew *r,
                            uint64_t seq, struct wr_permit *out);

/* watch.c: connections to instances, and reports on their health */
/* Updates the groups and instances from the view. */
void ct_groups_sync(struct ct_node *n);
/* The same for one group. */
void ct_group_sync(struct ct_node *n, const char *name);
/* A new leader begins: resets the failover state of all groups. */
void ct_watch_begin(struct ct_node *n);
/* Opens connections to instances, probes them, and ticks the groups. */
void ct_watch_tick(struct ct_node *n, int64_t now);
void ct_on_probes(struct ct_conn *c, const struct wr_probes *p);
void ct_on_check_reply(struct ct_node *n, const struct wr_check *c);
void ct_on_suspect(struct ct_conn *c, const struct wr_check *m);
/* Sends a request; returns its id, 0 if it could not be sent. */
uint64_t ct_send_op(struct ct_inst *in, struct ep_request *q);
/* Sends a status request; the status must be of `since` or later, 0: of any time. */
void ct_probe(struct ct_inst *in, int64_t since, int64_t now);
/* NULL if there is no group of that name. */
struct ct_group *ct_group_of(struct ct_node *n, const char *name);
/* Whether the instance follows the primary and holds all that the primary holds, by probes that
 * are fresh. `ud` is the ct_node. */
bool ct_replica_caught_up(void *ud, const char *group, const char *inst);

/* failover.c: runs the decisions on changes of primary */
/* Proposes a change that the group's failover decided, for its instance of index `inst`; -1:
 * for none. */
void ct_propose_for_group(struct ct_node *n, const struct ct_group *g, int inst,
                          struct vw_change *ch);
/* Lets the group's failover decide and act, if this node is a confirmed leader. */
void ct_group_tick(struct ct_node *n, struct ct_group *g);
/* Ticks the groups that changed in the next iteration of the loop: a tick proposes changes,
 * which must not be done within the quorum's callbacks. */
void ct_schedule_group_ticks(struct ct_node *n);

/* intents.c: carries out operators' intents */
void ct_intents_tick(struct ct_node *n, int64_t now);

/* platform.c: the platform's list of VMs */
void ct_platform_tick(struct ct_node *n, int64_t now);

/* commit_wait.c: outside requests that wait for the log */
/* Calls `done` once when the entry at `index`, which was just proposed, is committed or its
 * wait ends without that. */
void ct_await_commit(struct ct_node *n, struct nt_conn *c, uint64_t index,
                     void (*done)(struct ct_node *n, struct nt_conn *c,
                                  const struct er_err *err));
/* Entry `e` was committed: answers the requests that wait for it. */
void ct_commit_waits_applied(struct ct_node *n, const struct qr_entry *e);
/* This node stopped leading: ends all waits, as their entries may or may not be committed
 * later. */
void ct_commit_waits_abort(struct ct_node *n);
void ct_commit_waits_tick(struct ct_node *n, int64_t now);
/* Whether this node may answer with the newest state. Otherwise *err is ER_NOT_LEADER (another
 * node may; ct_leader_ip returns its address) or ER_NO_QUORUM (no such node is known). */
bool ct_may_answer(const struct ct_node *n, struct er_err *err);
/* IP address of the leader, "" if it is not known. */
const char *ct_leader_ip(const struct ct_node *n);

/* registrations.c: instances that register themselves. True: the call is acknowledged at once.
 * False with err->kind ER_NONE: `done` is called later. Other errors: the call is refused. */
bool ct_register(struct ct_node *n, const struct rg_heartbeat *b, struct nt_conn *c,
                 void (*done)(struct ct_node *n, struct nt_conn *c, const struct er_err *err),
                 struct er_err *err);
bool ct_deregister(struct ct_node *n, const char *id, struct nt_conn *c,
                   void (*done)(struct ct_node *n, struct nt_conn *c, const struct er_err *err),
                   struct er_err *err);

/* documents.c: configuration documents. Returns as ct_register does. */
bool ct_configure(struct ct_node *n, struct sr_str text, struct nt_conn *c,
                  void (*done)(struct ct_node *n, struct nt_conn *c, const struct er_err *err),
                  struct er_err *err);
/* The configuration document in force, as it was sent. */
bool ct_document(const struct ct_node *n, struct sr_str *text, struct er_err *err);
/* Loads the view's configuration document. A restart applies hundreds of entries at once and
 * each document replaces the one before, so this is done once for all that were applied
 * together. */
void ct_load_document(struct ct_node *n);

/* members.c: adds and replaces voters without an operator */
void ct_members_tick(struct ct_node *n, int64_t now);
/* nodes.c: sends views that were deferred, and the changed list of entry nodes: when many nodes
 * start together, they learn of each other some 100 ms sooner than by their next renewals. */
void ct_nodes_tick(struct ct_node *n, int64_t now);
/* Sends the addresses of the control nodes, if they changed since they were sent last. */
void ct_send_controls(struct ct_conn *c);

/* initial_voters.c: the cluster's first voters. Writes `m` to the data folder if `create`, else
 * reads it from there; `m` stays as it is if there is no file. */
bool ct_initial_voters(struct ct_node *n, bool create, struct qr_members *m,
                       struct er_err *err);

/* ops.c: operators' HTTP interface, metrics */
/* Logs the traffic by kind at regular intervals. */
void ct_log_traffic(struct ct_node *n, int64_t now);
bool ct_ops_listen(struct ct_node *n, struct er_err *err);
/* A change was applied, or refused with `err`: answers the operators' requests that wait for
 * it. */
void ct_ops_applied(struct ct_node *n, const struct vw_change *ch, const struct er_err *err);
void ct_ops_tick(struct ct_node *n, int64_t now);

#endif
