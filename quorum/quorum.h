/* The consensus core: a log replicated among a few voters (Raft), without input or output.
 *
 * The caller passes events and the current time to the qr_* functions. Actions are reported
 * through `struct qr_sink` from within the call. The core never blocks, reads no clock and owns
 * no socket. Times are in microseconds of a monotonic clock.
 *
 * Safeguards: elections begin with a pre-vote; a follower that received a message from a leader
 * within the shortest election timeout grants no vote; a leader without a quorum steps down;
 * only entries of the leader's own term are counted for commit; voters change one at a time,
 * after a learner has caught up; no message that confirms durability is sent before the disk
 * task has confirmed the write (qr_persisted). */
#ifndef FL_QUORUM_QUORUM_H
#define FL_QUORUM_QUORUM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "misc/err.h"
#include "misc/rng.h"

enum {
    QR_MAX_MEMBERS = 9, /* 5 voters, and members that are joining or leaving */
    QR_MAX_BATCH = 64,  /* entries in a message */
    QR_MAX_BATCH_BYTES = 256 * 1024,
    QR_MAX_ENTRY =
        3 << 19, /* bytes: a configuration document of 1 MiB, escaped as text, fits */
    QR_MAX_INFLIGHT = 1024, /* writes that the disk task has not confirmed */
};

enum qr_entry_type { QR_NOOP, QR_DATA, QR_MEMBERS };

struct qr_entry {
    uint64_t index, term;
    enum qr_entry_type type;
    uint32_t len;
    char *data; /* owned by the core; QR_MEMBERS: a struct qr_members */
};

/* `id` is stored on the member's disk: a node with an empty folder is another member. */
struct qr_member {
    uint64_t id;
    bool voter; /* false: a learner */
    char name[32];
    char ip[46];
    int port;
    char domain[32]; /* failure domain */
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
    QR_TIMEOUT_NOW, /* the leader transfers its leadership: start an election at once */
};

struct qr_msg {
    enum qr_msg_type type;
    uint64_t from, to, term;
    uint64_t index; /* previous (append), last (votes), match (replies), of the snapshot */
    uint64_t log_term;
    uint64_t commit;
    uint64_t round; /* heartbeat round; a reply repeats it */
    bool ok;        /* vote granted, or log matched */
    bool transfer;  /* vote request of a leadership transfer */
    /* In a pre-vote and its reply: the sender has seen no leader since it started. In a vote
     * request: all voters reported so. */
    bool fresh;
    uint32_t n;
    const struct qr_entry *entries;
    const struct qr_members *members; /* QR_SNAP */
    const char *data;                 /* QR_SNAP: state of the application */
    uint32_t len;
};

/* One write to the disk. Writes are done in order of `seq`; once one is durable the caller
 * calls qr_persisted(seq). */
struct qr_persist {
    uint64_t seq;
    uint64_t term, vote;
    uint64_t truncate_from; /* first drop the entries from this index on; 0: none */
    uint32_t n;
    const struct qr_entry *entries;
    bool snapshot; /* replace all entries up to snap_index by this state */
    uint64_t snap_index, snap_term;
    const struct qr_members *members;
    const char *data;
    uint32_t len;
};

/* Callbacks for the actions of the core. Pointers are valid during the call. */
struct qr_sink {
    void (*send)(void *ud, const struct qr_msg *m);
    void (*persist)(void *ud, const struct qr_persist *p);
    /* An entry is committed. Called once for each entry, in order of index. */
    void (*apply)(void *ud, const struct qr_entry *e);
    /* The state up to `index` is replaced by a snapshot from the leader. */
    void (*restore)(void *ud, uint64_t index, const char *data, uint32_t len);
    /* The role, the term or the leader has changed. */
    void (*role)(void *ud);
};

enum qr_role { QR_FOLLOWER, QR_PRECANDIDATE, QR_CANDIDATE, QR_LEADER };

struct qr_config {
    uint64_t self;
    int64_t election_us; /* shortest election timeout; the longest is twice as long */
    int64_t heartbeat_us;
    uint64_t seed;
    const struct qr_sink *sink;
    void *ud;
    /* Only for the exploration test, which switches a safeguard off and must find the fault. */
    struct {
        bool commit_old_terms, no_vote_check, ack_before_sync, forget_vote, no_quiet,
            some_fresh;
    } fault;
};

/* The state that was on the disk at start. */
struct qr_restore {
    uint64_t term, vote;
    uint64_t snap_index, snap_term;
    struct qr_members members; /* as of the snapshot, or the initial list */
    const char *snap;
    uint32_t snap_len;
    const struct qr_entry *entries; /* copied */
    uint32_t n;
};

struct qr;

struct qr *qr_create(const struct qr_config *cfg, const struct qr_restore *r, int64_t now);
void qr_destroy(struct qr *q);
/* All messages that had arrived by `received_until` (at most `now`) have been passed to
 * qr_receive. Election timeouts and the leader's loss of its quorum are measured up to that
 * time. */
void qr_tick(struct qr *q, int64_t now, int64_t received_until);
void qr_receive(struct qr *q, const struct qr_msg *m, int64_t now);
void qr_persisted(struct qr *q, uint64_t seq, int64_t now);

/* Appends an entry; leader only. *index is the entry's index if it is committed. Fails with
 * ER_NOT_LEADER, ER_OVERLOAD if too many writes wait for the disk, or ER_TOO_LARGE. */
bool qr_propose(struct qr *q, const void *data, uint32_t len, int64_t now, uint64_t *index,
                struct er_err *err);
/* Change the members: add a learner, make a learner that has caught up a voter, or remove a
 * member. Leader only, and one change at a time (else ER_CONFLICT). */
bool qr_add_learner(struct qr *q, const struct qr_member *m, int64_t now, struct er_err *err);
bool qr_promote_learner(struct qr *q, uint64_t id, int64_t now, struct er_err *err);
bool qr_remove(struct qr *q, uint64_t id, int64_t now, struct er_err *err);
/* If this node leads, sends a heartbeat at once. Called before a step that takes long. */
void qr_send_heartbeat(struct qr *q, int64_t now);
/* Transfers the leadership to the voter with the longest confirmed log, if that log is
 * complete. The caller must stop granting leases first. */
void qr_transfer_leadership(struct qr *q, int64_t now);
/* Replaces the entries up to `index` by a snapshot: `data` is the application's state as of
 * `index`. */
void qr_compact(struct qr *q, uint64_t index, const char *data, uint32_t len);

enum qr_role qr_role(const struct qr *q);
uint64_t qr_term(const struct qr *q);
uint64_t qr_leader(const struct qr *q); /* 0: unknown */
uint64_t qr_commit(const struct qr *q);
uint64_t qr_last(const struct qr *q);
uint64_t qr_first(const struct qr *q);
const struct qr_members *qr_members(const struct qr *q);
bool qr_is_voter(const struct qr *q, uint64_t id);
/* The highest index that the member has confirmed; leader only. */
uint64_t qr_match(const struct qr *q, uint64_t id);
/* Time of the last message from the member, 0 if none; leader only. */
int64_t qr_last_contact(const struct qr *q, uint64_t id);
/* Until when a quorum guarantees that no other node leads. 0 if this node does not lead or no
 * entry of its term is committed yet. It is the time at which the newest heartbeat round that a
 * quorum answered was sent, plus the shortest election timeout. */
int64_t qr_sole_leader_until(const struct qr *q);

#endif
