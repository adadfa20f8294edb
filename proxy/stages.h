/* Latency of statements by stage, over all statements of a node.
 *
 * Shows an operator whether slow statements wait for a permit, for a connection, for the setup
 * of the connection, or for the instance. Pure functions; times are in microseconds. */
#ifndef FL_PROXY_STAGES_H
#define FL_PROXY_STAGES_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/hist.h"
#include "misc/str.h"

enum px_latency_stage {
    PX_T_PERMIT,   /* wait for a permit */
    PX_T_WAIT,     /* wait for a connection: parked, queued, or while one is opened */
    PX_T_SETUP,    /* values, prepared statements and BEGIN on the connection */
    PX_T_INSTANCE, /* until the instance's answer */
    PX_T_RELAY,    /* at another node, including its stages there */
    PX_T_COUNT
};

/* `hist` counts since the start; `n` and `sum_us` since the last report. */
struct px_stages {
    struct hi_hist hist[PX_T_COUNT]; /* since the start; in microseconds */
    uint64_t n[PX_T_COUNT];          /* statements since the last report */
    int64_t sum_us[PX_T_COUNT];      /* sum of their latencies */
};

void px_stages_add(struct px_stages *t, enum px_latency_stage stage, int64_t us);
/* Appends "permit=12/0.4 wait=...", the number of statements and their mean in ms by stage, and
 * starts a new period. Returns false if there was no statement in the period. */
bool px_stages_report(struct px_stages *t, struct sr_buf *out);
/* Appends the lines for /metrics. */
void px_stages_metrics(const struct px_stages *t, struct sr_buf *out);

#endif
