/* ferryctl timeline: merges the timelines of all processes and shows the failovers in them.
 *
 * Each process keeps its recent events in a ring; stamps are hybrid logical clock values
 * (misc/clock.h). Processes that do not answer are listed as missing. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ferryctl/ctl.h"
#include "misc/clock.h"
#include "misc/str.h"

enum { MAX_EVENTS = 65536, MAX_FAILOVERS = 256, MAX_SUSPICION_AGE_MS = 2000 };

struct event {
    uint64_t stamp;
    const char *node, *kind, *group, *text;
    uint64_t term;
};

struct timeline {
    int n, missing;
    struct event events[MAX_EVENTS];
    char missing_names[512];
    json_t *replies; /* owns the strings of the events */
};

struct failover {
    const char *group;
    uint64_t term;
    int64_t suspect, down, replace, fenced, promoted, primary,
        first_write; /* ms; 0 if unseen */
    const char *why;
};

static const char *string_field(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s ? s : "";
}

static void add_events(struct timeline *l, json_t *ring)
{
    const char *node = string_field(ring, "node");
    size_t i;
    json_t *e;
    json_array_foreach(json_object_get(ring, "events"), i, e)
    {
        if (l->n == MAX_EVENTS)
            return;
        l->events[l->n++] =
            (struct event){(uint64_t)json_integer_value(json_object_get(e, "stamp")),
                           node,
                           string_field(e, "kind"),
                           string_field(e, "group"),
                           string_field(e, "text"),
                           (uint64_t)json_integer_value(json_object_get(e, "term"))};
    }
    json_array_append_new(l->replies, ring);
}

static void fetch_events(struct timeline *l, const struct addr *a, const char *name)
{
    json_t *ring = NULL;
    if (ctl_request(a, "GET", "/v1/timeline", NULL, &ring, NULL) == 200 && ring) {
        add_events(l, ring);
        return;
    }
    size_t at = strlen(l->missing_names);
    l->missing++;
    snprintf(l->missing_names + at, sizeof(l->missing_names) - at, " %s(%s:%d)", name, a->ip,
             a->port);
}

/* Fetches the events of entry nodes. The addresses come from the leader, or from any control
 * node that still has them. */
static void fetch_entry_node_events(const struct ctl *c, struct timeline *l)
{
    json_t *nodes = NULL, *x;
    size_t i;
    if (ctl_request_any(c, true, "GET", "/v1/nodes", NULL, &nodes, NULL, NULL) != 200)
        return;
    json_array_foreach(nodes, i, x)
    {
        struct addr a = {.port = (int)json_integer_value(json_object_get(x, "port"))};
        sr_copy(a.ip, sizeof(a.ip), sr_from(string_field(x, "ip")));
        fetch_events(l, &a, string_field(x, "name"));
    }
    json_array_append_new(l->replies, nodes);
}

static int by_stamp(const void *a, const void *b)
{
    const struct event *x = a, *y = b;
    return x->stamp < y->stamp ? -1 : x->stamp > y->stamp;
}

static bool matches_filters(const struct ctl *c, const struct event *e)
{
    return (!c->group || strcmp(c->group, e->group) == 0) &&
           (!c->node || strcmp(c->node, e->node) == 0) &&
           (!c->kind || strcmp(c->kind, e->kind) == 0);
}

/* ---- failovers ---- */

static struct failover *find_or_add_failover(struct failover *f, int *n, const char *group,
                                             uint64_t term)
{
    for (int i = 0; i < *n; i++) {
        if (f[i].term == term && strcmp(f[i].group, group) == 0)
            return &f[i];
    }
    if (*n == MAX_FAILOVERS)
        return NULL;
    f[*n] = (struct failover){.group = group, .term = term, .why = ""};
    return &f[(*n)++];
}

static void set_once(int64_t *at, int64_t ms)
{
    if (!*at)
        *at = ms;
}

static void record_event(struct failover *f, const struct event *e)
{
    int64_t ms = ck_hlc_ms(e->stamp);
    if (strcmp(e->kind, "down") == 0) {
        set_once(&f->down, ms);
        f->why = e->text;
    } else if (strcmp(e->kind, "replace") == 0) {
        set_once(&f->replace, ms);
    } else if (strcmp(e->kind, "fenced") == 0) {
        if (!f->promoted)
            f->fenced = ms; /* the last fence before the promotion, which waits for it */
    } else if (strcmp(e->kind, "promoted") == 0) {
        set_once(&f->promoted, ms);
    } else if (strcmp(e->kind, "primary") == 0) {
        set_once(&f->primary, ms);
    } else if (strcmp(e->kind, "first_write") == 0) {
        set_once(&f->first_write, ms);
    }
}

/* Finds the first suspicion before the decision that was not refuted by a later write. */
static void find_suspicion(const struct timeline *l, struct failover *f)
{
    int64_t decided_ms = f->down ? f->down : f->replace;
    for (int i = 0; i < l->n; i++) {
        const struct event *e = &l->events[i];
        int64_t ms = ck_hlc_ms(e->stamp);
        if (strcmp(e->group, f->group) != 0 || e->term + 1 != f->term || ms > decided_ms)
            continue;
        if (strcmp(e->kind, "first_write") == 0 || ms + MAX_SUSPICION_AGE_MS < decided_ms)
            f->suspect = 0;
        else if (strcmp(e->kind, "suspect") == 0)
            set_once(&f->suspect, ms);
    }
}

static int find_failovers(const struct timeline *l, struct failover *f)
{
    int n = 0;
    for (int i = 0; i < l->n; i++) {
        const struct event *e = &l->events[i];
        static const char *const kinds[] = {"down",     "replace", "fenced",
                                            "promoted", "primary", "first_write"};
        for (size_t k = 0; k < sizeof(kinds) / sizeof(kinds[0]); k++) {
            if (strcmp(e->kind, kinds[k]) != 0 || !e->term)
                continue;
            struct failover *x = find_or_add_failover(f, &n, e->group, e->term);
            if (x)
                record_event(x, e);
        }
    }
    for (int i = 0; i < n; i++)
        find_suspicion(l, &f[i]);
    return n;
}

/* Prints " -> what N ms", or "-" if none of the processes that answered saw the phase. */
static void show_phase(const char *what, int64_t from, int64_t to)
{
    if (from && to)
        printf(" -> %s %lld ms", what, (long long)(to - from));
    else
        printf(" -> %s -", what);
}

static void show_failover(const struct failover *f)
{
    int64_t start_ms = f->suspect ? f->suspect : f->down ? f->down : f->replace;
    printf("%s term %llu: %s\n", f->group, (unsigned long long)f->term,
           f->why[0] ? f->why : "planned, or its first events are no longer stored");
    printf("  first suspicion");
    show_phase("decided", f->suspect, f->down);
    show_phase("in the log", f->down, f->replace);
    show_phase("fenced", f->replace, f->fenced);
    show_phase("promoted", f->fenced, f->promoted);
    show_phase("announced", f->promoted, f->primary);
    show_phase("first write", f->primary, f->first_write);
    if (start_ms && f->first_write)
        printf("; in all %lld ms", (long long)(f->first_write - start_ms));
    printf("\n");
}

/* ---- output ---- */

static void show_text(const struct ctl *c, const struct timeline *l)
{
    for (int i = 0; i < l->n; i++) {
        const struct event *e = &l->events[i];
        if (!matches_filters(c, e))
            continue;
        int64_t ms = ck_hlc_ms(e->stamp);
        printf("%lld.%03lld.%04x %-10s %-12s %-14s %s%s%.0llu %s\n", (long long)(ms / 1000),
               (long long)(ms % 1000), (unsigned)(e->stamp & 0xffff), e->node, e->kind,
               e->group, e->term ? "term " : "", "", (unsigned long long)e->term, e->text);
    }
}

static json_t *failover_json(const struct failover *f)
{
    return json_pack("{s:s,s:I,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "group", f->group, "term",
                     (json_int_t)f->term, "why", f->why, "suspect", (json_int_t)f->suspect,
                     "down", (json_int_t)f->down, "replace", (json_int_t)f->replace, "fenced",
                     (json_int_t)f->fenced, "promoted", (json_int_t)f->promoted, "primary",
                     (json_int_t)f->primary, "first_write", (json_int_t)f->first_write);
}

static void show_json(const struct ctl *c, const struct timeline *l, const struct failover *f,
                      int n)
{
    json_t *events = json_array(), *failovers = json_array();
    for (int i = 0; i < l->n; i++) {
        const struct event *e = &l->events[i];
        if (matches_filters(c, e))
            json_array_append_new(events, json_pack("{s:I,s:s,s:s,s:s,s:I,s:s}", "stamp",
                                                    (json_int_t)e->stamp, "node", e->node,
                                                    "kind", e->kind, "group", e->group, "term",
                                                    (json_int_t)e->term, "text", e->text));
    }
    for (int i = 0; i < n; i++)
        json_array_append_new(failovers, failover_json(&f[i]));
    json_t *o = json_pack("{s:o,s:o,s:i,s:s}", "events", events, "failovers", failovers,
                          "missing", l->missing, "missing_names", l->missing_names);
    json_dumpf(o, stdout, JSON_INDENT(1));
    putchar('\n');
    json_decref(o);
}

static void svg_bar(FILE *f, int row, int64_t start_ms, double scale, int64_t from, int64_t to,
                    const char *color, const char *label)
{
    if (!from || !to || to < from)
        return;
    double x = 160 + (double)(from - start_ms) * scale, w = (double)(to - from) * scale;
    fprintf(f,
            "<rect x='%.1f' y='%d' width='%.1f' height='16' fill='%s'><title>%s %lld "
            "ms</title></rect>\n",
            x, 30 + row * 26, w < 1 ? 1 : w, color, label, (long long)(to - from));
}

/* Draws one row per failover with one bar per phase; each row starts at its own first event. */
static void write_svg(const char *path, const struct failover *f, int n)
{
    FILE *out = fopen(path, "w");
    if (!out) {
        fprintf(stderr, "ferryctl: cannot write %s\n", path);
        return;
    }
    fprintf(out,
            "<svg xmlns='http://www.w3.org/2000/svg' width='1000' height='%d' "
            "font-family='sans-serif' font-size='11'><rect width='100%%' height='100%%' "
            "fill='white'/><text x='8' y='18'>failovers: gray detection, red log, orange "
            "fencing, blue promotion, green announcement to first write; 1 px per ms</text>\n",
            60 + n * 26);
    for (int i = 0; i < n; i++) {
        const struct failover *x = &f[i];
        int64_t start_ms = x->suspect ? x->suspect : x->down ? x->down : x->replace;
        fprintf(out, "<text x='8' y='%d'>%s term %llu</text>\n", 42 + i * 26, x->group,
                (unsigned long long)x->term);
        svg_bar(out, i, start_ms, 1, x->suspect, x->down, "#9e9e9e", "detection");
        svg_bar(out, i, start_ms, 1, x->down, x->replace, "#c62828", "log");
        svg_bar(out, i, start_ms, 1, x->replace, x->fenced, "#ef6c00", "fencing");
        svg_bar(out, i, start_ms, 1, x->fenced, x->promoted, "#1565c0", "promotion");
        svg_bar(out, i, start_ms, 1, x->promoted, x->first_write, "#2e7d32", "announcement");
    }
    fprintf(out, "</svg>\n");
    fclose(out);
}

int ctl_timeline(const struct ctl *c)
{
    struct timeline *l = sr_alloc(sizeof(*l));
    static struct failover f[MAX_FAILOVERS];
    l->replies = json_array();
    for (int i = 0; i < c->n; i++)
        fetch_events(l, &c->control[i], "control");
    fetch_entry_node_events(c, l);
    qsort(l->events, (size_t)l->n, sizeof(l->events[0]), by_stamp);
    int n = find_failovers(l, f);
    if (c->svg)
        write_svg(c->svg, f, n);
    if (c->json) {
        show_json(c, l, f, n);
    } else {
        show_text(c, l);
        if (n)
            printf("\nchanges of primary:\n");
        for (int i = 0; i < n; i++) {
            if (!c->group || strcmp(c->group, f[i].group) == 0)
                show_failover(&f[i]);
        }
        if (l->missing)
            printf("\nmissing (events not listed above):%s\n", l->missing_names);
    }
    bool any = l->n > 0;
    json_decref(l->replies);
    free(l);
    if (!any)
        fprintf(stderr, "ferryctl: no process answered; check --control\n");
    return any ? EX_GOOD : EX_UNREACHED;
}
