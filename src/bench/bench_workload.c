#include "bench_workload.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/** A job of as many tasks, or with a task as long, counts as long. */
#define LONG_JOB_TASKS 10
#define LONG_TASK_US   1500000
#define SHORT_TASK_US  300000
/** Share of jobs whose callers allow many times the branch's deadline. */
#define PATIENT_SHARE  0.02
#define PATIENT_FACTOR 5
/** A job that needs long by itself has a deadline of so many times its ideal on top. */
#define DEADLINE_IDEALS	  3
#define LIE_FACTOR	  10.0
#define RESUBMIT_LEAST_US 200000
#define RESUBMIT_MOST_US  3000000
/** Sizes of entry instances: instance i takes (i % 3 + 1) parts of the jobs. */
#define INSTANCE_SIZES 3

struct draw {
	const struct waxwing_bench_workload_options *options;
	GRand *rand;
	GArray *jobs;
	GArray *tasks;
	double capacity;
};

static double draw_log_uniform(GRand *rand, double least, double most)
{
	return least * exp(g_rand_double(rand) * log(most / least));
}

static uint32_t draw_branch(struct draw *draw)
{
	const struct waxwing_bench_profile *profile = draw->options->profile;
	double point = g_rand_double(draw->rand);

	for (uint32_t i = 0; i + 1 < profile->branch_count; i++) {
		point -= profile->branches[i].share;
		if (point < 0)
			return i;
	}
	return (uint32_t)profile->branch_count - 1;
}

/* Domains draw jobs by their capacity. */
static uint32_t draw_domain(struct draw *draw)
{
	const struct waxwing_bench_profile *profile = draw->options->profile;
	double point = g_rand_double(draw->rand) * draw->capacity;

	for (uint32_t i = 0; i + 1 < profile->domains; i++) {
		point -= waxwing_bench_capacity(profile, i);
		if (point < 0)
			return i;
	}
	return profile->domains - 1;
}

static uint32_t instance_size(uint32_t instance)
{
	return instance % INSTANCE_SIZES + 1;
}

uint32_t waxwing_bench_instance_turns(uint32_t instances)
{
	uint32_t turns = 0;

	for (uint32_t i = 0; i < instances; i++)
		turns += instance_size(i);
	return turns;
}

uint32_t waxwing_bench_instance_of_turn(uint32_t instances, uint32_t turn)
{
	uint32_t turns = waxwing_bench_instance_turns(instances);

	if (!turns)
		return 0;
	turn %= turns;
	for (uint32_t i = 0; i < instances; i++) {
		if (turn < instance_size(i))
			return i;
		turn -= instance_size(i);
	}
	return 0;
}

/* Drawn as a double, so that the number of instances changes no other draw. */
static uint32_t draw_issuer(struct draw *draw)
{
	uint32_t instances = draw->options->instances;
	uint32_t turns = waxwing_bench_instance_turns(instances);

	return waxwing_bench_instance_of_turn(instances,
					      (uint32_t)(g_rand_double(draw->rand) * turns));
}

static int64_t draw_work(struct draw *draw, const struct waxwing_bench_branch *branch)
{
	const struct waxwing_bench_profile *profile = draw->options->profile;
	double kind = g_rand_double(draw->rand);
	double least = branch->least_ms;
	double most = branch->most_ms;

	if (branch->long_share > 0 && kind < profile->straggler_share) {
		least = profile->straggler_least_ms;
		most = profile->straggler_most_ms;
	} else if (branch->long_share > 0 && kind < profile->straggler_share + branch->long_share) {
		least = branch->long_least_ms;
		most = branch->long_most_ms;
	}
	return (int64_t)(draw_log_uniform(draw->rand, least, most) * WAXWING_BENCH_US_PER_MS);
}

static uint32_t draw_declared(struct draw *draw, const struct waxwing_bench_branch *branch)
{
	double lie = draw_log_uniform(draw->rand, 1 / LIE_FACTOR, LIE_FACTOR);

	if (g_rand_double(draw->rand) >= draw->options->profile->lying_share)
		return branch->declared_ms;
	return (uint32_t)(branch->declared_ms * lie) + 1;
}

static int64_t draw_deadline(struct draw *draw, const struct waxwing_bench_branch *branch,
			     int64_t ideal_us)
{
	int64_t deadline_us = (int64_t)branch->deadline_ms * WAXWING_BENCH_US_PER_MS;
	bool patient = g_rand_double(draw->rand) < PATIENT_SHARE;

	if (patient)
		deadline_us *= PATIENT_FACTOR;
	if (ideal_us * DEADLINE_IDEALS > deadline_us)
		deadline_us += ideal_us * DEADLINE_IDEALS;
	return draw->options->deadlines ? deadline_us : WAXWING_BENCH_NEVER_US;
}

static int64_t draw_resubmission(struct draw *draw)
{
	double after = draw_log_uniform(draw->rand, RESUBMIT_LEAST_US, RESUBMIT_MOST_US);

	if (g_rand_double(draw->rand) >= draw->options->profile->resubmitted_share)
		return 0;
	return (int64_t)after;
}

static void draw_tasks(struct draw *draw, struct waxwing_bench_job *job)
{
	const struct waxwing_bench_branch *branch = &draw->options->profile->branches[job->branch];
	uint32_t declared_ms = draw_declared(draw, branch);
	int64_t *work_us = g_new(int64_t, job->task_count);

	for (uint32_t i = 0; i < job->task_count; i++) {
		struct waxwing_bench_task task = {
			.work_us = draw_work(draw, branch),
			.job = draw->jobs->len,
			.declared_ms = declared_ms,
		};

		work_us[i] = task.work_us;
		job->work_us += task.work_us;
		job->is_long |= task.work_us > LONG_TASK_US;
		g_array_append_val(draw->tasks, task);
	}
	job->is_long |= job->task_count >= LONG_JOB_TASKS;
	job->is_short = job->task_count == 1 && work_us[0] <= SHORT_TASK_US;
	job->ideal_us =
		waxwing_bench_ideal(draw->options->profile, job->domain, work_us, job->task_count);
	job->deadline_us = draw_deadline(draw, branch, job->ideal_us);
	g_free(work_us);
}

static void draw_job(struct draw *draw)
{
	const struct waxwing_bench_branch *branch;
	struct waxwing_bench_job job = { .branch = draw_branch(draw) };

	branch = &draw->options->profile->branches[job.branch];
	job.domain = draw_domain(draw);
	job.issuer = draw_issuer(draw);
	job.first_task = draw->tasks->len;
	job.task_count = (uint32_t)draw_log_uniform(draw->rand, branch->least_tasks,
						    branch->most_tasks + 0.999);
	job.resubmit_us = draw_resubmission(draw);
	draw_tasks(draw, &job);
	g_array_append_val(draw->jobs, job);
}

static double phases_work(const struct draw *draw)
{
	double work_us = 0;

	for (size_t i = 0; i < draw->options->phase_count; i++) {
		const struct waxwing_bench_phase *phase = &draw->options->phases[i];

		work_us += (double)phase->length_us * phase->load * draw->capacity;
	}
	return work_us;
}

/* When so much work has been offered. */
static int64_t offered_at(const struct draw *draw, double work_us)
{
	double round_work_us = phases_work(draw);
	double rounds = floor(work_us / round_work_us);
	double at_us = 0;

	work_us -= rounds * round_work_us;
	for (size_t i = 0; i < draw->options->phase_count; i++) {
		const struct waxwing_bench_phase *phase = &draw->options->phases[i];
		double phase_work_us = (double)phase->length_us * phase->load * draw->capacity;

		at_us += (double)phase->length_us * rounds;
		if (work_us >= phase_work_us) {
			at_us += (double)phase->length_us;
			work_us -= phase_work_us;
		} else if (work_us > 0) {
			at_us += work_us / (phase->load * draw->capacity);
			work_us = 0;
		}
	}
	return (int64_t)at_us;
}

/* A Poisson process in offered work: random gaps, scaled so that all jobs offer just their work. */
static void place_arrivals(struct draw *draw)
{
	GArray *points = g_array_new(FALSE, FALSE, sizeof(double));
	double point = 0;
	double work_us = 0;

	for (guint i = 0; i < draw->jobs->len; i++) {
		point -= log(1 - g_rand_double(draw->rand));
		work_us += (double)g_array_index(draw->jobs, struct waxwing_bench_job, i).work_us;
		g_array_append_val(points, point);
	}
	for (guint i = 0; i < points->len; i++) {
		g_array_index(draw->jobs, struct waxwing_bench_job, i).intended_us =
			offered_at(draw, g_array_index(points, double, i) / point * work_us);
	}
	g_array_free(points, TRUE);
}

static void drop_long_jobs(GArray *jobs)
{
	guint kept = 0;

	for (guint i = 0; i < jobs->len; i++) {
		struct waxwing_bench_job job = g_array_index(jobs, struct waxwing_bench_job, i);

		if (!job.is_long)
			g_array_index(jobs, struct waxwing_bench_job, kept++) = job;
	}
	g_array_set_size(jobs, kept);
}

static void number_tasks(struct waxwing_bench_workload *workload)
{
	for (uint32_t i = 0; i < workload->job_count; i++) {
		const struct waxwing_bench_job *job = &workload->jobs[i];

		for (uint32_t task = 0; task < job->task_count; task++)
			workload->tasks[job->first_task + task].job = i;
	}
}

static void draw_jobs(struct draw *draw)
{
	double work_us = phases_work(draw);
	double drawn_us = 0;

	while (draw->options->jobs ? draw->jobs->len < draw->options->jobs : drawn_us < work_us) {
		draw_job(draw);
		drawn_us += (double)g_array_index(draw->jobs, struct waxwing_bench_job,
						  draw->jobs->len - 1)
				    .work_us;
	}
}

struct waxwing_bench_workload *
waxwing_bench_workload_create(const struct waxwing_bench_workload_options *options)
{
	struct waxwing_bench_workload *workload = g_new0(struct waxwing_bench_workload, 1);
	guint32 seed[2] = { (guint32)options->seed, (guint32)(options->seed >> 32) };
	struct draw draw = {
		.options = options,
		.rand = g_rand_new_with_seed_array(seed, 2),
		.jobs = g_array_new(FALSE, FALSE, sizeof(struct waxwing_bench_job)),
		.tasks = g_array_new(FALSE, FALSE, sizeof(struct waxwing_bench_task)),
	};

	for (uint32_t i = 0; i < options->profile->domains; i++)
		draw.capacity += waxwing_bench_capacity(options->profile, i);
	draw_jobs(&draw);
	place_arrivals(&draw);
	if (options->without_long)
		drop_long_jobs(draw.jobs);
	g_rand_free(draw.rand);
	*workload = (struct waxwing_bench_workload){
		.profile = options->profile,
		.job_count = draw.jobs->len,
		.task_count = draw.tasks->len,
		.instances = options->instances,
		.seed = options->seed,
		.deadlines = options->deadlines,
		.faults = options->profile->faults && !options->without_faults,
		.capacity = draw.capacity,
	};
	workload->jobs = (struct waxwing_bench_job *)(void *)g_array_free(draw.jobs, FALSE);
	workload->tasks = (struct waxwing_bench_task *)(void *)g_array_free(draw.tasks, FALSE);
	number_tasks(workload);
	return workload;
}

void waxwing_bench_workload_destroy(struct waxwing_bench_workload *workload)
{
	g_free(workload->jobs);
	g_free(workload->tasks);
	g_free(workload);
}

static int compare_downwards(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

int64_t waxwing_bench_ideal(const struct waxwing_bench_profile *profile, uint32_t domain,
			    int64_t *work_us, uint32_t count)
{
	uint32_t upstreams = profile->upstreams[domain];
	double longest_us = 0;
	double work_sum_us = 0;

	qsort(work_us, count, sizeof(*work_us), compare_downwards);
	for (uint32_t i = 0; i < count; i++) {
		work_sum_us += (double)work_us[i];
		if (i < upstreams * profile->slots) {
			double speed =
				waxwing_bench_profile_speed(profile, i / profile->slots, upstreams);

			longest_us = fmax(longest_us, (double)work_us[i] / speed);
		}
	}
	return (int64_t)fmax(longest_us, work_sum_us / waxwing_bench_capacity(profile, domain)) +
	       2 * (WAXWING_BENCH_CLIENT_US + WAXWING_BENCH_NET_US);
}

double waxwing_bench_capacity(const struct waxwing_bench_profile *profile, uint32_t domain)
{
	double capacity = 0;

	for (uint32_t i = 0; i < profile->upstreams[domain]; i++)
		capacity += profile->slots *
			    waxwing_bench_profile_speed(profile, i, profile->upstreams[domain]);
	return capacity;
}
