#include "cell_private.h"

/* Interval between scans of all jobs and executors. */
#define SCAN_INTERVAL_MS 10

static void free_kind(gpointer value)
{
	struct hardware_kind *kind = value;

	g_free(kind->name);
	g_free(kind);
}

static void free_queue(gpointer value)
{
	struct queue *queue = value;

	g_free(queue->name);
	g_free(queue);
}

struct waxwing_cell *waxwing_cell_create(int64_t now_ms, const struct waxwing_cell_options *options)
{
	struct waxwing_cell *cell = g_new0(struct waxwing_cell, 1);

	cell->options = *options;
	cell->options.name = g_strdup(options->name);
	cell->created_ms = now_ms;
	cell->last_holds_ms = now_ms;
	cell->owned_until_ms = INT64_MAX;
	cell->next_handle = 1;
	cell->jobs = g_hash_table_new(job_key_hash, job_key_equal);
	cell->ready_jobs = g_sequence_new(NULL);
	cell->executors_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	cell->executors_by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
	cell->executors = g_ptr_array_new();
	near_init(cell);
	cell->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_kind);
	cell->cold_services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, cold_service_free);
	cell->queues = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_queue);
	cell->finished = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	cell->verdicts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	cell->issuers_heard = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return cell;
}

void waxwing_cell_destroy(struct waxwing_cell *cell)
{
	GPtrArray *jobs;

	if (!cell)
		return;
	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];

		for (guint k = 0; k < executor->runs->len; k++)
			g_free(executor->runs->pdata[k]);
		executor_free(executor);
	}
	jobs = cell_list_jobs(cell);
	for (guint i = 0; i < jobs->len; i++)
		job_free(cell, jobs->pdata[i]);
	g_ptr_array_free(jobs, TRUE);
	g_hash_table_destroy(cell->jobs);
	g_sequence_free(cell->ready_jobs);
	g_hash_table_destroy(cell->executors_by_id);
	g_hash_table_destroy(cell->executors_by_handle);
	g_ptr_array_free(cell->executors, TRUE);
	near_destroy(cell);
	g_hash_table_destroy(cell->kinds);
	g_hash_table_destroy(cell->cold_services);
	g_hash_table_destroy(cell->queues);
	g_hash_table_destroy(cell->verdicts);
	g_hash_table_destroy(cell->finished);
	g_hash_table_destroy(cell->issuers_heard);
	g_free((char *)cell->options.name);
	g_free(cell);
}

void waxwing_cell_set_token(struct waxwing_cell *cell, uint64_t fencing_token)
{
	cell->options.fencing_token = MAX(cell->options.fencing_token, fencing_token);
}

void waxwing_cell_set_owned_until(struct waxwing_cell *cell, int64_t now_ms, int64_t until_ms)
{
	bool confirmed = until_ms > now_ms;

	cell->owned_until_ms = confirmed ? until_ms : MIN(cell->owned_until_ms, now_ms);
}

int64_t waxwing_cell_answer_timeout_ms(struct waxwing_cell *cell, int64_t now_ms,
				       int64_t longest_ms)
{
	return waxwing_answer_time_timeout_ms(&cell->answer_time, now_ms, longest_ms);
}

void waxwing_cell_set_list_complete(struct waxwing_cell *cell)
{
	cell->options.list_incomplete = false;
}

void waxwing_cell_issuer_heard(struct waxwing_cell *cell, uint64_t issuer, int64_t heard_ms)
{
	int64_t *known_ms = g_hash_table_lookup(cell->issuers_heard, &issuer);

	if (known_ms)
		*known_ms = MAX(*known_ms, heard_ms);
	else
		g_hash_table_insert(cell->issuers_heard, g_memdup2(&issuer, sizeof(issuer)),
				    g_memdup2(&heard_ms, sizeof(heard_ms)));
}

void waxwing_cell_advance(struct waxwing_cell *cell, int64_t now_ms)
{
	if (now_ms - cell->last_scan_ms >= SCAN_INTERVAL_MS) {
		cell->last_scan_ms = now_ms;
		cell_scan_executors(cell, now_ms);
		cell_scan_jobs(cell, now_ms);
	}
	cell_place(cell, now_ms);
	cell_send_holds(cell, now_ms);
}

void waxwing_cell_get_stats(struct waxwing_cell *cell, int64_t now_ms,
			    struct waxwing_cell_stats *stats)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(cell->ready_jobs);

	*stats = (struct waxwing_cell_stats){
		.executors = cell->executors->len,
		.jobs = g_hash_table_size(cell->jobs),
		.runs = cell->runs,
		.wait_ms = (uint32_t)cell_expected_wait_ms(cell, NULL, now_ms),
		.starts = cell->starts,
		.starts_unanswered = cell->starts_unanswered,
		.starts_resent = cell->starts_resent,
		.holds_hedged = cell->holds_hedged,
		.hedges_answered = cell->hedges_answered,
		.starts_confirmed = cell->starts_confirmed,
		.done = cell->done,
		.failed = cell->failed,
		.lapsed = cell->lapsed,
		.refused = cell->refused,
		.cold_phases = cell->cold_phases,
		.cold_starts = cell->cold_starts,
		.near_waits = cell->near_waits,
		.near_waits_near = cell->near_waits_near,
		.near_waits_far = cell->near_waits_far,
		.near_waits_dropped = cell->near_waits_dropped,
		.near_waited_ms = cell->near_waited_ms,
		.near_saved_ms = cell->near_saved_ms,
		.near_lost_ms = cell->near_lost_ms,
		.near_visits = cell->near_visits,
	};
	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter))
		stats->waiting_tasks += ((struct cell_job *)g_sequence_get(iter))->ready_tasks;
	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];

		stats->cold += executor->cold;
		if (!executor_usable(executor, now_ms) ||
		    executor->allocated.cpu_milli > executor->capacity.cpu_milli)
			continue;
		stats->usable++;
		if (!cold_may_start(executor, now_ms))
			continue;
		stats->free_milli +=
			(uint32_t)((executor->capacity.cpu_milli - executor->allocated.cpu_milli) *
				   cold_speed(executor, executor->cold));
	}
}

const struct waxwing_histogram *waxwing_cell_start_wait_histogram(const struct waxwing_cell *cell)
{
	return &cell->start_wait_ms;
}

void waxwing_cell_foreach_waiting_queue(const struct waxwing_cell *cell,
					void (*each)(void *data, const char *queue, uint32_t jobs),
					void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cell->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct queue *queue = value;

		if (queue->waiting_jobs)
			each(data, queue->name, queue->waiting_jobs);
	}
}

uint32_t waxwing_cell_waiting_jobs(const struct waxwing_cell *cell, const char *queue)
{
	const struct queue *found = g_hash_table_lookup(cell->queues, queue);

	return found ? found->waiting_jobs : 0;
}
