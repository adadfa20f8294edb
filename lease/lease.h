/* Entry nodes' leases: one lease for a node's whole view.
 *
 * Holder's side: the lease runs from the *sending* of the renewal, less a drift allowance.
 * Giver's side: it runs from the granting, so it always ends later than the holder's. */
#ifndef FL_LEASE_LEASE_H
#define FL_LEASE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

enum { LS_MAX_OUTSTANDING = 16, LS_MAX_NODES = 1024, LS_DRIFT_PERMILLE = 10 };

/* ---- holder ---- */

struct ls_holder {
    int64_t until;
    uint64_t seq; /* of the last renewal sent */
    int64_t sent[LS_MAX_OUTSTANDING];
};

/* A renewal leaves now; returns its number. */
uint64_t ls_renewal_sent(struct ls_holder *h, int64_t now);
/* When renewal `seq` was sent; 0: it is not known any more. */
int64_t ls_renewal_sent_at(const struct ls_holder *h, uint64_t seq);
/* The grant for renewal `seq` came. An answer too old to know when it was asked for is
 * ignored. */
void ls_granted(struct ls_holder *h, uint64_t seq, int64_t duration_us);
static inline bool ls_live(const struct ls_holder *h, int64_t now)
{
    return now < h->until;
}

/* ---- giver ---- */

struct ls_node {
    uint64_t id; /* drawn at the node's start: a restarted node is another one */
    int64_t until;
    uint64_t acked; /* generation it has applied */
};

struct ls_grantor {
    int64_t lease_us;
    int64_t began_at;  /* when this leader began; earlier leaders' leases may be out */
    bool first_leader; /* no leader was before: no older leases */
    int n;
    struct ls_node nodes[LS_MAX_NODES];
};

/* A leader begins. `first`: the cluster was just made. */
void ls_grantor_begin(struct ls_grantor *g, int64_t lease_us, int64_t now, bool first);
/* How long a renewal asked for by `id` may be granted now, in microseconds; 0 refuses.
 * `vouched_until` comes from the agreement core: past it this leader may be replaced and does
 * not know. */
int64_t ls_grant(struct ls_grantor *g, uint64_t id, int64_t vouched_until, int64_t now);
/* The node has applied `generation`. */
void ls_acked(struct ls_grantor *g, uint64_t id, uint64_t generation);
/* The node gave its lease back (a planned stop). */
void ls_released(struct ls_grantor *g, uint64_t id);
/* Whether every node that may hold a live lease has applied `generation`: no node acts on an
 * older view any more. Leases of earlier leaders count until they must have run out. */
bool ls_all_applied(const struct ls_grantor *g, uint64_t generation, int64_t now);
/* The same for the nodes that this leader knows, whatever earlier leaders gave: enough where
 * the endpoints' fences carry the safety and waiting only spares callers a refusal. */
bool ls_known_applied(const struct ls_grantor *g, uint64_t generation, int64_t now);
/* Whether leases of an earlier leader may still be out. */
bool ls_earlier_leases(const struct ls_grantor *g, int64_t now);
/* Nodes with a live lease, and how many of them have `generation`. */
int ls_count_live(const struct ls_grantor *g, uint64_t generation, int64_t now, int *have);
bool ls_node_live(const struct ls_grantor *g, uint64_t id, int64_t now);

#endif
