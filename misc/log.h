/* The logger. Each module has a `struct lg_log` with its prefix. Text lines go to stderr, JSON
 * lines to stdout. */
#ifndef FL_MISC_LOG_H
#define FL_MISC_LOG_H

#include <stddef.h>
#include <stdbool.h>

enum lg_level { LG_FATAL, LG_ERR, LG_WARN, LG_INFO, LG_VERBOSE, LG_DEBUG, LG_TRACE };

struct lg_log {
    const char *prefix; /* names the module; static storage */
};

/* Configure the logger at startup. `spec` is a level with optional levels per prefix, such as
 * "info" or "info,quorum=debug,entry=trace". Returns false if `spec` is invalid. */
bool lg_setup(const char *node, const char *spec, bool json);

/* Whether lines of this level are written. */
bool lg_enabled(const struct lg_log *log, enum lg_level level);
/* Write a line of text. Callers use the macros below, which check the level first. */
void lg_write(const struct lg_log *log, enum lg_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Write an event with its fields. The event names are listed in docs/LOGS.md. `fmt` gives the
 * fields as "key=value key=value". Values contain no spaces, except those of detail, why and
 * outcome, which must be last and extend to the end of the line. In JSON each field is a
 * member. */
void lg_event(const struct lg_log *log, enum lg_level level, const char *event, const char *fmt,
              ...) __attribute__((format(printf, 4, 5)));
/* Number of lines dropped because the reader of the log did not keep up. */
unsigned long lg_left_out(void);

/* Replaces control characters, so that text from a caller can't begin a line of its own. */
void lg_mask_controls(char *text, size_t n);

#define LG_MSG(log, level, ...)                                                                \
    do {                                                                                       \
        if (lg_enabled((log), (level)))                                                        \
            lg_write((log), (level), __VA_ARGS__);                                             \
    } while (0)
#define FL_EVENT(log, level, ...)                                                              \
    do {                                                                                       \
        if (lg_enabled((log), (level)))                                                        \
            lg_event((log), (level), __VA_ARGS__);                                             \
    } while (0)
#define FL_FATAL(log, ...) LG_MSG(log, LG_FATAL, __VA_ARGS__)
#define FL_ERR(log, ...) LG_MSG(log, LG_ERR, __VA_ARGS__)
#define FL_WARN(log, ...) LG_MSG(log, LG_WARN, __VA_ARGS__)
#define FL_INFO(log, ...) LG_MSG(log, LG_INFO, __VA_ARGS__)
#define FL_VERBOSE(log, ...) LG_MSG(log, LG_VERBOSE, __VA_ARGS__)
#define FL_DBG(log, ...) LG_MSG(log, LG_DEBUG, __VA_ARGS__)

#endif
