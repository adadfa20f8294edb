/* Shares of an instance's connections, assigned to entry nodes by the control leader.
 *
 * Invariant, at every step: for each instance, the sum over entry nodes of the connections that
 * each may hold is at most the instance's limit minus the reserve. A node's share shrinks only
 * when the node has confirmed it or its lease has expired; after expiry one connection stays
 * counted for forget_us, since a node without a lease keeps one for reads that need no lease.
 */
#ifndef FL_POOL_SHARES_H
#define FL_POOL_SHARES_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/clock.h"
#include "misc/index.h"

enum {
    SH_ID_SIZE = 48,
    /* Number of renewals that name an instance, counted from the last one with connections held
     * or wanted there. A lease has six renewals (entry/link.c), and one may be lost with its
     * leader. */
    SH_NAMED_RENEWALS = 4,
};
#define SH_FORGET_US CK_SEC(60) /* default of forget_us */

struct sh_node {
    uint64_t id;
    int counted;         /* upper bound of the connections that it may hold */
    int target;          /* share that is sent to it */
    int want;            /* connections that it requested */
    bool gets_extra;     /* it gets one of the connections left above the water level */
    uint64_t sent_seq;   /* number of the message that sent it `target`; UINT64_MAX: not sent */
    int64_t lease_until; /* end of its lease, including clock drift */
};

struct sh_inst {
    char id[SH_ID_SIZE];
    int limit, reserve;
    int n, cap;
    int64_t next_expiry; /* shares are recomputed then at the latest */
    struct sh_node *nodes;
};

struct sh_table {
    int64_t forget_us;       /* 0: SH_FORGET_US */
    int64_t no_grants_until; /* shares of earlier leaders may be in use until then */
    int n, cap;
    struct sh_inst *inst;
    struct ix_index by_id; /* indices into `inst` */
    /* Index of the last instance found, since a renewal looks up the same one several times. */
    int last_found;
};

/* Whether a node's next renewal must name an instance where it has `held` connections and would
 * use `want`. After both have become 0 a few more renewals name it, as a renewal may be lost
 * with its leader; then none do, as most nodes use few of many instances. `left` belongs to the
 * node, is 0 at first and counts the renewals that still name the instance. */
bool sh_name_in_renewal(int *left, uint32_t held, uint32_t want);

/* A leader begins; shares assigned by an earlier leader may be held until `no_grants_until`. */
void sh_begin(struct sh_table *t, int64_t no_grants_until);
void sh_free(struct sh_table *t);
void sh_set_instance(struct sh_table *t, const char *id, int limit, int reserve);
void sh_drop_instance(struct sh_table *t, const char *id);
/* A node's renewal: it may hold `held` connections, would use `want`, and has applied message
 * `seq`; its lease ends at `until`. Returns whether sh_balance could change anything. */
bool sh_report(struct sh_table *t, const char *inst, uint64_t node, int held, int want,
               uint64_t seq, int64_t until, int64_t now);
/* Recomputes the shares. Returns whether any target changed. */
bool sh_balance(struct sh_table *t, const char *inst, int64_t now);
/* Whether the node's target has changed since it was last sent. */
bool sh_has_unsent_target(struct sh_table *t, const char *inst, uint64_t node);
/* The target to send to the node in message `seq`. */
int sh_target_to_send(struct sh_table *t, const char *inst, uint64_t node, uint64_t seq);
/* The sum of the connections that may be held; the left side of the invariant. */
int sh_counted(const struct sh_table *t, const char *inst);

#endif
