/* History checker, see check.h: hash tables of keys, session floors and writes. */
#include "load/check.h"

#include <stdio.h>
#include <stdlib.h>

#include <xxhash.h>

#include "misc/str.h"

enum { BUCKETS = 1 << 15, MAX_EXAMPLES = 8 };

struct ack {
    int64_t at, version;
};

/* Acknowledged versions of a key; `at` and `version` both ascend within acks[]. */
struct key {
    struct key *next;
    char *name;
    struct ack *acks;
    int n, cap;
};

/* Minimum version of a key that a session must see from now on. */
struct floor {
    struct floor *next;
    int session;
    char *key;
    int64_t version;
};

struct write {
    struct write *next;
    char *id, *twin;
    bool acked, unknown;
    int64_t runs; /* run count in the database; -1 if not read yet */
};

struct hc_check {
    struct key *keys[BUCKETS];
    struct floor *floors[BUCKETS];
    struct write *writes[BUCKETS];
    uint64_t faults[HC_FAULTS], acked, unverified;
    int n_examples;
    struct sr_buf examples;
};

static const char *const fault_names[] = {"own_write", "stale",   "old_primary",   "crossed",
                                          "lost",      "doubled", "false_not_run", "torn"};

const char *hc_name(enum hc_fault f)
{
    return fault_names[f];
}

struct hc_check *hc_create(void)
{
    return sr_alloc(sizeof(struct hc_check));
}

static void report_fault(struct hc_check *c, enum hc_fault f, const char *fmt, const char *a,
                         const char *b, int64_t got, int64_t want)
{
    c->faults[f]++;
    if (c->n_examples++ >= MAX_EXAMPLES)
        return;
    sr_buf_printf(&c->examples, "%s: ", fault_names[f]);
    char line[256];
    snprintf(line, sizeof(line), fmt, a, b, (long long)got, (long long)want);
    sr_buf_printf(&c->examples, "%s\n", line);
}

static struct key *get_key(struct hc_check *c, const char *name)
{
    struct key **at = &c->keys[XXH64(name, strlen(name), 1) % BUCKETS];
    for (struct key *k = *at; k; k = k->next) {
        if (strcmp(k->name, name) == 0)
            return k;
    }
    struct key *k = sr_alloc(sizeof(*k));
    k->name = strdup(name);
    k->next = *at;
    *at = k;
    return k;
}

static struct floor *get_floor(struct hc_check *c, int session, const char *key)
{
    struct floor **at = &c->floors[XXH64(key, strlen(key), (uint64_t)session) % BUCKETS];
    for (struct floor *f = *at; f; f = f->next) {
        if (f->session == session && strcmp(f->key, key) == 0)
            return f;
    }
    struct floor *f = sr_alloc(sizeof(*f));
    f->session = session;
    f->key = strdup(key);
    f->next = *at;
    *at = f;
    return f;
}

static struct write *get_write(struct hc_check *c, const char *id)
{
    struct write **at = &c->writes[XXH64(id, strlen(id), 2) % BUCKETS];
    for (struct write *w = *at; w; w = w->next) {
        if (strcmp(w->id, id) == 0)
            return w;
    }
    struct write *w = sr_alloc(sizeof(*w));
    w->id = strdup(id);
    w->runs = -1;
    w->next = *at;
    *at = w;
    return w;
}

/* Returns N if the answer is "KEY=N" for this key, else -1. */
static int64_t parse_version(const char *answer, const char *key)
{
    size_t n = strlen(key);
    if (strncmp(answer, key, n) != 0 || answer[n] != '=')
        return -1;
    return strtoll(answer + n + 1, NULL, 10);
}

/* Returns the highest version acknowledged at or before `at`, or 0. */
static int64_t acked_version_at(const struct key *k, int64_t at)
{
    int lo = 0, hi = k->n;
    while (lo < hi) {
        int mid = (lo + hi) / 2;
        if (k->acks[mid].at <= at)
            lo = mid + 1;
        else
            hi = mid;
    }
    return lo ? k->acks[lo - 1].version : 0;
}

void hc_read(struct hc_check *c, int session, const char *key, const char *answer, int64_t sent,
             int64_t max_age_us)
{
    int64_t v = parse_version(answer, key);
    if (v < 0) {
        report_fault(c, HC_CROSSED, "read of key %s received answer %s (%lld %lld)", key,
                     answer, 0, 0);
        return;
    }
    struct floor *f = get_floor(c, session, key);
    if (v < f->version)
        report_fault(c, HC_OWN_WRITE,
                     "%s%s: read version %lld, the session had already seen %lld", key, "", v,
                     f->version);
    else
        f->version = v;
    if (max_age_us == INT64_MAX)
        return;
    bool fresh = max_age_us < 0;
    int64_t want = acked_version_at(get_key(c, key), fresh ? sent : sent - max_age_us);
    if (v < want)
        report_fault(c, fresh ? HC_OLD_PRIMARY : HC_STALE,
                     "%s%s: read version %lld, expected at least the acknowledged %lld", key,
                     "", v, want);
}

static void record_ack(struct hc_check *c, const char *key, int64_t version, int64_t at)
{
    struct key *k = get_key(c, key);
    if (k->n && version <= k->acks[k->n - 1].version)
        return;
    if (k->n == k->cap) {
        k->cap = k->cap ? k->cap * 2 : 8;
        k->acks = sr_realloc(k->acks, sizeof(*k->acks) * (size_t)k->cap);
    }
    k->acks[k->n++] = (struct ack){at, version};
}

void hc_write(struct hc_check *c, int session, const char *id, const char *twin,
              const char *key, enum hc_status st, const char *answer, int64_t at)
{
    struct write *w = get_write(c, id);
    if (twin && !w->twin)
        w->twin = strdup(twin);
    if (st == HC_UNKNOWN)
        w->unknown = true;
    if (st != HC_OK)
        return;
    if (!w->acked)
        c->acked++;
    w->acked = true;
    int64_t v = parse_version(answer, key);
    if (v < 0) {
        report_fault(c, HC_CROSSED, "write to key %s received answer %s (%lld %lld)", key,
                     answer, 0, 0);
        return;
    }
    struct floor *f = get_floor(c, session, key);
    if (v > f->version)
        f->version = v;
    record_ack(c, key, v, at);
}

void hc_write_sent(struct hc_check *c, const char *id, const char *twin)
{
    hc_write(c, -1, id, twin, "", HC_UNKNOWN, "", 0);
}

void hc_runs(struct hc_check *c, const char *id, int64_t runs)
{
    get_write(c, id)->runs = runs;
}

static void check_write(struct hc_check *c, const struct write *w)
{
    if (w->runs < 0) {
        c->unverified++;
        return;
    }
    if (w->runs > 1)
        report_fault(c, HC_DOUBLED, "write %s%s ran %lld times, expected %lld", w->id, "",
                     w->runs, 1);
    if (w->acked && w->runs == 0)
        report_fault(c, HC_LOST,
                     "write %s%s was acknowledged but ran %lld times, expected %lld", w->id, "",
                     0, 1);
    if (!w->acked && !w->unknown && w->runs > 0)
        report_fault(c, HC_FALSE_NOT_RUN,
                     "write %s%s reported as not run ran %lld times, expected %lld", w->id, "",
                     w->runs, 0);
    if (w->twin) {
        int64_t other = get_write(c, w->twin)->runs;
        if (other >= 0 && other != w->runs)
            report_fault(c, HC_TORN,
                         "writes %s and %s of a transaction ran %lld and %lld times", w->id,
                         w->twin, w->runs, other);
    }
}

void hc_finish(struct hc_check *c)
{
    for (int i = 0; i < BUCKETS; i++) {
        for (struct write *w = c->writes[i]; w; w = w->next)
            check_write(c, w);
    }
}

uint64_t hc_count(const struct hc_check *c, enum hc_fault f)
{
    return c->faults[f];
}

uint64_t hc_acked(const struct hc_check *c)
{
    return c->acked;
}

uint64_t hc_unverified(const struct hc_check *c)
{
    return c->unverified;
}

const char *hc_examples(const struct hc_check *c)
{
    return c->examples.p ? c->examples.p : "";
}

void hc_destroy(struct hc_check *c)
{
    for (int i = 0; i < BUCKETS; i++) {
        while (c->keys[i]) {
            struct key *k = c->keys[i];
            c->keys[i] = k->next;
            free(k->name);
            free(k->acks);
            free(k);
        }
        while (c->floors[i]) {
            struct floor *f = c->floors[i];
            c->floors[i] = f->next;
            free(f->key);
            free(f);
        }
        while (c->writes[i]) {
            struct write *w = c->writes[i];
            c->writes[i] = w->next;
            free(w->id);
            free(w->twin);
            free(w);
        }
    }
    sr_buf_free(&c->examples);
    free(c);
}
