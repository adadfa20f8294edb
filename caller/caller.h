/* The callers' protocol: JSON requests and answers, over WebSocket or plain HTTP.
 *
 * Pure text in, typed request out, and back. docs/INTERFACES.md has examples. */
#ifndef FL_CALLER_CALLER_H
#define FL_CALLER_CALLER_H

#include "misc/err.h"
#include "misc/str.h"

enum {
    CL_ID = 96,
    CL_ACCOUNT = 64,
    CL_DB = 48,
    CL_TOKEN = 96,
    CL_TXN = 40,
    CL_STMT = 16384,
    CL_MAX_DEADLINE_MS = 60000,
    CL_DEFAULT_DEADLINE_MS = 5000,
};

enum cl_kind { CL_READ, CL_WRITE, CL_BEGIN, CL_COMMIT, CL_ROLLBACK };

struct cl_request {
    char id[CL_ID];
    char account[CL_ACCOUNT];
    char db[CL_DB];
    enum cl_kind kind;
    char token[CL_TOKEN]; /* "" none */
    char txn[CL_TXN];     /* "" outside a transaction */
    char *stmt;           /* allocated; NULL for begin, commit, rollback */
    bool repeat_safe;     /* may run twice */
    int64_t age_ms;       /* -1: no age accepted */
    int64_t deadline_ms;  /* from now */
    int64_t issued_ms;    /* wall clock at the first sending of this id; 0 not given */
    int priority;         /* 0 normal, 1 first within its kind */
    bool resend;          /* this id may have been sent before */
    uint64_t tag;         /* of a forwarded request; its answer carries it; 0 none */
    bool hop;             /* another entry node has forwarded it */
};

struct cl_answer {
    enum er_kind kind; /* ER_NONE: a result */
    struct sr_str value;
    const char *token;     /* NULL or "" none */
    const char *txn;       /* begin: its name */
    const char *served_by; /* instance id, for operators and tests; NULL none */
    bool replica;          /* a replica served it */
    bool duplicate;        /* the first run's answer, given again */
    bool durable;          /* held by enough instances */
    int64_t retry_after_ms;
    const char *detail;
    uint64_t tag; /* 0 none */
};

/* Untrusted text in. The request's id is filled as soon as it is known, so that the refusal can
 * carry it. Free with cl_request_free in any case. */
bool cl_parse(const char *text, size_t len, struct cl_request *r, struct er_err *err);
void cl_request_free(struct cl_request *r);
/* The request as text again, marked as forwarded, with the deadline that is left. */
void cl_write_request(struct sr_buf *out, const struct cl_request *r, int64_t deadline_ms);
/* Append the answer's text. A tag stands last, where cl_strip_tag finds it. */
void cl_write_answer(struct sr_buf *out, const char *id, const struct cl_answer *a);
/* The tag of an answer's text, 0 none; *len becomes the length of the text without its tag,
 * less the closing brace. */
uint64_t cl_strip_tag(const char *text, size_t *len);
const char *cl_kind_name(enum cl_kind k);

#endif
