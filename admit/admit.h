/* Admission control for one instance: a queue with priority classes, fair between client
 * accounts, and a limit on statements in flight that follows the measured queueing delay.
 *
 * An item that can't meet its deadline does not wait: ad_offer refuses the item, or ad_pop_late
 * returns a queued one as soon as that is known, both with the time after which to retry. The
 * module does no I/O and reads no clock; times are in microseconds where the name doesn't say
 * otherwise. The user of the queue owns the items, which are linked in place. */
#ifndef FL_ADMIT_ADMIT_H
#define FL_ADMIT_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/err.h"
#include "misc/rng.h"

/* In order of service, the first class first. */
enum ad_class { AD_TXN, AD_WRITE, AD_SESSION, AD_AGED, AD_CLASSES };

enum { AD_ACCOUNTS = 64 }; /* account queues per class; accounts with equal hash share one */

struct ad_item {
    struct ad_item *next;
    enum ad_class cls;
    /* Goes before other items of the same account and class, and takes no turn from another
     * account. */
    bool first;
    uint64_t account;          /* hash of the client account */
    int64_t deadline, offered; /* offered: when ad_offer queued the item */
};

struct ad_fifo {
    struct ad_item *head, **tail;
    struct ad_item **priority_tail; /* where the next item with `first` is linked in */
    int n;
};

struct ad_lane {
    struct ad_fifo accounts[AD_ACCOUNTS];
    int last_account; /* the account served last, for round robin */
    int n, active;    /* items; accounts that have items */
};

struct ad_config {
    int max_queue;     /* items; an account that has few may queue more, see AD_ACCOUNTS */
    int64_t target_us; /* queueing delay that the limit is adjusted to */
    bool fifo;         /* baseline: first come, first served, no limit below max */
};

struct ad_queue {
    struct ad_config cfg;
    struct rn_rng rng;
    struct ad_lane lane[AD_CLASSES];
    int queued, in_flight;
    int max;           /* open connections */
    int slots;         /* statements that the instance runs at once, for all entry nodes */
    double limit;      /* statements in flight allowed now */
    double service_us; /* smoothed time of one statement, queueing at the instance included */
    double base_us;    /* shortest recent time of one statement, without queueing */
    double gap_us;     /* smoothed time between two completions while work is queued */
    /* smoothed share of the served items that belong to classes before this one */
    double higher_share[AD_CLASSES];
    int64_t lowered_at; /* when the limit was last lowered */
    int64_t last_done;
    uint64_t refused, served, expired;
};

void ad_init(struct ad_queue *q, const struct ad_config *cfg, uint64_t seed);
/* Sets the number of open connections, which the limit never exceeds. */
void ad_set_max(struct ad_queue *q, int max);
/* Queues an item, or returns false with *retry_ms > 0. */
bool ad_offer(struct ad_queue *q, struct ad_item *it, int64_t now, int64_t *retry_ms);
/* The next item to run, NULL if none may run now. It counts as in flight. */
struct ad_item *ad_next(struct ad_queue *q, int64_t now);
/* Takes out a queued item that can't meet its deadline any more; NULL if none. */
struct ad_item *ad_pop_late(struct ad_queue *q, int64_t now, int64_t *retry_ms);
/* Takes out this item if it is queued. */
void ad_remove(struct ad_queue *q, struct ad_item *it);
/* Takes out one item regardless of the limit, to empty the queue; NULL when empty. */
struct ad_item *ad_pop_any(struct ad_queue *q);
/* A statement was answered after `us` in flight. */
void ad_done(struct ad_queue *q, int64_t us, int64_t now);
/* A statement in flight ended without an answer; the service time is not updated. */
void ad_cancel(struct ad_queue *q);
/* The time after which to retry, in ms, with jitter; never 0. */
int64_t ad_retry_ms(struct ad_queue *q);

#endif
