#include "proxy/pending.h"

static enum px_effect effect_of(const struct px_stmt *st)
{
    switch (st->verb) {
    case PX_V_COMMIT:
        return PX_COMMITS;
    case PX_V_ROLLBACK:
        return PX_ROLLS_BACK;
    case PX_V_READ:
    case PX_V_BEGIN:
    case PX_V_SET:
    case PX_V_PREPARE:
    case PX_V_DEALLOCATE:
        return PX_KEEPS_NOTHING;
    default: /* only the serving node knows what an EXECUTE does */
        return PX_WRITES;
    }
}

static enum px_effect effect_at(const struct px_pending *q, int i)
{
    uint64_t number = q->answered + (uint64_t)i;
    return number < q->unknown_until ? PX_WRITES : q->effects[number % PX_PENDING_KINDS];
}

static void add_request(struct px_pending *q, enum px_effect effect)
{
    uint64_t number = q->answered + (uint64_t)q->open;
    q->effects[number % PX_PENDING_KINDS] = (uint8_t)effect;
    if (q->open >= PX_PENDING_KINDS)
        q->unknown_until = number + 1;
    q->open++;
}

static void add_line(struct px_pending *q, const struct px_codec *codec)
{
    struct px_msg m;
    struct px_stmt st = {.verb = PX_V_BAD};
    size_t n = q->len > 0 && q->head[q->len - 1] == '\r' ? q->len - 1 : q->len;
    codec->parse((struct sr_str){q->head, n}, &m);
    if (m.kind == PX_END)
        return; /* has no answer */
    if (m.kind == PX_STATEMENT)
        codec->parse_text(m.text, &st);
    add_request(q, effect_of(&st));
}

void px_pending_add(struct px_pending *q, const struct px_codec *codec, enum px_txn txn,
                    const char *data, size_t len)
{
    q->txn = txn;
    for (size_t i = 0; i < len; i++) {
        bool ends_line = q->after_cr && data[i] == '\n';
        q->after_cr = data[i] == '\r';
        if (ends_line) {
            add_line(q, codec);
            q->len = 0;
        } else if (q->len < sizeof(q->head)) {
            q->head[q->len++] = data[i];
        }
    }
}

void px_pending_answered(struct px_pending *q, enum px_txn txn)
{
    bool wrote = q->open > 0 && effect_at(q, 0) == PX_WRITES;
    if (q->open > 0) {
        q->open--;
        q->answered++;
    }
    q->txn = txn;
    q->txn_wrote = (q->txn_wrote || wrote) && txn != PX_IDLE;
}

bool px_pending_harmless(const struct px_pending *q)
{
    if (q->open == 0)
        return true;
    if (q->open > 1)
        return false;
    switch (effect_at(q, 0)) {
    case PX_WRITES:
        return q->txn != PX_IDLE;
    case PX_COMMITS:
        return !q->txn_wrote;
    default:
        return true;
    }
}

bool px_pending_ends_txn(const struct px_pending *q)
{
    enum px_effect e = q->open > 0 ? effect_at(q, 0) : PX_KEEPS_NOTHING;
    return e == PX_COMMITS || e == PX_ROLLS_BACK;
}
