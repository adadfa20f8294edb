/* What the open question of a session that another node serves may leave behind, if no answer
 * to it comes: what may truthfully be said of it then.
 *
 * Pure; only the beginnings of lines are kept. In doubt a question keeps something. */
#ifndef FL_PROXY_PENDING_H
#define FL_PROXY_PENDING_H

#include "proxy/wire.h"

enum { PX_PENDING_HEAD_BYTES = 160 }; /* bytes of a line that are looked at: id and verb */

struct px_pending {
    char head[PX_PENDING_HEAD_BYTES]; /* of the line that is not whole yet */
    size_t len;
    int open;       /* whole questions since the last answer */
    bool may_keep;  /* one of them may be kept */
    bool ends_txn;  /* the last of them ends the transaction */
    bool txn_wrote; /* the transaction did, or may have */
    bool pipelined; /* a question came before the answer to another: no more is known */
};

/* The caller says this; `txn` is where the last answer left the session. */
void px_pending_add(struct px_pending *q, const struct px_codec *codec, enum px_txn txn,
                    const char *data, size_t len);
/* All of it is answered. */
void px_pending_answered(struct px_pending *q, enum px_txn txn);
/* Whether nothing of what is open is kept, whether or not it was carried out: a read, or a
 * statement of a transaction whose COMMIT nobody has asked for. */
bool px_pending_harmless(const struct px_pending *q);

#endif
