/* Detects instances that fail many statements while their connections work. Pure; called by
 * conn.c, pool.c and work.c.
 *
 * Answers and failures are counted with a weight that halves every two seconds, so an instance
 * that gets no more statements is trusted again, and its next answers decide anew. */
#ifndef FL_PROXY_OUTLIER_H
#define FL_PROXY_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

struct px_outlier {
    double good, bad;   /* weighted counts, as of `updated_at` */
    int64_t updated_at; /* by ck_now */
};

/* Records a result: good for a read that was answered; not good for a read that failed, or for
 * any statement whose answer was lost. */
void px_outlier_record(struct px_outlier *o, bool good, int64_t now);
/* Failure rate, 0 to 1, with credit for a few successes, so that a few failures alone have
 * little effect. */
double px_outlier_failure_rate(const struct px_outlier *o, int64_t now);
/* Whether failures have a weight of at least two now and are more than a fifth of all results.
 */
bool px_outlier_failing(const struct px_outlier *o, int64_t now);
/* Whether successes have a weight of at least two now and the instance is not failing. If
 * neither px_outlier_failing nor this holds, too little is known. */
bool px_outlier_sound(const struct px_outlier *o, int64_t now);

#endif
