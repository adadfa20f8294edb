/* The agreement core: a replicated log among a few voters, without input or output.
 *
 * Events go in through the qr_* calls with the time; actions come out through `struct
 * qr_sink`, from within the call. The core never blocks, reads no clock and holds no socket.
 *
 * Known safeguards: pre-vote; a follower that heard from a leader within the shortest election
 * timeout grants no vote; a leader without a quorum steps down; only entries of the leader's
 * own term are counted for commit; voters change one at a time, after a learner has caught up;
 * nothing that promises durability leaves before the disk has said so (qr_persisted). */
#ifndef FL_QUORUM_QUORUM_H
#define FL_QUORUM_QUORUM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "misc/err.h"
#include "misc/rng.h"

enum {
    QR_MAX_MEMBERS = 9, /* 5 voters and what joins or leaves */
    QR_MAX_BATCH = 64,  /* entries a message carries */
    QR_MAX_BATCH_BYTES = 256 * 1024,
    QR_MAX_ENTRY = 3 << 19, /* a whole configuration document of 1 MiB, escaped as text */
    QR_MAX_INFLIGHT = 1024, /* writes the disk has not confirmed */
};

enum qr_entry_type { QR_NOOP, QR_DATA, QR_MEMBERS };

struct qr_entry {
    uint64_t index, term;
    enum qr_entry_type type;
    uint32_t len;
    char *data; /* owned by the core; QR_MEMBERS: a struct qr_members */
};

/* `id` lives on the member's disk: an empty folder is another member. */
struct qr_member {
    uint64_t id;
    bool voter; /* else a learner */
    char name[32];
    char ip[46];
    int port;
    char domain[32];
};

struct qr_members {
    uint32_t n;
    struct qr_member m[QR_MAX_MEMBERS];
};

enum qr_msg_type {
    QR_PREVOTE,
    QR_PREVOTE_R,
    QR_VOTE,
    QR_VOTE_R,
    QR_APPEND,
    QR_APPEND_R,
    QR_SNAP,
    QR_TIMEOUT_NOW, /* the leader hands over: stand for election at once */
};

struct qr_msg {
    enum qr_msg_type type;
    uint64_t from, to, term;
    uint64_t index; /* prev index (append), last index (votes), match (replies), snapshot's */
    uint64_t log_term;
    uint64_t commit;
    uint64_t round; /* which heartbeat round; echoed */
    bool ok;        /* granted, or matched */
    bool transfer;  /* a vote asked for by a handover */
    /* Of a pre-vote and its answer: the sender has met no leader since it started. Of a vote
     * that is asked for: all voters said so. */
    bool fresh;
    uint32_t n;
    const struct qr_entry *entries;
    const struct qr_members *members; /* QR_SNAP */
    const char *data;                 /* QR_SNAP */
    uint32_t len;
};

/* One write for the disk; to be done in order and answered by qr_persisted(seq). */
struct qr_persist {
    uint64_t seq;
    uint64_t term, vote;
    uint64_t truncate_from; /* drop entries at and above it first; 0: none */
    uint32_t n;
    const struct qr_entry *entries;
    bool snapshot; /* replace all up to snap_index by this state */
    uint64_t snap_index, snap_term;
    const struct qr_members *members;
    const char *data;
    uint32_t len;
};

/* Where actions go. Pointers are valid during the call. */
struct qr_sink {
    void (*send)(void *ud, const struct qr_msg *m);
    void (*persist)(void *ud, const struct qr_persist *p);
    /* An entry is committed; called in order of index, once each. */
    void (*apply)(void *ud, const struct qr_entry *e);
    /* State below `index` is replaced by a snapshot from the leader. */
    void (*restore)(void *ud, uint64_t index, const char *data, uint32_t len);
    /* Role, term or leader changed. */
    void (*role)(void *ud);
};

enum qr_role { QR_FOLLOWER, QR_PRECANDIDATE, QR_CANDIDATE, QR_LEADER };

struct qr_config {
    uint64_t self;
    int64_t election_us; /* shortest election timeout; the longest is twice that */
    int64_t heartbeat_us;
    uint64_t seed;
    const struct qr_sink *sink;
    void *ud;
    /* For the exploration only: switch a safeguard off and see it found. */
    struct {
        bool commit_old_terms, no_vote_check, ack_before_sync, forget_vote, no_quiet,
            some_fresh;
    } fault;
};

/* What the disk held at start. */
struct qr_restore {
    uint64_t term, vote;
    uint64_t snap_index, snap_term;
    struct qr_members members; /* as of the snapshot, or the bootstrap list */
    const char *snap;
    uint32_t snap_len;
    const struct qr_entry *entries; /* copied */
    uint32_t n;
};

struct qr;

struct qr *qr_create(const struct qr_config *cfg, const struct qr_restore *r, int64_t now);
void qr_destroy(struct qr *q);
/* What had come by `heard` was delivered; it is not after `now`. Silence is counted up to it.
 */
void qr_tick(struct qr *q, int64_t now, int64_t received_until);
void qr_receive(struct qr *q, const struct qr_msg *m, int64_t now);
void qr_persisted(struct qr *q, uint64_t seq, int64_t now);

/* Leader only. *index is where the entry will stand if it is committed. */
bool qr_propose(struct qr *q, const void *data, uint32_t len, int64_t now, uint64_t *index,
                struct er_err *err);
/* One change at a time: add a learner, make a caught-up learner a voter, remove a member. */
bool qr_add_learner(struct qr *q, const struct qr_member *m, int64_t now, struct er_err *err);
bool qr_promote_learner(struct qr *q, uint64_t id, int64_t now, struct er_err *err);
bool qr_remove(struct qr *q, uint64_t id, int64_t now, struct er_err *err);
/* The leader's heartbeat at once, ahead of a step that takes long. */
void qr_send_heartbeat(struct qr *q, int64_t now);
/* Ask the best follower to take over; the caller stops granting leases first. */
void qr_transfer_leadership(struct qr *q, int64_t now);
/* The application's state up to `index` is `data`: drop the entries below. */
void qr_compact(struct qr *q, uint64_t index, const char *data, uint32_t len);

enum qr_role qr_role(const struct qr *q);
uint64_t qr_term(const struct qr *q);
uint64_t qr_leader(const struct qr *q); /* 0: unknown */
uint64_t qr_commit(const struct qr *q);
uint64_t qr_last(const struct qr *q);
uint64_t qr_first(const struct qr *q);
const struct qr_members *qr_members(const struct qr *q);
bool qr_is_voter(const struct qr *q, uint64_t id);
/* A member's confirmed position; leader only. */
uint64_t qr_match(const struct qr *q, uint64_t id);
/* When the member was heard last, 0 never; leader only. */
int64_t qr_last_contact(const struct qr *q, uint64_t id);
/* Until when a quorum vouches that nobody else leads, 0 if not leading or if no entry of this
 * term is committed yet. Counted from the sending of a round that a quorum answered, plus the
 * shortest election timeout. */
int64_t qr_vouched_until(const struct qr *q);

#endif
