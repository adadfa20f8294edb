/* Limits the statements that a node has outstanding at an instance. Pure; called by conn.c and
 * pool.c.
 *
 * Many nodes share an instance, which runs a few statements at once and queues some more; no
 * node sees the others' statements. Each node shrinks its window if the instance reports a full
 * queue, or if statements take much longer than normally, and otherwise grows it slowly. The
 * queue then forms at the nodes, which serve statements by priority and refuse those that would
 * be late. */
#ifndef FL_PROXY_WINDOW_H
#define FL_PROXY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

struct px_window {
    double size; /* statements; below 1: one at a time, with pauses between */
    double
        smoothed_us; /* smoothed time of a statement, including its queueing at the instance */
    double baseline_us;   /* the lowest recent smoothed_us */
    int64_t shrunk_at;    /* when the window last shrank */
    int64_t next_send_at; /* size below 1: earliest time of the next statement */
};

/* The window begins with one statement. */
void px_window_init(struct px_window *w);
/* A statement was answered after `us` microseconds; `running` others are outstanding. */
void px_window_answered(struct px_window *w, int64_t us, int running, int64_t now);
/* The instance refused a statement because its queue was full. */
void px_window_queue_full(struct px_window *w, int64_t now);
bool px_window_open(const struct px_window *w, int running, int64_t now);

#endif
