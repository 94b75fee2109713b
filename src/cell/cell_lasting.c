#include "cell_private.h"

/* A run that ended sooner than this after its start is not followed at once by the next. */
#define SHORT_RUN_MS 500
/* Between the end of such a run and the next start of its task. */
#define RESTART_PAUSE_MS 250

/* However the run ended, its task is started again. */
void lasting_run_ended(struct waxwing_cell *cell, struct cell_run *run, enum waxwing_run_end end,
		       int64_t now_ms)
{
	struct task *task = run_task(run);

	if (end == WAXWING_RUN_FAILED) {
		g_free(task->failed_at);
		task->failed_at = g_strdup(run->executor->id);
	}
	if (now_ms - run->started_ms < SHORT_RUN_MS)
		task->not_before_ms = now_ms + RESTART_PAUSE_MS;
	job_task_ready(cell, run->job, run->name.step, run->name.index);
}

/* An executor that leaves ends all that runs there; what lasts is moved while it can save its work. */
void lasting_sweep(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	if (!executor->draining)
		return;
	for (guint i = 0; i < executor->runs->len; i++) {
		struct cell_run *run = executor->runs->pdata[i];

		if (run->state == RUN_RUNNING && run_lasts(run) &&
		    step_has_room(cell, run->job, run->name.step, now_ms))
			run_stop(cell, run, now_ms);
	}
}
