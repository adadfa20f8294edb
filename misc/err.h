/* The list of all error kinds, and the mapping from a kind to the answer sent to the caller.
 *
 * A function that can fail takes a `struct er_err *`, fills it and returns false. An error that
 * is already set is not overwritten. No function here allocates memory. */
#ifndef FL_MISC_ERR_H
#define FL_MISC_ERR_H

#include <stdbool.h>

/* A new kind must also be added to the table in err.c. */
enum er_kind {
    ER_NONE,
    ER_BAD_INPUT,      /* the request is malformed */
    ER_TOO_LARGE,      /* a frame, field or queue exceeds its limit */
    ER_NO_DATABASE,    /* the requested database is not in the view */
    ER_BAD_TXN,        /* the connection has no such open transaction */
    ER_ID_EXPIRED,     /* the id of a non-idempotent request is older than the resend window */
    ER_NO_LEASE,       /* this node has no valid lease */
    ER_NO_PRIMARY,     /* the group has no active primary */
    ER_OVERLOAD,       /* the queue is full, or the deadline can't be met */
    ER_DEADLINE,       /* the deadline passed before the request was sent */
    ER_STOPPING,       /* this node is stopping */
    ER_TERM,           /* the endpoint has another term or is not the primary */
    ER_ENDPOINT,       /* the endpoint is unreachable; the request was not sent */
    ER_LOST,           /* the connection failed after part of the request may have been sent */
    ER_REPLACED,       /* the primary was replaced before enough instances held the write */
    ER_NOT_LEADER,     /* this control node is not the leader */
    ER_NO_QUORUM,      /* the leader has no recent messages from a quorum */
    ER_CONFLICT,       /* the number belongs to another intent */
    ER_STALE_PLAN,     /* the state has changed since the plan was made */
    ER_DISK,           /* an operation on the data folder failed */
    ER_DISK_FULL,      /* the data folder's disk is full, which may be temporary */
    ER_CORRUPT,        /* a stored record has a wrong checksum */
    ER_CONFIG,         /* a setting is invalid */
    ER_IO,             /* a socket call failed */
    ER_VERSION,        /* the peer has another protocol version or cluster */
    ER_BEHIND,         /* the instance lacks a position that the statement must see; not run */
    ER_BUSY,           /* the instance's queue is full; not run */
    ER_TOO_MANY,       /* the instance has no free connection */
    ER_WRONG_INSTANCE, /* the address belongs to another instance; not run */
    ER_NO_STATEMENT,   /* there is no prepared statement of that name; not run */
    ER_FAILED,         /* the statement ran, failed and has no effect */
    ER_TIMEOUT,        /* no answer before the statement's timeout; it may still be running */
    ER_ABORTED,        /* the whole transaction was rolled back */
    ER_NO_ACCOUNT,     /* the caller's key belongs to no client account */
    ER_LIMIT,          /* the client account exceeds its limit; not run */
    ER_COUNT
};

/* The final answer to a request. */
enum er_answer {
    ER_ANS_OK,
    ER_ANS_NOT_RUN,  /* the request was not run; the answer has retry_after_ms */
    ER_ANS_UNKNOWN,  /* the request may have run */
    ER_ANS_REJECTED, /* the request is invalid; resending it does not help */
};

struct er_err {
    enum er_kind kind;
    char text[240]; /* the failed object, its value, and the expected value */
};

/* Sets `err` unless it is NULL or already set. Always returns false. */
bool er_set(struct er_err *err, enum er_kind kind, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Lower-case name of a kind for answers, logs and counters. The names must not change. */
const char *er_name(enum er_kind kind);

/* The answer that a caller gets for an error of this kind. */
enum er_answer er_answer(enum er_kind kind);

/* "ok", "not_run", "unknown" or "rejected". */
const char *er_answer_name(enum er_answer ans);

/* The HTTP status for an error of this kind. */
int er_http(enum er_kind kind);

#endif
