#include "wire/claims.h"

#include <stdint.h>

struct scan {
    const unsigned char *p;
    size_t left;
};

static bool skip(struct scan *s, uint64_t n)
{
    if (n > s->left)
        return false;
    s->p += n;
    s->left -= (size_t)n;
    return true;
}

/* Reads a big-endian number of this many bytes. */
static bool read_number(struct scan *s, int bytes, uint64_t *out)
{
    const unsigned char *p = s->p;
    *out = 0;
    if (!skip(s, (uint64_t)bytes))
        return false;
    for (int i = 0; i < bytes; i++)
        *out = *out << 8 | p[i];
    return true;
}

/* Skips a string, binary or extension value: a length of 1, 2 or 4 bytes, that many bytes of
 * content, and `more` bytes for the extension type. */
static bool skip_sized(struct scan *s, int bytes, int more)
{
    uint64_t n;
    return read_number(s, bytes, &n) && skip(s, n + (uint64_t)more);
}

/* Skips the bytes after the first one of a value that is no array or map. */
static bool skip_scalar(struct scan *s, unsigned char type)
{
    static const unsigned char fixed[] = {
        [0xca - 0xc0] = 4, [0xcb - 0xc0] = 8, [0xcc - 0xc0] = 1, [0xcd - 0xc0] = 2,
        [0xce - 0xc0] = 4, [0xcf - 0xc0] = 8, [0xd0 - 0xc0] = 1, [0xd1 - 0xc0] = 2,
        [0xd2 - 0xc0] = 4, [0xd3 - 0xc0] = 8, [0xd4 - 0xc0] = 2, [0xd5 - 0xc0] = 3,
        [0xd6 - 0xc0] = 5, [0xd7 - 0xc0] = 9, [0xd8 - 0xc0] = 17};
    if (type >= 0xa0 && type <= 0xbf)
        return skip(s, type & 0x1f);
    if (type >= 0xc4 && type <= 0xc6)
        return skip_sized(s, 1 << (type - 0xc4), 0);
    if (type >= 0xc7 && type <= 0xc9)
        return skip_sized(s, 1 << (type - 0xc7), 1);
    if (type >= 0xd9 && type <= 0xdb)
        return skip_sized(s, 1 << (type - 0xd9), 0);
    return skip(s, fixed[type - 0xc0]);
}

/* Sets *is if the type byte begins an array or a map, and *n to the number of its values. */
static bool read_list_header(struct scan *s, unsigned char type, bool *is, uint64_t *n)
{
    bool map = (type >= 0x80 && type <= 0x8f) || type == 0xde || type == 0xdf;
    bool ok = true;
    *is = map || (type >= 0x90 && type <= 0x9f) || type == 0xdc || type == 0xdd;
    *n = type & 0x0f;
    if (type >= 0xdc && type <= 0xdf)
        ok = read_number(s, type % 2 ? 4 : 2, n);
    if (map)
        *n *= 2;
    return ok;
}

bool cm_holds(const char *data, size_t len)
{
    struct scan s = {(const unsigned char *)data, len};
    uint64_t pending[CM_MAX_DEPTH + 1] = {1}; /* values still to be read, by depth */
    int depth = 0;
    while (pending[0] > 0 || depth > 0) {
        bool is_list;
        uint64_t n;
        if (pending[depth] == 0) {
            depth--;
            continue;
        }
        pending[depth]--;
        if (s.left == 0)
            return false;
        unsigned char type = *s.p;
        skip(&s, 1);
        if (type < 0x80 || type >= 0xe0)
            continue; /* a small integer, the most frequent type in a message */
        if (!read_list_header(&s, type, &is_list, &n) || (!is_list && !skip_scalar(&s, type)))
            return false;
        if (!is_list)
            continue;
        if (n > s.left || depth == CM_MAX_DEPTH)
            return false;
        pending[++depth] = n;
    }
    return true;
}
