/**
 * Schedules the declared jobs of a failure domain: decides which instance fires which occurrence.
 *
 * The instances of a domain share one key of the platform's key-value service. Its value claims a
 * span of the near future for one incarnation. It changes by compare-and-swap only and spans
 * never overlap, so every occurrence belongs to at most one instance, which fires it once within
 * the lateness limit or drops it. Each span takes one write, regardless of the number of jobs.
 *
 * The module has no sockets, threads or clock: callers pass in events with the wall-clock time
 * (ms since 1970) and take actions out with waxwing_schedule_next_action(). At most one platform
 * call is pending. Not thread-safe.
 */
#ifndef WAXWING_SCHEDULE_H
#define WAXWING_SCHEDULE_H

#include "settings.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

struct waxwing_schedule;

struct waxwing_schedule_options {
	struct waxwing_str domain; /**< failure domain of this instance; copied */
	uint64_t incarnation; /**< incarnation of this instance */
	uint64_t seed; /**< seed of the jitter that keeps instances from writing at once */
	uint32_t span_ms; /**< length of a claimed span; 0: 5000 */
	uint32_t lead_ms; /**< how long before its end a claim is renewed; 0: half a span */
	uint32_t lateness_ms; /**< maximum delay from an occurrence to its start; 0: 2000 */
	/** Returns whether an incarnation is reachable and not leaving. */
	bool (*alive)(void *context, uint64_t incarnation);
	void *context;
};

struct waxwing_schedule *waxwing_schedule_create(const struct waxwing_schedule_options *options,
						 int64_t now_ms);
void waxwing_schedule_destroy(struct waxwing_schedule *schedule);

/** Returns the key that holds the domain's claim; valid as long as the schedule. */
const char *waxwing_schedule_key(const struct waxwing_schedule *schedule);

/** Applies settings: copies the domain's declared jobs that have a period and are not retired. */
void waxwing_schedule_set_settings(struct waxwing_schedule *schedule,
				   const struct waxwing_settings *settings, int64_t now_ms);

enum waxwing_schedule_action_kind {
	WAXWING_SCHEDULE_READ, /**< read the key, then call waxwing_schedule_read_done() */
	WAXWING_SCHEDULE_WRITE, /**< write the key, then call waxwing_schedule_write_done() */
	WAXWING_SCHEDULE_FIRE, /**< start the declared job now */
	WAXWING_SCHEDULE_MISSED, /**< log and count missed occurrences, with the reason */
};

enum waxwing_missed_reason {
	WAXWING_MISSED_LATE, /**< the claimant was late, for example paused beyond the limit */
	/** No instance had claimed the time (outage, or none running). */
	WAXWING_MISSED_UNCLAIMED,
	WAXWING_MISSED_UNCERTAIN, /**< perhaps started, for example by a claimant that died */
};

struct waxwing_schedule_action {
	enum waxwing_schedule_action_kind kind;
	uint64_t revision; /**< WRITE: expected revision of the compare-and-swap */
	/** WRITE: new value. All strings are valid until the next action is taken. */
	struct waxwing_str text;
	struct waxwing_str branch; /**< FIRE, MISSED: the branch that declares the job */
	struct waxwing_str job; /**< FIRE, MISSED: name of the declared job */
	/** FIRE: time of the occurrence; MISSED: time of the first missed one. */
	int64_t occurrence_ms;
	uint64_t count; /**< MISSED: number of consecutive occurrences */
	enum waxwing_missed_reason reason; /**< MISSED: why the occurrences are reported */
};

/** Takes the next action; returns false when none is pending. */
bool waxwing_schedule_next_action(struct waxwing_schedule *schedule,
				  struct waxwing_schedule_action *action);

/** Completes a READ with @code; an absent key has revision 0 and an empty text. */
void waxwing_schedule_read_done(struct waxwing_schedule *schedule, int64_t now_ms,
				enum waxwing_error_code code, uint64_t revision,
				struct waxwing_str text);
/**
 * Completes a WRITE with @code. WAXWING_OK: the value is stored; WAXWING_ERROR_TIMEOUT: it may be
 * stored; any other code: it is not.
 */
void waxwing_schedule_write_done(struct waxwing_schedule *schedule, int64_t now_ms,
				 enum waxwing_error_code code);

/** Fires due occurrences and starts platform calls that are due. */
void waxwing_schedule_tick(struct waxwing_schedule *schedule, int64_t now_ms);
/** Returns when the next tick is due, at most a second ahead. */
int64_t waxwing_schedule_next_tick_ms(const struct waxwing_schedule *schedule, int64_t now_ms);

/** Stops firing and releases the rest of the claimed span, as this instance is leaving. */
void waxwing_schedule_leave(struct waxwing_schedule *schedule, int64_t now_ms);
/** Returns whether the instance is leaving and has released its span or had none to release. */
bool waxwing_schedule_has_left(const struct waxwing_schedule *schedule);

struct waxwing_schedule_view {
	uint64_t jobs; /**< scheduled jobs of the domain */
	uint64_t fired;
	uint64_t missed[3]; /**< indexed by enum waxwing_missed_reason */
	uint64_t reads;
	uint64_t writes;
	int64_t claimed_until_ms; /**< end of the span claimed by this instance; 0: none */
	bool outage; /**< the last call to the platform failed */
};

void waxwing_schedule_view(const struct waxwing_schedule *schedule,
			   struct waxwing_schedule_view *view);

#endif
