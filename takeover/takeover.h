/* A change of primary where somebody else carries it out: one call with a fencing token names
 * the instance that takes over, and nothing tells afterwards what became of the call.
 *
 * Pure; run by the control leader for one group. Unlike promote/, the instances obey no fence
 * of ours: the old primary stops leading when the call is carried out. So the entry nodes drop
 * the old term first (confirmed, or their leases ran out), and the outcome is read from the
 * instances. The token is the term, which the log gives out once:
 *
 *   down for this leader or for entry nodes -> ask all entry nodes; more see it down than up
 *     -> propose REPLACE(term + 1)          (HAND for a primary that is draining)
 *     -> entry nodes have dropped the old term
 *     -> the instance that received most -> one call under this term
 *     -> it says that it leads -> propose PRIMARY
 *
 * A call without an answer may be carried out later: the next is made under a higher term,
 * which fences it, and nothing is concluded while a call for another instance may be out. */
#ifndef FL_TAKEOVER_TAKEOVER_H
#define FL_TAKEOVER_TAKEOVER_H

#include "view/view.h"

struct tk_config {
    int64_t check_us;   /* how long entry nodes have to say what they see */
    int64_t answer_us;  /* a call without an answer is made anew after this */
    int64_t lead_us;    /* an instance that was named should lead within this */
    int64_t settle_us;  /* how long a successor may take to receive all of a draining primary */
    int64_t recheck_us; /* after entry nodes saw the primary up, ask again after this */
};

/* TK_UNFIT: it is there, and another should lead. Only entry nodes say so. */
enum tk_health { TK_UNKNOWN, TK_UP, TK_SILENT, TK_REFUSED, TK_UNFIT };

/* One instance as the leader knows it. Indexed like the view's group. */
struct tk_inst {
    char id[VW_NAME];
    enum tk_health health;
    bool says_primary;
    struct ps_pos received;
    int64_t said_at;     /* when that was said; 0 never */
    int64_t avoid_until; /* a call for it was refused */
};

enum tk_step {
    TK_IDLE,
    TK_ASKING,   /* entry nodes are asked what they see */
    TK_PROPOSED, /* a change of the view is on its way */
    TK_DROPPING, /* entry nodes drop the old term */
    TK_CHOOSING, /* instances say where they are; the successor is picked */
    TK_CALLED,   /* the call is out, or answered; the instance does not say yet that it leads */
    TK_CONCLUDING, /* the new primary is proposed to the log */
};

struct tk_group {
    struct tk_config cfg;
    enum tk_step step;
    int64_t step_at;
    uint64_t term;           /* of the attempt; 0 none of this leader's */
    int target;              /* index; -1 none */
    bool answered;           /* the call under `term` was carried out */
    char open_call[VW_NAME]; /* instance of calls whose outcome is open; "" none */
    bool open_mixed;         /* such calls name different instances */
    /* of the entry nodes that were asked last: no answer yet, up, down */
    int checks_out, checks_up, checks_down, checks_unfit;
    uint64_t nonce;    /* of that question */
    int64_t ask_after; /* they saw it up: not asked again before */
    int suspects;      /* entry nodes that say the primary does not answer, since last asked */
    int64_t serving_since; /* the primary leads by the view */
    int n;
    struct tk_inst inst[VW_MAX_INSTANCES];
    char why[96]; /* the reason of the change that was proposed last, for people */
};

enum tk_action_kind {
    TK_DO_CHECK,   /* ask entry nodes about `inst`; answer by tk_checks_sent, tk_check_reply */
    TK_DO_REPLACE, /* propose VW_CH_REPLACE with `term` */
    TK_DO_HAND,    /* propose VW_CH_HAND with `term` to `inst` */
    TK_DO_CALL,    /* name `inst` under the token `term`; answer by tk_called */
    TK_DO_PRIMARY, /* propose VW_CH_PRIMARY: `inst`, `term` */
    TK_DO_PROBE,   /* ask `inst` where it is, now */
};

struct tk_action {
    enum tk_action_kind kind;
    int inst;
    uint64_t term;
};

enum { TK_MAX_ACTIONS = VW_MAX_INSTANCES + 2 };

struct tk_actions {
    int n;
    struct tk_action a[TK_MAX_ACTIONS];
};

enum tk_outcome {
    TK_DONE,         /* carried out: all earlier calls are fenced */
    TK_REFUSED_CALL, /* not carried out: a higher token was seen, or it does not run */
    TK_NO_ANSWER,    /* may be carried out later */
};

/* A leader begins, or the group is new: nothing is known, also not of calls of others. */
void tk_begin(struct tk_group *t, const struct tk_config *cfg, int64_t now);
/* What this leader's connection to the instance shows. */
void tk_set_health(struct tk_group *t, const char *inst, enum tk_health health);
/* What the instance said of itself. */
void tk_set_status(struct tk_group *t, const char *inst, bool primary, struct ps_pos received,
                   int64_t now);
/* An entry node can't get an answer of the instance. */
void tk_suspected(struct tk_group *t, const char *inst);
/* TK_DO_CHECK was carried out: `n` entry nodes were asked. */
void tk_checks_sent(struct tk_group *t, int n);
/* One of them answers what it was asked under `nonce`. */
void tk_check_reply(struct tk_group *t, uint64_t nonce, enum tk_health health);
/* The outcome of the call under `term`. */
void tk_called(struct tk_group *t, uint64_t term, enum tk_outcome what, int64_t now);
/* Decide. `dropped`: no entry node acts on a view older than the change that began the phase.
 */
void tk_tick(struct tk_group *t, const struct vw_group *g, bool dropped, int64_t now,
             struct tk_actions *out);

#endif
