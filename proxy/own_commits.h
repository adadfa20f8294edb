/* The positions of a session's own commits, one for each group that it committed in. Pure.
 *
 * A database may be moved to another group and back within a session, so the session's reads in
 * a group need the last commit that it made there, whatever it committed elsewhere since. */
#ifndef FL_PROXY_OWN_COMMITS_H
#define FL_PROXY_OWN_COMMITS_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/pos.h"

enum { PX_MAX_OWN_COMMITS = 4 }; /* groups whose positions are kept */

struct px_own_commit {
    const void *group; /* identity of the group; never dereferenced */
    struct ps_pos pos;
    int64_t at; /* when the commit was acknowledged, by ck_now */
};

/* A zeroed struct is that of a session that committed nothing. */
struct px_own_commits {
    int n;
    struct px_own_commit commit[PX_MAX_OWN_COMMITS];
    /* When the newest of the commits whose position is not kept was acknowledged; 0: there are
     * none. */
    int64_t untracked_at;
};

/* Records a commit that was acknowledged at `now` at that position of the group's log. Returns
 * false if the position of a commit in another group had to be dropped for it. */
bool px_own_commit_add(struct px_own_commits *c, const void *group, struct ps_pos pos,
                       int64_t now);
/* The same for a commit whose position is not known. */
void px_own_commit_untracked(struct px_own_commits *c, const void *group, int64_t now);
/* Raises *floor, from which a read sees every commit acknowledged before `seen_until`, so that
 * it sees the session's own commits in the group too. Returns false if that position is not
 * known: then only the primary is sure to have them. */
bool px_own_commit_floor(const struct px_own_commits *c, const void *group, int64_t seen_until,
                         struct ps_pos *floor);
/* The position of the last commit in the group; 0.0 if none is kept. */
struct ps_pos px_own_commit_pos(const struct px_own_commits *c, const void *group);

#endif
