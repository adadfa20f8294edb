/* Plain HTTP: requests to a listener, and outgoing requests. */
#include "task/net_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"

/* ---- connections ---- */

enum nt_shed_answer np_http_shed(struct nt_conn *c, enum nt_shed why)
{
    if (why == NT_SHED_MEMORY)
        return NT_SHED_CLOSE;
    if (c->serving)
        return NT_SHED_KEEP;
    /* The next request may wait in the socket of an idle connection. */
    if (c->idle && !lws_partial_buffered(c->wsi))
        return nt_close_if_idle(c) ? NT_SHED_CLOSE : NT_SHED_KEEP;
    /* The rest of a request, or reading its answer, is waited for. */
    return ck_now() - c->use.progress_at < SD_GRACE_US ? NT_SHED_KEEP : NT_SHED_CLOSE;
}

int np_http_adopt(struct nt_listener *ln, struct lws *wsi)
{
    struct nt_conn *c = np_conn_new(ln->loop, K_HTTP_SERVER, NULL, NULL);
    c->ln = ln;
    c->wsi = wsi;
    c->opened = true;
    ln->n_pending++;
    np_room_add(c, SD_NEW);
    lws_set_opaque_user_data(wsi, c);
    return 0;
}

/* Counts the connection among those that send requests, perhaps in place of another one. */
static bool note_first_request(struct nt_conn *c)
{
    struct nt_listener *ln = c->ln;
    int most = ln->what.max_http ? ln->what.max_http : NT_MAX_HTTP;
    if (ln->n_http >= most) {
        if (!np_make_room_for_request(ln))
            return false;
        ln->loop->st.http_displaced++;
    }
    c->requested = true;
    ln->n_pending--;
    ln->n_http++;
    ln->loop->st.http_accepted++;
    return true;
}

void np_http_conn_closed(struct nt_conn *c)
{
    c->loop->st.http_closed += c->requested;
    if (c->requested)
        c->ln->n_http--;
    else
        c->ln->n_pending--;
}

void np_http_upgraded(struct nt_conn *c)
{
    np_room_remove(c);
    np_http_conn_closed(c);
    free(c);
}

/* ---- plain HTTP, server side ---- */

void np_dispatch_http(struct nt_conn *c)
{
    struct nt_listener *ln = c->ln;
    c->serving = true;
    if (!ln->what.http) {
        nt_http_reply(c, 404, "text/plain", "not found\n", 10);
        return;
    }
    struct nt_http req = {
        c, c->method, c->path, c->query, c->body.p ? c->body.p : "", c->body.len, ln->what.ud};
    ln->what.http(&req);
}

void nt_http_watch(struct nt_conn *c, const struct nt_ops *ops, void *ud)
{
    c->ops = ops;
    c->ud = ud;
}

static void reply(struct nt_conn *c, int status, const char *type, const char *body, size_t len,
                  const char *location)
{
    if (c->dead || c->replied || c->kind != K_HTTP_SERVER)
        return;
    c->replied = true;
    c->ops = NULL;
    unsigned char head[LWS_PRE + 1024];
    unsigned char *start = head + LWS_PRE, *p = start, *end = head + sizeof(head) - 1;
    if (lws_add_http_common_headers(c->wsi, (unsigned)status, type, len, &p, end) ||
        (location && lws_add_http_header_by_token(c->wsi, WSI_TOKEN_HTTP_LOCATION,
                                                  (const unsigned char *)location,
                                                  (int)strlen(location), &p, end)) ||
        lws_finalize_write_http_header(c->wsi, start, &p, end)) {
        c->hard = true;
    }
    struct out *o = malloc(sizeof(*o) + LWS_PRE + len);
    if (!o)
        abort();
    o->next = NULL;
    o->len = len;
    memcpy(o->data + LWS_PRE, body, len);
    o->off = 0;
    *c->tail = o;
    c->tail = &o->next;
    c->queued += o->len;
    np_recount(c);
    lws_callback_on_writable(c->wsi);
}

void nt_http_reply(struct nt_conn *c, int status, const char *type, const char *body,
                   size_t len)
{
    reply(c, status, type, body, len, NULL);
}

void nt_http_redirect(struct nt_conn *c, const char *url)
{
    reply(c, 307, "text/plain", "elsewhere\n", 10, url);
}

int np_http_writable(struct nt_conn *c)
{
    if (c->hard)
        return -1;
    if (!c->head)
        return 0;
    struct out *o = c->head;
    /* A peer that sends requests ahead of the answers gets one answer a connection, as it may
     * never read them, and others wait meanwhile. */
    bool sent_ahead = np_has_unread(c);
    int rc = lws_write(c->wsi, o->data + LWS_PRE, o->len, LWS_WRITE_HTTP_FINAL);
    c->loop->st.bytes_out += o->len;
    c->in_lws = lws_partial_buffered(c->wsi) ? o->len : 0;
    np_pop_out(c);
    sr_buf_reset(&c->body);
    c->serving = false;
    c->idle = true;
    nt_set_rank(c, SD_OPENED);
    nt_note_progress(c);
    np_recount(c);
    if (rc < 0)
        return -1;
    bool keep = !sent_ahead && !c->ln->reading_stopped;
    if (keep && !lws_http_transaction_completed(c->wsi))
        return 0;
    c->loop->st.http_ended_by_us++;
    return -1;
}

int np_http_start(struct nt_listener *ln, struct lws *wsi, const char *uri, size_t len)
{
    struct nt_conn *c = lws_get_opaque_user_data(wsi);
    if (!c || (!c->requested && !note_first_request(c)))
        return -1;
    nt_set_rank(c, SD_USED);
    nt_note_progress(c);
    ln->loop->st.http_requests++;
    c->idle = c->replied = false;
    c->in_lws = 0;
    sr_buf_reset(&c->body);
    if (!sr_copy(c->path, sizeof(c->path), (struct sr_str){uri, len}))
        return -1;
    bool post = lws_hdr_total_length(wsi, WSI_TOKEN_POST_URI) > 0;
    snprintf(c->method, sizeof(c->method), "%s", post ? "POST" : "GET");
    c->query[0] = 0;
    lws_hdr_copy(wsi, c->query, sizeof(c->query), WSI_TOKEN_HTTP_URI_ARGS);
    if (post && lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0) {
        char n[16] = "";
        lws_hdr_copy(wsi, n, sizeof(n), WSI_TOKEN_HTTP_CONTENT_LENGTH);
        if (strcmp(n, "0") != 0)
            return 0; /* the body follows */
    }
    np_dispatch_http(c);
    return 0;
}

int np_http_body(struct nt_conn *c, const void *in, size_t len)
{
    if (c->body.len + len > NT_MAX_MESSAGE) {
        c->loop->st.oversized++;
        return -1;
    }
    sr_buf_add(&c->body, in, len);
    np_recount(c);
    np_note_read(c, len, false);
    return 0;
}

/* ---- plain HTTP, client side ---- */

/* Adds the headers of an outgoing request, with a content-length if the request has a body. */
static int add_headers(struct nt_conn *c, unsigned char **p, unsigned char *end)
{
    char n[16];
    for (int i = 0; i < c->n_headers; i++) {
        if (lws_add_http_header_by_name(c->wsi, (unsigned char *)c->header_name[i],
                                        (unsigned char *)c->header_value[i],
                                        (int)strlen(c->header_value[i]), p, end))
            return -1;
    }
    if (!c->in.len)
        return 0;
    int k = snprintf(n, sizeof(n), "%zu", c->in.len);
    if (lws_add_http_header_by_token(c->wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, (unsigned char *)n,
                                     k, p, end))
        return -1;
    lws_client_http_body_pending(c->wsi, 1);
    lws_callback_on_writable(c->wsi);
    return 0;
}

static int send_body(struct nt_conn *c)
{
    struct sr_buf b = {0};
    char room[LWS_PRE] = {0};
    if (!c->in.len)
        return 0;
    sr_buf_add(&b, room, LWS_PRE);
    sr_buf_add(&b, c->in.p, c->in.len);
    int rc = lws_write(c->wsi, (unsigned char *)b.p + LWS_PRE, c->in.len, LWS_WRITE_HTTP_FINAL);
    sr_buf_free(&b);
    c->in.len = 0;
    lws_client_http_body_pending(c->wsi, 0);
    return rc < 0 ? -1 : 0;
}

int np_client_http(struct nt_conn *c, enum lws_callback_reasons why, void *in, size_t len)
{
    switch (why) {
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        c->status = (int)lws_http_client_http_response(c->wsi);
        return 0;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
        unsigned char **p = in;
        return add_headers(c, p, *p + len);
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return send_body(c);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
        char buf[LWS_PRE + 4096];
        char *px = buf + LWS_PRE;
        int room = 4096;
        return lws_http_client_read(c->wsi, &px, &room) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        if (c->body.len + len > (size_t)NT_MAX_MESSAGE * 16)
            return -1;
        sr_buf_add(&c->body, in, len);
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        c->status = 0;
        np_conn_closed(c);
        return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        return -1;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        np_conn_closed(c);
        return 0;
    default:
        return 0;
    }
}

void nt_http_get(struct nt_loop *l, const char *ip, int port, const char *method,
                 const char *path, const char *body,
                 void (*done)(void *, int, const char *, size_t), void *ud)
{
    nt_http_call(l, ip, port, method, path, NULL, body, done, ud);
}

void nt_http_call(struct nt_loop *l, const char *ip, int port, const char *method,
                  const char *path, const struct nt_header *headers, const char *body,
                  void (*done)(void *, int, const char *, size_t), void *ud)
{
    struct nt_conn *c = np_conn_new(l, K_HTTP_CLIENT, NULL, ud);
    c->done = done;
    for (; headers && headers->name && c->n_headers < NP_MAX_HEADERS; headers++) {
        sr_copy(c->header_name[c->n_headers], sizeof(c->header_name[0]),
                sr_from(headers->name));
        sr_copy(c->header_value[c->n_headers], sizeof(c->header_value[0]),
                sr_from(headers->value));
        c->n_headers++;
    }
    if (body)
        sr_buf_add(&c->in, body, strlen(body));
    np_start_connect(c, ip, port, method, path);
}
