/**
 * The counters of this process, incremented atomically by any thread and served at /metrics.
 */
#ifndef WAXWING_COUNTERS_H
#define WAXWING_COUNTERS_H

#include <stdatomic.h>
#include <stdint.h>

/** The counters, as X(name, help text). */
#define WAXWING_COUNTERS(X)                                                                        \
	X(jobs_submitted, "submissions taken from callers")                                        \
	X(jobs_complete, "answers with every task")                                                \
	X(jobs_failed, "answers that say failed")                                                  \
	X(jobs_not_run, "answers that say nothing ran")                                            \
	X(jobs_unknown, "answers that say the outcome is unknown")                                 \
	X(jobs_forwarded, "submissions passed to the instance of their window")                    \
	X(task_starts, "tasks sent to an upstream")                                                \
	X(task_done, "tasks that succeeded")                                                       \
	X(task_failed, "tasks that an upstream failed")                                            \
	X(task_unknown, "tasks without a whole answer")                                            \
	X(task_busy, "sends answered busy, leaving or with no connection")                         \
	X(task_late, "task answers after their job was answered")                                  \
	X(task_retries, "second and later attempts of idempotent requests")                        \
	X(task_stops, "tasks asked to stop")                                                       \
	X(offers, "offers made to a scheduler")                                                    \
	X(refused_early, "jobs refused without an offer, by the scheduler's advertised wait")      \
	X(grants, "grants received")                                                               \
	X(grants_void, "grants of an older sync or another scheduler")                             \
	X(syncs, "whole states sent to a scheduler")                                               \
	X(gaps, "gaps seen in a peer's sequence")                                                  \
	X(scheduler_changes, "changes of the scheduling instance")                                 \
	X(settings_changes, "settings revisions put in force")                                     \
	X(settings_refused, "settings documents refused")                                          \
	X(settings_went_back,                                                                      \
	  "times that the platform gave an older settings revision than before")                   \
	X(schedule_fired, "occurrences of declared jobs started")                                  \
	X(schedule_missed, "occurrences of declared jobs not started, or unsure")                  \
	X(http_requests, "requests of callers and operators")                                      \
	X(http_rejected, "requests with bad input")

struct waxwing_counters {
#define WAXWING_COUNTER_FIELD(name, help) atomic_uint_fast64_t name;
	WAXWING_COUNTERS(WAXWING_COUNTER_FIELD)
#undef WAXWING_COUNTER_FIELD
};

extern struct waxwing_counters waxwing_counters;

/** Increments a counter by one. Any thread. */
#define waxwing_counter_increment(name)                                                            \
	atomic_fetch_add_explicit(&waxwing_counters.name, 1, memory_order_relaxed)

/** Returns all counters in the Prometheus text format; free with g_free(). Any thread. */
char *waxwing_counters_print(void);

#endif
