/* Regular scans of a cell's jobs and runs, for what is due by time alone. */
#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"
#include "log.h"

/* A job past its due time is not deferred if at most this share of its tasks remains. */
#define NEARLY_DONE_SHARE 0.25
/* How long a run that a former owner started may wait for its job to be offered again. */
#define ORPHAN_GRACE_MS 300

/* Finishing a nearly completed job is worth more than the same work on one that has just begun. */
static bool is_nearly_done(const struct cell_job *job)
{
	return job->remaining <= NEARLY_DONE_SHARE * job->total;
}

static void set_late(struct cell_job *job, bool late)
{
	if (job->late == late || job->long_running)
		return;
	job->late = late;
	if (job->ready_iter)
		g_sequence_sort_changed(job->ready_iter, job_compare, NULL);
}

/*
 * Refuses a job with a step that no usable executor of this cell may run, so that another cell can
 * take it; none of its tasks has started. Accepts a durable job once each step has a permitted
 * executor.
 */
static void check_permits(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	bool none_permitted;
	uint32_t unknown = permits_find_unknown_step(cell, job, now_ms, &none_permitted);

	if (none_permitted) {
		job->durable = false; /* the job is not in the journal */
		job_end(cell, job, now_ms, WAXWING_JOB_REFUSED, WAXWING_ERROR_NO_UPSTREAM,
			MIN_RETRY_AFTER_MS * 5);
	} else if (job->awaits_permits && unknown < job->step_count) {
		permits_request(cell, job, unknown, now_ms);
	} else if (job->awaits_permits) {
		job->awaits_permits = false;
		durable_accept(cell, job);
	}
}

static void scan_job(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	durable_answer_waiters(cell, job, now_ms);
	if (job->ended)
		return;
	if (job->occurrences) {
		if (job->acceptance_stored && !cell->options.recovering)
			occurrences_open_scheduled(cell, job, now_ms);
		return;
	}
	if (evacuation_end_job(cell, job, now_ms))
		return;
	/* more urgent jobs have taken its place, or executors were lost */
	if (!job->durable && !job->started &&
	    (double)now_ms + job_work_ms(job) > (double)job_give_up_ms(job)) {
		job_end(cell, job, now_ms, WAXWING_JOB_REFUSED, WAXWING_ERROR_DEADLINE,
			(uint32_t)MAX(cell_expected_wait_ms(cell, job->spec->service, now_ms),
				      MIN_RETRY_AFTER_MS));
		return;
	}
	set_late(job, now_ms > job->due_ms && !is_nearly_done(job));
	if (job->spec->permits_needed && (job->durable ? job->awaits_permits : !job->started))
		check_permits(cell, job, now_ms);
}

static void scan_runs(struct waxwing_cell *cell, int64_t now_ms)
{
	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];

		long_running_drain(cell, executor, now_ms);
		for (guint k = 0; k < executor->runs->len; k++) {
			struct cell_run *run = executor->runs->pdata[k];
			bool again = run->state == RUN_STOPPING && !run->stop_deadline_ms &&
				     now_ms >= run->next_stop_ms;
			bool orphan = !run->job && run->state == RUN_RUNNING &&
				      !cell->options.recovering &&
				      now_ms - run->first_seen_ms >= ORPHAN_GRACE_MS;

			if (run->job && !run->job->durable && run->stop_deadline_ms &&
			    now_ms >= run->stop_deadline_ms)
				run_release_task(cell, run);

			/* no list has shown whether it has started */
			if (run->list_deadline_ms && now_ms >= run->list_deadline_ms)
				run_stop(cell, run, now_ms);
			if (again || orphan)
				run_stop(cell, run, now_ms);
		}
	}
}

static gboolean verdict_has_expired(gpointer key, gpointer value, gpointer now_ms)
{
	const struct cached_verdict *cached = value;

	(void)key;
	return cached->expires_ms <= *(int64_t *)now_ms;
}

void cell_scan_jobs(struct waxwing_cell *cell, int64_t now_ms)
{
	GList *jobs = g_hash_table_get_values(cell->jobs);

	for (GList *link = jobs; link; link = link->next)
		scan_job(cell, link->data, now_ms);
	g_list_free(jobs);
	scan_runs(cell, now_ms);
	durable_expire_finished(cell, now_ms);
	g_hash_table_foreach_remove(cell->verdicts, verdict_has_expired, &now_ms);
}
