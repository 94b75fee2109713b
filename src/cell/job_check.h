/**
 * Limits of a job, whichever way it arrives: from a caller, from another node or from the journal.
 */
#ifndef WAXWING_JOB_CHECK_H
#define WAXWING_JOB_CHECK_H

#include "generated/node.pb-c.h"

/*
 * Limits beyond what any deployment can run. Larger jobs are rejected before memory is allocated
 * for their tasks.
 */
#define WAXWING_JOB_MAX_STEPS	   64
#define WAXWING_JOB_MAX_TASKS	   20000
#define WAXWING_JOB_MAX_SPEC_BYTES 4000
/** Allows one repetition per second for a day (86400). */
#define WAXWING_JOB_MAX_REPETITIONS 100000
/** Up to 2^53, JSON libraries that use doubles represent every integer exactly. */
#define WAXWING_JOB_MAX_TIME_MS (1ULL << 53)
/** One year; with the limit of repetitions, it keeps the last occurrence's time from overflowing. */
#define WAXWING_JOB_MAX_INTERVAL_MS (366ULL * 24 * 3600 * 1000)
/** Longest response time target as a multiple of a job's critical path, in thousandths. */
#define WAXWING_JOB_MAX_STRETCH_MILLI 1000000

/** Longest time for which an executor can be cold after its start: one day. */
#define WAXWING_JOB_MAX_COLD_MS (24U * 3600 * 1000)
/** Highest rate of starts on a cold executor, in thousandths per second: a million per second. */
#define WAXWING_JOB_MAX_COLD_MILLI_RATE 1000000000U

/** Returns the name of the first field that is out of its limits; null: the job is valid. */
const char *waxwing_job_invalid_field(const Waxwing__Job *job);

#endif
