#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"

/*
 * Maximum number of executors in one query. The user documentation assumes this number for each
 * step.
 */
#define MAX_QUERY_EXECUTORS 30
/*
 * Added to the timeout of a query: the service handles queries one at a time, and the answer takes
 * time to arrive.
 */
#define QUERY_TIMEOUT_MARGIN_MS 150
/* Delay of the next query after one that was not answered or was rejected. */
#define QUERY_RETRY_MS 100

/* The permit service's answer for one executor and step. */
struct permit {
	char *ticket; /* null: the executor may never run the step */
	uint64_t handle; /* of the executor; the answer is not valid for another handle */
	int64_t expires_ms; /* time at which the ticket expires */
};

static void permit_free(gpointer value)
{
	struct permit *permit = value;

	g_free(permit->ticket);
	g_free(permit);
}

void permits_clear(struct cell_step *step)
{
	if (step->permits)
		g_hash_table_destroy(step->permits);
	step->permits = NULL;
}

/*
 * Returns the time of one query for the maximum number of executors, in ms; 0: the job needs no
 * permits. It is added to each step when the job's due time is computed.
 */
double permits_query_ms(const Waxwing__Job *spec)
{
	return spec->permits_needed ?
		       spec->permit_base_ms + MAX_QUERY_EXECUTORS * spec->permit_each_ms :
		       0;
}

static struct permit *find_permit(const struct cell_step *step, const struct executor *executor)
{
	struct permit *permit =
		step->permits ? g_hash_table_lookup(step->permits, executor->id) : NULL;

	return permit && permit->handle == executor->handle ? permit : NULL;
}

const char *permits_ticket(const struct cell_job *job, uint32_t step,
			   const struct executor *executor)
{
	const struct permit *permit = find_permit(&job->steps[step], executor);

	return permit ? permit->ticket : NULL;
}

bool permits_allow(const struct cell_job *job, uint32_t step, const struct executor *executor)
{
	return !job->spec->permits_needed || permits_ticket(job, step, executor);
}

static gboolean ticket_has_expired(gpointer key, gpointer value, gpointer now_ms)
{
	const struct permit *permit = value;

	(void)key;
	return permit->ticket && permit->expires_ms <= *(int64_t *)now_ms;
}

void permits_expire(struct cell_step *step, int64_t now_ms)
{
	if (step->permits)
		g_hash_table_foreach_remove(step->permits, ticket_has_expired, &now_ms);
}

void permits_drop(struct cell_job *job, uint32_t step, const struct executor *executor)
{
	if (job->steps[step].permits)
		g_hash_table_remove(job->steps[step].permits, executor->id);
}

/* Sorts executors that are at most half allocated first, then by speed, then by free CPU. */
static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct executor *left = *(struct executor *const *)a;
	const struct executor *right = *(struct executor *const *)b;
	uint32_t left_free = left->capacity.cpu_milli - left->allocated.cpu_milli;
	uint32_t right_free = right->capacity.cpu_milli - right->allocated.cpu_milli;
	bool left_idle = left->allocated.cpu_milli * 2 <= left->capacity.cpu_milli;
	bool right_idle = right->allocated.cpu_milli * 2 <= right->capacity.cpu_milli;

	if (left_idle != right_idle)
		return left_idle ? -1 : 1;
	if (left->speed.value != right->speed.value)
		return left->speed.value > right->speed.value ? -1 : 1;
	return left_free > right_free ? -1 : left_free < right_free;
}

static GPtrArray *find_candidates(const struct waxwing_cell *cell, const struct cell_job *job,
				  uint32_t step, int64_t now_ms)
{
	GPtrArray *candidates = g_ptr_array_new();

	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];

		if (executor_usable(executor, now_ms) &&
		    step_matches_executor(executor, job->spec, job->steps[step].spec) &&
		    !find_permit(&job->steps[step], executor))
			g_ptr_array_add(candidates, executor);
	}
	g_ptr_array_sort(candidates, compare_candidates);
	g_ptr_array_set_size(candidates, (gint)MIN(candidates->len, MAX_QUERY_EXECUTORS));
	return candidates;
}

/*
 * Queries permits for more executors. Does nothing while a query is pending, because the service
 * handles one at a time, or before the delay after a failed query has passed.
 */
void permits_request(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		     int64_t now_ms)
{
	struct waxwing_permit_query query = {
		.job = job->id,
		.occurrence = job_occurrence(job),
		.step = step,
	};
	GPtrArray *candidates;
	const char *ids[MAX_QUERY_EXECUTORS];
	uint64_t handles[MAX_QUERY_EXECUTORS];

	if (!job->spec->permits_needed || cell->permit_query_in_flight ||
	    now_ms < cell->next_permit_query_ms)
		return;
	candidates = find_candidates(cell, job, step, now_ms);
	query.count = candidates->len;
	for (guint i = 0; i < candidates->len; i++) {
		const struct executor *executor = candidates->pdata[i];

		ids[i] = executor->id;
		handles[i] = executor->handle;
	}
	g_ptr_array_free(candidates, TRUE);
	if (!query.count)
		return;
	query.executors = ids;
	query.handles = handles;
	query.timeout_ms =
		(uint32_t)(job->spec->permit_base_ms + query.count * job->spec->permit_each_ms) *
			2 +
		QUERY_TIMEOUT_MARGIN_MS;
	cell->permit_query_in_flight = true;
	waxwing_event("permits_asked", "job=%016llx step=%u executors=%zu",
		      (unsigned long long)job->id, step, query.count);
	cell->options.ops->query_permits(cell->options.data, &query);
}

static bool has_ticket(const struct cell_step *step)
{
	GHashTableIter iter;
	gpointer value;

	if (!step->permits)
		return false;
	g_hash_table_iter_init(&iter, step->permits);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct permit *)value)->ticket)
			return true;
	return false;
}

/*
 * Returns the first step that is not known to have a permitted executor in this cell, or the number
 * of steps if all have one. Sets @none_permitted if no executor is permitted to run that step and
 * no usable one is left to query.
 */
uint32_t permits_find_unknown_step(const struct waxwing_cell *cell, const struct cell_job *job,
				   int64_t now_ms, bool *none_permitted)
{
	*none_permitted = false;
	for (uint32_t i = 0; i < job->step_count; i++) {
		GPtrArray *candidates;

		if (has_ticket(&job->steps[i]))
			continue;
		candidates = find_candidates(cell, job, i, now_ms);
		*none_permitted = !candidates->len;
		g_ptr_array_free(candidates, TRUE);
		return i;
	}
	return job->step_count;
}

static const char *ticket_of(const struct waxwing_permit_answer *answer, const char *id)
{
	for (size_t i = 0; i < answer->permit_count; i++)
		if (strcmp(answer->permits[i].executor, id) == 0)
			return answer->permits[i].ticket;
	return NULL;
}

void waxwing_cell_permits_answered(struct waxwing_cell *cell, int64_t now_ms,
				   const struct waxwing_permit_query *query,
				   const struct waxwing_permit_answer *answer)
{
	struct waxwing_run_id id = { query->job, query->occurrence, query->step, 0, 0 };
	struct cell_job *job = cell_find_run_job(cell, &id, now_ms);
	struct cell_step *step = job ? &job->steps[query->step] : NULL;
	uint32_t valid_ms;

	cell->permit_query_in_flight = false;
	waxwing_event("permits_answered",
		      "job=%016llx step=%u answered=%d good=%zu of=%zu valid_ms=%u",
		      (unsigned long long)query->job, query->step, answer->answered,
		      answer->permit_count, query->count, answer->valid_ms);
	if (!answer->answered)
		cell->next_permit_query_ms = now_ms + QUERY_RETRY_MS;
	if (!step || !answer->answered)
		return;
	valid_ms = answer->valid_ms ? answer->valid_ms : job->spec->permit_valid_ms;
	if (!step->permits)
		step->permits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, permit_free);
	for (size_t i = 0; i < query->count; i++) {
		struct permit *permit = g_new0(struct permit, 1);

		permit->ticket = g_strdup(ticket_of(answer, query->executors[i]));
		permit->handle = query->handles[i];
		permit->expires_ms = now_ms + (int64_t)valid_ms - REMOTE_TIME_MARGIN_MS;
		g_hash_table_replace(step->permits, g_strdup(query->executors[i]), permit);
	}
}
