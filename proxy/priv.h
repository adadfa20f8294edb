/* The state of the proxy, shared by the files of proxy/ and included by them only. Other
 * folders use proxy/proxy.h.
 *
 * All functions run on the loop's thread. Times are microseconds of ck_now(). */
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
#include "proxy/own_commits.h"
#include "proxy/outlier.h"
#include "proxy/service_time.h"
#include "proxy/read_choice.h"
#include "proxy/handover.h"
#include "proxy/match.h"
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
    struct sr_buf input; /* bytes received but not yet parsed, without a complete message */
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
    bool at_primary; /* px_is_primary_now then */
    /* It commits where replicas must receive a commit before it is answered: a late answer
     * tells of them, not of the instance. */
    bool awaits_copies;

    struct mt_outstanding outstanding;
    struct mt_history history;

    /* The part received so far of an answer, which need not be the outstanding statement's. */
    struct sr_buf rows; /* result rows, as passed to the caller */
    struct sr_buf signature;
    bool complete_seen; /* PX_DONE was received */
    enum er_kind error;
    char detail[160]; /* detail of the error, truncated */

    /* the last answer that was taken for the outstanding statement's */
    enum px_txn state; /* transaction state after it */
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
    struct px_session *waiters, *last_waiter;
    int n_waiters;

    struct mt_signer signer;

    /* reachability */
    int64_t last_received; /* when the last bytes arrived */
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
    /* Replicas that must have received a commit before the instance acknowledges it; at least
     * one is assumed if the document in force lacks the group. */
    int sync_copies;
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
    PX_S_IDLE,        /* the session has no statement */
    PX_S_STARTED,     /* being routed for the first time, which may refuse it */
    PX_S_PARKED,      /* a permit, a primary, a lease, a position or the next attempt */
    PX_S_WAITING,     /* a connection to `inst` */
    PX_S_AT_INSTANCE, /* the answer on `conn` */
};

/* Whether an operation holds a permit under the limit of its client account. */
enum px_permit {
    PX_PERMIT_NONE,   /* no operation, or one that needs no permit */
    PX_PERMIT_NEEDED, /* the operation starts when a permit is available */
    PX_PERMIT_TAKEN,
};

/* A client account that had operations at this node. */
struct px_account {
    char name[AC_NAME];
    struct lm_pool permits;
    uint64_t begun, refused; /* operations started; operations refused because of the limit */
};

/* Why this node closed a caller's connection. */
enum px_end_reason {
    PX_END_BY_CALLER,     /* the caller sent PX_END */
    PX_END_REFUSED,       /* an error ended the session */
    PX_END_MOVED,         /* the session was idle, and another node should serve it now */
    PX_END_NOT_ACCEPTED,  /* relayed to this node, which can't serve it: another holder may */
    PX_END_HOLDER_CLOSED, /* the serving node ended it */
    PX_END_HOLDER_LOST,   /* the connection to the serving node was lost */
    PX_END_HOLDER_SILENT, /* the serving node does not answer: another should serve it */
    PX_END_NO_HOLDER,     /* no other node opened it */
    PX_END_QUEUE_FULL,    /* the serving node is gone while the caller goes on sending */
    PX_END_NOT_READING,   /* the caller does not read its answers */
    PX_END_NO_MEMORY,     /* this node held too much, and much of it for this session */
    PX_END_NO_ROOM,       /* a new session needed the place */
    PX_END_TIMEOUT,       /* the relaying node did not close it in time after PX_END */
    PX_END_REASONS
};

/* A caller's connection and its session. */
struct px_session {
    struct px_session *prev, *next; /* list of the proxy's sessions */
    struct px_proxy *p;

    /* the connection */
    struct nt_conn *net; /* NULL: closed */
    bool ended;          /* this node closed it, for `end_reason` */
    enum px_end_reason end_reason;
    struct sr_buf in;       /* bytes received but not yet parsed */
    bool lacks_line_end;    /* `in` holds no complete message */
    bool handling_input;    /* guards px_session_resume against recursion */
    bool opened;            /* this node sent the greeting */
    bool relayed_to_us;     /* another node relays the session to this one */
    bool may_pass_on;       /* the relaying node reaches no holder; one more relay is allowed */
    struct px_relay *relay; /* another node serves the session; NULL: this node does */
    int64_t opened_at;
    int64_t end_sent_at; /* when PX_END was sent to the relaying node; 0: not sent */
    int64_t idle_since;  /* when it connected, or its last statement ended */

    /* state kept between statements */
    char database[CG_NAME];
    char key[AC_KEY];      /* the caller's key; never logged */
    char account[AC_NAME]; /* account of the operation, as instances get it */
    uint64_t min_document; /* version that the relaying node acts on; no older may answer */
    struct px_state state; /* values and prepared statements */

    /* ahead.c: messages sent before the answer to the last one */
    int n_ahead;         /* handled without a turn since all input was handled */
    bool waits_for_turn; /* in the list of prev_turn, next_turn */
    bool has_turn;       /* one message may be handled */
    bool runs_ahead;     /* its statement counts in px_proxy.n_running_ahead */
    struct px_session *prev_turn, *next_turn;

    struct px_own_commits own_commits; /* keyed by px_group, which is never freed */

    enum px_permit permit; /* of the current operation */

    /* the transaction */
    enum px_txn txn;
    bool txn_read_only;
    bool txn_begun; /* BEGIN was sent to the instance */
    bool txn_wrote;
    bool txn_rolled_back;  /* failed and already rolled back */
    bool txn_in_doubt;     /* a write of it may be kept all the same, as it ran outside of it */
    struct cg_route route; /* of the transaction, or of the statement outside one */
    struct px_conn *conn;  /* runs the statement, or is pinned by the transaction */

    /* the statement */
    enum px_stage stage;
    struct px_session *prev_active, *next_active; /* list of sessions with a statement */
    struct sr_buf request;                        /* storage of `id` and `text` */
    struct sr_str id, text;
    struct px_stmt stmt; /* `text`, parsed */
    bool writes;
    unsigned pace_kind; /* px_statement_kind */
    int64_t arrived, deadline;
    bool has_floor;
    struct ps_pos floor; /* minimum position that a read must see */

    /* routing of the statement */
    struct px_inst *inst;         /* instance that it waits for or runs at */
    struct px_session *wait_next; /* next in the wait queue of `inst` */
    int64_t waiting_since;
    int64_t retry_at; /* PX_S_PARKED: when it is routed again */
    int64_t sent_at;
    int64_t stage_since; /* start of the current px_latency_stage */
    int attempts;        /* attempts that count against the route's limit */
    int offers;          /* times that it was sent to an instance */
    unsigned skip_mask;  /* bit i: instance i of the group could not serve it */
};

/* Kinds of peers other than callers, for counting bytes. */
enum px_peer_kind { PX_PEER_INSTANCE, PX_PEER_NODE, PX_PEERS };
enum { PX_DISTANCES = 3 }; /* rt_distance: the same failure domain, another, another region */

/* Another entry node that sessions are or were relayed to. */
struct px_neighbor {
    struct px_neighbor *next; /* list link of the proxy's neighbors */
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

/* Counters for /metrics. */
struct px_counters {
    uint64_t sessions, statements;
    uint64_t ok, failed, by_reason[ER_COUNT];
    uint64_t reads_primary, reads_replica;
    uint64_t untracked_commits; /* commits of sessions whose positions are not kept */
    uint64_t withheld_commits;  /* commits answered by a primary that was being replaced */
    uint64_t reads_untracked;   /* reads at the primary because of such a commit */
    uint64_t behind;            /* times that an instance lacked the position of a read */
    uint64_t retries;           /* repeated attempts of statements */
    uint64_t parked;
    uint64_t lost_conns;       /* connections lost with a statement on them */
    uint64_t opened_conns;     /* connections opened to instances */
    uint64_t repeated_answers; /* answers that were repeats of earlier ones, and dropped */
    uint64_t doubted_answers; /* errors that may have been repeats; the connection was closed */
    uint64_t worn_conns;      /* connections closed so that their next answers can be proved */
    uint64_t replaced_conns;  /* connections closed to open one for another account */
    uint64_t unknown_keys;    /* operations and sessions refused because of their key */
    uint64_t relayed;         /* sessions that another node serves */
    uint64_t relayed_by_others; /* of `relayed`, those by way of a node that is no holder */
    uint64_t passed_on;         /* sessions relayed to this node and relayed on to a holder */
    uint64_t trials;            /* trials of nodes that were in doubt or silent */
    uint64_t silent_told;       /* requests answered here because the serving node was silent */
    uint64_t statements_relayed, statements_served; /* sent to other nodes; run for them */
    uint64_t ends[PX_END_REASONS], cut; /* sessions closed by this node; with a request open */
    uint64_t sent_ahead; /* times that a session had to wait for its turn; ahead.c */
    uint64_t no_room;    /* connections refused because no session could make room */
    uint64_t dropped;    /* sessions closed by this node while unread bytes arrived */
    uint64_t log_lines_left_out;
};

struct px_proxy {
    struct lg_log log;
    struct nt_loop *loop;
    struct px_config cfg;
    struct nt_listener *listener;
    struct rn_rng rng;

    /* configuration in force */
    struct cg_catalog catalog;
    struct cg_loader loading;            /* of `loading_document` */
    struct vw_document loading_document; /* being loaded */
    struct vw_document newest_document;  /* the next to load, if another is being loaded */
    uint64_t newest_version;             /* version of the newest document received */
    int n_groups;
    struct px_group **groups; /* sorted by name */
    int n_nodes;
    /* instances that accept fewer connections than this node's shares */
    struct px_saturation_common saturation;
    struct ho_node *nodes; /* entry nodes with a lease, prepared by ho_prepare */
    int64_t configured_at; /* when the first document came into force */
    bool knew_nodes;       /* px_knows_nodes at the last update of the groups */
    struct px_neighbor *neighbors;
    struct px_inst *removed_insts; /* removed from the view, with connections still open */
    int n_accounts;
    struct px_account *accounts; /* accounts that had operations here */
    struct ix_index account_at;  /* index in `accounts` by name */
    int64_t permits_expire_at;
    bool permits_unreported; /* the leader does not know the permits of this node */
    bool has_changes;        /* instances or held groups were added since px_has_changes */
    int64_t leased_at;       /* when the lease was last valid */
    int64_t last_seek_at;    /* when a session last looked for a node that passes it on */
    int64_t isolated_until;  /* disconnected, and no other node answers: none is tried before */

    /* sessions */
    struct px_session *sessions, *active;
    struct px_session *first_turn, *last_turn; /* sessions that wait for a turn; ahead.c */
    int n_running_ahead;
    int n_sessions;
    int n_relays;         /* connections to serving nodes */
    uint64_t last_number; /* number of the last session; the first has 1 */
    uint64_t last_conn;   /* number of the last connection to an instance; the first has 1 */
    int64_t next_slow_tick;

    /* shutdown */
    bool stopping;
    int64_t stop_began;
    bool ends; /* nothing is read or begun any more */

    /* rate limit of failure lines in the log: lines left in the second from log_budget_at */
    int64_t log_budget_at;
    int log_budget;

    struct px_counters c;
    struct nt_traffic traffic[PX_PEERS][PX_DISTANCES];
    struct nt_traffic served_traffic; /* with nodes that relay sessions to this one */
    struct hi_hist latency_read, latency_write;
    struct px_stages stages;
    int64_t stages_logged_at;
};

/* Counts the bytes of a connection to an instance or node in failure domain `domain`. */
void px_meter(struct px_proxy *p, struct nt_conn *net, enum px_peer_kind to,
              const char *domain);

/* answer.c: answers to callers */
void px_greet(struct px_session *s);
/* Answers the session's statement with the result on the connection, which may be a failure;
 * then handles what the caller sent in the meantime. */
void px_answer(struct px_session *s, const struct px_conn *from);
/* Acknowledges a statement that the proxy carried out itself, without an instance. */
void px_answer_local(struct px_session *s);
/* Ends the statement, running or not, with this failure; then continues like px_answer. */
void px_refuse(struct px_session *s, enum er_kind kind, const char *detail);
/* Answers the pending requests of a relayed session with this failure. */
void px_refuse_relayed(struct px_session *s, enum er_kind kind, const char *detail);
/* Refuses to open the session: this node and those that it reaches are disconnected from
 * control. */
void px_fail_disconnected(struct px_session *s);
/* Closes the caller's connection, at once or after what is queued, and counts the reason. A
 * caller with a request open does not learn whether it ran. */
void px_close(struct px_session *s, enum px_end_reason why, bool at_once);
const char *px_end_reason_name(enum px_end_reason why);
/* Whether one more line about a failure may be logged now; else it is counted as left out. */
bool px_may_log(struct px_proxy *p);
/* Records that the session ends for this reason; its connection is closed by others. */
void px_note_end(struct px_session *s, enum px_end_reason why);
/* Sends a failure, as the last message of the session. */
void px_send_refusal(struct px_session *s, enum er_kind kind, const char *detail);
/* Counts and logs that `bytes` arrived after px_close and were not read. */
void px_note_dropped(struct px_session *s, size_t bytes);
/* Closes the connection of an idle session. Returns false and leaves it open if bytes from the
 * caller are unread or bytes to it are unsent: those come first. */
bool px_close_idle(struct px_session *s, enum px_end_reason why);
/* Like px_close_idle, for a session that another node may relay to this one: sends PX_END to
 * that node, and runs nothing that still arrives. Callers repeat the call until the connection
 * is closed. */
void px_end_idle(struct px_session *s, enum px_end_reason why);
/* A pseudo-random delay in 0..span_us, fixed for each session, so that callers don't all
 * reconnect at once.
 */
int64_t px_stagger_us(const struct px_session *s, int64_t span_us);
/* Sends a failure that ends the session, and closes the connection. */
void px_fail_and_close(struct px_session *s, enum er_kind kind, const char *detail);

/* statement.c: effect of a statement on its session */
void px_statement(struct px_session *s, const struct px_msg *m);

/* accounts.c: the account of a session */
/* Sets s->account to the account of the session's next operation on that route, by the document
 * in force. Returns false if no account has its key and the route requires one. */
bool px_identify(struct px_session *s, const struct cg_route *r);
/* Whether the document lists accounts. */
static inline bool px_has_accounts(const struct px_proxy *p)
{
    return p->catalog.accounts.listed;
}

/* limits.c: limits of accounts */
/* Starts an operation of the session's account: decides whether it needs a permit. */
void px_permit_begin(struct px_session *s);
/* Takes a permit for the operation if it needs one and has none. */
enum lm_verdict px_permit_take(struct px_session *s);
/* Counts a statement again that is sent once more, as it may have run before. */
void px_permit_charge_retry(struct px_session *s);
/* Refuses an operation whose account is over its limit. */
void px_refuse_over_limit(struct px_session *s);

/* proxy.c: a planned stop */
/* Since when sessions are closed whatever is open in them; 0: they are not. */
int64_t px_lingers_since(const struct px_proxy *p, int64_t now);

/* session.c: connections of callers */
bool px_listen(struct px_proxy *p, struct er_err *err);
/* Ends the session if nothing is asked of it and another node should serve it. */
void px_session_end_if_due(struct px_session *s);
/* Answers what was read from the caller and has no answer, and ends the session, as the process
 * ends. */
void px_session_finish(struct px_session *s);
/* Handles the input that arrived while the last statement ran. */
void px_session_resume(struct px_session *s);
/* Checks the time limits of all sessions: opening, idle in transaction, closing. */
void px_sessions_slow_tick(struct px_proxy *p, int64_t now);

/* The caller has read what was queued for it. */
void px_session_drained(struct nt_conn *net, void *ud);

/* ahead.c */
/* Whether the session may handle its next message now; if not, it waits for its turn. */
bool px_ahead_allow(struct px_session *s);
/* All input of the session was handled. */
void px_ahead_none(struct px_session *s);
/* The session's statement is at work, and is not any more. */
void px_ahead_begun(struct px_session *s);
void px_ahead_ended(struct px_session *s);
void px_ahead_dequeue(struct px_session *s);
void px_ahead_tick(struct px_proxy *p);

/* memory.c */
/* Counts what the session holds, for the limit of the process; call after it has changed. */
void px_session_charge(struct px_session *s);
enum nt_shed_answer px_on_shed(struct nt_conn *net, void *ud, enum nt_shed why);

/* proxy.c: input */
/* All input that had arrived by this time was read. Silence and missing answers are judged by
 * it and not by the clock: after a long step of the loop, input may wait unread in the sockets.
 */
int64_t px_received_until(const struct px_proxy *p);

/* proxy.c: the lease */
/* A lease outlives an election, so a node without one for longer is probably disconnected. */
enum { PX_DISCONNECTED_US = 300000 };

/* Whether this node has a valid lease, so that no term of its view was replaced. */
bool px_leased(const struct px_proxy *p);
/* Whether the lease is lost for so long that this node is probably disconnected from control
 * while other nodes are not. */
bool px_disconnected(const struct px_proxy *p);

/* relay.c: sessions that another node serves */
/* Whether another node should serve the session: one that holds the group while this node does
 * not, or that probably has connections to it while this node has none. */
bool px_should_relay(const struct px_session *s);
void px_relay_start(struct px_session *s);
/* Handles input from the caller of a relayed session. */
void px_relay_input(struct px_session *s, const char *data, size_t len);
/* Stops the relay of a session whose caller has closed; does nothing if it is not relayed. */
void px_relay_stop(struct px_session *s);
void px_relay_tick(struct px_session *s, int64_t now);
/* Rolls back the transaction of a relayed session while no request of it is pending; the next
 * request is refused, then the session ends. */
void px_relay_abort_txn(struct px_session *s);
/* Answers the pending requests of a relayed session that was opened, as the process ends. */
void px_relay_finish(struct px_session *s);
/* Whether the relayed session is open and no request was read from its caller that has no
 * answer; `allow_partial`: the start of one may have been. */
bool px_relay_between_requests(const struct px_session *s, bool allow_partial);
/* Whether another node opens this session for a caller of its own. *document: the version that
 * node acts on; *pass_on: it reaches no holder of the group. */
bool px_parse_relayed(const struct px_msg *open, uint64_t *document, bool *pass_on);
/* Why a session is opened at another node. */
enum px_hello {
    PX_HELLO_TRIAL,  /* to test whether it greets, whatever document it acts on */
    PX_HELLO_SERVE,  /* to be served there */
    PX_HELLO_PASS_ON /* to be relayed on to a holder, as that node is none */
};
void px_relay_hello(struct px_proxy *p, struct nt_conn *net, const char *database,
                    const char *key, enum px_hello why);
/* Whether a request of the relayed session was sent to the serving node and not answered yet.
 */
bool px_relay_pending(const struct px_session *s);
/* Bytes held for the relay. */
size_t px_relay_bytes(const struct px_session *s);
/* The caller of a relayed session has read what was queued for it. */
void px_relay_caller_drained(struct px_session *s);
/* Whether a relayed session has neither a statement nor a transaction at the serving node. */
bool px_relay_idle(const struct px_session *s);
/* Whether a statement of its open transaction may have run. */
bool px_relay_txn_ran(const struct px_session *s);
/* Whether the serving node has greeted the caller. */
bool px_relay_greeted(const struct px_session *s);

/* targets.c: choice of the node to relay to */
enum { PX_MAX_TRIES = 16 }; /* nodes tried for one session */

struct px_tried_nodes {
    int n;
    struct px_neighbor *nb[PX_MAX_TRIES];
};
struct px_target {
    int node;       /* index in p->nodes; -1: none is left to try */
    bool passes_on; /* the node is no holder and passes the session on to one */
};
/* The group of the session's database. A relayed session has no route at this node. */
struct px_group *px_database_group(const struct px_session *s);
/* `seeks`: the session already looks for a node that passes it on. */
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

/* work.c: routing and retries of a statement */
enum { PX_PARK_US = 20000 }; /* interval between two attempts to route a parked statement */

static inline bool px_in_txn(const struct px_session *s)
{
    return s->txn != PX_IDLE;
}
/* Whether no replica may serve the statement. */
bool px_needs_primary(const struct px_session *s);
/* Starts the session's statement; the session is in the active list until px_end_work. */
void px_begin_work(struct px_session *s);
/* Chooses an instance for the statement, or parks it. */
void px_route_work(struct px_session *s);
/* Ends the statement because it is done or its session ends; sends no answer. */
void px_end_work(struct px_session *s);
/* Records the time since the last stage ended as the latency of `stage`. */
void px_stage_done(struct px_session *s, enum px_latency_stage stage);
/* Parks the statement until that time; it is routed again in the first tick after. */
void px_park(struct px_session *s, int64_t until);
/* Routes the statement again, at once or after `after_us`. Returns false if the attempt counts
 * and the route allows no more. */
bool px_retry(struct px_session *s, int64_t after_us, bool counts);
/* Whether the route allows no further attempt that counts. */
bool px_last_try(const struct px_session *s);
/* Checks the time limits of the statement; called every tick. */
void px_work_tick(struct px_session *s, int64_t now);

/* outcome.c: outcome of a statement */
/* Whether the session's statement commits writes. */
bool px_commits_writes(const struct px_session *s);
/* The connection received the whole answer. */
void px_on_answer(struct px_session *s, struct px_conn *c);
/* The statement could not be sent; nothing of it was. */
void px_on_not_sent(struct px_session *s, struct px_conn *c, enum er_kind why);
/* The connection was lost; `sent`: the statement had been sent on it. */
void px_on_conn_lost(struct px_session *s, struct px_conn *c, bool sent);
/* Ends a statement whose deadline has passed. */
void px_expire(struct px_session *s);
/* Gives up the session's transaction: rolls back what is open at the instance. */
void px_drop_txn(struct px_session *s);
/* Like px_drop_txn, but not on the caller's request: its next statement fails. */
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
/* Whether a connection is idle, or will be soon because it is being opened. */
bool px_inst_has_free_conn(const struct px_inst *in);
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
/* The session's transaction is open on the connection, and no statement outstanding. */
void px_conn_idle_in_txn(struct px_conn *c);
/* Closes the connection; the close is reported to its session by px_on_conn_lost. */
void px_conn_close(struct px_conn *c);
void px_conn_tick(struct px_conn *c, int64_t now);

/* documents.c: the configuration document in force */

/* Loads the document of the view, unless its version was received before. */
void px_load_document(struct px_proxy *p, const struct vw_document *d);
/* Whether an older document is in force while a newer one is being loaded. */
bool px_document_loading(const struct px_proxy *p);
void px_documents_tick(struct px_proxy *p);

/* groups.c: groups and instances of the view */
struct px_group *px_find_group(const struct px_proxy *p, const char *name);
/* The group of the session's route; NULL: there is none, or no route was chosen. */
struct px_group *px_session_group(const struct px_session *s);
struct px_inst *px_find_inst(const struct px_proxy *p, struct sr_str id);
/* The instance that serves the group's term; NULL: none is known to. */
struct px_inst *px_serving_primary(const struct px_group *g, int64_t now);
/* Whether no other instance can have been promoted by now, so that all commits acknowledged
 * until now are in this one's log. */
bool px_is_primary_now(const struct px_inst *in);
/* The minimum position for a read whose data may be at most max_age_us old. False: it is not
 * known. */
bool px_age_floor(const struct px_group *g, int64_t max_age_us, int64_t now,
                  struct ps_pos *floor);
void px_groups_tick(struct px_proxy *p, int64_t now);

#endif
