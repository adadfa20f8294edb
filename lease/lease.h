/* Leases of entry nodes: a node acts on its view only while it holds a lease, one for the whole
 * view.
 *
 * For the holder (an entry node) a lease runs from the *sending* of the renewal, minus an
 * allowance for clock drift. For the grantor (the leader) it runs from the granting, so it
 * always ends later than for the holder. Pure; times are microseconds of the process's
 * monotonic clock. */
#ifndef FL_LEASE_LEASE_H
#define FL_LEASE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* LS_MAX_OUTSTANDING: renewals whose time of sending is remembered; LS_DRIFT_PERMILLE:
 * allowance for the difference in clock rates, per thousand of a lease's duration. */
enum { LS_MAX_OUTSTANDING = 16, LS_MAX_NODES = 1024, LS_DRIFT_PERMILLE = 10 };

/* ---- holder ---- */

struct ls_holder {
    int64_t until; /* end of the lease */
    uint64_t seq;  /* number of the last renewal sent */
    int64_t sent[LS_MAX_OUTSTANDING];
};

/* Records that a renewal is sent now; returns its number. */
uint64_t ls_renewal_sent(struct ls_holder *h, int64_t now);
/* When renewal `seq` was sent; 0: the time is not known any more. */
int64_t ls_renewal_sent_at(const struct ls_holder *h, uint64_t seq);
/* The grant for renewal `seq` was received. It is ignored if the renewal's time of sending is
 * not known any more. */
void ls_granted(struct ls_holder *h, uint64_t seq, int64_t duration_us);
/* Whether the lease is valid. */
static inline bool ls_live(const struct ls_holder *h, int64_t now)
{
    return now < h->until;
}

/* ---- grantor ---- */

struct ls_node {
    uint64_t id;    /* random, chosen at the node's start: a restarted node has a new id */
    int64_t until;  /* end of the lease; 0: released */
    uint64_t acked; /* newest generation that the node has applied */
};

struct ls_grantor {
    int64_t lease_us;
    int64_t began_at; /* when this leader began; leases of earlier leaders may still be valid */
    bool first_leader; /* there was no earlier leader, so there are no earlier leases */
    int n;
    struct ls_node nodes[LS_MAX_NODES];
};

/* A new leader begins. `first`: the cluster was just created. */
void ls_grantor_begin(struct ls_grantor *g, int64_t lease_us, int64_t now, bool first);
/* Grants a renewal to node `id`; returns the lease's duration, 0 if it is refused.
 * `confirmed_until` comes from the quorum: after it this leader may have been replaced without
 * knowing it. */
int64_t ls_grant(struct ls_grantor *g, uint64_t id, int64_t confirmed_until, int64_t now);
/* The node has applied `generation`. */
void ls_acked(struct ls_grantor *g, uint64_t id, uint64_t generation);
/* The node released its lease (a planned stop). */
void ls_released(struct ls_grantor *g, uint64_t id);
/* Whether every node that may hold a live lease has applied `generation`, so that no node acts
 * on an older view any more. Leases of earlier leaders count until they must have expired. */
bool ls_all_applied(const struct ls_grantor *g, uint64_t generation, int64_t now);
/* The same for the nodes that this leader has granted leases to, without leases of earlier
 * leaders: sufficient where the endpoints' fences guarantee safety and waiting only avoids
 * refused requests of callers. */
bool ls_known_applied(const struct ls_grantor *g, uint64_t generation, int64_t now);
/* Whether leases of an earlier leader may still be valid. */
bool ls_earlier_leases(const struct ls_grantor *g, int64_t now);
/* Number of nodes with a live lease; *have: how many of them have applied `generation`. */
int ls_count_live(const struct ls_grantor *g, uint64_t generation, int64_t now, int *have);
/* Whether node `id` may hold a live lease. */
bool ls_node_live(const struct ls_grantor *g, uint64_t id, int64_t now);

#endif
