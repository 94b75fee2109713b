/** Simulated nodes, their messages and their clients. Part of node_sim.h. */
#ifndef WAXWING_TEST_NODE_SIM_NODES_H
#define WAXWING_TEST_NODE_SIM_NODES_H

#include "node_sim_executors.h"
#include "node_sim_store.h"

static void packet_arrived(struct cluster_sim *sim, void *data)
{
	struct sim_packet *packet = data;
	struct sim_host *host = &sim->hosts[packet->to];
	Waxwing__NodeMessage *message;

	if (host->node && defer_if_frozen(host, packet_arrived, packet))
		return;
	if (host->node &&
	    (!packet->to_incarnation || packet->to_incarnation == host->incarnation)) {
		if (sim->corrupt_message)
			sim->corrupt_message(host, packet);
		message = waxwing__node_message__unpack(NULL, packet->len, packet->data);
		waxwing_node_handle_message(host->node, packet->sender, message);
		waxwing__node_message__free_unpacked(message, NULL);
		waxwing_node_process_events(host->node);
	}
	g_free(packet->data);
	g_free(packet);
}

static void send_message(struct sim_host *from, int to, uint64_t to_incarnation, uint64_t sender,
			 const Waxwing__NodeMessage *message)
{
	struct cluster_sim *sim = from->sim;
	struct sim_packet *packet;

	if (!zones_connected(sim, from->zone, sim->hosts[to].zone) ||
	    (sim->hosts[to].drops_incoming && to != from->index) ||
	    sim_chance(sim, sim->lost_message_share))
		return;
	packet = g_new0(struct sim_packet, 1);
	packet->to = to;
	packet->to_incarnation = to_incarnation;
	packet->sender = sender;
	packet->len = waxwing__node_message__get_packed_size(message);
	packet->data = g_malloc(packet->len);
	waxwing__node_message__pack(message, packet->data);
	sim_schedule(sim, NETWORK_DELAY_MS + sim->hosts[to].receive_delay_ms, packet_arrived,
		     packet);
}

static struct sim_host *host_of_link(const struct waxwing_link *link)
{
	return (struct sim_host *)((char *)link - offsetof(struct sim_host, link));
}

static void fake_send(struct waxwing_link *link, const char *address,
		      const Waxwing__NodeMessage *message)
{
	struct sim_host *from = host_of_link(link);

	send_message(from, atoi(strrchr(address, ':') + 1), 0, from->incarnation, message);
}

/* Duration far from the data divided by that near, of nodes that are started next. */
static double next_data_factor = 1;
/* The racks are named like the failure domains. */
static bool racks_by_zone;
/* Rack of the data of jobs that are created next; null: none. */
static const char *next_affinity;
/* Owners are of the release that does not name racks in its pongs. */
static bool pongs_without_racks;

static void fake_link_answer(struct waxwing_link *link, uint64_t sender,
			     const Waxwing__NodeMessage *message)
{
	struct sim_host *from = host_of_link(link);
	Waxwing__CellPong *pong = message->pong;

	if (pong && pongs_without_racks) {
		pong->has_racks_version = false;
		pong->n_rack_hashes = 0;
	}
	from->sim->rack_pongs += pong && pong->n_rack_hashes;
	for (int i = 0; i < NODES; i++)
		if (from->sim->hosts[i].incarnation == sender)
			send_message(from, i, sender, 0, message);
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

/* An entry's value is "zone address started_ms". */
static bool sim_read_executor(const struct waxwing_store_item *item,
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
		.rack = racks_by_zone ? parts[0] : "rack",
		.labels = labels,
		.capacity = { EXECUTOR_CPU_MILLI, 65536, 0 },
		.started_ms = atoll(parts[2]),
	};

	use(data, &entry);
	g_strfreev(parts);
	g_free(value);
	g_free(id);
	return true;
}

static struct waxwing_routing *sim_read_routing(const struct waxwing_store_item *item)
{
	return waxwing_routing_create(item->revision);
}

/* Sets the error of a host's time of day. */
static G_GNUC_UNUSED void host_set_day_offset(struct cluster_sim *sim, struct sim_host *host,
					      int64_t offset_ms)
{
	host->day_offset_ms = offset_ms;
	sim->day_jumped |= offset_ms != 0;
}

static void node_start(struct cluster_sim *sim, int index)
{
	struct sim_host *host = &sim->hosts[index];
	struct waxwing_node_options options = {
		.clock = &sim->clock.base,
		.day_clock = &host->day.base,
		.link = &host->link,
		.store = &host->store,
		.executors = &host->executors,
		.permits = &host->permits,
		.name = host->name,
		.zone = zone_names[host->zone],
		.zones = zone_names,
		.address = host->address,
		.cpu_share = 0.25,
		.max_lease_ms = MAX_LEASE_MS,
		.max_stop_ms = STOP_MS,
		.state_retention_ms = 120000,
		.max_value_bytes = 1048576,
		.min_ttl_ms = 1000,
		.remote_data_factor = next_data_factor,
		.read_executor = sim_read_executor,
		.read_routing = sim_read_routing,
		.routing_key = "op/config",
		.executor_prefix = "servers/",
		.evacuation_prefix = sim_evacuation_ms ? "op/evacuate/" : NULL,
		.evacuation_ms = sim_evacuation_ms,
	};

	host->incarnation = (uint64_t)g_rand_int(sim->random) << 32 | (uint64_t)index << 8 | 1;
	options.incarnation = host->incarnation;
	host->frozen_until_ms = 0;
	host->leaving = false;
	host->node = waxwing_node_create(&options);
}

static void client_submit(struct cluster_sim *sim, struct client_job *job);

static void client_resubmit(struct cluster_sim *sim, void *data)
{
	struct client_job *job = data;

	job->resubmit_scheduled = false;
	if (job->state == CLIENT_WAITING)
		client_submit(sim, job);
}

static void client_query(struct cluster_sim *sim, void *data);

static void client_schedule_resubmit(struct client_job *job)
{
	if (job->resubmit_scheduled)
		return;
	job->resubmit_scheduled = true;
	sim_schedule(job->sim, RESUBMIT_DELAY_MS, client_resubmit, job);
}

/* Ends the client's wait for the answer to its last submission, if there is one. */
static void end_submission(const struct client_job *job)
{
	struct client_submission *last;

	if (!job->submissions->len)
		return;
	last = job->submissions->pdata[job->submissions->len - 1];
	last->ended = true;
}

/* Kills the node's process; its clients lose their connections and resubmit. */
static void node_kill(struct cluster_sim *sim, int index)
{
	struct sim_host *host = &sim->hosts[index];
	GHashTableIter iter;
	gpointer value;

	if (!host->node)
		return;
	g_hash_table_iter_init(&iter, sim->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct client_job *job = value;

		if (job->query_pending && job->host_index == index) {
			job->query_pending = false;
			sim_schedule(sim, QUERY_INTERVAL_MS, client_query, job);
		}
		if (job->state == CLIENT_WAITING && job->host_index == index) {
			end_submission(job);
			client_schedule_resubmit(job);
		}
	}
	waxwing_node_destroy(host->node);
	host->node = NULL;
	for (guint i = 0; i < host->deferred_events->len; i++) {
		struct sim_event *event = host->deferred_events->pdata[i];

		event->callback(sim,
				event->data); /* only frees its data, since the process has ended */
		g_free(event);
	}
	g_ptr_array_set_size(host->deferred_events, 0);
}

static void resume_host(struct cluster_sim *sim, struct sim_host *host)
{
	GPtrArray *deferred = host->deferred_events;

	host->deferred_events = g_ptr_array_new();
	host->frozen_until_ms = 0;
	if (!sim->events_first)
		waxwing_node_run(host->node);
	for (guint i = 0; i < deferred->len; i++) {
		struct sim_event *event = deferred->pdata[i];

		event->callback(sim, event->data);
		g_free(event);
	}
	g_ptr_array_free(deferred, TRUE);
}

static void run_nodes(struct cluster_sim *sim)
{
	for (int i = 0; i < NODES; i++) {
		struct sim_host *host = &sim->hosts[i];

		if (!host->node || host->frozen_until_ms > sim_now(sim))
			continue;
		if (host->frozen_until_ms)
			resume_host(sim, host);
		waxwing_node_run(host->node);
	}
}

/* The next query cancels the job. */
static void client_cancel(struct cluster_sim *sim, void *data)
{
	struct client_job *job = data;

	(void)sim;
	job->cancel_wanted = true;
}

static void client_answered(struct waxwing_job_waiter *waiter,
			    const struct waxwing_node_answer *answer)
{
	struct client_submission *submission = (struct client_submission *)waiter;
	struct client_job *job = submission->job;

	if (submission->ended || job->state != CLIENT_WAITING)
		return;
	submission->ended = true;
	if (answer->outcome == WAXWING_JOB_STORED) {
		job->state = CLIENT_STORED;
		sim_schedule(job->sim, QUERY_INTERVAL_MS, client_query, job);
		if (sim_chance(job->sim, job->sim->cancel_share))
			sim_schedule(job->sim,
				     g_rand_int_range(job->sim->random, 0, MAX_CANCEL_AFTER_MS),
				     client_cancel, job);
	} else if (answer->outcome == WAXWING_JOB_COMPLETED) {
		job->state = CLIENT_COMPLETED;
		if (job->completed_tasks < client_task_count(job))
			sim_report_violation(job->sim, "INCOMPLETE", job->id, job->completed_tasks);
	} else if (answer->outcome == WAXWING_JOB_FAILED) {
		job->state = CLIENT_ABANDONED;
	} else if (answer->may_have_run) {
		client_schedule_resubmit(job);
	} else {
		job->state = job->submissions->len == 1 ? CLIENT_REFUSED : CLIENT_ABANDONED;
		if (job->state == CLIENT_REFUSED && job->started)
			sim_report_violation(job->sim, "REFUSED", job->id, 0);
	}
}

static Waxwing__Job *make_job(const struct client_job *job)
{
	Waxwing__Job made = WAXWING__JOB__INIT;
	Waxwing__JobStep step = WAXWING__JOB_STEP__INIT;
	Waxwing__JobStep second;
	Waxwing__JobStep *steps[MAX_CLIENT_STEPS] = { &step, &second };
	uint32_t first = 0;
	uint8_t packed[512];
	size_t len;

	made.id = job->id;
	made.queue = "queue";
	made.service = "service";
	made.spec = "spec";
	made.n_steps = MAX(job->steps, 1);
	made.steps = steps;
	made.max_attempts = MAX_ATTEMPTS;
	made.stretch_milli = 1600;
	made.allowance_ms = 60;
	made.patience_ms = job->sim ? job->sim->client_patience_ms : CLIENT_PATIENCE_MS;
	made.has_kept = true;
	made.kept = job->durable;
	made.has_permits_needed = made.has_permit_base_ms = made.has_permit_each_ms = true;
	made.permits_needed = job->permits_needed;
	made.permit_base_ms = PERMIT_BASE_MS;
	made.permit_each_ms = PERMIT_EACH_MS;
	made.has_repetitions = made.has_first_ms = made.has_interval_ms = job->repetitions != 0;
	made.repetitions = job->repetitions;
	made.first_ms = (uint64_t)(DAY_CLOCK_START_MS + job->first_ms);
	made.interval_ms = OCCURRENCE_INTERVAL_MS;
	step.count = job->tasks;
	step.has_cpu_milli = true;
	step.cpu_milli = 6000;
	step.has_estimated_ms = true;
	step.estimated_ms = job->work_ms;
	step.affinity = (char *)next_affinity;
	second = step;
	second.n_after = 1;
	second.after = &first;
	len = waxwing__job__pack(&made, packed);
	return waxwing__job__unpack(NULL, len, packed);
}

/* The node learns that the client has closed its connection. */
static void client_connection_closed(struct cluster_sim *sim, void *data)
{
	struct client_submission *submission = data;
	struct sim_host *host =
		find_live_host(sim, submission->host_index, submission->incarnation);

	if (!host || defer_if_frozen(host, client_connection_closed, submission))
		return;
	waxwing_node_withdraw(host->node, &submission->waiter);
	waxwing_node_process_events(host->node);
}

/* The client closes its connection after it has waited too long, and submits the job again. */
static void client_timed_out(struct cluster_sim *sim, void *data)
{
	struct client_submission *submission = data;

	if (submission->ended)
		return;
	submission->ended = true;
	if (submission->job->state == CLIENT_WAITING)
		client_schedule_resubmit(submission->job);
	client_connection_closed(sim, submission);
}

static void client_free(gpointer value)
{
	struct client_job *job = value;

	g_ptr_array_free(job->submissions, TRUE);
	g_free(job);
}

static void client_submit(struct cluster_sim *sim, struct client_job *job)
{
	struct client_submission *submission;

	for (int try = 0; try < 4 * NODES; try++) {
		int index = g_rand_int_range(sim->random, 0, NODES);
		struct sim_host *host = &sim->hosts[index];

		if (!host->node || host->frozen_until_ms > sim_now(sim) ||
		    sim->zone_avoided[host->zone])
			continue;
		job->host_index = index;
		submission = g_new0(struct client_submission, 1);
		submission->waiter.answer = client_answered;
		submission->job = job;
		submission->host_index = index;
		submission->incarnation = host->incarnation;
		g_ptr_array_add(job->submissions, submission);
		job->submitted_ms = sim_now(sim);
		waxwing_node_submit(host->node, make_job(job), &submission->waiter);
		sim_schedule(sim, sim->client_patience_ms + 2 * NETWORK_DELAY_MS, client_timed_out,
			     submission);
		waxwing_node_process_events(host->node);
		return;
	}
	client_schedule_resubmit(job);
}

static bool has_failed_task(const struct client_job *job)
{
	for (int i = 0; i < MAX_CLIENT_TASK_BITS; i++)
		if (job->failures[i] >= MAX_ATTEMPTS)
			return true;
	return false;
}

static void client_query_answered(struct waxwing_job_query *query, bool answered,
				  enum waxwing_job_state state)
{
	struct client_job *job =
		(struct client_job *)((char *)query - offsetof(struct client_job, query));

	job->query_pending = false;
	if (job->state != CLIENT_STORED)
		return;
	if (answered && state == WAXWING_STATE_COMPLETED) {
		job->state = CLIENT_COMPLETED;
		if (job->completed_tasks < client_task_count(job))
			sim_report_violation(job->sim, "INCOMPLETE", job->id, job->completed_tasks);
		return;
	}
	if (answered && state == WAXWING_STATE_FAILED && has_failed_task(job)) {
		job->state = CLIENT_FAILED;
		return;
	}
	if (answered && state == WAXWING_STATE_CANCELLED && job->cancel_wanted) {
		job->state = CLIENT_CANCELLED;
		job->cancelled_ms = sim_now(job->sim);
		return;
	}
	if (answered && state != WAXWING_STATE_QUEUED && state != WAXWING_STATE_RUNNING)
		sim_report_violation(job->sim, "LOST", job->id, state);
	sim_schedule(job->sim, QUERY_INTERVAL_MS, client_query, job);
}

static void client_query(struct cluster_sim *sim, void *data)
{
	struct client_job *job = data;
	int index = g_rand_int_range(sim->random, 0, NODES);
	struct sim_host *host = &sim->hosts[index];

	if (job->state != CLIENT_STORED || job->query_pending)
		return;
	if (!host->node || host->frozen_until_ms > sim_now(sim) || sim->zone_avoided[host->zone]) {
		sim_schedule(sim, QUERY_INTERVAL_MS, client_query, job);
		return;
	}
	job->query_pending = true;
	job->host_index = index;
	job->query.answer = client_query_answered;
	job->query.job = job->id;
	job->query.timeout_ms = 3000;
	job->query.cancel = job->cancel_wanted;
	waxwing_node_query_job(host->node, &job->query);
	waxwing_node_process_events(host->node);
}

static void client_create(struct cluster_sim *sim)
{
	struct client_job *job = g_new0(struct client_job, 1);

	job->sim = sim;
	job->id = ++sim->next_job;
	job->submissions = g_ptr_array_new_with_free_func(g_free);
	job->tasks = (uint32_t)g_rand_int_range(sim->random, 1, MAX_CLIENT_TASKS + 1);
	job->work_ms = (uint32_t)g_rand_int_range(sim->random, 20, (int32_t)sim->max_work_ms);
	job->durable = sim_chance(sim, sim->durable_share);
	job->steps = job->durable && sim_chance(sim, sim->step_share) ? MAX_CLIENT_STEPS : 1;
	job->permits_needed = sim->permit_share > 0 && sim_chance(sim, sim->permit_share);
	if (job->durable && sim->repeated_share > 0 && sim_chance(sim, sim->repeated_share)) {
		job->repetitions = REPETITIONS;
		job->first_ms = sim_now(sim) + g_rand_int_range(sim->random, -200, 1500);
	}
	g_hash_table_insert(sim->jobs, &job->id, job);
	client_submit(sim, job);
}

#endif
