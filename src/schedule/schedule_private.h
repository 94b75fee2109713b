/**
 * What a schedule holds. Private to schedule.c, which claims spans, and schedule_fire.c, which fires what
 * is due in them.
 */
#ifndef WAXWING_SCHEDULE_PRIVATE_H
#define WAXWING_SCHEDULE_PRIVATE_H

#include "schedule.h"
#include "schedule_claim.h"
#include "schedule_jobs.h"

enum waxwing_schedule_state {
	WAXWING_SCHEDULE_STATE_WAITING, /* until check_ms */
	WAXWING_SCHEDULE_STATE_READING,
	WAXWING_SCHEDULE_STATE_WRITING,
};

/* Another's span, to be reported if its claimant turns out to be gone after its end. */
struct waxwing_watched_claim {
	uint64_t incarnation; /* 0: none */
	int64_t done_ms;
	int64_t until_ms;
};

struct waxwing_schedule {
	struct waxwing_schedule_options options;
	char *domain;
	char *key;
	GRand *random;
	GArray *jobs; /* struct waxwing_scheduled_job */
	GQueue *actions; /* struct waxwing_schedule_action, strings owned */
	struct waxwing_schedule_action *taken; /* the last one handed out */
	enum waxwing_schedule_state state;
	struct waxwing_claim known; /* as last read or written */
	uint64_t revision; /* of the last read */
	uint32_t lower_reads; /* in a row, of a lower revision */
	bool restored; /* what was claimed before the own next claim is not known */
	uint64_t written_on; /* revision that the last write was made on */
	struct waxwing_claim pending; /* last written */
	struct waxwing_unsettled unsettled;
	struct waxwing_claim replaced; /* what pending replaces */
	struct waxwing_watched_claim watched;
	int64_t until_ms; /* end of the own claim; at or below cursor_ms: nothing to fire */
	int64_t cursor_ms; /* everything before it is dealt with */
	int64_t outage_cursor_ms; /* the same for what runs beyond the claim */
	int64_t jobs_since_ms; /* there was nothing to claim for before it */
	int64_t check_ms; /* next look at the claim */
	int64_t looked_ms; /* last look */
	uint32_t backoff_ms;
	bool outage;
	bool leaving;
	bool has_settings;
	struct waxwing_schedule_view counts;
};

/** Adds an action of a kind, to be filled; it stays the schedule's. */
struct waxwing_schedule_action *waxwing_schedule_add_action(struct waxwing_schedule *schedule,
							    enum waxwing_schedule_action_kind kind);
/** A scheduled job of the settings in force. */
const struct waxwing_scheduled_job *waxwing_schedule_job(const struct waxwing_schedule *schedule,
							 guint index);
/** From when on @job is not dealt with yet, in milliseconds of wall-clock time. */
int64_t waxwing_schedule_cursor(const struct waxwing_schedule *schedule,
				const struct waxwing_scheduled_job *job);
/** Whether a claim is of this incarnation. */
bool waxwing_schedule_owns(const struct waxwing_schedule *schedule,
			   const struct waxwing_claim *claim);
/** Counts and reports what @job has from @from_ms on and before @until_ms, if anything. */
void waxwing_schedule_report_missed(struct waxwing_schedule *schedule,
				    const struct waxwing_scheduled_job *job, int64_t from_ms,
				    int64_t until_ms, enum waxwing_missed_reason reason);
/** Fires what is due within the own claim. */
void waxwing_schedule_fire_claimed(struct waxwing_schedule *schedule, int64_t now_ms);
/** Fires all that is due, and reports on a watched claim that has ended. */
void waxwing_schedule_fire_due(struct waxwing_schedule *schedule, int64_t now_ms);

#endif
