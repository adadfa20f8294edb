/* The statements that a VM can serve for other nodes, from its settings. Pure; used by entry
 * nodes and by control.
 *
 * A node that holds connections for callers elsewhere passes each statement twice in each
 * direction over its link, and spends processor time on it. */
#ifndef FL_ROUTE_CAPACITY_H
#define FL_ROUTE_CAPACITY_H

#include <stdint.h>

enum { CP_MAX_STATEMENTS_PER_S = 10000000 }; /* upper bound for a node's reported capacity */

/* Statements per second that a VM can serve for others in addition to its own work, limited by
 * the weaker of its link (kbit/s in each direction) and its processor (thousandths of a core).
 * A value of 0 means unknown; the other one counts. Returns 0 if both are unknown. */
int cp_statements_per_s(int64_t link_kbps, int64_t core_permille);

#endif
