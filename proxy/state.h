/* What a session has set and prepared, and what of it an instance's connection has.
 *
 * Pure. A connection serves many sessions: before a statement runs on it, what it lacks of the
 * session's state is put there, one statement after the other. Prepared statements are named by
 * their content there, so sessions that prepared the same share them and names can't clash. */
#ifndef FL_PROXY_STATE_H
#define FL_PROXY_STATE_H

#include "proxy/wire.h"

enum {
    PX_MAX_VALUES = 256,   /* of a session */
    PX_MAX_PREPARED = 256, /* of a session */
    PX_MAX_PREPARED_ON_CONN =
        128, /* prepared statements a connection keeps before it starts anew */
    PX_STMT_NAME = 24,
};

struct px_value {
    char *name, *value;
    uint64_t version; /* of the state when it was set */
};

struct px_prepared {
    char *name, *shape;
    bool writes;
};

/* A session's state. Zero-initialised is empty. */
struct px_state {
    uint64_t session; /* number of the session in this process, above 0 */
    uint64_t version; /* grows with each value that is set */
    int n_values, n_prepared;
    struct px_value *values;
    struct px_prepared *prepared;
};

/* What a connection has. Zero-initialised is that of a new one. */
struct px_applied {
    uint64_t session; /* whose values it has; 0 none */
    uint64_t version;
    int n_prepared;
    unsigned last_name;
    struct px_prepared *prepared;
};

bool px_set_value(struct px_state *s, struct sr_str name, struct sr_str value,
                  struct er_err *err);
bool px_prepare(struct px_state *s, struct sr_str name, bool writes, struct sr_str shape,
                struct er_err *err);
bool px_deallocate(struct px_state *s, struct sr_str name, struct er_err *err);
const struct px_prepared *px_find_prepared(const struct px_state *s, struct sr_str name);
void px_state_free(struct px_state *s);

/* The statement that the connection needs next before `run` (NULL: none by name) may run for
 * the session. False: it has all. Strings in *st belong to the state, or to `name`. */
bool px_next_setup(const struct px_state *s, const struct px_applied *a,
                   const struct px_prepared *run, char name[PX_STMT_NAME], struct px_stmt *st);
/* That statement was acknowledged. */
void px_setup_done(const struct px_state *s, struct px_applied *a, const struct px_stmt *st);
/* The name of a prepared statement on the connection, NULL if it is not there. */
const char *px_prepared_name_on(const struct px_applied *a, const struct px_prepared *run);
void px_applied_free(struct px_applied *a);

#endif
