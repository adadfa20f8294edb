#include "proxy/pending.h"

#include <string.h>

/* Records a write: outside a transaction it is kept; inside one, the COMMIT decides. */
static void add_write(struct px_pending *q, enum px_txn txn)
{
    q->txn_wrote = true;
    q->may_keep = q->may_keep || txn == PX_IDLE;
}

static void add_statement(struct px_pending *q, const struct px_stmt *st, enum px_txn txn)
{
    q->ends_txn = false;
    switch (st->verb) {
    case PX_V_COMMIT:
        q->ends_txn = true;
        q->may_keep = q->may_keep || q->txn_wrote;
        break;
    case PX_V_ROLLBACK:
        q->ends_txn = true;
        break;
    case PX_V_READ:
    case PX_V_BEGIN:
    case PX_V_SET:
    case PX_V_PREPARE:
    case PX_V_DEALLOCATE:
        break;
    default: /* EXECUTE counts as a write, as only the serving node knows what it does */
        add_write(q, txn);
        break;
    }
}

static void add_line(struct px_pending *q, const struct px_codec *codec, enum px_txn txn)
{
    struct px_msg m;
    struct px_stmt st = {.verb = PX_V_BAD};
    size_t n = q->len > 0 && q->head[q->len - 1] == '\r' ? q->len - 1 : q->len;
    codec->parse((struct sr_str){q->head, n}, &m);
    if (m.kind == PX_END)
        return; /* has no answer */
    q->pipelined = q->pipelined || q->open > 0;
    q->open++;
    if (m.kind == PX_STATEMENT)
        codec->parse_text(m.text, &st);
    add_statement(q, &st, txn);
}

void px_pending_add(struct px_pending *q, const struct px_codec *codec, enum px_txn txn,
                    const char *data, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        bool ends_line = q->after_cr && data[i] == '\n';
        q->after_cr = data[i] == '\r';
        if (ends_line) {
            add_line(q, codec, txn);
            q->len = 0;
        } else if (q->len < sizeof(q->head)) {
            q->head[q->len++] = data[i];
        }
    }
}

void px_pending_answered(struct px_pending *q, enum px_txn txn)
{
    q->open = 0;
    q->may_keep = q->ends_txn = false;
    q->txn_wrote = q->txn_wrote && txn != PX_IDLE;
}

bool px_pending_harmless(const struct px_pending *q)
{
    return !q->pipelined && !q->may_keep;
}
