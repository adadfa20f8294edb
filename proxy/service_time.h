/* Measures how fast instances are, independent of the work they are given. Pure; called by
 * conn.c and work.c.
 *
 * Statements differ in work by database and kind, and the primary gets other statements than
 * the replicas, so the mean time of all statements of an instance depends on its statements as
 * much as on its load. Each answer is therefore compared with the typical time of such
 * statements in the whole group, and an instance is described by the ratio: 1 is as fast as the
 * others. */
#ifndef FL_PROXY_SERVICE_TIME_H
#define FL_PROXY_SERVICE_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/str.h"

/* Number of kinds, by hash; two kinds may share an entry, which makes both less exact. */
enum { PX_STATEMENT_KINDS = 128 };

/* Typical times of a group's statements. Zero-initialized: no statement was measured. */
struct px_service_times {
    double typical_us[PX_STATEMENT_KINDS]; /* by kind; 0: not measured */
};

/* The kind of a statement: database, and whether it writes. */
unsigned px_statement_kind(struct sr_str database, bool writes);
/* Records an answer after `us` microseconds. `factor` is that of the instance, 1 at first. */
void px_service_time_record(struct px_service_times *p, unsigned kind, double *factor,
                            int64_t us);
/* Expected time of a statement of the kind at an instance with that factor, in microseconds. */
int64_t px_service_time_expect(const struct px_service_times *p, unsigned kind, double factor);

#endif
