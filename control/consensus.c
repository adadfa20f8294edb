/* The replicated log's callbacks (messages to other voters, writes to disk, committed entries)
 * and the view that the committed changes build. */
#include <stdlib.h>

#include "control/control.h"
#include "misc/clock.h"
#include "misc/pack.h"

enum {
    /* The log is replaced by a snapshot when it has this many times the snapshot's bytes: a
     * restart then applies a few documents at most, and a snapshot is written only once for
     * many changes. */
    SNAPSHOT_LOG_FACTOR = 3,
    SNAPSHOT_MIN_BYTES = 64 * 1024, /* a shorter log is applied in milliseconds */
    MAX_TEXT_BYTES = 16 << 20,      /* of an entry or a snapshot, uncompressed */
};

static void on_send(void *ud, const struct qr_msg *m)
{
    struct wr_msg w = {.type = WR_QUORUM, .quorum = *m};
    ct_send_peer(ud, m->to, &w);
}

static void on_persist(void *ud, const struct qr_persist *p)
{
    struct ct_node *n = ud;
    dk_write(n->disk, p);
}

/* ---- the history of changes ---- */

static void history_add(struct ct_node *n, uint64_t index, enum vw_change_kind kind,
                        const char *text, uint32_t len)
{
    struct ct_past_change *p = &n->history[n->n_history % CT_HISTORY_CHANGES];
    if (n->n_history >= CT_HISTORY_CHANGES)
        n->history_floor = p->index;
    free(p->text);
    p->text = strndup(text, len);
    p->index = index;
    p->document = kind == VW_CH_DOCUMENT;
    n->n_history++;
}

static void history_clear(struct ct_node *n, uint64_t floor)
{
    for (int i = 0; i < CT_HISTORY_CHANGES; i++) {
        free(n->history[i].text);
        n->history[i] = (struct ct_past_change){0};
    }
    n->n_history = 0;
    n->history_floor = floor;
}

static char *view_text(const struct ct_node *n)
{
    json_t *j = vw_view_json(&n->view);
    char *text = json_dumps(j, JSON_COMPACT);
    json_decref(j);
    return text;
}

/* Number of the oldest change that is kept; n->n_history if none is. */
static uint64_t history_oldest(const struct ct_node *n)
{
    return n->n_history > CT_HISTORY_CHANGES ? n->n_history - CT_HISTORY_CHANGES : 0;
}

static const struct ct_past_change *history_at(const struct ct_node *n, uint64_t k)
{
    return &n->history[k % CT_HISTORY_CHANGES];
}

/* Log index of the newest kept change that is a configuration document; 0: none. */
static uint64_t newest_document(const struct ct_node *n)
{
    uint64_t oldest = history_oldest(n);
    for (uint64_t k = n->n_history; k > oldest; k--) {
        const struct ct_past_change *p = history_at(n, k - 1);
        if (p->document)
            return p->index;
    }
    return 0;
}

bool ct_needs_whole_view(const struct ct_node *n, uint64_t from)
{
    return from == 0 || from < n->history_floor;
}

char *ct_changes_since(struct ct_node *n, uint64_t from, uint64_t *from_out)
{
    *from_out = from;
    if (ct_needs_whole_view(n, from)) {
        *from_out = 0;
        return view_text(n);
    }
    struct sr_buf b = {0};
    uint64_t oldest = history_oldest(n), newest = newest_document(n), k = n->n_history;
    while (k > oldest && history_at(n, k - 1)->index > from)
        k--;
    sr_buf_add(&b, "[", 1);
    for (; k < n->n_history; k++) {
        const struct ct_past_change *p = history_at(n, k);
        if (p->document && p->index < newest)
            continue; /* the newest document replaces all earlier ones as a whole */
        sr_buf_printf(&b, "%s[%llu,%s]", b.len > 1 ? "," : "", (unsigned long long)p->index,
                      p->text);
    }
    sr_buf_add(&b, "]", 1);
    return b.p;
}

/* ---- applying ---- */

static void add_to_timeline(struct ct_node *n, const struct vw_change *ch)
{
    static const enum tl_kind kinds[VW_CH_COUNT] = {
        [VW_CH_GROUP] = TL_CHANGE,   [VW_CH_REPLACE] = TL_REPLACE, [VW_CH_HAND] = TL_REPLACE,
        [VW_CH_ABANDON] = TL_CHANGE, [VW_CH_PRIMARY] = TL_PRIMARY, [VW_CH_DRAIN] = TL_CHANGE,
        [VW_CH_RULE] = TL_CHANGE,    [VW_CH_ADD] = TL_CHANGE,      [VW_CH_REMOVE] = TL_CHANGE,
        [VW_CH_INTENT] = TL_INTENT,  [VW_CH_PROGRESS] = TL_INTENT, [VW_CH_DOCUMENT] = TL_CHANGE,
        [VW_CH_JOIN] = TL_CHANGE,    [VW_CH_LEAVE] = TL_CHANGE};
    if (ch->kind == VW_CH_INTENT || ch->kind == VW_CH_PROGRESS)
        tl_add(n->tl, TL_INTENT, "", 0, "%s %s by %s: %s", vw_change_name(ch->kind),
               ch->intent.id, ch->intent.who, vw_state_name(ch->intent.state));
    else
        tl_add(n->tl, kinds[ch->kind], ch->group[0] ? ch->group : ch->def.name, ch->term,
               "%s %s", vw_change_name(ch->kind), ch->instance);
}

/* Unpacks an entry or a snapshot into `text` and parses it; NULL with *err on failure. */
static json_t *parse_text(const char *data, uint32_t len, struct sr_buf *text,
                          struct er_err *err)
{
    if (!pk_unpack((struct sr_str){data, len}, MAX_TEXT_BYTES, text, err))
        return NULL;
    json_t *j = json_loadb(text->p ? text->p : "", text->len, 0, NULL);
    if (!j)
        er_set(err, ER_CORRUPT, "%zu bytes are not valid JSON", text->len);
    return j;
}

static void apply_change(struct ct_node *n, uint64_t index, const char *data, uint32_t len)
{
    struct vw_change ch;
    struct er_err err = {0};
    struct sr_buf text = {0};
    json_t *j = parse_text(data, len, &text, &err);
    bool ok = j && vw_change_parse(j, &ch, &err);
    if (!ok) {
        FL_ERR(&n->log, "entry %llu is not a valid change: %s", (unsigned long long)index,
               err.text);
        goto done;
    }
    n->counters.applied++;
    n->applied_bytes += text.len;
    if (vw_apply(&n->view, index, &ch, &err)) {
        history_add(n, index, ch.kind, text.p, (uint32_t)text.len);
        add_to_timeline(n, &ch);
        n->document_pending = n->document_pending || ch.kind == VW_CH_DOCUMENT;
        ct_group_sync(n, ch.kind == VW_CH_GROUP ? ch.def.name : ch.group);
        if (n->leading) {
            if (!n->measured_generation) {
                n->measured_generation = index;
                n->measured_since = ck_now();
            }
            ct_view_changed(n, ch.kind);
            ct_schedule_group_ticks(n);
        }
    } else {
        n->counters.refused_changes++;
        FL_VERBOSE(&n->log, "change %llu (%s) was refused: %s", (unsigned long long)index,
                   vw_change_name(ch.kind), err.text);
    }
    ct_ops_applied(n, &ch, &err);
done:
    json_decref(j);
    sr_buf_free(&text);
}

static void on_apply(void *ud, const struct qr_entry *e)
{
    struct ct_node *n = ud;
    if (e->type == QR_DATA)
        apply_change(n, e->index, e->data, e->len);
    if (e->type == QR_MEMBERS) {
        const struct qr_members *m = (const struct qr_members *)e->data;
        tl_add(n->tl, TL_MEMBERS, "", e->term, "%u members", m->n);
    }
    ct_commit_waits_applied(n, e);
}

void ct_restore_view(struct ct_node *n, const char *data, uint32_t len)
{
    struct er_err err = {0};
    struct sr_buf text = {0};
    json_t *j = parse_text(data, len, &text, &err);
    if (!j || !vw_view_parse(j, &n->view, &err))
        FL_ERR(&n->log, "can't load the snapshot: %s", err.text);
    n->snapshot_bytes = text.len;
    json_decref(j);
    sr_buf_free(&text);
}

static void on_restore(void *ud, uint64_t index, const char *data, uint32_t len)
{
    struct ct_node *n = ud;
    ct_restore_view(n, data, len);
    history_clear(n, n->view.generation);
    n->applied_bytes = 0;
    ct_load_document(n);
    ct_groups_sync(n);
    FL_INFO(&n->log, "restored a snapshot up to entry %llu", (unsigned long long)index);
}

static void on_role(void *ud)
{
    struct ct_node *n = ud;
    bool leads = qr_role(n->q) == QR_LEADER;
    if (leads == n->was_leader)
        return;
    n->was_leader = leads;
    /* A new leader begins when a quorum has confirmed it and its term's first entry is applied.
     */
    n->leading = false;
    if (!leads)
        ct_commit_waits_abort(n);
    tl_add(n->tl, leads ? TL_LEADER : TL_DEPOSED, "", qr_term(n->q),
           leads ? "elected leader in term %llu" : "no longer leader, term %llu",
           (unsigned long long)qr_term(n->q));
    FL_INFO(&n->log, leads ? "leads term %llu" : "no longer leads, term %llu",
            (unsigned long long)qr_term(n->q));
}

const struct qr_sink ct_quorum_sink = {on_send, on_persist, on_apply, on_restore, on_role};

/* ---- proposing ---- */

bool ct_propose(struct ct_node *n, const struct vw_change *ch, uint64_t *index,
                struct er_err *err)
{
    if (!ct_quorum_confirmed(n))
        return er_set(err, qr_role(n->q) == QR_LEADER ? ER_NO_QUORUM : ER_NOT_LEADER,
                      "this node is not a confirmed leader now");
    return ct_propose_unconfirmed(n, ch, index, err);
}

bool ct_propose_unconfirmed(struct ct_node *n, const struct vw_change *ch, uint64_t *index,
                            struct er_err *err)
{
    uint64_t at;
    if (!vw_check(&n->view, ch, err))
        return false;
    json_t *j = vw_change_json(ch);
    char *s = json_dumps(j, JSON_COMPACT);
    size_t len = strlen(s);
    struct vw_change parsed;
    /* A change that can't be parsed would be committed and then applied by no node. */
    bool readable = vw_change_parse(j, &parsed, err);
    json_decref(j);
    bool fits = len <= (ch->kind == VW_CH_DOCUMENT ? QR_MAX_ENTRY : VW_CHANGE_MAX);
    if (!fits)
        er_set(err, ER_TOO_LARGE, "a change of %zu bytes is too large", len);
    struct sr_buf packed = {0};
    if (readable && fits)
        pk_pack((struct sr_str){s, len}, &packed);
    bool ok = readable && fits &&
              qr_propose(n->q, packed.p, (uint32_t)packed.len, ck_now(), &at, err);
    sr_buf_free(&packed);
    free(s);
    n->counters.proposals += ok;
    if (ok && index)
        *index = at;
    return ok;
}

/* Whether the log has so many entries or bytes that applying them would delay a restarted node
 * too long before it can lead. */
static bool log_is_long(const struct ct_node *n)
{
    uint64_t commit = qr_commit(n->q), first = qr_first(n->q);
    if (commit < first)
        return false;
    uint64_t bytes = n->snapshot_bytes * SNAPSHOT_LOG_FACTOR;
    if (bytes < SNAPSHOT_MIN_BYTES)
        bytes = SNAPSHOT_MIN_BYTES;
    return commit - first >= (uint64_t)n->s->snapshot_entries || n->applied_bytes > bytes;
}

void ct_compact_tick(struct ct_node *n)
{
    if (!log_is_long(n))
        return;
    json_t *j = vw_view_json(&n->view);
    char *s = json_dumps(j, JSON_COMPACT);
    struct sr_buf packed = {0};
    n->snapshot_bytes = strlen(s);
    n->applied_bytes = 0;
    pk_pack((struct sr_str){s, n->snapshot_bytes}, &packed);
    qr_compact(n->q, qr_commit(n->q), packed.p, (uint32_t)packed.len);
    sr_buf_free(&packed);
    free(s);
    json_decref(j);
}
