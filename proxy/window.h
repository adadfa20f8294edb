/* How many statements a node has at an instance at a time.
 *
 * Pure. Many nodes share an instance that runs a few statements at once and queues some more;
 * none sees the others. Each lowers its window when the instance says that its queue is full,
 * or when statements take much longer than in calm times, and widens it slowly else: the queue
 * then is at the nodes, where what matters goes first and what comes too late is refused. */
#ifndef FL_PROXY_WINDOW_H
#define FL_PROXY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

struct px_window {
    double size;          /* statements; under 1: one, with pauses between */
    double smoothed_us;   /* of a statement, queueing at the instance included */
    double baseline_us;   /* the least of smooth_us lately */
    int64_t shrunk_at;    /* when it was lowered last */
    int64_t next_send_at; /* size under 1: the next one not before */
};

/* It begins with one statement. */
void px_window_init(struct px_window *w);
/* A statement came back after `us`; `running` others are out still. */
void px_window_answered(struct px_window *w, int64_t us, int running, int64_t now);
/* The instance's queue was full. */
void px_window_queue_full(struct px_window *w, int64_t now);
bool px_window_open(const struct px_window *w, int running, int64_t now);

#endif
