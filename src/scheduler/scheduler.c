#include "scheduler.h"

#include "scheduler_admit.h"
#include "scheduler_place.h"
#include "scheduler_queue.h"
#include "scheduler_slots.h"

/** Default limits of the queue. */
#define DEFAULT_QUEUE_TASKS 200000u
#define DEFAULT_QUEUE_BYTES (64ull << 20)

/** Assumed run time of a run without an estimate, in milliseconds. */
#define UNKNOWN_RUN_MS 500u

/** Interval at which a task that waits for a faster slot is reconsidered, in milliseconds. */
#define RECHECK_MS 20

/** A refusal that the caller has not taken yet. */
struct pending_refusal {
	struct waxwing_job_key key;
	enum waxwing_error_code reason;
};

struct waxwing_scheduler {
	struct waxwing_scheduler_options options;
	struct waxwing_slots slots;
	struct waxwing_queue queue;
	GArray *refusals; /**< struct pending_refusal; taken from the end */
	/** When to reconsider tasks that wait for a faster slot; INT64_MAX: no task waits. */
	int64_t recheck_ms;
	uint64_t last_grant; /**< number of the last grant */
	uint64_t grants; /**< number of grants since creation */
	uint64_t refused; /**< number of refusals since creation */
	uint64_t busy; /**< total of busy answers */
};

void waxwing_scheduler_set_limits(struct waxwing_scheduler *scheduler, uint32_t queue_tasks,
				  uint64_t queue_bytes)
{
	scheduler->options.queue_tasks = queue_tasks ? queue_tasks : DEFAULT_QUEUE_TASKS;
	scheduler->options.queue_bytes = queue_bytes ? queue_bytes : DEFAULT_QUEUE_BYTES;
}

struct waxwing_scheduler *waxwing_scheduler_create(const struct waxwing_scheduler_options *options)
{
	struct waxwing_scheduler *scheduler = g_new0(struct waxwing_scheduler, 1);

	scheduler->options = *options;
	waxwing_scheduler_set_limits(scheduler, options->queue_tasks, options->queue_bytes);
	waxwing_slots_init(&scheduler->slots);
	waxwing_queue_init(&scheduler->queue, &scheduler->slots);
	scheduler->recheck_ms = INT64_MAX;
	scheduler->refusals = g_array_new(FALSE, FALSE, sizeof(struct pending_refusal));
	return scheduler;
}

void waxwing_scheduler_destroy(struct waxwing_scheduler *scheduler)
{
	if (!scheduler)
		return;
	g_array_free(scheduler->refusals, TRUE);
	waxwing_queue_clear(&scheduler->queue);
	waxwing_slots_clear(&scheduler->slots);
	g_free(scheduler);
}

static void push_refusal(struct waxwing_scheduler *scheduler, struct waxwing_job_key key,
			 enum waxwing_error_code reason)
{
	struct pending_refusal pending_refusal = { key, reason };

	g_array_append_val(scheduler->refusals, pending_refusal);
}

static void refuse_job(struct waxwing_scheduler *scheduler, struct waxwing_queue_job *job,
		       enum waxwing_error_code reason)
{
	push_refusal(scheduler, job->key, reason);
	waxwing_queue_drop(&scheduler->queue, job, reason);
}

/**
 * Drops the queued tasks of the jobs that @match accepts and refuses each of these jobs, unless the
 * reason is WAXWING_ERROR_CANCELLED.
 */
static void drop_jobs(struct waxwing_scheduler *scheduler,
		      bool (*match)(const struct waxwing_queue_job *job, const void *data),
		      const void *data, enum waxwing_error_code reason)
{
	g_autoptr(GPtrArray) jobs = g_ptr_array_new();
	GHashTableIter iter;
	void *item;

	g_hash_table_iter_init(&iter, scheduler->queue.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		if (match(item, data))
			g_ptr_array_add(jobs, item);
	}
	for (size_t i = 0; i < jobs->len; i++) {
		struct waxwing_queue_job *job = jobs->pdata[i];

		if (reason != WAXWING_ERROR_CANCELLED && job->tasks->len > 0)
			push_refusal(scheduler, job->key, reason);
		waxwing_queue_drop(&scheduler->queue, job, reason);
	}
}

static bool job_has_branch(const struct waxwing_queue_job *job, const void *branch)
{
	return job->branch == branch;
}

void waxwing_scheduler_set_branch(struct waxwing_scheduler *scheduler, int64_t now_ms,
				  const struct waxwing_branch_policy *policy)
{
	struct waxwing_queue_branch *branch = waxwing_queue_set_branch(&scheduler->queue, policy);

	(void)now_ms;
	if (branch->retired)
		drop_jobs(scheduler, job_has_branch, branch, WAXWING_ERROR_RETIRED);
}

void waxwing_scheduler_set_team(struct waxwing_scheduler *scheduler, int64_t now_ms,
				const struct waxwing_team_policy *policy)
{
	(void)now_ms;
	waxwing_branches_set_team(&scheduler->queue.branches, policy);
}

void waxwing_scheduler_set_upstream(struct waxwing_scheduler *scheduler, int64_t now_ms,
				    struct waxwing_str upstream, uint32_t slots,
				    enum waxwing_upstream_state state)
{
	(void)now_ms;
	waxwing_slots_set_upstream(&scheduler->slots, upstream, slots, state);
}

enum waxwing_error_code waxwing_scheduler_offer(struct waxwing_scheduler *scheduler, int64_t now_ms,
						const struct waxwing_offer *offer,
						struct waxwing_error *error)
{
	struct waxwing_queue_branch *branch =
		waxwing_branches_find(&scheduler->queue.branches, offer->branch);
	enum waxwing_error_code code;

	waxwing_slots_refresh(&scheduler->slots, now_ms);
	code = waxwing_admit(&scheduler->queue, &scheduler->options, now_ms, branch, offer, error);
	if (code != WAXWING_OK) {
		scheduler->refused++;
		return code;
	}
	waxwing_queue_add(&scheduler->queue, branch, offer);
	return WAXWING_OK;
}

void waxwing_scheduler_withdraw(struct waxwing_scheduler *scheduler, int64_t now_ms,
				struct waxwing_job_key key)
{
	struct waxwing_queue_job *job = waxwing_queue_find_job(&scheduler->queue, key);

	(void)now_ms;
	if (job)
		waxwing_queue_drop(&scheduler->queue, job, WAXWING_ERROR_CANCELLED);
}

void waxwing_scheduler_adopt(struct waxwing_scheduler *scheduler, int64_t now_ms,
			     struct waxwing_job_key key, uint32_t task, struct waxwing_str upstream,
			     int64_t started_ms)
{
	struct waxwing_slot_upstream *target = waxwing_slots_find(&scheduler->slots, upstream);
	struct waxwing_run *run;

	if (waxwing_slots_find_run(&scheduler->slots, key, task))
		return;
	if (!target)
		target = waxwing_slots_set_upstream(&scheduler->slots, upstream, 0,
						    WAXWING_UPSTREAM_LIVE);
	run = waxwing_slots_start_run(&scheduler->slots, target, key, task, started_ms);
	run->job = waxwing_queue_find_job(&scheduler->queue, key);
	if (!run->job)
		return;
	scheduler->slots.runs_without_job--;
	waxwing_run_set_expected(run, &run->job->branch->work, run->job->branch->work.mean_ms,
				 now_ms);
	waxwing_queue_adopt(&scheduler->queue, run->job, task);
}

static bool task_not_started(enum waxwing_slot_outcome outcome)
{
	return outcome == WAXWING_SLOT_BUSY || outcome == WAXWING_SLOT_UNREACHABLE ||
	       outcome == WAXWING_SLOT_LEAVING;
}

static void requeue(struct waxwing_scheduler *scheduler, const struct waxwing_run *run)
{
	struct waxwing_queued_task task = { run->task, run->declared_ms, run->expected_ms };

	if (!run->job)
		push_refusal(scheduler, run->key, WAXWING_ERROR_NO_UPSTREAM);
	else if (run->job->refused == WAXWING_OK)
		waxwing_queue_requeue(&scheduler->queue, run->job, task);
	else if (run->job->refused != WAXWING_ERROR_CANCELLED)
		push_refusal(scheduler, run->key, run->job->refused);
}

static void end_run(struct waxwing_scheduler *scheduler, struct waxwing_run *run)
{
	struct waxwing_queue_job *job = run->job;

	waxwing_slots_end_run(&scheduler->slots, run);
	if (job)
		waxwing_queue_release_slot(&scheduler->queue, job);
}

static void learn_run(struct waxwing_scheduler *scheduler, const struct waxwing_run *run,
		      uint32_t run_ms)
{
	struct waxwing_queue_branch *branch = run->job->branch;
	double work_ms = run_ms * run->upstream->speed.value;

	waxwing_branch_learn(branch, run->declared_ms, &run->upstream->speed, run_ms);
	waxwing_fair_charge(&scheduler->queue.branches.fair_queue, &branch->share,
			    work_ms - (double)run->expected_ms);
}

static void record_outcome(struct waxwing_scheduler *scheduler, int64_t now_ms,
			   struct waxwing_run *run, enum waxwing_slot_outcome outcome,
			   uint32_t run_ms)
{
	if (outcome == WAXWING_SLOT_DONE && run->job)
		learn_run(scheduler, run, run_ms);
	if (outcome == WAXWING_SLOT_LEAVING && run->upstream->state == WAXWING_UPSTREAM_LIVE)
		waxwing_slots_set_state(&scheduler->slots, run->upstream, WAXWING_UPSTREAM_LEAVING);
	if (outcome == WAXWING_SLOT_BUSY)
		scheduler->busy++;
	waxwing_slots_record_outcome(&scheduler->slots, run, outcome, now_ms);
}

void waxwing_scheduler_slot_ended(struct waxwing_scheduler *scheduler, int64_t now_ms,
				  struct waxwing_job_key key, uint32_t task,
				  struct waxwing_str upstream, enum waxwing_slot_outcome outcome,
				  uint32_t run_ms)
{
	struct waxwing_run *run = waxwing_slots_find_run(&scheduler->slots, key, task);

	if (!run || !waxwing_str_equal(run->upstream->name, upstream))
		return;
	waxwing_slots_update_usage(&scheduler->slots, now_ms);
	record_outcome(scheduler, now_ms, run, outcome, run_ms);
	if (task_not_started(outcome))
		requeue(scheduler, run);
	end_run(scheduler, run);
}

static bool job_has_issuer(const struct waxwing_queue_job *job, const void *issuer)
{
	return job->key.issuer == *(const uint64_t *)issuer;
}

static int64_t expected_end_ms(const struct waxwing_run *run)
{
	double speed = run->upstream->speed.value;

	if (!run->work)
		return run->started_ms + UNKNOWN_RUN_MS;
	return run->started_ms + (int64_t)((double)run->expected_ms / speed);
}

/** Drops the pending refusals for an issuer. */
static void drop_refusals(struct waxwing_scheduler *scheduler, uint64_t issuer)
{
	for (uint32_t i = scheduler->refusals->len; i-- > 0;) {
		if (g_array_index(scheduler->refusals, struct pending_refusal, i).key.issuer ==
		    issuer)
			g_array_remove_index_fast(scheduler->refusals, i);
	}
}

void waxwing_scheduler_issuer_lost(struct waxwing_scheduler *scheduler, int64_t now_ms,
				   uint64_t issuer)
{
	GHashTableIter iter;
	void *item;

	drop_jobs(scheduler, job_has_issuer, &issuer, WAXWING_ERROR_CANCELLED);
	drop_refusals(scheduler, issuer);
	g_hash_table_iter_init(&iter, scheduler->slots.runs);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct waxwing_run *run = item;

		if (run->key.issuer == issuer)
			waxwing_slots_release_at(&scheduler->slots, run,
						 MAX(now_ms, expected_end_ms(run)));
	}
}

void waxwing_scheduler_forget_issuer(struct waxwing_scheduler *scheduler, int64_t now_ms,
				     uint64_t issuer)
{
	g_autoptr(GPtrArray) runs = g_ptr_array_new();
	GHashTableIter iter;
	void *item;

	(void)now_ms;
	drop_jobs(scheduler, job_has_issuer, &issuer, WAXWING_ERROR_CANCELLED);
	g_hash_table_iter_init(&iter, scheduler->slots.runs);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		if (((struct waxwing_run *)item)->key.issuer == issuer)
			g_ptr_array_add(runs, item);
	}
	for (size_t i = 0; i < runs->len; i++)
		end_run(scheduler, runs->pdata[i]);
	drop_refusals(scheduler, issuer);
}

void waxwing_scheduler_record_run(struct waxwing_scheduler *scheduler, int64_t now_ms,
				  struct waxwing_str branch, struct waxwing_str upstream,
				  uint32_t run_ms)
{
	struct waxwing_queue_branch *found_branch =
		waxwing_branches_find(&scheduler->queue.branches, branch);
	struct waxwing_slot_upstream *found_upstream =
		waxwing_slots_find(&scheduler->slots, upstream);

	(void)now_ms;
	if (found_branch && found_upstream)
		waxwing_branch_learn(found_branch, 0, &found_upstream->speed, run_ms);
}

static void expire(struct waxwing_scheduler *scheduler, int64_t now_ms)
{
	struct waxwing_queue_job *job;
	struct waxwing_run *run;

	while ((job = waxwing_queue_first_deadline(&scheduler->queue)) &&
	       job->deadline_ms <= now_ms)
		refuse_job(scheduler, job, WAXWING_ERROR_DEADLINE);
	while ((run = waxwing_slots_next_released(&scheduler->slots, now_ms)))
		end_run(scheduler, run);
}

static void pop_refusal(struct waxwing_scheduler *scheduler, struct waxwing_action *action)
{
	uint32_t last = scheduler->refusals->len - 1;
	struct pending_refusal pending_refusal =
		g_array_index(scheduler->refusals, struct pending_refusal, last);

	g_array_set_size(scheduler->refusals, last);
	scheduler->refused++;
	*action = (struct waxwing_action){
		.kind = WAXWING_ACTION_REFUSE,
		.key = pending_refusal.key,
		.reason = pending_refusal.reason,
	};
}

static void grant(struct waxwing_scheduler *scheduler, int64_t now_ms,
		  struct waxwing_queue_job *job, struct waxwing_slot_upstream *upstream,
		  struct waxwing_action *action)
{
	struct waxwing_job_key key = job->key;
	double remaining_ms = waxwing_job_remaining_ms(job);
	struct waxwing_queued_task task = waxwing_queue_pop(&scheduler->queue, job);
	struct waxwing_run *run =
		waxwing_slots_start_run(&scheduler->slots, upstream, key, task.task, now_ms);

	run->declared_ms = task.declared_ms;
	run->job = job;
	scheduler->slots.runs_without_job--;
	waxwing_run_set_expected(run, waxwing_branch_work(job->branch, task.declared_ms),
				 (double)task.expected_ms, now_ms);
	waxwing_fair_charge(&scheduler->queue.branches.fair_queue, &job->branch->share,
			    (double)task.expected_ms);
	run->grant = ++scheduler->last_grant;
	waxwing_run_set_size(&scheduler->slots, run, remaining_ms);
	scheduler->grants++;
	*action = (struct waxwing_action){
		.kind = WAXWING_ACTION_GRANT,
		.key = key,
		.task = task.task,
		.grant = run->grant,
		.upstream = upstream->name,
	};
}

bool waxwing_scheduler_next_action(struct waxwing_scheduler *scheduler, int64_t now_ms,
				   struct waxwing_action *action)
{
	struct waxwing_placement placement;
	bool any_waiting;

	expire(scheduler, now_ms);
	if (scheduler->refusals->len > 0) {
		pop_refusal(scheduler, action);
		return true;
	}
	waxwing_slots_refresh(&scheduler->slots, now_ms);
	if (waxwing_find_placement(&scheduler->queue, &scheduler->slots, &placement,
				   &any_waiting)) {
		grant(scheduler, now_ms, placement.job, placement.upstream, action);
		return true;
	}
	scheduler->recheck_ms = any_waiting ? now_ms + RECHECK_MS : INT64_MAX;
	return false;
}

int64_t waxwing_scheduler_next_wake(const struct waxwing_scheduler *scheduler)
{
	const struct waxwing_queue_job *job = waxwing_queue_first_deadline(&scheduler->queue);
	int64_t wake_ms = scheduler->slots.first_release_ms;

	wake_ms = MIN(wake_ms, scheduler->recheck_ms);
	if (!job)
		return wake_ms;
	wake_ms = MIN(wake_ms, scheduler->slots.next_available_ms);
	return MIN(wake_ms, job->deadline_ms);
}

uint32_t waxwing_scheduler_expected_wait(const struct waxwing_scheduler *scheduler)
{
	double capacity = scheduler->slots.capacity;
	double wait_ms = capacity > 0 ? scheduler->queue.work_ms / capacity : UINT32_MAX;

	return (uint32_t)MIN(wait_ms, UINT32_MAX);
}

void waxwing_scheduler_view(const struct waxwing_scheduler *scheduler,
			    struct waxwing_scheduler_view *view)
{
	*view = (struct waxwing_scheduler_view){
		.queued_tasks = scheduler->queue.tasks,
		.queued_bytes = scheduler->queue.bytes,
		.queued_jobs = (uint64_t)g_tree_nnodes(scheduler->queue.by_deadline),
		.slots = scheduler->slots.live_slots,
		.used_slots = g_hash_table_size(scheduler->slots.runs),
		.grants = scheduler->grants,
		.refusals = scheduler->refused,
		.busy_answers = scheduler->busy,
		.upstreams = scheduler->slots.upstreams->len,
	};
}

bool waxwing_scheduler_upstream_view(const struct waxwing_scheduler *scheduler, size_t index,
				     struct waxwing_upstream_view *view)
{
	const struct waxwing_slots *slots = &scheduler->slots;
	const struct waxwing_slot_upstream *upstream;

	if (index >= scheduler->slots.upstreams->len)
		return false;
	upstream = scheduler->slots.upstreams->pdata[index];
	*view = (struct waxwing_upstream_view){
		.name = upstream->name,
		.slots = upstream->slots,
		.used_slots = upstream->used_slots,
		.speed = upstream->speed.value / (slots->capacity / MAX(slots->live_slots, 1)),
		.state = upstream->state,
		.breaker = waxwing_breaker_state_name(upstream->breaker.state),
	};
	return true;
}
