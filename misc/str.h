/* Length-counted strings and a growable buffer. */
#ifndef FL_MISC_STR_H
#define FL_MISC_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/* A non-owning view of bytes, which need not be NUL-terminated. */
struct sr_str {
    const char *p;
    size_t len;
};

#define SR_LIT(s) ((struct sr_str){(s), sizeof(s) - 1})

static inline struct sr_str sr_from(const char *z)
{
    return (struct sr_str){z ? z : "", z ? strlen(z) : 0};
}

static inline bool sr_eq(struct sr_str a, struct sr_str b)
{
    return a.len == b.len && memcmp(a.p, b.p, a.len) == 0;
}

/* Copy into a fixed-size field and add a NUL. Returns false if `s` does not fit. */
bool sr_copy(char *dst, size_t cap, struct sr_str s);

/* A growable buffer; a zero-initialized one is empty. Additions keep a NUL after the `len`
 * bytes. */
struct sr_buf {
    char *p;
    size_t len, cap;
};

/* sr_alloc returns zeroed memory. An allocation failure aborts the process, because a node that
 * can't allocate a few KB can't serve requests. */
void *sr_alloc(size_t n);
void *sr_realloc(void *p, size_t n);
/* memcpy() for which `n` may be 0. An empty string may have a NULL pointer, which memcpy() does
 * not allow. */
static inline void sr_move(void *dst, const void *src, size_t n)
{
    if (n)
        memcpy(dst, src, n);
}
void sr_buf_add(struct sr_buf *b, const void *p, size_t n);
void sr_buf_printf(struct sr_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void sr_buf_free(struct sr_buf *b);
/* Removes the content; the memory is kept for the next one unless it is large. */
void sr_buf_reset(struct sr_buf *b);

#endif
