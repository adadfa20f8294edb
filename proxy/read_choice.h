/* Chooses the instance that serves a read. Pure; called by work.c.
 *
 * Every instance of a group can serve a read if its log has reached the read's floor; the
 * instance checks that itself. The estimated cost of an instance is the statement's service
 * time there, multiplied by this node's outstanding statements, plus the cost of a likely
 * refusal or failure. */
#ifndef FL_PROXY_READ_CHOICE_H
#define FL_PROXY_READ_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/pos.h"
#include "misc/rng.h"

struct px_candidate {
    bool usable; /* reachable, not draining, not tried before for this read */
    bool primary;
    bool has_conn;           /* a usable connection is idle, or none needs to be opened */
    int outstanding;         /* statements of this node, running or waiting there */
    int64_t service_us;      /* expected time of the statement there; px_service_time_expect */
    double fail_rate;        /* recent failure rate, 0 to 1; px_outlier_failure_rate */
    int distance;            /* 0: the same failure domain, 1: another, 2: another region */
    struct ps_pos known_pos; /* the last position that it reported */
    /* It lacked a position; no read with a floor above known_pos until then. */
    int64_t behind_until;
};

/* Returns the index of the instance; -1 if none is usable or all usable ones lack the floor.
 * `floor` is the minimum position that the read must see; without has_floor any position will
 * do. */
int px_choose_instance(const struct px_candidate *c, int n, bool has_floor, struct ps_pos floor,
                       int64_t now, struct rn_rng *rng);

#endif
