/** The nodes of the world in virtual time, their messages and their clients. Part of node_world.h. */
#ifndef WAXWING_TEST_NODE_WORLD_NODES_H
#define WAXWING_TEST_NODE_WORLD_NODES_H

#include "node_world_executors.h"
#include "node_world_store.h"

struct letter {
	int to;
	uint64_t to_incarnation; /* 0: whoever takes messages there */
	uint64_t sender;
	size_t len;
	uint8_t *data;
};

static void letter_arrived(struct world *world, void *data)
{
	struct letter *letter = data;
	struct world_node *at = &world->nodes[letter->to];
	Waxwing__NodeMessage *message;

	if (at->node && hold_back(at, letter_arrived, letter))
		return;
	if (at->node && (!letter->to_incarnation || letter->to_incarnation == at->incarnation)) {
		message = waxwing__node_message__unpack(NULL, letter->len, letter->data);
		waxwing_node_received(at->node, letter->sender, message);
		waxwing__node_message__free_unpacked(message, NULL);
		waxwing_node_settle(at->node);
	}
	g_free(letter->data);
	g_free(letter);
}

static void post(struct world_node *from, int to, uint64_t to_incarnation, uint64_t sender,
		 const Waxwing__NodeMessage *message)
{
	struct world *world = from->world;
	struct letter *letter;

	if (!zones_meet(world, from->zone, world->nodes[to].zone) ||
	    (world->nodes[to].deaf && to != from->index))
		return;
	letter = g_new0(struct letter, 1);
	letter->to = to;
	letter->to_incarnation = to_incarnation;
	letter->sender = sender;
	letter->len = waxwing__node_message__get_packed_size(message);
	letter->data = g_malloc(letter->len);
	waxwing__node_message__pack(message, letter->data);
	world_later(world, WAY_MS + world->nodes[to].lag_ms, letter_arrived, letter);
}

static struct world_node *node_of_link(const struct waxwing_link *link)
{
	return (struct world_node *)((char *)link - offsetof(struct world_node, link));
}

static void fake_send(struct waxwing_link *link, const char *address,
		      const Waxwing__NodeMessage *message)
{
	struct world_node *from = node_of_link(link);

	post(from, atoi(strrchr(address, ':') + 1), 0, from->incarnation, message);
}

static void fake_link_answer(struct waxwing_link *link, uint64_t sender,
			     const Waxwing__NodeMessage *message)
{
	struct world_node *from = node_of_link(link);

	for (int i = 0; i < NODES; i++)
		if (from->world->nodes[i].incarnation == sender)
			post(from, i, sender, 0, message);
}

static uint64_t fake_dropped(const struct waxwing_link *link)
{
	(void)link;
	return 0;
}

static const struct waxwing_link_ops fake_link_ops = {
	.send = fake_send,
	.answer = fake_link_answer,
	.dropped = fake_dropped,
};

static const char *const zone_names[ZONES + 1] = { "z0", "z1", "z2", NULL };

/* An entry's value is "zone address born". */
static bool world_read_executor(const struct waxwing_store_item *item,
				void (*use)(void *data, const struct waxwing_executor_entry *entry),
				void *data)
{
	static const char *const labels[] = { "kind", "rack", NULL };
	char *value = waxwing_str_dup(item->value);
	char *id = waxwing_str_dup(item->key);
	char **parts = g_strsplit(value, " ", 3);
	struct waxwing_executor_entry entry = {
		.id = id + strlen("servers/"),
		.address = parts[1],
		.service = "service",
		.zone = parts[0],
		.kind = "kind",
		.rack = "rack",
		.labels = labels,
		.capacity = { EXECUTOR_CPU, 65536, 0 },
		.born_ms = atoll(parts[2]),
	};

	use(data, &entry);
	g_strfreev(parts);
	g_free(value);
	g_free(id);
	return true;
}

static struct waxwing_routing *world_read_routing(const struct waxwing_store_item *item)
{
	return waxwing_routing_create(item->revision);
}

/* Sets a machine's time of day off. */
static void node_jump(struct world *world, struct world_node *at, int64_t by_ms)
{
	at->day_off_ms = by_ms;
	world->day_jumped |= by_ms != 0;
}

static void node_start(struct world *world, int index)
{
	struct world_node *at = &world->nodes[index];
	struct waxwing_node_options options = {
		.clock = &world->clock.base,
		.day = &at->day.base,
		.link = &at->link,
		.store = &at->store,
		.executors = &at->executors,
		.permits = &at->permits,
		.name = at->name,
		.zone = zone_names[at->zone],
		.zones = zone_names,
		.address = at->address,
		.cpu_share = 0.25,
		.lease_most_ms = LEASE_MOST_MS,
		.stop_ms = STOP_MS,
		.status_ms = 120000,
		.value_bytes_most = 1048576,
		.ttl_least_ms = 1000,
		.far_factor = 1,
		.read_executor = world_read_executor,
		.read_routing = world_read_routing,
		.routing_key = "op/config",
		.executor_prefix = "servers/",
	};

	at->incarnation = (uint64_t)g_rand_int(world->random) << 32 | (uint64_t)index << 8 | 1;
	options.incarnation = at->incarnation;
	at->frozen_until_ms = 0;
	at->node = waxwing_node_create(&options);
}

static void client_submit(struct world *world, struct client_job *job);

static void client_again(struct world *world, void *data)
{
	struct client_job *job = data;

	job->asleep = false;
	if (job->state == CLIENT_WAITS)
		client_submit(world, job);
}

static void client_asks(struct world *world, void *data);

static void client_sleep(struct client_job *job)
{
	if (job->asleep)
		return;
	job->asleep = true;
	world_later(job->world, RESEND_MS, client_again, job);
}

/* Its callers see their connections break, and send again. */
static void node_kill(struct world *world, int index)
{
	struct world_node *at = &world->nodes[index];
	GHashTableIter iter;
	gpointer value;

	if (!at->node)
		return;
	g_hash_table_iter_init(&iter, world->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct client_job *job = value;

		if (job->asking && job->node == index) {
			job->asking = false;
			world_later(world, ASK_MS, client_asks, job);
		}
		if (job->state == CLIENT_WAITS && job->node == index)
			client_sleep(job);
	}
	waxwing_node_destroy(at->node);
	at->node = NULL;
	for (guint i = 0; i < at->held->len; i++) {
		struct event *event = at->held->pdata[i];

		event->happen(world, event->data); /* frees what it holds */
		g_free(event);
	}
	g_ptr_array_set_size(at->held, 0);
}

static void thaw(struct world *world, struct world_node *at)
{
	GPtrArray *held = at->held;

	at->held = g_ptr_array_new();
	at->frozen_until_ms = 0;
	waxwing_node_run(at->node);
	for (guint i = 0; i < held->len; i++) {
		struct event *event = held->pdata[i];

		event->happen(world, event->data);
		g_free(event);
	}
	g_ptr_array_free(held, TRUE);
}

static void run_nodes(struct world *world)
{
	for (int i = 0; i < NODES; i++) {
		struct world_node *at = &world->nodes[i];

		if (!at->node || at->frozen_until_ms > world_now(world))
			continue;
		if (at->frozen_until_ms)
			thaw(world, at);
		waxwing_node_run(at->node);
	}
}

static void client_answered(struct waxwing_ticket *ticket, const struct waxwing_node_answer *answer)
{
	struct client_job *job = (struct client_job *)ticket;

	if (job->state != CLIENT_WAITS)
		return;
	if (answer->outcome == WAXWING_JOB_STORED) {
		job->state = CLIENT_STORED;
		world_later(job->world, ASK_MS, client_asks, job);
	} else if (answer->outcome == WAXWING_JOB_COMPLETED) {
		job->state = CLIENT_SERVED;
		if (job->done < client_task_count(job))
			world_violation(job->world, "INCOMPLETE", job->id, job->done);
	} else if (answer->outcome == WAXWING_JOB_FAILED) {
		job->state = CLIENT_LEFT;
	} else if (answer->may_have_run) {
		client_sleep(job);
	} else {
		job->state = job->tries == 1 ? CLIENT_REFUSED : CLIENT_LEFT;
		if (job->state == CLIENT_REFUSED && job->started)
			world_violation(job->world, "REFUSED", job->id, 0);
	}
}

static Waxwing__Job *make_job(const struct client_job *job)
{
	Waxwing__Job made = WAXWING__JOB__INIT;
	Waxwing__JobStep step = WAXWING__JOB_STEP__INIT;
	Waxwing__JobStep *steps[] = { &step };
	uint8_t packed[512];
	size_t len;

	made.id = job->id;
	made.queue = "queue";
	made.service = "service";
	made.spec = "spec";
	made.n_steps = 1;
	made.steps = steps;
	made.max_attempts = 3;
	made.stretch_milli = 1600;
	made.allowance_ms = 60;
	made.patience_ms = 6000;
	made.has_kept = true;
	made.kept = job->kept;
	made.has_permits_needed = made.has_permit_base_ms = made.has_permit_each_ms = true;
	made.permits_needed = job->permitted;
	made.permit_base_ms = PERMIT_BASE_MS;
	made.permit_each_ms = PERMIT_EACH_MS;
	made.has_repetitions = made.has_first_ms = made.has_interval_ms = job->repetitions != 0;
	made.repetitions = job->repetitions;
	made.first_ms = (uint64_t)(DAY_MS + job->first_ms);
	made.interval_ms = INTERVAL_MS;
	step.count = job->tasks;
	step.has_cpu_milli = true;
	step.cpu_milli = 6000;
	step.has_estimated_ms = true;
	step.estimated_ms = job->work_ms;
	len = waxwing__job__pack(&made, packed);
	return waxwing__job__unpack(NULL, len, packed);
}

static void client_submit(struct world *world, struct client_job *job)
{
	for (int try = 0; try < 4 * NODES; try++) {
		int index = g_rand_int_range(world->random, 0, NODES);
		struct world_node *at = &world->nodes[index];

		if (!at->node || at->frozen_until_ms > world_now(world) ||
		    world->zone_shunned[at->zone])
			continue;
		job->node = index;
		job->tries++;
		job->sent_ms = world_now(world);
		waxwing_node_submit(at->node, make_job(job), &job->ticket);
		waxwing_node_settle(at->node);
		return;
	}
	client_sleep(job);
}

static void client_told(struct waxwing_ask_ticket *ticket, bool answered,
			enum waxwing_job_state state)
{
	struct client_job *job =
		(struct client_job *)((char *)ticket - offsetof(struct client_job, ask));

	job->asking = false;
	if (job->state != CLIENT_STORED)
		return;
	if (answered && state == WAXWING_STATE_COMPLETED) {
		job->state = CLIENT_SERVED;
		if (job->done < client_task_count(job))
			world_violation(job->world, "INCOMPLETE", job->id, job->done);
		return;
	}
	if (answered && state != WAXWING_STATE_QUEUED && state != WAXWING_STATE_RUNNING)
		world_violation(job->world, "LOST", job->id, state);
	world_later(job->world, ASK_MS, client_asks, job);
}

static void client_asks(struct world *world, void *data)
{
	struct client_job *job = data;
	int index = g_rand_int_range(world->random, 0, NODES);
	struct world_node *at = &world->nodes[index];

	if (job->state != CLIENT_STORED || job->asking)
		return;
	if (!at->node || at->frozen_until_ms > world_now(world) || world->zone_shunned[at->zone]) {
		world_later(world, ASK_MS, client_asks, job);
		return;
	}
	job->asking = true;
	job->node = index;
	job->ask.answer = client_told;
	job->ask.job = job->id;
	job->ask.patience_ms = 3000;
	waxwing_node_ask(at->node, &job->ask);
	waxwing_node_settle(at->node);
}

static void client_arrives(struct world *world)
{
	struct client_job *job = g_new0(struct client_job, 1);

	job->world = world;
	job->id = ++world->next_job;
	job->ticket.answer = client_answered;
	job->tasks = (uint32_t)g_rand_int_range(world->random, 1, CLIENT_TASKS_MOST + 1);
	job->work_ms = (uint32_t)g_rand_int_range(world->random, 20, (int32_t)world->work_most_ms);
	job->kept = world_chance(world, world->kept_share);
	job->permitted = world->permit_share > 0 && world_chance(world, world->permit_share);
	if (job->kept && world->repeated_share > 0 && world_chance(world, world->repeated_share)) {
		job->repetitions = REPETITIONS;
		job->first_ms = world_now(world) + g_rand_int_range(world->random, -200, 1500);
	}
	g_hash_table_insert(world->jobs, &job->id, job);
	client_submit(world, job);
}

#endif
