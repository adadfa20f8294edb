/* The runtime's clock. Daemons use the system's; tests pause it and advance it.
 * Modules that decide never read it: they are given the time. */
#ifndef FL_MISC_CLOCK_H
#define FL_MISC_CLOCK_H

#include <stdint.h>

/* Monotonic microseconds, or the paused value. */
int64_t ck_now(void);

/* Wall-clock milliseconds since 1970, or the paused value. For stamps only. */
int64_t ck_wall_ms(void);

/* Stop both clocks at `us`; ck_advance moves them. ck_resume gives the system's back. */
void ck_pause(int64_t us);
void ck_advance(int64_t us);
void ck_resume(void);

#define CK_MS(n) ((int64_t)(n)*1000)
#define CK_SEC(n) ((int64_t)(n)*1000000)

/* Hybrid logical clock: 48 bits of wall milliseconds, 16 bits of counter. */
struct ck_hlc {
    uint64_t last;
};

/* Stamp of a local event. */
uint64_t ck_hlc_now(struct ck_hlc *h);

/* A stamp came in a message: later local stamps are above it. A stamp from more than a
 * minute ahead is ignored, so that one bad clock does not drag the others. */
void ck_hlc_seen(struct ck_hlc *h, uint64_t stamp);

static inline int64_t ck_hlc_ms(uint64_t stamp)
{
    return (int64_t)(stamp >> 16);
}

#endif
