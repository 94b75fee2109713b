/**
 * Simulation of a cell in virtual time at a crest: jobs arrive at a multiple of what it can run.
 * Included once by each test file.
 */
#ifndef WAXWING_TEST_CREST_SIM_H
#define WAXWING_TEST_CREST_SIM_H

#include "cell.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define EXECUTORS    24
#define LANES	     2 /* tasks that an executor runs at a time */
#define TASK_CPU     16000 /* thousandths of a core */
#define CPU	     (LANES * TASK_CPU)
#define MAX_RUNS     (EXECUTORS * LANES)
#define MAX_TASKS    8
#define LEARN_MS     4000 /* in which speeds and run times are learned */
#define CREST_MS     8000
#define SETTLE_MS    40000
#define STRETCH	     1.6
#define ALLOWANCE_MS 60
#define PATIENCE_MS  1500
#define HOLD_WAIT_MS 250
#define MAX_LEASE_MS 1000
/* A refusal that what is known then allows comes within this share of the target duration. */
#define REFUSAL_SHARE 0.25

/* The users' kinds of jobs, with the worth of one that ends in time. */
static const struct kind {
	uint32_t tasks;
	double work_ms;
	double share; /* of all jobs */
	double worth;
	uint32_t priority; /* 0 comes first */
} kinds[] = {
	{ 8, 51, 0.245, 0.0291, 0 },
	{ 4, 760, 0.045, 0.16, 2 },
	{ 2, 170, 0.71, 0.01, 1 },
};

struct job {
	const struct kind *kind;
	double work_ms[MAX_TASKS]; /* at speed 1 */
	int64_t arrived_ms;
	int64_t due_ms;
	int64_t answered_ms; /* 0: not answered */
	uint32_t outcome;
};

struct run {
	struct waxwing_run_id run_id;
	int64_t end_ms; /* 0: this struct is unused */
};

struct sim_executor {
	char id[8];
	uint64_t handle;
	double speed;
	struct run runs[LANES];
	GArray *ended; /* struct waxwing_ended_run */
	uint64_t last_end;
	int64_t hold_until_ms; /* answer to the pending hold is due; 0: none is pending */
	GArray *started; /* struct waxwing_run_id: not answered yet */
};

struct crest_sim {
	struct waxwing_cell *cell;
	struct sim_executor executors[EXECUTORS];
	GArray *jobs; /* struct job; the id is the index plus 1 */
	GRand *random;
	int64_t now_ms;
};

static struct sim_executor *find_executor(struct crest_sim *sim, const char *id)
{
	return &sim->executors[atoi(id + 1)];
}

static void start_run(void *data, const struct waxwing_order_target *target,
		      const struct waxwing_run_order *order)
{
	struct crest_sim *sim = data;
	struct sim_executor *executor = find_executor(sim, target->id);
	const struct job *job = &g_array_index(sim->jobs, struct job, order->run_id.job - 1);

	executor->handle = target->handle;
	for (int i = 0; i < LANES; i++) {
		struct run *run = &executor->runs[i];

		if (run->end_ms)
			continue;
		run->run_id = order->run_id;
		run->end_ms = sim->now_ms + 1 +
			      (int64_t)(job->work_ms[order->run_id.index] / executor->speed);
		g_array_append_val(executor->started, order->run_id);
		return;
	}
	g_assert_not_reached();
}

static void stop_run(void *data, const struct waxwing_order_target *target,
		     const struct waxwing_run_id *run_id)
{
	(void)data;
	(void)target;
	(void)run_id;
}

static void hold_executor(void *data, const struct waxwing_order_target *target, uint64_t call,
			  int64_t until_ms, uint64_t acked_upto, uint32_t wait_ms)
{
	(void)call;
	struct crest_sim *sim = data;
	struct sim_executor *executor = find_executor(sim, target->id);

	(void)until_ms;
	while (executor->ended->len &&
	       g_array_index(executor->ended, struct waxwing_ended_run, 0).number <= acked_upto)
		g_array_remove_index(executor->ended, 0);
	executor->handle = target->handle;
	executor->hold_until_ms = sim->now_ms + MAX(wait_ms, 1);
}

static void take_verdict(void *data, uint64_t issuer, const Waxwing__JobVerdict *verdict)
{
	struct crest_sim *sim = data;
	struct job *job = &g_array_index(sim->jobs, struct job, verdict->job - 1);

	(void)issuer;
	g_assert_cmpint(job->answered_ms, ==, 0);
	job->answered_ms = sim->now_ms;
	job->outcome = verdict->outcome;
}

static void ignore_fenced(void *data, const char *executor)
{
	(void)data;
	(void)executor;
	g_assert_not_reached();
}

static const struct waxwing_cell_ops ops = {
	.start = start_run,
	.stop = stop_run,
	.hold = hold_executor,
	.send_verdict = take_verdict,
	.fenced = ignore_fenced,
};

static void answer_hold(struct crest_sim *sim, struct sim_executor *executor)
{
	struct waxwing_running_run running[LANES];
	struct waxwing_hold_answer answer = {
		.result = WAXWING_HOLD_ANSWERED,
		.clock_ms = sim->now_ms,
		.running = running,
		.ended = (struct waxwing_ended_run *)executor->ended->data,
		.ended_count = executor->ended->len,
	};

	for (int i = 0; i < LANES; i++)
		if (executor->runs[i].end_ms)
			running[answer.running_count++] =
				(struct waxwing_running_run){ executor->runs[i].run_id, NULL };
	executor->hold_until_ms = 0;
	waxwing_cell_hold_answered(sim->cell, sim->now_ms, executor->handle, &answer);
}

static void run_executor(struct crest_sim *sim, struct sim_executor *executor)
{
	bool has_ended = false;

	for (guint i = 0; i < executor->started->len; i++)
		waxwing_cell_start_answered(
			sim->cell, sim->now_ms, executor->handle,
			&g_array_index(executor->started, struct waxwing_run_id, i),
			WAXWING_START_RUNNING, sim->now_ms);
	g_array_set_size(executor->started, 0);
	for (int i = 0; i < LANES; i++) {
		struct run *run = &executor->runs[i];
		struct waxwing_ended_run ended = { .run_id = run->run_id, .end = WAXWING_RUN_DONE };

		if (!run->end_ms || sim->now_ms < run->end_ms)
			continue;
		run->end_ms = 0;
		ended.number = ++executor->last_end;
		g_array_append_val(executor->ended, ended);
		has_ended = true;
	}
	if (executor->hold_until_ms && (has_ended || sim->now_ms >= executor->hold_until_ms))
		answer_hold(sim, executor);
}

static void tick(struct crest_sim *sim)
{
	sim->now_ms++;
	for (int i = 0; i < EXECUTORS; i++)
		run_executor(sim, &sim->executors[i]);
	waxwing_cell_advance(sim->cell, sim->now_ms);
}

static double normal(GRand *random)
{
	return sqrt(-2 * log(1 - g_rand_double(random))) * cos(2 * G_PI * g_rand_double(random));
}

static const struct kind *draw_kind(GRand *random)
{
	double draw = g_rand_double(random);

	for (size_t i = 0; i + 1 < G_N_ELEMENTS(kinds); i++) {
		if (draw < kinds[i].share)
			return &kinds[i];
		draw -= kinds[i].share;
	}
	return &kinds[G_N_ELEMENTS(kinds) - 1];
}

/* Run times vary about the job's estimate by 15%; one job in 33 takes seven times as long. */
static void offer_job(struct crest_sim *sim)
{
	Waxwing__Job spec = WAXWING__JOB__INIT;
	Waxwing__JobStep step = WAXWING__JOB_STEP__INIT;
	Waxwing__JobStep *steps[] = { &step };
	Waxwing__JobOffer offer = WAXWING__JOB_OFFER__INIT;
	struct job job = { .kind = draw_kind(sim->random), .arrived_ms = sim->now_ms };
	double work_ms = job.kind->work_ms * exp(0.4 * normal(sim->random));
	double longest_ms = 0;
	uint8_t packed[256];
	size_t len;

	if (g_rand_double(sim->random) < 0.03)
		work_ms *= 7;
	for (uint32_t i = 0; i < job.kind->tasks; i++) {
		job.work_ms[i] = work_ms * exp(0.15 * normal(sim->random));
		longest_ms = MAX(longest_ms, job.work_ms[i]);
	}
	job.due_ms = sim->now_ms + ALLOWANCE_MS + (int64_t)(STRETCH * longest_ms);
	g_array_append_val(sim->jobs, job);
	spec.id = sim->jobs->len;
	spec.queue = job.kind->tasks == 8 ? "small" : job.kind->tasks == 4 ? "large" : "pair";
	spec.service = "service";
	spec.spec = "spec";
	spec.n_steps = 1;
	spec.steps = steps;
	spec.max_attempts = 3;
	spec.priority = job.kind->priority;
	spec.stretch_milli = (uint32_t)(1000 * STRETCH);
	spec.allowance_ms = ALLOWANCE_MS;
	spec.patience_ms = PATIENCE_MS + (uint32_t)(8 * work_ms);
	step.count = job.kind->tasks;
	step.has_cpu_milli = step.has_estimated_ms = true;
	step.cpu_milli = TASK_CPU;
	step.estimated_ms = (uint32_t)MAX(1, work_ms);
	offer.job = &spec;
	len = waxwing__job_offer__pack(&offer, packed);
	waxwing_cell_offer(sim->cell, sim->now_ms, 1,
			   waxwing__job_offer__unpack(NULL, len, packed));
}

static struct crest_sim *crest_create(uint32_t seed)
{
	static const char *const labels[] = { "kind", "rack", NULL };
	static const double speeds[] = { 0.6, 1.0, 1.6 };
	struct crest_sim *sim = g_new0(struct crest_sim, 1);
	struct waxwing_cell_options options = {
		.ops = &ops,
		.data = sim,
		.name = "cell",
		.fencing_token = 7,
		.max_lease_ms = MAX_LEASE_MS,
		.stop_ms = 50,
		.remote_data_factor = 1,
	};

	sim->random = g_rand_new_with_seed(seed);
	sim->jobs = g_array_new(FALSE, TRUE, sizeof(struct job));
	sim->now_ms = 1000;
	sim->cell = waxwing_cell_create(sim->now_ms, &options);
	for (int i = 0; i < EXECUTORS; i++) {
		struct sim_executor *executor = &sim->executors[i];
		struct waxwing_executor_entry entry = {
			.id = executor->id,
			.address = "10.0.0.1:80",
			.service = "service",
			.zone = "zone",
			.kind = "kind",
			.rack = "rack",
			.labels = labels,
			.capacity = { CPU, 65536, 0 },
		};

		g_snprintf(executor->id, sizeof(executor->id), "x%d", i);
		executor->speed = speeds[i % 3];
		executor->ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_run));
		executor->started = g_array_new(FALSE, FALSE, sizeof(struct waxwing_run_id));
		waxwing_cell_set_executor(sim->cell, sim->now_ms, &entry);
	}
	return sim;
}

static void crest_destroy(struct crest_sim *sim)
{
	waxwing_cell_destroy(sim->cell);
	for (int i = 0; i < EXECUTORS; i++) {
		g_array_free(sim->executors[i].ended, TRUE);
		g_array_free(sim->executors[i].started, TRUE);
	}
	g_array_free(sim->jobs, TRUE);
	g_rand_free(sim->random);
	g_free(sim);
}

static double mean_speed(void)
{
	return (0.6 + 1.0 + 1.6) / 3;
}

/* Returns the jobs per millisecond that would keep all executors busy. */
static double capacity_per_ms(void)
{
	double work_ms = 0;

	/* 1.08: mean of the spread; 1.18: of the jobs that take seven times as long */
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		work_ms += kinds[i].share * kinds[i].tasks * kinds[i].work_ms * 1.08 * 1.18;
	return MAX_RUNS * mean_speed() / work_ms;
}

static void submit(struct crest_sim *sim, double load, int64_t ms)
{
	double due = 0;

	for (int64_t passed = 0; passed < ms; passed++) {
		due += load * capacity_per_ms();
		while (due >= 1) {
			offer_job(sim);
			due -= 1;
		}
		tick(sim);
	}
}

struct interval {
	double start_ms;
	double end_ms;
};

/* Finds the earliest time at or after @from_ms when a lane is free for @length_ms. */
static double find_gap(const GArray *busy, double from_ms, double length_ms)
{
	double start_ms = from_ms;

	for (guint i = 0; i < busy->len; i++) {
		const struct interval *other = &g_array_index(busy, struct interval, i);

		if (other->end_ms <= start_ms)
			continue;
		if (start_ms + length_ms <= other->start_ms)
			break;
		start_ms = other->end_ms;
	}
	return start_ms;
}

static void add_interval(GArray *busy, struct interval interval)
{
	guint at = 0;

	while (at < busy->len &&
	       g_array_index(busy, struct interval, at).start_ms < interval.start_ms)
		at++;
	g_array_insert_val(busy, at, interval);
}

static void remove_interval(GArray *busy, struct interval interval)
{
	for (guint i = 0; i < busy->len; i++) {
		if (g_array_index(busy, struct interval, i).start_ms != interval.start_ms)
			continue;
		g_array_remove_index(busy, i);
		return;
	}
	g_assert_not_reached();
}

/* Plans all tasks of a job into the lanes, each where it ends first, or none if one is too late. */
static bool plan_job(const struct crest_sim *sim, GArray **busy, const struct job *job)
{
	struct interval planned[MAX_TASKS];
	int lanes[MAX_TASKS];

	for (uint32_t task = 0; task < job->kind->tasks; task++) {
		planned[task].end_ms = G_MAXDOUBLE;
		for (int lane = 0; lane < MAX_RUNS; lane++) {
			double length_ms = job->work_ms[task] / sim->executors[lane / LANES].speed;
			double start_ms = find_gap(busy[lane], (double)job->arrived_ms, length_ms);

			if (start_ms + length_ms >= planned[task].end_ms)
				continue;
			planned[task] = (struct interval){ start_ms, start_ms + length_ms };
			lanes[task] = lane;
		}
		if (planned[task].end_ms <= (double)job->due_ms) {
			add_interval(busy[lanes[task]], planned[task]);
			continue;
		}
		while (task-- > 0)
			remove_interval(busy[lanes[task]], planned[task]);
		return false;
	}
	return true;
}

static double worth_per_work(const struct job *job)
{
	double work_ms = 0;

	for (uint32_t i = 0; i < job->kind->tasks; i++)
		work_ms += job->work_ms[i];
	return job->kind->worth / work_ms;
}

static gint compare_worth(gconstpointer a, gconstpointer b)
{
	double left = worth_per_work(*(const struct job *const *)a);
	double right = worth_per_work(*(const struct job *const *)b);

	return left > right ? -1 : left < right;
}

/*
 * Returns the worth that a policy serves in time which knows all jobs and run times in advance: it
 * plans the jobs of most worth for their work first, each into the places that are left.
 */
static double G_GNUC_UNUSED planned_worth(const struct crest_sim *sim, guint first)
{
	GPtrArray *jobs = g_ptr_array_new();
	GArray *busy[MAX_RUNS];
	double worth = 0;

	for (int i = 0; i < MAX_RUNS; i++)
		busy[i] = g_array_new(FALSE, FALSE, sizeof(struct interval));
	for (guint i = first; i < sim->jobs->len; i++)
		g_ptr_array_add(jobs, &g_array_index(sim->jobs, struct job, i));
	g_ptr_array_sort(jobs, compare_worth);
	for (guint i = 0; i < jobs->len; i++) {
		const struct job *job = jobs->pdata[i];

		if (plan_job(sim, busy, job))
			worth += job->kind->worth;
	}
	for (int i = 0; i < MAX_RUNS; i++)
		g_array_free(busy[i], TRUE);
	g_ptr_array_free(jobs, TRUE);
	return worth;
}

static double served_worth(const struct crest_sim *sim, guint first)
{
	double worth = 0;

	for (guint i = first; i < sim->jobs->len; i++) {
		const struct job *job = &g_array_index(sim->jobs, struct job, i);

		if (job->outcome == WAXWING_JOB_COMPLETED && job->answered_ms &&
		    job->answered_ms <= job->due_ms)
			worth += job->kind->worth;
	}
	return worth;
}

/* Returns the share of the refused jobs that were refused at once. */
static double G_GNUC_UNUSED prompt_refusals(const struct crest_sim *sim, guint first)
{
	guint refused = 0;
	guint prompt = 0;

	for (guint i = first; i < sim->jobs->len; i++) {
		const struct job *job = &g_array_index(sim->jobs, struct job, i);
		double held_ms = (double)(job->answered_ms - job->arrived_ms);

		if (job->outcome != WAXWING_JOB_REFUSED)
			continue;
		refused++;
		prompt += held_ms <= REFUSAL_SHARE * (double)(job->due_ms - job->arrived_ms);
	}
	return refused ? (double)prompt / refused : 1;
}

static guint unanswered(const struct crest_sim *sim)
{
	guint count = 0;

	for (guint i = 0; i < sim->jobs->len; i++)
		count += !g_array_index(sim->jobs, struct job, i).answered_ms;
	return count;
}

/*
 * Returns the worth that a policy serves in time which knows the run times of the jobs that have
 * come, but not those to come: it gives each job the places where its tasks end first, and takes
 * only jobs that then end in time.
 */
static double G_GNUC_UNUSED clairvoyant_worth(const struct crest_sim *sim, guint first)
{
	GArray *busy[MAX_RUNS];
	double worth = 0;

	for (int i = 0; i < MAX_RUNS; i++)
		busy[i] = g_array_new(FALSE, FALSE, sizeof(struct interval));
	for (guint i = first; i < sim->jobs->len; i++) {
		const struct job *job = &g_array_index(sim->jobs, struct job, i);

		if (plan_job(sim, busy, job))
			worth += job->kind->worth;
	}
	for (int i = 0; i < MAX_RUNS; i++)
		g_array_free(busy[i], TRUE);
	return worth;
}

/* Runs a crest of @load times the capacity, after a while at half of it. */
static struct crest_sim *run_crest(uint32_t seed, double load, guint *first)
{
	struct crest_sim *sim = crest_create(seed);

	submit(sim, 0.5, LEARN_MS);
	*first = sim->jobs->len;
	submit(sim, load, CREST_MS);
	submit(sim, 0, SETTLE_MS);
	g_assert_cmpuint(unanswered(sim), ==, 0);
	return sim;
}

#endif
