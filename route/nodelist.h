/* The list of entry nodes as it changes: what a node lacks of it, instead of the whole.
 *
 * Pattern: some hundred nodes come back within a second, or a new leader begins while all are
 * there, and each is to know all others. Whole, a list of 300 takes 11 KB; to 300 nodes that is
 * 3.4 MB, a quarter of a second of a link of 100 Mbit/s, in which the leader's heartbeats stand
 * in line behind it: longer than an election takes, so the next leader began the same. A node
 * says which list it has, and is sent what came and went since: some 40 bytes a node, nothing
 * after a mere change of leader.
 *
 * Pure. Lists are sorted by name; a list's hash follows from names, domains, addresses
 * and what nodes carry. */
#ifndef FL_ROUTE_NODELIST_H
#define FL_ROUTE_NODELIST_H

#include <stdbool.h>
#include <stdint.h>

#include "route/holders.h"

enum {
    /* Lists a leader remembers. Origin: it makes at most ten a second, and a node tells which
     * it has five times a second; whoever is further behind gets the whole. */
    NL_KEPT = 8,
    NL_EMPTY = 1, /* the hash of a list without nodes, or of one that went wrong; 0: not told */
};

struct nl_list {
    uint64_t hash;
    int n;
    struct ho_node *nodes; /* sorted by name */
};

/* The newest lists, a ring. */
struct nl_history {
    struct nl_list kept[NL_KEPT];
    uint64_t n; /* noted so far */
};

/* From one list to another. Nodes point into the lists it was made from, or into a message. */
struct nl_change {
    uint64_t from, to; /* hashes; from = 0: `came` is the whole list */
    int n_added, n_removed;
    const struct ho_node *added[HO_MAX_NODES];
    const char *removed[HO_MAX_NODES]; /* names; a node that moved stands in both */
};

/* Sort by name; returns the list's hash. */
uint64_t nl_sort(struct ho_node *nodes, int n);
/* The list is now this, sorted, of this hash. Returns whether that is news. */
bool nl_record(struct nl_history *b, const struct ho_node *nodes, int n, uint64_t hash);
/* The newest list, NULL before the first. */
const struct nl_list *nl_newest(const struct nl_history *b);
/* What a node that has list `has` lacks of the newest; the whole if `has` is not kept, or if
 * that is shorter. */
void nl_since(const struct nl_history *b, uint64_t has, struct nl_change *out);
/* Carry the change out on a node's list of at most HO_MAX_NODES, sorted, with hash *hash.
 * False, and nothing is changed: it belongs to another list. What does not lead to the hash it
 * names leaves *hash NL_EMPTY, so that the node asks for the whole. */
bool nl_apply(struct ho_node *nodes, int *n, uint64_t *hash, const struct nl_change *c);
void nl_free(struct nl_history *b);

#endif
