/* Limits of client accounts: operations per second and a burst, over all nodes together.
 *
 * Pure: no input, output or clock. The control leader grants permits, one for each operation,
 * to the nodes where an account's operations begin. A node keeps a small pool of permits, so
 * that operations below the limit need not wait for one. docs/design/accounts.md has the
 * complete argument; in short:
 *
 * - Permits that are not used yet are either in the account's bucket at the leader or
 *   outstanding, at nodes. Together they are at most the depth of the bucket, and new permits
 *   are added at a steady refill rate. An outstanding permit is counted until its holder
 *   reports it as used, or until the holder has not renewed it for LM_PERMIT_LIFE_US: then the
 *   permit expires.
 * - A new leader does not know the permits that earlier leaders granted. They are at most
 *   LM_OUTSTANDING_PART of the depth. Until they have expired, the bucket, which is empty at
 *   first, fills at the account's rate, but the bound on the unused permits of the new leader
 *   grows so slowly that these, together with those of any leader that led for a moment before
 *   it, are never more than the rest of the depth. Permits that are reported as used make room
 *   for others.
 * - So the operations that begin in any window are at most depth + refill rate x window. Depth
 *   and refill rate are chosen so that this is rate x window + burst + four fifths of the
 *   tolerance. */
#ifndef FL_LIMIT_LIMIT_H
#define FL_LIMIT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/clock.h"
#include "misc/index.h"

enum {
    LM_NAME = IX_NAME,
    LM_MAX_PERMITS = 1000000, /* maximum number of permits in a message */
    /* Permits expire this long after the last renewal that was answered. It is the duration of
     * the platform's lease. A lost leader is replaced within 0.4 s and a control VM is back
     * after 1.2 to 1.5 s; operations that begin in the meantime use permits that their node
     * has. */
    LM_PERMIT_LIFE_US = 1200000,
};
/* Part of the depth that may be outstanding at most. */
#define LM_OUTSTANDING_PART 0.55
/* While less than this part of the depth is outstanding, a node gets as many permits as it
 * wants. Above it each grant is one permit, for an operation that waits. */
#define LM_PREFETCH_PART 0.45

/* How exactly limits are kept: in any window the operations of an account are at most
 * (rate x window + burst) x (1 + overrun) + slack. */
struct lm_tolerance {
    double window_s;
    double overrun;
    double slack; /* operations */
};

/* ---- allocator: the leader ---- */

/* A node with permits of an account. */
struct lm_holder {
    uint64_t node;
    double outstanding; /* upper bound of the permits that the node has */
    double own;         /* part of them that this leader granted before earlier_permits_until */
    uint64_t grant_seq; /* number of the message with the last grant */
};

struct lm_account {
    char name[LM_NAME];
    double rate, burst; /* operations per second, operations */
    double level;       /* permits in the bucket at the time `at` */
    int64_t at;
    int64_t last_plentiful; /* last time at which permits of the account were not scarce */
    bool set_since_sweep;   /* lm_set was called since the last lm_sweep */
    int n, cap;
    struct lm_holder *holders;
};

/* The permits of a node are valid until the end of its lease. */
struct lm_lease {
    uint64_t node;
    int64_t until;
};

struct lm_allocator {
    struct lm_tolerance tolerance;
    int64_t leader_since;          /* start of the leadership */
    int64_t earlier_permits_until; /* permits of earlier leaders may be valid until then */
    int n, cap;
    struct lm_account *accounts;
    struct ix_index by_name; /* indexes into `accounts` */
    int n_leases, cap_leases;
    struct lm_lease *leases;
};

/* Part of a renewal: the permits of one account at a node. */
struct lm_report {
    int held;     /* permits at the node */
    int want;     /* permits that the node would like to hold in total */
    int returned; /* permits that the node gives back; not part of `held` */
};

/* The leader's reply to a report. */
struct lm_grant {
    int given; /* permits granted */
    /* If above 0: nothing was granted because the account is over its limit; the next permit is
     * expected after this time. 0: the account is not over its limit, and the node may request
     * again. */
    int64_t over_us;
};

/* Initializes the allocator of a new leader with empty buckets. `first`: there was no leader
 * before. */
void lm_begin(struct lm_allocator *g, const struct lm_tolerance *t, bool first, int64_t now);
void lm_free(struct lm_allocator *g);
/* Sets the limit of an account. */
void lm_set(struct lm_allocator *g, const char *name, double rate, double burst, int64_t now);
/* Removes the limits of all accounts that were not set since the last sweep. */
void lm_sweep(struct lm_allocator *g);
/* Renews the lease of a node and thereby its permits. Called before the reports of the same
 * renewal are handled. If not `stays`, the node is stopping: its lease and permits end. */
void lm_renewed(struct lm_allocator *g, uint64_t node, bool stays, int64_t now);
/* Handles a report of a node that has applied message `applied_seq`, and fills the grant that
 * is sent in message `seq`. Returns false if the account has no limit. */
bool lm_handle_report(struct lm_allocator *g, const char *name, uint64_t node,
                      const struct lm_report *r, uint64_t applied_seq, uint64_t seq,
                      int64_t now, struct lm_grant *out);
/* Upper bound of the account's permits that are outstanding. */
double lm_outstanding(const struct lm_allocator *g, const char *name, int64_t now);

/* ---- pool: a node where operations begin ---- */

enum lm_verdict {
    LM_ADMIT,  /* a permit was taken */
    LM_WAIT,   /* the node has no permit; one is requested from the leader */
    LM_REFUSE, /* the account is over its limit */
};

/* Classes of operations in the order in which they are served: priority 0, 1, and all others.
 */
enum { LM_CLASSES = 3 };

/* Demand of a class: its operations, whether or not they get a permit. */
struct lm_demand {
    double rate;   /* operations per second, smoothed */
    int64_t at;    /* time of the last operation */
    int n_refused; /* refusals since the last permit */
};

/* An account's permits at a node. A zero-initialized pool is empty, and the leader knows that.
 *
 * An account may request several times its limit. If permits were taken in order of arrival,
 * reads that can wait would take them while more urgent operations of the same account are
 * refused. So while permits are scarce, a class leaves the permits that the classes before it
 * are expected to take before the next renewal. */
struct lm_pool {
    int held;             /* permits; below 0: attempts that ran without one */
    double rate;          /* operations per second, smoothed */
    int64_t at;           /* time of the last operation */
    int waiting;          /* operations that found no permit since the last grant */
    int64_t over_until;   /* the account is over its limit until then; 0: it is not */
    int n_requested;      /* permits requested in the last report of the account */
    int64_t scarce_until; /* permits count as scarce until then */
    struct lm_demand demand[LM_CLASSES];
    int reported_held; /* permits that the leader counts for this node, as far as the node
                     knows; below 0: the leader knows nothing of this node */
};

/* Takes a permit for an operation that begins. A permit that was taken counts as used, even if
 * the operation is not sent to an instance in the end: the leader may have written it off in
 * the meantime, so that it can't be given back. */
enum lm_verdict lm_take(struct lm_pool *s, int priority, int64_t now);
/* Time from now after which an operation over the limit should be retried. */
int64_t lm_retry_us(const struct lm_pool *s, int64_t now);
/* Charges a permit for a second attempt of an admitted operation. The attempt does not wait for
 * a permit. */
void lm_charge_retry(struct lm_pool *s);
/* Fills the report for the next renewal, giving back permits that are too many. Returns false
 * if there is nothing to report. */
bool lm_make_report(struct lm_pool *s, int64_t now, struct lm_report *out);
void lm_apply_grant(struct lm_pool *s, const struct lm_grant *a, int64_t now);
/* The permits of the node have expired. */
void lm_expire(struct lm_pool *s);
/* Called for a new leader, which does not know the permits of this node: the next
 * lm_make_report reports them in any case. */
void lm_forget_reported(struct lm_pool *s);

#endif
