#include "scheduler_slots.h"

#include "scheduler_queue.h"
#include "scheduler_table.h"

#include <math.h>

/** Minimum interval between updates of order, capacity and rates, in milliseconds. */
#define REFRESH_MS 5

/** Bounds of the backoff after busy answers, in milliseconds. */
#define MIN_BUSY_BACKOFF_MS 4u
#define MAX_BUSY_BACKOFF_MS 500u

/** Minimum expected remaining time of a run, in milliseconds. */
#define MIN_REMAINING_MS 50.0

/**
 * Weight of a failure if the upstream's last failure was of the same job: then the job is more
 * likely at fault than the upstream.
 */
#define SAME_JOB_WEIGHT 0.25

/** Assumed remaining work of a run without an estimate, in milliseconds at speed 1. */
#define UNKNOWN_WORK_MS 500.0

static unsigned int run_hash(const void *key)
{
	const struct waxwing_run *run = key;
	uint64_t hash = run->key.issuer * 0x9e3779b97f4a7c15ULL;

	hash = (hash ^ run->key.job) * 0xbf58476d1ce4e5b9ULL;
	hash = (hash ^ (hash >> 31) ^ run->task) * 0x94d049bb133111ebULL;
	return (unsigned int)(hash >> 32);
}

static gboolean run_equal(const void *a, const void *b)
{
	const struct waxwing_run *left = a;
	const struct waxwing_run *right = b;

	return left->key.issuer == right->key.issuer && left->key.job == right->key.job &&
	       left->task == right->task;
}

static void upstream_free(void *data)
{
	struct waxwing_slot_upstream *upstream = data;

	g_ptr_array_free(upstream->runs, TRUE);
	g_free((char *)upstream->name.data);
	g_free(upstream);
}

void waxwing_slots_init(struct waxwing_slots *slots)
{
	slots->by_name = g_hash_table_new(waxwing_name_hash, waxwing_name_equal);
	slots->upstreams = g_ptr_array_new_with_free_func(upstream_free);
	slots->reserve = (struct waxwing_reserve){ 0 };
	slots->runs = g_hash_table_new_full(run_hash, run_equal, g_free, NULL);
	slots->live_slots = 0;
	slots->capacity = 0;
	slots->fastest_speed = 1;
	slots->runs_without_job = 0;
	slots->last_number = 0;
	slots->refreshed_ms = INT64_MIN;
	slots->next_available_ms = INT64_MAX;
	slots->first_release_ms = INT64_MAX;
}

void waxwing_slots_clear(struct waxwing_slots *slots)
{
	g_hash_table_destroy(slots->runs);
	g_hash_table_destroy(slots->by_name);
	g_ptr_array_free(slots->upstreams, TRUE);
}

static void update_live_slots(struct waxwing_slots *slots)
{
	slots->live_slots = 0;
	slots->refreshed_ms = INT64_MIN;
	for (size_t i = 0; i < slots->upstreams->len; i++) {
		const struct waxwing_slot_upstream *upstream = slots->upstreams->pdata[i];

		if (upstream->state == WAXWING_UPSTREAM_LIVE)
			slots->live_slots += upstream->slots;
	}
}

static bool remove_if_unused(struct waxwing_slots *slots, struct waxwing_slot_upstream *upstream)
{
	if (upstream->state != WAXWING_UPSTREAM_REMOVED || upstream->used_slots > 0)
		return false;
	g_hash_table_remove(slots->by_name, &upstream->name);
	g_ptr_array_remove(slots->upstreams, upstream);
	return true;
}

static double mean_speed(const struct waxwing_slots *slots)
{
	double log_sum = 0;

	for (size_t i = 0; i < slots->upstreams->len; i++) {
		const struct waxwing_slot_upstream *upstream = slots->upstreams->pdata[i];

		log_sum += upstream->speed.log_speed;
	}
	return slots->upstreams->len ? exp(log_sum / slots->upstreams->len) : 1;
}

static struct waxwing_slot_upstream *upstream_create(struct waxwing_slots *slots,
						     struct waxwing_str name)
{
	struct waxwing_slot_upstream *upstream = g_new0(struct waxwing_slot_upstream, 1);

	upstream->name = (struct waxwing_str){ name.len, waxwing_str_dup(name) };
	upstream->number = ++slots->last_number;
	upstream->runs = g_ptr_array_new();
	waxwing_breaker_init(&upstream->breaker);
	waxwing_speed_init(&upstream->speed, mean_speed(slots));
	g_hash_table_insert(slots->by_name, &upstream->name, upstream);
	g_ptr_array_add(slots->upstreams, upstream);
	return upstream;
}

struct waxwing_slot_upstream *waxwing_slots_set_upstream(struct waxwing_slots *slots,
							 struct waxwing_str name, uint32_t count,
							 enum waxwing_upstream_state state)
{
	struct waxwing_slot_upstream *upstream = waxwing_slots_find(slots, name);

	if (!upstream) {
		if (state == WAXWING_UPSTREAM_REMOVED)
			return NULL;
		upstream = upstream_create(slots, name);
	}
	upstream->slots = count;
	upstream->state = state;
	if (remove_if_unused(slots, upstream))
		upstream = NULL;
	update_live_slots(slots);
	return upstream;
}

void waxwing_slots_set_state(struct waxwing_slots *slots, struct waxwing_slot_upstream *upstream,
			     enum waxwing_upstream_state state)
{
	upstream->state = state;
	remove_if_unused(slots, upstream);
	update_live_slots(slots);
}

struct waxwing_slot_upstream *waxwing_slots_find(const struct waxwing_slots *slots,
						 struct waxwing_str name)
{
	return g_hash_table_lookup(slots->by_name, &name);
}

static int compare_speed(const void *a, const void *b)
{
	const struct waxwing_slot_upstream *left = *(struct waxwing_slot_upstream *const *)a;
	const struct waxwing_slot_upstream *right = *(struct waxwing_slot_upstream *const *)b;

	if (left->optimistic_speed != right->optimistic_speed)
		return left->optimistic_speed > right->optimistic_speed ? -1 : 1;
	return left->number < right->number ? -1 : 1;
}

/**
 * Returns the run's part of the release rate; updates the job's longest run if this run takes
 * longer than expected.
 */
static float run_rate(const struct waxwing_run *run, int64_t now_ms)
{
	double speed = run->upstream->speed.value;
	double done_ms = (double)MAX(now_ms - run->started_ms, 0) * speed;
	double remaining_ms = UNKNOWN_WORK_MS;

	if (run->work)
		remaining_ms = waxwing_work_residual(run->work, done_ms);
	if (run->job && done_ms > (double)run->expected_ms)
		run->job->longest_run_ms = MAX(run->job->longest_run_ms, done_ms);
	return (float)(1 / MAX(remaining_ms / speed, MIN_REMAINING_MS));
}

static void refresh_rates(struct waxwing_slot_upstream *upstream, int64_t now_ms)
{
	upstream->release_rate = 0;
	for (size_t i = 0; i < upstream->runs->len; i++) {
		struct waxwing_run *run = upstream->runs->pdata[i];

		run->release_rate = run_rate(run, now_ms);
		upstream->release_rate += (double)run->release_rate;
	}
}

static void refresh_speeds(const struct waxwing_slots *slots)
{
	for (size_t i = 0; i < slots->upstreams->len; i++) {
		struct waxwing_slot_upstream *upstream = slots->upstreams->pdata[i];

		upstream->optimistic_speed = waxwing_speed_optimistic(&upstream->speed);
	}
}

static bool is_available(const struct waxwing_slot_upstream *upstream)
{
	return upstream->state == WAXWING_UPSTREAM_LIVE && upstream->slots > 0 &&
	       upstream->breaker.state == WAXWING_BREAKER_CLOSED;
}

static int64_t next_available(const struct waxwing_slots *slots)
{
	int64_t next_ms = INT64_MAX;

	for (size_t i = 0; i < slots->upstreams->len; i++) {
		const struct waxwing_slot_upstream *upstream = slots->upstreams->pdata[i];

		next_ms = MIN(next_ms, waxwing_breaker_next_change_ms(&upstream->breaker));
		if (upstream->busy_slots > 0)
			next_ms = MIN(next_ms, upstream->busy_until_ms);
	}
	return next_ms;
}

void waxwing_slots_refresh(struct waxwing_slots *slots, int64_t now_ms)
{
	if (slots->refreshed_ms != INT64_MIN && now_ms < slots->refreshed_ms + REFRESH_MS &&
	    now_ms < slots->next_available_ms)
		return;
	slots->refreshed_ms = now_ms;
	waxwing_slots_update_usage(slots, now_ms);
	slots->capacity = 0;
	slots->fastest_speed = 0;
	refresh_speeds(slots);
	g_ptr_array_sort(slots->upstreams, compare_speed);
	for (size_t i = 0; i < slots->upstreams->len; i++) {
		struct waxwing_slot_upstream *upstream = slots->upstreams->pdata[i];

		if (now_ms >= upstream->busy_until_ms)
			upstream->busy_slots = 0;
		waxwing_breaker_tick(&upstream->breaker, now_ms);
		refresh_rates(upstream, now_ms);
		if (!is_available(upstream))
			continue;
		slots->capacity += upstream->slots * upstream->speed.value;
		slots->fastest_speed = MAX(slots->fastest_speed, upstream->speed.value);
	}
	if (slots->fastest_speed == 0)
		slots->fastest_speed = mean_speed(slots);
	slots->next_available_ms = next_available(slots);
}

struct waxwing_run *waxwing_slots_start_run(struct waxwing_slots *slots,
					    struct waxwing_slot_upstream *upstream,
					    struct waxwing_job_key key, uint32_t task,
					    int64_t now_ms)
{
	struct waxwing_run *run = g_new0(struct waxwing_run, 1);

	run->key = key;
	run->task = task;
	run->upstream = upstream;
	run->started_ms = now_ms;
	run->release_ms = INT64_MAX;
	slots->runs_without_job++;
	run->index = upstream->runs->len;
	waxwing_breaker_task_started(&upstream->breaker);
	run->is_probe = upstream->breaker.probing;
	upstream->used_slots++;
	g_ptr_array_add(upstream->runs, run);
	g_hash_table_add(slots->runs, run);
	return run;
}

struct waxwing_run *waxwing_slots_find_run(const struct waxwing_slots *slots,
					   struct waxwing_job_key key, uint32_t task)
{
	struct waxwing_run key_run = { .key = key, .task = task };

	return g_hash_table_lookup(slots->runs, &key_run);
}

void waxwing_slots_end_run(struct waxwing_slots *slots, struct waxwing_run *run)
{
	struct waxwing_slot_upstream *upstream = run->upstream;
	struct waxwing_run *moved;

	g_ptr_array_remove_index_fast(upstream->runs, run->index);
	if (run->index < upstream->runs->len) {
		moved = upstream->runs->pdata[run->index];
		moved->index = run->index;
	}
	upstream->used_slots--;
	if (run->grant > 0)
		slots->reserve.used[run->size_class]--;
	if (run->is_probe)
		waxwing_breaker_task_ended(&upstream->breaker);
	upstream->release_rate -= (double)run->release_rate;
	if (!run->job)
		slots->runs_without_job--;
	g_hash_table_remove(slots->runs, run);
	remove_if_unused(slots, upstream);
}

void waxwing_run_set_size(struct waxwing_slots *slots, struct waxwing_run *run, double work_ms)
{
	run->size_class = waxwing_reserve_class(work_ms);
	slots->reserve.used[run->size_class]++;
}

void waxwing_run_set_expected(struct waxwing_run *run, struct waxwing_work_estimate *work,
			      double expected_ms, int64_t now_ms)
{
	run->work = work;
	run->expected_ms = (float)expected_ms;
	run->upstream->release_rate -= (double)run->release_rate;
	run->release_rate = run_rate(run, now_ms);
	run->upstream->release_rate += (double)run->release_rate;
}

static void back_off(struct waxwing_slot_upstream *upstream, int64_t now_ms)
{
	bool reset = now_ms > upstream->busy_until_ms + MAX_BUSY_BACKOFF_MS;
	uint32_t backoff_ms = reset ? 0 : upstream->busy_backoff_ms * 2;

	upstream->busy_backoff_ms = CLAMP(backoff_ms, MIN_BUSY_BACKOFF_MS, MAX_BUSY_BACKOFF_MS);
	upstream->busy_slots = MIN(upstream->busy_slots + 1, upstream->slots);
	upstream->busy_until_ms = now_ms + upstream->busy_backoff_ms;
}

/**
 * Returns the failure share of all upstreams except @excluded; sets *ejected to the number of
 * upstreams whose breaker is not closed.
 */
static double peers_share(const struct waxwing_slots *slots,
			  const struct waxwing_slot_upstream *excluded, size_t *ejected)
{
	double failed = 0;
	double total = 0;

	*ejected = 0;
	for (size_t i = 0; i < slots->upstreams->len; i++) {
		const struct waxwing_slot_upstream *upstream = slots->upstreams->pdata[i];

		if (upstream->breaker.state != WAXWING_BREAKER_CLOSED)
			++*ejected;
		if (upstream == excluded)
			continue;
		failed += upstream->breaker.failed;
		total += upstream->breaker.total;
	}
	return total > 0 ? failed / total : 0;
}

static void record_failure(const struct waxwing_slots *slots, const struct waxwing_run *run,
			   enum waxwing_slot_outcome outcome, int64_t now_ms)
{
	struct waxwing_slot_upstream *upstream = run->upstream;
	bool same_job = upstream->last_failed_job.issuer == run->key.issuer &&
			upstream->last_failed_job.job == run->key.job;
	double weight = same_job && outcome == WAXWING_SLOT_FAILED ? SAME_JOB_WEIGHT : 1;
	size_t ejected;
	double share = peers_share(slots, upstream, &ejected);
	bool may_eject = waxwing_breaker_may_eject(ejected, slots->upstreams->len);

	upstream->last_failed_job = run->key;
	waxwing_breaker_record_failure(&upstream->breaker, now_ms, weight, share, may_eject);
}

void waxwing_slots_record_outcome(struct waxwing_slots *slots, const struct waxwing_run *run,
				  enum waxwing_slot_outcome outcome, int64_t now_ms)
{
	enum waxwing_breaker_state before = run->upstream->breaker.state;

	switch (outcome) {
	case WAXWING_SLOT_DONE:
		waxwing_breaker_record_success(&run->upstream->breaker, now_ms);
		break;
	case WAXWING_SLOT_FAILED:
	case WAXWING_SLOT_UNKNOWN:
	case WAXWING_SLOT_UNREACHABLE:
		record_failure(slots, run, outcome, now_ms);
		break;
	case WAXWING_SLOT_BUSY:
		back_off(run->upstream, now_ms);
		break;
	case WAXWING_SLOT_LEAVING:
	case WAXWING_SLOT_UNUSED:
		break;
	}
	if (run->upstream->breaker.state != before)
		slots->refreshed_ms = INT64_MIN;
	if (outcome == WAXWING_SLOT_BUSY)
		slots->next_available_ms = next_available(slots);
}

void waxwing_slots_release_at(struct waxwing_slots *slots, struct waxwing_run *run,
			      int64_t release_ms)
{
	run->release_ms = release_ms;
	slots->first_release_ms = MIN(slots->first_release_ms, release_ms);
}

struct waxwing_run *waxwing_slots_next_released(struct waxwing_slots *slots, int64_t now_ms)
{
	GHashTableIter iter;
	void *item;
	struct waxwing_run *due = NULL;

	if (now_ms < slots->first_release_ms)
		return NULL;
	slots->first_release_ms = INT64_MAX;
	g_hash_table_iter_init(&iter, slots->runs);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct waxwing_run *run = item;

		slots->first_release_ms = MIN(slots->first_release_ms, run->release_ms);
		if (run->release_ms <= now_ms)
			due = run;
	}
	return due;
}
