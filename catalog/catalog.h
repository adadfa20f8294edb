/* What a configuration document says: which databases there are, what may be read how old, and
 * how long a statement may take.
 *
 * Pure. An interface's codec makes a catalog of a document's text; the checks and look-ups are
 * the same for all. */
#ifndef FL_CATALOG_CATALOG_H
#define FL_CATALOG_CATALOG_H

#include "account/account.h"
#include "misc/err.h"
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

/* How an interface writes documents. */
struct cg_codec {
    const char *name;
    /* Untrusted text in. On success the caller owns what *out holds (cg_free); it is not
     * checked yet. False with *err if it can't be read whole. */
    bool (*decode)(struct sr_str text, struct cg_catalog *out, struct er_err *err);
};

/* Decode and check. False, *out empty and *err filled if the document is not valid. */
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
