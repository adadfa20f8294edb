/* Decides which connections a process closes when it is short of memory or of room for more
 * connections.
 *
 * Pure functions. The connections of a listener form a set, in lists by rank, each ordered by
 * the time of their last progress: a complete message was handled, or bytes were taken by the
 * peer. Sizes are in bytes, times in microseconds. */
#ifndef FL_TASK_SHED_H
#define FL_TASK_SHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What is known about the peer. Lower ranks are closed first. */
enum sd_rank {
    SD_NEW,    /* sent no complete message */
    SD_OPENED, /* opened a session, but requested nothing yet */
    SD_USED,   /* sent a request */
    SD_PEER,   /* another process of the cluster */
    SD_RANKS
};

enum {
    /* A connection that holds less is not worth closing for its memory. */
    SD_MIN_BYTES = 4096,
    /* Time to send the first message or request before a newer connection may take the place.
     */
    SD_GRACE_US = 1000000,
    /* Time without progress up to which a longer one counts more. Beyond it only the size
     * decides, so that small idle connections outlast large ones. */
    SD_STALL_US = 5000000,
    /* Connections within their grace are taken for a crowd if they are more than this part of
     * all, so that they go before those that were used. */
    SD_CROWD_PART = 16,
};

struct sd_conn {
    struct sd_conn *older, *newer;
    enum sd_rank rank;
    bool listed;
    size_t bytes; /* held for the connection */
    int64_t progress_at;
};

struct sd_set {
    struct sd_conn *oldest[SD_RANKS], *newest[SD_RANKS];
    int n, n_rank[SD_RANKS];
};

void sd_add(struct sd_set *set, struct sd_conn *c, enum sd_rank rank, int64_t now);
void sd_remove(struct sd_set *set, struct sd_conn *c);
void sd_set_rank(struct sd_set *set, struct sd_conn *c, enum sd_rank rank);
void sd_progress(struct sd_set *set, struct sd_conn *c, int64_t now);

/* How much closing the connection helps: its size times the time without progress, more for a
 * lower rank. 0: its size does not matter. */
int64_t sd_weight(const struct sd_conn *c, int64_t now);
/* The connection of the set with the greatest weight, or NULL. */
struct sd_conn *sd_heaviest(const struct sd_set *set, int64_t now);

/* Writes the connections to close for the sake of a new one, the best first, and returns their
 * number: those that let their grace pass, then younger ones if they are a crowd, then those
 * that were used, the longest without progress first, then younger ones. Peers, and ranks below
 * `from`, are left out. */
int sd_least_used(const struct sd_set *set, enum sd_rank from, int64_t now,
                  struct sd_conn **out, int most);

#endif
