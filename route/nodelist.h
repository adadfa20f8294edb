/* Versions of the list of entry nodes, and the changes between them, so that a node is sent
 * only what its list lacks. Pure; used by the control leader and by entry nodes.
 *
 * When some hundred nodes come back within a second, or a new leader begins while all are
 * connected, each node must learn all others. A whole list of 300 nodes takes 11 KB; sent to
 * 300 nodes that is 3.4 MB, a quarter of a second of a link of 100 Mbit/s, during which the
 * leader's heartbeats are queued: longer than an election takes, so the next leader had the
 * same fate. A node therefore reports which list it has and is sent the nodes added and removed
 * since: some 40 bytes per node, and nothing after a mere change of leader.
 *
 * Lists are sorted by name; a list's hash depends on names, domains, addresses and capacities
 * of its nodes. */
#ifndef FL_ROUTE_NODELIST_H
#define FL_ROUTE_NODELIST_H

#include <stdbool.h>
#include <stdint.h>

#include "route/holders.h"

enum {
    /* Lists that a leader keeps. It makes at most ten lists a second, and a node reports its
     * list five times a second; a node that is further behind is sent the whole list. */
    NL_KEPT = 8,
    NL_EMPTY = 1, /* hash of a list that is empty or known to be wrong; hash 0: unknown */
};

struct nl_list {
    uint64_t hash;
    int n;
    struct ho_node *nodes; /* sorted by name */
};

/* The newest lists, a ring buffer. */
struct nl_history {
    struct nl_list kept[NL_KEPT];
    uint64_t n; /* number of lists recorded so far */
};

/* The change from one list to another. Pointers lead into the lists that it was made from, or
 * into a message. */
struct nl_change {
    uint64_t from, to; /* hashes; from = 0: `added` is the whole list */
    int n_added, n_removed;
    const struct ho_node *added[HO_MAX_NODES];
    const char *removed[HO_MAX_NODES]; /* names; a node whose entry changed is in both arrays */
};

/* Sorts by name; returns the list's hash. */
uint64_t nl_sort(struct ho_node *nodes, int n);
/* Records the current list, which is sorted and has this hash. Returns whether it has changed.
 */
bool nl_record(struct nl_history *b, const struct ho_node *nodes, int n, uint64_t hash);
/* The newest list; NULL before the first. */
const struct nl_list *nl_newest(const struct nl_history *b);
/* The change from the list with hash `has` to the newest one; the whole list if `has` is not
 * kept, or if the whole list is shorter. */
void nl_since(const struct nl_history *b, uint64_t has, struct nl_change *out);
/* Applies the change to a node's sorted list of at most HO_MAX_NODES with hash *hash. Returns
 * false without a change if it applies to another list. If the result does not have the
 * expected hash, *hash becomes NL_EMPTY, so that the node requests the whole list. */
bool nl_apply(struct ho_node *nodes, int *n, uint64_t *hash, const struct nl_change *c);
void nl_free(struct nl_history *b);

#endif
