#include "cell_private.h"

/*
 * Backfill tasks use CPU that other tasks leave unused. They slow down serving tasks, which have a
 * target response time, so the two kinds do not share an executor.
 */

static const Waxwing__JobStep *run_spec(const struct cell_run *run)
{
	return run->job ? run->job->steps[run->id.step].spec : NULL;
}

/* Returns the CPU that the executor's backfill tasks request, in thousandths of a core. */
uint32_t backfill_cpu_milli(const struct executor *executor)
{
	uint32_t used = 0;

	for (guint i = 0; i < executor->runs->len; i++) {
		const Waxwing__JobStep *spec = run_spec(executor->runs->pdata[i]);

		if (spec && spec->fills)
			used += spec->cpu_milli;
	}
	return used;
}

static bool runs_serving_task(const struct executor *executor)
{
	for (guint i = 0; i < executor->runs->len; i++) {
		const Waxwing__JobStep *spec = run_spec(executor->runs->pdata[i]);

		if (spec && spec->target_ms)
			return true;
	}
	return false;
}

/*
 * Returns true if the step's tasks may start on the executor. Backfill tasks need enough unused CPU
 * and an executor without serving tasks; other tasks are always allowed.
 */
bool backfill_allowed(const struct executor *executor, const Waxwing__JobStep *spec)
{
	uint32_t used = executor->allocated.cpu_milli + backfill_cpu_milli(executor);

	return !spec->fills || (used + spec->cpu_milli <= executor->capacity.cpu_milli &&
				!runs_serving_task(executor));
}

/* Stops backfill tasks on an executor where a serving task is about to start. */
void backfill_preempt(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	for (guint i = 0; i < executor->runs->len; i++) {
		struct cell_run *run = executor->runs->pdata[i];
		const Waxwing__JobStep *spec = run_spec(run);

		if (spec && spec->fills && run->state != RUN_STOPPING)
			run_stop(cell, run, now_ms);
	}
}
