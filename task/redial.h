/* Reconnect timing for connections between ferrylanding processes. The functions read no clock;
 * the caller passes the time (`now`, microseconds of ck_now()).
 *
 * The SYN packet to a VM that is powered off is lost, and the kernel retransmits it only after
 * one second, so a VM that has just started would be reached up to a second late. Therefore an
 * unanswered connect is abandoned early and started again. The timeout grows only for a peer
 * that leaves several connects unanswered, as that peer may be far away or slow. */
#ifndef FL_TASK_REDIAL_H
#define FL_TASK_REDIAL_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Delay between the end of a connection and the next connect. The delay is short compared
     * with a lease, and ten connects per second are a negligible load for a listening peer. */
    RD_RETRY_US = 100000,
    /* Timeout of the first connect. It exceeds the longest round trip between regions (0.1 s)
     * plus a pause of 0.1 s caused by a CPU quota. */
    RD_FIRST_US = 250000,
    /* Bound of the timeout, which doubles while connects stay unanswered. */
    RD_LONGEST_US = 1000000,
};

struct rd_state {
    int64_t next_try, connect_started; /* ck_now() times */
    int unanswered;                    /* connects abandoned since the last successful one */
    bool peer_connected; /* the peer has connected to this process since the last connect */
};

/* Whether the next connect is due. Meaningful only while there is no connection. */
bool rd_due(const struct rd_state *l, int64_t now);
/* Record that a connect was started. */
void rd_connect_started(struct rd_state *l, int64_t now);
/* Whether the pending connect has exceeded its timeout and must be abandoned. */
bool rd_connect_timed_out(const struct rd_state *l, int64_t now);
/* Record that the peer has connected to this process: the peer is reachable, and a connect sent
 * before it started is lost. The next connect is due immediately. */
void rd_peer_connected(struct rd_state *l, int64_t now);
/* Record that the pending connect was abandoned. */
void rd_connect_abandoned(struct rd_state *l);
/* Record that the connection is open. */
void rd_opened(struct rd_state *l);
/* Record that the connection or the pending connect ended, for any reason. */
void rd_closed(struct rd_state *l, int64_t now);

#endif
