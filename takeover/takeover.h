/* Change of primary for a group whose platform carries it out: one call with a fencing token
 * names the instance that takes over. The outcome of a call can't be queried afterwards.
 *
 * Pure; run by the control leader for one group. Unlike in promote/, the instances obey no
 * fence of this cluster: the old primary stops leading only when the call is carried out.
 * Therefore the entry nodes drop the old term first (they confirm it, or their leases expire),
 * and the outcome is read from the status of the instances. The token is the term, which the
 * log assigns only once. The steps:
 *
 *   primary down for this leader or for entry nodes
 *     -> ask all entry nodes; more see the primary down than up
 *     -> propose REPLACE(term + 1)          (HAND for a primary that is draining)
 *     -> entry nodes have dropped the old term
 *     -> pick the instance that received most; one call for it under this term
 *     -> the instance reports that it is primary -> propose PRIMARY
 *
 * Where commits are acknowledged once replicas have received them (`copies`), the successor
 * must be sure to hold all of them: coverage.c. Until such an instance is known, the change
 * waits, or a planned one is abandoned.
 *
 * A call without a reply may still be carried out later. The next call is made under a higher
 * term, which fences the earlier one, and no new primary is concluded while a call for another
 * instance may be open. */
#ifndef FL_TAKEOVER_TAKEOVER_H
#define FL_TAKEOVER_TAKEOVER_H

#include "view/view.h"

struct tk_config {
    int64_t check_us;        /* how long entry nodes have to reply to a check */
    int64_t call_timeout_us; /* a call without a reply is made again after this */
    int64_t
        lead_timeout_us; /* the instance of a call must report that it is primary within this */
    int64_t catch_up_timeout_us; /* how long a successor may take to receive all writes of a
                          draining primary */
    int64_t recheck_delay_us; /* after entry nodes saw the primary up, check again after this */
};

/* TK_UNFIT: the instance is alive, but another one should lead. Only entry nodes report it. */
enum tk_health { TK_UNKNOWN, TK_UP, TK_SILENT, TK_REFUSED, TK_UNFIT };

/* An upper bound of the acknowledged commits in the logs of instances that receive nothing
 * while they are absent: a position that the primary reported since. */
struct tk_bound {
    int64_t since; /* since when they are absent; 0: they are not */
    bool known;
    struct ps_pos pos;
};

/* What the leader knows of one instance. Indexed like the instances of the view's group. */
struct tk_inst {
    char id[VW_NAME];
    enum tk_health health;
    bool reports_primary;
    struct ps_pos received;
    int64_t status_at;     /* when the instance last reported its status; 0 never */
    int64_t asked_at;      /* what it reports was so at this time or later; 0: unknown */
    int64_t avoid_until;   /* a call for it was refused: no call before this time */
    struct tk_bound bound; /* while its connections are refused: its process is gone */
};

/* The primary's positions at the last two of regular times: a replica that receives has the
 * older one. */
struct tk_marks {
    int n;
    int64_t at; /* when the newer one was taken */
    struct ps_pos older, newer;
};

enum tk_step {
    TK_IDLE,
    TK_CHECKING,   /* entry nodes are asked whether the primary replies */
    TK_PROPOSED,   /* a change of the view is proposed, not committed */
    TK_DROPPING,   /* entry nodes drop the old term */
    TK_CHOOSING,   /* instances report their positions; the successor is picked */
    TK_CALLED,     /* the call is sent or done; the instance does not report the role yet */
    TK_CONCLUDING, /* the new primary is proposed to the log */
};

struct tk_group {
    struct tk_config cfg;
    enum tk_step step;
    int64_t step_at;
    uint64_t term;                /* term of the attempt; 0: this leader made none */
    int target;                   /* index of the instance that was called; -1 none */
    bool call_done;               /* the call under `term` was carried out */
    char open_call_inst[VW_NAME]; /* instance of the latest call of unknown outcome, or "" */
    bool open_calls_differ;       /* calls of unknown outcome may name different instances */
    /* replies to the latest check: still missing, up, down, unfit */
    int checks_pending, checks_up, checks_down, checks_unfit;
    uint64_t nonce;        /* of the latest check */
    int64_t recheck_at;    /* entry nodes saw the primary up: no new check before this time */
    int suspect_reports;   /* suspicions that entry nodes reported since the latest check */
    int64_t serving_since; /* since when the view's primary serves */
    int copies;            /* replicas that must have received a commit that is acknowledged */
    bool waits_for_copies; /* no instance is sure to hold all acknowledged commits */
    int64_t hand_retry_at; /* a planned change was abandoned: no other one before this time */
    struct tk_marks marks;
    struct tk_bound left; /* of the replicas that left */
    bool has_left;        /* one left or was replaced since this leader began */
    int n;
    struct tk_inst inst[VW_MAX_INSTANCES];
    char why[96]; /* reason of the latest proposed change, for operators */
};

enum tk_action_kind {
    TK_DO_CHECK,   /* ask entry nodes about `inst`; reply with tk_checks_sent, tk_check_reply */
    TK_DO_REPLACE, /* propose VW_CH_REPLACE with `term` */
    TK_DO_HAND,    /* propose VW_CH_HAND with `term` to `inst` */
    TK_DO_CALL,    /* call for `inst` with the token `term`; reply with tk_call_result */
    TK_DO_PRIMARY, /* propose VW_CH_PRIMARY: `inst`, `term` */
    TK_DO_PROBE,   /* request the status of `inst` now, as it is at `since` or later */
};

struct tk_action {
    enum tk_action_kind kind;
    int inst;
    uint64_t term;
    int64_t since;
};

enum { TK_MAX_ACTIONS = VW_MAX_INSTANCES + 2 };

struct tk_actions {
    int n;
    struct tk_action a[TK_MAX_ACTIONS];
};

enum tk_outcome {
    TK_DONE,         /* carried out: all earlier calls are fenced */
    TK_REFUSED_CALL, /* not carried out: a higher token was seen, or the instance is down */
    TK_NO_ANSWER,    /* may be carried out later */
};

/* Resets the state when a leader begins or the group is new. Nothing is known then, nor which
 * calls earlier leaders made. */
void tk_begin(struct tk_group *t, const struct tk_config *cfg, int64_t now);
/* Sets the health that this leader's connection to the instance shows. */
void tk_set_health(struct tk_group *t, const char *inst, enum tk_health health, int64_t now);
/* Stores the status that the instance reported about itself, which was so at `asked_at` or
 * later; 0: the time is not known. */
void tk_set_status(struct tk_group *t, const char *inst, bool primary, struct ps_pos received,
                   int64_t asked_at, int64_t now);
/* An entry node reports that the instance does not reply to it. */
void tk_suspected(struct tk_group *t, const char *inst);
/* TK_DO_CHECK was carried out: `n` entry nodes were asked. */
void tk_checks_sent(struct tk_group *t, int n);
/* The reply of one entry node to the check with `nonce`. */
void tk_check_reply(struct tk_group *t, uint64_t nonce, enum tk_health health);
/* The outcome of the call with the token `term`. */
void tk_call_result(struct tk_group *t, uint64_t term, enum tk_outcome what, int64_t now);
/* Decides the next actions. `copies`: replicas that must have received a commit before it is
 * acknowledged. `dropped`: no entry node acts on a view older than the change that began the
 * phase, and none acknowledges a commit of an older term any more. */
void tk_tick(struct tk_group *t, const struct vw_group *g, int copies, bool dropped,
             int64_t now, struct tk_actions *out);

/* coverage.c: which instances hold all acknowledged commits */
/* Whether the log of instance `i` is sure to hold every commit that was acknowledged. Call it
 * after the old term was dropped; only statuses requested since `t->step_at` count. */
bool tk_holds_acknowledged(const struct tk_group *t, const struct vw_group *g, int i);
/* Whether a planned change to instance `i` can be expected to end: it receives what the primary
 * writes, or has all that enough replicas have. */
bool tk_can_hand_over_to(const struct tk_group *t, const struct vw_group *g, int i);
/* Records the primary's position, by its latest status, while the group serves. */
void tk_note_primary_pos(struct tk_group *t, const struct vw_group *g, int64_t now);
/* The time of which the serving primary's status is needed for that; 0: of none. */
int64_t tk_primary_pos_since(const struct tk_group *t, const struct vw_group *g);

#endif
