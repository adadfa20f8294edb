/* Encodes messages in msgpack; wire/wire.h describes them. */
#include "wire/wire.h"

#include <stdlib.h>

#include <zlib.h>

static int append(void *ud, const char *p, size_t n)
{
    sr_buf_add(ud, p, n);
    return 0;
}

static void put_u(msgpack_packer *pk, uint64_t v)
{
    msgpack_pack_uint64(pk, v);
}

static void put_b(msgpack_packer *pk, bool v)
{
    if (v)
        msgpack_pack_true(pk);
    else
        msgpack_pack_false(pk);
}

static void put_s(msgpack_packer *pk, struct sr_str s)
{
    msgpack_pack_bin(pk, s.len);
    msgpack_pack_bin_body(pk, s.p, s.len);
}

/* Writes the deflated text and its original length. */
static void put_deflated(msgpack_packer *pk, struct sr_str s)
{
    uLongf len = compressBound(s.len);
    Bytef *p = sr_alloc(len);
    if (compress2(p, &len, (const Bytef *)s.p, s.len, Z_BEST_SPEED) != Z_OK)
        abort(); /* out of memory; the buffer is large enough */
    put_s(pk, (struct sr_str){(const char *)p, len});
    put_u(pk, s.len);
    free(p);
}

static void put_header(msgpack_packer *pk, enum wr_type type, size_t fields)
{
    msgpack_pack_array(pk, fields + 1);
    put_u(pk, type);
}

static void put_hello(msgpack_packer *pk, const struct wr_hello *h)
{
    put_header(pk, WR_HELLO, h->http_port ? 11 : 9u + (h->capacity > 0));
    put_u(pk, h->version);
    put_s(pk, h->cluster);
    put_s(pk, h->name);
    put_s(pk, h->domain);
    put_s(pk, h->ip);
    put_u(pk, h->port);
    put_u(pk, h->role);
    put_u(pk, h->id);
    put_u(pk, h->expected_id);
    if (h->capacity || h->http_port)
        put_u(pk, h->capacity);
    if (h->http_port)
        put_u(pk, h->http_port);
}

static void put_members(msgpack_packer *pk, const struct qr_members *m)
{
    msgpack_pack_array(pk, m ? m->n : 0);
    for (uint32_t i = 0; m && i < m->n; i++) {
        const struct qr_member *p = &m->m[i];
        msgpack_pack_array(pk, 6);
        put_u(pk, p->id);
        put_b(pk, p->voter);
        put_s(pk, sr_from(p->name));
        put_s(pk, sr_from(p->ip));
        put_u(pk, (uint64_t)p->port);
        put_s(pk, sr_from(p->domain));
    }
}

static void put_entry(msgpack_packer *pk, const struct qr_entry *e)
{
    msgpack_pack_array(pk, 4);
    put_u(pk, e->index);
    put_u(pk, e->term);
    put_u(pk, e->type);
    if (e->type == QR_MEMBERS)
        put_members(pk, (const struct qr_members *)e->data);
    else
        put_s(pk, (struct sr_str){e->data, e->len});
}

static void put_quorum(msgpack_packer *pk, const struct qr_msg *m)
{
    put_header(pk, WR_QUORUM, m->no_leader_seen ? 14 : 13); /* absent: false */
    put_u(pk, m->type);
    put_u(pk, m->from);
    put_u(pk, m->to);
    put_u(pk, m->term);
    put_u(pk, m->index);
    put_u(pk, m->log_term);
    put_u(pk, m->commit);
    put_u(pk, m->round);
    put_b(pk, m->ok);
    put_b(pk, m->transfer);
    msgpack_pack_array(pk, m->n);
    for (uint32_t i = 0; i < m->n; i++)
        put_entry(pk, &m->entries[i]);
    put_members(pk, m->members);
    put_s(pk, (struct sr_str){m->data ? m->data : "", m->len});
    if (m->no_leader_seen)
        put_b(pk, true);
}

static void put_view(msgpack_packer *pk, const struct wr_view *v)
{
    bool deflated = v->text.len > WR_DEFLATE_ABOVE_BYTES;
    put_header(pk, WR_VIEW, deflated ? 4 : 3); /* without the length the text is not deflated */
    put_u(pk, v->from);
    put_u(pk, v->to);
    if (deflated)
        put_deflated(pk, v->text);
    else
        put_s(pk, v->text);
}

static void put_shares(msgpack_packer *pk, const struct wr_share *s, uint32_t n)
{
    msgpack_pack_array(pk, n);
    for (uint32_t i = 0; i < n; i++) {
        msgpack_pack_array(pk, 3);
        put_s(pk, s[i].inst);
        put_u(pk, s[i].held);
        put_u(pk, s[i].want);
    }
}

static void put_permit_asks(msgpack_packer *pk, const struct wr_permit_ask *a, uint32_t n)
{
    msgpack_pack_array(pk, n);
    for (uint32_t i = 0; i < n; i++) {
        msgpack_pack_array(pk, 4);
        put_s(pk, a[i].account);
        put_u(pk, a[i].held);
        put_u(pk, a[i].want);
        put_u(pk, a[i].returned);
    }
}

static void put_renew(msgpack_packer *pk, const struct wr_renew *r)
{
    /* An absent field reads as zero, so trailing zero fields are left out. */
    bool all = r->permits_complete, permits = r->n_permits > 0 || all;
    bool nodes = r->nodes_hash || permits, leaving = r->leaving || nodes;
    put_header(pk, WR_RENEW, 6u + leaving + nodes + permits + all);
    put_u(pk, r->seq);
    put_u(pk, r->generation);
    put_u(pk, r->hlc);
    put_b(pk, r->stopping);
    put_shares(pk, r->shares, r->n);
    put_u(pk, r->shares_seq);
    if (leaving)
        put_b(pk, r->leaving);
    if (nodes)
        put_u(pk, r->nodes_hash);
    if (permits)
        put_permit_asks(pk, r->permits, r->n_permits);
    if (all)
        put_b(pk, all);
}

static void put_grant(msgpack_packer *pk, const struct wr_grant *g)
{
    put_header(pk, WR_GRANT, g->permits_known ? 5 : 4);
    put_u(pk, g->seq);
    put_u(pk, g->hlc);
    put_u(pk, g->duration_ms);
    put_u(pk, g->generation);
    if (g->permits_known)
        put_u(pk, 1);
}

static void put_check(msgpack_packer *pk, enum wr_type type, const struct wr_check *c)
{
    put_header(pk, type, 3);
    put_u(pk, c->nonce);
    put_s(pk, c->inst);
    put_u(pk, c->health);
}

static void put_probes(msgpack_packer *pk, const struct wr_probes *p)
{
    put_header(pk, WR_PROBES, 1);
    msgpack_pack_array(pk, p->n);
    for (uint32_t i = 0; i < p->n; i++) {
        const struct wr_probe *x = &p->probes[i];
        msgpack_pack_array(pk, 7);
        put_s(pk, x->inst);
        put_u(pk, x->health);
        put_b(pk, x->primary);
        put_u(pk, x->term);
        put_u(pk, x->last_term);
        put_u(pk, x->pos);
        put_u(pk, x->following);
    }
}

static void put_node_list(msgpack_packer *pk, const struct wr_nodes *n)
{
    msgpack_pack_array(pk, n->n);
    for (uint32_t i = 0; i < n->n; i++) {
        msgpack_pack_array(pk, 4u + (n->nodes[i].capacity > 0));
        put_s(pk, n->nodes[i].name);
        put_s(pk, n->nodes[i].domain);
        put_s(pk, n->nodes[i].ip);
        put_u(pk, n->nodes[i].port);
        if (n->nodes[i].capacity)
            put_u(pk, n->nodes[i].capacity);
    }
}

static void put_controls(msgpack_packer *pk, const struct wr_nodes *n)
{
    put_header(pk, WR_CONTROLS, 1);
    put_node_list(pk, n);
}

/* A long list is sent deflated as the last field; the plain list is empty then. */
static void put_nodes(msgpack_packer *pk, const struct wr_nodes *n)
{
    bool deflated = n->to && n->n > WR_DEFLATE_ABOVE_NODES;
    struct wr_nodes none = {0};
    put_header(pk, WR_NODES, deflated ? 6 : n->to ? 4 : 1);
    put_node_list(pk, deflated ? &none : n);
    if (!n->to)
        return;
    put_u(pk, n->from);
    put_u(pk, n->to);
    msgpack_pack_array(pk, n->n_removed);
    for (uint32_t i = 0; i < n->n_removed; i++)
        put_s(pk, n->removed[i]);
    if (!deflated)
        return;
    struct sr_buf list = {0};
    msgpack_packer inner;
    msgpack_packer_init(&inner, &list, append);
    put_node_list(&inner, n);
    put_deflated(pk, (struct sr_str){list.p, list.len});
    sr_buf_free(&list);
}

static void put_not_leader(msgpack_packer *pk, struct sr_str leader)
{
    put_header(pk, WR_NOT_LEADER, 1);
    put_s(pk, leader);
}

static void put_ack(msgpack_packer *pk, uint64_t generation)
{
    put_header(pk, WR_ACK, 1);
    put_u(pk, generation);
}

static void put_permits(msgpack_packer *pk, const struct wr_permit *p, uint32_t n)
{
    msgpack_pack_array(pk, n);
    for (uint32_t i = 0; i < n; i++) {
        msgpack_pack_array(pk, 3);
        put_s(pk, p[i].account);
        put_u(pk, p[i].given);
        put_u(pk, p[i].over_ms);
    }
}

/* WR_SHARES: the shares that a node may hold now. */
static void put_shares_message(msgpack_packer *pk, const struct wr_shares *s)
{
    put_header(pk, WR_SHARES, s->n_permits ? 4 : 2);
    put_shares(pk, s->shares, s->n);
    put_u(pk, s->seq);
    if (s->n_permits) {
        put_permits(pk, s->permits, s->n_permits);
        put_u(pk, s->renewal);
    }
}

void wr_encode(struct sr_buf *out, const struct wr_msg *m)
{
    msgpack_packer pk;
    msgpack_packer_init(&pk, out, append);
    switch (m->type) {
    case WR_HELLO:
        put_hello(&pk, &m->hello);
        break;
    case WR_QUORUM:
        put_quorum(&pk, &m->quorum);
        break;
    case WR_RENEW:
        put_renew(&pk, &m->renew);
        break;
    case WR_GRANT:
        put_grant(&pk, &m->grant);
        break;
    case WR_NOT_LEADER:
        put_not_leader(&pk, m->leader);
        break;
    case WR_VIEW:
        put_view(&pk, &m->view);
        break;
    case WR_ACK:
        put_ack(&pk, m->ack);
        break;
    case WR_SHARES:
        put_shares_message(&pk, &m->shares);
        break;
    case WR_CHECK:
    case WR_CHECKED:
    case WR_SUSPECT:
        put_check(&pk, m->type, &m->check);
        break;
    case WR_PROBES:
        put_probes(&pk, &m->probes);
        break;
    case WR_NODES:
        put_nodes(&pk, &m->nodes);
        break;
    case WR_CONTROLS:
        put_controls(&pk, &m->nodes);
        break;
    }
}
