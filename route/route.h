/* Where a read goes: the replica choice and the conservative age of data.
 *
 * Pure: the router keeps what it was told about each instance and decides from that and the
 * time. The instance itself checks the position when the read executes; what is kept here only
 * makes that check succeed more often. */
#ifndef FL_ROUTE_ROUTE_H
#define FL_ROUTE_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/err.h"
#include "misc/pos.h"

enum { RT_MAX_INSTANCES = 7, RT_MAX_SAMPLES = 256 };

/* What is known of one instance of a group. */
struct rt_inst {
    bool usable;   /* connected, not draining */
    bool draining; /* gets no new work */
    int distance;  /* 0: this failure domain; 1: another; 2: another region */
    int in_flight, limit;
    struct ps_pos applied;
    int64_t lag_us;          /* smoothed time behind the primary; -1 unknown */
    int64_t applied_seen_at; /* when `applied` was heard */
};

/* A time at which the primary was asked, and the position it then had or passed. */
struct rt_sample {
    int64_t requested_at;
    struct ps_pos pos;
};

struct rt_group {
    int n, primary; /* primary: -1 none in force */
    struct rt_inst inst[RT_MAX_INSTANCES];
    int n_starts;
    struct ps_start starts[16];
    struct rt_sample samples[RT_MAX_SAMPLES]; /* ring, by asked */
    uint64_t n_samples;
};

struct rt_query {
    bool has_token;
    struct ps_pos token;
    int64_t max_age_us;  /* -1: the read accepts no age */
    int64_t max_wait_us; /* the longest wait at a nearly caught-up replica */
};

struct rt_choice {
    int inst; /* -1: nowhere; `why` says so */
    bool primary;
    struct ps_pos min; /* what the instance must have applied */
    int64_t wait_us;   /* how long the instance may wait for it */
    enum er_kind why;
};

/* The primary answered a position request that left at `asked`. */
void rt_record_primary_pos(struct rt_group *g, int64_t asked, struct ps_pos pos);
/* An instance told its applied position. */
void rt_record_applied(struct rt_group *g, int i, struct ps_pos pos, int64_t now);
/* The position a replica must have for its data to be at most max_age old now. False if the
 * primary was not asked within that time. */
bool rt_age_floor(const struct rt_group *g, int64_t max_age_us, int64_t now,
                  struct ps_pos *floor);
/* How far failure domain `b` is from `a`: 0 the same, 1 of the same region, 2 of another. A
 * domain is called "region/name", or "name" alone where there is one region. */
int rt_distance(const char *a, const char *b);
/* `skip`: bits of instances already tried. */
struct rt_choice rt_choose_for_read(const struct rt_group *g, const struct rt_query *q,
                                    unsigned skip, int64_t now);

#endif
