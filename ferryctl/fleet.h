/* ferryctl: pages of all entry nodes at once, and numbers out of their metrics. */
#ifndef FL_FERRYCTL_FLEET_H
#define FL_FERRYCTL_FLEET_H

#include "ferryctl/ctl.h"
#include "route/holders.h"

enum { FT_SAMPLES = 2 }; /* so far apart that rates can be told */

struct ft_node {
    struct ho_node node; /* as control tells of it; port is that of its pages */
    bool lease;
    char *metrics[FT_SAMPLES];          /* NULL: no answer */
    int64_t received_at_us[FT_SAMPLES]; /* when it came */
};

struct ft_fleet {
    int n;
    struct ft_node *nodes;
};

/* Ask control for the entry nodes, and these for their metrics twice, a second apart. The exit
 * code; anything but EX_GOOD has been told. */
int ft_read(const struct ctl *c, struct ft_fleet *f);
void ft_free(struct ft_fleet *f);
/* The last sample's sum over the lines of that name whose labels hold `label`, "" all. */
double ft_value(const struct ft_node *n, const char *name, const char *label);
/* Its growth a second; 0 if there were not two samples. */
double ft_rate(const struct ft_node *n, const char *name, const char *label);
/* Go through the last sample's lines of that name with a label called `key`. */
void ft_each(const struct ft_node *n, const char *name, const char *key,
             void (*on_line)(void *ud, const struct ft_node *n, const char *label,
                             double value),
             void *ud);

#endif
