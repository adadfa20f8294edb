/* Limits connection attempts at instances that accept fewer connections than this node's share.
 * Pure; called by conn.c and pool.c.
 *
 * An instance keeps the connections of VMs that lost power for some seconds, so a node that
 * starts after a power loss has shares that it can't use yet. If the node kept trying at each
 * instance, accounts would not take turns on the connections that exist, and the instance would
 * refuse hundreds of attempts. After a refusal the node therefore keeps the connections it has,
 * and tries one of its instances at a time: VMs that failed together are timed out together, so
 * the result of one attempt holds for all instances. */
#ifndef FL_PROXY_SATURATION_H
#define FL_PROXY_SATURATION_H

#include <stdbool.h>
#include <stdint.h>

/* The last refusal of one instance. Zero-initialized: none. */
struct px_saturation {
    int64_t refused_at; /* when it refused a connection as too many; 0: it did not */
    int open_conns;     /* connections that were open at that time */
};

/* State shared by all instances of a node. */
struct px_saturation_common {
    int64_t next_try_at; /* earliest time of the next attempt at a saturated instance */
    int64_t freed_at;    /* when a saturated instance last accepted a connection */
};

/* Whether to try one more connection in addition to `conns`. */
bool px_saturation_may_open(const struct px_saturation *f,
                            const struct px_saturation_common *all, int conns, int64_t now);
/* A connection is being opened in addition to `conns`. */
void px_saturation_opening(const struct px_saturation *f, struct px_saturation_common *all,
                           int conns, int64_t now);
/* The connection was refused while `open` others exist. */
void px_saturation_refused(struct px_saturation *f, struct px_saturation_common *all, int open,
                           int64_t now);
/* The connection was accepted; `open` counts it as well. */
void px_saturation_accepted(struct px_saturation *f, struct px_saturation_common *all, int open,
                            int64_t now);

#endif
