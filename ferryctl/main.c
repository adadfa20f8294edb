/* ferryctl: parses the command line, and plans and confirms intents. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "ferryctl/ctl.h"
#include "misc/str.h"

enum { O_JSON = 1000, O_YES, O_WHO, O_ID, O_GROUP, O_NODE, O_KIND, O_SVG };

const char *argp_program_version = "ferryctl 0.1";

static const struct argp_option options[] = {
    {"control", 'c', "IP:PORT,...", 0,
     "operators' ports of the control nodes (or environment FERRY_CONTROL)", 0},
    {"json", O_JSON, NULL, 0, "print the result as JSON", 0},
    {"yes", 'y', NULL, 0, "confirm the plan at once (drain, undrain, move, rule, replace)", 0},
    {"who", O_WHO, "NAME", 0, "your name, recorded with the intent (default: $USER)", 0},
    {"id", O_ID, "ID", 0, "id of the intent; an id is executed at most once", 0},
    {"output", 'o', "FILE", 0, "plan: write it to FILE for confirm", 0},
    {"group", O_GROUP, "NAME", 0, "timeline: only this group", 0},
    {"node", O_NODE, "NAME", 0, "timeline: only this node", 0},
    {"kind", O_KIND, "NAME", 0, "timeline: only this kind of event", 0},
    {"svg", O_SVG, "FILE", 0, "draw an SVG: timeline: changes of primary; worth: failures", 0},
    {0}};

static const char doc[] =
    "Commands:\n"
    "  status | members | metrics | timeline     read-only\n"
    "  nodes                       entry nodes, highest link use first: what they hold, their "
    "links' "
    "bytes\n"
    "  accounts [NAME]             client accounts by use: limits, rates, where they are "
    "placed; "
    "of one, group by group\n"
    "  drain GROUP INSTANCE        plan to drain an instance\n"
    "  undrain GROUP INSTANCE      plan to put an instance back into use\n"
    "  rule GROUP MAX_AGE_MS       plan a new maximum age of reads\n"
    "  move GROUP FILE             plan to move to the instances listed in FILE (JSON)\n"
    "  replace OLD_ID FILE         plan to replace a control node by the one in FILE (JSON)\n"
    "  plan drain|undrain|rule|move|replace ...  the same, never confirms\n"
    "  confirm FILE                confirm a plan written with --output\n"
    "  intent ID                   state of an intent\n"
    "  explain REQUEST LOG...      events that led to a failed request, from the logs of many "
    "processes\n"
    "  worth LOG...                failures of a run by cause and over time, from the logs of "
    "many processes\n"
    "\vExit codes: 0 done, 1 refused, 64 usage, 69 no control node answers, 75 may have been "
    "done: resend with the same --id.";

static void parse_control_list(struct ctl *c, const char *list)
{
    char part[80];
    c->n = 0;
    while (*list && c->n < CT_MAX_CONTROL) {
        size_t n = strcspn(list, ",");
        if (sr_copy(part, sizeof(part), (struct sr_str){list, n}) &&
            ctl_parse_addr(part, &c->control[c->n]))
            c->n++;
        list += n + (list[n] == ',');
    }
}

static void add_arg(struct ctl *c, char *arg, struct argp_state *st)
{
    if (c->n_args == CT_MAX_ARGS)
        argp_error(st, "too many arguments");
    c->args[c->n_args++] = arg;
}

static void check_args(const struct ctl *c, struct argp_state *st)
{
    if (c->n_args == 0)
        argp_error(st, "a command is required");
    bool offline = strcmp(c->args[0], "explain") == 0 || strcmp(c->args[0], "worth") == 0;
    if (c->n == 0 && !offline)
        argp_error(st, "--control or FERRY_CONTROL must name the control nodes");
}

static error_t parse(int key, char *arg, struct argp_state *st)
{
    struct ctl *c = st->input;
    switch (key) {
    case 'c':
        parse_control_list(c, arg);
        break;
    case O_JSON:
        c->json = true;
        break;
    case 'y':
        c->yes = true;
        break;
    case O_WHO:
        c->who = arg;
        break;
    case O_ID:
        c->id = arg;
        break;
    case 'o':
        c->plan_file = arg;
        break;
    case O_GROUP:
        c->group = arg;
        break;
    case O_NODE:
        c->node = arg;
        break;
    case O_KIND:
        c->kind = arg;
        break;
    case O_SVG:
        c->svg = arg;
        break;
    case ARGP_KEY_ARG:
        add_arg(c, arg, st);
        break;
    case ARGP_KEY_END:
        check_args(c, st);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static int usage_error(const char *what)
{
    fprintf(stderr, "ferryctl: %s; see ferryctl --help\n", what);
    return EX_USAGE_;
}

/* ---- read-only commands ---- */

static int show_page(const struct ctl *c, const char *path, void (*show)(const json_t *))
{
    json_t *a = NULL;
    int status = ctl_request_any(c, true, "GET", path, NULL, &a, NULL, NULL);
    if (status != 200)
        return show_error(status, a);
    if (c->json)
        print_json(a);
    else
        show(a);
    json_decref(a);
    return EX_GOOD;
}

static int show_metrics(const struct ctl *c)
{
    bool any = false;
    for (int i = 0; i < c->n; i++) {
        char *text = NULL;
        if (ctl_request(&c->control[i], "GET", "/metrics", NULL, NULL, &text) == 200) {
            printf("# %s:%d\n%s", c->control[i].ip, c->control[i].port, text);
            any = true;
        }
        free(text);
    }
    return any ? EX_GOOD : show_error(0, NULL);
}

static int show_intent_by_id(const struct ctl *c, const char *id)
{
    json_t *s = NULL, *x;
    size_t i;
    int status = ctl_request_any(c, true, "GET", "/v1/status", NULL, &s, NULL, NULL);
    if (status != 200)
        return show_error(status, s);
    json_array_foreach(json_object_get(json_object_get(s, "view"), "intents"), i, x)
    {
        if (strcmp(json_string_value(json_object_get(x, "id")), id) != 0)
            continue;
        if (c->json)
            print_json(x);
        else
            show_intent(x);
        json_decref(s);
        return EX_GOOD;
    }
    json_decref(s);
    fprintf(stderr, "ferryctl: intent %s not found\n", id);
    return EX_REFUSED;
}

/* ---- plans and confirmation ---- */

static json_t *rule_plan_args(const char *group, const char *age)
{
    char *end;
    json_int_t ms = strtoll(age, &end, 10);
    if (*age && !*end && ms >= 0)
        return json_pack("{s:s,s:s,s:I}", "kind", "rule", "group", group, "max_age_ms", ms);
    fprintf(stderr, "ferryctl: age: \"%s\", expected a whole number of milliseconds\n", age);
    return NULL;
}

static json_t *plan_args(const struct ctl *c, int first_arg)
{
    int n = c->n_args - first_arg;
    char *const *w = &c->args[first_arg];
    bool drain = strcmp(w[0], "drain") == 0 || strcmp(w[0], "undrain") == 0;
    if (n == 3 && drain)
        return json_pack("{s:s,s:s,s:s}", "kind", w[0], "group", w[1], "instance", w[2]);
    if (n == 3 && strcmp(w[0], "rule") == 0)
        return rule_plan_args(w[1], w[2]);
    json_t *file = n == 3 ? json_load_file(w[2], 0, NULL) : NULL;
    if (file && strcmp(w[0], "move") == 0)
        return json_pack("{s:s,s:s,s:o}", "kind", "move", "group", w[1], "instances", file);
    if (file && strcmp(w[0], "replace") == 0)
        return json_pack("{s:s,s:s,s:o}", "kind", "replace", "old", w[1], "new", file);
    json_decref(file);
    return NULL;
}

static void make_id(char *out, size_t cap)
{
    unsigned char raw[8];
    randombytes_buf(raw, sizeof(raw));
    sodium_bin2hex(out, cap, raw, sizeof(raw));
}

static int confirm(const struct ctl *c, const json_t *plan)
{
    char id[32], *body;
    make_id(id, sizeof(id));
    const char *who = c->who ? c->who : getenv("USER");
    json_t *o = json_pack("{s:s,s:s}", "id", c->id ? c->id : id, "who", who ? who : "operator");
    json_object_set(o, "args", json_object_get(plan, "args"));
    json_object_set(o, "digest", json_object_get(plan, "digest"));
    json_object_set(o, "number", json_object_get(plan, "number"));
    body = json_dumps(o, JSON_COMPACT);
    json_t *a = NULL;
    int status = ctl_request_any(c, true, "POST", "/v1/confirm", body, &a, NULL, NULL);
    free(body);
    if (status == 0 || status == 504)
        fprintf(stderr, "ferryctl: the id was %s\n", c->id ? c->id : id);
    json_decref(o);
    if (status != 200)
        return show_error(status, a);
    if (c->json)
        print_json(a);
    else
        show_intent(a);
    json_decref(a);
    return EX_GOOD;
}

static int plan(const struct ctl *c, int first_arg, bool may_confirm)
{
    json_t *args = plan_args(c, first_arg);
    if (!args)
        return usage_error("wrong arguments, or the file is not valid JSON");
    char *body = json_dumps(args, JSON_COMPACT);
    json_t *p = NULL;
    int status = ctl_request_any(c, true, "POST", "/v1/plan", body, &p, NULL, NULL);
    free(body);
    json_decref(args);
    if (status != 200)
        return show_error(status, p);
    if (c->json)
        print_json(p);
    else
        show_plan(p);
    if (c->plan_file && json_dump_file(p, c->plan_file, JSON_INDENT(2)) != 0)
        return usage_error("cannot write the plan to the --output file");
    int rc = EX_GOOD;
    if (may_confirm && c->yes)
        rc = confirm(c, p);
    else if (!c->json)
        printf("nothing has been done; --output FILE and `ferryctl confirm FILE` do it, or "
               "--yes\n");
    json_decref(p);
    return rc;
}

static int confirm_file(const struct ctl *c, const char *path)
{
    json_t *p = json_load_file(path, 0, NULL);
    if (!p)
        return usage_error("cannot read the plan file as JSON");
    int rc = confirm(c, p);
    json_decref(p);
    return rc;
}

static int run(const struct ctl *c)
{
    const char *cmd = c->args[0];
    if (strcmp(cmd, "status") == 0)
        return show_page(c, "/v1/status", show_status);
    if (strcmp(cmd, "members") == 0)
        return show_page(c, "/v1/members", show_members);
    if (strcmp(cmd, "nodes") == 0)
        return ctl_nodes(c);
    if (strcmp(cmd, "accounts") == 0 && c->n_args <= 2)
        return ctl_accounts(c);
    if (strcmp(cmd, "metrics") == 0)
        return show_metrics(c);
    if (strcmp(cmd, "timeline") == 0)
        return ctl_timeline(c);
    if (strcmp(cmd, "explain") == 0 && c->n_args > 2)
        return ctl_explain(c);
    if (strcmp(cmd, "worth") == 0 && c->n_args > 1)
        return ctl_worth(c);
    if (strcmp(cmd, "intent") == 0 && c->n_args == 2)
        return show_intent_by_id(c, c->args[1]);
    if (strcmp(cmd, "confirm") == 0 && c->n_args == 2)
        return confirm_file(c, c->args[1]);
    if (strcmp(cmd, "plan") == 0 && c->n_args > 1)
        return plan(c, 1, false);
    static const char *const intents[] = {"drain", "undrain", "rule", "move", "replace"};
    for (size_t i = 0; i < sizeof(intents) / sizeof(intents[0]); i++) {
        if (strcmp(cmd, intents[i]) == 0)
            return plan(c, 0, true);
    }
    return usage_error("unknown command or wrong arguments");
}

int main(int argc, char **argv)
{
    static struct ctl c;
    struct argp argp = {options, parse, "COMMAND [ARGS...]", doc, NULL, NULL, NULL};
    argp_err_exit_status = EX_USAGE_;
    if (sodium_init() < 0)
        return EX_UNREACHED;
    if (getenv("FERRY_CONTROL"))
        parse_control_list(&c, getenv("FERRY_CONTROL"));
    argp_parse(&argp, argc, argv, 0, NULL, &c);
    return run(&c);
}
