/**
 * Runs the schedule of the instance's failure domain on a thread of its own, which makes the
 * platform calls and passes due occurrences to the core.
 */
#ifndef WAXWING_SCHEDULE_THREAD_H
#define WAXWING_SCHEDULE_THREAD_H

#include "core.h"
#include "schedule.h"

struct waxwing_schedule_thread;

struct waxwing_schedule_thread_options {
	struct waxwing_core *core;
	const char *platform; /**< IP:port */
	struct waxwing_str domain; /**< failure domain of this instance */
	uint64_t incarnation; /**< incarnation of this instance */
};

/**
 * Starts the thread. Returns null and sets @error to RANGE (malformed address) or SYSTEM on
 * failure.
 */
struct waxwing_schedule_thread *
waxwing_schedule_thread_open(const struct waxwing_schedule_thread_options *options,
			     struct waxwing_error *error);

/**
 * Stops firing and releases the remaining time span of the claim; waits up to @wait_ms for the
 * release.
 */
void waxwing_schedule_thread_leave(struct waxwing_schedule_thread *thread, uint32_t wait_ms);

/** Copies the counters as of the thread's last step. May be called from any thread. */
void waxwing_schedule_thread_view(struct waxwing_schedule_thread *thread,
				  struct waxwing_schedule_view *view);

void waxwing_schedule_thread_close(struct waxwing_schedule_thread *thread);

#endif
