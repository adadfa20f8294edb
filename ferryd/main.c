/* ferryd, the daemon: reads the settings, starts the entry role, the control role or both on
 * one event loop, and stops them on a signal. Exit statuses follow sysexits.h. */
#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <sodium.h>

#include "control/control.h"
#include "entry/entry.h"
#include "platform/platform.h"

enum { STATUS_USAGE = 64, STATUS_CONFIG = 78, STATUS_DISK = 74, STATUS_START = 71 };
enum { OPT_CHECK = 1000, OPT_PRINT, OPT_BOOTSTRAP, OPT_REFERENCE };
/* Signals are handled at each poll; the settings file is checked about once a second. */
/* Part of the VM's memory that may be held for connections. The rest is for the process itself,
 * for what has arrived at sockets and is not read, and for copies while a message is handled.
 */
enum { HELD_PERCENT = 25 };
enum { LARGE_BUFFER_BYTES = 64 << 10, TRIM_BYTES = 1 << 20 };
enum { SPARE_FDS = 512, POLL_INTERVAL_US = 20000, POLLS_PER_FILE_CHECK = 50 };

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
    const char *path; /* of the settings file */
    struct timespec settings_mtime;
    unsigned polls;
};

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "settings file, JSON (docs/SETTINGS.md)", 0},
    {"check-config", OPT_CHECK, NULL, 0, "check the settings and exit", 0},
    {"print-config", OPT_PRINT, NULL, 0, "print the settings in force, secrets hidden", 0},
    {"help-settings", OPT_REFERENCE, NULL, 0, "print the reference of all settings", 0},
    {"bootstrap", OPT_BOOTSTRAP, NULL, 0,
     "create a new cluster: only for the very first start of its first voters", 0},
    {0}};

static error_t parse_option(int key, char *arg, struct argp_state *st)
{
    struct args *a = st->input;
    switch (key) {
    case 'c':
        a->config = arg;
        return 0;
    case OPT_CHECK:
        a->check = true;
        return 0;
    case OPT_PRINT:
        a->print = true;
        return 0;
    case OPT_REFERENCE:
        a->reference = true;
        return 0;
    case OPT_BOOTSTRAP:
        a->bootstrap = true;
        return 0;
    case ARGP_KEY_END:
        if (!a->config)
            a->config = getenv(PF_SETTINGS_VARIABLE);
        if (!a->config && !a->reference)
            argp_error(
                st, "expected --config FILE or the environment variable " PF_SETTINGS_VARIABLE);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static struct daemon *signaled_daemon; /* for on_signal, which has no argument for it */

static void stop_loop_if_done(struct daemon *d)
{
    if (d->entry_done && d->control_done)
        nt_stop(d->loop);
}

static void control_stopped(void *ud, bool failed)
{
    struct daemon *d = ud;
    d->control_done = true;
    if (failed) {
        d->status = STATUS_DISK;
        d->entry_done = true; /* end the process, so that the disk failure is noticed */
    }
    stop_loop_if_done(d);
}

static void entry_stopped(void *ud)
{
    struct daemon *d = ud;
    d->entry_done = true;
    /* The control role runs until the entry role has finished the requests of its callers. */
    if (d->control && !d->control_done)
        ct_stop(d->control);
    stop_loop_if_done(d);
}

static volatile sig_atomic_t stop_requested, reload_requested;

static void on_signal(int sig)
{
    if (sig == SIGHUP)
        reload_requested = 1;
    else
        stop_requested = 1;
    nt_wake(signaled_daemon->loop);
}

/* ---- reloading the settings ---- */

/* Applies the addresses of control nodes. All other changes take effect at the next start. */
static void reload(struct daemon *d)
{
    struct st_settings new_settings;
    struct er_err err = {0};
    if (!st_load(d->path, &new_settings, &err)) {
        FL_ERR(&d->log, "changed settings are not applied: %s", err.text);
        return;
    }
    memcpy(d->s->voters, new_settings.voters, sizeof(new_settings.voters));
    memcpy(d->s->seeds, new_settings.seeds, sizeof(new_settings.seeds));
    d->s->n_voters = new_settings.n_voters;
    d->s->n_seeds = new_settings.n_seeds;
    st_free(&new_settings);
    if (d->entry)
        en_links_update_seeds(d->entry);
    FL_INFO(&d->log, "settings reloaded: %d control nodes listed", d->s->n_voters);
}

/* Whether the file has changed since the last call. False if stat fails. */
static bool settings_file_changed(struct daemon *d)
{
    struct stat st;
    if (stat(d->path, &st) != 0)
        return false;
    bool same = st.st_mtim.tv_sec == d->settings_mtime.tv_sec &&
                st.st_mtim.tv_nsec == d->settings_mtime.tv_nsec;
    d->settings_mtime = st.st_mtim;
    return !same;
}

static struct nt_timer poll_timer;

/* Handles signals on the thread of the loop, and checks the settings file for changes. */
static void poll_requests(void *ud)
{
    struct daemon *d = ud;
    bool check_file = d->polls++ % POLLS_PER_FILE_CHECK == 0;
    if (reload_requested || (check_file && settings_file_changed(d))) {
        reload_requested = 0;
        reload(d);
    }
    if (!stop_requested) {
        nt_timer_set(d->loop, &poll_timer, POLL_INTERVAL_US, poll_requests, d);
        return;
    }
    FL_INFO(&d->log, "stop requested by a signal");
    if (d->entry)
        en_stop(d->entry, entry_stopped, d);
    else
        ct_stop(d->control);
}

static size_t memory_limit(const struct st_settings *s)
{
    size_t bytes = (size_t)s->memory_mb << 20;
    if (!bytes)
        bytes = (size_t)sysconf(_SC_PHYS_PAGES) * (size_t)sysconf(_SC_PAGESIZE);
    return bytes / 100 * HELD_PERCENT;
}

static int run(struct st_settings *s, const char *path, bool bootstrap)
{
    static struct daemon d = {.log = {"ferryd"}};
    static struct tl_ring tl;
    struct er_err err = {0};
    signaled_daemon = &d;
    d.s = s;
    d.path = path;
    settings_file_changed(&d); /* stores the time of the file that is in force */
    int fds = (s->entry ? s->max_callers + 4096 : CT_MAX_CONNS + VW_MAX_GROUPS * 4) + SPARE_FDS;
    d.loop = nt_loop_create(fds, &err);
    if (d.loop)
        nt_limit_memory(d.loop, memory_limit(s));
    d.entry_done = !s->entry;
    d.control_done = !s->control;
    if (d.loop && s->control)
        d.control = ct_create(d.loop, s, &tl, s->registers ? &pf_control : NULL,
                              bootstrap || s->bootstrap, control_stopped, &d, &err);
    if (d.loop && s->entry && (d.control || !s->control))
        d.entry = en_create(d.loop, s, &tl, s->registers ? &pf_entry : NULL, &err);
    if ((s->control && !d.control) || (s->entry && !d.entry)) {
        FL_FATAL(&d.log, "%s", err.text);
        return err.kind == ER_DISK || err.kind == ER_CORRUPT ? STATUS_DISK : STATUS_START;
    }
    /* A write beyond the file size limit then fails with an error, which is logged. */
    signal(SIGXFSZ, SIG_IGN);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGHUP, on_signal);
    nt_timer_set(d.loop, &poll_timer, POLL_INTERVAL_US, poll_requests, &d);
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
    struct argp argp = {options, parse_option, NULL, "ferrylanding's daemon.",
                        NULL,    NULL,         NULL};
    argp_err_exit_status = STATUS_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &a);
    if (a.reference) {
        print_reference();
        return 0;
    }
    if (sodium_init() < 0)
        return STATUS_START;
    /* Large buffers go back to the system when they are freed. By default the threshold grows,
     * and buffers of connections that were closed would stay with the process. */
    mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
    mallopt(M_TRIM_THRESHOLD, TRIM_BYTES);
    if (!st_load(a.config, &s, &err)) {
        fprintf(stderr, "ferryd: %s\n", err.text);
        return STATUS_CONFIG;
    }
    if (!lg_setup(s.name, s.log_level, s.log_json)) {
        fprintf(stderr,
                "ferryd: %s: log.level: \"%s\", expected a level or module=level list\n",
                a.config, s.log_level);
        return STATUS_CONFIG;
    }
    if (a.print)
        print_config(&s);
    if (a.check && !a.print)
        printf("%s: the settings are valid\n", a.config);
    if (a.check || a.print)
        return 0;
    int status = run(&s, a.config, a.bootstrap);
    st_free(&s);
    return status;
}
