/* Chooses the instance for a read, and the minimum position for a read with a maximum age.
 * Pure; used by entry nodes, which record what each instance reports.
 *
 * The instance itself checks the position when the read executes; the recorded positions only
 * make that check succeed more often. */
#ifndef FL_ROUTE_ROUTE_H
#define FL_ROUTE_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/err.h"
#include "misc/pos.h"

enum { RT_MAX_INSTANCES = 7, RT_MAX_SAMPLES = 256 };

/* The recorded state of one instance of a group. */
struct rt_inst {
    bool usable;   /* connected and not draining */
    bool draining; /* gets no new statements */
    int distance;  /* 0: the same failure domain; 1: another; 2: another region */
    int in_flight, limit;
    struct ps_pos applied;
    int64_t lag_us;          /* smoothed time behind the primary; -1: unknown */
    int64_t applied_seen_at; /* when `applied` was received */
};

/* A position of the primary, and the time at which the request for it was sent. */
struct rt_sample {
    int64_t requested_at;
    struct ps_pos pos;
};

struct rt_group {
    int n, primary; /* primary: -1 if none is in force */
    struct rt_inst inst[RT_MAX_INSTANCES];
    int n_starts;
    struct ps_start starts[16];
    struct rt_sample samples[RT_MAX_SAMPLES]; /* ring buffer, in the order of requested_at */
    uint64_t n_samples;
};

struct rt_query {
    bool has_token;
    struct ps_pos token;
    int64_t max_age_us;  /* -1: the read has no maximum age */
    int64_t max_wait_us; /* maximum wait at a replica that nearly has the position */
};

struct rt_choice {
    int inst; /* -1: none; `why` holds the reason */
    bool primary;
    struct ps_pos min; /* position that the instance must have applied */
    int64_t wait_us;   /* how long the instance may wait for `min` */
    enum er_kind why;
};

/* The primary answered a position request that was sent at `requested_at`. */
void rt_record_primary_pos(struct rt_group *g, int64_t requested_at, struct ps_pos pos);
/* An instance reported its applied position. */
void rt_record_applied(struct rt_group *g, int i, struct ps_pos pos, int64_t now);
/* The position that a replica must have for its data to be at most max_age_us old now. False if
 * the primary reported no position within that time. */
bool rt_age_floor(const struct rt_group *g, int64_t max_age_us, int64_t now,
                  struct ps_pos *floor);
/* The distance between two failure domains: 0 the same, 1 the same region, 2 another region. A
 * domain is named "region/name", or "name" alone if there is one region. */
int rt_distance(const char *a, const char *b);
/* Chooses the instance for a read; `skip` has a bit set for each instance already tried. */
struct rt_choice rt_choose_for_read(const struct rt_group *g, const struct rt_query *q,
                                    unsigned skip, int64_t now);

#endif
