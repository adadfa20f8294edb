/* Replication between stand-ins: asynchronous, with settable lag. */
#include <stdlib.h>

#include "misc/clock.h"
#include "tests/standin/instance.h"

enum { RETRY_US = 100000, STREAM_BATCH = 512, STREAM_QUEUE = 1 << 20 };

/* A record under way to this replica. */
struct in_arrival {
    struct in_arrival *next;
    int64_t due;
    uint64_t term;
    char *text, *claim, *answer;
    int64_t apply_due;
};

/* ---- telling that positions moved ---- */

static void push_now(void *ud)
{
    struct in_instance *in = ud;
    in->push_set = false;
    json_t *o = in_positions(in, json_pack("{s:s}", "result", "ok"));
    char *s = json_dumps(o, JSON_COMPACT);
    for (struct in_conn *c = in->conns; c; c = c->next) {
        if (c->subscribed && c->ready && c->net)
            nt_send(c->net, s, strlen(s));
    }
    free(s);
    json_decref(o);
}

void in_moved(struct in_instance *in)
{
    in_check_waiting(in);
    if (in->push_set || in->o.no_push)
        return;
    in->push_set = true;
    nt_timer_set(in->loop, &in->push_timer, 1, push_now, in);
}

/* ---- the primary's side ---- */

static void stream_to(struct in_instance *in, struct in_conn *c)
{
    uint64_t last = eg_held(in->eng).pos;
    for (int i = 0; i < STREAM_BATCH && c->sent_pos < last; i++) {
        if (nt_queued(c->net) > STREAM_QUEUE)
            break;
        const struct eg_record *r = eg_record(in->eng, ++c->sent_pos);
        in_reply(c,
                 json_pack("{s:I,s:I,s:s,s:s,s:s}", "p", (json_int_t)c->sent_pos, "t",
                           (json_int_t)r->term, "s", r->text, "c", r->claim, "a", r->answer));
    }
}

void in_stream(struct in_instance *in)
{
    for (struct in_conn *c = in->conns; c; c = c->next) {
        if (c->replica && c->net)
            stream_to(in, c);
    }
}

/* The last position at which both logs agree, from the other's term starts and end. */
static uint64_t common_pos(struct in_instance *in, const json_t *theirs, uint64_t their_last)
{
    struct ps_start mine[64];
    int n = eg_starts(in->eng, mine, 64);
    uint64_t last = eg_held(in->eng).pos, common = 0;
    for (int i = 0; i < n && i < (int)json_array_size(theirs); i++) {
        const json_t *s = json_array_get(theirs, (size_t)i);
        uint64_t term = (uint64_t)json_integer_value(json_array_get(s, 0));
        uint64_t from = (uint64_t)json_integer_value(json_array_get(s, 1));
        if (term != mine[i].term || from != mine[i].pos)
            break;
        const json_t *after = json_array_get(theirs, (size_t)i + 1);
        uint64_t my_end = i + 1 < n ? mine[i + 1].pos : last;
        uint64_t their_end =
            after ? (uint64_t)json_integer_value(json_array_get(after, 1)) : their_last;
        common = my_end < their_end ? my_end : their_end;
        if (my_end != their_end)
            break;
    }
    return common;
}

void in_replica_joined(struct in_conn *c, const json_t *req)
{
    struct in_instance *in = c->in;
    uint64_t term = (uint64_t)json_integer_value(json_object_get(req, "term"));
    if (!in->primary || term != in->term) {
        nt_close(c->net, true);
        return;
    }
    uint64_t last = (uint64_t)json_integer_value(json_object_get(req, "last"));
    c->replica = true;
    c->sent_pos = common_pos(in, json_object_get(req, "starts"), last);
    in_reply(c, json_pack("{s:I}", "common", (json_int_t)c->sent_pos));
    stream_to(in, c);
}

/* ---- the replica's side ---- */

static void apply_due(void *ud)
{
    struct in_instance *in = ud;
    int64_t now = ck_now();
    struct in_arrival *a;
    bool moved = false;
    while ((a = in->arrivals) && a->apply_due && a->apply_due <= now) {
        in->arrivals = a->next;
        if (!in->arrivals)
            in->arrivals_tail = &in->arrivals;
        eg_apply_to(in->eng, eg_applied(in->eng).pos + 1);
        free(a);
        moved = true;
    }
    if (in->arrivals && in->arrivals->apply_due)
        nt_timer_set(in->loop, &in->apply_timer, in->arrivals->apply_due - now, apply_due, in);
    if (moved)
        in_moved(in);
}

static void arrive_due(void *ud)
{
    struct in_instance *in = ud;
    int64_t now = ck_now();
    bool moved = false;
    struct in_arrival *a = in->arrivals;
    while (a && a->apply_due)
        a = a->next;
    for (; a && a->due <= now; a = a->next) {
        in_append(in, a->term, a->text, a->claim, a->answer);
        free(a->text);
        free(a->claim);
        free(a->answer);
        a->text = a->claim = a->answer = NULL;
        a->apply_due = now + in->o.apply_us + 1;
        moved = true;
    }
    if (a)
        nt_timer_set(in->loop, &in->arrive_timer, a->due - now, arrive_due, in);
    if (moved) {
        in_moved(in);
        apply_due(in);
    }
}

static void drop_arrivals(struct in_instance *in)
{
    while (in->arrivals) {
        struct in_arrival *a = in->arrivals;
        in->arrivals = a->next;
        free(a->text);
        free(a->claim);
        free(a->answer);
        free(a);
    }
    in->arrivals_tail = &in->arrivals;
}

static void take_record(struct in_instance *in, const json_t *o)
{
    struct in_arrival *a = sr_alloc(sizeof(*a));
    a->due = ck_now() + in->o.ship_us;
    a->term = (uint64_t)json_integer_value(json_object_get(o, "t"));
    a->text = strdup(json_string_value(json_object_get(o, "s")));
    a->claim = strdup(json_string_value(json_object_get(o, "c")));
    a->answer = strdup(json_string_value(json_object_get(o, "a")));
    *in->arrivals_tail = a;
    in->arrivals_tail = &a->next;
    if (in->o.ship_us == 0)
        arrive_due(in);
    else if (!in->arrive_timer.due)
        nt_timer_set(in->loop, &in->arrive_timer, in->o.ship_us, arrive_due, in);
}

static void up_open(struct nt_conn *net, void *ud)
{
    struct in_instance *in = ud;
    struct ps_start starts[64];
    int n = eg_starts(in->eng, starts, 64);
    json_t *a = json_array();
    for (int i = 0; i < n; i++)
        json_array_append_new(
            a, json_pack("[I,I]", (json_int_t)starts[i].term, (json_int_t)starts[i].pos));
    char who[32];
    snprintf(who, sizeof(who), "replica:%d", in->o.port);
    json_t *hello = json_pack("{s:s,s:s}", "op", "hello", "from", who);
    json_t *o =
        json_pack("{s:s,s:I,s:I,s:o}", "op", "replicate", "term", (json_int_t)in->up_term,
                  "last", (json_int_t)eg_held(in->eng).pos, "starts", a);
    char *s = json_dumps(hello, JSON_COMPACT), *t = json_dumps(o, JSON_COMPACT);
    nt_send(net, s, strlen(s));
    nt_send(net, t, strlen(t));
    free(s);
    free(t);
    json_decref(hello);
    json_decref(o);
}

static void up_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct in_instance *in = ud;
    (void)net;
    json_t *o = json_loadb(data, len, 0, NULL);
    if (json_object_get(o, "p")) {
        take_record(in, o);
    } else if (json_object_get(o, "common")) {
        uint64_t common = (uint64_t)json_integer_value(json_object_get(o, "common"));
        if (common < eg_held(in->eng).pos) {
            eg_truncate(in->eng, common);
            in_rewrite(in);
        }
        eg_apply_to(in->eng, UINT64_MAX);
        in->clean = true;
        in->following = in->up_term;
        in_moved(in);
    }
    json_decref(o);
}

static void up_retry(void *ud);

static void up_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct in_instance *in = ud;
    (void)opened;
    (void)refused;
    if (in->up != net)
        return;
    in->up = NULL;
    nt_timer_set(in->loop, &in->retry_timer, RETRY_US, up_retry, in);
}

static const struct nt_ops up_ops = {up_open, up_message, up_close};

static void up_retry(void *ud)
{
    struct in_instance *in = ud;
    if (!in->up && !in->primary && in->up_term == in->term)
        in->up = nt_connect(in->loop, in->up_ip, in->up_port, false, &up_ops, in);
}

void in_unfollow(struct in_instance *in)
{
    struct nt_conn *up = in->up;
    in->up = NULL;
    in->following = 0;
    if (up)
        nt_forget(up);
    drop_arrivals(in);
}

void in_follow(struct in_instance *in, uint64_t term, const char *ip, int port)
{
    if (in->up && in->up_term == term && !in->primary)
        return;
    in_unfollow(in);
    in->clean = in->clean && !in->primary;
    in->primary = false;
    in->term = in->up_term = term;
    in_note_term(in);
    sr_copy(in->up_ip, sizeof(in->up_ip), sr_from(ip));
    in->up_port = port;
    up_retry(in);
}

/* ---- the file that keeps the log over a restart ---- */

void in_load(struct in_instance *in)
{
    char line[8192];
    FILE *f = in->o.data ? fopen(in->o.data, "r") : NULL;
    while (f && fgets(line, sizeof(line), f)) {
        json_t *o = json_loads(line, 0, NULL);
        uint64_t fence = (uint64_t)json_integer_value(json_object_get(o, "f"));
        if (fence > in->term)
            in->term = fence;
        if (json_object_get(o, "s"))
            eg_append(in->eng, (uint64_t)json_integer_value(json_object_get(o, "t")),
                      json_string_value(json_object_get(o, "s")),
                      json_string_value(json_object_get(o, "c")),
                      json_string_value(json_object_get(o, "a")));
        json_decref(o);
    }
    if (f)
        fclose(f);
    eg_apply_to(in->eng, UINT64_MAX);
    if (eg_held(in->eng).term > in->term)
        in->term = eg_held(in->eng).term;
    if (in->o.data)
        in->file = fopen(in->o.data, "a");
}

void in_note_term(struct in_instance *in)
{
    if (!in->file)
        return;
    fprintf(in->file, "{\"f\":%llu}\n", (unsigned long long)in->term);
    fflush(in->file);
}

void in_rewrite(struct in_instance *in)
{
    if (!in->file)
        return;
    fclose(in->file);
    in->file = fopen(in->o.data, "w");
    for (uint64_t p = 1; p <= eg_held(in->eng).pos; p++) {
        const struct eg_record *r = eg_record(in->eng, p);
        json_t *o = json_pack("{s:I,s:s,s:s,s:s}", "t", (json_int_t)r->term, "s", r->text, "c",
                              r->claim, "a", r->answer);
        json_dumpf(o, in->file, JSON_COMPACT);
        fputc('\n', in->file);
        json_decref(o);
    }
    in_note_term(in);
}
