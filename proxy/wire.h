/* What callers whose connection is a session say, and what instances that hold their databases
 * say: the same messages on both sides, as types. A codec (platform/) reads and writes them.
 *
 * On a session: PX_OPEN is answered by PX_READY, or by PX_FAILURE and a close. Each
 * PX_STATEMENT is answered by any PX_ROW, then PX_DONE or PX_FAILURE, then PX_READY. PX_END is
 * the end; between entry nodes, from the one that serves a relayed session, it says that
 * nothing that came after its last PX_READY was or will be run. */
#ifndef FL_PROXY_WIRE_H
#define FL_PROXY_WIRE_H

#include "misc/err.h"
#include "misc/pos.h"
#include "misc/str.h"

enum { PX_MAX_LINE = 1 << 20 }; /* bytes of a message */

/* What a message is. */
enum px_kind {
    PX_BAD, /* can't be understood */
    PX_OPEN,
    PX_STATEMENT,
    PX_END,
    PX_ROW,
    PX_DONE,
    PX_FAILURE,
    PX_READY
};

/* Where a session stands after an answer. */
enum px_txn {
    PX_IDLE,
    PX_IN_TXN,
    PX_TXN_FAILED, /* only its end is taken, and that rolls back */
};

/* A message; which fields count depends on its kind. */
struct px_msg {
    enum px_kind kind;
    struct sr_str database;  /* PX_OPEN: of a caller the database, to an instance its group */
    struct sr_str identity;  /* PX_OPEN: any word */
    struct sr_str expect;    /* PX_OPEN: the instance that is meant; empty: any */
    struct sr_str id;        /* PX_STATEMENT: empty: the proxy's own */
    struct sr_str text;      /* PX_STATEMENT */
    bool has_floor;          /* PX_STATEMENT: the log must hold `pos`, else it is not run */
    struct sr_str row;       /* PX_ROW */
    struct sr_str signature; /* PX_DONE: the instance's; empty: it ran nothing */
    enum er_kind error;      /* PX_FAILURE */
    struct sr_str detail;    /* PX_FAILURE */
    enum px_txn txn;         /* PX_READY */
    bool has_pos;            /* PX_READY */
    struct ps_pos pos;       /* PX_READY: of the instance's log; PX_STATEMENT: the floor */
};

/* What a statement does. */
enum px_verb {
    PX_V_BAD, /* not one that callers may use */
    PX_V_BEGIN,
    PX_V_COMMIT,
    PX_V_ROLLBACK,
    PX_V_READ,
    PX_V_WRITE,
    PX_V_SET,
    PX_V_PREPARE,
    PX_V_EXECUTE,
    PX_V_DEALLOCATE, /* a prepared name */
    PX_V_DISCARD,    /* to instances: all values and prepared names */
};

/* A statement's text, taken apart. */
struct px_stmt {
    enum px_verb verb;
    bool read_only;     /* BEGIN: a transaction that only reads */
    bool writes;        /* PREPARE: what it will do */
    struct sr_str name; /* SET, PREPARE, EXECUTE, FORGET */
    /* SET: the value; PREPARE: the shape; EXECUTE: what follows the name */
    struct sr_str value;
};

/* What an instance says of itself. */
struct px_status {
    bool primary;
    uint64_t term;
    struct ps_pos received; /* its log's end */
    int64_t lag_us;
    int busy, connections;
};

/* How an interface writes messages and statements. */
struct px_codec {
    const char *name;
    /* One message, without its line end. Untrusted; kind PX_BAD if it is none. */
    void (*parse)(struct sr_str line, struct px_msg *m);
    void (*parse_text)(struct sr_str text, struct px_stmt *st);
    bool (*parse_status)(struct sr_str row, struct px_status *st);
    /* Append a message with its line end. */
    void (*put)(struct sr_buf *out, const struct px_msg *m);
    /* Append a statement's text. */
    void (*put_text)(struct sr_buf *out, const struct px_stmt *st);
};

/* Cut the next line out of `in` from *at on; *at moves behind it. False: none is whole yet. */
bool px_next_line(const struct sr_buf *in, size_t *at, struct sr_str *line);
/* The same, and what the line says; its strings point into `in`. */
bool px_next_msg(const struct px_codec *codec, const struct sr_buf *in, size_t *at,
                 struct px_msg *m);
/* Drop the first `n` bytes, which were read. */
void px_consume(struct sr_buf *in, size_t n);

/* How many bytes of `in` are whole lines, and the last of them, if any; it points into `in`.
 * For a stream that is only passed on: its pieces may end anywhere. */
size_t px_complete_lines(const struct sr_buf *in, struct sr_str *last);

#endif
