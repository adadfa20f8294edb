#include "misc/pack.h"

#include <stdlib.h>

#include <zlib.h>

enum {
    MAX_PLAIN_BYTES = 1024, /* up to this size, compression costs more than it saves */
    HEADER_BYTES = 5, /* a NUL byte, then the length of the text (4 bytes, little-endian) */
};

void pk_pack(struct sr_str text, struct sr_buf *out)
{
    if (text.len <= MAX_PLAIN_BYTES) {
        sr_buf_add(out, text.p, text.len);
        return;
    }
    uLongf len = compressBound(text.len);
    Bytef *p = sr_alloc(HEADER_BYTES + len);
    if (compress2(p + HEADER_BYTES, &len, (const Bytef *)text.p, text.len, Z_BEST_SPEED) !=
        Z_OK)
        abort(); /* out of memory, as the output buffer is large enough */
    p[0] = 0;
    for (int i = 1; i < HEADER_BYTES; i++)
        p[i] = (Bytef)(text.len >> (8 * (i - 1)));
    if (HEADER_BYTES + len < text.len)
        sr_buf_add(out, p, HEADER_BYTES + len);
    else
        sr_buf_add(out, text.p, text.len);
    free(p);
}

bool pk_unpack(struct sr_str s, size_t max, struct sr_buf *out, struct er_err *err)
{
    if (s.len == 0 || s.p[0] != 0) {
        sr_buf_add(out, s.p, s.len);
        return true;
    }
    if (s.len < HEADER_BYTES)
        return er_set(err, ER_CORRUPT,
                      "compressed text has only %zu bytes, less than its header", s.len);
    uLongf len = 0;
    for (int i = HEADER_BYTES - 1; i > 0; i--)
        len = len << 8 | (unsigned char)s.p[i];
    if (len > max)
        return er_set(err, ER_TOO_LARGE,
                      "compressed text holds %lu bytes, expected at most %zu", len, max);
    Bytef *p = sr_alloc(len + 1);
    uLongf got = len;
    int rc = uncompress(p, &got, (const Bytef *)s.p + HEADER_BYTES, s.len - HEADER_BYTES);
    bool ok = rc == Z_OK && got == len;
    if (ok)
        sr_buf_add(out, p, len);
    else
        er_set(err, ER_CORRUPT, "can't decompress a text of %lu bytes (zlib result %d)", len,
               rc);
    free(p);
    return ok;
}
