/**
 * Runs the declared jobs of one failure domain: which instance fires which occurrence.
 *
 * The instances of a domain share one key at the platform. Its value claims a span of time just ahead
 * for one incarnation; it is changed by compare-and-swap only and spans never overlap, so every
 * occurrence belongs to at most one instance, which fires it once, within the lateness limit, or drops
 * it. One write a span, however many schedules there are.
 *
 * No sockets, threads or clock: events and the wall time (ms since 1970) go in, actions come out through
 * waxwing_schedule_take(). One platform call at a time. Not thread-safe.
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
	struct waxwing_str domain; /**< own failure domain; copied */
	uint64_t incarnation;
	uint64_t seed; /**< of the jitter between instances */
	uint32_t span_ms; /**< length of a claim; 0: 5000 */
	uint32_t lead_ms; /**< how long before its end a claim is renewed; 0: half a span */
	uint32_t lateness_ms; /**< latest start after an occurrence; 0: 2000 */
	/** True while an incarnation is heard and not leaving. */
	bool (*alive)(void *context, uint64_t incarnation);
	void *context;
};

struct waxwing_schedule *waxwing_schedule_create(const struct waxwing_schedule_options *options,
						 int64_t now_ms);
void waxwing_schedule_destroy(struct waxwing_schedule *schedule);

/** The key that the domain's claim is kept at; lives as long as the schedule. */
const char *waxwing_schedule_key(const struct waxwing_schedule *schedule);

/** New settings: what is needed of the declared jobs is copied. Retired ones stop. */
void waxwing_schedule_settings(struct waxwing_schedule *schedule,
			       const struct waxwing_settings *settings, int64_t now_ms);

enum waxwing_schedule_action_kind {
	WAXWING_SCHEDULE_READ, /**< read the key, then call waxwing_schedule_read_done() */
	WAXWING_SCHEDULE_WRITE, /**< write the key, then call waxwing_schedule_write_done() */
	WAXWING_SCHEDULE_FIRE, /**< start the declared job now */
	WAXWING_SCHEDULE_MISSED, /**< log and count; it was not started, or nobody can know */
};

enum waxwing_missed_reason {
	WAXWING_MISSED_LATE, /**< the claimant was paused past the lateness limit */
	WAXWING_MISSED_UNCLAIMED, /**< nobody had claimed the time: an outage, or no instance */
	WAXWING_MISSED_UNCERTAIN, /**< its claimant died: it may or may not have been started */
};

struct waxwing_schedule_action {
	enum waxwing_schedule_action_kind kind;
	uint64_t revision; /**< WRITE: the compare-and-swap's */
	struct waxwing_str text; /**< WRITE; valid until the next call, as all strings */
	struct waxwing_str branch; /**< FIRE, MISSED */
	struct waxwing_str job;
	int64_t occurrence_ms; /**< FIRE; the first of MISSED */
	uint64_t count; /**< MISSED: occurrences in a row */
	enum waxwing_missed_reason reason;
};

/** Takes the next action that is due; false when there is none. */
bool waxwing_schedule_take(struct waxwing_schedule *schedule,
			   struct waxwing_schedule_action *action);

/** The READ asked for ended with @code; an absent key is revision 0 and no text. */
void waxwing_schedule_read_done(struct waxwing_schedule *schedule, int64_t now_ms,
				enum waxwing_error_code code, uint64_t revision,
				struct waxwing_str text);
/** The WRITE ended: WAXWING_OK, CONFLICT, TIMEOUT (it may have taken effect), or not written. */
void waxwing_schedule_write_done(struct waxwing_schedule *schedule, int64_t now_ms,
				 enum waxwing_error_code code);

/** Advances time. */
void waxwing_schedule_tick(struct waxwing_schedule *schedule, int64_t now_ms);
/** When the next tick is due; at most a second ahead. */
int64_t waxwing_schedule_next(const struct waxwing_schedule *schedule, int64_t now_ms);

/** This instance is leaving: fires nothing more and gives back the rest of its span. */
void waxwing_schedule_leave(struct waxwing_schedule *schedule, int64_t now_ms);
/** True when nothing is left to give back. */
bool waxwing_schedule_left(const struct waxwing_schedule *schedule);

struct waxwing_schedule_view {
	uint64_t jobs; /**< live, with a period, of this domain */
	uint64_t fired;
	uint64_t missed[3]; /**< by reason */
	uint64_t reads;
	uint64_t writes;
	int64_t claimed_until_ms; /**< 0: not the claimant */
	bool outage; /**< the last call to the platform failed */
};

void waxwing_schedule_view(const struct waxwing_schedule *schedule,
			   struct waxwing_schedule_view *view);

#endif
