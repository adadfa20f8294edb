/* Four entry nodes in front of one instance of three slots, at loads below and above what it
 * can do: the admission module against a plain first-come queue. Discrete events. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit/admit.h"
#include "bench/bench.h"
#include "misc/clock.h"
#include "misc/hist.h"

enum {
    ENTRIES = 4,
    CONNS = 6,
    SLOTS = 3,
    SERVICE_US = 2000,
    DEADLINE_US = 200000,
    SECONDS = 20,
    WIRE_US = 1500,
    ACCOUNTS = 8,
    MAX_EVENTS = 1 << 16
};

struct job {
    struct ad_item item; /* first */
    int entry, account;
    int64_t arrived, sent;
    struct job *next; /* in the instance's queue */
};

enum what { ARRIVE, AT_INSTANCE, SERVED, BACK, SWEEP };

struct event {
    int64_t at;
    enum what what;
    struct job *job;
};

struct world {
    struct rn_rng rng;
    struct event heap[MAX_EVENTS];
    int n;
    struct ad_queue q[ENTRIES];
    struct job *head, **tail; /* queue inside the instance */
    int running;
    double rate;
    uint64_t offered[ACCOUNTS], good[ACCOUNTS];
    uint64_t served, late, refused, at_once;
    struct hi_hist lat, refusal;
};

static void push(struct world *w, int64_t at, enum what what, struct job *job)
{
    if (w->n == MAX_EVENTS)
        abort();
    int i = w->n++;
    while (i > 0 && w->heap[(i - 1) / 2].at > at) {
        w->heap[i] = w->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    w->heap[i] = (struct event){at, what, job};
}

static struct event pop(struct world *w)
{
    struct event top = w->heap[0], last = w->heap[--w->n];
    int i = 0;
    for (;;) {
        int c = 2 * i + 1;
        if (c >= w->n)
            break;
        if (c + 1 < w->n && w->heap[c + 1].at < w->heap[c].at)
            c++;
        if (w->heap[c].at >= last.at)
            break;
        w->heap[i] = w->heap[c];
        i = c;
    }
    w->heap[i] = last;
    return top;
}

static int64_t exponential(struct world *w, double mean)
{
    double u = ((double)rn_below(&w->rng, 1000000) + 1) / 1000001.0;
    return (int64_t)(-log(u) * mean) + 1;
}

/* Account 0 is noisy (70 %), account 7 the smallest (1 %). */
static int draw_account(struct world *w)
{
    uint64_t d = rn_below(&w->rng, 100);
    if (d < 70)
        return 0;
    return d == 99 ? 7 : 1 + (int)(d % 6);
}

static enum ad_class draw_class(struct world *w)
{
    uint64_t d = rn_below(&w->rng, 10);
    return d == 0 ? AD_WRITE : d < 5 ? AD_SESSION : AD_AGED;
}

static void refuse(struct world *w, struct job *j, int64_t now)
{
    w->refused++;
    w->at_once += now == j->arrived;
    hi_add(&w->refusal, now - j->arrived);
    free(j);
}

static void pump(struct world *w, int e, int64_t now)
{
    int64_t retry;
    struct ad_item *it;
    while ((it = ad_pop_late(&w->q[e], now, &retry)))
        refuse(w, (struct job *)it, now);
    while ((it = ad_next(&w->q[e], now))) {
        struct job *j = (struct job *)it;
        j->sent = now;
        push(w, now + WIRE_US, AT_INSTANCE, j);
    }
}

static void arrive(struct world *w, int64_t now)
{
    struct job *j = calloc(1, sizeof(*j));
    int64_t retry;
    j->entry = (int)rn_below(&w->rng, ENTRIES);
    j->account = draw_account(w);
    j->arrived = now;
    j->item = (struct ad_item){.cls = draw_class(w),
                               .account = (uint64_t)j->account * 7 + 3,
                               .deadline = now + DEADLINE_US};
    w->offered[j->account]++;
    if (ad_offer(&w->q[j->entry], &j->item, now, &retry))
        pump(w, j->entry, now);
    else
        refuse(w, j, now);
    push(w, now + exponential(w, 1e6 / w->rate), ARRIVE, NULL);
}

static void start_slots(struct world *w, int64_t now)
{
    while (w->head && w->running < SLOTS) {
        struct job *j = w->head;
        w->head = j->next;
        if (!w->head)
            w->tail = &w->head;
        w->running++;
        push(w, now + exponential(w, SERVICE_US), SERVED, j);
    }
}

static void back(struct world *w, struct job *j, int64_t now)
{
    ad_done(&w->q[j->entry], now - j->sent, now);
    w->served++;
    if (now - j->arrived <= DEADLINE_US) {
        w->good[j->account]++;
        hi_add(&w->lat, now - j->arrived);
    } else {
        w->late++;
    }
    pump(w, j->entry, now);
    free(j);
}

static void step(struct world *w, const struct event *e)
{
    switch (e->what) {
    case ARRIVE:
        arrive(w, e->at);
        break;
    case AT_INSTANCE:
        e->job->next = NULL;
        *w->tail = e->job;
        w->tail = &e->job->next;
        start_slots(w, e->at);
        break;
    case SERVED:
        w->running--;
        push(w, e->at + WIRE_US, BACK, e->job);
        start_slots(w, e->at);
        break;
    case BACK:
        back(w, e->job, e->at);
        break;
    case SWEEP:
        for (int i = 0; i < ENTRIES; i++)
            pump(w, i, e->at);
        push(w, e->at + 5000, SWEEP, NULL);
        break;
    }
}

static uint64_t sum(const uint64_t *v)
{
    uint64_t s = 0;
    for (int i = 0; i < ACCOUNTS; i++)
        s += v[i];
    return s;
}

static void run(double times, bool fifo)
{
    static struct world w;
    memset(&w, 0, sizeof(w));
    w.rng = rn_seed(4);
    w.tail = &w.head;
    w.rate = times * SLOTS * 1e6 / SERVICE_US;
    struct ad_config cfg = {.max_queue = 1000, .target_us = 5000, .fifo = fifo};
    for (int i = 0; i < ENTRIES; i++) {
        ad_init(&w.q[i], &cfg, (uint64_t)i + 1);
        ad_set_max(&w.q[i], CONNS);
    }
    push(&w, 0, ARRIVE, NULL);
    push(&w, 0, SWEEP, NULL);
    while (w.heap[0].at < CK_SEC(SECONDS)) {
        struct event e = pop(&w);
        step(&w, &e);
    }
    double small = w.offered[7] ? 100.0 * (double)w.good[7] / (double)w.offered[7] : 0;
    double noisy = w.offered[0] ? 100.0 * (double)w.good[0] / (double)w.offered[0] : 0;
    printf("%5.1f  %-10s %9.0f %9.1f %9llu %8.2f%% %9.2f %9llu %8.0f%% %8.0f%%\n", times,
           fifo ? "first-come" : "ours", (double)sum(w.good) / SECONDS,
           (double)hi_quantile(&w.lat, 0.99) / 1000, (unsigned long long)w.refused,
           w.refused ? 100.0 * (double)w.at_once / (double)w.refused : 100.0,
           (double)w.refusal.max / 1000, (unsigned long long)w.late, small, noisy);
}

int bn_overload(void)
{
    static const double times[] = {0.5, 1, 2, 5};
    printf("admission at multiples of capacity (%d slots of %d us = %d/s; %d entry nodes of %d "
           "connections; deadline %d ms)\n",
           SLOTS, SERVICE_US, SLOTS * 1000000 / SERVICE_US, ENTRIES, CONNS, DEADLINE_US / 1000);
    printf("%5s  %-10s %9s %9s %9s %9s %9s %9s %9s %9s\n", "times", "", "goodput/s", "p99 ms",
           "refused", "at once", "latest ms", "too late", "smallest", "noisy");
    for (size_t i = 0; i < sizeof(times) / sizeof(times[0]); i++) {
        run(times[i], true);
        run(times[i], false);
    }
    return 0;
}
