/* The content of a configuration document: the databases, how old data their reads may return,
 * and how long a statement may take.
 *
 * Pure: no input or output. The codec of an interface converts the text of a document to a
 * catalog; checks and lookups are the same for all interfaces. */
#ifndef FL_CATALOG_CATALOG_H
#define FL_CATALOG_CATALOG_H

#include "account/account.h"
#include "catalog/order.h"
#include "misc/err.h"
#include "misc/index.h"
#include "misc/str.h"
#include "view/view.h"

/* CG_NAME is in bytes, including the terminating NUL. */
enum { CG_NAME = 128, CG_MAX_ROUTES = 16384, CG_MAX_SERVICES = VW_MAX_GROUPS };

/* The commits that a read of a database must see. */
enum cg_reads {
    CG_NEWEST,  /* all commits acknowledged before the read */
    CG_BOUNDED, /* all commits acknowledged more than max_age_us before the read */
    CG_SESSION, /* as CG_BOUNDED, and all commits of the same session */
};

/* A database and how its statements are served. */
struct cg_route {
    char name[CG_NAME];
    char database[CG_NAME]; /* the name that callers use */
    char prefix[CG_NAME];   /* a second part of the name; "/" for databases */
    char group[VW_NAME];    /* the group of instances that stores the database */
    enum cg_reads reads;
    int64_t max_age_us; /* for CG_BOUNDED and CG_SESSION */
    int64_t limit_us;   /* maximum duration of a statement; above 0 */
    int64_t aim_us;     /* target latency of an operation */
    int priority;       /* 0 is served first */
    int attempts;       /* maximum number of instances that a statement is offered to */
    bool open_to_all;   /* callers need no key for this database */
};

struct cg_service {
    char group[VW_NAME];
    int max_conns;   /* connections that each of its instances accepts */
    int sync_copies; /* replicas that must have a commit before it is acknowledged */
};

/* A zero-initialized catalog is empty. */
struct cg_catalog {
    uint64_t version;
    int n_routes;
    struct cg_route *routes; /* sorted by database, then prefix, after cg_check */
    int n_services;
    struct cg_service *services;
    struct ac_table accounts;
    int64_t txn_idle_us; /* transactions idle for longer may be ended; 0: no limit is given */
};

/* Result of a step: more steps are needed, the document is loaded, or the document is invalid.
 */
enum cg_step { CG_MORE, CG_DONE, CG_BAD };

/* Reads the documents of an interface: untrusted text, parsed in steps. */
struct cg_codec {
    const char *name;
    /* Returns the state of the parser. The text must outlive it. */
    void *(*open)(struct sr_str text);
    /* Parses at most *max more elements, which are subtracted from *max, into *out. The caller
     * owns *out (cg_free), and its content is not checked yet. Returns CG_BAD with *err set if
     * the text is invalid. */
    enum cg_step (*read)(void *state, int *max, struct cg_catalog *out, struct er_err *err);
    void (*close)(void *state);
};

/* Loads a document in bounded steps, because loading a large one at once would delay everything
 * else that the process does. A zero-initialized loader has no document. */
struct cg_loader {
    const struct cg_codec *codec; /* NULL: no document */
    void *codec_state;
    struct cg_catalog cat;    /* what was read so far */
    bool read_done;           /* all elements were read */
    struct ix_index services; /* the first n_indexed services, by name */
    int n_indexed;
    struct od_order order; /* of the routes */
    struct cg_route *sorted;
    int n_sorted; /* routes that are in `sorted` and checked */
};

enum { CG_AT_ONCE = 1 << 20 }; /* more elements than a document may have */

/* Starts to load a document. The text must outlive the loader. */
void cg_load_begin(struct cg_loader *t, const struct cg_codec *codec, struct sr_str text);
/* Reads at most `max` elements, or sorts and checks a small multiple of that. On CG_DONE the
 * caller owns *out; on CG_BAD *err is set and *out is unchanged. Both end the loading. */
enum cg_step cg_load_step(struct cg_loader *t, int max, struct cg_catalog *out,
                          struct er_err *err);
void cg_load_end(struct cg_loader *t);

/* Loads a document at once. If it is invalid, returns false with *out empty and *err set. */
bool cg_read(const struct cg_codec *codec, struct sr_str text, struct cg_catalog *out,
             struct er_err *err);
/* Sorts and checks the routes: the group of each route must be a service, no two routes may
 * have the same database and prefix, and timeouts must be above 0. */
bool cg_check(struct cg_catalog *c, struct er_err *err);
void cg_free(struct cg_catalog *c);

/* Return the route of a database or the service of a group, or NULL. */
const struct cg_route *cg_route(const struct cg_catalog *c, struct sr_str database);
const struct cg_service *cg_service(const struct cg_catalog *c, const char *group);

#endif
