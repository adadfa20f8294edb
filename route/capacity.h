/* What a VM can serve for others, from what its settings say of it.
 *
 * A node that holds connections for callers elsewhere passes each statement twice in each
 * direction over its link, and works on it. Pure. */
#ifndef FL_ROUTE_CAPACITY_H
#define FL_ROUTE_CAPACITY_H

#include <stdint.h>

enum {
    CP_MAX_STATEMENTS_PER_S = 10000000
}; /* statements a second that a node may say it serves, at most */

/* Statements a second that a VM can serve for others beside its own work, by the weaker of its
 * link (kbit/s each way) and its processor (thousandths of a core); 0 of either: not told, the
 * other one counts. 0: neither is told. */
int cp_statements_per_s(int64_t link_kbps, int64_t core_permille);

#endif
