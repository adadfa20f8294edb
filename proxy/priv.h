/* The proxy's state, shared by its parts. Nobody else includes this; proxy/proxy.h is the
 * contract. */
#ifndef FL_PROXY_PRIV_H
#define FL_PROXY_PRIV_H

#include "limit/limit.h"
#include "misc/clock.h"
#include "misc/log.h"
#include "misc/rng.h"
#include "pool/shares.h"
#include "proxy/conn_choice.h"
#include "proxy/saturation.h"
#include "proxy/neighbor.h"
#include "proxy/outlier.h"
#include "proxy/service_time.h"
#include "proxy/read_choice.h"
#include "proxy/handover.h"
#include "proxy/proxy.h"
#include "proxy/pending.h"
#include "proxy/stages.h"
#include "proxy/state.h"
#include "proxy/window.h"
#include "route/holders.h"
#include "route/route.h"
#include "route/placement.h"

struct px_session;
struct px_inst;
struct px_group;

/* The phase of a connection to an instance. */
enum px_conn_phase {
    PX_C_OPENING,
    PX_C_IDLE,
    PX_C_SETUP,   /* a statement of the proxy that prepares the session's one is outstanding */
    PX_C_RUNNING, /* the session's statement is outstanding */
    PX_C_IDLE_IN_TXN,  /* in a session's transaction, between two statements */
    PX_C_ROLLING_BACK, /* a rollback of the proxy is outstanding */
    PX_C_ORPHANED,     /* an answer is outstanding that no session waits for */
};

/* A connection to an instance. */
struct px_conn {
    struct px_conn *next; /* list link of the instance's connections */
    struct px_inst *inst;
    struct nt_conn *net;
    struct sr_buf in; /* what has come and is not taken yet */
    bool closing;
    char account[AC_NAME]; /* the account that it was opened for; px_identify */
    int64_t last_used_at;  /* when the last statement was sent on it, or it was opened */
    enum px_conn_phase phase;
    struct px_session *session; /* the session that it serves, or whose transaction it holds */
    struct px_applied applied;

    /* the outstanding statement */
    struct px_stmt setup;          /* PX_C_SETUP */
    char setup_name[PX_STMT_NAME]; /* name in a PREPARE of the proxy */
    int64_t sent_at; /* when the statement was sent; PX_C_OPENING: when opening began */
    uint64_t term;   /* term of the group when the statement was sent */
    bool leased;     /* the term was known to be in force then */

    /* the part of the answer received so far */
    struct sr_buf rows; /* result rows, as passed to the caller */
    struct sr_buf signature;
    bool complete_seen; /* PX_DONE was received */
    enum er_kind error;
    char detail[160]; /* detail of the error, truncated */
    enum px_txn state;
    bool has_pos;
    struct ps_pos pos;
};

/* An instance and this node's connections to it. */
struct px_inst {
    struct px_proxy *p;
    struct px_group *group;
    int index; /* index in the group */
    struct vw_instance cfg;
    bool removed; /* not in the view any more; freed with its last connection */
    struct px_inst *next_removed;

    /* connections */
    struct px_conn *conns;
    int n_conns;
    int share;             /* connections that this node may have */
    int busy;              /* connections that are neither opening nor idle */
    int renewals_left;     /* number of further renewals that name the instance */
    int peak_demand;       /* recent maximum of busy connections and waiting sessions */
    int64_t next_open_at;  /* earliest time for a new connection */
    bool wants_first_conn; /* a connection is to be opened before any session waits for one */
    int64_t share_requested_at; /* when a share was last requested for a waiting statement */
    int64_t too_many_since; /* since when it refuses connections as too many; 0: it does not */
    struct px_saturation saturation;
    int replaced;               /* connections recently closed for those of other accounts */
    char last_account[AC_NAME]; /* account of the last connection opened */

    /* sessions that wait for a connection, in the order in which they are served */
    struct px_session *waiters;
    int n_waiters;

    /* reachability */
    int64_t last_received; /* last sign of life */
    /* When opening a connection failed; 0: something was received since. */
    int64_t connect_failed_at;
    /* An open connection was lost; a new one is to show whether the instance is alive. */
    bool wants_probe;
    int64_t suspicion_sent_at; /* when a suspicion was last reported to the entry role */

    /* service quality */
    struct px_window window;
    struct px_outlier outlier;
    bool wants_handover; /* it is the primary and should hand over its role */
    /* Since when it fails while others of its group do not; 0: it does not. */
    int64_t outlier_since;
    int64_t service_us;      /* smoothed time of a statement */
    double service_factor;   /* its service times relative to the group's; px_service_times */
    struct ps_pos known_pos; /* the last position that it reported */
    /* It lacked a position; no read of a later one than known_pos until then. */
    int64_t behind_until;
    int64_t read_served_at; /* when it last served a read */
};

/* A group of instances in the view. */
struct px_group {
    struct px_proxy *p;
    struct vw_group cfg;
    struct px_inst *inst[VW_MAX_INSTANCES]; /* indexed like cfg.inst */
    struct px_service_times service_times;
    struct rt_group rt; /* only the samples of the primary's position are used */
    /* This node has connections to its instances; otherwise sessions are relayed to a
     * holder. */
    bool held;
    bool connects_first; /* this node is among `holders` */
    int64_t released_at; /* when this node stopped holding it */
    /* Indices into the proxy's nodes: the holders, or where all nodes hold the group, those
     * that connect first. */
    int n_holders;
    uint16_t holders[HO_MAX_HOLDERS];
    /* Placement of the document's accounts among the holders, by account number; NULL until it
     * is needed. */
    struct pl_placement *placements;
    struct px_handover handover;
    int64_t wait_failed_at; /* when a statement last failed to get the primary */
    int64_t term_began_at;  /* when this node learned of its term */
    /* Planned change of primary: statements at the old primary may end until then. */
    int64_t settle_deadline;
    /* When the instance that the view names as primary refused that role. */
    int64_t primary_refused_at;
};

/* What a session's statement waits for. */
enum px_stage {
    PX_S_IDLE,        /* there is none */
    PX_S_STARTED,     /* its first look, which may refuse it */
    PX_S_PARKED,      /* a primary, a lease, a position, or the next try */
    PX_S_WAITING,     /* a connection to `inst` */
    PX_S_AT_INSTANCE, /* its answer, on `conn` */
};

/* An operation and its account's limit. */
enum px_permit {
    PX_PERMIT_NONE,   /* no operation, or one that needs no permit */
    PX_PERMIT_NEEDED, /* it begins when there is a permit */
    PX_PERMIT_TAKEN,
};

/* A client account at this node. */
struct px_account {
    char name[AC_NAME];
    struct lm_pool permits;
    uint64_t begun, refused; /* operations; refused for the limit */
};

/* Why this node closed a caller's connection. */
enum px_end_reason {
    PX_END_BY_CALLER,     /* it said so */
    PX_END_REFUSED,       /* by an error that ends the session */
    PX_END_MOVED,         /* it rested, and another node is the place for it now */
    PX_END_NOT_ACCEPTED,  /* relayed to us: another holder is to be asked */
    PX_END_HOLDER_CLOSED, /* the node that served it ends it */
    PX_END_HOLDER_LOST,   /* the connection to the node that served it is gone */
    PX_END_HOLDER_SILENT, /* the node that served it is silent: another is the place for it */
    PX_END_NO_HOLDER,     /* no node opened it */
    PX_END_QUEUE_FULL,    /* the node that serves it takes no more */
    PX_END_TIMEOUT,       /* told to leave, it did not in time */
    PX_END_REASONS
};

/* A caller's connection and what belongs to it. */
struct px_session {
    struct px_session *prev, *next; /* the proxy's */
    struct px_proxy *p;

    /* the connection */
    struct nt_conn *net; /* NULL: the caller has gone */
    bool ended;          /* it was closed here, for this reason */
    enum px_end_reason end_reason;
    struct sr_buf in;       /* what has come and is not taken yet */
    bool handling_input;    /* its input is being worked through */
    bool reading_paused;    /* more than a message of input: not read on */
    bool opened;            /* greeted by us */
    bool relayed_to_us;     /* another node relays it to us */
    bool may_pass_on;       /* and reaches no holder itself: we may relay it once more */
    struct px_relay *relay; /* another node serves it; NULL: we do */
    int64_t opened_at;
    int64_t end_sent_at; /* it was ended here, and who relays it is told; 0: not so */
    int64_t idle_since;  /* it connected, or its last statement ended */

    /* what it keeps from statement to statement */
    char database[CG_NAME];
    char key[AC_KEY];          /* that its caller showed; in no log */
    char account[AC_NAME];     /* of its operation; what instances are told */
    uint64_t min_document;     /* who relays it acts on this version: no older one may answer */
    struct px_state state;     /* values and prepared names */
    struct ps_pos last_commit; /* its last commit, in group `seen_in` */
    char last_commit_group[VW_NAME];

    enum px_permit permit; /* of its operation */

    /* its transaction */
    enum px_txn txn;
    bool txn_read_only;
    bool txn_begun; /* at the instance, too */
    bool txn_wrote;
    bool txn_rolled_back;  /* it failed because its connection went: nothing of it is left */
    struct cg_route route; /* of the transaction, or of the statement */
    struct px_conn *conn;  /* at work for it, or pinned by its transaction */

    /* its statement */
    enum px_stage stage;
    struct px_session *prev_active, *next_active; /* the proxy's, with a statement */
    struct sr_buf request;                        /* holds the id and the text */
    struct sr_str id, text;
    struct px_stmt stmt; /* the text, taken apart */
    bool writes;
    unsigned pace_kind; /* px_statement_kind */
    int64_t arrived, deadline;
    bool has_floor;
    struct ps_pos floor; /* what a read must see */

    /* where the statement is, and was */
    struct px_inst *inst;         /* waits for a connection there, or is there */
    struct px_session *wait_next; /* of those that wait there */
    int64_t waiting_since;
    int64_t retry_at; /* PX_S_PARKED: looked at again then */
    int64_t sent_at;
    int64_t stage_since; /* its present px_latency_stage began */
    int attempts;        /* those that count against the route's */
    int offers;          /* how often it was sent */
    unsigned skip_mask;  /* bits of instances that could not serve it */
};

/* Kinds of peers other than callers, for counting bytes. */
enum px_peer_kind { PX_PEER_INSTANCE, PX_PEER_NODE, PX_PEERS };
enum { PX_DISTANCES = 3 }; /* rt_distance: the same failure domain, another, another region */

/* Another entry node that sessions are or were relayed to. */
struct px_neighbor {
    struct px_neighbor *next; /* the proxy's */
    struct px_proxy *p;
    char name[32], ip[46], domain[32];
    int port;
    int n_relays; /* relays that refer to it */
    struct nb_neighbor status;
    /* When it last passed a session on to a holder that this node does not reach. */
    int64_t passed_on_at;
    struct nt_conn *trial_conn;
    char database[CG_NAME]; /* database of the last session relayed there; used by trials */
    char key[AC_KEY];
};

/* For /metrics. */
struct px_counters {
    uint64_t sessions, statements;
    uint64_t ok, failed, by_reason[ER_COUNT];
    uint64_t reads_primary, reads_replica;
    uint64_t behind;  /* an instance lacked a read's position */
    uint64_t retries; /* another try of a statement */
    uint64_t parked;
    uint64_t lost_conns;        /* connections, with a statement on them */
    uint64_t opened_conns;      /* connections to instances */
    uint64_t replaced_conns;    /* of these, closed for another account's */
    uint64_t unknown_keys;      /* operations and sessions refused for their key */
    uint64_t relayed;           /* sessions that another node serves */
    uint64_t relayed_by_others; /* of these, by way of a node that is no holder */
    uint64_t passed_on;         /* sessions that came relayed and went on to a holder */
    uint64_t trials;            /* of nodes that were doubted or silent */
    uint64_t silent_told;       /* questions whose node was silent, answered here */
    uint64_t statements_relayed,
        statements_served; /* statements passed to other nodes; served for others */
    uint64_t ends[PX_END_REASONS],
        cut; /* sessions that were closed here; with a question open */
    uint64_t
        dropped; /* of these, with bytes that came after the close and were not looked at */
    uint64_t log_lines_left_out;
};

struct px_proxy {
    struct lg_log log;
    struct nt_loop *loop;
    struct px_config cfg;
    struct nt_listener *listener;
    struct rn_rng rng;

    /* what is in force */
    struct cg_catalog catalog;
    struct cg_loader loading;            /* of `document` */
    struct vw_document loading_document; /* is being taken in */
    struct vw_document newest_document;  /* the newest, if another is being taken in */
    uint64_t newest_version;             /* version of the newest */
    int n_groups;
    struct px_group **groups; /* sorted by name */
    int n_nodes;
    struct px_saturation_common
        saturation;        /* instances that take fewer connections than this node's shares */
    struct ho_node *nodes; /* entry nodes with a lease, prepared */
    int64_t configured_at; /* the first document came */
    bool knew_nodes;       /* px_knows_nodes, when groups were looked at last */
    struct px_neighbor *neighbors;
    struct px_inst *removed_insts; /* not in the view, with connections still */
    int n_accounts;
    struct px_account *accounts; /* that had operations here */
    struct ix_index account_at;  /* numbers in `accounts` */
    int64_t permits_expire_at;   /* they end */
    bool permits_unreported;     /* the leader does not know what there is */
    bool has_changes;            /* instances came, or groups to hold, since px_has_changes */
    int64_t leased_at;           /* when the lease was live last */
    int64_t last_seek_at;        /* a session looked for a node that passes it on */
    int64_t isolated_until;      /* cut off, and no other node answers: none is asked before */

    /* sessions */
    struct px_session *sessions, *active;
    int n_sessions;
    uint64_t last_number; /* of a session; they are counted from 1 */
    int64_t next_slow_tick;

    /* the end */
    bool stopping;
    int64_t stop_began;

    /* lines of failures that may be logged in the second that began at log_budget_at */
    int64_t log_budget_at;
    int log_budget;

    struct px_counters c;
    struct nt_traffic traffic[PX_PEERS][PX_DISTANCES];
    struct nt_traffic served_traffic; /* with nodes whose sessions are served here */
    struct hi_hist latency_read, latency_write;
    struct px_stages stages;
    int64_t stages_logged_at; /* in the log */
};

/* Count the bytes of a connection to an instance or node in that failure domain. */
void px_meter(struct px_proxy *p, struct nt_conn *net, enum px_peer_kind to,
              const char *domain);

/* answer.c: what callers are told */
void px_greet(struct px_session *s);
/* Answer the session's statement with what the connection holds, a failure included; then go on
 * with what the caller sent meanwhile. */
void px_answer(struct px_session *s, const struct px_conn *from);
/* The proxy itself carried the statement out: it ran nowhere. */
void px_answer_local(struct px_session *s);
/* The statement, at work or not, ends with this failure; go on as after px_answer. */
void px_refuse(struct px_session *s, enum er_kind kind, const char *detail);
/* What was asked of a relayed session ran nowhere. */
void px_refuse_relayed(struct px_session *s, enum er_kind kind, const char *detail);
/* Instead of a greeting: this node is cut off, and so are those that it reaches. */
void px_fail_disconnected(struct px_session *s);
/* Close the caller's connection, at once or after what is queued, and note why: a caller whose
 * question is open does not learn whether it ran. */
void px_close(struct px_session *s, enum px_end_reason why, bool at_once);
const char *px_end_reason_name(enum px_end_reason why);
/* So many bytes came after px_close and were not looked at. */
void px_note_dropped(struct px_session *s, size_t bytes);
/* Close the connection of a session at rest. False, and it stays open: its caller has said
 * something that is not read yet, or is still being told something, which comes first. */
bool px_close_idle(struct px_session *s, enum px_end_reason why);
/* The same for a session at rest that another node may relay to us: that node is told, and what
 * still comes is not run. Whoever ends a session asks again until its connection is closed. */
void px_end_idle(struct px_session *s, enum px_end_reason why);
/* When in a span it is this session's turn: they don't all come back at once. */
int64_t px_stagger_us(const struct px_session *s, int64_t span_us);
/* A failure that ends the session. */
void px_fail_and_close(struct px_session *s, enum er_kind kind, const char *detail);

/* statement.c: what a statement does to its session */
void px_statement(struct px_session *s, const struct px_msg *m);

/* accounts.c: whom a session is for */
/* The account of the session's next operation on that route, by the document in force, to
 * s->account. False: its key belongs to none, and the route asks for one. */
bool px_identify(struct px_session *s, const struct cg_route *r);
/* Whether the document lists accounts. */
static inline bool px_has_accounts(const struct px_proxy *p)
{
    return p->catalog.accounts.given;
}

/* limits.c: accounts' limits */
/* An operation of the session's account begins: whether it needs a permit. */
void px_permit_begin(struct px_session *s);
/* Take the operation's permit if it is due. */
enum lm_verdict px_permit_take(struct px_session *s);
/* A statement of the operation is sent once more, and may have run before: it counts again. */
void px_permit_charge_retry(struct px_session *s);
/* The operation is over the limit: how it is refused. */
void px_refuse_over_limit(struct px_session *s);

/* session.c: the caller's connection */
bool px_listen(struct px_proxy *p, struct er_err *err);
/* Work through what the caller sent while its last statement was at work. */
void px_session_resume(struct px_session *s);
/* Look at all sessions: whose time to open, to rest or to stay is over. */
void px_sessions_slow_tick(struct px_proxy *p, int64_t now);

/* proxy.c: what was heard */
/* What peers had said by this time was taken in. A verdict that one of them is silent, or that
 * something has not come, compares with it: after a long step more waits in the sockets. */
int64_t px_received_until(const struct px_proxy *p);

/* proxy.c: the lease */
/* A lease outlives an election; who has none for longer is on its own. */
enum { PX_DISCONNECTED_US = 300000 };

/* Whether no term of the view was replaced. */
bool px_leased(const struct px_proxy *p);
/* Without a lease for so long that this node is probably cut off from control, and others are
 * not. */
bool px_disconnected(const struct px_proxy *p);

/* relay.c: sessions that another node serves */
/* Whether another node holds the session's group, or probably has connections to it while this
 * node has none, and may be asked to serve it. */
bool px_should_relay(const struct px_session *s);
void px_relay_start(struct px_session *s);
/* What the caller of a relayed session says. */
void px_relay_input(struct px_session *s, const char *data, size_t len);
/* The caller has gone; nothing happens if the session is not relayed. */
void px_relay_stop(struct px_session *s);
void px_relay_tick(struct px_session *s, int64_t now);
/* Whether another node opens this session for a caller of its own; *document: the version that
 * it acts on; *pass_on: it reaches no holder of the group. */
bool px_parse_relayed(const struct px_msg *open, uint64_t *document, bool *pass_on);
/* Why a session is opened at another node. */
enum px_hello {
    PX_HELLO_TRIAL,  /* to see whether it greets, whatever it acts on */
    PX_HELLO_SERVE,  /* to be served there */
    PX_HELLO_PASS_ON /* to be passed on: it is no holder */
};
void px_relay_hello(struct px_proxy *p, struct nt_conn *net, const char *database,
                    const char *key, enum px_hello why);
/* Whether a question of the relayed session's went to the other node and has no answer yet. */
bool px_relay_pending(const struct px_session *s);
/* Whether a relayed session has neither a statement nor a transaction at the other node. */
bool px_relay_idle(const struct px_session *s);

/* targets.c: where sessions are relayed to */
enum { PX_MAX_TRIES = 16 }; /* nodes that are asked for one session */

struct px_tried_nodes {
    int n;
    struct px_neighbor *nb[PX_MAX_TRIES];
};
struct px_target {
    int node;       /* in p->nodes; -1: nobody is left */
    bool passes_on; /* it holds nothing itself */
};
/* The group of the session's database: a relayed session takes no route here. */
struct px_group *px_database_group(const struct px_session *s);
/* `seeks`: the session is at a look for a node that passes it on. */
struct px_target px_next_target(const struct px_session *s, const struct px_tried_nodes *t,
                                bool seeks, int64_t now);

/* neighbors.c: the state of the other nodes, and trials of them */
/* A node that passed a session on within this time probably does it again. */
enum { PX_PASSED_ON_RECENTLY_US = 5000000 };

enum nb_rank px_neighbor_rank(const struct px_proxy *p, const struct ho_node *node,
                              int64_t now);
/* Whether the node recently passed a session on. */
bool px_neighbor_passes_on(const struct px_proxy *p, const struct ho_node *node, int64_t now);
/* Returns the neighbor of the node for use by a relay, which releases it by px_neighbor_unref.
 */
struct px_neighbor *px_neighbor_ref(struct px_proxy *p, const struct ho_node *node);
void px_neighbor_unref(struct px_neighbor *nb);
/* Every tick. */
void px_neighbors_tick(struct px_proxy *p, int64_t now);
/* The list of nodes changed: frees neighbors that are not in the list and not in use. */
void px_forget_unlisted_neighbors(struct px_proxy *p);
int px_count_silent_neighbors(const struct px_proxy *p);
/* Whether any node recently passed a session on. */
bool px_any_neighbor_passes_on(const struct px_proxy *p, int64_t now);

/* holders.c: which nodes hold connections to which groups */
/* Call after a change of the view, the document or the list of nodes. */
void px_update_holders(struct px_proxy *p);
/* Whether the list of nodes is known, or has been waited for long enough. Until then this node
 * holds no group. */
bool px_knows_nodes(const struct px_proxy *p);
/* Every tick. */
void px_holders_tick(struct px_proxy *p);
/* Writes the holders for the session's account to `out`, in the order in which they are tried,
 * as indices into p->nodes, and returns their number. `out` has room for HO_MAX_HOLDERS. */
int px_holders_for(const struct px_session *s, struct px_group *g, int *out);
/* Whether this node is one of the holders that serve the account's sessions. */
bool px_serves_account(const struct px_session *s, struct px_group *g);
/* The account's preferred holders in the group; NULL: the document doesn't list the account. */
const struct pl_placement *px_account_placement(struct px_group *g, const char *account);
/* Whether this node has an open connection to the group's primary; true if there is no primary.
 */
bool px_reaches_primary(const struct px_group *g);

/* work.c: one statement on its way */
enum { PX_PARK_US = 20000 }; /* between two looks at what a parked statement waits for */

static inline bool px_in_txn(const struct px_session *s)
{
    return s->txn != PX_IDLE;
}
/* Whether no replica may serve the statement. */
bool px_needs_primary(const struct px_session *s);
/* The session has a statement; from now on until px_end_work it is among the active ones. */
void px_begin_work(struct px_session *s);
/* Find an instance for it, or park it. */
void px_route_work(struct px_session *s);
/* The statement is over, or its session is; nothing is told. */
void px_end_work(struct px_session *s);
/* The statement's present stage is over, and is counted as that part. */
void px_stage_done(struct px_session *s, enum px_latency_stage part);
/* Look at it again at that time, or in the first tick after. */
void px_park(struct px_session *s, int64_t until);
/* Another try, at once or later. False: it counts, and there were as many as are allowed. */
bool px_retry(struct px_session *s, int64_t after_us, bool counts);
/* Whether no further try that counts is allowed. */
bool px_last_try(const struct px_session *s);
/* Every tick: whether it waits too long where it is. */
void px_work_tick(struct px_session *s, int64_t now);

/* outcome.c: what comes of a statement */
/* The connection has the whole answer. */
void px_on_answer(struct px_session *s, struct px_conn *c);
/* Nothing of the statement was sent. */
void px_on_not_sent(struct px_session *s, struct px_conn *c, enum er_kind why);
/* The connection died; `sent`: with the statement on it. */
void px_on_conn_lost(struct px_session *s, struct px_conn *c, bool sent);
/* Its time is up. */
void px_expire(struct px_session *s);
/* The session's transaction ends here: roll back what is open. */
void px_drop_txn(struct px_session *s);
/* The same without the caller's doing: its next statement is told. */
void px_abort_txn(struct px_session *s);

/* pool.c: instances */
struct px_inst *px_inst_new(struct px_group *g, const struct vw_instance *cfg);
/* The instance left the view or was replaced: closes its connections; frees it after the last
 * one. */
void px_inst_remove(struct px_inst *in);
/* Frees the instance if it was removed and has no connection. */
void px_inst_free_if_removed(struct px_inst *in);
/* Runs the session's statement on an idle connection, or queues the session. */
void px_inst_submit(struct px_inst *in, struct px_session *s);
/* Whether a connection of the session's account is idle. */
bool px_inst_has_idle_conn(const struct px_inst *in, const struct px_session *s);
/* Removes the session from the waiting ones. */
void px_inst_dequeue(struct px_inst *in, struct px_session *s);
/* Serves waiting sessions as far as connections are idle. */
void px_inst_serve_waiters(struct px_inst *in);
/* Number of outstanding statements, without those whose answers are probably lost. */
int px_inst_running(const struct px_inst *in);
void px_inst_tick(struct px_inst *in, int64_t now);
/* Whether statements may be sent to the instance: it is reachable as far as known, and stays.
 */
bool px_inst_usable(const struct px_inst *in, int64_t now);
/* The node got a share: opens its first connection before any session waits for one. */
void px_inst_want_first_conn(struct px_inst *in, int64_t now);
/* Requests a share soon, since a statement found none. */
void px_inst_request_share(struct px_inst *in, int64_t now);
/* Whether one more connection may be opened. */
bool px_inst_has_room(const struct px_inst *in, int64_t now);
/* Reports to the entry role that the primary does not answer, refuses or should hand over;
 * limited to one report per interval. */
void px_inst_report_suspicion(struct px_inst *in, enum wr_health health);

/* conn.c: connections to instances */
void px_conn_open(struct px_inst *in, const char *account);
/* Prepares the connection for the session's statement, step by step, and runs it. */
void px_conn_run(struct px_conn *c, struct px_session *s);
/* No session waits for the outstanding answer any more. */
void px_conn_orphan(struct px_conn *c);
/* Rolls back, then serves other sessions. */
void px_conn_rollback(struct px_conn *c);
/* The connection has no open transaction: serves other sessions. */
void px_conn_idle(struct px_conn *c);
/* Its end is reported to the session it works for, by px_on_conn_lost. */
void px_conn_close(struct px_conn *c);
void px_conn_tick(struct px_conn *c, int64_t now);

/* documents.c: the document that is in force */

/* The view's, which may be the one that is in force. */
void px_load_document(struct px_proxy *p, const struct vw_document *d);
/* Whether an older one is acted on while a newer one is being taken in. */
bool px_document_loading(const struct px_proxy *p);
void px_documents_tick(struct px_proxy *p);

/* groups.c: groups and instances of the view */
struct px_group *px_find_group(const struct px_proxy *p, const char *name);
/* The group of the session's route; NULL: there is none, or no route was chosen. */
struct px_group *px_session_group(const struct px_session *s);
struct px_inst *px_find_inst(const struct px_proxy *p, struct sr_str id);
/* The instance that serves the group's term; NULL: none is known to. */
struct px_inst *px_serving_primary(const struct px_group *g, int64_t now);
/* The minimum position for a read whose data may be at most max_age_us old. False: it is not
 * known. */
bool px_age_floor(const struct px_group *g, int64_t max_age_us, int64_t now,
                  struct ps_pos *floor);
void px_groups_tick(struct px_proxy *p, int64_t now);

#endif
