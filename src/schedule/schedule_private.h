/**
 * State of a schedule. Private to schedule.c, which claims spans, and schedule_fire.c, which
 * fires the occurrences in them.
 */
#ifndef WAXWING_SCHEDULE_PRIVATE_H
#define WAXWING_SCHEDULE_PRIVATE_H

#include "schedule.h"
#include "schedule_claim.h"
#include "schedule_jobs.h"

enum waxwing_schedule_state {
	/*
	 * No platform call is pending; the next read is due at next_read_ms, or earlier if the
	 * claimant is unreachable.
	 */
	WAXWING_SCHEDULE_STATE_WAITING,
	WAXWING_SCHEDULE_STATE_READING,
	WAXWING_SCHEDULE_STATE_WRITING,
};

/*
 * Claim of another instance that this instance's claim replaced. If the other instance is
 * unreachable or leaving after the end of its span, the span's occurrences from done_ms on are
 * reported as uncertain.
 */
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
	struct waxwing_schedule_action *taken; /* last action taken; owns its strings */
	enum waxwing_schedule_state state;
	struct waxwing_schedule_claim known; /* claim last read or written */
	uint64_t revision; /* revision of the known claim; after a write, only a lower bound */
	uint32_t lower_revision_reads; /* consecutive reads of a lower revision */
	/* The platform was restored: claims stored before this instance's next one may be lost. */
	bool restored;
	uint64_t write_base_revision; /* expected revision of the last write */
	struct waxwing_schedule_claim pending; /* claim of the last write */
	struct waxwing_unconfirmed_spans unconfirmed;
	struct waxwing_schedule_claim replaced; /* claim that the pending claim replaces */
	struct waxwing_watched_claim watched;
	int64_t until_ms; /* end of this instance's claim; at or below cursor_ms: nothing to fire */
	int64_t cursor_ms; /* occurrences before this time have been fired or reported */
	int64_t outage_cursor_ms; /* cursor of the run_on_outage jobs, if later than cursor_ms */
	int64_t jobs_since_ms; /* the domain had no scheduled jobs before this time */
	int64_t next_read_ms; /* time of the next read of the claim */
	int64_t last_read_ms; /* time of the last read */
	uint32_t backoff_ms;
	bool outage; /* the last platform call failed */
	bool leaving;
	bool has_settings;
	struct waxwing_schedule_view counts;
};

/** Queues an action for the caller to fill in; the schedule owns it. */
struct waxwing_schedule_action *waxwing_schedule_add_action(struct waxwing_schedule *schedule,
							    enum waxwing_schedule_action_kind kind);
/** Returns a scheduled job of the current settings. */
const struct waxwing_scheduled_job *waxwing_schedule_job(const struct waxwing_schedule *schedule,
							 guint index);
/** Returns the time before which all occurrences of @job have been fired or reported. */
int64_t waxwing_schedule_job_cursor(const struct waxwing_schedule *schedule,
				    const struct waxwing_scheduled_job *job);
/** Returns whether a claim belongs to this incarnation. */
bool waxwing_schedule_owns(const struct waxwing_schedule *schedule,
			   const struct waxwing_schedule_claim *claim);
/** Counts and reports the occurrences of @job in [@from_ms, @until_ms) as missed. */
void waxwing_schedule_report_missed(struct waxwing_schedule *schedule,
				    const struct waxwing_scheduled_job *job, int64_t from_ms,
				    int64_t until_ms, enum waxwing_missed_reason reason);
/** Fires the occurrences due within this instance's claim. */
void waxwing_schedule_fire_claimed(struct waxwing_schedule *schedule, int64_t now_ms);
/**
 * Fires all due occurrences. After the end of the watched claim's span, reports its occurrences if
 * the claimant is unreachable or leaving.
 */
void waxwing_schedule_fire_due(struct waxwing_schedule *schedule, int64_t now_ms);

#endif
