/* Requests to the control and entry nodes, one at a time, each on an event loop of its own. */
#include "ferryctl/ctl.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "misc/clock.h"
#include "misc/str.h"
#include "task/net.h"

enum { REQUEST_TIMEOUT_US = 8000000, ELECTION_RETRIES = 15, ELECTION_WAIT_US = 200000 };

struct pending_request {
    struct nt_loop *loop;
    int status;
    char *text;
};

static void on_response(void *ud, int status, const char *body, size_t len)
{
    struct pending_request *r = ud;
    r->status = status;
    r->text = strndup(body, len);
    nt_stop(r->loop);
}

static void on_timeout(void *ud)
{
    struct pending_request *r = ud;
    nt_stop(r->loop);
}

int ctl_request(const struct addr *a, const char *method, const char *path, const char *body,
                json_t **answer, char **text)
{
    struct pending_request *r = sr_alloc(sizeof(*r));
    struct er_err err = {0};
    struct nt_timer timeout = {0};
    r->loop = nt_loop_create(64, &err);
    if (!r->loop)
        return 0;
    nt_timer_set(r->loop, &timeout, REQUEST_TIMEOUT_US, on_timeout, r);
    nt_http_get(r->loop, a->ip, a->port, method, path, body, on_response, r);
    nt_run(r->loop);
    nt_timer_cancel(&timeout);
    int status = r->status;
    if (answer)
        *answer = r->text ? json_loads(r->text, 0, NULL) : NULL;
    if (text)
        *text = r->text ? strdup(r->text) : strdup("");
    return status;
}

bool ctl_parse_addr(const char *s, struct addr *a)
{
    const char *colon = strrchr(s, ':');
    if (!colon)
        return false;
    a->port = atoi(colon + 1);
    return sr_copy(a->ip, sizeof(a->ip), (struct sr_str){s, (size_t)(colon - s)}) &&
           a->port > 0 && a->port < 65536;
}

static bool is_confirmed_leader(const struct addr *a)
{
    json_t *s = NULL;
    int status = ctl_request(a, "GET", "/v1/status", NULL, &s, NULL);
    bool yes = status == 200 && json_is_true(json_object_get(s, "leads")) &&
               json_is_true(json_object_get(s, "vouched"));
    json_decref(s);
    return yes;
}

static int request_once(const struct ctl *c, bool leader, const char *method, const char *path,
                        const char *body, json_t **answer, char **text, struct addr *from)
{
    int status = 0;
    for (int round = 0; round < 2 && status == 0; round++) {
        for (int i = 0; i < c->n && status == 0; i++) {
            if (round == 0 && leader && !is_confirmed_leader(&c->control[i]))
                continue;
            if (from)
                *from = c->control[i];
            status = ctl_request(&c->control[i], method, path, body, answer, text);
        }
    }
    return status;
}

int ctl_request_any(const struct ctl *c, bool leader, const char *method, const char *path,
                    const char *body, json_t **answer, char **text, struct addr *from)
{
    int status = request_once(c, leader, method, path, body, answer, text, from);
    for (int i = 0; i < ELECTION_RETRIES; i++) {
        bool no_leader = status == er_http(ER_NOT_LEADER) || status == er_http(ER_NO_QUORUM);
        if (!leader || !no_leader)
            break;
        if (answer)
            json_decref(*answer);
        if (text)
            free(*text);
        usleep(ELECTION_WAIT_US);
        status = request_once(c, leader, method, path, body, answer, text, from);
    }
    return status;
}
