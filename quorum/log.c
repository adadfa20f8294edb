/* Log, disk writes and members of the consensus core. */
#include "quorum/core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

/* ---- the log ---- */

uint64_t qc_last_term(const struct qr *q)
{
    uint64_t t = 0;
    qc_term_at(q, qc_last_index(q), &t);
    return t;
}

/* The newest member list in the log is in force, whether it is committed or not. */
void qc_refresh_members(struct qr *q)
{
    for (uint32_t i = q->n; i > 0; i--) {
        const struct qr_entry *e = &q->log[i - 1];
        if (e->type != QR_MEMBERS)
            continue;
        memcpy(&q->members, e->data, sizeof(q->members));
        q->members_index = e->index;
        return;
    }
    q->members = q->snap_members;
    q->members_index = q->snap_index;
}

void qc_push_entry(struct qr *q, const struct qr_entry *e)
{
    if (q->n == q->cap) {
        q->cap = q->cap ? q->cap * 2 : 64;
        q->log = sr_realloc(q->log, sizeof(*q->log) * q->cap);
    }
    struct qr_entry *to = &q->log[q->n++];
    *to = *e;
    to->data = sr_alloc(e->len);
    if (e->len)
        memcpy(to->data, e->data, e->len);
    if (e->type == QR_MEMBERS)
        qc_refresh_members(q);
}

void qc_truncate_log(struct qr *q, uint64_t from)
{
    assert(from > q->commit);
    while (q->n > 0 && qc_last_index(q) >= from)
        free(q->log[--q->n].data);
    if (q->durable >= from)
        q->durable = from - 1;
    for (int i = 0; i < q->n_inflight; i++) {
        if (q->inflight_writes[i].last_index >= from)
            q->inflight_writes[i].last_index = from - 1;
    }
    qc_refresh_members(q);
}

/* ---- the disk ---- */

void qc_persist(struct qr *q, struct qr_persist *p)
{
    p->seq = ++q->seq;
    p->term = q->term;
    p->vote = q->cfg.fault.forget_vote ? 0 : q->vote;
    q->hard_seq = p->seq;
    assert(q->n_inflight < QR_MAX_INFLIGHT);
    q->inflight_writes[q->n_inflight++] = (struct inflight){p->seq, qc_last_index(q)};
    q->cfg.sink->persist(q->cfg.ud, p);
}

void qc_persist_hard(struct qr *q)
{
    struct qr_persist p = {0};
    qc_persist(q, &p);
}

void qc_persist_entries(struct qr *q, uint64_t truncate_from, uint64_t first)
{
    struct qr_persist p = {.truncate_from = truncate_from};
    p.n = (uint32_t)(qc_last_index(q) - first + 1);
    p.entries = p.n ? qc_entry_at(q, first) : NULL;
    qc_persist(q, &p);
}

/* ---- members ---- */

const struct qr_member *qc_member(const struct qr *q, uint64_t id)
{
    for (uint32_t i = 0; i < q->members.n; i++) {
        if (q->members.m[i].id == id)
            return &q->members.m[i];
    }
    return NULL;
}

bool qr_is_voter(const struct qr *q, uint64_t id)
{
    const struct qr_member *m = qc_member(q, id);
    return m && m->voter;
}

int qc_quorum_size(const struct qr *q)
{
    int voters = 0;
    for (uint32_t i = 0; i < q->members.n; i++)
        voters += q->members.m[i].voter;
    return voters / 2 + 1;
}

struct peer *qc_peer(struct qr *q, uint64_t id)
{
    for (int i = 0; i < q->n_peers; i++) {
        if (q->peers[i].id == id)
            return &q->peers[i];
    }
    return NULL;
}

/* Updates the peers to the member list and keeps the state of those that remain. */
void qc_sync_peers(struct qr *q, int64_t now)
{
    struct peer next[QR_MAX_MEMBERS];
    int n = 0;
    for (uint32_t i = 0; i < q->members.n; i++) {
        uint64_t id = q->members.m[i].id;
        if (id == q->cfg.self)
            continue;
        const struct peer *old = qc_peer(q, id);
        next[n++] = old ? *old
                        : (struct peer){.id = id,
                                        .next = qc_last_index(q) + 1,
                                        .last_contact = now,
                                        .probing = true};
    }
    memcpy(q->peers, next, sizeof(next[0]) * (size_t)n);
    q->n_peers = n;
}

void qc_reset_peers(struct qr *q, int64_t now)
{
    q->n_peers = 0;
    qc_sync_peers(q, now);
}
