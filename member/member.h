/* Membership of the quorum: decides on the next step towards a set of voters that tolerates the
 * configured number of losses.
 *
 * Pure; the control leader calls it where voters are added without an operator. Every reachable
 * control node with a disk of its own becomes a member; an odd number of members vote, a
 * remaining one is a learner. A node whose disk was emptied is a new member with a new id: it
 * learns first, then votes, and only then its old id is removed, so that no step tolerates
 * fewer losses than before. One step is taken at a time. */
#ifndef FL_MEMBER_MEMBER_H
#define FL_MEMBER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "quorum/quorum.h"

enum {
    MB_MAX_NODES = 2 * QR_MAX_MEMBERS,
    /* A member that was silent for this long is considered unreachable. Above the longest pause
     * of a member that is only slow (a stalled loop, a lost connection that is opened again),
     * below the time within which a replacement must vote (seconds). */
    MB_SILENT_LIMIT_US = 2500000,
};

/* A control node as the leader knows it. */
struct mb_node {
    uint64_t id;
    const char *ip;
    bool member, voter;
    bool connected;    /* its connection is open and its hello message was accepted */
    bool caught_up;    /* it has all committed entries */
    int64_t silent_us; /* time since its last message; 0 for the leader itself */
};

struct mb_state {
    uint64_t self; /* id of the leader */
    int tolerates; /* number of lost voters that must be tolerated */
    int n;
    struct mb_node node[MB_MAX_NODES];
};

enum mb_step { MB_NONE, MB_ADD, MB_VOTER, MB_REMOVE };

struct mb_action {
    enum mb_step step;
    uint64_t id;     /* of the node that is added, promoted or removed */
    const char *why; /* reason, for the log */
};

/* The next step; MB_NONE if none is needed. */
struct mb_action mb_next(const struct mb_state *s);
/* Number of voters required before a change may be committed. */
static inline int mb_required_voters(int tolerates)
{
    return 2 * tolerates + 1;
}

#endif
