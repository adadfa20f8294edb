#include "proxy/wire.h"

bool px_next_line(const struct sr_buf *in, size_t *at, struct sr_str *line)
{
    const char *from = in->p + *at;
    const char *end = in->len > *at ? memchr(from, '\n', in->len - *at) : NULL;
    if (!end)
        return false;
    size_t n = (size_t)(end - from);
    *at += n + 1;
    if (n > 0 && from[n - 1] == '\r')
        n--;
    *line = (struct sr_str){from, n};
    return true;
}

void px_consume(struct sr_buf *in, size_t n)
{
    if (n == 0)
        return;
    memmove(in->p, in->p + n, in->len - n);
    in->len -= n;
}
