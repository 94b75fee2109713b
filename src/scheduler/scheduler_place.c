#include "scheduler_place.h"

/** Branches and jobs looked at for one placement. */
#define LOOK_BRANCHES 16
#define LOOK_JOBS     32

/** Speeds nearer to each other than this factor count as the same. */
#define SAME_SPEED 1.03

/** Time of all slots by which a branch may be ahead of its fair share, in milliseconds. */
#define AHEAD_MS 100.0

/** Times slower than the fastest slot that a slot may be before it counts as a poor one. */
#define POOR_SLOWNESS 2.0

/** How much worse than its slowness a poor slot counts, beyond that. */
#define POOR_FACTOR 4.0

/** Least that waiting must gain, in times on the fastest slot. */
#define LEAST_GAIN 0.35

/** The same for a job of few tasks, which are unlikely to be long: only poor slots are worth a wait. */
#define FEW_TASKS 4
#define FEW_GAIN  3.0

/** Upstreams with free slots that are looked at for one placement. */
#define LOOK_FREE 64

/** Branches whose jobs are merged by rank. */
struct candidates {
	GTreeNode *jobs[LOOK_BRANCHES];
	size_t count;
	GTreeNode *next_share;
};

/** An upstream with free slots, and what is faster and in use. */
struct free_upstream {
	struct waxwing_slot_upstream *upstream;
	uint32_t slots; /**< free ones, here and on faster upstreams */
	double release_rate; /**< of the faster slots, a millisecond */
	double faster_speed; /**< of the one of them that is expected to come free next */
};

/** The upstreams with free slots, the fastest first. */
struct free_list {
	struct free_upstream upstreams[LOOK_FREE];
	size_t count;
	uint32_t good; /**< free slots that are not poor */
};

static struct waxwing_queue_branch *next_branch(struct candidates *candidates)
{
	while (candidates->next_share) {
		struct waxwing_share *share = g_tree_node_value(candidates->next_share);
		struct waxwing_queue_branch *branch = waxwing_branch_of_share(share);

		if (waxwing_branch_may_start(branch))
			return branch;
		candidates->next_share = g_tree_node_next(candidates->next_share);
	}
	return NULL;
}

/** Takes in the branches that are about as far behind as the next one. */
static void refill(struct candidates *candidates, double ahead)
{
	struct waxwing_queue_branch *branch = next_branch(candidates);
	double limit = branch ? branch->share.served + ahead : 0;

	while (branch && branch->share.served <= limit && candidates->count < LOOK_BRANCHES) {
		candidates->jobs[candidates->count++] = g_tree_node_first(branch->by_rank);
		candidates->next_share = g_tree_node_next(candidates->next_share);
		branch = next_branch(candidates);
	}
}

static struct waxwing_queue_job *next_job(struct candidates *candidates, double ahead)
{
	size_t best = 0;
	struct waxwing_queue_job *job;

	if (candidates->count == 0)
		refill(candidates, ahead);
	if (candidates->count == 0)
		return NULL;
	job = g_tree_node_value(candidates->jobs[0]);
	for (size_t i = 1; i < candidates->count; i++) {
		struct waxwing_queue_job *other = g_tree_node_value(candidates->jobs[i]);

		if (other->rank < job->rank) {
			job = other;
			best = i;
		}
	}
	candidates->jobs[best] = g_tree_node_next(candidates->jobs[best]);
	if (!candidates->jobs[best])
		candidates->jobs[best] = candidates->jobs[--candidates->count];
	return job;
}

static bool is_poor(const struct waxwing_slots *slots, const struct waxwing_slot_upstream *upstream)
{
	return upstream->speed.value * POOR_SLOWNESS < slots->fastest;
}

/** The release rate counts upstreams only once they are clearly faster. */
static void list_free(const struct waxwing_slots *slots, struct free_list *list)
{
	uint32_t free = 0;
	double rate = 0;
	double weighted = 0;
	size_t faster = 0;

	list->count = 0;
	list->good = 0;
	for (size_t i = 0; i < slots->upstreams->len && list->count < LOOK_FREE; i++) {
		struct waxwing_slot_upstream *upstream = slots->upstreams->pdata[i];
		struct free_upstream *entry = &list->upstreams[list->count];

		if (waxwing_upstream_free(upstream) == 0)
			continue;
		for (; faster < i; faster++) {
			const struct waxwing_slot_upstream *other = slots->upstreams->pdata[faster];

			if (other->hoped_speed < upstream->hoped_speed * SAME_SPEED)
				break;
			if (other->state != WAXWING_UPSTREAM_LIVE)
				continue;
			rate += other->release_rate;
			weighted += other->release_rate * other->speed.value;
		}
		free += waxwing_upstream_free(upstream);
		*entry = (struct free_upstream){ upstream, free, rate,
						 rate > 0 ? weighted / rate : 0 };
		list->count++;
		if (!is_poor(slots, upstream))
			list->good = free;
	}
}

/**
 * The fastest free slot that is not left to smaller jobs, or the slowest if they all are.
 *
 * Returns null when the last free slots are kept from jobs of this size. Poor slots are kept for none.
 */
static const struct free_upstream *pick(const struct free_list *list,
					const struct waxwing_slots *slots, uint8_t size)
{
	const struct waxwing_reserve *reserve = &slots->reserve;
	size_t i = 0;

	while (i + 1 < list->count && list->upstreams[i].slots <= reserve->fast[size])
		i++;
	if (list->good > reserve->kept[size])
		return &list->upstreams[i];
	while (i < list->count && !is_poor(slots, list->upstreams[i].upstream))
		i++;
	return i < list->count ? &list->upstreams[i] : NULL;
}

static double cost_of_slowness(double fastest, double speed)
{
	double slowness = fastest / speed;

	if (slowness <= POOR_SLOWNESS)
		return slowness;
	return POOR_SLOWNESS + (slowness - POOR_SLOWNESS) * POOR_FACTOR;
}

/**
 * True when the job is expected to do better if its next task waits for a faster slot.
 *
 * @place tasks of other jobs are before it. The job's tasks are alike, as far as is known, so the one that
 * would wait the longest is weighed: on a slow slot, it is out of the others' way.
 * Both are weighed as multiples of the task's time on the fastest slot. Its work is not known, so the
 * wait is divided by the harmonic mean, which gives the mean of the multiple.
 */
static bool better_waits(const struct waxwing_slots *slots, const struct waxwing_queue_job *job,
			 const struct free_upstream *free, double place)
{
	const struct waxwing_work *work =
		waxwing_branch_work(job->branch, waxwing_job_next(job)->declared_ms);
	double least_gain = job->offered <= FEW_TASKS ? FEW_GAIN : LEAST_GAIN;
	double wait_ms;
	double later;

	if (free->release_rate <= 0)
		return false;
	wait_ms = (place + job->tasks->len) / free->release_rate;
	later = wait_ms * slots->fastest / work->harmonic_ms +
		cost_of_slowness(slots->fastest, free->faster_speed);
	return later + least_gain < cost_of_slowness(slots->fastest, free->upstream->hoped_speed);
}

/** Sets *again when a job met on the way is due at another time than it stands for. */
static bool place_once(struct waxwing_queue *queue, const struct waxwing_slots *slots,
		       struct waxwing_placement *placement, bool *held, bool *again)
{
	struct candidates candidates = { .next_share = waxwing_fair_first(&queue->branches.fair) };
	double ahead = slots->capacity * AHEAD_MS;
	struct free_list free;
	double place = 0;

	*held = false;
	*again = false;
	if (queue->tasks == 0)
		return false;
	list_free(slots, &free);
	for (int looked = 0; looked < LOOK_JOBS && free.count > 0; looked++) {
		struct waxwing_queue_job *job = next_job(&candidates, ahead);
		const struct free_upstream *best;
		uint8_t size;

		if (!job)
			return false;
		*again = waxwing_queue_rank_seen(queue, job);
		if (*again)
			return false;
		size = waxwing_reserve_class(waxwing_job_left_ms(job));
		best = pick(&free, slots, size);
		if (best && !better_waits(slots, job, best, place)) {
			*placement = (struct waxwing_placement){ job, best->upstream };
			return true;
		}
		*held = true;
		if (best)
			place += job->tasks->len;
	}
	return false;
}

bool waxwing_place(struct waxwing_queue *queue, const struct waxwing_slots *slots,
		   struct waxwing_placement *placement, bool *held)
{
	bool again = true;
	bool placed = false;

	while (again)
		placed = place_once(queue, slots, placement, held, &again);
	return placed;
}
