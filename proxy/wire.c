#include "proxy/wire.h"

#include <string.h>

static const char line_end[] = {'\r', '\n'};

static const char *find_line_end(const char *p, size_t n)
{
    return n ? memmem(p, n, line_end, sizeof(line_end)) : NULL;
}

bool px_next_line(const struct sr_buf *in, size_t *at, struct sr_str *line)
{
    const char *from = in->p + *at;
    const char *end = in->len > *at ? find_line_end(from, in->len - *at) : NULL;
    if (!end)
        return false;
    *line = (struct sr_str){from, (size_t)(end - from)};
    *at += line->len + sizeof(line_end);
    return true;
}

bool px_ends_line(const struct sr_buf *in, size_t n)
{
    size_t from = in->len > n ? in->len - n - 1 : 0; /* the CR may have come before */
    return find_line_end(in->p + from, in->len - from) != NULL;
}

bool px_next_msg(const struct px_codec *codec, const struct sr_buf *in, size_t *at,
                 struct px_msg *m)
{
    struct sr_str line;
    if (!px_next_line(in, at, &line))
        return false;
    codec->parse(line, m);
    return true;
}

void px_consume(struct sr_buf *in, size_t n)
{
    if (n == 0)
        return;
    if (n == in->len) {
        sr_buf_reset(in);
        return;
    }
    memmove(in->p, in->p + n, in->len - n);
    in->len -= n;
}

static bool ends_at(const struct sr_buf *in, size_t end)
{
    return end >= sizeof(line_end) &&
           memcmp(in->p + end - sizeof(line_end), line_end, sizeof(line_end)) == 0;
}

size_t px_complete_lines(const struct sr_buf *in, struct sr_str *last)
{
    size_t end = in->len;
    while (end > 0 && !ends_at(in, end))
        end--;
    if (end == 0)
        return 0;
    size_t from = end - sizeof(line_end);
    while (from > 0 && !ends_at(in, from))
        from--;
    px_next_line(in, &from, last);
    return end;
}
