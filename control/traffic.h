/* What a control node's links and processor are spent on, by kind.
 *
 * An operator who sees control's VMs busy learns from it which messages, which outside calls
 * and which connections it is. Pure. */
#ifndef FL_CONTROL_TRAFFIC_H
#define FL_CONTROL_TRAFFIC_H

#include "wire/wire.h"

/* An outside call, by what it asks. */
enum tf_call {
    TF_HEARTBEAT, /* an instance's regular call */
    TF_LEAVE,     /* an instance ends */
    TF_CONFIGURE, /* an operator's configuration */
    TF_FETCH,     /* the configuration in force */
    TF_CALLS
};

/* How it was answered. */
enum tf_answer {
    TF_DONE,
    TF_REDIRECTED,  /* sent to another node */
    TF_REFUSED,     /* it is wrong in itself */
    TF_UNAVAILABLE, /* this node can't, now */
    TF_ANSWERS
};

/* What a link to an instance carries. */
enum tf_probe { TF_PROBE_OPENED, TF_PROBE_SENT, TF_PROBE_ANSWERED, TF_PROBE_CLOSED, TF_PROBES };

struct tf_sum {
    uint64_t n, bytes;
};

struct tf_counts {
    struct tf_sum in[WR_TYPES], out[WR_TYPES];
    uint64_t calls[TF_CALLS][TF_ANSWERS];
    uint64_t probes[TF_PROBES];
};

/* Zero-initialised: nothing counted. */
struct tf_traffic {
    struct tf_counts all, reported; /* since the start; at the last report */
};

void tf_count_in(struct tf_traffic *t, enum wr_type type, size_t bytes);
void tf_count_out(struct tf_traffic *t, enum wr_type type, size_t bytes);
void tf_count_call(struct tf_traffic *t, enum tf_call call, enum tf_answer answer);
void tf_count_probe(struct tf_traffic *t, enum tf_probe what);

/* "in.renew=12/3400 ... call.beat=3/0/0/1 probe.asked=8": messages and bytes, calls by answer,
 * since the last report; kinds that did not occur are left out. */
void tf_report(struct tf_traffic *t, struct sr_buf *out);
void tf_metrics(const struct tf_traffic *t, struct sr_buf *out);

#endif
