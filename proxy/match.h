/* What proves that an answer on a connection to an instance is the outstanding statement's.
 *
 * An answer carries no id, and an instance may send one a second time, at any time later. So an
 * answer is matched by what can't be a repeat of an earlier one on the connection.
 *
 * Signatures: one that the connection has not given before is the outstanding statement's, and
 * proves that all statements before it were answered; one that it has given is a repeat.
 *
 * Errors: those of a kind are alike. One is the outstanding statement's if the statement may
 * get it, the connection has given none of the kind before, and no setup statement that may get
 * it may still be unanswered. One that the statement can't get is a repeat. Any other is in
 * doubt.
 *
 * Setup statements (PREPARE, BEGIN, ...): their answers are alike too. One is taken if the
 * transaction state fits; if the connection gave one like it before, the statement may still be
 * unanswered until a new signature arrives.
 *
 * Pure functions. The history covers the whole life of a connection, so it does not matter how
 * late a repeat is; a connection that has given MT_MANY_SIGNATURES is to be closed when it is
 * idle. */
#ifndef FL_PROXY_MATCH_H
#define FL_PROXY_MATCH_H

#include "proxy/wire.h"

enum {
    MT_MANY_SIGNATURES = 2048,
    /* The bound of the history, reached only in a transaction. 16 bytes each, at half load. */
    MT_MAX_SIGNATURES = 65536,
    /* An instance that has given so many different signatures gives each only once. */
    MT_PROVED_UNIQUE = 16,
};

/* What the answer to the outstanding statement is like if it succeeds. */
enum mt_expected {
    MT_NOTHING, /* no statement is outstanding */
    MT_GREETING,
    MT_SIGNED,      /* a read, a write or COMMIT */
    MT_SETUP,       /* without a signature; no transaction is open after it */
    MT_SETUP_BEGIN, /* without a signature; BEGIN */
    MT_SETUP_IN_TXN /* without a signature; in an open transaction */
};

/* What is outstanding on a connection. */
struct mt_outstanding {
    enum mt_expected expected;
    uint64_t errors; /* the kinds of errors that it may get; mt_error_bit */
};

/* A whole answer, up to its PX_READY. */
struct mt_answer {
    bool done;               /* PX_DONE was received */
    enum er_kind error;      /* PX_FAILURE was received; ER_NONE: it was not */
    struct sr_str signature; /* empty: none */
    struct sr_str rows;      /* as sent to the caller */
    enum px_txn txn;
    bool has_pos;
    struct ps_pos pos;
};

enum mt_verdict {
    MT_TAKE,  /* the outstanding statement's */
    MT_DOUBT, /* an error, which may be an earlier one repeated */
    MT_DROP,  /* a repeat: the outstanding statement is still unanswered */
    MT_BROKEN /* incomplete, or nothing that may come here */
};

struct mt_signature {
    uint64_t digest; /* 0: free */
    uint64_t rows;   /* digest of the answer's rows */
};

/* What a connection has given. A zeroed struct is that of a new connection. */
struct mt_history {
    uint64_t conn; /* number of the connection, above 0 */
    int n, room;   /* signatures; size of the table, 0 or a power of two */
    struct mt_signature *signatures;
    uint64_t errors;    /* kinds of errors */
    bool setup[3];      /* an answer to a setup statement, by transaction state */
    bool unsettled;     /* a setup statement was taken for answered without proof */
    uint64_t owed;      /* the kinds of errors that such a statement may still get */
    bool begin_settled; /* the BEGIN of the open transaction was answered for certain */
    enum px_txn greeting_txn;
    bool greeting_has_pos;
    struct ps_pos greeting_pos;
    bool greeted_again; /* its repeat was dropped */
};

/* Whether an instance gives each signature once. One that signs alike can't be told from one
 * that repeats by its signatures; it is recognised by one signature on two connections. */
struct mt_signer {
    int n; /* different signatures so far, up to MT_PROVED_UNIQUE */
    struct {
        uint64_t digest, conn;
    } first[MT_PROVED_UNIQUE];
    bool alike; /* it signs alike: its signatures prove nothing */
};

_Static_assert(ER_COUNT <= 64, "a bit for each kind of error");
static inline uint64_t mt_error_bit(enum er_kind kind)
{
    return (uint64_t)1 << kind;
}

/* Judges an answer that arrived while `o` was outstanding, and records it. */
enum mt_verdict mt_judge(struct mt_history *h, struct mt_signer *by,
                         const struct mt_outstanding *o, const struct mt_answer *a);
/* Whether the connection should be closed as soon as it is idle: an error to a write could not
 * be proved, or its history is long. An error that only reads get does not wear it. */
bool mt_worn(const struct mt_history *h);
/* Whether no more signatures can be recorded. */
bool mt_full(const struct mt_history *h);
size_t mt_bytes(const struct mt_history *h);
void mt_free(struct mt_history *h);

#endif
