#include "bench_measure.h"

#include <math.h>
#include <stdlib.h>

struct waxwing_bench_measure {
	struct waxwing_bench_summary sums;
	uint64_t busy;
	uint64_t unused;
	uint64_t control;
	uint64_t not_run;
	double good_work_us;
	struct waxwing_bench_lost lost_us;
	double offered_us;
	double capacity_us;
	GArray *ratio; /**< of double, as the others */
	GArray *branch_ratio[WAXWING_BENCH_BRANCHES];
	GArray *response_ms;
	GArray *short_wait_ms;
	GArray *short_response_ms;
	GArray *short_extra_ms;
};

struct waxwing_bench_measure *waxwing_bench_measure_create(void)
{
	struct waxwing_bench_measure *measure = g_new0(struct waxwing_bench_measure, 1);

	measure->ratio = g_array_new(FALSE, FALSE, sizeof(double));
	for (int i = 0; i < WAXWING_BENCH_BRANCHES; i++)
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
	for (int i = 0; i < WAXWING_BENCH_BRANCHES; i++)
		g_array_free(measure->branch_ratio[i], TRUE);
	g_array_free(measure->response_ms, TRUE);
	g_array_free(measure->short_wait_ms, TRUE);
	g_array_free(measure->short_response_ms, TRUE);
	g_array_free(measure->short_extra_ms, TRUE);
	g_free(measure);
}

double waxwing_bench_percentile(const double *sorted, size_t count, double part)
{
	size_t rank = (size_t)ceil(part * (double)count);

	if (!count)
		return 0;
	return sorted[rank ? rank - 1 : 0];
}

static double to_ms(int64_t us)
{
	return (double)us / WAXWING_BENCH_US_PER_MS;
}

static void sample(GArray *samples, double value)
{
	g_array_append_val(samples, value);
}

/* Work of a job that was done between the two times. */
static double work_between(const struct waxwing_bench_sim *sim, const struct waxwing_bench_job *job,
			   int64_t from_us, int64_t until_us)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	double sum_us = 0;

	for (uint32_t i = job->first_task; i < job->first_task + job->task_count; i++) {
		const struct waxwing_bench_task_run *run = waxwing_bench_sim_task_run(sim, i);
		int64_t start_us = MAX(run->start_us, from_us);
		int64_t end_us = MIN(run->end_us, until_us);

		if (end_us > start_us && run->done)
			sum_us += (double)workload->tasks[i].work_us * (double)(end_us - start_us) /
				  (double)(run->end_us - run->start_us);
	}
	return sum_us;
}

/* Work of a job that got no whole answer; that of tasks which failed or never ended is none. */
static void add_lost(struct waxwing_bench_measure *measure, const struct waxwing_bench_sim *sim,
		     uint32_t number, int64_t from_us, int64_t until_us)
{
	const struct waxwing_bench_job *job = &waxwing_bench_sim_workload(sim)->jobs[number];
	const struct waxwing_bench_job_run *run = waxwing_bench_sim_job_run(sim, number);
	int64_t ended_us = CLAMP(run->answered_us - WAXWING_BENCH_CLIENT_US, from_us, until_us);
	double before_us = work_between(sim, job, from_us, ended_us);

	if (run->state == WAXWING_BENCH_JOB_CANCELLED)
		measure->lost_us.cancelled += before_us;
	else if (run->state == WAXWING_BENCH_JOB_FAILED)
		measure->lost_us.failed += before_us;
	else
		measure->lost_us.late += before_us;
	measure->lost_us.run_on += work_between(sim, job, ended_us, until_us);
}

/* A job without a whole answer counts as one that took for ever, but for what failed upstream. */
static bool sample_response(struct waxwing_bench_measure *measure,
			    const struct waxwing_bench_job *job, enum waxwing_bench_job_state state,
			    int64_t response_us)
{
	double response_ms =
		state == WAXWING_BENCH_JOB_COMPLETE ? to_ms(response_us) : (double)INFINITY;

	if (state == WAXWING_BENCH_JOB_FAILED || state == WAXWING_BENCH_JOB_CANCELLED)
		return false;
	sample(measure->response_ms, response_ms);
	sample(measure->ratio, response_ms / to_ms(job->ideal_us));
	if (job->branch < WAXWING_BENCH_BRANCHES)
		sample(measure->branch_ratio[job->branch], response_ms / to_ms(job->ideal_us));
	if (job->is_short) {
		sample(measure->short_response_ms, response_ms);
		sample(measure->short_extra_ms, response_ms - to_ms(job->ideal_us));
	}
	return true;
}

static void sample_job(struct waxwing_bench_measure *measure, const struct waxwing_bench_sim *sim,
		       const struct waxwing_bench_job *job, const struct waxwing_bench_job_run *run)
{
	const struct waxwing_bench_task_run *task =
		waxwing_bench_sim_task_run(sim, job->first_task);
	int64_t arrived_us = job->intended_us + WAXWING_BENCH_CLIENT_US;
	bool complete = run->state == WAXWING_BENCH_JOB_COMPLETE;

	if (sample_response(measure, job, run->state, run->answered_us - job->intended_us) &&
	    job->is_short)
		sample(measure->short_wait_ms,
		       complete ? to_ms(task->start_us - arrived_us) : (double)INFINITY);
}

static void count_branch(struct waxwing_bench_summary *sums, const struct waxwing_bench_job *job,
			 enum waxwing_bench_job_state state)
{
	if (job->branch >= WAXWING_BENCH_BRANCHES)
		return;
	sums->branches[job->branch].jobs++;
	sums->branches[job->branch].complete += state == WAXWING_BENCH_JOB_COMPLETE;
}

static void count_job(struct waxwing_bench_summary *sums, const struct waxwing_bench_job *job,
		      enum waxwing_bench_job_state state)
{
	sums->jobs++;
	count_branch(sums, job, state);
	switch (state) {
	case WAXWING_BENCH_JOB_COMPLETE:
		sums->complete++;
		break;
	case WAXWING_BENCH_JOB_FAILED:
		sums->failed++;
		break;
	case WAXWING_BENCH_JOB_CANCELLED:
		sums->cancelled++;
		break;
	case WAXWING_BENCH_JOB_REFUSED:
		sums->refused++;
		break;
	case WAXWING_BENCH_JOB_ABANDONED:
	case WAXWING_BENCH_JOB_LATE:
	case WAXWING_BENCH_JOB_DROPPED:
		sums->late++;
		break;
	case WAXWING_BENCH_JOB_RUNNING:
		sums->unanswered++;
		break;
	}
}

static void add_counts(struct waxwing_bench_measure *measure,
		       const struct waxwing_bench_sim_counts *counts)
{
	measure->busy += counts->busy;
	measure->unused += counts->unused;
	measure->control += counts->control_messages;
	measure->sums.starts += counts->starts;
	measure->sums.double_starts += counts->double_starts;
	measure->sums.partial_answers += counts->partial_answers;
	measure->sums.false_not_run += counts->false_not_run;
	measure->sums.failed_starts += counts->failed_starts;
	measure->sums.resubmissions += counts->resubmissions;
}

void waxwing_bench_measure_add(struct waxwing_bench_measure *measure,
			       const struct waxwing_bench_sim *sim, int64_t from_us,
			       int64_t until_us)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);

	for (uint32_t i = 0; i < workload->job_count; i++) {
		const struct waxwing_bench_job *job = &workload->jobs[i];
		const struct waxwing_bench_job_run *run = waxwing_bench_sim_job_run(sim, i);

		if (run->state == WAXWING_BENCH_JOB_COMPLETE)
			measure->good_work_us += work_between(sim, job, from_us, until_us);
		else
			add_lost(measure, sim, i, from_us, until_us);
		measure->not_run += run->state == WAXWING_BENCH_JOB_REFUSED ||
				    run->state == WAXWING_BENCH_JOB_DROPPED;
		if (job->intended_us < from_us || job->intended_us >= until_us)
			continue;
		measure->offered_us += (double)job->work_us;
		count_job(&measure->sums, job, run->state);
		sample_job(measure, sim, job, run);
	}
	measure->capacity_us += workload->capacity * (double)(until_us - from_us);
	add_counts(measure, waxwing_bench_sim_counts(sim));
}

void waxwing_bench_measure_add_job(struct waxwing_bench_measure *measure,
				   const struct waxwing_bench_job *job,
				   enum waxwing_bench_job_state state, int64_t response_us)
{
	count_job(&measure->sums, job, state);
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

/* A share of nothing is whole. */
static double share(uint64_t part, uint64_t whole)
{
	return whole ? (double)part / (double)whole : 1;
}

static double per(uint64_t count, uint64_t each)
{
	return each ? (double)count / (double)each : 0;
}

struct waxwing_bench_summary waxwing_bench_measure_summary(struct waxwing_bench_measure *measure)
{
	struct waxwing_bench_summary summary = measure->sums;

	summary.ratio = percentiles(measure->ratio);
	for (int i = 0; i < WAXWING_BENCH_BRANCHES; i++)
		summary.branches[i].ratio = percentiles(measure->branch_ratio[i]);
	summary.response_ms = percentiles(measure->response_ms);
	summary.short_wait_ms = percentiles(measure->short_wait_ms);
	summary.short_response_ms = percentiles(measure->short_response_ms);
	summary.short_extra_ms = percentiles(measure->short_extra_ms);
	summary.in_time =
		share(summary.complete, summary.complete + summary.late + summary.unanswered);
	if (measure->capacity_us > 0) {
		summary.offered = measure->offered_us / measure->capacity_us;
		summary.goodput = measure->good_work_us / measure->capacity_us;
		summary.lost = (struct waxwing_bench_lost){
			.cancelled = measure->lost_us.cancelled / measure->capacity_us,
			.failed = measure->lost_us.failed / measure->capacity_us,
			.late = measure->lost_us.late / measure->capacity_us,
			.run_on = measure->lost_us.run_on / measure->capacity_us,
		};
	}
	summary.true_refusals = share(measure->not_run - summary.false_not_run, measure->not_run);
	summary.wasted_per_start = per(measure->busy + measure->unused, summary.starts);
	summary.control_per_start = per(measure->control, summary.starts);
	return summary;
}
