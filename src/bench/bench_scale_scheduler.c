/*
 * Slopes of the scheduler: processor time of one task's offer, grant and end, and memory of a queued
 * task, by upstreams and queue length.
 */
#include "bench_scale.h"
#include "scheduler.h"

#include <stdio.h>

#define SLOTS	    8
#define JOB_TASKS   10
#define ROUNDS	    20000
#define RUN_MS	    300
#define BRANCHES    8
#define QUEUE_LIMIT 1000000
#define NAME_BYTES  32
#define DEADLINE_MS 3600000
#define FIRST_MS    1000
#define STEP_ROUNDS 16

struct running {
	struct waxwing_job_key key;
	uint32_t task;
	char upstream[NAME_BYTES];
};

struct bed {
	struct waxwing_scheduler *scheduler;
	GArray *running; /**< of struct running */
	uint64_t next_job;
	int64_t now_ms;
	GRand *rand;
};

static struct waxwing_str branch_name(uint64_t number)
{
	static const char *const names[BRANCHES] = { "a/a", "a/b", "a/c", "a/d",
						     "b/a", "b/b", "b/c", "b/d" };

	return waxwing_str(names[number % BRANCHES]);
}

static void offer_job(struct bed *bed)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_offer offer = {
		.key = { .issuer = 1 + bed->next_job % 4, .job = bed->next_job },
		.branch = branch_name(bed->next_job),
		.task_count = JOB_TASKS,
		.admitted_ms = bed->now_ms,
		.deadline_ms = bed->now_ms + DEADLINE_MS,
		.bytes = JOB_TASKS * 64,
		.readmitted = true,
	};

	bed->next_job++;
	if (waxwing_scheduler_offer(bed->scheduler, bed->now_ms, &offer, &error) != WAXWING_OK)
		g_error("scale: an offer was refused: %s", waxwing_error_name(error.code));
}

static void take_grants(struct bed *bed)
{
	struct waxwing_action action;

	while (waxwing_scheduler_next_action(bed->scheduler, bed->now_ms, &action)) {
		struct running running = { .key = action.key, .task = action.task };

		g_assert(action.kind == WAXWING_ACTION_GRANT);
		snprintf(running.upstream, NAME_BYTES, "%.*s", WAXWING_STR_ARG(action.upstream));
		g_array_append_val(bed->running, running);
	}
}

static void end_one(struct bed *bed)
{
	guint at;
	struct running running;

	if (!bed->running->len)
		return;
	at = (guint)g_rand_int_range(bed->rand, 0, (gint32)bed->running->len);
	running = g_array_index(bed->running, struct running, at);
	g_array_remove_index_fast(bed->running, at);
	waxwing_scheduler_slot_ended(bed->scheduler, bed->now_ms, running.key, running.task,
				     waxwing_str(running.upstream), WAXWING_SLOT_DONE,
				     (uint32_t)g_rand_int_range(bed->rand, RUN_MS / 2, 2 * RUN_MS));
}

static void set_up(struct bed *bed, uint32_t upstreams)
{
	struct waxwing_scheduler_options options = {
		.seed = 1,
		.queue_tasks = QUEUE_LIMIT,
		.queue_bytes = UINT64_C(1) << 40,
		.round_trip_ms = 1,
	};
	char name[NAME_BYTES];

	*bed = (struct bed){ .now_ms = FIRST_MS, .rand = g_rand_new_with_seed(1) };
	bed->running = g_array_new(FALSE, FALSE, sizeof(struct running));
	bed->scheduler = waxwing_scheduler_create(&options);
	for (uint64_t i = 0; i < BRANCHES; i++) {
		struct waxwing_branch_policy branch = {
			.branch = branch_name(i),
			.weight = 1,
			.declared_ms = RUN_MS,
		};

		waxwing_scheduler_set_branch(bed->scheduler, bed->now_ms, &branch);
	}
	for (uint32_t i = 0; i < upstreams; i++) {
		snprintf(name, sizeof(name), "can-tho-executor-%u", i);
		waxwing_scheduler_set_upstream(bed->scheduler, bed->now_ms, waxwing_str(name),
					       SLOTS, WAXWING_UPSTREAM_LIVE);
	}
}

static void tear_down(struct bed *bed)
{
	waxwing_scheduler_destroy(bed->scheduler);
	g_array_unref(bed->running);
	g_rand_free(bed->rand);
}

/* Ends a task and starts another, a new job each time a job's worth of tasks has ended. */
static double round_ns(struct bed *bed)
{
	int64_t from_ns = waxwing_bench_scale_cpu_ns();

	for (uint32_t i = 0; i < ROUNDS; i++) {
		if (i % STEP_ROUNDS == 0)
			bed->now_ms++;
		end_one(bed);
		if (i % JOB_TASKS == 0)
			offer_job(bed);
		take_grants(bed);
	}
	return (double)(waxwing_bench_scale_cpu_ns() - from_ns) / ROUNDS;
}

static void measure(GArray *slopes, uint32_t upstreams, uint32_t queued)
{
	struct bed bed;
	struct waxwing_scheduler_view view;
	uint64_t heap_bytes;
	struct waxwing_bench_slope memory = { "scheduler", "memory of a queued task",
					      "bytes",	   upstreams,
					      queued,	   0 };
	struct waxwing_bench_slope time = { "scheduler", "offer, grant and end of a task",
					    "ns",	 upstreams,
					    queued,	 0 };

	set_up(&bed, upstreams);
	while (bed.running->len + JOB_TASKS <= upstreams * SLOTS) {
		guint before = bed.running->len;

		offer_job(&bed);
		take_grants(&bed);
		if (bed.running->len == before)
			break;
	}
	heap_bytes = waxwing_bench_scale_heap_bytes();
	for (uint32_t i = 0; i < queued / JOB_TASKS; i++)
		offer_job(&bed);
	heap_bytes = waxwing_bench_scale_heap_bytes() - heap_bytes;
	memory.value = (double)heap_bytes / queued;
	take_grants(&bed);
	time.value = round_ns(&bed);
	waxwing_scheduler_view(bed.scheduler, &view);
	g_assert(view.queued_tasks >= queued / 2);
	waxwing_bench_scale_add(slopes, &time);
	waxwing_bench_scale_add(slopes, &memory);
	tear_down(&bed);
}

void waxwing_bench_scale_scheduler(GArray *slopes)
{
	static const uint32_t upstreams[] = { 13, 50, 200, 1000 };
	static const uint32_t queued[] = { 1000, 10000, 100000 };

	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(queued); j++)
			measure(slopes, upstreams[i], queued[j]);
	}
}
