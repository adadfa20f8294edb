#include "ferryctl/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "misc/clock.h"
#include "misc/str.h"
#include "task/net.h"

enum {
    MAX_PENDING_REQUESTS = 64,
    SAMPLE_TIMEOUT_US = 4000000,  /* nodes without a response by then are skipped */
    SAMPLE_INTERVAL_US = 1000000, /* from one sample to the next */
};

/* ---- requests ---- */

struct sampling {
    struct ft_fleet *f;
    struct nt_loop *loop;
    int sample;
    int next, pending; /* index of the next node to request; unanswered requests */
};

struct sample_request {
    struct sampling *sampling;
    struct ft_node *node;
};

static void send_requests(struct sampling *s);

static void on_response(void *ud, int status, const char *body, size_t len)
{
    struct sample_request *q = ud;
    struct sampling *s = q->sampling;
    if (status == 200) {
        q->node->metrics[s->sample] = strndup(body, len);
        q->node->received_at_us[s->sample] = ck_now();
    }
    free(q);
    s->pending--;
    send_requests(s);
    if (s->pending == 0)
        nt_stop(s->loop);
}

static void send_requests(struct sampling *s)
{
    while (s->pending < MAX_PENDING_REQUESTS && s->next < s->f->n) {
        struct ft_node *x = &s->f->nodes[s->next++];
        if (x->node.port == 0)
            continue;
        struct sample_request *q = sr_alloc(sizeof(*q));
        *q = (struct sample_request){s, x};
        s->pending++;
        nt_http_get(s->loop, x->node.ip, x->node.port, "GET", "/metrics", NULL, on_response, q);
    }
}

static void on_timeout(void *ud)
{
    nt_stop(ud);
}

/* The sampling and its loop are not freed: requests may be pending after the timeout. The loop
 * does not run again, so no callback is called for them. */
static void fetch_sample(struct ft_fleet *f, int sample)
{
    struct sampling *s = sr_alloc(sizeof(*s));
    struct nt_timer timeout = {0};
    struct er_err err = {0};
    *s = (struct sampling){f, nt_loop_create(2 * MAX_PENDING_REQUESTS, &err), sample, 0, 0};
    if (!s->loop) {
        fprintf(stderr, "ferryctl: %s\n", err.text);
        return;
    }
    nt_timer_set(s->loop, &timeout, SAMPLE_TIMEOUT_US, on_timeout, s->loop);
    send_requests(s);
    if (s->pending > 0)
        nt_run(s->loop);
    nt_timer_cancel(&timeout);
}

/* ---- list of nodes ---- */

static void parse_node(const json_t *x, struct ft_node *to)
{
    struct ho_node *n = &to->node;
    sr_copy(n->name, sizeof(n->name), sr_from(json_string_value(json_object_get(x, "name"))));
    sr_copy(n->domain, sizeof(n->domain),
            sr_from(json_string_value(json_object_get(x, "domain"))));
    sr_copy(n->ip, sizeof(n->ip), sr_from(json_string_value(json_object_get(x, "ip"))));
    n->port = (int)json_integer_value(json_object_get(x, "http"));
    n->carries = (int)json_integer_value(json_object_get(x, "carries"));
    to->lease = json_is_true(json_object_get(x, "lease"));
}

static int fetch_node_list(const struct ctl *c, struct ft_fleet *f)
{
    json_t *list = NULL, *x;
    size_t i;
    int status = ctl_request_any(c, true, "GET", "/v1/nodes", NULL, &list, NULL, NULL);
    if (status != 200)
        return show_error(status, list);
    f->nodes = sr_alloc(sizeof(*f->nodes) * (json_array_size(list) + 1));
    json_array_foreach(list, i, x)
    {
        parse_node(x, &f->nodes[f->n++]);
    }
    json_decref(list);
    return EX_GOOD;
}

int ft_read(const struct ctl *c, struct ft_fleet *f)
{
    *f = (struct ft_fleet){0};
    int rc = fetch_node_list(c, f);
    if (rc != EX_GOOD)
        return rc;
    for (int i = 0; i < FT_SAMPLES; i++) {
        if (i > 0)
            usleep(SAMPLE_INTERVAL_US);
        fetch_sample(f, i);
    }
    return EX_GOOD;
}

void ft_free(struct ft_fleet *f)
{
    for (int i = 0; i < f->n; i++) {
        for (int k = 0; k < FT_SAMPLES; k++)
            free(f->nodes[i].metrics[k]);
    }
    free(f->nodes);
    *f = (struct ft_fleet){0};
}

/* ---- metric values ---- */

/* Finds the next line `name` from *next on and stores its labels ("" if none) and its value. */
static bool next_line(const char **next, const char *name, char *labels, size_t cap,
                      double *value)
{
    size_t len = strlen(name);
    while (*next && **next) {
        const char *line = *next, *end = strchrnul(line, '\n');
        *next = *end ? end + 1 : end;
        if (strncmp(line, name, len) != 0 || (line[len] != ' ' && line[len] != '{'))
            continue;
        const char *close = line[len] == '{' ? memchr(line, '}', (size_t)(end - line)) : NULL;
        const char *first = line + len + 1;
        struct sr_str in = {first, close ? (size_t)(close - first) : 0};
        if ((line[len] == '{' && !close) || !sr_copy(labels, cap, in))
            continue;
        *value = strtod(close ? close + 1 : first, NULL);
        return true;
    }
    return false;
}

static double sum_lines(const char *text, const char *name, const char *label)
{
    char labels[256];
    double v, total = 0;
    while (next_line(&text, name, labels, sizeof(labels), &v))
        total += strstr(labels, label) ? v : 0;
    return total;
}

double ft_value(const struct ft_node *n, const char *name, const char *label)
{
    return sum_lines(n->metrics[FT_SAMPLES - 1], name, label);
}

double ft_rate(const struct ft_node *n, const char *name, const char *label)
{
    int64_t us = n->received_at_us[1] - n->received_at_us[0];
    if (!n->metrics[0] || !n->metrics[1] || us <= 0)
        return 0;
    double growth =
        sum_lines(n->metrics[1], name, label) - sum_lines(n->metrics[0], name, label);
    return growth > 0 ? growth * 1e6 / (double)us
                      : 0; /* the counters of a restarted node begin at 0 */
}

void ft_each(const struct ft_node *n, const char *name, const char *key,
             void (*on_line)(void *, const struct ft_node *, const char *, double), void *ud)
{
    const char *next = n->metrics[FT_SAMPLES - 1];
    char labels[256], prefix[64];
    double v;
    snprintf(prefix, sizeof(prefix), "%s=\"", key);
    while (next_line(&next, name, labels, sizeof(labels), &v)) {
        char *from = strstr(labels, prefix);
        if (!from)
            continue;
        from += strlen(prefix);
        from[strcspn(from, "\"")] = 0;
        on_line(ud, n, from, v);
    }
}
