/* ferry-load: parses the command line, runs the load and prints the report. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "load/load.h"
#include "misc/str.h"

enum { EXIT_FAULTS = 1, EXIT_USAGE_ = 64, EXIT_UNREACHABLE = 69 };
enum {
    O_AGED = 1000,
    O_AGE,
    O_DEADLINE,
    O_KEYS,
    O_ACCOUNTS,
    O_STAY,
    O_RESEND,
    O_SEED,
    O_JSON,
    O_SVG,
    O_COMPARE,
    O_REQUESTS,
    O_NO_TOKENS
};

const char *argp_program_version = "ferry-load 0.1";

static const struct argp_option options[] = {
    {"entries", 'e', "IP:PORT,...", 0, "entry nodes", 0},
    {"dbs", 'd', "NAME,...", 0, "databases", 0},
    {"sessions", 's', "N", 0, "sessions (100)", 0},
    {"rate", 'r', "N", 0, "operations started per second (500)", 0},
    {"seconds", 't', "N", 0, "duration of the load (10)", 0},
    {"reads", 'R', "SHARE", 0, "share of reads (0.8)", 0},
    {"aged", O_AGED, "SHARE", 0, "share of the reads that accept an age (0.5)", 0},
    {"txns", 'T', "SHARE", 0, "share of transactions (0.05)", 0},
    {"age-ms", O_AGE, "MS", 0, "maximum age accepted by aged reads (500)", 0},
    {"deadline-ms", O_DEADLINE, "MS", 0, "deadline of each request (3000)", 0},
    {"keys", O_KEYS, "N", 0, "keys in a database (200)", 0},
    {"accounts", O_ACCOUNTS, "N", 0, "client accounts (8)", 0},
    {"no-tokens", O_NO_TOKENS, NULL, 0, "sessions send no tokens", 0},
    {"stay", O_STAY, NULL, 0, "sessions stay on one entry node", 0},
    {"resend", O_RESEND, NULL, 0, "resend writes of unknown outcome with the same id", 0},
    {"seed", O_SEED, "N", 0, "seed of the random choices (1)", 0},
    {"json", O_JSON, "FILE", 0, "write the report as JSON", 0},
    {"svg", O_SVG, "FILE", 0, "write the chart as SVG", 0},
    {"compare", O_COMPARE, "IP:PORT", 0,
     "measure reads direct to this instance and through "
     "the first entry node",
     0},
    {"requests", O_REQUESTS, "N", 0, "requests of a comparison (20000)", 0},
    {0}};

/* Calls fn for each comma-separated part. */
static void for_each_item(const char *list, void (*fn)(struct ld_opts *, struct sr_str),
                          struct ld_opts *o)
{
    while (*list) {
        size_t n = strcspn(list, ",");
        fn(o, (struct sr_str){list, n});
        list += n + (list[n] == ',');
    }
}

static void add_entry(struct ld_opts *o, struct sr_str s)
{
    const char *colon = memrchr(s.p, ':', s.len);
    if (!colon || o->n_entries == LD_MAX_ENTRIES)
        return;
    struct ld_addr *a = &o->entries[o->n_entries++];
    sr_copy(a->ip, sizeof(a->ip), (struct sr_str){s.p, (size_t)(colon - s.p)});
    a->port = atoi(colon + 1);
}

static void add_db(struct ld_opts *o, struct sr_str s)
{
    if (o->n_dbs < LD_MAX_DBS && sr_copy(o->dbs[o->n_dbs], sizeof(o->dbs[0]), s))
        o->n_dbs++;
}

static error_t parse(int key, char *arg, struct argp_state *st)
{
    struct ld_opts *o = st->input;
    switch (key) {
    case 'e':
        for_each_item(arg, add_entry, o);
        break;
    case 'd':
        for_each_item(arg, add_db, o);
        break;
    case 's':
        o->sessions = atoi(arg);
        break;
    case 'r':
        o->rate = atof(arg);
        break;
    case 't':
        o->seconds = atof(arg);
        break;
    case 'R':
        o->reads = atof(arg);
        break;
    case 'T':
        o->txns = atof(arg);
        break;
    case O_AGED:
        o->aged = atof(arg);
        break;
    case O_AGE:
        o->age_ms = atoi(arg);
        break;
    case O_DEADLINE:
        o->deadline_ms = atoi(arg);
        break;
    case O_KEYS:
        o->keys = atoi(arg);
        break;
    case O_ACCOUNTS:
        o->accounts = atoi(arg);
        break;
    case O_NO_TOKENS:
        o->no_tokens = true;
        break;
    case O_STAY:
        o->roam = false;
        break;
    case O_RESEND:
        o->resend = true;
        break;
    case O_SEED:
        o->seed = strtoull(arg, NULL, 10);
        break;
    case O_JSON:
        o->json = arg;
        break;
    case O_SVG:
        o->svg = arg;
        break;
    case O_COMPARE:
        o->compare = arg;
        break;
    case O_REQUESTS:
        o->requests = atoi(arg);
        break;
    case ARGP_KEY_END:
        if (!o->n_entries || !o->n_dbs)
            argp_error(st, "--entries and --dbs are needed");
        if (o->sessions < 1 || o->sessions > LD_MAX_SESSIONS || o->rate <= 0 || o->keys < 1 ||
            o->accounts < 1)
            argp_error(st, "sessions 1..%d; rate, keys and accounts above 0", LD_MAX_SESSIONS);
        if (o->compare && !strchr(o->compare, ':'))
            argp_error(st, "--compare: expected IP:PORT");
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int main(int argc, char **argv)
{
    static struct ld_opts o = {.sessions = 100,
                               .accounts = 8,
                               .keys = 200,
                               .rate = 500,
                               .seconds = 10,
                               .reads = 0.8,
                               .aged = 0.5,
                               .txns = 0.05,
                               .age_ms = 500,
                               .deadline_ms = 3000,
                               .roam = true,
                               .seed = 1,
                               .requests = 20000};
    static struct ld_result r;
    struct argp argp = {
        options, parse, NULL, "Load generator and history checker for ferrylanding.",
        NULL,    NULL,  NULL};
    argp_err_exit_status = EXIT_USAGE_;
    argp_parse(&argp, argc, argv, 0, NULL, &o);
    if (o.compare)
        return ld_compare(&o);
    struct er_err err = {0};
    struct hc_check *c = hc_create();
    if (!ld_run(&o, &r, c, &err)) {
        fprintf(stderr, "ferry-load: can't start the load: %s\n", err.text);
        return EXIT_UNREACHABLE;
    }
    ld_table(&o, &r, c);
    if (o.json && !ld_json(&o, &r, c))
        fprintf(stderr, "ferry-load: %s: can't be written\n", o.json);
    if (o.svg && !ld_svg(&o, &r))
        fprintf(stderr, "ferry-load: %s: can't be written\n", o.svg);
    bool failed = ld_faults(c) > 0 || hc_unverified(c) > 0;
    hc_destroy(c);
    return failed ? EXIT_FAULTS : 0;
}
