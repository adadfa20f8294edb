/* The log on disk: one append-only file of checksummed records and one snapshot file.
 *
 * Nothing is reported as durable before fdatasync has returned. After a failed write or sync
 * the page cache may have dropped the data that it could not write, so continuing would report
 * data as durable that is not on the disk: such a failure is final. The only exception is a
 * disk without free space (ER_DISK_FULL): so_discard_unsynced removes everything that was not
 * synced, and the same actions may be written again. An incomplete record at the end of the
 * file, with no valid record after it, is truncated. An invalid record that is followed by a
 * valid one is corruption: so_open fails and the voter does not start.
 *
 * Record: magic u32, body length u32, type u8 and 3 zero bytes, xxh64 of the body seeded with
 * body length + type; then the body. All integers are little-endian. */
#ifndef FL_QUORUM_STORE_H
#define FL_QUORUM_STORE_H

#include "quorum/quorum.h"

#include <sys/types.h>

/* The system calls of the store that can fail. Tests replace them to inject failures. They
 * return what write(2), fdatasync(2), fsync(2), rename(2) and ftruncate(2) return, and set
 * errno. */
struct so_file_ops {
    ssize_t (*write)(int fd, const void *p, size_t n);
    int (*datasync)(int fd);
    int (*sync)(int fd);
    int (*rename)(const char *from, const char *to);
    int (*set_length)(int fd, off_t len); /* ftruncate(2) */
};

struct so_store;

/* The state that was loaded from the disk. */
struct so_loaded {
    bool created;        /* the folder was empty and got a new identity */
    uint64_t identity;   /* id of the member that owns the folder */
    uint64_t torn_bytes; /* bytes truncated from the end of the log */
    struct qr_restore
        restore; /* its pointers belong to the store, valid until so_free_loaded */
};

/* Opens or creates the folder and loads its state into *out. `identity` is used for a new
 * folder; 0 draws a random one. Fails with ER_VERSION if the folder was created for another
 * cluster than `cluster`, with ER_CORRUPT if its data is invalid, with ER_DISK or ER_DISK_FULL
 * if the folder is in use by another process or can't be read or written. */
struct so_store *so_open(const char *dir, const char *cluster, uint64_t identity,
                         struct so_loaded *out, struct er_err *err);
/* Frees the data that so_loaded points to, after the core has copied it. */
void so_free_loaded(struct so_store *s);
/* Writes one action without syncing it. A snapshot is durable on return, together with all
 * actions before it. */
bool so_write(struct so_store *s, const struct qr_persist *p, struct er_err *err);
/* Makes all written actions durable. */
bool so_sync(struct so_store *s, struct er_err *err);
/* After ER_DISK_FULL: restores the log to its content at the last sync or snapshot. All actions
 * written since then may be written again, in order. */
bool so_discard_unsynced(struct so_store *s, struct er_err *err);
/* Replaces the system calls; `f` must outlive the store. */
void so_set_file_ops(struct so_store *s, const struct so_file_ops *f);
/* Size of the log file in bytes. */
uint64_t so_log_bytes(const struct so_store *s);
void so_close(struct so_store *s);

#endif
