#include "cell_private.h"

#define LOG_PART "cell"
#include "event_log.h"
#include "log.h"

/* Executors whose speeds differ by less are alike: the fuller one is taken, to keep room whole. */
#define ALIKE_SPEED 0.04
/* A task waits for a faster executor only if that is faster by so much. */
#define WORTH_WAITING_SPEED 1.25
/* Executors where tasks that fill would have to stop for one that serves are taken last. */
#define MAKE_WAY_SPEED 0.1
/* Executors that can be reached answer within this after the first did: a look each 200 ms, and its time. */
#define LISTS_COME_MS 600
/* Entries that lapsed during a cut are back within two seconds of its end, by the protocol; and a reading of them. */
#define ENTRIES_COME_MS 2500

static bool fits(const struct executor *executor, const struct waxwing_capacity *needs)
{
	return executor->used.cpu_milli + needs->cpu_milli <= executor->capacity.cpu_milli &&
	       executor->used.mem_mb + needs->mem_mb <= executor->capacity.mem_mb &&
	       executor->used.gpu + needs->gpu <= executor->capacity.gpu;
}

/* Runs whose needs were not known when others were started can bring it there. */
static bool is_over_capacity(const struct executor *executor)
{
	static const struct waxwing_capacity nothing;

	return !fits(executor, &nothing);
}

static bool could_fit(const struct executor *executor, const Waxwing__JobStep *step)
{
	return step->cpu_milli <= executor->capacity.cpu_milli &&
	       step->mem_mb <= executor->capacity.mem_mb && step->gpu <= executor->capacity.gpu &&
	       (!step->requirement || executor_has_label(executor, step->requirement));
}

bool step_could_use(const struct executor *executor, const Waxwing__Job *spec,
		    const Waxwing__JobStep *step)
{
	return strcmp(executor->service, spec->service) == 0 && could_fit(executor, step);
}

/* So many tasks of a step fit into the room on one executor. */
uint32_t tasks_that_fit(const struct waxwing_capacity *room, const Waxwing__JobStep *step)
{
	uint32_t count = step->anti_affinity ? step->anti_affinity : UINT32_MAX;

	if (step->cpu_milli)
		count = MIN(count, room->cpu_milli / step->cpu_milli);
	if (step->mem_mb)
		count = MIN(count, room->mem_mb / step->mem_mb);
	if (step->gpu)
		count = MIN(count, room->gpu / step->gpu);
	return count;
}

bool step_fits_somewhere(const struct waxwing_cell *cell, const Waxwing__Job *spec,
			 const Waxwing__JobStep *step)
{
	if (step->gang)
		return gang_fits_somewhere(cell, spec, step);
	for (guint i = 0; i < cell->list->len; i++) {
		const struct executor *executor = cell->list->pdata[i];

		if (!executor->removed && step_could_use(executor, spec, step))
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
	const struct cell_step *at = &job->steps[step];
	const Waxwing__JobStep *spec = at->spec;

	if (!step_could_use(executor, job->spec, spec))
		return false;
	if (at->rack_only && g_strcmp0(executor->rack, at->rack) != 0)
		return false;
	if (executor->reserved_for && executor->reserved_for != job)
		return false;
	if (!permits_allow(job, step, executor) || !fill_allowed(executor, spec))
		return false;
	return !spec->anti_affinity || runs_of_step(executor, job, step) < spec->anti_affinity;
}

/* Work a task gets done in a millisecond there. */
static double speed_for(const struct waxwing_cell *cell, const struct executor *executor,
			const struct cell_step *step)
{
	const char *data = step->spec->affinity;
	double speed = executor->speed.value;

	if (data && data[0] && strcmp(data, executor->rack) != 0)
		speed /= cell->options.far_factor;
	if (step->rack && strcmp(step->rack, executor->rack) != 0)
		speed /= cell->options.far_factor;
	/* what fills there would have to make way */
	if (step->spec->target_ms && fill_used_milli(executor))
		speed *= MAKE_WAY_SPEED;
	return speed;
}

/* Of executors that are alike, the fuller one is taken; for tasks that fill, the one that leaves them most. */
static bool is_worse_fit(const struct executor *executor, const struct executor *best,
			 const Waxwing__JobStep *spec)
{
	uint32_t here = executor->capacity.cpu_milli - executor->used.cpu_milli;
	uint32_t there = best->capacity.cpu_milli - best->used.cpu_milli;

	if (!spec->fills)
		return here >= there;
	return here - fill_used_milli(executor) <= there - fill_used_milli(best);
}

struct executor *pick_executor(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
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
		here = speed_for(cell, executor, &job->steps[step]);
		if (best && here < best_speed * (1 - ALIKE_SPEED))
			continue;
		if (best && here < best_speed * (1 + ALIKE_SPEED) &&
		    is_worse_fit(executor, best, spec))
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
		double there = speed_for(cell, executor, &job->steps[step]);
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

struct cell_run *take_place(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			    uint32_t index, uint32_t number, struct executor *executor,
			    int64_t now_ms)
{
	struct waxwing_run_name name = { job->id, job_occurrence(job), step, index, number };
	struct waxwing_capacity needs = step_needs(job->steps[step].spec);
	struct cell_run *run = run_create(cell, executor, &name, &needs);

	run->job = job;
	run->state = RUN_STARTING;
	run->started_ms = now_ms;
	waxwing_breaker_start(&executor->breaker);
	return run;
}

void give_start(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms)
{
	struct cell_job *job = run->job;
	struct executor *executor = run->executor;
	struct task *task = run_task(run);
	struct waxwing_run_order order = {
		.name = run->name,
		.spec = job->spec->spec,
		.checkpoint = checkpoint_task(job, run->name.step, run->name.index)->checkpoint,
		.ticket = permits_ticket(job, run->name.step, executor),
		.until_ms = executor_until(cell, executor, now_ms),
	};
	struct waxwing_order_target target;

	if (job->steps[run->name.step].spec->target_ms)
		fill_make_way(cell, executor, now_ms);
	if (!job->started)
		waxwing_histogram_add(&cell->start_wait_ms, now_ms - job->arrived_ms);
	task->last_run = run->name.run;
	task->run = run;
	job_task_taken(cell, job, run->name.step, run->name.index);
	executor_lease_given(cell, executor, now_ms);
	cell->starts++;
	waxwing_event("run_started",
		      "job=%016llx step=%u index=%u run=%u executor=%s speed_pct=%d due_in_ms=%lld "
		      "ready_jobs=%d",
		      (unsigned long long)job->id, run->name.step, run->name.index, run->name.run,
		      executor->id, (int)(executor->speed.value * 100),
		      (long long)(job->due_ms - now_ms), g_sequence_get_length(cell->ready));
	executor_target(cell, executor, &target);
	cell->options.ops->start(cell->options.data, &target, &order);
}

/* The rack on which most of the step's tasks find room now. */
void choose_rack(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms)
{
	struct cell_step *at = &job->steps[step];
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	const char *best = NULL;
	guint best_places = 0;

	for (guint i = 0; i < cell->list->len; i++) {
		const struct executor *executor = cell->list->pdata[i];
		struct waxwing_capacity room = {
			executor->capacity.cpu_milli - executor->used.cpu_milli,
			executor->capacity.mem_mb - executor->used.mem_mb,
			executor->capacity.gpu - executor->used.gpu,
		};
		guint places = GPOINTER_TO_UINT(g_hash_table_lookup(racks, executor->rack));

		if (!executor_usable(executor, now_ms) || is_over_capacity(executor) ||
		    !step_could_use(executor, job->spec, at->spec))
			continue;
		places += MIN(tasks_that_fit(&room, at->spec), at->spec->count);
		g_hash_table_insert(racks, executor->rack, GUINT_TO_POINTER(places));
		if (places <= best_places)
			continue;
		best = executor->rack;
		best_places = places;
	}
	g_free(at->rack);
	at->rack = g_strdup(best);
	g_hash_table_destroy(racks);
}

bool step_has_room(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		   int64_t now_ms)
{
	static const struct task any = { .state = TASK_READY };
	double speed;

	return pick_executor(cell, job, step, &any, now_ms, &speed) != NULL;
}

/*
 * Keeps other jobs off the executor that has most room for the step, so that the room grows as what runs
 * there ends. Reservations are made anew in each round, in the order of service. Returns how many of the
 * step's tasks will find room there.
 */
uint32_t reserve_executor(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			  int64_t now_ms)
{
	struct executor *best = NULL;
	uint32_t most = 0;

	for (guint i = 0; i < cell->list->len; i++) {
		struct executor *executor = cell->list->pdata[i];
		struct waxwing_capacity room = executor->capacity;
		uint32_t places;

		if (!executor_usable(executor, now_ms) || executor->reserved_for ||
		    !is_allowed(executor, job, step))
			continue;
		for (guint k = 0; k < executor->runs->len; k++) {
			const struct cell_run *run = executor->runs->pdata[k];

			if (!run_lasts(run))
				continue;
			room.cpu_milli -= MIN(run->needs.cpu_milli, room.cpu_milli);
			room.mem_mb -= MIN(run->needs.mem_mb, room.mem_mb);
			room.gpu -= MIN(run->needs.gpu, room.gpu);
		}
		places = tasks_that_fit(&room, job->steps[step].spec);
		if (places <= most)
			continue;
		best = executor;
		most = places;
	}
	if (best)
		best->reserved_for = job;
	return most;
}

/* Starts what it can of a step. */
static void place_step(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
		       int64_t now_ms, GHashTable *awaited)
{
	struct cell_step *at = &job->steps[step];

	permits_expire(at, now_ms);
	if (at->spec->gang) {
		gang_place(cell, job, step, now_ms);
		return;
	}
	if (at->spec->same_rack && !at->rack)
		choose_rack(cell, job, step, now_ms);
	for (uint32_t index = 0; index < at->spec->count; index++) {
		struct executor *executor;
		double speed;

		if (at->tasks[index].state != TASK_READY || now_ms < at->tasks[index].not_before_ms)
			continue;
		executor = pick_executor(cell, job, step, &at->tasks[index], now_ms, &speed);
		if (!executor && at->spec->long_running)
			reserve_executor(cell, job, step, now_ms);
		if (!executor) {
			permits_want(cell, job, step, now_ms);
			return;
		}
		if (should_wait(cell, job, step, now_ms, speed, awaited))
			continue;
		give_start(cell,
			   take_place(cell, job, step, index, at->tasks[index].last_run + 1,
				      executor, now_ms),
			   now_ms);
	}
}

/* True when every run of a former owner's orders is known, and it can give no more. */
static bool all_listed(const struct waxwing_cell *cell)
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

/*
 * True while tasks of the job may run on a former owner's orders, or have ended without its successor's
 * knowledge. When a cut ends, executors are listed, and answer, one after the other.
 */
static bool is_unsure(const struct waxwing_cell *cell, const struct cell_job *job, int64_t now_ms)
{
	if (!job->unsure_until_ms)
		return false;
	return now_ms < job->unsure_until_ms || now_ms - cell->first_listed_ms < LISTS_COME_MS ||
	       (cell->appeared_ms && now_ms - cell->appeared_ms < ENTRIES_COME_MS);
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
	sure = all_listed(cell);
	while (!g_sequence_iter_is_end(iter)) {
		struct cell_job *job = g_sequence_get(iter);

		iter = g_sequence_iter_next(iter);
		if (!sure && is_unsure(cell, job, now_ms))
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
