/* Settings of ferryd, read from a JSON file. One table (table.c) declares the name, type, unit,
 * range, default and help text of each; validation, --print-config, --help-settings and
 * docs/SETTINGS.md are derived from the table. ferryd loads the settings; the entry and control
 * roles read struct st_settings. */
#ifndef FL_SETTINGS_SETTINGS_H
#define FL_SETTINGS_SETTINGS_H

#include <jansson.h>

#include "misc/err.h"
#include "misc/str.h"

/* ST_STOP_PERCENT: a planned stop takes at most this part of the time from the signal until the
 * process is killed. */
enum { ST_MAX_PEERS = 9, ST_TEXT_BYTES = 128, ST_STOP_PERCENT = 90 };

/* A control node as listed in control.voters. */
struct st_peer {
    char name[32];
    char ip[46];
    int port;
    char domain[32];
};

/* An address given as "ip:port". Port 0: not given. */
struct st_addr {
    char ip[46];
    int port;
};

struct st_settings {
    char cluster[64], secret[ST_TEXT_BYTES], secret_file[256];
    char name[32], domain[32];
    int link_kbps, core_permille; /* capacity of the VM; 0: unknown */
    bool entry, control;
    char entry_ip[46];
    int entry_port;
    int max_callers, max_http, max_outstanding, max_ahead;
    int memory_mb; /* of the VM; 0: the host's */
    char control_ip[46];
    int control_port, ops_port;
    char data[256];
    char platform_ip[46];
    int platform_port;
    int n_voters;
    struct st_peer voters[ST_MAX_PEERS];
    struct st_addr entry_addr, ops_addr; /* if given, replace ip and port */
    struct st_addr sessions;   /* address for callers' sessions in the line protocol */
    struct st_addr promotions; /* receives the requests for changes of primary */
    int grace_ms;              /* from SIGTERM until the process is killed; 0: unknown */
    int n_seeds;
    struct st_addr seeds[ST_MAX_PEERS]; /* operations addresses of some control nodes */
    bool observer;  /* role control without a data folder: only redirects to the leader */
    bool registers; /* instances register themselves, operators send configuration documents */
    bool bootstrap;
    int tolerates;  /* number of control nodes that may fail at the same time */
    json_t *groups; /* database groups that the first leader creates; owned */
    int lease_ms, election_ms, heartbeat_ms, probe_ms, silence_ms, check_ms;
    int hold_ms, hand_ms, attempt_ms;
    int read_wait_ms, park_ms, queue, target_ms, resend_window_s, txn_idle_ms, stop_ms;
    int holders; /* entry nodes that hold connections to a group; 0: all */
    int limit_window_ms, limit_overrun_permille, limit_slack; /* limits of client accounts */
    int retry_permille, snapshot_entries, conn_reserve, probe_rate;
    /* Disable a mechanism, only to show that a test fails without the mechanism. */
    bool off_tokens, off_copies, off_terms, off_once, off_best;
    bool off_own_id, off_pinning, off_not_run, off_finish;
    /* Capabilities of the endpoints: those of the driver, except the ones set to false. */
    bool fence, minpos, claims, pushes;
    bool primary_only;   /* baseline: no reads at replicas */
    bool lease_failover; /* baseline: wait for leases before promoting */
    bool first_come;     /* baseline: queue in order of arrival, without limiter */
    char log_level[ST_TEXT_BYTES];
    bool log_json;
};

/* Reads and validates a settings file. The error names the file, the key path, the value and
 * what was expected. */
bool st_load(const char *path, struct st_settings *s, struct er_err *err);
/* Like st_load for text in memory; errors give `name` as the file. */
bool st_parse(const char *text, size_t len, const char *name, struct st_settings *s,
              struct er_err *err);
void st_free(struct st_settings *s);
/* Returns the settings in force as JSON, including defaults, with secrets hidden. */
json_t *st_json(const struct st_settings *s);
/* Appends the reference of all settings (docs/SETTINGS.md) in Markdown. */
void st_reference(struct sr_buf *out);

#endif
