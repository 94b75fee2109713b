#include "cell_private.h"

/* After a run shorter than this, the next start is delayed. */
#define SHORT_RUN_MS 500
/* Delay of the next start after a short run. */
#define RESTART_DELAY_MS 250

/* Restarts the task, however its run ended. */
void long_running_ended(struct waxwing_cell *cell, struct cell_run *run, enum waxwing_run_end end,
			int64_t now_ms)
{
	struct task *task = run_task(run);

	if (end == WAXWING_RUN_FAILED)
		task_failed_on(task, run->executor, now_ms);
	if (now_ms - run->started_ms < SHORT_RUN_MS)
		task->not_before_ms = now_ms + RESTART_DELAY_MS;
	job_task_ready(cell, run->job, run->id.step, run->id.index);
}

/*
 * A draining executor will end all its runs. Moves long-running tasks off it while they can still
 * save a checkpoint.
 */
void long_running_drain(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	if (!executor->draining)
		return;
	for (guint i = 0; i < executor->runs->len; i++) {
		struct cell_run *run = executor->runs->pdata[i];

		if (run->state == RUN_RUNNING && run_is_long_running(run) &&
		    step_can_start(cell, run->job, run->id.step, now_ms))
			run_stop(cell, run, now_ms);
	}
}
