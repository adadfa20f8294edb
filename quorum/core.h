/* State of the consensus core, shared by its parts (log, elect, lead, follow, quorum). Private
 * to this folder; the public interface is quorum/quorum.h. */
#ifndef FL_QUORUM_CORE_H
#define FL_QUORUM_CORE_H

#include "quorum/quorum.h"

enum { MAX_ROUNDS = 64 }; /* heartbeat rounds whose sending time is kept */

struct peer {
    uint64_t id;
    uint64_t next, match; /* index of the next entry to send; highest index confirmed */
    uint64_t acked_round; /* last heartbeat round that the peer answered */
    int64_t last_sent, last_contact;
    bool probing; /* match index unknown: only one message is in flight */
    bool granted; /* the peer granted its vote or pre-vote */
    /* The peer has seen no leader since it started, and this node precedes it as the one that
     * requests votes. */
    bool fresh;
};

/* A disk write that is not confirmed yet. */
struct inflight {
    uint64_t seq, last_index; /* last_index: end of the log as of this write */
};

struct qr {
    struct qr_config cfg;
    struct rn_rng rng;
    enum qr_role role;
    uint64_t term, vote, leader;

    uint64_t snap_index, snap_term;
    struct qr_members snap_members;
    char *snap;
    uint32_t snap_len;
    struct qr_entry *log; /* log[0] has index snap_index + 1 */
    uint32_t n, cap;

    uint64_t commit, applied, durable; /* indexes */
    uint64_t matched; /* follower: last index known to agree with the leader of the term */
    struct qr_members members; /* newest in the log, committed or not */
    uint64_t members_index;    /* index of the entry that holds `members` */

    uint64_t seq, persisted; /* sequence number of the last disk write requested, confirmed */
    uint64_t hard_seq;       /* the last write that contained term and vote */
    struct inflight inflight_writes[QR_MAX_INFLIGHT];
    int n_inflight;
    uint64_t vote_reply_to; /* member whose granted vote waits for the disk; 0: none */
    uint64_t snap_seq;      /* unused */

    int64_t deadline;       /* of the election timer */
    int64_t leader_contact; /* time of the last message from the leader of this term */
    /* After a restart, no vote is granted until this time, except in a leadership transfer or a
     * cold start: before the restart, this node may have confirmed a leader whose leadership is
     * valid until then. */
    int64_t no_votes_until;
    int64_t leader_since, next_heartbeat;
    uint64_t round; /* of heartbeats, the last one sent */
    int64_t round_sent[MAX_ROUNDS];
    struct peer peers[QR_MAX_MEMBERS];
    int n_peers;
    bool transfer;         /* the previous leader requested this election */
    bool leader_seen;      /* since the start, a leader was heard or this node led */
    int64_t prevotes_sent; /* time of the last round of pre-vote requests */
    bool cold_start;       /* in this election no voter has seen a leader since it started */
};

/* Inline because all parts call these often and are separate translation units. */
static inline uint64_t qc_last_index(const struct qr *q)
{
    return q->snap_index + q->n;
}

static inline const struct qr_entry *qc_entry_at(const struct qr *q, uint64_t index)
{
    if (index <= q->snap_index || index > qc_last_index(q))
        return NULL;
    return &q->log[index - q->snap_index - 1];
}

static inline bool qc_term_at(const struct qr *q, uint64_t index, uint64_t *term)
{
    if (index == q->snap_index) {
        *term = q->snap_term;
        return true;
    }
    const struct qr_entry *e = qc_entry_at(q, index);
    if (!e)
        return false;
    *term = e->term;
    return true;
}

/* log.c */
uint64_t qc_last_term(const struct qr *q);
void qc_refresh_members(struct qr *q);
void qc_push_entry(struct qr *q, const struct qr_entry *e);
void qc_truncate_log(struct qr *q, uint64_t from);
void qc_persist(struct qr *q, struct qr_persist *p);
void qc_persist_hard(struct qr *q);
void qc_persist_entries(struct qr *q, uint64_t truncate_from, uint64_t first);
const struct qr_member *qc_member(const struct qr *q, uint64_t id);
int qc_quorum_size(const struct qr *q);
struct peer *qc_peer(struct qr *q, uint64_t id);
void qc_sync_peers(struct qr *q, int64_t now);
void qc_reset_peers(struct qr *q, int64_t now);

/* elect.c */
void qc_reset_timer(struct qr *q, int64_t now);
void qc_reset_timer_short(struct qr *q, int64_t now, int64_t min_delay);
void qc_reset_timer_cold_start(struct qr *q, int64_t now);
void qc_send(struct qr *q, struct qr_msg *m);
void qc_become_follower(struct qr *q, uint64_t term, uint64_t leader, int64_t now);
void qc_request_votes(struct qr *q, enum qr_msg_type type);
int qc_votes(const struct qr *q);
void qc_become_candidate(struct qr *q, int64_t now);
void qc_start_election(struct qr *q, int64_t now);
void qc_on_prevote(struct qr *q, const struct qr_msg *m, int64_t now);
void qc_on_prevote_reply(struct qr *q, const struct qr_msg *m, int64_t now);
void qc_on_vote(struct qr *q, const struct qr_msg *m, int64_t now);
void qc_on_vote_reply(struct qr *q, const struct qr_msg *m, int64_t now);

/* lead.c */
void qc_send_append(struct qr *q, struct peer *p, int64_t now, bool empty);
uint64_t qc_append_own(struct qr *q, enum qr_entry_type type, const void *data, uint32_t len,
                       int64_t now);
void qc_become_leader(struct qr *q, int64_t now);
void qc_apply_committed(struct qr *q);
void qc_advance_commit(struct qr *q, int64_t now);
int64_t qc_quorum_contact(const struct qr *q);
void qc_heartbeat(struct qr *q, int64_t now);
void qc_lead_tick(struct qr *q, int64_t now, int64_t received_until);
void qc_on_append_reply(struct qr *q, const struct qr_msg *m, int64_t now);

/* follow.c */
void qc_reply_append(struct qr *q, uint64_t to, bool ok, uint64_t match, uint64_t round);
uint64_t qc_acked_index(const struct qr *q);
void qc_on_append(struct qr *q, const struct qr_msg *m, int64_t now);
void qc_on_snapshot(struct qr *q, const struct qr_msg *m, int64_t now);

#endif
