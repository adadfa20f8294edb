/* Admission control: queue order, wait estimates and the limit on statements in flight. */
#include "admit/admit.h"

#include <string.h>

#define INITIAL_SERVICE_US 2000.0
#define LIMIT_DECREASE_FACTOR 0.9
#define SMOOTHING_WEIGHT 0.1
#define MIN_CAPACITY_LEFT 0.02
/* The expected wait may take at most a quarter of the time until the deadline. A queue that may
 * use all of that time serves every item late and also refuses late. */
#define WAIT_SAFETY_FACTOR 4
/* Growth of the base per statement, so that it rises slowly if the instance became slower. */
#define BASE_GROWTH_FACTOR 1.002
enum { MAX_RETRY_MS = 5000 };

void ad_init(struct ad_queue *q, const struct ad_config *cfg, uint64_t seed)
{
    memset(q, 0, sizeof(*q));
    q->cfg = *cfg;
    q->rng = rn_seed(seed);
    q->limit = 1;
    q->service_us = INITIAL_SERVICE_US;
    q->gap_us = INITIAL_SERVICE_US;
    for (int c = 0; c < AD_CLASSES; c++) {
        for (int a = 0; a < AD_ACCOUNTS; a++) {
            struct ad_fifo *f = &q->lane[c].accounts[a];
            f->tail = f->priority_tail = &f->head;
        }
    }
}

void ad_set_max(struct ad_queue *q, int max)
{
    if (q->max == 0 || q->cfg.fifo)
        q->limit = max;
    q->max = max;
    if (q->limit > max)
        q->limit = max;
    if (q->limit < 1)
        q->limit = 1;
}

/* The number of items that would be served before a new one of this class and account. */
static int ahead_of(const struct ad_queue *q, enum ad_class cls, uint64_t account)
{
    if (q->cfg.fifo)
        return q->queued;
    int n = 0;
    for (int c = 0; c < (int)cls; c++)
        n += q->lane[c].n;
    const struct ad_lane *l = &q->lane[cls];
    int mine = l->accounts[account % AD_ACCOUNTS].n;
    int fair = (mine + 1) * (l->active > 0 ? l->active : 1);
    return n + (fair < l->n ? fair : l->n);
}

/* The expected wait. A class gets the capacity that the classes before it leave. */
static double wait_us(const struct ad_queue *q, enum ad_class cls, int ahead)
{
    if (q->in_flight < (int)q->limit && q->queued == 0)
        return 0;
    double left = 1 - q->higher_share[cls];
    return (ahead + 1) * q->gap_us / (left > MIN_CAPACITY_LEFT ? left : MIN_CAPACITY_LEFT);
}

int64_t ad_retry_ms(struct ad_queue *q)
{
    double ms = (q->queued + 1) * q->gap_us / 1000.0;
    ms += ms * (double)rn_below(&q->rng, 1000) / 1000.0 + 1;
    return ms < MAX_RETRY_MS ? (int64_t)ms : MAX_RETRY_MS;
}

/* Links the item in at `at`. */
static void link_item(struct ad_fifo *f, struct ad_item *it, struct ad_item **at)
{
    bool first = at == f->priority_tail && it->first;
    bool last = at == f->tail;
    it->next = *at;
    *at = it;
    if (last)
        f->tail = &it->next;
    if (first)
        f->priority_tail = &it->next;
}

/* Unlinks the item at `at`. */
static struct ad_item *unlink_item(struct ad_fifo *f, struct ad_item **at)
{
    struct ad_item *it = *at;
    *at = it->next;
    if (f->tail == &it->next)
        f->tail = at;
    if (f->priority_tail == &it->next)
        f->priority_tail = at;
    it->next = NULL;
    return it;
}

/* Whether the queue is full for the account. In a queue that others have filled, each account
 * finds room for an equal part of the limit, which is exceeded twofold at most. */
static bool is_full(const struct ad_queue *q, uint64_t account)
{
    int own = 0;
    if (q->queued < q->cfg.max_queue || q->cfg.fifo)
        return q->queued >= q->cfg.max_queue;
    for (int c = 0; c < AD_CLASSES; c++)
        own += q->lane[c].accounts[account % AD_ACCOUNTS].n;
    return own >= q->cfg.max_queue / AD_ACCOUNTS;
}

bool ad_offer(struct ad_queue *q, struct ad_item *it, int64_t now, int64_t *retry_ms)
{
    int ahead = ahead_of(q, it->cls, it->account);
    double done_at =
        (double)now + WAIT_SAFETY_FACTOR * wait_us(q, it->cls, ahead) + q->service_us;
    bool late = !q->cfg.fifo && done_at > (double)it->deadline;
    if (late || is_full(q, it->account)) {
        q->refused++;
        *retry_ms = ad_retry_ms(q);
        return false;
    }
    struct ad_lane *l = &q->lane[q->cfg.fifo ? 0 : it->cls];
    struct ad_fifo *f = &l->accounts[q->cfg.fifo ? 0 : it->account % AD_ACCOUNTS];
    it->offered = now;
    link_item(f, it, it->first && !q->cfg.fifo ? f->priority_tail : f->tail);
    if (f->n++ == 0)
        l->active++;
    l->n++;
    q->queued++;
    return true;
}

static struct ad_item *pop_head(struct ad_queue *q, struct ad_lane *l, struct ad_fifo *f)
{
    struct ad_item *it = unlink_item(f, &f->head);
    if (--f->n == 0)
        l->active--;
    l->n--;
    q->queued--;
    return it;
}

void ad_remove(struct ad_queue *q, struct ad_item *it)
{
    struct ad_lane *l = &q->lane[q->cfg.fifo ? 0 : it->cls];
    struct ad_fifo *f = &l->accounts[q->cfg.fifo ? 0 : it->account % AD_ACCOUNTS];
    struct ad_item **at = &f->head;
    while (*at && *at != it)
        at = &(*at)->next;
    if (!*at)
        return;
    unlink_item(f, at);
    if (--f->n == 0)
        l->active--;
    l->n--;
    q->queued--;
}

/* Takes the next item of a class, one per account in round-robin order. */
static struct ad_item *pop_lane(struct ad_queue *q, struct ad_lane *l)
{
    for (int k = 0; k < AD_ACCOUNTS; k++) {
        l->last_account = (l->last_account + 1) % AD_ACCOUNTS;
        if (l->accounts[l->last_account].n)
            return pop_head(q, l, &l->accounts[l->last_account]);
    }
    return NULL;
}

struct ad_item *ad_pop_any(struct ad_queue *q)
{
    for (int c = 0; c < AD_CLASSES; c++) {
        if (q->lane[c].n)
            return pop_lane(q, &q->lane[c]);
    }
    return NULL;
}

struct ad_item *ad_next(struct ad_queue *q, int64_t now)
{
    if (q->queued == 0 || q->in_flight >= (int)q->limit || q->in_flight >= q->max)
        return NULL;
    struct ad_item *it = ad_pop_any(q);
    if (q->in_flight == 0)
        q->last_done = now; /* a busy period starts: idle time must not count into gap_us */
    q->in_flight++;
    for (int c = 0; c < AD_CLASSES; c++)
        q->higher_share[c] += SMOOTHING_WEIGHT / 20 * (((int)it->cls < c) - q->higher_share[c]);
    return it;
}

/* The expected completion time of the item at the head of an account's queue in class c. */
static double done_from_head(const struct ad_queue *q, int c, int64_t now)
{
    int ahead = q->lane[c].active / 2;
    for (int k = 0; k < c; k++)
        ahead += q->lane[k].n;
    return (double)now + wait_us(q, (enum ad_class)c, ahead) + q->base_us;
}

struct ad_item *ad_pop_late(struct ad_queue *q, int64_t now, int64_t *retry_ms)
{
    if (q->cfg.fifo || q->queued == 0)
        return NULL;
    for (int c = 0; c < AD_CLASSES; c++) {
        struct ad_lane *l = &q->lane[c];
        double end = l->n ? done_from_head(q, c, now) : 0;
        for (int a = 0; l->n && a < AD_ACCOUNTS; a++) {
            struct ad_fifo *f = &l->accounts[a];
            if (!f->n || end <= (double)f->head->deadline)
                continue;
            *retry_ms = ad_retry_ms(q);
            q->expired++;
            return pop_head(q, l, f);
        }
    }
    return NULL;
}

static void adjust_limit(struct ad_queue *q, double us, int64_t now)
{
    if (q->base_us == 0 || us < q->base_us)
        q->base_us = us;
    else
        q->base_us *= BASE_GROWTH_FACTOR;
    if (q->base_us > q->service_us)
        q->base_us = q->service_us;
    if (q->cfg.fifo)
        return;
    double delay = us - q->base_us;
    if (delay > (double)q->cfg.target_us) {
        if (now - q->lowered_at < (int64_t)q->service_us)
            return; /* lower the limit at most once per service time */
        q->limit *= LIMIT_DECREASE_FACTOR;
        q->lowered_at = now;
    } else if (q->in_flight + 1 >= (int)q->limit) {
        q->limit += 1.0 / q->limit;
    }
    if (q->limit < 1)
        q->limit = 1;
    if (q->limit > q->max)
        q->limit = q->max;
}

void ad_done(struct ad_queue *q, int64_t us, int64_t now)
{
    q->in_flight--;
    q->served++;
    q->service_us += SMOOTHING_WEIGHT * ((double)us - q->service_us);
    if (q->queued > 0 && q->last_done)
        q->gap_us += SMOOTHING_WEIGHT * ((double)(now - q->last_done) - q->gap_us);
    else
        q->gap_us += SMOOTHING_WEIGHT * (q->service_us / q->limit - q->gap_us);
    q->last_done = now;
    adjust_limit(q, (double)us, now);
}

void ad_cancel(struct ad_queue *q)
{
    q->in_flight--;
}
