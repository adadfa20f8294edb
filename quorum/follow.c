/* The follower: appends entries, installs snapshots and acknowledges what is durable. */
#include "quorum/core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

void qc_reply_append(struct qr *q, uint64_t to, bool ok, uint64_t match, uint64_t round)
{
    struct qr_msg r = {.type = QR_APPEND_R, .to = to, .ok = ok, .index = match, .round = round};
    qc_send(q, &r);
}

uint64_t qc_acked_index(const struct qr *q)
{
    if (q->cfg.fault.ack_before_sync)
        return q->matched;
    return q->matched < q->durable ? q->matched : q->durable;
}

/* Appends the entries of the message that are new; entries that conflict with them are removed
 * first. */
static void append_entries(struct qr *q, const struct qr_msg *m)
{
    uint64_t truncate_from = 0, first = 0;
    for (uint32_t i = 0; i < m->n; i++) {
        const struct qr_entry *e = &m->entries[i];
        uint64_t own_term;
        if (e->index <= q->snap_index)
            continue;
        if (!first && qc_term_at(q, e->index, &own_term)) {
            if (own_term == e->term)
                continue;
            qc_truncate_log(q, e->index);
            truncate_from = e->index;
        }
        if (!first)
            first = e->index;
        qc_push_entry(q, e);
    }
    if (first)
        qc_persist_entries(q, truncate_from, first);
}

static void follow_sender(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term > q->term || q->role != QR_FOLLOWER || q->leader != m->from)
        qc_become_follower(q, m->term, m->from, now);
    q->leader_contact = now;
    q->leader_seen = true;
    qc_reset_timer(q, now);
}

void qc_on_append(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term < q->term) {
        qc_reply_append(q, m->from, false, 0, 0);
        return;
    }
    follow_sender(q, m, now);
    uint64_t own_term;
    bool matches = m->index < q->snap_index ||
                   (qc_term_at(q, m->index, &own_term) && own_term == m->log_term);
    if (!matches) {
        uint64_t hint = m->index - 1 < qc_last_index(q) ? m->index - 1 : qc_last_index(q);
        qc_reply_append(q, m->from, false, hint, m->round);
        return;
    }
    append_entries(q, m);
    uint64_t last = m->index + m->n;
    if (last > q->matched)
        q->matched = last;
    uint64_t commit = m->commit < q->matched ? m->commit : q->matched;
    if (commit > q->commit) {
        q->commit = commit;
        qc_apply_committed(q);
    }
    qc_reply_append(q, m->from, true, qc_acked_index(q), m->round);
}

static void install_snapshot(struct qr *q, const struct qr_msg *m)
{
    for (uint32_t i = 0; i < q->n; i++)
        free(q->log[i].data);
    q->n = 0;
    q->snap_index = m->index;
    q->snap_term = m->log_term;
    q->snap_members = *m->members;
    free(q->snap);
    q->snap = sr_alloc(m->len);
    if (m->len)
        memcpy(q->snap, m->data, m->len);
    q->snap_len = m->len;
    q->commit = q->applied = q->matched = m->index;
    q->durable = 0;
    for (int i = 0; i < q->n_inflight; i++)
        q->inflight_writes[i].last_index = 0;
    qc_refresh_members(q);
    struct qr_persist p = {.snapshot = true,
                           .snap_index = m->index,
                           .snap_term = m->log_term,
                           .members = &q->snap_members,
                           .data = q->snap,
                           .len = q->snap_len};
    qc_persist(q, &p);
    q->cfg.sink->restore(q->cfg.ud, m->index, q->snap, q->snap_len);
}

/* Records that the log agrees with the leader's up to `index`, and that `index` is committed.
 */
static void mark_agreed(struct qr *q, uint64_t index)
{
    if (index > q->matched)
        q->matched = index;
    if (index > q->commit) {
        q->commit = index;
        qc_apply_committed(q);
    }
}

void qc_on_snapshot(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term < q->term) {
        qc_reply_append(q, m->from, false, 0, 0);
        return;
    }
    follow_sender(q, m, now);
    uint64_t own_term;
    bool agrees = qc_term_at(q, m->index, &own_term) && own_term == m->log_term;
    if (m->index > q->commit && !agrees) {
        install_snapshot(q, m);
    } else {
        /* The log contains all entries of the snapshot. The entries after them are kept: this
         * node may have acknowledged them, and they may be committed because of that. */
        mark_agreed(q, m->index);
    }
    qc_reply_append(q, m->from, true, qc_acked_index(q), m->round);
}
