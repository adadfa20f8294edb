/* Which instance serves a read. Pure.
 *
 * Every instance of a group can, if its log holds the floor; the instance checks that itself.
 * The cost of asking one: what it takes there as last measured, times what this node has
 * waiting there, and what is lost where it will probably refuse or fail. */
#ifndef FL_PROXY_READ_CHOICE_H
#define FL_PROXY_READ_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/pos.h"
#include "misc/rng.h"

struct px_candidate {
    bool usable; /* there, not draining, not tried before for this read */
    bool primary;
    bool has_conn;           /* an idle connection that fits, or one that costs nothing more */
    int outstanding;         /* statements of this node there, running or waiting */
    int64_t service_us;      /* what the statement would take there; px_pace_expect */
    double fail_rate;        /* of what was asked there lately, 0 to 1; px_outlier_rate */
    int distance;            /* 0 the same failure domain, 1 another, 2 another region */
    struct ps_pos known_pos; /* its log held this when it was heard last */
    int64_t behind_until;    /* it refused a floor like this; not before then */
};

/* The index, or -1: none is there, or those that are lack the floor. `floor`: what the read
 * must see; has_floor false: anything. */
int px_choose_instance(const struct px_candidate *c, int n, bool has_floor, struct ps_pos floor,
                       int64_t now, struct rn_rng *rng);

#endif
