/* What a configuration document says: which databases there are, what may be read how old, and
 * how long a statement may take.
 *
 * Pure. An interface's codec makes a catalog of a document's text; the checks and look-ups are
 * the same for all. */
#ifndef FL_CATALOG_CATALOG_H
#define FL_CATALOG_CATALOG_H

#include "account/account.h"
#include "catalog/order.h"
#include "misc/err.h"
#include "misc/index.h"
#include "misc/str.h"
#include "view/view.h"

enum { CG_NAME = 128, CG_MAX_ROUTES = 16384, CG_MAX_SERVICES = VW_MAX_GROUPS };

/* Which commits a database's reads must see. */
enum cg_reads {
    CG_NEWEST,  /* all that were acknowledged before */
    CG_BOUNDED, /* all that were acknowledged more than max_age_us before */
    CG_SESSION, /* the same, and all of the session itself */
};

/* A database that callers name, and how its statements are served. */
struct cg_route {
    char name[CG_NAME];
    char database[CG_NAME]; /* as callers name it */
    char prefix[CG_NAME];   /* a second part of its name; "/" for databases */
    char group[VW_NAME];    /* the group of instances that holds it */
    enum cg_reads reads;
    int64_t max_age_us; /* CG_BOUNDED, CG_SESSION */
    int64_t limit_us;   /* longest a statement may take; above 0 */
    int64_t aim_us;     /* what an operation should take */
    int priority;       /* 0 is served first */
    int attempts;       /* instances that a statement may be offered to, at most */
    bool open_to_all;   /* callers need no key for it */
};

struct cg_service {
    char group[VW_NAME];
    int max_conns;   /* connections that each of its instances accepts */
    int sync_copies; /* replicas that have a commit before it is acknowledged */
};

/* Zero-initialised is empty. */
struct cg_catalog {
    uint64_t version;
    int n_routes;
    struct cg_route *routes; /* by database, then prefix, once cg_check was called */
    int n_services;
    struct cg_service *services;
    struct ac_table accounts;
    int64_t
        txn_idle_us; /* a transaction that rests longer may be ended; 0: no bound is given */
};

enum cg_step { CG_MORE, CG_DONE, CG_BAD };

/* How an interface writes documents: untrusted text, read a part at a time. */
struct cg_codec {
    const char *name;
    /* The text must outlive what this returns. */
    void *(*open)(struct sr_str text);
    /* Read on by at most *most elements, counted down, into *out, which the caller owns
     * (cg_free) and which is not checked yet. CG_BAD with *err if the text can't be read whole.
     */
    enum cg_step (*read)(void *state, int *max, struct cg_catalog *out, struct er_err *err);
    void (*close)(void *state);
};

/* A document that is being taken in, a bounded part at a time: a large one, taken in at once,
 * would hold up everything else that the process does. Zero-initialised: none. */
struct cg_taking {
    const struct cg_codec *codec; /* NULL: none */
    void *codec_state;
    struct cg_catalog cat; /* as far as it was read */
    bool read_done;
    struct ix_index services; /* the first n_named of them, by name */
    int n_indexed;
    struct od_order order; /* of the routes */
    struct cg_route *sorted;
    int n_sorted; /* in place, and checked */
};

enum { CG_AT_ONCE = 1 << 20 }; /* elements: more than a document may have */

/* The text must outlive the taking. */
void cg_take_begin(struct cg_taking *t, const struct cg_codec *codec, struct sr_str text);
/* Go on by at most `most` elements read, or a small multiple of that sorted and checked.
 * CG_DONE: *out is the caller's; CG_BAD: *err is filled, *out is as it was. Both end it. */
enum cg_step cg_take(struct cg_taking *t, int max, struct cg_catalog *out, struct er_err *err);
void cg_take_end(struct cg_taking *t);

/* All of it at once. False, *out empty and *err filled if the document is not valid. */
bool cg_read(const struct cg_codec *codec, struct sr_str text, struct cg_catalog *out,
             struct er_err *err);
/* Sort and check: every route's group is a service, no two routes have the same database and
 * prefix, limits are above 0. */
bool cg_check(struct cg_catalog *c, struct er_err *err);
void cg_free(struct cg_catalog *c);

/* The route of a database, NULL none. */
const struct cg_route *cg_route(const struct cg_catalog *c, struct sr_str database);
const struct cg_service *cg_service(const struct cg_catalog *c, const char *group);

#endif
