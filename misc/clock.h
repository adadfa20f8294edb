/* The process's clock. Daemons use the system clock; tests pause it and advance it by hand.
 * Decision modules never read the clock; their callers pass the time. */
#ifndef FL_MISC_CLOCK_H
#define FL_MISC_CLOCK_H

#include <stdint.h>

/* Monotonic time in microseconds, or the paused value. */
int64_t ck_now(void);

/* Wall-clock milliseconds since 1970, or the paused value. Only for timestamps. */
int64_t ck_wall_ms(void);

/* Stop both clocks at `us`. ck_advance moves the stopped clocks forward, and ck_resume returns
 * to the system clock. */
void ck_pause(int64_t us);
void ck_advance(int64_t us);
void ck_resume(void);

#define CK_MS(n) ((int64_t)(n)*1000)
#define CK_SEC(n) ((int64_t)(n)*1000000)

/* Hybrid logical clock: 48 bits of wall milliseconds, 16 bits of counter. */
struct ck_hlc {
    uint64_t last;
};

/* Returns the timestamp for a local event, greater than all earlier ones. */
uint64_t ck_hlc_now(struct ck_hlc *h);

/* Takes the timestamp of a received message into account: later local timestamps are greater. A
 * timestamp more than a minute ahead is ignored, so that one wrong clock does not advance the
 * others. */
void ck_hlc_seen(struct ck_hlc *h, uint64_t stamp);

static inline int64_t ck_hlc_ms(uint64_t stamp)
{
    return (int64_t)(stamp >> 16);
}

#endif
