/* State of a running load, shared by sending.c, answers.c and run.c. Times are in microseconds
 * of the monotonic clock. */
#ifndef FL_LOAD_SESSION_H
#define FL_LOAD_SESSION_H

#include <jansson.h>

#include "load/load.h"

enum {
    TICK_US = 1000,
    RECONNECT_US = 50000,
    RESEND_US = 50000,
    MAX_RESENDS = 100,
    VERIFY_RETRY_US = 50000,
    VERIFY_LIMIT_US = 25000000,
    START_LIMIT_US = 5000000,
    GRACE_US = 1000000,
    UNRESPONSIVE_US = 400000,
};

enum op { OP_READ, OP_WRITE, OP_TXN, OP_VERIFY };

struct run;

struct conn {
    struct run *run;
    int entry;
    struct nt_conn *net;
    bool open, stopping; /* stopping: the node announced its stop; no new requests */
    int64_t next_try,
        waiting_since; /* waiting_since: start of waiting for an answer; 0 if not */
};

struct session {
    struct run *run;
    int no;
    char tokens[LD_MAX_DBS][80];
    /* state of the current operation */
    bool busy, waiting;
    enum op op;
    int step; /* of a transaction: 0 begin, 1 and 2 writes, 3 commit */
    int db, key;
    uint64_t n;  /* number of the current request */
    char id[64]; /* id of the write */
    char twin[72];
    char txn[64];
    struct conn *conn;
    int64_t intended, sent, retry_at;
    bool aged, had_token;
    int resends;
};

struct run {
    const struct ld_opts *o;
    struct ld_result *r;
    struct hc_check *c;
    struct nt_loop *loop;
    struct rn_rng rng;
    struct conn conns[LD_MAX_ENTRIES][LD_CONNS];
    struct session *s;
    int *idle, n_idle;
    uint64_t seq, nonce;
    int64_t start, end, next_due;
    bool verifying;
    char **ids;
    int n_ids, cap_ids, next_id, verified;
    struct nt_timer tick;
};

struct ld_bucket *ld_bucket(struct run *r, int64_t now);
void ld_count_reason(struct run *r, const char *reason);
void ld_update_write_gap(struct run *r, int db, int64_t now);
void ld_send_step(struct session *s);
void ld_go_idle(struct session *s);
void ld_start_op(struct run *r, struct session *s, int64_t intended);
void ld_start_on_conn(struct session *s);
void ld_retry_in(struct session *s, int64_t in_us);
void ld_verify_next(struct session *s);
void ld_on_answer(struct run *r, struct session *s, const json_t *a);
void ld_finish_unknown(struct session *s);
void ld_close_if_drained(struct conn *c);
struct session *ld_find_waiting(struct run *r, const char *id);
const char *ld_twin_id(const struct session *s);
void ld_key_name(const struct session *s, char *out, size_t cap);

#endif
