/**
 * Simulation of one cell in virtual time whose tasks run faster on one rack. Included once by each
 * test file, after cell_fixture.h.
 */
#ifndef WAXWING_TEST_NEAR_SIM_H
#define WAXWING_TEST_NEAR_SIM_H

#include "cell_fixture.h"

#include <string.h>

#define TICK_MS	       5
#define HOT_EXECUTORS  8
#define COLD_EXECUTORS 24
#define TASK_MILLI     1000
#define NEAR_MS	       100
/* Share of the tasks that want the hot rack, in percent. */
#define HOT_PERCENT 60
/* A job without an answer in time counts with this response time. */
#define UNANSWERED_MS 700

struct near_load {
	double per_s; /* tasks that arrive in a second */
	double declared_factor;
	double real_factor;
	enum waxwing_near_wait_policy policy;
	uint32_t seed;
	uint32_t seconds;
};

struct near_run {
	struct waxwing_run_id id;
	int64_t end_ms;
	bool answered;
};

struct near_executor {
	char id[16];
	bool hot;
	uint64_t handle;
	uint64_t call; /* number of the hold that it holds */
	bool holding;
	int64_t hold_until_ms;
	uint64_t ends;
	GArray *runs; /* struct near_run */
	GArray *ended; /* struct waxwing_ended_run, not acknowledged */
};

struct near_job {
	int64_t arrived_ms;
	int64_t answered_ms; /* 0: not completed */
	bool hot;
	double duration_ms; /* near */
};

struct near_sim {
	struct near_load load;
	struct waxwing_cell *cell;
	GRand *random;
	int64_t now_ms;
	struct near_executor executors[HOT_EXECUTORS + COLD_EXECUTORS];
	GArray *jobs; /* struct near_job; the id is the index + 1 */
};

struct near_result {
	double mean_ms; /* response time of all jobs */
	double in_time; /* share of all jobs */
	double longest_ms;
	guint jobs;
	struct waxwing_cell_stats stats;
};

static struct near_executor *sim_executor(struct near_sim *sim, const char *id)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sim->executors); i++)
		if (strcmp(sim->executors[i].id, id) == 0)
			return &sim->executors[i];
	g_assert_not_reached();
}

static void sim_start(void *data, const struct waxwing_order_target *target,
		      const struct waxwing_run_order *order)
{
	struct near_sim *sim = data;
	struct near_executor *executor = sim_executor(sim, target->id);
	const struct near_job *job =
		&g_array_index(sim->jobs, struct near_job, order->run_id.job - 1);
	double factor = job->hot && !executor->hot ? sim->load.real_factor : 1;
	struct near_run run = { order->run_id, sim->now_ms + (int64_t)(job->duration_ms * factor),
				false };

	executor->handle = target->handle;
	g_array_append_val(executor->runs, run);
}

static void sim_stop(void *data, const struct waxwing_order_target *target,
		     const struct waxwing_run_id *run_id)
{
	(void)data;
	(void)target;
	(void)run_id;
}

static void sim_hold(void *data, const struct waxwing_order_target *target, uint64_t call,
		     int64_t until_ms, uint64_t acked_upto, uint32_t wait_ms)
{
	struct near_sim *sim = data;
	struct near_executor *executor = sim_executor(sim, target->id);

	(void)until_ms;
	executor->handle = target->handle;
	executor->call = call;
	executor->holding = true;
	executor->hold_until_ms = sim->now_ms + wait_ms;
	while (executor->ended->len &&
	       g_array_index(executor->ended, struct waxwing_ended_run, 0).number <= acked_upto)
		g_array_remove_index(executor->ended, 0);
}

static void sim_verdict(void *data, uint64_t issuer, const Waxwing__JobVerdict *verdict)
{
	struct near_sim *sim = data;

	(void)issuer;
	if (verdict->outcome == WAXWING_JOB_COMPLETED)
		g_array_index(sim->jobs, struct near_job, verdict->job - 1).answered_ms =
			sim->now_ms;
}

static const struct waxwing_cell_ops sim_ops = {
	.start = sim_start,
	.stop = sim_stop,
	.hold = sim_hold,
	.send_verdict = sim_verdict,
	.append_record = count_record,
	.job_forgotten = record_forget,
	.send_state = record_state,
	.query_permits = record_permit_query,
	.fenced = record_fenced,
};

static void answer_starts(struct near_sim *sim, struct near_executor *executor)
{
	for (guint i = 0; i < executor->runs->len; i++) {
		struct near_run *run = &g_array_index(executor->runs, struct near_run, i);

		if (run->answered)
			continue;
		run->answered = true;
		waxwing_cell_start_answered(sim->cell, sim->now_ms, executor->handle, &run->id,
					    WAXWING_START_RUNNING, sim->now_ms + CLOCK_OFFSET_MS);
	}
}

static bool end_runs(struct near_sim *sim, struct near_executor *executor)
{
	bool any = false;

	for (guint i = executor->runs->len; i-- > 0;) {
		const struct near_run *run = &g_array_index(executor->runs, struct near_run, i);
		struct waxwing_ended_run ended = { .run_id = run->id, .end = WAXWING_RUN_DONE };

		if (run->end_ms > sim->now_ms)
			continue;
		ended.number = ++executor->ends;
		g_array_append_val(executor->ended, ended);
		g_array_remove_index(executor->runs, i);
		any = true;
	}
	return any;
}

static void sim_answer_hold(struct near_sim *sim, struct near_executor *executor)
{
	struct waxwing_running_run running[8] = { 0 };
	struct waxwing_hold_answer answer = {
		.result = WAXWING_HOLD_ANSWERED,
		.call = executor->call,
		.clock_ms = CLOCK_OFFSET_MS + sim->now_ms,
		.running = running,
		.running_count = executor->runs->len,
		.ended = (const struct waxwing_ended_run *)executor->ended->data,
		.ended_count = executor->ended->len,
	};

	for (guint i = 0; i < executor->runs->len; i++)
		running[i].run_id = g_array_index(executor->runs, struct near_run, i).id;
	executor->holding = false;
	waxwing_cell_hold_answered(sim->cell, sim->now_ms, executor->handle, &answer);
}

static void sim_offer(struct near_sim *sim)
{
	struct near_job job = {
		.arrived_ms = sim->now_ms,
		.hot = g_rand_int_range(sim->random, 0, 100) < HOT_PERCENT,
		.duration_ms = NEAR_MS * g_rand_double_range(sim->random, 0.75, 1.25),
	};

	g_array_append_val(sim->jobs, job);
	step_template.affinity = job.hot ? (char *)"hot" : NULL;
	waxwing_cell_offer(sim->cell, sim->now_ms, WAXWING_ISSUER_SELF,
			   make_offer(sim->jobs->len, 1, TASK_MILLI, NEAR_MS, false, false));
	step_template.affinity = NULL;
}

static void sim_tick(struct near_sim *sim, double per_s)
{
	sim->now_ms += TICK_MS;
	/* five chances in a tick approximate a Poisson process */
	for (int i = 0; i < 5; i++)
		if (g_rand_double(sim->random) < per_s * TICK_MS / 1000 / 5)
			sim_offer(sim);
	for (size_t i = 0; i < G_N_ELEMENTS(sim->executors); i++) {
		struct near_executor *executor = &sim->executors[i];

		answer_starts(sim, executor);
		end_runs(sim, executor);
		if (executor->holding &&
		    (executor->ended->len || sim->now_ms >= executor->hold_until_ms))
			sim_answer_hold(sim, executor);
	}
	waxwing_cell_advance(sim->cell, sim->now_ms);
}

static void sim_set_up(struct near_sim *sim, const struct near_load *load)
{
	static const char *const labels[] = { "kind", NULL };
	struct waxwing_cell_options options = {
		.ops = &sim_ops,
		.data = sim,
		.name = "cell",
		.fencing_token = 7,
		.max_lease_ms = MAX_LEASE_MS,
		.stop_ms = STOP_MS,
		.remote_data_factor = load->declared_factor,
		.near_wait = load->policy,
	};

	*sim = (struct near_sim){ .load = *load, .now_ms = 1000 };
	sim->random = g_rand_new_with_seed(load->seed);
	sim->jobs = g_array_new(FALSE, FALSE, sizeof(struct near_job));
	sim->cell = waxwing_cell_create(sim->now_ms, &options);
	for (size_t i = 0; i < G_N_ELEMENTS(sim->executors); i++) {
		struct near_executor *executor = &sim->executors[i];
		struct waxwing_executor_entry entry = {
			.id = executor->id,
			.address = "10.0.0.1:80",
			.service = "service",
			.zone = "zone",
			.kind = "kind",
			.labels = labels,
			.capacity = { TASK_MILLI, 65536, 0 },
		};

		executor->hot = i >= COLD_EXECUTORS;
		entry.rack = executor->hot ? "hot" : "cold";
		g_snprintf(executor->id, sizeof(executor->id), "x%u", (unsigned int)i);
		executor->runs = g_array_new(FALSE, FALSE, sizeof(struct near_run));
		executor->ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_run));
		waxwing_cell_set_executor(sim->cell, sim->now_ms, &entry);
	}
}

static void sim_tear_down(struct near_sim *sim)
{
	waxwing_cell_destroy(sim->cell);
	for (size_t i = 0; i < G_N_ELEMENTS(sim->executors); i++) {
		g_array_free(sim->executors[i].runs, TRUE);
		g_array_free(sim->executors[i].ended, TRUE);
	}
	g_array_free(sim->jobs, TRUE);
	g_rand_free(sim->random);
}

/* Runs the load and returns what became of its jobs. */
static G_GNUC_UNUSED struct near_result sim_run(const struct near_load *load)
{
	struct near_sim sim;
	struct near_result result = { 0 };

	sim_set_up(&sim, load);
	for (uint32_t ms = 0; ms < load->seconds * 1000; ms += TICK_MS)
		sim_tick(&sim, ms < 100 ? 0 : load->per_s);
	for (uint32_t ms = 0; ms < 3000; ms += TICK_MS)
		sim_tick(&sim, 0);
	for (guint i = 0; i < sim.jobs->len; i++) {
		const struct near_job *job = &g_array_index(sim.jobs, struct near_job, i);
		/* the job's target: stretch 1.6 and an allowance of 60 ms */
		double target_ms = 1.6 * NEAR_MS + 60;
		double ms = job->answered_ms ? (double)(job->answered_ms - job->arrived_ms) :
					       UNANSWERED_MS;

		result.mean_ms += ms;
		result.in_time += ms <= target_ms;
		result.longest_ms = MAX(result.longest_ms, ms);
	}
	result.jobs = sim.jobs->len;
	result.mean_ms /= MAX(result.jobs, 1);
	result.in_time /= MAX(result.jobs, 1);
	waxwing_cell_get_stats(sim.cell, sim.now_ms, &result.stats);
	sim_tear_down(&sim);
	return result;
}

#endif
