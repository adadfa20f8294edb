#include "ferryctl/waits.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

enum { MAX_SHOWN_NODES = 10 };     /* nodes */
enum { STAGE_PERMIT, STAGE_WAIT }; /* indexes of the stages in which a statement only waits */

static const char *const stage_names[WT_STAGE_COUNT] = {"permit", "wait", "setup", "instance",
                                                        "relay"};

static struct wt_node *find_or_add_node(struct wt_waits *w, const char *name)
{
    for (int i = 0; i < w->n; i++) {
        if (strcmp(w->nodes[i].name, name) == 0)
            return &w->nodes[i];
    }
    if (w->n == WT_MAX_NODES)
        return NULL;
    struct wt_node *x = &w->nodes[w->n++];
    sr_copy(x->name, sizeof(x->name), sr_from(name));
    return x;
}

static void add_statements(struct wt_stage *to, long long n, double ms)
{
    to->n += n;
    to->ms += ms;
}

void wt_add_line(struct wt_waits *w, const json_t *line)
{
    const char *node = json_string_value(json_object_get(line, "node"));
    struct wt_node *x = node ? find_or_add_node(w, node) : NULL;
    for (int i = 0; x && i < WT_STAGE_COUNT; i++) {
        const char *s = json_string_value(json_object_get(line, stage_names[i]));
        long long n;
        double mean_ms;
        if (s && sscanf(s, "%lld/%lf", &n, &mean_ms) == 2)
            add_statements(&x->stage[i], n, mean_ms * (double)n);
    }
}

static double stage_mean_ms(const struct wt_stage *s)
{
    return s->n ? s->ms / (double)s->n : 0;
}

static double mean_wait_ms(const struct wt_node *x)
{
    return stage_mean_ms(&x->stage[STAGE_PERMIT]) + stage_mean_ms(&x->stage[STAGE_WAIT]);
}

static int longest_first(const void *a, const void *b)
{
    const struct wt_node *x = a, *y = b;
    double x_wait_ms = mean_wait_ms(x), y_wait_ms = mean_wait_ms(y);
    if (x_wait_ms != y_wait_ms)
        return x_wait_ms < y_wait_ms ? 1 : -1;
    return strcmp(x->name, y->name);
}

static void show_row(const char *name, const struct wt_stage *stages)
{
    printf("  %-24s", name);
    for (int i = 0; i < WT_STAGE_COUNT; i++)
        printf(" %8lld %8.1f", stages[i].n, stage_mean_ms(&stages[i]));
    printf("\n");
}

void wt_show(struct wt_waits *w)
{
    struct wt_stage all[WT_STAGE_COUNT] = {0};
    if (w->n == 0)
        return;
    for (int i = 0; i < w->n; i++) {
        for (int k = 0; k < WT_STAGE_COUNT; k++)
            add_statements(&all[k], w->nodes[i].stage[k].n, w->nodes[i].stage[k].ms);
    }
    qsort(w->nodes, (size_t)w->n, sizeof(w->nodes[0]), longest_first);
    printf("number of statements and mean latency in ms, by stage; nodes with the longest "
           "waits first\n");
    printf("  %-24s", "");
    for (int i = 0; i < WT_STAGE_COUNT; i++)
        printf(" %8s %8s", stage_names[i], "ms");
    printf("\n");
    show_row("all nodes", all);
    for (int i = 0; i < w->n && i < MAX_SHOWN_NODES; i++)
        show_row(w->nodes[i].name, w->nodes[i].stage);
}
