/* ferryctl: shared by its parts. */
#ifndef FL_FERRYCTL_CTL_H
#define FL_FERRYCTL_CTL_H

#include <jansson.h>
#include <stdbool.h>

enum { CT_MAX_CONTROL = 9, CT_MAX_ARGS = 32 };

enum exit_code {
    EX_GOOD = 0,
    EX_REFUSED = 1, /* the system said no, with a reason */
    EX_USAGE_ = 64,
    EX_UNREACHED = 69,       /* no control node answered */
    EX_OUTCOME_UNKNOWN = 75, /* it may have been done: resend with the same id */
};

struct addr {
    char ip[46];
    int port;
};

struct ctl {
    int n;
    struct addr control[CT_MAX_CONTROL]; /* operators' ports */
    bool json, yes;
    const char *who, *id, *group, *node, *kind, *svg, *plan_file;
    int n_args;
    char *args[CT_MAX_ARGS];
};

/* http.c: one request, waits for the answer. Status 0: none came. */
int ctl_request(const struct addr *a, const char *method, const char *path, const char *body,
                json_t **answer, char **text);
/* Ask one control node after another until one answers; the leader if `leader`. What no leader
 * took (an election, a lost quorum) was not done: it is asked again for 3 s. */
int ctl_request_any(const struct ctl *c, bool leader, const char *method, const char *path,
                    const char *body, json_t **answer, char **text, struct addr *from);
bool ctl_parse_addr(const char *s, struct addr *a);

/* show.c: tables for people. */
void show_status(const json_t *s);
void show_members(const json_t *m);
void show_plan(const json_t *p);
void show_intent(const json_t *i);
void print_json(const json_t *j);
int show_error(int status, const json_t *answer);

/* timeline.c */
int ctl_timeline(const struct ctl *c);

/* worth.c: args are log files. */
int ctl_worth(const struct ctl *c);

/* nodes.c, accounts.c: a running system's entry nodes and client accounts. */
int ctl_nodes(const struct ctl *c);
int ctl_accounts(const struct ctl *c);

/* explain.c: args are the request's id and the log files. */
int ctl_explain(const struct ctl *c);

#endif
