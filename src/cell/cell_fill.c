#include "cell_private.h"

/* Tasks that fill get what others leave unused, and slow tasks that serve: they are kept apart from those. */

static const Waxwing__JobStep *run_spec(const struct cell_run *run)
{
	return run->job ? run->job->steps[run->name.step].spec : NULL;
}

/* Thousandths of cores that tasks which fill would use there. */
uint32_t fill_used_milli(const struct executor *executor)
{
	uint32_t used = 0;

	for (guint i = 0; i < executor->runs->len; i++) {
		const Waxwing__JobStep *spec = run_spec(executor->runs->pdata[i]);

		if (spec && spec->fills)
			used += spec->cpu_milli;
	}
	return used;
}

static bool serves_there(const struct executor *executor)
{
	for (guint i = 0; i < executor->runs->len; i++) {
		const Waxwing__JobStep *spec = run_spec(executor->runs->pdata[i]);

		if (spec && spec->target_ms)
			return true;
	}
	return false;
}

/* A task that fills is started where there is room for its work, and nothing that serves. */
bool fill_allowed(const struct executor *executor, const Waxwing__JobStep *spec)
{
	uint32_t used = executor->used.cpu_milli + fill_used_milli(executor);

	return !spec->fills ||
	       (used + spec->cpu_milli <= executor->capacity.cpu_milli && !serves_there(executor));
}

/* A task that serves is about to start there. */
void fill_make_way(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	for (guint i = 0; i < executor->runs->len; i++) {
		struct cell_run *run = executor->runs->pdata[i];
		const Waxwing__JobStep *spec = run_spec(run);

		if (spec && spec->fills && run->state != RUN_STOPPING)
			run_stop(cell, run, now_ms);
	}
}
