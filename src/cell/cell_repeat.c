#include "cell_private.h"

#define LOG_PART "cell"
#include "event_log.h"

/* Occurrences of one job that are open at a time: later ones wait for room, as memory is bounded. */
#define OPEN_MOST 64

struct repeats *repeats_create(const Waxwing__Job *spec)
{
	struct repeats *repeats = g_new0(struct repeats, 1);

	repeats->open = g_ptr_array_new();
	repeats->done = g_new0(bool, spec->repetitions);
	return repeats;
}

void repeats_free(struct waxwing_cell *cell, struct repeats *repeats)
{
	if (!repeats)
		return;
	while (repeats->open->len)
		job_free(cell, repeats->open->pdata[0]);
	g_ptr_array_free(repeats->open, TRUE);
	g_free(repeats->done);
	g_free(repeats);
}

void waxwing_cell_set_day(struct waxwing_cell *cell, int64_t day_offset_ms)
{
	cell->day_offset_ms = day_offset_ms;
}

static int64_t occurrence_due_ms(const struct waxwing_cell *cell, const Waxwing__Job *spec,
				 uint32_t occurrence)
{
	return (int64_t)(spec->first_ms + occurrence * spec->interval_ms) - cell->day_offset_ms;
}

static struct cell_job *find_open(const struct cell_job *whole, uint32_t occurrence)
{
	for (guint i = 0; i < whole->repeats->open->len; i++) {
		struct cell_job *job = whole->repeats->open->pdata[i];

		if (job->serial == occurrence + 1)
			return job;
	}
	return NULL;
}

static struct cell_job *open_occurrence(struct waxwing_cell *cell, struct cell_job *whole,
					uint32_t occurrence, int64_t now_ms)
{
	int64_t due_ms = occurrence_due_ms(cell, whole->spec, occurrence);
	struct cell_job *job = job_create_occurrence(cell, whole, occurrence, MIN(due_ms, now_ms));

	g_ptr_array_add(whole->repeats->open, job);
	waxwing_event("occurrence_opened", "job=%016llx occurrence=%u late_ms=%lld open=%u left=%u",
		      (unsigned long long)whole->id, occurrence, (long long)(now_ms - due_ms),
		      whole->repeats->open->len, whole->undone);
	if (!cell->options.recovering)
		job_resume(cell, job);
	return job;
}

struct cell_job *repeats_find(struct waxwing_cell *cell, struct cell_job *whole,
			      uint32_t occurrence, int64_t now_ms)
{
	struct cell_job *job = find_open(whole, occurrence);

	if (job || whole->ended || !whole->stored || occurrence >= whole->spec->repetitions ||
	    whole->repeats->done[occurrence])
		return job;
	return open_occurrence(cell, whole, occurrence, now_ms);
}

/* Opens the occurrences whose time has come. */
void repeats_sweep(struct waxwing_cell *cell, struct cell_job *whole, int64_t now_ms)
{
	struct repeats *repeats = whole->repeats;

	while (repeats->next < whole->spec->repetitions && repeats->open->len < OPEN_MOST &&
	       now_ms >= occurrence_due_ms(cell, whole->spec, repeats->next))
		repeats_find(cell, whole, repeats->next++, now_ms);
}

/* All its tasks have ended as done. */
void repeats_ended(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	struct cell_job *whole = job->whole;

	keep_occurrence_end(cell, whole, job_occurrence(job));
	whole->repeats->done[job_occurrence(job)] = true;
	whole->undone--;
	repeats_close(cell, job, now_ms);
	if (!whole->undone)
		keep_end(cell, whole, now_ms, WAXWING_STATE_COMPLETED);
}

/* Nothing more is stored of the occurrence. */
void repeats_close(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	job->final_stored = true;
	if (!job->ended)
		job_close(cell, job, now_ms);
}

void repeats_close_all(struct waxwing_cell *cell, struct cell_job *whole, int64_t now_ms)
{
	for (guint i = whole->repeats->open->len; i-- > 0;)
		repeats_close(cell, whole->repeats->open->pdata[i], now_ms);
}

void repeats_replay_end(struct waxwing_cell *cell, struct cell_job *whole, uint32_t occurrence)
{
	struct cell_job *job;

	if (occurrence >= whole->spec->repetitions || whole->repeats->done[occurrence])
		return;
	whole->repeats->done[occurrence] = true;
	whole->undone--;
	job = find_open(whole, occurrence);
	if (job)
		job_free(cell, job);
}

/* Opens the occurrences of which executors run tasks, whatever their time is by this node's clock. */
void repeats_resume(struct waxwing_cell *cell, struct cell_job *whole, int64_t now_ms)
{
	for (guint i = 0; i < whole->repeats->open->len; i++)
		job_resume(cell, whole->repeats->open->pdata[i]);
	for (guint i = 0; i < cell->list->len; i++) {
		const struct executor *executor = cell->list->pdata[i];

		for (guint k = 0; executor->foreign && k < executor->runs->len; k++) {
			const struct cell_run *run = executor->runs->pdata[k];

			if (!run->job && run->name.job == whole->id)
				repeats_find(cell, whole, run->name.occurrence, now_ms);
		}
	}
}
