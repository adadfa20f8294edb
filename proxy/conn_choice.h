/* Which connection a statement gets at an instance, where connections belong to accounts. Pure.
 *
 * An instance takes few connections, and each belongs to one account for its life: with 78
 * accounts and three connections a node most statements of a small account find none of
 * theirs. Opening one occupies a slot of the instance for as long as a statement does, and
 * where the node's share is used up another account's has to go for it. */
#ifndef FL_PROXY_CONN_CHOICE_H
#define FL_PROXY_CONN_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

enum px_conn_choice {
    PX_CHOICE_RUN,     /* on an idle connection of the account */
    PX_CHOICE_OPEN,    /* open one; the share has room */
    PX_CHOICE_REPLACE, /* close an idle connection of another account, then open one */
    PX_CHOICE_WAIT,    /* for one that is in use or being opened */
};

/* What a node has at an instance, as seen for the statement of one account. */
struct px_choice_view {
    bool idle;           /* a connection of the account is idle */
    int own_conns;       /* connections of the account, those that are being opened included */
    int own_opening;     /* of these, those that are being opened */
    int own_waiting;     /* statements of the account that wait there, this one included */
    bool share_has_room; /* the share has room for one more */
    bool can_replace;    /* a connection of another account is idle, and nobody waits for it */
    int64_t waited_us;   /* of this statement, us */
};

enum px_conn_choice px_choose_conn(const struct px_choice_view *v);

/* An idle connection that may have to go. */
struct px_spare {
    int64_t last_used_at; /* a statement ran on it last */
    int idle_of_account;  /* idle connections of its account, itself included */
};

/* Which of them goes: of accounts that have several one of these, else the one used longest
 * ago. -1 if there is none. */
int px_choose_spare(const struct px_spare *s, int n);

#endif
