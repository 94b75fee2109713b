#include "scheduler_queue.h"

/** Multiple of the ideal response time within which every job is to be answered. */
#define RANK_STRETCH 16.0

/** Times the job's work over all slots by which it is due later still, so that less work goes first. */
#define RANK_SPREAD 100.0

/** Times the longest run on the fastest slot by which a job is due later once that is longer than usual. */
#define RANK_SEEN 40.0

/** The usual longest task is that of so many at most: beyond, it is a straggler. */
#define USUAL_SHARE 0.97

/** Growth of the longest run that ranks a job again. */
#define SEEN_GROWTH 1.1

/** Share of the time until a job's deadline after which it is due at the latest. */
#define RANK_SPAN_SHARE 0.5

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

struct waxwing_queue_job *waxwing_queue_job(const struct waxwing_queue *queue,
					    struct waxwing_job_key key)
{
	return g_hash_table_lookup(queue->jobs, &key);
}

/** Share of the tasks of this kind that the longest of the job's exceeds. */
static double longest_share(const struct waxwing_queue_job *job)
{
	return (double)job->tasks->len / (job->tasks->len + 1.0);
}

/** Response time of the job's queued tasks alone on idle upstreams, as expected. */
static double ideal_ms(const struct waxwing_queue *queue, const struct waxwing_queue_job *job)
{
	const struct waxwing_queued_task *longest = waxwing_job_next(job);
	const struct waxwing_work *work = waxwing_branch_work(job->branch, longest->declared_ms);
	double alone_ms = waxwing_work_quantile(work, longest_share(job)) / queue->slots->fastest;
	double capacity = queue->slots->capacity;

	return capacity > 0 ? MAX(alone_ms, job->work_ms / capacity) : alone_ms;
}

/** Work of the longest of the job's queued tasks, unless one of them is a straggler. */
static double usual_longest_ms(struct waxwing_queue_job *job)
{
	const struct waxwing_work *work =
		waxwing_branch_work(job->branch, waxwing_job_next(job)->declared_ms);

	return waxwing_work_quantile(work, MIN(longest_share(job), USUAL_SHARE));
}

/** When the job is due, were it offered again as it is now. */
static double rank_of(const struct waxwing_queue *queue, const struct waxwing_queue_job *job)
{
	double span_ms = (double)(job->deadline_ms - job->admitted_ms);
	double capacity = queue->slots->capacity;
	double spread_ms = capacity > 0 ? job->work_ms / capacity : 0;
	double due_ms = RANK_STRETCH * ideal_ms(queue, job) + RANK_SPREAD * spread_ms;

	if (job->seen_ms > job->usual_longest_ms)
		due_ms += RANK_SEEN * job->seen_ms / queue->slots->fastest;
	return (double)job->admitted_ms + MIN(due_ms, RANK_SPAN_SHARE * span_ms);
}

static void link_job(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	job->rank = rank_of(queue, job);
	g_tree_insert(queue->by_deadline, job, job);
	g_tree_insert(job->branch->by_rank, job, job);
	waxwing_fair_activate(&queue->branches.fair, &job->branch->share);
}

static void unlink_job(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	g_tree_remove(queue->by_deadline, job);
	g_tree_remove(job->branch->by_rank, job);
	if (g_tree_nnodes(job->branch->by_rank) == 0)
		waxwing_fair_deactivate(&queue->branches.fair, &job->branch->share);
}

static void rank_again(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	g_tree_remove(job->branch->by_rank, job);
	job->ranked_seen_ms = job->seen_ms;
	job->rank = rank_of(queue, job);
	g_tree_insert(job->branch->by_rank, job, job);
}

bool waxwing_queue_rank_seen(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	if (job->seen_ms <= job->usual_longest_ms ||
	    job->seen_ms <= job->ranked_seen_ms * SEEN_GROWTH)
		return false;
	rank_again(queue, job);
	return true;
}

static void count_tasks(struct waxwing_queue *queue, struct waxwing_queue_job *job, int64_t tasks,
			double work_ms)
{
	queue->tasks += (uint64_t)tasks;
	queue->work_ms = queue->tasks > 0 ? queue->work_ms + work_ms : 0;
	job->work_ms += work_ms;
	waxwing_branch_count_queued(job->branch, tasks, work_ms);
}

static void count_bytes(struct waxwing_queue *queue, struct waxwing_queue_job *job, int64_t bytes)
{
	job->bytes += (uint64_t)bytes;
	queue->bytes += (uint64_t)bytes;
}

static void free_if_done(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	if (job->used == 0 && job->tasks->len == 0)
		g_hash_table_remove(queue->jobs, &job->key);
}

/** Gives the job the runs that were adopted before it was offered. */
static void link_runs(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	GHashTableIter iter;
	void *item;

	if (queue->slots->unlinked == 0)
		return;
	g_hash_table_iter_init(&iter, queue->slots->runs);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct waxwing_run *run = item;

		if (run->job || !key_equal(&run->key, &job->key))
			continue;
		run->job = job;
		run->work = &job->branch->work;
		queue->slots->unlinked--;
		job->used++;
		waxwing_branch_count_used(job->branch, 1);
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
		if (waxwing_slots_run(queue->slots, job->key, task.task))
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
	struct waxwing_queue_job *job = waxwing_queue_job(queue, offer->key);
	bool known = job != NULL;
	uint32_t before;
	double work_ms;

	if (!job)
		job = job_create(queue, branch, offer);
	job->refused = WAXWING_OK;
	before = job->tasks->len;
	work_ms = append_tasks(queue, job, offer, known);
	if (job->tasks->len == before) {
		free_if_done(queue, job);
		return;
	}
	if (offer->declared_ms || before > 0)
		g_array_sort(job->tasks, compare_tasks);
	job->offered += job->tasks->len - before;
	count_tasks(queue, job, job->tasks->len - before, work_ms);
	count_bytes(queue, job, (int64_t)offer->bytes);
	job->usual_longest_ms = MAX(job->usual_longest_ms, usual_longest_ms(job));
	if (before == 0)
		link_job(queue, job);
	else
		rank_again(queue, job);
}

static struct waxwing_queued_task take_index(struct waxwing_queue *queue,
					     struct waxwing_queue_job *job, uint32_t index)
{
	struct waxwing_queued_task task =
		g_array_index(job->tasks, struct waxwing_queued_task, index);

	count_bytes(queue, job, -(int64_t)(job->bytes / job->tasks->len));
	count_tasks(queue, job, -1, -(double)task.expected_ms);
	if (job->tasks->len == 1)
		unlink_job(queue, job);
	g_array_remove_index(job->tasks, index);
	if (job->tasks->len > 0)
		rank_again(queue, job);
	job->used++;
	waxwing_branch_count_used(job->branch, 1);
	return task;
}

struct waxwing_queued_task waxwing_queue_take(struct waxwing_queue *queue,
					      struct waxwing_queue_job *job)
{
	return take_index(queue, job, job->tasks->len - 1);
}

void waxwing_queue_return(struct waxwing_queue *queue, struct waxwing_queue_job *job,
			  struct waxwing_queued_task task)
{
	g_array_append_val(job->tasks, task);
	count_tasks(queue, job, 1, (double)task.expected_ms);
	if (job->tasks->len == 1)
		link_job(queue, job);
	else
		rank_again(queue, job);
}

void waxwing_queue_adopt(struct waxwing_queue *queue, struct waxwing_queue_job *job, uint32_t task)
{
	int index = find_task(job, task);

	if (index >= 0) {
		take_index(queue, job, (uint32_t)index);
		return;
	}
	job->used++;
	waxwing_branch_count_used(job->branch, 1);
}

void waxwing_queue_slot_free(struct waxwing_queue *queue, struct waxwing_queue_job *job)
{
	job->used--;
	waxwing_branch_count_used(job->branch, -1);
	free_if_done(queue, job);
}

void waxwing_queue_drop(struct waxwing_queue *queue, struct waxwing_queue_job *job,
			enum waxwing_error_code reason)
{
	job->refused = reason;
	if (job->tasks->len > 0) {
		unlink_job(queue, job);
		count_tasks(queue, job, -(int64_t)job->tasks->len, -job->work_ms);
		count_bytes(queue, job, -(int64_t)job->bytes);
		g_array_set_size(job->tasks, 0);
	}
	free_if_done(queue, job);
}

struct waxwing_queue_job *waxwing_queue_first_deadline(const struct waxwing_queue *queue)
{
	GTreeNode *node = g_tree_node_first(queue->by_deadline);

	return node ? g_tree_node_value(node) : NULL;
}
