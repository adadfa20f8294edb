/* Loads configuration documents, a part in each tick; the document in force remains in use
 * meanwhile. A load is finished before a newer document is begun. Otherwise a node that
 * receives new documents faster than it loads them would never apply one. */
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    ELEMENTS_PER_TICK = 200, /* elements of a document loaded in a tick */
};

static void free_text(struct vw_document *d)
{
    free(d->text);
    *d = (struct vw_document){0};
}

static void apply_catalog(struct px_proxy *p, const struct cg_catalog *c)
{
    FL_EVENT(&p->log, LG_INFO, "document_in_force", "document=%llu before=%llu routes=%d",
             (unsigned long long)c->version, (unsigned long long)p->catalog.version,
             c->n_routes);
    if (!p->catalog.version)
        p->configured_at = ck_now();
    cg_free(&p->catalog);
    p->catalog = *c;
}

static void begin_loading_newest(struct px_proxy *p)
{
    p->loading_document = p->newest_document;
    p->newest_document = (struct vw_document){0};
    cg_load_begin(&p->loading, p->cfg.documents,
                  (struct sr_str){p->loading_document.text, p->loading_document.len});
}

/* Does the next step of loading. Returns whether a document came into force. */
static bool load_step(struct px_proxy *p)
{
    struct cg_catalog c;
    struct er_err err = {0};
    if (!p->loading.codec && p->newest_document.version)
        begin_loading_newest(p);
    if (!p->loading.codec)
        return false;
    enum cg_step step = cg_load_step(&p->loading, ELEMENTS_PER_TICK, &c, &err);
    if (step == CG_MORE)
        return false;
    if (step == CG_DONE)
        apply_catalog(p, &c);
    else
        FL_ERR(&p->log, "configuration document %llu can't be read: %s",
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
    load_step(p);
}

bool px_document_loading(const struct px_proxy *p)
{
    return p->catalog.version && (p->loading.codec || p->newest_document.version);
}

void px_documents_tick(struct px_proxy *p)
{
    if (!load_step(p))
        return;
    px_update_holders(p);
    for (struct px_session *s = p->active; s; s = s->next_active) {
        if (s->stage == PX_S_PARKED)
            s->retry_at = 0; /* the new document may allow the statement to run */
    }
}
