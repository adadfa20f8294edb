/* Encodes and verifies session tokens. */
#include "session/token.h"

#include <sodium.h>
#include <xxhash.h>

enum {
    TOKEN_VERSION = 1,
    MAC_BYTES = 16,
    BODY_BYTES = 1 + 8 + 8 + 8,
    TOKEN_BYTES = BODY_BYTES + MAC_BYTES
};

_Static_assert(sodium_base64_ENCODED_LEN(TOKEN_BYTES,
                                         sodium_base64_VARIANT_URLSAFE_NO_PADDING) ==
                   SS_TOKEN_TEXT_BYTES,
               "token length");

void ss_key_from(struct ss_key *key, struct sr_str secret)
{
    crypto_generichash(key->k, sizeof(key->k), (const unsigned char *)secret.p, secret.len,
                       NULL, 0);
}

static void put_u64(unsigned char *p, uint64_t v)
{
    for (int i = 0; i < 8; i++)
        p[i] = (unsigned char)(v >> (8 * i));
}

static uint64_t get_u64(const unsigned char *p)
{
    uint64_t v = 0;
    for (int i = 0; i < 8; i++)
        v |= (uint64_t)p[i] << (8 * i);
    return v;
}

static void compute_mac(const struct ss_key *key, const unsigned char *body, unsigned char *out)
{
    crypto_generichash(out, MAC_BYTES, body, BODY_BYTES, key->k, sizeof(key->k));
}

void ss_token_make(const struct ss_key *key, struct sr_str db, struct ps_pos pos, char *out)
{
    unsigned char raw[TOKEN_BYTES];
    raw[0] = TOKEN_VERSION;
    put_u64(raw + 1, XXH64(db.p, db.len, 0));
    put_u64(raw + 9, pos.term);
    put_u64(raw + 17, pos.pos);
    compute_mac(key, raw, raw + BODY_BYTES);
    sodium_bin2base64(out, SS_TOKEN_TEXT_BYTES, raw, sizeof(raw),
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

bool ss_token_read(const struct ss_key *key, struct sr_str db, struct sr_str text,
                   struct ps_pos *pos)
{
    unsigned char raw[TOKEN_BYTES], expected[MAC_BYTES];
    size_t n = 0;
    if (text.len != SS_TOKEN_TEXT_BYTES - 1)
        return false;
    if (sodium_base642bin(raw, sizeof(raw), text.p, text.len, NULL, &n, NULL,
                          sodium_base64_VARIANT_URLSAFE_NO_PADDING) != 0 ||
        n != TOKEN_BYTES || raw[0] != TOKEN_VERSION)
        return false;
    compute_mac(key, raw, expected);
    if (sodium_memcmp(expected, raw + BODY_BYTES, MAC_BYTES) != 0)
        return false;
    if (get_u64(raw + 1) != XXH64(db.p, db.len, 0))
        return false;
    pos->term = get_u64(raw + 9);
    pos->pos = get_u64(raw + 17);
    return true;
}
