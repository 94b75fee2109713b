#include "scheduler_admit.h"

#include "admission.h"

/** Samples of a branch required before a job is refused because it cannot meet its deadline. */
#define MIN_SAMPLES 30.0

/** Quantile of a branch's run times that is used as the minimum run time of a task. */
#define MIN_RUN_QUANTILE 0.1

/** Share of the jobs whose longest task may take longer than admission assumes for it. */
#define LATE_JOB_SHARE 0.1

/** Retry delay for a job refused because the cell has no slots, in milliseconds. */
#define NO_UPSTREAM_RETRY_MS 1000u

static enum waxwing_error_code refuse(struct waxwing_error *error, enum waxwing_error_code reason,
				      uint32_t retry_after_ms)
{
	waxwing_error_set(error, reason, NULL, "%s", waxwing_strerror(reason));
	if (error)
		error->retry_after_ms = retry_after_ms;
	return reason;
}

static struct waxwing_admission_load collect_load(const struct waxwing_queue *queue,
						  const struct waxwing_scheduler_options *options,
						  const struct waxwing_queue_branch *branch)
{
	const struct waxwing_slots *slots = queue->slots;
	const struct waxwing_team *team = branch->team;
	uint64_t weights = queue->branches.fair_queue.active_weight;
	struct waxwing_admission_load load = {
		.tasks = { queue->tasks, options->queue_tasks },
		.bytes = { queue->bytes, options->queue_bytes },
		.branch_tasks = { branch->queued_tasks, branch->max_queued_tasks },
		.work_ms = queue->work_ms,
		.branch_work_ms = branch->work_ms,
		.capacity = slots->capacity,
	};

	if (!branch->share.active)
		weights += branch->share.weight;
	load.branch_share = (double)branch->share.weight / (double)weights;
	if (!team)
		return load;
	load.team_tasks =
		(struct waxwing_admission_limit){ team->queued_tasks, team->max_queued_tasks };
	load.team_work_ms = team->work_ms;
	if (slots->live_slots > 0)
		load.team_capacity = slots->capacity * team->max_slots / (double)slots->live_slots;
	return load;
}

static struct waxwing_admission_job estimate_job(const struct waxwing_queue *queue,
						 const struct waxwing_queue_branch *branch,
						 const struct waxwing_offer *offer, int64_t now_ms)
{
	const struct waxwing_slots *slots = queue->slots;
	const struct waxwing_work_estimate *work = &branch->work;
	double longest_quantile = 1 - LATE_JOB_SHARE / offer->task_count;
	double work_ms = work->mean_ms * offer->task_count;
	double mean_speed = slots->live_slots > 0 ? slots->capacity / (double)slots->live_slots : 1;
	double spread_ms = slots->capacity > 0 ? work_ms / slots->capacity : 0;
	struct waxwing_admission_job job = {
		.tasks = offer->task_count,
		.bytes = offer->bytes,
		.work_ms = work_ms,
		.remaining_ms = offer->deadline_ms - now_ms,
	};

	job.typical_response_ms =
		MAX(waxwing_work_quantile(work, longest_quantile) / mean_speed, spread_ms);
	if (work->samples >= MIN_SAMPLES)
		job.min_response_ms =
			MAX(waxwing_work_quantile(work, MIN_RUN_QUANTILE) / slots->fastest_speed,
			    spread_ms / 2);
	return job;
}

static enum waxwing_error_code check_load(const struct waxwing_queue *queue,
					  const struct waxwing_scheduler_options *options,
					  int64_t now_ms, const struct waxwing_queue_branch *branch,
					  const struct waxwing_offer *offer,
					  struct waxwing_error *error)
{
	struct waxwing_admission_load load = collect_load(queue, options, branch);
	struct waxwing_admission_job job = estimate_job(queue, branch, offer, now_ms);
	uint32_t retry_after_ms;
	enum waxwing_error_code code = waxwing_admission_check(&load, &job, &retry_after_ms);

	if (code == WAXWING_OK)
		return code;
	return refuse(error, code, retry_after_ms);
}

static enum waxwing_error_code check_branch(const struct waxwing_queue *queue, int64_t now_ms,
					    const struct waxwing_queue_branch *branch,
					    const struct waxwing_offer *offer,
					    struct waxwing_error *error)
{
	if (!branch)
		return refuse(error, WAXWING_ERROR_UNKNOWN_BRANCH, 0);
	if (branch->retired)
		return refuse(error, WAXWING_ERROR_RETIRED, 0);
	if (offer->deadline_ms <= now_ms)
		return refuse(error, WAXWING_ERROR_NEVER_FITS, 0);
	if (queue->slots->live_slots == 0 && !offer->readmitted)
		return refuse(error, WAXWING_ERROR_NO_UPSTREAM, NO_UPSTREAM_RETRY_MS);
	return WAXWING_OK;
}

enum waxwing_error_code waxwing_admit(const struct waxwing_queue *queue,
				      const struct waxwing_scheduler_options *options,
				      int64_t now_ms, const struct waxwing_queue_branch *branch,
				      const struct waxwing_offer *offer,
				      struct waxwing_error *error)
{
	enum waxwing_error_code code = check_branch(queue, now_ms, branch, offer, error);

	if (code != WAXWING_OK || offer->readmitted)
		return code;
	return check_load(queue, options, now_ms, branch, offer, error);
}
