/* ferry-bench measures the decision modules in one process, without sockets. Each function is
 * one command of the program (main.c). The int that a function returns is the exit status. */
#ifndef FL_BENCH_BENCH_H
#define FL_BENCH_BENCH_H

/* Compares the share of reads that replicas serve with that of primary-only and of an oracle.
 */
int bn_reads(void);
/* Compares admission with a first-come queue at 0.5 to 5 times the capacity of an instance. */
int bn_overload(void);
/* Runs the decision `name` n times. The caller counts its instructions with callgrind. */
int bn_run_decision(const char *name, int n);
void bn_print_decision_names(void);
/* Prints the bytes of messages, and the memory of states per group, instance or connection. */
int bn_sizes(void);
/* Prints the sizes that bounds.txt limits, one line each: name and bytes. */
int bn_bounded_sizes(void);
/* Prints how many messages and log entries one change of primary takes, one line each: name and
 * count. */
int bn_failover_messages(void);

#endif
