/* ferry-bench: measures of the decision modules, without processes or sockets. */
#ifndef FL_BENCH_BENCH_H
#define FL_BENCH_BENCH_H

/* Share of reads by replicas against primary-only and against an oracle. */
int bn_reads(void);
/* Admission at 0.5 to 5 times an instance's capacity against a plain queue. */
int bn_overload(void);
/* Run decision `name` n times; instructions are counted from outside (callgrind). */
int bn_run_decision(const char *name, int n);
void bn_print_decision_names(void);
/* Bytes and memory of states and messages, as slopes. */
int bn_sizes(void);
/* The bytes that have a bound, a line each: name and number. */
int bn_bounded_sizes(void);
/* Messages and log entries of one change of primary with the pure module, a line each. */
int bn_failover_messages(void);

#endif
