/**
 * The upstreams of a cell, their slots and the runs that use them.
 *
 * Internal to the scheduler. The table owns upstreams and runs; a pointer is valid until the run
 * ends or the upstream is removed. See estimate.h for the meaning of speeds and work.
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
	uint64_t number; /**< order of creation, which breaks ties */
	uint32_t slots;
	uint32_t used_slots;
	uint32_t busy_slots; /**< slots assumed in use after busy answers, besides used_slots */
	int64_t busy_until_ms; /**< when busy_slots is reset to 0 */
	uint32_t busy_backoff_ms; /**< backoff after the last busy answer */
	enum waxwing_upstream_state state;
	struct waxwing_speed_estimate speed;
	/** Sort key; above the estimate, so that new upstreams get tasks. */
	double optimistic_speed;
	struct waxwing_breaker breaker;
	struct waxwing_job_key last_failed_job; /**< job of the last task that failed here */
	GPtrArray *runs; /**< struct waxwing_run, not owned */
	double release_rate; /**< slots expected to become free per millisecond */
};

/** A task that uses a slot. */
struct waxwing_run {
	struct waxwing_job_key key;
	uint32_t task; /**< number in the job */
	uint32_t index; /**< position in the upstream's runs */
	uint32_t declared_ms; /**< 0: none declared */
	uint64_t grant; /**< number of the grant; 0: granted by another scheduler */
	struct waxwing_slot_upstream *upstream;
	struct waxwing_queue_job *job; /**< null while the job is unknown */
	struct waxwing_work_estimate *work; /**< estimate of the task's class; null while unknown */
	float expected_ms; /**< expected work */
	float release_rate; /**< this run's part of the upstream's release_rate */
	uint8_t size_class; /**< size class of the job when the run started */
	bool is_probe; /**< probe of an upstream whose breaker is half-open */
	int64_t started_ms;
	/** When the slot is freed if the run's end is not reported earlier; INT64_MAX: never. */
	int64_t release_ms;
};

struct waxwing_slots {
	GHashTable *by_name; /**< struct waxwing_slot_upstream */
	GPtrArray *upstreams; /**< the fastest first, as of the last refresh */
	GHashTable *runs; /**< set of struct waxwing_run, by job and task */
	struct waxwing_reserve reserve;
	uint64_t live_slots; /**< slots of live upstreams */
	double capacity; /**< work per millisecond of the upstreams that take tasks */
	double fastest_speed; /**< highest speed of the upstreams that take tasks */
	uint64_t last_number; /**< number of the upstream created last */
	uint32_t runs_without_job;
	int64_t refreshed_ms; /**< time of the last refresh; INT64_MIN: due now */
	/** When an ejected or busy upstream may next take tasks; INT64_MAX: never. */
	int64_t next_available_ms;
	int64_t first_release_ms; /**< lower bound of the runs' release_ms */
};

void waxwing_slots_init(struct waxwing_slots *slots);
void waxwing_slots_clear(struct waxwing_slots *slots);

/**
 * Adds or changes an upstream. Returns null if the state is WAXWING_UPSTREAM_REMOVED and the
 * upstream was unknown or has now been removed.
 */
struct waxwing_slot_upstream *waxwing_slots_set_upstream(struct waxwing_slots *slots,
							 struct waxwing_str name, uint32_t count,
							 enum waxwing_upstream_state state);

/** Changes the state of an upstream; may remove it. */
void waxwing_slots_set_state(struct waxwing_slots *slots, struct waxwing_slot_upstream *upstream,
			     enum waxwing_upstream_state state);

struct waxwing_slot_upstream *waxwing_slots_find(const struct waxwing_slots *slots,
						 struct waxwing_str name);

/** Returns the number of slots in which a task may start now. */
static inline uint32_t waxwing_upstream_free_slots(const struct waxwing_slot_upstream *upstream)
{
	uint32_t used = upstream->used_slots + upstream->busy_slots;

	uint32_t slots = waxwing_breaker_slots(&upstream->breaker, upstream->slots);

	if (upstream->state != WAXWING_UPSTREAM_LIVE)
		return 0;
	if (waxwing_breaker_may_probe(&upstream->breaker) && used < upstream->slots)
		return 1;
	return used < slots ? slots - used : 0;
}

/**
 * Updates the order of upstreams, the capacity and the release rates, at most once every few
 * milliseconds.
 */
void waxwing_slots_refresh(struct waxwing_slots *slots, int64_t now_ms);

/** Updates the average use of slots; to be called before a slot is taken or freed. */
static inline void waxwing_slots_update_usage(struct waxwing_slots *slots, int64_t now_ms)
{
	waxwing_reserve_update(&slots->reserve, now_ms, slots->live_slots);
}

/** Starts a run of a task that has no run yet. */
struct waxwing_run *waxwing_slots_start_run(struct waxwing_slots *slots,
					    struct waxwing_slot_upstream *upstream,
					    struct waxwing_job_key key, uint32_t task,
					    int64_t now_ms);

/** Sets a granted run's size class from its job's remaining work, which includes the run. */
void waxwing_run_set_size(struct waxwing_slots *slots, struct waxwing_run *run, double work_ms);

/** Sets a run's expected work and @work, the estimate of its task's class, which may be null. */
void waxwing_run_set_expected(struct waxwing_run *run, struct waxwing_work_estimate *work,
			      double expected_ms, int64_t now_ms);

/** Returns the run of a task; null when there is none. */
struct waxwing_run *waxwing_slots_find_run(const struct waxwing_slots *slots,
					   struct waxwing_job_key key, uint32_t task);

/** Frees the slot and the run; may remove the upstream. */
void waxwing_slots_end_run(struct waxwing_slots *slots, struct waxwing_run *run);

/** Records the outcome of a run, for ejection and for the backoff after busy answers. */
void waxwing_slots_record_outcome(struct waxwing_slots *slots, const struct waxwing_run *run,
				  enum waxwing_slot_outcome outcome, int64_t now_ms);

/** Sets when the run's slot is freed if the end of the run is not reported earlier. */
void waxwing_slots_release_at(struct waxwing_slots *slots, struct waxwing_run *run,
			      int64_t release_ms);

/** Returns a run whose release time has passed; null when there is none. */
struct waxwing_run *waxwing_slots_next_released(struct waxwing_slots *slots, int64_t now_ms);

#endif
