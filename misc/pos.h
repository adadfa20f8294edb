/* A place in a group's log: the term that wrote it and the position, which only grows. The
 * unit of pos is the endpoint's own (log bytes, records); it is compared, never computed. */
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

/* Where a term began: every position above `pos` of that branch belongs to it. */
struct ps_start {
    uint64_t term, pos;
};

/* Whether a replica that has applied `applied` holds all that `floor` names.
 * `starts` are the group's term starts, ascending. A replica of a later term covers the floor
 * if the floor lies at or before the start of the first term after the floor's; a replica of
 * an earlier term never does. */
bool ps_covers(struct ps_pos applied, struct ps_pos floor, const struct ps_start *starts,
               int n);

#endif
