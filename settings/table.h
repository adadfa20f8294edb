/* The option table: what settings there are. Shared by the parts of the module only. */
#ifndef FL_SETTINGS_TABLE_H
#define FL_SETTINGS_TABLE_H

#include <stddef.h>

enum st_type {
    T_TEXT,
    T_IP,
    T_INT,
    T_FLAG,
    T_ROLES,
    T_PEERS,
    T_GROUPS,
    T_ADDR,
    T_ADDRS,
    T_MILLI
};

struct st_option {
    const char *key; /* dotted path */
    enum st_type type;
    size_t offset, size; /* field in struct st_settings */
    long lo, hi;
    const char *unit;
    const char *def; /* as JSON text */
    const char *help;
};

extern const struct st_option st_table[];
extern const int st_n_options;

#endif
