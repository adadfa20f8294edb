/* ferryctl, the operators' command line tool: options, exit codes, requests to the control
 * nodes, and the functions that run the commands. */
#ifndef FL_FERRYCTL_CTL_H
#define FL_FERRYCTL_CTL_H

#include <jansson.h>
#include <stdbool.h>

enum { CT_MAX_CONTROL = 9, CT_MAX_ARGS = 32 };

enum exit_code {
    EX_GOOD = 0,
    EX_REFUSED = 1, /* refused with a reason */
    EX_USAGE_ = 64,
    EX_UNREACHED = 69,       /* no control node answered */
    EX_OUTCOME_UNKNOWN = 75, /* may have been done; resend with the same id */
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

/* http.c: send one request and wait for the response. Returns the HTTP status, or 0 if there
 * was no response within 8 s. The caller releases *answer and *text; each may be NULL. */
int ctl_request(const struct addr *a, const char *method, const char *path, const char *body,
                json_t **answer, char **text);
/* Sends the request to one control node after another until one answers, first to the leader if
 * `leader` is set. A request refused for lack of a leader or a quorum was not done, so it is
 * retried every 200 ms, up to 15 times (3 s). `from`, unless NULL, is set to the last node
 * tried. */
int ctl_request_any(const struct ctl *c, bool leader, const char *method, const char *path,
                    const char *body, json_t **answer, char **text, struct addr *from);
bool ctl_parse_addr(const char *s, struct addr *a);

/* show.c: text output. show_error prints a failed response and returns the exit code. */
void show_status(const json_t *s);
void show_members(const json_t *m);
void show_plan(const json_t *p);
void show_intent(const json_t *i);
void print_json(const json_t *j);
int show_error(int status, const json_t *answer);

/* timeline.c */
int ctl_timeline(const struct ctl *c);

/* worth.c: the arguments are log files. */
int ctl_worth(const struct ctl *c);

/* nodes.c, accounts.c: print the entry nodes and client accounts of a running system. */
int ctl_nodes(const struct ctl *c);
int ctl_accounts(const struct ctl *c);

/* explain.c: the arguments are the id of the request and the log files. */
int ctl_explain(const struct ctl *c);

#endif
