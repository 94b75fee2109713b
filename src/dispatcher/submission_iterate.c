#include "submission_private.h"

/** Returns the number of consecutive tasks in @state, starting with @first. */
static uint32_t count_in_state(const struct waxwing_submission *submission, uint32_t first,
			       enum waxwing_task_state state)
{
	uint32_t end = first;

	while (end < submission->active->task_count &&
	       submission->active->tasks[end].state == state)
		end++;
	return end - first;
}

void waxwing_submissions_each_queued(struct waxwing_submissions *table,
				     void (*visit)(void *context, const struct waxwing_job *job,
						   uint32_t first, uint32_t count),
				     void *context)
{
	for (GList *link = table->jobs_by_admission.head; link; link = link->next) {
		const struct waxwing_submission *submission = link->data;

		if (submission->answer)
			continue;
		for (uint32_t first = 0; first < submission->active->task_count;) {
			uint32_t count = count_in_state(submission, first, WAXWING_TASK_QUEUED);

			if (count)
				visit(context, &submission->active->job, first, count);
			first += MAX(count, 1);
		}
	}
}

void waxwing_submissions_each_committed(struct waxwing_submissions *table,
					void (*visit)(void *context, const struct waxwing_job *job,
						      uint32_t task),
					void *context)
{
	for (GList *link = table->jobs_by_admission.head; link; link = link->next) {
		const struct waxwing_submission *submission = link->data;

		for (uint32_t i = 0; i < submission->active->task_count; i++)
			if (submission->active->tasks[i].state == WAXWING_TASK_COMMITTED)
				visit(context, &submission->active->job, i);
	}
}

void waxwing_submissions_each_id(struct waxwing_submissions *table,
				 void (*visit)(void *context, const char *id, uint64_t digest,
					       const uint8_t *answer, size_t answer_len),
				 void *context)
{
	for (GList *link = table->epochs.head; link; link = link->next) {
		const struct waxwing_epoch *epoch = link->data;

		for (GList *member = epoch->submissions.head; member; member = member->next) {
			const struct waxwing_submission *submission = member->data;

			visit(context, submission->id, submission->digest, submission->answer,
			      submission->answer_len);
		}
	}
}

void waxwing_submissions_epochs(const struct waxwing_submissions *table, uint64_t *oldest,
				uint64_t *newest, int64_t *expires_ms)
{
	const struct waxwing_epoch *first = g_queue_peek_head((GQueue *)&table->epochs);
	const struct waxwing_epoch *last = waxwing_newest_epoch(table);

	*oldest = first->number;
	*newest = last->number;
	*expires_ms = last->expires_ms;
}

uint64_t waxwing_submissions_running(const struct waxwing_submissions *table)
{
	return table->running_jobs;
}

void waxwing_submissions_view(const struct waxwing_submissions *table,
			      struct waxwing_submissions_view *view)
{
	*view = (struct waxwing_submissions_view){
		.running_jobs = table->running_jobs,
		.finished_ids = table->finished_ids,
		.queued_tasks = table->queued_tasks,
		.committed_tasks = table->committed_tasks,
		.bytes = table->bytes,
		.epochs = g_queue_get_length((GQueue *)&table->epochs),
	};
}
