/* What a control node's links and processor are spent on, by kind.
 *
 * An operator who sees control's VMs busy learns from it which messages, which outside calls
 * and which connections it is. Pure. */
#ifndef FL_CONTROL_TALLY_H
#define FL_CONTROL_TALLY_H

#include "wire/wire.h"

/* An outside call, by what it asks. */
enum ty_call {
    TY_BEAT,      /* an instance's regular call */
    TY_LEAVE,     /* an instance ends */
    TY_CONFIGURE, /* an operator's configuration */
    TY_FETCH,     /* the configuration in force */
    TY_CALLS
};

/* How it was answered. */
enum ty_answer {
    TY_DONE,
    TY_ELSEWHERE, /* sent to another node */
    TY_REFUSED,   /* it is wrong in itself */
    TY_UNABLE,    /* this node can't, now */
    TY_ANSWERS
};

/* What a link to an instance carries. */
enum ty_probe { TY_OPENED, TY_ASKED, TY_ANSWERED, TY_CLOSED, TY_PROBES };

struct ty_sum {
    uint64_t n, bytes;
};

struct ty_counts {
    struct ty_sum in[WR_TYPES], out[WR_TYPES];
    uint64_t calls[TY_CALLS][TY_ANSWERS];
    uint64_t probes[TY_PROBES];
};

/* Zero-initialised: nothing counted. */
struct ty_tally {
    struct ty_counts all, told; /* since the start; at the last report */
};

void ty_in(struct ty_tally *t, enum wr_type type, size_t bytes);
void ty_out(struct ty_tally *t, enum wr_type type, size_t bytes);
void ty_called(struct ty_tally *t, enum ty_call call, enum ty_answer answer);
void ty_probed(struct ty_tally *t, enum ty_probe what);

/* "in.renew=12/3400 ... call.beat=3/0/0/1 probe.asked=8": messages and bytes, calls by answer,
 * since the last report; kinds that did not occur are left out. */
void ty_report(struct ty_tally *t, struct sr_buf *out);
void ty_metrics(const struct ty_tally *t, struct sr_buf *out);

#endif
