#include "misc/clock.h"

#include <stdbool.h>
#include <time.h>

#define HLC_MAX_AHEAD_MS 60000

static bool paused;
static int64_t paused_us;

static int64_t read_clock(clockid_t id)
{
    struct timespec ts;
    clock_gettime(id, &ts);
    return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t ck_now(void)
{
    return paused ? paused_us : read_clock(CLOCK_MONOTONIC);
}

int64_t ck_wall_ms(void)
{
    return (paused ? paused_us : read_clock(CLOCK_REALTIME)) / 1000;
}

void ck_pause(int64_t us)
{
    paused = true;
    paused_us = us;
}

void ck_advance(int64_t us)
{
    paused_us += us;
}

void ck_resume(void)
{
    paused = false;
}

uint64_t ck_hlc_now(struct ck_hlc *h)
{
    uint64_t wall = (uint64_t)ck_wall_ms() << 16;
    h->last = wall > h->last ? wall : h->last + 1;
    return h->last;
}

void ck_hlc_seen(struct ck_hlc *h, uint64_t stamp)
{
    if (ck_hlc_ms(stamp) > ck_wall_ms() + HLC_MAX_AHEAD_MS)
        return;
    if (stamp > h->last)
        h->last = stamp;
}
