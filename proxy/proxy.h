/* The session proxy: runs the sessions of callers on a small number of connections to
 * instances.
 *
 * A caller's connection is a session with values, prepared statements and the position of its
 * last commit. Statements run on any pooled connection that is free; the session's values and
 * prepared statements are set up there first. A transaction keeps its connection. The data that
 * a read must see (catalog/) decides which instances may serve it; an instance refuses a read
 * if it lacks the floor, the minimum position.
 *
 * All functions run on the loop's thread. The entry role supplies the view, the lease and the
 * shares. */
#ifndef FL_PROXY_PROXY_H
#define FL_PROXY_PROXY_H

#include "catalog/catalog.h"
#include "misc/hist.h"
#include "proxy/wire.h"
#include "route/holders.h"
#include "task/net.h"
#include "wire/wire.h"

struct px_proxy;

/* Callbacks into the entry role. */
struct px_host {
    /* Whether this node has a valid lease, so that no term in its view was replaced. */
    bool (*leased)(void *ud);
    /* Reports an instance that does not answer, or refuses statements. */
    void (*suspect)(void *ud, const char *inst, enum wr_health health);
    void *ud;
};

/* Configuration of a proxy. */
struct px_config {
    const char *name; /* this node's name, also sent to instances */
    const char *domain;
    const char *ip; /* address to listen on for sessions */
    int port;
    int max_sessions; /* connections of callers, and those that relay them to other nodes */
    int max_ahead;    /* statements at work that were sent before the answer to the last one */
    int64_t grace_us; /* time from px_stop until the process is killed */
    uint64_t seed;
    const struct px_codec *codec;
    const struct cg_codec *documents;
    struct px_host host;
};

/* Listens for callers. Returns NULL and sets *err if that fails. The strings of *cfg must
 * outlive the proxy. */
struct px_proxy *px_create(struct nt_loop *l, const struct px_config *cfg, struct er_err *err);
/* Sets a newer view. */
void px_set_view(struct px_proxy *p, const struct vw_view *v);
/* Whether no statement acts on an older view any more. A planned change of primary waits,
 * within a bound, until the statements at the old primary have ended. */
bool px_settled(const struct px_proxy *p);
/* Writes the connections held and wanted at each instance that the next renewal is to name, and
 * returns their number. */
uint32_t px_wanted_shares(struct px_proxy *p, struct wr_share *out, uint32_t cap);
/* Whether, since the last call, instances or held groups were added whose connections no
 * renewal has requested yet, or a permit is needed. */
bool px_has_changes(struct px_proxy *p);
/* Sets the entry nodes with a lease; strings and hashes as ho_prepare leaves them. */
void px_set_nodes(struct px_proxy *p, const struct ho_node *nodes, int n);
/* Sets the number of connections to the instance that this node may have from now on. */
void px_set_share(struct px_proxy *p, struct sr_str inst, int connections);
/* Writes the permits held and requested into the renewal *r; the caller frees the list. Each
 * call must be followed by sending the renewal. */
void px_permit_requests(struct px_proxy *p, struct wr_renew *r);
/* The leader's answer to a renewal that was sent then; all permits that are here live on for
 * LM_PERMIT_LIFE_US from there. */
void px_permits_granted(struct px_proxy *p, int64_t sent, const struct wr_permit *permits,
                        uint32_t n);
/* Like px_permits_granted without permits in the reply: the leader knows of all permits here.
 */
void px_permits_renewed(struct px_proxy *p, int64_t sent);
/* Discards all permits, as the lease is released. */
void px_permits_discard(struct px_proxy *p);
/* The leader does not know the permits of this node: the next renewal reports all of them. */
void px_permits_report_all(struct px_proxy *p);
/* Handles the loss of the lease. Other nodes may get the connections of this node, so its share
 * at each instance falls to one connection. */
void px_lease_lost(struct px_proxy *p);
/* The health of an instance as this node sees it; WR_UNKNOWN: not checked recently. */
enum wr_health px_instance_health(const struct px_proxy *p, struct sr_str inst);
/* Whether a configuration document is in force. */
bool px_configured(const struct px_proxy *p);
/* Connections of callers, and those that relay them to other nodes. */
int px_open_connections(const struct px_proxy *p);
/* Must be called every few milliseconds. */
void px_tick(struct px_proxy *p, int64_t now);
/* Starts a planned stop: idle sessions are closed in a staggered way, running statements end,
 * open transactions are rolled back when about half of the time has passed. */
void px_stop(struct px_proxy *p, int64_t now);
/* The process ends soon: reads nothing more from callers, answers everything that was read with
 * what is known of it, and closes all sessions. */
void px_end_all(struct px_proxy *p);
/* Whether an answer to a caller is not sent yet. */
bool px_has_unsent(const struct px_proxy *p);
/* Logs the sessions and statements that are open when the process ends. */
void px_log_open_work(const struct px_proxy *p);
/* Whether a planned stop is complete: no session is left. */
bool px_stopped(const struct px_proxy *p);
/* Appends the lines for /metrics. */
void px_metrics(const struct px_proxy *p, struct sr_buf *out);
enum { PX_ACCOUNTS_LISTED = 64 }; /* maximum number of accounts listed in metrics and pages */
/* Writes the names of the accounts with the most operations started or refused here, the most
 * used first; returns their number. */
int px_accounts_by_use(const struct px_proxy *p, const char *names[PX_ACCOUNTS_LISTED]);
/* Writes the nodes that serve an account's sessions in the group; returns their number. */
int px_account_nodes(struct px_proxy *p, const char *group, const char *account,
                     const char *nodes[HO_MAX_HOLDERS]);

#endif
