/* ferryctl worth: shows the failed requests in the logs of many processes by cause and over
 * time, along with what nodes and control did meanwhile.
 *
 * Logs contain failures only, at most 20 per second and node; the requests served and their
 * latency are in the metrics. The counts therefore compare causes; they do not add up to the
 * number of failed requests. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ferryctl/cause.h"
#include "ferryctl/ctl.h"
#include "ferryctl/waits.h"
#include "misc/str.h"

enum {
    MAX_LINE_BYTES = 4096, /* more than misc/log.c writes in a line */
    WINDOW_MS = 500,
    MAX_WINDOWS = 7200, /* one hour; later lines are ignored */
    MAX_NODES = 4096,
};

/* Steps of a node after its start. A later lease or document counts again. */
enum phase { PHASE_RUNNING, PHASE_LEASED, PHASE_CONFIGURED, PHASE_COUNT };
static const char *const phase_names[PHASE_COUNT] = {"runs", "has a lease", "has the document"};

struct window {
    int by_kind[CA_K_COUNT];
    int by_phase[PHASE_COUNT]; /* nodes that reached the phase */
    int leader_elections;      /* control leaders elected */
    int holding_changes;       /* groups that a node started or stopped holding */
    int primary_changes;       /* changes of primary started */
};

struct totals {
    long long first_ms; /* time of the earliest line; 0 if there is none */
    int n_windows;      /* up to the last window with a line */
    int by_cause[CA_COUNT];
    int n_nodes;
    char nodes[MAX_NODES][48];
    struct window windows[MAX_WINDOWS];
    struct wt_waits waits;
};

static const char *string_field(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s ? s : "";
}

static void add_node(struct totals *t, const char *name)
{
    for (int i = 0; i < t->n_nodes; i++) {
        if (strcmp(t->nodes[i], name) == 0)
            return;
    }
    if (t->n_nodes < MAX_NODES)
        sr_copy(t->nodes[t->n_nodes++], sizeof(t->nodes[0]), sr_from(name));
}

static struct window *window_of(struct totals *t, long long ms)
{
    long long i = (ms - t->first_ms) / WINDOW_MS;
    if (i < 0 || i >= MAX_WINDOWS)
        return NULL;
    if (i >= t->n_windows)
        t->n_windows = (int)i + 1;
    return &t->windows[i];
}

static void count_failure(struct totals *t, struct window *w, enum ca_cause c)
{
    t->by_cause[c]++;
    w->by_kind[ca_kind(c)]++;
}

static void count_event(struct totals *t, struct window *w, const json_t *o)
{
    const char *event = string_field(o, "event");
    enum ca_cause cause = ca_classify(o);
    if (cause != CA_COUNT)
        count_failure(t, w, cause);
    else if (strcmp(event, "stages") == 0)
        wt_add_line(&t->waits, o);
    else if (strcmp(event, "lease_held") == 0)
        w->by_phase[PHASE_LEASED]++;
    else if (strcmp(event, "document_in_force") == 0)
        w->by_phase[PHASE_CONFIGURED]++;
    else if (strcmp(event, "holding_changed") == 0)
        w->holding_changes++;
    else if (strcmp(event, "change_of_primary") == 0)
        w->primary_changes++;
}

static void count_line(struct totals *t, const json_t *o)
{
    const char *msg = string_field(o, "msg");
    struct window *w = window_of(t, json_integer_value(json_object_get(o, "ts_ms")));
    if (!w)
        return;
    add_node(t, string_field(o, "node"));
    if (strncmp(msg, "leads term", 10) == 0)
        w->leader_elections++;
    else if (strstr(msg, " runs, roles "))
        w->by_phase[PHASE_RUNNING]++;
    else
        count_event(t, w, o);
}

/* Parses the JSON object in a line; text before it is skipped, as some logs are captured
 * program output with a prefix on each line. */
static json_t *parse_line(const char *line)
{
    const char *brace = strchr(line, '{');
    return brace ? json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
}

static void each_line(struct totals *t, FILE *f,
                      void (*handle_line)(struct totals *, const json_t *))
{
    char line[MAX_LINE_BYTES];
    while (fgets(line, sizeof(line), f)) {
        json_t *o = parse_line(line);
        if (json_is_integer(json_object_get(o, "ts_ms")))
            handle_line(t, o);
        json_decref(o);
    }
}

static void update_first_ms(struct totals *t, const json_t *o)
{
    long long ms = json_integer_value(json_object_get(o, "ts_ms"));
    if (t->first_ms == 0 || ms < t->first_ms)
        t->first_ms = ms;
}

/* Reads the files twice: the first pass finds the time of the earliest line. */
static bool read_files(struct totals *t, const struct ctl *c)
{
    static void (*const passes[])(struct totals *, const json_t *) = {update_first_ms,
                                                                      count_line};
    for (int k = 0; k < 2; k++) {
        for (int i = 1; i < c->n_args; i++) {
            FILE *f = fopen(c->args[i], "r");
            if (!f) {
                fprintf(stderr, "ferryctl: cannot read %s\n", c->args[i]);
                return false;
            }
            each_line(t, f, passes[k]);
            fclose(f);
        }
    }
    return true;
}

static int failures(const struct window *w)
{
    int sum = 0;
    for (int k = 0; k < CA_K_COUNT; k++)
        sum += w->by_kind[k];
    return sum;
}

static void show_causes(const struct totals *t)
{
    int sum = 0;
    for (int c = 0; c < CA_COUNT; c++)
        sum += t->by_cause[c];
    printf("%d nodes, %.1f s, %d failures in the logs\n", t->n_nodes,
           t->n_windows * WINDOW_MS / 1000.0, sum);
    for (int c = 0; c < CA_COUNT; c++) {
        if (t->by_cause[c])
            printf("  %-32s %8d  %5.1f %%\n", ca_name(c), t->by_cause[c],
                   100.0 * t->by_cause[c] / sum);
    }
}

static bool has_events(const struct window *w)
{
    int sum = failures(w) + w->leader_elections + w->holding_changes + w->primary_changes;
    for (int p = 0; p < PHASE_COUNT; p++)
        sum += w->by_phase[p];
    return sum > 0;
}

/* Prints one row per window that has events; a phase column counts the nodes that reached the
 * phase in the window. */
static void show_windows(const struct totals *t)
{
    printf("%9s", "second");
    for (int k = 0; k < CA_K_COUNT; k++)
        printf(" %8s", ca_column_head(k));
    printf(" %6s %9s %8s %8s %8s\n", "runs", "leased", "document", "holdings", "leaders");
    for (int i = 0; i < t->n_windows; i++) {
        const struct window *w = &t->windows[i];
        if (!has_events(w))
            continue;
        printf("%9.1f", i * WINDOW_MS / 1000.0);
        for (int k = 0; k < CA_K_COUNT; k++)
            printf(" %8d", w->by_kind[k]);
        printf(" %6d %9d %8d %8d %8d\n", w->by_phase[PHASE_RUNNING], w->by_phase[PHASE_LEASED],
               w->by_phase[PHASE_CONFIGURED], w->holding_changes, w->leader_elections);
    }
}

/* Prints how long after the first start of a burst half of the nodes, and the last node,
 * reached each phase. The windows [from, until) hold the burst and the pause without a start
 * that ends it. */
static void show_restart(const struct totals *t, int from, int until)
{
    int started = 0;
    for (int i = from; i < until; i++)
        started += t->windows[i].by_phase[PHASE_RUNNING];
    printf("%d processes start from %.1f s on\n", started, from * WINDOW_MS / 1000.0);
    for (int p = 0; p < PHASE_COUNT; p++) {
        int sum = 0, half_at = -1, last_at = -1;
        for (int i = from; i < until; i++) {
            sum += t->windows[i].by_phase[p];
            if (half_at < 0 && sum * 2 >= started)
                half_at = i - from;
            if (t->windows[i].by_phase[p])
                last_at = i - from;
        }
        if (half_at >= 0)
            printf("  %-18s half within %.1f s, the last within %.1f s\n", phase_names[p],
                   (half_at + 1) * WINDOW_MS / 1000.0, (last_at + 1) * WINDOW_MS / 1000.0);
    }
}

static void show_restarts(const struct totals *t)
{
    enum { QUIET_WINDOWS = 10 }; /* 5 s without a start end a burst */
    for (int i = 0; i < t->n_windows; i++) {
        if (!t->windows[i].by_phase[PHASE_RUNNING])
            continue;
        int until = i + 1;
        for (int n_quiet = 0; until < t->n_windows && n_quiet < QUIET_WINDOWS; until++)
            n_quiet = t->windows[until].by_phase[PHASE_RUNNING] ? 0 : n_quiet + 1;
        show_restart(t, i, until);
        i = until;
    }
}

static bool write_svg(const struct totals *t, const char *path)
{
    enum { BAR_WIDTH_PX = 4, HEIGHT_PX = 240 };
    int max_failures = 1;
    FILE *f = fopen(path, "w");
    if (!f)
        return false;
    for (int i = 0; i < t->n_windows; i++)
        max_failures =
            failures(&t->windows[i]) > max_failures ? failures(&t->windows[i]) : max_failures;
    fprintf(f, "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d'>\n",
            t->n_windows * BAR_WIDTH_PX, HEIGHT_PX + 20);
    for (int i = 0; i < t->n_windows; i++) {
        const struct window *w = &t->windows[i];
        double y = HEIGHT_PX;
        for (int k = 0; k < CA_K_COUNT; k++) {
            double h = (double)w->by_kind[k] * HEIGHT_PX / max_failures;
            y -= h;
            if (h > 0)
                fprintf(f,
                        "<rect x='%d' y='%.1f' width='%d' height='%.1f' fill='%s'>"
                        "<title>%.1f s: %s, %d</title></rect>\n",
                        i * BAR_WIDTH_PX, y, BAR_WIDTH_PX, h, ca_color(k),
                        i * WINDOW_MS / 1000.0, ca_column_head(k), w->by_kind[k]);
        }
        if (w->leader_elections || w->primary_changes || w->by_phase[PHASE_LEASED])
            fprintf(f,
                    "<rect x='%d' y='%d' width='%d' height='12' fill='%s'><title>%.1f s: %d "
                    "leaders, %d changes of primary, %d leases</title></rect>\n",
                    i * BAR_WIDTH_PX, HEIGHT_PX + 4, BAR_WIDTH_PX,
                    w->leader_elections ? "#c62828" : "#2e7d32", i * WINDOW_MS / 1000.0,
                    w->leader_elections, w->primary_changes, w->by_phase[PHASE_LEASED]);
    }
    fprintf(f, "</svg>\n");
    return fclose(f) == 0;
}

int ctl_worth(const struct ctl *c)
{
    static struct totals t;
    if (!read_files(&t, c))
        return EX_REFUSED;
    if (t.first_ms == 0) {
        printf("the files contain no log line of ferryd\n");
        return EX_REFUSED;
    }
    show_causes(&t);
    wt_show(&t.waits);
    show_restarts(&t);
    show_windows(&t);
    if (c->svg && !write_svg(&t, c->svg)) {
        fprintf(stderr, "ferryctl: cannot write %s\n", c->svg);
        return EX_REFUSED;
    }
    return EX_GOOD;
}
