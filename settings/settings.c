/* Parsing, validation and printing of the settings. */
#include "settings/settings.h"

#include "settings/table.h"

#include <arpa/inet.h>
#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const type_names[] = {"text",  "IP number", "whole number", "true or false",
                                         "roles", "list",      "list",         "ip:port",
                                         "list",  "number"};

struct parse_context {
    const char *file;
    struct er_err *err;
};

static bool reject_value(const struct parse_context *c, const char *key, const json_t *v,
                         const char *expected)
{
    char *text = v ? json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
    er_set(c->err, ER_CONFIG, "%s: %s: %.60s, expected %s", c->file, key,
           text ? text : "missing", expected);
    free(text);
    return false;
}

static void *field_ptr(struct st_settings *s, const struct st_option *o)
{
    return (char *)s + o->offset;
}

/* ---- setting one value ---- */

static bool set_text(const struct parse_context *c, const struct st_option *o, void *f,
                     const json_t *v)
{
    char expected[64];
    size_t n = json_string_length(v);
    snprintf(expected, sizeof(expected), "text of %ld to %ld bytes", o->lo, o->hi);
    if (!json_is_string(v) || n < (size_t)o->lo || n > (size_t)o->hi)
        return reject_value(c, o->key, v, expected);
    sr_copy(f, o->size, (struct sr_str){json_string_value(v), n});
    return true;
}

static bool set_ip(const struct parse_context *c, const char *key, char *f, size_t cap,
                   const json_t *v)
{
    struct in6_addr a;
    const char *s = json_string_value(v);
    if (!s || (inet_pton(AF_INET, s, &a) != 1 && inet_pton(AF_INET6, s, &a) != 1))
        return reject_value(c, key, v, "an IP number");
    return sr_copy(f, cap, sr_from(s));
}

static bool set_int(const struct parse_context *c, const struct st_option *o, void *f,
                    const json_t *v)
{
    char expected[64];
    snprintf(expected, sizeof(expected), "a whole number %ld..%ld", o->lo, o->hi);
    if (!json_is_integer(v) || json_integer_value(v) < o->lo || json_integer_value(v) > o->hi)
        return reject_value(c, o->key, v, expected);
    *(int *)f = (int)json_integer_value(v);
    return true;
}

static bool set_roles(const struct parse_context *c, const struct st_option *o,
                      struct st_settings *s, const json_t *v)
{
    size_t i;
    json_t *x;
    json_array_foreach(v, i, x)
    {
        const char *t = json_string_value(x);
        if (t && strcmp(t, "entry") == 0)
            s->entry = true;
        else if (t && strcmp(t, "control") == 0)
            s->control = true;
        else
            return reject_value(c, o->key, x, "\"entry\" or \"control\"");
    }
    if (!s->entry && !s->control)
        return reject_value(c, o->key, v, "a list of \"entry\" and \"control\"");
    return true;
}

static bool set_peer(const struct parse_context *c, const char *key, struct st_peer *p,
                     const json_t *v)
{
    const char *name = json_string_value(json_object_get(v, "name"));
    const char *domain = json_string_value(json_object_get(v, "domain"));
    const json_t *port = json_object_get(v, "port");
    if (!name || !name[0] || !sr_copy(p->name, sizeof(p->name), sr_from(name)))
        return reject_value(c, key, v, "a name of 1 to 31 bytes");
    if (!set_ip(c, key, p->ip, sizeof(p->ip), json_object_get(v, "ip")))
        return false;
    if (json_integer_value(port) < 1 || json_integer_value(port) > 65535)
        return reject_value(c, key, port, "a port 1..65535");
    p->port = (int)json_integer_value(port);
    if (!sr_copy(p->domain, sizeof(p->domain), sr_from(domain ? domain : "")))
        return reject_value(c, key, v, "a domain of up to 31 bytes");
    return true;
}

static bool set_peers(const struct parse_context *c, const struct st_option *o,
                      struct st_settings *s, const json_t *v)
{
    if (!json_is_array(v) || json_array_size(v) > ST_MAX_PEERS)
        return reject_value(c, o->key, v, "a list of at most 9 control nodes");
    s->n_voters = 0;
    for (size_t i = 0; i < json_array_size(v); i++) {
        char key[64];
        snprintf(key, sizeof(key), "%s[%zu]", o->key, i);
        struct st_peer *p = &s->voters[s->n_voters++];
        if (!set_peer(c, key, p, json_array_get(v, i)))
            return false;
        for (int k = 0; k < s->n_voters - 1; k++) {
            if (strcmp(s->voters[k].name, p->name) == 0)
                return reject_value(c, key, json_array_get(v, i), "a name not used before");
        }
    }
    return true;
}

/* Reads "ip:port"; "" leaves the address empty. */
static bool set_addr(const struct parse_context *c, const char *key, struct st_addr *a,
                     const json_t *v)
{
    const char *s = json_string_value(v), *colon = s ? strrchr(s, ':') : NULL;
    struct in_addr in;
    char *end;
    *a = (struct st_addr){0};
    if (s && !s[0])
        return true;
    if (!colon || !sr_copy(a->ip, sizeof(a->ip), (struct sr_str){s, (size_t)(colon - s)}))
        return reject_value(c, key, v, "ip:port");
    long port = strtol(colon + 1, &end, 10);
    if (inet_pton(AF_INET, a->ip, &in) != 1 || *end || port < 1 || port > 65535)
        return reject_value(c, key, v, "ip:port");
    a->port = (int)port;
    return true;
}

static bool set_addrs(const struct parse_context *c, const struct st_option *o,
                      struct st_settings *s, const json_t *v)
{
    if (!json_is_array(v) || json_array_size(v) > ST_MAX_PEERS)
        return reject_value(c, o->key, v, "a list of at most 9 addresses");
    s->n_seeds = 0;
    for (size_t i = 0; i < json_array_size(v); i++) {
        if (!set_addr(c, o->key, &s->seeds[s->n_seeds++], json_array_get(v, i)))
            return false;
    }
    return true;
}

/* Reads a number that may have a fraction and stores it in whole thousandths, for example
 * seconds as milliseconds. */
static bool set_milli(const struct parse_context *c, const struct st_option *o, void *f,
                      const json_t *v)
{
    char expected[64];
    double x = json_number_value(v);
    snprintf(expected, sizeof(expected), "a number %ld..%ld", o->lo, o->hi);
    if (!json_is_number(v) || x < (double)o->lo || x > (double)o->hi)
        return reject_value(c, o->key, v, expected);
    *(int *)f = (int)lround(x * 1000);
    return true;
}

static bool set_value(const struct parse_context *c, const struct st_option *o,
                      struct st_settings *s, const json_t *v)
{
    void *f = field_ptr(s, o);
    switch (o->type) {
    case T_TEXT:
        return set_text(c, o, f, v);
    case T_IP:
        return set_ip(c, o->key, f, o->size, v);
    case T_INT:
        return set_int(c, o, f, v);
    case T_FLAG:
        if (!json_is_boolean(v))
            return reject_value(c, o->key, v, "true or false");
        *(bool *)f = json_is_true(v);
        return true;
    case T_ROLES:
        return set_roles(c, o, s, v);
    case T_PEERS:
        return set_peers(c, o, s, v);
    case T_GROUPS:
        if (!json_is_array(v))
            return reject_value(c, o->key, v, "a list of groups");
        json_decref(s->groups);
        s->groups = json_deep_copy(v);
        return true;
    case T_ADDR:
        return set_addr(c, o->key, f, v);
    case T_ADDRS:
        return set_addrs(c, o, s, v);
    case T_MILLI:
        return set_milli(c, o, f, v);
    }
    return false;
}

/* ---- reading the file ---- */

static const json_t *lookup(const json_t *root, const char *key)
{
    const char *dot = strchr(key, '.');
    if (!dot)
        return json_object_get(root, key);
    char head[32];
    snprintf(head, sizeof(head), "%.*s", (int)(dot - key), key);
    return json_object_get(json_object_get(root, head), dot + 1);
}

static const struct st_option *find_option(const char *key)
{
    for (int i = 0; i < st_n_options; i++) {
        if (strcmp(st_table[i].key, key) == 0)
            return &st_table[i];
    }
    return NULL;
}

static bool is_section(const char *key)
{
    size_t n = strlen(key);
    for (int i = 0; i < st_n_options; i++) {
        if (strncmp(st_table[i].key, key, n) == 0 && st_table[i].key[n] == '.')
            return true;
    }
    return false;
}

static bool check_known(const struct parse_context *c, const json_t *root)
{
    const char *k, *k2;
    json_t *v, *v2;
    json_object_foreach((json_t *)root, k, v)
    {
        if (find_option(k))
            continue;
        if (!is_section(k) || !json_is_object(v))
            return reject_value(c, k, v, "a known key (see docs/SETTINGS.md)");
        json_object_foreach(v, k2, v2)
        {
            char key[96];
            snprintf(key, sizeof(key), "%s.%s", k, k2);
            if (!find_option(key))
                return reject_value(c, key, v2, "a known key (see docs/SETTINGS.md)");
        }
    }
    return true;
}

static bool reject_setting(const struct parse_context *c, const char *key, const char *text)
{
    return er_set(c->err, ER_CONFIG, "%s: %s: %s", c->file, key, text);
}

static bool check_combinations(const struct parse_context *c, const struct st_settings *s)
{
    if (s->n_voters < 1)
        return reject_setting(c, "control.voters",
                              "the list is empty, expected at least one control node");
    if (s->control && !s->data[0])
        return reject_setting(c, "control.data", "missing, expected with role control");
    if (s->control && s->ops_port == s->control_port && s->control_ip[0])
        return reject_setting(c, "control.ops_port", "equals control.port");
    if (s->entry && !s->secret[0] && !s->sessions.port && !s->observer)
        return reject_setting(c, "secret", "missing, expected with role entry");
    if (s->lease_ms < 4 * s->election_ms)
        return reject_setting(c, "control.lease_ms",
                              "expected at least 4 times control.election_ms, so that callers "
                              "do not notice an election");
    if (s->election_ms < 3 * s->heartbeat_ms)
        return reject_setting(c, "control.election_ms",
                              "expected at least 3 times control.heartbeat_ms");
    if (s->silence_ms < 2 * s->probe_ms)
        return reject_setting(c, "control.silence_ms", "expected at least 2 probes");
    return true;
}

static bool read_secret(const struct parse_context *c, struct st_settings *s)
{
    if (!s->secret_file[0])
        return true;
    if (s->secret[0])
        return reject_setting(c, "secret_file", "given together with secret");
    FILE *f = fopen(s->secret_file, "r");
    if (!f || !fgets(s->secret, sizeof(s->secret), f)) {
        if (f)
            fclose(f);
        return reject_setting(c, "secret_file", "can't be read");
    }
    fclose(f);
    s->secret[strcspn(s->secret, "\n")] = 0;
    return true;
}

static void override_addr(const struct st_addr *a, char *ip, size_t cap, int *port)
{
    if (!a->port)
        return;
    sr_copy(ip, cap, sr_from(a->ip));
    *port = a->port;
}

/* Sets what follows from other settings. Addresses replace ip and port, and the seeds replace
 * the list of control nodes. A seed gives no name and no port for other processes, so the node
 * is named after its IP number, and control.port must be the same on all control nodes. */
static void apply_derived(struct st_settings *s)
{
    override_addr(&s->entry_addr, s->entry_ip, sizeof(s->entry_ip), &s->entry_port);
    override_addr(&s->ops_addr, s->control_ip, sizeof(s->control_ip), &s->ops_port);
    for (int i = 0; i < s->n_seeds; i++) {
        struct st_peer *p = &s->voters[i];
        *p = (struct st_peer){.port = s->control_port};
        sr_copy(p->name, sizeof(p->name), sr_from(s->seeds[i].ip));
        sr_copy(p->ip, sizeof(p->ip), sr_from(s->seeds[i].ip));
    }
    if (s->n_seeds)
        s->n_voters = s->n_seeds;
    s->observer = s->registers && s->control && !s->entry && !s->data[0];
    if (s->observer) {
        s->control = false;
        s->entry = true;
        override_addr(&s->ops_addr, s->entry_ip, sizeof(s->entry_ip), &s->entry_port);
    }
    if (s->grace_ms)
        s->stop_ms = s->grace_ms * ST_STOP_PERCENT / 100;
}

static bool apply_all(const struct parse_context *c, const json_t *root, struct st_settings *s)
{
    for (int i = 0; i < st_n_options; i++) {
        const struct st_option *o = &st_table[i];
        const json_t *v = lookup(root, o->key);
        if (!v && !o->def)
            return reject_value(c, o->key, NULL, type_names[o->type]);
        json_t *def = v ? NULL : json_loads(o->def, JSON_DECODE_ANY, NULL);
        bool ok = set_value(c, o, s, v ? v : def);
        json_decref(def);
        if (!ok)
            return false;
    }
    apply_derived(s);
    return true;
}

bool st_parse(const char *text, size_t len, const char *name, struct st_settings *s,
              struct er_err *err)
{
    struct parse_context c = {name, err};
    json_error_t je;
    memset(s, 0, sizeof(*s));
    json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &je);
    if (!root)
        return er_set(err, ER_CONFIG, "%s:%d:%d: %s", name, je.line, je.column, je.text);
    bool ok = json_is_object(root) ? check_known(&c, root) && apply_all(&c, root, s) &&
                                         read_secret(&c, s) && check_combinations(&c, s)
                                   : reject_value(&c, "(file)", root, "an object");
    json_decref(root);
    if (!ok)
        st_free(s);
    return ok;
}

bool st_load(const char *path, struct st_settings *s, struct er_err *err)
{
    struct sr_buf b = {0};
    char buf[4096];
    size_t n;
    memset(s, 0, sizeof(*s));
    FILE *f = fopen(path, "r");
    if (!f)
        return er_set(err, ER_CONFIG, "%s: can't be opened", path);
    while ((n = fread(buf, 1, sizeof(buf), f)) > 0)
        sr_buf_add(&b, buf, n);
    fclose(f);
    bool ok = st_parse(b.p ? b.p : "", b.len, path, s, err);
    sr_buf_free(&b);
    return ok;
}

void st_free(struct st_settings *s)
{
    json_decref(s->groups);
    s->groups = NULL;
}

/* ---- printing ---- */

static json_t *peers_json(const struct st_settings *s)
{
    json_t *a = json_array();
    for (int i = 0; i < s->n_voters; i++)
        json_array_append_new(a, json_pack("{s:s,s:s,s:i,s:s}", "name", s->voters[i].name, "ip",
                                           s->voters[i].ip, "port", s->voters[i].port, "domain",
                                           s->voters[i].domain));
    return a;
}

static json_t *addr_json(const struct st_addr *a)
{
    return a->port ? json_sprintf("%s:%d", a->ip, a->port) : json_string("");
}

static json_t *value_json(const struct st_settings *s, const struct st_option *o)
{
    const void *f = (const char *)s + o->offset;
    switch (o->type) {
    case T_TEXT:
    case T_IP:
        if (strcmp(o->key, "secret") == 0 && s->secret[0])
            return json_string("(hidden)");
        return json_string(f);
    case T_INT:
        return json_integer(*(const int *)f);
    case T_FLAG:
        return json_boolean(*(const bool *)f);
    case T_ROLES: {
        json_t *a = json_array();
        if (s->entry)
            json_array_append_new(a, json_string("entry"));
        if (s->control)
            json_array_append_new(a, json_string("control"));
        return a;
    }
    case T_PEERS:
        return peers_json(s);
    case T_GROUPS:
        return json_deep_copy(s->groups);
    case T_ADDR:
        return addr_json(f);
    case T_MILLI:
        return json_real(*(const int *)f / 1000.0);
    case T_ADDRS: {
        json_t *a = json_array();
        for (int i = 0; i < s->n_seeds; i++)
            json_array_append_new(a, addr_json(&s->seeds[i]));
        return a;
    }
    }
    return json_null();
}

json_t *st_json(const struct st_settings *s)
{
    json_t *root = json_object();
    for (int i = 0; i < st_n_options; i++) {
        const char *dot = strchr(st_table[i].key, '.');
        json_t *section = root;
        const char *key = st_table[i].key;
        if (dot) {
            char head[32];
            snprintf(head, sizeof(head), "%.*s", (int)(dot - key), key);
            section = json_object_get(root, head);
            if (!section) {
                json_object_set_new(root, head, json_object());
                section = json_object_get(root, head);
            }
            key = dot + 1;
        }
        json_object_set_new(section, key, value_json(s, &st_table[i]));
    }
    return root;
}

void st_reference(struct sr_buf *out)
{
    sr_buf_printf(out, "# Settings of ferryd\n\nGenerated from the option table in "
                       "settings/table.c by `ferryd --help-settings`.\n\n"
                       "| key | type | range | unit | default | description |\n"
                       "| --- | --- | --- | --- | --- | --- |\n");
    for (int i = 0; i < st_n_options; i++) {
        const struct st_option *o = &st_table[i];
        char range[48] = "";
        if (o->type == T_INT || o->type == T_MILLI)
            snprintf(range, sizeof(range), "%ld to %ld", o->lo, o->hi);
        else if (o->type == T_TEXT)
            snprintf(range, sizeof(range), "%ld to %ld bytes", o->lo, o->hi);
        sr_buf_printf(out, "| `%s` | %s | %s | %s | %s | %s |\n", o->key, type_names[o->type],
                      range, o->unit, o->def ? o->def : "required", o->help);
    }
}
