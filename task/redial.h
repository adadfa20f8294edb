/* When to try a connection between two of our processes anew. Pure: the time comes in.
 *
 * The opening packet to a VM without power is lost, and the kernel sends it again after a
 * second only. Whoever waits for that meets a VM that has just come back a second late; so a
 * connect that is not answered is given up soon and made anew, and only a peer that leaves
 * several unanswered gets longer: it may be far away or slow. */
#ifndef FL_TASK_REDIAL_H
#define FL_TASK_REDIAL_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Between a connection's end and the next try. Origin: small against a lease, and ten a
     * second cost a listening peer nothing. */
    RD_RETRY_US = 100000,
    /* A connect that is not answered by then is given up. Origin: above the longest round trip
     * between regions (0.1 s) and a stop of 0.1 s by a processor quota. */
    RD_FIRST_US = 250000,
    RD_LONGEST_US = 1000000, /* it is doubled up to here while none is answered */
};

struct rd_state {
    int64_t next_try, connect_started; /* in the runtime's clock */
    int unanswered;                    /* connects since one was answered */
    bool peer_connected;               /* the peer has shown itself since the last connect */
};

/* Whether a connect, if there is none, is due. */
bool rd_due(const struct rd_state *l, int64_t now);
/* A connect begins. */
void rd_dialed(struct rd_state *l, int64_t now);
/* Whether the connect that is under way is to be given up. */
bool rd_hangs(const struct rd_state *l, int64_t now);
/* The peer has connected to us: it is there, and what was sent before it came is lost. */
void rd_heard(struct rd_state *l, int64_t now);
/* It was given up. */
void rd_gave_up(struct rd_state *l);
/* It is open. */
void rd_opened(struct rd_state *l);
/* It ended, however it did. */
void rd_closed(struct rd_state *l, int64_t now);

#endif
