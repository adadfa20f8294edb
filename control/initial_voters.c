/* The first voters of a cluster, as they were when it was made, in a file of the data folder:
 * settings may name others by the time a founder starts again with nothing in its log yet. */
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include "control/control.h"

enum { PATH = 320, TEXT = 8192 };

static bool fail(const char *path, struct er_err *err)
{
    return er_set(err, ER_DISK, "%s: %s", path, strerror(errno));
}

static char *members_text(const struct qr_members *m)
{
    json_t *a = json_array();
    for (uint32_t i = 0; i < m->n; i++)
        json_array_append_new(a, json_pack("{s:I,s:s,s:s,s:i}", "id", (json_int_t)m->m[i].id,
                                           "name", m->m[i].name, "ip", m->m[i].ip, "port",
                                           m->m[i].port));
    char *text = json_dumps(a, JSON_COMPACT);
    json_decref(a);
    return text;
}

static bool parse(const char *text, struct qr_members *m, const char *path, struct er_err *err)
{
    json_t *a = json_loads(text, 0, NULL);
    size_t i;
    json_t *x;
    *m = (struct qr_members){0};
    json_array_foreach(a, i, x)
    {
        const char *name = json_string_value(json_object_get(x, "name"));
        const char *ip = json_string_value(json_object_get(x, "ip"));
        if (!name || !ip || m->n == QR_MAX_MEMBERS)
            break;
        struct qr_member *to = &m->m[m->n++];
        to->id = (uint64_t)json_integer_value(json_object_get(x, "id"));
        to->port = (int)json_integer_value(json_object_get(x, "port"));
        to->voter = true;
        sr_copy(to->name, sizeof(to->name), sr_from(name));
        sr_copy(to->ip, sizeof(to->ip), sr_from(ip));
    }
    bool ok = m->n > 0 && m->n == json_array_size(a);
    json_decref(a);
    return ok || er_set(err, ER_CORRUPT, "%s: expected a list of members", path);
}

/* Written beside, synced, renamed, and the folder synced: it is there whole or not at all. */
static bool write_file(const char *dir, const char *path, const char *text, struct er_err *err)
{
    char tmp[PATH + 8];
    snprintf(tmp, sizeof(tmp), "%s.new", path);
    int fd = open(tmp, O_WRONLY | O_CREAT | O_TRUNC, 0600);
    if (fd < 0)
        return fail(tmp, err);
    size_t len = strlen(text);
    bool ok = write(fd, text, len) == (ssize_t)len && fsync(fd) == 0;
    ok = close(fd) == 0 && ok;
    if (!ok || rename(tmp, path) != 0)
        return fail(path, err);
    fd = open(dir, O_RDONLY | O_DIRECTORY);
    if (fd < 0)
        return fail(dir, err);
    ok = fsync(fd) == 0;
    close(fd);
    return ok || fail(dir, err);
}

bool ct_initial_voters(struct ct_node *n, bool found, struct qr_members *m, struct er_err *err)
{
    char path[PATH], text[TEXT];
    snprintf(path, sizeof(path), "%s/founders", n->s->data);
    if (found) {
        char *s = members_text(m);
        bool ok = write_file(n->s->data, path, s, err);
        free(s);
        return ok;
    }
    int fd = open(path, O_RDONLY);
    if (fd < 0 && errno == ENOENT)
        return true; /* it lost power before its first start was done: the others know it */
    if (fd < 0)
        return fail(path, err);
    ssize_t len = read(fd, text, sizeof(text) - 1);
    close(fd);
    if (len < 0)
        return fail(path, err);
    text[len] = 0;
    return parse(text, m, path, err);
}
