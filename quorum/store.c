#include "quorum/store.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <sodium.h>
#include <xxhash.h>

#include "misc/str.h"

#define MAGIC 0x4c464c51u /* "QLFL" */
#define HEADER_BYTES 20
#define MAX_BODY_BYTES (64u << 20)

enum rec_type { REC_HARD = 1, REC_ENTRY, REC_TRUNCATE, REC_SNAPSHOT };

static const struct so_file_ops system_files = {write, fdatasync, fsync, rename, ftruncate};

struct so_store {
    const struct so_file_ops *f;
    char dir[512];
    int dir_fd, log_fd; /* below 0: not open */
    uint64_t log_bytes;
    uint64_t synced_bytes;    /* part of log_bytes that is durable */
    struct qr_entry *entries; /* only while loading */
    uint32_t n, cap;
    char *snap;
    uint32_t snap_len;
};

/* ---- little-endian fields ---- */

static void put_u64(struct sr_buf *b, uint64_t v)
{
    unsigned char d[8];
    for (int i = 0; i < 8; i++)
        d[i] = (unsigned char)(v >> (8 * i));
    sr_buf_add(b, d, 8);
}

static void put_u32(struct sr_buf *b, uint32_t v)
{
    unsigned char d[4];
    for (int i = 0; i < 4; i++)
        d[i] = (unsigned char)(v >> (8 * i));
    sr_buf_add(b, d, 4);
}

static uint64_t get_n(const unsigned char *p, int n)
{
    uint64_t v = 0;
    for (int i = 0; i < n; i++)
        v |= (uint64_t)p[i] << (8 * i);
    return v;
}

static void put_record(struct sr_buf *out, enum rec_type type, const struct sr_buf *body)
{
    put_u32(out, MAGIC);
    put_u32(out, (uint32_t)body->len);
    put_u32(out, (uint32_t)type);
    put_u64(out, XXH64(body->p ? body->p : "", body->len, body->len + (uint64_t)type));
    if (body->len)
        sr_buf_add(out, body->p, body->len);
}

/* Parses the header of the record at p. Returns false if the record is incomplete or its
 * checksum does not match. */
static bool parse_record(const unsigned char *p, size_t left, enum rec_type *type, size_t *len)
{
    if (left < HEADER_BYTES || get_n(p, 4) != MAGIC)
        return false;
    uint64_t n = get_n(p + 4, 4);
    uint64_t t = get_n(p + 8, 4);
    if (n > MAX_BODY_BYTES || n > left - HEADER_BYTES || t < REC_HARD || t > REC_SNAPSHOT)
        return false;
    if (XXH64(p + HEADER_BYTES, n, n + t) != get_n(p + 12, 8))
        return false;
    *type = (enum rec_type)t;
    *len = n;
    return true;
}

/* ---- files ---- */

static void make_path(const struct so_store *s, const char *name, char *out, size_t cap)
{
    snprintf(out, cap, "%s/%s", s->dir, name);
}

/* Free space, a quota or a file size limit may change later; all other failures are final. */
static enum er_kind disk_error_kind(int error)
{
    bool full = error == ENOSPC || error == EDQUOT || error == EFBIG;
    return full ? ER_DISK_FULL : ER_DISK;
}

static bool write_all(const struct so_store *s, int fd, const char *p, size_t n,
                      const char *what, struct er_err *err)
{
    while (n > 0) {
        ssize_t k = s->f->write(fd, p, n);
        if (k < 0 && errno == EINTR)
            continue;
        if (k < 0)
            return er_set(err, disk_error_kind(errno), "%s: write failed: %s", what,
                          strerror(errno));
        if (k == 0)
            return er_set(err, ER_DISK, "%s: write failed: 0 bytes written", what);
        p += k;
        n -= (size_t)k;
    }
    return true;
}

static bool read_file(const char *path, struct sr_buf *out, bool *missing, struct er_err *err)
{
    *missing = false;
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        *missing = errno == ENOENT;
        return er_set(err, ER_DISK, "%s: %s", path, strerror(errno));
    }
    char buf[65536];
    ssize_t k;
    while ((k = read(fd, buf, sizeof(buf))) > 0)
        sr_buf_add(out, buf, (size_t)k);
    int saved_errno = errno;
    close(fd);
    if (k < 0)
        return er_set(err, ER_DISK, "%s: %s", path, strerror(saved_errno));
    return true;
}

/* Replaces a file atomically: writes and syncs a new file, then renames it over the old one. */
static bool replace_file(struct so_store *s, const char *name, const struct sr_buf *b,
                         struct er_err *err)
{
    char to[600], tmp[640];
    make_path(s, name, to, sizeof(to));
    snprintf(tmp, sizeof(tmp), "%s.new", to);
    int fd = open(tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0)
        return er_set(err, disk_error_kind(errno), "%s: %s", tmp, strerror(errno));
    bool ok = write_all(s, fd, b->p, b->len, tmp, err);
    if (ok && s->f->sync(fd) < 0)
        ok = er_set(err, disk_error_kind(errno), "%s: sync failed: %s", tmp, strerror(errno));
    close(fd);
    if (ok && s->f->rename(tmp, to) < 0)
        ok = er_set(err, disk_error_kind(errno), "%s: rename failed: %s", to, strerror(errno));
    if (!ok)
        unlink(tmp); /* the partial file takes space that the log may need */
    if (ok && s->f->sync(s->dir_fd) < 0)
        ok =
            er_set(err, disk_error_kind(errno), "%s: sync failed: %s", s->dir, strerror(errno));
    return ok;
}

/* ---- records ---- */

static void put_members(struct sr_buf *b, const struct qr_members *m)
{
    sr_buf_add(b, m, sizeof(*m));
}

static void encode_hard(struct sr_buf *out, uint64_t term, uint64_t vote)
{
    struct sr_buf body = {0};
    put_u64(&body, term);
    put_u64(&body, vote);
    put_record(out, REC_HARD, &body);
    sr_buf_free(&body);
}

static void encode_truncate(struct sr_buf *out, uint64_t from)
{
    struct sr_buf body = {0};
    put_u64(&body, from);
    put_record(out, REC_TRUNCATE, &body);
    sr_buf_free(&body);
}

static void encode_entry(struct sr_buf *out, const struct qr_entry *e)
{
    struct sr_buf body = {0};
    put_u64(&body, e->index);
    put_u64(&body, e->term);
    put_u32(&body, (uint32_t)e->type);
    if (e->len)
        sr_buf_add(&body, e->data, e->len);
    put_record(out, REC_ENTRY, &body);
    sr_buf_free(&body);
}

static bool write_snapshot(struct so_store *s, const struct qr_persist *p, struct er_err *err)
{
    struct sr_buf body = {0}, out = {0};
    put_u64(&body, p->snap_index);
    put_u64(&body, p->snap_term);
    put_members(&body, p->members);
    if (p->len)
        sr_buf_add(&body, p->data, p->len);
    put_record(&out, REC_SNAPSHOT, &body);
    bool ok = replace_file(s, "snapshot", &out, err);
    sr_buf_free(&body);
    sr_buf_free(&out);
    return ok;
}

static bool open_log(struct so_store *s, struct er_err *err)
{
    char path[600];
    make_path(s, "log", path, sizeof(path));
    if (s->log_fd >= 0)
        close(s->log_fd);
    s->log_fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (s->log_fd < 0)
        return er_set(err, disk_error_kind(errno), "%s: %s", path, strerror(errno));
    return true;
}

/* After a snapshot, replaces the log by one that has only the entries after the snapshot. */
static bool rewrite_log(struct so_store *s, const struct qr_persist *p, struct er_err *err)
{
    struct sr_buf out = {0};
    encode_hard(&out, p->term, p->vote);
    for (uint32_t i = 0; i < p->n; i++)
        encode_entry(&out, &p->entries[i]);
    bool ok = replace_file(s, "log", &out, err);
    if (ok)
        s->log_bytes = s->synced_bytes = out.len;
    sr_buf_free(&out);
    return ok && open_log(s, err);
}

bool so_write(struct so_store *s, const struct qr_persist *p, struct er_err *err)
{
    if (p->snapshot)
        return write_snapshot(s, p, err) && rewrite_log(s, p, err);
    struct sr_buf out = {0};
    encode_hard(&out, p->term, p->vote);
    if (p->truncate_from)
        encode_truncate(&out, p->truncate_from);
    for (uint32_t i = 0; i < p->n; i++)
        encode_entry(&out, &p->entries[i]);
    bool ok = write_all(s, s->log_fd, out.p, out.len, "log", err);
    s->log_bytes += out.len;
    sr_buf_free(&out);
    return ok;
}

bool so_sync(struct so_store *s, struct er_err *err)
{
    if (s->f->datasync(s->log_fd) < 0)
        return er_set(err, disk_error_kind(errno), "log: sync failed: %s", strerror(errno));
    s->synced_bytes = s->log_bytes;
    return true;
}

bool so_discard_unsynced(struct so_store *s, struct er_err *err)
{
    if (s->log_fd < 0 && !open_log(s, err))
        return false;
    if (s->f->set_length(s->log_fd, (off_t)s->synced_bytes) < 0)
        return er_set(err, disk_error_kind(errno),
                      "log: can't truncate to %" PRIu64 " bytes: %s", s->synced_bytes,
                      strerror(errno));
    s->log_bytes = s->synced_bytes;
    return true;
}

void so_set_file_ops(struct so_store *s, const struct so_file_ops *f)
{
    s->f = f;
}

/* ---- loading ---- */

static void drop_entries_from(struct so_store *s, uint64_t index)
{
    while (s->n > 0 && s->entries[s->n - 1].index >= index)
        free(s->entries[--s->n].data);
}

static bool load_entry(struct so_store *s, const unsigned char *p, size_t len,
                       const struct qr_restore *r, struct er_err *err)
{
    if (len < 20)
        return er_set(err, ER_CORRUPT, "log: entry of %zu bytes, expected 20 or more", len);
    struct qr_entry e = {get_n(p, 8), get_n(p + 8, 8), (enum qr_entry_type)get_n(p + 16, 4),
                         (uint32_t)(len - 20), NULL};
    if (e.index <= r->snap_index)
        return true;
    drop_entries_from(s, e.index);
    uint64_t want = s->n ? s->entries[s->n - 1].index + 1 : r->snap_index + 1;
    if (e.index != want || e.type > QR_MEMBERS ||
        (e.type == QR_MEMBERS && e.len != sizeof(struct qr_members)))
        return er_set(err, ER_CORRUPT,
                      "log: invalid entry %" PRIu64 ", expected index %" PRIu64, e.index, want);
    e.data = sr_alloc(e.len);
    memcpy(e.data, p + 20, e.len);
    if (s->n == s->cap) {
        s->cap = s->cap ? s->cap * 2 : 64;
        s->entries = sr_realloc(s->entries, sizeof(e) * s->cap);
    }
    s->entries[s->n++] = e;
    return true;
}

static bool load_record(struct so_store *s, enum rec_type type, const unsigned char *p,
                        size_t len, struct qr_restore *r, struct er_err *err)
{
    if (type == REC_HARD && len == 16) {
        r->term = get_n(p, 8);
        r->vote = get_n(p + 8, 8);
        return true;
    }
    if (type == REC_TRUNCATE && len == 8) {
        drop_entries_from(s, get_n(p, 8));
        return true;
    }
    if (type == REC_ENTRY)
        return load_entry(s, p, len, r, err);
    return er_set(err, ER_CORRUPT, "log: invalid record of type %d, %zu bytes", (int)type, len);
}

/* Whether a valid record begins anywhere after `off`. If so, the invalid data at `off` is not
 * an incomplete record at the end of the file. */
static bool has_valid_record_after(const unsigned char *p, size_t n, size_t off)
{
    enum rec_type t;
    size_t len;
    for (size_t i = off + 1; i + HEADER_BYTES <= n; i++) {
        if (parse_record(p + i, n - i, &t, &len))
            return true;
    }
    return false;
}

static bool load_log(struct so_store *s, struct so_loaded *out, struct er_err *err)
{
    char path[600];
    struct sr_buf b = {0};
    bool missing, ok = true;
    make_path(s, "log", path, sizeof(path));
    struct er_err e = {0};
    if (!read_file(path, &b, &missing, &e)) {
        if (!missing)
            *err = e;
        return missing;
    }
    const unsigned char *p = (const unsigned char *)b.p;
    size_t off = 0, len;
    enum rec_type type;
    while (ok && off < b.len && parse_record(p + off, b.len - off, &type, &len)) {
        ok = load_record(s, type, p + off + HEADER_BYTES, len, &out->restore, err);
        off += HEADER_BYTES + len;
    }
    if (ok && off < b.len && has_valid_record_after(p, b.len, off))
        ok =
            er_set(err, ER_CORRUPT,
                   "%s: invalid record at byte %zu, valid records after it; replace this voter "
                   "(ferryctl plan replace) and keep its folder for inspection",
                   path, off);
    if (ok && off < b.len) {
        out->torn_bytes = b.len - off;
        if (truncate(path, (off_t)off) < 0)
            ok = er_set(err, ER_DISK, "%s: %s", path, strerror(errno));
    }
    s->log_bytes = s->synced_bytes = off;
    sr_buf_free(&b);
    return ok;
}

static bool load_snapshot(struct so_store *s, struct qr_restore *r, struct er_err *err)
{
    char path[600];
    struct sr_buf b = {0};
    bool missing;
    make_path(s, "snapshot", path, sizeof(path));
    struct er_err e = {0};
    if (!read_file(path, &b, &missing, &e)) {
        if (!missing)
            *err = e;
        return missing;
    }
    enum rec_type type;
    size_t len, fixed = 16 + sizeof(struct qr_members);
    const unsigned char *p = (const unsigned char *)b.p;
    bool ok = parse_record(p, b.len, &type, &len) && type == REC_SNAPSHOT && len >= fixed;
    if (!ok) {
        er_set(err, ER_CORRUPT, "%s: checksum does not match; replace this voter", path);
    } else {
        p += HEADER_BYTES;
        r->snap_index = get_n(p, 8);
        r->snap_term = get_n(p + 8, 8);
        memcpy(&r->members, p + 16, sizeof(r->members));
        s->snap_len = (uint32_t)(len - fixed);
        s->snap = sr_alloc(s->snap_len);
        memcpy(s->snap, p + fixed, s->snap_len);
    }
    sr_buf_free(&b);
    return ok;
}

/* Format of the identity file: the cluster name, a line feed, the id in hexadecimal. */
static bool load_identity(struct so_store *s, const char *cluster, uint64_t wanted,
                          struct so_loaded *out, struct er_err *err)
{
    char path[600], stored[128] = "";
    struct sr_buf b = {0};
    bool missing;
    make_path(s, "identity", path, sizeof(path));
    struct er_err e = {0};
    if (read_file(path, &b, &missing, &e)) {
        bool ok = sscanf(b.p ? b.p : "", "%127[^\n]\n%" SCNx64, stored, &out->identity) == 2;
        sr_buf_free(&b);
        if (!ok)
            return er_set(err, ER_CORRUPT, "%s: invalid content; replace this voter", path);
        if (strcmp(stored, cluster) != 0)
            return er_set(err, ER_VERSION, "%s: belongs to cluster '%s', settings name '%s'",
                          s->dir, stored, cluster);
        return true;
    }
    if (!missing) {
        *err = e;
        return false;
    }
    out->created = true;
    while (!wanted)
        randombytes_buf(&wanted, sizeof(wanted));
    out->identity = wanted;
    sr_buf_printf(&b, "%s\n%" PRIx64 "\n", cluster, wanted);
    bool ok = replace_file(s, "identity", &b, err);
    sr_buf_free(&b);
    return ok;
}

struct so_store *so_open(const char *dir, const char *cluster, uint64_t identity,
                         struct so_loaded *out, struct er_err *err)
{
    struct so_store *s = sr_alloc(sizeof(*s));
    memset(out, 0, sizeof(*out));
    s->f = &system_files;
    s->log_fd = -1;
    snprintf(s->dir, sizeof(s->dir), "%s", dir);
    if (mkdir(dir, 0700) < 0 && errno != EEXIST) {
        er_set(err, ER_DISK, "%s: %s", dir, strerror(errno));
        free(s);
        return NULL;
    }
    s->dir_fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (s->dir_fd < 0 || flock(s->dir_fd, LOCK_EX | LOCK_NB) < 0) {
        er_set(err, ER_DISK, "%s: %s", dir,
               s->dir_fd < 0 ? strerror(errno) : "in use by another process");
        goto fail;
    }
    if (!load_identity(s, cluster, identity, out, err) ||
        !load_snapshot(s, &out->restore, err) || !load_log(s, out, err) || !open_log(s, err))
        goto fail;
    out->restore.snap = s->snap;
    out->restore.snap_len = s->snap_len;
    out->restore.entries = s->entries;
    out->restore.n = s->n;
    return s;
fail:
    so_close(s);
    return NULL;
}

void so_free_loaded(struct so_store *s)
{
    drop_entries_from(s, 0);
    free(s->entries);
    free(s->snap);
    s->entries = NULL;
    s->snap = NULL;
    s->cap = 0;
}

uint64_t so_log_bytes(const struct so_store *s)
{
    return s->log_bytes;
}

void so_close(struct so_store *s)
{
    so_free_loaded(s);
    if (s->log_fd >= 0)
        close(s->log_fd);
    if (s->dir_fd >= 0)
        close(s->dir_fd);
    free(s);
}
