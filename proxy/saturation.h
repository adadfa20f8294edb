/* Instances that accept fewer connections than this node's shares of them. Pure.
 *
 * An instance keeps connections of VMs that lost their power for seconds, so a node that starts
 * after that has shares which are not there. Tried at each instance over and over, a share that
 * is not there keeps accounts from taking turns on the connections that are, and the instance
 * refuses hundreds. So a node stays with what it has where it was refused, and one of its
 * instances at a time is tried: VMs that died together come free together, so what it finds
 * holds for all. */
#ifndef FL_PROXY_SATURATION_H
#define FL_PROXY_SATURATION_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of one instance; zero-initialised: nothing. */
struct px_saturation {
    int64_t refused_at; /* it refused a connection as too many; 0: it has not */
    int open_conns;     /* connections that were open then */
};

/* What a node's instances have in common. */
struct px_saturation_common {
    int64_t next_try_at; /* the next is tried then */
    int64_t freed_at;    /* one that had been full took one more */
};

/* Whether a connection beside `conns` is worth a try. */
bool px_saturation_may_open(const struct px_saturation *f,
                            const struct px_saturation_common *all, int conns, int64_t now);
/* One is being opened beside `conns`. */
void px_saturation_opening(const struct px_saturation *f, struct px_saturation_common *all,
                           int conns, int64_t now);
/* It was refused, `open` others are there. */
void px_saturation_refused(struct px_saturation *f, struct px_saturation_common *all, int open,
                           int64_t now);
/* It was accepted, and with it `open` are there. */
void px_saturation_accepted(struct px_saturation *f, struct px_saturation_common *all, int open,
                            int64_t now);

#endif
