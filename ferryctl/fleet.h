/* Samples of the metrics of all entry nodes, fetched in parallel, and values read from them. */
#ifndef FL_FERRYCTL_FLEET_H
#define FL_FERRYCTL_FLEET_H

#include "ferryctl/ctl.h"
#include "route/holders.h"

enum { FT_SAMPLES = 2 }; /* two, so that rates can be computed */

struct ft_node {
    struct ho_node node; /* as control lists the node; port is the node's HTTP port */
    bool lease;
    char *metrics[FT_SAMPLES];          /* NULL: no response */
    int64_t received_at_us[FT_SAMPLES]; /* when the response arrived */
};

struct ft_fleet {
    int n;
    struct ft_node *nodes;
};

/* Fetches the list of entry nodes from control, then the metrics of each node twice, a second
 * apart. Returns the exit code; an error has been printed if it is not EX_GOOD. */
int ft_read(const struct ctl *c, struct ft_fleet *f);
void ft_free(struct ft_fleet *f);
/* Sum over the lines `name` of the last sample whose labels contain `label` ("": all lines). */
double ft_value(const struct ft_node *n, const char *name, const char *label);
/* Growth of that sum per second; 0 if the node did not answer both samples. */
double ft_rate(const struct ft_node *n, const char *name, const char *label);
/* Calls on_line for each line `name` of the last sample that has a label `key`, with the
 * label's value and the value of the line. */
void ft_each(const struct ft_node *n, const char *name, const char *key,
             void (*on_line)(void *ud, const struct ft_node *n, const char *label,
                             double value),
             void *ud);

#endif
