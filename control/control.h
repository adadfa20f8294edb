/* The control role: agreement, leases, promotions, shares, intents. One thread and the disk's;
 * this header is shared by the parts of the role only. */
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

/* What an outside platform's interface brings; ferryd gives it to ct_create. Callbacks run on
 * the loop's thread. */
struct ct_platform_ops {
    const struct ep_driver *endpoints;
    const struct cg_codec *documents;
    /* Whether the request was one of the platform's; it is answered then, now or later. */
    bool (*http)(struct ct_node *n, const struct nt_http *req);
    /* Order a change of primary; `done` is called once, also if no answer came. */
    void (*promote)(struct ct_node *n, const char *group, const char *id, uint64_t token,
                    void (*done)(struct ct_node *n, const char *group, uint64_t token,
                                 enum tk_outcome what));
};

/* How changes of primary are decided: promote/ (instances obey fences) or takeover/ (the
 * platform carries them out). `g`'s state is the steering's own. */
struct ct_failover_ops {
    void (*begin)(struct ct_node *n, struct ct_group *g);
    /* What a vantage, a node by its id, sees of the instance; this node is one. */
    void (*probed)(struct ct_group *g, const char *inst, uint64_t vantage, const char *domain,
                   enum pr_health health);
    void (*replied)(struct ct_group *g, const char *inst, const struct ep_reply *r);
    /* A connection to the instance is open again. */
    void (*connected)(struct ct_group *g, const char *inst);
    void (*checked)(struct ct_group *g, uint64_t nonce, enum pr_health health);
    /* Decide and act. */
    void (*tick)(struct ct_node *n, struct ct_group *g);
    bool (*busy)(const struct ct_group *g); /* something is under way */
};

extern const struct ct_failover_ops ct_failover_promote, ct_failover_takeover;

/* An outside request that waits for an entry of the log. */
struct ct_commit_wait {
    struct ct_node *node;
    struct nt_conn *conn; /* NULL: the caller went away; the entry stands all the same */
    uint64_t index, term; /* 0: free */
    int64_t until;
    /* err->kind ER_NONE: committed. ER_NO_QUORUM: may or may not be in force. */
    void (*done)(struct ct_node *n, struct nt_conn *c, const struct er_err *err);
};

enum { CT_MAX_COMMIT_WAITS = 64, CT_MAX_LAST_CALLS = 4096 };

/* The newest call of an instance that registers itself. */
struct ct_last_call {
    char id[VW_NAME];
    struct rg_last last;
};

/* A change as it was committed, for nodes that missed some. */
struct ct_past_change {
    uint64_t index;
    bool document; /* it is a VW_CH_DOCUMENT */
    char *text;
};

/* An encoded WR_VIEW or WR_NODES, kept for the next node that lacks the same. */
struct ct_cached_frame {
    uint64_t from, to; /* generations, or hashes of lists */
    struct sr_buf bytes;
};

/* A connection that another process opened to us. */
struct ct_conn {
    struct ct_conn *next;
    struct ct_node *node;
    struct nt_conn *net;
    bool greeted;
    enum wr_role role;
    uint64_t id;
    char name[48], domain[48], ip[46];
    int port;
    int carries;                 /* entry: statements a second, as it says; 0: not told */
    int http_port;               /* entry: port of its own pages; 0: not told */
    uint64_t sent_controls_hash; /* hash of the list of control nodes it was told */
    uint64_t sent_generation;    /* entry: generation sent last */
    int64_t view_sent_at;        /* when */
    struct pv_pending_view pending_view; /* a view was held back */
    bool reported_permits;               /* entry: it has told what permits it has */
    bool shares_sent;      /* the node knows all its shares but for those that changed since */
    uint64_t nodes_hash;   /* entry: the list of nodes it has, or was sent last */
    int64_t nodes_sent_at; /* when; 0: it has told which it has, if nodes_known */
    bool reported_nodes;   /* it renewed its lease with this leader */
    bool leaving;          /* entry: it stops soon, and is not listed any more */
};

/* Our connection to another control node; everything we send it goes here. */
struct ct_peer {
    struct ct_peer *next;
    struct ct_node *node;
    struct qr_member member; /* id 0: an address only; who answers there greets us itself */
    struct nt_conn *net;
    bool open, wanted;
    struct rd_line redial;
    int64_t active_at; /* when it was heard of, or open last */
};

/* A probed instance. */
struct ct_inst {
    struct ct_node *node;
    struct ct_group *group; /* it belongs to */
    char id[VW_NAME], ip[46];
    int port;
    int64_t born;
    struct ep_conn *conn;
    bool open, removed;
    int64_t next_connect, replied_at, probed_at, connecting_since;
    int64_t health_changed_at; /* when `health` changed */
    enum pr_health health;
    uint64_t last_request_id;
    struct ep_reply status; /* strings not valid */
    /* requests out, by operation: their id, 0 none */
    uint64_t fence_id, promote_id, fence_term, promote_term;
};

struct ct_group {
    char name[VW_NAME];
    struct pr_group pr; /* of ct_failover_promote */
    struct tk_group tk; /* of ct_failover_takeover */
    int n;
    struct ct_inst *inst[VW_MAX_INSTANCES];
    uint64_t phase_generation; /* generation that began the group's phase */
    enum vw_phase phase;
    uint64_t term;
    int primary;   /* index in `inst`; -1 none */
    bool tick_due; /* to be ticked in the loop's next turn */
};

/* An operator's HTTP request that waits for its entry to be committed. */
struct ct_operator_request {
    struct nt_conn *conn; /* NULL: free */
    char id[VW_NAME];
    int64_t until;
};

struct ct_node {
    struct lg_log log;
    const struct st_settings *s;
    struct nt_loop *loop;
    struct tl_ring *tl;
    const struct ep_driver *driver;
    const struct ct_platform_ops *platform; /* NULL: our own interfaces only */
    const struct ct_failover_ops *failover;
    struct cg_catalog catalog; /* what the document in force says */
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
    struct ct_past_change history[CT_HISTORY_CHANGES]; /* ring by number of change */
    uint64_t n_history;
    uint64_t history_floor; /* changes at and below are not in the ring */
    struct ct_conn *conns;
    int n_conns;
    struct ct_peer *peers;
    struct nt_listener *peer_listener, *ops_listener;
    struct nl_book nodes; /* entry nodes with a lease, as of nodes_at */
    int64_t nodes_built_at;
    struct wr_decoder dec;
    struct nt_timer tick, soon;
    int n_groups, n_insts;
    struct ct_group **groups;
    struct ix_index group_index, inst_index; /* number in `groups` by group, by instance */
    unsigned ticks;
    int next_group;        /* group that the next tick begins with; -1: the first */
    int conn_changes_left; /* connections to instances that this tick may make or close */
    struct vp_batch unsent_changes; /* instances that came or go, not told to entry nodes yet */
    struct vp_limiter pace;         /* of views to entry nodes; a new leader begins anew */
    struct ct_cached_frame changes_frame, whole_frame; /* of the view, as sent last */
    struct ct_cached_frame nodes_changes, nodes_whole; /* of the list of nodes */
    /* leading */
    bool leading; /* a quorum vouched and this term's first entry is applied */
    int64_t leading_since;
    int64_t node_joined_at; /* a node got its first lease of this leader */
    struct ls_giver leases;
    struct sh_table shares;
    uint64_t shares_seq;    /* of the last WR_SHARES sent to anybody */
    struct lm_giver limits; /* of client accounts */
    uint64_t step_index;    /* log index of the last step proposed for an intent */
    int64_t in_force_since; /* all entry nodes act on the current view since; 0: not */
    int64_t next_probe_report, next_intent, next_platform_poll, next_drain_warning;
    bool platform_polled;
    uint64_t measured_generation; /* change whose time to force is being measured */
    int64_t measured_since;
    struct hi_hist time_to_force;
    struct ct_operator_request operator_requests[CT_MAX_OPERATOR_REQUESTS];
    bool was_leader;
    bool disk_failed;        /* the disk failed */
    uint64_t applied_bytes;  /* of changes, since the last snapshot */
    uint64_t snapshot_bytes; /* of the last snapshot */
    bool document_pending;   /* ct_load_document is to be called */
    bool disk_full;          /* writes wait for room */
    struct tf_traffic traffic;
    int64_t traffic_logged_at;
    struct nt_counters logged_net;  /* at the last report */
    struct nt_traffic peer_traffic; /* on connections to other control nodes made here */
    bool stopping;
    int64_t stop_by;
    void (*stopped)(void *ud, bool failed);
    void *stopped_ud;
    struct {
        uint64_t grants, refused_grants, views, view_bytes, snapshots, node_lists,
            node_list_bytes, proposals, applied;
        uint64_t refused_changes, promotions, bad_messages, wrong_cluster, platform_failures;
    } counters;
};

/* control.c */
struct ct_node *ct_create(struct nt_loop *l, const struct st_settings *s, struct tl_ring *tl,
                          const struct ct_platform_ops *platform, bool bootstrap,
                          void (*stopped)(void *ud, bool failed), void *ud, struct er_err *err);
void ct_stop(struct ct_node *n);
void ct_destroy(struct ct_node *n);
/* Whether this node leads and a quorum vouches for it now. */
bool ct_quorum_confirmed(const struct ct_node *n);
bool ct_in_force(const struct ct_node *n, uint64_t generation);
const char *ct_member_name(const struct ct_node *n, uint64_t id);

/* consensus.c */
extern const struct qr_sink ct_quorum_sink;
bool ct_propose(struct ct_node *n, const struct vw_change *ch, uint64_t *index,
                struct er_err *err);
/* The same for what was asked while a quorum vouched, which may have run out since: nothing is
 * promised until it is committed. */
bool ct_propose_unconfirmed(struct ct_node *n, const struct vw_change *ch, uint64_t *index,
                            struct er_err *err);
void ct_compact_tick(struct ct_node *n);
/* The view is what the snapshot says. */
void ct_restore_view(struct ct_node *n, const char *data, uint32_t len);
/* Whether the changes above `from` are not all kept any more. */
bool ct_needs_whole_view(const struct ct_node *n, uint64_t from);
/* Changes above `from` as a JSON list, or the whole view (*from_out = 0). Allocated. */
char *ct_changes_since(struct ct_node *n, uint64_t from, uint64_t *from_out);

/* peers.c */
bool ct_peers_listen(struct ct_node *n, struct er_err *err);
void ct_peers_sync(struct ct_node *n);
void ct_peers_tick(struct ct_node *n, int64_t now);
void ct_send_peer(struct ct_node *n, uint64_t id, const struct wr_msg *m);
void ct_send_conn(struct ct_conn *c, const struct wr_msg *m);

/* nodes.c: entry nodes, and observers */
void ct_on_renew(struct ct_conn *c, const struct wr_renew *r);
/* This node leads now: entry nodes need not look for it. */
void ct_announce_leader(struct ct_conn *c);
void ct_push_view(struct ct_node *n);
/* A change was applied: entry nodes are told now, or with others of its kind. */
void ct_view_changed(struct ct_node *n, enum vw_change_kind kind);
/* Ask all entry nodes whether the instance answers them; how many were asked. */
int ct_request_checks(struct ct_node *n, uint64_t nonce, const char *inst);

/* limits.c: limits of client accounts */
/* This node leads now. `first`: nobody led before. */
void ct_limits_begin(struct ct_node *n, bool first, int64_t now);
/* Accounts and limits are as the document in force says. */
void ct_limits_changed(struct ct_node *n);
/* Take what a renewal asks, and answer in message `seq`; `out` has room for all. */
uint32_t ct_limits_on_renew(struct ct_node *n, uint64_t node, const struct wr_renew *r,
                            uint64_t seq, struct wr_permit *out);

/* watch.c: instances and promotions */
void ct_groups_sync(struct ct_node *n);
/* One group of the view has changed. */
void ct_group_sync(struct ct_node *n, const char *name);
void ct_watch_begin(struct ct_node *n);
void ct_watch_tick(struct ct_node *n, int64_t now);
void ct_on_probes(struct ct_conn *c, const struct wr_probes *p);
void ct_on_check_reply(struct ct_node *n, const struct wr_check *c);
void ct_on_suspect(struct ct_conn *c, const struct wr_check *m);
/* Send one operation; its number, 0 if it could not be sent. */
uint64_t ct_send_op(struct ct_inst *in, struct ep_request *q);
void ct_probe(struct ct_inst *in, int64_t now);
struct ct_group *ct_group_of(struct ct_node *n, const char *name);
bool ct_replica_caught_up(void *ud, const char *group, const char *inst);

/* failover.c */
/* Propose a change that a group's steering wants, for its instance of that index; -1: none. */
void ct_propose_for_group(struct ct_node *n, const struct ct_group *g, int inst,
                          struct vw_change *ch);
void ct_group_tick(struct ct_node *n, struct ct_group *g);
/* Tick the groups that changed in the loop's next turn: safe from within the core's callbacks.
 */
void ct_schedule_group_ticks(struct ct_node *n);

/* intents.c */
void ct_intents_tick(struct ct_node *n, int64_t now);

/* platform.c */
void ct_platform_tick(struct ct_node *n, int64_t now);

/* commit_wait.c: outside requests that wait for the log */
/* `done` is called once the entry at `index`, just proposed, is committed or given up. */
void ct_await_commit(struct ct_node *n, struct nt_conn *c, uint64_t index,
                     void (*done)(struct ct_node *n, struct nt_conn *c,
                                  const struct er_err *err));
void ct_commit_waits_applied(struct ct_node *n, const struct qr_entry *e);
/* This node stopped leading: what was not committed under it may or may not be. */
void ct_commit_waits_abort(struct ct_node *n);
void ct_commit_waits_tick(struct ct_node *n, int64_t now);
/* Whether this node may answer for the newest state. False with *err (ER_NOT_LEADER: another
 * may, ct_leader_ip names it; ER_NO_QUORUM: nobody is known to). */
bool ct_may_answer(const struct ct_node *n, struct er_err *err);
/* IP number of the leader as far as known, "" if not. */
const char *ct_leader_ip(const struct ct_node *n);

/* registrations.c: instances that register themselves. True: answer now; false with err->kind
 * ER_NONE: `done` answers; else refused. */
bool ct_register(struct ct_node *n, const struct rg_beat *b, struct nt_conn *c,
                 void (*done)(struct ct_node *n, struct nt_conn *c, const struct er_err *err),
                 struct er_err *err);
bool ct_deregister(struct ct_node *n, const char *id, struct nt_conn *c,
                   void (*done)(struct ct_node *n, struct nt_conn *c, const struct er_err *err),
                   struct er_err *err);

/* documents.c: whole configurations; returns as above. */
bool ct_configure(struct ct_node *n, struct sr_str text, struct nt_conn *c,
                  void (*done)(struct ct_node *n, struct nt_conn *c, const struct er_err *err),
                  struct er_err *err);
/* The document in force, as it was sent. */
bool ct_document(const struct ct_node *n, struct sr_str *text, struct er_err *err);
/* Read the view's document. A restart applies hundreds of entries at once and each document
 * replaces the one before, so this is done once for all that were applied together. */
void ct_load_document(struct ct_node *n);

/* members.c: voters are added and replaced without an operator */
void ct_members_tick(struct ct_node *n, int64_t now);
/* Tell entry nodes which others there are, if that is news: when many start together it is
 * known some 100 ms sooner than by their next renewals. */
void ct_nodes_tick(struct ct_node *n, int64_t now);
/* Tell whoever is connected where the control nodes are, if that is news. */
void ct_send_controls(struct ct_conn *c);

/* initial_voters.c: the first voters, as they were when the cluster was made */
bool ct_initial_voters(struct ct_node *n, bool found, struct qr_members *m, struct er_err *err);

/* ops.c */
/* Log what links and calls were used for, now and then. */
void ct_log_traffic(struct ct_node *n, int64_t now);
bool ct_ops_listen(struct ct_node *n, struct er_err *err);
/* A change was applied, or refused with `err`: answer who waits for it. */
void ct_ops_applied(struct ct_node *n, const struct vw_change *ch, const struct er_err *err);
void ct_ops_tick(struct ct_node *n, int64_t now);

#endif
