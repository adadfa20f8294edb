/* The history checker: judges answers by what callers were promised, without knowing how the
 * system works. Written against the brief's promises only.
 *
 * Statements of the stand-in: `mark ID KEY` adds a run of ID and a version to KEY and answers
 * "KEY=version"; `get KEY` answers the same; `runs ID` answers "ID=runs". */
#ifndef FL_LOAD_CHECK_H
#define FL_LOAD_CHECK_H

#include <stdbool.h>
#include <stdint.h>

enum hc_fault {
    HC_OWN_WRITE,     /* a session did not see what it had seen or written */
    HC_STALE,         /* data older than the age the read accepted */
    HC_OLD_PRIMARY,   /* a read that accepts no age missed an acknowledged write */
    HC_CROSSED,       /* the answer belongs to another request */
    HC_LOST,          /* acknowledged and gone */
    HC_DOUBLED,       /* ran more than once */
    HC_FALSE_NOT_RUN, /* ran though every answer said it had not */
    HC_TORN,          /* one part of a transaction without the other */
    HC_FAULTS
};

enum hc_status { HC_OK, HC_NOT_RUN, HC_UNKNOWN, HC_REJECTED };

struct hc_check;

struct hc_check *hc_create(void);
void hc_destroy(struct hc_check *c);
/* A read by `session` of `key`, sent at `sent`, answered "KEY=version". max_age_us: -1 the read
 * accepts no age; INT64_MAX: a session read, judged by its own session only. */
void hc_read(struct hc_check *c, int session, const char *key, const char *answer, int64_t sent,
             int64_t max_age_us);
/* A write of `id` (and of its twin in the same transaction, or NULL) got an answer at `at`. */
void hc_write(struct hc_check *c, int session, const char *id, const char *twin,
              const char *key, enum hc_status st, const char *answer, int64_t at);
/* A write was sent and no answer ever came. */
void hc_write_sent(struct hc_check *c, const char *id, const char *twin);
/* At the end: what the database says of `id`. */
void hc_runs(struct hc_check *c, const char *id, int64_t runs);
/* Judge all writes whose runs are known. Call once, last. */
void hc_finish(struct hc_check *c);
uint64_t hc_count(const struct hc_check *c, enum hc_fault f);
uint64_t hc_acked(const struct hc_check *c);
uint64_t hc_unverified(const struct hc_check *c);
const char *hc_name(enum hc_fault f);
/* The first few faults, as text. */
const char *hc_examples(const struct hc_check *c);

#endif
