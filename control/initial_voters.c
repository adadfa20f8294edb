/* The initial voters of a cluster, stored in the file `founders` of the data folder when the
 * cluster is created: the settings may list other nodes by the time an initial voter restarts
 * with an empty log. */
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include "control/control.h"

enum { MAX_PATH_BYTES = 320, MAX_TEXT_BYTES = 8192 };

static bool disk_error(const char *path, struct er_err *err)
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

static bool parse_members(const char *text, struct qr_members *m, const char *path,
                          struct er_err *err)
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

/* Writes a temporary file, syncs it, renames it and syncs the folder, so that the file exists
 * completely or not at all. */
static bool write_file(const char *dir, const char *path, const char *text, struct er_err *err)
{
    char tmp[MAX_PATH_BYTES + 8];
    snprintf(tmp, sizeof(tmp), "%s.new", path);
    int fd = open(tmp, O_WRONLY | O_CREAT | O_TRUNC, 0600);
    if (fd < 0)
        return disk_error(tmp, err);
    size_t len = strlen(text);
    bool ok = write(fd, text, len) == (ssize_t)len && fsync(fd) == 0;
    ok = close(fd) == 0 && ok;
    if (!ok || rename(tmp, path) != 0)
        return disk_error(path, err);
    fd = open(dir, O_RDONLY | O_DIRECTORY);
    if (fd < 0)
        return disk_error(dir, err);
    ok = fsync(fd) == 0;
    close(fd);
    return ok || disk_error(dir, err);
}

bool ct_initial_voters(struct ct_node *n, bool create, struct qr_members *m, struct er_err *err)
{
    char path[MAX_PATH_BYTES], text[MAX_TEXT_BYTES];
    snprintf(path, sizeof(path), "%s/founders", n->s->data);
    if (create) {
        char *s = members_text(m);
        bool ok = write_file(n->s->data, path, s, err);
        free(s);
        return ok;
    }
    int fd = open(path, O_RDONLY);
    if (fd < 0 && errno == ENOENT)
        return true; /* the node lost power during its first start; the other voters know it */
    if (fd < 0)
        return disk_error(path, err);
    ssize_t len = read(fd, text, sizeof(text) - 1);
    close(fd);
    if (len < 0)
        return disk_error(path, err);
    text[len] = 0;
    return parse_members(text, m, path, err);
}
