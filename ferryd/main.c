/* ferryd: one daemon; its settings give its roles. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#include <sodium.h>

#include "control/control.h"
#include "entry/entry.h"
#include "platform/platform.h"

enum { EXIT_USAGE_ = 64, EXIT_CONFIG_ = 78, EXIT_DISK_ = 74, EXIT_START_ = 71 };
enum { O_CHECK = 1000, O_PRINT, O_BOOTSTRAP, O_REFERENCE };
enum { FDS_SPARE = 512, LOOK_US = 20000, LOOKS_A_FILE = 50 };

const char *argp_program_version = "ferryd 0.1";

struct args {
    const char *config;
    bool check, print, bootstrap, reference;
};

struct daemon {
    struct lg_log log;
    struct nt_loop *loop;
    struct en_node *entry;
    struct ct_node *control;
    bool entry_done, control_done;
    int status;
    struct st_settings *s;
    const char *path; /* of the settings */
    struct timespec changed;
    unsigned looks;
};

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "settings, JSON (docs/SETTINGS.md)", 0},
    {"check-config", O_CHECK, NULL, 0, "check the settings and exit", 0},
    {"print-config", O_PRINT, NULL, 0, "print the settings in force, secrets hidden", 0},
    {"help-settings", O_REFERENCE, NULL, 0, "print the reference of all settings", 0},
    {"bootstrap", O_BOOTSTRAP, NULL, 0,
     "found a new cluster: only at the very first start of its first voters", 0},
    {0}};

static error_t parse(int key, char *arg, struct argp_state *st)
{
    struct args *a = st->input;
    switch (key) {
    case 'c':
        a->config = arg;
        return 0;
    case O_CHECK:
        a->check = true;
        return 0;
    case O_PRINT:
        a->print = true;
        return 0;
    case O_REFERENCE:
        a->reference = true;
        return 0;
    case O_BOOTSTRAP:
        a->bootstrap = true;
        return 0;
    case ARGP_KEY_END:
        if (!a->config)
            a->config = getenv(PF_SETTINGS_VARIABLE);
        if (!a->config && !a->reference)
            argp_error(st, "--config FILE is needed, or the variable " PF_SETTINGS_VARIABLE);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static struct daemon *the_daemon;

static void maybe_end(struct daemon *d)
{
    if (d->entry_done && d->control_done)
        nt_stop(d->loop);
}

static void control_stopped(void *ud, bool failed)
{
    struct daemon *d = ud;
    d->control_done = true;
    if (failed) {
        d->status = EXIT_DISK_;
        d->entry_done = true; /* a failed disk ends the process: it must be seen */
    }
    maybe_end(d);
}

static void entry_stopped(void *ud)
{
    struct daemon *d = ud;
    d->entry_done = true;
    /* The control role goes on until the entry role has finished its callers. */
    if (d->control && !d->control_done)
        ct_stop(d->control);
    maybe_end(d);
}

static volatile sig_atomic_t asked_to_stop, asked_to_reload;

static void on_signal(int sig)
{
    if (sig == SIGHUP)
        asked_to_reload = 1;
    else
        asked_to_stop = 1;
    nt_wake(the_daemon->loop);
}

/* ---- settings that change while the daemon runs ---- */

/* Where control nodes are is taken over; the rest is used from the next start on. */
static void reload(struct daemon *d)
{
    struct st_settings fresh;
    struct er_err err = {0};
    if (!st_load(d->path, &fresh, &err)) {
        FL_ERR(&d->log, "the changed settings are not taken: %s", err.text);
        return;
    }
    memcpy(d->s->voters, fresh.voters, sizeof(fresh.voters));
    memcpy(d->s->seeds, fresh.seeds, sizeof(fresh.seeds));
    d->s->n_voters = fresh.n_voters;
    d->s->n_seeds = fresh.n_seeds;
    st_free(&fresh);
    if (d->entry)
        en_links_update_seeds(d->entry);
    FL_INFO(&d->log, "settings read again: %d control nodes are named", d->s->n_voters);
}

static bool file_changed(struct daemon *d)
{
    struct stat st;
    if (stat(d->path, &st) != 0)
        return false;
    bool same =
        st.st_mtim.tv_sec == d->changed.tv_sec && st.st_mtim.tv_nsec == d->changed.tv_nsec;
    d->changed = st.st_mtim;
    return !same;
}

/* Looks for the signal on the loop's own thread. */
static struct nt_timer stop_timer;

static void watch_stop(void *ud)
{
    struct daemon *d = ud;
    bool look = d->looks++ % LOOKS_A_FILE == 0;
    if (asked_to_reload || (look && file_changed(d))) {
        asked_to_reload = 0;
        reload(d);
    }
    if (!asked_to_stop) {
        nt_timer_set(d->loop, &stop_timer, LOOK_US, watch_stop, d);
        return;
    }
    FL_INFO(&d->log, "asked to stop");
    if (d->entry)
        en_stop(d->entry, entry_stopped, d);
    else
        ct_stop(d->control);
}

static int run(struct st_settings *s, const char *path, bool bootstrap)
{
    static struct daemon d = {.log = {"ferryd"}};
    static struct tl_ring tl;
    struct er_err err = {0};
    the_daemon = &d;
    d.s = s;
    d.path = path;
    file_changed(&d); /* what it is now is in force */
    int fds = (s->entry ? s->max_callers + 4096 : CT_MAX_CONNS + VW_MAX_GROUPS * 4) + FDS_SPARE;
    d.loop = nt_loop_create(fds, &err);
    d.entry_done = !s->entry;
    d.control_done = !s->control;
    if (d.loop && s->control)
        d.control = ct_create(d.loop, s, &tl, s->registers ? &pf_control : NULL,
                              bootstrap || s->bootstrap, control_stopped, &d, &err);
    if (d.loop && s->entry && (d.control || !s->control))
        d.entry = en_create(d.loop, s, &tl, s->registers ? &pf_entry : NULL, &err);
    if ((s->control && !d.control) || (s->entry && !d.entry)) {
        FL_FATAL(&d.log, "%s", err.text);
        return err.kind == ER_DISK || err.kind == ER_CORRUPT ? EXIT_DISK_ : EXIT_START_;
    }
    signal(SIGXFSZ,
           SIG_IGN); /* a file over its limit is an error of the write, with a message */
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGHUP, on_signal);
    nt_timer_set(d.loop, &stop_timer, LOOK_US, watch_stop, &d);
    FL_INFO(&d.log, "%s runs, roles%s%s", s->name, s->entry ? " entry" : "",
            s->control ? " control" : "");
    nt_run(d.loop);
    if (d.control)
        ct_destroy(d.control);
    FL_INFO(&d.log, "stopped");
    return d.status;
}

static void print_reference(void)
{
    struct sr_buf b = {0};
    st_reference(&b);
    fputs(b.p, stdout);
    sr_buf_free(&b);
}

static void print_config(const struct st_settings *s)
{
    json_t *j = st_json(s);
    json_dumpf(j, stdout, JSON_INDENT(2));
    putchar('\n');
    json_decref(j);
}

int main(int argc, char **argv)
{
    struct args a = {0};
    struct st_settings s;
    struct er_err err = {0};
    struct argp argp = {options, parse, NULL, "ferrylanding's daemon.", NULL, NULL, NULL};
    argp_err_exit_status = EXIT_USAGE_;
    argp_parse(&argp, argc, argv, 0, NULL, &a);
    if (a.reference) {
        print_reference();
        return 0;
    }
    if (sodium_init() < 0)
        return EXIT_START_;
    if (!st_load(a.config, &s, &err)) {
        fprintf(stderr, "ferryd: %s\n", err.text);
        return EXIT_CONFIG_;
    }
    if (!lg_setup(s.name, s.log_level, s.log_json)) {
        fprintf(stderr,
                "ferryd: %s: log.level: \"%s\", expected a level or module=level list\n",
                a.config, s.log_level);
        return EXIT_CONFIG_;
    }
    if (a.print)
        print_config(&s);
    if (a.check && !a.print)
        printf("%s: the settings are good\n", a.config);
    if (a.check || a.print)
        return 0;
    int status = run(&s, a.config, a.bootstrap);
    st_free(&s);
    return status;
}
