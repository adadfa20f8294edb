/* Tracks the pending requests of a session that another node serves, to decide what can be
 * reported about them if no answer arrives: whether they may have changed data.
 *
 * Pure functions. Only the first bytes of each line are kept. In doubt, a request counts as one
 * that may have changed data. */
#ifndef FL_PROXY_PENDING_H
#define FL_PROXY_PENDING_H

#include "proxy/wire.h"

enum { PX_PENDING_HEAD_BYTES = 160 }; /* bytes of a line that are parsed: id and verb */

struct px_pending {
    char head[PX_PENDING_HEAD_BYTES]; /* start of the incomplete line */
    size_t len;
    bool after_cr;  /* the last byte was a CR, which may begin the line's end */
    int open;       /* complete requests since the last answer */
    bool may_keep;  /* one of them may have changed data */
    bool ends_txn;  /* the last of them ends the transaction */
    bool txn_wrote; /* the transaction wrote, or may have */
    bool pipelined; /* a request arrived before the answer to another: no more is known */
};

/* Adds input from the caller; `txn` is the session's state after the last answer. */
void px_pending_add(struct px_pending *q, const struct px_codec *codec, enum px_txn txn,
                    const char *data, size_t len);
/* Records that all pending requests were answered. */
void px_pending_answered(struct px_pending *q, enum px_txn txn);
/* Whether nothing of the pending requests is kept, whether or not they ran: reads, or
 * statements of a transaction without a COMMIT request. */
bool px_pending_harmless(const struct px_pending *q);

#endif
