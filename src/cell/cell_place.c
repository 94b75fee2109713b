#include "cell_private.h"

#define LOG_PART "cell"
#include "event_log.h"
#include "log.h"

/* Executors whose speeds differ by less are alike: the fuller one is taken, to keep room whole. */
#define ALIKE_SPEED 0.04
/* A task waits for a faster executor only if that is faster by so much. */
#define WORTH_WAITING_SPEED 1.25

static bool fits(const struct executor *executor, const struct waxwing_capacity *needs)
{
	return executor->used.cpu_milli + needs->cpu_milli <= executor->capacity.cpu_milli &&
	       executor->used.mem_mb + needs->mem_mb <= executor->capacity.mem_mb &&
	       executor->used.gpu + needs->gpu <= executor->capacity.gpu;
}

static bool could_fit(const struct executor *executor, const Waxwing__JobStep *step)
{
	return step->cpu_milli <= executor->capacity.cpu_milli &&
	       step->mem_mb <= executor->capacity.mem_mb && step->gpu <= executor->capacity.gpu &&
	       (!step->requirement || executor_has_label(executor, step->requirement));
}

bool step_fits_somewhere(const struct waxwing_cell *cell, const Waxwing__Job *spec,
			 const Waxwing__JobStep *step)
{
	for (guint i = 0; i < cell->list->len; i++) {
		const struct executor *executor = cell->list->pdata[i];

		if (!executor->removed && strcmp(executor->service, spec->service) == 0 &&
		    could_fit(executor, step))
			return true;
	}
	return false;
}

static uint32_t runs_of_step(const struct executor *executor, const struct cell_job *job,
			     uint32_t step)
{
	uint32_t count = 0;

	for (guint i = 0; i < executor->runs->len; i++) {
		const struct cell_run *run = executor->runs->pdata[i];

		count += run->job == job && run->name.step == step;
	}
	return count;
}

static bool is_allowed(const struct executor *executor, const struct cell_job *job, uint32_t step)
{
	const Waxwing__JobStep *spec = job->steps[step].spec;

	if (strcmp(executor->service, job->spec->service) != 0 || !could_fit(executor, spec))
		return false;
	if (executor->reserved_for && executor->reserved_for != job)
		return false;
	return !spec->anti_affinity || runs_of_step(executor, job, step) < spec->anti_affinity;
}

/* Work a task gets done in a millisecond there. */
static double speed_for(const struct waxwing_cell *cell, const struct executor *executor,
			const Waxwing__JobStep *step)
{
	double speed = executor->speed.value;

	if (step->affinity && step->affinity[0] && strcmp(step->affinity, executor->rack) != 0)
		speed /= cell->options.far_factor;
	return speed;
}

static struct executor *pick(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			     const struct task *task, int64_t now_ms, double *speed)
{
	const Waxwing__JobStep *spec = job->steps[step].spec;
	struct waxwing_capacity needs = step_needs(spec);
	struct executor *best = NULL;
	double best_speed = 0;

	for (guint i = 0; i < cell->list->len; i++) {
		struct executor *executor = cell->list->pdata[i];
		double here;

		if (!fits(executor, &needs) || !executor_usable(executor, now_ms) ||
		    !is_allowed(executor, job, step))
			continue;
		if (task->failed_at && strcmp(task->failed_at, executor->id) == 0)
			continue;
		here = speed_for(cell, executor, spec);
		if (best && here < best_speed * (1 - ALIKE_SPEED))
			continue;
		if (best && here < best_speed * (1 + ALIKE_SPEED) &&
		    executor->capacity.cpu_milli - executor->used.cpu_milli >=
			    best->capacity.cpu_milli - best->used.cpu_milli)
			continue;
		best = executor;
		best_speed = here;
	}
	*speed = best_speed;
	return best;
}

/* When the first of an executor's runs will have ended, as far as is known. */
static double first_end_ms(const struct executor *executor, int64_t now_ms)
{
	double first = G_MAXDOUBLE;

	for (guint i = 0; i < executor->runs->len; i++) {
		const struct cell_run *run = executor->runs->pdata[i];
		double total;

		if (!run->job || run->job->ended)
			return 0;
		if (run_lasts(run))
			continue;
		total = step_work_ms(run->job, run->job->steps[run->name.step].spec) /
			executor->speed.value;
		first = MIN(first, MAX(total - (double)(now_ms - run->started_ms), total / 8));
	}
	return first;
}

/*
 * True when the task would miss its due time on an executor of this speed, and ends sooner and in
 * time on a faster one that will have room shortly. Each such executor is waited for by one task.
 */
static bool should_wait(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			int64_t now_ms, double speed, GHashTable *awaited)
{
	const Waxwing__JobStep *spec = job->steps[step].spec;
	double work = step_work_ms(job, spec);
	double left = (double)(job->due_ms - now_ms);

	if (job->late || spec->long_running || work / speed <= left)
		return false;
	for (guint i = 0; i < cell->list->len; i++) {
		struct executor *executor = cell->list->pdata[i];
		double there = speed_for(cell, executor, spec);
		double end;

		if (there < speed * WORTH_WAITING_SPEED || !executor->runs->len ||
		    g_hash_table_contains(awaited, executor) ||
		    !executor_usable(executor, now_ms) || !is_allowed(executor, job, step))
			continue;
		end = first_end_ms(executor, now_ms) + work / there;
		if (end < work / speed && end <= left) {
			g_hash_table_add(awaited, executor);
			return true;
		}
	}
	return false;
}

static void start_task(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
		       uint32_t index, struct executor *executor, int64_t now_ms)
{
	struct task *task = &job->steps[step].tasks[index];
	struct waxwing_capacity needs = step_needs(job->steps[step].spec);
	struct waxwing_run_order order = {
		.name = { job->id, 0, step, index, task->last_run + 1 },
		.spec = job->spec->spec,
		.checkpoint = task->checkpoint,
		.until_ms = executor_until(cell, executor, now_ms),
	};
	struct waxwing_order_target target;
	struct cell_run *run = run_create(cell, executor, &order.name, &needs);

	run->job = job;
	run->state = RUN_STARTING;
	run->started_ms = now_ms;
	task->last_run = order.name.run;
	task->run = run;
	job_task_taken(cell, job, step, index);
	waxwing_breaker_start(&executor->breaker);
	executor_lease_given(cell, executor, now_ms);
	cell->starts++;
	waxwing_event("run_started",
		      "job=%016llx step=%u index=%u run=%u executor=%s speed_pct=%d due_in_ms=%lld "
		      "ready_jobs=%d",
		      (unsigned long long)job->id, step, index, order.name.run, executor->id,
		      (int)(executor->speed.value * 100), (long long)(job->due_ms - now_ms),
		      g_sequence_get_length(cell->ready));
	executor_target(cell, executor, &target);
	cell->options.ops->start(cell->options.data, &target, &order);
}

bool step_has_room(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		   int64_t now_ms)
{
	static const struct task any = { .state = TASK_READY };
	double speed;

	return pick(cell, job, step, &any, now_ms, &speed) != NULL;
}

/*
 * Keeps other jobs off the executor that has most room for the step, so that the room grows as what runs
 * there ends. Reservations are made anew in each round, in the order of service.
 */
static void reserve(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		    int64_t now_ms)
{
	struct executor *best = NULL;
	uint32_t best_free = 0;

	for (guint i = 0; i < cell->list->len; i++) {
		struct executor *executor = cell->list->pdata[i];
		uint32_t lasting = 0;
		uint32_t free;

		if (!executor_usable(executor, now_ms) || executor->reserved_for ||
		    !is_allowed(executor, job, step))
			continue;
		for (guint k = 0; k < executor->runs->len; k++) {
			const struct cell_run *run = executor->runs->pdata[k];

			lasting += run_lasts(run) ? run->needs.cpu_milli : 0;
		}
		free = executor->capacity.cpu_milli - MIN(lasting, executor->capacity.cpu_milli);
		if (free < job->steps[step].spec->cpu_milli || free <= best_free)
			continue;
		best = executor;
		best_free = free;
	}
	if (best)
		best->reserved_for = job;
}

/* Starts what it can of a step. */
static void place_step(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
		       int64_t now_ms, GHashTable *awaited)
{
	struct cell_step *at = &job->steps[step];

	for (uint32_t index = 0; index < at->spec->count; index++) {
		struct executor *executor;
		double speed;

		if (at->tasks[index].state != TASK_READY || now_ms < at->tasks[index].not_before_ms)
			continue;
		executor = pick(cell, job, step, &at->tasks[index], now_ms, &speed);
		if (!executor && at->spec->long_running)
			reserve(cell, job, step, now_ms);
		if (!executor)
			return;
		if (should_wait(cell, job, step, now_ms, speed, awaited))
			continue;
		start_task(cell, job, step, index, executor, now_ms);
	}
}

/* True when every run of a former owner's orders is known, and it can give no more. */
static bool all_answered(const struct waxwing_cell *cell)
{
	if (cell->options.list_incomplete)
		return false;
	for (guint i = 0; i < cell->list->len; i++) {
		const struct executor *executor = cell->list->pdata[i];

		if (!executor->listed)
			return false;
	}
	return true;
}

void cell_place(struct waxwing_cell *cell, int64_t now_ms)
{
	GHashTable *awaited;
	GSequenceIter *iter = g_sequence_get_begin_iter(cell->ready);
	bool sure;

	if (g_sequence_iter_is_end(iter))
		return;
	for (guint i = 0; i < cell->list->len; i++)
		((struct executor *)cell->list->pdata[i])->reserved_for = NULL;
	awaited = g_hash_table_new(NULL, NULL);
	sure = all_answered(cell);
	while (!g_sequence_iter_is_end(iter)) {
		struct cell_job *job = g_sequence_get(iter);

		iter = g_sequence_iter_next(iter);
		if (!sure && now_ms < job->unsure_until_ms)
			continue;
		for (uint32_t step = 0; step < job->spec->n_steps && job->ready; step++)
			if (job->steps[step].open)
				place_step(cell, job, step, now_ms, awaited);
	}
	g_hash_table_destroy(awaited);
}

double cell_capacity(const struct waxwing_cell *cell, const char *service, int64_t now_ms)
{
	double cores = 0;

	for (guint i = 0; i < cell->list->len; i++) {
		const struct executor *executor = cell->list->pdata[i];

		if (executor_usable(executor, now_ms) &&
		    (!service || strcmp(executor->service, service) == 0))
			cores += executor->capacity.cpu_milli / 1000.0 * executor->speed.value;
	}
	return cores;
}

double cell_wait_ms(const struct waxwing_cell *cell, const char *service, int64_t now_ms)
{
	double capacity = cell_capacity(cell, service, now_ms);

	return capacity > 0 ? cell->queued_core_ms / capacity : 0;
}
