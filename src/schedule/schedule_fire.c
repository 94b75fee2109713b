/*
 * Fires the occurrences that are due within this instance's claim, or after it in an outage, and
 * reports missed ones.
 */
#include "schedule_private.h"

const struct waxwing_scheduled_job *waxwing_schedule_job(const struct waxwing_schedule *schedule,
							 guint index)
{
	return &g_array_index(schedule->jobs, struct waxwing_scheduled_job, index);
}

static void add_job_action(struct waxwing_schedule *schedule,
			   const struct waxwing_scheduled_job *job,
			   enum waxwing_schedule_action_kind kind, int64_t occurrence_ms)
{
	struct waxwing_schedule_action *action = waxwing_schedule_add_action(schedule, kind);

	action->branch = waxwing_str(g_strdup(job->branch));
	action->job = waxwing_str(g_strdup(job->job));
	action->occurrence_ms = occurrence_ms;
}

void waxwing_schedule_report_missed(struct waxwing_schedule *schedule,
				    const struct waxwing_scheduled_job *job, int64_t from_ms,
				    int64_t until_ms, enum waxwing_missed_reason reason)
{
	uint64_t count = waxwing_occurrence_count(job, from_ms, until_ms);
	struct waxwing_schedule_action *action;

	if (!count)
		return;
	add_job_action(schedule, job, WAXWING_SCHEDULE_MISSED,
		       waxwing_occurrence_next(job, from_ms));
	action = g_queue_peek_tail(schedule->actions);
	action->count = count;
	action->reason = reason;
	schedule->counts.missed[reason] += count;
}

/*
 * Fires the occurrences of @job in [@from_ms, @until_ms); reports those beyond the lateness
 * limit.
 */
static void fire_job(struct waxwing_schedule *schedule, const struct waxwing_scheduled_job *job,
		     int64_t from_ms, int64_t until_ms, int64_t now_ms)
{
	int64_t late_ms = MIN(until_ms, now_ms - schedule->options.lateness_ms);
	int64_t next_ms;

	if (from_ms >= until_ms)
		return;
	if (from_ms < late_ms) {
		waxwing_schedule_report_missed(schedule, job, from_ms, late_ms,
					       WAXWING_MISSED_LATE);
		from_ms = late_ms;
	}
	next_ms = waxwing_occurrence_next(job, from_ms);
	for (; next_ms < until_ms; next_ms += job->period_ms) {
		add_job_action(schedule, job, WAXWING_SCHEDULE_FIRE, next_ms);
		schedule->counts.fired++;
	}
}

int64_t waxwing_schedule_job_cursor(const struct waxwing_schedule *schedule,
				    const struct waxwing_scheduled_job *job)
{
	return job->run_on_outage ? MAX(schedule->cursor_ms, schedule->outage_cursor_ms) :
				    schedule->cursor_ms;
}

void waxwing_schedule_fire_claimed(struct waxwing_schedule *schedule, int64_t now_ms)
{
	int64_t end_ms = MIN(now_ms + 1, schedule->until_ms);

	if (end_ms <= schedule->cursor_ms)
		return;
	for (guint i = 0; i < schedule->jobs->len; i++) {
		const struct waxwing_scheduled_job *job = waxwing_schedule_job(schedule, i);

		fire_job(schedule, job, waxwing_schedule_job_cursor(schedule, job), end_ms, now_ms);
	}
	schedule->cursor_ms = end_ms;
}

bool waxwing_schedule_owns(const struct waxwing_schedule *schedule,
			   const struct waxwing_schedule_claim *claim)
{
	return claim->incarnation == schedule->options.incarnation;
}

/* In an outage, the last claimant goes on firing the jobs that may run without a claim. */
static void fire_unclaimed(struct waxwing_schedule *schedule, int64_t now_ms)
{
	int64_t from_ms = MAX(schedule->outage_cursor_ms, schedule->until_ms);

	if (!schedule->outage || schedule->leaving ||
	    !waxwing_schedule_owns(schedule, &schedule->known) || now_ms < from_ms)
		return;
	for (guint i = 0; i < schedule->jobs->len; i++)
		if (waxwing_schedule_job(schedule, i)->run_on_outage)
			fire_job(schedule, waxwing_schedule_job(schedule, i), from_ms, now_ms + 1,
				 now_ms);
	schedule->outage_cursor_ms = now_ms + 1;
}

static void report_watched(struct waxwing_schedule *schedule, int64_t now_ms)
{
	struct waxwing_watched_claim *watched = &schedule->watched;

	if (!watched->incarnation || now_ms < watched->until_ms + schedule->options.lateness_ms)
		return;
	if (!schedule->options.alive(schedule->options.context, watched->incarnation))
		for (guint i = 0; i < schedule->jobs->len; i++)
			waxwing_schedule_report_missed(schedule, waxwing_schedule_job(schedule, i),
						       watched->done_ms, watched->until_ms,
						       WAXWING_MISSED_UNCERTAIN);
	watched->incarnation = 0;
}

void waxwing_schedule_fire_due(struct waxwing_schedule *schedule, int64_t now_ms)
{
	waxwing_schedule_fire_claimed(schedule, now_ms);
	fire_unclaimed(schedule, now_ms);
	report_watched(schedule, now_ms);
}
