/* The values and prepared statements of a session, and which of them have been set up on a
 * connection to an instance.
 *
 * Pure: no input, output or clock. A connection serves many sessions. Before a statement runs
 * on it, the missing part of the session's state is set up there, one statement after the
 * other. On a connection a prepared statement is identified by its content and has a name
 * chosen by the proxy. Sessions that prepared the same statement share it, and their names
 * can't collide. */
#ifndef FL_PROXY_STATE_H
#define FL_PROXY_STATE_H

#include "proxy/wire.h"

enum {
    PX_MAX_VALUES = 256,   /* values of a session */
    PX_MAX_PREPARED = 256, /* prepared statements of a session */
    /* Prepared statements on a connection; at this number they are all discarded before the
     * next one is prepared. */
    PX_MAX_PREPARED_ON_CONN = 128,
    PX_STMT_NAME = 24, /* bytes of a prepared statement's name on a connection, with its NUL */
};

struct px_value {
    char *name, *value;
    uint64_t version; /* version of the state when the value was set */
};

struct px_prepared {
    char *name, *shape;
    bool writes;
};

/* A session's state. A zero-initialized one is empty. */
struct px_state {
    uint64_t session; /* number of the session in this process, above 0 */
    uint64_t version; /* incremented with each value that is set */
    int n_values, n_prepared;
    struct px_value *values;
    struct px_prepared *prepared;
};

/* The state set up on a connection. A zero-initialized one belongs to a new connection. */
struct px_applied {
    uint64_t session; /* the session whose values are set on the connection; 0: none */
    uint64_t version; /* version of the session's state up to which the values are set */
    int n_prepared;
    unsigned
        names_assigned; /* names given to prepared statements since the connection was opened */
    struct px_prepared *prepared;
};

/* The following change the session's state and copy their strings. They return false and set
 * *err if a maximum is exceeded (ER_TOO_LARGE) or there is no such prepared statement
 * (ER_NO_STATEMENT). */
bool px_set_value(struct px_state *s, struct sr_str name, struct sr_str value,
                  struct er_err *err);
bool px_prepare(struct px_state *s, struct sr_str name, bool writes, struct sr_str shape,
                struct er_err *err);
bool px_deallocate(struct px_state *s, struct sr_str name, struct er_err *err);
/* Returns NULL if the session has no prepared statement of this name. */
const struct px_prepared *px_find_prepared(const struct px_state *s, struct sr_str name);
void px_state_free(struct px_state *s);

/* Sets *st to the next statement that must be executed on the connection before the session's
 * statement may run there. `run` is the prepared statement to be executed, or NULL. False: the
 * setup is complete. Strings in *st point into the state or to `name`. */
bool px_next_setup(const struct px_state *s, const struct px_applied *a,
                   const struct px_prepared *run, char name[PX_STMT_NAME], struct px_stmt *st);
/* Records in *a that the instance acknowledged the statement *st of px_next_setup. */
void px_setup_done(const struct px_state *s, struct px_applied *a, const struct px_stmt *st);
/* Returns the name of the prepared statement on the connection, or NULL if it was not prepared
 * there. */
const char *px_prepared_name_on(const struct px_applied *a, const struct px_prepared *run);
void px_applied_free(struct px_applied *a);

#endif
