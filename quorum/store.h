/* The log on disk: one append-only file of checksummed records and one snapshot file.
 *
 * Nothing is promised before fdatasync has returned. After a failed write or sync the page
 * cache may have dropped what it could not write, so going on would promise what isn't there.
 * Only a disk without room (ER_DISK_FULL) is not final: so_undo takes back all that was not
 * synced, and the same actions may be written again. A torn tail (the end of the file, nothing
 * valid behind it) is cut off; a bad record with a valid one behind it is corruption and stops
 * the voter.
 *
 * Record: magic u32, body length u32, type u8 and 3 zero bytes, xxh64 of the body and the
 * length; then the body. All integers little-endian. */
#ifndef FL_QUORUM_STORE_H
#define FL_QUORUM_STORE_H

#include "quorum/quorum.h"

#include <sys/types.h>

/* The system's calls that can fail, as the store uses them; tests put failing ones in. They
 * return what write(2), fdatasync(2), fsync(2) and rename(2) return, with errno. */
struct so_files {
    ssize_t (*write)(int fd, const void *p, size_t n);
    int (*datasync)(int fd);
    int (*sync)(int fd);
    int (*rename)(const char *from, const char *to);
    int (*set_length)(int fd, off_t len); /* ftruncate(2) */
};

struct so_store;

/* What is on the disk. `fresh`: the folder was empty and a new identity was made. */
struct so_loaded {
    bool fresh;
    uint64_t identity;
    uint64_t torn_bytes;       /* cut off the tail */
    struct qr_restore restore; /* pointers belong to the store, valid until so_release */
};

/* Open or create the folder. `identity` is used for a fresh folder: 0 draws a random one.
 * `cluster` is checked against what the folder was made for. */
struct so_store *so_open(const char *dir, const char *cluster, uint64_t identity,
                         struct so_loaded *out, struct er_err *err);
/* Frees what so_loaded points to; the core has copied it. */
void so_release(struct so_store *s);
/* Write one action without syncing. A snapshot is durable, with all before it, on return. */
bool so_write(struct so_store *s, const struct qr_persist *p, struct er_err *err);
/* Make everything written durable. */
bool so_sync(struct so_store *s, struct er_err *err);
/* After ER_DISK_FULL: the log is what it was at the last sync or snapshot, and everything that
 * was written since may be written again, in order. */
bool so_undo(struct so_store *s, struct er_err *err);
/* From now on use other calls; `f` must outlive the store. */
void so_use(struct so_store *s, const struct so_files *f);
/* Bytes of the log file, for capacity measurements. */
uint64_t so_log_bytes(const struct so_store *s);
void so_close(struct so_store *s);

#endif
