/* Which entry nodes hold connections to a group's instances.
 *
 * With more entry nodes than an instance has connections, a node's share would fall below one:
 * then k nodes hold a group, and the others forward to them. Rendezvous hashing: every node
 * that knows the same list picks the same holders; a node that comes or goes moves only its own
 * groups. Holders are spread over failure domains as evenly as the nodes allow.
 *
 * Pattern: nodes of very different size. A holder's link carries each relayed statement four
 * times, so a small VM that holds a group is full while a large one beside it idles: strong
 * nodes are picked first, as soon as each failure domain has one holder.
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
    int carries; /* statements a second, route/capacity.h; 0: not told */
    /* by ho_prepare: */
    uint64_t hash;    /* of the name */
    int domain_index; /* number of the failure domain, below HO_DOMAINS */
    bool strong;      /* it carries a good part of what the strongest node does */
};

/* Once a list: what every pick from it needs. At the target a list has 460 nodes and 940 groups
 * are picked from it. */
void ho_prepare(struct ho_node *nodes, int n);

/* The holders of `group`, best first, of a prepared list, as indices into nodes; at most k and
 * HO_MAX_HOLDERS. Returns how many. */
int ho_pick(const struct ho_node *nodes, int n, const char *group, int k, int *out);
/* How many of the nodes are strong, and what these carry together, statements a second; if none
 * tells what it carries, all are strong and that is 0. */
int ho_count_strong(const struct ho_node *nodes, int n, int64_t *carry);
/* Failure domains in which no node is strong. */
int ho_count_domains_without_strong(const struct ho_node *nodes, int n);
/* Order `n` holders (indices into nodes) for an account of a group: rendezvous hashing once
 * more, so that an account's statements meet at the first of them, and at the same next one if
 * that is gone. `order` gets numbers in `holders`. */
void ho_order(const struct ho_node *nodes, const uint16_t *holders, int n, const char *group,
              const char *account, int *order);
/* Whether the node called `self` is one of them. With k <= 0, or no more than k nodes, all are.
 */
bool ho_is_holder(const struct ho_node *nodes, int n, const char *group, int k,
                  const char *self);

#endif
