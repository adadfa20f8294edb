/* The log on disk: reopening, torn tails, corruption, and the disk's fault table. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include "quorum/disk.h"
#include "quorum/store.h"
#include "tests/unit/unit.h"

/* ---- the disk ---- */

static char dir[64];

static void new_dir(void)
{
    strcpy(dir, "/tmp/ferry-store-XXXXXX");
    CU_ASSERT_PTR_NOT_NULL(mkdtemp(dir));
}

static void remove_dir(void)
{
    char path[128];
    static const char *const files[] = {"log", "snapshot", "identity", "log.new",
                                        "snapshot.new"};
    for (size_t i = 0; i < sizeof(files) / sizeof(files[0]); i++) {
        snprintf(path, sizeof(path), "%s/%s", dir, files[i]);
        unlink(path);
    }
    rmdir(dir);
}

static struct so_store *open_store(struct so_loaded *l, struct er_err *err)
{
    memset(err, 0, sizeof(*err));
    return so_open(dir, "cluster", 0, l, err);
}

static bool put(struct so_store *s, uint64_t seq, uint64_t index, const char *text)
{
    struct qr_entry e = {index, 1, QR_DATA, (uint32_t)strlen(text), (char *)text};
    struct qr_persist p = {.seq = seq, .term = 1, .vote = 5, .n = 1, .entries = &e};
    struct er_err err = {0};
    return so_write(s, &p, &err) && so_sync(s, &err);
}

static void fill(int n)
{
    struct so_loaded l;
    struct er_err err;
    struct so_store *s = open_store(&l, &err);
    char text[32];
    for (int i = 1; i <= n; i++) {
        snprintf(text, sizeof(text), "entry %d", i);
        CU_ASSERT_TRUE(put(s, (uint64_t)i, (uint64_t)i, text));
    }
    so_close(s);
}

static void identity_stays_with_the_folder(void)
{
    struct so_loaded a, b;
    struct er_err err;
    new_dir();
    struct so_store *s = open_store(&a, &err);
    CU_ASSERT_TRUE(a.created);
    CU_ASSERT_PTR_NULL(so_open(dir, "cluster", 0, &b, &err)); /* locked */
    so_close(s);
    s = open_store(&b, &err);
    CU_ASSERT(!b.created && a.identity == b.identity);
    so_close(s);
    CU_ASSERT_PTR_NULL(so_open(dir, "another", 0, &b, &err));
    remove_dir();
    new_dir(); /* an emptied folder is another member */
    s = open_store(&b, &err);
    CU_ASSERT(b.created && a.identity != b.identity);
    so_close(s);
    remove_dir();
}

static void survives_reopening(void)
{
    struct so_loaded l;
    struct er_err err;
    new_dir();
    fill(5);
    struct so_store *s = open_store(&l, &err);
    CU_ASSERT(l.restore.n == 5 && l.restore.term == 1 && l.restore.vote == 5);
    CU_ASSERT_EQUAL(memcmp(l.restore.entries[4].data, "entry 5", 7), 0);
    so_close(s);
    remove_dir();
}

static off_t log_size(void)
{
    char path[128];
    struct stat st = {0};
    snprintf(path, sizeof(path), "%s/log", dir);
    stat(path, &st);
    return st.st_size;
}

/* Cut at every length of the last batch: what was synced before stays, the rest goes. */
static void torn_tail_is_cut(void)
{
    char path[128];
    new_dir();
    fill(4);
    off_t four = log_size();
    fill(0);
    struct so_loaded l;
    struct er_err err;
    struct so_store *s = open_store(&l, &err);
    put(s, 9, 5, "entry 5");
    so_close(s);
    off_t five = log_size();
    snprintf(path, sizeof(path), "%s/log", dir);
    for (off_t n = five - 1; n > four; n -= 3) {
        CU_ASSERT_EQUAL(truncate(path, n), 0);
        s = open_store(&l, &err);
        CU_ASSERT_PTR_NOT_NULL_FATAL(s);
        CU_ASSERT_EQUAL(l.restore.n, 4);
        so_close(s);
    }
    remove_dir();
}

static void flip(off_t at)
{
    char path[128];
    unsigned char c;
    snprintf(path, sizeof(path), "%s/log", dir);
    int fd = open(path, O_RDWR);
    CU_ASSERT_EQUAL(pread(fd, &c, 1, at), 1);
    c ^= 0x40;
    CU_ASSERT_EQUAL(pwrite(fd, &c, 1, at), 1);
    close(fd);
}

static void corrupt_middle_stops_the_voter(void)
{
    struct so_loaded l;
    struct er_err err;
    new_dir();
    fill(6);
    off_t size = log_size();
    for (off_t at = 0; at < size / 2; at += 7) {
        flip(at);
        struct so_store *s = open_store(&l, &err);
        CU_ASSERT_PTR_NULL(s);
        CU_ASSERT_EQUAL(err.kind, ER_CORRUPT);
        CU_ASSERT_PTR_NOT_NULL(strstr(err.text, "replace"));
        flip(at);
    }
    remove_dir();
}

/* Any damage to the log: loaded without it, cut as a tail, or refused; never a crash, and never
 * an entry that was not written. */
static void log_fuzz(void)
{
    struct rn_rng r = rn_seed(6);
    struct so_loaded l;
    struct er_err err;
    new_dir();
    fill(12);
    off_t size = log_size();
    for (int i = 0; i < 300; i++) {
        off_t at = (off_t)rn_below(&r, (uint64_t)size);
        flip(at);
        struct so_store *s = open_store(&l, &err);
        for (uint32_t k = 0; s && k < l.restore.n; k++) {
            char want[32];
            int n = snprintf(want, sizeof(want), "entry %u", k + 1);
            CU_ASSERT(l.restore.entries[k].len == (uint32_t)n &&
                      memcmp(l.restore.entries[k].data, want, (size_t)n) == 0);
        }
        bool cut = s && l.torn_bytes;
        if (s)
            so_close(s);
        if (cut) { /* make it whole again */
            remove_dir();
            mkdir(dir, 0700);
            fill(12);
        } else {
            flip(at);
        }
    }
    remove_dir();
}

/* A new folder with n synced entries, open. */
static struct so_store *filled_store(int n, struct so_loaded *l, struct er_err *err)
{
    new_dir();
    fill(n);
    struct so_store *s = open_store(l, err);
    so_free_loaded(s);
    return s;
}

static void full_disk_is_an_error(void)
{
    struct so_loaded l;
    struct er_err err;
    struct so_store *s = filled_store(3, &l, &err);
    struct rlimit old, tight;
    getrlimit(RLIMIT_FSIZE, &old);
    tight = old;
    tight.rlim_cur = (rlim_t)log_size() + 30;
    signal(SIGXFSZ, SIG_IGN);
    setrlimit(RLIMIT_FSIZE, &tight);
    bool ok = put(s, 9, 4, "does not fit any more, by far not");
    setrlimit(RLIMIT_FSIZE, &old);
    CU_ASSERT_FALSE(ok);
    so_close(s);
    s = open_store(&l, &err); /* what was synced is there after the restart */
    CU_ASSERT_EQUAL(l.restore.n, 3);
    so_close(s);
    remove_dir();
}

static void snapshot_replaces_the_log(void)
{
    struct so_loaded l;
    struct er_err err = {0};
    new_dir();
    fill(8);
    struct so_store *s = open_store(&l, &err);
    struct qr_members m = {.n = 1, .m = {{.id = 5, .voter = true}}};
    struct qr_entry keep = {8, 1, QR_DATA, 4, "tail"};
    struct qr_persist p = {.seq = 1,
                           .term = 2,
                           .vote = 0,
                           .snapshot = true,
                           .snap_index = 7,
                           .snap_term = 1,
                           .members = &m,
                           .data = "state",
                           .len = 5,
                           .n = 1,
                           .entries = &keep};
    CU_ASSERT_TRUE(so_write(s, &p, &err) && so_sync(s, &err));
    so_close(s);
    s = open_store(&l, &err);
    CU_ASSERT(l.restore.snap_index == 7 && l.restore.n == 1 && l.restore.snap_len == 5);
    CU_ASSERT_EQUAL(l.restore.members.m[0].id, 5);
    so_close(s);
    remove_dir();
}

/* ---- the disk's fault table ---- */

/* Which call fails, at which of its uses since the store was opened, and how. */
struct disk_fault {
    const char *what;
    enum { F_WRITE, F_SHORT, F_DATASYNC, F_SYNC, F_RENAME, F_LENGTH } call;
    int at, error;
    bool snapshot; /* the action that meets it: a snapshot, else an entry */
};

static struct {
    const struct disk_fault *f;
    int uses;
} failing;

static bool fails_now(int call)
{
    if (!failing.f || (int)failing.f->call != call || ++failing.uses != failing.f->at)
        return false;
    errno = failing.f->error;
    return true;
}

static ssize_t bad_write(int fd, const void *p, size_t n)
{
    if (fails_now(F_WRITE))
        return -1;
    if (failing.f && failing.f->call == F_SHORT) {
        if (failing.uses++)
            return errno = failing.f->error, -1;
        return write(fd, p, n / 2); /* some of it, and the rest never */
    }
    return write(fd, p, n);
}

static int bad_datasync(int fd)
{
    return fails_now(F_DATASYNC) ? -1 : fdatasync(fd);
}

static int bad_sync(int fd)
{
    return fails_now(F_SYNC) ? -1 : fsync(fd);
}

static int bad_rename(const char *from, const char *to)
{
    return fails_now(F_RENAME) ? -1 : rename(from, to);
}

static int bad_length(int fd, off_t len)
{
    return fails_now(F_LENGTH) ? -1 : ftruncate(fd, len);
}

static const struct so_file_ops bad_files = {bad_write, bad_datasync, bad_sync, bad_rename,
                                             bad_length};

static const struct disk_fault disk_faults[] = {
    {"an entry, disk full", F_WRITE, 1, ENOSPC, false},
    {"an entry, device error", F_WRITE, 1, EIO, false},
    {"an entry written by half, then full", F_SHORT, 1, ENOSPC, false},
    {"an entry's sync fails", F_DATASYNC, 1, EIO, false},
    {"an entry's sync fails, quota", F_DATASYNC, 1, EDQUOT, false},
    {"a snapshot's write, disk full", F_WRITE, 1, ENOSPC, true},
    {"a snapshot's sync fails", F_SYNC, 1, EIO, true},
    {"a snapshot's rename fails", F_RENAME, 1, EIO, true},
    {"the folder's sync after it fails", F_SYNC, 2, EIO, true},
    {"the new log's write, disk full", F_WRITE, 2, ENOSPC, true},
    {"the new log's sync fails", F_SYNC, 3, EIO, true},
    {"the new log's rename fails", F_RENAME, 2, EIO, true},
    {"a snapshot's sync, disk full", F_SYNC, 1, ENOSPC, true},
    {"the folder's sync after it, disk full", F_SYNC, 2, ENOSPC, true},
    {"the new log's sync, disk full", F_SYNC, 3, ENOSPC, true},
    {"the folder's sync after the new log, disk full", F_SYNC, 4, ENOSPC, true},
    {"an entry over the size limit", F_WRITE, 1, EFBIG, false},
};

static struct qr_members one_member = {.n = 1, .m = {{.id = 5, .voter = true}}};
static struct qr_entry fourth = {4, 1, QR_DATA, 7, "entry 4"};

/* Make the action a snapshot of all up to `index`. */
static void make_snapshot(struct qr_persist *p, uint64_t index)
{
    p->snapshot = true;
    p->snap_index = index;
    p->snap_term = 1;
    p->members = &one_member;
    p->data = "state";
    p->len = 5;
}

static struct qr_persist faulty_action(const struct disk_fault *f)
{
    struct qr_persist p = {.seq = 9, .term = 1, .vote = 5, .n = 1, .entries = &fourth};
    if (f->snapshot)
        make_snapshot(&p, 3);
    return p;
}

/* Everything synced before the fault is there after a restart: as entries or in a snapshot. */
static bool all_there(const struct so_loaded *l)
{
    uint64_t last = l->restore.snap_index;
    if (l->restore.n)
        last = l->restore.entries[l->restore.n - 1].index;
    return last >= 3 && l->restore.term == 1 && l->restore.vote == 5;
}

/* Only a device that fails is a failure for good. */
static enum er_kind kind_expected(const struct disk_fault *f)
{
    return f->error == EIO ? ER_DISK : ER_DISK_FULL;
}

/* Promise attacked: what was acknowledged survives, and nothing is acknowledged that did not.
 */
static void every_disk_fault_is_an_error_and_loses_nothing(void)
{
    for (size_t i = 0; i < sizeof(disk_faults) / sizeof(disk_faults[0]); i++) {
        const struct disk_fault *f = &disk_faults[i];
        struct so_loaded l;
        struct er_err err;
        struct so_store *s = filled_store(3, &l, &err);
        so_set_file_ops(s, &bad_files);
        failing.f = f;
        failing.uses = 0;
        struct qr_persist p = faulty_action(f);
        bool ok = so_write(s, &p, &err) && so_sync(s, &err);
        failing.f = NULL;
        so_close(s);
        if (ok || err.kind != kind_expected(f) || !err.text[0])
            CU_FAIL(f->what);
        s = open_store(&l, &err);
        if (!s || !all_there(&l))
            CU_FAIL(f->what);
        if (s)
            so_close(s);
        remove_dir();
    }
}

static void ignore_wake(void *ud)
{
    (void)ud;
}

/* The disk task promises nothing after a failed sync, however often it is asked. */
static void disk_task_stops_at_a_failed_sync(void)
{
    static const struct disk_fault sync_fails = {"", F_DATASYNC, 1, EIO, false};
    struct so_loaded l;
    struct er_err err;
    new_dir();
    struct so_store *s = open_store(&l, &err);
    so_free_loaded(s);
    so_set_file_ops(s, &bad_files);
    failing.f = &sync_fails;
    failing.uses = 0;
    struct dk_disk *d = dk_start(s, ignore_wake, NULL);
    struct qr_persist p = faulty_action(&sync_fails);
    for (p.seq = 1; p.seq <= 3; p.seq++)
        dk_write(d, &p);
    for (int i = 0; i < 2000 && !dk_failed(d, &err); i++)
        usleep(1000);
    CU_ASSERT_TRUE(dk_failed(d, &err));
    CU_ASSERT_EQUAL(err.kind, ER_DISK);
    CU_ASSERT_EQUAL(dk_durable_seq(d), 0);
    dk_stop(d);
    failing.f = NULL;
    so_close(s);
    remove_dir();
}

/* Whether the entries 1 to `last` stand in the log, in this order and once, or in a snapshot.
 */
static bool holds_up_to(const struct so_loaded *l, uint64_t last)
{
    uint64_t next = l->restore.snap_index + 1;
    for (uint32_t i = 0; i < l->restore.n; i++) {
        if (l->restore.entries[i].index != next++)
            return false;
    }
    return next == last + 1;
}

/* How long the disk task is waited for before it counts as stuck. What is checked is what it
 * has done; how long a sync of the machine's disk takes is not ours. */
enum { PATIENCE_MS = 60000 };

/* What the disk task is given while there is no room: an entry, a snapshot that covers it (or
 * another entry), an entry. */
static void write_three(struct dk_disk *d, bool snapshot)
{
    struct qr_entry e[] = {{4, 1, QR_DATA, 7, "entry 4"}, {5, 1, QR_DATA, 7, "entry 5"}};
    struct qr_persist p = {.seq = 1, .term = 1, .vote = 5, .n = 1, .entries = &e[0]};
    dk_write(d, &p);
    p.seq = 2;
    p.n = 0;
    if (snapshot)
        make_snapshot(&p, 4);
    dk_write(d, &p);
    p = (struct qr_persist){.seq = 3, .term = 2, .vote = 5, .n = 1, .entries = &e[1]};
    dk_write(d, &p);
}

/* Promise attacked: a disk without room ends no voter, nothing is promised that is not there,
 * and what was written before and after is there once, whichever call was refused and how
 * often. */
static void disk_task_waits_for_room(void)
{
    for (size_t i = 0; i < sizeof(disk_faults) / sizeof(disk_faults[0]); i++) {
        const struct disk_fault *f = &disk_faults[i];
        if (kind_expected(f) != ER_DISK_FULL)
            continue;
        struct so_loaded l;
        struct er_err err;
        struct so_store *s = filled_store(3, &l, &err);
        so_free_loaded(s);
        so_set_file_ops(s, &bad_files);
        failing.uses = 0;
        failing.f = f;
        struct dk_disk *d = dk_start(s, ignore_wake, NULL);
        write_three(d, f->snapshot);
        for (int k = 0; k < PATIENCE_MS && dk_durable_seq(d) < 3; k++) {
            if (f->call == F_SHORT && dk_waits_for_space(d, &err))
                failing.f = NULL; /* there is room again */
            usleep(1000);
        }
        if (dk_durable_seq(d) != 3 || dk_failed(d, &err) || dk_waits_for_space(d, &err))
            CU_FAIL(f->what);
        dk_stop(d);
        failing.f = NULL;
        so_close(s);
        s = open_store(&l, &err);
        if (!s || !holds_up_to(&l, 5) || l.restore.term != 2 || l.torn_bytes)
            CU_FAIL(f->what);
        if (s)
            so_close(s);
        remove_dir();
    }
}

/* Nothing is durable while there is no room, and a task that waits for room can be stopped. */
static void disk_task_without_room_promises_nothing(void)
{
    static const struct disk_fault full = {"", F_SHORT, 1, ENOSPC, false};
    struct so_loaded l;
    struct er_err err = {0};
    struct so_store *s = filled_store(3, &l, &err);
    so_free_loaded(s);
    so_set_file_ops(s, &bad_files);
    failing.uses = 1; /* every write is refused */
    failing.f = &full;
    struct dk_disk *d = dk_start(s, ignore_wake, NULL);
    write_three(d, false);
    for (int k = 0; k < PATIENCE_MS && !dk_waits_for_space(d, &err); k++)
        usleep(1000);
    CU_ASSERT_TRUE(dk_waits_for_space(d, &err));
    CU_ASSERT_EQUAL(err.kind, ER_DISK_FULL);
    CU_ASSERT_FALSE(dk_failed(d, &err));
    CU_ASSERT_EQUAL(dk_durable_seq(d), 0);
    dk_stop(d);
    failing.f = NULL;
    so_close(s);
    s = open_store(&l, &err);
    CU_ASSERT_TRUE(s && all_there(&l) && holds_up_to(&l, 3));
    if (s)
        so_close(s);
    remove_dir();
}

void store_suite(void)
{
    CU_pSuite s = CU_add_suite("store", NULL, NULL);
    TEST(s, identity_stays_with_the_folder);
    TEST(s, survives_reopening);
    TEST(s, torn_tail_is_cut);
    TEST(s, corrupt_middle_stops_the_voter);
    TEST(s, log_fuzz);
    TEST(s, full_disk_is_an_error);
    TEST(s, snapshot_replaces_the_log);
    TEST(s, every_disk_fault_is_an_error_and_loses_nothing);
    TEST(s, disk_task_stops_at_a_failed_sync);
    TEST(s, disk_task_waits_for_room);
    TEST(s, disk_task_without_room_promises_nothing);
}
