/* Stand-ins for the review's scripts, written from the users' pages only.
 *
 *   standin db IP PORT SERVICE SYNC RECORD CONTROL...
 *     Three instances of one service (IP:PORT+0..2, ids SERVICE-0 to SERVICE-2), the platform's
 * POST /promote (IP:PORT+10) and a port for the script's commands (IP:PORT+11, one word line
 * each). standin client RECORD SECONDS DATABASE NAME ADDRESS... A client that writes one
 * statement after the other, each with a new id and new data.
 *
 *   standin rude RECORD DATABASE NAME COUNT ADDRESS...
 *     Peers one after the other, each with a session of its own. Each sends one message, ended
 * by its only CR LF, whose last field holds a lone LF and then the words of another request.
 *   standin talk RECORD DATABASE NAME ADDRESS
 *     One session. Sends each line of the input as a statement with a new id; prints the
 * answer. standin pipe RECORD COMMANDS LISTEN=TARGET... A proxy between machines: passes bytes
 * in both directions. After the line "silence" at the address COMMANDS, the connections that
 * are open then pass nothing more, for good; they are neither closed nor reset, and new ones
 * work.
 *
 * Sessions are opened with the key in the variable KEY, or "u1".
 *
 * Everything sent, answered and run goes to RECORD, one line each, with the wall clock in ms.
 *
 * Commands of db: status; drain N; pause N (receives nothing); resume N; crash N; quit.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum {
    INSTANCES = 3,
    MAX_LOG = 200000,
    MAX_WRITES = 16,
    MAX_CONNS = 256,
    LINE = 4096,
    WORD = 256
};

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static long long now_ms(void)
{
    struct timeval t;
    gettimeofday(&t, NULL);
    return (long long)t.tv_sec * 1000 + t.tv_usec / 1000;
}

static void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
static void note(const char *fmt, ...)
{
    char text[LINE * 2];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    pthread_mutex_lock(&record_lock);
    fprintf(record, "%lld ", now_ms());
    for (const char *c = text; *c; c++)
        fprintf(record, (unsigned char)*c < ' ' ? "\\x%02x" : "%c", (unsigned char)*c);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

static void sleep_ms(int ms)
{
    struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};
    nanosleep(&t, NULL);
}

/* ---- sockets ---- */

static struct sockaddr_in address(const char *ip, int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &a.sin_addr);
    return a;
}

static int listen_on(const char *ip, int port)
{
    struct sockaddr_in a = address(ip, port);
    int on = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 || listen(fd, 128) != 0) {
        fprintf(stderr, "standin: %s:%d: %s\n", ip, port, strerror(errno));
        exit(2);
    }
    return fd;
}

static int dial(const char *ip, int port, int timeout_ms)
{
    struct sockaddr_in a = address(ip, port);
    struct timeval t = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    int on = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
        return fd;
    close(fd);
    return -1;
}

static bool send_text(int fd, const char *s)
{
    size_t n = strlen(s);
    return send(fd, s, n, MSG_NOSIGNAL) == (ssize_t)n;
}

struct reader {
    int fd;
    size_t n;
    char buf[LINE * 4];
};

/* The next line without its CR LF. A lone LF belongs to the line. False: closed, or late. */
static bool read_line(struct reader *r, char line[LINE])
{
    for (;;) {
        char *end = NULL;
        for (size_t i = 0; i + 1 < r->n && !end; i++) {
            if (r->buf[i] == '\r' && r->buf[i + 1] == '\n')
                end = r->buf + i;
        }
        if (end) {
            size_t k = (size_t)(end - r->buf), used = k + 2;
            memcpy(line, r->buf, k < LINE ? k : LINE - 1);
            line[k < LINE ? k : LINE - 1] = 0;
            memmove(r->buf, r->buf + used, r->n - used);
            r->n -= used;
            return true;
        }
        if (r->n == sizeof(r->buf))
            return false;
        ssize_t k = recv(r->fd, r->buf + r->n, sizeof(r->buf) - r->n, 0);
        if (k <= 0)
            return false;
        r->n += (size_t)k;
    }
}

static void start(void *(*fn)(void *), void *ud)
{
    pthread_t t;
    if (pthread_create(&t, NULL, fn, ud) != 0)
        exit(2);
    pthread_detach(t);
}

/* ---- the databases ---- */

struct entry {
    unsigned long long term, number;
    char id[64], text[192];
};

struct instance {
    int at, port, listener;
    char id[32];
    bool up, receives, draining, leave_told;
    unsigned long long seq;
    struct entry *log;
    int n_log, n_conns;
    int conns[MAX_CONNS];
};

struct conn {
    struct instance *in;
    int fd;
    bool greeted, txn, read_only, failed;
    unsigned long long term; /* the group's when the transaction began */
    int n_writes, n_prepared, n_values;
    char writes[MAX_WRITES][192], write_id[64];
    char prepared[256][2][WORD];
    bool prepared_writes[256];
};

static const char *ip, *service;
static int base, sync_replicas, n_controls;
static char control_ip[8][32];
static int control_port[8];
static struct instance inst[INSTANCES];
static int primary;
static unsigned long long term = 1, token;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t received = PTHREAD_COND_INITIALIZER;

/* Replicas that are up and receive get at once what the primary has. */
static void replicate(void)
{
    struct instance *p = &inst[primary];
    for (int i = 0; i < INSTANCES && p->up; i++) {
        struct instance *r = &inst[i];
        if (r == p || !r->up || !r->receives)
            continue;
        for (; r->n_log < p->n_log; r->n_log++)
            r->log[r->n_log] = p->log[r->n_log];
    }
    pthread_cond_broadcast(&received);
}

static int replicas_with(int n_log)
{
    int k = 0;
    for (int i = 0; i < INSTANCES; i++)
        k += i != primary && inst[i].up && inst[i].n_log >= n_log;
    return k;
}

static void position(const struct instance *in, char out[64])
{
    const struct entry *e = in->n_log ? &in->log[in->n_log - 1] : NULL;
    snprintf(out, 64, "%llu.%llu", e ? e->term : 1, e ? e->number : 0);
}

static void say(struct conn *c, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
static void say(struct conn *c, const char *fmt, ...)
{
    char line[LINE];
    va_list ap;
    va_start(ap, fmt);
    int n = vsnprintf(line, sizeof(line) - 3, fmt, ap);
    va_end(ap);
    memcpy(line + n, "\r\n", 3);
    send_text(c->fd, line);
}

static void ready(struct conn *c)
{
    char pos[64];
    position(c->in, pos);
    say(c, "READY %c %s", c->failed ? 'E' : c->txn ? 'T' : 'I', pos);
}

static void error(struct conn *c, const char *code)
{
    c->failed = c->txn;
    say(c, "ERROR %s %s", code, c->in->id);
    ready(c);
}

static void complete(struct conn *c, const char *signature)
{
    say(c, "COMPLETE %s", signature);
    ready(c);
}

static bool leads(const struct conn *c)
{
    return c->in->up && c->in->at == primary && (!c->txn || c->term == term);
}

/* Appends to the primary's log and waits until enough replicas have received it. */
static bool commit(struct conn *c, const char *id, int n, char text[][192])
{
    struct instance *p = c->in;
    for (int i = 0; i < n; i++) {
        struct entry *e = &p->log[p->n_log];
        unsigned long long last = p->n_log ? p->log[p->n_log - 1].number : 0;
        *e = (struct entry){.term = term, .number = last + 1};
        snprintf(e->id, sizeof(e->id), "%s", id);
        snprintf(e->text, sizeof(e->text), "%s", text[i]);
        p->n_log++;
        note("run %s at %s %llu.%llu %s", id, p->id, e->term, e->number, text[i]);
    }
    int want = p->n_log;
    replicate();
    while (p->up && primary == p->at && replicas_with(want) < sync_replicas)
        pthread_cond_wait(&received, &lock);
    return p->up && primary == p->at;
}

static void end_txn(struct conn *c)
{
    c->txn = c->failed = false;
    c->n_writes = 0;
}

static void do_write(struct conn *c, const char *id, const char *text)
{
    char one[1][192];
    if (!leads(c) || c->read_only) {
        error(c, "READONLY");
        return;
    }
    if (c->txn) {
        snprintf(c->writes[c->n_writes < MAX_WRITES ? c->n_writes++ : 0], 192, "%s", text);
        complete(c, "w.t");
        return;
    }
    snprintf(one[0], sizeof(one[0]), "%s", text);
    if (commit(c, id, 1, one))
        complete(c, "w.1");
}

static void do_read(struct conn *c, const char *id, const char *thing)
{
    const struct instance *in = c->in;
    const char *value = "-";
    size_t k = strlen(thing);
    if (c->txn && !c->read_only && !leads(c)) {
        error(c, "READONLY");
        return;
    }
    for (int i = in->n_log; i > 0 && value[0] == '-'; i--) {
        const char *text = in->log[i - 1].text;
        if (strncmp(text, thing, k) == 0 && text[k] == ' ')
            value = text + k + 1;
    }
    note("run %s at %s READ %s: %s", id, in->id, thing, value);
    say(c, "DATAROW %s", value);
    complete(c, "r.1");
}

static void do_commit(struct conn *c, const char *id)
{
    if (!c->txn) {
        error(c, "MALFORMED");
        return;
    }
    bool failed = c->failed, lost = c->n_writes && !leads(c);
    int n = c->n_writes;
    if (failed || lost) {
        end_txn(c);
        error(c, lost ? "READONLY" : "ABORTED");
        return;
    }
    bool done = n == 0 || commit(c, id, n, c->writes);
    end_txn(c);
    if (done)
        complete(c, "c.1");
}

static void do_execute(struct conn *c, const char *id, const char *rest)
{
    char name[WORD] = "", args[192] = "";
    sscanf(rest, "%255s %191[^\r\n]", name, args);
    for (int i = 0; i < c->n_prepared; i++) {
        if (strcmp(c->prepared[i][0], name) != 0)
            continue;
        if (c->prepared_writes[i])
            do_write(c, id, args);
        else
            do_read(c, id, args);
        return;
    }
    error(c, "NOSTMT");
}

static void do_prepare(struct conn *c, const char *rest)
{
    char name[WORD] = "", kind[WORD] = "", shape[WORD] = "";
    sscanf(rest, "%255s %255s %255[^\r\n]", name, kind, shape);
    if (c->n_prepared == 256) {
        error(c, "BUSY");
        return;
    }
    snprintf(c->prepared[c->n_prepared][0], WORD, "%s", name);
    snprintf(c->prepared[c->n_prepared][1], WORD, "%s", shape);
    c->prepared_writes[c->n_prepared++] = strcmp(kind, "WRITE") == 0;
    complete(c, "-");
}

static void do_begin(struct conn *c, bool read_only)
{
    if (!read_only && !leads(c)) {
        error(c, "READONLY");
        return;
    }
    c->txn = true;
    c->read_only = read_only;
    c->term = term;
    c->n_writes = 0;
    complete(c, "-");
}

static void do_status(struct conn *c)
{
    char pos[64];
    position(c->in, pos);
    say(c, "DATAROW %s %llu %s 0 0 0 %d", c->in->at == primary ? "primary" : "replica", term,
        pos, c->in->n_conns);
    complete(c, "-");
}

/* Whether the log of the instance holds the position. */
static bool holds(const struct instance *in, unsigned long long t, unsigned long long number)
{
    if (number == 0)
        return true;
    for (int i = in->n_log; i > 0; i--) {
        if (in->log[i - 1].number == number)
            return in->log[i - 1].term == t;
    }
    return false;
}

static void statement(struct conn *c, const char *id, const char *text)
{
    unsigned long long t, number;
    char word[WORD] = "";
    int used = 0;
    if (sscanf(text, "WAITLSN %llu.%llu %n", &t, &number, &used) == 2) {
        text += used;
        if (!holds(c->in, t, number)) {
            error(c, "LAGGING");
            return;
        }
    }
    sscanf(text, "%255s", word);
    const char *rest = strchr(text, ' ') ? strchr(text, ' ') + 1 : "";
    if (c->failed && strcmp(word, "COMMIT") != 0 && strcmp(word, "ROLLBACK") != 0)
        error(c, "MALFORMED");
    else if (strcmp(word, "READ") == 0)
        do_read(c, id, rest);
    else if (strcmp(word, "WRITE") == 0)
        do_write(c, id, rest);
    else if (strcmp(word, "EXECUTE") == 0)
        do_execute(c, id, rest);
    else if (strcmp(word, "BEGIN") == 0)
        do_begin(c, strcmp(rest, "READ") == 0);
    else if (strcmp(word, "COMMIT") == 0)
        do_commit(c, id);
    else if (strcmp(word, "PREPARE") == 0)
        do_prepare(c, rest);
    else if (strcmp(word, "STATUS") == 0)
        do_status(c);
    else if (strcmp(word, "SET") == 0 || strcmp(word, "DEALLOC") == 0)
        complete(c, "-");
    else if (strcmp(word, "ROLLBACK") == 0 || strcmp(word, "DISCARD") == 0) {
        if (word[0] == 'D')
            c->n_prepared = 0;
        end_txn(c);
        complete(c, "-");
    } else
        error(c, "MALFORMED");
}

static bool startup(struct conn *c, const char *line)
{
    char name[WORD] = "", who[WORD] = "", id[WORD] = "";
    int n = sscanf(line, "STARTUP %255s %255s %255s", name, who, id);
    bool right = n >= 1 && strcmp(name, service) == 0 && (n < 3 || strcmp(id, c->in->id) == 0);
    if (right)
        ready(c);
    else
        say(c, "ERROR MISROUTED %s", c->in->id);
    if (right && strncmp(who, "control:", 8) != 0)
        note("connection at %s for %s", c->in->id, who);
    return right;
}

static void *serve_conn(void *ud)
{
    struct conn *c = ud;
    struct reader *r = calloc(1, sizeof(*r));
    char line[LINE], id[WORD];
    r->fd = c->fd;
    while (read_line(r, line)) {
        int used = 0;
        pthread_mutex_lock(&lock);
        bool go_on = c->in->up;
        if (go_on && !c->greeted)
            go_on = c->greeted = startup(c, line);
        else if (go_on && sscanf(line, "QUERY %255s %n", id, &used) == 1)
            statement(c, id, line + used);
        else
            go_on = false;
        pthread_mutex_unlock(&lock);
        if (!go_on)
            break;
    }
    pthread_mutex_lock(&lock);
    for (int i = 0; i < MAX_CONNS; i++) {
        if (c->in->conns[i] == c->fd)
            c->in->conns[i] = -1;
    }
    c->in->n_conns--;
    close(c->fd);
    pthread_mutex_unlock(&lock);
    free(r);
    free(c);
    return NULL;
}

static void *accept_conns(void *ud)
{
    struct instance *in = ud;
    int on = 1;
    for (;;) {
        int fd = accept(in->listener, NULL, NULL);
        if (fd < 0)
            return NULL;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        struct conn *c = calloc(1, sizeof(*c));
        c->in = in;
        c->fd = fd;
        pthread_mutex_lock(&lock);
        int free_at = 0;
        while (free_at < MAX_CONNS && in->conns[free_at] != -1)
            free_at++;
        bool taken = in->up && free_at < MAX_CONNS;
        if (taken) {
            in->conns[free_at] = fd;
            in->n_conns++;
        }
        pthread_mutex_unlock(&lock);
        if (taken) {
            start(serve_conn, c);
        } else {
            close(fd);
            free(c);
        }
    }
}

/* ---- registration ---- */

/* Sends a request; returns the status, 0 without a clear answer. */
static int http(const char *to_ip, int port, const char *path, const char *body, char *location)
{
    char out[2048], in[4096] = "";
    size_t n = 0;
    int status = 0, fd = dial(to_ip, port, 1000);
    if (fd < 0)
        return 0;
    snprintf(out, sizeof(out),
             "POST %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
             path, to_ip, port, strlen(body), body);
    send_text(fd, out);
    for (ssize_t k = 1; k > 0 && n + 1 < sizeof(in) && !strstr(in, "\r\n\r\n");) {
        k = recv(fd, in + n, sizeof(in) - 1 - n, 0);
        n += k > 0 ? (size_t)k : 0;
        in[n] = 0;
    }
    close(fd);
    sscanf(in, "HTTP/1.%*d %d", &status);
    const char *l = strcasestr(in, "\r\nlocation:");
    if (location)
        sscanf(l ? l + 11 : "", " http://%127[^/]", location);
    return status;
}

/* Calls one control node after the other until one acknowledges; follows 307 twice. */
static bool call_control(const char *path, const char *body, int *next)
{
    for (int k = 0; k < n_controls; k++, *next = (*next + 1) % n_controls) {
        char to[128], where[128] = "";
        int port = control_port[*next], status;
        snprintf(to, sizeof(to), "%s", control_ip[*next]);
        for (int hop = 0; hop < 3; hop++) {
            status = http(to, port, path, body, where);
            if (status != 307 || !where[0])
                break;
            sscanf(where, "%127[^:]:%d", to, &port);
        }
        if (status >= 200 && status < 300)
            return true;
    }
    return false;
}

static void *beat(void *ud)
{
    struct instance *in = ud;
    int next = in->at % n_controls;
    char path[128], body[512];
    long long sent_at = 0;
    bool last_draining = false, last_primary = false;
    for (;; sleep_ms(20)) {
        pthread_mutex_lock(&lock);
        bool up = in->up, draining = in->draining, leading = in->at == primary;
        pthread_mutex_unlock(&lock);
        bool changed = draining != last_draining || leading != last_primary;
        if (!up || (!changed && now_ms() - sent_at < 1200))
            continue;
        sent_at = now_ms();
        snprintf(path, sizeof(path), "/api/instances/%s/heartbeat", in->id);
        snprintf(
            body, sizeof(body),
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z%d\",\"version\":\"v1\","
            "\"capacity\":3,\"state\":\"%s\",\"warmupLeftMs\":0,\"dbRole\":\"%s\","
            "\"callSeq\":%llu}",
            service, ip, in->port, in->at, draining ? "draining" : "ready",
            leading ? "primary" : "replica", ++in->seq);
        if (!call_control(path, body, &next))
            continue;
        last_draining = draining;
        last_primary = leading;
        if (draining && !in->leave_told)
            note("acknowledged: %s is draining", in->id);
        in->leave_told = draining;
    }
    return NULL;
}

/* ---- the platform ---- */

struct order {
    int at;
    unsigned long long token;
};

static void *carry_out(void *ud)
{
    struct order *o = ud;
    sleep_ms(300);
    pthread_mutex_lock(&lock);
    struct instance *to = &inst[o->at];
    if (o->token < token || !to->up) {
        note("order %llu for %s is not carried out", o->token, to->id);
    } else if (primary != o->at) {
        term++;
        primary = o->at;
        note("PROMOTED %s term %llu token %llu entries %d", to->id, term, o->token, to->n_log);
        for (int i = 0; i < to->n_log; i++)
            note("HAS %s %s", to->id, to->log[i].id);
        for (int i = 0; i < INSTANCES; i++) {
            if (inst[i].n_log > to->n_log) {
                note("rolled back: %d entries of %s", inst[i].n_log - to->n_log, inst[i].id);
                inst[i].n_log = to->n_log;
            }
        }
        pthread_cond_broadcast(&received);
    }
    pthread_mutex_unlock(&lock);
    free(o);
    return NULL;
}

static int take_order(const char *text)
{
    const char *t = strcasestr(text, "\r\nfencing-token:"), *body = strstr(text, "\r\n\r\n");
    const char *id = body ? strstr(body, "\"id\"") : NULL;
    unsigned long long given = t ? strtoull(t + 16, NULL, 10) : 0;
    int at = -1, status = 200;
    for (int i = 0; id && i < INSTANCES; i++) {
        if (strstr(id, inst[i].id))
            at = i;
    }
    pthread_mutex_lock(&lock);
    if (at < 0)
        status = 404;
    else if (given < token || !inst[at].up)
        status = 409;
    else
        token = given;
    note("order: promote %s token %llu: %d", at < 0 ? "?" : inst[at].id, given, status);
    pthread_mutex_unlock(&lock);
    if (status == 200) {
        struct order *o = malloc(sizeof(*o));
        *o = (struct order){at, given};
        start(carry_out, o);
    }
    return status;
}

static void *serve_platform(void *ud)
{
    int listener = *(int *)ud;
    for (;;) {
        char in[8192] = "", out[256];
        size_t n = 0;
        int fd = accept(listener, NULL, NULL);
        struct timeval t = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
        for (ssize_t k = 1; k > 0 && n + 1 < sizeof(in);) {
            const char *body = strstr(in, "\r\n\r\n");
            if (body && strchr(body, '}'))
                break;
            k = recv(fd, in + n, sizeof(in) - 1 - n, 0);
            n += k > 0 ? (size_t)k : 0;
            in[n] = 0;
        }
        snprintf(out, sizeof(out),
                 "HTTP/1.1 %d x\r\nContent-Length: 2\r\nContent-Type: application/json\r\n"
                 "Connection: close\r\n\r\n{}",
                 take_order(in));
        send_text(fd, out);
        close(fd);
    }
    return NULL;
}

/* ---- commands of the script ---- */

static void crash(struct instance *in)
{
    struct linger reset = {1, 0};
    in->up = false;
    shutdown(in->listener, SHUT_RDWR);
    close(in->listener);
    for (int i = 0; i < MAX_CONNS; i++) {
        if (in->conns[i] == -1)
            continue;
        setsockopt(in->conns[i], SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(in->conns[i], SHUT_RDWR);
    }
    pthread_cond_broadcast(&received);
}

static void command(int fd, const char *line)
{
    char verb[WORD] = "", out[1024];
    int at = 0, n = 0;
    sscanf(line, "%255s %d", verb, &at);
    pthread_mutex_lock(&lock);
    struct instance *in = &inst[at % INSTANCES];
    if (strcmp(verb, "status") != 0)
        note("command: %s", line);
    if (strcmp(verb, "drain") == 0)
        in->draining = true;
    else if (strcmp(verb, "pause") == 0)
        in->receives = false;
    else if (strcmp(verb, "resume") == 0)
        in->receives = true;
    else if (strcmp(verb, "crash") == 0)
        crash(in);
    replicate();
    for (int i = 0; i < INSTANCES; i++)
        n += snprintf(out + n, sizeof(out) - (size_t)n, "%s %s %s entries %d\r\n", inst[i].id,
                      inst[i].up ? "up" : "down", i == primary ? "primary" : "replica",
                      inst[i].n_log);
    pthread_mutex_unlock(&lock);
    send_text(fd, out);
    if (strcmp(verb, "quit") == 0)
        exit(0);
}

static void run_db(int argc, char **argv)
{
    static int platform;
    ip = argv[0];
    base = atoi(argv[1]);
    service = argv[2];
    sync_replicas = atoi(argv[3]);
    for (int i = 5; i < argc && n_controls < 8; i++, n_controls++)
        sscanf(argv[i], "%31[^:]:%d", control_ip[n_controls], &control_port[n_controls]);
    platform = listen_on(ip, base + 10);
    int commands = listen_on(ip, base + 11);
    for (int i = 0; i < INSTANCES; i++) {
        struct instance *in = &inst[i];
        *in = (struct instance){.at = i, .port = base + i, .up = true, .receives = true};
        snprintf(in->id, sizeof(in->id), "%.20s-%d", service, i);
        in->log = calloc(MAX_LOG, sizeof(*in->log));
        for (int k = 0; k < MAX_CONNS; k++)
            in->conns[k] = -1;
        in->listener = listen_on(ip, in->port);
        start(accept_conns, in);
        start(beat, in);
    }
    start(serve_platform, &platform);
    for (;;) {
        struct reader r = {.fd = accept(commands, NULL, NULL)};
        char line[LINE];
        if (read_line(&r, line))
            command(r.fd, line);
        close(r.fd);
    }
}

/* ---- the client ---- */

struct session {
    struct reader r;
    const char *where;
};

static bool answer(struct session *s, const char *id, char what[LINE])
{
    char line[LINE];
    what[0] = 0;
    while (read_line(&s->r, line)) {
        if (strncmp(line, "READY", 5) == 0) {
            note("answer %s %s | %s", id, what[0] ? what : "-", line);
            return true;
        }
        snprintf(what, LINE, "%.4000s", line);
    }
    note("answer %s none", id);
    return false;
}

static bool open_session(struct session *s, const char *where, const char *database)
{
    char to[32] = "", line[LINE];
    int port = 0;
    sscanf(where, "%31[^:]:%d", to, &port);
    *s = (struct session){.where = where};
    s->r.fd = dial(to, port, 2000);
    if (s->r.fd < 0)
        return false;
    const char *key = getenv("KEY");
    snprintf(line, sizeof(line), "STARTUP %s %s\r\n", database, key ? key : "u1");
    if (send_text(s->r.fd, line) && answer(s, "-", line) && line[0] == 0)
        return true;
    close(s->r.fd);
    return false;
}

static void run_client(int argc, char **argv, bool reads)
{
    long long until = now_ms() + (long long)(atof(argv[0]) * 1000);
    const char *database = argv[1], *name = argv[2];
    int n_nodes = argc - 3, next = 0;
    struct session s = {0};
    bool open = false;
    for (unsigned k = 1; now_ms() < until;) {
        char id[64], line[LINE], what[LINE];
        if (!open) {
            open = open_session(&s, argv[3 + next], database);
            next = (next + 1) % n_nodes;
            if (!open)
                sleep_ms(50);
            continue;
        }
        bool read = reads && k % 3 == 0;
        snprintf(id, sizeof(id), "%s-%u", name, k);
        if (read)
            snprintf(line, sizeof(line), "QUERY %s READ %s\r\n", id, name);
        else
            snprintf(line, sizeof(line), "QUERY %s WRITE %s v%u\r\n", id, name, k);
        note("sent %s %.*s to %s", id, (int)strcspn(line + 7 + strlen(id), "\r"),
             line + 7 + strlen(id), s.where);
        k++;
        if (!send_text(s.r.fd, line) || !answer(&s, id, what)) {
            close(s.r.fd);
            open = false;
        }
        sleep_ms(strncmp(what, "ERROR", 5) == 0 ? 50 : 10);
    }
}

static void run_talk(char **argv)
{
    const char *name = argv[1];
    char text[512], id[64], line[LINE], what[LINE];
    struct session s;
    if (!open_session(&s, argv[2], argv[0]))
        exit(2);
    for (unsigned k = 1; fgets(text, sizeof(text), stdin); k++) {
        text[strcspn(text, "\n")] = 0;
        snprintf(id, sizeof(id), "%s-%u", name, k);
        snprintf(line, sizeof(line), "QUERY %s %s\r\n", id, text);
        note("sent %s %s to %s", id, text, s.where);
        what[0] = 0;
        bool answered = send_text(s.r.fd, line) && answer(&s, id, what);
        printf("%s\n", answered ? what : "none");
        fflush(stdout);
        if (!answered)
            exit(1);
    }
}

static void run_rude(int argc, char **argv)
{
    const char *database = argv[0], *name = argv[1];
    int count = atoi(argv[2]), n_nodes = argc - 3;
    for (int k = 1; k <= count; k++) {
        char id[64], text[192], line[LINE], what[LINE];
        struct session s;
        if (!open_session(&s, argv[3 + k % n_nodes], database))
            continue;
        snprintf(id, sizeof(id), "%s-%d", name, k);
        snprintf(text, sizeof(text), "%s%d first\nQUERY inside-%s WRITE other%d x", name, k, id,
                 k);
        snprintf(line, sizeof(line), "QUERY %s WRITE %s\r\n", id, text);
        note("sent %s WRITE %s to %s", id, text, s.where);
        if (send_text(s.r.fd, line))
            answer(&s, id, what);
        if (answer(&s, id, what))
            note("a second answer to %s", id);
        close(s.r.fd);
    }
}

/* ---- the proxy ---- */

struct link {
    struct link *next;
    int fd[2], listen_port;
    bool silent;
};

struct direction {
    struct link *l;
    int from, to;
};

struct forward {
    int listener, listen_port;
    char to[32];
    int port;
};

static struct link *links;

static void *pump(void *ud)
{
    struct direction *d = ud;
    char buf[65536];
    for (;;) {
        ssize_t k = recv(d->from, buf, sizeof(buf), 0);
        pthread_mutex_lock(&lock);
        bool silent = d->l->silent;
        pthread_mutex_unlock(&lock);
        if (k <= 0) {
            /* A silent connection doesn't tell the other side either. */
            if (!silent)
                shutdown(d->to, SHUT_RDWR);
            free(d);
            return NULL;
        }
        for (ssize_t at = 0; !silent && at < k;) {
            ssize_t n = send(d->to, buf + at, (size_t)(k - at), MSG_NOSIGNAL);
            if (n <= 0)
                break;
            at += n;
        }
    }
}

static void *accept_links(void *ud)
{
    struct forward *f = ud;
    int on = 1;
    for (;;) {
        int in = accept(f->listener, NULL, NULL);
        if (in < 0)
            return NULL;
        struct sockaddr_in a = address(f->to, f->port);
        int out = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(out, (struct sockaddr *)&a, sizeof(a)) != 0) {
            close(in);
            close(out);
            continue;
        }
        setsockopt(in, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        struct link *l = calloc(1, sizeof(*l));
        struct direction *there = calloc(1, sizeof(*there)), *back = calloc(1, sizeof(*back));
        pthread_mutex_lock(&lock);
        *l = (struct link){.next = links, .fd = {in, out}, .listen_port = f->listen_port};
        links = l;
        pthread_mutex_unlock(&lock);
        *there = (struct direction){l, in, out};
        *back = (struct direction){l, out, in};
        start(pump, there);
        start(pump, back);
    }
}

static void run_pipe(int argc, char **argv)
{
    char to[32] = "";
    int port = 0;
    sscanf(argv[0], "%31[^:]:%d", to, &port);
    int commands = listen_on(to, port);
    for (int i = 1; i < argc; i++) {
        struct forward *f = calloc(1, sizeof(*f));
        sscanf(argv[i], "%31[^:]:%d=%31[^:]:%d", to, &port, f->to, &f->port);
        f->listen_port = port;
        f->listener = listen_on(to, port);
        start(accept_links, f);
    }
    for (;;) {
        struct reader r = {.fd = accept(commands, NULL, NULL)};
        char line[LINE];
        int n = 0, only = 0;
        if (read_line(&r, line) && strncmp(line, "silence", 7) == 0) {
            sscanf(line, "silence %d", &only);
            pthread_mutex_lock(&lock);
            for (struct link *l = links; l; l = l->next) {
                if (only && l->listen_port != only)
                    continue;
                l->silent = true;
                n++;
            }
            pthread_mutex_unlock(&lock);
            note("proxy: %d connections between machines go silent", n);
        }
        send_text(r.fd, "done\r\n");
        close(r.fd);
    }
}

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    bool db = argc > 7 && strcmp(argv[1], "db") == 0;
    bool mixed = argc > 6 && strcmp(argv[1], "mixed") == 0;
    bool client = mixed || (argc > 6 && strcmp(argv[1], "client") == 0);
    bool rude = argc > 6 && strcmp(argv[1], "rude") == 0;
    bool talk = argc == 6 && strcmp(argv[1], "talk") == 0;
    bool proxy = argc > 4 && strcmp(argv[1], "pipe") == 0;
    if (!db && !client && !rude && !talk && !proxy) {
        fprintf(stderr, "usage: see the comment at the top of standin.c\n");
        return 2;
    }
    record = fopen(db ? argv[6] : argv[2], "a");
    if (!record)
        return 2;
    setvbuf(record, NULL, _IOLBF, 0);
    if (db)
        run_db(argc - 2, argv + 2);
    else if (rude)
        run_rude(argc - 3, argv + 3);
    else if (talk)
        run_talk(argv + 3);
    else if (proxy)
        run_pipe(argc - 3, argv + 3);
    else
        run_client(argc - 3, argv + 3, mixed);
    return 0;
}
