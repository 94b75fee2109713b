#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"

/* A gang that has waited this long for capacity gets executors reserved as other runs end. */
#define GANG_RESERVE_AFTER_MS 300
/*
 * How long executors are reserved at a time. If a run does not end, other jobs get the executors for
 * as long before they are reserved again.
 */
#define GANG_RESERVE_MS 5000

void gang_stop(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms)
{
	struct cell_step *cell_step = &job->steps[step];

	for (uint32_t index = 0; index < cell_step->spec->count; index++) {
		struct cell_run *run = cell_step->tasks[index].run;

		if (run && run->state != RUN_STOPPING)
			run_stop(cell, run, now_ms);
	}
}

/* Returns true if no task of the gang runs and all may start. */
static bool all_tasks_ready(const struct cell_step *cell_step, int64_t now_ms)
{
	for (uint32_t index = 0; index < cell_step->spec->count; index++)
		if (cell_step->tasks[index].state != TASK_READY ||
		    now_ms < cell_step->tasks[index].not_before_ms)
			return false;
	return true;
}

/* All members of a gang start with the same run number. */
static uint32_t next_run_number(const struct cell_step *cell_step)
{
	uint32_t last = 0;

	for (uint32_t index = 0; index < cell_step->spec->count; index++)
		last = MAX(last, cell_step->tasks[index].last_run);
	return last + 1;
}

/* Allocates a run for each member. Returns null, with none allocated, if not all of them fit. */
static GPtrArray *allocate_runs(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
				int64_t now_ms)
{
	struct cell_step *cell_step = &job->steps[step];
	uint32_t number = next_run_number(cell_step);
	GPtrArray *runs = g_ptr_array_new();

	for (uint32_t index = 0; index < cell_step->spec->count; index++) {
		double speed;
		struct executor *executor =
			pick_executor(cell, job, step, &cell_step->tasks[index], now_ms, &speed);

		if (executor) {
			g_ptr_array_add(runs, run_allocate(cell, job, step, index, number, executor,
							   now_ms));
			continue;
		}
		for (guint i = runs->len; i-- > 0;) {
			cold_run_withdrawn(cell, runs->pdata[i]);
			run_free(cell, runs->pdata[i]);
		}
		g_ptr_array_free(runs, TRUE);
		return NULL;
	}
	return runs;
}

/* Reserves executors for all members, or none: a gang that cannot be placed must not hold any. */
static void reserve_executors(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			      int64_t now_ms)
{
	uint32_t left = job->steps[step].spec->count;
	uint32_t reserved = 1;

	while (left && reserved) {
		reserved = reserve_executor(cell, job, step, now_ms);
		left -= MIN(left, reserved);
	}
	for (guint i = 0; left && i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];

		if (executor->reserved_for == job)
			executor->reserved_for = NULL;
	}
}

static bool may_reserve(const struct cell_job *job, int64_t now_ms)
{
	int64_t waited_ms = now_ms - job->arrived_ms - GANG_RESERVE_AFTER_MS;

	return waited_ms >= 0 && waited_ms / GANG_RESERVE_MS % 2 == 0;
}

/* Allocates on a single rack if required, until the job is past its due time; then on any racks. */
static GPtrArray *allocate_on_racks(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
				    int64_t now_ms)
{
	struct cell_step *cell_step = &job->steps[step];
	GPtrArray *runs;

	if (cell_step->spec->same_rack)
		choose_rack(cell, job, step, now_ms);
	cell_step->rack_required = cell_step->spec->same_rack;
	runs = allocate_runs(cell, job, step, now_ms);
	cell_step->rack_required = false;
	if (!runs && cell_step->spec->same_rack && now_ms > job->due_ms)
		runs = allocate_runs(cell, job, step, now_ms);
	return runs;
}

/* Starts all members at once. If only some are running, stops those first. */
void gang_place(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms)
{
	GPtrArray *runs;

	if (!all_tasks_ready(&job->steps[step], now_ms)) {
		gang_stop(cell, job, step, now_ms);
		return;
	}
	runs = allocate_on_racks(cell, job, step, now_ms);
	if (!runs) {
		permits_request(cell, job, step, now_ms);
		if (may_reserve(job, now_ms))
			reserve_executors(cell, job, step, now_ms);
		return;
	}
	for (guint i = 0; i < runs->len; i++)
		run_send_start(cell, runs->pdata[i], now_ms);
	g_ptr_array_free(runs, TRUE);
}

bool gang_fits_somewhere(const struct waxwing_cell *cell, const Waxwing__Job *spec,
			 const Waxwing__JobStep *step)
{
	uint64_t tasks = 0;

	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		if (!executor->removed && step_matches_executor(executor, spec, step))
			tasks += count_fitting_tasks(&executor->capacity, step);
	}
	return tasks >= step->count;
}
