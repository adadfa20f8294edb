#include "misc/log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "misc/clock.h"
#include "misc/str.h"

#define MAX_OVERRIDES 8
#define LINE_BYTES 2048 /* less than PIPE_BUF (4096), so that a pipe write is atomic */

static const char *const level_names[] = {"fatal",   "error", "warn", "info",
                                          "verbose", "debug", "trace"};

static struct {
    char node[64];
    bool json;
    enum lg_level level;
    int n;
    struct {
        char prefix[24];
        enum lg_level level;
    } overrides[MAX_OVERRIDES];
} setup = {.level = LG_INFO};

static bool parse_level(struct sr_str s, enum lg_level *out)
{
    for (int i = 0; i <= LG_TRACE; i++) {
        if (sr_eq(s, sr_from(level_names[i]))) {
            *out = (enum lg_level)i;
            return true;
        }
    }
    return false;
}

static bool parse_spec_item(struct sr_str part)
{
    const char *eq = memchr(part.p, '=', part.len);
    if (!eq)
        return parse_level(part, &setup.level);
    struct sr_str name = {part.p, (size_t)(eq - part.p)};
    struct sr_str level = {eq + 1, part.len - name.len - 1};
    if (setup.n == MAX_OVERRIDES)
        return false;
    if (!sr_copy(setup.overrides[setup.n].prefix, sizeof(setup.overrides[0].prefix), name))
        return false;
    if (!parse_level(level, &setup.overrides[setup.n].level))
        return false;
    setup.n++;
    return true;
}

bool lg_setup(const char *node, const char *spec, bool json)
{
    setup.json = json;
    if (json) {
        int flags = fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0)
            fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    setup.n = 0;
    snprintf(setup.node, sizeof(setup.node), "%s", node);
    while (*spec) {
        size_t n = strcspn(spec, ",");
        if (!parse_spec_item((struct sr_str){spec, n}))
            return false;
        spec += n;
        if (*spec == ',')
            spec++;
    }
    return true;
}

bool lg_enabled(const struct lg_log *log, enum lg_level level)
{
    for (int i = 0; i < setup.n; i++) {
        if (strcmp(setup.overrides[i].prefix, log->prefix) == 0)
            return level <= setup.overrides[i].level;
    }
    return level <= setup.level;
}

static unsigned long dropped_lines;

unsigned long lg_left_out(void)
{
    return dropped_lines;
}

/* Writes a whole line or nothing, as a pipe write of up to LINE_BYTES is atomic. A reader that
 * stops reading must not block the process, so lines that can't be written are dropped and
 * counted. In JSON the following lines contain the count. */
static void put_line(const char *text, size_t len)
{
    char line[LINE_BYTES];
    size_t n = len < sizeof(line) - 1 ? len : sizeof(line) - 1;
    memcpy(line, text, n);
    line[n] = '\n';
    ssize_t w = write(setup.json ? STDOUT_FILENO : STDERR_FILENO, line, n + 1);
    if (w != (ssize_t)n + 1)
        dropped_lines++;
}

static json_t *line_head(const struct lg_log *log, enum lg_level level)
{
    json_t *o = json_pack("{s:I,s:s,s:s,s:s}", "ts_ms", (json_int_t)ck_wall_ms(), "node",
                          setup.node, "level", level_names[level], "module", log->prefix);
    if (o && dropped_lines)
        json_object_set_new(o, "left_out", json_integer((json_int_t)dropped_lines));
    return o;
}

static void put_json(json_t *o)
{
    char *line = o ? json_dumps(o, JSON_COMPACT | JSON_ENSURE_ASCII) : NULL;
    if (line)
        put_line(line, strlen(line));
    free(line);
    json_decref(o);
}

static void write_json(const struct lg_log *log, enum lg_level level, const char *text)
{
    json_t *o = line_head(log, level);
    if (o)
        json_object_set_new(o, "msg", json_string(text));
    put_json(o);
}

void lg_mask_controls(char *text, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if ((unsigned char)text[i] < ' ' || text[i] == 0x7f)
            text[i] = '?';
    }
}

static void write_text(const struct lg_log *log, enum lg_level level, const char *text)
{
    char line[LINE_BYTES];
    int64_t ms = ck_wall_ms();
    int n = snprintf(line, sizeof(line), "%lld.%03lld %s %s [%s] %s", (long long)(ms / 1000),
                     (long long)(ms % 1000), setup.node, level_names[level], log->prefix, text);
    size_t len = n < (int)sizeof(line) ? (size_t)n : sizeof(line) - 1;
    lg_mask_controls(line, len);
    put_line(line, len);
}

/* Whether the value of a field may contain spaces and extends to the end of the line. */
static bool extends_to_end(const char *key)
{
    return strcmp(key, "detail") == 0 || strcmp(key, "why") == 0 || strcmp(key, "outcome") == 0;
}

/* Adds the fields of "key=value key=value ... detail=text up to the end of the line". */
static void add_fields(json_t *o, const char *text)
{
    while (*text) {
        char key[32];
        size_t n = strcspn(text, "=");
        const char *value = text[n] ? text + n + 1 : text + n;
        if (!sr_copy(key, sizeof(key), (struct sr_str){text, n}))
            return;
        size_t len = extends_to_end(key) ? strlen(value) : strcspn(value, " ");
        json_object_set_new(o, key, json_stringn(value, len));
        text = value + len;
        text += *text == ' ';
    }
}

void lg_event(const struct lg_log *log, enum lg_level level, const char *event, const char *fmt,
              ...)
{
    char text[1024];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    if (!setup.json) {
        char line[1100];
        snprintf(line, sizeof(line), "%s %s", event, text);
        write_text(log, level, line);
        return;
    }
    json_t *o = line_head(log, level);
    if (o) {
        json_object_set_new(o, "event", json_string(event));
        add_fields(o, text);
    }
    put_json(o);
}

void lg_write(const struct lg_log *log, enum lg_level level, const char *fmt, ...)
{
    char text[1024];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    if (setup.json)
        write_json(log, level, text);
    else
        write_text(log, level, text);
}
