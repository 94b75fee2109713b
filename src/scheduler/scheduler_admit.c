#include "scheduler_admit.h"

#include "admission.h"

/** Samples from which a branch's run times are believed enough to call a job impossible. */
#define KNOWN_SAMPLES 30.0

/** Share of a branch's tasks that are shorter than what is taken as the least. */
#define LEAST_SHARE 0.1

/** Share of the jobs whose longest task may need more time than admission allows for. */
#define LATE_SHARE 0.1

/** How long a caller refused for a full queue is told to wait, in milliseconds. */
#define RETRY_AFTER_MS 1000u

static enum waxwing_error_code refuse(struct waxwing_error *error, enum waxwing_error_code reason,
				      uint32_t retry_after_ms)
{
	waxwing_error_set(error, reason, NULL, "%s", waxwing_strerror(reason));
	if (error)
		error->retry_after_ms = retry_after_ms;
	return reason;
}

static struct waxwing_admission_load load_of(const struct waxwing_queue *queue,
					     const struct waxwing_scheduler_options *options,
					     const struct waxwing_queue_branch *branch)
{
	const struct waxwing_slots *slots = queue->slots;
	const struct waxwing_team *team = branch->team;
	uint64_t weights = queue->branches.fair.weights;
	struct waxwing_admission_load load = {
		.tasks = { queue->tasks, options->queue_tasks },
		.bytes = { queue->bytes, options->queue_bytes },
		.branch_tasks = { branch->queued, branch->queue_limit },
		.work_ms = queue->work_ms,
		.branch_work_ms = branch->work_ms,
		.capacity = slots->capacity,
	};

	if (!branch->share.active)
		weights += branch->share.weight;
	load.branch_share = (double)branch->share.weight / (double)weights;
	if (!team)
		return load;
	load.team_tasks = (struct waxwing_admission_limit){ team->queued, team->queued_limit };
	load.team_work_ms = team->work_ms;
	if (slots->live_slots > 0)
		load.team_capacity = slots->capacity * team->slots / (double)slots->live_slots;
	return load;
}

static struct waxwing_admission_job job_of(const struct waxwing_queue *queue,
					   const struct waxwing_queue_branch *branch,
					   const struct waxwing_offer *offer, int64_t now_ms)
{
	const struct waxwing_slots *slots = queue->slots;
	const struct waxwing_work *work = &branch->work;
	double longest = 1 - LATE_SHARE / offer->task_count;
	double work_ms = work->mean_ms * offer->task_count;
	double mean_speed = slots->live_slots > 0 ? slots->capacity / (double)slots->live_slots : 1;
	double spread_ms = slots->capacity > 0 ? work_ms / slots->capacity : 0;
	struct waxwing_admission_job job = {
		.tasks = offer->task_count,
		.bytes = offer->bytes,
		.work_ms = work_ms,
		.left_ms = offer->deadline_ms - now_ms,
	};

	job.usual_ms = MAX(waxwing_work_quantile(work, longest) / mean_speed, spread_ms);
	if (work->samples >= KNOWN_SAMPLES)
		job.least_ms = MAX(waxwing_work_quantile(work, LEAST_SHARE) / slots->fastest,
				   spread_ms / 2);
	return job;
}

static enum waxwing_error_code check_load(const struct waxwing_queue *queue,
					  const struct waxwing_scheduler_options *options,
					  int64_t now_ms, const struct waxwing_queue_branch *branch,
					  const struct waxwing_offer *offer,
					  struct waxwing_error *error)
{
	struct waxwing_admission_load load = load_of(queue, options, branch);
	struct waxwing_admission_job job = job_of(queue, branch, offer, now_ms);
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
		return refuse(error, WAXWING_ERROR_NO_UPSTREAM, RETRY_AFTER_MS);
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
