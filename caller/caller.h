/* The protocol of callers: JSON requests and answers, over WebSocket or plain HTTP.
 *
 * Converts between text and structs, without I/O. docs/INTERFACES.md has examples. */
#ifndef FL_CALLER_CALLER_H
#define FL_CALLER_CALLER_H

#include "misc/err.h"
#include "misc/str.h"

enum {
    CL_ID_BYTES = 96,
    CL_ACCOUNT_BYTES = 64,
    CL_DB_BYTES = 48,
    CL_TOKEN_BYTES = 96,
    CL_TXN_BYTES = 40,
    CL_STMT_BYTES = 16384,
    CL_MAX_DEADLINE_MS = 60000,
    CL_DEFAULT_DEADLINE_MS = 5000,
};

enum cl_kind { CL_READ, CL_WRITE, CL_BEGIN, CL_COMMIT, CL_ROLLBACK };

struct cl_request {
    char id[CL_ID_BYTES];
    char account[CL_ACCOUNT_BYTES];
    char db[CL_DB_BYTES];
    enum cl_kind kind;
    char token[CL_TOKEN_BYTES]; /* "" none */
    char txn[CL_TXN_BYTES];     /* "" outside a transaction */
    char *stmt;                 /* allocated; NULL for begin, commit, rollback */
    bool repeat_safe;           /* running the request twice is harmless */
    int64_t age_ms;             /* greatest accepted age of a read's data; -1: none accepted */
    int64_t deadline_ms;        /* from now */
    int64_t issued_ms;          /* wall clock at the first sending of this id; 0 not given */
    int priority;               /* 0 normal, 1 first within its kind */
    bool resend;                /* this id may have been sent before */
    uint64_t tag;               /* identifies a forwarded request in its answer; 0 none */
    bool hop;                   /* another entry node has forwarded the request */
};

struct cl_answer {
    enum er_kind kind; /* ER_NONE: a result */
    struct sr_str value;
    const char *token;     /* NULL or "" none */
    const char *txn;       /* BEGIN: name of the transaction */
    const char *served_by; /* instance id, for operators and tests; NULL none */
    bool replica;          /* a replica served it */
    bool duplicate;        /* the answer of an earlier run with the same id */
    bool durable;          /* stored by enough instances */
    int64_t retry_after_ms;
    const char *detail;
    uint64_t tag; /* 0 none */
};

/* Parses untrusted text. The request's id is set before the other fields, so that a refusal can
 * carry the id. Free with cl_request_free in any case. */
bool cl_parse(const char *text, size_t len, struct cl_request *r, struct er_err *err);
void cl_request_free(struct cl_request *r);
/* Writes the request as text, marked as forwarded, with the remaining deadline. */
void cl_write_request(struct sr_buf *out, const struct cl_request *r, int64_t deadline_ms);
/* Appends the answer's text. The tag comes last, where cl_strip_tag expects it. */
void cl_write_answer(struct sr_buf *out, const char *id, const struct cl_answer *a);
/* Returns the tag of an answer's text, 0 if none. Sets *len to the length of the text without
 * the tag and the closing brace. */
uint64_t cl_strip_tag(const char *text, size_t *len);
const char *cl_kind_name(enum cl_kind k);

#endif
