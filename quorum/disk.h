/* The disk task: a thread that writes and syncs, so that a slow sync delays no heartbeat.
 * Requests are copied, written in order and synced in batches.
 *
 * If the disk has no free space, the task discards what was not synced and writes it again
 * until there is space; meanwhile nothing is reported as durable. Every other failure is
 * final. */
#ifndef FL_QUORUM_DISK_H
#define FL_QUORUM_DISK_H

#include "quorum/store.h"

struct dk_disk;

/* `wake` is called on the disk thread when the result of dk_durable_seq, dk_failed or
 * dk_waits_for_space may have changed. */
struct dk_disk *dk_start(struct so_store *s, void (*wake)(void *ud), void *ud);
void dk_write(struct dk_disk *d, const struct qr_persist *p);
/* The highest sequence number (qr_persist.seq) that is durable. */
uint64_t dk_durable_seq(struct dk_disk *d);
/* Whether a write or sync has failed for good; if so, *err is the failure. Nothing became
 * durable after it. */
bool dk_failed(struct dk_disk *d, struct er_err *err);
/* Whether writes wait for free space; if so, *err is the last failure. */
bool dk_waits_for_space(struct dk_disk *d, struct er_err *err);
/* The number of syncs and the duration of the longest one; for /metrics. */
void dk_stats(struct dk_disk *d, uint64_t *syncs, int64_t *longest_us);
void dk_stop(struct dk_disk *d);

#endif
