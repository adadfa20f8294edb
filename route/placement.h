/* Which holders of a group serve which client account.
 *
 * Pattern: accounts of very different size. An account's statements meet at one holder, so that
 * its few connections serve all of them; by hashing alone one node gets several large accounts
 * and is full while the holders beside it are idle. Here accounts are placed by the size that
 * their limits declare, largest first, each on the holder that hashing prefers among those that
 * have room; an account that is larger than a holder's part is divided over several.
 *
 * Pure. It follows from the document and the list of nodes alone, so that every node that has
 * the same two finds the same places; one with an older list costs a hop, no promise. */
#ifndef FL_ROUTE_PLACEMENT_H
#define FL_ROUTE_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "route/holders.h"

enum { PL_MAX_PARTS = 4 }; /* holders of one account in a group, at most */

struct pl_account {
    const char *name;
    double size; /* operations a second that its limit allows; 0: not told */
};

struct pl_placement {
    uint8_t n;
    uint8_t holder[PL_MAX_PARTS]; /* numbers in the group's holders */
};

/* Place each of the accounts; `out` gets one place for each. n_holders is above 0. */
void pl_place_accounts(const struct pl_account *accounts, int n, const struct ho_node *nodes,
                       const uint16_t *holders, int n_holders, const char *group,
                       struct pl_placement *out);

#endif
