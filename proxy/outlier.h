/* Whether an instance fails much of what this node asks of it while its connections are good.
 *
 * Pure: the time comes in. Answers and failures are counted with a weight that halves every two
 * seconds, so an instance that is asked no more is trusted again and shows anew what it does.
 */
#ifndef FL_PROXY_OUTLIER_H
#define FL_PROXY_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

struct px_outlier {
    double good, bad;   /* weighted, as of `at` */
    int64_t updated_at; /* in the runtime's clock */
};

/* A read was answered (good); or a read failed, or the answer to any statement was lost. */
void px_outlier_record(struct px_outlier *o, bool good, int64_t now);
/* Which part of the reads fails, 0 to 1; a few failures alone say little. */
double px_outlier_failure_rate(const struct px_outlier *o, int64_t now);
/* Two failures at least count now, and they are more than a fifth of all that counts. */
bool px_outlier_failing(const struct px_outlier *o, int64_t now);
/* Two answers at least count now, and it is not failing. Neither: too little is known. */
bool px_outlier_sound(const struct px_outlier *o, int64_t now);

#endif
