#include "proxy/match.h"

#include <stdlib.h>

#include <xxhash.h>

/* ---- signatures ---- */

static uint64_t digest_of(struct sr_str s)
{
    uint64_t d = s.len ? XXH64(s.p, s.len, 0) : 0;
    return d ? d : 1;
}

static struct mt_signature *slot_of(const struct mt_history *h, uint64_t digest)
{
    size_t mask = (size_t)h->room - 1, i = (size_t)digest & mask;
    while (h->signatures[i].digest && h->signatures[i].digest != digest)
        i = (i + 1) & mask;
    return &h->signatures[i];
}

static const struct mt_signature *find(const struct mt_history *h, uint64_t digest)
{
    if (h->room == 0)
        return NULL;
    const struct mt_signature *at = slot_of(h, digest);
    return at->digest ? at : NULL;
}

static void grow(struct mt_history *h)
{
    enum { FIRST_ROOM = 16 };
    struct mt_signature *old = h->signatures;
    int n = h->room;
    h->room = n ? 2 * n : FIRST_ROOM;
    h->signatures = sr_alloc(sizeof(*h->signatures) * (size_t)h->room);
    for (int i = 0; i < n; i++) {
        if (old[i].digest)
            *slot_of(h, old[i].digest) = old[i];
    }
    free(old);
}

static void add(struct mt_history *h, uint64_t digest, uint64_t rows)
{
    if (mt_full(h))
        return;
    if (2 * (h->n + 1) > h->room)
        grow(h);
    struct mt_signature *at = slot_of(h, digest);
    h->n += at->digest == 0;
    *at = (struct mt_signature){digest, rows};
}

/* Records a signature of an instance that has not given many yet. */
static void note_signer(struct mt_signer *by, uint64_t digest, uint64_t conn)
{
    if (by->n == MT_PROVED_UNIQUE)
        return;
    for (int i = 0; i < by->n; i++) {
        if (by->first[i].digest != digest)
            continue;
        by->alike = by->alike || by->first[i].conn != conn;
        return;
    }
    by->first[by->n].digest = digest;
    by->first[by->n].conn = conn;
    by->n++;
    if (by->n == MT_PROVED_UNIQUE)
        by->alike = false;
}

static enum mt_verdict take_signed(struct mt_history *h, enum mt_expected expected,
                                   const struct mt_answer *a)
{
    if (expected != MT_SIGNED)
        return MT_BROKEN;
    h->unsettled = false;
    h->owed = 0;
    h->begin_settled = a->txn != PX_IDLE;
    return MT_TAKE;
}

static enum mt_verdict judge_signed(struct mt_history *h, struct mt_signer *by,
                                    enum mt_expected expected, const struct mt_answer *a)
{
    uint64_t digest = digest_of(a->signature), rows = digest_of(a->rows);
    const struct mt_signature *before = find(h, digest);
    note_signer(by, digest, h->conn);
    if (by->alike)
        return take_signed(h, expected, a);
    if (before) /* with other rows, two answers are mixed */
        return before->rows == rows ? MT_DROP : MT_BROKEN;
    add(h, digest, rows);
    return take_signed(h, expected, a);
}

/* ---- errors ---- */

static enum mt_verdict judge_error(struct mt_history *h, const struct mt_outstanding *o,
                                   enum er_kind error)
{
    uint64_t bit = mt_error_bit(error);
    bool given = h->errors & bit, owed = h->owed & bit;
    h->errors |= bit;
    if (!(o->errors & bit)) /* a setup statement that failed after all is no repeat */
        return given && !owed ? MT_DROP : MT_BROKEN;
    return given || owed ? MT_DOUBT : MT_TAKE;
}

/* ---- answers to setup statements ---- */

static bool fits(enum mt_expected expected, enum px_txn txn)
{
    switch (expected) {
    case MT_SETUP:
        return txn == PX_IDLE;
    case MT_SETUP_BEGIN:
    case MT_SETUP_IN_TXN:
        return txn == PX_IN_TXN;
    default:
        return false;
    }
}

static enum mt_verdict judge_unsigned(struct mt_history *h, const struct mt_outstanding *o,
                                      const struct mt_answer *a)
{
    bool any_before = h->setup[PX_IDLE] || h->setup[PX_IN_TXN] || h->setup[PX_TXN_FAILED];
    if (!fits(o->expected, a->txn))
        return any_before ? MT_DROP : MT_BROKEN;
    bool proved = !h->setup[a->txn];
    h->setup[a->txn] = true;
    if (!proved) {
        h->unsettled = true;
        h->owed |= o->errors;
    }
    if (o->expected == MT_SETUP_BEGIN)
        h->begin_settled = proved;
    return MT_TAKE;
}

/* ---- a PX_READY alone ---- */

static enum mt_verdict judge_bare(struct mt_history *h, enum mt_expected expected,
                                  const struct mt_answer *a)
{
    if (expected == MT_GREETING) {
        h->greeting_txn = a->txn;
        h->greeting_has_pos = a->has_pos;
        h->greeting_pos = a->pos;
        return MT_TAKE;
    }
    bool greets = !h->greeted_again && a->rows.len == 0 && a->txn == h->greeting_txn &&
                  a->has_pos == h->greeting_has_pos &&
                  (!a->has_pos || ps_cmp(a->pos, h->greeting_pos) == 0);
    h->greeted_again = h->greeted_again || greets;
    return greets ? MT_DROP : MT_BROKEN;
}

enum mt_verdict mt_judge(struct mt_history *h, struct mt_signer *by,
                         const struct mt_outstanding *o, const struct mt_answer *a)
{
    if (!a->done && a->error == ER_NONE)
        return judge_bare(h, o->expected, a);
    if (o->expected == MT_GREETING)
        return MT_BROKEN;
    if (a->error != ER_NONE)
        return judge_error(h, o, a->error);
    if (a->signature.len > 0)
        return judge_signed(h, by, o->expected, a);
    return judge_unsigned(h, o, a);
}

bool mt_worn(const struct mt_history *h)
{
    return (h->errors & ~mt_error_bit(ER_BEHIND)) || h->n >= MT_MANY_SIGNATURES;
}

bool mt_full(const struct mt_history *h)
{
    return h->n >= MT_MAX_SIGNATURES;
}

size_t mt_bytes(const struct mt_history *h)
{
    return (size_t)h->room * sizeof(*h->signatures);
}

void mt_free(struct mt_history *h)
{
    free(h->signatures);
    *h = (struct mt_history){.conn = h->conn};
}
