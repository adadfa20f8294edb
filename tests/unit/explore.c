/* Random schedules over the agreement core. Usage: explore [schedules [steps [first seed]]];
 * --replay SEED, or --replay-herd SEED, prints one schedule. Also shows that each safeguard
 * matters: with it switched off a broken promise must be found. */
#include <setjmp.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/unit/cluster_sim.h"

enum { SCHEDULES = 2000, STEPS = 1500, FAULT_SCHEDULES = 60000 };

static struct cs_options options(uint64_t seed, int steps, bool herd)
{
    return (struct cs_options){.seed = seed,
                               .voters = 3 + (int)(seed % 3),
                               .steps = steps,
                               .members = seed % 2 == 0,
                               .herd = herd};
}

static int replay(uint64_t seed, int steps, bool herd)
{
    struct cs_options o = options(seed, steps, herd);
    o.trace = true;
    struct cs_result r = cs_explore(&o);
    printf("seed %llu: %s\n", (unsigned long long)seed, r.ok ? "holds" : r.what);
    return r.ok ? 0 : 1;
}

static bool explore_all(uint64_t first, int schedules, int steps, bool herd)
{
    uint64_t committed = 0, elections = 0, crashes = 0, snapshots = 0;
    for (int i = 0; i < schedules; i++) {
        struct cs_options o = options(first + (uint64_t)i, steps, herd);
        struct cs_result r = cs_explore(&o);
        if (!r.ok) {
            printf("seed %llu breaks at step %d: %s; the schedule: explore --replay%s %llu\n",
                   (unsigned long long)o.seed, r.step, r.what, herd ? "-herd" : "",
                   (unsigned long long)o.seed);
            return false;
        }
        committed += r.committed;
        elections += r.elections;
        crashes += r.crashes;
        snapshots += r.snapshots;
    }
    printf("%d schedules of %d steps%s hold: %llu entries committed, %llu elections, %llu "
           "crashes, %llu snapshots installed\n",
           schedules, steps, herd ? " with starts of all" : "", (unsigned long long)committed,
           (unsigned long long)elections, (unsigned long long)crashes,
           (unsigned long long)snapshots);
    return true;
}

/* An assertion of the core that fails has found the mistake as well. */
static sigjmp_buf asserted;

static void on_abort(int sig)
{
    (void)sig;
    siglongjmp(asserted, 1);
}

static bool breaks(const struct cs_options *o, struct cs_result *r)
{
    if (sigsetjmp(asserted, 1)) {
        r->ok = false;
        snprintf(r->what, sizeof(r->what), "an assertion of the core failed");
        return true;
    }
    signal(SIGABRT, on_abort);
    *r = cs_explore(o);
    signal(SIGABRT, SIG_DFL);
    return !r->ok;
}

/* With the safeguard off, how many schedules until a promise breaks; 0: none did. */
static bool finds(const char *name, size_t at, int steps, bool herd)
{
    for (int i = 0; i < FAULT_SCHEDULES; i++) {
        struct cs_options o = options((uint64_t)i + 1, steps, herd);
        *((bool *)&o + at) = true;
        struct cs_result r = {0};
        if (!breaks(&o, &r))
            continue;
        printf("mistake found: %-18s seed %llu, step %d: %s\n", name,
               (unsigned long long)o.seed, r.step, r.what);
        return true;
    }
    printf("mistake NOT found: %s in %d schedules\n", name, FAULT_SCHEDULES);
    return false;
}

int main(int argc, char **argv)
{
    if (argc == 3 && strcmp(argv[1], "--replay") == 0)
        return replay(strtoull(argv[2], NULL, 10), STEPS, false);
    if (argc == 3 && strcmp(argv[1], "--replay-herd") == 0)
        return replay(strtoull(argv[2], NULL, 10), STEPS, true);
    int schedules = argc > 1 ? atoi(argv[1]) : SCHEDULES;
    int steps = argc > 2 ? atoi(argv[2]) : STEPS;
    uint64_t first = argc > 3 ? strtoull(argv[3], NULL, 10) : 1;
    int failed = !explore_all(first, schedules, steps, false);
    failed += !explore_all(first, schedules, steps, true);
    static const struct {
        const char *name;
        size_t at;
        bool herd;
    } faults[] = {
        {"no_vote_check", offsetof(struct cs_options, no_vote_check), false},
        {"ack_before_sync", offsetof(struct cs_options, ack_before_sync), false},
        {"forget_vote, no_quiet", offsetof(struct cs_options, forget_vote_no_quiet), true},
        {"some_fresh", offsetof(struct cs_options, some_fresh), true}};
    int n = sizeof(faults) / sizeof(faults[0]);
    for (int i = 0; i < n; i++)
        failed += !finds(faults[i].name, faults[i].at, steps, faults[i].herd);
    printf("explore: %d passed, %d failed\n", n + 2 - failed, failed);
    return failed ? 1 : 0;
}
