#include "bench_measure.h"

#include <math.h>
#include <stdlib.h>

struct waxwing_bench_measure {
	struct waxwing_bench_summary totals;
	uint64_t busy_answers;
	uint64_t unused_grants;
	uint64_t control_messages;
	uint64_t not_run;
	double good_work_us;
	struct waxwing_bench_lost_work lost_work_us;
	double offered_us;
	double capacity_us;
	GArray *ratio; /**< array of double, like the arrays below */
	GArray *branch_ratio[WAXWING_BENCH_MAX_BRANCHES];
	GArray *response_ms;
	GArray *short_wait_ms;
	GArray *short_response_ms;
	GArray *short_extra_ms;
};

struct waxwing_bench_measure *waxwing_bench_measure_create(void)
{
	struct waxwing_bench_measure *measure = g_new0(struct waxwing_bench_measure, 1);

	measure->ratio = g_array_new(FALSE, FALSE, sizeof(double));
	for (int i = 0; i < WAXWING_BENCH_MAX_BRANCHES; i++)
		measure->branch_ratio[i] = g_array_new(FALSE, FALSE, sizeof(double));
	measure->response_ms = g_array_new(FALSE, FALSE, sizeof(double));
	measure->short_wait_ms = g_array_new(FALSE, FALSE, sizeof(double));
	measure->short_response_ms = g_array_new(FALSE, FALSE, sizeof(double));
	measure->short_extra_ms = g_array_new(FALSE, FALSE, sizeof(double));
	return measure;
}

void waxwing_bench_measure_destroy(struct waxwing_bench_measure *measure)
{
	g_array_free(measure->ratio, TRUE);
	for (int i = 0; i < WAXWING_BENCH_MAX_BRANCHES; i++)
		g_array_free(measure->branch_ratio[i], TRUE);
	g_array_free(measure->response_ms, TRUE);
	g_array_free(measure->short_wait_ms, TRUE);
	g_array_free(measure->short_response_ms, TRUE);
	g_array_free(measure->short_extra_ms, TRUE);
	g_free(measure);
}

double waxwing_bench_percentile(const double *sorted, size_t count, double fraction)
{
	size_t rank = (size_t)ceil(fraction * (double)count);

	if (!count)
		return 0;
	return sorted[rank ? rank - 1 : 0];
}

static double to_ms(int64_t us)
{
	return (double)us / WAXWING_BENCH_US_PER_MS;
}

static void add_sample(GArray *samples, double value)
{
	g_array_append_val(samples, value);
}

/* Work that the job's successful tasks did from @from_us to @until_us. */
static double work_between(const struct waxwing_bench_sim *sim, const struct waxwing_bench_job *job,
			   int64_t from_us, int64_t until_us)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	double sum_us = 0;

	for (uint32_t i = job->first_task; i < job->first_task + job->task_count; i++) {
		const struct waxwing_bench_task_result *result =
			waxwing_bench_sim_task_result(sim, i);
		int64_t start_us = MAX(result->start_us, from_us);
		int64_t end_us = MIN(result->end_us, until_us);

		if (end_us > start_us && result->succeeded)
			sum_us += (double)workload->tasks[i].work_us * (double)(end_us - start_us) /
				  (double)(result->end_us - result->start_us);
	}
	return sum_us;
}

/*
 * Adds the work of a job that was not completed to the lost work. Tasks that failed or never ended
 * are not counted.
 */
static void add_lost(struct waxwing_bench_measure *measure, const struct waxwing_bench_sim *sim,
		     uint32_t number, int64_t from_us, int64_t until_us)
{
	const struct waxwing_bench_job *job = &waxwing_bench_sim_workload(sim)->jobs[number];
	const struct waxwing_bench_job_result *result = waxwing_bench_sim_job_result(sim, number);
	int64_t ended_us =
		CLAMP(result->answered_us - WAXWING_BENCH_CLIENT_DELAY_US, from_us, until_us);
	double before_us = work_between(sim, job, from_us, ended_us);

	if (result->state == WAXWING_BENCH_JOB_CANCELLED)
		measure->lost_work_us.cancelled += before_us;
	else if (result->state == WAXWING_BENCH_JOB_FAILED)
		measure->lost_work_us.failed += before_us;
	else
		measure->lost_work_us.late += before_us;
	measure->lost_work_us.after_end += work_between(sim, job, ended_us, until_us);
}

/*
 * Adds the job's response time, which is infinite if the job was not completed. Returns false and
 * adds nothing if a task failed on its upstream or the caller cancelled the job.
 */
static bool sample_response(struct waxwing_bench_measure *measure,
			    const struct waxwing_bench_job *job, enum waxwing_bench_job_state state,
			    int64_t response_us)
{
	double response_ms =
		state == WAXWING_BENCH_JOB_COMPLETE ? to_ms(response_us) : (double)INFINITY;

	if (state == WAXWING_BENCH_JOB_FAILED || state == WAXWING_BENCH_JOB_CANCELLED)
		return false;
	add_sample(measure->response_ms, response_ms);
	add_sample(measure->ratio, response_ms / to_ms(job->ideal_us));
	if (job->branch < WAXWING_BENCH_MAX_BRANCHES)
		add_sample(measure->branch_ratio[job->branch], response_ms / to_ms(job->ideal_us));
	if (job->is_short) {
		add_sample(measure->short_response_ms, response_ms);
		add_sample(measure->short_extra_ms, response_ms - to_ms(job->ideal_us));
	}
	return true;
}

static void sample_job(struct waxwing_bench_measure *measure, const struct waxwing_bench_sim *sim,
		       const struct waxwing_bench_job *job,
		       const struct waxwing_bench_job_result *result)
{
	const struct waxwing_bench_task_result *task =
		waxwing_bench_sim_task_result(sim, job->first_task);
	int64_t arrived_us = job->intended_us + WAXWING_BENCH_CLIENT_DELAY_US;
	bool complete = result->state == WAXWING_BENCH_JOB_COMPLETE;

	if (sample_response(measure, job, result->state, result->answered_us - job->intended_us) &&
	    job->is_short)
		add_sample(measure->short_wait_ms,
			   complete ? to_ms(task->start_us - arrived_us) : (double)INFINITY);
}

static void count_branch(struct waxwing_bench_summary *totals, const struct waxwing_bench_job *job,
			 enum waxwing_bench_job_state state)
{
	if (job->branch >= WAXWING_BENCH_MAX_BRANCHES)
		return;
	totals->branches[job->branch].jobs++;
	totals->branches[job->branch].complete += state == WAXWING_BENCH_JOB_COMPLETE;
}

static void count_job(struct waxwing_bench_summary *totals, const struct waxwing_bench_job *job,
		      enum waxwing_bench_job_state state)
{
	totals->jobs++;
	count_branch(totals, job, state);
	switch (state) {
	case WAXWING_BENCH_JOB_COMPLETE:
		totals->complete++;
		break;
	case WAXWING_BENCH_JOB_FAILED:
		totals->failed++;
		break;
	case WAXWING_BENCH_JOB_CANCELLED:
		totals->cancelled++;
		break;
	case WAXWING_BENCH_JOB_REFUSED:
		totals->refused++;
		break;
	case WAXWING_BENCH_JOB_ABANDONED:
	case WAXWING_BENCH_JOB_LATE:
	case WAXWING_BENCH_JOB_DROPPED:
		totals->late++;
		break;
	case WAXWING_BENCH_JOB_RUNNING:
		totals->unanswered++;
		break;
	}
}

static void add_counts(struct waxwing_bench_measure *measure,
		       const struct waxwing_bench_sim_counts *counts)
{
	measure->busy_answers += counts->busy_answers;
	measure->unused_grants += counts->unused_grants;
	measure->control_messages += counts->control_messages;
	measure->totals.starts += counts->starts;
	measure->totals.double_starts += counts->double_starts;
	measure->totals.partial_answers += counts->partial_answers;
	measure->totals.false_not_run += counts->false_not_run;
	measure->totals.failed_starts += counts->failed_starts;
	measure->totals.resubmissions += counts->resubmissions;
}

void waxwing_bench_measure_add_run(struct waxwing_bench_measure *measure,
				   const struct waxwing_bench_sim *sim, int64_t from_us,
				   int64_t until_us)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);

	for (uint32_t i = 0; i < workload->job_count; i++) {
		const struct waxwing_bench_job *job = &workload->jobs[i];
		const struct waxwing_bench_job_result *result =
			waxwing_bench_sim_job_result(sim, i);

		if (result->state == WAXWING_BENCH_JOB_COMPLETE)
			measure->good_work_us += work_between(sim, job, from_us, until_us);
		else
			add_lost(measure, sim, i, from_us, until_us);
		measure->not_run += result->state == WAXWING_BENCH_JOB_REFUSED ||
				    result->state == WAXWING_BENCH_JOB_DROPPED;
		if (job->intended_us < from_us || job->intended_us >= until_us)
			continue;
		measure->offered_us += (double)job->work_us;
		count_job(&measure->totals, job, result->state);
		sample_job(measure, sim, job, result);
	}
	measure->capacity_us += workload->capacity * (double)(until_us - from_us);
	add_counts(measure, waxwing_bench_sim_counts(sim));
}

void waxwing_bench_measure_add_job(struct waxwing_bench_measure *measure,
				   const struct waxwing_bench_job *job,
				   enum waxwing_bench_job_state state, int64_t response_us)
{
	count_job(&measure->totals, job, state);
	sample_response(measure, job, state, response_us);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static struct waxwing_bench_percentiles percentiles(GArray *samples)
{
	double *values = (double *)(void *)samples->data;

	if (samples->len)
		qsort(values, samples->len, sizeof(*values), compare_doubles);
	return (struct waxwing_bench_percentiles){
		.p50 = waxwing_bench_percentile(values, samples->len, 0.5),
		.p99 = waxwing_bench_percentile(values, samples->len, 0.99),
		.p999 = waxwing_bench_percentile(values, samples->len, 0.999),
	};
}

static double ratio_or_one(uint64_t part, uint64_t whole)
{
	return whole ? (double)part / (double)whole : 1;
}

static double ratio_or_zero(uint64_t part, uint64_t whole)
{
	return whole ? (double)part / (double)whole : 0;
}

struct waxwing_bench_summary waxwing_bench_measure_summary(struct waxwing_bench_measure *measure)
{
	struct waxwing_bench_summary summary = measure->totals;

	summary.ratio = percentiles(measure->ratio);
	for (int i = 0; i < WAXWING_BENCH_MAX_BRANCHES; i++)
		summary.branches[i].ratio = percentiles(measure->branch_ratio[i]);
	summary.response_ms = percentiles(measure->response_ms);
	summary.short_wait_ms = percentiles(measure->short_wait_ms);
	summary.short_response_ms = percentiles(measure->short_response_ms);
	summary.short_extra_ms = percentiles(measure->short_extra_ms);
	summary.in_time = ratio_or_one(summary.complete,
				       summary.complete + summary.late + summary.unanswered);
	if (measure->capacity_us > 0) {
		summary.offered = measure->offered_us / measure->capacity_us;
		summary.goodput = measure->good_work_us / measure->capacity_us;
		summary.lost_work = (struct waxwing_bench_lost_work){
			.cancelled = measure->lost_work_us.cancelled / measure->capacity_us,
			.failed = measure->lost_work_us.failed / measure->capacity_us,
			.late = measure->lost_work_us.late / measure->capacity_us,
			.after_end = measure->lost_work_us.after_end / measure->capacity_us,
		};
	}
	summary.true_refusals =
		ratio_or_one(measure->not_run - summary.false_not_run, measure->not_run);
	summary.wasted_per_start =
		ratio_or_zero(measure->busy_answers + measure->unused_grants, summary.starts);
	summary.control_per_start = ratio_or_zero(measure->control_messages, summary.starts);
	return summary;
}
