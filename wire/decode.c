/* Decodes untrusted msgpack messages; wire/wire.h describes them. */
#include "limit/limit.h"
#include "route/capacity.h"
#include "wire/precheck.h"
#include "wire/wire.h"

#include <stdlib.h>

#include <zlib.h>

/* A cursor over an array. `bad` is set by an element of a wrong type or out of bounds. */
struct reader {
    const msgpack_object_array *a;
    uint32_t i;
    bool bad;
    msgpack_zone *zone;
};

static const msgpack_object *next_field(struct reader *r)
{
    return r->i < r->a->size ? &r->a->ptr[r->i++] : NULL;
}

static uint64_t get_u(struct reader *r)
{
    const msgpack_object *o = next_field(r);
    if (!o)
        return 0;
    if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        r->bad = true;
    return r->bad ? 0 : o->via.u64;
}

/* Reads an unsigned number of at most `max`. */
static uint32_t get_max(struct reader *r, uint64_t max)
{
    uint64_t v = get_u(r);
    if (v > max)
        r->bad = true;
    return r->bad ? 0 : (uint32_t)v;
}

static bool get_b(struct reader *r)
{
    const msgpack_object *o = next_field(r);
    if (!o)
        return false;
    if (o->type != MSGPACK_OBJECT_BOOLEAN)
        r->bad = true;
    return !r->bad && o->via.boolean;
}

static struct sr_str get_s(struct reader *r)
{
    const msgpack_object *o = next_field(r);
    if (!o)
        return SR_LIT("");
    if (o->type != MSGPACK_OBJECT_BIN) {
        r->bad = true;
        return SR_LIT("");
    }
    return (struct sr_str){o->via.bin.ptr ? o->via.bin.ptr : "", o->via.bin.size};
}

static void get_field(struct reader *r, char *dst, size_t cap)
{
    if (!sr_copy(dst, cap, get_s(r)))
        r->bad = true;
}

static struct reader get_list(struct reader *r, uint32_t max)
{
    static const msgpack_object_array none;
    const msgpack_object *o = next_field(r);
    struct reader in = {&none, 0, false, r->zone};
    if (!o)
        return in;
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > max) {
        r->bad = true;
        return in;
    }
    in.a = &o->via.array;
    return in;
}

static void *zone_alloc(struct reader *r, size_t n, size_t size)
{
    void *p = msgpack_zone_malloc(r->zone, n * size + 1);
    if (!p)
        abort();
    memset(p, 0, n * size + 1);
    return p;
}

/* Reads what put_deflated wrote. At most `max` bytes are inflated, whatever length the sender
 * announces. */
static struct sr_str get_deflated(struct reader *r, uint64_t max)
{
    struct sr_str s = get_s(r);
    uLongf len = get_max(r, max);
    if (r->bad || len == 0)
        return s;
    char *p = zone_alloc(r, len, 1);
    if (uncompress((Bytef *)p, &len, (const Bytef *)s.p, s.len) != Z_OK)
        r->bad = true;
    return r->bad ? SR_LIT("") : (struct sr_str){p, len};
}

static void get_hello(struct reader *r, struct wr_hello *h)
{
    h->version = get_max(r, UINT32_MAX);
    h->cluster = get_s(r);
    h->name = get_s(r);
    h->domain = get_s(r);
    h->ip = get_s(r);
    h->port = get_max(r, 65535);
    h->role = (enum wr_role)get_max(r, WR_ROLE_OBSERVER);
    h->id = get_u(r);
    h->expected_id = get_u(r);
    h->capacity = get_max(r, CP_MAX_STATEMENTS_PER_S);
    h->http_port = get_max(r, 65535);
}

static const struct qr_members *get_members(struct reader *r)
{
    struct reader list = get_list(r, QR_MAX_MEMBERS);
    struct qr_members *m = zone_alloc(r, 1, sizeof(*m));
    for (uint32_t i = 0; i < list.a->size && !r->bad; i++) {
        struct reader one = get_list(&list, 64);
        struct qr_member *p = &m->m[m->n++];
        p->id = get_u(&one);
        p->voter = get_b(&one);
        get_field(&one, p->name, sizeof(p->name));
        get_field(&one, p->ip, sizeof(p->ip));
        p->port = (int)get_max(&one, 65535);
        get_field(&one, p->domain, sizeof(p->domain));
        r->bad = r->bad || one.bad || list.bad;
    }
    return m;
}

static void get_entries(struct reader *r, struct qr_msg *m)
{
    struct reader list = get_list(r, QR_MAX_BATCH);
    struct qr_entry *e = zone_alloc(r, list.a->size, sizeof(*e));
    m->n = list.a->size;
    m->entries = e;
    for (uint32_t i = 0; i < m->n && !r->bad; i++) {
        struct reader one = get_list(&list, 64);
        e[i].index = get_u(&one);
        e[i].term = get_u(&one);
        e[i].type = (enum qr_entry_type)get_max(&one, QR_MEMBERS);
        if (e[i].type == QR_MEMBERS) {
            e[i].data = (char *)get_members(&one);
            e[i].len = sizeof(struct qr_members);
        } else {
            struct sr_str s = get_s(&one);
            e[i].data = (char *)s.p;
            e[i].len = (uint32_t)s.len;
        }
        bool order = e[i].index == m->index + 1 + i && e[i].len <= QR_MAX_ENTRY;
        r->bad = r->bad || one.bad || list.bad || !order;
    }
}

static void get_quorum(struct reader *r, struct qr_msg *m)
{
    m->type = (enum qr_msg_type)get_max(r, QR_TIMEOUT_NOW);
    m->from = get_u(r);
    m->to = get_u(r);
    m->term = get_u(r);
    m->index = get_u(r);
    m->log_term = get_u(r);
    m->commit = get_u(r);
    m->round = get_u(r);
    m->ok = get_b(r);
    m->transfer = get_b(r);
    get_entries(r, m);
    m->members = get_members(r);
    struct sr_str s = get_s(r);
    m->data = s.p;
    m->len = (uint32_t)s.len;
    m->no_leader_seen = get_b(r);
}

static struct wr_share *get_shares(struct reader *r, uint32_t *n)
{
    struct reader list = get_list(r, WR_MAX_SHARES);
    struct wr_share *s = zone_alloc(r, list.a->size, sizeof(*s));
    *n = list.a->size;
    for (uint32_t i = 0; i < *n && !r->bad; i++) {
        struct reader one = get_list(&list, 64);
        s[i].inst = get_s(&one);
        s[i].held = get_max(&one, 100000);
        s[i].want = get_max(&one, 100000);
        r->bad = r->bad || one.bad || list.bad;
    }
    return s;
}

static struct wr_permit *get_permits(struct reader *r, uint32_t *n)
{
    struct reader list = get_list(r, WR_MAX_PERMITS);
    struct wr_permit *p = zone_alloc(r, list.a->size, sizeof(*p));
    *n = list.a->size;
    for (uint32_t i = 0; i < *n && !r->bad; i++) {
        struct reader one = get_list(&list, 64);
        p[i].account = get_s(&one);
        p[i].given = get_max(&one, LM_MAX_PERMITS);
        p[i].over_ms = get_max(&one, UINT32_MAX);
        r->bad = r->bad || one.bad || list.bad;
    }
    return p;
}

static struct wr_permit_ask *get_permit_asks(struct reader *r, uint32_t *n)
{
    struct reader list = get_list(r, WR_MAX_PERMITS);
    struct wr_permit_ask *a = zone_alloc(r, list.a->size, sizeof(*a));
    *n = list.a->size;
    for (uint32_t i = 0; i < *n && !r->bad; i++) {
        struct reader one = get_list(&list, 64);
        a[i].account = get_s(&one);
        a[i].held = get_max(&one, LM_MAX_PERMITS);
        a[i].want = get_max(&one, LM_MAX_PERMITS);
        a[i].returned = get_max(&one, LM_MAX_PERMITS);
        r->bad = r->bad || one.bad || list.bad;
    }
    return a;
}

/* WR_SHARES: the shares that a node may hold now. */
static void get_shares_message(struct reader *r, struct wr_shares *s)
{
    s->shares = get_shares(r, &s->n);
    s->seq = get_u(r);
    s->permits = get_permits(r, &s->n_permits); /* usually absent */
    s->renewal = get_u(r);
}

static void get_view(struct reader *r, struct wr_view *v)
{
    v->from = get_u(r);
    v->to = get_u(r);
    v->text = get_deflated(r, WR_MAX_VIEW_BYTES);
}

static void get_renew(struct reader *r, struct wr_renew *m)
{
    m->seq = get_u(r);
    m->generation = get_u(r);
    m->hlc = get_u(r);
    m->stopping = get_b(r);
    m->shares = get_shares(r, &m->n);
    m->shares_seq = get_u(r);
    m->leaving = get_b(r); /* usually absent */
    m->nodes_hash = get_u(r);
    m->permits = get_permit_asks(r, &m->n_permits);
    m->permits_complete = get_b(r);
}

static void get_grant(struct reader *r, struct wr_grant *g)
{
    g->seq = get_u(r);
    g->hlc = get_u(r);
    g->duration_ms = get_max(r, 3600 * 1000);
    g->generation = get_u(r);
    g->permits_known = get_u(r) != 0; /* usually absent */
}

static void get_check(struct reader *r, struct wr_check *c)
{
    c->nonce = get_u(r);
    c->inst = get_s(r);
    c->health = (enum wr_health)get_max(r, WR_UNFIT);
}

static void get_probes(struct reader *r, struct wr_probes *p)
{
    struct reader list = get_list(r, WR_MAX_PROBES);
    p->n = list.a->size;
    p->probes = zone_alloc(r, p->n, sizeof(*p->probes));
    for (uint32_t i = 0; i < p->n && !r->bad; i++) {
        struct reader one = get_list(&list, 64);
        struct wr_probe *x = &p->probes[i];
        x->inst = get_s(&one);
        x->health = (enum wr_health)get_max(&one, WR_REFUSED);
        x->primary = get_b(&one);
        x->term = get_u(&one);
        x->last_term = get_u(&one);
        x->pos = get_u(&one);
        x->following = get_u(&one);
        r->bad = r->bad || one.bad || list.bad;
    }
}

static void get_node_list(struct reader *r, struct wr_nodes *m)
{
    struct reader list = get_list(r, WR_MAX_NODES);
    m->n = list.a->size;
    m->nodes = zone_alloc(r, m->n, sizeof(*m->nodes));
    for (uint32_t i = 0; i < m->n && !r->bad; i++) {
        struct reader one = get_list(&list, 64);
        m->nodes[i].name = get_s(&one);
        m->nodes[i].domain = get_s(&one);
        m->nodes[i].ip = get_s(&one);
        m->nodes[i].port = get_max(&one, 65535);
        m->nodes[i].capacity = get_max(&one, CP_MAX_STATEMENTS_PER_S);
        r->bad = r->bad || one.bad || list.bad;
    }
}

/* Whether a message announces more than it contains. Only arrays and maps with a 32-bit length
 * can announce large sizes. Most messages have none, and msgpack-c itself detects other errors,
 * so only messages that may contain such a length are checked. */
static bool lengths_invalid(const char *data, size_t len)
{
    enum { LIST_32 = 0xdd, MAP_32 = 0xdf };
    bool may = memchr(data, LIST_32, len) || memchr(data, MAP_32, len);
    return may && !wp_lengths_valid(data, len);
}

static void get_removed(struct reader *r, struct wr_nodes *m)
{
    struct reader list = get_list(r, WR_MAX_NODES);
    m->n_removed = list.a->size;
    m->removed = zone_alloc(r, m->n_removed, sizeof(*m->removed));
    for (uint32_t i = 0; i < m->n_removed && !r->bad; i++) {
        m->removed[i] = get_s(&list);
        r->bad = r->bad || list.bad;
    }
}

/* Reads a node list that was sent deflated. */
static void get_deflated_list(struct reader *r, struct wr_nodes *m)
{
    struct sr_str s = get_deflated(r, (uint64_t)WR_MAX_NODES * WR_MAX_NODE_BYTES);
    msgpack_object o;
    size_t off = 0;
    if (r->bad || s.len == 0)
        return;
    if (lengths_invalid(s.p, s.len) ||
        msgpack_unpack(s.p, s.len, &off, r->zone, &o) != MSGPACK_UNPACK_SUCCESS) {
        r->bad = true;
        return;
    }
    msgpack_object_array one = {1, &o};
    struct reader in = {&one, 0, false, r->zone};
    get_node_list(&in, m);
    r->bad = in.bad;
}

static void get_nodes(struct reader *r, struct wr_nodes *m)
{
    get_node_list(r, m);
    m->from = get_u(r);
    m->to = get_u(r);
    get_removed(r, m);
    get_deflated_list(r, m);
}

static void get_body(struct reader *r, struct wr_msg *m)
{
    switch (m->type) {
    case WR_HELLO:
        get_hello(r, &m->hello);
        break;
    case WR_QUORUM:
        get_quorum(r, &m->quorum);
        break;
    case WR_RENEW:
        get_renew(r, &m->renew);
        break;
    case WR_GRANT:
        get_grant(r, &m->grant);
        break;
    case WR_NOT_LEADER:
        m->leader = get_s(r);
        break;
    case WR_VIEW:
        get_view(r, &m->view);
        break;
    case WR_ACK:
        m->ack = get_u(r);
        break;
    case WR_SHARES:
        get_shares_message(r, &m->shares);
        break;
    case WR_CHECK:
    case WR_CHECKED:
    case WR_SUSPECT:
        get_check(r, &m->check);
        break;
    case WR_PROBES:
        get_probes(r, &m->probes);
        break;
    case WR_NODES:
        get_nodes(r, &m->nodes);
        break;
    case WR_CONTROLS:
        get_node_list(r, &m->nodes);
        break;
    }
}

bool wr_decode(struct wr_decoder *d, const char *data, size_t len, struct wr_msg *m,
               struct er_err *err)
{
    if (!d->ready)
        d->ready = msgpack_zone_init(&d->zone, 4096);
    else
        msgpack_zone_clear(&d->zone);
    msgpack_object o;
    size_t off = 0;
    memset(m, 0, sizeof(*m));
    if (lengths_invalid(data, len))
        return er_set(err, ER_BAD_INPUT,
                      "message of %zu bytes: it announces more than it holds", len);
    msgpack_unpack_return rc = msgpack_unpack(data, len, &off, &d->zone, &o);
    if (rc != MSGPACK_UNPACK_SUCCESS || o.type != MSGPACK_OBJECT_ARRAY || o.via.array.size < 1)
        return er_set(err, ER_BAD_INPUT, "message of %zu bytes: expected a msgpack array", len);
    struct reader r = {&o.via.array, 0, false, &d->zone};
    uint64_t type = get_u(&r);
    if (r.bad || type < WR_HELLO || type > WR_CONTROLS)
        return er_set(err, ER_BAD_INPUT, "unknown message type %llu", (unsigned long long)type);
    m->type = (enum wr_type)type;
    get_body(&r, m);
    if (r.bad)
        return er_set(err, ER_BAD_INPUT, "message type %d: a field has a wrong type or size",
                      (int)m->type);
    return true;
}

const char *wr_hello_mismatch(const struct wr_hello *h, const char *cluster, uint64_t id)
{
    if (h->version != WR_VERSION)
        return "it uses another protocol version";
    if (!sr_eq(h->cluster, sr_from(cluster)))
        return "it belongs to another cluster";
    if (h->expected_id && h->expected_id != id)
        return "it expects another identity: this data folder is not the known one";
    return h->id ? NULL : "its greeting has no identity";
}

void wr_decoder_free(struct wr_decoder *d)
{
    if (d->ready)
        msgpack_zone_destroy(&d->zone);
    d->ready = false;
}
