#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"

/* Maximum number of open occurrences of one job, which bounds memory; later ones wait. */
#define MAX_OPEN_OCCURRENCES 64

struct occurrences *occurrences_create(const Waxwing__Job *spec)
{
	struct occurrences *occurrences = g_new0(struct occurrences, 1);

	occurrences->open_jobs = g_ptr_array_new();
	occurrences->done = g_new0(bool, spec->repetitions);
	return occurrences;
}

void occurrences_free(struct waxwing_cell *cell, struct occurrences *occurrences)
{
	if (!occurrences)
		return;
	while (occurrences->open_jobs->len)
		job_free(cell, occurrences->open_jobs->pdata[0]);
	g_ptr_array_free(occurrences->open_jobs, TRUE);
	g_free(occurrences->done);
	g_free(occurrences);
}

void waxwing_cell_set_wall_clock_offset(struct waxwing_cell *cell, int64_t wall_offset_ms)
{
	cell->wall_offset_ms = wall_offset_ms;
}

static int64_t occurrence_start_ms(const struct waxwing_cell *cell, const Waxwing__Job *spec,
				   uint32_t occurrence)
{
	return (int64_t)(spec->first_ms + occurrence * spec->interval_ms) - cell->wall_offset_ms;
}

static struct cell_job *find_open(const struct cell_job *parent, uint32_t occurrence)
{
	for (guint i = 0; i < parent->occurrences->open_jobs->len; i++) {
		struct cell_job *job = parent->occurrences->open_jobs->pdata[i];

		if (job->serial == occurrence + 1)
			return job;
	}
	return NULL;
}

static struct cell_job *open_occurrence(struct waxwing_cell *cell, struct cell_job *parent,
					uint32_t occurrence, int64_t now_ms)
{
	int64_t start_ms = occurrence_start_ms(cell, parent->spec, occurrence);
	struct cell_job *job =
		job_create_occurrence(cell, parent, occurrence, MIN(start_ms, now_ms));

	g_ptr_array_add(parent->occurrences->open_jobs, job);
	waxwing_event("occurrence_opened", "job=%016llx occurrence=%u late_ms=%lld open=%u left=%u",
		      (unsigned long long)parent->id, occurrence, (long long)(now_ms - start_ms),
		      parent->occurrences->open_jobs->len, parent->remaining);
	if (!cell->options.recovering)
		job_resume(cell, job);
	return job;
}

struct cell_job *occurrence_find(struct waxwing_cell *cell, struct cell_job *parent,
				 uint32_t occurrence, int64_t now_ms)
{
	struct cell_job *job = find_open(parent, occurrence);

	if (job || parent->ended || !parent->acceptance_stored ||
	    occurrence >= parent->spec->repetitions || parent->occurrences->done[occurrence])
		return job;
	return open_occurrence(cell, parent, occurrence, now_ms);
}

/* Opens the occurrences whose start time has been reached. */
void occurrences_open_scheduled(struct waxwing_cell *cell, struct cell_job *parent, int64_t now_ms)
{
	struct occurrences *occurrences = parent->occurrences;

	while (occurrences->next_scheduled < parent->spec->repetitions &&
	       occurrences->open_jobs->len < MAX_OPEN_OCCURRENCES &&
	       now_ms >= occurrence_start_ms(cell, parent->spec, occurrences->next_scheduled))
		occurrence_find(cell, parent, occurrences->next_scheduled++, now_ms);
}

/* Called when all tasks of an occurrence are done. */
void occurrence_completed(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	struct cell_job *parent = job->parent;

	durable_occurrence_end(cell, parent, job_occurrence(job));
	parent->occurrences->done[job_occurrence(job)] = true;
	parent->remaining--;
	occurrence_close(cell, job, now_ms);
	if (!parent->remaining)
		durable_end(cell, parent, now_ms, WAXWING_STATE_COMPLETED);
}

/* Closes an occurrence; no further records of it are stored. */
void occurrence_close(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	job->end_stored = true;
	if (!job->ended)
		job_close(cell, job, now_ms);
}

void occurrences_close_all(struct waxwing_cell *cell, struct cell_job *parent, int64_t now_ms)
{
	for (guint i = parent->occurrences->open_jobs->len; i-- > 0;)
		occurrence_close(cell, parent->occurrences->open_jobs->pdata[i], now_ms);
}

void occurrence_replay_end(struct waxwing_cell *cell, struct cell_job *parent, uint32_t occurrence)
{
	struct cell_job *job;

	if (occurrence >= parent->spec->repetitions || parent->occurrences->done[occurrence])
		return;
	parent->occurrences->done[occurrence] = true;
	parent->remaining--;
	job = find_open(parent, occurrence);
	if (job)
		job_free(cell, job);
}

/*
 * Resumes the open occurrences and opens others that already run on executors, even if by this
 * node's clock their start times have not been reached.
 */
void occurrences_resume(struct waxwing_cell *cell, struct cell_job *parent, int64_t now_ms)
{
	for (guint i = 0; i < parent->occurrences->open_jobs->len; i++)
		job_resume(cell, parent->occurrences->open_jobs->pdata[i]);
	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		for (guint k = 0; executor->unknown_runs && k < executor->runs->len; k++) {
			const struct cell_run *run = executor->runs->pdata[k];

			if (!run->job && run->id.job == parent->id)
				occurrence_find(cell, parent, run->id.occurrence, now_ms);
		}
	}
}
