/* Latency of statements by stage, from the "stages" lines in the logs of nodes
 * (proxy/stages.h).
 *
 * Used by worth.c. Times are in milliseconds. Only wt_show does I/O: it prints to stdout. */
#ifndef FL_FERRYCTL_WAITS_H
#define FL_FERRYCTL_WAITS_H

#include <jansson.h>

enum { WT_STAGE_COUNT = 5, WT_MAX_NODES = 4096 };

struct wt_stage {
    long long n; /* statements */
    double ms;   /* sum over these statements */
};

struct wt_node {
    char name[48];
    struct wt_stage stage[WT_STAGE_COUNT];
};

struct wt_waits {
    int n;
    struct wt_node nodes[WT_MAX_NODES];
};

/* Adds the counts of a line whose event is "stages". Nodes beyond WT_MAX_NODES are ignored. */
void wt_add_line(struct wt_waits *w, const json_t *line);
/* Prints the totals by stage, then the nodes with the longest mean wait. Sorts `w->nodes`. */
void wt_show(struct wt_waits *w);

#endif
