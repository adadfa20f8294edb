#include "catalog/catalog.h"

#include <stdlib.h>
#include <string.h>

static int by_place(const void *pa, const void *pb)
{
    const struct cg_route *a = pa, *b = pb;
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

static bool check_route(const struct cg_catalog *c, int i, struct er_err *err)
{
    const struct cg_route *r = &c->routes[i];
    if (!r->database[0])
        return er_set(err, ER_BAD_INPUT, "route %.60s names no database", r->name);
    if (r->limit_us <= 0)
        return er_set(err, ER_BAD_INPUT, "route %.60s: time limit %lld us, expected above 0",
                      r->name, (long long)r->limit_us);
    if (!cg_service(c, r->group))
        return er_set(err, ER_BAD_INPUT, "route %.60s: service %s is not known", r->name,
                      r->group);
    if (i > 0 && by_place(&c->routes[i - 1], r) == 0)
        return er_set(err, ER_BAD_INPUT, "routes %.60s and %.60s have the same database %.60s",
                      c->routes[i - 1].name, r->name, r->database);
    return true;
}

bool cg_check(struct cg_catalog *c, struct er_err *err)
{
    if (c->version == 0)
        return er_set(err, ER_BAD_INPUT, "the document has no version above 0");
    if (c->n_routes)
        qsort(c->routes, (size_t)c->n_routes, sizeof(*c->routes), by_place);
    for (int i = 0; i < c->n_routes; i++) {
        if (!check_route(c, i, err))
            return false;
    }
    return true;
}

bool cg_read(const struct cg_codec *codec, struct sr_str text, struct cg_catalog *out,
             struct er_err *err)
{
    *out = (struct cg_catalog){0};
    if (codec->decode(text, out, err) && cg_check(out, err))
        return true;
    cg_free(out);
    return false;
}

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
