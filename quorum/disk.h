/* The disk task: a thread that writes and syncs, so that a slow sync stalls no heartbeat.
 * Requests are copied, done in order and synced in groups.
 *
 * A disk without room is waited for: what was not synced is taken back and written again until
 * there is room, and meanwhile nothing is reported as durable. Every other failure is final. */
#ifndef FL_QUORUM_DISK_H
#define FL_QUORUM_DISK_H

#include "quorum/store.h"

struct dk_disk;

/* `wake` is called on the disk's thread when dk_done, dk_failed or dk_full has news. */
struct dk_disk *dk_start(struct so_store *s, void (*wake)(void *ud), void *ud);
void dk_write(struct dk_disk *d, const struct qr_persist *p);
/* The highest seq that is durable. */
uint64_t dk_done(struct dk_disk *d);
/* Whether the disk has failed; *err says how. Nothing after it became durable. */
bool dk_failed(struct dk_disk *d, struct er_err *err);
/* Whether writes wait for room; *err says what was refused last. */
bool dk_full(struct dk_disk *d, struct er_err *err);
/* Syncs done and the microseconds the longest took; for /metrics. */
void dk_stats(struct dk_disk *d, uint64_t *syncs, int64_t *longest_us);
void dk_stop(struct dk_disk *d);

#endif
