#include "timeline/timeline.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const names[TL_COUNT] = {
    "start",       "stop",    "lease_held", "lease_lost", "view",   "suspect",  "term_dropped",
    "first_write", "parked",  "down",       "replace",    "fenced", "promoted", "primary",
    "leader",      "deposed", "intent",     "members",    "change", "disk"};

void tl_add(struct tl_ring *r, enum tl_kind kind, const char *group, uint64_t term,
            const char *fmt, ...)
{
    struct tl_event *e = &r->ev[r->n++ % TL_RING];
    e->stamp = ck_hlc_now(&r->hlc);
    e->us = ck_now();
    e->kind = kind;
    e->term = term;
    snprintf(e->group, sizeof(e->group), "%s", group ? group : "");
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(e->text, sizeof(e->text), fmt, ap);
    va_end(ap);
}

json_t *tl_json(const struct tl_ring *r, const char *node)
{
    uint64_t first = r->n > TL_RING ? r->n - TL_RING : 0;
    json_t *a = json_array();
    for (uint64_t i = first; i < r->n; i++) {
        const struct tl_event *e = &r->ev[i % TL_RING];
        json_array_append_new(a, json_pack("{s:I,s:I,s:s,s:s,s:I,s:s}", "stamp",
                                           (json_int_t)e->stamp, "us", (json_int_t)e->us,
                                           "kind", names[e->kind], "group", e->group, "term",
                                           (json_int_t)e->term, "text", e->text));
    }
    return json_pack("{s:s,s:I,s:o}", "node", node, "lost", (json_int_t)first, "events", a);
}
