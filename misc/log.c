#include "misc/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "misc/clock.h"
#include "misc/str.h"

#define MAX_OVERRIDES 8

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
    } over[MAX_OVERRIDES];
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

static bool parse_part(struct sr_str part)
{
    const char *eq = memchr(part.p, '=', part.len);
    if (!eq)
        return parse_level(part, &setup.level);
    struct sr_str name = {part.p, (size_t)(eq - part.p)};
    struct sr_str level = {eq + 1, part.len - name.len - 1};
    if (setup.n == MAX_OVERRIDES)
        return false;
    if (!sr_copy(setup.over[setup.n].prefix, sizeof(setup.over[0].prefix), name))
        return false;
    if (!parse_level(level, &setup.over[setup.n].level))
        return false;
    setup.n++;
    return true;
}

bool lg_setup(const char *node, const char *spec, bool json)
{
    setup.json = json;
    setup.n = 0;
    snprintf(setup.node, sizeof(setup.node), "%s", node);
    while (*spec) {
        size_t n = strcspn(spec, ",");
        if (!parse_part((struct sr_str){spec, n}))
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
        if (strcmp(setup.over[i].prefix, log->prefix) == 0)
            return level <= setup.over[i].level;
    }
    return level <= setup.level;
}

static void write_json(const struct lg_log *log, enum lg_level level, const char *text)
{
    json_t *o =
        json_pack("{s:I,s:s,s:s,s:s,s:s}", "ts_ms", (json_int_t)ck_wall_ms(), "node",
                  setup.node, "level", level_names[level], "module", log->prefix, "msg", text);
    char *line = o ? json_dumps(o, JSON_COMPACT) : NULL;
    if (line)
        fprintf(stderr, "%s\n", line);
    free(line);
    json_decref(o);
}

void lg_write(const struct lg_log *log, enum lg_level level, const char *fmt, ...)
{
    char text[1024];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    if (setup.json) {
        write_json(log, level, text);
        return;
    }
    int64_t ms = ck_wall_ms();
    fprintf(stderr, "%lld.%03lld %s %s [%s] %s\n", (long long)(ms / 1000),
            (long long)(ms % 1000), setup.node, level_names[level], log->prefix, text);
}
