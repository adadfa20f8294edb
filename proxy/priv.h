/* The proxy's state, shared by its parts (session, work, pool, conn, groups). Nobody else
 * includes this; proxy/proxy.h is the contract. */
#ifndef FL_PROXY_PRIV_H
#define FL_PROXY_PRIV_H

#include "misc/clock.h"
#include "misc/log.h"
#include "misc/rng.h"
#include "proxy/place.h"
#include "proxy/proxy.h"
#include "proxy/state.h"
#include "proxy/window.h"
#include "route/holders.h"
#include "route/route.h"

struct px_session;
struct px_inst;
struct px_group;

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
    struct px_conn *next;
    struct px_inst *inst;
    struct nt_conn *net;
    struct sr_buf in;
    enum px_phase phase;
    struct px_session *session; /* it works for, or that has its transaction here */
    struct px_applied applied;
    struct px_stmt setup; /* PX_C_SETUP: what is out */
    char setup_name[PX_STMT_NAME];
    int64_t sent_at; /* what is out; of PX_C_OPENING: the start */
    uint64_t term;   /* the group's, when it was sent */
    bool leased;     /* the term was known to be in force then */
    bool closing;
    /* the answer as far as it has come */
    struct sr_buf rows; /* as they go to the caller */
    struct sr_buf signature;
    bool done;
    enum er_kind error;
    char detail[160];
    enum px_txn state;
    bool has_pos;
    struct ps_pos pos;
};

struct px_inst {
    struct px_proxy *p;
    struct px_group *group;
    int at; /* index in the group */
    struct vw_instance cfg;
    bool gone; /* not in the view any more: freed with its last connection */
    struct px_inst *next_gone;
    int share, n_conns, busy, peak;
    struct px_conn *conns;
    struct px_session *waiters, **waiters_tail;
    int n_waiters;
    int64_t next_open;  /* no new connection before */
    int64_t heard;      /* last sign of life */
    int64_t refused_at; /* a connect was refused; 0: heard since */
    bool asks;          /* a good connection was lost: another is to tell whether it is there */
    int64_t told_at;    /* a suspicion, to the entry role */
    struct px_window window;
    int64_t service_us;
    struct ps_pos known;
    int64_t behind_until;
};

struct px_group {
    struct px_proxy *p;
    struct vw_group cfg;
    struct px_inst *inst[VW_MAX_INSTANCES];
    struct rt_group rt; /* samples of the primary's position; the rest is not used */
    bool held; /* this node has connections to its instances; else sessions go to a holder */
    int n_holders;
    uint16_t holders[HO_MAX_HOLDERS]; /* in the proxy's nodes; none: all nodes hold it */
    int64_t settle_by;       /* planned change: what runs at the primary may end until then */
    int64_t primary_refused; /* the view's primary said that it is none: not asked before */
};

/* What a session's statement waits for. */
enum px_stage {
    PX_S_REST,    /* there is none */
    PX_S_PARKED,  /* a primary, a lease, a position, or the next try */
    PX_S_WAITING, /* a connection to `inst` */
    PX_S_AT_INSTANCE,
};

struct px_session {
    struct px_session *prev, *next;               /* the proxy's */
    struct px_session *prev_active, *next_active; /* those with a statement */
    struct px_session *wait_next;                 /* of an instance */
    struct px_proxy *p;
    struct nt_conn *net; /* NULL: the caller has gone */
    struct sr_buf in;
    bool opened, paused;
    bool came_relayed;      /* another node relays it to us */
    struct px_relay *relay; /* another node serves it; NULL: we do */
    bool reading;           /* its input is being worked through */
    int64_t opened_at;
    int64_t since; /* it connected, or its last statement ended */
    char database[CG_NAME];
    struct px_state state;
    struct ps_pos seen; /* its last commit, in group `seen_in` */
    char seen_in[VW_NAME];
    /* transaction */
    enum px_txn txn;
    bool read_only, begun, wrote, lost;
    struct cg_route route; /* of the transaction, or of the statement */
    struct px_conn *conn;  /* at work for it, or pinned by its transaction */
    /* statement */
    enum px_stage stage;
    struct sr_buf line; /* its id and text */
    struct sr_str id, text;
    struct px_stmt stmt;
    bool writes;
    struct px_inst *inst;
    int64_t arrived, deadline, waiting_since, retry_at, sent_at;
    int attempts, offers;
    unsigned skip; /* bits of instances that could not serve it */
    bool has_floor;
    struct ps_pos floor;
};

struct px_counters {
    uint64_t sessions, statements, ok, failed, by_reason[ER_COUNT];
    uint64_t reads_primary, reads_replica, behind, retries, parked, lost, opened;
    uint64_t log_lines_left_out, relayed;
};

struct px_proxy {
    struct lg_log log;
    struct nt_loop *loop;
    struct px_config cfg;
    struct nt_listener *listener;
    struct cg_catalog catalog;
    int n_groups;
    struct px_group **groups; /* sorted by name */
    int n_nodes;
    struct ho_node *nodes; /* entry nodes with a lease, prepared */
    struct px_inst *gone;  /* not in the view, with connections still */
    struct px_session *sessions, *active;
    int n_sessions;
    bool news;         /* instances came since px_has_news */
    int64_t leased_at; /* when the lease was live last */
    uint64_t numbered;
    struct rn_rng rng;
    int64_t next_slow_tick;
    bool stopping;
    int64_t stop_began;
    int64_t log_budget_at;
    int log_budget;
    struct px_counters c;
    struct hi_hist latency_read, latency_write;
};

/* answer.c: what callers are told */
void px_greet(struct px_session *s);
/* Answer the session's statement with what the connection holds, a failure included; then go on
 * with what the caller sent meanwhile. */
void px_answer(struct px_session *s, const struct px_conn *from);
/* The proxy itself carried the statement out: it ran nowhere. */
void px_answer_own(struct px_session *s);
/* The statement, at work or not, ends with this failure; go on as after px_answer. */
void px_refuse(struct px_session *s, enum er_kind kind, const char *detail);
/* A failure that ends the session. */
void px_fail_and_close(struct px_session *s, enum er_kind kind, const char *detail);

/* statement.c: what a statement does to its session */
void px_statement(struct px_session *s, const struct px_msg *m);

/* session.c: the caller's connection */
bool px_listen(struct px_proxy *p, struct er_err *err);
/* Work through what the caller sent while its last statement was at work. */
void px_session_go_on(struct px_session *s);
/* Look at all sessions: whose time to open, to rest or to stay is over. */
void px_sessions_slow_tick(struct px_proxy *p, int64_t now);
bool px_leased(const struct px_proxy *p);
/* Without a lease for so long that this node is probably cut off from control, and others are
 * not. */
bool px_cut_off(const struct px_proxy *p, int64_t now);

/* relay.c: sessions that another node serves */
bool px_should_relay(const struct px_session *s);
void px_relay_start(struct px_session *s);
void px_relay_bytes(struct px_session *s, const char *data, size_t len);
void px_relay_end(struct px_session *s);
void px_relay_tick(struct px_session *s, int64_t now);
bool px_is_relayed(const struct px_msg *open);
bool px_rests_elsewhere(const struct px_session *s);
void px_holders_changed(struct px_proxy *p);

enum { PX_PARK_US = 20000 }; /* between two looks at what a parked statement waits for */

/* work.c: one statement on its way */
static inline bool px_in_txn(const struct px_session *s)
{
    return s->txn != PX_IDLE;
}
/* Whether no replica may serve the statement. */
bool px_needs_primary(const struct px_session *s);
void px_begin_work(struct px_session *s);
/* Find an instance for it, or park it. */
void px_route_work(struct px_session *s);
/* The statement is over, or its session is; nothing is told. */
void px_end_work(struct px_session *s);
void px_park(struct px_session *s, int64_t until);
/* Another try, at once or later. False: it counts, and there were as many as are allowed. */
bool px_try_again(struct px_session *s, int64_t after_us, bool counts);
/* Whether no further try that counts is allowed. */
bool px_last_try(const struct px_session *s);
void px_work_tick(struct px_session *s, int64_t now);

/* outcome.c: what comes of it */
/* The connection has the whole answer. */
void px_answered(struct px_session *s, struct px_conn *c);
/* Nothing of the statement was sent. */
void px_not_sent(struct px_session *s, struct px_conn *c, enum er_kind why);
/* The connection died; `sent`: with the statement on it. */
void px_lost(struct px_session *s, struct px_conn *c, bool sent);
/* Its time is up. */
void px_expire(struct px_session *s);
/* The session's transaction ends here: roll back what is open. */
void px_drop_txn(struct px_session *s);
/* The same without the caller's doing: its next statement is told. */
void px_abort_txn(struct px_session *s);

/* pool.c: instances */
struct px_inst *px_inst_new(struct px_group *g, const struct vw_instance *cfg);
void px_inst_gone(struct px_inst *in);
void px_inst_maybe_free(struct px_inst *in);
/* An idle connection for the session, or its place among those that wait for one. */
void px_inst_take(struct px_inst *in, struct px_session *s);
void px_inst_unwait(struct px_inst *in, struct px_session *s);
void px_inst_pump(struct px_inst *in);
/* Statements that are out there. */
int px_inst_running(const struct px_inst *in);
void px_inst_tick(struct px_inst *in, int64_t now);
bool px_inst_usable(const struct px_inst *in, int64_t now);
bool px_inst_has_room(const struct px_inst *in, int64_t now);
void px_inst_suspect(struct px_inst *in, enum wr_health health);

/* conn.c: connections to instances */
void px_conn_open(struct px_inst *in);
/* Prepare the connection for the session's statement, step by step, and run it. */
void px_conn_run(struct px_conn *c, struct px_session *s);
/* Nobody waits for what is out. */
void px_conn_orphan(struct px_conn *c);
/* Roll back, then serve others. */
void px_conn_rollback(struct px_conn *c);
void px_conn_idle(struct px_conn *c);
void px_conn_close(struct px_conn *c);
void px_conn_tick(struct px_conn *c, int64_t now);

/* groups.c: the view */
struct px_group *px_group(const struct px_proxy *p, const char *name);
struct px_inst *px_inst(const struct px_proxy *p, struct sr_str id);
/* The instance that serves the group's term, NULL: none is known to. */
struct px_inst *px_primary(const struct px_group *g, int64_t now);
/* What the primary's position was at a time since when a read may miss nothing. */
bool px_age_floor(const struct px_group *g, int64_t max_age_us, int64_t now,
                  struct ps_pos *floor);
void px_groups_tick(struct px_proxy *p, int64_t now);

#endif
