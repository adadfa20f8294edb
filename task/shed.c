#include "task/shed.h"

static void link_newest(struct sd_set *set, struct sd_conn *c)
{
    c->newer = NULL;
    c->older = set->newest[c->rank];
    *(c->older ? &c->older->newer : &set->oldest[c->rank]) = c;
    set->newest[c->rank] = c;
    set->n_rank[c->rank]++;
}

static void unlink_conn(struct sd_set *set, struct sd_conn *c)
{
    *(c->older ? &c->older->newer : &set->oldest[c->rank]) = c->newer;
    *(c->newer ? &c->newer->older : &set->newest[c->rank]) = c->older;
    c->older = c->newer = NULL;
    set->n_rank[c->rank]--;
}

void sd_add(struct sd_set *set, struct sd_conn *c, enum sd_rank rank, int64_t now)
{
    c->rank = rank;
    c->progress_at = now;
    c->listed = true;
    set->n++;
    link_newest(set, c);
}

void sd_remove(struct sd_set *set, struct sd_conn *c)
{
    if (!c->listed)
        return;
    unlink_conn(set, c);
    c->listed = false;
    set->n--;
}

void sd_set_rank(struct sd_set *set, struct sd_conn *c, enum sd_rank rank)
{
    if (!c->listed || c->rank == rank)
        return;
    unlink_conn(set, c);
    c->rank = rank;
    link_newest(set, c);
}

void sd_progress(struct sd_set *set, struct sd_conn *c, int64_t now)
{
    c->progress_at = now;
    if (!c->listed || set->newest[c->rank] == c)
        return;
    unlink_conn(set, c);
    link_newest(set, c);
}

int64_t sd_weight(const struct sd_conn *c, int64_t now)
{
    static const int64_t factor[SD_RANKS] = {
        [SD_NEW] = 8, [SD_OPENED] = 4, [SD_USED] = 2, [SD_PEER] = 0};
    enum { MIN_STALL_US = 1000 };
    int64_t stall = now - c->progress_at;
    if (c->bytes < SD_MIN_BYTES)
        return 0;
    if (stall > SD_STALL_US)
        stall = SD_STALL_US;
    if (stall < MIN_STALL_US)
        stall = MIN_STALL_US;
    return (int64_t)c->bytes * (stall / MIN_STALL_US) * factor[c->rank];
}

struct sd_conn *sd_heaviest(const struct sd_set *set, int64_t now)
{
    struct sd_conn *best = NULL;
    for (int r = 0; r < SD_RANKS; r++) {
        for (struct sd_conn *c = set->oldest[r]; c; c = c->newer) {
            if (sd_weight(c, now) > (best ? sd_weight(best, now) : 0))
                best = c;
        }
    }
    return best;
}

/* Appends the connections of a rank whose grace has, or has not, passed. */
static int append(const struct sd_set *set, enum sd_rank rank, bool graced, int64_t now,
                  struct sd_conn **out, int n, int most)
{
    for (struct sd_conn *c = set->oldest[rank]; c && n < most; c = c->newer) {
        bool young = now - c->progress_at < SD_GRACE_US;
        if (young && !graced)
            break; /* the rest are younger */
        if (young || !graced)
            out[n++] = c;
    }
    return n;
}

static int append_young(const struct sd_set *set, enum sd_rank from, int64_t now,
                        struct sd_conn **out, int n, int most)
{
    for (enum sd_rank r = from; r < SD_USED; r++)
        n = append(set, r, true, now, out, n, most);
    return n;
}

static int append_used(const struct sd_set *set, struct sd_conn **out, int n, int most)
{
    for (struct sd_conn *c = set->oldest[SD_USED]; c && n < most; c = c->newer)
        out[n++] = c;
    return n;
}

int sd_least_used(const struct sd_set *set, enum sd_rank from, int64_t now,
                  struct sd_conn **out, int most)
{
    int n = 0;
    bool crowd = (set->n_rank[SD_NEW] + set->n_rank[SD_OPENED]) * SD_CROWD_PART > set->n;
    for (enum sd_rank r = from; r < SD_USED; r++)
        n = append(set, r, false, now, out, n, most);
    if (crowd) {
        n = append_young(set, from, now, out, n, most);
        return append_used(set, out, n, most);
    }
    /* Used ones may all be busy, so some of the others are listed too. */
    n = append_used(set, out, n, n + (most - n) / 2);
    return append_young(set, from, now, out, n, most);
}
