/* The control role: agreement, leases, promotions, shares, intents. One thread and the disk's;
 * this header is shared by the parts of the role only. */
#ifndef FL_CONTROL_CONTROL_H
#define FL_CONTROL_CONTROL_H

#include "endpoint/endpoint.h"
#include "intent/intent.h"
#include "lease/lease.h"
#include "misc/hist.h"
#include "misc/log.h"
#include "pool/shares.h"
#include "promote/promote.h"
#include "quorum/disk.h"
#include "settings/settings.h"
#include "task/net.h"
#include "timeline/timeline.h"
#include "view/view.h"
#include "wire/wire.h"

enum { CT_HISTORY = 4096, CT_MAX_CONNS = 2048, CT_MAX_WAITING = 64 };

struct ct_node;

/* A change as it was committed, for nodes that missed some. */
struct ct_past {
    uint64_t index;
    char *text;
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
    uint64_t sent_gen; /* entry: generation sent last */
    int64_t sent_at;   /* when */
    bool shares_told;  /* the node knows all its shares but for those that changed since */
    uint64_t nodes_hash;
};

/* Our connection to another control node; everything we send it goes here. */
struct ct_peer {
    struct ct_peer *next;
    struct ct_node *node;
    struct qr_member m;
    struct nt_conn *net;
    bool open, wanted;
    int64_t next_try;
};

struct ct_group;

/* A probed instance. */
struct ct_inst {
    struct ct_node *node;
    struct ct_group *group; /* it belongs to */
    char id[VW_NAME], ip[46];
    int port;
    struct ep_conn *c;
    bool open, gone;
    int64_t next_try, answered, probed;
    int64_t changed; /* when `health` changed */
    enum pr_health health;
    uint64_t last_id;
    struct ep_reply said; /* strings not valid */
    /* requests out, by operation: their id, 0 none */
    uint64_t fence_id, promote_id, fence_term, promote_term;
};

struct ct_group {
    char name[VW_NAME];
    struct pr_group pr;
    int n;
    struct ct_inst *inst[VW_MAX_INSTANCES];
    uint64_t phase_gen; /* generation that began the group's phase */
    enum vw_phase phase;
    uint64_t term;
    int primary; /* index in `inst`; -1 none */
    bool due;    /* to be ticked in the loop's next turn */
};

/* An operator's HTTP request that waits for its entry to be committed. */
struct ct_waiting {
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
    struct so_store *store;
    struct dk_disk *disk;
    uint64_t id;
    struct qr *q;
    struct vw_view view;
    struct ct_past past[CT_HISTORY]; /* ring by number of change */
    uint64_t n_past;
    uint64_t past_floor; /* changes at and below are not in the ring */
    struct ct_conn *conns;
    int n_conns;
    struct ct_peer *peers;
    struct nt_listener *peer_listener, *ops_listener;
    /* entry nodes with a lease, as of nodes_at; strings are the connections' */
    struct wr_node *nodes;
    uint32_t n_nodes;
    uint64_t nodes_hash;
    int64_t nodes_at;
    struct wr_decoder dec;
    struct nt_timer tick, soon;
    int n_groups, n_insts;
    struct ct_group **groups;
    struct ix_index group_at, inst_at; /* number in `groups` by group, by instance */
    unsigned ticks;
    char *view_text; /* the whole view of generation view_text_gen, as it is sent */
    uint64_t view_text_gen;
    /* leading */
    bool leading; /* a quorum vouched and this term's first entry is applied */
    struct ls_giver giver;
    struct sh_table shares;
    uint64_t shares_seq;    /* of the last WR_SHARES sent to anybody */
    uint64_t step_index;    /* log index of the last step proposed for an intent */
    int64_t in_force_since; /* all entry nodes act on the current view since; 0: not */
    int64_t next_probe_report, next_intent, next_platform, next_complaint;
    bool asking_platform;
    uint64_t force_gen; /* change whose time to force is being measured */
    int64_t force_since;
    struct hi_hist force;
    struct ct_waiting waiting[CT_MAX_WAITING];
    bool was_leader;
    bool failed; /* the disk failed */
    bool stopping;
    int64_t stop_by;
    void (*stopped)(void *ud, bool failed);
    void *stopped_ud;
    struct {
        uint64_t grants, refused_grants, views, view_bytes, snapshots, proposals, applied;
        uint64_t refused_changes, promotions, bad_messages, wrong_cluster, platform_failures;
    } c;
};

/* control.c */
struct ct_node *ct_create(struct nt_loop *l, const struct st_settings *s, struct tl_ring *tl,
                          bool bootstrap, void (*stopped)(void *ud, bool failed), void *ud,
                          struct er_err *err);
void ct_stop(struct ct_node *n);
void ct_destroy(struct ct_node *n);
/* Whether this node leads and a quorum vouches for it now. */
bool ct_vouched(const struct ct_node *n);
bool ct_in_force(const struct ct_node *n, uint64_t generation);
const char *ct_member_name(const struct ct_node *n, uint64_t id);

/* agree.c */
extern const struct qr_sink ct_sink;
bool ct_propose(struct ct_node *n, const struct vw_change *ch, uint64_t *index,
                struct er_err *err);
void ct_compact_tick(struct ct_node *n);
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

/* nodes.c: entry nodes */
void ct_renewed(struct ct_conn *c, const struct wr_renew *r);
/* This node leads now: entry nodes need not look for it. */
void ct_say_leading(struct ct_conn *c);
void ct_push_view(struct ct_node *n);
void ct_check_nodes(struct ct_node *n, struct ct_group *g, const char *inst);

/* watch.c: instances and promotions */
void ct_groups_sync(struct ct_node *n);
/* One group of the view has changed. */
void ct_group_sync(struct ct_node *n, const char *name);
void ct_watch_begin(struct ct_node *n);
void ct_watch_tick(struct ct_node *n, int64_t now);
void ct_probes(struct ct_conn *c, const struct wr_probes *p);
void ct_checked(struct ct_node *n, const struct wr_check *c);
void ct_suspected(struct ct_conn *c, const struct wr_check *m);
/* Send one operation; its number, 0 if it could not be sent. */
uint64_t ct_send_op(struct ct_inst *in, struct ep_request *q);
void ct_probe(struct ct_inst *in, int64_t now);
struct ct_group *ct_group_of(struct ct_node *n, const char *name);
bool ct_caught_up(void *ud, const char *group, const char *inst);

/* promotions.c */
void ct_group_tick(struct ct_node *n, struct ct_group *g);
/* Tick the groups that changed in the loop's next turn: safe from within the core's callbacks.
 */
void ct_groups_soon(struct ct_node *n);

/* steps.c: intents */
void ct_intents_tick(struct ct_node *n, int64_t now);

/* platform.c */
void ct_platform_tick(struct ct_node *n, int64_t now);

/* ops.c */
bool ct_ops_listen(struct ct_node *n, struct er_err *err);
/* A change was applied, or refused with `err`: answer who waits for it. */
void ct_ops_applied(struct ct_node *n, const struct vw_change *ch, const struct er_err *err);
void ct_ops_tick(struct ct_node *n, int64_t now);

#endif
