/* Which entry nodes hold connections to a group's instances.
 *
 * With more entry nodes than an instance has connections, a node's share would fall below one:
 * then k nodes hold a group, and the others forward to them. Rendezvous hashing: every node
 * that knows the same list picks the same holders; a node that comes or goes moves only its own
 * groups. Holders are spread over failure domains as evenly as the nodes allow.
 *
 * Pure. A stale list costs a hop or a refusal, never a promise. */
#ifndef FL_ROUTE_HOLDERS_H
#define FL_ROUTE_HOLDERS_H

#include <stdbool.h>
#include <stdint.h>

enum { HO_MAX_NODES = 1024, HO_MAX_HOLDERS = 16, HO_DOMAINS = 16 };

struct ho_node {
    char name[32]; /* stable over restarts */
    char domain[32];
    char ip[46]; /* for callers and for forwarding */
    int port;
    /* by ho_prepare: */
    uint64_t hash; /* of the name */
    int place;     /* number of the failure domain, below HO_DOMAINS */
};

/* Once a list: what every pick from it needs. At the target a list has 460 nodes and 940 groups
 * are picked from it. */
void ho_prepare(struct ho_node *nodes, int n);

/* The holders of `group`, best first, of a prepared list, as indices into nodes; at most k and
 * HO_MAX_HOLDERS. Returns how many. */
int ho_pick(const struct ho_node *nodes, int n, const char *group, int k, int *out);
/* Of `n` holders (indices into nodes) the one that is `nth` for an account, from 0 on:
 * rendezvous hashing once more, so that an account's statements meet at one of them, and at the
 * same next one if that is gone. */
int ho_for_account(const struct ho_node *nodes, const uint16_t *holders, int n,
                   const char *account, int nth);
/* Whether the node called `self` is one of them. With k <= 0, or no more than k nodes, all are.
 */
bool ho_holds(const struct ho_node *nodes, int n, const char *group, int k, const char *self);

#endif
