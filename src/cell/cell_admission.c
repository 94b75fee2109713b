/*
 * Admission at a crest: more jobs arrive than the cell can run in time. A job is admitted if it is
 * expected to end by its due time, or else if capacity that jobs in time leave over completes it
 * soon enough to be useful. Any other job is refused at once, so that its caller can go elsewhere
 * or come back, and admitted jobs are not made late by work that is late anyway.
 */
#include "cell_private.h"

#define LOG_COMPONENT "admission"
#include "event_log.h"
#include "log.h"

/* Time constant of the rate at which work is admitted in time. */
#define INFLOW_MS 400
/*
 * Share of the usable cores that can run tasks at a time; the rest is left over on executors that
 * have no room for another task.
 */
#define PACKED_SHARE 0.85

/*
 * A queue of which less than this share was admitted lately is neglected: more urgent queues take
 * all the capacity. Its next job goes ahead of theirs, so that no queue is refused altogether.
 */
#define MIN_QUEUE_SHARE 0.1
/* Time constant of the counts of offered and admitted jobs. */
#define QUEUE_COUNT_MS 2000

/* Bounds of the time after which refused callers come back first. */
#define MAX_RETRY_AFTER_MS 10000
/* Number of different times at which refused jobs of one priority come back. */
#define RETRY_SLOTS 64

/*
 * After a takeover the capacity is not known for this long: executors have not answered yet, or
 * have runs whose jobs are still to be offered. No job is refused for load meanwhile.
 */
#define TAKEOVER_MS 400

/* A running task's expected end. */
struct release {
	double after_ms;
	double cores;
};

static int compare_releases(const void *a, const void *b)
{
	const struct release *left = a;
	const struct release *right = b;

	return left->after_ms < right->after_ms ? -1 : left->after_ms > right->after_ms;
}

static double ready_cores(const struct cell_job *job)
{
	double cores = 0;

	for (uint32_t i = 0; i < job->step_count; i++)
		cores += (double)step_needs(job->steps[i].spec).cpu_milli / 1000;
	return job->ready_tasks * cores / MAX(job->step_count, 1);
}

/* Returns the cores that the ready tasks of jobs which are served before @job need. */
static double cores_ahead(const struct waxwing_cell *cell, const struct cell_job *job)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(cell->ready_jobs);
	double cores = 0;

	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
		const struct cell_job *other = g_sequence_get(iter);

		if (other == job || job_compare(other, job, NULL) > 0)
			break;
		if (strcmp(other->spec->service, job->spec->service) == 0)
			cores += ready_cores(other);
	}
	return cores;
}

/* Returns the cores of an executor on which tasks of @task_cores each fit now. */
static double usable_cores(const struct executor *executor, double task_cores)
{
	double unused =
		((double)executor->capacity.cpu_milli - (double)executor->allocated.cpu_milli) /
		1000;

	if (unused <= 0)
		return 0;
	return task_cores > 0 ? (double)(int64_t)(unused / task_cores) * task_cores : unused;
}

static void add_releases(const struct executor *executor, int64_t now_ms, GArray *releases)
{
	for (guint i = 0; i < executor->runs->len; i++) {
		const struct cell_run *run = executor->runs->pdata[i];
		struct release release = { 0, (double)run->needs.cpu_milli / 1000 };

		if (run->job && !run->job->ended && run_is_long_running(run))
			continue;
		if (run->job && !run->job->ended)
			release.after_ms = run_remaining_ms(run, now_ms);
		g_array_append_val(releases, release);
	}
}

static double task_cores(const struct cell_job *job)
{
	return (double)step_needs(job->spec->steps[0]).cpu_milli / 1000;
}

static bool may_serve(const struct executor *executor, const struct cell_job *job, int64_t now_ms)
{
	return executor_usable(executor, now_ms) &&
	       strcmp(executor->service, job->spec->service) == 0;
}

/* Returns true if one of the job's tasks can start now. */
static bool has_free_place(const struct waxwing_cell *cell, const struct cell_job *job,
			   int64_t now_ms)
{
	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];

		if (may_serve(executor, job, now_ms) && cold_may_start(executor, now_ms) &&
		    usable_cores(executor, task_cores(job)) > 0)
			return true;
	}
	return false;
}

/*
 * Returns the time until @needed cores have become free: those that are free now, and those of
 * running tasks as they end.
 */
static double time_until_free_ms(const struct waxwing_cell *cell, const struct cell_job *job,
				 double needed, int64_t now_ms)
{
	GArray *releases = g_array_new(FALSE, FALSE, sizeof(struct release));
	double total_cores = 0;
	double core_ms = 0;
	double wait_ms = 0;

	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		if (!may_serve(executor, job, now_ms))
			continue;
		total_cores += (double)executor->capacity.cpu_milli / 1000;
		needed -= usable_cores(executor, task_cores(job));
		add_releases(executor, now_ms, releases);
	}
	g_array_sort(releases, compare_releases);
	for (guint i = 0; i < releases->len && needed > 0; i++) {
		const struct release *release = &g_array_index(releases, struct release, i);

		needed -= release->cores * PACKED_SHARE;
		core_ms += release->cores * release->after_ms;
		wait_ms = release->after_ms;
	}
	/* the tasks that start meanwhile end in turn */
	if (needed > 0 && total_cores > 0)
		wait_ms += needed * (core_ms / total_cores + job_work_ms(job)) /
			   (total_cores * PACKED_SHARE);
	g_array_free(releases, TRUE);
	return wait_ms;
}

static uint32_t priority_index(const struct cell_job *job)
{
	return MIN(job->spec->priority, ADMISSION_PRIORITIES - 1);
}

static void decay_inflow(struct waxwing_cell *cell, int64_t now_ms)
{
	double kept = MAX(0, 1 - (double)(now_ms - cell->inflow_updated_ms) / INFLOW_MS);

	for (int i = 0; i < ADMISSION_PRIORITIES; i++)
		cell->inflow_cores[i] *= kept;
	cell->inflow_updated_ms = now_ms;
}

/* Returns the rate of the work, in cores, of the first @count priorities that was admitted in time. */
static double inflow(const struct waxwing_cell *cell, uint32_t count)
{
	double cores = 0;

	for (uint32_t i = 0; i < count; i++)
		cores += cell->inflow_cores[i];
	return cores;
}

/*
 * Returns the cores that a job takes during INFLOW_MS, at speed 1. A job whose tasks run for longer
 * takes no more than the cores of its tasks.
 */
static double job_inflow(const struct cell_job *job)
{
	double cores = 0;

	for (uint32_t i = 0; i < job->step_count; i++)
		cores += job->steps[i].spec->count *
			 (double)step_needs(job->steps[i].spec).cpu_milli / 1000 *
			 MIN(1, step_work_ms(job, job->steps[i].spec) / INFLOW_MS);
	return cores;
}

/*
 * Returns how long a job that is late takes, if it and all other queued jobs are completed with the
 * capacity that jobs in time leave over.
 */
static double late_end_ms(const struct waxwing_cell *cell, const struct cell_job *job, double cores)
{
	double spare_cores = cores - inflow(cell, ADMISSION_PRIORITIES);

	if (spare_cores <= 0)
		return G_MAXDOUBLE;
	return cell->queued_core_ms / spare_cores + job_work_ms(job);
}

/* While a job waits, more urgent jobs go on taking their part of the capacity. */
static double stretch_wait(const struct waxwing_cell *cell, const struct cell_job *job,
			   double wait_ms, double cores)
{
	double left = cores - (job->neglected ? 0 : inflow(cell, priority_index(job)));

	if (wait_ms <= 0)
		return 0;
	return left > 0 ? wait_ms * cores / left : G_MAXDOUBLE;
}

static void decay_counts(struct queue *queue, int64_t now_ms)
{
	double kept = MAX(0, 1 - (double)(now_ms - queue->counts_updated_ms) / QUEUE_COUNT_MS);

	queue->offered *= kept;
	queue->admitted *= kept;
	queue->counts_updated_ms = now_ms;
}

/* Moves a job whose place in the order of service has changed. */
static void set_neglected(struct cell_job *job)
{
	job->neglected = true;
	if (job->ready_iter)
		g_sequence_sort_changed(job->ready_iter, job_compare, NULL);
}

static bool is_taking_over(const struct waxwing_cell *cell, int64_t now_ms)
{
	return cell->options.took_over && now_ms - cell->created_ms < TAKEOVER_MS;
}

static enum admission decide(struct waxwing_cell *cell, const struct cell_job *job, int64_t now_ms,
			     uint32_t *wait_ms)
{
	double target_ms = (double)(job->due_ms - job->arrived_ms);
	double useful_ms = MIN(GIVE_UP_FACTOR * target_ms, (double)job->spec->patience_ms);
	double age_ms = (double)(now_ms - job->arrived_ms);
	double ahead = cores_ahead(cell, job);
	double cores;
	double wait;

	*wait_ms = 0;
	decay_inflow(cell, now_ms);
	if (is_taking_over(cell, now_ms) || (ahead <= 0 && has_free_place(cell, job, now_ms)))
		return ADMITTED_IN_TIME;
	cores = cell_capacity(cell, job->spec->service, now_ms) * PACKED_SHARE;
	/* no executor can be used now; another cell may have one */
	if (cores <= 0)
		return ADMISSION_REFUSED;
	wait = time_until_free_ms(cell, job, ahead + ready_cores(job), now_ms);
	wait = stretch_wait(cell, job, wait, cores);
	*wait_ms = (uint32_t)MIN(wait, UINT32_MAX);
	if (wait <= 0 || age_ms + wait + job_work_ms(job) <= target_ms)
		return ADMITTED_IN_TIME;
	if (age_ms + late_end_ms(cell, job, cores) <= useful_ms)
		return ADMITTED_LATE;
	return ADMISSION_REFUSED;
}

enum admission admission_decide(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms,
				uint32_t *wait_ms)
{
	struct queue *queue = job->queue;
	enum admission admission;

	decay_counts(queue, now_ms);
	queue->offered++;
	if (queue->admitted < MIN_QUEUE_SHARE * (queue->offered - 1))
		set_neglected(job);
	admission = decide(cell, job, now_ms, wait_ms);
	queue->admitted += admission != ADMISSION_REFUSED;
	if (admission == ADMITTED_IN_TIME)
		cell->inflow_cores[priority_index(job)] += job_inflow(job);
	return admission;
}

/*
 * Returns when a refused caller may come back: once the work that is queued now has been done. Jobs
 * that are refused at the same time come back spread over as long again, the more urgent ones
 * first.
 */
uint32_t admission_retry_after_ms(const struct cell_job *job, uint32_t wait_ms)
{
	uint64_t spread = waxwing_str_hash(
		(struct waxwing_str){ sizeof(job->id), (const char *)&job->id }, 0);
	double share = ((double)(spread % RETRY_SLOTS) / RETRY_SLOTS + priority_index(job)) /
		       ADMISSION_PRIORITIES;
	double base_ms = CLAMP(wait_ms, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);

	return (uint32_t)(base_ms * (1 + share));
}
