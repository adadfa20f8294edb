/* Where statements' time went, by the "stages" lines of nodes' logs (proxy/stages.h).
 *
 * Pure but for the printing. */
#ifndef FL_FERRYCTL_WAITS_H
#define FL_FERRYCTL_WAITS_H

#include <jansson.h>

enum { WT_STAGE_COUNT = 5, WT_MAX_NODES = 4096 };

struct wt_stage {
    long long n; /* statements */
    double ms;   /* of all of them together */
};

struct wt_node {
    char name[48];
    struct wt_stage stage[WT_STAGE_COUNT];
};

struct wt_waits {
    int n;
    struct wt_node nodes[WT_MAX_NODES];
};

/* Take a line whose event is "stages". */
void wt_add_line(struct wt_waits *w, const json_t *line);
/* By stage, and by node: the one whose statements waited longest on the average first. */
void wt_show(struct wt_waits *w);

#endif
