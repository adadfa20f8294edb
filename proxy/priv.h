/* The proxy's state, shared by its parts. Nobody else includes this; proxy/proxy.h is the
 * contract. */
#ifndef FL_PROXY_PRIV_H
#define FL_PROXY_PRIV_H

#include "limit/limit.h"
#include "misc/clock.h"
#include "misc/log.h"
#include "misc/rng.h"
#include "pool/shares.h"
#include "proxy/fit.h"
#include "proxy/full.h"
#include "proxy/neighbor.h"
#include "proxy/outlier.h"
#include "proxy/pace.h"
#include "proxy/place.h"
#include "proxy/relief.h"
#include "proxy/proxy.h"
#include "proxy/pending.h"
#include "proxy/stages.h"
#include "proxy/state.h"
#include "proxy/window.h"
#include "route/holders.h"
#include "route/route.h"
#include "route/spread.h"

struct px_session;
struct px_inst;
struct px_group;

/* What a connection to an instance is at. */
enum px_phase {
    PX_C_OPENING,
    PX_C_IDLE,
    PX_C_SETUP,   /* a statement of our own is out, for the session's next one */
    PX_C_RUNNING, /* the session's statement is out */
    PX_C_RESTING, /* in a session's transaction, between two statements */
    PX_C_ENDING,  /* our own rollback is out */
    PX_C_ORPHAN,  /* an answer is out that nobody waits for any more */
};

/* A connection to an instance. */
struct px_conn {
    struct px_conn *next; /* the instance's */
    struct px_inst *inst;
    struct nt_conn *net;
    struct sr_buf in; /* what has come and is not taken yet */
    bool closing;
    char account[AC_NAME]; /* it was opened for; px_identify */
    int64_t used_at;       /* a statement was sent on it last, or it was opened */
    enum px_phase phase;
    struct px_session *session; /* it works for, or that has its transaction here */
    struct px_applied applied;

    /* what is out */
    struct px_stmt setup;          /* PX_C_SETUP */
    char setup_name[PX_STMT_NAME]; /* of a PREPARE of our own */
    int64_t sent_at;               /* PX_C_OPENING: when it began */
    uint64_t term;                 /* the group's, when it was sent */
    bool leased;                   /* the term was known to be in force then */

    /* the answer as far as it has come */
    struct sr_buf rows; /* as they go to the caller */
    struct sr_buf signature;
    bool done; /* PX_DONE has come */
    enum er_kind error;
    char detail[160]; /* of the error; longer ones are cut */
    enum px_txn state;
    bool has_pos;
    struct ps_pos pos;
};

/* An instance and this node's connections to it. */
struct px_inst {
    struct px_proxy *p;
    struct px_group *group;
    int at; /* index in the group */
    struct vw_instance cfg;
    bool gone; /* not in the view any more: freed with its last connection */
    struct px_inst *next_gone;

    /* connections */
    struct px_conn *conns;
    int n_conns;
    int share;          /* how many this node may have */
    int busy;           /* connections that are neither opening nor idle */
    int named;          /* renewals that name it still */
    int peak;           /* the most that were busy or waited for, lately */
    int64_t next_open;  /* no new connection before */
    bool wants_first;   /* a connection is to be opened before anybody waits for it */
    int64_t lacked_at;  /* a statement found that there is no share, and asked for one */
    int64_t full_since; /* it has refused connections as too many since; 0: it has not */
    struct px_full full;
    int replaced;               /* connections closed for those of other accounts, lately */
    char last_account[AC_NAME]; /* the last connection was opened for */

    /* sessions that wait for one, in the order in which they are served */
    struct px_session *waiters;
    int n_waiters;

    /* whether it is there */
    int64_t heard;      /* last sign of life */
    int64_t refused_at; /* a connect was refused; 0: heard since */
    bool asks;          /* a good connection was lost: another is to tell whether it is there */
    int64_t told_at;    /* a suspicion, to the entry role */

    /* how it serves */
    struct px_window window;
    struct px_outlier outlier;
    bool unfit;           /* the primary, and should hand over */
    int64_t alone_since;  /* it fails much and others of its group do not; 0: not so */
    int64_t service_us;   /* smoothed time of a statement */
    double pace;          /* times what its statements take elsewhere; px_pace */
    struct ps_pos known;  /* its log held this when it was heard last */
    int64_t behind_until; /* it lacked a position; not asked for one like it before */
    int64_t served_at;    /* it served a read */
};

/* A group of the view. */
struct px_group {
    struct px_proxy *p;
    struct vw_group cfg;
    struct px_inst *inst[VW_MAX_INSTANCES]; /* indexed like cfg.inst */
    struct px_pace pace;
    struct rt_group rt; /* samples of the primary's position; the rest is not used */
    bool held;  /* this node has connections to its instances; else sessions go to a holder */
    bool first; /* this node is among `holders` */
    int64_t let_go_at; /* this node ceased to hold it */
    /* In the proxy's nodes: those that hold it, or where all do, those that connect first. */
    int n_holders;
    uint16_t holders[HO_MAX_HOLDERS];
    /* Where the document's accounts are among the holders, by their number there; NULL until it
     * is asked for. */
    struct sp_place *places;
    struct px_relief relief;
    int64_t refused_at;      /* a statement waited for its primary in vain */
    int64_t term_since;      /* this node acts on its term */
    int64_t settle_by;       /* planned change: what runs at the primary may end until then */
    int64_t primary_refused; /* the view's primary said that it is none: not asked before */
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
    struct lm_stock permits;
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
    unsigned pace_kind; /* px_pace_kind */
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

/* Whom bytes are exchanged with, beside callers. */
enum px_peer { PX_TO_INSTANCE, PX_TO_NODE, PX_PEERS };
enum { PX_DISTANCES = 3 }; /* rt_distance: the same failure domain, another, another region */

/* Another entry node that sessions are or were relayed to. */
struct px_neighbor {
    struct px_neighbor *next; /* the proxy's */
    struct px_proxy *p;
    char name[32], ip[46], domain[32];
    int port;
    int n_relays; /* that name it */
    struct nb_neighbor b;
    int64_t passed_at; /* it passed a session on to a holder that we did not reach */
    struct nt_conn *trial;
    char database[CG_NAME]; /* of the last session that went there: what a trial asks for */
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
    struct cg_taking loading;            /* of `document` */
    struct vw_document loading_document; /* is being taken in */
    struct vw_document newest_document;  /* the newest, if another is being taken in */
    uint64_t newest_version;             /* version of the newest */
    int n_groups;
    struct px_group **groups; /* sorted by name */
    int n_nodes;
    struct px_fulls fulls; /* instances that take fewer connections than this node's shares */
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
void px_meter(struct px_proxy *p, struct nt_conn *net, enum px_peer to, const char *domain);

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

/* neighbors.c: what is believed of the other nodes, and trials of them */
enum { PX_PASSES_US = 5000000 }; /* who passed a session on lately probably does it again */

enum nb_rank px_neighbor_rank(const struct px_proxy *p, const struct ho_node *node,
                              int64_t now);
/* Whether it passed a session on lately. */
bool px_neighbor_passes_on(const struct px_proxy *p, const struct ho_node *node, int64_t now);
/* A relay names the node; px_neighbor_drop when it does not any more. */
struct px_neighbor *px_neighbor_take(struct px_proxy *p, const struct ho_node *node);
void px_neighbor_drop(struct px_neighbor *nb);
/* Every tick. */
void px_neighbors_tick(struct px_proxy *p, int64_t now);
/* The list of nodes changed: those that are gone are forgotten. */
void px_neighbors_changed(struct px_proxy *p);
int px_neighbors_silent(const struct px_proxy *p);
/* Whether any node passed a session on lately. */
bool px_any_passes_on(const struct px_proxy *p, int64_t now);

/* holders.c: which nodes hold connections to which groups */
/* The view, the document or the nodes changed. */
void px_holders_changed(struct px_proxy *p);
/* Whether it is known which other nodes there are, or has been waited for long enough. Until
 * then this node holds no group. */
bool px_knows_nodes(const struct px_proxy *p);
/* Every tick. */
void px_holders_tick(struct px_proxy *p);
/* The holders for the session's account, the one to ask first in front: numbers in p->nodes;
 * returns how many. `out` has room for HO_MAX_HOLDERS. */
int px_holders_for(const struct px_session *s, struct px_group *g, int *out);
/* Whether this node is one of those at which the account's sessions meet. */
bool px_serves_account(const struct px_session *s, struct px_group *g);
/* The account's first holders in the group; NULL: the document doesn't list it. */
const struct sp_place *px_place_of(struct px_group *g, const char *account);
/* Whether this node has an open connection to the group's primary, as far as there is one. */
bool px_reaches(const struct px_group *g);

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
void px_stage_done(struct px_session *s, enum px_latency_stage stage);
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
/* It left the view, or moved: its connections end, then it is freed. */
void px_inst_gone(struct px_inst *in);
/* Free it if it is gone and has no connection any more. */
void px_inst_maybe_free(struct px_inst *in);
/* An idle connection for the session, or its place among those that wait for one. */
void px_inst_take(struct px_inst *in, struct px_session *s);
/* Whether a connection of its account is idle there. */
bool px_inst_ready(const struct px_inst *in, const struct px_session *s);
/* The session waits no longer. */
void px_inst_unwait(struct px_inst *in, struct px_session *s);
/* Serve those that wait, as far as connections are idle. */
void px_inst_pump(struct px_inst *in);
/* Statements that are out there, without those whose answers are probably lost. */
int px_inst_running(const struct px_inst *in);
void px_inst_tick(struct px_inst *in, int64_t now);
/* Whether a statement may go there: it is there as far as is known, and stays. */
bool px_inst_usable(const struct px_inst *in, int64_t now);
/* The node got a share: its first connection is opened before anybody waits for it. */
void px_inst_want_first(struct px_inst *in, int64_t now);
/* Statements find it without a share: ask for one, soon. */
void px_inst_lacks(struct px_inst *in, int64_t now);
/* Whether one more connection may be opened. */
bool px_inst_has_room(const struct px_inst *in, int64_t now);
/* Tell the entry role that the primary does not answer, or refuses; now and then only. */
void px_inst_suspect(struct px_inst *in, enum wr_health health);

/* conn.c: connections to instances */
void px_conn_open(struct px_inst *in, const char *account);
/* Prepare the connection for the session's statement, step by step, and run it. */
void px_conn_run(struct px_conn *c, struct px_session *s);
/* Nobody waits for what is out. */
void px_conn_orphan(struct px_conn *c);
/* Roll back, then serve others. */
void px_conn_rollback(struct px_conn *c);
/* Nothing is open on it: serve others. */
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

/* groups.c: the view */
struct px_group *px_group(const struct px_proxy *p, const char *name);
/* The group that the session's route names, NULL: none, or no route was taken. */
struct px_group *px_group_of(const struct px_session *s);
struct px_inst *px_inst(const struct px_proxy *p, struct sr_str id);
/* The instance that serves the group's term, NULL: none is known to. */
struct px_inst *px_primary(const struct px_group *g, int64_t now);
/* What the primary's position was at a time since when a read may miss nothing. */
bool px_age_floor(const struct px_group *g, int64_t max_age_us, int64_t now,
                  struct ps_pos *floor);
void px_groups_tick(struct px_proxy *p, int64_t now);

#endif
