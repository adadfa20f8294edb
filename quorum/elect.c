/* Elections: pre-votes, votes and the resulting changes of the role. */
#include "quorum/core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

/* ---- roles ---- */

void qc_reset_timer(struct qr *q, int64_t now)
{
    int64_t jitter = (int64_t)rn_below(&q->rng, (uint64_t)q->cfg.election_us);
    q->deadline = now + q->cfg.election_us + jitter;
}

/* Used after a start or a pre-vote without a majority. This node knows no leader then, and
 * another pre-vote changes no term, so the next attempt comes sooner than after a leader has
 * become silent. */
void qc_reset_timer_short(struct qr *q, int64_t now, int64_t min_delay)
{
    q->deadline =
        now + min_delay + (int64_t)rn_below(&q->rng, (uint64_t)q->cfg.election_us / 3);
}

/* A voter that has seen no leader since it started asks the others whether they have seen one.
 * It does so often: if no voter has, the election need not wait. */
void qc_reset_timer_cold_start(struct qr *q, int64_t now)
{
    enum { PARTS = 8 };
    int64_t min_delay = q->cfg.election_us / PARTS;
    int64_t at = now + min_delay + (int64_t)rn_below(&q->rng, (uint64_t)min_delay + 1);
    if (!q->leader_seen && now < q->no_votes_until && at < q->deadline)
        q->deadline = at;
}

void qc_send(struct qr *q, struct qr_msg *m)
{
    m->from = q->cfg.self;
    m->term = m->type == QR_PREVOTE ? q->term + 1 : q->term;
    q->cfg.sink->send(q->cfg.ud, m);
}

void qc_become_follower(struct qr *q, uint64_t term, uint64_t leader, int64_t now)
{
    bool changed = q->role != QR_FOLLOWER || q->term != term || q->leader != leader;
    bool newer = term > q->term;
    q->role = QR_FOLLOWER;
    q->leader = leader;
    q->leader_since = 0;
    if (newer) {
        q->term = term;
        q->vote = 0;
        q->matched = 0;
        q->vote_reply_to = 0;
        qc_persist_hard(q);
    }
    qc_reset_timer(q, now);
    if (changed)
        q->cfg.sink->role(q->cfg.ud);
}

/* Whether this node has seen no leader since it started, and no leader can result from an
 * election that it is part of: it is no candidate, and its term and vote are on disk. */
static bool seen_no_leader(const struct qr *q)
{
    return !q->leader_seen && q->role != QR_CANDIDATE && q->persisted >= q->hard_seq;
}

void qc_request_votes(struct qr *q, enum qr_msg_type type)
{
    for (int i = 0; i < q->n_peers; i++) {
        if (!qr_is_voter(q, q->peers[i].id))
            continue;
        struct qr_msg m = {.type = type,
                           .to = q->peers[i].id,
                           .index = qc_last_index(q),
                           .log_term = qc_last_term(q),
                           .transfer = q->transfer,
                           .fresh = type == QR_VOTE ? q->cold_start : seen_no_leader(q)};
        qc_send(q, &m);
    }
}

int qc_votes(const struct qr *q)
{
    int n = qr_is_voter(q, q->cfg.self);
    for (int i = 0; i < q->n_peers; i++)
        n += q->peers[i].granted && qr_is_voter(q, q->peers[i].id);
    return n;
}

void qc_become_candidate(struct qr *q, int64_t now)
{
    q->role = QR_CANDIDATE;
    q->term++;
    q->vote = q->cfg.self;
    q->leader = 0;
    q->matched = 0;
    q->vote_reply_to = 0;
    qc_reset_peers(q, now);
    qc_reset_timer(q, now);
    q->cfg.sink->role(q->cfg.ud);
    qc_persist_hard(q); /* votes are requested once this is on disk */
}

void qc_start_election(struct qr *q, int64_t now)
{
    if (!qr_is_voter(q, q->cfg.self)) {
        qc_reset_timer(q, now);
        return;
    }
    q->role = QR_PRECANDIDATE;
    q->leader = 0;
    q->cold_start = false;
    q->prevotes_sent = now;
    qc_reset_peers(q, now);
    qc_reset_timer_short(q, now, q->cfg.election_us / 3);
    qc_reset_timer_cold_start(q, now);
    if (qc_votes(q) >= qc_quorum_size(q)) {
        qc_become_candidate(q, now);
        return;
    }
    qc_request_votes(q, QR_PREVOTE);
}

/* ---- votes ---- */

static bool log_up_to_date(const struct qr *q, const struct qr_msg *m)
{
    if (q->cfg.fault.no_vote_check)
        return true;
    uint64_t lt = qc_last_term(q);
    return m->log_term > lt || (m->log_term == lt && m->index >= qc_last_index(q));
}

/* Whether the last contact with a leader is too recent to grant a vote against it. */
static bool leader_is_recent(const struct qr *q, int64_t now)
{
    if (q->role == QR_LEADER)
        return qc_quorum_contact(q) + q->cfg.election_us > now;
    if (now < q->no_votes_until)
        return true;
    return q->leader && now - q->leader_contact < q->cfg.election_us;
}

/* ---- simultaneous start of all voters ---- */

/* Whether each voter of the previous configuration is a voter of the newest one. A leader that
 * was just removed may still lead for a moment, and no vote is requested from it. */
static bool no_voter_removed(const struct qr *q)
{
    const struct qr_members *previous = NULL, *newest = NULL;
    for (uint32_t i = 0; i < q->n; i++) {
        if (q->log[i].type != QR_MEMBERS)
            continue;
        previous = newest ? newest : &q->snap_members;
        newest = (const void *)q->log[i].data;
    }
    for (uint32_t i = 0; previous && i < previous->n; i++) {
        if (previous->m[i].voter && !qr_is_voter(q, previous->m[i].id))
            return false;
    }
    return true;
}

/* Of voters that start together only one requests votes: the one with the most up-to-date log,
 * and of equal ones the one with the lowest id. Returns whether this node precedes the sender.
 */
static bool precedes_sender(const struct qr *q, const struct qr_msg *m)
{
    uint64_t term = qc_last_term(q), index = qc_last_index(q);
    if (term != m->log_term)
        return term > m->log_term;
    return index != m->index ? index > m->index : q->cfg.self < m->from;
}

/* Whether no process that led before is still running. docs/design/agreement.md has the
 * argument. */
static bool no_leader_left(const struct qr *q)
{
    if (!seen_no_leader(q) || !no_voter_removed(q))
        return false;
    int fresh = qr_is_voter(q, q->cfg.self), voters = fresh;
    for (int i = 0; i < q->n_peers; i++) {
        bool voter = qr_is_voter(q, q->peers[i].id);
        voters += voter;
        fresh += voter && q->peers[i].fresh;
    }
    return fresh >= (q->cfg.fault.some_fresh ? qc_quorum_size(q) : voters);
}

/* Handles a pre-vote from a node that has just started. If this node has just started too and
 * precedes the sender, it starts its own pre-vote soon: if all voters have just started, this
 * node is the one that requests votes. */
static void schedule_prevote(struct qr *q, const struct qr_msg *m, int64_t now)
{
    enum { PARTS = 16 }; /* rounds of pre-votes are at least election_us / 16 apart */
    bool precedes = m->fresh && seen_no_leader(q) && precedes_sender(q, m);
    int64_t at = q->prevotes_sent + q->cfg.election_us / PARTS;
    if (at < now)
        at = now;
    if (precedes && at < q->deadline)
        q->deadline = at;
}

void qc_on_prevote(struct qr *q, const struct qr_msg *m, int64_t now)
{
    struct qr_msg r = {.type = QR_PREVOTE_R, .to = m->from};
    r.ok = m->term > q->term && log_up_to_date(q, m) && !leader_is_recent(q, now);
    r.round = m->term;
    r.fresh = seen_no_leader(q);
    r.index = qc_last_index(q);
    r.log_term = qc_last_term(q);
    qc_send(q, &r);
    schedule_prevote(q, m, now);
}

void qc_on_prevote_reply(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term > q->term) {
        qc_become_follower(q, m->term, 0, now);
        return;
    }
    struct peer *p = qc_peer(q, m->from);
    if (q->role != QR_PRECANDIDATE || !p || m->round != q->term + 1)
        return;
    p->granted = p->granted || m->ok;
    p->fresh = m->fresh && m->term == q->term && precedes_sender(q, m);
    q->cold_start = no_leader_left(q);
    if (q->cold_start || qc_votes(q) >= qc_quorum_size(q))
        qc_become_candidate(q, now);
}

void qc_on_vote(struct qr *q, const struct qr_msg *m, int64_t now)
{
    bool cold_start = m->fresh && seen_no_leader(q);
    if (!m->transfer && !cold_start && leader_is_recent(q, now))
        return;
    if (m->term > q->term)
        qc_become_follower(q, m->term, 0, now);
    bool free_vote = q->vote == 0 || q->vote == m->from;
    bool grant = m->term == q->term && free_vote && log_up_to_date(q, m);
    if (!grant) {
        struct qr_msg r = {.type = QR_VOTE_R, .to = m->from};
        qc_send(q, &r);
        return;
    }
    q->vote = m->from;
    q->vote_reply_to = m->from;
    qc_reset_timer(q, now);
    qc_persist_hard(q); /* the reply is sent once this is on disk */
}

void qc_on_vote_reply(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term > q->term) {
        qc_become_follower(q, m->term, 0, now);
        return;
    }
    struct peer *p = qc_peer(q, m->from);
    if (q->role != QR_CANDIDATE || m->term != q->term || !p || !m->ok)
        return;
    p->granted = true;
    if (qc_votes(q) >= qc_quorum_size(q) && q->persisted >= q->hard_seq)
        qc_become_leader(q, now);
}
