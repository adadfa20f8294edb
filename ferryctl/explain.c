/* ferryctl explain: shows what led to a failed request, as the relevant lines from the logs of
 * many processes in order of time.
 *
 * The log line of the request names its group, and the term and the document that applied to
 * it. Shortly before the failure, the logs of the node, of other nodes and of control contain
 * the changes of the same group, of the node's lease and of the configuration. Only files are
 * read, so the processes need not be running. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ferryctl/ctl.h"

enum {
    BEFORE_MS = 3000,  /* range before the failure that is searched for a cause */
    AFTER_MS = 1500,   /* control may log a change after the failure it causes */
    MAX_LINES = 20000, /* limit over all files; further lines are ignored */
    MAX_SHOWN = 60,
    MAX_LINE_BYTES = 4096, /* more than misc/log.c writes in a line */
};

struct log_line {
    json_t *line;
    long long ms;
};

struct search {
    const char *id;
    int n;
    struct log_line lines[MAX_LINES];
    const json_t *failed; /* the last line of the request */
    long long failed_ms;  /* time of that line */
};

static const char *string_field(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s ? s : "";
}

/* Parses the JSON object in a line; text before it is skipped, as some logs are captured
 * program output with a prefix on each line. */
static json_t *parse_line(const char *line)
{
    const char *brace = strchr(line, '{');
    return brace ? json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
}

static bool read_file(struct search *s, const char *path)
{
    char line[MAX_LINE_BYTES];
    FILE *f = fopen(path, "r");
    if (!f)
        return false;
    while (fgets(line, sizeof(line), f)) {
        json_t *o = parse_line(line);
        if (!string_field(o, "event")[0] || s->n == MAX_LINES) {
            json_decref(o);
            continue;
        }
        s->lines[s->n++] =
            (struct log_line){o, json_integer_value(json_object_get(o, "ts_ms"))};
        if (strcmp(string_field(o, "request"), s->id) == 0) {
            s->failed = o;
            s->failed_ms = s->lines[s->n - 1].ms;
        }
    }
    fclose(f);
    return true;
}

static int by_time(const void *a, const void *b)
{
    long long x = ((const struct log_line *)a)->ms, y = ((const struct log_line *)b)->ms;
    return x < y ? -1 : x > y;
}

/* Whether a line may show the cause: it belongs to the request, or is about the same group, the
 * lease of the same node, or the configuration. */
static bool is_relevant(const struct search *s, const struct log_line *f)
{
    if (f->ms < s->failed_ms - BEFORE_MS || f->ms > s->failed_ms + AFTER_MS)
        return false;
    if (strcmp(string_field(f->line, "request"), s->id) == 0)
        return true;
    const char *event = string_field(f->line, "event");
    bool same_node =
        strcmp(string_field(f->line, "node"), string_field(s->failed, "node")) == 0;
    bool same_group =
        strcmp(string_field(f->line, "group"), string_field(s->failed, "group")) == 0;
    if (strcmp(event, "request_failed") == 0)
        return false; /* failures of other requests are effects, not causes */
    if (strncmp(event, "lease", 5) == 0 || strcmp(event, "document_in_force") == 0)
        return same_node;
    if (strcmp(event, "group_changed") == 0)
        return same_group && same_node;
    return same_group || strncmp(event, "document", 8) == 0 || strncmp(event, "member", 6) == 0;
}

/* Whether all lines have the field; such fields are printed first or not at all. */
static bool is_common_field(const char *key)
{
    static const char *const common_fields[] = {"ts_ms", "node", "level", "module", "event"};
    for (size_t i = 0; i < sizeof(common_fields) / sizeof(common_fields[0]); i++) {
        if (strcmp(key, common_fields[i]) == 0)
            return true;
    }
    return false;
}

static void show_line(const struct search *s, const struct log_line *f)
{
    const char *key;
    json_t *v;
    printf("%+7lld ms  %-16s %-20s", f->ms - s->failed_ms, string_field(f->line, "node"),
           string_field(f->line, "event"));
    json_object_foreach(f->line, key, v)
    {
        if (!is_common_field(key) && json_is_string(v))
            printf(" %s=%s", key, json_string_value(v));
    }
    putchar('\n');
}

/* Explains the kind of the failure and says what to look at next. */
static void show_cause(const struct search *s)
{
    static const struct {
        const char *kind, *explanation;
    } rows[] = {
        {"lost",
         "in doubt: it was sent and its answer was lost; only the data of the instance shows "
         "whether it ran"},
        {"timeout", "in doubt: it was sent and no answer came in time"},
        {"aborted", "its transaction was rolled back: none of its writes were kept"},
        {"overload",
         "not run: no connection became free in time; behind=N says how many instances "
         "could not serve it because they lack positions"},
        {"busy", "not run: the instance's own queue was full"},
        {"deadline", "not run: no instance could accept it before its deadline; a "
                     "group_changed line shows a change "
                     "of primary, lease_lost a node disconnected from control"},
        {"no_lease", "not run: the node was disconnected from control"},
        {"no_database",
         "the configuration in force on the node (document=) has no such database"},
    };
    const char *kind = string_field(s->failed, "kind");
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        if (strcmp(rows[i].kind, kind) == 0)
            printf("cause: %s: %s\n", kind, rows[i].explanation);
    }
}

static void show_relevant_lines(struct search *s)
{
    int shown = 0;
    for (int i = 0; i < s->n && shown < MAX_SHOWN; i++) {
        if (!is_relevant(s, &s->lines[i]))
            continue;
        show_line(s, &s->lines[i]);
        shown++;
    }
    if (shown == MAX_SHOWN)
        printf("(there are more relevant lines; the first %d are shown)\n", MAX_SHOWN);
}

/* Warns if no log of a control node was read: only the effects of a change of primary are then
 * visible. */
static void show_missing_logs(const struct search *s)
{
    for (int i = 0; i < s->n; i++) {
        if (strcmp(string_field(s->lines[i].line, "module"), "control") == 0)
            return;
    }
    printf("missing: none of the files is the log of a control node\n");
}

int ctl_explain(const struct ctl *c)
{
    static struct search s;
    s.id = c->args[1];
    for (int i = 2; i < c->n_args; i++) {
        if (!read_file(&s, c->args[i]))
            fprintf(stderr, "ferryctl: cannot read %s\n", c->args[i]);
    }
    if (!s.failed) {
        printf("no line of request %s found: it did not fail on these nodes, or its line was "
               "dropped "
               "(ferry_session_log_lines_left_out_total)\n",
               s.id);
        return EX_REFUSED;
    }
    qsort(s.lines, (size_t)s.n, sizeof(s.lines[0]), by_time);
    show_relevant_lines(&s);
    show_cause(&s);
    show_missing_logs(&s);
    return EX_GOOD;
}
