/* How fast instances are, told apart from how much work they are given.
 *
 * Pure. Statements differ in work by database and kind, and the primary gets other ones than
 * the replicas: a mean time of all that an instance served says which statements it had as much
 * as how loaded it is. So each answer is compared with what answers to statements like it take
 * anywhere, and an instance is described by that factor: 1 is as fast as the others. */
#ifndef FL_PROXY_SERVICE_TIME_H
#define FL_PROXY_SERVICE_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/str.h"

/* Kinds of statements told apart; two may share a place, which makes both less exact. */
enum { PX_STATEMENT_KINDS = 128 };

/* What statements take, by kind. Zero-initialised is empty. */
struct px_service_times {
    double typical_us[PX_STATEMENT_KINDS]; /* 0: none was seen */
};

/* A kind: the statements of a database that write, or that do not. */
unsigned px_statement_kind(struct sr_str database, bool writes);
/* An answer came after `us` from the instance whose factor this is (at first 1). */
void px_service_time_record(struct px_service_times *p, unsigned kind, double *factor,
                            int64_t us);
/* What a statement of the kind takes at an instance with that factor, in microseconds. */
int64_t px_service_time_expect(const struct px_service_times *p, unsigned kind, double factor);

#endif
