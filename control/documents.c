/* Configuration documents: each is checked completely before it is proposed and acknowledged
 * when it is committed. */
#include "control/control.h"
#include "member/member.h"
#include "misc/clock.h"

static int count_voters(const struct ct_node *n)
{
    const struct qr_members *m = qr_members(n->q);
    int k = 0;
    for (uint32_t i = 0; i < m->n; i++)
        k += m->m[i].voter;
    return k;
}

bool ct_configure(struct ct_node *n, struct sr_str text, struct nt_conn *c,
                  void (*done)(struct ct_node *, struct nt_conn *, const struct er_err *),
                  struct er_err *err)
{
    struct cg_catalog cat;
    struct vw_change ch = {.kind = VW_CH_DOCUMENT, .text = text};
    struct er_err why = {0};
    uint64_t index;
    /* Parsing takes so long that the quorum's confirmation of this leader may expire meanwhile,
     * so it is tested before. */
    bool may_answer = ct_may_answer(n, &why);
    qr_send_heartbeat(n->q, ck_now());
    /* An invalid document is invalid on all nodes, so any node may refuse it. */
    if (!cg_read(n->platform->documents, text, &cat, err)) {
        FL_EVENT(&n->log, LG_INFO, "document_refused", "detail=%s", err->text);
        return false;
    }
    ch.version = cat.version;
    cg_free(&cat);
    if (!may_answer) {
        *err = why;
        return false;
    }
    if (ch.version <= n->view.doc.version)
        return true; /* a document with the same or a higher version is in force */
    if (count_voters(n) < mb_required_voters(n->s->tolerates))
        return er_set(err, ER_NO_QUORUM, "%d voters, expected at least %d to commit",
                      count_voters(n), mb_required_voters(n->s->tolerates));
    if (!ct_propose_unconfirmed(n, &ch, &index, err))
        return false;
    ct_await_commit(n, c, index, done);
    return false;
}

bool ct_document(const struct ct_node *n, struct sr_str *text, struct er_err *err)
{
    if (!ct_may_answer(n, err))
        return false;
    if (!n->view.doc.version)
        return er_set(err, ER_NO_QUORUM, "no configuration document is in force yet");
    *text = (struct sr_str){n->view.doc.text, n->view.doc.len};
    return true;
}

void ct_load_document(struct ct_node *n)
{
    struct cg_catalog cat;
    struct er_err err = {0};
    n->document_pending = false;
    if (!n->platform || n->view.doc.version == n->catalog.version)
        return;
    struct sr_str text = {n->view.doc.text, n->view.doc.len};
    qr_send_heartbeat(n->q, ck_now());
    if (!cg_read(n->platform->documents, text, &cat, &err)) {
        FL_ERR(&n->log, "configuration document %llu is in the log but can't be read: %s",
               (unsigned long long)n->view.doc.version, err.text);
        return;
    }
    cg_free(&n->catalog);
    n->catalog = cat;
    FL_EVENT(&n->log, LG_INFO, "document_committed", "document=%llu routes=%d",
             (unsigned long long)cat.version, cat.n_routes);
    ct_groups_sync(n);
    ct_limits_changed(n);
}
