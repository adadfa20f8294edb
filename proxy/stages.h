/* Where a statement's time goes, stage by stage, over the statements of a node.
 *
 * An operator who sees slow statements learns from it whether they wait for a permit, for a
 * connection, for what the connection has to be told first, or for the instance. Pure. */
#ifndef FL_PROXY_STAGES_H
#define FL_PROXY_STAGES_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/hist.h"
#include "misc/str.h"

enum px_latency_stage {
    PX_T_PERMIT,   /* until it may begin */
    PX_T_WAIT,     /* for a connection: parked, in a queue, while one is opened */
    PX_T_SETUP,    /* values, prepared names and BEGIN on the connection */
    PX_T_INSTANCE, /* its own answer */
    PX_T_RELAY,    /* asked of another node, its stages there included */
    PX_T_COUNT
};

/* Since the last report, and since the start. */
struct px_stages {
    struct hi_hist hist[PX_T_COUNT];
    uint64_t n[PX_T_COUNT];
    int64_t sum_us[PX_T_COUNT];
};

void px_stages_add(struct px_stages *t, enum px_latency_stage stage, int64_t us);
/* "permit=12/0.4 wait=...": statements and their mean in ms, by stage; starts anew. False:
 * there was none since the last report. */
bool px_stages_report(struct px_stages *t, struct sr_buf *out);
void px_stages_metrics(const struct px_stages *t, struct sr_buf *out);

#endif
