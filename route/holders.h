/* Chooses the entry nodes that hold connections to a group's instances. Pure; an outdated list
 * of nodes costs an extra hop or a refusal, never consistency.
 *
 * With more entry nodes than an instance accepts connections, a node's share would be below
 * one. Instead, k nodes hold a group and the others relay to them. Rendezvous hashing lets
 * every node with the same list choose the same holders; a node that joins or leaves moves only
 * its own groups. Holders are spread over failure domains as evenly as the nodes allow.
 *
 * Nodes may differ much in size. A holder's link carries each relayed statement four times, so
 * a small VM that holds a group is saturated while a large one is idle: once each failure
 * domain has a holder, strong nodes are chosen first. */
#ifndef FL_ROUTE_HOLDERS_H
#define FL_ROUTE_HOLDERS_H

#include <stdbool.h>
#include <stdint.h>

enum { HO_MAX_NODES = 1024, HO_MAX_HOLDERS = 16, HO_DOMAINS = 16 };

struct ho_node {
    char name[32]; /* the same after a restart */
    char domain[32];
    char ip[46]; /* for callers and for relayed sessions */
    int port;
    /* Statements per second that it can serve for others, route/capacity.h; 0: unknown. */
    int carries;
    /* set by ho_prepare: */
    uint64_t hash;    /* hash of the name */
    int domain_index; /* index of the failure domain, below HO_DOMAINS */
    bool strong;      /* its `carries` is at least 1/4 of the strongest node's */
};

/* Computes what every pick from the list needs; call once per list. In the target deployment
 * 940 groups are picked from a list of 460 nodes. */
void ho_prepare(struct ho_node *nodes, int n);

/* Chooses at most k holders of `group`, limited to HO_MAX_HOLDERS, from a prepared list. Writes
 * their indices in `nodes` to `out`, best first, and returns their number. */
int ho_pick(const struct ho_node *nodes, int n, const char *group, int k, int *out);
/* Returns the number of strong nodes, and in *carry the statements per second that they can
 * serve together. If no capacity is known, all nodes are strong and *carry is 0. */
int ho_count_strong(const struct ho_node *nodes, int n, int64_t *carry);
/* The number of failure domains without a strong node. */
int ho_count_domains_without_strong(const struct ho_node *nodes, int n);
/* Sorts `n` holders (indices into nodes) for an account of a group, again by rendezvous
 * hashing, so that an account's statements meet at the first holder, and at the same next one
 * if that is down. `order` gets indices into `holders`. */
void ho_order(const struct ho_node *nodes, const uint16_t *holders, int n, const char *group,
              const char *account, int *order);
/* Whether the node named `self` is one of the k holders. If k <= 0 or there are at most k
 * nodes, all nodes are. */
bool ho_is_holder(const struct ho_node *nodes, int n, const char *group, int k,
                  const char *self);

#endif
