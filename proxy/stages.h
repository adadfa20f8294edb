/* Latency of a node's statements by stage.
 *
 * It shows an operator whether slow statements wait for a permit, for a connection, for the
 * setup of the session's state on the connection, or for the instance. Pure: no input, output
 * or clock. */
#ifndef FL_PROXY_STAGES_H
#define FL_PROXY_STAGES_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/hist.h"
#include "misc/str.h"

enum px_latency_stage {
    PX_T_PERMIT,   /* waiting for a permit of the account */
    PX_T_WAIT,     /* waiting for a connection: parked, queued, or while one is opened */
    PX_T_SETUP,    /* setup of values, prepared statements and BEGIN on the connection */
    PX_T_INSTANCE, /* from sending the statement to the instance's reply */
    PX_T_RELAY,    /* at the serving node, including all stages there */
    PX_T_COUNT
};

/* Latencies of each stage. */
struct px_stages {
    struct hi_hist hist[PX_T_COUNT]; /* since the start; in microseconds */
    uint64_t n[PX_T_COUNT];          /* statements since the last report */
    int64_t sum_us[PX_T_COUNT];      /* sum of their latencies */
};

void px_stages_add(struct px_stages *t, enum px_latency_stage stage, int64_t us);
/* Appends "permit=12/0.4 wait=...", the number of statements and their mean latency in ms for
 * each stage, and begins a new report. False: there was no statement since the last report. */
bool px_stages_report(struct px_stages *t, struct sr_buf *out);
/* Appends the lines for /metrics. */
void px_stages_metrics(const struct px_stages *t, struct sr_buf *out);

#endif
