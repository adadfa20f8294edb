/* Tracks the pending requests of a session that another node serves, to decide what can be
 * reported about them if no answer arrives: whether they may have changed data.
 *
 * Pure functions. Only the first bytes of each field of a line are kept, so that the verb is
 * found behind an id of any length. A request whose effect is not known promises nothing. */
#ifndef FL_PROXY_PENDING_H
#define FL_PROXY_PENDING_H

#include "proxy/wire.h"

enum {
    PX_PENDING_HEAD_BYTES = 160, /* bytes kept of a line */
    /* Bytes kept of a field, more than the longest word of the protocol has. A longer one is
     * an id or an argument, of which only the presence matters. */
    PX_PENDING_FIELD_BYTES = 24,
    PX_PENDING_KINDS = 64, /* requests of which it is kept what they do */
};

/* What a request does to data. */
enum px_effect {
    PX_KEEPS_NOTHING, /* a read, a setup statement */
    PX_WRITES,        /* or may: EXECUTE. Does not end a transaction. */
    PX_COMMITS,
    PX_ROLLS_BACK,
    PX_UNKNOWN, /* any of the above: it can't be parsed, or its effect is not kept */
};

struct px_pending {
    char head[PX_PENDING_HEAD_BYTES]; /* start of the incomplete line, its fields shortened */
    size_t len;
    size_t field_len;       /* bytes of the line's last field so far */
    bool after_cr;          /* the last byte was a CR, which may begin the line's end */
    int open;               /* complete requests without an answer, the oldest first */
    uint64_t answered;      /* requests so far that were answered */
    uint64_t unknown_until; /* the effects of requests before this one are not kept */
    uint8_t effects[PX_PENDING_KINDS]; /* ring, by number of request */
    enum px_txn txn;                   /* after the last answer */
    bool txn_wrote; /* the open transaction wrote, or may have, by the requests answered */
    /* An instance ran a request of the open transaction within it, so its BEGIN has run. */
    bool txn_ran;
    bool is_signed; /* the answer to the oldest request, so far */
};

/* Adds input from the caller; `txn` is the session's state after the last answer. */
void px_pending_add(struct px_pending *q, const struct px_codec *codec, enum px_txn txn,
                    const char *data, size_t len);
/* Whether the last line that was added is incomplete. */
bool px_pending_partial(const struct px_pending *q);
/* The answer to the oldest pending request, which is not complete yet, is an instance's. */
void px_pending_signed(struct px_pending *q);
/* Records that the oldest pending request was answered. */
void px_pending_answered(struct px_pending *q, enum px_txn txn);
/* Whether nothing of the pending requests is kept, whether or not they ran: reads, or
 * statements of a transaction that has begun for certain, without a COMMIT request. Of several
 * nothing is known, as the state in which the later ones run is not. */
bool px_pending_harmless(const struct px_pending *q);
/* Whether the caller gains nothing by waiting for the answer once its session is lost: the
 * request is harmless, or belongs to a transaction that can't be committed any more. */
bool px_pending_may_abandon(const struct px_pending *q);
/* Whether the oldest pending request certainly ends the transaction. */
bool px_pending_ends_txn(const struct px_pending *q);

#endif
