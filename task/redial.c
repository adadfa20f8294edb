#include "task/redial.h"

bool rd_due(const struct rd_state *l, int64_t now)
{
    return now >= l->next_try;
}

void rd_connect_started(struct rd_state *l, int64_t now)
{
    l->connect_started = now;
    l->peer_connected = false;
}

bool rd_connect_timed_out(const struct rd_state *l, int64_t now)
{
    int64_t us = RD_FIRST_US;
    for (int i = 0; i < l->unanswered && us < RD_LONGEST_US; i++)
        us *= 2;
    return now - l->connect_started > us;
}

void rd_connect_abandoned(struct rd_state *l)
{
    if (l->unanswered < RD_LONGEST_US / RD_FIRST_US)
        l->unanswered++;
}

void rd_opened(struct rd_state *l)
{
    l->unanswered = 0;
}

void rd_closed(struct rd_state *l, int64_t now)
{
    l->next_try = l->peer_connected ? now : now + RD_RETRY_US;
}

void rd_peer_connected(struct rd_state *l, int64_t now)
{
    l->peer_connected = true;
    l->next_try = now;
}
