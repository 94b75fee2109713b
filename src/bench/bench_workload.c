#include "bench_workload.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/** A job with at least LONG_JOB_TASKS tasks, or with a task of more than LONG_TASK_US, is long. */
#define LONG_JOB_TASKS 10
#define LONG_TASK_US   1500000
#define SHORT_TASK_US  300000
/** Share of jobs whose deadline is their branch's times RELAXED_DEADLINE_FACTOR. */
#define RELAXED_DEADLINE_SHARE	0.02
#define RELAXED_DEADLINE_FACTOR 5
/** If a deadline is below this factor times the ideal response time, that product is added. */
#define DEADLINE_IDEAL_FACTOR 3
#define MISDECLARED_FACTOR    10.0
#define RESUBMIT_MIN_US	      200000
#define RESUBMIT_MAX_US	      3000000
/** Entry instances get unequal shares of the jobs: instance i has weight i % 3 + 1. */
#define MAX_INSTANCE_WEIGHT 3

struct generator {
	const struct waxwing_bench_workload_options *options;
	GRand *rand;
	GArray *jobs;
	GArray *tasks;
	double capacity;
};

static double draw_log_uniform(GRand *rand, double min, double max)
{
	return min * exp(g_rand_double(rand) * log(max / min));
}

static uint32_t draw_branch(struct generator *generator)
{
	const struct waxwing_bench_profile *profile = generator->options->profile;
	double point = g_rand_double(generator->rand);

	for (uint32_t i = 0; i + 1 < profile->branch_count; i++) {
		point -= profile->branches[i].share;
		if (point < 0)
			return i;
	}
	return (uint32_t)profile->branch_count - 1;
}

/* Draws the domain of a job, with probabilities in proportion to capacity. */
static uint32_t draw_domain(struct generator *generator)
{
	const struct waxwing_bench_profile *profile = generator->options->profile;
	double point = g_rand_double(generator->rand) * generator->capacity;

	for (uint32_t i = 0; i + 1 < profile->domains; i++) {
		point -= waxwing_bench_domain_capacity(profile, i);
		if (point < 0)
			return i;
	}
	return profile->domains - 1;
}

static uint32_t instance_weight(uint32_t instance)
{
	return instance % MAX_INSTANCE_WEIGHT + 1;
}

uint32_t waxwing_bench_turns_per_round(uint32_t instances)
{
	uint32_t turns = 0;

	for (uint32_t i = 0; i < instances; i++)
		turns += instance_weight(i);
	return turns;
}

uint32_t waxwing_bench_instance_at_turn(uint32_t instances, uint32_t turn)
{
	uint32_t turns = waxwing_bench_turns_per_round(instances);

	if (!turns)
		return 0;
	turn %= turns;
	for (uint32_t i = 0; i < instances; i++) {
		if (turn < instance_weight(i))
			return i;
		turn -= instance_weight(i);
	}
	return 0;
}

/* Draws one random number whatever the number of instances, so that later draws don't change. */
static uint32_t draw_issuer(struct generator *generator)
{
	uint32_t instances = generator->options->instances;
	uint32_t turns = waxwing_bench_turns_per_round(instances);

	return waxwing_bench_instance_at_turn(instances,
					      (uint32_t)(g_rand_double(generator->rand) * turns));
}

static int64_t draw_work(struct generator *generator, const struct waxwing_bench_branch *branch)
{
	const struct waxwing_bench_profile *profile = generator->options->profile;
	double kind = g_rand_double(generator->rand);
	double min = branch->min_ms;
	double max = branch->max_ms;

	if (branch->long_share > 0 && kind < profile->straggler_share) {
		min = profile->straggler_min_ms;
		max = profile->straggler_max_ms;
	} else if (branch->long_share > 0 && kind < profile->straggler_share + branch->long_share) {
		min = branch->long_min_ms;
		max = branch->long_max_ms;
	}
	return (int64_t)(draw_log_uniform(generator->rand, min, max) * WAXWING_BENCH_US_PER_MS);
}

static uint32_t draw_declared(struct generator *generator,
			      const struct waxwing_bench_branch *branch)
{
	double factor =
		draw_log_uniform(generator->rand, 1 / MISDECLARED_FACTOR, MISDECLARED_FACTOR);

	if (g_rand_double(generator->rand) >= generator->options->profile->misdeclared_share)
		return branch->declared_ms;
	return (uint32_t)(branch->declared_ms * factor) + 1;
}

static int64_t draw_deadline(struct generator *generator, const struct waxwing_bench_branch *branch,
			     int64_t ideal_us)
{
	int64_t deadline_us = (int64_t)branch->deadline_ms * WAXWING_BENCH_US_PER_MS;
	bool relaxed = g_rand_double(generator->rand) < RELAXED_DEADLINE_SHARE;

	if (relaxed)
		deadline_us *= RELAXED_DEADLINE_FACTOR;
	if (ideal_us * DEADLINE_IDEAL_FACTOR > deadline_us)
		deadline_us += ideal_us * DEADLINE_IDEAL_FACTOR;
	return generator->options->deadlines ? deadline_us : WAXWING_BENCH_NEVER_US;
}

static int64_t draw_resubmission(struct generator *generator)
{
	double after = draw_log_uniform(generator->rand, RESUBMIT_MIN_US, RESUBMIT_MAX_US);

	if (g_rand_double(generator->rand) >= generator->options->profile->resubmitted_share)
		return 0;
	return (int64_t)after;
}

static void draw_tasks(struct generator *generator, struct waxwing_bench_job *job)
{
	const struct waxwing_bench_branch *branch =
		&generator->options->profile->branches[job->branch];
	uint32_t declared_ms = draw_declared(generator, branch);
	int64_t *work_us = g_new(int64_t, job->task_count);

	for (uint32_t i = 0; i < job->task_count; i++) {
		struct waxwing_bench_task task = {
			.work_us = draw_work(generator, branch),
			.job = generator->jobs->len,
			.declared_ms = declared_ms,
		};

		work_us[i] = task.work_us;
		job->work_us += task.work_us;
		job->is_long |= task.work_us > LONG_TASK_US;
		g_array_append_val(generator->tasks, task);
	}
	job->is_long |= job->task_count >= LONG_JOB_TASKS;
	job->is_short = job->task_count == 1 && work_us[0] <= SHORT_TASK_US;
	job->ideal_us = waxwing_bench_ideal_response_us(generator->options->profile, job->domain,
							work_us, job->task_count);
	job->deadline_us = draw_deadline(generator, branch, job->ideal_us);
	g_free(work_us);
}

static void draw_job(struct generator *generator)
{
	const struct waxwing_bench_branch *branch;
	struct waxwing_bench_job job = { .branch = draw_branch(generator) };

	branch = &generator->options->profile->branches[job.branch];
	job.domain = draw_domain(generator);
	job.issuer = draw_issuer(generator);
	job.first_task = generator->tasks->len;
	job.task_count = (uint32_t)draw_log_uniform(generator->rand, branch->min_tasks,
						    branch->max_tasks + 0.999);
	job.resubmit_us = draw_resubmission(generator);
	draw_tasks(generator, &job);
	g_array_append_val(generator->jobs, job);
}

static double phases_work(const struct generator *generator)
{
	double work_us = 0;

	for (size_t i = 0; i < generator->options->phase_count; i++) {
		const struct waxwing_bench_phase *phase = &generator->options->phases[i];

		work_us += (double)phase->length_us * phase->load * generator->capacity;
	}
	return work_us;
}

/* Time at which the work offered since the start of the phases reaches @work_us. */
static int64_t arrival_time_us(const struct generator *generator, double work_us)
{
	double round_work_us = phases_work(generator);
	double rounds = floor(work_us / round_work_us);
	double at_us = 0;

	work_us -= rounds * round_work_us;
	for (size_t i = 0; i < generator->options->phase_count; i++) {
		const struct waxwing_bench_phase *phase = &generator->options->phases[i];
		double phase_work_us = (double)phase->length_us * phase->load * generator->capacity;

		at_us += (double)phase->length_us * rounds;
		if (work_us >= phase_work_us) {
			at_us += (double)phase->length_us;
			work_us -= phase_work_us;
		} else if (work_us > 0) {
			at_us += work_us / (phase->load * generator->capacity);
			work_us = 0;
		}
	}
	return (int64_t)at_us;
}

/*
 * Sets Poisson arrivals in terms of offered work: exponentially distributed gaps, scaled so that
 * the last job is sent when the work offered by the phases equals that of all jobs.
 */
static void set_arrival_times(struct generator *generator)
{
	GArray *points = g_array_new(FALSE, FALSE, sizeof(double));
	double point = 0;
	double work_us = 0;

	for (guint i = 0; i < generator->jobs->len; i++) {
		point -= log(1 - g_rand_double(generator->rand));
		work_us +=
			(double)g_array_index(generator->jobs, struct waxwing_bench_job, i).work_us;
		g_array_append_val(points, point);
	}
	for (guint i = 0; i < points->len; i++) {
		g_array_index(generator->jobs, struct waxwing_bench_job, i).intended_us =
			arrival_time_us(generator,
					g_array_index(points, double, i) / point * work_us);
	}
	g_array_free(points, TRUE);
}

static void remove_long_jobs(GArray *jobs)
{
	guint remaining = 0;

	for (guint i = 0; i < jobs->len; i++) {
		struct waxwing_bench_job job = g_array_index(jobs, struct waxwing_bench_job, i);

		if (!job.is_long)
			g_array_index(jobs, struct waxwing_bench_job, remaining++) = job;
	}
	g_array_set_size(jobs, remaining);
}

static void number_tasks(struct waxwing_bench_workload *workload)
{
	for (uint32_t i = 0; i < workload->job_count; i++) {
		const struct waxwing_bench_job *job = &workload->jobs[i];

		for (uint32_t task = 0; task < job->task_count; task++)
			workload->tasks[job->first_task + task].job = i;
	}
}

static void draw_jobs(struct generator *generator)
{
	double work_us = phases_work(generator);
	double drawn_us = 0;

	while (generator->options->jobs ? generator->jobs->len < generator->options->jobs :
					  drawn_us < work_us) {
		draw_job(generator);
		drawn_us += (double)g_array_index(generator->jobs, struct waxwing_bench_job,
						  generator->jobs->len - 1)
				    .work_us;
	}
}

struct waxwing_bench_workload *
waxwing_bench_workload_create(const struct waxwing_bench_workload_options *options)
{
	struct waxwing_bench_workload *workload = g_new0(struct waxwing_bench_workload, 1);
	guint32 seed[2] = { (guint32)options->seed, (guint32)(options->seed >> 32) };
	struct generator generator = {
		.options = options,
		.rand = g_rand_new_with_seed_array(seed, 2),
		.jobs = g_array_new(FALSE, FALSE, sizeof(struct waxwing_bench_job)),
		.tasks = g_array_new(FALSE, FALSE, sizeof(struct waxwing_bench_task)),
	};

	for (uint32_t i = 0; i < options->profile->domains; i++)
		generator.capacity += waxwing_bench_domain_capacity(options->profile, i);
	draw_jobs(&generator);
	set_arrival_times(&generator);
	if (options->without_long)
		remove_long_jobs(generator.jobs);
	g_rand_free(generator.rand);
	*workload = (struct waxwing_bench_workload){
		.profile = options->profile,
		.job_count = generator.jobs->len,
		.task_count = generator.tasks->len,
		.instances = options->instances,
		.seed = options->seed,
		.deadlines = options->deadlines,
		.faults = options->profile->faults && !options->without_faults,
		.capacity = generator.capacity,
	};
	workload->jobs = (struct waxwing_bench_job *)(void *)g_array_free(generator.jobs, FALSE);
	workload->tasks = (struct waxwing_bench_task *)(void *)g_array_free(generator.tasks, FALSE);
	number_tasks(workload);
	return workload;
}

void waxwing_bench_workload_destroy(struct waxwing_bench_workload *workload)
{
	g_free(workload->jobs);
	g_free(workload->tasks);
	g_free(workload);
}

static int compare_descending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

int64_t waxwing_bench_ideal_response_us(const struct waxwing_bench_profile *profile,
					uint32_t domain, int64_t *work_us, uint32_t count)
{
	uint32_t upstreams = profile->upstreams[domain];
	double longest_us = 0;
	double work_sum_us = 0;

	qsort(work_us, count, sizeof(*work_us), compare_descending);
	for (uint32_t i = 0; i < count; i++) {
		work_sum_us += (double)work_us[i];
		if (i < upstreams * profile->slots) {
			double speed =
				waxwing_bench_profile_speed(profile, i / profile->slots, upstreams);

			longest_us = fmax(longest_us, (double)work_us[i] / speed);
		}
	}
	return (int64_t)fmax(longest_us,
			     work_sum_us / waxwing_bench_domain_capacity(profile, domain)) +
	       2 * (WAXWING_BENCH_CLIENT_DELAY_US + WAXWING_BENCH_NETWORK_DELAY_US);
}

double waxwing_bench_domain_capacity(const struct waxwing_bench_profile *profile, uint32_t domain)
{
	double capacity = 0;

	for (uint32_t i = 0; i < profile->upstreams[domain]; i++)
		capacity += profile->slots *
			    waxwing_bench_profile_speed(profile, i, profile->upstreams[domain]);
	return capacity;
}
