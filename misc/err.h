/* Error kinds: the one closed list, and the table from kind to answer.
 *
 * An operation that can fail takes a `struct er_err *`, fills it once and returns false;
 * the first error wins. Nothing here allocates. */
#ifndef FL_MISC_ERR_H
#define FL_MISC_ERR_H

#include <stdbool.h>

/* Every way something can fail. Add here and in the table of err.c only. */
enum er_kind {
    ER_NONE,
    ER_BAD_INPUT,      /* the caller's request can't be understood */
    ER_TOO_LARGE,      /* a frame, field or queue is over its bound */
    ER_NO_DATABASE,    /* the request names a database that the view lacks */
    ER_BAD_TXN,        /* no such open transaction on this connection */
    ER_ID_EXPIRED,     /* an unsafe request id is older than the resend window */
    ER_NO_LEASE,       /* this node holds no live lease */
    ER_NO_PRIMARY,     /* the group has no primary in force */
    ER_OVERLOAD,       /* queue full, or the deadline can't be met */
    ER_DEADLINE,       /* the deadline passed before anything was sent */
    ER_STOPPING,       /* this node is stopping */
    ER_TERM,           /* the endpoint refused: other term, or not the primary */
    ER_ENDPOINT,       /* an endpoint can't be reached; nothing was sent */
    ER_LOST,           /* the answer was lost after a byte may have left */
    ER_REPLACED,       /* the primary was replaced before the write was held by enough */
    ER_NOT_LEADER,     /* this control node does not lead */
    ER_NO_QUORUM,      /* the leader has not heard from a quorum lately */
    ER_CONFLICT,       /* another intent holds the number */
    ER_STALE_PLAN,     /* the world moved since the plan was made */
    ER_DISK,           /* the data folder failed */
    ER_DISK_FULL,      /* the data folder has no room; that may pass */
    ER_CORRUPT,        /* a stored record fails its checksum */
    ER_CONFIG,         /* a setting is wrong */
    ER_IO,             /* a socket call failed */
    ER_VERSION,        /* the peer speaks another version or belongs to another cluster */
    ER_BEHIND,         /* an instance lacks a position that the statement must see; not run */
    ER_BUSY,           /* an instance's queue is full; not run */
    ER_TOO_MANY,       /* an instance has no connection free */
    ER_WRONG_INSTANCE, /* another instance answers at the address; not run */
    ER_NO_STATEMENT,   /* no prepared statement of that name; not run */
    ER_FAILED,         /* the statement ran and failed; it has no effect */
    ER_TIMEOUT,        /* no answer in the statement's time; it may still run */
    ER_ABORTED,        /* the transaction was rolled back: nothing of it is kept */
    ER_NO_ACCOUNT,     /* the caller's key belongs to no account */
    ER_LIMIT,          /* the client account is over its limit; not run */
    ER_COUNT
};

/* The final answer that a kind turns into. */
enum er_answer {
    ER_ANS_OK,
    ER_ANS_NOT_RUN,  /* certainly not run; carries retry_after_ms */
    ER_ANS_UNKNOWN,  /* may have run */
    ER_ANS_REJECTED, /* bad input; a resend will not help */
};

struct er_err {
    enum er_kind kind;
    char text[240]; /* what failed, with which value, and what was expected */
};

/* Fill `err` unless it is NULL or already filled. Always returns false. */
bool er_set(struct er_err *err, enum er_kind kind, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Stable lower-case name, as it stands in answers, logs and counters. */
const char *er_name(enum er_kind kind);

/* The answer a caller gets for a kind. */
enum er_answer er_answer(enum er_kind kind);

/* "ok", "not_run", "unknown" or "rejected". */
const char *er_answer_name(enum er_answer ans);

/* HTTP status that operators and plain-HTTP callers get for a kind. */
int er_http(enum er_kind kind);

#endif
