/* Stand-ins of the second review, written from the users' pages: instances and platform
 * (`world`), clients behind the platform's load balancer (`clients`), clients that commit at
 * the same moment (`commits`), and a stream proxy whose open connections can go silent
 * (`proxy`). One thread for each connection; all on loopback.
 *
 *   rv2 world RECORD PLATFORM-PORT BASE-PORT WORK-MS CAPACITY CONTROL-IP:PORT...
 *   rv2 clients RECORD SECONDS CLIENTS SEED DATABASE KEY STATEMENTS PAUSE-MS
 * FRONT-PORT:READY-PORT... rv2 proxy RECORD LISTEN-IP:PORT=TARGET-IP:PORT...
 *
 * A record has a line for each event: milliseconds of the monotonic clock, then words. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* ---- common ---- */

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static long now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static long now_ns(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_nsec;
}

static void sleep_ms(long ms)
{
    struct timespec t = {ms / 1000, ms % 1000 * 1000000};
    while (ms > 0 && nanosleep(&t, &t) != 0 && errno == EINTR)
        ;
}

static void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
static void record(const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%ld ", now_ms());
    vfprintf(record_file, fmt, ap);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
    va_end(ap);
}

static void start_thread(void *(*fn)(void *), void *arg)
{
    pthread_t t;
    pthread_attr_t a;
    pthread_attr_init(&a);
    pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&a, 256 << 10);
    if (pthread_create(&t, &a, fn, arg) != 0) {
        perror("rv2: thread");
        exit(2);
    }
    pthread_attr_destroy(&a);
}

static struct sockaddr_in address(const char *ip, int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &a.sin_addr);
    return a;
}

static int listen_at(const char *ip, int port)
{
    struct sockaddr_in a = address(ip, port);
    int on = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 || listen(fd, 128) != 0) {
        fprintf(stderr, "rv2: %s:%d: %s\n", ip, port, strerror(errno));
        exit(2);
    }
    return fd;
}

/* A connection whose reads and writes wait for `ms` at most; -1: none. */
static int connect_to(const char *ip, int port, long ms)
{
    struct sockaddr_in a = address(ip, port);
    struct timeval t = {ms / 1000, ms % 1000 * 1000};
    int on = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
        return fd;
    close(fd);
    return -1;
}

struct input {
    int fd;
    size_t n;
    char buf[8192];
};

/* The next line without its CR LF. Returns 1, 0 at the end of the stream, -1 at a time-out. */
static int read_line(struct input *in, char *line, size_t cap)
{
    for (;;) {
        char *end = in->n ? memmem(in->buf, in->n, "\r\n", 2) : NULL;
        if (end) {
            size_t len = (size_t)(end - in->buf), used = len + 2;
            snprintf(line, cap, "%.*s", (int)len, in->buf);
            memmove(in->buf, in->buf + used, in->n - used);
            in->n -= used;
            return 1;
        }
        if (in->n == sizeof(in->buf))
            return 0;
        ssize_t k = recv(in->fd, in->buf + in->n, sizeof(in->buf) - in->n, 0);
        if (k < 0 && errno == EINTR)
            continue;
        if (k <= 0)
            return k < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? -1 : 0;
        in->n += (size_t)k;
    }
}

static bool send_all(int fd, const char *p, size_t n)
{
    while (n > 0) {
        ssize_t k = send(fd, p, n, MSG_NOSIGNAL);
        if (k <= 0)
            return false;
        p += k;
        n -= (size_t)k;
    }
    return true;
}

static bool say(int fd, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
static bool say(int fd, const char *fmt, ...)
{
    char text[2048];
    va_list ap;
    va_start(ap, fmt);
    int n = vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    return send_all(fd, text, (size_t)n);
}

/* ---- world: one service of three instances, and the platform ---- */

enum { ID = 512, MAX_FDS = 64 };
enum { INSTS = 3, MAX_LOG = 100000, WORD = 96, SETS = 32, MAX_QUEUE = 24, MAX_CONTROLS = 8 };

struct inst {
    int at, port, n_conns, busy, waiting;
    const char *service;
    char id[WORD];
    int listener, n_fds, fds[MAX_FDS]; /* of its sessions */
    int applied;                       /* entries of the log; it never goes back */
    bool replica; /* always; the others are primary while W.primary names them */
};

static struct world {
    pthread_mutex_t lock;
    pthread_cond_t slot_free;
    struct inst inst[INSTS];
    int primary, capacity, work_ms, max_conns;
    unsigned long term, fence, signatures;
    int n_log;
    struct {
        char key[WORD], value[WORD];
        unsigned long term;
        long at;
    } log[MAX_LOG];
    int lag_ms; /* between a commit and its being applied at the replicas */
    int n_controls, control_port[MAX_CONTROLS];
    char control_ip[MAX_CONTROLS][46];
} W = {.lock = PTHREAD_MUTEX_INITIALIZER, .slot_free = PTHREAD_COND_INITIALIZER};

struct session {
    struct inst *in;
    struct input input;
    bool txn, read_only, failed;
    unsigned long term;
    int n_writes, n_sets, n_prepared;
    char writes[16][2][WORD], sets[SETS][2][WORD], prepared[SETS * 4][3][WORD];
};

/* The entries that the instance has applied. The caller holds the lock. */
static int applied_at(struct inst *in)
{
    int n = W.n_log;
    long until = now_ms() - W.lag_ms;
    bool primary = !in->replica && W.primary == in->at;
    while (!primary && n > in->applied && W.log[n - 1].at > until)
        n--;
    in->applied = n;
    return n;
}

static void answer_end(struct session *s)
{
    pthread_mutex_lock(&W.lock);
    int n = applied_at(s->in);
    unsigned long term = n ? W.log[n - 1].term : W.term;
    pthread_mutex_unlock(&W.lock);
    say(s->input.fd, "READY %c %lu.%d\r\n", s->failed ? 'E' : s->txn ? 'T' : 'I', term, n);
}

static void answer_error(struct session *s, const char *word)
{
    s->failed = s->txn;
    say(s->input.fd, "ERROR %s i-%d\r\n", word, s->in->at);
    answer_end(s);
}

static void answer_signed(struct session *s, const char *id, const char *row)
{
    pthread_mutex_lock(&W.lock);
    unsigned long n = ++W.signatures;
    pthread_mutex_unlock(&W.lock);
    if (row)
        say(s->input.fd, "DATAROW %s\r\n", row);
    say(s->input.fd, "COMPLETE %lu.%d.%s\r\n", n, s->in->at, id);
    answer_end(s);
}

/* Waits for a slot and works. Returns false if the queue is full: nothing is run. */
static bool work(struct session *s)
{
    pthread_mutex_lock(&W.lock);
    if (s->in->waiting >= MAX_QUEUE) {
        pthread_mutex_unlock(&W.lock);
        return false;
    }
    s->in->waiting++;
    while (s->in->busy >= W.capacity)
        pthread_cond_wait(&W.slot_free, &W.lock);
    s->in->waiting--;
    s->in->busy++;
    pthread_mutex_unlock(&W.lock);
    sleep_ms(W.work_ms);
    pthread_mutex_lock(&W.lock);
    s->in->busy--;
    pthread_cond_broadcast(&W.slot_free);
    pthread_mutex_unlock(&W.lock);
    return true;
}

static bool leads(const struct session *s)
{
    pthread_mutex_lock(&W.lock);
    bool yes = !s->in->replica && W.primary == s->in->at && (!s->txn || s->term == W.term);
    pthread_mutex_unlock(&W.lock);
    return yes;
}

static void append(const char *key, const char *value)
{
    pthread_mutex_lock(&W.lock);
    if (W.n_log == MAX_LOG)
        exit(2);
    snprintf(W.log[W.n_log].key, WORD, "%s", key);
    snprintf(W.log[W.n_log].value, WORD, "%s", value);
    W.log[W.n_log].at = now_ms();
    W.log[W.n_log++].term = W.term;
    pthread_mutex_unlock(&W.lock);
}

static void do_read(struct session *s, const char *id, const char *key)
{
    char row[WORD] = "-";
    if (!work(s)) {
        answer_error(s, "BUSY");
        return;
    }
    pthread_mutex_lock(&W.lock);
    for (int i = applied_at(s->in) - 1; i >= 0; i--) {
        if (strcmp(W.log[i].key, key) == 0) {
            snprintf(row, sizeof(row), "%s", W.log[i].value);
            break;
        }
    }
    pthread_mutex_unlock(&W.lock);
    record("run %s READ at i-%d: %s", id, s->in->at, row);
    answer_signed(s, id, row);
}

static void do_write(struct session *s, const char *id, const char *key, const char *value)
{
    if (!leads(s) || (s->txn && s->read_only)) {
        answer_error(s, "READONLY");
        return;
    }
    if (!work(s)) {
        answer_error(s, "BUSY");
        return;
    }
    if (s->txn && s->n_writes < 16) {
        snprintf(s->writes[s->n_writes][0], WORD, "%s", key);
        snprintf(s->writes[s->n_writes++][1], WORD, "%s", value);
    } else {
        append(key, value);
        record("committed %s WRITE at i-%d", id, s->in->at);
    }
    answer_signed(s, id, NULL);
}

static void do_commit(struct session *s, const char *id)
{
    bool ok = s->txn && !s->failed && (s->n_writes == 0 || leads(s));
    bool ran = ok && work(s);
    for (int i = 0; ran && i < s->n_writes; i++)
        append(s->writes[i][0], s->writes[i][1]);
    if (ran && s->n_writes)
        record("committed %s COMMIT at i-%d", id, s->in->at);
    if (ran && s->n_writes)
        sleep_ms(W.work_ms); /* committed; the answer is on its way */
    s->txn = s->failed = false;
    s->n_writes = 0;
    if (ran)
        answer_signed(s, id, NULL);
    else
        answer_error(s, ok ? "BUSY" : "READONLY");
}

static void answer_plain(struct session *s)
{
    say(s->input.fd, "COMPLETE -\r\n");
    answer_end(s);
}

static void do_status(struct session *s)
{
    pthread_mutex_lock(&W.lock);
    unsigned long term = W.n_log ? W.log[W.n_log - 1].term : W.term;
    say(s->input.fd, "DATAROW %s %lu %lu.%d 0 0 %d %d\r\n",
        !s->in->replica && W.primary == s->in->at ? "primary" : "replica", W.term, term,
        W.n_log, s->in->busy, s->in->n_conns);
    pthread_mutex_unlock(&W.lock);
    answer_plain(s);
}

static void do_execute(struct session *s, const char *id, const char *name, const char *key,
                       const char *value)
{
    for (int i = s->n_prepared - 1; i >= 0; i--) {
        if (strcmp(s->prepared[i][0], name) != 0)
            continue;
        if (strcmp(s->prepared[i][1], "WRITE") == 0)
            do_write(s, id, key, value);
        else
            do_read(s, id, key);
        return;
    }
    answer_error(s, "NOSTMT");
}

static void do_begin(struct session *s, bool read_only)
{
    if (!read_only && !leads(s)) {
        answer_error(s, "READONLY");
        return;
    }
    s->txn = true;
    s->read_only = read_only;
    pthread_mutex_lock(&W.lock);
    s->term = W.term;
    pthread_mutex_unlock(&W.lock);
    answer_plain(s);
}

static void statement(struct session *s, const char *id, char *text)
{
    char w[4][WORD] = {"", "", "", ""};
    unsigned long term;
    int pos, used = 0;
    if (strcmp(id, "-") != 0)
        record("arrived %s at i-%d: %s", id, s->in->at, text);
    if (sscanf(text, "WAITLSN %lu.%d %n", &term, &pos, &used) == 2) {
        text += used; /* every instance receives at once, so no promotion loses a position */
        pthread_mutex_lock(&W.lock);
        int applied = applied_at(s->in);
        pthread_mutex_unlock(&W.lock);
        if (applied < pos) {
            answer_error(s, "LAGGING");
            return;
        }
    }
    sscanf(text, "%95s %95s %95s %95s", w[0], w[1], w[2], w[3]);
    if (strcmp(w[0], "READ") == 0)
        do_read(s, id, w[1]);
    else if (strcmp(w[0], "WRITE") == 0)
        do_write(s, id, w[1], w[2]);
    else if (strcmp(w[0], "COMMIT") == 0)
        do_commit(s, id);
    else if (strcmp(w[0], "EXECUTE") == 0)
        do_execute(s, id, w[1], w[2], w[3]);
    else if (strcmp(w[0], "STATUS") == 0)
        do_status(s);
    else if (strcmp(w[0], "BEGIN") == 0)
        do_begin(s, strcmp(w[1], "READ") == 0);
    else if (strcmp(w[0], "ROLLBACK") == 0 || strcmp(w[0], "DISCARD") == 0) {
        if (w[0][0] == 'D')
            s->n_sets = s->n_prepared = 0;
        s->txn = s->failed = false;
        s->n_writes = 0;
        answer_plain(s);
    } else if (strcmp(w[0], "PREPARE") == 0 && s->n_prepared < SETS * 4) {
        snprintf(s->prepared[s->n_prepared][0], WORD, "%s", w[1]);
        snprintf(s->prepared[s->n_prepared][1], WORD, "%s", w[2]);
        snprintf(s->prepared[s->n_prepared++][2], WORD, "%s", w[3]);
        answer_plain(s);
    } else if (strcmp(w[0], "SET") == 0 || strcmp(w[0], "DEALLOC") == 0) {
        answer_plain(s);
    } else {
        answer_error(s, "MALFORMED");
    }
}

static void *serve_session(void *arg)
{
    struct session *s = arg;
    char line[4096], service[WORD], who[WORD], id[ID] = "", own[WORD];
    bool greeted = false;
    snprintf(own, sizeof(own), "%s", s->in->id);
    while (read_line(&s->input, line, sizeof(line)) == 1) {
        int used = 0;
        if (!greeted && sscanf(line, "STARTUP %95s %95s %511s", service, who, id) >= 2) {
            if (strcmp(service, s->in->service) != 0 || (id[0] && strcmp(id, own) != 0)) {
                say(s->input.fd, "ERROR MISROUTED %s\r\n", own);
                break;
            }
            if (s->in->n_conns > W.max_conns) {
                say(s->input.fd, "ERROR TOOMANY %s\r\n", own);
                break;
            }
            greeted = true;
            sleep_ms(12); /* the users' figure for a new connection */
            answer_end(s);
        } else if (greeted && sscanf(line, "QUERY %511s %n", id, &used) == 1) {
            statement(s, id, line + used);
        } else {
            break;
        }
    }
    pthread_mutex_lock(&W.lock);
    for (int i = 0; i < s->in->n_fds; i++) {
        if (s->in->fds[i] == s->input.fd)
            s->in->fds[i--] = s->in->fds[--s->in->n_fds];
    }
    s->in->n_conns--;
    pthread_mutex_unlock(&W.lock);
    close(s->input.fd);
    free(s);
    return NULL;
}

static void *serve_instance(void *arg)
{
    struct inst *in = arg;
    for (;;) {
        int on = 1, fd = accept(in->listener, NULL, NULL);
        if (fd < 0)
            return NULL; /* it serves no more */
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        struct session *s = calloc(1, sizeof(*s));
        s->in = in;
        s->input.fd = fd;
        pthread_mutex_lock(&W.lock);
        in->n_conns++;
        if (in->n_fds < MAX_FDS)
            in->fds[in->n_fds++] = fd;
        pthread_mutex_unlock(&W.lock);
        start_thread(serve_session, s);
    }
    return NULL;
}

static void begin_serving(struct inst *in)
{
    in->listener = listen_at("127.0.0.1", in->port);
    start_thread(serve_instance, in);
}

static void end_serving(struct inst *in)
{
    shutdown(in->listener, SHUT_RDWR);
    close(in->listener);
    pthread_mutex_lock(&W.lock);
    for (int i = 0; i < in->n_fds; i++)
        shutdown(in->fds[i], SHUT_RDWR);
    pthread_mutex_unlock(&W.lock);
}

/* Reads the rest of a body of which some bytes are in `in`. */
static void read_body(struct input *in, size_t length)
{
    while (in->n < length && in->n < sizeof(in->buf)) {
        ssize_t k = recv(in->fd, in->buf + in->n, sizeof(in->buf) - in->n, 0);
        if (k <= 0)
            return;
        in->n += (size_t)k;
    }
}

/* The first bytes of the last answer's body in this thread. */
static __thread char answered[64];

/* One HTTP exchange. Returns the status, 0 without an answer; *location: of a 307. */
static int exchange(const char *ip, int port, const char *method, const char *path,
                    const char *body, char *location, size_t cap)
{
    char line[2048];
    size_t length = 0;
    int status = 0, fd = connect_to(ip, port, 1000);
    if (fd < 0)
        return 0;
    struct input in = {.fd = fd};
    struct timespec a_moment = {0, now_ns() / 1000 % 300 * 1000};
    nanosleep(&a_moment, NULL); /* the caller's own work before it sends */
    say(fd,
        "%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/json\r\n"
        "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
        method, path, ip, port, strlen(body), body);
    location[0] = 0;
    while (read_line(&in, line, sizeof(line)) == 1 && line[0]) {
        if (!status)
            sscanf(line, "HTTP/1.1 %d", &status);
        if (strncasecmp(line, "location:", 9) == 0)
            snprintf(location, cap, "%s", line + 9 + strspn(line + 9, " "));
        if (strncasecmp(line, "content-length:", 15) == 0)
            length = strtoul(line + 15, NULL, 10);
    }
    read_body(&in, length);
    snprintf(answered, sizeof(answered), "%.*s", (int)(in.n < length ? in.n : length), in.buf);
    close(fd);
    return status;
}

/* A call to control at one node; 307 is followed twice. */
static int call_control(const char *ip, int port, const char *path, const char *body)
{
    char to_ip[46], location[512], to_path[400];
    int to_port = port, status = 0;
    snprintf(to_ip, sizeof(to_ip), "%s", ip);
    snprintf(to_path, sizeof(to_path), "%s", path);
    for (int k = 0; k < 3; k++) {
        status = exchange(to_ip, to_port, "POST", to_path, body, location, sizeof(location));
        if (status != 307 ||
            sscanf(location, "http://%45[^:]:%d%399s", to_ip, &to_port, to_path) != 3)
            break;
    }
    return status;
}

/* SIGUSR1: the primary reports from now on that it drains, and the replicas apply
 * RV2_SLOW_LAG_MS late for six seconds. */
static volatile sig_atomic_t drain_asked;
static int draining = -1;

static void on_drain(int sig)
{
    (void)sig;
    drain_asked = 1;
}

static void *watch_drain(void *arg)
{
    (void)arg;
    while (!drain_asked)
        sleep_ms(10);
    int lag_ms = W.lag_ms;
    if (getenv("RV2_SLOW_LAG_MS"))
        W.lag_ms = atoi(getenv("RV2_SLOW_LAG_MS"));
    draining = W.primary;
    record("i-%d is to be replaced; replicas are %d ms behind", draining, W.lag_ms);
    sleep_ms(6000);
    W.lag_ms = lag_ms;
    return NULL;
}

static void *beat(void *arg)
{
    const struct inst *in = arg;
    unsigned long seq = 0;
    int at = in->at;
    for (;;) {
        char path[128], body[512];
        snprintf(path, sizeof(path), "/api/instances/i-%d/heartbeat", in->at);
        snprintf(body, sizeof(body),
                 "{\"service\":\"reg0\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z%d\","
                 "\"version\":\"v1\",\"capacity\":%d,\"state\":\"%s\",\"warmupLeftMs\":0,"
                 "\"dbRole\":\"%s\",\"callSeq\":%lu}",
                 in->port, in->at, W.capacity, draining == in->at ? "draining" : "ready",
                 W.primary == in->at ? "primary" : "replica", ++seq);
        int k = at % W.n_controls;
        int status = call_control(W.control_ip[k], W.control_port[k], path, body);
        if (status < 200 || status > 299) {
            at++;
            sleep_ms(200);
        } else {
            bool told = draining == in->at;
            for (int i = 0; i < 120 && told == (draining == in->at); i++)
                sleep_ms(10);
        }
    }
    return NULL;
}

struct order {
    int at;
    unsigned long fence;
};

static void *carry_out(void *arg)
{
    struct order *o = arg;
    sleep_ms(300);
    pthread_mutex_lock(&W.lock);
    if (o->fence >= W.fence && W.primary != o->at) {
        W.primary = o->at;
        W.term++;
        record("promoted i-%d term %lu fence %lu", o->at, W.term, o->fence);
    }
    pthread_mutex_unlock(&W.lock);
    free(o);
    return NULL;
}

static void *serve_order(void *arg)
{
    int fd = (int)(intptr_t)arg;
    struct input in = {.fd = fd};
    char line[2048], id[WORD] = "";
    unsigned long fence = 0;
    size_t length = 0;
    while (read_line(&in, line, sizeof(line)) == 1 && line[0]) {
        if (strncasecmp(line, "fencing-token:", 14) == 0)
            fence = strtoul(line + 14, NULL, 10);
        if (strncasecmp(line, "content-length:", 15) == 0)
            length = strtoul(line + 15, NULL, 10);
    }
    while (in.n < length && in.n < sizeof(in.buf) - 1) {
        ssize_t k = recv(fd, in.buf + in.n, sizeof(in.buf) - 1 - in.n, 0);
        if (k <= 0)
            break;
        in.n += (size_t)k;
    }
    in.buf[in.n] = 0;
    const char *at = strstr(in.buf, "\"id\"");
    if (at && sscanf(at, "\"id\" : \"%95[^\"]\"", id) != 1)
        sscanf(at, "\"id\":\"%95[^\"]\"", id);
    pthread_mutex_lock(&W.lock);
    bool fenced = fence < W.fence;
    if (!fenced)
        W.fence = fence;
    pthread_mutex_unlock(&W.lock);
    record("order %s fence %lu %s", id, fence, fenced ? "409" : "200");
    if (!fenced) {
        struct order *o = malloc(sizeof(*o));
        *o = (struct order){id[0] ? atoi(id + 2) : 0, fence};
        start_thread(carry_out, o);
    }
    say(fd, "HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        fenced ? "409 Conflict" : "200 OK");
    close(fd);
    return NULL;
}

static int run_world(int argc, char **argv)
{
    if (argc < 7)
        return 2;
    int platform = atoi(argv[1]), base = atoi(argv[2]);
    W.work_ms = atoi(argv[3]);
    W.capacity = atoi(argv[4]);
    W.max_conns = 25;
    W.term = 1;
    W.lag_ms = getenv("RV2_LAG_MS") ? atoi(getenv("RV2_LAG_MS")) : 0;
    signal(SIGUSR1, on_drain);
    start_thread(watch_drain, NULL);
    for (int i = 5; i < argc && W.n_controls < MAX_CONTROLS; i++) {
        if (sscanf(argv[i], "%45[^:]:%d", W.control_ip[W.n_controls],
                   &W.control_port[W.n_controls]) == 2)
            W.n_controls++;
    }
    for (int i = 0; i < INSTS; i++) {
        W.inst[i] = (struct inst){.at = i, .port = base + i, .service = "reg0"};
        snprintf(W.inst[i].id, WORD, "i-%d", i);
        begin_serving(&W.inst[i]);
        start_thread(beat, &W.inst[i]);
    }
    int ln = listen_at("127.0.0.1", platform);
    for (;;) {
        int fd = accept(ln, NULL, NULL);
        if (fd >= 0)
            start_thread(serve_order, (void *)(intptr_t)fd);
    }
}

/* ---- clients: sessions that stay open and run one read transaction after the other ---- */

enum { MAX_NODES = 8, KEYS = 6 }; /* a client's key is KEY with a number below KEYS */

static struct balancer {
    int n, front[MAX_NODES], ready[MAX_NODES];
    bool in[MAX_NODES];
    int missed[MAX_NODES];
} B;
static const char *database, *client_key;
static int n_statements, pause_ms;
static long clients_end;
static unsigned client_seed;

/* Every second each node is asked at its ready address; two misses take it out. */
static void *probe_ready(void *arg)
{
    int i = (int)(intptr_t)arg;
    char location[512];
    while (now_ms() < clients_end) {
        int status = exchange("127.0.0.1", B.ready[i], "GET", "/api/readyz", "", location,
                              sizeof(location));
        bool before = B.in[i];
        B.missed[i] = status == 200 ? 0 : B.missed[i] + 1;
        B.in[i] = status == 200 || (before && B.missed[i] < 2);
        if (B.in[i] != before)
            record("ready node %d %s", i, B.in[i] ? "in" : "out");
        sleep_ms(1000);
    }
    return NULL;
}

/* Under half of the zone's nodes in: all of them are used. */
static int pick_node(unsigned *seed)
{
    int use[MAX_NODES], k = 0, in = 0;
    for (int i = 0; i < B.n; i++)
        in += B.in[i];
    for (int i = 0; i < B.n; i++) {
        if (B.in[i] || 2 * in < B.n)
            use[k++] = i;
    }
    return use[rand_r(seed) % (unsigned)k];
}

struct caller {
    struct input in;
    long number, n;
    int node;
    char state; /* of the last READY */
};

static bool open_session(struct caller *c)
{
    char line[4096];
    c->in.n = 0;
    c->in.fd = connect_to("127.0.0.1", B.front[c->node], 2500);
    if (c->in.fd < 0)
        return false;
    if (say(c->in.fd, "STARTUP %s %s%ld\r\n", database, client_key, c->number % KEYS) &&
        read_line(&c->in, line, sizeof(line)) == 1 && strncmp(line, "READY", 5) == 0)
        return true;
    close(c->in.fd);
    return false;
}

/* Returns what became of the statement: "ok", "error", "cut" (the connection ended) or
 * "deadline". */
static const char *ask(struct caller *c, const char *text)
{
    char id[WORD], line[4096], error[200] = "";
    bool complete = false;
    snprintf(id, sizeof(id), "q%ld.%ld.n%d", c->number, c->n++, c->node);
    record("sent %s %s", id, text);
    int rc = say(c->in.fd, "QUERY %s %s\r\n", id, text) ? 1 : 0;
    while (rc == 1 && (rc = read_line(&c->in, line, sizeof(line))) == 1) {
        if (strncmp(line, "COMPLETE ", 9) == 0)
            complete = true;
        if (strncmp(line, "ERROR ", 6) == 0)
            snprintf(error, sizeof(error), "%.190s", line + 6);
        if (strncmp(line, "READY ", 6) == 0) {
            c->state = line[6];
            record("answer %s %s %s", id, complete ? "ok" : "error", error);
            return complete ? "ok" : "error";
        }
    }
    record("answer %s %s", id, rc < 0 ? "deadline" : "cut");
    return rc < 0 ? "deadline" : "cut";
}

/* One transaction. Returns false if the session is over. */
static bool run_transaction(struct caller *c, unsigned *seed)
{
    char text[WORD];
    const char *what = ask(c, "BEGIN READ");
    for (int i = 0; i < n_statements && strcmp(what, "ok") == 0; i++) {
        sleep_ms(pause_ms / 2 + rand_r(seed) % (unsigned)(pause_ms + 1));
        snprintf(text, sizeof(text), "READ k%ld", c->number);
        what = ask(c, text);
    }
    if (strcmp(what, "ok") == 0)
        what = ask(c, "COMMIT");
    else if (strcmp(what, "error") == 0 && c->state != 'I')
        what = ask(c, "ROLLBACK");
    return (strcmp(what, "ok") == 0 || strcmp(what, "error") == 0) && c->state == 'I';
}

static void *run_client(void *arg)
{
    struct caller c = {.number = (long)(intptr_t)arg};
    unsigned seed = client_seed * 7919u + (unsigned)c.number;
    while (now_ms() < clients_end) {
        c.node = pick_node(&seed);
        if (!open_session(&c)) {
            sleep_ms(100);
            continue;
        }
        while (now_ms() < clients_end && run_transaction(&c, &seed))
            sleep_ms(rand_r(&seed) % 50);
        close(c.in.fd);
    }
    return NULL;
}

static int run_clients(int argc, char **argv)
{
    if (argc < 9)
        return 2;
    clients_end = now_ms() + atol(argv[1]) * 1000;
    int n = atoi(argv[2]);
    client_seed = (unsigned)atoi(argv[3]);
    database = argv[4];
    client_key = argv[5];
    n_statements = atoi(argv[6]);
    pause_ms = atoi(argv[7]);
    for (int i = 8; i < argc && B.n < MAX_NODES; i++) {
        if (sscanf(argv[i], "%d:%d", &B.front[B.n], &B.ready[B.n]) != 2)
            return 2;
        B.in[B.n] = true;
        start_thread(probe_ready, (void *)(intptr_t)B.n++);
    }
    for (int i = 0; i < n; i++)
        start_thread(run_client, (void *)(intptr_t)i);
    sleep_ms(clients_end - now_ms() + 3000);
    return 0;
}

/* ---- leavers: instances that are replaced one after the other ---- */

enum {
    ROLLING = 4,     /* instances of each service that are replaced, beside a primary */
    ROUND_MS = 9000, /* one instance's time from its start to its end */
    DRAIN_MS = 7300, /* drainMs, and somewhat longer */
    MAX_SERVICES = 8
};

static long leavers_begin, leavers_end;
static bool instances_leave;
static int leader; /* index of the control process that acknowledged last */

/* A call to control, at the process that acknowledged last; 307 is followed. */
static int call_last(const char *method, const char *path, const char *body)
{
    char location[512], ip[46];
    int status = 0, port;
    for (int k = 0; k < 6; k++) {
        int at = leader;
        status = exchange(W.control_ip[at], W.control_port[at], method, path, body, location,
                          sizeof(location));
        if (status == 200 || status == 400)
            break;
        int to = (at + 1) % W.n_controls;
        for (int i = 0; status == 307 && i < W.n_controls; i++) {
            if (sscanf(location, "http://%45[^:]:%d", ip, &port) == 2 &&
                strcmp(ip, W.control_ip[i]) == 0)
                to = i;
        }
        leader = to;
        sleep_ms(status == 307 ? 0 : 200);
    }
    return status;
}

static int report(const struct inst *in, const char *state, unsigned long seq)
{
    char path[256], body[700];
    snprintf(path, sizeof(path), "/api/instances/%s/heartbeat", in->id);
    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\","
             "\"version\":\"v1\",\"capacity\":3,\"state\":\"%s\",\"warmupLeftMs\":0,"
             "\"dbRole\":\"%s\",\"callSeq\":%lu}",
             in->service, in->port, state, in->replica ? "replica" : "primary", seq);
    return call_last("POST", path, body);
}

/* A configuration whose route names a service that it does not list. */
static void send_invalid(const char *after)
{
    static int versions = 1000;
    char body[600];
    int version = __sync_add_and_fetch(&versions, 1);
    snprintf(body, sizeof(body),
             "{\"version\":%d,\"routes\":[{\"name\":\"r1\",\"host\":\"p\","
             "\"pathPrefix\":\"/\",\"kind\":\"primary\",\"timeoutMs\":2000,"
             "\"service\":\"no-such-service\"}],\"services\":[{\"name\":\"reg0\","
             "\"maxConns\":25}],\"limits\":{}}",
             version);
    int status = call_last("POST", "/api/config/replace", body);
    record("invalid configuration %d after %s: %d", version, after, status);
}

/* A place for an instance, with the addresses of the one that is there and of its successor. */
struct slot {
    struct inst inst[2];
    long first_end;
};

/* The instance reports that it drains, serves for drainMs and somewhat longer, and deregisters
 * as soon as its successor has registered. The tool that replaces the instances goes on with an
 * order to the operator's interface each time. With `stay` no instance leaves. */
static void *run_slot(void *arg)
{
    struct slot *s = arg;
    struct inst *in = &s->inst[0];
    unsigned long seq = 1;
    begin_serving(in);
    report(in, "ready", seq++);
    for (int n = 1; now_ms() < leavers_end; n++) {
        long end = s->first_end + (n - 1) * ROUND_MS;
        char path[256];
        sleep_ms(end - DRAIN_MS - now_ms());
        if (instances_leave)
            record("draining %s: %d", in->id, report(in, "draining", seq++));
        while (now_ms() < end - 1300) {
            sleep_ms(1200);
            report(in, instances_leave ? "draining" : "ready", seq++);
        }
        sleep_ms(end - now_ms());
        if (instances_leave) {
            end_serving(in);
            sleep_ms(100);
        }
        if (!instances_leave) {
            report(in, "ready", seq++);
            send_invalid("no leave");
            continue;
        }
        struct inst *next = &s->inst[n % 2];
        snprintf(next->id, sizeof(next->id), "%s-%d-%d", in->service, in->at, n);
        snprintf(path, sizeof(path), "/api/instances/%s/deregister", in->id);
        begin_serving(next);
        int joined = report(next, "ready", seq = 1);
        int left = call_last("POST", path, "");
        send_invalid(in->id);
        record("register %s: %d", next->id, joined);
        record("deregister %s: %d", in->id, left);
        in = next;
        seq = 2;
    }
    return NULL;
}

/* A service's primary stays. */
static void *run_primary(void *arg)
{
    struct inst *in = arg;
    begin_serving(in);
    for (unsigned long seq = 1; now_ms() < leavers_end; seq++) {
        report(in, "ready", seq);
        sleep_ms(1200);
    }
    return NULL;
}

static void start_inst(struct inst *in, int at, int port, const char *service)
{
    *in = (struct inst){.at = at, .port = port, .service = service, .replica = at > 0};
    snprintf(in->id, sizeof(in->id), "%s-%d-0", service, at);
}

static int run_leavers(int argc, char **argv)
{
    static char names[MAX_SERVICES][16];
    if (argc < 6)
        return 2;
    int port = atoi(argv[1]), services = atoi(argv[2]), k = 0;
    leavers_begin = now_ms();
    leavers_end = leavers_begin + atol(argv[3]) * 1000;
    instances_leave = strcmp(argv[4], "leave") == 0;
    W.capacity = 3;
    W.max_conns = 25;
    W.term = 1;
    for (int i = 5; i < argc && W.n_controls < MAX_CONTROLS; i++) {
        if (sscanf(argv[i], "%45[^:]:%d", W.control_ip[W.n_controls],
                   &W.control_port[W.n_controls]) == 2)
            W.n_controls++;
    }
    int slots = services * ROLLING;
    for (int g = 0; g < services && g < MAX_SERVICES; g++) {
        snprintf(names[g], sizeof(names[g]), "sv%d", g);
        struct inst *primary = calloc(1, sizeof(*primary));
        start_inst(primary, 0, port++, names[g]);
        start_thread(run_primary, primary);
        for (int i = 1; i <= ROLLING; i++, k++) {
            struct slot *s = calloc(1, sizeof(*s));
            start_inst(&s->inst[0], i, port++, names[g]);
            start_inst(&s->inst[1], i, port++, names[g]);
            s->first_end = leavers_begin + ROUND_MS + k * ROUND_MS / slots;
            start_thread(run_slot, s);
        }
    }
    sleep_ms(leavers_end - now_ms() + 2 * ROUND_MS);
    return 0;
}

/* ---- commits: transactions that write, committed at the same moment ---- */

static int n_commits, id_bytes, n_ready;
static long commit_at; /* set when all are ready */
static pthread_mutex_t ready_lock = PTHREAD_MUTEX_INITIALIZER;

/* Sends the statement and waits for its answer, whose error is copied to `error`. */
static const char *ask_as(struct caller *c, const char *id, const char *text, char error[200])
{
    char line[4096];
    bool complete = false;
    error[0] = 0;
    int rc = say(c->in.fd, "QUERY %s %s\r\n", id, text) ? 1 : 0;
    while (rc == 1 && (rc = read_line(&c->in, line, sizeof(line))) == 1) {
        if (strncmp(line, "COMPLETE ", 9) == 0)
            complete = true;
        if (strncmp(line, "ERROR ", 6) == 0)
            snprintf(error, 200, "%.190s", line + 6);
        if (strncmp(line, "READY ", 6) == 0)
            return complete ? "ok" : "error";
    }
    return rc < 0 ? "deadline" : "cut";
}

static void *run_commit(void *arg)
{
    struct caller c = {.number = (long)(intptr_t)arg};
    char id[ID], text[WORD], error[200];
    if (!open_session(&c)) {
        record("no session for client %ld", c.number);
        exit(2);
    }
    snprintf(text, sizeof(text), "WRITE k%ld 1", c.number);
    bool ok = strcmp(ask(&c, "BEGIN"), "ok") == 0 && strcmp(ask(&c, text), "ok") == 0;
    pthread_mutex_lock(&ready_lock);
    if (++n_ready == n_commits)
        commit_at = now_ms() + 200;
    pthread_mutex_unlock(&ready_lock);
    while (!commit_at)
        sleep_ms(5);
    sleep_ms(commit_at - now_ms());
    snprintf(id, sizeof(id), "c%ld-", c.number);
    while ((int)strlen(id) < id_bytes)
        strcat(id, "0");
    if (ok) {
        record("sent %s COMMIT", id);
        const char *what = ask_as(&c, id, "COMMIT", error);
        record("answer %s %s %s", id, what, error);
    }
    close(c.in.fd);
    pthread_mutex_lock(&ready_lock);
    n_ready--;
    pthread_mutex_unlock(&ready_lock);
    return NULL;
}

static int run_commits(int argc, char **argv)
{
    if (argc < 6)
        return 2;
    n_commits = atoi(argv[1]);
    id_bytes = atoi(argv[2]) < ID ? atoi(argv[2]) : ID - 1;
    database = argv[3];
    client_key = argv[4];
    B.n = 1;
    B.front[0] = atoi(argv[5]);
    for (int i = 0; i < n_commits; i++)
        start_thread(run_commit, (void *)(intptr_t)i);
    for (long end = now_ms() + 15000; now_ms() < end && !(commit_at && n_ready == 0);)
        sleep_ms(20);
    return 0;
}

/* ---- ages: how old is what bounded reads return ---- */

enum { MAX_ACKED = 65536, STALENESS_MS = 1500, PINNED = 6, BOUNDED = 8 };

static struct {
    pthread_mutex_t lock;
    int n;
    struct {
        long at, number;
    } acked[MAX_ACKED];
} A = {.lock = PTHREAD_MUTEX_INITIALIZER};
static int writers_front, readers_front;

/* Sends one statement and reads its row into `row`. */
static bool ask_row(struct caller *c, const char *id, const char *text, char row[WORD])
{
    char line[4096];
    bool complete = false;
    row[0] = 0;
    if (!say(c->in.fd, "QUERY %s %s\r\n", id, text))
        return false;
    while (read_line(&c->in, line, sizeof(line)) == 1) {
        if (strncmp(line, "DATAROW ", 8) == 0)
            snprintf(row, WORD, "%.90s", line + 8);
        if (strncmp(line, "COMPLETE ", 9) == 0)
            complete = true;
        if (strncmp(line, "READY ", 6) == 0) {
            c->state = line[6];
            return complete;
        }
    }
    c->state = 0;
    return false;
}

static bool open_at(struct caller *c, int front, const char *db)
{
    char line[4096];
    c->in.n = 0;
    c->in.fd = connect_to("127.0.0.1", front, 2500);
    if (c->in.fd < 0)
        return false;
    if (say(c->in.fd, "STARTUP %s u1\r\n", db) && read_line(&c->in, line, sizeof(line)) == 1 &&
        strncmp(line, "READY", 5) == 0)
        return true;
    close(c->in.fd);
    sleep_ms(50);
    return false;
}

static void *write_on(void *arg)
{
    struct caller c = {0};
    char id[WORD], text[WORD], row[WORD];
    (void)arg;
    while (now_ms() < clients_end) {
        if (!open_at(&c, writers_front, "p"))
            continue;
        c.state = 'I';
        while (now_ms() < clients_end && c.state == 'I') {
            long n = ++c.n;
            snprintf(id, sizeof(id), "w%ld", n);
            snprintf(text, sizeof(text), "WRITE k0 %ld", n);
            if (ask_row(&c, id, text, row)) {
                long at = now_ms();
                record("acknowledged %s", id);
                pthread_mutex_lock(&A.lock);
                A.acked[A.n].at = at;
                A.acked[A.n++].number = n;
                pthread_mutex_unlock(&A.lock);
            }
            sleep_ms(15);
        }
        close(c.in.fd);
    }
    return NULL;
}

/* Read transactions at the primary, of twelve statements with pauses. */
static void *read_pinned(void *arg)
{
    struct caller c = {.number = (long)(intptr_t)arg};
    char id[WORD], row[WORD];
    sleep_ms(c.number * 400);
    while (now_ms() < clients_end) {
        if (!open_at(&c, readers_front, "p"))
            continue;
        bool ok = true;
        while (ok && now_ms() < clients_end) {
            snprintf(id, sizeof(id), "t%ld.%ld", c.number, c.n++);
            ok = ask_row(&c, id, "BEGIN READ", row);
            for (int i = 0; ok && i < 10; i++) {
                snprintf(id, sizeof(id), "t%ld.%ld", c.number, c.n++);
                ok = ask_row(&c, id, "READ k0", row);
                sleep_ms(ok ? 220 : 0);
            }
            snprintf(id, sizeof(id), "t%ld.%ld", c.number, c.n++);
            ok = c.state && ask_row(&c, id, ok ? "COMMIT" : "ROLLBACK", row);
        }
        close(c.in.fd);
    }
    return NULL;
}

/* The oldest commit after `number` that was acknowledged more than STALENESS_MS before `at`,
 * and when; 0: there is none. */
static long oldest_missing(long number, long at, long *acked_at)
{
    long missing = 0;
    pthread_mutex_lock(&A.lock);
    for (int i = A.n - 1; i >= 0 && A.acked[i].number > number; i--) {
        if (A.acked[i].at < at - STALENESS_MS) {
            missing = A.acked[i].number;
            *acked_at = A.acked[i].at;
        }
    }
    pthread_mutex_unlock(&A.lock);
    return missing;
}

static void *read_bounded(void *arg)
{
    struct caller c = {.number = (long)(intptr_t)arg};
    char id[WORD], row[WORD];
    while (now_ms() < clients_end) {
        if (!open_at(&c, readers_front, "b"))
            continue;
        c.state = 'I';
        while (now_ms() < clients_end && c.state == 'I') {
            long acked_at = 0, at = now_ms();
            snprintf(id, sizeof(id), "b%ld.%ld", c.number, c.n++);
            bool ok = ask_row(&c, id, "READ k0", row);
            long missing = ok ? oldest_missing(atol(row), at, &acked_at) : 0;
            if (missing)
                record("stale %s sent %ld returned %s, lacks w%ld, acknowledged %ld ms before",
                       id, at, row, missing, at - acked_at);
            sleep_ms(10);
        }
        close(c.in.fd);
    }
    return NULL;
}

static int run_ages(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    clients_end = now_ms() + atol(argv[1]) * 1000;
    writers_front = atoi(argv[2]);
    readers_front = atoi(argv[3]);
    start_thread(write_on, NULL);
    for (int i = 0; i < PINNED; i++)
        start_thread(read_pinned, (void *)(intptr_t)i);
    for (int i = 0; i < BOUNDED; i++)
        start_thread(read_bounded, (void *)(intptr_t)i);
    sleep_ms(clients_end - now_ms() + 1000);
    return 0;
}

/* ---- proxy ---- */

/* Connections opened before this generation pass nothing any more, and stay open. SIGUSR1
 * begins a new generation. */
static volatile sig_atomic_t generation;

/* SIGUSR2: nothing passes any more on connections whose first bytes hold the word RV2_CUT,
 * which is in the name of the process that opens them. */
static volatile sig_atomic_t cut;

struct flow {
    volatile bool named;
};

struct side {
    int from, to, generation;
    bool first;
    struct flow *flow;
};

static void on_cut(int sig)
{
    (void)sig;
    cut = 1;
}

static void on_silence(int sig)
{
    (void)sig;
    generation++;
}

static void *pass_bytes(void *arg)
{
    struct side s = *(struct side *)arg;
    char buf[65536];
    ssize_t n;
    free(arg);
    for (;;) {
        n = recv(s.from, buf, sizeof(buf), 0);
        if (n < 0 && errno == EINTR)
            continue;
        const char *word = getenv("RV2_CUT");
        if (s.first && n > 0 && word && memmem(buf, (size_t)n, word, strlen(word)))
            s.flow->named = true;
        s.first = false;
        if (cut && s.flow->named && n > 0)
            continue;
        if (s.generation != generation) {
            if (n <= 0)
                break; /* this end has given the connection up; the other learns nothing */
            continue;
        }
        if (n <= 0 || !send_all(s.to, buf, (size_t)n))
            break;
    }
    if (s.generation == generation) {
        shutdown(s.to, SHUT_RDWR);
        shutdown(s.from, SHUT_RDWR);
    }
    return NULL; /* descriptors are few; they end with the process */
}

struct route {
    int listener, port;
    char ip[46];
};

static void *accept_flows(void *arg)
{
    const struct route *r = arg;
    for (;;) {
        int a = accept(r->listener, NULL, NULL), on = 1;
        if (a < 0)
            continue;
        struct sockaddr_in to = address(r->ip, r->port);
        int b = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(b, (struct sockaddr *)&to, sizeof(to)) != 0) {
            struct linger hard = {1, 0};
            setsockopt(a, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
            close(a);
            close(b);
            continue;
        }
        setsockopt(a, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        setsockopt(b, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        int g = generation;
        struct side *x = malloc(sizeof(*x)), *y = malloc(sizeof(*y));
        struct flow *f = calloc(1, sizeof(*f));
        *x = (struct side){a, b, g, true, f};
        *y = (struct side){b, a, g, false, f};
        start_thread(pass_bytes, x);
        start_thread(pass_bytes, y);
    }
    return NULL;
}

static int run_proxy(int argc, char **argv)
{
    struct sigaction sa = {.sa_handler = on_silence, .sa_flags = SA_RESTART};
    sigaction(SIGUSR1, &sa, NULL);
    sa.sa_handler = on_cut;
    sigaction(SIGUSR2, &sa, NULL);
    for (int i = 1; i < argc; i++) {
        char ip[46];
        int port;
        struct route *r = calloc(1, sizeof(*r));
        if (sscanf(argv[i], "%45[^:]:%d=%45[^:]:%d", ip, &port, r->ip, &r->port) != 4)
            return 2;
        r->listener = listen_at(ip, port);
        start_thread(accept_flows, r);
    }
    for (int seen = 0;;) {
        sleep_ms(20);
        if (generation != seen) {
            seen = generation;
            record("all connections that are open at the proxy are silent from now on");
        }
    }
}

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (argc < 3 || !(record_file = fopen(argv[2], "a"))) {
        fprintf(stderr, "usage: rv2 world|clients|leavers|commits|ages|proxy RECORD ...\n");
        return 2;
    }
    if (strcmp(argv[1], "world") == 0)
        return run_world(argc - 2, argv + 2);
    if (strcmp(argv[1], "clients") == 0)
        return run_clients(argc - 2, argv + 2);
    if (strcmp(argv[1], "leavers") == 0)
        return run_leavers(argc - 2, argv + 2);
    if (strcmp(argv[1], "ages") == 0)
        return run_ages(argc - 2, argv + 2);
    if (strcmp(argv[1], "commits") == 0)
        return run_commits(argc - 2, argv + 2);
    if (strcmp(argv[1], "proxy") == 0)
        return run_proxy(argc - 2, argv + 2);
    return 2;
}
