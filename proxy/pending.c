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
    case PX_V_WRITE:
    case PX_V_EXECUTE: /* only the serving node knows what it does */
        return PX_WRITES;
    default:
        return PX_UNKNOWN;
    }
}

static enum px_effect effect_at(const struct px_pending *q, int i)
{
    uint64_t number = q->answered + (uint64_t)i;
    return number < q->unknown_until ? PX_UNKNOWN : q->effects[number % PX_PENDING_KINDS];
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
    codec->parse((struct sr_str){q->head, q->len}, &m);
    if (m.kind == PX_END)
        return; /* has no answer */
    if (m.kind == PX_STATEMENT)
        codec->parse_text(m.text, &st);
    add_request(q, effect_of(&st));
}

static void keep_byte(struct px_pending *q, char c)
{
    q->field_len = c == ' ' ? 0 : q->field_len + 1;
    if (q->field_len <= PX_PENDING_FIELD_BYTES && q->len < sizeof(q->head))
        q->head[q->len++] = c;
}

void px_pending_add(struct px_pending *q, const struct px_codec *codec, enum px_txn txn,
                    const char *data, size_t len)
{
    q->txn = txn;
    for (size_t i = 0; i < len; i++) {
        bool ends_line = q->after_cr && data[i] == '\n';
        if (q->after_cr && !ends_line)
            keep_byte(q, '\r');
        q->after_cr = data[i] == '\r';
        if (ends_line) {
            add_line(q, codec);
            q->len = q->field_len = 0;
        } else if (!q->after_cr) {
            keep_byte(q, data[i]);
        }
    }
}

bool px_pending_partial(const struct px_pending *q)
{
    return q->len > 0 || q->after_cr;
}

void px_pending_answered(struct px_pending *q, enum px_txn txn)
{
    enum px_effect e = q->open > 0 ? effect_at(q, 0) : PX_KEEPS_NOTHING;
    bool wrote = e == PX_WRITES || e == PX_UNKNOWN;
    if (q->open > 0) {
        q->open--;
        q->answered++;
    }
    q->txn = txn;
    q->txn_wrote = (q->txn_wrote || wrote) && txn != PX_IDLE;
    q->txn_ran = (q->txn_ran || q->is_signed) && txn == PX_IN_TXN;
    q->is_signed = false;
}

void px_pending_signed(struct px_pending *q)
{
    q->is_signed = true;
}

bool px_pending_harmless(const struct px_pending *q)
{
    if (q->open == 0)
        return true;
    if (q->open > 1)
        return false;
    switch (effect_at(q, 0)) {
    case PX_KEEPS_NOTHING:
    case PX_ROLLS_BACK:
        return true;
    case PX_WRITES: /* if the BEGIN before it was refused, it ran outside of a transaction */
        return q->txn == PX_TXN_FAILED || q->txn_ran;
    case PX_COMMITS:
        return !q->txn_wrote;
    default:
        return false;
    }
}

bool px_pending_may_abandon(const struct px_pending *q)
{
    bool write_in_txn = q->open == 1 && q->txn != PX_IDLE && effect_at(q, 0) == PX_WRITES;
    return write_in_txn || px_pending_harmless(q);
}

bool px_pending_ends_txn(const struct px_pending *q)
{
    enum px_effect e = q->open > 0 ? effect_at(q, 0) : PX_KEEPS_NOTHING;
    return e == PX_COMMITS || e == PX_ROLLS_BACK;
}
