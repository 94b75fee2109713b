#include "cell_private.h"

#define LOG_PART "cell"
#include "event_log.h"

/* A gang that has waited so long for room has it kept free as other runs end. */
#define GANG_PATIENCE_MS 300

void gang_break(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms)
{
	struct cell_step *at = &job->steps[step];

	for (uint32_t index = 0; index < at->spec->count; index++) {
		struct cell_run *run = at->tasks[index].run;

		if (run && run->state != RUN_STOPPING)
			run_stop(cell, run, now_ms);
	}
}

/* True when none of them runs, and all may start. */
static bool all_are_ready(const struct cell_step *at, int64_t now_ms)
{
	for (uint32_t index = 0; index < at->spec->count; index++)
		if (at->tasks[index].state != TASK_READY || now_ms < at->tasks[index].not_before_ms)
			return false;
	return true;
}

/* Members of one gang's run have the same number. */
static uint32_t next_number(const struct cell_step *at)
{
	uint32_t last = 0;

	for (uint32_t index = 0; index < at->spec->count; index++)
		last = MAX(last, at->tasks[index].last_run);
	return last + 1;
}

/* Takes a place for each member; null when there is not one for all, and none is taken then. */
static GPtrArray *take_places(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			      int64_t now_ms)
{
	struct cell_step *at = &job->steps[step];
	uint32_t number = next_number(at);
	GPtrArray *runs = g_ptr_array_new();

	for (uint32_t index = 0; index < at->spec->count; index++) {
		double speed;
		struct executor *executor =
			pick_executor(cell, job, step, &at->tasks[index], now_ms, &speed);

		if (executor) {
			g_ptr_array_add(
				runs, take_place(cell, job, step, index, number, executor, now_ms));
			continue;
		}
		for (guint i = 0; i < runs->len; i++)
			run_free(cell, runs->pdata[i]);
		g_ptr_array_free(runs, TRUE);
		return NULL;
	}
	return runs;
}

static void keep_room(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		      int64_t now_ms)
{
	uint32_t left = job->steps[step].spec->count;

	while (left) {
		uint32_t held = reserve_executor(cell, job, step, now_ms);

		if (!held)
			return;
		left -= MIN(left, held);
	}
}

/* On one rack while that ends in time, else on any. */
static GPtrArray *find_places(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			      int64_t now_ms)
{
	struct cell_step *at = &job->steps[step];
	GPtrArray *runs;

	if (at->spec->same_rack)
		choose_rack(cell, job, step, now_ms);
	at->rack_only = at->spec->same_rack;
	runs = take_places(cell, job, step, now_ms);
	at->rack_only = false;
	if (!runs && at->spec->same_rack && now_ms > job->due_ms)
		runs = take_places(cell, job, step, now_ms);
	return runs;
}

/* Starts all members at once. When some run and others do not, the rest is stopped first. */
void gang_place(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms)
{
	GPtrArray *runs;

	if (!all_are_ready(&job->steps[step], now_ms)) {
		gang_break(cell, job, step, now_ms);
		return;
	}
	runs = find_places(cell, job, step, now_ms);
	if (!runs) {
		permits_want(cell, job, step, now_ms);
		if (now_ms - job->arrived_ms >= GANG_PATIENCE_MS)
			keep_room(cell, job, step, now_ms);
		return;
	}
	for (guint i = 0; i < runs->len; i++)
		give_start(cell, runs->pdata[i], now_ms);
	g_ptr_array_free(runs, TRUE);
}

bool gang_fits_somewhere(const struct waxwing_cell *cell, const Waxwing__Job *spec,
			 const Waxwing__JobStep *step)
{
	uint64_t places = 0;

	for (guint i = 0; i < cell->list->len; i++) {
		const struct executor *executor = cell->list->pdata[i];

		if (!executor->removed && step_could_use(executor, spec, step))
			places += tasks_that_fit(&executor->capacity, step);
	}
	return places >= step->count;
}
