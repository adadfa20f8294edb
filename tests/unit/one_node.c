#include "tests/unit/one_node.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "misc/clock.h"
#include "platform/platform.h"
#include "tests/unit/unit.h"

static int free_port(void)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t n = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CU_ASSERT_EQUAL(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    getsockname(fd, (struct sockaddr *)&a, &n);
    close(fd);
    return ntohs(a.sin_port);
}

/* Each port is returned once: two listeners of a loop at one port would share its socket, and
 * the connections of one would reach the other. */
int on_free_port(void)
{
    static bool used[UINT16_MAX + 1];
    int port;
    do
        port = free_port();
    while (used[port]);
    used[port] = true;
    return port;
}

static bool always(void *ud)
{
    (void)ud;
    return true;
}

static void suspect(void *ud, const char *inst, enum wr_health health)
{
    (void)ud;
    (void)inst;
    (void)health;
}

static void stop(void *ud)
{
    nt_stop(ud);
}

void on_hear(struct nt_loop *l)
{
    struct nt_timer t = {0};
    nt_timer_set(l, &t, 1, stop, l);
    nt_run(l);
    nt_timer_cancel(&t);
}

struct px_proxy *on_create(struct nt_loop *l, const char *name, int port, int max_sessions,
                           bool (*leased)(void *ud))
{
    struct er_err err = {0};
    struct px_config cfg = {.name = name,
                            .domain = "z",
                            .ip = "127.0.0.1",
                            .port = port,
                            .max_sessions = max_sessions,
                            .max_ahead = 1,
                            .grace_us = CK_SEC(1),
                            .seed = 1,
                            .codec = &pf_lines,
                            .documents = &pf_documents,
                            .host = {leased ? leased : always, suspect, NULL}};
    struct px_proxy *p = px_create(l, &cfg, &err);
    CU_ASSERT_PTR_NOT_NULL_FATAL(p);
    return p;
}

void on_show_group(struct px_proxy *p, int inst_port, const char *document)
{
    static struct vw_group group;
    struct vw_view view = {.generation = 1, .n = 1, .groups = &group};
    group = (struct vw_group){.name = "g", .term = 1, .n = 1};
    group.inst[0] = (struct vw_instance){.id = "i", .ip = "127.0.0.1", .domain = "z"};
    group.inst[0].port = inst_port;
    view.doc = (struct vw_document){1, strdup(document), strlen(document)};
    px_set_view(p, &view);
    free(view.doc.text);
}

void on_listen(struct nt_loop *l, int port, const struct nt_ops *ops,
               void *(*accept)(struct nt_conn *c, void *ud), void *ud)
{
    struct er_err err = {0};
    struct nt_listen at = {.ip = "127.0.0.1",
                           .port = port,
                           .stream = true,
                           .ops = ops,
                           .accept = accept,
                           .ud = ud};
    CU_ASSERT_PTR_NOT_NULL_FATAL(nt_listen(l, &at, &err));
}

void on_show_two_nodes(struct px_proxy *p, int port)
{
    struct ho_node nodes[2] = {{.name = "n0", .domain = "z", .ip = "127.0.0.1", .port = port},
                               {.name = "n1", .domain = "z", .ip = "127.0.0.1", .port = 1}};
    ho_prepare(nodes, 2);
    px_set_nodes(p, nodes, 2);
}

void on_no_open(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
}

void on_no_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
}

const char *on_success(const char *line)
{
    static const char *const is_signed[] = {" READ ", " WRITE ", " EXECUTE ", " COMMIT"};
    static char text[48];
    static unsigned n;
    bool begins = strstr(line, " BEGIN") || strstr(line, " PREPARE ");
    for (size_t i = 0; !begins && i < sizeof(is_signed) / sizeof(is_signed[0]); i++) {
        if (strstr(line, is_signed[i])) {
            snprintf(text, sizeof(text), "COMPLETE s.%u\r\n", ++n);
            return text;
        }
    }
    return "COMPLETE -\r\n";
}
