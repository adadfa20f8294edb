/* Chooses the connection that a statement gets at an instance where connections belong to
 * client accounts. Pure; called by pool.c.
 *
 * An instance accepts few connections, and each belongs to one account until it is closed: with
 * 78 accounts and three connections per node, most statements of a small account find no
 * connection of their account. Opening a connection occupies a slot of the instance for as long
 * as a statement does, and if the node's share is used up, a connection of another account must
 * be closed first. */
#ifndef FL_PROXY_CONN_CHOICE_H
#define FL_PROXY_CONN_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

enum px_conn_choice {
    PX_CHOICE_RUN,     /* run it on an idle connection of the account */
    PX_CHOICE_OPEN,    /* open a connection; the node's share has room */
    PX_CHOICE_REPLACE, /* close an idle connection of another account, then open one */
    PX_CHOICE_WAIT,    /* wait for a connection that is in use or being opened */
};

/* The node's connections at an instance, as seen for a statement of one account. */
struct px_choice_view {
    bool idle;           /* a connection of the account is idle */
    int own_conns;       /* connections of the account, including those being opened */
    int own_opening;     /* the part of own_conns that is being opened */
    int own_waiting;     /* waiting statements of the account, including this one */
    bool share_has_room; /* the node's share allows one more connection */
    bool can_replace;  /* a connection of another account is idle and no session waits for it */
    int64_t waited_us; /* waiting time of this statement */
};

enum px_conn_choice px_choose_conn(const struct px_choice_view *v);

/* An idle connection that may be closed to make room. */
struct px_spare {
    int64_t last_used_at; /* when a statement was last sent on it */
    int idle_of_account;  /* idle connections of its account, including this one */
};

/* Returns the index of the connection to close: the least recently used one among accounts with
 * several idle connections, else the least recently used one. -1 if n is 0. */
int px_choose_spare(const struct px_spare *s, int n);

#endif
