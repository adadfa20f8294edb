#include "catalog/catalog.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* Routes are sorted, or checked, in the time in which one element is read. */
    SORTED_A_READ = 16,
};

static int by_place(const struct cg_route *a, const struct cg_route *b)
{
    int c = strcmp(a->database, b->database);
    return c ? c : strcmp(a->prefix, b->prefix);
}

void cg_free(struct cg_catalog *c)
{
    free(c->routes);
    free(c->services);
    ac_free(&c->accounts);
    *c = (struct cg_catalog){0};
}

const struct cg_service *cg_service(const struct cg_catalog *c, const char *group)
{
    for (int i = 0; i < c->n_services; i++) {
        if (strcmp(c->services[i].group, group) == 0)
            return &c->services[i];
    }
    return NULL;
}

/* ---- taking in ---- */

void cg_take_begin(struct cg_taking *t, const struct cg_codec *codec, struct sr_str text)
{
    *t = (struct cg_taking){.codec = codec, .reading = codec->open(text)};
}

/* What was needed to sort and check. */
static void checked(struct cg_taking *t)
{
    ix_free(&t->services);
    od_end(&t->order);
    free(t->sorted);
    t->sorted = NULL;
}

void cg_take_end(struct cg_taking *t)
{
    if (t->codec)
        t->codec->close(t->reading);
    checked(t);
    cg_free(&t->cat);
    *t = (struct cg_taking){0};
}

static bool known(const struct cg_taking *t, const char *group)
{
    return group[0] ? ix_get(&t->services, group) != IX_NONE
                    : cg_service(&t->cat, group) != NULL;
}

static bool check_route(const struct cg_taking *t, const struct cg_route *before,
                        const struct cg_route *r, struct er_err *err)
{
    if (!r->database[0])
        return er_set(err, ER_BAD_INPUT, "route %.60s names no database", r->name);
    if (r->limit_us <= 0)
        return er_set(err, ER_BAD_INPUT, "route %.60s: time limit %lld us, expected above 0",
                      r->name, (long long)r->limit_us);
    if (!known(t, r->group))
        return er_set(err, ER_BAD_INPUT, "route %.60s: service %s is not known", r->name,
                      r->group);
    if (before && by_place(before, r) == 0)
        return er_set(err, ER_BAD_INPUT, "routes %.60s and %.60s have the same database %.60s",
                      before->name, r->name, r->database);
    return true;
}

static bool begin_check(struct cg_taking *t, struct er_err *err)
{
    t->was_read = true;
    if (t->cat.version == 0)
        return er_set(err, ER_BAD_INPUT, "the document has no version above 0");
    od_begin(&t->order, t->cat.n_routes);
    t->sorted = sr_alloc(sizeof(*t->sorted) * (size_t)(t->cat.n_routes + 1));
    return true;
}

static bool before(const void *of, int a, int b)
{
    const struct cg_route *routes = of;
    return by_place(&routes[a], &routes[b]) < 0;
}

/* Everything was read: go on sorting and checking. */
static enum cg_step check(struct cg_taking *t, int most, struct er_err *err)
{
    struct cg_catalog *c = &t->cat;
    for (; t->n_named < c->n_services && most > 0; most--) {
        const char *name = c->services[t->n_named++].group;
        if (name[0])
            ix_set(&t->services, name, t->n_named);
    }
    if (!od_go_on(&t->order, before, c->routes, &most))
        return CG_MORE;
    for (; t->n_sorted < c->n_routes && most > 0; most--) {
        int k = t->n_sorted++;
        t->sorted[k] = c->routes[t->order.from[k]];
        if (!check_route(t, k ? &t->sorted[k - 1] : NULL, &t->sorted[k], err))
            return CG_BAD;
    }
    if (t->n_named < c->n_services || t->n_sorted < c->n_routes)
        return CG_MORE;
    struct cg_route *sorted = t->sorted;
    t->sorted = c->routes;
    c->routes = sorted;
    return CG_DONE;
}

static enum cg_step go_on(struct cg_taking *t, int most, struct er_err *err)
{
    if (!t->was_read) {
        enum cg_step s = t->codec->read(t->reading, &most, &t->cat, err);
        if (s != CG_DONE)
            return s;
        if (!begin_check(t, err))
            return CG_BAD;
    }
    return check(t, most * SORTED_A_READ, err);
}

enum cg_step cg_take(struct cg_taking *t, int most, struct cg_catalog *out, struct er_err *err)
{
    enum cg_step s = go_on(t, most, err);
    if (s == CG_DONE) {
        *out = t->cat;
        t->cat = (struct cg_catalog){0};
    }
    if (s != CG_MORE)
        cg_take_end(t);
    return s;
}

bool cg_check(struct cg_catalog *c, struct er_err *err)
{
    struct cg_taking t = {.cat = *c};
    enum cg_step s = begin_check(&t, err) ? CG_MORE : CG_BAD;
    while (s == CG_MORE)
        s = check(&t, CG_AT_ONCE, err);
    *c = t.cat;
    checked(&t);
    return s == CG_DONE;
}

bool cg_read(const struct cg_codec *codec, struct sr_str text, struct cg_catalog *out,
             struct er_err *err)
{
    struct cg_taking t;
    enum cg_step s = CG_MORE;
    *out = (struct cg_catalog){0};
    cg_take_begin(&t, codec, text);
    while (s == CG_MORE)
        s = cg_take(&t, CG_AT_ONCE, out, err);
    return s == CG_DONE;
}

/* ---- looking up ---- */

static int compare(struct sr_str a, const char *b)
{
    size_t n = strlen(b);
    int c = memcmp(a.p, b, a.len < n ? a.len : n);
    if (c)
        return c;
    return a.len < n ? -1 : a.len > n;
}

const struct cg_route *cg_route(const struct cg_catalog *c, struct sr_str database)
{
    int lo = 0, hi = c->n_routes;
    while (lo < hi) {
        int mid = (lo + hi) / 2;
        if (compare(database, c->routes[mid].database) > 0)
            lo = mid + 1;
        else
            hi = mid;
    }
    if (lo < c->n_routes && compare(database, c->routes[lo].database) == 0)
        return &c->routes[lo];
    return NULL;
}
