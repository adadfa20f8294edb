/* What sessions hold, and sessions that are closed for want of memory or room. */
#include "proxy/priv.h"

enum {
    TXN_REST_US = 3000000, /* in place of txn_idle_us where the document sets none */
};

void px_session_charge(struct px_session *s)
{
    if (s->net)
        nt_charge(s->net, s->in.cap + s->request.cap + s->state.bytes + px_relay_bytes(s));
}

/* Whether the caller has its greeting, from here or from the serving node. */
static bool is_open(const struct px_session *s)
{
    return s->relay ? px_relay_idle(s) : s->opened;
}

static bool is_busy(const struct px_session *s)
{
    if (s->relay)
        return !px_relay_idle(s) || px_relay_pending(s);
    return s->stage != PX_S_IDLE || s->txn != PX_IDLE;
}

/* Whether the session rests between the statements of a transaction and another caller may have
 * its place: none has run yet, or it rests for too long. */
static bool rests_in_txn(const struct px_session *s)
{
    bool rests = s->relay ? !px_relay_pending(s) && px_relay_greeted(s)
                          : s->stage == PX_S_IDLE && s->txn != PX_IDLE && s->in.len == 0;
    bool has_run = s->relay ? px_relay_txn_ran(s) : s->conn != NULL;
    int64_t idle_us = s->p->catalog.txn_idle_us ? s->p->catalog.txn_idle_us : TXN_REST_US;
    return rests && nt_queued(s->net) == 0 &&
           (!has_run || ck_now() - nt_progress_at(s->net) > idle_us);
}

/* Tells the caller that the message it was sending is not run. Nothing is sent while a
 * statement runs, as its outcome is open, nor to an idle session, which expects no message. */
static void send_refusal(struct px_session *s, enum nt_shed why)
{
    if (is_busy(s) || (is_open(s) && s->in.len == 0))
        return;
    px_send_refusal(
        s, ER_OVERLOAD,
        why == NT_SHED_MEMORY
            ? "this node has no memory left for the message; not run, retry in 500 ms"
            : "this node has no room for another session; retry at another node");
}

static void release(struct px_session *s)
{
    sr_buf_free(&s->in);
    px_state_free(&s->state);
    px_session_charge(s);
}

enum nt_shed_answer px_on_shed(struct nt_conn *net, void *ud, enum nt_shed why)
{
    struct px_session *s = ud;
    (void)net;
    enum px_end_reason reason = why == NT_SHED_MEMORY ? PX_END_NO_MEMORY : PX_END_NO_ROOM;
    if (s->ended)
        return NT_SHED_CLOSE;
    bool rests = rests_in_txn(s);
    bool busy = is_busy(s) && !rests;
    if (why == NT_SHED_ROOM && busy)
        return NT_SHED_KEEP;
    if (s->end_sent_at)
        return NT_SHED_ENDING;
    /* The relaying node takes a plain close for a failure of this node. */
    if (s->relayed_to_us && s->opened && !busy) {
        release(s);
        px_end_idle(s, reason);
        return NT_SHED_ENDING;
    }
    /* A request may be on its way to an idle session. */
    if (why == NT_SHED_ROOM && (is_open(s) || rests) && s->in.len == 0)
        return px_close_idle(s, reason) ? NT_SHED_CLOSE : NT_SHED_KEEP;
    send_refusal(s, why);
    px_note_end(s, reason);
    return NT_SHED_CLOSE;
}
