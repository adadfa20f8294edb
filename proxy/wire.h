/* Messages on connections that are sessions, from callers to the proxy and from the proxy to
 * instances, as types. A codec (platform/) parses and writes them.
 *
 * PX_OPEN is answered by PX_READY, or by PX_FAILURE and a close. Each PX_STATEMENT is answered
 * by any number of PX_ROW, then PX_DONE or PX_FAILURE, then PX_READY. PX_END ends the session.
 * Sent by an entry node to the node that relays the session, PX_END means that nothing received
 * after its last PX_READY was or will be run. */
#ifndef FL_PROXY_WIRE_H
#define FL_PROXY_WIRE_H

#include "misc/err.h"
#include "misc/pos.h"
#include "misc/str.h"

enum {
    PX_MAX_LINE = 1 << 20, /* maximum size of a message in bytes */
    /* Bytes kept of what a caller sends while its statement runs; the rest is not read yet. */
    PX_MAX_AHEAD = 16 << 10,
};

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

/* Transaction state of a session after an answer. */
enum px_txn {
    PX_IDLE,
    PX_IN_TXN,
    PX_TXN_FAILED, /* failed: only its end is accepted, which rolls back */
};

/* A message; its kind decides which fields are set. */
struct px_msg {
    enum px_kind kind;
    struct sr_str database;  /* PX_OPEN: from a caller the database, to an instance its group */
    struct sr_str identity;  /* PX_OPEN: who opens the session, a single word */
    struct sr_str expect;    /* PX_OPEN: the expected instance; empty: any */
    struct sr_str id;        /* PX_STATEMENT; empty for statements of the proxy itself */
    struct sr_str text;      /* PX_STATEMENT */
    bool has_floor;          /* PX_STATEMENT: run only if the log holds `pos` */
    struct sr_str row;       /* PX_ROW */
    struct sr_str signature; /* PX_DONE: from the instance; empty: nothing ran there */
    enum er_kind error;      /* PX_FAILURE */
    struct sr_str detail;    /* PX_FAILURE */
    enum px_txn txn;         /* PX_READY */
    bool has_pos;            /* PX_READY */
    struct ps_pos pos; /* PX_READY: position of the instance's log; PX_STATEMENT: the floor */
};

/* Kinds of statements. */
enum px_verb {
    PX_V_BAD, /* not a statement that callers may use */
    PX_V_BEGIN,
    PX_V_COMMIT,
    PX_V_ROLLBACK,
    PX_V_READ,
    PX_V_WRITE,
    PX_V_SET,
    PX_V_PREPARE,
    PX_V_EXECUTE,
    PX_V_DEALLOCATE, /* drops a prepared statement */
    PX_V_DISCARD,    /* sent to instances only: drops all values and prepared statements */
};

/* A parsed statement. */
struct px_stmt {
    enum px_verb verb;
    bool read_only;     /* BEGIN: a read-only transaction */
    bool writes;        /* PREPARE: whether the prepared statement writes */
    struct sr_str name; /* SET, PREPARE, EXECUTE, DEALLOCATE */
    /* SET: the value; PREPARE: the statement; EXECUTE: the arguments */
    struct sr_str value;
};

/* Status reported by an instance. */
struct px_status {
    bool primary;
    uint64_t term;
    struct ps_pos received; /* end of its log */
    int64_t lag_us;
    int busy, connections;
};

/* Functions that parse and write the messages and statements of an interface. */
struct px_codec {
    const char *name;
    /* Parses one message, without its line end, from untrusted input; sets kind PX_BAD if it is
     * not valid. */
    void (*parse)(struct sr_str line, struct px_msg *m);
    void (*parse_text)(struct sr_str text, struct px_stmt *st);
    bool (*parse_status)(struct sr_str row, struct px_status *st);
    /* Appends a message with its line end. */
    void (*put)(struct sr_buf *out, const struct px_msg *m);
    /* Appends the text of a statement. */
    void (*put_text)(struct sr_buf *out, const struct px_stmt *st);
};

/* A message is ended by CR LF; its last field may hold a CR or LF alone.
 *
 * Finds the next complete line of `in` at *at and moves *at behind it. Returns false if there
 * is none. */
bool px_next_line(const struct sr_buf *in, size_t *at, struct sr_str *line);
/* Whether a line ends in the last `n` bytes of `in`, which have just arrived: a message that
 * comes in many pieces is searched once. */
bool px_ends_line(const struct sr_buf *in, size_t n);
/* Like px_next_line, and parses the line; the strings of *m point into `in`. */
bool px_next_msg(const struct px_codec *codec, const struct sr_buf *in, size_t *at,
                 struct px_msg *m);
/* Removes the first `n` bytes, which were handled. */
void px_consume(struct sr_buf *in, size_t n);

/* The number of bytes of `in` that are complete lines; *last is the last of these lines, if
 * any, and points into `in`. For a stream that is only passed on, whose parts may end anywhere.
 */
size_t px_complete_lines(const struct sr_buf *in, struct sr_str *last);

#endif
