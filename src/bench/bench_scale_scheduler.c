/*
 * Processor time of a task's offer, grant and end, and memory of a queued task, by number of
 * upstreams and queue length.
 */
#include "bench_scale.h"
#include "scheduler.h"

#include <stdio.h>

#define SLOTS	      8
#define JOB_TASKS     10
#define ROUNDS	      20000
#define RUN_MS	      300
#define BRANCHES      8
#define QUEUE_LIMIT   1000000
#define NAME_BYTES    32
#define DEADLINE_MS   3600000
#define FIRST_MS      1000
#define ROUNDS_PER_MS 16

struct running_task {
	struct waxwing_job_key key;
	uint32_t task;
	char upstream[NAME_BYTES];
};

struct scheduler_fixture {
	struct waxwing_scheduler *scheduler;
	GArray *running; /**< of struct running_task */
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

static void offer_job(struct scheduler_fixture *fixture)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_offer offer = {
		.key = { .issuer = 1 + fixture->next_job % 4, .job = fixture->next_job },
		.branch = branch_name(fixture->next_job),
		.task_count = JOB_TASKS,
		.admitted_ms = fixture->now_ms,
		.deadline_ms = fixture->now_ms + DEADLINE_MS,
		.bytes = JOB_TASKS * 64,
		.readmitted = true,
	};

	fixture->next_job++;
	if (waxwing_scheduler_offer(fixture->scheduler, fixture->now_ms, &offer, &error) !=
	    WAXWING_OK)
		g_error("scale: job offer refused: %s", waxwing_error_name(error.code));
}

static void take_grants(struct scheduler_fixture *fixture)
{
	struct waxwing_action action;

	while (waxwing_scheduler_next_action(fixture->scheduler, fixture->now_ms, &action)) {
		struct running_task running = { .key = action.key, .task = action.task };

		g_assert(action.kind == WAXWING_ACTION_GRANT);
		snprintf(running.upstream, NAME_BYTES, "%.*s", WAXWING_STR_ARG(action.upstream));
		g_array_append_val(fixture->running, running);
	}
}

static void end_random_task(struct scheduler_fixture *fixture)
{
	guint at;
	struct running_task running;

	if (!fixture->running->len)
		return;
	at = (guint)g_rand_int_range(fixture->rand, 0, (gint32)fixture->running->len);
	running = g_array_index(fixture->running, struct running_task, at);
	g_array_remove_index_fast(fixture->running, at);
	waxwing_scheduler_slot_ended(
		fixture->scheduler, fixture->now_ms, running.key, running.task,
		waxwing_str(running.upstream), WAXWING_SLOT_DONE,
		(uint32_t)g_rand_int_range(fixture->rand, RUN_MS / 2, 2 * RUN_MS));
}

static void set_up(struct scheduler_fixture *fixture, uint32_t upstreams)
{
	struct waxwing_scheduler_options options = {
		.seed = 1,
		.queue_tasks = QUEUE_LIMIT,
		.queue_bytes = UINT64_C(1) << 40,
		.round_trip_ms = 1,
	};
	char name[NAME_BYTES];

	*fixture =
		(struct scheduler_fixture){ .now_ms = FIRST_MS, .rand = g_rand_new_with_seed(1) };
	fixture->running = g_array_new(FALSE, FALSE, sizeof(struct running_task));
	fixture->scheduler = waxwing_scheduler_create(&options);
	for (uint64_t i = 0; i < BRANCHES; i++) {
		struct waxwing_branch_policy branch = {
			.branch = branch_name(i),
			.weight = 1,
			.declared_ms = RUN_MS,
		};

		waxwing_scheduler_set_branch(fixture->scheduler, fixture->now_ms, &branch);
	}
	for (uint32_t i = 0; i < upstreams; i++) {
		snprintf(name, sizeof(name), "can-tho-executor-%u", i);
		waxwing_scheduler_set_upstream(fixture->scheduler, fixture->now_ms,
					       waxwing_str(name), SLOTS, WAXWING_UPSTREAM_LIVE);
	}
}

static void tear_down(struct scheduler_fixture *fixture)
{
	waxwing_scheduler_destroy(fixture->scheduler);
	g_array_unref(fixture->running);
	g_rand_free(fixture->rand);
}

/* Each round ends a task and starts another; a new job is offered every JOB_TASKS rounds. */
static double round_ns(struct scheduler_fixture *fixture)
{
	int64_t from_ns = waxwing_bench_scale_cpu_ns();

	for (uint32_t i = 0; i < ROUNDS; i++) {
		if (i % ROUNDS_PER_MS == 0)
			fixture->now_ms++;
		end_random_task(fixture);
		if (i % JOB_TASKS == 0)
			offer_job(fixture);
		take_grants(fixture);
	}
	return (double)(waxwing_bench_scale_cpu_ns() - from_ns) / ROUNDS;
}

static void measure(GArray *results, uint32_t upstreams, uint32_t queued)
{
	struct scheduler_fixture fixture;
	struct waxwing_scheduler_view view;
	uint64_t heap_bytes;
	struct waxwing_bench_scale_result memory = { "scheduler", "memory of a queued task",
						     "bytes",	  upstreams,
						     queued,	  0 };
	struct waxwing_bench_scale_result time = { "scheduler", "offer, grant and end of a task",
						   "ns",	upstreams,
						   queued,	0 };

	set_up(&fixture, upstreams);
	while (fixture.running->len + JOB_TASKS <= upstreams * SLOTS) {
		guint before = fixture.running->len;

		offer_job(&fixture);
		take_grants(&fixture);
		if (fixture.running->len == before)
			break;
	}
	heap_bytes = waxwing_bench_scale_heap_bytes();
	for (uint32_t i = 0; i < queued / JOB_TASKS; i++)
		offer_job(&fixture);
	heap_bytes = waxwing_bench_scale_heap_bytes() - heap_bytes;
	memory.value = (double)heap_bytes / queued;
	take_grants(&fixture);
	time.value = round_ns(&fixture);
	waxwing_scheduler_view(fixture.scheduler, &view);
	g_assert(view.queued_tasks >= queued / 2);
	waxwing_bench_scale_add(results, &time);
	waxwing_bench_scale_add(results, &memory);
	tear_down(&fixture);
}

void waxwing_bench_scale_scheduler(GArray *results)
{
	static const uint32_t upstreams[] = { 13, 50, 200, 1000 };
	static const uint32_t queued[] = { 1000, 10000, 100000 };

	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(queued); j++)
			measure(results, upstreams[i], queued[j]);
	}
}
