/* The event loop and its timers: libwebsockets on libuv. */
#include "task/net_priv.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "misc/clock.h"
#include "misc/log.h"

/* Requests whose headers are being received; above the limit of HTTP connections of a listener,
 * as one that waits for a free place would not be read. */
#define HEADER_POOL 2048
/* A timer this late is logged as a stall: half of the message delay that elections and leases
 * allow. */
#define STALL_US 100000
#define MAX_FD_TABLE 131072

static const struct lg_log nlog = {"net"};

struct timer_sul {
    lws_sorted_usec_list_t sul;
    struct nt_loop *l;
    struct nt_timer *t;
};

/* Logs a stall of the loop: a callback took long, or the process was not scheduled. All timers
 * that were due during the stall are late; only the first of them logs it. */
static void note_stall(struct nt_loop *l, int64_t due)
{
    int64_t now = ck_now(), late = now - due;
    if (late < STALL_US || due < l->stalled_until)
        return;
    l->stalled_until = now;
    l->st.stalls++;
    if (late > l->st.longest_stall_us)
        l->st.longest_stall_us = late;
    FL_EVENT(&nlog, LG_INFO, "loop_stalled", "ms=%lld", (long long)(late / 1000));
}

static void timer_fired(lws_sorted_usec_list_t *sul)
{
    struct timer_sul *s = lws_container_of(sul, struct timer_sul, sul);
    struct nt_timer *t = s->t;
    note_stall(s->l, t->due);
    t->due = 0;
    t->fn(t->ud);
}

void nt_timer_set(struct nt_loop *l, struct nt_timer *t, int64_t us, void (*fn)(void *),
                  void *ud)
{
    struct timer_sul *s = t->sul;
    if (!s) {
        s = sr_alloc(sizeof(*s));
        s->l = l;
        s->t = t;
        t->sul = s;
    }
    t->fn = fn;
    t->ud = ud;
    t->due = ck_now() + us;
    lws_sul_schedule(l->ctx, 0, &s->sul, timer_fired, us > 0 ? us : 1);
}

void nt_timer_cancel(struct nt_timer *t)
{
    struct timer_sul *s = t->sul;
    if (!s)
        return;
    lws_sul_cancel(&s->sul);
    free(s);
    t->sul = NULL;
    t->due = 0;
}

static void lws_log(int level, const char *line)
{
    FL_DBG(&nlog, "lws %d: %.*s", level, (int)strcspn(line, "\n"), line);
}

/* Size of the socket table in lws. With 0 the table is indexed by file descriptor and as large
 * as the process's limit of open files; with another size lws searches the table at every
 * event. The search is used only if the limit is so high that a full table, at 16 bytes per
 * open file, would take too much memory. */
static unsigned fd_table(int max_fds)
{
    struct rlimit lim;
    bool small = getrlimit(RLIMIT_NOFILE, &lim) == 0 && lim.rlim_cur <= MAX_FD_TABLE;
    return small && (rlim_t)max_fds <= lim.rlim_cur ? 0 : (unsigned)max_fds;
}

static void before_poll(uv_prepare_t *prepare)
{
    struct nt_loop *l = prepare->data;
    l->received_until = ck_now();
    l->n_displaced = 0;
    np_relieve(l);
    np_continue_reading(l);
}

int64_t nt_received_until(const struct nt_loop *l)
{
    return l->received_until;
}

struct nt_loop *nt_loop_create(int max_fds, struct er_err *err)
{
    signal(SIGPIPE, SIG_IGN);
    lws_set_log_level(LLL_ERR | LLL_WARN, lws_log);
    struct nt_loop *l = sr_alloc(sizeof(*l));
    uv_loop_init(&l->uv);
    uv_prepare_init(&l->uv, &l->before_poll);
    l->before_poll.data = l;
    uv_prepare_start(&l->before_poll, before_poll);
    uv_unref((uv_handle_t *)&l->before_poll);
    l->received_until = ck_now();
    struct lws_context_creation_info info = {0};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_LIBUV;
    info.fd_limit_per_thread = fd_table(max_fds);
    info.max_http_header_pool = HEADER_POOL;
    info.pt_serv_buf_size = SERVICE_BUF;
    void *loops[1] = {&l->uv};
    info.foreign_loops = loops;
    info.user = l;
    l->ctx = lws_create_context(&info);
    if (!l->ctx) {
        free(l);
        er_set(err, ER_IO, "can't create the event loop for %d sockets", max_fds);
        return NULL;
    }
    struct lws_context_creation_info vh = {0};
    vh.port = CONTEXT_PORT_NO_LISTEN;
    vh.protocols = np_protocols;
    vh.vhost_name = "client";
    vh.connect_timeout_secs = HANDSHAKE_SEC;
    vh.timeout_secs = HANDSHAKE_SEC;
    l->client_vh = lws_create_vhost(l->ctx, &vh);
    return l;
}

void nt_run(struct nt_loop *l)
{
    while (!l->stop)
        uv_run(&l->uv, UV_RUN_ONCE);
    l->stop = false; /* nt_run may be called again */
}

void nt_stop(struct nt_loop *l)
{
    l->stop = true;
    lws_cancel_service(l->ctx);
}

void nt_wake(struct nt_loop *l)
{
    lws_cancel_service(l->ctx);
}

void nt_on_wake(struct nt_loop *l, void (*fn)(void *), void *ud)
{
    l->wake = fn;
    l->wake_ud = ud;
}

const struct nt_counters *nt_stats(const struct nt_loop *l)
{
    return &l->st;
}
