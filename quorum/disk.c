#include "quorum/disk.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "misc/clock.h"
#include "misc/str.h"

/* Interval between two attempts on a disk without free space. It is short compared to the
 * seconds in which space is freed, and 10 failed writes per second cost nothing. */
#define SPACE_RETRY_US CK_MS(100)

struct job {
    struct job *next;
    struct qr_persist p;
};

struct dk_disk {
    struct so_store *store;
    void (*wake)(void *);
    void *ud;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wakeup;
    struct job *head, **tail;
    bool stop, failed;
    bool full; /* the first job of the batch that is not durable waits for free space */
    uint64_t done, syncs;
    int64_t longest_us;
    struct er_err err;
};

static void *copy_bytes(const void *p, size_t n)
{
    void *q = sr_alloc(n);
    if (n)
        memcpy(q, p, n);
    return q;
}

static struct job *job_new(const struct qr_persist *p)
{
    struct job *j = sr_alloc(sizeof(*j));
    j->p = *p;
    struct qr_entry *e = sr_alloc(sizeof(*e) * p->n);
    for (uint32_t i = 0; i < p->n; i++) {
        e[i] = p->entries[i];
        e[i].data = copy_bytes(p->entries[i].data, p->entries[i].len);
    }
    j->p.entries = e;
    if (p->snapshot) {
        j->p.members = copy_bytes(p->members, sizeof(*p->members));
        j->p.data = copy_bytes(p->data, p->len);
    }
    return j;
}

static void job_free(struct job *j)
{
    for (uint32_t i = 0; i < j->p.n; i++)
        free(j->p.entries[i].data);
    free((void *)j->p.entries);
    if (j->p.snapshot) {
        free((void *)j->p.members);
        free((void *)j->p.data);
    }
    free(j);
}

static void free_jobs(struct job **at, const struct job *end)
{
    while (*at != end) {
        struct job *next = (*at)->next;
        job_free(*at);
        *at = next;
    }
}

/* Writes a batch and syncs once; *seq is the last job's on return. On failure *batch begins
 * with the first job that is not durable: a written snapshot makes all jobs before it durable.
 */
static bool write_batch(struct dk_disk *d, struct job **batch, uint64_t *seq,
                        struct er_err *err)
{
    struct job *j = *batch;
    while (j) {
        if (!so_write(d->store, &j->p, err))
            return false;
        bool durable = j->p.snapshot;
        *seq = j->p.seq;
        j = j->next;
        if (durable)
            free_jobs(batch, j);
    }
    return so_sync(d->store, err);
}

/* Waits for the retry interval or until the task is stopped. The caller holds the lock. */
static void wait_for_retry(struct dk_disk *d)
{
    struct timespec until;
    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_nsec += SPACE_RETRY_US * 1000;
    until.tv_sec += until.tv_nsec / 1000000000;
    until.tv_nsec %= 1000000000;
    while (!d->stop && pthread_cond_timedwait(&d->wakeup, &d->lock, &until) != ETIMEDOUT)
        ;
}

/* Writes the batch, again and again while the disk has no free space. The caller holds the
 * lock. Returns false on a final failure, or if the task is stopped. */
static bool write_batch_with_retries(struct dk_disk *d, struct job **batch, uint64_t *seq)
{
    for (;;) {
        struct er_err err = {0};
        bool again = d->full;
        pthread_mutex_unlock(&d->lock);
        bool ok =
            (!again || so_discard_unsynced(d->store, &err)) && write_batch(d, batch, seq, &err);
        pthread_mutex_lock(&d->lock);
        d->full = !ok && err.kind == ER_DISK_FULL;
        if (ok)
            return true;
        d->err = err;
        if (!d->full || d->stop)
            return false;
        if (!again)
            d->wake(d->ud);
        wait_for_retry(d);
    }
}

static void *run(void *ud)
{
    struct dk_disk *d = ud;
    pthread_mutex_lock(&d->lock);
    while (!d->failed) {
        while (!d->head && !d->stop)
            pthread_cond_wait(&d->wakeup, &d->lock);
        if (!d->head)
            break;
        struct job *batch = d->head;
        d->head = NULL;
        d->tail = &d->head;
        uint64_t seq = 0;
        int64_t t0 = ck_now();
        bool ok = write_batch_with_retries(d, &batch, &seq);
        int64_t took = ck_now() - t0;
        free_jobs(&batch, NULL);
        d->syncs++;
        if (took > d->longest_us)
            d->longest_us = took;
        if (ok)
            d->done = seq;
        else if (d->full) /* stopped while the disk had no free space */
            break;
        else
            d->failed = true;
        d->wake(d->ud);
    }
    pthread_mutex_unlock(&d->lock);
    return NULL;
}

struct dk_disk *dk_start(struct so_store *s, void (*wake)(void *), void *ud)
{
    struct dk_disk *d = sr_alloc(sizeof(*d));
    d->store = s;
    d->wake = wake;
    d->ud = ud;
    d->tail = &d->head;
    pthread_mutex_init(&d->lock, NULL);
    pthread_condattr_t attr;
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&d->wakeup, &attr);
    pthread_condattr_destroy(&attr);
    if (pthread_create(&d->thread, NULL, run, d) != 0)
        abort();
    return d;
}

void dk_write(struct dk_disk *d, const struct qr_persist *p)
{
    struct job *j = job_new(p);
    pthread_mutex_lock(&d->lock);
    *d->tail = j;
    d->tail = &j->next;
    pthread_cond_signal(&d->wakeup);
    pthread_mutex_unlock(&d->lock);
}

uint64_t dk_durable_seq(struct dk_disk *d)
{
    pthread_mutex_lock(&d->lock);
    uint64_t done = d->done;
    pthread_mutex_unlock(&d->lock);
    return done;
}

bool dk_failed(struct dk_disk *d, struct er_err *err)
{
    pthread_mutex_lock(&d->lock);
    bool failed = d->failed;
    if (failed)
        *err = d->err;
    pthread_mutex_unlock(&d->lock);
    return failed;
}

bool dk_waits_for_space(struct dk_disk *d, struct er_err *err)
{
    pthread_mutex_lock(&d->lock);
    bool full = d->full;
    if (full)
        *err = d->err;
    pthread_mutex_unlock(&d->lock);
    return full;
}

void dk_stats(struct dk_disk *d, uint64_t *syncs, int64_t *longest_us)
{
    pthread_mutex_lock(&d->lock);
    *syncs = d->syncs;
    *longest_us = d->longest_us;
    pthread_mutex_unlock(&d->lock);
}

void dk_stop(struct dk_disk *d)
{
    pthread_mutex_lock(&d->lock);
    d->stop = true;
    pthread_cond_signal(&d->wakeup);
    pthread_mutex_unlock(&d->lock);
    pthread_join(d->thread, NULL);
    while (d->head) {
        struct job *j = d->head;
        d->head = j->next;
        job_free(j);
    }
    free(d);
}
