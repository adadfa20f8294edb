/* Taking configuration documents in: a part in each tick, while the one in force stays. One
 * that is being taken in is finished before a newer one is begun, else a node that is offered
 * one after the other would act on none of them. */
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    READ_A_TICK = 200, /* elements */
};

static void free_text(struct vw_document *d)
{
    free(d->text);
    *d = (struct vw_document){0};
}

static void put_in_force(struct px_proxy *p, const struct cg_catalog *c)
{
    FL_EVENT(&p->log, LG_INFO, "document_in_force", "document=%llu before=%llu routes=%d",
             (unsigned long long)c->version, (unsigned long long)p->catalog.version,
             c->n_routes);
    if (!p->catalog.version)
        p->configured_at = ck_now();
    cg_free(&p->catalog);
    p->catalog = *c;
}

static void begin_next(struct px_proxy *p)
{
    p->loading_document = p->newest_document;
    p->newest_document = (struct vw_document){0};
    cg_load_begin(&p->loading, p->cfg.documents,
                  (struct sr_str){p->loading_document.text, p->loading_document.len});
}

/* Whether a document came into force. */
static bool go_on(struct px_proxy *p)
{
    struct cg_catalog c;
    struct er_err err = {0};
    if (!p->loading.codec && p->newest_document.version)
        begin_next(p);
    if (!p->loading.codec)
        return false;
    enum cg_step step = cg_load_step(&p->loading, READ_A_TICK, &c, &err);
    if (step == CG_MORE)
        return false;
    if (step == CG_DONE)
        put_in_force(p, &c);
    else
        FL_ERR(&p->log, "document %llu can't be read: %s",
               (unsigned long long)p->loading_document.version, err.text);
    free_text(&p->loading_document);
    return step == CG_DONE;
}

void px_load_document(struct px_proxy *p, const struct vw_document *d)
{
    if (d->version == p->newest_version)
        return;
    p->newest_version = d->version;
    free_text(&p->newest_document);
    p->newest_document = (struct vw_document){d->version, sr_alloc(d->len + 1), d->len};
    sr_move(p->newest_document.text, d->text, d->len);
    go_on(p);
}

bool px_document_loading(const struct px_proxy *p)
{
    return p->catalog.version && (p->loading.codec || p->newest_document.version);
}

void px_documents_tick(struct px_proxy *p)
{
    if (!go_on(p))
        return;
    px_update_holders(p);
    for (struct px_session *s = p->active; s; s = s->next_active) {
        if (s->stage == PX_S_PARKED)
            s->retry_at = 0; /* it may be allowed otherwise now */
    }
}
