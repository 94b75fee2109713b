#include "cell_private.h"

#define LOG_PART "cell"
#include "event_log.h"
#include "log.h"

/* A run that is listed so long after its stop was answered is stopped again. */
#define STOP_OVERDUE_MS 500
/* Between two looks at an executor that does not answer. */
#define SILENT_LOOK_MS 200
/* Ends whose records are being stored are listed again at once, so the next hold waits a little. */
#define STORING_MS 8
/*
 * Ends are acknowledged only right after an answer that listed them: an executor that has restarted since
 * numbers its ends from 1 again, and would forget ends that nobody has seen.
 */
#define ACK_FRESH_MS 30
/* Weight of a silent executor, against a failed task. */
#define SILENCE_WEIGHT 1.0

static bool hold_is_due(const struct executor *executor, int64_t now_ms)
{
	if (executor->hold_out || now_ms < executor->hold_next_ms)
		return false;
	if (executor->hold_wanted || executor->runs->len || executor->silent)
		return true;
	return executor->ended_upto > executor->acked_upto;
}

/* Ends may be acknowledged once what they told is stored. */
static void note_ends(const struct waxwing_cell *cell, struct executor *executor)
{
	guint ready = 0;

	while (ready < executor->ack_waits->len &&
	       g_array_index(executor->ack_waits, struct ack_wait, ready).record <= cell->stored)
		executor->noted_upto =
			g_array_index(executor->ack_waits, struct ack_wait, ready++).end;
	if (ready)
		g_array_remove_range(executor->ack_waits, 0, ready);
}

static void send_hold(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	struct waxwing_order_target target;
	bool extend = executor->answered && !executor->silent;
	bool listing; /* ends that are to be acknowledged are wanted at once, not the next one */
	bool fresh;

	executor->hold_out = true;
	executor->hold_wanted = false;
	executor->hold_sent_ms = now_ms;
	note_ends(cell, executor);
	fresh = now_ms - executor->answered_ms <= ACK_FRESH_MS;
	executor->acking = fresh ? executor->noted_upto : executor->acked_upto;
	if (extend)
		executor_lease_given(cell, executor, now_ms);
	executor_target(cell, executor, &target);
	listing = !fresh && executor->noted_upto > executor->acked_upto;
	/* numbers that were acknowledged before are not named again: a new life may have begun with 1 */
	cell->options.ops->hold(cell->options.data, &target,
				extend ? executor_until(cell, executor, now_ms) : 0,
				executor->acking > executor->acked_upto ? executor->acking : 0,
				extend && executor->runs->len && !listing ? HOLD_WAIT_MS : 0);
}

void cell_hold_due(struct waxwing_cell *cell, int64_t now_ms)
{
	for (guint i = 0; i < cell->list->len; i++) {
		struct executor *executor = cell->list->pdata[i];

		if (hold_is_due(executor, now_ms))
			send_hold(cell, executor, now_ms);
	}
}

static void take_ended(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
		       const struct waxwing_ended_row *row)
{
	struct cell_run *run = run_find(executor, &row->name);
	struct cell_job *job = cell_find_run_job(cell, &row->name, now_ms);
	bool ours = run && run->job;
	struct ack_wait wait;

	if (row->number <= executor->ended_upto)
		return;
	executor->ended_upto = row->number;
	if (job)
		task_take_checkpoint(checkpoint_task(job, row->name.step, row->name.index),
				     row->checkpoint);
	if (run)
		run_ended(cell, run, row->end, now_ms);
	/* of a former owner's run, or of one that was given up as lapsed */
	if (!ours && job && row->end == WAXWING_RUN_DONE)
		job_task_done(cell, job, row->name.step, row->name.index, now_ms);
	else if (!ours && job && row->end == WAXWING_RUN_FAILED)
		job_run_failed(cell, job, &row->name, executor, now_ms);
	wait = (struct ack_wait){ row->number, cell->recorded };
	g_array_append_val(executor->ack_waits, wait);
}

static void see_running(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			const struct waxwing_running_row *row)
{
	struct cell_run *run = run_find(executor, &row->name);
	struct cell_job *job = cell_find_run_job(cell, &row->name, now_ms);

	if (!run) {
		/* what it needs is not known until its job is */
		struct waxwing_capacity needs = { 0 };

		run = run_create(cell, executor, &row->name, &needs);
		run->state = RUN_RUNNING;
		run->started_ms = now_ms;
		run->seen_ms = now_ms;
		executor->foreign++;
		if (job)
			run_adopt(cell, run, job);
	}
	if (run->job)
		task_take_checkpoint(checkpoint_task(run->job, run->name.step, run->name.index),
				     row->checkpoint);
	if (run->state == RUN_STARTING) {
		run->state = RUN_RUNNING;
		run->started_ms = now_ms;
	}
	/* it should have ended: the stop is given again */
	if (run->state == RUN_STOPPING && run->stopped_by_ms &&
	    now_ms - run->stopped_by_ms >= STOP_OVERDUE_MS)
		run->stopped_by_ms = 0;
}

static bool is_listed(const struct waxwing_hold_answer *answer, const struct cell_run *run)
{
	for (size_t i = 0; i < answer->running_count; i++)
		if (run_is(run, &answer->running[i].name))
			return true;
	return false;
}

/* A run that was there before the hold was sent, and is neither running nor ended, is gone. */
static void miss_runs(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
		      const struct waxwing_hold_answer *answer)
{
	for (guint i = executor->runs->len; i-- > 0;) {
		struct cell_run *run = executor->runs->pdata[i];
		bool there = run->state == RUN_RUNNING || run->state == RUN_STOPPING;

		if (there && run->started_ms < executor->hold_sent_ms && !is_listed(answer, run)) {
			waxwing_event("run_vanished", "executor=%s job=%016llx run=%u",
				      executor->id, (unsigned long long)run->name.job,
				      run->name.run);
			run_ended(cell, run, WAXWING_RUN_LAPSED, now_ms);
		}
	}
}

static void no_answer(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	if (!executor->silent) {
		executor->silent = true;
		waxwing_event("executor_silent", "executor=%s runs=%u", executor->id,
			      executor->runs->len);
		executor_failed(cell, executor, now_ms, SILENCE_WEIGHT);
	}
	executor->hold_wanted = true;
	executor->hold_next_ms = now_ms + SILENT_LOOK_MS;
}

static void take_answer(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			const struct waxwing_hold_answer *answer)
{
	if (executor->silent) {
		waxwing_event("executor_back", "executor=%s runs=%u", executor->id,
			      executor->runs->len);
		executor->silent = false;
	}
	executor_take_clock(executor, now_ms, answer->clock_ms);
	executor->answered = true;
	executor->acked_upto = MAX(executor->acked_upto, executor->acking);
	/* ends are listed again: what they are about is known once the journal was read */
	for (size_t i = 0; i < answer->ended_count && !cell->options.recovering; i++)
		take_ended(cell, executor, now_ms, &answer->ended[i]);
	for (size_t i = 0; i < answer->running_count; i++)
		see_running(cell, executor, now_ms, &answer->running[i]);
	miss_runs(cell, executor, now_ms, answer);
	note_ends(cell, executor);
	executor->hold_next_ms = now_ms + (executor->ack_waits->len ? STORING_MS : 0);
	executor->answered_ms = now_ms;
	executor->listed = !cell->options.recovering;
	if (executor->listed && !cell->first_listed_ms)
		cell->first_listed_ms = now_ms;
	if (cell->options.recovering && answer->ended_count)
		executor->hold_wanted = true;
}

void waxwing_cell_hold_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t life,
				const struct waxwing_hold_answer *answer)
{
	struct executor *executor = cell_executor(cell, life);

	if (!executor)
		return;
	executor->hold_out = false;
	if (answer->end == WAXWING_HOLD_ANSWERED && answer->born_ms > executor->born_ms) {
		if (executor->born_ms)
			executor_new_life(executor);
		executor->born_ms = answer->born_ms;
	}
	switch (answer->end) {
	case WAXWING_HOLD_ANSWERED:
		take_answer(cell, executor, now_ms, answer);
		break;
	case WAXWING_HOLD_FENCED:
		cell->options.ops->fenced(cell->options.data, executor->id);
		break;
	case WAXWING_HOLD_OTHER_LIFE:
		/* the life that was meant is over, and all that ran in it */
		waxwing_event("executor_gone", "executor=%s runs=%u", executor->id,
			      executor->runs->len);
		executor->removed = true;
		while (executor->runs->len)
			run_ended(cell, executor->runs->pdata[0], WAXWING_RUN_LAPSED, now_ms);
		executor->leased_until_ms = 0;
		break;
	case WAXWING_HOLD_NO_ANSWER:
		no_answer(cell, executor, now_ms);
		break;
	}
}
