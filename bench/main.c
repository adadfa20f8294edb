#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "bench/bench.h"

int main(int argc, char **argv)
{
    if (sodium_init() < 0)
        return 2;
    if (argc == 2 && strcmp(argv[1], "reads") == 0)
        return bn_reads();
    if (argc == 2 && strcmp(argv[1], "overload") == 0)
        return bn_overload();
    if (argc == 2 && strcmp(argv[1], "sizes") == 0)
        return bn_sizes();
    if (argc == 2 && strcmp(argv[1], "bytes") == 0)
        return bn_bounded_sizes();
    if (argc == 2 && strcmp(argv[1], "messages") == 0)
        return bn_failover_messages();
    if (argc == 2 && strcmp(argv[1], "decisions") == 0) {
        bn_print_decision_names();
        return 0;
    }
    if (argc == 4 && strcmp(argv[1], "decision") == 0)
        return bn_run_decision(argv[2], atoi(argv[3]));
    fprintf(stderr,
            "usage: ferry-bench reads | overload | sizes | bytes | messages | decisions | "
            "decision NAME N\n");
    return 64;
}
