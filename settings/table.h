/* The table of all settings. Private to settings/. */
#ifndef FL_SETTINGS_TABLE_H
#define FL_SETTINGS_TABLE_H

#include <stddef.h>

enum st_type {
    T_TEXT,
    T_IP,
    T_INT,
    T_FLAG,
    T_ROLES,  /* list of "entry" and "control" */
    T_PEERS,  /* list of control nodes */
    T_GROUPS, /* list of database groups */
    T_ADDR,   /* "ip:port" or "" */
    T_ADDRS,  /* list of "ip:port" */
    T_MILLI   /* number, stored as an int in thousandths */
};

struct st_option {
    const char *key; /* dotted path */
    enum st_type type;
    size_t offset, size; /* of the field in struct st_settings, in bytes */
    long lo, hi;         /* range of a number, or of a text's length in bytes */
    const char *unit;
    const char *def; /* default value as JSON text; NULL: required */
    const char *help;
};

extern const struct st_option st_table[];
extern const int st_n_options;

#endif
