/* History checker: records the answers that callers received and counts violations of the
 * consistency guarantees. The checks depend only on the guarantees that callers are given, not
 * on how the proxy works. ferry-load and the unit tests call it. Times are in microseconds.
 *
 * Statements of the test database: `mark ID KEY` increments the run count of ID and the version
 * of KEY and answers "KEY=version"; `get KEY` answers "KEY=version"; `runs ID` answers
 * "ID=runs". */
#ifndef FL_LOAD_CHECK_H
#define FL_LOAD_CHECK_H

#include <stdbool.h>
#include <stdint.h>

enum hc_fault {
    HC_OWN_WRITE,     /* a session read a version older than one it had seen or written */
    HC_STALE,         /* a read returned data older than the age it accepted */
    HC_OLD_PRIMARY,   /* a read that accepts no age missed an acknowledged write */
    HC_CROSSED,       /* the answer belongs to another request */
    HC_LOST,          /* an acknowledged write is missing at the end */
    HC_DOUBLED,       /* a write ran more than once */
    HC_FALSE_NOT_RUN, /* a write ran although every answer reported it as not run */
    HC_TORN,          /* the two writes of a transaction ran a different number of times */
    HC_FAULTS
};

enum hc_status { HC_OK, HC_NOT_RUN, HC_UNKNOWN, HC_REJECTED };

struct hc_check;

struct hc_check *hc_create(void);
void hc_destroy(struct hc_check *c);
/* Records the answer ("KEY=version") to a read of `key` by `session`, sent at `sent`. A
 * max_age_us of -1 means that the read accepts no age; INT64_MAX marks a session read, which is
 * checked only against what its own session has seen. */
void hc_read(struct hc_check *c, int session, const char *key, const char *answer, int64_t sent,
             int64_t max_age_us);
/* Records the answer, received at `at`, to the write `id`. `twin` is the id of the other write
 * in the same transaction, or NULL. */
void hc_write(struct hc_check *c, int session, const char *id, const char *twin,
              const char *key, enum hc_status st, const char *answer, int64_t at);
/* Records a write that was sent and never answered, so its outcome is unknown. */
void hc_write_sent(struct hc_check *c, const char *id, const char *twin);
/* Records how often the database ran `id`, as read at the end of the load. */
void hc_runs(struct hc_check *c, const char *id, int64_t runs);
/* Checks every write; one whose run count was not read counts as unverified. Must be called
 * once, after all other records. */
void hc_finish(struct hc_check *c);
uint64_t hc_count(const struct hc_check *c, enum hc_fault f);
uint64_t hc_acked(const struct hc_check *c);
/* Number of writes whose run count could not be read; valid after hc_finish(). */
uint64_t hc_unverified(const struct hc_check *c);
const char *hc_name(enum hc_fault f);
/* The first 8 faults as text, one a line. */
const char *hc_examples(const struct hc_check *c);

#endif
