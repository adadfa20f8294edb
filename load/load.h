/* ferry-load: sends the requests of many sessions to entry nodes, measures the answers and
 * checks them with the history checker. */
#ifndef FL_LOAD_LOAD_H
#define FL_LOAD_LOAD_H

#include "load/check.h"
#include "misc/hist.h"
#include "misc/rng.h"
#include "task/net.h"

enum {
    LD_MAX_ENTRIES = 16,
    LD_MAX_DBS = 16,
    LD_MAX_SESSIONS = 4096,
    LD_CONNS = 4,
    LD_BUCKET_MS = 100,
    LD_MAX_BUCKETS = 6000,
    LD_MAX_REASONS = 32
};

struct ld_addr {
    char ip[46];
    int port;
};

struct ld_opts {
    int n_entries;
    struct ld_addr entries[LD_MAX_ENTRIES];
    int n_dbs;
    char dbs[LD_MAX_DBS][48];
    int sessions, accounts, keys;
    double rate, seconds;
    double reads, aged, txns; /* shares: reads of all operations, aged reads of all reads,
                                 transactions of all operations */
    int age_ms, deadline_ms;
    bool no_tokens; /* sessions send no tokens, so reads without an age use the primary */
    bool roam;      /* pick a random entry node for each operation */
    bool resend;    /* resend a write of unknown outcome under the same id */
    uint64_t seed;
    const char *json, *svg;
    const char *compare; /* address of an instance to compare with the entry node */
    int requests;        /* number of requests of a comparison */
    bool quiet;
};

struct ld_bucket {
    uint32_t ok, refused, writes_ok;
    int64_t worst_us;
};

struct ld_result {
    struct hi_hist reads, writes, txns;
    uint64_t sent, ok, not_run, unknown, rejected, no_answer, late_start;
    uint64_t reads_ok, replica_reads, aged_ok, aged_replica;
    uint64_t duplicates, resent;
    struct {
        char reason[32];
        uint64_t n;
    } reasons[LD_MAX_REASONS];
    int n_reasons;
    int n_buckets;
    struct ld_bucket buckets[LD_MAX_BUCKETS];
    int64_t gap_us[LD_MAX_DBS];   /* longest time between two acknowledged writes */
    int64_t gap_from[LD_MAX_DBS]; /* start of that gap, us after the start of the load */
    int64_t last_write[LD_MAX_DBS];
    int64_t started, took_us;
    int64_t latest_refusal_us; /* longest time from sending a request to its refusal */
};

/* Runs the load; returns false with *err set if the event loop can't be created. The load also
 * starts if some or all entry nodes are still unreachable after START_LIMIT_US. */
bool ld_run(const struct ld_opts *o, struct ld_result *r, struct hc_check *c,
            struct er_err *err);
void ld_table(const struct ld_opts *o, const struct ld_result *r, const struct hc_check *c);
bool ld_json(const struct ld_opts *o, const struct ld_result *r, const struct hc_check *c);
bool ld_svg(const struct ld_opts *o, const struct ld_result *r);
uint64_t ld_faults(const struct hc_check *c);
/* Measures latency and rate of reads, direct and through an entry node, and prints a table. */
int ld_compare(const struct ld_opts *o);

#endif
