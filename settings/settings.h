/* ferryd's settings: one table declares name, type, unit, range, default and help; the checker,
 * --print-config, --help-settings and docs/SETTINGS.md come from it. */
#ifndef FL_SETTINGS_SETTINGS_H
#define FL_SETTINGS_SETTINGS_H

#include <jansson.h>

#include "misc/err.h"
#include "misc/str.h"

/* A planned stop takes at most ST_STOP_PERCENT of the time until the process is killed. */
enum { ST_MAX_PEERS = 9, ST_TEXT_BYTES = 128, ST_STOP_PERCENT = 90 };

struct st_peer {
    char name[32];
    char ip[46];
    int port;
    char domain[32];
};

/* An address given as "ip:port"; port 0: none is given. */
struct st_addr {
    char ip[46];
    int port;
};

struct st_settings {
    char cluster[64], secret[ST_TEXT_BYTES], secret_file[256];
    char name[32], domain[32];
    int link_kbps, core_permille; /* of the VM; 0: not told */
    bool entry, control;
    char entry_ip[46];
    int entry_port;
    int max_callers, max_outstanding;
    char control_ip[46];
    int control_port, ops_port;
    char data[256];
    char platform_ip[46];
    int platform_port;
    int n_voters;
    struct st_peer voters[ST_MAX_PEERS];
    struct st_addr entry_addr, ops_addr; /* in place of ip and port, where given */
    struct st_addr sessions;             /* callers' sessions by lines */
    struct st_addr promotions;           /* where changes of primary are ordered */
    int grace_ms; /* from the order to stop until the process is killed; 0 not known */
    int n_seeds;
    struct st_addr seeds[ST_MAX_PEERS]; /* operators' addresses of some control nodes */
    bool observer;  /* role control without a data folder: only says who leads */
    bool registers; /* instances register themselves, operators send whole documents */
    bool bootstrap;
    int tolerates;  /* control nodes that may be lost at once */
    json_t *groups; /* bootstrap list; owned */
    int lease_ms, election_ms, heartbeat_ms, probe_ms, silence_ms, check_ms;
    int hold_ms, hand_ms, attempt_ms;
    int read_wait_ms, park_ms, queue, target_ms, resend_window_s, txn_idle_ms, stop_ms;
    int holders; /* entry nodes that hold a group's connections; 0 all */
    int limit_window_ms, limit_overrun_permille, limit_slack; /* of client accounts */
    int retry_permille, snapshot_entries, conn_reserve, probe_rate;
    /* Mechanisms switched off, so that a test can be seen failing; never otherwise. */
    bool off_tokens, off_copies, off_terms, off_once, off_best;
    bool off_own_id, off_pinning, off_not_run, off_finish;
    /* What the endpoints can: the driver's capabilities, less those set to false. */
    bool fence, minpos, claims, pushes;
    bool primary_only;   /* baseline: no read goes to a replica */
    bool lease_failover; /* baseline: wait for leases before promoting */
    bool first_come;     /* baseline: plain first-come queue */
    char log_level[ST_TEXT_BYTES];
    bool log_json;
};

/* Read and check. The error names file, key path, value and what was expected. */
bool st_load(const char *path, struct st_settings *s, struct er_err *err);
/* The same for text that is read already; `name` stands for the file. */
bool st_parse(const char *text, size_t len, const char *name, struct st_settings *s,
              struct er_err *err);
void st_free(struct st_settings *s);
/* The settings in force, defaults included, secrets hidden. */
json_t *st_json(const struct st_settings *s);
/* The reference page, Markdown. */
void st_reference(struct sr_buf *out);

#endif
