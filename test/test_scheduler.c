#include "scheduler.h"

#include <glib.h>

#define UPSTREAMS 5
#define BRANCHES  4
#define JOBS	  400
#define JOB_TASKS 12

static const struct waxwing_scheduler_options options = { .seed = 1, .round_trip_ms = 1 };

static struct waxwing_str upstream_name(unsigned int number)
{
	static const char *const names[UPSTREAMS] = { "u0", "u1", "u2", "u3", "u4" };

	return waxwing_str(names[number]);
}

static struct waxwing_str branch_name(unsigned int number)
{
	static const char *const names[BRANCHES] = { "b0", "b1", "b2", "b3" };

	return waxwing_str(names[number]);
}

static unsigned int upstream_number(struct waxwing_str name)
{
	g_assert_cmpuint(name.len, ==, 2);
	return (unsigned int)(name.data[1] - '0');
}

static struct waxwing_scheduler *scheduler_create(unsigned int upstreams, uint32_t slots)
{
	struct waxwing_scheduler *scheduler = waxwing_scheduler_create(&options);
	struct waxwing_branch_policy policy = { .branch = branch_name(0),
						.weight = 1,
						.declared_ms = 100 };

	waxwing_scheduler_set_branch(scheduler, 0, &policy);
	for (unsigned int i = 0; i < upstreams; i++)
		waxwing_scheduler_set_upstream(scheduler, 0, upstream_name(i), slots,
					       WAXWING_UPSTREAM_LIVE);
	return scheduler;
}

static enum waxwing_error_code offer(struct waxwing_scheduler *scheduler, int64_t now_ms,
				     uint64_t job, uint32_t tasks)
{
	struct waxwing_offer offer = {
		.key = { 1, job },
		.branch = branch_name(0),
		.task_count = tasks,
		.admitted_ms = now_ms,
		.deadline_ms = now_ms + 60000,
		.bytes = 100,
	};

	return waxwing_scheduler_offer(scheduler, now_ms, &offer, NULL);
}

/* A reference model: random events go to the scheduler and the model, whose states must agree. */

enum task_state { TASK_NONE, TASK_QUEUED, TASK_RUNNING, TASK_ENDED };

struct model_task {
	enum task_state state;
	unsigned int upstream;
	bool adopted;
};

struct model_job {
	uint64_t issuer;
	unsigned int branch;
	bool refused;
	struct model_task tasks[JOB_TASKS];
};

struct model {
	struct waxwing_scheduler *scheduler;
	int64_t now_ms;
	uint64_t last_grant;
	unsigned int jobs;
	struct model_job job[JOBS];
	struct {
		uint32_t slots;
		uint32_t used;
		uint32_t adopted;
		enum waxwing_upstream_state state;
	} upstream[UPSTREAMS];
	bool retired[BRANCHES];
};

static void model_set_upstream(struct model *model, unsigned int number, uint32_t slots,
			       enum waxwing_upstream_state state)
{
	model->upstream[number].slots = slots;
	model->upstream[number].state = state;
	waxwing_scheduler_set_upstream(model->scheduler, model->now_ms, upstream_name(number),
				       slots, state);
}

static void model_set_branch(struct model *model, unsigned int number, bool retired)
{
	struct waxwing_branch_policy policy = {
		.branch = branch_name(number),
		.weight = number + 1,
		.declared_ms = 10 << (2 * number),
		.retired = retired,
	};

	model->retired[number] = retired;
	waxwing_scheduler_set_branch(model->scheduler, model->now_ms, &policy);
}

static void model_offer(struct model *model)
{
	struct model_job *job = &model->job[model->jobs];
	struct waxwing_offer offer = {
		.key = { (uint64_t)g_test_rand_int_range(1, 4), model->jobs },
		.task_count = (uint32_t)g_test_rand_int_range(1, JOB_TASKS + 1),
		.admitted_ms = model->now_ms,
		.deadline_ms = model->now_ms + g_test_rand_int_range(50, 20000),
		.bytes = (uint64_t)g_test_rand_int_range(0, 1000),
		.readmitted = g_test_rand_bit(),
	};

	if (model->jobs == JOBS)
		return;
	job->issuer = offer.key.issuer;
	job->branch = (unsigned int)g_test_rand_int_range(0, BRANCHES);
	offer.branch = branch_name(job->branch);
	model->jobs++;
	if (waxwing_scheduler_offer(model->scheduler, model->now_ms, &offer, NULL) != WAXWING_OK)
		return;
	g_assert_false(model->retired[job->branch]);
	for (uint32_t i = 0; i < offer.task_count; i++)
		job->tasks[i].state = TASK_QUEUED;
}

static void model_granted(struct model *model, const struct waxwing_action *action)
{
	struct model_job *job = &model->job[action->key.job];
	struct model_task *task = &job->tasks[action->task];
	unsigned int number = upstream_number(action->upstream);

	g_assert_cmpint(task->state, ==, TASK_QUEUED);
	g_assert_false(job->refused);
	g_assert_false(model->retired[job->branch]);
	g_assert_cmpuint(action->grant, >, model->last_grant);
	model->last_grant = action->grant;
	g_assert_cmpint(model->upstream[number].state, ==, WAXWING_UPSTREAM_LIVE);
	g_assert_cmpuint(model->upstream[number].used, <, model->upstream[number].slots);
	model->upstream[number].used++;
	*task = (struct model_task){ TASK_RUNNING, number, false };
}

static void model_refused(struct model *model, const struct waxwing_action *action)
{
	struct model_job *job = &model->job[action->key.job];

	g_assert_true(waxwing_error_is_not_run(action->reason));
	job->refused = true;
	for (unsigned int i = 0; i < JOB_TASKS; i++) {
		if (job->tasks[i].state == TASK_QUEUED)
			job->tasks[i].state = TASK_ENDED;
	}
}

static void model_take_actions(struct model *model)
{
	struct waxwing_action action;

	while (waxwing_scheduler_next_action(model->scheduler, model->now_ms, &action)) {
		if (action.kind == WAXWING_ACTION_GRANT)
			model_granted(model, &action);
		else
			model_refused(model, &action);
	}
}

static void model_end(struct model *model, unsigned int number, unsigned int index,
		      enum waxwing_slot_outcome outcome)
{
	struct model_job *job = &model->job[number];
	struct model_task *task = &job->tasks[index];
	bool requeued = outcome >= WAXWING_SLOT_BUSY && outcome <= WAXWING_SLOT_LEAVING;
	struct waxwing_job_key key = { job->issuer, number };

	if (task->state != TASK_RUNNING)
		return;
	model->upstream[task->upstream].used--;
	model->upstream[task->upstream].adopted -= task->adopted;
	if (outcome == WAXWING_SLOT_LEAVING &&
	    model->upstream[task->upstream].state == WAXWING_UPSTREAM_LIVE)
		model->upstream[task->upstream].state = WAXWING_UPSTREAM_LEAVING;
	task->state = requeued && !job->refused ? TASK_QUEUED : TASK_ENDED;
	waxwing_scheduler_slot_ended(model->scheduler, model->now_ms, key, index,
				     upstream_name(task->upstream), outcome,
				     (uint32_t)g_test_rand_int_range(1, 300));
}

static void model_withdraw(struct model *model, unsigned int number)
{
	struct model_job *job = &model->job[number];
	struct waxwing_job_key key = { job->issuer, number };

	if (number >= model->jobs)
		return;
	job->refused = true;
	for (unsigned int i = 0; i < JOB_TASKS; i++) {
		if (job->tasks[i].state == TASK_QUEUED)
			job->tasks[i].state = TASK_ENDED;
	}
	waxwing_scheduler_withdraw(model->scheduler, model->now_ms, key);
}

static void model_adopt(struct model *model)
{
	unsigned int number = (unsigned int)g_test_rand_int_range(0, UPSTREAMS);
	struct model_job *job = &model->job[model->jobs];
	struct waxwing_job_key key = { 3, model->jobs };

	if (model->jobs == JOBS)
		return;
	model->jobs++;
	job->issuer = key.issuer;
	job->refused = true;
	job->tasks[0] = (struct model_task){ TASK_RUNNING, number, true };
	if (model->upstream[number].state == WAXWING_UPSTREAM_REMOVED &&
	    model->upstream[number].used == 0)
		model->upstream[number].slots = 0;
	model->upstream[number].used++;
	model->upstream[number].adopted++;
	waxwing_scheduler_adopt(model->scheduler, model->now_ms, key, 0, upstream_name(number),
				model->now_ms - 5);
}

static void model_event(struct model *model)
{
	unsigned int job = (unsigned int)g_test_rand_int_range(0, (int)MAX(model->jobs, 1));
	unsigned int task = (unsigned int)g_test_rand_int_range(0, JOB_TASKS);
	int roll = g_test_rand_int_range(0, 100);

	if (roll < 20)
		model_offer(model);
	else if (roll < 22)
		model_withdraw(model, job);
	else if (roll < 25)
		model_set_upstream(model, task % UPSTREAMS, (uint32_t)g_test_rand_int_range(0, 5),
				   (enum waxwing_upstream_state)g_test_rand_int_range(0, 3));
	else if (roll < 27)
		model_set_branch(model, task % BRANCHES, false);
	else if (roll < 28)
		model_set_branch(model, task % BRANCHES, true);
	else if (roll < 29)
		model_adopt(model);
	else
		model_end(model, job, task, (enum waxwing_slot_outcome)g_test_rand_int_range(0, 7));
}

/**
 * Ends all running tasks until none is left; queued tasks start or are refused at their
 * deadlines.
 */
static void model_end_all(struct model *model)
{
	for (unsigned int i = 0; i < UPSTREAMS; i++)
		model_set_upstream(model, i, 4, WAXWING_UPSTREAM_LIVE);
	for (unsigned int round = 0; round < 2000; round++) {
		model->now_ms += 20;
		model_take_actions(model);
		for (unsigned int i = 0; i < model->jobs * JOB_TASKS; i++)
			model_end(model, i / JOB_TASKS, i % JOB_TASKS, WAXWING_SLOT_DONE);
	}
}

static void assert_empty(const struct model *model)
{
	struct waxwing_scheduler_view view;

	for (unsigned int i = 0; i < model->jobs * JOB_TASKS; i++) {
		enum task_state state = model->job[i / JOB_TASKS].tasks[i % JOB_TASKS].state;

		g_assert_true(state == TASK_NONE || state == TASK_ENDED);
	}
	waxwing_scheduler_view(model->scheduler, &view);
	g_assert_cmpuint(view.queued_tasks, ==, 0);
	g_assert_cmpuint(view.queued_bytes, ==, 0);
	g_assert_cmpuint(view.queued_jobs, ==, 0);
	g_assert_cmpuint(view.used_slots, ==, 0);
}

static void test_random_events(void)
{
	struct model *model = g_new0(struct model, 1);

	model->scheduler = waxwing_scheduler_create(&options);
	for (unsigned int i = 0; i < BRANCHES; i++)
		model_set_branch(model, i, false);
	for (unsigned int i = 0; i < UPSTREAMS; i++)
		model_set_upstream(model, i, 3, WAXWING_UPSTREAM_LIVE);
	for (unsigned int i = 0; i < 6000; i++) {
		model->now_ms += g_test_rand_int_range(0, 8);
		model_event(model);
		model_take_actions(model);
	}
	model_end_all(model);
	assert_empty(model);
	waxwing_scheduler_destroy(model->scheduler);
	g_free(model);
}

static void test_refusals(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(0, 0);
	struct waxwing_offer expired = { .key = { 1, 9 },
					 .branch = branch_name(0),
					 .task_count = 1 };
	struct waxwing_branch_policy policy = {
		.branch = branch_name(0), .weight = 1, .queue_tasks = 3, .retired = false
	};

	g_assert_cmpint(offer(scheduler, 0, 1, 1), ==, WAXWING_ERROR_NO_UPSTREAM);
	waxwing_scheduler_set_upstream(scheduler, 0, upstream_name(0), 1, WAXWING_UPSTREAM_LIVE);
	g_assert_cmpint(waxwing_scheduler_offer(scheduler, 5, &expired, NULL), ==,
			WAXWING_ERROR_NEVER_FITS);
	waxwing_scheduler_set_branch(scheduler, 0, &policy);
	g_assert_cmpint(offer(scheduler, 0, 1, 3), ==, WAXWING_OK);
	g_assert_cmpint(offer(scheduler, 0, 2, 1), ==, WAXWING_ERROR_QUEUE_FULL);
	policy.team = waxwing_str("t");
	policy.queue_tasks = 0;
	waxwing_scheduler_set_branch(scheduler, 0, &policy);
	waxwing_scheduler_set_team(
		scheduler, 0,
		&(struct waxwing_team_policy){ .team = policy.team, .queued_tasks = 4 });
	g_assert_cmpint(offer(scheduler, 0, 3, 1), ==, WAXWING_OK);
	g_assert_cmpint(offer(scheduler, 0, 4, 1), ==, WAXWING_ERROR_QUOTA);
	policy.retired = true;
	waxwing_scheduler_set_branch(scheduler, 0, &policy);
	g_assert_cmpint(offer(scheduler, 0, 5, 1), ==, WAXWING_ERROR_RETIRED);
	expired.branch = waxwing_str("nowhere");
	g_assert_cmpint(waxwing_scheduler_offer(scheduler, 0, &expired, NULL), ==,
			WAXWING_ERROR_UNKNOWN_BRANCH);
	waxwing_scheduler_destroy(scheduler);
}

static unsigned int take_grants(struct waxwing_scheduler *scheduler, int64_t now_ms,
				struct waxwing_action *last)
{
	unsigned int grants = 0;

	while (waxwing_scheduler_next_action(scheduler, now_ms, last)) {
		g_assert_cmpint(last->kind, ==, WAXWING_ACTION_GRANT);
		grants++;
	}
	return grants;
}

static void test_team_slots(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(1, 4);
	struct waxwing_branch_policy policy = { .branch = branch_name(0),
						.team = waxwing_str("t"),
						.weight = 1 };
	struct waxwing_action action;

	waxwing_scheduler_set_branch(scheduler, 0, &policy);
	waxwing_scheduler_set_team(
		scheduler, 0, &(struct waxwing_team_policy){ .team = policy.team, .slots = 2 });
	g_assert_cmpint(offer(scheduler, 0, 1, 4), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 0, &action), ==, 2);
	waxwing_scheduler_slot_ended(scheduler, 1, action.key, action.task, upstream_name(0),
				     WAXWING_SLOT_DONE, 1);
	g_assert_cmpuint(take_grants(scheduler, 1, &action), ==, 1);
	waxwing_scheduler_destroy(scheduler);
}

static void test_issuer_lost(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(1, 2);
	struct waxwing_scheduler_view view;
	struct waxwing_action action;
	int64_t wake_ms;

	g_assert_cmpint(offer(scheduler, 0, 1, 5), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 0, &action), ==, 2);
	waxwing_scheduler_issuer_lost(scheduler, 10, 1);
	waxwing_scheduler_view(scheduler, &view);
	g_assert_cmpuint(view.queued_tasks, ==, 0);
	g_assert_cmpuint(view.used_slots, ==, 2);
	wake_ms = waxwing_scheduler_next_wake(scheduler);
	g_assert_cmpint(wake_ms, >, 10);
	g_assert_cmpint(wake_ms, <, INT64_MAX);
	g_assert_false(waxwing_scheduler_next_action(scheduler, wake_ms, &action));
	waxwing_scheduler_view(scheduler, &view);
	g_assert_cmpuint(view.used_slots, ==, 0);
	waxwing_scheduler_destroy(scheduler);
}

static void test_offer_again(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(1, 2);
	struct waxwing_scheduler_view view;
	struct waxwing_action action;

	waxwing_scheduler_adopt(scheduler, 0, (struct waxwing_job_key){ 1, 1 }, 3, upstream_name(0),
				0);
	g_assert_cmpint(offer(scheduler, 0, 1, 5), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 0, &action), ==, 1);
	g_assert_cmpint(offer(scheduler, 0, 1, 5), ==, WAXWING_OK);
	waxwing_scheduler_view(scheduler, &view);
	g_assert_cmpuint(view.queued_tasks, ==, 3);
	waxwing_scheduler_destroy(scheduler);
}

static void test_forget_issuer(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(1, 2);
	struct waxwing_scheduler_view view;
	struct waxwing_action action;

	g_assert_cmpint(offer(scheduler, 0, 1, 5), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 0, &action), ==, 2);
	waxwing_scheduler_forget_issuer(scheduler, 10, 1);
	waxwing_scheduler_view(scheduler, &view);
	g_assert_cmpuint(view.queued_tasks, ==, 0);
	g_assert_cmpuint(view.used_slots, ==, 0);
	waxwing_scheduler_adopt(scheduler, 10, action.key, 0, upstream_name(0), 0);
	g_assert_cmpint(offer(scheduler, 10, 1, 5), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 10, &action), ==, 1);
	g_assert_cmpuint(action.task, !=, 0);
	waxwing_scheduler_destroy(scheduler);
}

/* A task that was adopted before its job was offered is queued again after a busy answer. */
static void test_adopted_task_requeued(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(1, 1);
	struct waxwing_job_key key = { 1, 1 };
	struct waxwing_action action;

	waxwing_scheduler_adopt(scheduler, 0, key, 0, upstream_name(3), 0);
	g_assert_cmpint(offer(scheduler, 0, 1, 1), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 0, &action), ==, 0);
	waxwing_scheduler_slot_ended(scheduler, 1, key, 0, upstream_name(3), WAXWING_SLOT_BUSY, 0);
	g_assert_cmpuint(take_grants(scheduler, 1, &action), ==, 1);
	g_assert_cmpuint(action.task, ==, 0);
	waxwing_scheduler_destroy(scheduler);
}

static double speed_of(const struct waxwing_scheduler *scheduler, size_t index)
{
	struct waxwing_upstream_view view;

	g_assert_true(waxwing_scheduler_upstream_view(scheduler, index, &view));
	return view.speed;
}

static void test_fastest_first(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(3, 1);
	struct waxwing_action action;

	for (int i = 0; i < 300; i++) {
		for (unsigned int u = 0; u < 3; u++)
			waxwing_scheduler_record_run(scheduler, i, branch_name(0), upstream_name(u),
						     u == 1 ? 50 : 100);
	}
	g_assert_cmpint(offer(scheduler, 300, 1, 1), ==, WAXWING_OK);
	g_assert_true(waxwing_scheduler_next_action(scheduler, 300, &action));
	g_assert_cmpuint(upstream_number(action.upstream), ==, 1);
	g_assert_cmpfloat(speed_of(scheduler, 0), >, 1);
	g_assert_cmpfloat(speed_of(scheduler, 1), <, 1);
	waxwing_scheduler_destroy(scheduler);
}

/*
 * With one task at a time, run times shorter than declared make the first upstream seem fast. The
 * scheduler must still try the others and find the fastest one.
 */
static void test_finds_fastest(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(UPSTREAMS, 2);
	unsigned int fast = (unsigned int)g_test_rand_int_range(0, UPSTREAMS);
	struct waxwing_action action;
	unsigned int hits = 0;
	int64_t now_ms = 0;

	for (uint64_t job = 1; job <= 400; job++) {
		uint32_t run_ms = (uint32_t)g_test_rand_int_range(20, 28);

		g_assert_cmpint(offer(scheduler, now_ms, job, 1), ==, WAXWING_OK);
		g_assert_true(waxwing_scheduler_next_action(scheduler, now_ms, &action));
		if (upstream_number(action.upstream) == fast)
			run_ms /= 4;
		hits += job > 200 && upstream_number(action.upstream) == fast;
		now_ms += run_ms;
		waxwing_scheduler_slot_ended(scheduler, now_ms, action.key, action.task,
					     action.upstream, WAXWING_SLOT_DONE, run_ms);
	}
	g_assert_cmpuint(hits, >=, 180);
	waxwing_scheduler_destroy(scheduler);
}

static void record_runs(struct waxwing_scheduler *scheduler, unsigned int branch,
			unsigned int upstream, uint32_t run_ms)
{
	for (int i = 0; i < 300; i++)
		waxwing_scheduler_record_run(scheduler, 0, branch_name(branch),
					     upstream_name(upstream), run_ms);
}

/*
 * With only a slow slot free, a task waits for a fast one that is expected soon, but only for a
 * limited time.
 */
static void test_waits_for_faster_slot(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(2, 1);
	struct waxwing_action action;
	int64_t now_ms = 0;

	for (int i = 0; i < 10; i++) {
		record_runs(scheduler, 0, 0, 100);
		record_runs(scheduler, 0, 1, 1000);
	}
	g_assert_cmpint(offer(scheduler, 0, 1, 1), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 0, &action), ==, 1);
	g_assert_cmpuint(upstream_number(action.upstream), ==, 0);
	g_assert_cmpint(offer(scheduler, 1, 2, 1), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 1, &action), ==, 0);
	while (now_ms < 60000 && take_grants(scheduler, now_ms, &action) == 0)
		now_ms = MAX(waxwing_scheduler_next_wake(scheduler), now_ms + 1);
	g_assert_cmpint(now_ms, >, 100);
	g_assert_cmpint(now_ms, <, 10000);
	g_assert_cmpuint(upstream_number(action.upstream), ==, 1);
	waxwing_scheduler_destroy(scheduler);
}

/*
 * Once a run of a job takes longer than typical, the job's other tasks are due later than those of
 * a new job.
 */
static void test_long_run_is_due_later(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(1, 2);
	struct waxwing_action action;

	g_assert_cmpint(offer(scheduler, 0, 1, 3), ==, WAXWING_OK);
	g_assert_true(waxwing_scheduler_next_action(scheduler, 0, &action));
	g_assert_true(waxwing_scheduler_next_action(scheduler, 0, &action));
	g_assert_cmpint(offer(scheduler, 3000, 2, 3), ==, WAXWING_OK);
	waxwing_scheduler_set_upstream(scheduler, 3000, upstream_name(0), 3, WAXWING_UPSTREAM_LIVE);
	g_assert_true(waxwing_scheduler_next_action(scheduler, 3000, &action));
	g_assert_cmpint(action.kind, ==, WAXWING_ACTION_GRANT);
	g_assert_cmpuint(action.key.job, ==, 2);
	waxwing_scheduler_destroy(scheduler);
}

/* While slots are idle on average, a large job leaves some free for small jobs. */
static void test_large_job_leaves_slots(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(UPSTREAMS, 8);
	struct waxwing_branch_policy large = { .branch = branch_name(1),
					       .weight = 1,
					       .declared_ms = 4000 };
	struct waxwing_offer many = { .key = { 2, 1 },
				      .branch = branch_name(1),
				      .task_count = 200 };
	struct waxwing_action action;
	uint64_t job = 0;

	waxwing_scheduler_set_branch(scheduler, 0, &large);
	for (int64_t now_ms = 0; now_ms < 20000; now_ms += 20) {
		g_assert_cmpint(offer(scheduler, now_ms, ++job, 1), ==, WAXWING_OK);
		g_assert_cmpuint(take_grants(scheduler, now_ms, &action), ==, 1);
		waxwing_scheduler_slot_ended(scheduler, now_ms + 20, action.key, action.task,
					     action.upstream, WAXWING_SLOT_DONE, 20);
	}
	many.deadline_ms = 10000000;
	g_assert_cmpint(waxwing_scheduler_offer(scheduler, 20000, &many, NULL), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 20000, &action), <, UPSTREAMS * 8);
	g_assert_cmpint(offer(scheduler, 20001, ++job, 1), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 20001, &action), ==, 1);
	g_assert_cmpuint(action.key.job, ==, job);
	waxwing_scheduler_destroy(scheduler);
}

/* When all slots are in use on average, none stays idle while tasks are queued. */
static void test_no_idle_slots_when_full(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(2, 4);
	struct waxwing_scheduler_view view;
	struct waxwing_action actions[8];
	uint64_t job = 0;
	size_t running = 0;

	for (int64_t now_ms = 0; now_ms < 60000; now_ms += 10) {
		size_t ended = (size_t)g_test_rand_int_range(0, 8);

		if (job < 40 || now_ms % 200 == 0)
			offer(scheduler, now_ms, ++job, (uint32_t)g_test_rand_int_range(1, 40));
		if (ended < running) {
			waxwing_scheduler_slot_ended(scheduler, now_ms, actions[ended].key,
						     actions[ended].task, actions[ended].upstream,
						     WAXWING_SLOT_DONE, 80);
			actions[ended] = actions[--running];
		}
		while (running < 8 &&
		       waxwing_scheduler_next_action(scheduler, now_ms, &actions[running]))
			running += actions[running].kind == WAXWING_ACTION_GRANT;
		waxwing_scheduler_view(scheduler, &view);
		if (now_ms > 30000 && view.queued_tasks > 0)
			g_assert_cmpuint(view.used_slots, ==, 8);
	}
	waxwing_scheduler_destroy(scheduler);
}

/* An upstream that immediately fails every task is ejected after at most ten tasks. */
static void test_failing_upstream(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(4, 2);
	struct waxwing_action action;
	unsigned int failed = 0;
	int64_t now_ms = 0;

	for (uint64_t job = 1; job <= 500; job++) {
		now_ms++;
		g_assert_cmpint(offer(scheduler, now_ms, job, 1), ==, WAXWING_OK);
		while (waxwing_scheduler_next_action(scheduler, now_ms, &action)) {
			bool failing = upstream_number(action.upstream) == 0;

			failed += failing;
			waxwing_scheduler_slot_ended(
				scheduler, now_ms, action.key, action.task, action.upstream,
				failing ? WAXWING_SLOT_FAILED : WAXWING_SLOT_DONE, 100);
		}
	}
	g_assert_cmpuint(failed, >, 0);
	g_assert_cmpuint(failed, <=, 10);
	waxwing_scheduler_destroy(scheduler);
}

/*
 * After a busy answer, the task goes to another upstream immediately, and the busy one gets no
 * tasks for a while.
 */
static void test_busy_starts_elsewhere(void)
{
	struct waxwing_scheduler *scheduler = scheduler_create(2, 1);
	struct waxwing_action action;
	unsigned int first;

	g_assert_cmpint(offer(scheduler, 0, 1, 1), ==, WAXWING_OK);
	g_assert_cmpuint(take_grants(scheduler, 0, &action), ==, 1);
	first = upstream_number(action.upstream);
	waxwing_scheduler_slot_ended(scheduler, 1, action.key, action.task, action.upstream,
				     WAXWING_SLOT_BUSY, 0);
	g_assert_cmpuint(take_grants(scheduler, 1, &action), ==, 1);
	g_assert_cmpuint(upstream_number(action.upstream), !=, first);
	waxwing_scheduler_slot_ended(scheduler, 2, action.key, action.task, action.upstream,
				     WAXWING_SLOT_BUSY, 0);
	g_assert_cmpuint(take_grants(scheduler, 2, &action), ==, 0);
	g_assert_cmpint(waxwing_scheduler_next_wake(scheduler), <, 100);
	g_assert_cmpuint(take_grants(scheduler, waxwing_scheduler_next_wake(scheduler), &action),
			 ==, 1);
	waxwing_scheduler_destroy(scheduler);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/scheduler/random-events", test_random_events);
	g_test_add_func("/scheduler/refusals", test_refusals);
	g_test_add_func("/scheduler/team-slots", test_team_slots);
	g_test_add_func("/scheduler/issuer-gone", test_issuer_lost);
	g_test_add_func("/scheduler/offer-again", test_offer_again);
	g_test_add_func("/scheduler/forget-issuer", test_forget_issuer);
	g_test_add_func("/scheduler/adopted-comes-back", test_adopted_task_requeued);
	g_test_add_func("/scheduler/fastest-first", test_fastest_first);
	g_test_add_func("/scheduler/finds-the-fast-one", test_finds_fastest);
	g_test_add_func("/scheduler/holds-back", test_waits_for_faster_slot);
	g_test_add_func("/scheduler/long-run-is-due-later", test_long_run_is_due_later);
	g_test_add_func("/scheduler/leaves-slots", test_large_job_leaves_slots);
	g_test_add_func("/scheduler/idles-nothing-when-full", test_no_idle_slots_when_full);
	g_test_add_func("/scheduler/failing-upstream", test_failing_upstream);
	g_test_add_func("/scheduler/busy-elsewhere", test_busy_starts_elsewhere);
	return g_test_run();
}
