/*
 * Tests with randomly mutated batches. Over ZeroMQ each batch must be delivered or counted as
 * malformed. In a dispatcher no batch may start a task twice, start a task of another issuer, or
 * answer a caller twice.
 */
#include "dispatcher.h"
#include "log.h"
#include "peer.h"

#include <stdatomic.h>
#include <stdio.h>
#include <unistd.h>
#include <zmq.h>

#define OWN_INCARNATION	 7u
#define PEER_INCARNATION 9u
#define PORT		 9102
#define BATCHES		 3000
#define STEP_US		 10000
#define WAIT_STEPS_MAX	 6000
#define MESSAGE_BYTES	 4096
#define JOBS		 20
#define DEADLINE_MS	 1000

/* Batches with up to one item of each kind, which are then mutated. */

static void fill_scheduling(Waxwing__Batch *batch)
{
	static Waxwing__Grant grant;
	static Waxwing__Refusal refusal;
	static Waxwing__SlotEnd end;
	static Waxwing__Withdrawal withdrawal;
	static Waxwing__HeldSlot held;
	static Waxwing__Grant *grants[] = { &grant };
	static Waxwing__Refusal *refusals[] = { &refusal };
	static Waxwing__SlotEnd *ends[] = { &end };
	static Waxwing__Withdrawal *withdrawals[] = { &withdrawal };
	static Waxwing__HeldSlot *held_slots[] = { &held };

	waxwing__grant__init(&grant);
	waxwing__refusal__init(&refusal);
	waxwing__slot_end__init(&end);
	waxwing__withdrawal__init(&withdrawal);
	waxwing__held_slot__init(&held);
	grant.job = refusal.job = end.job = withdrawal.job = held.job =
		(uint64_t)g_test_rand_int_range(1, JOBS + 2);
	grant.upstream = end.upstream = held.upstream = "u0";
	grant.grant = 1;
	refusal.code = (uint32_t)g_test_rand_int_range(0, WAXWING_ERROR_COUNT + 1);
	end.outcome = (uint32_t)g_test_rand_int_range(0, 9);
	batch->n_grants = batch->n_refusals = batch->n_ends = (size_t)g_test_rand_int_range(0, 2);
	batch->n_withdrawals = batch->n_held = (size_t)g_test_rand_int_range(0, 2);
	batch->grants = grants;
	batch->refusals = refusals;
	batch->ends = ends;
	batch->withdrawals = withdrawals;
	batch->held = held_slots;
}

static void fill_offer(Waxwing__Batch *batch)
{
	static Waxwing__Offer offer;
	static Waxwing__Offer *offers[] = { &offer };
	static uint32_t declared = 10;

	waxwing__offer__init(&offer);
	offer.job = (uint64_t)g_test_rand_int_range(1, JOBS);
	offer.branch = "b";
	offer.task_count = (uint32_t)g_test_rand_int_range(0, 5);
	offer.deadline_in_ms = DEADLINE_MS;
	offer.n_declared_ms = 1;
	offer.declared_ms = &declared;
	batch->n_offers = 1;
	batch->offers = offers;
}

/* Adds a forwarded job with an id of @window, and an answer to a forwarded job. */
static void fill_forward(Waxwing__Batch *batch, const char *window)
{
	static Waxwing__Forward forward;
	static Waxwing__ForwardAnswer answer;
	static Waxwing__Forward *forwards[] = { &forward };
	static Waxwing__ForwardAnswer *answers[] = { &answer };
	static uint8_t packed[512];
	static char id[64];
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	Waxwing__TaskRequest task = WAXWING__TASK_REQUEST__INIT;
	Waxwing__TaskRequest *tasks[] = { &task };

	g_snprintf(id, sizeof(id), "%s/f%d", window, g_test_rand_int_range(0, 5));
	request.id = id;
	request.caller = "c";
	request.branch = "b";
	request.n_tasks = 1;
	request.tasks = tasks;
	waxwing__forward__init(&forward);
	waxwing__forward_answer__init(&answer);
	forward.correlation = answer.correlation = (uint64_t)g_test_rand_int_range(0, 50);
	forward.request.data = packed;
	forward.request.len = waxwing__job_request__pack(&request, packed);
	answer.answer = forward.request;
	batch->n_forwards = batch->n_answers = 1;
	batch->forwards = forwards;
	batch->answers = answers;
}

static void fill_handover(Waxwing__Batch *batch)
{
	static Waxwing__Handover handover;
	static Waxwing__FinishedId finished;
	static Waxwing__FinishedId *ids[] = { &finished };
	static Waxwing__Handover *handovers[] = { &handover };

	waxwing__handover__init(&handover);
	waxwing__finished_id__init(&finished);
	finished.id = "two.0000000000000009.0/k";
	handover.incarnation = PEER_INCARNATION;
	handover.newest_epoch = 1;
	handover.expires_in_ms = DEADLINE_MS;
	handover.last = g_test_rand_int_range(0, 2);
	handover.n_finished = 1;
	handover.finished = ids;
	batch->n_handovers = 1;
	batch->handovers = handovers;
}

static void fill_heartbeat(Waxwing__Batch *batch)
{
	static Waxwing__Heartbeat heartbeat;
	static uint64_t sequence;

	waxwing__heartbeat__init(&heartbeat);
	heartbeat.name = "two";
	heartbeat.incarnation = PEER_INCARNATION;
	heartbeat.domain = "d";
	heartbeat.peer_address = heartbeat.http_address = "n:2";
	heartbeat.has_sequence = true;
	heartbeat.sequence = ++sequence;
	batch->heartbeat = &heartbeat;
}

static GByteArray *random_batch(const char *window)
{
	Waxwing__Batch batch = WAXWING__BATCH__INIT;
	GByteArray *data = g_byte_array_new();

	batch.from = PEER_INCARNATION;
	batch.has_cell = batch.has_sync = g_test_rand_int_range(0, 2);
	batch.sync = g_test_rand_int_range(0, 2);
	batch.has_want_sync = batch.want_sync = g_test_rand_int_range(0, 2);
	fill_scheduling(&batch);
	if (g_test_rand_int_range(0, 2))
		fill_heartbeat(&batch);
	if (g_test_rand_int_range(0, 2))
		fill_offer(&batch);
	if (g_test_rand_int_range(0, 2))
		fill_forward(&batch, window);
	if (g_test_rand_int_range(0, 4) == 0)
		fill_handover(&batch);
	g_byte_array_set_size(data, (guint)waxwing__batch__get_packed_size(&batch));
	waxwing__batch__pack(&batch, data->data);
	return data;
}

static GByteArray *mutated_batch(const char *window)
{
	GByteArray *data = random_batch(window);

	for (int i = g_test_rand_int_range(0, 4); i > 0 && data->len; i--) {
		guint at = (guint)g_test_rand_int_range(0, (int)data->len);

		switch (g_test_rand_int_range(0, 4)) {
		case 0:
			g_byte_array_remove_index(data, at);
			break;
		case 1:
			g_byte_array_set_size(data, at);
			break;
		default:
			data->data[at] = (uint8_t)g_test_rand_int_range(0, 256);
		}
	}
	return data;
}

/* Transport over ZeroMQ */

static void count_received(void *context, Waxwing__Batch *batch, size_t bytes)
{
	atomic_uint *received = context;

	g_assert_cmpuint(bytes, <=, MESSAGE_BYTES);
	atomic_fetch_add(received, 1);
	waxwing__batch__free_unpacked(batch, NULL);
}

static void wait_received(const struct waxwing_peer *peer, uint64_t messages)
{
	struct waxwing_peer_view view;

	for (int step = 0; step < WAIT_STEPS_MAX; step++) {
		waxwing_peer_view(peer, &view);
		if (view.received_batches + view.malformed >= messages)
			break;
		g_usleep(STEP_US);
	}
	g_assert_cmpuint(view.received_batches + view.malformed, ==, messages);
	g_assert_cmpuint(view.malformed, >, 0);
	g_assert_cmpuint(view.received_batches, >, 0);
}

static void send_mutated(void *socket)
{
	for (int i = 0; i < BATCHES; i++) {
		GByteArray *data = mutated_batch("one.0000000000000007.0");
		/* Some messages have several frames. */
		int more = i + 1 < BATCHES && g_test_rand_int_range(0, 5) == 0;

		g_assert_cmpint(zmq_send(socket, data->data, data->len, more ? ZMQ_SNDMORE : 0), >=,
				0);
		g_byte_array_free(data, TRUE);
	}
}

static void wait_sockets(const struct waxwing_peer *peer, uint32_t sockets)
{
	struct waxwing_peer_view view;

	for (int step = 0; step < WAIT_STEPS_MAX; step++) {
		waxwing_peer_view(peer, &view);
		if (view.sockets == sockets)
			break;
		g_usleep(STEP_US);
	}
	g_assert_cmpuint(view.sockets, ==, sockets);
}

/* Disconnecting closes the socket to an address where nothing listens. */
static void check_disconnect(struct waxwing_peer *peer)
{
	Waxwing__Batch batch = WAXWING__BATCH__INIT;

	waxwing_peer_send(peer, waxwing_str("127.0.0.1:1"), &batch);
	wait_sockets(peer, 1);
	waxwing_peer_disconnect(peer, waxwing_str("127.0.0.1:1"));
	wait_sockets(peer, 0);
}

static void test_over_zeromq(void)
{
	char *address = g_strdup_printf("127.%d.%d.3:%d", 1 + getpid() / 250 % 250,
					1 + getpid() % 250, PORT);
	char *endpoint = g_strdup_printf("tcp://%s", address);
	char *large = g_strnfill(2 * MESSAGE_BYTES, 'x');
	atomic_uint received = 0;
	struct waxwing_error error = WAXWING_ERROR_INIT;
	const struct waxwing_peer_options options = { .address = address,
						      .message_bytes = MESSAGE_BYTES,
						      .received = count_received,
						      .context = &received };
	struct waxwing_peer *peer = waxwing_peer_open(&options, &error);
	void *zmq = zmq_ctx_new();
	void *large_sender = zmq_socket(zmq, ZMQ_DEALER);
	void *sender = zmq_socket(zmq, ZMQ_DEALER);

	g_assert_nonnull(peer);
	zmq_connect(large_sender, endpoint);
	zmq_send(large_sender, large, 2 * MESSAGE_BYTES, 0);
	zmq_connect(sender, endpoint);
	send_mutated(sender);
	wait_received(peer, BATCHES);
	check_disconnect(peer);
	zmq_close(large_sender);
	zmq_close(sender);
	zmq_ctx_term(zmq);
	waxwing_peer_close(peer);
	g_free(address);
	g_free(endpoint);
	g_free(large);
}

/* Delivery to a dispatcher */

struct observed {
	GHashTable *starts; /* set of "id#task" */
	GHashTable *answers; /* set of waiter numbers */
	char *window;
};

static void check_batch(void *context, struct waxwing_str address, const Waxwing__Batch *batch)
{
	(void)context;
	g_assert_cmpuint(address.len, >, 0);
	g_assert_cmpuint(batch->from, ==, OWN_INCARNATION);
}

static void check_disconnected_address(void *context, struct waxwing_str address)
{
	(void)context;
	g_assert_cmpuint(address.len, >, 0);
}

static void record_task_start(void *context, const struct waxwing_send_request *send)
{
	struct observed *observed = context;
	char *key = g_strdup_printf("%.*s#%u", WAXWING_STR_ARG(send->id), send->task);

	g_assert_true(g_str_has_prefix(key, "one.0000000000000007."));
	g_assert_true(g_hash_table_add(observed->starts, key));
}

static void check_stop(void *context, struct waxwing_str address, struct waxwing_str id,
		       uint32_t task)
{
	struct observed *observed = context;
	char *key = g_strdup_printf("%.*s#%u", WAXWING_STR_ARG(id), task);

	g_assert_cmpuint(address.len, >, 0);
	g_assert_true(g_hash_table_contains(observed->starts, key));
	g_free(key);
}

static void record_answer(void *context, struct waxwing_waiter waiter,
			  const Waxwing__JobAnswer *answer)
{
	struct observed *observed = context;

	g_assert_cmpuint(waiter.number, >=, 1);
	g_assert_cmpuint(waiter.number, <=, JOBS);
	g_assert_true(g_hash_table_add(observed->answers, GSIZE_TO_POINTER(waiter.number)));
	/* No task ever ends in this test, so no job can be complete. */
	g_assert_cmpstr(answer->state, !=, "complete");
}

static const struct waxwing_dispatcher_ops dispatcher_ops = {
	.send_batch = check_batch,
	.disconnect_peer = check_disconnected_address,
	.start_task = record_task_start,
	.stop_task = check_stop,
	.answer = record_answer,
};

static void set_up_dispatcher(struct waxwing_dispatcher *dispatcher, int64_t now_ms)
{
	struct waxwing_platform_instance members[] = {
		{ .name = "one", .address = "n:1", .peer_address = "n:1", .domain = "d" },
		{ .name = "two", .address = "n:2", .peer_address = "n:2", .domain = "d" },
	};
	struct waxwing_platform_instance upstream = {
		.name = "u0", .address = "u0", .peer_address = "", .domain = "d", .slots = 4
	};
	struct waxwing_platform_list list = { .items = members, .count = 2 };
	struct waxwing_error error = WAXWING_ERROR_INIT;

	waxwing_dispatcher_set_instances(dispatcher, now_ms, &list);
	list = (struct waxwing_platform_list){ .items = &upstream, .count = 1 };
	waxwing_dispatcher_set_upstreams(dispatcher, now_ms, &list);
	waxwing_dispatcher_set_settings(
		dispatcher, now_ms,
		waxwing_settings_parse(waxwing_str("{\"branches\":{\"b\":{}}}"), 1, &error));
}

static void submit(struct waxwing_dispatcher *dispatcher, int64_t now_ms, const char *window,
		   uint64_t number)
{
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	Waxwing__TaskRequest task = WAXWING__TASK_REQUEST__INIT;
	Waxwing__TaskRequest *tasks[] = { &task, &task, &task };
	struct waxwing_waiter waiter = { .number = number };
	char id[64];

	g_snprintf(id, sizeof(id), "%s/k%d", window, (int)number);
	request.id = id;
	request.caller = "c";
	request.branch = "b";
	request.has_deadline_ms = true;
	request.deadline_ms = DEADLINE_MS;
	request.n_tasks = G_N_ELEMENTS(tasks);
	request.tasks = tasks;
	waxwing_dispatcher_submit(dispatcher, now_ms, &request, WAXWING_SUBMIT_JOB, waiter);
}

static void deliver_mutated(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
			    const char *window)
{
	GByteArray *data = mutated_batch(window);
	Waxwing__Batch *batch = waxwing__batch__unpack(NULL, data->len, data->data);

	if (batch) {
		waxwing_dispatcher_receive_batch(dispatcher, now_ms, batch);
		waxwing__batch__free_unpacked(batch, NULL);
	}
	waxwing_dispatcher_tick(dispatcher, now_ms);
	waxwing_dispatcher_flush(dispatcher, now_ms);
	g_byte_array_free(data, TRUE);
}

static void test_into_dispatcher(void)
{
	struct observed observed = { 0 };
	const struct waxwing_dispatcher_options options = { .ops = &dispatcher_ops,
							    .context = &observed,
							    .name = waxwing_str("one"),
							    .domain = waxwing_str("d"),
							    .http_address = waxwing_str("n:1"),
							    .peer_address = waxwing_str("n:1"),
							    .incarnation = OWN_INCARNATION,
							    .seed = 1 };
	int64_t now_ms = 1000;
	struct waxwing_dispatcher *dispatcher = waxwing_dispatcher_create(&options, now_ms);

	observed.starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	observed.answers = g_hash_table_new(NULL, NULL);
	set_up_dispatcher(dispatcher, now_ms);
	observed.window = waxwing_str_dup(waxwing_dispatcher_window(dispatcher, now_ms));
	for (int i = 0; i < BATCHES; i++) {
		if (i % (BATCHES / JOBS) == 0)
			submit(dispatcher, now_ms, observed.window,
			       (uint64_t)(i / (BATCHES / JOBS)) + 1);
		now_ms += g_test_rand_int_range(0, 10);
		deliver_mutated(dispatcher, now_ms, observed.window);
	}
	now_ms += 2 * DEADLINE_MS;
	waxwing_dispatcher_tick(dispatcher, now_ms);
	g_assert_cmpuint(g_hash_table_size(observed.answers), ==, JOBS);
	g_assert_cmpuint(g_hash_table_size(observed.starts), >, 0);
	waxwing_dispatcher_destroy(dispatcher);
	g_hash_table_destroy(observed.starts);
	g_hash_table_destroy(observed.answers);
	g_free(observed.window);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	waxwing_log_set_level(WAXWING_LOG_ERROR);
	g_test_add_func("/peer/over_zeromq", test_over_zeromq);
	g_test_add_func("/peer/into_dispatcher", test_into_dispatcher);
	return g_test_run();
}
