#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"
#include "log.h"

/*
 * Executors whose speeds differ by less than this share count as equal; the fuller one is
 * picked, to avoid fragmentation.
 */
#define SPEED_TOLERANCE 0.04
/* A task waits for a busy executor only if that executor is faster by at least this factor. */
#define MIN_WAIT_SPEEDUP 1.25
/*
 * Speed factor of executors where a serving task would preempt backfill tasks, so that they are
 * picked last.
 */
#define PREEMPTION_SPEED_FACTOR 0.1
/* The same for an executor where the task failed last. */
#define FAILED_SPEED_FACTOR 0.05
/*
 * After a network partition, reachable executors list their runs within this time of the
 * first list: they are polled every 200 ms, and an answer takes time.
 */
#define EXECUTOR_LISTS_WAIT_MS 600

/*
 * An executor with this many ends whose records are not stored gets no more runs of durable jobs.
 * It lists 500 ends at a time, and later ones only once these are acknowledged.
 */
#define MAX_PENDING_ENDS_DURABLE 250

bool executor_fits(const struct executor *executor, const struct waxwing_capacity *needs)
{
	return executor->allocated.cpu_milli + needs->cpu_milli <= executor->capacity.cpu_milli &&
	       executor->allocated.mem_mb + needs->mem_mb <= executor->capacity.mem_mb &&
	       executor->allocated.gpu + needs->gpu <= executor->capacity.gpu;
}

/* Adopted runs, whose needs were unknown when other runs were started, can exceed the capacity. */
static bool is_over_capacity(const struct executor *executor)
{
	static const struct waxwing_capacity nothing;

	return !executor_fits(executor, &nothing);
}

static bool meets_requirements(const struct executor *executor, const Waxwing__JobStep *step)
{
	return step->cpu_milli <= executor->capacity.cpu_milli &&
	       step->mem_mb <= executor->capacity.mem_mb && step->gpu <= executor->capacity.gpu &&
	       (!step->requirement || executor_has_label(executor, step->requirement));
}

bool step_matches_executor(const struct executor *executor, const Waxwing__Job *spec,
			   const Waxwing__JobStep *step)
{
	return strcmp(executor->service, spec->service) == 0 && meets_requirements(executor, step);
}

/* Returns how many tasks of a step fit into the @available capacity of one executor. */
uint32_t count_fitting_tasks(const struct waxwing_capacity *available, const Waxwing__JobStep *step)
{
	uint32_t count = step->anti_affinity ? step->anti_affinity : UINT32_MAX;

	if (step->cpu_milli)
		count = MIN(count, available->cpu_milli / step->cpu_milli);
	if (step->mem_mb)
		count = MIN(count, available->mem_mb / step->mem_mb);
	if (step->gpu)
		count = MIN(count, available->gpu / step->gpu);
	return count;
}

bool step_fits_somewhere(const struct waxwing_cell *cell, const Waxwing__Job *spec,
			 const Waxwing__JobStep *step)
{
	if (step->gang)
		return gang_fits_somewhere(cell, spec, step);
	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		if (!executor->removed && step_matches_executor(executor, spec, step))
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

		count += run->job == job && run->id.step == step;
	}
	return count;
}

bool executor_allowed(const struct executor *executor, const struct cell_job *job, uint32_t step)
{
	const struct cell_step *cell_step = &job->steps[step];
	const Waxwing__JobStep *spec = cell_step->spec;

	if (!step_matches_executor(executor, job->spec, spec))
		return false;
	if (cell_step->rack_required && g_strcmp0(executor->rack, cell_step->rack) != 0)
		return false;
	if (executor->reserved_for && executor->reserved_for != job)
		return false;
	if (!permits_allow(job, step, executor) || !backfill_allowed(executor, spec))
		return false;
	if (job->durable && executor->pending_acks->len >= MAX_PENDING_ENDS_DURABLE)
		return false;
	return !spec->anti_affinity || runs_of_step(executor, job, step) < spec->anti_affinity;
}

/* Returns the work that a task of the step does per millisecond on the executor. */
double speed_for(const struct waxwing_cell *cell, const struct executor *executor,
		 const struct cell_job *job, uint32_t step)
{
	double speed =
		cold_speed(executor, executor->cold) / step_far_factor(cell, executor, job, step);

	if (job->steps[step].spec->target_ms && backfill_cpu_milli(executor))
		speed *= PREEMPTION_SPEED_FACTOR;
	return speed;
}

/*
 * Compares executors of equal speed: the fuller one is better; for backfill tasks, the one with
 * most spare CPU.
 */
static bool is_worse_fit(const struct executor *executor, const struct executor *best,
			 const Waxwing__JobStep *spec)
{
	uint32_t unused = executor->capacity.cpu_milli - executor->allocated.cpu_milli;
	uint32_t best_unused = best->capacity.cpu_milli - best->allocated.cpu_milli;

	if (!spec->fills)
		return unused >= best_unused;
	return unused - backfill_cpu_milli(executor) <= best_unused - backfill_cpu_milli(best);
}

struct executor *pick_executor(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			       const struct task *task, int64_t now_ms, double *speed)
{
	const Waxwing__JobStep *spec = job->steps[step].spec;
	struct waxwing_capacity needs = step_needs(spec);
	struct executor *best = NULL;
	double best_speed = 0; /* reduced if the task failed there */

	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];
		double executor_speed;
		bool failed;

		if (!executor_fits(executor, &needs) || !executor_usable(executor, now_ms) ||
		    !executor_allowed(executor, job, step))
			continue;
		if (!executor_lease_suits(cell, executor, job, now_ms) ||
		    !cold_may_start(executor, now_ms))
			continue;
		if (!executor_may_start(cell, executor, job, now_ms)) {
			executor->hold_requested |= !executor_accepted_recently(executor, now_ms);
			continue;
		}
		failed = task->last_failed_on && strcmp(task->last_failed_on, executor->id) == 0;
		if (failed && now_ms < task->avoid_until_ms)
			continue;
		executor_speed = speed_for(cell, executor, job, step);
		if (failed)
			executor_speed *= FAILED_SPEED_FACTOR;
		if (best && executor_speed < best_speed * (1 - SPEED_TOLERANCE))
			continue;
		if (best && executor_speed < best_speed * (1 + SPEED_TOLERANCE) &&
		    is_worse_fit(executor, best, spec))
			continue;
		best = executor;
		best_speed = executor_speed;
	}
	*speed = best ? speed_for(cell, best, job, step) : 0;
	return best;
}

/* Returns the expected time until the run ends; a run that takes longer counts as nearly done. */
double run_remaining_ms(const struct cell_run *run, int64_t now_ms)
{
	double total = step_work_ms(run->job, run->job->steps[run->id.step].spec) /
		       cold_speed(run->executor, run->cold) * run->far_factor;

	return MAX(total - (double)(now_ms - run->started_ms), total / 8);
}

/* Returns the estimated time until the first run on the executor ends, in milliseconds. */
static double first_end_ms(const struct executor *executor, int64_t now_ms)
{
	double first = G_MAXDOUBLE;

	for (guint i = 0; i < executor->runs->len; i++) {
		const struct cell_run *run = executor->runs->pdata[i];

		if (!run->job || run->job->ended)
			return 0;
		if (!run_is_long_running(run))
			first = MIN(first, run_remaining_ms(run, now_ms));
	}
	return first;
}

/*
 * Returns true if the task would miss its due time at this speed, but would end earlier and in time
 * on a faster executor that is busy now. Adds that executor to @awaited, so that no other task
 * waits for it.
 */
static bool should_wait(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			int64_t now_ms, double speed, GHashTable *awaited)
{
	const Waxwing__JobStep *spec = job->steps[step].spec;
	double work = step_work_ms(job, spec);
	double left_ms = (double)(job->due_ms - now_ms);

	if (job->late || spec->long_running || work / speed <= left_ms)
		return false;
	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];
		double executor_speed = speed_for(cell, executor, job, step);
		double end_ms;

		if (executor_speed < speed * MIN_WAIT_SPEEDUP || !executor->runs->len ||
		    g_hash_table_contains(awaited, executor) ||
		    !executor_usable(executor, now_ms) || !executor_allowed(executor, job, step))
			continue;
		end_ms = first_end_ms(executor, now_ms) + work / executor_speed;
		if (end_ms < work / speed && end_ms <= left_ms) {
			g_hash_table_add(awaited, executor);
			return true;
		}
	}
	return false;
}

struct cell_run *run_allocate(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			      uint32_t index, uint32_t number, struct executor *executor,
			      int64_t now_ms)
{
	struct waxwing_run_id id = { job->id, job_occurrence(job), step, index, number };
	struct waxwing_capacity needs = step_needs(job->steps[step].spec);
	struct cell_run *run = run_create(cell, executor, &id, &needs);

	run->job = job;
	run->far_factor = step_far_factor(cell, executor, job, step);
	run->state = RUN_STARTING;
	run->start_unconfirmed = true;
	run->started_ms = now_ms;
	run->start_sent_ms = now_ms;
	waxwing_breaker_task_started(&executor->breaker);
	cold_run_added(cell, run, now_ms);
	return run;
}

static void send_start_order(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms)
{
	struct cell_job *job = run->job;
	struct executor *executor = run->executor;
	struct waxwing_run_order order = {
		.run_id = run->id,
		.spec = job->spec->spec,
		.checkpoint = checkpoint_task(job, run->id.step, run->id.index)->checkpoint,
		.ticket = permits_ticket(job, run->id.step, executor),
		.lease_expiry_ms = executor_extend_lease(cell, executor, now_ms),
	};
	struct waxwing_order_target target;

	executor_target(cell, executor, &target);
	target.new_connection = run->start_resent;
	run->start_token = target.fencing_token;
	cell->options.ops->start(cell->options.data, &target, &order);
}

void run_send_start(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms)
{
	struct cell_job *job = run->job;
	struct executor *executor = run->executor;
	struct task *task = run_task(run);

	if (job->steps[run->id.step].spec->target_ms)
		backfill_preempt(cell, executor, now_ms);
	if (!job->started)
		waxwing_histogram_add(&cell->start_wait_ms, now_ms - job->arrived_ms);
	task->last_run = run->id.run;
	task->run = run;
	job_task_assigned(cell, job, run->id.step, run->id.index);
	cell->starts++;
	waxwing_event("run_started",
		      "job=%016llx step=%u index=%u run=%u executor=%s speed_pct=%d due_in_ms=%lld "
		      "ready_jobs=%d",
		      (unsigned long long)job->id, run->id.step, run->id.index, run->id.run,
		      executor->id, (int)(executor->speed.value * 100),
		      (long long)(job->due_ms - now_ms), g_sequence_get_length(cell->ready_jobs));
	send_start_order(cell, run, now_ms);
}

bool run_resend_start(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms)
{
	const struct executor *executor = run->executor;

	if (run->start_resent || run->state != RUN_STARTING || !run->job || run->job->ended)
		return false;
	/* an executor that has restarted does not know the token of another owner */
	if (!cell_is_owned(cell, now_ms))
		return false;
	if (executor->draining || executor->removed || executor->unresponsive ||
	    !evacuation_allows_starts(cell, now_ms) ||
	    !permits_allow(run->job, run->id.step, executor))
		return false;
	run->start_resent = true;
	run->start_sent_ms = now_ms;
	cell->starts_resent++;
	waxwing_event("start_resent", "job=%016llx step=%u index=%u run=%u executor=%s",
		      (unsigned long long)run->id.job, run->id.step, run->id.index, run->id.run,
		      executor->id);
	send_start_order(cell, run, now_ms);
	return true;
}

/* Picks the rack where most of the step's tasks fit now. */
void choose_rack(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms)
{
	struct cell_step *cell_step = &job->steps[step];
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	const char *best = NULL;
	guint best_tasks = 0;

	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];
		struct waxwing_capacity available = {
			executor->capacity.cpu_milli - executor->allocated.cpu_milli,
			executor->capacity.mem_mb - executor->allocated.mem_mb,
			executor->capacity.gpu - executor->allocated.gpu,
		};
		guint tasks = GPOINTER_TO_UINT(g_hash_table_lookup(racks, executor->rack));

		if (!executor_usable(executor, now_ms) || is_over_capacity(executor) ||
		    !step_matches_executor(executor, job->spec, cell_step->spec))
			continue;
		tasks += MIN(count_fitting_tasks(&available, cell_step->spec),
			     cell_step->spec->count);
		g_hash_table_insert(racks, executor->rack, GUINT_TO_POINTER(tasks));
		if (tasks <= best_tasks)
			continue;
		best = executor->rack;
		best_tasks = tasks;
	}
	g_free(cell_step->rack);
	cell_step->rack = g_strdup(best);
	g_hash_table_destroy(racks);
}

bool step_can_start(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		    int64_t now_ms)
{
	static const struct task any_task = { .state = TASK_READY };
	double speed;

	return pick_executor(cell, job, step, &any_task, now_ms, &speed) != NULL;
}

/*
 * Reserves for the job the executor with the highest capacity for the step, so that capacity
 * becomes free as runs end there. Reservations last for one call of cell_place() and are made in
 * the order of service. Returns how many of the step's tasks will fit there.
 */
uint32_t reserve_executor(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			  int64_t now_ms)
{
	struct executor *best = NULL;
	uint32_t best_tasks = 0;

	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];
		struct waxwing_capacity available = executor->capacity;
		uint32_t tasks;

		if (!executor_usable(executor, now_ms) || executor->reserved_for ||
		    !executor_allowed(executor, job, step))
			continue;
		for (guint k = 0; k < executor->runs->len; k++) {
			const struct cell_run *run = executor->runs->pdata[k];

			if (!run_is_long_running(run))
				continue;
			available.cpu_milli -= MIN(run->needs.cpu_milli, available.cpu_milli);
			available.mem_mb -= MIN(run->needs.mem_mb, available.mem_mb);
			available.gpu -= MIN(run->needs.gpu, available.gpu);
		}
		tasks = count_fitting_tasks(&available, job->steps[step].spec);
		if (tasks <= best_tasks)
			continue;
		best = executor;
		best_tasks = tasks;
	}
	if (best)
		best->reserved_for = job;
	return best_tasks;
}

/* Returns the number of the step's ready tasks from @first on. */
static uint32_t count_ready(const struct cell_step *step, uint32_t first)
{
	uint32_t count = 0;

	for (uint32_t index = first; index < step->spec->count; index++)
		count += step->tasks[index].state == TASK_READY;
	return count;
}

/* Starts as many tasks of the step as possible. */
static void place_step(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
		       int64_t now_ms, GHashTable *awaited)
{
	struct cell_step *cell_step = &job->steps[step];

	permits_expire(cell_step, now_ms);
	if (cell_step->spec->gang) {
		gang_place(cell, job, step, now_ms);
		return;
	}
	if (cell_step->spec->same_rack && !cell_step->rack)
		choose_rack(cell, job, step, now_ms);
	for (uint32_t index = 0; index < cell_step->spec->count; index++) {
		struct executor *executor;
		double speed;

		if (cell_step->tasks[index].state != TASK_READY ||
		    now_ms < cell_step->tasks[index].not_before_ms)
			continue;
		executor = pick_executor(cell, job, step, &cell_step->tasks[index], now_ms, &speed);
		if (!executor && cell_step->spec->long_running)
			reserve_executor(cell, job, step, now_ms);
		if (!executor) {
			near_add_ahead(cell, cell_step, count_ready(cell_step, index));
			permits_request(cell, job, step, now_ms);
			return;
		}
		if (step_wanted_rack(cell_step) ?
			    near_should_wait(cell, job, step, index, executor, speed, now_ms) :
			    should_wait(cell, job, step, now_ms, speed, awaited))
			continue;
		near_wait_ended(cell, job, step, index, executor, now_ms);
		run_send_start(cell,
			       run_allocate(cell, job, step, index,
					    cell_step->tasks[index].last_run + 1, executor, now_ms),
			       now_ms);
	}
}

/*
 * Returns true if all runs that former owners started since options.orderly_since are known, whether
 * they are running or have ended, and no more can start.
 */
static bool all_former_runs_known(const struct waxwing_cell *cell)
{
	if (cell->options.list_incomplete)
		return false;
	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		if (!executor->runs_listed)
			return false;
	}
	return true;
}

/* Returns true if an executor may have ends that it has not listed yet. */
static bool has_hidden_ends(const struct waxwing_cell *cell)
{
	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		if (executor->ends_truncated && !executor->unresponsive)
			return true;
	}
	return false;
}

/*
 * Returns true while a former owner may have started runs of the job that this owner does not know
 * yet, whether they are running or have ended. After a network partition, executors return to the
 * platform's list and answer holds one after another.
 */
static bool may_have_former_runs(const struct waxwing_cell *cell, const struct cell_job *job,
				 int64_t now_ms)
{
	if (!job->former_runs_until_ms)
		return false;
	return now_ms < job->former_runs_until_ms || has_hidden_ends(cell) ||
	       now_ms - cell->first_runs_listed_ms < EXECUTOR_LISTS_WAIT_MS ||
	       (cell->last_appeared_ms &&
		now_ms - cell->last_appeared_ms < EXECUTOR_ENTRIES_WAIT_MS);
}

void cell_place(struct waxwing_cell *cell, int64_t now_ms)
{
	GHashTable *awaited;
	GSequenceIter *iter = g_sequence_get_begin_iter(cell->ready_jobs);
	bool all_known;

	if (g_sequence_iter_is_end(iter) || !evacuation_allows_starts(cell, now_ms))
		return;
	for (guint i = 0; i < cell->executors->len; i++)
		((struct executor *)cell->executors->pdata[i])->reserved_for = NULL;
	cell->placement++;
	awaited = g_hash_table_new(NULL, NULL);
	all_known = all_former_runs_known(cell);
	while (!g_sequence_iter_is_end(iter)) {
		struct cell_job *job = g_sequence_get(iter);

		iter = g_sequence_iter_next(iter);
		if ((!all_known || job->of_earlier_owner) &&
		    may_have_former_runs(cell, job, now_ms))
			continue;
		for (uint32_t step = 0; step < job->spec->n_steps && job->ready_tasks; step++)
			if (job->steps[step].unblocked)
				place_step(cell, job, step, now_ms, awaited);
	}
	g_hash_table_destroy(awaited);
}

double cell_capacity(const struct waxwing_cell *cell, const char *service, int64_t now_ms)
{
	double cores = 0;

	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		if (executor_usable(executor, now_ms) &&
		    (!service || strcmp(executor->service, service) == 0))
			cores += executor->capacity.cpu_milli / 1000.0 *
				 cold_speed(executor, executor->cold);
	}
	return cores;
}

double cell_expected_wait_ms(const struct waxwing_cell *cell, const char *service, int64_t now_ms)
{
	double capacity = cell_capacity(cell, service, now_ms);

	return capacity > 0 ? cell->queued_core_ms / capacity : 0;
}
