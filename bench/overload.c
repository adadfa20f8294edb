/* Discrete-event simulation of four entry nodes and one instance of three slots, at loads below
 * and above the capacity of the instance. Compares the admission module with a first-come
 * queue. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit/admit.h"
#include "bench/bench.h"
#include "misc/clock.h"
#include "misc/hist.h"

enum {
    ENTRY_NODES = 4,
    CONNS_PER_ENTRY = 6,
    SLOTS = 3,
    SERVICE_US = 2000,
    DEADLINE_US = 200000,
    DURATION_S = 20,
    ONE_WAY_US = 1500,
    ACCOUNTS = 8,
    MAX_EVENTS = 1 << 16
};

struct job {
    /* The first member: dispatch() casts the item that the queue returns to its job. */
    struct ad_item item;
    int entry, account;
    int64_t arrived_at, sent_at;
    struct job *next; /* next job in the queue of the instance */
};

enum event_kind { ARRIVE, AT_INSTANCE, SERVED, REPLY, SWEEP };

struct event {
    int64_t at;
    enum event_kind kind;
    struct job *job;
};

struct simulation {
    struct rn_rng rng;
    struct event heap[MAX_EVENTS];
    int n;
    struct ad_queue q[ENTRY_NODES];
    struct job *head, **tail; /* jobs that wait for a slot of the instance */
    int running;
    double rate;
    uint64_t offered[ACCOUNTS], served_in_time[ACCOUNTS];
    uint64_t served, served_late, refused, refused_at_once;
    struct hi_hist latency, refusal_delay;
};

static void push_event(struct simulation *sim, int64_t at, enum event_kind kind,
                       struct job *job)
{
    if (sim->n == MAX_EVENTS)
        abort();
    int i = sim->n++;
    while (i > 0 && sim->heap[(i - 1) / 2].at > at) {
        sim->heap[i] = sim->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    sim->heap[i] = (struct event){at, kind, job};
}

static struct event pop_event(struct simulation *sim)
{
    struct event top = sim->heap[0], last = sim->heap[--sim->n];
    int i = 0;
    for (;;) {
        int c = 2 * i + 1;
        if (c >= sim->n)
            break;
        if (c + 1 < sim->n && sim->heap[c + 1].at < sim->heap[c].at)
            c++;
        if (sim->heap[c].at >= last.at)
            break;
        sim->heap[i] = sim->heap[c];
        i = c;
    }
    sim->heap[i] = last;
    return top;
}

static int64_t exponential(struct simulation *sim, double mean)
{
    double u = ((double)rn_below(&sim->rng, 1000000) + 1) / 1000001.0;
    return (int64_t)(-log(u) * mean) + 1;
}

/* Account 0 sends 70 % of the requests (the noisy one), account 7 sends 1 % (the smallest). */
static int draw_account(struct simulation *sim)
{
    uint64_t d = rn_below(&sim->rng, 100);
    if (d < 70)
        return 0;
    return d == 99 ? 7 : 1 + (int)(d % 6);
}

static enum ad_class draw_class(struct simulation *sim)
{
    uint64_t d = rn_below(&sim->rng, 10);
    return d == 0 ? AD_WRITE : d < 5 ? AD_SESSION : AD_AGED;
}

static void refuse(struct simulation *sim, struct job *j, int64_t now)
{
    sim->refused++;
    sim->refused_at_once += now == j->arrived_at;
    hi_add(&sim->refusal_delay, now - j->arrived_at);
    free(j);
}

static void dispatch(struct simulation *sim, int entry, int64_t now)
{
    int64_t retry;
    struct ad_item *it;
    while ((it = ad_pop_late(&sim->q[entry], now, &retry)))
        refuse(sim, (struct job *)it, now);
    while ((it = ad_next(&sim->q[entry], now))) {
        struct job *j = (struct job *)it;
        j->sent_at = now;
        push_event(sim, now + ONE_WAY_US, AT_INSTANCE, j);
    }
}

static void handle_arrival(struct simulation *sim, int64_t now)
{
    struct job *j = calloc(1, sizeof(*j));
    int64_t retry;
    j->entry = (int)rn_below(&sim->rng, ENTRY_NODES);
    j->account = draw_account(sim);
    j->arrived_at = now;
    j->item = (struct ad_item){.cls = draw_class(sim),
                               .account = (uint64_t)j->account * 7 + 3,
                               .deadline = now + DEADLINE_US};
    sim->offered[j->account]++;
    if (ad_offer(&sim->q[j->entry], &j->item, now, &retry))
        dispatch(sim, j->entry, now);
    else
        refuse(sim, j, now);
    push_event(sim, now + exponential(sim, 1e6 / sim->rate), ARRIVE, NULL);
}

static void start_queued_jobs(struct simulation *sim, int64_t now)
{
    while (sim->head && sim->running < SLOTS) {
        struct job *j = sim->head;
        sim->head = j->next;
        if (!sim->head)
            sim->tail = &sim->head;
        sim->running++;
        push_event(sim, now + exponential(sim, SERVICE_US), SERVED, j);
    }
}

static void handle_reply(struct simulation *sim, struct job *j, int64_t now)
{
    ad_done(&sim->q[j->entry], now - j->sent_at, now);
    sim->served++;
    if (now - j->arrived_at <= DEADLINE_US) {
        sim->served_in_time[j->account]++;
        hi_add(&sim->latency, now - j->arrived_at);
    } else {
        sim->served_late++;
    }
    dispatch(sim, j->entry, now);
    free(j);
}

static void step(struct simulation *sim, const struct event *e)
{
    switch (e->kind) {
    case ARRIVE:
        handle_arrival(sim, e->at);
        break;
    case AT_INSTANCE:
        e->job->next = NULL;
        *sim->tail = e->job;
        sim->tail = &e->job->next;
        start_queued_jobs(sim, e->at);
        break;
    case SERVED:
        sim->running--;
        push_event(sim, e->at + ONE_WAY_US, REPLY, e->job);
        start_queued_jobs(sim, e->at);
        break;
    case REPLY:
        handle_reply(sim, e->job, e->at);
        break;
    case SWEEP:
        for (int i = 0; i < ENTRY_NODES; i++)
            dispatch(sim, i, e->at);
        push_event(sim, e->at + 5000, SWEEP, NULL);
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

static void run(double load, bool fifo)
{
    static struct simulation sim;
    memset(&sim, 0, sizeof(sim));
    sim.rng = rn_seed(4);
    sim.tail = &sim.head;
    sim.rate = load * SLOTS * 1e6 / SERVICE_US;
    struct ad_config cfg = {.max_queue = 1000, .target_us = 5000, .fifo = fifo};
    for (int i = 0; i < ENTRY_NODES; i++) {
        ad_init(&sim.q[i], &cfg, (uint64_t)i + 1);
        ad_set_max(&sim.q[i], CONNS_PER_ENTRY);
    }
    push_event(&sim, 0, ARRIVE, NULL);
    push_event(&sim, 0, SWEEP, NULL);
    while (sim.heap[0].at < CK_SEC(DURATION_S)) {
        struct event e = pop_event(&sim);
        step(&sim, &e);
    }
    double smallest_percent =
        sim.offered[7] ? 100.0 * (double)sim.served_in_time[7] / (double)sim.offered[7] : 0;
    double noisy_percent =
        sim.offered[0] ? 100.0 * (double)sim.served_in_time[0] / (double)sim.offered[0] : 0;
    printf("%5.1f  %-10s %9.0f %9.1f %9llu %8.2f%% %9.2f %9llu %8.0f%% %8.0f%%\n", load,
           fifo ? "first-come" : "admission", (double)sum(sim.served_in_time) / DURATION_S,
           (double)hi_quantile(&sim.latency, 0.99) / 1000, (unsigned long long)sim.refused,
           sim.refused ? 100.0 * (double)sim.refused_at_once / (double)sim.refused : 100.0,
           (double)sim.refusal_delay.max / 1000, (unsigned long long)sim.served_late,
           smallest_percent, noisy_percent);
}

int bn_overload(void)
{
    static const double loads[] = {0.5, 1, 2, 5};
    printf("admission at multiples of the capacity (%d slots of %d us = %d/s; %d entry nodes "
           "of %d connections; deadline %d ms)\n",
           SLOTS, SERVICE_US, SLOTS * 1000000 / SERVICE_US, ENTRY_NODES, CONNS_PER_ENTRY,
           DEADLINE_US / 1000);
    printf("%5s  %-10s %9s %9s %9s %9s %9s %9s %9s %9s\n", "load", "queue", "goodput/s",
           "p99 ms", "refused", "at once", "latest ms", "too late", "smallest", "noisy");
    for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
        run(loads[i], true);
        run(loads[i], false);
    }
    return 0;
}
