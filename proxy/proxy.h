/* The session proxy: multiplexes callers' sessions over a few connections to instances.
 *
 * A caller's connection is a session with values, prepared statements and the position of its
 * last commit. Each statement runs on any idle pooled connection, after the session's values
 * and prepared statements have been set up there. A transaction keeps its connection until it
 * ends. Which instance serves a read depends on the minimum position that the read must see
 * (catalog/); an instance refuses a read whose floor its log has not reached.
 *
 * All functions run on the thread of the event loop. The entry role provides the view, the
 * lease and the shares. Times are in microseconds. */
#ifndef FL_PROXY_PROXY_H
#define FL_PROXY_PROXY_H

#include "catalog/catalog.h"
#include "misc/hist.h"
#include "proxy/wire.h"
#include "route/holders.h"
#include "task/net.h"
#include "wire/wire.h"

struct px_proxy;

/* Callbacks of the proxy to the entry role. */
struct px_host {
    /* Whether this node has a lease, so that no term in its view has been replaced. */
    bool (*leased)(void *ud);
    /* Reports that an instance does not answer, refuses or should hand over its role. */
    void (*suspect)(void *ud, const char *inst, enum wr_health health);
    void *ud;
};

/* Settings of a proxy. */
struct px_config {
    const char *name; /* name of this node; sent to instances */
    const char *domain;
    const char *ip; /* listening address for callers' sessions */
    int port;
    int max_sessions;
    int64_t grace_us; /* time from px_stop until the process is killed */
    uint64_t seed;
    const struct px_codec *codec;
    const struct cg_codec *documents;
    struct px_host host;
};

/* Creates a proxy that listens for callers. Returns NULL and sets *err if listening fails. The
 * strings of *cfg must outlive the proxy. */
struct px_proxy *px_create(struct nt_loop *l, const struct px_config *cfg, struct er_err *err);
/* Applies a newer view. */
void px_set_view(struct px_proxy *p, const struct vw_view *v);
/* Whether no statement uses an older view any more. A planned change of primary waits, up to a
 * bound, until the statements at the old primary have ended. */
bool px_settled(const struct px_proxy *p);
/* Writes the connections held and wanted to `out`, one entry for each instance that the next
 * renewal must name, and returns the number of entries, at most `cap`. */
uint32_t px_wanted_shares(struct px_proxy *p, struct wr_share *out, uint32_t cap);
/* Whether, since the last call, something came up that a renewal should request at once: an
 * instance was added to the view, a group has to be held, or an account lacks permits. */
bool px_has_changes(struct px_proxy *p);
/* Sets the list of entry nodes with a lease, with strings and hashes as prepared by
 * ho_prepare. */
void px_set_nodes(struct px_proxy *p, const struct ho_node *nodes, int n);
/* Sets the number of connections that this node may have to the instance. */
void px_set_share(struct px_proxy *p, struct sr_str inst, int connections);
/* Fills in the part of *r, the next renewal, that is about permits of client accounts. The
 * caller frees the list. Call it only for a renewal that is then sent. */
void px_permit_requests(struct px_proxy *p, struct wr_renew *r);
/* Applies the leader's reply to the renewal that was sent at `sent`. It extends the life of all
 * permits at this node to LM_LIFE_US after `sent`. */
void px_permits_granted(struct px_proxy *p, int64_t sent, const struct wr_permit *permits,
                        uint32_t n);
/* Extends the life of the permits like px_permits_granted, without new grants, when the leader
 * is known to have recorded all permits of this node. */
void px_permits_renewed(struct px_proxy *p, int64_t sent);
/* Discards all permits, because this node releases its lease. */
void px_permits_discard(struct px_proxy *p);
/* Makes the next renewal report all permits, because the leader does not know them. */
void px_permits_report_all(struct px_proxy *p);
/* Reduces each share to at most one connection, because the lease is lost and the leader may
 * grant the other connections to other nodes. */
void px_lease_lost(struct px_proxy *p);
/* Returns the instance's health as seen by this node; WR_UNKNOWN if this node has not contacted
 * it recently. */
enum wr_health px_instance_health(const struct px_proxy *p, struct sr_str inst);
/* Whether a configuration document is in force at this node. */
bool px_configured(const struct px_proxy *p);
/* Does the periodic work. Call it every few milliseconds. */
void px_tick(struct px_proxy *p, int64_t now);
/* Begins a planned stop: idle sessions are closed one after the other, and running statements
 * may end. */
void px_stop(struct px_proxy *p, int64_t now);
/* Refuses new callers from now on. A session that was accepted while the node releases its
 * lease would be closed before its first statement could end. */
void px_refuse_new(struct px_proxy *p);
/* Logs the sessions and statements that are still open when the process ends. */
void px_log_open_work(const struct px_proxy *p);
/* Whether the planned stop is complete, so that the process may end. */
bool px_stopped(const struct px_proxy *p, int64_t now);
/* Appends the lines for /metrics. */
void px_metrics(const struct px_proxy *p, struct sr_buf *out);
enum { PX_ACCOUNTS_LISTED = 64 }; /* maximum number of accounts in metrics and on pages */
/* Writes the names of the accounts with the most operations at this node, begun or refused, to
 * `names` in descending order and returns their number. */
int px_accounts_by_use(const struct px_proxy *p, const char *names[PX_ACCOUNTS_LISTED]);
/* Writes the names of the holders that serve the account's sessions in the group to `nodes` and
 * returns their number. */
int px_account_nodes(struct px_proxy *p, const char *group, const char *account,
                     const char *nodes[HO_MAX_HOLDERS]);

#endif
