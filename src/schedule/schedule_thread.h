/**
 * Drives the declared jobs of the instance's failure domain: platform calls on a thread of its own,
 * occurrences to the core.
 */
#ifndef WAXWING_SCHEDULE_THREAD_H
#define WAXWING_SCHEDULE_THREAD_H

#include "core.h"
#include "schedule.h"

struct waxwing_schedule_thread;

struct waxwing_schedule_thread_options {
	struct waxwing_core *core;
	const char *platform; /**< IP:port */
	struct waxwing_str domain; /**< own failure domain */
	uint64_t incarnation;
};

/** Starts the thread. Null with @error: RANGE (malformed address) or SYSTEM. */
struct waxwing_schedule_thread *
waxwing_schedule_thread_open(const struct waxwing_schedule_thread_options *options,
			     struct waxwing_error *error);

/** Fires nothing more and gives the rest of the claim back, waiting up to @wait_ms. */
void waxwing_schedule_thread_leave(struct waxwing_schedule_thread *thread, uint32_t wait_ms);

/** The schedule as of the thread's last step. Any thread. */
void waxwing_schedule_thread_view(struct waxwing_schedule_thread *thread,
				  struct waxwing_schedule_view *view);

void waxwing_schedule_thread_close(struct waxwing_schedule_thread *thread);

#endif
