#include "cell_private.h"

#define LOG_PART "cell"
#include "event_log.h"
#include "log.h"

/* Between two stops of one run. */
#define STOP_AGAIN_MS 250
/* An executor that says it has no room gets nothing for so long. */
#define FULL_PAUSE_MS 300
/* Weight of a start that was not answered or not taken, against a failed task. */
#define UNSTARTED_WEIGHT 1.0
/* Share by which a kind's speed follows that of an executor whose run has ended. */
#define KIND_SHARE 0.05
/* By how much a run's number rises after one that was old at its executor. */
#define OLD_RUN_STEP 4

static void capacity_add(struct waxwing_capacity *sum, const struct waxwing_capacity *part)
{
	sum->cpu_milli += part->cpu_milli;
	sum->mem_mb += part->mem_mb;
	sum->gpu += part->gpu;
}

static void capacity_take(struct waxwing_capacity *sum, const struct waxwing_capacity *part)
{
	sum->cpu_milli -= part->cpu_milli;
	sum->mem_mb -= part->mem_mb;
	sum->gpu -= part->gpu;
}

struct cell_run *run_create(struct waxwing_cell *cell, struct executor *executor,
			    const struct waxwing_run_name *name,
			    const struct waxwing_capacity *needs)
{
	struct cell_run *run = g_new0(struct cell_run, 1);

	run->name = *name;
	run->executor = executor;
	run->needs = *needs;
	capacity_add(&executor->used, needs);
	g_ptr_array_add(executor->runs, run);
	cell->runs++;
	return run;
}

void run_free(struct waxwing_cell *cell, struct cell_run *run)
{
	struct executor *executor = run->executor;

	capacity_take(&executor->used, &run->needs);
	g_ptr_array_remove_fast(executor->runs, run);
	if (!run->job && run->seen_ms)
		executor->foreign--;
	waxwing_breaker_end(&executor->breaker);
	cell->runs--;
	g_free(run);
}

bool run_is(const struct cell_run *run, const struct waxwing_run_name *name)
{
	return run->name.job == name->job && run->name.step == name->step &&
	       run->name.index == name->index && run->name.run == name->run &&
	       run->name.occurrence == name->occurrence;
}

struct cell_run *run_find(const struct executor *executor, const struct waxwing_run_name *name)
{
	for (guint i = 0; i < executor->runs->len; i++) {
		struct cell_run *run = executor->runs->pdata[i];

		if (run_is(run, name))
			return run;
	}
	return NULL;
}

void run_adopt(struct waxwing_cell *cell, struct cell_run *run, struct cell_job *job)
{
	struct task *task = &job->steps[run->name.step].tasks[run->name.index];

	if (task->state == TASK_OUT || task->state == TASK_DONE || job->ended) {
		task->last_run = MAX(task->last_run, run->name.run);
		return; /* stays foreign, and is stopped */
	}
	/* the former owner knew of the end of the steps before */
	if (task->state == TASK_BLOCKED)
		job_task_ready(cell, job, run->name.step, run->name.index);
	run->executor->foreign--;
	run->seen_ms = 0;
	run->job = job;
	run->needs = step_needs(job->steps[run->name.step].spec);
	capacity_add(&run->executor->used, &run->needs);
	task->last_run = MAX(task->last_run, run->name.run);
	task->run = run;
	job_task_taken(cell, job, run->name.step, run->name.index);
	waxwing_event("run_adopted", "job=%016llx step=%u index=%u run=%u executor=%s",
		      (unsigned long long)job->id, run->name.step, run->name.index, run->name.run,
		      run->executor->id);
}

void run_stop(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms)
{
	struct waxwing_order_target target;

	run->state = RUN_STOPPING;
	run->stop_next_ms = now_ms + STOP_AGAIN_MS;
	executor_target(cell, run->executor, &target);
	cell->options.ops->stop(cell->options.data, &target, &run->name);
}

static void learn(struct cell_run *run, int64_t now_ms)
{
	const Waxwing__JobStep *step = run->job->steps[run->name.step].spec;
	double ran_ms = (double)MAX(now_ms - run->started_ms, 1);
	struct waxwing_speed *speed = &run->executor->speed;
	struct waxwing_speed of_kind = run->executor->kind->speed;

	waxwing_estimate_learn(&run->job->queue->ratio, speed,
			       ran_ms / step_estimate_ms(step) * RATIO_UNIT);
	/* the kind's speed starts those that come later */
	of_kind.log_speed += KIND_SHARE * (speed->log_speed - of_kind.log_speed);
	of_kind.value += KIND_SHARE * (speed->value - of_kind.value);
	run->executor->kind->speed = of_kind;
}

static void log_end(const struct cell_run *run, enum waxwing_run_end end, int64_t now_ms)
{
	static const char *const names[] = { "done",   "failed", "stopped",
					     "lapsed", "broken", "alone" };

	if (end == WAXWING_RUN_DONE)
		return;
	waxwing_event(
		"run_ended", "job=%016llx step=%u index=%u run=%u executor=%s how=%s ran_ms=%lld",
		(unsigned long long)run->name.job, run->name.step, run->name.index, run->name.run,
		run->executor->id, names[end], (long long)(now_ms - run->started_ms));
}

void run_ended(struct waxwing_cell *cell, struct cell_run *run, enum waxwing_run_end end,
	       int64_t now_ms)
{
	struct cell_job *job = run->job;
	struct executor *executor = run->executor;
	struct waxwing_run_name name = run->name;
	bool lasts = run_lasts(run);

	log_end(run, end, now_ms);
	cell->done += end == WAXWING_RUN_DONE;
	cell->failed += end == WAXWING_RUN_FAILED;
	cell->lapsed += end == WAXWING_RUN_LAPSED;
	if (job && end == WAXWING_RUN_DONE && !lasts) {
		/* one that fills runs as fast as others let it */
		if (!job->steps[name.step].spec->fills)
			learn(run, now_ms);
		waxwing_breaker_succeeded(&executor->breaker, now_ms);
	}
	if (job)
		run_task(run)->run = NULL;
	if (lasts && !job->ended)
		lasting_run_ended(cell, run, end, now_ms);
	run_free(cell, run);
	if (end == WAXWING_RUN_FAILED)
		executor_failed(cell, executor, now_ms, 1);
	if (!job)
		return;
	job->out--;
	if (job->ended) {
		job->steps[name.step].tasks[name.index].state = TASK_DONE;
		job_leave(cell, job);
	} else if (lasts) {
		return;
	} else if (end == WAXWING_RUN_DONE) {
		job_task_done(cell, job, name.step, name.index, now_ms);
	} else if (end == WAXWING_RUN_FAILED) {
		job_run_failed(cell, job, &name, executor, now_ms);
	} else {
		job_task_ready(cell, job, name.step, name.index);
	}
}

/* A run of the task has come to nothing. */
static void task_waits_again(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			     uint32_t index)
{
	job->out--;
	if (job->ended)
		job_leave(cell, job);
	else
		job_task_ready(cell, job, step, index);
}

/* The order did nothing; the task waits again. */
static void not_started(struct waxwing_cell *cell, struct cell_run *run, const char *why)
{
	struct cell_job *job = run->job;
	uint32_t step = run->name.step;
	uint32_t index = run->name.index;

	waxwing_event("start_refused", "job=%016llx step=%u index=%u run=%u executor=%s why=%s",
		      (unsigned long long)run->name.job, step, index, run->name.run,
		      run->executor->id, why);
	if (job)
		run_task(run)->run = NULL;
	run_free(cell, run);
	if (job)
		task_waits_again(cell, job, step, index);
}

void waxwing_cell_start_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t life,
				 const struct waxwing_run_name *name,
				 enum waxwing_start_answer answer, int64_t clock_ms)
{
	struct executor *executor = cell_executor(cell, life);
	struct cell_run *run = executor ? run_find(executor, name) : NULL;
	struct cell_job *gang_of = NULL;

	if (!executor)
		return;
	executor_take_clock(executor, now_ms, clock_ms);
	if (!run || (run->state != RUN_STARTING && run->state != RUN_STOPPING))
		return;
	if (run->job && !run->job->ended && run->job->steps[name->step].spec->gang &&
	    answer != WAXWING_START_RUNS)
		gang_of = run->job;
	switch (answer) {
	case WAXWING_START_RUNS:
		run->started_ms = now_ms;
		if (run->state == RUN_STARTING)
			run->state = RUN_RUNNING;
		break;
	case WAXWING_START_NO_ROOM:
		executor->full_until_ms = now_ms + FULL_PAUSE_MS;
		executor->hold_wanted = true;
		not_started(cell, run, "room");
		break;
	case WAXWING_START_OLD:
		if (run->job)
			run_task(run)->last_run += OLD_RUN_STEP;
		not_started(cell, run, "old");
		break;
	case WAXWING_START_LATE:
		not_started(cell, run, "late");
		break;
	case WAXWING_START_NO_TICKET:
		if (run->job)
			permits_reject(run->job, run->name.step, executor);
		not_started(cell, run, "ticket");
		break;
	case WAXWING_START_FENCED:
		cell->options.ops->fenced(cell->options.data, executor->id);
		break;
	case WAXWING_START_REJECTED:
	case WAXWING_START_UNHEALTHY:
		executor_failed(cell, executor, now_ms, UNSTARTED_WEIGHT);
		executor->full_until_ms = now_ms + FULL_PAUSE_MS;
		not_started(cell, run, answer == WAXWING_START_REJECTED ? "rejected" : "unhealthy");
		break;
	case WAXWING_START_OTHER_LIFE:
		executor->removed = true;
		not_started(cell, run, "other_life");
		break;
	case WAXWING_START_NOT_SENT:
		executor_failed(cell, executor, now_ms, UNSTARTED_WEIGHT);
		executor->full_until_ms = now_ms + FULL_PAUSE_MS;
		executor->hold_wanted = true;
		not_started(cell, run, "unreachable");
		break;
	case WAXWING_START_UNKNOWN:
		executor_failed(cell, executor, now_ms, UNSTARTED_WEIGHT);
		executor->full_until_ms = now_ms + FULL_PAUSE_MS;
		run_stop(cell, run, now_ms);
		break;
	}
	/* the others would wait for this one in vain */
	if (gang_of)
		gang_break(cell, gang_of, name->step, now_ms);
}

void waxwing_cell_stop_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t life,
				const struct waxwing_run_name *name, bool answered)
{
	struct executor *executor = cell_executor(cell, life);
	struct cell_run *run = executor ? run_find(executor, name) : NULL;

	if (!run || run->state != RUN_STOPPING)
		return;
	if (!answered || run->stopped_by_ms)
		return; /* sent again by the sweep, until the lease has run out */
	/*
	 * The run ends within the stop's time and a later start of it is rejected. Holds list the end
	 * of what ran; what never ran is missed by the first hold sent after the stop's time.
	 */
	run->started_ms = now_ms + cell->options.stop_ms;
	run->stopped_by_ms = now_ms + cell->options.stop_ms + CERTAINTY_MS;
	executor->hold_wanted = true;
}

/* The run is its task's no more; it keeps its room until its executor lists its end. */
static void detach(struct cell_run *run)
{
	run_task(run)->run = NULL;
	run->job = NULL;
}

/* Another run of the task, or of its gang, has ended as done. */
void run_cast_off(struct waxwing_cell *cell, struct cell_run *run, bool ends_itself, int64_t now_ms)
{
	run->job->out--;
	detach(run);
	if (run->state == RUN_STOPPING)
		return;
	if (!ends_itself) {
		run_stop(cell, run, now_ms);
		return;
	}
	run->state = RUN_STOPPING;
	run->stop_next_ms = now_ms + STOP_AGAIN_MS;
}

/* The task may run elsewhere now. */
void run_release_task(struct waxwing_cell *cell, struct cell_run *run)
{
	struct cell_job *job = run->job;

	detach(run);
	task_waits_again(cell, job, run->name.step, run->name.index);
}
