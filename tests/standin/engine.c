#include "tests/standin/engine.h"

#include <stdio.h>
#include <stdlib.h>

#include <xxhash.h>

enum { BUCKETS = 1 << 16, WORD = 128 };

struct cell {
    struct cell *next;
    char kind; /* 'k' version of a key, 'r' runs of an id, 'c' claim */
    char *name;
    int64_t n;
};

struct eg_engine {
    struct eg_record *rec;
    uint64_t n, cap, applied;
    struct cell *cells[BUCKETS];
};

static struct cell *cell(struct eg_engine *e, char kind, const char *name, bool make)
{
    struct cell **at = &e->cells[XXH64(name, strlen(name), (uint64_t)kind) % BUCKETS];
    for (struct cell *c = *at; c; c = c->next) {
        if (c->kind == kind && strcmp(c->name, name) == 0)
            return c;
    }
    if (!make)
        return NULL;
    struct cell *c = sr_alloc(sizeof(*c));
    c->kind = kind;
    c->name = strdup(name);
    c->next = *at;
    *at = c;
    return c;
}

static void clear_cells(struct eg_engine *e)
{
    for (int i = 0; i < BUCKETS; i++) {
        while (e->cells[i]) {
            struct cell *c = e->cells[i];
            e->cells[i] = c->next;
            free(c->name);
            free(c);
        }
    }
}

struct eg_engine *eg_create(void)
{
    return sr_alloc(sizeof(struct eg_engine));
}

static void free_record(struct eg_record *r)
{
    free(r->text);
    free(r->claim);
    free(r->answer);
}

void eg_destroy(struct eg_engine *e)
{
    clear_cells(e);
    while (e->n > 0)
        free_record(&e->rec[--e->n]);
    free(e->rec);
    free(e);
}

void eg_append(struct eg_engine *e, uint64_t term, const char *text, const char *claim,
               const char *answer)
{
    if (e->n == e->cap) {
        e->cap = e->cap ? e->cap * 2 : 1024;
        e->rec = sr_realloc(e->rec, sizeof(*e->rec) * e->cap);
    }
    e->rec[e->n++] = (struct eg_record){term, strdup(text), strdup(claim), strdup(answer)};
    if (claim[0])
        cell(e, 'c', claim, true)->n = (int64_t)e->n;
}

/* Split "mark ID KEY" and the like; returns the number of words. */
static int words(const char *stmt, char w[3][WORD])
{
    w[0][0] = w[1][0] = w[2][0] = 0;
    return sscanf(stmt, "%127s %127s %127s", w[0], w[1], w[2]);
}

bool eg_is_read(const char *stmt)
{
    char w[3][WORD];
    return words(stmt, w) == 2 && (strcmp(w[0], "get") == 0 || strcmp(w[0], "runs") == 0);
}

bool eg_is_write(const char *stmt)
{
    char w[3][WORD];
    return words(stmt, w) == 3 && strcmp(w[0], "mark") == 0;
}

static void apply_record(struct eg_engine *e, const struct eg_record *r)
{
    char line[512];
    const char *p = r->text;
    while (*p) {
        size_t n = strcspn(p, "\n");
        char w[3][WORD];
        snprintf(line, sizeof(line), "%.*s", (int)n, p);
        if (words(line, w) == 3) {
            cell(e, 'r', w[1], true)->n++;
            cell(e, 'k', w[2], true)->n++;
        }
        p += n;
        if (*p)
            p++;
    }
}

void eg_apply_to(struct eg_engine *e, uint64_t pos)
{
    if (pos > e->n)
        pos = e->n;
    while (e->applied < pos)
        apply_record(e, &e->rec[e->applied++]);
}

void eg_truncate(struct eg_engine *e, uint64_t pos)
{
    if (pos >= e->n)
        return;
    while (e->n > pos)
        free_record(&e->rec[--e->n]);
    uint64_t applied = e->applied < pos ? e->applied : pos;
    clear_cells(e);
    e->applied = 0;
    eg_apply_to(e, applied);
    for (uint64_t i = 0; i < e->n; i++) {
        if (e->rec[i].claim[0])
            cell(e, 'c', e->rec[i].claim, true)->n = (int64_t)i + 1;
    }
}

static struct ps_pos pos_at(const struct eg_engine *e, uint64_t pos)
{
    return (struct ps_pos){pos ? e->rec[pos - 1].term : 0, pos};
}

struct ps_pos eg_held(const struct eg_engine *e)
{
    return pos_at(e, e->n);
}

struct ps_pos eg_applied(const struct eg_engine *e)
{
    return pos_at(e, e->applied);
}

const struct eg_record *eg_record(const struct eg_engine *e, uint64_t pos)
{
    return pos >= 1 && pos <= e->n ? &e->rec[pos - 1] : NULL;
}

int eg_starts(const struct eg_engine *e, struct ps_start *out, int max)
{
    int n = 0;
    uint64_t pos = e->n;
    struct ps_start back[64];
    while (pos > 0 && n < max && n < 64) {
        uint64_t term = e->rec[pos - 1].term, lo = 0, hi = pos - 1;
        while (lo < hi) { /* terms ascend along the log */
            uint64_t mid = (lo + hi) / 2;
            if (e->rec[mid].term < term)
                lo = mid + 1;
            else
                hi = mid;
        }
        back[n++] = (struct ps_start){term, lo};
        pos = lo;
    }
    for (int i = 0; i < n; i++)
        out[i] = back[n - 1 - i];
    return n;
}

const char *eg_claimed(const struct eg_engine *e, const char *claim)
{
    const struct cell *c = cell((struct eg_engine *)e, 'c', claim, false);
    return c ? e->rec[c->n - 1].answer : NULL;
}

/* How often `name` occurs as word `which` in the pending statements. */
static int64_t in_pending(const char *pending, int which, const char *name)
{
    int64_t n = 0;
    char line[512], w[3][WORD];
    while (pending && *pending) {
        size_t len = strcspn(pending, "\n");
        snprintf(line, sizeof(line), "%.*s", (int)len, pending);
        if (words(line, w) == 3 && strcmp(w[which], name) == 0)
            n++;
        pending += len;
        if (*pending)
            pending++;
    }
    return n;
}

void eg_read(struct eg_engine *e, const char *stmt, const char *pending, char *out, size_t cap)
{
    char w[3][WORD];
    words(stmt, w);
    bool runs = strcmp(w[0], "runs") == 0;
    const struct cell *c = cell(e, runs ? 'r' : 'k', w[1], false);
    int64_t n = (c ? c->n : 0) + in_pending(pending, runs ? 1 : 2, w[1]);
    snprintf(out, cap, "%s=%lld", w[1], (long long)n);
}

void eg_preview(struct eg_engine *e, const char *stmt, const char *pending, char *out,
                size_t cap)
{
    char w[3][WORD];
    words(stmt, w);
    const struct cell *c = cell(e, 'k', w[2], false);
    int64_t n = (c ? c->n : 0) + in_pending(pending, 2, w[2]) + 1;
    snprintf(out, cap, "%s=%lld", w[2], (long long)n);
}
