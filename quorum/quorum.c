/* Public functions of the consensus core. */
#include "quorum/core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

/* Whether so many writes wait for the disk that no event may add more: an event adds at most 2,
 * and a compaction 1 more. */
static bool disk_queue_full(const struct qr *q)
{
    enum { SPARE = 8 };
    return q->n_inflight >= QR_MAX_INFLIGHT - SPARE;
}

void qr_receive(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->to != q->cfg.self || disk_queue_full(q))
        return; /* handled like a lost message, which the sender sends again */
    switch (m->type) {
    case QR_PREVOTE:
        qc_on_prevote(q, m, now);
        break;
    case QR_PREVOTE_R:
        qc_on_prevote_reply(q, m, now);
        break;
    case QR_VOTE:
        qc_on_vote(q, m, now);
        break;
    case QR_VOTE_R:
        qc_on_vote_reply(q, m, now);
        break;
    case QR_APPEND:
        qc_on_append(q, m, now);
        break;
    case QR_APPEND_R:
        qc_on_append_reply(q, m, now);
        break;
    case QR_SNAP:
        qc_on_snapshot(q, m, now);
        break;
    case QR_TIMEOUT_NOW:
        if (m->term == q->term && q->role == QR_FOLLOWER && qr_is_voter(q, q->cfg.self)) {
            q->transfer = true;
            q->cold_start = false;
            qc_become_candidate(q, now);
        }
        break;
    }
}

/* ---- ticks and confirmed writes ---- */

void qr_tick(struct qr *q, int64_t now, int64_t received_until)
{
    if (q->role == QR_LEADER) {
        qc_lead_tick(q, now, received_until);
    } else if (received_until >= q->deadline && !disk_queue_full(q)) {
        q->transfer = false;
        qc_start_election(q, now);
    }
}

static void mark_durable(struct qr *q, uint64_t seq)
{
    int kept = 0;
    for (int i = 0; i < q->n_inflight; i++) {
        if (q->inflight_writes[i].seq <= seq) {
            if (q->inflight_writes[i].last_index > q->durable)
                q->durable = q->inflight_writes[i].last_index;
        } else {
            q->inflight_writes[kept++] = q->inflight_writes[i];
        }
    }
    q->n_inflight = kept;
}

void qr_persisted(struct qr *q, uint64_t seq, int64_t now)
{
    q->persisted = seq;
    uint64_t before = qc_acked_index(q);
    mark_durable(q, seq);
    bool hard_done = q->persisted >= q->hard_seq;
    if (q->role == QR_CANDIDATE && hard_done) {
        if (qc_votes(q) >= qc_quorum_size(q))
            qc_become_leader(q, now);
        else
            qc_request_votes(q, QR_VOTE);
        return;
    }
    if (q->vote_reply_to && hard_done) {
        struct qr_msg r = {.type = QR_VOTE_R, .to = q->vote_reply_to, .ok = true};
        q->vote_reply_to = 0;
        qc_send(q, &r);
    }
    if (q->role == QR_LEADER)
        qc_advance_commit(q, now);
    else if (q->leader && qc_acked_index(q) > before)
        qc_reply_append(q, q->leader, true, qc_acked_index(q), 0);
}

/* ---- proposals ---- */

static bool can_lead(const struct qr *q, struct er_err *err)
{
    if (q->role != QR_LEADER)
        return er_set(err, ER_NOT_LEADER, "this node does not lead term %llu",
                      (unsigned long long)q->term);
    if (disk_queue_full(q))
        return er_set(err, ER_OVERLOAD, "%d log writes wait for the disk", q->n_inflight);
    return true;
}

bool qr_propose(struct qr *q, const void *data, uint32_t len, int64_t now, uint64_t *index,
                struct er_err *err)
{
    if (!can_lead(q, err))
        return false;
    if (len > QR_MAX_ENTRY)
        return er_set(err, ER_TOO_LARGE, "entry of %u bytes, expected at most %d", len,
                      QR_MAX_ENTRY);
    *index = qc_append_own(q, QR_DATA, data, len, now);
    return true;
}

static bool change_members(struct qr *q, const struct qr_members *next, int64_t now,
                           struct er_err *err)
{
    uint64_t t = 0;
    if (!can_lead(q, err))
        return false;
    if (q->members_index > q->commit)
        return er_set(err, ER_CONFLICT, "another member change is in progress");
    if (!qc_term_at(q, q->commit, &t) || t != q->term)
        return er_set(err, ER_NO_QUORUM, "no entry of this term is committed yet");
    qc_append_own(q, QR_MEMBERS, next, sizeof(*next), now);
    return true;
}

bool qr_add_learner(struct qr *q, const struct qr_member *m, int64_t now, struct er_err *err)
{
    if (qc_member(q, m->id))
        return er_set(err, ER_CONFLICT, "member %s exists already", m->name);
    if (q->members.n >= QR_MAX_MEMBERS)
        return er_set(err, ER_TOO_LARGE, "member list is full (%d members)", QR_MAX_MEMBERS);
    struct qr_members next = q->members;
    next.m[next.n] = *m;
    next.m[next.n].voter = false;
    next.n++;
    return change_members(q, &next, now, err);
}

bool qr_promote_learner(struct qr *q, uint64_t id, int64_t now, struct er_err *err)
{
    struct qr_members next = q->members;
    const struct peer *p = qc_peer(q, id);
    if (!p || !qc_member(q, id))
        return er_set(err, ER_BAD_INPUT, "no learner has this id");
    /* A new voter restores the fault tolerance only if it has all committed entries. */
    if (p->match < q->commit)
        return er_set(err, ER_STALE_PLAN, "learner is at entry %llu, commit index is %llu",
                      (unsigned long long)p->match, (unsigned long long)q->commit);
    for (uint32_t i = 0; i < next.n; i++) {
        if (next.m[i].id == id)
            next.m[i].voter = true;
    }
    return change_members(q, &next, now, err);
}

bool qr_remove(struct qr *q, uint64_t id, int64_t now, struct er_err *err)
{
    struct qr_members next = {0};
    for (uint32_t i = 0; i < q->members.n; i++) {
        if (q->members.m[i].id != id)
            next.m[next.n++] = q->members.m[i];
    }
    if (next.n == q->members.n)
        return er_set(err, ER_BAD_INPUT, "no member has this id");
    return change_members(q, &next, now, err);
}

void qr_send_heartbeat(struct qr *q, int64_t now)
{
    if (q->role == QR_LEADER)
        qc_heartbeat(q, now);
}

void qr_transfer_leadership(struct qr *q, int64_t now)
{
    if (q->role != QR_LEADER)
        return;
    const struct peer *best = NULL;
    for (int i = 0; i < q->n_peers; i++) {
        const struct peer *p = &q->peers[i];
        if (qr_is_voter(q, p->id) && (!best || p->match > best->match))
            best = p;
    }
    if (!best || best->match < qc_last_index(q))
        return;
    struct qr_msg m = {.type = QR_TIMEOUT_NOW, .to = best->id};
    qc_send(q, &m);
    qc_become_follower(q, q->term, 0, now);
}

void qr_compact(struct qr *q, uint64_t index, const char *data, uint32_t len)
{
    uint64_t term;
    if (index <= q->snap_index || index > q->applied || !qc_term_at(q, index, &term))
        return;
    struct qr_members members = q->snap_members;
    uint32_t drop = (uint32_t)(index - q->snap_index);
    for (uint32_t i = 0; i < drop; i++) {
        if (q->log[i].type == QR_MEMBERS)
            memcpy(&members, q->log[i].data, sizeof(members));
        free(q->log[i].data);
    }
    memmove(q->log, q->log + drop, sizeof(*q->log) * (q->n - drop));
    q->n -= drop;
    q->snap_index = index;
    q->snap_term = term;
    q->snap_members = members;
    free(q->snap);
    q->snap = sr_alloc(len);
    if (len)
        memcpy(q->snap, data, len);
    q->snap_len = len;
    struct qr_persist p = {.snapshot = true,
                           .snap_index = index,
                           .snap_term = term,
                           .members = &q->snap_members,
                           .data = q->snap,
                           .len = len,
                           .n = q->n,
                           .entries = q->log};
    qc_persist(q, &p);
}

/* ---- creation and state ---- */

struct qr *qr_create(const struct qr_config *cfg, const struct qr_restore *r, int64_t now)
{
    struct qr *q = sr_alloc(sizeof(*q));
    q->cfg = *cfg;
    q->rng = rn_seed(cfg->seed ^ cfg->self);
    q->term = r->term;
    q->vote = r->vote;
    q->snap_index = r->snap_index;
    q->snap_term = r->snap_term;
    q->snap_members = r->members;
    q->snap = sr_alloc(r->snap_len);
    if (r->snap_len)
        memcpy(q->snap, r->snap, r->snap_len);
    q->snap_len = r->snap_len;
    for (uint32_t i = 0; i < r->n; i++)
        qc_push_entry(q, &r->entries[i]);
    qc_refresh_members(q);
    q->commit = q->applied = r->snap_index;
    q->durable = qc_last_index(q);
    bool quiet = r->term && !cfg->fault.no_quiet;
    q->no_votes_until = quiet ? now + cfg->election_us : now;
    qc_reset_timer_short(q, now, cfg->election_us);
    qc_reset_timer_cold_start(q, now);
    return q;
}

void qr_destroy(struct qr *q)
{
    for (uint32_t i = 0; i < q->n; i++)
        free(q->log[i].data);
    free(q->log);
    free(q->snap);
    free(q);
}

enum qr_role qr_role(const struct qr *q)
{
    return q->role;
}

uint64_t qr_term(const struct qr *q)
{
    return q->term;
}

uint64_t qr_leader(const struct qr *q)
{
    return q->leader;
}

uint64_t qr_commit(const struct qr *q)
{
    return q->commit;
}

uint64_t qr_last(const struct qr *q)
{
    return qc_last_index(q);
}

uint64_t qr_first(const struct qr *q)
{
    return q->snap_index + 1;
}

const struct qr_members *qr_members(const struct qr *q)
{
    return &q->members;
}

uint64_t qr_match(const struct qr *q, uint64_t id)
{
    if (id == q->cfg.self)
        return q->durable;
    for (int i = 0; i < q->n_peers; i++) {
        if (q->peers[i].id == id)
            return q->peers[i].match;
    }
    return 0;
}

int64_t qr_last_contact(const struct qr *q, uint64_t id)
{
    for (int i = 0; i < q->n_peers; i++) {
        if (q->peers[i].id == id)
            return q->peers[i].last_contact;
    }
    return 0;
}

int64_t qr_sole_leader_until(const struct qr *q)
{
    uint64_t t = 0;
    if (q->role != QR_LEADER || !qc_term_at(q, q->commit, &t) || t != q->term)
        return 0;
    if (qc_quorum_size(q) == 1)
        return INT64_MAX;
    int64_t contact = qc_quorum_contact(q);
    return contact ? contact + q->cfg.election_us : 0;
}
