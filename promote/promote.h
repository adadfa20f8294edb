/* A primary's end: detection, fencing, choice and promotion for one group.
 *
 * Pure; run by the control leader. Evidence comes from the probes of several control nodes
 * (vantages) and from entry nodes that carry traffic. The steps:
 *
 *   down by two vantages of different failure domains
 *     -> ask entry nodes; one that still gets answers vetoes
 *     -> propose REPLACE(term + 1)       (synced in the log before anything irreversible)
 *     -> fence the instances at the new term, in parallel with the entry nodes dropping the old
 *     -> enough fenced: promote the one with the highest (term, position)
 *     -> propose PRIMARY                 (announced to all entry nodes)
 *
 * A planned change (HANDING) first waits until every entry node has parked, fences the old
 * primary, waits for the successor to reach its position, and then goes the same way.
 * Whatever is interrupted starts again under a higher term. */
#ifndef FL_PROMOTE_PROMOTE_H
#define FL_PROMOTE_PROMOTE_H

#include "view/view.h"

enum { PR_VANTAGES = 8 };

struct pr_config {
    int64_t silence_us;    /* unanswered for so long: silent */
    int64_t check_us;      /* how long entry nodes have to answer a check */
    int64_t resend_us;     /* fence and promote are sent again after this */
    int64_t attempt_us;    /* an attempt that takes longer starts again, with twice the time */
    int64_t hold_us;       /* least time between two replacements; doubles while they repeat */
    int64_t hand_us;       /* a planned change that takes longer is given up */
    bool fenced_endpoints; /* the driver offers FENCE: no waiting for the entry nodes */
    /* Baselines and seeded mistakes, for measurement and for seeing the tests fail. */
    struct {
        bool wait_leases; /* lease-expiry-only failover */
        bool any_replica; /* promote the first that answers, whatever it holds */
    } fault;
};

/* PR_UNFIT: up, but not fit to lead; what steers by fences takes it for up. */
enum pr_health { PR_UNKNOWN, PR_UP, PR_SILENT, PR_REFUSED, PR_UNFIT };

struct pr_report {
    uint64_t vantage; /* 0: unused */
    char domain[VW_NAME];
    enum pr_health health;
    int64_t at;      /* when this was reported */
    int64_t down_at; /* since when it is not up */
};

/* One instance as the leader knows it. Indexed like the view's group. */
struct pr_inst {
    char id[VW_NAME];
    struct pr_report by[PR_VANTAGES];
    uint64_t term, following; /* what it said last */
    bool primary;
    struct ps_pos held;
    int64_t said_at;
    int64_t asked_at; /* last fence, promote or follow sent */
    uint64_t fenced;  /* highest term it has confirmed a fence for */
    struct ps_pos fenced_pos;
};

enum pr_step { PR_IDLE, PR_CHECKING, PR_PROPOSED, PR_FENCING, PR_PROMOTING, PR_CONCLUDING };

struct pr_group {
    struct pr_config cfg;
    enum pr_step step;
    uint64_t term;     /* of the attempt */
    uint64_t proposed; /* the last term this leader proposed a replacement under */
    int64_t proposed_at;
    int64_t began, step_at;
    int64_t patience; /* with the attempt under way: an instance may be slow for long */
    int checks_out, checks_ok, checks_bad;
    uint64_t nonce;
    int chosen;
    int64_t last_end, hold;
    int64_t recheck; /* after an objection, ask again this much later; doubles */
    int n;
    struct pr_inst inst[VW_MAX_INSTANCES];
    char why[96]; /* the evidence, for the time line */
};

enum pr_action_kind {
    PR_DO_CHECK,   /* ask entry nodes about `inst`; answer with pr_checking, pr_checked */
    PR_DO_REPLACE, /* propose VW_CH_REPLACE with `term` */
    PR_DO_ABANDON, /* propose VW_CH_ABANDON with `term` */
    PR_DO_FENCE,   /* tell `inst` to fence at `term` */
    PR_DO_PROMOTE, /* tell `inst` to be primary of `term` */
    PR_DO_PRIMARY, /* propose VW_CH_PRIMARY: `inst`, `term`, `pos` */
    PR_DO_FOLLOW,  /* tell `inst` to follow the primary of `term` */
    PR_DO_PROBE,   /* ask `inst` where it is, now */
};

struct pr_action {
    enum pr_action_kind kind;
    int inst;
    uint64_t term, pos;
};

enum { PR_MAX_ACTIONS = 2 * VW_MAX_INSTANCES + 2 };

struct pr_actions {
    int n;
    struct pr_action a[PR_MAX_ACTIONS];
};

/* A leader begins, or the group is new: nothing is known. */
void pr_begin(struct pr_group *p, const struct pr_config *cfg, int64_t now);
/* A vantage's probe result. `down` results keep the time since which it is down. */
void pr_probed(struct pr_group *p, const char *inst, uint64_t vantage, const char *domain,
               enum pr_health health, int64_t now);
/* What an instance said of itself. */
void pr_said(struct pr_group *p, const char *inst, bool primary, uint64_t term,
             uint64_t following, struct ps_pos held, int64_t now);
/* `n` entry nodes were asked; each answer comes by pr_checked. */
void pr_checking(struct pr_group *p, int n);
void pr_checked(struct pr_group *p, uint64_t nonce, enum pr_health health);
/* Answers of instances. */
void pr_fenced(struct pr_group *p, const char *inst, uint64_t term, struct ps_pos held);
void pr_promoted(struct pr_group *p, const char *inst, uint64_t term, struct ps_pos start);
/* A connection to the instance is open again: what was asked over the last one is lost, and is
 * asked anew at the next tick in place of after cfg.resend_us. */
void pr_reached(struct pr_group *p, const char *inst, int64_t now);
/* Decide. `g` is the group in the committed view; `dropped` says that no entry node acts on a
 * view older than the change that began this phase. */
void pr_tick(struct pr_group *p, const struct vw_group *g, bool dropped, int64_t now,
             struct pr_actions *out);
/* Instances that must be fenced so that every acknowledged write is among them. */
int pr_needed(const struct vw_group *g);

#endif
