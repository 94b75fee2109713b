/**
 * Upstreams of a cell and the tasks that hold their slots.
 *
 * Part of the scheduler: no clock, no threads of its own. Upstreams and runs are owned by the table;
 * pointers to them stay valid until the run ends or the upstream is forgotten. Speeds and work are those
 * of estimate.h.
 */
#ifndef WAXWING_SCHEDULER_SLOTS_H
#define WAXWING_SCHEDULER_SLOTS_H

#include "breaker.h"
#include "estimate.h"
#include "scheduler.h"
#include "scheduler_reserve.h"

#include <glib.h>

struct waxwing_queue_job;

/** An upstream with its slots. */
struct waxwing_slot_upstream {
	struct waxwing_str name;
	uint64_t number; /**< in order of first sight */
	uint32_t slots;
	uint32_t used;
	uint32_t busy; /**< slots taken as used, after busy answers */
	int64_t busy_until_ms;
	uint32_t busy_pause_ms; /**< of the last busy answer */
	enum waxwing_upstream_state state;
	struct waxwing_speed speed;
	double hoped_speed; /**< what the order goes by, so that new ones are tried */
	struct waxwing_breaker breaker;
	struct waxwing_job_key last_failed; /**< job of the last task that failed here */
	GPtrArray *runs;
	double release_rate; /**< slots expected to come free, a millisecond */
};

/** A task that holds a slot. */
struct waxwing_run {
	struct waxwing_job_key key;
	uint32_t task;
	uint32_t index; /**< in the upstream's runs */
	uint32_t declared_ms; /**< 0: none */
	uint64_t grant; /**< 0: granted by another scheduler */
	struct waxwing_slot_upstream *upstream;
	struct waxwing_queue_job *job; /**< null while the job is unknown */
	struct waxwing_work *work; /**< of the task's kind; null while unknown */
	float expected_ms; /**< work */
	float rate; /**< its part of the upstream's release rate */
	uint8_t size_class; /**< of its job, when it started */
	bool is_try; /**< of a half-open upstream */
	int64_t started_ms;
	int64_t release_ms; /**< when the slot is taken as free; INT64_MAX: when told so */
};

struct waxwing_slots {
	GHashTable *by_name;
	GPtrArray *upstreams; /**< the fastest first, as of the last refresh */
	GHashTable *runs;
	struct waxwing_reserve reserve;
	uint64_t live_slots; /**< of upstreams that take tasks */
	double capacity; /**< work a millisecond of those slots */
	double fastest; /**< speed of the fastest of them */
	uint64_t last_number;
	uint32_t unlinked; /**< runs whose job is unknown */
	int64_t refreshed_ms;
	int64_t next_free_ms; /**< when an upstream that is kept from tasks may take some again */
	int64_t first_release_ms; /**< no run is released by time before this */
};

void waxwing_slots_init(struct waxwing_slots *slots);
void waxwing_slots_clear(struct waxwing_slots *slots);

/** Adds or changes an upstream; null when it is gone and forgotten. */
struct waxwing_slot_upstream *waxwing_slots_set(struct waxwing_slots *slots,
						struct waxwing_str name, uint32_t count,
						enum waxwing_upstream_state state);

/** Changes the state of a known upstream; it may be forgotten by this. */
void waxwing_slots_set_state(struct waxwing_slots *slots, struct waxwing_slot_upstream *upstream,
			     enum waxwing_upstream_state state);

struct waxwing_slot_upstream *waxwing_slots_find(const struct waxwing_slots *slots,
						 struct waxwing_str name);

/** Slots of the upstream that take a task now. */
static inline uint32_t waxwing_upstream_free(const struct waxwing_slot_upstream *upstream)
{
	uint32_t used = upstream->used + upstream->busy;

	uint32_t slots = waxwing_breaker_slots(&upstream->breaker, upstream->slots);

	if (upstream->state != WAXWING_UPSTREAM_LIVE)
		return 0;
	if (waxwing_breaker_may_try(&upstream->breaker) && used < upstream->slots)
		return 1;
	return used < slots ? slots - used : 0;
}

/** Works out order, capacity and release rates again, at most once in some milliseconds. */
void waxwing_slots_refresh(struct waxwing_slots *slots, int64_t now_ms);

/** Averages the use of slots up to now; to be called before it changes. */
static inline void waxwing_slots_average(struct waxwing_slots *slots, int64_t now_ms)
{
	waxwing_reserve_update(&slots->reserve, now_ms, slots->live_slots);
}

/** Takes a slot for a task that holds none. */
struct waxwing_run *waxwing_slots_start(struct waxwing_slots *slots,
					struct waxwing_slot_upstream *upstream,
					struct waxwing_job_key key, uint32_t task, int64_t now_ms);

/** Says how much work the run's job has left, its own included. */
void waxwing_run_set_size(struct waxwing_slots *slots, struct waxwing_run *run, double work_ms);

/** Says what the run is expected to take; the kind of work may be null. */
void waxwing_run_expect(struct waxwing_run *run, struct waxwing_work *work, double expected_ms,
			int64_t now_ms);

struct waxwing_run *waxwing_slots_run(const struct waxwing_slots *slots, struct waxwing_job_key key,
				      uint32_t task);

/** Gives the slot back and frees the run. */
void waxwing_slots_end(struct waxwing_slots *slots, struct waxwing_run *run);

/** Notes how a run ended, for ejection and for pauses after busy answers. */
void waxwing_slots_note(struct waxwing_slots *slots, const struct waxwing_run *run,
			enum waxwing_slot_outcome outcome, int64_t now_ms);

/** Lets the run's slot go at a time, whatever is told. */
void waxwing_slots_release_at(struct waxwing_slots *slots, struct waxwing_run *run,
			      int64_t release_ms);

/** A run whose time to be released has come; null when there is none. */
struct waxwing_run *waxwing_slots_released(struct waxwing_slots *slots, int64_t now_ms);

#endif
