/* Elections: pre-vote, vote, and the roles they lead to. */
#include "quorum/core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

/* ---- roles ---- */

void qc_reset_timer(struct qr *q, int64_t now)
{
    int64_t spread = (int64_t)rn_below(&q->rng, (uint64_t)q->cfg.election_us);
    q->deadline = now + q->cfg.election_us + spread;
}

/* A start, or a pre-vote that got no majority: nobody leads as far as this node can tell, and
 * asking again changes no term. So the next try comes sooner than after a leader's silence. */
void qc_reset_timer_short(struct qr *q, int64_t now, int64_t least)
{
    q->deadline = now + least + (int64_t)rn_below(&q->rng, (uint64_t)q->cfg.election_us / 3);
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

void qc_ask_votes(struct qr *q, enum qr_msg_type type)
{
    for (int i = 0; i < q->n_peers; i++) {
        if (!qr_is_voter(q, q->peers[i].id))
            continue;
        struct qr_msg m = {.type = type,
                           .to = q->peers[i].id,
                           .index = qc_last_index(q),
                           .log_term = qc_last_term(q),
                           .transfer = q->transfer};
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
    qc_persist_hard(q); /* votes are asked for once this is on disk */
}

void qc_start_election(struct qr *q, int64_t now)
{
    if (!qr_is_voter(q, q->cfg.self)) {
        qc_reset_timer(q, now);
        return;
    }
    q->role = QR_PRECANDIDATE;
    q->leader = 0;
    qc_reset_peers(q, now);
    qc_reset_timer_short(q, now, q->cfg.election_us / 3);
    if (qc_votes(q) >= qc_quorum_size(q)) {
        qc_become_candidate(q, now);
        return;
    }
    qc_ask_votes(q, QR_PREVOTE);
}

/* ---- votes ---- */

static bool log_up_to_date(const struct qr *q, const struct qr_msg *m)
{
    if (q->cfg.fault.no_vote_check)
        return true;
    uint64_t lt = qc_last_term(q);
    return m->log_term > lt || (m->log_term == lt && m->index >= qc_last_index(q));
}

/* Whether a leader was heard too lately to help anybody replace it. */
static bool leader_is_fresh(const struct qr *q, int64_t now)
{
    if (q->role == QR_LEADER)
        return qc_quorum_contact(q) + q->cfg.election_us > now;
    if (now < q->quiet_until)
        return true;
    return q->leader && now - q->heard_leader < q->cfg.election_us;
}

void qc_on_prevote(struct qr *q, const struct qr_msg *m, int64_t now)
{
    struct qr_msg r = {.type = QR_PREVOTE_R, .to = m->from};
    r.ok = m->term > q->term && log_up_to_date(q, m) && !leader_is_fresh(q, now);
    r.round = m->term;
    qc_send(q, &r);
}

void qc_on_prevote_reply(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term > q->term) {
        qc_become_follower(q, m->term, 0, now);
        return;
    }
    struct peer *p = qc_peer(q, m->from);
    if (q->role != QR_PRECANDIDATE || !p || !m->ok || m->round != q->term + 1)
        return;
    p->granted = true;
    if (qc_votes(q) >= qc_quorum_size(q))
        qc_become_candidate(q, now);
}

void qc_on_vote(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (!m->transfer && leader_is_fresh(q, now))
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
    qc_persist_hard(q); /* the answer goes out once this is on disk */
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
