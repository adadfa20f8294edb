/* Which connection a statement gets at an instance, where connections belong to accounts. Pure.
 *
 * An instance takes few connections, and each belongs to one account for its life: with 78
 * accounts and three connections a node most statements of a small account find none of
 * theirs. Opening one occupies a slot of the instance for as long as a statement does, and
 * where the node's share is used up another account's has to go for it. */
#ifndef FL_PROXY_FIT_H
#define FL_PROXY_FIT_H

#include <stdbool.h>
#include <stdint.h>

enum px_fit {
    PX_FIT_RUN,     /* on an idle connection of the account */
    PX_FIT_OPEN,    /* open one; the share has room */
    PX_FIT_REPLACE, /* close an idle connection of another account, then open one */
    PX_FIT_WAIT,    /* for one that is in use or being opened */
};

/* What a node has at an instance, as seen for the statement of one account. */
struct px_fit_view {
    bool idle;      /* a connection of the account is idle */
    int own;        /* connections of the account, those that are being opened included */
    int coming;     /* of these, those that are being opened */
    int waiting;    /* statements of the account that wait there, this one included */
    bool room;      /* the share has room for one more */
    bool replaces;  /* a connection of another account is idle, and nobody waits for it */
    int64_t waited; /* of this statement, us */
};

enum px_fit px_fit(const struct px_fit_view *v);

/* An idle connection that may have to go. */
struct px_spare {
    int64_t used_at; /* a statement ran on it last */
    int same;        /* idle connections of its account, itself included */
};

/* Which of them goes: of accounts that have several one of these, else the one used longest
 * ago. -1 if there is none. */
int px_fit_spare(const struct px_spare *s, int n);

#endif
