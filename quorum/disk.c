#include "quorum/disk.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"
#include "misc/str.h"

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
    pthread_cond_t more;
    struct job *head, **tail;
    bool stop, failed;
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

/* Write a batch and sync once. Returns the last seq, 0 on failure. */
static uint64_t do_batch(struct dk_disk *d, struct job *batch, struct er_err *err)
{
    uint64_t seq = 0;
    for (struct job *j = batch; j; j = j->next) {
        if (!so_write(d->store, &j->p, err))
            return 0;
        seq = j->p.seq;
    }
    return so_sync(d->store, err) ? seq : 0;
}

static void *run(void *ud)
{
    struct dk_disk *d = ud;
    pthread_mutex_lock(&d->lock);
    while (!d->failed) {
        while (!d->head && !d->stop)
            pthread_cond_wait(&d->more, &d->lock);
        if (!d->head)
            break;
        struct job *batch = d->head;
        d->head = NULL;
        d->tail = &d->head;
        pthread_mutex_unlock(&d->lock);
        struct er_err err = {0};
        int64_t t0 = ck_now();
        uint64_t seq = do_batch(d, batch, &err);
        int64_t took = ck_now() - t0;
        while (batch) {
            struct job *next = batch->next;
            job_free(batch);
            batch = next;
        }
        pthread_mutex_lock(&d->lock);
        d->syncs++;
        if (took > d->longest_us)
            d->longest_us = took;
        d->failed = seq == 0;
        if (seq)
            d->done = seq;
        else
            d->err = err;
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
    pthread_cond_init(&d->more, NULL);
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
    pthread_cond_signal(&d->more);
    pthread_mutex_unlock(&d->lock);
}

uint64_t dk_done(struct dk_disk *d)
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
    pthread_cond_signal(&d->more);
    pthread_mutex_unlock(&d->lock);
    pthread_join(d->thread, NULL);
    while (d->head) {
        struct job *j = d->head;
        d->head = j->next;
        job_free(j);
    }
    free(d);
}
