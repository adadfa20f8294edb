/* Admission to one instance: a queue in classes, fair between client accounts, in front of a
 * limit on statements in flight that follows the measured queueing delay.
 *
 * Nothing waits here that can't make its deadline: it is refused when offered, or given back by
 * ad_pop_late as soon as that is known, with the time after which to come back. Pure; items
 * belong to the caller and are linked in. */
#ifndef FL_ADMIT_ADMIT_H
#define FL_ADMIT_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/err.h"
#include "misc/rng.h"

/* In the order of service. */
enum ad_class { AD_TXN, AD_WRITE, AD_SESSION, AD_AGED, AD_CLASSES };

enum { AD_ACCOUNTS = 64 }; /* accounts told apart in a class; others share by hash */

struct ad_item {
    struct ad_item *next;
    enum ad_class cls;
    bool first;       /* before its account's others of the class; no turn of another's */
    uint64_t account; /* hash of the client account */
    int64_t deadline, offered;
};

struct ad_fifo {
    struct ad_item *head, **tail;
    struct ad_item **priority_tail; /* where the next item that goes first is put */
    int n;
};

struct ad_lane {
    struct ad_fifo accounts[AD_ACCOUNTS];
    int last_account; /* whose turn it is */
    int n, active;
};

struct ad_config {
    int max_queue;
    int64_t target_us; /* queueing delay the limit aims at */
    bool fifo;         /* baseline: first come, first served, no limit below max */
};

struct ad_queue {
    struct ad_config cfg;
    struct rn_rng rng;
    struct ad_lane lane[AD_CLASSES];
    int queued, in_flight;
    int max;           /* connections there are */
    int slots;         /* what the instance runs at once, shared by all entry nodes */
    double limit;      /* statements in flight allowed now */
    double service_us; /* smoothed time of one statement, queueing at the instance included */
    double base_us;    /* the shortest seen lately: no queueing */
    double gap_us;     /* smoothed time between two completions while work is queued */
    double higher_share[AD_CLASSES]; /* smoothed share of what is served that goes before this
                                        class */
    int64_t lowered_at;              /* when the limit was last lowered */
    int64_t last_done;
    uint64_t refused, served, expired;
};

void ad_init(struct ad_queue *q, const struct ad_config *cfg, uint64_t seed);
/* The connections there are; the limit never exceeds them. */
void ad_set_max(struct ad_queue *q, int max);
/* Queue an item, or refuse it with *retry_ms > 0. */
bool ad_offer(struct ad_queue *q, struct ad_item *it, int64_t now, int64_t *retry_ms);
/* The next item to run, NULL if none may run now. It counts as in flight. */
struct ad_item *ad_next(struct ad_queue *q, int64_t now);
/* An item that is queued and can't make its deadline any more; NULL if none. */
struct ad_item *ad_pop_late(struct ad_queue *q, int64_t now, int64_t *retry_ms);
/* Take out one item that is queued. */
void ad_remove(struct ad_queue *q, struct ad_item *it);
/* Take out everything (the instance left); NULL when empty. */
struct ad_item *ad_pop_any(struct ad_queue *q);
/* A statement came back after `us` in flight. */
void ad_done(struct ad_queue *q, int64_t us, int64_t now);
/* A statement in flight ended without an answer: says nothing of the service time. */
void ad_cancel(struct ad_queue *q);
/* When to come back, jittered, in ms: never 0. */
int64_t ad_retry_ms(struct ad_queue *q);

#endif
