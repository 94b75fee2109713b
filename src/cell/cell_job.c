#include "cell_private.h"

#include <math.h>

#define LOG_COMPONENT "cell"
#include "event_log.h"
#include "log.h"

/* Additional failures that a task is allowed when it fails on an executor where most tasks fail. */
#define EXTRA_FAILURES_ALLOWED 2
/*
 * A task's failure is attributed to its executor if more than this share of the executor's recent
 * outcomes are failures, and there are at least SUSPECT_MIN_OUTCOMES.
 */
#define SUSPECT_FAILURE_SHARE 0.5
#define SUSPECT_MIN_OUTCOMES  2.0
/*
 * How long a task that failed waits for other executors before it may start on the same one. Shorter
 * than the 3 s after which users count a waiting task as lost.
 */
#define FAILED_EXECUTOR_AVOID_MS 2500
/* How long a verdict is repeated to issuers that offer the job again. */
#define VERDICT_CACHE_MS 6000
/* Maximum time from an issuer's offer to the owner. */
#define OFFER_TRANSIT_MS 500
/*
 * Durable jobs are refused when the queued work would keep the whole cell busy for longer than
 * this.
 */
#define MAX_BACKLOG_MS 2000

int job_compare(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct cell_job *left = a;
	const struct cell_job *right = b;

	(void)user;
	if (left->long_running != right->long_running)
		return left->long_running ? -1 : 1;
	if (left->late != right->late)
		return left->late ? 1 : -1;
	if (left->neglected != right->neglected)
		return left->neglected ? -1 : 1;
	if (left->spec->priority != right->spec->priority)
		return left->spec->priority < right->spec->priority ? -1 : 1;
	if (left->due_ms != right->due_ms)
		return left->due_ms < right->due_ms ? -1 : 1;
	if (left->id != right->id)
		return left->id < right->id ? -1 : 1;
	return left->serial < right->serial ? -1 : left->serial > right->serial;
}

guint job_key_hash(gconstpointer key)
{
	const struct job_key *job = key;

	return g_int64_hash(&job->id) ^ job->serial;
}

gboolean job_key_equal(gconstpointer a, gconstpointer b)
{
	const struct job_key *left = a;
	const struct job_key *right = b;

	return left->id == right->id && left->serial == right->serial;
}

struct cell_job *cell_find_job(const struct waxwing_cell *cell, uint64_t id)
{
	struct job_key key = { id, 0 };

	return g_hash_table_lookup(cell->jobs, &key);
}

/* Returns the job or occurrence that a run belongs to; null: unknown, or discarded. */
struct cell_job *cell_find_run_job(struct waxwing_cell *cell, const struct waxwing_run_id *id,
				   int64_t now_ms)
{
	struct cell_job *job = cell_find_job(cell, id->job);

	if (job && job->occurrences && cell->options.recovering)
		return NULL;
	if (job && job->occurrences)
		job = occurrence_find(cell, job, id->occurrence, now_ms);
	else if (id->occurrence)
		return NULL;
	return job && job_has_task(job, id->step, id->index) ? job : NULL;
}

/* Lists all jobs except occurrences. */
GPtrArray *cell_list_jobs(const struct waxwing_cell *cell)
{
	GPtrArray *jobs = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cell->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct cell_job *)value)->parent)
			g_ptr_array_add(jobs, value);
	return jobs;
}

bool job_has_task(const struct cell_job *job, uint32_t step, uint32_t index)
{
	return step < job->step_count && index < job->steps[step].spec->count;
}

struct waxwing_capacity step_needs(const Waxwing__JobStep *step)
{
	return (struct waxwing_capacity){ step->fills ? 0 : step->cpu_milli, step->mem_mb,
					  step->gpu };
}

double step_estimate_ms(const Waxwing__JobStep *step)
{
	return step->estimated_ms ? step->estimated_ms : DEFAULT_ESTIMATE_MS;
}

double step_work_ms(const struct cell_job *job, const Waxwing__JobStep *step)
{
	return step_estimate_ms(step) * job->queue->ratio.mean_ms / RATIO_SCALE;
}

/* Returns the expected (median) work of the longest task of a step. */
static double step_longest_ms(const struct queue *queue, const Waxwing__JobStep *step)
{
	double share = pow(0.5, 1.0 / MAX(step->count, 1));

	return step_estimate_ms(step) * waxwing_work_quantile(&queue->ratio, share) / RATIO_SCALE;
}

static double longest_chain_ms(const struct queue *queue, const Waxwing__Job *spec)
{
	double *ends = g_new0(double, spec->n_steps);
	double longest = 0;

	for (size_t i = 0; i < spec->n_steps; i++) {
		double start = 0;

		for (size_t k = 0; k < spec->steps[i]->n_after; k++)
			start = MAX(start, ends[spec->steps[i]->after[k]]);
		ends[i] = start + permits_query_ms(spec) + step_longest_ms(queue, spec->steps[i]);
		longest = MAX(longest, ends[i]);
	}
	g_free(ends);
	return longest;
}

/* Returns the expected work of the job's longest chain of steps, at speed 1. */
double job_work_ms(const struct cell_job *job)
{
	return longest_chain_ms(job->queue, job->spec);
}

static struct queue *find_queue(struct waxwing_cell *cell, const char *name)
{
	struct queue *queue = g_hash_table_lookup(cell->queues, name);

	if (!queue) {
		queue = g_new0(struct queue, 1);
		queue->name = g_strdup(name);
		waxwing_work_init(&queue->ratio, (uint32_t)RATIO_SCALE);
		g_hash_table_insert(cell->queues, queue->name, queue);
	}
	return queue;
}

static void remove_from_ready(struct cell_job *job)
{
	if (job->ready_iter)
		g_sequence_remove(job->ready_iter);
	job->ready_iter = NULL;
}

static void change_ready_count(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			       int change)
{
	const Waxwing__JobStep *spec = job->steps[step].spec;

	job->ready_tasks = (uint32_t)((int)job->ready_tasks + change);
	cell->queued_core_ms +=
		change * (double)step_needs(spec).cpu_milli / 1000 * step_estimate_ms(spec);
	if (!job->ready_tasks)
		remove_from_ready(job);
	else if (!job->ready_iter)
		job->ready_iter =
			g_sequence_insert_sorted(cell->ready_jobs, job, job_compare, NULL);
}

void job_task_ready(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index)
{
	job->steps[step].tasks[index].state = TASK_READY;
	change_ready_count(cell, job, step, 1);
}

/* Repeating jobs wait for their start times, not for capacity. */
bool job_counts_as_waiting(const struct cell_job *job)
{
	return !job->begun && !job->ended && !job->parent && !job->occurrences;
}

void job_set_begun(struct cell_job *job)
{
	if (job_counts_as_waiting(job))
		job->queue->waiting_jobs--;
	job->begun = true;
	if (job->parent)
		job->parent->begun = true;
}

void job_task_assigned(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
		       uint32_t index)
{
	job->steps[step].tasks[index].state = TASK_ASSIGNED;
	job->assigned_tasks++;
	job->started = true;
	change_ready_count(cell, job, step, -1);
}

void job_unblock_steps(struct waxwing_cell *cell, struct cell_job *job)
{
	for (uint32_t i = 0; i < job->step_count; i++) {
		struct cell_step *step = &job->steps[i];
		bool unblocked = !step->unblocked;

		for (size_t k = 0; k < step->spec->n_after && unblocked; k++) {
			uint32_t before = step->spec->after[k];

			unblocked = before < i &&
				    job->steps[before].done == job->spec->steps[before]->count;
		}
		if (!unblocked)
			continue;
		step->unblocked = true;
		for (uint32_t index = 0; index < step->spec->count; index++)
			if (step->tasks[index].state == TASK_BLOCKED)
				job_task_ready(cell, job, i, index);
	}
}

static void free_task(struct task *task)
{
	if (task->failed_runs)
		g_array_free(task->failed_runs, TRUE);
	g_free(task->last_failed_on);
	g_free(task->checkpoint);
	g_free(task->near_wait);
}

void job_free(struct waxwing_cell *cell, struct cell_job *job)
{
	g_hash_table_remove(cell->jobs, job);
	occurrences_free(cell, job->occurrences);
	if (job->parent)
		g_ptr_array_remove(job->parent->occurrences->open_jobs, job);
	remove_from_ready(job);
	for (uint32_t i = 0; i < job->step_count; i++) {
		for (uint32_t k = 0; k < job->spec->steps[i]->count; k++)
			free_task(&job->steps[i].tasks[k]);
		g_free(job->steps[i].tasks);
		g_free(job->steps[i].rack);
		permits_clear(&job->steps[i]);
	}
	g_free(job->steps);
	if (job->state_waiters)
		g_array_free(job->state_waiters, TRUE);
	waxwing__job_offer__free_unpacked(job->offer, NULL);
	g_free(job);
}

static Waxwing__JobVerdict make_verdict(uint64_t job, enum waxwing_job_outcome outcome,
					enum waxwing_error_code reason, uint32_t retry_after_ms)
{
	Waxwing__JobVerdict verdict = WAXWING__JOB_VERDICT__INIT;

	verdict.job = job;
	verdict.outcome = outcome;
	verdict.has_reason = reason != WAXWING_OK;
	verdict.reason = reason;
	verdict.has_retry_after_ms = retry_after_ms != 0;
	verdict.retry_after_ms = retry_after_ms;
	return verdict;
}

static void cache_verdict(struct waxwing_cell *cell, uint64_t issuer, int64_t now_ms,
			  const Waxwing__JobVerdict *verdict)
{
	struct cached_verdict *cached = g_new0(struct cached_verdict, 1);

	cached->verdict = *verdict;
	cached->issuer = issuer;
	cached->expires_ms = now_ms + VERDICT_CACHE_MS;
	g_hash_table_replace(cell->verdicts, &cached->verdict.job, cached);
}

static void send_verdict(struct waxwing_cell *cell, uint64_t issuer, int64_t now_ms,
			 const Waxwing__JobVerdict *verdict)
{
	cache_verdict(cell, issuer, now_ms, verdict);
	cell->options.ops->send_verdict(cell->options.data, issuer, verdict);
}

static void drop_ready_tasks(struct waxwing_cell *cell, struct cell_job *job)
{
	for (uint32_t i = 0; i < job->step_count; i++) {
		for (uint32_t k = 0; k < job->spec->steps[i]->count; k++) {
			if (job->steps[i].tasks[k].state != TASK_READY)
				continue;
			job->steps[i].tasks[k].state = TASK_DONE;
			change_ready_count(cell, job, i, -1);
		}
	}
}

static void stop_runs(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	for (uint32_t i = 0; i < job->step_count; i++) {
		for (uint32_t k = 0; k < job->spec->steps[i]->count; k++) {
			struct cell_run *run = job->steps[i].tasks[k].run;

			if (run && run->state != RUN_STOPPING)
				run_stop(cell, run, now_ms);
		}
	}
}

/* Stops the job's runs and starts no more; the job is freed when its last run has ended. */
void job_close(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	if (job_counts_as_waiting(job))
		job->queue->waiting_jobs--;
	job->ended = true;
	job->closed_ms = now_ms;
	near_waits_drop(cell, job, now_ms);
	drop_ready_tasks(cell, job);
	if (job->occurrences)
		occurrences_close_all(cell, job, now_ms);
	if (job->assigned_tasks)
		stop_runs(cell, job, now_ms);
	else
		job_free_if_unused(cell, job);
}

/* A durable job is not freed before its end is stored. */
void job_free_if_unused(struct waxwing_cell *cell, struct cell_job *job)
{
	struct cell_job *parent = job->parent;

	if (!job->ended || job->assigned_tasks || (job->durable && !job->end_stored) ||
	    (job->occurrences && job->occurrences->open_jobs->len))
		return;
	job_free(cell, job);
	if (parent)
		job_free_if_unused(cell, parent);
}

void job_end(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms,
	     enum waxwing_job_outcome outcome, enum waxwing_error_code reason,
	     uint32_t retry_after_ms)
{
	Waxwing__JobVerdict verdict = make_verdict(job->id, outcome, reason, retry_after_ms);

	cell->refused += outcome == WAXWING_JOB_REFUSED;
	if (outcome != WAXWING_JOB_COMPLETED)
		waxwing_event("job_ended",
			      "job=%016llx outcome=%d reason=%s age_ms=%lld due_ms=%lld",
			      (unsigned long long)job->id, outcome, waxwing_error_name(reason),
			      (long long)(now_ms - job->arrived_ms),
			      (long long)(job->due_ms - job->arrived_ms));
	send_verdict(cell, job->issuer, now_ms, &verdict);
	job_close(cell, job, now_ms);
}

static void finish_task(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			uint32_t index, int64_t now_ms)
{
	struct task *task = &job->steps[step].tasks[index];

	if (task->state == TASK_DONE)
		return;
	if (task->state == TASK_READY)
		change_ready_count(cell, job, step, -1);
	else if (task->run)
		run_abandon(cell, task->run, job->steps[step].spec->gang, now_ms);
	task->state = TASK_DONE;
	job->steps[step].done++;
	job->remaining--;
	if (job->durable)
		durable_task_done(cell, job, step, index);
}

/* When one member of a gang completes, the whole gang is done. */
void job_task_done(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index,
		   int64_t now_ms)
{
	struct cell_step *cell_step = &job->steps[step];

	if (cell_step->tasks[index].state == TASK_DONE || job->ended ||
	    cell_step->spec->long_running)
		return;
	job_set_begun(job);
	if (cell_step->spec->gang)
		for (uint32_t member = 0; member < cell_step->spec->count; member++)
			finish_task(cell, job, step, member, now_ms);
	else
		finish_task(cell, job, step, index, now_ms);
	if (!job->remaining) {
		if (job->parent)
			occurrence_completed(cell, job, now_ms);
		else if (job->durable)
			durable_end(cell, job, now_ms, WAXWING_STATE_COMPLETED);
		else
			job_end(cell, job, now_ms, WAXWING_JOB_COMPLETED, WAXWING_OK, 0);
	} else if (cell_step->done == cell_step->spec->count) {
		job_unblock_steps(cell, job);
	}
}

static bool is_suspect(const struct executor *executor)
{
	const struct waxwing_breaker *breaker = &executor->breaker;

	if (breaker->state != WAXWING_BREAKER_CLOSED)
		return true;
	return breaker->total >= SUSPECT_MIN_OUTCOMES &&
	       breaker->failed > breaker->total * SUSPECT_FAILURE_SHARE;
}

void task_set_checkpoint(struct task *task, const char *checkpoint)
{
	if (!checkpoint || g_strcmp0(task->checkpoint, checkpoint) == 0)
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

uint32_t task_failures(const struct task *task)
{
	return task->failed_runs ? task->failed_runs->len : 0;
}

/*
 * Ends that were not acknowledged are listed again, also to a new owner, so the failure may have
 * been added before.
 */
bool task_add_failure(struct task *task, uint32_t run)
{
	if (!task->failed_runs)
		task->failed_runs = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (guint i = 0; i < task->failed_runs->len; i++)
		if (g_array_index(task->failed_runs, uint32_t, i) == run)
			return false;
	g_array_append_val(task->failed_runs, run);
	return true;
}

/* Failures of a gang are counted for its first task. */
static struct task *failure_task(struct cell_job *job, const struct waxwing_run_id *id)
{
	const struct cell_step *cell_step = &job->steps[id->step];

	return &cell_step->tasks[cell_step->spec->gang ? 0 : id->index];
}

static void store_failure(struct waxwing_cell *cell, struct cell_job *job,
			  const struct waxwing_run_id *id)
{
	struct waxwing_run_id stored = *id;

	if (!task_add_failure(failure_task(job, id), id->run) || !job->durable)
		return;
	if (job->steps[id->step].spec->gang)
		stored.index = 0;
	durable_task_failed(cell, job, &stored);
}

/* Makes the task prefer other executors, which it waits for only for a while. */
void task_failed_on(struct task *task, const struct executor *executor, int64_t now_ms)
{
	g_free(task->last_failed_on);
	task->last_failed_on = g_strdup(executor->id);
	task->avoid_until_ms = now_ms + FAILED_EXECUTOR_AVOID_MS;
}

/*
 * If the lease of the failed run was assumed to have expired, the task may have another run by now.
 */
void job_run_failed(struct waxwing_cell *cell, struct cell_job *job,
		    const struct waxwing_run_id *id, const struct executor *executor,
		    int64_t now_ms)
{
	struct task *task = &job->steps[id->step].tasks[id->index];
	uint32_t max_failures = job->spec->max_attempts;

	if (task->state == TASK_DONE || job->ended || job->steps[id->step].spec->long_running)
		return;
	store_failure(cell, job, id);
	task_failed_on(task, executor, now_ms);
	if (!job->durable && is_suspect(executor))
		max_failures += EXTRA_FAILURES_ALLOWED;
	if (task_failures(failure_task(job, id)) < max_failures) {
		if (task->state == TASK_ASSIGNED && !task->run)
			job_task_ready(cell, job, id->step, id->index);
		return;
	}
	if (task->state == TASK_ASSIGNED && !task->run)
		task->state = TASK_DONE;
	if (job->durable)
		durable_end(cell, job->parent ? job->parent : job, now_ms, WAXWING_STATE_FAILED);
	else
		job_end(cell, job, now_ms, WAXWING_JOB_FAILED, WAXWING_ERROR_TASK_FAILED, 0);
}

void job_reject_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
		      Waxwing__JobOffer *offer, enum waxwing_job_outcome outcome,
		      enum waxwing_error_code reason, uint32_t retry_after_ms)
{
	Waxwing__JobVerdict verdict = make_verdict(offer->job->id, outcome, reason, retry_after_ms);

	cell->refused++;
	waxwing_event(
		"job_refused", "job=%016llx queue=%s reason=%s retry_after_ms=%u ready_tasks=%u",
		(unsigned long long)offer->job->id, offer->job->queue, waxwing_error_name(reason),
		retry_after_ms, g_sequence_get_length(cell->ready_jobs));
	send_verdict(cell, issuer, now_ms, &verdict);
	waxwing__job_offer__free_unpacked(offer, NULL);
}

/*
 * A job that was given up because its issuer was unreachable may be offered by another issuer: it
 * is then treated as a new job, and the cached verdict is ignored.
 */
static bool verdict_applies_to(const struct cached_verdict *cached, uint64_t issuer)
{
	return cached &&
	       (cached->verdict.outcome != WAXWING_JOB_GIVEN_UP || cached->issuer == issuer);
}

/*
 * If the offered job is known, repeats its verdict if there is one, frees the offer and returns
 * true.
 */
static bool answer_known_offer(struct waxwing_cell *cell, uint64_t issuer, Waxwing__JobOffer *offer)
{
	struct cell_job *job = cell_find_job(cell, offer->job->id);
	struct cached_verdict *cached = g_hash_table_lookup(cell->verdicts, &offer->job->id);

	if (job && !job->ended) {
		job->issuer = issuer;
	} else if (verdict_applies_to(cached, issuer)) {
		cell->options.ops->send_verdict(cell->options.data, issuer, &cached->verdict);
	} else {
		return false;
	}
	waxwing__job_offer__free_unpacked(offer, NULL);
	return true;
}

static void add_steps(struct cell_job *job)
{
	job->step_count = (uint32_t)job->spec->n_steps;
	job->steps = g_new0(struct cell_step, job->step_count);
	for (uint32_t i = 0; i < job->step_count; i++) {
		job->steps[i].spec = job->spec->steps[i];
		job->steps[i].tasks = g_new0(struct task, job->spec->steps[i]->count);
		job->remaining += job->spec->steps[i]->count;
		job->long_running |= job->spec->steps[i]->long_running;
	}
	job->total = job->remaining;
}

/* Creates a job without its steps. */
static struct cell_job *add_job(struct waxwing_cell *cell, const Waxwing__Job *spec,
				uint32_t serial, int64_t arrived_ms)
{
	struct cell_job *job = g_new0(struct cell_job, 1);
	double objective_ms;

	job->spec = spec;
	job->id = spec->id;
	job->serial = serial;
	job->durable = spec->kept;
	job->queue = find_queue(cell, spec->queue);
	job->arrived_ms = arrived_ms;
	objective_ms = spec->allowance_ms +
		       spec->stretch_milli / 1000.0 * longest_chain_ms(job->queue, spec);
	job->due_ms = arrived_ms + (int64_t)objective_ms;
	cold_learn_service(cell, spec);
	g_hash_table_insert(cell->jobs, job, job);
	return job;
}

struct cell_job *job_create(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			    Waxwing__JobOffer *offer)
{
	struct cell_job *job = add_job(cell, offer->job, 0, now_ms - offer->age_ms);

	job->offer = offer;
	job->issuer = issuer;
	/*
	 * a former owner that does not know of its successor stops runs only once the issuer is
	 * unreachable
	 */
	if (offer->running_before)
		job->former_runs_until_ms =
			now_ms + waxwing_cell_orders_expire_ms(cell->options.max_lease_ms);
	job->of_earlier_owner = offer->running_before && !offer->job->kept &&
				offer->former_token < cell->options.orderly_since;
	if (job->spec->repetitions) {
		job->occurrences = occurrences_create(job->spec);
		job->remaining = job->total = job->spec->repetitions;
	} else {
		add_steps(job);
		job->queue->waiting_jobs++;
	}
	if (!job->durable)
		job_unblock_steps(cell, job);
	return job;
}

struct cell_job *job_create_occurrence(struct waxwing_cell *cell, struct cell_job *parent,
				       uint32_t occurrence, int64_t start_ms)
{
	struct cell_job *job = add_job(cell, parent->spec, occurrence + 1, start_ms);

	job->parent = parent;
	job->issuer = parent->issuer;
	job->former_runs_until_ms = parent->former_runs_until_ms;
	job->of_earlier_owner = parent->of_earlier_owner;
	job->acceptance_stored = true;
	add_steps(job);
	return job;
}

/*
 * Makes new runs get higher numbers than the runs that former owners started, whose numbers are
 * lower than this owner's fencing token.
 */
static void raise_run_numbers(const struct waxwing_cell *cell, struct cell_job *job)
{
	for (uint32_t i = 0; i < job->step_count; i++)
		for (uint32_t k = 0; k < job->steps[i].spec->count; k++)
			job->steps[i].tasks[k].last_run =
				(uint32_t)(cell->options.fencing_token & INT32_MAX);
}

/* Resumes a job that a former owner may have started. */
void job_resume(struct waxwing_cell *cell, struct cell_job *job)
{
	if (job->former_runs_until_ms)
		raise_run_numbers(cell, job);
	job_unblock_steps(cell, job);
	job_adopt_runs(cell, job);
}

/*
 * Adopts runs that were found before their job was offered. Includes runs that are being stopped,
 * so that their tasks are not started a second time meanwhile.
 */
void job_adopt_runs(struct waxwing_cell *cell, struct cell_job *job)
{
	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];

		for (guint k = 0; executor->unknown_runs && k < executor->runs->len; k++) {
			struct cell_run *run = executor->runs->pdata[k];

			if (!run->job && run->id.job == job->id &&
			    run->id.occurrence == job_occurrence(job) &&
			    job_has_task(job, run->id.step, run->id.index))
				run_adopt(cell, run, job);
		}
	}
}

int64_t job_give_up_ms(const struct cell_job *job)
{
	return job->arrived_ms +
	       (int64_t)(GIVE_UP_FACTOR * (double)(job->due_ms - job->arrived_ms));
}

/*
 * New jobs are served before late ones, but late durable jobs must still run. Returns true
 * if the backlog of work is too large to accept another durable job.
 */
static bool has_full_backlog(const struct waxwing_cell *cell, const struct cell_job *job,
			     int64_t now_ms, uint32_t *wait_ms)
{
	if (!job->durable)
		return false;
	*wait_ms = (uint32_t)cell_expected_wait_ms(cell, job->spec->service, now_ms);
	return *wait_ms > MAX_BACKLOG_MS;
}

/*
 * Returns true if a new job is refused. Only durable jobs must run even if they are late; they are
 * refused when the backlog is too large.
 */
static bool is_refused(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms,
		       uint32_t *wait_ms)
{
	enum admission admission = admission_decide(cell, job, now_ms, wait_ms);

	if (job->durable)
		return *wait_ms + job_work_ms(job) > (double)(job_give_up_ms(job) - now_ms) ||
		       has_full_backlog(cell, job, now_ms, wait_ms);
	return admission == ADMISSION_REFUSED;
}

/*
 * Returns true if the job may have been offered before, started, stopped because its issuer was
 * silent, and forgotten together with its verdict.
 */
static bool may_be_forgotten(const Waxwing__JobOffer *offer)
{
	return !offer->job->kept && !offer->running_before &&
	       offer->age_ms + OFFER_TRANSIT_MS >= VERDICT_CACHE_MS;
}

/*
 * Offers of a durable job are sent again until they are answered, so another copy may arrive after
 * the job was refused. Its issuer may have told the caller by then that nothing runs, so the copy is
 * refused as well. Returns true if it was; frees the offer then.
 */
static bool refuse_repeated_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
				  Waxwing__JobOffer *offer)
{
	const struct cached_verdict *cached = g_hash_table_lookup(cell->verdicts, &offer->job->id);
	int64_t submitted_ms = now_ms - offer->age_ms;

	if (!cached || cached->verdict.outcome != WAXWING_JOB_REFUSED ||
	    submitted_ms > cached->expires_ms - VERDICT_CACHE_MS)
		return false;
	cell->options.ops->send_verdict(cell->options.data, issuer, &cached->verdict);
	waxwing__job_offer__free_unpacked(offer, NULL);
	return true;
}

/* Returns true if an executor has a run of the job that a former owner started. */
static bool has_unknown_runs(const struct waxwing_cell *cell, uint64_t id)
{
	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		for (guint k = 0; executor->unknown_runs && k < executor->runs->len; k++) {
			const struct cell_run *run = executor->runs->pdata[k];

			if (!run->job && run->first_seen_ms && run->id.job == id)
				return true;
		}
	}
	return false;
}

void waxwing_cell_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			Waxwing__JobOffer *offer)
{
	const Waxwing__Job *spec = offer->job;
	/* a job that has runs must not be refused: its issuer would offer it to another cell */
	bool may_run = offer->running_before || has_unknown_runs(cell, spec->id);
	struct cell_job *job;
	uint32_t wait_ms;

	if (spec->kept ? durable_answer_offer(cell, now_ms, issuer, offer) :
			 answer_known_offer(cell, issuer, offer))
		return;
	if (spec->kept && refuse_repeated_offer(cell, now_ms, issuer, offer))
		return;
	job = cell_find_job(cell, spec->id);
	if (job || may_be_forgotten(offer)) {
		/* runs of an earlier submission are still being stopped, or may have been */
		job_reject_offer(cell, now_ms, issuer, offer, WAXWING_JOB_GIVEN_UP,
				 WAXWING_ERROR_OUTCOME_UNKNOWN, MIN_RETRY_AFTER_MS);
		return;
	}
	if (!may_run && evacuation_refuse_offer(cell, now_ms, issuer, offer))
		return;
	for (size_t i = 0; i < spec->n_steps && !may_run; i++) {
		if (!step_fits_somewhere(cell, spec, spec->steps[i]) ||
		    (spec->permits_needed && !cell->options.permits_available)) {
			job_reject_offer(cell, now_ms, issuer, offer, WAXWING_JOB_REFUSED,
					 WAXWING_ERROR_NO_UPSTREAM, MIN_RETRY_AFTER_MS * 5);
			return;
		}
	}
	job = job_create(cell, now_ms, issuer, offer);
	if (!job->durable)
		job_adopt_runs(cell, job);
	if (!may_run && !job->long_running && !job->occurrences &&
	    is_refused(cell, job, now_ms, &wait_ms)) {
		job->durable = false; /* the job is not in the journal */
		job_end(cell, job, now_ms, WAXWING_JOB_REFUSED, WAXWING_ERROR_OVERLOAD,
			admission_retry_after_ms(job, wait_ms));
	} else if (job->durable && spec->permits_needed && !job->occurrences) {
		job->awaits_permits = true;
	} else if (job->durable) {
		durable_accept(cell, job);
	}
}

void waxwing_cell_withdraw(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer, uint64_t id)
{
	struct cell_job *job = cell_find_job(cell, id);

	if (!job || job->ended || job->durable || job->issuer != issuer)
		return;
	waxwing_event("job_withdrawn", "job=%016llx out=%u undone=%u", (unsigned long long)id,
		      job->assigned_tasks, job->remaining);
	job_close(cell, job, now_ms);
}

void waxwing_cell_stop_issuer_jobs(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer)
{
	GList *jobs = g_hash_table_get_values(cell->jobs);

	for (GList *link = jobs; link; link = link->next) {
		struct cell_job *job = link->data;
		Waxwing__JobVerdict verdict = make_verdict(job->id, WAXWING_JOB_GIVEN_UP,
							   WAXWING_ERROR_OUTCOME_UNKNOWN, 0);

		if (job->issuer != issuer || job->ended || job->durable)
			continue;
		/* if offered again, the job must not get a verdict that says that nothing ran */
		if (job->started)
			cache_verdict(cell, issuer, now_ms, &verdict);
		waxwing_cell_withdraw(cell, now_ms, issuer, job->id);
	}
	g_list_free(jobs);
}
