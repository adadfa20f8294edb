#include "proxy/own_commits.h"

/* Index of the group's entry, or -1. */
static int find(const struct px_own_commits *c, const void *group)
{
    for (int i = 0; i < c->n; i++) {
        if (c->commit[i].group == group)
            return i;
    }
    return -1;
}

static void set_untracked(struct px_own_commits *c, int64_t at)
{
    if (at > c->untracked_at)
        c->untracked_at = at;
}

/* Drops the entry of the oldest commit; that commit becomes untracked. */
static void drop_oldest(struct px_own_commits *c)
{
    int oldest = 0;
    for (int i = 1; i < c->n; i++) {
        if (c->commit[i].at < c->commit[oldest].at)
            oldest = i;
    }
    set_untracked(c, c->commit[oldest].at);
    c->commit[oldest] = c->commit[--c->n];
}

bool px_own_commit_add(struct px_own_commits *c, const void *group, struct ps_pos pos,
                       int64_t now)
{
    int i = find(c, group);
    if (i >= 0) {
        c->commit[i].pos = ps_max(c->commit[i].pos, pos);
        c->commit[i].at = now;
        return true;
    }
    bool full = c->n == PX_MAX_OWN_COMMITS;
    if (full)
        drop_oldest(c);
    c->commit[c->n++] = (struct px_own_commit){group, pos, now};
    return !full;
}

/* The entry of the group goes too: its position does not cover this commit. A later commit of
 * known position does. */
void px_own_commit_untracked(struct px_own_commits *c, const void *group, int64_t now)
{
    int i = find(c, group);
    if (i >= 0)
        c->commit[i] = c->commit[--c->n];
    set_untracked(c, now);
}

bool px_own_commit_floor(const struct px_own_commits *c, const void *group, int64_t seen_until,
                         struct ps_pos *floor)
{
    int i = find(c, group);
    if (i < 0)
        return c->untracked_at == 0 || c->untracked_at < seen_until;
    *floor = ps_max(*floor, c->commit[i].pos);
    return true;
}

struct ps_pos px_own_commit_pos(const struct px_own_commits *c, const void *group)
{
    static const struct ps_pos none;
    int i = find(c, group);
    return i < 0 ? none : c->commit[i].pos;
}
