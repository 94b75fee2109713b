#include "scheduler_place.h"

/** Maximum number of branches merged at a time, and of jobs examined for one placement. */
#define MAX_BRANCHES 16
#define MAX_JOBS     32

/** Upstreams whose speeds differ by less than this factor count as equally fast. */
#define SPEED_TOLERANCE 1.03

/** Work by which a branch may exceed its fair share, in milliseconds on all slots. */
#define FAIR_LEAD_MS 100.0

/** A slot counts as slow if the fastest one is more than this many times as fast. */
#define SLOW_RATIO 2.0

/** Factor on the part of a slot's slowness (fastest speed / its speed) above SLOW_RATIO. */
#define SLOW_PENALTY 4.0

/** Minimum gain for which a task waits, as a multiple of its run time on the fastest slot. */
#define MIN_GAIN 0.35

/**
 * Minimum gain for a job of at most SMALL_JOB_TASKS tasks. Few tasks are unlikely to include a long
 * one; they wait only to avoid slow slots.
 */
#define SMALL_JOB_TASKS	   4
#define SMALL_JOB_MIN_GAIN 3.0

/** Maximum upstreams with free slots examined for one placement. */
#define MAX_FREE_UPSTREAMS 64

/** Iterator over the jobs of several branches, merged by rank. */
struct job_iterator {
	GTreeNode *jobs[MAX_BRANCHES]; /**< next job of each branch */
	size_t count;
	GTreeNode *next_share; /**< first branch not merged yet; null: none */
};

/** An upstream with free slots, and the expected release of slots on clearly faster upstreams. */
struct free_upstream {
	struct waxwing_slot_upstream *upstream;
	uint32_t slots; /**< free slots on this and on faster upstreams */
	double release_rate; /**< faster slots expected to become free per millisecond */
	double faster_speed; /**< mean speed of those slots, weighted by release rate */
};

/** The upstreams with free slots, the fastest first. */
struct free_list {
	struct free_upstream upstreams[MAX_FREE_UPSTREAMS];
	size_t count;
	uint32_t fast_slots; /**< free slots that are not slow */
};

static struct waxwing_queue_branch *next_branch(struct job_iterator *iter)
{
	while (iter->next_share) {
		struct waxwing_share *share = g_tree_node_value(iter->next_share);
		struct waxwing_queue_branch *branch = waxwing_branch_of_share(share);

		if (waxwing_branch_has_quota(branch))
			return branch;
		iter->next_share = g_tree_node_next(iter->next_share);
	}
	return NULL;
}

/** Adds the next branch and those whose virtual time exceeds that branch's by at most @lead. */
static void add_branches(struct job_iterator *iter, double lead)
{
	struct waxwing_queue_branch *branch = next_branch(iter);
	double limit = branch ? branch->share.virtual_time + lead : 0;

	while (branch && branch->share.virtual_time <= limit && iter->count < MAX_BRANCHES) {
		iter->jobs[iter->count++] = g_tree_node_first(branch->by_rank);
		iter->next_share = g_tree_node_next(iter->next_share);
		branch = next_branch(iter);
	}
}

static struct waxwing_queue_job *next_job(struct job_iterator *iter, double lead)
{
	size_t best = 0;
	struct waxwing_queue_job *job;

	if (iter->count == 0)
		add_branches(iter, lead);
	if (iter->count == 0)
		return NULL;
	job = g_tree_node_value(iter->jobs[0]);
	for (size_t i = 1; i < iter->count; i++) {
		struct waxwing_queue_job *other = g_tree_node_value(iter->jobs[i]);

		if (other->rank < job->rank) {
			job = other;
			best = i;
		}
	}
	iter->jobs[best] = g_tree_node_next(iter->jobs[best]);
	if (!iter->jobs[best])
		iter->jobs[best] = iter->jobs[--iter->count];
	return job;
}

static bool is_slow(const struct waxwing_slots *slots, const struct waxwing_slot_upstream *upstream)
{
	return upstream->speed.value * SLOW_RATIO < slots->fastest_speed;
}

/**
 * Lists the upstreams with free slots. Their release rates include only upstreams that are faster
 * by SPEED_TOLERANCE.
 */
static void list_free_upstreams(const struct waxwing_slots *slots, struct free_list *list)
{
	uint32_t free_slots = 0;
	double rate = 0;
	double weighted_speed = 0;
	size_t next_faster = 0;

	list->count = 0;
	list->fast_slots = 0;
	for (size_t i = 0; i < slots->upstreams->len && list->count < MAX_FREE_UPSTREAMS; i++) {
		struct waxwing_slot_upstream *upstream = slots->upstreams->pdata[i];
		struct free_upstream *entry = &list->upstreams[list->count];

		if (waxwing_upstream_free_slots(upstream) == 0)
			continue;
		for (; next_faster < i; next_faster++) {
			const struct waxwing_slot_upstream *other =
				slots->upstreams->pdata[next_faster];

			if (other->optimistic_speed < upstream->optimistic_speed * SPEED_TOLERANCE)
				break;
			if (other->state != WAXWING_UPSTREAM_LIVE)
				continue;
			rate += other->release_rate;
			weighted_speed += other->release_rate * other->speed.value;
		}
		free_slots += waxwing_upstream_free_slots(upstream);
		*entry = (struct free_upstream){ upstream, free_slots, rate,
						 rate > 0 ? weighted_speed / rate : 0 };
		list->count++;
		if (!is_slow(slots, upstream))
			list->fast_slots = free_slots;
	}
}

/**
 * Skips the fastest free slots, which jobs of this size leave to smaller jobs, and returns the
 * fastest upstream with another free slot, or the slowest upstream if there is none.
 *
 * If jobs of this size must leave the remaining fast slots free, returns an upstream with slow
 * slots, which are not reserved, or null if there is none.
 */
static const struct free_upstream *pick_upstream(const struct free_list *list,
						 const struct waxwing_slots *slots, uint8_t size)
{
	const struct waxwing_reserve *reserve = &slots->reserve;
	size_t i = 0;

	while (i + 1 < list->count && list->upstreams[i].slots <= reserve->skip_fastest[size])
		i++;
	if (list->fast_slots > reserve->keep_free[size])
		return &list->upstreams[i];
	while (i < list->count && !is_slow(slots, list->upstreams[i].upstream))
		i++;
	return i < list->count ? &list->upstreams[i] : NULL;
}

static double slowness_cost(double fastest, double speed)
{
	double slowness = fastest / speed;

	if (slowness <= SLOW_RATIO)
		return slowness;
	return SLOW_RATIO + (slowness - SLOW_RATIO) * SLOW_PENALTY;
}

/**
 * Returns whether the job is expected to end earlier if its next task waits for a faster slot.
 *
 * @tasks_ahead is the number of tasks of other jobs that wait ahead of this job. The job's tasks
 * have the same expected work, so any of them can take the slow slot without delaying the others.
 * The wait is therefore computed for the last of them to start. The costs of waiting and of
 * starting now are multiples of the run time on the fastest slot. As the work of the task is
 * unknown, the wait is divided by the harmonic mean of the work, which yields the mean of the
 * multiple.
 */
static bool should_wait(const struct waxwing_slots *slots, const struct waxwing_queue_job *job,
			const struct free_upstream *candidate, double tasks_ahead)
{
	const struct waxwing_work_estimate *work =
		waxwing_branch_work(job->branch, waxwing_job_next(job)->declared_ms);
	double min_gain = job->offered_tasks <= SMALL_JOB_TASKS ? SMALL_JOB_MIN_GAIN : MIN_GAIN;
	double wait_ms;
	double waiting_cost;

	if (candidate->release_rate <= 0)
		return false;
	wait_ms = (tasks_ahead + job->tasks->len) / candidate->release_rate;
	waiting_cost = wait_ms * slots->fastest_speed / work->harmonic_mean_ms +
		       slowness_cost(slots->fastest_speed, candidate->faster_speed);
	return waiting_cost + min_gain <
	       slowness_cost(slots->fastest_speed, candidate->upstream->optimistic_speed);
}

/**
 * Makes one pass over the queue. Sets *rank_changed when the rank of a job has changed and the
 * pass must be repeated.
 */
static bool try_place(struct waxwing_queue *queue, const struct waxwing_slots *slots,
		      struct waxwing_placement *placement, bool *any_waiting, bool *rank_changed)
{
	struct job_iterator iter = { .next_share =
					     waxwing_fair_first(&queue->branches.fair_queue) };
	double lead = slots->capacity * FAIR_LEAD_MS;
	struct free_list list;
	double tasks_ahead = 0;

	*any_waiting = false;
	*rank_changed = false;
	if (queue->tasks == 0)
		return false;
	list_free_upstreams(slots, &list);
	for (int examined = 0; examined < MAX_JOBS && list.count > 0; examined++) {
		struct waxwing_queue_job *job = next_job(&iter, lead);
		const struct free_upstream *best;
		uint8_t size;

		if (!job)
			return false;
		*rank_changed = waxwing_queue_rerank_if_longer(queue, job);
		if (*rank_changed)
			return false;
		size = waxwing_reserve_class(waxwing_job_remaining_ms(job));
		best = pick_upstream(&list, slots, size);
		if (best && !should_wait(slots, job, best, tasks_ahead)) {
			*placement = (struct waxwing_placement){ job, best->upstream };
			return true;
		}
		*any_waiting = true;
		if (best)
			tasks_ahead += job->tasks->len;
	}
	return false;
}

bool waxwing_find_placement(struct waxwing_queue *queue, const struct waxwing_slots *slots,
			    struct waxwing_placement *placement, bool *any_waiting)
{
	bool rank_changed = true;
	bool placed = false;

	while (rank_changed)
		placed = try_place(queue, slots, placement, any_waiting, &rank_changed);
	return placed;
}
