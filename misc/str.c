#include "misc/str.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

bool sr_copy(char *dst, size_t cap, struct sr_str s)
{
    if (s.len >= cap)
        return false;
    sr_move(dst, s.p, s.len);
    dst[s.len] = 0;
    return true;
}

void *sr_realloc(void *p, size_t n)
{
    void *q = realloc(p, n ? n : 1);
    if (!q)
        abort();
    return q;
}

void *sr_alloc(size_t n)
{
    void *p = calloc(1, n ? n : 1);
    if (!p)
        abort();
    return p;
}

static void reserve(struct sr_buf *b, size_t more)
{
    if (b->len + more <= b->cap)
        return;
    size_t cap = b->cap ? b->cap : 256;
    while (cap < b->len + more)
        cap *= 2;
    b->p = sr_realloc(b->p, cap);
    b->cap = cap;
}

void sr_buf_add(struct sr_buf *b, const void *p, size_t n)
{
    reserve(b, n + 1);
    sr_move(b->p + b->len, p, n);
    b->len += n;
    b->p[b->len] = 0;
}

void sr_buf_printf(struct sr_buf *b, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    int n = vsnprintf(NULL, 0, fmt, ap);
    va_end(ap);
    if (n <= 0)
        return;
    reserve(b, (size_t)n + 1);
    va_start(ap, fmt);
    vsnprintf(b->p + b->len, (size_t)n + 1, fmt, ap);
    va_end(ap);
    b->len += (size_t)n;
}

void sr_buf_free(struct sr_buf *b)
{
    free(b->p);
    *b = (struct sr_buf){0};
}

void sr_buf_reset(struct sr_buf *b)
{
    enum { KEEP_BYTES = 4096 };
    if (b->cap > KEEP_BYTES)
        sr_buf_free(b);
    b->len = 0;
}
