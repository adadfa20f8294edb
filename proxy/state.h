/* The values and prepared statements of a session, and those that are set up on a connection to
 * an instance.
 *
 * Pure functions. A connection serves many sessions: before a statement runs on it, the parts
 * of the session's state that it lacks are set up there, one statement after the other. On a
 * connection, prepared statements are found by their content, so that sessions with equal
 * statements share them and names can't clash. */
#ifndef FL_PROXY_STATE_H
#define FL_PROXY_STATE_H

#include "proxy/wire.h"

enum {
    PX_MAX_VALUES = 256,   /* values of a session */
    PX_MAX_PREPARED = 256, /* prepared statements of a session */
    /* Prepared statements on a connection; at this number they are all discarded before the
     * next one is prepared. */
    PX_MAX_PREPARED_ON_CONN = 128, /* prepared statements on a connection before it is reset */
    /* Bytes of a session's values and prepared statements, with their names. */
    PX_MAX_STATE_BYTES = 8 << 20,
    PX_DIGEST_BYTES = 16,
    PX_STMT_NAME = 24, /* bytes of a prepared statement's name on a connection, with its NUL */
};

struct px_value {
    char *name, *value;
    uint64_t version; /* px_state.version when it was set */
};

struct px_prepared {
    char *name, *shape;
    bool writes;
    unsigned char digest[PX_DIGEST_BYTES]; /* of `shape` */
};

/* A prepared statement on a connection. The text is known by its digest, as the connection may
 * have served many sessions with long ones. */
struct px_applied_stmt {
    char name[PX_STMT_NAME];
    bool writes;
    unsigned char digest[PX_DIGEST_BYTES];
};

/* State of a session. A zeroed struct is empty. */
struct px_state {
    uint64_t session; /* number of the session in this process, above 0 */
    uint64_t version; /* incremented by each px_set_value */
    size_t bytes;     /* of the values, prepared statements and their names */
    int n_values, n_prepared;
    struct px_value *values;
    struct px_prepared *prepared;
};

/* State set up on a connection. A zeroed struct is that of a new connection. */
struct px_applied {
    uint64_t session; /* session whose values are set; 0: none */
    uint64_t version; /* px_state.version of the last value set here */
    int n_prepared;
    unsigned last_name; /* number in the name of the last statement prepared here */
    struct px_applied_stmt *prepared;
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

/* Finds the statement that the connection needs next before `run` (NULL: not a prepared
 * statement) can run for the session. Returns false if none is needed. Strings in *st belong to
 * the state, or to `name`. */
bool px_next_setup(const struct px_state *s, const struct px_applied *a,
                   const struct px_prepared *run, char name[PX_STMT_NAME], struct px_stmt *st);
/* Records that the instance acknowledged that statement. */
void px_setup_done(const struct px_state *s, struct px_applied *a, const struct px_stmt *st);
/* The name of a prepared statement on the connection; NULL if it is not there. */
const char *px_prepared_name_on(const struct px_applied *a, const struct px_prepared *run);
void px_applied_free(struct px_applied *a);

#endif
