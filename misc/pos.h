/* A position in a group's log: the term in which it was written and an increasing offset. The
 * endpoint defines the unit of pos (log bytes, records), so values are compared but not used in
 * arithmetic. */
#ifndef FL_MISC_POS_H
#define FL_MISC_POS_H

#include <stdbool.h>
#include <stdint.h>

struct ps_pos {
    uint64_t term, pos;
};

static inline int ps_cmp(struct ps_pos a, struct ps_pos b)
{
    if (a.term != b.term)
        return a.term < b.term ? -1 : 1;
    return a.pos < b.pos ? -1 : a.pos > b.pos;
}

static inline struct ps_pos ps_max(struct ps_pos a, struct ps_pos b)
{
    return ps_cmp(a, b) >= 0 ? a : b;
}

/* The start of a term: every position above `pos` on this branch of the log belongs to it. */
struct ps_start {
    uint64_t term, pos;
};

/* Whether a replica whose last applied position is `applied` has every write up to `floor`.
 * `starts` are the group's term starts in ascending order. A replica of a later term covers the
 * floor if the floor is at or before the start of the first term after the floor's term. A
 * replica of an earlier term never covers the floor. */
bool ps_covers(struct ps_pos applied, struct ps_pos floor, const struct ps_start *starts,
               int n);

#endif
