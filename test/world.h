/**
 * Simulates several dispatchers in virtual time: a network that delays and loses batches and can be
 * partitioned, upstreams that answer busy, and instances that crash and restart. Counts every start
 * and every answer.
 *
 * To be included by one source file of a test program.
 */
#ifndef WAXWING_TEST_WORLD_H
#define WAXWING_TEST_WORLD_H

#include "dispatcher.h"
#include "log.h"

#include <stdio.h>

#define INSTANCES   3
#define UPSTREAMS   4
#define SLOTS	    4
#define STEP_MS	    2
#define NETWORK_MS  1
#define DEADLINE_MS 20000

struct batch_message {
	int64_t due_ms;
	int from;
	int to;
	uint8_t *data;
	size_t len;
};

struct task_run {
	int64_t due_ms;
	int instance;
	uint64_t incarnation;
	int upstream; /* -1 if the upstream answered busy or the slot was released */
	struct waxwing_send_result sent;
	char *name;
};

struct world_instance {
	struct world *world;
	int index;
	uint64_t incarnation;
	struct waxwing_dispatcher *dispatcher; /* null while the instance is down */
	GHashTable *connections; /* peer addresses with an open connection */
	bool paused;
	bool out_of_rotation; /* callers send the instance no requests */
};

struct world {
	int64_t now_ms;
	struct world_instance instances[INSTANCES];
	uint32_t used_slots[UPSTREAMS];
	GPtrArray *messages;
	GPtrArray *runs;
	GHashTable *starts; /* set of "id#task" */
	GHashTable *started_ids; /* set of ids of which a task was started */
	GHashTable *answers; /* waiter number -> state of its answer */
	GPtrArray *ids;
	uint64_t next_incarnation;
	uint64_t next_waiter;
	uint32_t deadline_ms; /* relative deadline of the next jobs */
	uint32_t loss_percent;
	uint32_t fail_percent; /* share of the tasks that fail */
	uint32_t u0_slowdown; /* factor on the run times at upstream u0 */
	uint32_t cells; /* number of cells; also the revision of the settings that set it */
	bool instance_unlisted[INSTANCES];
	bool u0_unlisted;
	bool partitioned[INSTANCES][INSTANCES];
	char *last_state; /* state of the last answer */
	char *last_code; /* failure code of the last answer; empty if it has none */
	size_t largest_batch; /* size of the largest batch sent so far; tests may reset it */
	uint64_t offers; /* offers sent between instances */
	uint64_t refusals; /* refusals sent between instances */
	uint64_t busy;
	uint64_t double_starts;
	uint64_t double_answers;
	uint64_t false_not_run;
};

static void free_message(void *pointer)
{
	g_free(((struct batch_message *)pointer)->data);
	g_free(pointer);
}

static void free_run(void *pointer)
{
	g_free(((struct task_run *)pointer)->name);
	g_free(pointer);
}

static void send_batch(void *context, struct waxwing_str address, const Waxwing__Batch *batch)
{
	struct world_instance *instance = context;
	struct world *world = instance->world;
	struct batch_message *message;
	struct waxwing_str port;
	uint64_t to;

	world->offers += batch->n_offers;
	world->refusals += batch->n_refusals;
	g_assert_true(waxwing_str_cut(address, ':', NULL, &port));
	g_assert_true(waxwing_str_to_u64(port, 10, &to));
	g_hash_table_add(instance->connections, waxwing_str_dup(address));
	if (world->partitioned[instance->index][to] ||
	    (uint32_t)g_test_rand_int_range(0, 100) < world->loss_percent)
		return;
	message = g_new0(struct batch_message, 1);
	message->due_ms = world->now_ms + NETWORK_MS;
	message->from = instance->index;
	message->to = (int)to;
	message->len = waxwing__batch__get_packed_size(batch);
	world->largest_batch = MAX(world->largest_batch, message->len);
	message->data = g_malloc(message->len);
	waxwing__batch__pack(batch, message->data);
	g_ptr_array_add(world->messages, message);
}

static void disconnect_peer(void *context, struct waxwing_str address)
{
	struct world_instance *instance = context;
	char *key = waxwing_str_dup(address);

	g_hash_table_remove(instance->connections, key);
	g_free(key);
}

static void count_start(struct world *world, const struct waxwing_send_request *send)
{
	char *key = g_strdup_printf("%.*s#%u", WAXWING_STR_ARG(send->id), send->task);

	if (!g_hash_table_add(world->starts, key))
		world->double_starts++;
	g_hash_table_add(world->started_ids, waxwing_str_dup(send->id));
}

static void start_task(void *context, const struct waxwing_send_request *send)
{
	struct world_instance *instance = context;
	struct world *world = instance->world;
	struct task_run *run = g_new0(struct task_run, 1);
	int upstream = send->upstream.data[1] - '0';

	run->instance = instance->index;
	run->incarnation = instance->incarnation;
	run->name = waxwing_str_dup(send->upstream);
	run->sent = (struct waxwing_send_result){ .job = send->job, .task = send->task };
	run->sent.upstream = waxwing_str(run->name);
	run->upstream = -1;
	if (world->used_slots[upstream] == SLOTS) {
		world->busy++;
		run->sent.outcome = WAXWING_SLOT_BUSY;
		run->due_ms = world->now_ms + NETWORK_MS;
	} else {
		count_start(world, send);
		world->used_slots[upstream]++;
		run->upstream = upstream;
		run->sent.run_ms = (uint32_t)g_test_rand_int_range(5, 200);
		run->sent.run_ms *= upstream == 0 ? world->u0_slowdown : 1;
		run->sent.outcome = (uint32_t)g_test_rand_int_range(0, 100) < world->fail_percent ?
					    WAXWING_SLOT_FAILED :
					    WAXWING_SLOT_DONE;
		run->sent.body = waxwing_str("ok");
		run->due_ms = world->now_ms + run->sent.run_ms;
	}
	g_ptr_array_add(world->runs, run);
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
	struct world_instance *instance = context;
	struct world *world = instance->world;
	uint64_t *key = g_memdup2(&waiter.number, sizeof(waiter.number));

	g_free(world->last_state);
	world->last_state = g_strdup(message->state);
	g_free(world->last_code);
	world->last_code = g_strdup(message->failure ? message->failure->code : "");
	if (!g_hash_table_replace(world->answers, key, g_strdup(message->state)))
		world->double_answers++;
	if (g_str_equal(message->state, "not_run") &&
	    g_hash_table_contains(world->started_ids, message->id))
		world->false_not_run++;
	if (g_str_equal(message->state, "complete"))
		g_assert_cmpuint(message->n_tasks, >, 0);
	else
		g_assert_cmpuint(message->n_tasks, ==, 0);
}

static const struct waxwing_dispatcher_ops ops = {
	.send_batch = send_batch,
	.disconnect_peer = disconnect_peer,
	.start_task = start_task,
	.stop_task = stop_task,
	.answer = answer,
};

static void set_platform_lists(struct world *world, struct world_instance *instance)
{
	struct waxwing_platform_instance members[INSTANCES] = { 0 };
	struct waxwing_platform_instance upstreams[UPSTREAMS] = { 0 };
	struct waxwing_platform_list list = { .items = members };
	char text[INSTANCES + UPSTREAMS][16];

	for (int i = 0; i < INSTANCES; i++) {
		g_snprintf(text[i], sizeof(text[i]), "n:%d", i);
		if (world->instance_unlisted[i])
			continue;
		members[list.count].name = members[list.count].address = text[i];
		members[list.count].peer_address = text[i];
		members[list.count++].domain = "d";
	}
	waxwing_dispatcher_set_instances(instance->dispatcher, world->now_ms, &list);
	for (int i = 0; i < UPSTREAMS; i++) {
		g_snprintf(text[INSTANCES + i], sizeof(text[0]), "u%d", i);
		upstreams[i].name = upstreams[i].address = text[INSTANCES + i];
		upstreams[i].peer_address = "";
		upstreams[i].domain = "d";
		upstreams[i].slots = SLOTS;
	}
	list = (struct waxwing_platform_list){ .items = upstreams + world->u0_unlisted,
					       .count = UPSTREAMS - world->u0_unlisted };
	waxwing_dispatcher_set_upstreams(instance->dispatcher, world->now_ms, &list);
}

static void set_document(struct world *world, struct world_instance *instance, const char *document,
			 uint64_t revision)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;

	waxwing_dispatcher_set_settings(
		instance->dispatcher, world->now_ms,
		waxwing_settings_parse(waxwing_str(document), revision, &error));
	g_assert_cmpint(error.code, ==, WAXWING_OK);
}

static void set_settings(struct world *world, struct world_instance *instance)
{
	char *document = g_strdup_printf("{\"limits\":{\"cells\":%u},\"branches\":{\"b\":{},"
					 "\"i\":{\"values\":{\"idempotent\":true}}}}",
					 world->cells);

	set_document(world, instance, document, world->cells);
	g_free(document);
}

static void start_instance(struct world *world, int index)
{
	struct world_instance *instance = &world->instances[index];
	char *name = g_strdup_printf("n:%d", index);
	const struct waxwing_dispatcher_options options = {
		.ops = &ops,
		.context = instance,
		.name = waxwing_str(name),
		.domain = waxwing_str("d"),
		.http_address = waxwing_str(name),
		.peer_address = waxwing_str(name),
		.incarnation = ++world->next_incarnation * 0x9e3779b97f4a7c15,
		.seed = world->next_incarnation,
	};

	instance->world = world;
	instance->index = index;
	instance->incarnation = options.incarnation;
	instance->connections = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	instance->dispatcher = waxwing_dispatcher_create(&options, world->now_ms);
	g_free(name);
	set_settings(world, instance);
	set_platform_lists(world, instance);
}

static void stop_instance(struct world *world, int index)
{
	waxwing_dispatcher_destroy(world->instances[index].dispatcher);
	world->instances[index].dispatcher = NULL;
	g_hash_table_destroy(world->instances[index].connections);
}

static struct world *world_new(uint32_t loss_percent)
{
	struct world *world = g_new0(struct world, 1);

	world->now_ms = 1000000;
	world->loss_percent = loss_percent;
	world->deadline_ms = DEADLINE_MS;
	world->fail_percent = 2;
	world->cells = 1;
	world->u0_slowdown = 1;
	world->messages = g_ptr_array_new_with_free_func(free_message);
	world->runs = g_ptr_array_new_with_free_func(free_run);
	world->starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->started_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->answers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	world->ids = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < INSTANCES; i++)
		start_instance(world, i);
	return world;
}

static void world_free(struct world *world)
{
	for (int i = 0; i < INSTANCES; i++)
		if (world->instances[i].dispatcher)
			stop_instance(world, i);
	g_ptr_array_free(world->messages, TRUE);
	g_ptr_array_free(world->runs, TRUE);
	g_hash_table_destroy(world->starts);
	g_hash_table_destroy(world->started_ids);
	g_hash_table_destroy(world->answers);
	g_ptr_array_free(world->ids, TRUE);
	g_free(world->last_state);
	g_free(world->last_code);
	g_free(world);
}

static void submit_kind(struct world *world, int index, const char *id, size_t tasks,
			const char *branch, enum waxwing_submit_kind kind)
{
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	Waxwing__TaskRequest task = WAXWING__TASK_REQUEST__INIT;
	Waxwing__TaskRequest *list[8];
	struct waxwing_waiter waiter = { .number = ++world->next_waiter };

	task.body = "x";
	for (size_t i = 0; i < tasks; i++)
		list[i] = &task;
	request.id = (char *)id;
	request.caller = "c";
	request.branch = (char *)branch;
	request.has_deadline_ms = true;
	request.deadline_ms = world->deadline_ms;
	request.n_tasks = tasks;
	request.tasks = list;
	waxwing_dispatcher_submit(world->instances[index].dispatcher, world->now_ms, &request, kind,
				  waiter);
}

static void submit_id(struct world *world, int index, const char *id, size_t tasks)
{
	submit_kind(world, index, id, tasks, "b", WAXWING_SUBMIT_JOB);
}

/* Derives the number of tasks from the id, so that a resubmission is the same job. */
static size_t id_task_count(const char *id)
{
	return 1 + g_str_hash(id) % 6;
}

static int random_live_instance(struct world *world)
{
	int index = g_test_rand_int_range(0, INSTANCES);

	while (!world->instances[index].dispatcher || world->instances[index].paused ||
	       world->instances[index].out_of_rotation)
		index = (index + 1) % INSTANCES;
	return index;
}

static void submit_new(struct world *world)
{
	int index = random_live_instance(world);
	struct waxwing_str window =
		waxwing_dispatcher_window(world->instances[index].dispatcher, world->now_ms);
	char *id = g_strdup_printf("%.*s/k%u", WAXWING_STR_ARG(window), world->ids->len);

	g_ptr_array_add(world->ids, id);
	submit_id(world, index, id, id_task_count(id));
}

static void resubmit(struct world *world)
{
	const char *id;

	if (!world->ids->len)
		return;
	id = g_ptr_array_index(world->ids, g_test_rand_int_range(0, (int)world->ids->len));
	submit_id(world, random_live_instance(world), id, id_task_count(id));
}

static void deliver_messages(struct world *world)
{
	for (guint i = 0; i < world->messages->len;) {
		struct batch_message *message = g_ptr_array_index(world->messages, i);
		struct world_instance *instance = &world->instances[message->to];
		Waxwing__Batch *batch;

		if (message->due_ms > world->now_ms || (instance->paused && instance->dispatcher)) {
			i++;
			continue;
		}
		batch = waxwing__batch__unpack(NULL, message->len, message->data);
		g_ptr_array_remove_index(world->messages, i);
		if (instance->dispatcher)
			waxwing_dispatcher_receive_batch(instance->dispatcher, world->now_ms,
							 batch);
		waxwing__batch__free_unpacked(batch, NULL);
	}
}

static void end_runs(struct world *world)
{
	for (guint i = 0; i < world->runs->len;) {
		struct task_run *run = g_ptr_array_index(world->runs, i);
		struct world_instance *instance = &world->instances[run->instance];
		bool same = instance->dispatcher && instance->incarnation == run->incarnation;

		if (run->due_ms <= world->now_ms && run->upstream >= 0) {
			world->used_slots[run->upstream]--;
			run->upstream = -1;
		}
		if (run->due_ms > world->now_ms || (same && instance->paused)) {
			i++;
			continue;
		}
		run = g_ptr_array_steal_index(world->runs, i);
		if (same)
			waxwing_dispatcher_task_ended(instance->dispatcher, world->now_ms,
						      &run->sent);
		free_run(run);
	}
}

static void step(struct world *world)
{
	world->now_ms += STEP_MS;
	deliver_messages(world);
	end_runs(world);
	for (int i = 0; i < INSTANCES; i++) {
		struct world_instance *instance = &world->instances[i];

		if (!instance->dispatcher || instance->paused)
			continue;
		waxwing_dispatcher_tick(instance->dispatcher, world->now_ms);
		waxwing_dispatcher_flush(instance->dispatcher, world->now_ms);
	}
}

static void advance_world(struct world *world, int64_t ms)
{
	for (int64_t passed = 0; passed < ms; passed += STEP_MS)
		step(world);
}

static void run_with_load(struct world *world, int64_t ms)
{
	for (int64_t passed = 0; passed < ms; passed += STEP_MS) {
		if (!g_test_rand_int_range(0, 14))
			submit_new(world);
		if (!g_test_rand_int_range(0, 20))
			resubmit(world);
		step(world);
	}
}

/* Returns the number of waiters answered with a state. */
G_GNUC_UNUSED static uint64_t count_answered(struct world *world, const char *state)
{
	GHashTableIter iter;
	void *value;
	uint64_t count = 0;

	g_hash_table_iter_init(&iter, world->answers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += g_str_equal(value, state);
	return count;
}

/*
 * Checks, after all deadlines have passed, that no task was started twice, that no answer was "not
 * run" falsely, and that every waiter of a live instance has exactly one answer.
 */
G_GNUC_UNUSED static void check_invariants(struct world *world, uint64_t lost_waiters)
{
	g_test_message("%u starts, %" G_GUINT64_FORMAT " busy answers",
		       g_hash_table_size(world->starts), world->busy);
	g_assert_cmpuint(world->double_starts, ==, 0);
	g_assert_cmpuint(world->double_answers, ==, 0);
	g_assert_cmpuint(world->false_not_run, ==, 0);
	g_assert_cmpuint(g_hash_table_size(world->answers) + lost_waiters, >=, world->next_waiter);
}

/* Returns the number of waiters without an answer. */
G_GNUC_UNUSED static uint64_t count_unanswered(const struct world *world)
{
	return world->next_waiter - g_hash_table_size(world->answers);
}

#endif
