#include "session/token.h"

#include <sodium.h>
#include <xxhash.h>

enum { VERSION = 1, MAC = 16, BODY = 1 + 8 + 8 + 8, RAW = BODY + MAC };

_Static_assert(sodium_base64_ENCODED_LEN(RAW, sodium_base64_VARIANT_URLSAFE_NO_PADDING) ==
                   SS_TOKEN_TEXT_BYTES,
               "token length");

void ss_key_from(struct ss_key *key, struct sr_str secret)
{
    crypto_generichash(key->k, sizeof(key->k), (const unsigned char *)secret.p, secret.len,
                       NULL, 0);
}

static void put(unsigned char *p, uint64_t v)
{
    for (int i = 0; i < 8; i++)
        p[i] = (unsigned char)(v >> (8 * i));
}

static uint64_t get(const unsigned char *p)
{
    uint64_t v = 0;
    for (int i = 0; i < 8; i++)
        v |= (uint64_t)p[i] << (8 * i);
    return v;
}

static void mac(const struct ss_key *key, const unsigned char *body, unsigned char *out)
{
    crypto_generichash(out, MAC, body, BODY, key->k, sizeof(key->k));
}

void ss_token_make(const struct ss_key *key, struct sr_str db, struct ps_pos pos, char *out)
{
    unsigned char raw[RAW];
    raw[0] = VERSION;
    put(raw + 1, XXH64(db.p, db.len, 0));
    put(raw + 9, pos.term);
    put(raw + 17, pos.pos);
    mac(key, raw, raw + BODY);
    sodium_bin2base64(out, SS_TOKEN_TEXT_BYTES, raw, sizeof(raw),
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

bool ss_token_read(const struct ss_key *key, struct sr_str db, struct sr_str text,
                   struct ps_pos *pos)
{
    unsigned char raw[RAW], want[MAC];
    size_t n = 0;
    if (text.len != SS_TOKEN_TEXT_BYTES - 1)
        return false;
    if (sodium_base642bin(raw, sizeof(raw), text.p, text.len, NULL, &n, NULL,
                          sodium_base64_VARIANT_URLSAFE_NO_PADDING) != 0 ||
        n != RAW || raw[0] != VERSION)
        return false;
    mac(key, raw, want);
    if (sodium_memcmp(want, raw + BODY, MAC) != 0)
        return false;
    if (get(raw + 1) != XXH64(db.p, db.len, 0))
        return false;
    pos->term = get(raw + 9);
    pos->pos = get(raw + 17);
    return true;
}
