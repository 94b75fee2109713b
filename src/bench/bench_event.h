/**
 * The event queue of the bench's virtual time: a heap by time, then by order of insertion.
 *
 * Times are microseconds. Not thread-safe.
 */
#ifndef WAXWING_BENCH_EVENT_H
#define WAXWING_BENCH_EVENT_H

#include "bench_sim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum waxwing_bench_event_kind {
	WAXWING_BENCH_EVENT_ARRIVE, /**< message.job is at its issuer */
	WAXWING_BENCH_EVENT_RESUBMIT, /**< message.job is at its issuer once more */
	WAXWING_BENCH_EVENT_DEADLINE, /**< of message.job */
	WAXWING_BENCH_EVENT_START, /**< message.task is at message.upstream */
	WAXWING_BENCH_EVENT_END, /**< of the task on the upstream; value: failed */
	WAXWING_BENCH_EVENT_ANSWER, /**< message.task's end is at the issuer */
	WAXWING_BENCH_EVENT_CANCEL, /**< a wave of cancellations */
	WAXWING_BENCH_EVENT_MESSAGE, /**< for the policy */
};

struct waxwing_bench_event {
	int64_t at_us;
	uint64_t order;
	enum waxwing_bench_event_kind kind;
	struct waxwing_bench_message message;
};

struct waxwing_bench_events {
	GArray *heap; /**< of struct waxwing_bench_event */
	uint64_t order;
};

void waxwing_bench_events_init(struct waxwing_bench_events *events);
void waxwing_bench_events_clear(struct waxwing_bench_events *events);
void waxwing_bench_events_push(struct waxwing_bench_events *events, int64_t at_us,
			       enum waxwing_bench_event_kind kind,
			       const struct waxwing_bench_message *message);

/** Takes the earliest event; false when there is none. */
bool waxwing_bench_events_pop(struct waxwing_bench_events *events,
			      struct waxwing_bench_event *event);

#endif
