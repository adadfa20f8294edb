/* A node's proxy for unit tests: real sockets on loopback, the platform's codecs. */
#ifndef FL_TESTS_ONE_NODE_H
#define FL_TESTS_ONE_NODE_H

#include "proxy/proxy.h"

/* A port of 127.0.0.1 that was free just now. */
int on_free_port(void);
/* `name` must outlive the proxy; `leased` NULL: it always has a lease. */
struct px_proxy *on_create(struct nt_loop *l, const char *name, int port, int max_sessions,
                           bool (*leased)(void *ud));

/* The proxy acts on one group "g" with one instance "i" at that port, and on the document. */
void on_show_group(struct px_proxy *p, int inst_port, const char *document);

/* Listens at a port of 127.0.0.1 for connections that are handled by `ops`. Ends the test if it
 * can't: whatever it checks afterwards needs the connections. */
void on_listen(struct nt_loop *l, int port, const struct nt_ops *ops,
               void *(*accept)(struct nt_conn *c, void *ud), void *ud);

/* The proxy's node "n0", with sessions at that port, and "n1", which does not answer. */
void on_show_two_nodes(struct px_proxy *p, int port);

/* Callbacks that do nothing. */
void on_no_open(struct nt_conn *c, void *ud);
void on_no_close(struct nt_conn *c, void *ud, bool opened, bool refused);

/* Let the loop hear its peers once: what was decided by time before may be decided anew. */
void on_hear(struct nt_loop *l);

/* The success of an instance that is sent the line, up to its READY: statements that read,
 * write or commit get a signature of their own, which begins with "s.". Valid until the next
 * call. */
const char *on_success(const char *line);

#endif
