#include "cell_private.h"

#include <math.h>

#define LOG_PART "cell"
#include "event_log.h"
#include "log.h"

/* A job that ends after this many times its objective is worth nothing to its caller. */
#define WORTHLESS_OBJECTIVES 3.0
/* Failures at executors that fail most of what they start, which a task is allowed beside its own. */
#define FAILURES_FORGIVEN 2
/* Share of failures from which a failure is put down to the executor, and outcomes that tell it. */
#define SUSPECT_SHARE	 0.5
#define SUSPECT_OUTCOMES 2.0
/* Verdicts are repeated to issuers that ask again for so long. */
#define VERDICT_KEPT_MS 6000
/* Least that a caller is told to wait before it comes back. */
#define RETRY_AFTER_LEAST_MS 200
/* A late job still goes before others when no more than this share of its tasks is undone. */
#define NEARLY_DONE_SHARE 0.25
/* Work that waits, in time of the whole cell, beyond which no more is taken that must be kept. */
#define BACKLOG_MOST_MS 2000
/* Runs of a former owner's orders wait this long for their jobs to be offered again. */
#define ORPHAN_KEPT_MS 300

static int compare_jobs(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct cell_job *left = a;
	const struct cell_job *right = b;

	(void)user;
	if (left->lasts != right->lasts)
		return left->lasts ? -1 : 1;
	if (left->late != right->late)
		return left->late ? 1 : -1;
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

/* The job, or the occurrence, that a run is of; null: there is none any more. */
struct cell_job *cell_find_run_job(struct waxwing_cell *cell, const struct waxwing_run_name *name,
				   int64_t now_ms)
{
	struct cell_job *job = cell_find_job(cell, name->job);

	if (job && job->repeats && cell->options.recovering)
		return NULL;
	if (job && job->repeats)
		job = repeats_find(cell, job, name->occurrence, now_ms);
	else if (name->occurrence)
		return NULL;
	return job && job_has_task(job, name->step, name->index) ? job : NULL;
}

/* Without the occurrences, which go with the whole. */
GPtrArray *cell_whole_jobs(const struct waxwing_cell *cell)
{
	GPtrArray *jobs = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cell->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct cell_job *)value)->whole)
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
	return step->estimated_ms ? step->estimated_ms : ESTIMATE_DEFAULT_MS;
}

double step_work_ms(const struct cell_job *job, const Waxwing__JobStep *step)
{
	return step_estimate_ms(step) * job->queue->ratio.mean_ms / RATIO_UNIT;
}

/* Work that the longest of a step's tasks will not often exceed. */
static double step_longest_ms(const struct queue *queue, const Waxwing__JobStep *step)
{
	double share = pow(0.5, 1.0 / MAX(step->count, 1));

	return step_estimate_ms(step) * waxwing_work_quantile(&queue->ratio, share) / RATIO_UNIT;
}

static double longest_chain_ms(const struct queue *queue, const Waxwing__Job *spec)
{
	double *ends = g_new0(double, spec->n_steps);
	double longest = 0;

	for (size_t i = 0; i < spec->n_steps; i++) {
		double start = 0;

		for (size_t k = 0; k < spec->steps[i]->n_after; k++)
			start = MAX(start, ends[spec->steps[i]->after[k]]);
		ends[i] = start + permits_cost_ms(spec) + step_longest_ms(queue, spec->steps[i]);
		longest = MAX(longest, ends[i]);
	}
	g_free(ends);
	return longest;
}

static struct queue *find_queue(struct waxwing_cell *cell, const char *name)
{
	struct queue *queue = g_hash_table_lookup(cell->queues, name);

	if (!queue) {
		queue = g_new0(struct queue, 1);
		queue->name = g_strdup(name);
		waxwing_work_init(&queue->ratio, (uint32_t)RATIO_UNIT);
		g_hash_table_insert(cell->queues, queue->name, queue);
	}
	return queue;
}

static void remove_from_ready(struct cell_job *job)
{
	if (job->place)
		g_sequence_remove(job->place);
	job->place = NULL;
}

static void count_ready(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int change)
{
	const Waxwing__JobStep *spec = job->steps[step].spec;

	job->ready = (uint32_t)((int)job->ready + change);
	cell->queued_core_ms +=
		change * (double)step_needs(spec).cpu_milli / 1000 * step_estimate_ms(spec);
	if (!job->ready)
		remove_from_ready(job);
	else if (!job->place)
		job->place = g_sequence_insert_sorted(cell->ready, job, compare_jobs, NULL);
}

void job_task_ready(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index)
{
	job->steps[step].tasks[index].state = TASK_READY;
	count_ready(cell, job, step, 1);
}

/* Jobs at set times wait for those, not for room. */
bool job_counts_as_waiting(const struct cell_job *job)
{
	return !job->started && !job->whole && !job->repeats;
}

static void mark_started(struct cell_job *job)
{
	if (job_counts_as_waiting(job))
		job->queue->waiting_jobs--;
	job->started = true;
	if (job->whole)
		job->whole->started = true;
}

/* The task has a run now. */
void job_task_taken(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index)
{
	job->steps[step].tasks[index].state = TASK_OUT;
	job->out++;
	mark_started(job);
	count_ready(cell, job, step, -1);
}

void job_open_steps(struct waxwing_cell *cell, struct cell_job *job)
{
	for (uint32_t i = 0; i < job->step_count; i++) {
		struct cell_step *step = &job->steps[i];
		bool open = !step->open;

		for (size_t k = 0; k < step->spec->n_after && open; k++) {
			uint32_t before = step->spec->after[k];

			open = before < i &&
			       job->steps[before].done == job->spec->steps[before]->count;
		}
		if (!open)
			continue;
		step->open = true;
		for (uint32_t index = 0; index < step->spec->count; index++)
			if (step->tasks[index].state == TASK_BLOCKED)
				job_task_ready(cell, job, i, index);
	}
}

static void free_task(struct task *task)
{
	if (task->failed_runs)
		g_array_free(task->failed_runs, TRUE);
	g_free(task->failed_at);
	g_free(task->checkpoint);
}

void job_free(struct waxwing_cell *cell, struct cell_job *job)
{
	g_hash_table_remove(cell->jobs, job);
	repeats_free(cell, job->repeats);
	if (job->whole)
		g_ptr_array_remove(job->whole->repeats->open, job);
	remove_from_ready(job);
	for (uint32_t i = 0; i < job->step_count; i++) {
		for (uint32_t k = 0; k < job->spec->steps[i]->count; k++)
			free_task(&job->steps[i].tasks[k]);
		g_free(job->steps[i].tasks);
		g_free(job->steps[i].rack);
		permits_clear(&job->steps[i]);
	}
	g_free(job->steps);
	if (job->askers)
		g_array_free(job->askers, TRUE);
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

static void keep_verdict(struct waxwing_cell *cell, uint64_t issuer, int64_t now_ms,
			 const Waxwing__JobVerdict *verdict)
{
	struct verdict_kept *kept = g_new0(struct verdict_kept, 1);

	kept->verdict = *verdict;
	kept->issuer = issuer;
	kept->until_ms = now_ms + VERDICT_KEPT_MS;
	g_hash_table_replace(cell->verdicts, &kept->verdict.job, kept);
}

static void give_verdict(struct waxwing_cell *cell, uint64_t issuer, int64_t now_ms,
			 const Waxwing__JobVerdict *verdict)
{
	keep_verdict(cell, issuer, now_ms, verdict);
	cell->options.ops->verdict(cell->options.data, issuer, verdict);
}

static void drop_ready_tasks(struct waxwing_cell *cell, struct cell_job *job)
{
	for (uint32_t i = 0; i < job->step_count; i++) {
		for (uint32_t k = 0; k < job->spec->steps[i]->count; k++) {
			if (job->steps[i].tasks[k].state != TASK_READY)
				continue;
			job->steps[i].tasks[k].state = TASK_DONE;
			count_ready(cell, job, i, -1);
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

/* No order of the job is given any more; the job is freed when its last run has ended. */
void job_close(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	job->ended = true;
	if (job_counts_as_waiting(job))
		job->queue->waiting_jobs--;
	drop_ready_tasks(cell, job);
	if (job->repeats)
		repeats_close_all(cell, job, now_ms);
	if (job->out)
		stop_runs(cell, job, now_ms);
	else
		job_leave(cell, job);
}

/* One that must be kept is there until its end is stored. */
void job_leave(struct waxwing_cell *cell, struct cell_job *job)
{
	struct cell_job *whole = job->whole;

	if (!job->ended || job->out || (job->kept && !job->final_stored) ||
	    (job->repeats && job->repeats->open->len))
		return;
	job_free(cell, job);
	if (whole)
		job_leave(cell, whole);
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
	give_verdict(cell, job->issuer, now_ms, &verdict);
	job_close(cell, job, now_ms);
}

static void finish_task(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			uint32_t index, int64_t now_ms)
{
	struct task *task = &job->steps[step].tasks[index];

	if (task->state == TASK_DONE)
		return;
	if (task->state == TASK_READY)
		count_ready(cell, job, step, -1);
	else if (task->run)
		run_cast_off(cell, task->run, job->steps[step].spec->gang, now_ms);
	task->state = TASK_DONE;
	job->steps[step].done++;
	job->undone--;
	if (job->kept)
		keep_done(cell, job, step, index);
}

/* The end of one member of a gang stands for all. */
void job_task_done(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index,
		   int64_t now_ms)
{
	struct cell_step *at = &job->steps[step];

	if (at->tasks[index].state == TASK_DONE || job->ended || at->spec->long_running)
		return;
	if (at->spec->gang)
		for (uint32_t member = 0; member < at->spec->count; member++)
			finish_task(cell, job, step, member, now_ms);
	else
		finish_task(cell, job, step, index, now_ms);
	if (!job->undone) {
		mark_started(job);
		if (job->whole)
			repeats_ended(cell, job, now_ms);
		else if (job->kept)
			keep_end(cell, job, now_ms, WAXWING_STATE_COMPLETED);
		else
			job_end(cell, job, now_ms, WAXWING_JOB_COMPLETED, WAXWING_OK, 0);
	} else if (at->done == at->spec->count) {
		job_open_steps(cell, job);
	}
}

static bool is_suspect(const struct executor *executor)
{
	const struct waxwing_breaker *breaker = &executor->breaker;

	if (breaker->state != WAXWING_BREAKER_CLOSED)
		return true;
	return breaker->total >= SUSPECT_OUTCOMES &&
	       breaker->failed > breaker->total * SUSPECT_SHARE;
}

void task_take_checkpoint(struct task *task, const char *checkpoint)
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

/* An end that was not acknowledged is listed again, to a new owner too. */
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

/* Failures of a gang's runs are kept with its first task. */
static struct task *failure_task(struct cell_job *job, const struct waxwing_run_name *name)
{
	const struct cell_step *at = &job->steps[name->step];

	return &at->tasks[at->spec->gang ? 0 : name->index];
}

static void note_failure(struct waxwing_cell *cell, struct cell_job *job,
			 const struct waxwing_run_name *name)
{
	struct waxwing_run_name kept = *name;

	if (!task_add_failure(failure_task(job, name), name->run) || !job->kept)
		return;
	if (job->steps[name->step].spec->gang)
		kept.index = 0;
	keep_failure(cell, job, &kept);
}

/* The task's run, or one that was given up as lapsed: the task may have another by now. */
void job_run_failed(struct waxwing_cell *cell, struct cell_job *job,
		    const struct waxwing_run_name *name, const struct executor *executor,
		    int64_t now_ms)
{
	struct task *task = &job->steps[name->step].tasks[name->index];
	uint32_t most = job->spec->max_attempts;

	if (task->state == TASK_DONE || job->ended || job->steps[name->step].spec->long_running)
		return;
	note_failure(cell, job, name);
	g_free(task->failed_at);
	task->failed_at = g_strdup(executor->id);
	if (!job->kept && is_suspect(executor))
		most += FAILURES_FORGIVEN;
	if (task_failures(failure_task(job, name)) < most) {
		if (task->state == TASK_OUT && !task->run)
			job_task_ready(cell, job, name->step, name->index);
		return;
	}
	if (task->state == TASK_OUT && !task->run)
		task->state = TASK_DONE;
	if (job->kept)
		keep_end(cell, job->whole ? job->whole : job, now_ms, WAXWING_STATE_FAILED);
	else
		job_end(cell, job, now_ms, WAXWING_JOB_FAILED, WAXWING_ERROR_TASK_FAILED, 0);
}

/* Ends the offer with a verdict at once. */
void job_answer_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
		      Waxwing__JobOffer *offer, enum waxwing_job_outcome outcome,
		      enum waxwing_error_code reason, uint32_t retry_after_ms)
{
	Waxwing__JobVerdict verdict = make_verdict(offer->job->id, outcome, reason, retry_after_ms);

	cell->refused++;
	waxwing_event(
		"job_refused", "job=%016llx queue=%s reason=%s retry_after_ms=%u ready_tasks=%u",
		(unsigned long long)offer->job->id, offer->job->queue, waxwing_error_name(reason),
		retry_after_ms, g_sequence_get_length(cell->ready));
	give_verdict(cell, issuer, now_ms, &verdict);
	waxwing__job_offer__free_unpacked(offer, NULL);
}

/* A job that was given up for its issuer's silence is a new one when another issuer offers it. */
static bool holds_for(const struct verdict_kept *kept, uint64_t issuer)
{
	return kept && (kept->verdict.outcome != WAXWING_JOB_GIVEN_UP || kept->issuer == issuer);
}

/* True when the offer is of a job that needs no taking in; answers what can be answered. */
static bool is_known(struct waxwing_cell *cell, uint64_t issuer, Waxwing__JobOffer *offer)
{
	struct cell_job *job = cell_find_job(cell, offer->job->id);
	struct verdict_kept *kept = g_hash_table_lookup(cell->verdicts, &offer->job->id);

	if (job && !job->ended) {
		job->issuer = issuer;
	} else if (holds_for(kept, issuer)) {
		cell->options.ops->verdict(cell->options.data, issuer, &kept->verdict);
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
		job->undone += job->spec->steps[i]->count;
		job->lasts |= job->spec->steps[i]->long_running;
	}
	job->tasks = job->undone;
}

/* Without its steps. */
static struct cell_job *add_job(struct waxwing_cell *cell, const Waxwing__Job *spec,
				uint32_t serial, int64_t arrived_ms)
{
	struct cell_job *job = g_new0(struct cell_job, 1);
	double objective_ms;

	job->spec = spec;
	job->id = spec->id;
	job->serial = serial;
	job->kept = spec->kept;
	job->queue = find_queue(cell, spec->queue);
	job->arrived_ms = arrived_ms;
	objective_ms = spec->allowance_ms +
		       spec->stretch_milli / 1000.0 * longest_chain_ms(job->queue, spec);
	job->due_ms = arrived_ms + (int64_t)objective_ms;
	g_hash_table_insert(cell->jobs, job, job);
	return job;
}

struct cell_job *job_create(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			    Waxwing__JobOffer *offer)
{
	struct cell_job *job = add_job(cell, offer->job, 0, now_ms - offer->age_ms);

	job->offer = offer;
	job->issuer = issuer;
	/* a former owner that knows of no successor stops them for the issuer's silence only */
	if (offer->running_before)
		job->unsure_until_ms =
			now_ms + waxwing_cell_orders_last_ms(cell->options.lease_most_ms);
	if (job->spec->repetitions) {
		job->repeats = repeats_create(job->spec);
		job->undone = job->tasks = job->spec->repetitions;
	} else {
		add_steps(job);
		job->queue->waiting_jobs++;
	}
	if (!job->kept)
		job_open_steps(cell, job);
	return job;
}

struct cell_job *job_create_occurrence(struct waxwing_cell *cell, struct cell_job *whole,
				       uint32_t occurrence, int64_t due_ms)
{
	struct cell_job *job = add_job(cell, whole->spec, occurrence + 1, due_ms);

	job->whole = whole;
	job->issuer = whole->issuer;
	job->unsure_until_ms = whole->unsure_until_ms;
	job->stored = true;
	add_steps(job);
	return job;
}

/* Runs of former owners have lower numbers than this owner's token. */
static void raise_runs(const struct waxwing_cell *cell, struct cell_job *job)
{
	for (uint32_t i = 0; i < job->step_count; i++)
		for (uint32_t k = 0; k < job->steps[i].spec->count; k++)
			job->steps[i].tasks[k].last_run =
				(uint32_t)(cell->options.fencing_token & INT32_MAX);
}

/* Goes on with what a former owner began. */
void job_resume(struct waxwing_cell *cell, struct cell_job *job)
{
	if (job->unsure_until_ms)
		raise_runs(cell, job);
	job_open_steps(cell, job);
	job_adopt_runs(cell, job);
}

/*
 * Runs that were found before their job was offered. One that is being stopped counts as out as well:
 * its task must not start beside it.
 */
void job_adopt_runs(struct waxwing_cell *cell, struct cell_job *job)
{
	for (guint i = 0; i < cell->list->len; i++) {
		struct executor *executor = cell->list->pdata[i];

		for (guint k = 0; executor->foreign && k < executor->runs->len; k++) {
			struct cell_run *run = executor->runs->pdata[k];

			if (!run->job && run->name.job == job->id &&
			    run->name.occurrence == job_occurrence(job) &&
			    job_has_task(job, run->name.step, run->name.index))
				run_adopt(cell, run, job);
		}
	}
}

static int64_t worthless_ms(const struct cell_job *job)
{
	return job->arrived_ms +
	       (int64_t)(WORTHLESS_OBJECTIVES * (double)(job->due_ms - job->arrived_ms));
}

/* The end that a new job can expect, with what is due before it done first. */
static bool will_be_worthless(struct waxwing_cell *cell, int64_t now_ms, struct cell_job *job,
			      uint32_t *wait_ms)
{
	double work = longest_chain_ms(job->queue, job->spec);
	double ahead = 0;
	double capacity = cell_capacity(cell, job->spec->service, now_ms);
	GSequenceIter *iter = g_sequence_get_begin_iter(cell->ready);

	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
		const struct cell_job *other = g_sequence_get(iter);

		if (other == job || compare_jobs(other, job, NULL) > 0)
			break;
		if (strcmp(other->spec->service, job->spec->service) != 0)
			continue;
		for (size_t i = 0; i < other->spec->n_steps; i++)
			ahead += other->ready * (double)step_needs(other->steps[i].spec).cpu_milli /
				 1000 * step_work_ms(other, other->steps[i].spec) /
				 (double)other->spec->n_steps;
	}
	*wait_ms = (uint32_t)(capacity > 0 ? ahead / capacity : 0);
	return now_ms + (int64_t)(*wait_ms + work) > worthless_ms(job);
}

/*
 * New jobs go before late ones, which must be run all the same when they are kept: so many are taken as can
 * be caught up with.
 */
static bool is_behind(const struct waxwing_cell *cell, const struct cell_job *job, int64_t now_ms,
		      uint32_t *wait_ms)
{
	if (!job->kept)
		return false;
	*wait_ms = (uint32_t)cell_wait_ms(cell, job->spec->service, now_ms);
	return *wait_ms > BACKLOG_MOST_MS;
}

void waxwing_cell_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			Waxwing__JobOffer *offer)
{
	const Waxwing__Job *spec = offer->job;
	bool before = offer->running_before;
	struct cell_job *job;
	uint32_t wait_ms;

	if (spec->kept ? keep_offer(cell, now_ms, issuer, offer) : is_known(cell, issuer, offer))
		return;
	job = cell_find_job(cell, spec->id);
	if (job) {
		/* an earlier submission's runs are still being stopped */
		job_answer_offer(cell, now_ms, issuer, offer, WAXWING_JOB_GIVEN_UP,
				 WAXWING_ERROR_OUTCOME_UNKNOWN, RETRY_AFTER_LEAST_MS);
		return;
	}
	for (size_t i = 0; i < spec->n_steps && !before; i++) {
		if (!step_fits_somewhere(cell, spec, spec->steps[i]) ||
		    (spec->permits_needed && !cell->options.permits)) {
			job_answer_offer(cell, now_ms, issuer, offer, WAXWING_JOB_REFUSED,
					 WAXWING_ERROR_NO_UPSTREAM, RETRY_AFTER_LEAST_MS * 5);
			return;
		}
	}
	job = job_create(cell, now_ms, issuer, offer);
	if (!job->kept)
		job_adopt_runs(cell, job);
	if (!before && !job->lasts && !job->repeats &&
	    (will_be_worthless(cell, now_ms, job, &wait_ms) ||
	     is_behind(cell, job, now_ms, &wait_ms))) {
		job->kept = false; /* nothing of it is stored */
		job_end(cell, job, now_ms, WAXWING_JOB_REFUSED, WAXWING_ERROR_OVERLOAD,
			MAX(wait_ms, RETRY_AFTER_LEAST_MS));
	} else if (job->kept && spec->permits_needed && !job->repeats) {
		job->checked_first = true;
	} else if (job->kept) {
		keep_begin(cell, job);
	}
}

void waxwing_cell_withdraw(struct waxwing_cell *cell, int64_t now_ms, uint64_t id)
{
	struct cell_job *job = cell_find_job(cell, id);

	if (!job || job->ended || job->kept)
		return;
	waxwing_event("job_withdrawn", "job=%016llx out=%u undone=%u", (unsigned long long)id,
		      job->out, job->undone);
	job_close(cell, job, now_ms);
}

void waxwing_cell_forget_issuer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer)
{
	GList *jobs = g_hash_table_get_values(cell->jobs);

	for (GList *at = jobs; at; at = at->next) {
		struct cell_job *job = at->data;
		Waxwing__JobVerdict verdict = make_verdict(job->id, WAXWING_JOB_GIVEN_UP,
							   WAXWING_ERROR_OUTCOME_UNKNOWN, 0);

		if (job->issuer != issuer || job->ended || job->kept)
			continue;
		/* if the issuer asks again, it must not hear that nothing ran */
		if (job->started)
			keep_verdict(cell, issuer, now_ms, &verdict);
		waxwing_cell_withdraw(cell, now_ms, job->id);
	}
	g_list_free(jobs);
}

/* Little work that completes a job is worth more than as much of a job that has hardly begun. */
static bool is_nearly_done(const struct cell_job *job)
{
	return job->undone <= NEARLY_DONE_SHARE * job->tasks;
}

static void set_late(struct cell_job *job, bool late)
{
	if (job->late == late || job->lasts)
		return;
	job->late = late;
	if (job->place)
		g_sequence_sort_changed(job->place, compare_jobs, NULL);
}

/* A job that no executor here may run is another cell's, as long as nothing of it was accepted or started. */
static void sweep_permits(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	bool hopeless;
	uint32_t unknown = permits_unknown_step(cell, job, now_ms, &hopeless);

	if (hopeless) {
		job->kept = false; /* nothing of it is stored */
		job_end(cell, job, now_ms, WAXWING_JOB_REFUSED, WAXWING_ERROR_NO_UPSTREAM,
			RETRY_AFTER_LEAST_MS * 5);
	} else if (job->checked_first && unknown < job->step_count) {
		permits_want(cell, job, unknown, now_ms);
	} else if (job->checked_first) {
		job->checked_first = false;
		keep_begin(cell, job);
	}
}

static void sweep_job(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	keep_tell_late_askers(cell, job, now_ms);
	if (job->ended)
		return;
	if (job->repeats) {
		if (job->stored && !cell->options.recovering)
			repeats_sweep(cell, job, now_ms);
		return;
	}
	if (!job->kept && !job->started && now_ms > worthless_ms(job)) {
		job_end(cell, job, now_ms, WAXWING_JOB_REFUSED, WAXWING_ERROR_DEADLINE,
			(uint32_t)MAX(cell_wait_ms(cell, job->spec->service, now_ms),
				      RETRY_AFTER_LEAST_MS));
		return;
	}
	set_late(job, now_ms > job->due_ms && !is_nearly_done(job));
	if (job->spec->permits_needed && (job->kept ? job->checked_first : !job->started))
		sweep_permits(cell, job, now_ms);
}

static void sweep_runs(struct waxwing_cell *cell, int64_t now_ms)
{
	for (guint i = 0; i < cell->list->len; i++) {
		struct executor *executor = cell->list->pdata[i];

		lasting_sweep(cell, executor, now_ms);
		for (guint k = 0; k < executor->runs->len; k++) {
			struct cell_run *run = executor->runs->pdata[k];
			bool again = run->state == RUN_STOPPING && !run->stopped_by_ms &&
				     now_ms >= run->stop_next_ms;
			bool orphan = !run->job && run->state == RUN_RUNNING &&
				      !cell->options.recovering &&
				      now_ms - run->seen_ms >= ORPHAN_KEPT_MS;

			if (run->job && !run->job->kept && run->stopped_by_ms &&
			    now_ms >= run->stopped_by_ms)
				run_release_task(cell, run);

			if (again || orphan)
				run_stop(cell, run, now_ms);
		}
	}
}

static gboolean verdict_is_old(gpointer key, gpointer value, gpointer now_ms)
{
	const struct verdict_kept *kept = value;

	(void)key;
	return kept->until_ms <= *(int64_t *)now_ms;
}

void cell_sweep_jobs(struct waxwing_cell *cell, int64_t now_ms)
{
	GList *jobs = g_hash_table_get_values(cell->jobs);

	for (GList *at = jobs; at; at = at->next)
		sweep_job(cell, at->data, now_ms);
	g_list_free(jobs);
	sweep_runs(cell, now_ms);
	keep_sweep(cell, now_ms);
	g_hash_table_foreach_remove(cell->verdicts, verdict_is_old, &now_ms);
}
