/* ferry-bench: measures of the decision modules, without processes or sockets. */
#ifndef FL_BENCH_BENCH_H
#define FL_BENCH_BENCH_H

/* Share of reads by replicas against primary-only and against an oracle. */
int bn_reads(void);
/* Admission at 0.5 to 5 times an instance's capacity against a plain queue. */
int bn_overload(void);
/* Run decision `name` n times; instructions are counted from outside (callgrind). */
int bn_decision(const char *name, int n);
void bn_decision_names(void);
/* Bytes and memory of states and messages, as slopes. */
int bn_sizes(void);

#endif
