/*
 * Processor time of a whole instance without its sockets, by number of upstreams: an idle tick,
 * and a job of one task from submission to end. Half of the slots are in use.
 */
#include "bench_scale.h"
#include "dispatcher.h"
#include "log.h"

#include <stdio.h>

#define SLOTS	   8
#define JOBS	   20000
#define TICKS	   2000
#define RUN_MS	   300
#define FIRST_MS   1000
#define NAME_BYTES 32
#define ID_BYTES   160
#define SETTINGS   "{ \"branches\": { \"booking\": { } } }"
/* Jobs per millisecond of simulated time. */
#define JOBS_PER_MS 16

struct dispatcher_fixture {
	struct waxwing_dispatcher *dispatcher;
	GQueue running; /**< of struct waxwing_send_result, whose upstream names it owns */
	char *window;
	uint64_t submitted;
	int64_t now_ms;
};

static void send_batch(void *context, struct waxwing_str address, const Waxwing__Batch *batch)
{
	(void)context;
	(void)address;
	(void)batch;
}

static void forget_peer(void *context, struct waxwing_str address)
{
	(void)context;
	(void)address;
}

static void start_task(void *context, const struct waxwing_send_request *send)
{
	struct dispatcher_fixture *fixture = context;
	struct waxwing_send_result *sent = g_new0(struct waxwing_send_result, 1);

	sent->job = send->job;
	sent->task = send->task;
	sent->upstream =
		(struct waxwing_str){ send->upstream.len, waxwing_str_dup(send->upstream) };
	sent->outcome = WAXWING_SLOT_DONE;
	sent->run_ms = RUN_MS;
	g_queue_push_tail(&fixture->running, sent);
}

static void stop_task(void *context, struct waxwing_str address, struct waxwing_str id,
		      uint32_t task)
{
	(void)context;
	(void)address;
	(void)id;
	(void)task;
}

static void answer(void *context, struct waxwing_waiter waiter, const Waxwing__JobAnswer *message)
{
	(void)context;
	(void)waiter;
	(void)message;
}

static const struct waxwing_dispatcher_ops ops = {
	.send_batch = send_batch,
	.disconnect_peer = forget_peer,
	.start_task = start_task,
	.stop_task = stop_task,
	.answer = answer,
};

static void add_upstreams(struct dispatcher_fixture *fixture, uint32_t count)
{
	struct waxwing_platform_instance *items = g_new0(struct waxwing_platform_instance, count);
	char(*names)[NAME_BYTES] = g_malloc_n(count, sizeof(*names));
	const struct waxwing_platform_list list = { .items = items, .count = count };

	for (uint32_t i = 0; i < count; i++) {
		snprintf(names[i], sizeof(names[i]), "can-tho-executor-%u", i);
		items[i] = (struct waxwing_platform_instance){ .name = names[i],
							       .address = names[i],
							       .peer_address = "",
							       .domain = "can-tho",
							       .slots = SLOTS };
	}
	waxwing_dispatcher_set_upstreams(fixture->dispatcher, fixture->now_ms, &list);
	g_free(names);
	g_free(items);
}

static void set_up(struct dispatcher_fixture *fixture, uint32_t upstreams)
{
	const struct waxwing_dispatcher_options options = {
		.ops = &ops,
		.context = fixture,
		.name = waxwing_str("can-tho-1"),
		.domain = waxwing_str("can-tho"),
		.http_address = waxwing_str("10.0.0.1:8080"),
		.peer_address = waxwing_str("10.0.0.1:9001"),
		.incarnation = 1,
		.seed = 1,
	};
	struct waxwing_error error = WAXWING_ERROR_INIT;

	*fixture = (struct dispatcher_fixture){ .now_ms = FIRST_MS, .running = G_QUEUE_INIT };
	fixture->dispatcher = waxwing_dispatcher_create(&options, fixture->now_ms);
	waxwing_dispatcher_set_settings(fixture->dispatcher, fixture->now_ms,
					waxwing_settings_parse(waxwing_str(SETTINGS), 1, &error));
	add_upstreams(fixture, upstreams);
	waxwing_dispatcher_tick(fixture->dispatcher, fixture->now_ms);
	fixture->window =
		waxwing_str_dup(waxwing_dispatcher_window(fixture->dispatcher, fixture->now_ms));
}

static void submit_job(struct dispatcher_fixture *fixture)
{
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	Waxwing__TaskRequest task = WAXWING__TASK_REQUEST__INIT;
	Waxwing__TaskRequest *tasks[] = { &task };
	const struct waxwing_waiter waiter = { .number = ++fixture->submitted };
	char id[ID_BYTES];

	snprintf(id, sizeof(id), "%s/booking-%" G_GUINT64_FORMAT, fixture->window,
		 fixture->submitted);
	task.body = (char *)"booked=1";
	request.id = id;
	request.caller = (char *)"crew-7";
	request.branch = (char *)"booking";
	request.n_tasks = G_N_ELEMENTS(tasks);
	request.tasks = tasks;
	waxwing_dispatcher_submit(fixture->dispatcher, fixture->now_ms, &request,
				  WAXWING_SUBMIT_JOB, waiter);
}

static void end_oldest_task(struct dispatcher_fixture *fixture)
{
	struct waxwing_send_result *sent = g_queue_pop_head(&fixture->running);

	waxwing_dispatcher_task_ended(fixture->dispatcher, fixture->now_ms, sent);
	g_free((char *)sent->upstream.data);
	g_free(sent);
}

static void tear_down(struct dispatcher_fixture *fixture)
{
	while (fixture->running.length)
		end_oldest_task(fixture);
	waxwing_dispatcher_destroy(fixture->dispatcher);
	g_free(fixture->window);
}

static double job_ns(struct dispatcher_fixture *fixture)
{
	int64_t from_ns = waxwing_bench_scale_cpu_ns();

	for (uint32_t i = 0; i < JOBS; i++) {
		fixture->now_ms += i % JOBS_PER_MS == 0;
		submit_job(fixture);
		end_oldest_task(fixture);
	}
	return (double)(waxwing_bench_scale_cpu_ns() - from_ns) / JOBS;
}

static double tick_ns(struct dispatcher_fixture *fixture)
{
	int64_t from_ns = waxwing_bench_scale_cpu_ns();

	for (uint32_t i = 0; i < TICKS; i++) {
		fixture->now_ms += 1;
		waxwing_dispatcher_tick(fixture->dispatcher, fixture->now_ms);
	}
	return (double)(waxwing_bench_scale_cpu_ns() - from_ns) / TICKS;
}

static void measure(GArray *results, uint32_t upstreams)
{
	struct waxwing_bench_scale_result job = {
		"dispatcher", "job of one task, whole", "ns", upstreams, 0, 0
	};
	struct waxwing_bench_scale_result tick = {
		"dispatcher", "tick without work", "ns", upstreams, 0, 0
	};
	struct dispatcher_fixture fixture;

	set_up(&fixture, upstreams);
	while (fixture.submitted < upstreams * SLOTS / 2)
		submit_job(&fixture);
	g_assert(fixture.running.length == upstreams * SLOTS / 2);
	job.value = job_ns(&fixture);
	tick.value = tick_ns(&fixture);
	waxwing_bench_scale_add(results, &job);
	waxwing_bench_scale_add(results, &tick);
	tear_down(&fixture);
}

void waxwing_bench_scale_dispatcher(GArray *results)
{
	static const uint32_t upstreams[] = { 13, 200, 1900 };

	waxwing_log_set_level(WAXWING_LOG_WARNING);
	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++)
		measure(results, upstreams[i]);
}
