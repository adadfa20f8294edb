/* Messages of a session, between callers and the proxy, between the proxy and instances, and
 * between entry nodes for relayed sessions. A codec (platform/) parses and formats them.
 *
 * The reply to PX_OPEN is PX_READY, or PX_FAILURE followed by a close of the connection. The
 * reply to a PX_STATEMENT is any number of PX_ROW, then PX_DONE or PX_FAILURE, then PX_READY.
 * PX_END ends the session. Sent by the serving node of a relayed session to the relaying node,
 * it also guarantees that no statement that arrived after its last PX_READY was or will be
 * executed. */
#ifndef FL_PROXY_WIRE_H
#define FL_PROXY_WIRE_H

#include "misc/err.h"
#include "misc/pos.h"
#include "misc/str.h"

enum { PX_MAX_LINE = 1 << 20 }; /* maximum size of a message in bytes */

/* Kinds of messages. */
enum px_kind {
    PX_BAD, /* not a valid message */
    PX_OPEN,
    PX_STATEMENT,
    PX_END,
    PX_ROW,
    PX_DONE,
    PX_FAILURE,
    PX_READY
};

/* Transaction state of a session after a reply. */
enum px_txn {
    PX_IDLE,
    PX_IN_TXN,
    PX_TXN_FAILED, /* only COMMIT and ROLLBACK are accepted, and both roll back */
};

/* A message. Each field is used only by the kinds named beside it. */
struct px_msg {
    enum px_kind kind;
    struct sr_str database; /* PX_OPEN: from a caller the database; to an instance its group */
    /* PX_OPEN: one word; from a caller its key, from a relaying node its mark, to an instance
     * the account or the node's name. */
    struct sr_str identity;
    /* PX_OPEN: to an instance the id of the instance that must answer, or empty for any; from a
     * relaying node the caller's key. */
    struct sr_str expect;
    struct sr_str id;        /* PX_STATEMENT: empty in a statement of the proxy itself */
    struct sr_str text;      /* PX_STATEMENT */
    bool has_floor;          /* PX_STATEMENT: run only if the log has reached `pos` */
    struct sr_str row;       /* PX_ROW */
    struct sr_str signature; /* PX_DONE: signature of the instance; empty: it ran nothing */
    enum er_kind error;      /* PX_FAILURE */
    struct sr_str detail;    /* PX_FAILURE */
    enum px_txn txn;         /* PX_READY */
    bool has_pos;            /* PX_READY */
    struct ps_pos pos;       /* PX_READY: position of the instance's log; PX_STATEMENT: floor */
};

/* Kinds of statements. */
enum px_verb {
    PX_V_BAD, /* not a statement that callers may send */
    PX_V_BEGIN,
    PX_V_COMMIT,
    PX_V_ROLLBACK,
    PX_V_READ,
    PX_V_WRITE,
    PX_V_SET,
    PX_V_PREPARE,
    PX_V_EXECUTE,
    PX_V_DEALLOCATE, /* removes a prepared statement */
    PX_V_DISCARD,    /* to instances only: removes all values and prepared statements */
};

/* A parsed statement. The strings are not owned; after parse_text they point into its text. */
struct px_stmt {
    enum px_verb verb;
    bool read_only;     /* BEGIN: a transaction that only reads */
    bool writes;        /* PREPARE: whether the prepared statement writes */
    struct sr_str name; /* SET, PREPARE, EXECUTE, DEALLOCATE */
    /* SET: the value; PREPARE: the statement's text; EXECUTE: the text after the name */
    struct sr_str value;
};

/* The status that an instance reports. */
struct px_status {
    bool primary;
    uint64_t term;
    struct ps_pos received; /* end position of its log */
    int64_t lag_us;
    int busy, connections;
};

/* Functions that parse and format the messages and statements of an interface. */
struct px_codec {
    const char *name;
    /* Parses one message, given without its line end. The input is untrusted; m->kind is PX_BAD
     * if it is not a valid message. */
    void (*parse)(struct sr_str line, struct px_msg *m);
    void (*parse_text)(struct sr_str text, struct px_stmt *st);
    bool (*parse_status)(struct sr_str row, struct px_status *st);
    /* Appends a message with its line end. */
    void (*put)(struct sr_buf *out, const struct px_msg *m);
    /* Appends a statement's text. */
    void (*put_text)(struct sr_buf *out, const struct px_stmt *st);
};

/* Sets *line to the next line of `in` from offset *at, without its line end, and moves *at
 * behind it. False: the next line is incomplete. */
bool px_next_line(const struct sr_buf *in, size_t *at, struct sr_str *line);
/* Like px_next_line, and parses the line. The strings of *m point into `in`. */
bool px_next_msg(const struct px_codec *codec, const struct sr_buf *in, size_t *at,
                 struct px_msg *m);
/* Removes the first `n` bytes, which were processed. */
void px_consume(struct sr_buf *in, size_t n);

/* Returns the number of bytes of `in` that are complete lines and sets *last to the last of
 * them, if any; it points into `in`. Used for a relayed stream, which may be received in pieces
 * that end within a line. */
size_t px_complete_lines(const struct sr_buf *in, struct sr_str *last);

#endif
