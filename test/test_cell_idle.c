/*
 * Property test of a single cell in virtual time: while an executor that can run a job's tasks has
 * been up and idle for 3 s, the job does not wait with nothing running. Executors differ in service,
 * labels and rack, fail runs, fall silent and return; jobs differ in what they need.
 */
#include "cell_fixture.h"

#define SEEDS 30
/* Environment variables for more seeds by hand. */
#define FIRST_SEED_VARIABLE "WAXWING_TEST_FIRST"
#define LAST_SEED_VARIABLE  "WAXWING_TEST_LAST"
#define EXECUTORS	    9
#define EXECUTOR_CPU	    16000
#define RACKS		    3
#define MAX_JOBS	    200
#define MAX_TASKS	    4
#define ARRIVALS_MS	    20000
#define SETTLE_MS	    25000
#define TICK_MS		    10
/* As documented for users. */
#define MAX_WAIT_MS 3000
/* For a scan, an order and its answer. */
#define MARGIN_MS	     50
#define JOB_PERCENT	     4 /* of ticks in which a job arrives */
#define SILENCE_PERMILLE     2 /* of ticks in which an executor falls silent */
#define MAX_SILENCE_MS	     3000
#define FAILED_PERCENT	     10 /* of runs */
#define MAX_RUN_MS	     400
#define NEEDS_PERCENT	     40 /* of steps that have a certain need */
#define SMALL_SERVICE_STRIDE 4 /* each so many executors belong to the small service */

struct model_run {
	struct waxwing_run_id run_id;
	int64_t ends_ms;
	bool is_new; /* its start is not answered yet */
	bool fails;
};

struct model_executor {
	char id[8];
	const char *service;
	const char *label;
	char rack[8];
	uint64_t handle;
	GArray *runs; /* struct model_run */
	GArray *ended; /* struct waxwing_ended_run that are not acknowledged */
	uint64_t last_number;
	int64_t silent_until_ms;
	int64_t idle_since_ms; /* since when it has answered and run nothing */
	bool hold_pending;
	uint64_t acked_upto;
};

struct model_job {
	const char *service;
	const char *label; /* null: none is required */
	uint32_t steps;
	uint32_t tasks;
	uint32_t cpu_milli;
	uint32_t done[2]; /* bit sets of tasks, by step */
	uint32_t failures[2][MAX_TASKS];
	int64_t waiting_since_ms; /* since when nothing of it runs; 0: it runs, or has ended */
	bool failed;
};

struct model {
	struct fixture fixture; /* must be the first member: the cell's ops get its recorder */
	GRand *random;
	struct model_executor executors[EXECUTORS];
	struct model_job jobs[MAX_JOBS + 1]; /* indexed by id */
	uint64_t last_job;
	guint seen_starts;
};

static struct model *current;

static bool chance(struct model *model, int percent)
{
	return g_rand_int_range(model->random, 0, 100) < percent;
}

static struct model_executor *find_executor(struct model *model, uint64_t handle)
{
	for (int i = 0; i < EXECUTORS; i++)
		if (model->executors[i].handle == handle)
			return &model->executors[i];
	return NULL;
}

static void model_hold(void *data, const struct waxwing_order_target *target, uint64_t call,
		       int64_t until_ms, uint64_t acked_upto, uint32_t wait_ms)
{
	struct model_executor *executor;

	record_hold(data, target, call, until_ms, acked_upto, wait_ms);
	for (int i = 0; i < EXECUTORS; i++) {
		executor = &current->executors[i];
		if (strcmp(executor->id, target->id) != 0)
			continue;
		executor->handle = target->handle;
		executor->hold_pending = true;
		executor->acked_upto = MAX(executor->acked_upto, acked_upto);
	}
}

static void add_model_executor(struct model *model, int index)
{
	struct model_executor *executor = &model->executors[index];
	const char *labels[] = { "kind", executor->label, executor->rack, NULL };
	struct waxwing_executor_entry entry = {
		.id = executor->id,
		.address = "10.0.0.1:80",
		.service = executor->service,
		.zone = "zone",
		.kind = "kind",
		.rack = executor->rack,
		.labels = labels,
		.capacity = { EXECUTOR_CPU, 65536, 0 },
		.started_ms = 1,
	};

	waxwing_cell_set_executor(model->fixture.cell, model->fixture.now_ms, &entry);
}

static void create_executors(struct model *model)
{
	for (int i = 0; i < EXECUTORS; i++) {
		struct model_executor *executor = &model->executors[i];

		g_snprintf(executor->id, sizeof(executor->id), "e%d", i);
		g_snprintf(executor->rack, sizeof(executor->rack), "r%d", i % RACKS);
		executor->service = i % SMALL_SERVICE_STRIDE ? "service" : "small";
		executor->label = i % 3 ? "a" : "b";
		executor->runs = g_array_new(FALSE, FALSE, sizeof(struct model_run));
		executor->ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_run));
		executor->idle_since_ms = model->fixture.now_ms;
		add_model_executor(model, i);
	}
}

static void offer_random_job(struct model *model)
{
	struct model_job *job = &model->jobs[++model->last_job];
	Waxwing__JobStep step = WAXWING__JOB_STEP__INIT;
	Waxwing__JobOffer *made;

	job->service = chance(model, 25) ? "small" : "service";
	job->label = chance(model, NEEDS_PERCENT) ? (chance(model, 50) ? "a" : "b") : NULL;
	job->steps = chance(model, NEEDS_PERCENT) ? 2 : 1;
	job->tasks = (uint32_t)g_rand_int_range(model->random, 1, MAX_TASKS + 1);
	job->cpu_milli = (uint32_t)g_rand_int_range(model->random, 1, 17) * 1000;
	step.requirement = (char *)job->label;
	if (chance(model, NEEDS_PERCENT))
		step.affinity = (char *)"r1";
	step.has_anti_affinity = chance(model, NEEDS_PERCENT);
	step.anti_affinity = 1;
	step.has_same_rack = step.same_rack = chance(model, NEEDS_PERCENT);
	step_template = step;
	offer_two_steps = job->steps == 2;
	made = make_offer(model->last_job, job->tasks, job->cpu_milli, 100, false, true);
	free(made->job->service);
	made->job->service = strdup(job->service);
	waxwing_cell_offer(model->fixture.cell, model->fixture.now_ms, WAXWING_ISSUER_SELF, made);
}

static void take_starts(struct model *model)
{
	GArray *starts = model->fixture.recorder.starts;

	for (; model->seen_starts < starts->len; model->seen_starts++) {
		const struct start *start =
			&g_array_index(starts, struct start, model->seen_starts);
		struct model_executor *executor = find_executor(model, start->handle);
		struct model_run run = {
			.run_id = start->run_id,
			.ends_ms = model->fixture.now_ms +
				   g_rand_int_range(model->random, 10, MAX_RUN_MS),
			.is_new = true,
			.fails = chance(model, FAILED_PERCENT),
		};

		model->jobs[run.run_id.job].waiting_since_ms = 0;
		g_array_append_val(executor->runs, run);
	}
}

static void end_run(struct model *model, struct model_executor *executor, guint index)
{
	struct model_run run = g_array_index(executor->runs, struct model_run, index);
	struct waxwing_ended_run row = { .number = ++executor->last_number,
					 .run_id = run.run_id,
					 .end = run.fails ? WAXWING_RUN_FAILED : WAXWING_RUN_DONE };
	struct model_job *job = &model->jobs[run.run_id.job];

	g_array_remove_index_fast(executor->runs, index);
	g_array_append_val(executor->ended, row);
	if (!run.fails)
		job->done[run.run_id.step] |= 1U << run.run_id.index;
	else
		job->failed |= ++job->failures[run.run_id.step][run.run_id.index] >= 3;
}

static void drop_acked(struct model_executor *executor)
{
	while (executor->ended->len &&
	       g_array_index(executor->ended, struct waxwing_ended_run, 0).number <=
		       executor->acked_upto)
		g_array_remove_index(executor->ended, 0);
}

static void answer_pending_hold(struct model *model, struct model_executor *executor)
{
	GArray *running = g_array_new(FALSE, FALSE, sizeof(struct waxwing_running_run));

	executor->hold_pending = false;
	if (model->fixture.now_ms < executor->silent_until_ms) {
		struct waxwing_hold_answer silence = { .result = WAXWING_HOLD_NO_ANSWER };

		waxwing_cell_hold_answered(model->fixture.cell, model->fixture.now_ms,
					   executor->handle, &silence);
		g_array_free(running, TRUE);
		return;
	}
	drop_acked(executor);
	for (guint i = 0; i < executor->runs->len; i++) {
		struct waxwing_running_run row = {
			.run_id = g_array_index(executor->runs, struct model_run, i).run_id
		};

		g_array_append_val(running, row);
	}
	answer_hold(&model->fixture, executor->handle,
		    (const struct waxwing_running_run *)running->data, running->len,
		    (const struct waxwing_ended_run *)executor->ended->data, executor->ended->len);
	g_array_free(running, TRUE);
}

/* A silent executor answers no start; what it was told to start then never runs. */
static void answer_starts(struct model *model, struct model_executor *executor)
{
	bool silent = model->fixture.now_ms < executor->silent_until_ms;

	for (guint i = executor->runs->len; i-- > 0;) {
		struct model_run run = g_array_index(executor->runs, struct model_run, i);

		if (!run.is_new)
			continue;
		g_array_index(executor->runs, struct model_run, i).is_new = false;
		if (silent)
			g_array_remove_index_fast(executor->runs, i);
		waxwing_cell_start_answered(
			model->fixture.cell, model->fixture.now_ms, executor->handle, &run.run_id,
			silent ? WAXWING_START_UNREACHABLE : WAXWING_START_RUNNING, 0);
	}
}

static void run_executor(struct model *model, struct model_executor *executor)
{
	int64_t now_ms = model->fixture.now_ms;

	if (g_rand_int_range(model->random, 0, 1000 * EXECUTORS) < SILENCE_PERMILLE)
		executor->silent_until_ms =
			now_ms + g_rand_int_range(model->random, 100, MAX_SILENCE_MS);
	answer_starts(model, executor);
	for (guint i = executor->runs->len; i-- > 0;)
		if (now_ms >= g_array_index(executor->runs, struct model_run, i).ends_ms)
			end_run(model, executor, i);
	if (executor->runs->len || now_ms < executor->silent_until_ms)
		executor->idle_since_ms = now_ms;
	if (executor->hold_pending)
		answer_pending_hold(model, executor);
}

static bool is_running(const struct model *model, uint64_t id)
{
	for (int i = 0; i < EXECUTORS; i++)
		for (guint k = 0; k < model->executors[i].runs->len; k++)
			if (g_array_index(model->executors[i].runs, struct model_run, k)
				    .run_id.job == id)
				return true;
	return false;
}

static bool has_ended(const struct model_job *job)
{
	uint32_t all = (1U << job->tasks) - 1;

	return job->failed || job->done[job->steps - 1] == all;
}

static void check_waiting(struct model *model, uint64_t id)
{
	struct model_job *job = &model->jobs[id];
	int64_t now_ms = model->fixture.now_ms;

	if (has_ended(job) || is_running(model, id)) {
		job->waiting_since_ms = 0;
		return;
	}
	if (!job->waiting_since_ms)
		job->waiting_since_ms = now_ms;
	for (int i = 0; i < EXECUTORS; i++) {
		const struct model_executor *executor = &model->executors[i];
		int64_t since_ms = MAX(job->waiting_since_ms, executor->idle_since_ms);

		if (strcmp(executor->service, job->service) != 0 ||
		    (job->label && strcmp(executor->label, job->label) != 0) ||
		    now_ms - since_ms <= MAX_WAIT_MS + MARGIN_MS)
			continue;
		g_test_message("job %u waits since %d ms; %s is idle since %d ms", (unsigned)id,
			       (int)job->waiting_since_ms, executor->id,
			       (int)executor->idle_since_ms);
		g_test_fail();
		job->waiting_since_ms = now_ms;
	}
}

static void run_model(struct model *model, int64_t ms, bool arrivals)
{
	for (int64_t passed = 0; passed < ms; passed += TICK_MS) {
		model->fixture.now_ms += TICK_MS;
		if (arrivals && model->last_job < MAX_JOBS && chance(model, JOB_PERCENT))
			offer_random_job(model);
		store_all_records(&model->fixture);
		waxwing_cell_advance(model->fixture.cell, model->fixture.now_ms);
		take_starts(model);
		for (int i = 0; i < EXECUTORS; i++)
			run_executor(model, &model->executors[i]);
		for (uint64_t id = 1; id <= model->last_job; id++)
			check_waiting(model, id);
	}
}

static void assert_all_ended(const struct model *model)
{
	uint32_t ended = 0;

	for (uint64_t id = 1; id <= model->last_job; id++)
		ended += has_ended(&model->jobs[id]);
	/* what was refused never ran, and never counts as ended */
	g_assert_cmpuint(ended + model->fixture.recorder.verdicts->len, >=, model->last_job);
	g_assert_cmpuint(ended, >, model->last_job / 2);
}

static void test_no_job_waits(void)
{
	const char *first = g_getenv(FIRST_SEED_VARIABLE);
	const char *last = g_getenv(LAST_SEED_VARIABLE);
	struct waxwing_cell_ops ops = recording_ops;

	ops.hold = model_hold;
	for (int seed = first ? atoi(first) : 1; seed <= (last ? atoi(last) : SEEDS); seed++) {
		struct model *model = g_new0(struct model, 1);

		g_test_message("seed %d", seed);
		current = model;
		set_up_with_ops(&model->fixture, &ops);
		model->random = g_rand_new_with_seed((guint32)seed);
		create_executors(model);
		run_model(model, ARRIVALS_MS, true);
		run_model(model, SETTLE_MS, false);
		assert_all_ended(model);
		for (int i = 0; i < EXECUTORS; i++) {
			g_array_free(model->executors[i].runs, TRUE);
			g_array_free(model->executors[i].ended, TRUE);
		}
		g_rand_free(model->random);
		tear_down(&model->fixture);
		g_free(model);
	}
	step_template = (Waxwing__JobStep)WAXWING__JOB_STEP__INIT;
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/idle/no_job_waits", test_no_job_waits);
	return g_test_run();
}
