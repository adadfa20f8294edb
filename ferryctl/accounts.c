/* ferryctl accounts: client accounts sorted by use, with their limits, their rates and the
 * nodes on which their groups are placed. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ferryctl/fleet.h"
#include "misc/index.h"
#include "misc/str.h"

struct row {
    char name[IX_NAME];
    bool limited;
    double rate, burst;        /* limit of the account */
    double begun, refused;     /* operations so far */
    double begun_s, refused_s; /* operations per second, now */
    double permits;            /* available, sum over all nodes */
    int nodes;                 /* number of nodes on which operations of the account begin */
};

struct table {
    int n;
    struct row *rows;
    struct ix_index row_index;
};

static struct row *find_or_add_row(struct table *t, const char *name)
{
    int i = ix_get(&t->row_index, name);
    if (i == IX_NONE) {
        i = t->n++;
        t->rows = sr_realloc(t->rows, sizeof(*t->rows) * (size_t)t->n);
        t->rows[i] = (struct row){0};
        sr_copy(t->rows[i].name, sizeof(t->rows[i].name), sr_from(name));
        ix_set(&t->row_index, name, i);
    }
    return &t->rows[i];
}

/* ---- metrics and places ---- */

static double rate_of(const struct ft_node *n, const char *metric, const char *name)
{
    char label[IX_NAME + 16];
    snprintf(label, sizeof(label), "account=\"%s\"", name);
    return ft_rate(n, metric, label);
}

static void add_begun(void *ud, const struct ft_node *n, const char *name, double v)
{
    struct row *r = find_or_add_row(ud, name);
    r->begun += v;
    r->begun_s += rate_of(n, "ferry_session_account_begun_total", name);
    r->nodes += v > 0;
}

static void add_refused(void *ud, const struct ft_node *n, const char *name, double v)
{
    struct row *r = find_or_add_row(ud, name);
    r->refused += v;
    r->refused_s += rate_of(n, "ferry_session_account_refused_total", name);
}

static void add_permits(void *ud, const struct ft_node *n, const char *name, double v)
{
    (void)n;
    find_or_add_row(ud, name)->permits += v;
}

static void set_rate(void *ud, const struct ft_node *n, const char *name, double v)
{
    struct row *r = find_or_add_row(ud, name);
    (void)n;
    r->limited = true;
    r->rate = v;
}

static void set_burst(void *ud, const struct ft_node *n, const char *name, double v)
{
    (void)n;
    find_or_add_row(ud, name)->burst = v;
}

static int compare_by_use(const void *a, const void *b)
{
    const struct row *x = a, *y = b;
    double x_operations = x->begun + x->refused, y_operations = y->begun + y->refused;
    if (x_operations != y_operations)
        return x_operations < y_operations ? 1 : -1;
    return strcmp(x->name, y->name);
}

static void read_table(const struct ft_fleet *f, struct table *t)
{
    for (int i = 0; i < f->n; i++) {
        const struct ft_node *n = &f->nodes[i];
        ft_each(n, "ferry_session_account_begun_total", "account", add_begun, t);
        ft_each(n, "ferry_session_account_refused_total", "account", add_refused, t);
        ft_each(n, "ferry_session_account_permits", "account", add_permits, t);
        ft_each(n, "ferry_session_account_rate", "account", set_rate, t);
        ft_each(n, "ferry_session_account_burst", "account", set_burst, t);
    }
    if (t->n)
        qsort(t->rows, (size_t)t->n, sizeof(*t->rows), compare_by_use);
}

/* All nodes compute the same places, so the first node that answers is enough. */
static json_t *read_places(const struct ft_fleet *f, const char *path)
{
    for (int i = 0; i < f->n; i++) {
        const struct ft_node *n = &f->nodes[i];
        struct addr a = {.port = n->node.port};
        json_t *o = NULL;
        sr_copy(a.ip, sizeof(a.ip), sr_from(n->node.ip));
        if (!n->metrics[FT_SAMPLES - 1])
            continue;
        if (ctl_request(&a, "GET", path, NULL, &o, NULL) == 200 && o)
            return o;
        json_decref(o);
    }
    return json_object();
}

/* ---- output ---- */

static void show_places(const json_t *groups_by_node)
{
    const char *node;
    json_t *groups;
    json_object_foreach((json_t *)groups_by_node, node, groups)
    {
        printf(" %s (%lld)", node, (long long)json_integer_value(groups));
    }
    printf("\n");
}

static void show_row(const struct row *r, const json_t *places)
{
    printf("%-24s", strcmp(r->name, "-") == 0 ? "(all others)" : r->name);
    if (r->limited)
        printf(" %8.1f %7.0f", r->rate, r->burst);
    else
        printf(" %8s %7s", "-", "-");
    printf(" %8.1f %9.1f %9.0f %9.0f %8.0f %6d ", r->begun_s, r->refused_s, r->begun,
           r->refused, r->permits, r->nodes);
    show_places(json_object_get(places, r->name));
}

static json_t *row_json(const struct row *r, const json_t *places)
{
    json_t *at = json_object_get(places, r->name);
    return json_pack("{s:s,s:b,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:i,s:O}", "name", r->name,
                     "limited", r->limited, "rate", r->rate, "burst", r->burst, "begun_s",
                     r->begun_s, "refused_s", r->refused_s, "begun", r->begun, "refused",
                     r->refused, "permits", r->permits, "nodes", r->nodes, "places",
                     at ? at : json_null());
}

static void show_table(const struct ctl *c, const struct table *t, const json_t *places)
{
    json_t *all = json_array();
    if (!c->json)
        printf("%-24s %8s %7s %8s %9s %9s %9s %8s %6s  %s\n", "account", "limit/s", "burst",
               "begun/s", "refused/s", "begun", "refused", "permits", "nodes",
               "placed at (groups)");
    for (int i = 0; i < t->n; i++) {
        if (c->json)
            json_array_append_new(all, row_json(&t->rows[i], places));
        else
            show_row(&t->rows[i], places);
    }
    if (c->json)
        print_json(all);
    json_decref(all);
}

static int show_groups(const struct ctl *c, const json_t *places)
{
    const char *group;
    json_t *nodes, *x;
    size_t i;
    if (c->json) {
        print_json(places);
        return EX_GOOD;
    }
    json_object_foreach((json_t *)places, group, nodes)
    {
        printf("%-24s", group);
        json_array_foreach(nodes, i, x)
        {
            printf(" %s", json_string_value(x));
        }
        printf("%s\n", json_array_size(nodes) ? "" : " the document does not list it");
    }
    return EX_GOOD;
}

int ctl_accounts(const struct ctl *c)
{
    struct ft_fleet f;
    struct table t = {0};
    char path[IX_NAME + 16] = "/v1/places";
    const char *one = c->n_args > 1 ? c->args[1] : NULL;
    int rc = ft_read(c, &f);
    if (rc != EX_GOOD)
        return rc;
    if (one)
        snprintf(path, sizeof(path), "/v1/places/%s", one);
    json_t *places = read_places(&f, path);
    if (one) {
        show_groups(c, places);
    } else {
        read_table(&f, &t);
        show_table(c, &t, places);
    }
    json_decref(places);
    free(t.rows);
    ix_free(&t.row_index);
    ft_free(&f);
    return EX_GOOD;
}
