/* Assigns client accounts to the holders of a group. Pure; called by the proxy.
 *
 * Accounts may differ much in size. An account's statements meet at one holder, so that its few
 * connections serve all of them. By hashing alone, one node may get several large accounts and
 * be saturated while other holders are idle. Here accounts are placed by the size that their
 * limits declare, largest first, each on the holder that hashing prefers among those with room;
 * an account larger than a holder's part is divided over several.
 *
 * The result depends only on the document and the list of nodes, so that every node with the
 * same two computes the same placement; a node with an older list causes an extra hop, not an
 * inconsistency. */
#ifndef FL_ROUTE_PLACEMENT_H
#define FL_ROUTE_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "route/holders.h"

enum { PL_MAX_PARTS = 4 }; /* maximum holders of one account in a group */

struct pl_account {
    const char *name;
    double size; /* operations per second that its limit allows; 0: unknown */
};

struct pl_placement {
    uint8_t n;
    uint8_t holder[PL_MAX_PARTS]; /* indices into the group's holders */
};

/* Places all accounts; `out` gets one placement per account. n_holders must be above 0. */
void pl_place_accounts(const struct pl_account *accounts, int n, const struct ho_node *nodes,
                       const uint16_t *holders, int n_holders, const char *group,
                       struct pl_placement *out);

#endif
