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
    memmove(in->p, in->p + n, in->len - n);
    in->len -= n;
}

/* How many bytes stand behind the last line end of the first `len`. */
static size_t behind_end(const char *data, size_t len)
{
    size_t n = 0;
    while (n < len && data[len - 1 - n] != '\n')
        n++;
    return n;
}

static void keep(struct px_tail *t, const char *data, size_t len)
{
    size_t room = sizeof(t->part) - t->len;
    size_t n = len < room ? len : room;
    memcpy(t->part + t->len, data, n);
    t->len += n;
}

bool px_tail_add(struct px_tail *t, const char *data, size_t len, struct sr_str *line)
{
    size_t rest = behind_end(data, len);
    if (rest > 0 || len == 0) {
        if (rest < len)
            t->len = 0;
        keep(t, data + len - rest, rest);
        return false;
    }
    size_t last = behind_end(data, len - 1); /* of the line that ends here */
    if (last == len - 1) {                   /* it began in an earlier piece */
        keep(t, data, last);
        *line = (struct sr_str){t->part, t->len};
    } else {
        *line = (struct sr_str){data + len - 1 - last, last};
    }
    t->len = 0;
    if (line->len > 0 && line->p[line->len - 1] == '\r')
        line->len--;
    return true;
}
