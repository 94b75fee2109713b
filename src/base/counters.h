/**
 * The counters of this process, incremented atomically by any thread and served at /metrics.
 */
#ifndef WAXWING_COUNTERS_H
#define WAXWING_COUNTERS_H

#include <stdatomic.h>
#include <stdint.h>

/** The counters, as X(name, help text). */
#define WAXWING_COUNTERS(X)                                                                        \
	X(jobs_submitted, "job submissions accepted from callers")                                 \
	X(jobs_complete, "jobs answered complete, with the result of every task")                  \
	X(jobs_failed, "jobs answered failed")                                                     \
	X(jobs_not_run, "jobs answered not_run: no task was started")                              \
	X(jobs_unknown, "jobs answered unknown: a task may have run")                              \
	X(jobs_forwarded, "submissions forwarded to the instance that issued their window")        \
	X(task_starts, "tasks sent to an upstream")                                                \
	X(task_done, "tasks that succeeded")                                                       \
	X(task_failed, "tasks that an upstream reported as failed")                                \
	X(task_unknown, "tasks without a complete answer from the upstream")                       \
	X(task_busy, "task sends that ended busy, leaving or without a connection")                \
	X(task_late, "task answers that arrived after their job was answered")                     \
	X(task_retries, "retries of idempotent requests")                                          \
	X(task_stops, "stop requests sent for tasks")                                              \
	X(offers, "offers made to a scheduler")                                                    \
	X(refused_early,                                                                           \
	  "jobs refused without an offer because of the scheduler's advertised wait")              \
	X(grants, "grants received")                                                               \
	X(grants_void, "grants discarded as from an older sync or another scheduler")              \
	X(syncs, "full state transfers sent to a scheduler")                                       \
	X(gaps, "gaps detected in a peer's batch sequence")                                        \
	X(scheduler_changes, "times that another instance became the scheduler")                   \
	X(settings_changes, "settings revisions applied")                                          \
	X(settings_refused, "settings documents rejected")                                         \
	X(settings_went_back,                                                                      \
	  "times that the platform returned an older settings revision than before")               \
	X(schedule_fired, "occurrences of declared jobs started")                                  \
	X(schedule_missed,                                                                         \
	  "occurrences of declared jobs not started, or not known to have started")                \
	X(http_requests, "HTTP requests received from callers and operators")                      \
	X(http_rejected, "HTTP requests rejected for invalid input")

struct waxwing_counters {
#define WAXWING_COUNTER_FIELD(name, help) atomic_uint_fast64_t name;
	WAXWING_COUNTERS(WAXWING_COUNTER_FIELD)
#undef WAXWING_COUNTER_FIELD
};

extern struct waxwing_counters waxwing_counters;

/** Increments a counter by one. Any thread. */
#define waxwing_count(name)                                                                        \
	atomic_fetch_add_explicit(&waxwing_counters.name, 1, memory_order_relaxed)

/** Returns all counters in the Prometheus text format; free with g_free(). Any thread. */
char *waxwing_counters_print(void);

#endif
