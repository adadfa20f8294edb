/* Counters of a control node's messages, outside calls and probes, by kind.
 *
 * They show an operator which kind of traffic keeps a control node's VM busy. Pure; the counts
 * are logged at regular intervals and returned as metrics by control/ops.c. */
#ifndef FL_CONTROL_TRAFFIC_H
#define FL_CONTROL_TRAFFIC_H

#include "wire/wire.h"

/* An outside call, by kind. */
enum tf_call {
    TF_HEARTBEAT, /* an instance's registration, repeated regularly */
    TF_LEAVE,     /* an instance deregisters */
    TF_CONFIGURE, /* a new configuration document */
    TF_FETCH,     /* a read of the configuration document in force */
    TF_CALLS
};

/* How a call was answered. */
enum tf_answer {
    TF_DONE,
    TF_REDIRECTED,  /* redirected to another node */
    TF_REFUSED,     /* the call is invalid */
    TF_UNAVAILABLE, /* this node can't answer now */
    TF_ANSWERS
};

/* Events on connections to instances. */
enum tf_probe { TF_PROBE_OPENED, TF_PROBE_SENT, TF_PROBE_ANSWERED, TF_PROBE_CLOSED, TF_PROBES };

struct tf_sum {
    uint64_t n, bytes;
};

struct tf_counts {
    struct tf_sum in[WR_TYPES], out[WR_TYPES];
    uint64_t calls[TF_CALLS][TF_ANSWERS];
    uint64_t probes[TF_PROBES];
};

/* Zero-initialized: nothing counted. */
struct tf_traffic {
    struct tf_counts all, reported; /* since the start; as of the last report */
};

void tf_count_in(struct tf_traffic *t, enum wr_type type, size_t bytes);
void tf_count_out(struct tf_traffic *t, enum wr_type type, size_t bytes);
void tf_count_call(struct tf_traffic *t, enum tf_call call, enum tf_answer answer);
void tf_count_probe(struct tf_traffic *t, enum tf_probe what);

/* Appends the counts since the last report, such as "in.renew=12/3400 ... call.beat=3/0/0/1
 * probe.asked=8": messages/bytes, and calls by answer. Kinds that did not occur are left out.
 */
void tf_report(struct tf_traffic *t, struct sr_buf *out);
/* Appends all counts since the start as metrics. */
void tf_metrics(const struct tf_traffic *t, struct sr_buf *out);

#endif
