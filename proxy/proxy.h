/* The session proxy: callers' sessions on a few connections to instances.
 *
 * A caller's connection is a session with values, prepared names and the position of its last
 * commit. Statements run on whichever pooled connection is free; the session's values and
 * prepared statements are put there first. A transaction keeps its connection. Which instance
 * serves a read follows from what it must see (catalog/): the instance itself refuses a read
 * whose floor it lacks.
 *
 * Runs on the loop's thread. The entry role gives it the view, the lease and the shares. */
#ifndef FL_PROXY_PROXY_H
#define FL_PROXY_PROXY_H

#include "catalog/catalog.h"
#include "misc/hist.h"
#include "proxy/wire.h"
#include "route/holders.h"
#include "task/net.h"
#include "wire/wire.h"

struct px_proxy;

/* What the proxy asks of the entry role. */
struct px_host {
    /* Whether the view is the newest: no term in it was replaced. */
    bool (*leased)(void *ud);
    /* An instance does not answer, or refuses. */
    void (*suspect)(void *ud, const char *inst, enum wr_health health);
    void *ud;
};

/* What a proxy is made with. */
struct px_config {
    const char *name; /* of this node, told to instances */
    const char *domain;
    const char *ip; /* callers' sessions */
    int port;
    int max_sessions;
    int64_t grace_us; /* from px_stop until the process is killed */
    uint64_t seed;
    const struct px_codec *codec;
    const struct cg_codec *documents;
    struct px_host host;
};

/* Listen for callers. NULL with *err if that fails. Strings of *cfg must outlive it. */
struct px_proxy *px_create(struct nt_loop *l, const struct px_config *cfg, struct er_err *err);
/* A newer view is in force here. */
void px_set_view(struct px_proxy *p, const struct vw_view *v);
/* Whether nothing acts on an older view any more: a planned change of primary waits until what
 * runs at the old one has ended, within a bound. */
bool px_settled(const struct px_proxy *p);
/* Connections held and wanted, an entry for each instance that the next renewal is to name;
 * returns how many. */
uint32_t px_wanted_shares(struct px_proxy *p, struct wr_share *out, uint32_t cap);
/* Whether there are connections to ask for that no renewal has named, since this was asked
 * last: instances came to the view, or groups to hold. */
bool px_has_changes(struct px_proxy *p);
/* The entry nodes with a lease; strings and hashes as ho_prepare leaves them. */
void px_set_nodes(struct px_proxy *p, const struct ho_node *nodes, int n);
/* How many connections to the instance this node may have from now on. */
void px_set_share(struct px_proxy *p, struct sr_str inst, int connections);
/* What the next renewal says of client accounts' permits, to *r; the list is the caller's to
 * free. Each call is a renewal that goes out. */
void px_permit_requests(struct px_proxy *p, struct wr_renew *r);
/* The leader's answer to a renewal that was sent then; all permits that are here live on for
 * LM_LIFE_US from there. */
void px_permits_granted(struct px_proxy *p, int64_t sent, const struct wr_permit *permits,
                        uint32_t n);
/* The same without an answer; the leader knows of all permits here. */
void px_permits_renewed(struct px_proxy *p, int64_t sent);
/* The lease is given back: they end. */
void px_permits_discard(struct px_proxy *p);
/* The leader does not know of them: the next renewal tells it all. */
void px_permits_report_all(struct px_proxy *p);
/* The lease is lost: others may be given what this node held, but for one connection an
 * instance. */
void px_lease_lost(struct px_proxy *p);
/* What this node sees of an instance; WR_UNKNOWN: it did not ask lately. */
enum wr_health px_instance_health(const struct px_proxy *p, struct sr_str inst);
/* Whether a document is in force here. */
bool px_configured(const struct px_proxy *p);
/* Call every few milliseconds. */
void px_tick(struct px_proxy *p, int64_t now);
/* A planned stop: sessions that rest are closed one after the other, what runs ends. */
void px_stop(struct px_proxy *p, int64_t now);
/* From now on nobody is let in: who came while the node gives its lease back would be cut off.
 */
void px_refuse_new(struct px_proxy *p);
/* The process ends: say what it leaves open. */
void px_log_open_work(const struct px_proxy *p);
/* Whether everything has ended. */
bool px_stopped(const struct px_proxy *p, int64_t now);
/* Append lines for /metrics. */
void px_metrics(const struct px_proxy *p, struct sr_buf *out);
enum { PX_ACCOUNTS_LISTED = 64 }; /* accounts that metrics and pages name, at most */
/* The accounts that began or were refused most here, most first, to `names`; returns how many.
 */
int px_accounts_by_use(const struct px_proxy *p, const char *names[PX_ACCOUNTS_LISTED]);
/* The nodes at which an account's sessions meet in the group, to `nodes`; returns how many. */
int px_account_nodes(struct px_proxy *p, const char *group, const char *account,
                     const char *nodes[HO_MAX_HOLDERS]);

#endif
