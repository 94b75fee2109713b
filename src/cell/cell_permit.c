#include "cell_private.h"

#define LOG_PART "cell"
#include "event_log.h"

/* Executors named in one question: what the users' pages count on for a step. */
#define ASKED_MOST 30
/* The service takes its callers' questions in turn, and its answer has a way to come. */
#define ANSWER_SPARE_MS 150
/* After a question that was not answered, or refused. */
#define ASK_AGAIN_MS 100

/* What is known of one executor for one step. */
struct permit {
	char *ticket; /* null: it may not run the step, for good */
	uint64_t life; /* of the executor */
	int64_t until_ms; /* of a ticket */
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

/* The time that one question takes, of the step's share in the job's objective. */
double permits_cost_ms(const Waxwing__Job *spec)
{
	return spec->permits_needed ? spec->permit_base_ms + ASKED_MOST * spec->permit_each_ms : 0;
}

static struct permit *find_permit(const struct cell_step *step, const struct executor *executor)
{
	struct permit *permit =
		step->permits ? g_hash_table_lookup(step->permits, executor->id) : NULL;

	return permit && permit->life == executor->life ? permit : NULL;
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

static gboolean has_run_out(gpointer key, gpointer value, gpointer now_ms)
{
	const struct permit *permit = value;

	(void)key;
	return permit->ticket && permit->until_ms <= *(int64_t *)now_ms;
}

void permits_expire(struct cell_step *step, int64_t now_ms)
{
	if (step->permits)
		g_hash_table_foreach_remove(step->permits, has_run_out, &now_ms);
}

void permits_reject(struct cell_job *job, uint32_t step, const struct executor *executor)
{
	if (job->steps[step].permits)
		g_hash_table_remove(job->steps[step].permits, executor->id);
}

/* Those with room come first, then the faster ones. */
static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct executor *left = *(struct executor *const *)a;
	const struct executor *right = *(struct executor *const *)b;
	uint32_t left_free = left->capacity.cpu_milli - left->used.cpu_milli;
	uint32_t right_free = right->capacity.cpu_milli - right->used.cpu_milli;
	bool left_idle = left->used.cpu_milli * 2 <= left->capacity.cpu_milli;
	bool right_idle = right->used.cpu_milli * 2 <= right->capacity.cpu_milli;

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

	for (guint i = 0; i < cell->list->len; i++) {
		struct executor *executor = cell->list->pdata[i];

		if (executor_usable(executor, now_ms) &&
		    step_could_use(executor, job->spec, job->steps[step].spec) &&
		    !find_permit(&job->steps[step], executor))
			g_ptr_array_add(candidates, executor);
	}
	g_ptr_array_sort(candidates, compare_candidates);
	g_ptr_array_set_size(candidates, (gint)MIN(candidates->len, ASKED_MOST));
	return candidates;
}

/* A task of the step has no executor: asks for more, one question at a time as the service takes them. */
void permits_want(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		  int64_t now_ms)
{
	struct waxwing_permit_question question = {
		.job = job->id,
		.occurrence = job_occurrence(job),
		.step = step,
	};
	GPtrArray *candidates;
	const char *ids[ASKED_MOST];
	uint64_t lives[ASKED_MOST];

	if (!job->spec->permits_needed || cell->permit_out || now_ms < cell->permit_next_ms)
		return;
	candidates = find_candidates(cell, job, step, now_ms);
	question.count = candidates->len;
	for (guint i = 0; i < candidates->len; i++) {
		const struct executor *executor = candidates->pdata[i];

		ids[i] = executor->id;
		lives[i] = executor->life;
	}
	g_ptr_array_free(candidates, TRUE);
	if (!question.count)
		return;
	question.executors = ids;
	question.lives = lives;
	question.timeout_ms =
		(uint32_t)(job->spec->permit_base_ms + question.count * job->spec->permit_each_ms) *
			2 +
		ANSWER_SPARE_MS;
	cell->permit_out = true;
	waxwing_event("permits_asked", "job=%016llx step=%u executors=%zu",
		      (unsigned long long)job->id, step, question.count);
	cell->options.ops->ask_permits(cell->options.data, &question);
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
 * The first step that is not known to have an executor here that may run it; the number of steps when all have.
 * @hopeless: all were asked about for it, and none may.
 */
uint32_t permits_unknown_step(const struct waxwing_cell *cell, const struct cell_job *job,
			      int64_t now_ms, bool *hopeless)
{
	*hopeless = false;
	for (uint32_t i = 0; i < job->step_count; i++) {
		GPtrArray *unasked;

		if (has_ticket(&job->steps[i]))
			continue;
		unasked = find_candidates(cell, job, i, now_ms);
		*hopeless = !unasked->len;
		g_ptr_array_free(unasked, TRUE);
		return i;
	}
	return job->step_count;
}

static const char *ticket_of(const struct waxwing_permit_answer *answer, const char *id)
{
	for (size_t i = 0; i < answer->good_count; i++)
		if (strcmp(answer->good[i].executor, id) == 0)
			return answer->good[i].ticket;
	return NULL;
}

void waxwing_cell_permits_answered(struct waxwing_cell *cell, int64_t now_ms,
				   const struct waxwing_permit_question *question,
				   const struct waxwing_permit_answer *answer)
{
	struct waxwing_run_name name = { question->job, question->occurrence, question->step, 0,
					 0 };
	struct cell_job *job = cell_find_run_job(cell, &name, now_ms);
	struct cell_step *step = job ? &job->steps[question->step] : NULL;
	uint32_t valid_ms;

	cell->permit_out = false;
	waxwing_event("permits_answered",
		      "job=%016llx step=%u answered=%d good=%zu of=%zu valid_ms=%u",
		      (unsigned long long)question->job, question->step, answer->answered,
		      answer->good_count, question->count, answer->valid_ms);
	if (!answer->answered)
		cell->permit_next_ms = now_ms + ASK_AGAIN_MS;
	if (!step || !answer->answered)
		return;
	valid_ms = answer->valid_ms ? answer->valid_ms : job->spec->permit_valid_ms;
	if (!step->permits)
		step->permits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, permit_free);
	for (size_t i = 0; i < question->count; i++) {
		struct permit *permit = g_new0(struct permit, 1);

		permit->ticket = g_strdup(ticket_of(answer, question->executors[i]));
		permit->life = question->lives[i];
		permit->until_ms = now_ms + (int64_t)valid_ms - CERTAINTY_MS;
		g_hash_table_replace(step->permits, g_strdup(question->executors[i]), permit);
	}
}
