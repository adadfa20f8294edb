/* Failover of one group: failure detection, fencing, choice and promotion of the primary.
 *
 * Pure; run by the control leader. Evidence comes from the probes of several control nodes
 * (vantages) and from entry nodes that carry traffic. The steps:
 *
 *   primary down for two vantages of different failure domains
 *     -> ask entry nodes; one that still gets replies from the primary vetoes
 *     -> propose REPLACE(term + 1)       (synced in the log before any irreversible step)
 *     -> fence the instances at the new term, while the entry nodes drop the old term
 *     -> enough instances fenced: promote the one with the highest (term, position)
 *     -> propose PRIMARY                 (announced to all entry nodes)
 *
 * A planned change (HANDING) first waits until every entry node has parked its writes, fences
 * the old primary, waits until the successor has reached the old primary's position, and then
 * takes the same steps. An interrupted change starts again under a higher term. */
#ifndef FL_PROMOTE_PROMOTE_H
#define FL_PROMOTE_PROMOTE_H

#include "view/view.h"

enum { PR_VANTAGES = 8 };

struct pr_config {
    int64_t silence_us; /* an instance without a reply for this long is silent */
    int64_t check_us;   /* how long entry nodes have to reply to a check */
    int64_t resend_us;  /* interval at which fence and promote are sent again */
    int64_t attempt_us; /* an attempt that takes longer starts again, with twice the limit */
    int64_t hold_us;    /* minimum time between two replacements; doubles while they repeat */
    int64_t hand_us;    /* a planned change that takes longer is abandoned */
    bool fenced_endpoints; /* the driver offers FENCE: no need to wait for the entry nodes */
    /* Baselines for measurement and seeded faults that tests must detect. */
    struct {
        bool wait_leases; /* lease-expiry-only failover */
        bool any_replica; /* promote the first instance that replies, at any position */
    } fault;
};

/* PR_UNFIT: the instance is up, but should not lead. Groups with fences treat it as PR_UP. */
enum pr_health { PR_UNKNOWN, PR_UP, PR_SILENT, PR_REFUSED, PR_UNFIT };

struct pr_report {
    uint64_t vantage; /* 0: unused */
    char domain[VW_NAME];
    enum pr_health health;
    int64_t reported_at; /* when this was reported */
    int64_t down_since;  /* since when the vantage sees the instance down */
};

/* What the leader knows of one instance. Indexed like the instances of the view's group. */
struct pr_inst {
    char id[VW_NAME];
    struct pr_report reports[PR_VANTAGES];
    uint64_t term, following; /* from its latest status */
    bool primary;
    struct ps_pos held;
    int64_t status_at;
    int64_t order_sent_at; /* when the latest fence, promote or follow was sent */
    uint64_t fence_term;   /* highest term for which the instance has confirmed a fence */
    struct ps_pos fenced_pos;
};

enum pr_step { PR_IDLE, PR_CHECKING, PR_PROPOSED, PR_FENCING, PR_PROMOTING, PR_CONCLUDING };

struct pr_group {
    struct pr_config cfg;
    enum pr_step step;
    uint64_t term;          /* term of the attempt */
    uint64_t proposed_term; /* latest term under which this leader proposed a replacement */
    int64_t proposed_at;
    int64_t attempt_began, step_at;
    int64_t promote_limit_us; /* limit of a promotion; doubles, as an instance may stay slow */
    int checks_pending, checks_up, checks_down;
    uint64_t nonce;
    int chosen;
    int64_t last_change_at, backoff_us;
    int64_t recheck_delay_us; /* delay of the next check after a veto; doubles */
    int n;
    struct pr_inst inst[VW_MAX_INSTANCES];
    char why[96]; /* evidence of the latest change, for the timeline */
};

enum pr_action_kind {
    PR_DO_CHECK,   /* ask entry nodes about `inst`; reply with pr_checks_sent, pr_check_reply */
    PR_DO_REPLACE, /* propose VW_CH_REPLACE with `term` */
    PR_DO_ABANDON, /* propose VW_CH_ABANDON with `term` */
    PR_DO_FENCE,   /* tell `inst` to fence at `term` */
    PR_DO_PROMOTE, /* tell `inst` to become the primary of `term` */
    PR_DO_PRIMARY, /* propose VW_CH_PRIMARY: `inst`, `term`, `pos` */
    PR_DO_FOLLOW,  /* tell `inst` to follow the primary of `term` */
    PR_DO_PROBE,   /* request the status of `inst` now */
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

/* Resets the state when a leader begins or the group is new. */
void pr_begin(struct pr_group *p, const struct pr_config *cfg, int64_t now);
/* Stores the probe result of a vantage. Repeated down results keep the time of the first. */
void pr_probed(struct pr_group *p, const char *inst, uint64_t vantage, const char *domain,
               enum pr_health health, int64_t now);
/* Stores the status that an instance reported about itself. */
void pr_set_status(struct pr_group *p, const char *inst, bool primary, uint64_t term,
                   uint64_t following, struct ps_pos held, int64_t now);
/* A check was sent to `n` entry nodes; each reply is passed to pr_check_reply. */
void pr_checks_sent(struct pr_group *p, int n);
void pr_check_reply(struct pr_group *p, uint64_t nonce, enum pr_health health);
/* Replies of instances to fence and promote. */
void pr_fenced(struct pr_group *p, const char *inst, uint64_t term, struct ps_pos held);
void pr_promoted(struct pr_group *p, const char *inst, uint64_t term, struct ps_pos start);
/* A connection to the instance is open again. Orders sent over the previous one are lost, so
 * they are sent again at the next tick instead of after cfg.resend_us. */
void pr_reconnected(struct pr_group *p, const char *inst, int64_t now);
/* Decides the next actions. `g` is the group in the committed view; `dropped` says that no
 * entry node acts on a view older than the change that began this phase. */
void pr_tick(struct pr_group *p, const struct vw_group *g, bool dropped, int64_t now,
             struct pr_actions *out);
/* The number of instances to fence, so that at least one of them holds every acknowledged
 * write. */
int pr_fences_needed(const struct vw_group *g);

#endif
