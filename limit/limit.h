/* Limits of client accounts: operations a second and a burst, over all nodes together.
 *
 * Pure. The control leader gives out permits, one for each operation, to the nodes where an
 * account's operations begin; a node keeps a few at hand, so that an operation waits for none
 * in calm times. docs/design/accounts.md has the argument; in short:
 *
 * - Permits that nobody used yet are in the bucket or out. Together they are at most its depth,
 *   and new ones come at a steady flow. Those that are out are counted until their holder
 *   reports them used, or has not renewed them for LM_LIFE_US: then they end.
 * - A new leader knows nothing of permits of the ones before: at most `LM_OUT_PART` of the
 *   depth. Until those have ended its bucket, empty at first, fills at the account's rate, but
 *   what of its own permits is unused grows so slowly that all of it and of whoever led for a
 *   moment before it is no more than the rest of the depth. Those reported used make room.
 * - So the operations that begin in any window are at most depth + flow x window, and these are
 *   such that it is rate x window + burst and four fifths of the tolerance. */
#ifndef FL_LIMIT_LIMIT_H
#define FL_LIMIT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/clock.h"
#include "misc/index.h"

enum {
    LM_NAME = IX_NAME,
    LM_MOST = 1000000, /* permits that one message may name */
    /* Permits end so long after the renewal that was answered last. Origin: the platform's
     * lease; a leader that is lost is replaced within 0.4 s, a control VM is back after 1.2
     * to 1.5 s, and what begins meanwhile begins with permits that are there. */
    LM_LIFE_US = 1200000,
};
/* Of the depth, what may be out; and up to which a node is given as many as it wants, while
 * beyond it each answer has one, for an operation that waits. */
#define LM_OUT_PART 0.55
#define LM_STOCK_PART 0.45

/* How exactly limits are to be kept: in any window the operations of an account are at most
 * (rate x window + burst) x (1 + overrun) + slack. */
struct lm_tolerance {
    double window_s;
    double overrun;
    double slack; /* operations */
};

/* ---- giver: the leader ---- */

/* A node with permits of an account. */
struct lm_holder {
    uint64_t node;
    double outstanding; /* permits it may have, at most */
    double own; /* of them, those that this leader gave while earlier ones' might be out */
    uint64_t grant_seq; /* number of the message that gave it the last ones */
};

struct lm_account {
    char name[LM_NAME];
    double rate, burst;
    double level; /* permits in the bucket, at `at` */
    int64_t at;
    int64_t last_plentiful; /* when more than a part of the depth was unused last */
    bool set_since_sweep;   /* by lm_set, since lm_sweep */
    int n, cap;
    struct lm_holder *holders;
};

struct lm_lease {
    uint64_t node;
    int64_t until;
};

struct lm_giver {
    struct lm_tolerance tolerance;
    int64_t leader_since;          /* it leads */
    int64_t earlier_permits_until; /* permits of earlier leaders may be out until then */
    int n, cap;
    struct lm_account *accounts;
    struct ix_index by_name; /* numbers in `accounts` */
    int n_leases, cap_leases;
    struct lm_lease *leases;
};

/* What a renewal says of an account. */
struct lm_report {
    int held;     /* permits at hand */
    int want;     /* it would have so many */
    int returned; /* permits that it gives back, not in `held` any more */
};

/* What it is answered. */
struct lm_answer {
    int given;
    /* Nothing was given, as the account is over its limit; the next permit is there then.
     * 0: it is not over it, ask again. */
    int64_t over_us;
};

/* A leader begins: its bucket of each account is empty. `first`: nobody led before. */
void lm_begin(struct lm_giver *g, const struct lm_tolerance *t, bool first, int64_t now);
void lm_free(struct lm_giver *g);
/* An account's limit is this from now on. */
void lm_set(struct lm_giver *g, const char *name, double rate, double burst, int64_t now);
/* Accounts that were not set since the last sweep have no limit any more. */
void lm_sweep(struct lm_giver *g);
/* The node has renewed, before its reports are taken: its permits live on. Not `stays`: it
 * ends, and they with it. */
void lm_renewed(struct lm_giver *g, uint64_t node, bool stays, int64_t now);
/* Take a report of a node that has applied message `has`, and answer in message `seq`. False:
 * the account has no limit. */
bool lm_ask(struct lm_giver *g, const char *name, uint64_t node, const struct lm_report *r,
            uint64_t applied_seq, uint64_t seq, int64_t now, struct lm_answer *out);
/* Permits of the account that may be out, at most. */
double lm_out(const struct lm_giver *g, const char *name, int64_t now);

/* ---- holder: a node where operations begin ---- */

enum lm_verdict {
    LM_GO,   /* a permit was taken */
    LM_WAIT, /* none is at hand; the leader is asked */
    LM_OVER, /* the account is over its limit */
};

/* Of operations, by what is served first: priority 0, 1, and all others. */
enum { LM_CLASSES = 3 };

/* How much of a class is asked for, whether or not it gets a permit. */
struct lm_asked {
    double rate;   /* operations a second, smoothed */
    int64_t at;    /* of the last one */
    int n_refused; /* that were refused since the last permit */
};

/* An account's permits at a node. Zero-initialised is empty, and the leader knows that.
 *
 * Pattern: an account asks for several times its limit. Permits that go to whoever comes first
 * go to reads that can wait while orders of the same account are refused. While permits are
 * scarce a class leaves those permits that the classes before it will ask for in a moment. */
struct lm_stock {
    int held;    /* below 0: attempts that ran without one */
    double rate; /* operations a second, smoothed */
    int64_t at;  /* of the last operation */
    int waiting; /* operations that asked in vain since the last answer */
    int64_t over_until;
    int n_requested;      /* permits asked for with the last renewal that told of the account */
    int64_t scarce_until; /* far fewer came than were asked for, lately */
    struct lm_asked demand[LM_CLASSES];
    int reported_held; /* what the leader takes it to hold, as far as is known here; below 0:
                     the leader knows nothing of this node */
};

/* An operation begins. A permit that was taken is used, also if the operation is sent nowhere
 * in the end: given back, it would be one that the leader may have written off meanwhile. */
enum lm_verdict lm_take(struct lm_stock *s, int priority, int64_t now);
/* When an operation that is over the limit should come again: so long from now. */
int64_t lm_retry_us(const struct lm_stock *s, int64_t now);
/* A second attempt of an admitted operation reaches an instance: it counts, and waits for
 * nothing. */
void lm_extra(struct lm_stock *s);
/* What the next renewal is to say; false: nothing. Permits that are too many are given back. */
bool lm_wants(struct lm_stock *s, int64_t now, struct lm_report *out);
void lm_answered(struct lm_stock *s, const struct lm_answer *a, int64_t now);
/* The permits have ended. */
void lm_void(struct lm_stock *s);
/* Another leader is told anew what is at hand. */
void lm_tell_anew(struct lm_stock *s);

#endif
