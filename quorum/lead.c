/* The leader: replication, commit and the last contact with a quorum. */
#include "quorum/core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

/* ---- leading ---- */

static void send_snapshot(struct qr *q, struct peer *p, int64_t now)
{
    struct qr_msg m = {.type = QR_SNAP,
                       .to = p->id,
                       .index = q->snap_index,
                       .log_term = q->snap_term,
                       .round = q->round,
                       .members = &q->snap_members,
                       .data = q->snap,
                       .len = q->snap_len};
    p->last_sent = now;
    qc_send(q, &m);
}

/* Returns how many entries the next message contains. A probe is repeated until it is answered,
 * so it is kept small: otherwise heartbeats would queue behind its copies. */
static uint32_t batch_size(const struct qr *q, const struct peer *p)
{
    enum { PROBE_BYTES = 1024 };
    uint32_t n = 0, bytes = 0, min_entries = p->probing ? 0 : 1;
    uint32_t max_bytes = p->probing ? PROBE_BYTES : QR_MAX_BATCH_BYTES;
    const struct qr_entry *e;
    while (n < QR_MAX_BATCH && (e = qc_entry_at(q, p->next + n))) {
        bytes += e->len;
        if (n >= min_entries && bytes > max_bytes)
            break;
        n++;
    }
    return n;
}

void qc_send_append(struct qr *q, struct peer *p, int64_t now, bool empty)
{
    uint64_t prev = p->next - 1, prev_term;
    if (!qc_term_at(q, prev, &prev_term)) {
        send_snapshot(q, p, now);
        return;
    }
    struct qr_msg m = {.type = QR_APPEND,
                       .to = p->id,
                       .index = prev,
                       .log_term = prev_term,
                       .commit = q->commit,
                       .round = q->round};
    m.n = empty ? 0 : batch_size(q, p);
    m.entries = m.n ? qc_entry_at(q, p->next) : NULL;
    if (!p->probing)
        p->next += m.n;
    p->last_sent = now;
    qc_send(q, &m);
}

void qc_heartbeat(struct qr *q, int64_t now)
{
    q->round++;
    q->round_sent[q->round % MAX_ROUNDS] = now;
    q->next_heartbeat = now + q->cfg.heartbeat_us;
    for (int i = 0; i < q->n_peers; i++)
        qc_send_append(q, &q->peers[i], now, false);
}

static void replicate(struct qr *q, int64_t now)
{
    for (int i = 0; i < q->n_peers; i++) {
        if (!q->peers[i].probing)
            qc_send_append(q, &q->peers[i], now, false);
    }
}

uint64_t qc_append_own(struct qr *q, enum qr_entry_type type, const void *data, uint32_t len,
                       int64_t now)
{
    struct qr_entry e = {qc_last_index(q) + 1, q->term, type, len, (char *)data};
    qc_push_entry(q, &e);
    qc_persist_entries(q, 0, e.index);
    if (type == QR_MEMBERS)
        qc_sync_peers(q, now);
    replicate(q, now);
    return e.index;
}

void qc_become_leader(struct qr *q, int64_t now)
{
    q->role = QR_LEADER;
    q->leader = q->cfg.self;
    q->leader_since = now;
    q->leader_seen = true;
    qc_reset_peers(q, now);
    memset(q->round_sent, 0, sizeof(q->round_sent));
    qc_append_own(q, QR_NOOP, NULL, 0, now);
    qc_heartbeat(q, now);
    q->cfg.sink->role(q->cfg.ud);
}

void qc_apply_committed(struct qr *q)
{
    while (q->applied < q->commit) {
        const struct qr_entry *e = qc_entry_at(q, q->applied + 1);
        if (!e)
            return;
        q->applied++;
        q->cfg.sink->apply(q->cfg.ud, e);
    }
}

/* Returns the highest value (round or match index) that a quorum of voters has reached: sorts
 * the values in descending order and takes the one at the quorum size. */
static uint64_t quorum_value(const struct qr *q, uint64_t own, bool rounds)
{
    uint64_t v[QR_MAX_MEMBERS];
    int n = 0;
    if (qr_is_voter(q, q->cfg.self))
        v[n++] = own;
    for (int i = 0; i < q->n_peers; i++) {
        const struct peer *p = &q->peers[i];
        if (qr_is_voter(q, p->id))
            v[n++] = rounds ? p->acked_round : p->match;
    }
    for (int i = 1; i < n; i++) {
        for (int j = i; j > 0 && v[j] > v[j - 1]; j--) {
            uint64_t t = v[j];
            v[j] = v[j - 1];
            v[j - 1] = t;
        }
    }
    int m = qc_quorum_size(q);
    return m <= n ? v[m - 1] : 0;
}

void qc_advance_commit(struct qr *q, int64_t now)
{
    uint64_t to = quorum_value(q, q->durable, false), term = 0;
    if (to <= q->commit || !qc_term_at(q, to, &term))
        return;
    if (term != q->term && !q->cfg.fault.commit_old_terms)
        return;
    q->commit = to;
    qc_apply_committed(q);
    /* A leader that has removed itself steps down once its removal is committed. */
    if (q->role == QR_LEADER && q->members_index <= q->commit && !qc_member(q, q->cfg.self))
        qc_become_follower(q, q->term, 0, now);
    else if (q->role == QR_LEADER)
        q->next_heartbeat = now; /* send the commit index to the others soon */
}

/* Returns when the newest heartbeat round that a quorum answered was sent; 0 if none. */
int64_t qc_quorum_contact(const struct qr *q)
{
    uint64_t r = quorum_value(q, q->round, true);
    if (r == 0 || r + MAX_ROUNDS <= q->round)
        return 0;
    return q->round_sent[r % MAX_ROUNDS];
}

void qc_lead_tick(struct qr *q, int64_t now, int64_t received_until)
{
    int64_t contact = qc_quorum_contact(q);
    if (contact < q->leader_since)
        contact = q->leader_since;
    if (received_until - contact > 2 * q->cfg.election_us) {
        qc_become_follower(q, q->term, 0, now);
        return;
    }
    if (now >= q->next_heartbeat)
        qc_heartbeat(q, now);
}

void qc_on_append_reply(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term > q->term) {
        qc_become_follower(q, m->term, 0, now);
        return;
    }
    struct peer *p = qc_peer(q, m->from);
    if (q->role != QR_LEADER || m->term != q->term || !p)
        return;
    p->last_contact = now;
    if (m->round > p->acked_round)
        p->acked_round = m->round;
    if (!m->ok) {
        p->probing = true;
        p->next = m->index + 1 > p->match ? m->index + 1 : p->match + 1;
        qc_send_append(q, p, now, false);
        return;
    }
    if (m->index > p->match)
        p->match = m->index;
    if (p->probing) {
        p->probing = false;
        p->next = p->match + 1;
    }
    if (p->next <= p->match)
        p->next = p->match + 1;
    qc_advance_commit(q, now);
    if (q->role == QR_LEADER && p->next <= qc_last_index(q))
        qc_send_append(q, p, now, false);
}
