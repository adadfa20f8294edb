/* Tracks the pending request of a session that another node serves. If its reply is lost, the
 * relaying node must tell the caller whether the request can have had a lasting effect.
 *
 * Pure: no input, output or clock. Only the first bytes of each line are stored. If the effect
 * of a request is unknown, the request counts as one that may be committed. */
#ifndef FL_PROXY_PENDING_H
#define FL_PROXY_PENDING_H

#include "proxy/wire.h"

enum { PX_PENDING_HEAD_BYTES = 160 }; /* bytes of a line that are parsed: id and verb */

struct px_pending {
    char head[PX_PENDING_HEAD_BYTES]; /* first bytes of the incomplete line */
    size_t len;
    int open;       /* complete requests since the last reply */
    bool may_keep;  /* the effect of one of them may be committed */
    bool ends_txn;  /* the last of them ends the transaction */
    bool txn_wrote; /* the transaction wrote, or may have written */
    bool pipelined; /* a request came before the reply to another; the effects are unknown */
};

/* Adds bytes received from the caller; `txn` is the transaction state of the last reply. */
void px_pending_add(struct px_pending *q, const struct px_codec *codec, enum px_txn txn,
                    const char *data, size_t len);
/* All requests have been answered; the last reply reports the transaction state `txn`. */
void px_pending_answered(struct px_pending *q, enum px_txn txn);
/* Whether no pending request can have a lasting effect, executed or not: it is a read, or a
 * statement of a transaction whose COMMIT was not requested. */
bool px_pending_harmless(const struct px_pending *q);

#endif
