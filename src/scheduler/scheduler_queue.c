#include "scheduler_queue.h"

/** Multiple of the ideal response time after which a job is due. */
#define RANK_STRETCH 16.0

/**
 * The job's work divided by the capacity, times this factor, is added to its due time, so that jobs
 * with less work go first.
 */
#define RANK_WORK_FACTOR 100.0

/**
 * If the job's longest run is longer than typical, its time on the fastest upstream, times this
 * factor, is added to the job's due time.
 */
#define RANK_LONG_RUN_FACTOR 40.0

/** Maximum quantile used for the typical longest task; longer tasks are stragglers. */
#define MAX_TYPICAL_QUANTILE 0.97

/** Factor by which the longest run must grow for the job to be ranked again. */
#define RERANK_GROWTH 1.1

/** A job is due at the latest after this share of the time from its admission to its deadline. */
#define RANK_MAX_DEADLINE_SHARE 0.5

static unsigned int key_hash(const void *data)
{
	const struct waxwing_job_key *key = data;
	uint64_t hash = (key->issuer ^ (key->job * 0x9e3779b97f4a7c15ULL)) * 0xbf58476d1ce4e5b9ULL;

	return (unsigned int)(hash >> 32);
}

static gboolean key_equal(const void *a, const void *b)
{
	const struct waxwing_job_key *left = a;
	const struct waxwing_job_key *right = b;

	return left->issuer == right->issuer && left->job == right->job;
}

static int compare_arrival(const struct waxwing_queue_job *left,
			   const struct waxwing_queue_job *right)
{
	return (left->sequence > right->sequence) - (left->sequence < right->sequence);
}

static int compare_rank(const void *a, const void *b, void *data)
{
	const struct waxwing_queue_job *left = a;
	const struct waxwing_queue_job *right = b;

	(void)data;
	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	return compare_arrival(left, right);
}

static int compare_deadline(const void *a, const void *b, void *data)
{
	const struct waxwing_queue_job *left = a;
	const struct waxwing_queue_job *right = b;

	(void)data;
	if (left->deadline_ms != right->deadline_ms)
		return left->deadline_ms < right->deadline_ms ? -1 : 1;
	return compare_arrival(left, right);
}

static void job_free(void *data)
{
	struct waxwing_queue_job *job = data;

	g_array_free(job->tasks, TRUE);
	g_free(job);
}

void waxwing_queue_init(struct waxwing_queue *queue, struct waxwing_slots *slots)
{
	*queue = (struct waxwing_queue){ .slots = slots };
	waxwing_branches_init(&queue->branches);
	queue->jobs = g_hash_table_new_full(key_hash, key_equal, NULL, job_free);
	queue->by_deadline = g_tree_new_full(compare_deadline, NULL, NULL, NULL);
}

void waxwing_queue_clear(struct waxwing_queue *queue)
{
	waxwing_branches_clear(&queue->branches);
	g_tree_destroy(queue->by_deadline);
	g_hash_table_destroy(queue->jobs);
}

struct waxwing_queue_branch *waxwing_queue_set_branch(struct waxwing_queue *queue,
						      const struct waxwing_branch_policy *policy)
{
	return waxwing_branches_set(&queue->branches, policy, compare_rank);
}

struct waxwing_queue_job *waxwing_queue_find_job(const struct waxwing_queue *queue,
						 struct waxwing_job_key key)
{
	return g_hash_table_lookup(queue->jobs, &key);
}

/** Returns the quantile at which the longest of the job's tasks is expected. */
static double longest_quantile(const struct waxwing_queue_job *job)
{
	return (double)job->tasks->len / (job->tasks->len + 1.0);
}

/** Returns the expected response time of the job's queued tasks if all upstreams were idle. */
static double ideal_ms(const struct waxwing_queue *queue, const struct waxwing_queue_job *job)
{
	const struct waxwing_queued_task *longest = waxwing_job_next(job);
	const struct waxwing_work_estimate *work =
		waxwing_branch_work(job->branch, longest->declared_ms);
	double alone_ms =
		waxwing_work_quantile(work, longest_quantile(job)) / queue->slots->fastest_speed;
	double capacity = queue->slots->capacity;

	return capacity > 0 ? MAX(alone_ms, job->work_ms / capacity) : alone_ms;
}

/** Returns the expected work of the longest of the job's queued tasks, stragglers excluded. */
static double typical_longest_ms(struct waxwing_queue_job *job)
{
	const struct waxwing_work_estimate *work =
		waxwing_branch_work(job->branch, waxwing_job_next(job)->declared_ms);

	return waxwing_work_quantile(work, MIN(longest_quantile(job), MAX_TYPICAL_QUANTILE));
}

/** Returns the due time of the job, computed from its queued tasks. */
static double job_rank(const struct waxwing_queue *queue, const struct waxwing_queue_job *job)
{
	double span_ms = (double)(job->deadline_ms - job->admitted_ms);
	double capacity = queue->slots->capacity;
	double spread_ms = capacity > 0 ? job->work_ms / capacity : 0;
	double due_ms = RANK_STRETCH * ideal_ms(queue, job) + RANK_WORK_FACTOR * spread_ms;

	if (job->longest_run_ms > job->typical_longest_ms)
		due_ms += RANK_LONG_RUN_FACTOR * job->longest_run_ms / queue->slots->fastest_speed;
	return (double)job->admitted_ms + MIN(due_ms, RANK_MAX_DEADLINE_SHARE * span_ms);
}

static void link_job(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	job->rank = job_rank(queue, job);
	g_tree_insert(queue->by_deadline, job, job);
	g_tree_insert(job->branch->by_rank, job, job);
	waxwing_fair_activate(&queue->branches.fair_queue, &job->branch->share);
}

static void unlink_job(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	g_tree_remove(queue->by_deadline, job);
	g_tree_remove(job->branch->by_rank, job);
	if (g_tree_nnodes(job->branch->by_rank) == 0)
		waxwing_fair_deactivate(&queue->branches.fair_queue, &job->branch->share);
}

static void rerank(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	g_tree_remove(job->branch->by_rank, job);
	job->ranked_longest_run_ms = job->longest_run_ms;
	job->rank = job_rank(queue, job);
	g_tree_insert(job->branch->by_rank, job, job);
}

bool waxwing_queue_rerank_if_longer(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	if (job->longest_run_ms <= job->typical_longest_ms ||
	    job->longest_run_ms <= job->ranked_longest_run_ms * RERANK_GROWTH)
		return false;
	rerank(queue, job);
	return true;
}

static void add_tasks(struct waxwing_queue *queue, struct waxwing_queue_job *job, int64_t tasks,
		      double work_ms)
{
	queue->tasks += (uint64_t)tasks;
	queue->work_ms = queue->tasks > 0 ? queue->work_ms + work_ms : 0;
	job->work_ms += work_ms;
	waxwing_branch_add_queued(job->branch, tasks, work_ms);
}

static void add_bytes(struct waxwing_queue *queue, struct waxwing_queue_job *job, int64_t bytes)
{
	job->bytes += (uint64_t)bytes;
	queue->bytes += (uint64_t)bytes;
}

static void free_if_unused(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	if (job->used_slots == 0 && job->tasks->len == 0)
		g_hash_table_remove(queue->jobs, &job->key);
}

/** Links the job to its runs that were adopted before it was offered. */
static void link_runs(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	GHashTableIter iter;
	void *item;

	if (queue->slots->runs_without_job == 0)
		return;
	g_hash_table_iter_init(&iter, queue->slots->runs);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct waxwing_run *run = item;

		if (run->job || !key_equal(&run->key, &job->key))
			continue;
		run->job = job;
		run->work = &job->branch->work;
		queue->slots->runs_without_job--;
		job->used_slots++;
		waxwing_branch_add_used(job->branch, 1);
	}
}

static struct waxwing_queue_job *job_create(struct waxwing_queue *queue,
					    struct waxwing_queue_branch *branch,
					    const struct waxwing_offer *offer)
{
	struct waxwing_queue_job *job = g_new0(struct waxwing_queue_job, 1);

	job->key = offer->key;
	job->branch = branch;
	job->tasks = g_array_new(FALSE, FALSE, sizeof(struct waxwing_queued_task));
	job->admitted_ms = offer->admitted_ms;
	job->deadline_ms = offer->deadline_ms;
	job->sequence = queue->sequence++;
	g_hash_table_insert(queue->jobs, &job->key, job);
	link_runs(queue, job);
	return job;
}

static int compare_tasks(const void *a, const void *b)
{
	const struct waxwing_queued_task *left = a;
	const struct waxwing_queued_task *right = b;

	if (left->expected_ms != right->expected_ms)
		return left->expected_ms < right->expected_ms ? -1 : 1;
	return left->task > right->task ? -1 : 1;
}

static int find_task(const struct waxwing_queue_job *job, uint32_t task)
{
	for (uint32_t i = 0; i < job->tasks->len; i++) {
		if (g_array_index(job->tasks, struct waxwing_queued_task, i).task == task)
			return (int)i;
	}
	return -1;
}

static double append_tasks(struct waxwing_queue *queue, struct waxwing_queue_job *job,
			   const struct waxwing_offer *offer, bool known)
{
	double work_ms = 0;

	for (uint32_t i = 0; i < offer->task_count; i++) {
		struct waxwing_queued_task task = { .task = offer->first_task + i };

		if (known && find_task(job, task.task) >= 0)
			continue;
		if (waxwing_slots_find_run(queue->slots, job->key, task.task))
			continue;
		task.declared_ms = offer->declared_ms ? offer->declared_ms[i] : 0;
		task.expected_ms =
			(float)waxwing_branch_work(job->branch, task.declared_ms)->mean_ms;
		work_ms += (double)task.expected_ms;
		g_array_append_val(job->tasks, task);
	}
	return work_ms;
}

void waxwing_queue_add(struct waxwing_queue *queue, struct waxwing_queue_branch *branch,
		       const struct waxwing_offer *offer)
{
	struct waxwing_queue_job *job = waxwing_queue_find_job(queue, offer->key);
	bool known = job != NULL;
	uint32_t before;
	double work_ms;

	if (!job)
		job = job_create(queue, branch, offer);
	job->refused = WAXWING_OK;
	before = job->tasks->len;
	work_ms = append_tasks(queue, job, offer, known);
	if (job->tasks->len == before) {
		free_if_unused(queue, job);
		return;
	}
	if (offer->declared_ms || before > 0)
		g_array_sort(job->tasks, compare_tasks);
	job->offered_tasks += job->tasks->len - before;
	add_tasks(queue, job, job->tasks->len - before, work_ms);
	add_bytes(queue, job, (int64_t)offer->bytes);
	job->typical_longest_ms = MAX(job->typical_longest_ms, typical_longest_ms(job));
	if (before == 0)
		link_job(queue, job);
	else
		rerank(queue, job);
}

static struct waxwing_queued_task take_task_at(struct waxwing_queue *queue,
					       struct waxwing_queue_job *job, uint32_t index)
{
	struct waxwing_queued_task task =
		g_array_index(job->tasks, struct waxwing_queued_task, index);

	add_bytes(queue, job, -(int64_t)(job->bytes / job->tasks->len));
	add_tasks(queue, job, -1, -(double)task.expected_ms);
	if (job->tasks->len == 1)
		unlink_job(queue, job);
	g_array_remove_index(job->tasks, index);
	if (job->tasks->len > 0)
		rerank(queue, job);
	job->used_slots++;
	waxwing_branch_add_used(job->branch, 1);
	return task;
}

struct waxwing_queued_task waxwing_queue_pop(struct waxwing_queue *queue,
					     struct waxwing_queue_job *job)
{
	return take_task_at(queue, job, job->tasks->len - 1);
}

void waxwing_queue_requeue(struct waxwing_queue *queue, struct waxwing_queue_job *job,
			   struct waxwing_queued_task task)
{
	g_array_append_val(job->tasks, task);
	add_tasks(queue, job, 1, (double)task.expected_ms);
	if (job->tasks->len == 1)
		link_job(queue, job);
	else
		rerank(queue, job);
}

void waxwing_queue_adopt(struct waxwing_queue *queue, struct waxwing_queue_job *job, uint32_t task)
{
	int index = find_task(job, task);

	if (index >= 0) {
		take_task_at(queue, job, (uint32_t)index);
		return;
	}
	job->used_slots++;
	waxwing_branch_add_used(job->branch, 1);
}

void waxwing_queue_release_slot(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	job->used_slots--;
	waxwing_branch_add_used(job->branch, -1);
	free_if_unused(queue, job);
}

void waxwing_queue_drop(struct waxwing_queue *queue, struct waxwing_queue_job *job,
			enum waxwing_error_code reason)
{
	job->refused = reason;
	if (job->tasks->len > 0) {
		unlink_job(queue, job);
		add_tasks(queue, job, -(int64_t)job->tasks->len, -job->work_ms);
		add_bytes(queue, job, -(int64_t)job->bytes);
		g_array_set_size(job->tasks, 0);
	}
	free_if_unused(queue, job);
}

struct waxwing_queue_job *waxwing_queue_first_deadline(const struct waxwing_queue *queue)
{
	GTreeNode *node = g_tree_node_first(queue->by_deadline);

	return node ? g_tree_node_value(node) : NULL;
}
