#include "catalog/catalog.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* So many routes can be sorted or checked in the time in which one element is read. */
    ROUTES_PER_ELEMENT = 16,
};

static int compare_routes(const struct cg_route *a, const struct cg_route *b)
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

/* ---- loading ---- */

void cg_load_begin(struct cg_loader *t, const struct cg_codec *codec, struct sr_str text)
{
    *t = (struct cg_loader){.codec = codec, .codec_state = codec->open(text)};
}

/* Frees what was needed to sort and check. */
static void free_check_state(struct cg_loader *t)
{
    ix_free(&t->services);
    od_end(&t->order);
    free(t->sorted);
    t->sorted = NULL;
}

void cg_load_end(struct cg_loader *t)
{
    if (t->codec)
        t->codec->close(t->codec_state);
    free_check_state(t);
    cg_free(&t->cat);
    *t = (struct cg_loader){0};
}

static bool has_service(const struct cg_loader *t, const char *group)
{
    return group[0] ? ix_get(&t->services, group) != IX_NONE
                    : cg_service(&t->cat, group) != NULL;
}

static bool check_route(const struct cg_loader *t, const struct cg_route *previous,
                        const struct cg_route *r, struct er_err *err)
{
    if (!r->database[0])
        return er_set(err, ER_BAD_INPUT, "route %.60s: database is missing", r->name);
    if (r->timeout_us <= 0)
        return er_set(err, ER_BAD_INPUT, "route %.60s: timeout %lld us, expected above 0",
                      r->name, (long long)r->timeout_us);
    if (!has_service(t, r->group))
        return er_set(err, ER_BAD_INPUT, "route %.60s: unknown service %s", r->name, r->group);
    if (previous && compare_routes(previous, r) == 0)
        return er_set(err, ER_BAD_INPUT, "routes %.60s and %.60s have the same database %.60s",
                      previous->name, r->name, r->database);
    return true;
}

static bool begin_check(struct cg_loader *t, struct er_err *err)
{
    t->read_done = true;
    if (t->cat.version == 0)
        return er_set(err, ER_BAD_INPUT, "document version is missing or 0, expected above 0");
    od_begin(&t->order, t->cat.n_routes);
    t->sorted = sr_alloc(sizeof(*t->sorted) * (size_t)(t->cat.n_routes + 1));
    return true;
}

static bool route_before(const void *items, int a, int b)
{
    const struct cg_route *routes = items;
    return compare_routes(&routes[a], &routes[b]) < 0;
}

/* Continues to sort and check after all elements were read. */
static enum cg_step check_step(struct cg_loader *t, int max, struct er_err *err)
{
    struct cg_catalog *c = &t->cat;
    for (; t->n_indexed < c->n_services && max > 0; max--) {
        const char *name = c->services[t->n_indexed++].group;
        if (name[0])
            ix_set(&t->services, name, t->n_indexed);
    }
    if (!od_step(&t->order, route_before, c->routes, &max))
        return CG_MORE;
    for (; t->n_sorted < c->n_routes && max > 0; max--) {
        int k = t->n_sorted++;
        t->sorted[k] = c->routes[t->order.from[k]];
        if (!check_route(t, k ? &t->sorted[k - 1] : NULL, &t->sorted[k], err))
            return CG_BAD;
    }
    if (t->n_indexed < c->n_services || t->n_sorted < c->n_routes)
        return CG_MORE;
    struct cg_route *sorted = t->sorted;
    t->sorted = c->routes;
    c->routes = sorted;
    return CG_DONE;
}

static enum cg_step load_step(struct cg_loader *t, int max, struct er_err *err)
{
    if (!t->read_done) {
        enum cg_step s = t->codec->read(t->codec_state, &max, &t->cat, err);
        if (s != CG_DONE)
            return s;
        if (!begin_check(t, err))
            return CG_BAD;
    }
    return check_step(t, max * ROUTES_PER_ELEMENT, err);
}

enum cg_step cg_load_step(struct cg_loader *t, int max, struct cg_catalog *out,
                          struct er_err *err)
{
    enum cg_step s = load_step(t, max, err);
    if (s == CG_DONE) {
        *out = t->cat;
        t->cat = (struct cg_catalog){0};
    }
    if (s != CG_MORE)
        cg_load_end(t);
    return s;
}

bool cg_check(struct cg_catalog *c, struct er_err *err)
{
    struct cg_loader t = {.cat = *c};
    enum cg_step s = begin_check(&t, err) ? CG_MORE : CG_BAD;
    while (s == CG_MORE)
        s = check_step(&t, CG_AT_ONCE, err);
    *c = t.cat;
    free_check_state(&t);
    return s == CG_DONE;
}

bool cg_read(const struct cg_codec *codec, struct sr_str text, struct cg_catalog *out,
             struct er_err *err)
{
    struct cg_loader t;
    enum cg_step s = CG_MORE;
    *out = (struct cg_catalog){0};
    cg_load_begin(&t, codec, text);
    while (s == CG_MORE)
        s = cg_load_step(&t, CG_AT_ONCE, out, err);
    return s == CG_DONE;
}

/* ---- lookups ---- */

static int compare_name(struct sr_str a, const char *b)
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
        if (compare_name(database, c->routes[mid].database) > 0)
            lo = mid + 1;
        else
            hi = mid;
    }
    if (lo < c->n_routes && compare_name(database, c->routes[lo].database) == 0)
        return &c->routes[lo];
    return NULL;
}
