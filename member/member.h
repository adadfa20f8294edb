/* Who votes: the next step towards a set of voters that bears the losses it must bear.
 *
 * Pure; run by the control leader where no operator lets voters in. Every control node with a
 * disk that is there becomes a member; an odd number of them votes, the one over learns. An
 * emptied disk is a new member: it learns first, then votes, and only then the identity that is
 * lost with the old disk is removed, so that at no step fewer losses are borne than before. One
 * step at a time. */
#ifndef FL_MEMBER_MEMBER_H
#define FL_MEMBER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "quorum/quorum.h"

enum {
    MB_MAX_NODES = 2 * QR_MAX_MEMBERS,
    /* A member that was not heard of for this long is taken for gone. Above the longest pause
     * of one that is only slow (a stalled loop, a lost connection made anew), below the time
     * within which a successor must count (seconds). */
    MB_SILENT_LIMIT_US = 2500000,
};

/* A control node as the leader knows it. */
struct mb_node {
    uint64_t id;
    const char *ip;
    bool member, voter;
    bool connected;    /* it is greeted and its connection is open */
    bool caught_up;    /* holds all that is committed */
    int64_t silent_us; /* how long ago it was heard; 0 for the leader itself */
};

struct mb_state {
    uint64_t self;
    int tolerates; /* losses that are to be borne */
    int n;
    struct mb_node node[MB_MAX_NODES];
};

enum mb_step { MB_NONE, MB_ADD, MB_VOTER, MB_REMOVE };

struct mb_action {
    enum mb_step step;
    uint64_t id;
    const char *why; /* for the log */
};

struct mb_action mb_next(const struct mb_state *s);
/* Voters that are needed before anything may be promised. */
static inline int mb_required_voters(int tolerates)
{
    return 2 * tolerates + 1;
}

#endif
