/* Tracks the pending requests of a session that another node serves, to decide what can be
 * reported about them if no answer arrives: whether they may have changed data.
 *
 * Pure functions. Only the first bytes of each line are kept. In doubt, a request counts as one
 * that may have changed data. */
#ifndef FL_PROXY_PENDING_H
#define FL_PROXY_PENDING_H

#include "proxy/wire.h"

enum {
    PX_PENDING_HEAD_BYTES = 160, /* bytes of a line that are parsed: id and verb */
    PX_PENDING_KINDS = 64,       /* requests of which it is kept what they do */
};

/* What a request does to data. */
enum px_effect {
    PX_KEEPS_NOTHING, /* a read, a setup statement */
    PX_WRITES,        /* or may: EXECUTE, and what can't be parsed or is not kept */
    PX_COMMITS,
    PX_ROLLS_BACK
};

struct px_pending {
    char head[PX_PENDING_HEAD_BYTES]; /* start of the incomplete line */
    size_t len;
    bool after_cr;          /* the last byte was a CR, which may begin the line's end */
    int open;               /* complete requests without an answer, the oldest first */
    uint64_t answered;      /* requests so far that were answered */
    uint64_t unknown_until; /* the effects of requests before this one are not kept */
    uint8_t effects[PX_PENDING_KINDS]; /* ring, by number of request */
    enum px_txn txn;                   /* after the last answer */
    bool txn_wrote; /* the open transaction wrote, or may have, by the requests answered */
};

/* Adds input from the caller; `txn` is the session's state after the last answer. */
void px_pending_add(struct px_pending *q, const struct px_codec *codec, enum px_txn txn,
                    const char *data, size_t len);
/* Records that the oldest pending request was answered. */
void px_pending_answered(struct px_pending *q, enum px_txn txn);
/* Whether nothing of the pending requests is kept, whether or not they ran: reads, or
 * statements of a transaction without a COMMIT request. Of several nothing is known, as the
 * state in which the later ones run is not. */
bool px_pending_harmless(const struct px_pending *q);
/* Whether the oldest pending request ends the transaction. */
bool px_pending_ends_txn(const struct px_pending *q);

#endif
