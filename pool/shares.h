/* Shares of an instance's scarce connections, dealt out by the control leader.
 *
 * Invariant, at every step: for each instance, the sum over entry nodes of what each may hold
 * is at most the instance's limit less the reserve. A node's share shrinks only when the node
 * has confirmed it, or its lease has run out; then one connection stays counted for
 * forget_us, since a node without a lease keeps one for reads that need none. */
#ifndef FL_POOL_SHARES_H
#define FL_POOL_SHARES_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/clock.h"
#include "misc/index.h"

enum {
    SH_ID_SIZE = 48,
    /* Renewals that name an instance, from the last on at which something was held or wanted
     * there. Origin: a lease has six (entry/link.c), and one may be lost with its leader. */
    SH_NAMED_RENEWALS = 4,
};
#define SH_FORGET_US CK_SEC(60) /* the default of forget_us */

struct sh_node {
    uint64_t id;
    int counted;         /* the most it may hold, as far as can be known */
    int target;          /* what it is told */
    int want;            /* what it asked for */
    bool gets_extra;     /* it gets one of those left over the water level */
    uint64_t sent_seq;   /* number of the message that told it `target` */
    int64_t lease_until; /* of its lease, drift included */
};

struct sh_inst {
    char id[SH_ID_SIZE];
    int limit, reserve;
    int n, cap;
    int64_t next_expiry; /* dealt anew at the latest then */
    struct sh_node *nodes;
};

struct sh_table {
    int64_t forget_us;       /* 0: SH_FORGET_US */
    int64_t no_grants_until; /* earlier leaders' shares may be out until then */
    int n, cap;
    struct sh_inst *inst;
    struct ix_index by_id; /* numbers in `inst` */
    int last_found; /* the instance asked for last: a renewal asks for it several times */
};

/* Whether a node's next renewal is to name an instance where it has `held` connections and
 * would use `want`. What was given up is said a few times more, as a renewal may be lost with
 * its leader; then not: most nodes have to do with few of many instances. `left` is the node's,
 * 0 at first: how many renewals still name the instance. */
bool sh_name_in_renewal(int *left, uint32_t held, uint32_t want);

/* A leader begins at `now`; shares dealt by an earlier one may be held until `quiet_until`. */
void sh_begin(struct sh_table *t, int64_t quiet_until);
void sh_free(struct sh_table *t);
void sh_set_instance(struct sh_table *t, const char *id, int limit, int reserve);
void sh_drop_instance(struct sh_table *t, const char *id);
/* A node's renewal: it may hold `held`, would use `want`, has applied message `seq`; its lease
 * runs to `until`. Returns whether dealing anew could change anything. */
bool sh_report(struct sh_table *t, const char *inst, uint64_t node, int held, int want,
               uint64_t seq, int64_t until, int64_t now);
/* Deal anew. Returns whether any target changed. */
bool sh_balance(struct sh_table *t, const char *inst, int64_t now);
/* Whether the node's target has changed since it was told. */
bool sh_has_unsent_target(struct sh_table *t, const char *inst, uint64_t node);
/* What to tell the node in message `seq`. */
int sh_target_to_send(struct sh_table *t, const char *inst, uint64_t node, uint64_t seq);
/* Sum of all that may be held; the invariant's left side. */
int sh_counted(const struct sh_table *t, const char *inst);

#endif
