/* A stand-in database instance: one process, one instance. Shared by its parts. */
#ifndef FL_TESTS_STANDIN_INSTANCE_H
#define FL_TESTS_STANDIN_INSTANCE_H

#include <jansson.h>
#include <stdio.h>

#include "misc/log.h"
#include "task/net.h"
#include "tests/standin/engine.h"

enum { MAX_WAITING = 4096 };

/* Settings; POST /fault changes all but the addresses while it runs. */
struct in_opts {
    char ip[46];
    int port, max_conns, slots;
    int64_t service_us, connect_us, ship_us, apply_us, status_us;
    char cut[64];    /* who gets silence: roles or nodes, "control,entry:e1" */
    char shut[64];   /* whose connections are closed, the same way */
    char mangle[16]; /* replies: double, truncate, wrong_id, noise, late, crossed */
    bool no_fence, no_minpos, no_claim, no_push;
    const char *data; /* file that keeps the log; NULL: memory only */
};

struct in_conn {
    struct in_conn *next;
    struct in_instance *in;
    struct nt_conn *net;
    char from[64];
    bool ready, counted, subscribed, replica, busy;
    bool txn;
    uint64_t txn_term;
    struct sr_buf pending;
    uint64_t sent_pos; /* replica: last record streamed */
    struct nt_timer hello;
    uint64_t hello_id;
};

/* A statement on its way through the slots. */
struct in_job {
    struct in_job *next;
    struct in_conn
        *conn; /* NULL once the connection is gone; the statement runs all the same */
    json_t *req;
    int64_t wait_until; /* read that waits for its position */
    struct nt_timer timer;
    struct in_instance *in;
};

struct in_instance {
    struct in_opts o;
    struct nt_loop *loop;
    struct eg_engine *eng;
    FILE *file;
    struct in_conn *conns;
    int n_conns; /* counted against max_conns */
    int peak_conns;
    uint64_t low_ids; /* statements with an id that a count from one would give */
    bool primary;
    bool clean;    /* replica: holds only what the primary it follows or followed has sent */
    uint64_t term; /* highest it was fenced, promoted or told to follow at */
    uint64_t following; /* term of the primary whose log it takes; own term when primary */
    /* slots */
    int running;
    struct in_job *queue, **queue_tail;
    struct in_job *waiting;
    /* replica side */
    struct nt_conn *up;
    uint64_t up_term;
    char up_ip[46];
    int up_port;
    struct in_arrival *arrivals, **arrivals_tail;
    struct nt_timer arrive_timer, apply_timer, retry_timer, push_timer, wait_timer;
    bool push_set;
    uint64_t refused_conns, statements, mangled;
    char *held_back; /* crossed: the reply that waits for the next one */
    struct in_conn *held_for;
};

/* serve.c */
void in_serve(struct in_conn *c, json_t *req);
void in_conn_gone(struct in_conn *c);
void in_check_waiting(struct in_instance *in);
void in_reply(struct in_conn *c, json_t *reply);
json_t *in_positions(struct in_instance *in, json_t *into);
void in_append(struct in_instance *in, uint64_t term, const char *text, const char *claim,
               const char *answer);
/* mangle.c: send the reply `s` damaged in the way that is set */
void in_send_mangled(struct in_conn *c, char *s);
/* replicate.c */
void in_follow(struct in_instance *in, uint64_t term, const char *ip, int port);
void in_unfollow(struct in_instance *in);
void in_replica_joined(struct in_conn *c, const json_t *req);
void in_stream(struct in_instance *in);
void in_moved(struct in_instance *in);
void in_load(struct in_instance *in);
void in_rewrite(struct in_instance *in);
/* The highest term is kept too: a fence outlives a restart. */
void in_note_term(struct in_instance *in);

#endif
