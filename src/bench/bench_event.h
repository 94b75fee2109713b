/**
 * Event queue of the simulation: a binary heap ordered by time, then by insertion.
 *
 * Times are in microseconds. Not thread-safe.
 */
#ifndef WAXWING_BENCH_EVENT_H
#define WAXWING_BENCH_EVENT_H

#include "bench_sim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum waxwing_bench_event_kind {
	WAXWING_BENCH_EVENT_JOB_ARRIVAL, /**< message.job reaches its issuer */
	WAXWING_BENCH_EVENT_RESUBMISSION, /**< message.job is submitted again */
	WAXWING_BENCH_EVENT_DEADLINE, /**< the deadline of message.job expires */
	WAXWING_BENCH_EVENT_TASK_START, /**< message.task reaches message.upstream */
	WAXWING_BENCH_EVENT_TASK_END, /**< message.task ends on the upstream with message.outcome */
	WAXWING_BENCH_EVENT_TASK_ANSWER, /**< the answer for message.task reaches its issuer */
	WAXWING_BENCH_EVENT_CANCELLATIONS, /**< callers cancel a share of the running jobs */
	WAXWING_BENCH_EVENT_POLICY_MESSAGE, /**< a policy's message arrives or its timer expires */
};

struct waxwing_bench_event {
	int64_t at_us;
	uint64_t sequence;
	enum waxwing_bench_event_kind kind;
	struct waxwing_bench_message message;
};

struct waxwing_bench_event_queue {
	GArray *heap; /**< of struct waxwing_bench_event */
	uint64_t next_sequence;
};

void waxwing_bench_event_queue_init(struct waxwing_bench_event_queue *queue);
void waxwing_bench_event_queue_clear(struct waxwing_bench_event_queue *queue);
void waxwing_bench_event_queue_push(struct waxwing_bench_event_queue *queue, int64_t at_us,
				    enum waxwing_bench_event_kind kind,
				    const struct waxwing_bench_message *message);

/** Removes the earliest event; returns false if the queue is empty. */
bool waxwing_bench_event_queue_pop(struct waxwing_bench_event_queue *queue,
				   struct waxwing_bench_event *event);

#endif
