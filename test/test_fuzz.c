/*
 * Mutated input for every decoder, seeded and bounded: settings, entries of the store, callers'
 * requests, answers of executors and of the permit service, messages between nodes, journal records.
 * A decoder may reject its input; it must neither crash nor keep a node from serving afterwards.
 *
 * WAXWING_FUZZ_INPUTS sets the number of inputs of each decoder, --seed the mutations.
 */
#include "event_log.h"
#include "executor_http.h"
#include "job_body.h"
#include "job_check.h"
#include "message.h"
#include "node_sim.h"
#include "permits_http.h"
#include "settings_file.h"
#include "store_entries.h"
#include "store_kv.h"

#define DEFAULT_INPUTS 3000
#define MAX_MUTATIONS  6
/* Mutations of a packed job are short, so many more are tried. */
#define COPIES_PER_INPUT 200
/* Jobs that are submitted after the corrupted messages, and how many of them must be served. */
#define JOBS_AFTER   40
#define SERVED_AFTER 38
#define SETTLE_MS    3000
#define ANSWERS_MS   20000
#define CORRUPTED_MS 6000
#define ARRIVAL_MS   25

static int input_count(void)
{
	const char *text = g_getenv("WAXWING_FUZZ_INPUTS");

	return text ? atoi(text) : DEFAULT_INPUTS;
}

static const char *const tokens[] = {
	"-1",	      "99999999999999999999",
	"1e309",      "null",
	"\"",	      "{",
	"}",	      "[",
	"]",	      ",",
	":",	      "\\u0000",
	"\xff\xfe",   "true",
	"4294967296", "9223372036854775807",
	"",	      "=",
	"\n",
};

static void insert_bytes(GByteArray *input, guint at, const char *text)
{
	GByteArray *tail = g_byte_array_new();

	g_byte_array_append(tail, input->data + at, input->len - at);
	g_byte_array_set_size(input, at);
	g_byte_array_append(input, (const guint8 *)text, (guint)strlen(text));
	g_byte_array_append(input, tail->data, tail->len);
	g_byte_array_free(tail, TRUE);
}

static void mutate(GByteArray *input)
{
	int count = g_test_rand_int_range(1, MAX_MUTATIONS + 1);

	while (count-- > 0) {
		guint at = (guint)g_test_rand_int_range(0, (int)input->len + 1);
		guint len = (guint)g_test_rand_int_range(0, 9);
		const char *token = tokens[g_test_rand_int_range(0, G_N_ELEMENTS(tokens))];

		len = MIN(len, input->len - at);
		switch (g_test_rand_int_range(0, 6)) {
		case 0:
			if (len)
				input->data[at] ^= (guint8)(1 << g_test_rand_int_range(0, 8));
			break;
		case 1:
			if (len)
				input->data[at] = (guint8)g_test_rand_int_range(0, 256);
			break;
		case 2:
			g_byte_array_remove_range(input, at, len);
			break;
		case 3:
			g_byte_array_set_size(input, at);
			break;
		default:
			if (!*token || !input->len)
				break;
			insert_bytes(input, at, token);
			break;
		}
	}
}

/* Calls @decode with mutations of @valid, first with @valid itself. */
static void fuzz(const char *valid, void (*decode)(struct waxwing_str input))
{
	for (int i = 0; i <= input_count(); i++) {
		GByteArray *input = g_byte_array_new();
		char *exact;

		g_byte_array_append(input, (const guint8 *)valid, (guint)strlen(valid));
		if (i)
			mutate(input);
		/* a block of the input's exact size, so that a sanitizer detects reads beyond it */
		exact = g_memdup2(input->data, input->len);
		decode((struct waxwing_str){ input->len, exact ? exact : "" });
		g_free(exact);
		g_byte_array_free(input, TRUE);
	}
}

static void decode_settings(struct waxwing_str input)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	char *text = waxwing_str_dup(input);

	platform_settings_destroy(platform_settings_parse(text, &error));
	g_free(text);
}

static void test_settings(void)
{
	fuzz("Node=front-1\nIp=10.1.0.13\nZone=a\nZones.a=r\nZones.b=r\nListen.Front=10.1.0.13:81\n"
	     "Listen.Ready=10.1.0.13:82\nInternalPorts=7720,7735\nLimits.CpuShare=0.25\n"
	     "Bounds.HoldMaxMs=1000\nBounds.StopMs=50\nBounds.GraceS=6\nBounds.FarFactor=1.5\n"
	     "Bounds.ColdOverage=1.5\nBounds.ColdSlack=5\n"
	     "platform.Address=10.2.1.7:8169\nplatform.TtlMinMs=1000\nAdvice=10.2.1.9:8169\n",
	     decode_settings);
}

static void use_entry(void *data, const struct waxwing_executor_entry *entry)
{
	(void)data;
	for (size_t i = 0; entry->labels[i]; i++)
		g_assert_nonnull(entry->labels[i]);
	g_assert_nonnull(entry->id);
}

static void decode_executor(struct waxwing_str input)
{
	struct waxwing_store_item item = { .key = waxwing_str("servers/i-1"), .value = input };

	platform_read_executor(&item, use_entry, NULL);
}

static void test_executor_entry(void)
{
	fuzz("{\"Service\":\"s\",\"Address\":\"10.1.0.9:80\",\"Zone\":\"a\",\"State\":\"ready\","
	     "\"Capacity\":{\"Cpu\":32000,\"MemMb\":65536,\"Gpu\":0},\"Labels\":[\"k\",\"r1\"],"
	     "\"born\":1774363009050,\"Sequence\":4,\"ColdRemainingMs\":2500}",
	     decode_executor);
}

static void decode_routing(struct waxwing_str input)
{
	struct waxwing_store_item item = { .key = waxwing_str("op/config"), .value = input };
	struct waxwing_routing *routing = platform_read_routing(&item);

	if (routing)
		waxwing_routing_find(routing, waxwing_str("h.example:80"), waxwing_str("/p/1"));
	waxwing_routing_destroy(routing);
}

static void test_routing(void)
{
	fuzz("{\"Version\":7,\"Routes\":[{\"Name\":\"q\",\"Host\":\"h.example\",\"Prefix\":\"/p/\","
	     "\"Priority\":2,\"Service\":\"s\",\"MaxAttempts\":3,\"Stretch\":1.6,"
	     "\"Advice\":{\"DecisionMs\":4}}],\"Services\":[{\"Name\":\"s\","
	     "\"ColdStartS\":2.5,\"ColdPerS\":4}],"
	     "\"Limits\":{\"MaxBodyBytes\":262144}}",
	     decode_routing);
}

static void decode_job(struct waxwing_str input)
{
	struct waxwing_queue_route queue = { .name = "q", .service = "s", .stretch = 1 };
	struct waxwing_error error = WAXWING_ERROR_INIT;
	Waxwing__Job *job = platform_read_job(input, 5, &queue, &error);

	g_assert_true((job == NULL) == (error.code != WAXWING_OK));
	if (job)
		waxwing__job__free_unpacked(job, NULL);
}

static void test_job(void)
{
	fuzz("{\"Spec\":\"t\",\"BestEffort\":true,\"Steps\":[{\"Count\":4,\"Cpu\":500,\"EstimatedMs\":"
	     "90,\"Affinity\":\"r\"},{\"Count\":2,\"After\":[0],\"GangScheduled\":true}]}",
	     decode_job);
}

static void use_permits(void *data, const struct waxwing_permit_answer *answer)
{
	(void)data;
	for (size_t i = 0; i < answer->permit_count; i++)
		g_assert_true(answer->permits[i].executor && answer->permits[i].ticket);
}

static void decode_permits(struct waxwing_str input)
{
	permits_parse_answer(input, use_permits, NULL);
}

static void test_permits(void)
{
	fuzz("{\"Good\":[[\"i-1\",\"c81e\"],[\"i-2\",\"aa\"]],\"ValidityMs\":3000}",
	     decode_permits);
}

static void use_hold(void *data, const struct waxwing_hold_answer *answer)
{
	(void)data;
	for (size_t i = 0; i < answer->ended_count; i++)
		g_assert_cmpuint(answer->ended[i].number, >, 0);
}

static void decode_hold(struct waxwing_str input)
{
	struct waxwing_http_call_result result = { .end = WAXWING_HTTP_COMPLETE,
						   .status = 200,
						   .body = input };

	executor_http_read_hold(&result, use_hold, NULL);
}

static void test_hold(void)
{
	fuzz("{\"ClockMs\":482113,\"born\":1774363009050,\"Running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,"
	     "\"00000bb8\",41]],\"Ended\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}",
	     decode_hold);
}

static void use_store_answer(void *data, const struct waxwing_store_answer *answer)
{
	(void)data;
	for (size_t i = 0; i < answer->item_count; i++)
		g_assert_cmpuint(answer->items[i].key.len, >, 0);
}

static void decode_store_answer(struct waxwing_str input)
{
	struct waxwing_http_call_result result = { .end = WAXWING_HTTP_COMPLETE,
						   .status = 200,
						   .body = input };
	struct waxwing_store_callback callback = { use_store_answer, NULL };

	store_kv_read_answer(&result, "items", callback);
}

static void test_store_answer(void)
{
	fuzz("{\"items\":[{\"Key\":\"cells/a\",\"Value\":\"Zm9vYmFy\",\"Revision\":4},"
	     "{\"Key\":\"cells/b\",\"Revision\":5,\"Deleted\":true}],\"CurrentRev\":7,"
	     "\"MorePages\":true,\"Lease\":3,\"TtlMs\":1000}",
	     decode_store_answer);
}

/* A job that passes the checks can be copied, as the journal does, whatever its unknown fields. */
static void test_job_copies(void)
{
	Waxwing__Job valid = WAXWING__JOB__INIT;
	Waxwing__JobStep step = WAXWING__JOB_STEP__INIT;
	Waxwing__JobStep *steps[] = { &step };
	uint8_t packed[128];
	size_t len;

	valid.queue = valid.service = valid.spec = (char *)"text";
	valid.n_steps = 1;
	valid.steps = steps;
	step.count = 2;
	step.has_cpu_milli = step.has_estimated_ms = true;
	len = waxwing__job__pack(&valid, packed);
	for (int i = 0; i < COPIES_PER_INPUT * input_count(); i++) {
		uint8_t mutated[sizeof(packed)];
		Waxwing__Job *job;
		void *copy;

		memcpy(mutated, packed, len);
		for (int k = g_test_rand_int_range(1, 4); k > 0; k--)
			mutated[g_test_rand_int_range(0, (int)len)] =
				(uint8_t)g_test_rand_int_range(0, 256);
		job = waxwing__job__unpack(NULL, len, mutated);
		if (!job)
			continue;
		copy = waxwing_message_copy(&job->base);
		g_assert_true(copy || waxwing_job_invalid_field(job));
		if (copy)
			waxwing__job__free_unpacked(copy, NULL);
		waxwing__job__free_unpacked(job, NULL);
	}
}

/* Delivers a mutated copy of a message between nodes before the message itself. */
static void deliver_corrupted(struct sim_host *host, const struct sim_packet *packet)
{
	GByteArray *input = g_byte_array_new();
	Waxwing__NodeMessage *message;

	g_byte_array_append(input, packet->data, (guint)packet->len);
	mutate(input);
	message = waxwing__node_message__unpack(NULL, input->len, input->data);
	if (message) {
		waxwing_node_handle_message(host->node, packet->sender, message);
		waxwing__node_message__free_unpacked(message, NULL);
		waxwing_node_process_events(host->node);
	}
	g_byte_array_free(input, TRUE);
}

static void submit_jobs(struct cluster_sim *sim, int64_t ms)
{
	for (int64_t passed = 0; passed < ms; passed += ARRIVAL_MS) {
		client_create(sim);
		sim_run(sim, ARRIVAL_MS);
	}
}

static void assert_still_serves(struct cluster_sim *sim)
{
	guint served;

	sim_run(sim, ANSWERS_MS);
	served = sim_count_clients(sim, CLIENT_COMPLETED);
	sim->durable_share = 0;
	submit_jobs(sim, (int64_t)JOBS_AFTER * ARRIVAL_MS);
	sim_run(sim, ANSWERS_MS);
	g_assert_cmpuint(sim_count_clients(sim, CLIENT_COMPLETED) - served, >=, SERVED_AFTER);
}

static struct cluster_sim *create_settled(uint32_t seed)
{
	struct cluster_sim *sim = sim_create(seed);

	waxwing_event_log_set_clock(&sim->clock.base);
	sim->durable_share = 0.5;
	sim->permit_share = 0.2;
	sim_run(sim, SETTLE_MS);
	return sim;
}

/* Nodes receive offers, verdicts, pings and queries of which some bytes were changed. */
static void test_messages(void)
{
	for (int i = 0; i < MAX(1, input_count() / DEFAULT_INPUTS); i++) {
		struct cluster_sim *sim = create_settled((uint32_t)g_test_rand_int());

		sim->corrupt_message = deliver_corrupted;
		submit_jobs(sim, CORRUPTED_MS);
		sim->corrupt_message = NULL;
		assert_still_serves(sim);
		sim_destroy(sim);
	}
}

static void corrupt_entries(struct cluster_sim *sim, const char *prefix)
{
	GList *keys = g_hash_table_get_keys(sim->entries);

	for (GList *item = keys; item; item = item->next)
		item->data = g_strdup(item->data);
	for (GList *item = keys; item; item = item->next) {
		struct store_entry *entry = g_hash_table_lookup(sim->entries, item->data);
		GByteArray *input = g_byte_array_new();

		g_byte_array_append(input, (const guint8 *)entry->value, (guint)entry->len);
		mutate(input);
		if (g_str_has_prefix(item->data, prefix))
			store_put(sim, item->data, (const char *)input->data, input->len,
				  entry->lease);
		g_byte_array_free(input, TRUE);
	}
	g_list_free_full(keys, g_free);
}

/* All nodes restart on journals and owners' entries of which some bytes were changed. */
static void test_stored_records(void)
{
	for (int i = 0; i < MAX(1, input_count() / DEFAULT_INPUTS); i++) {
		struct cluster_sim *sim = create_settled((uint32_t)g_test_rand_int());

		submit_jobs(sim, CORRUPTED_MS);
		for (int node = 0; node < NODES; node++)
			node_kill(sim, node);
		corrupt_entries(sim, "journal/");
		corrupt_entries(sim, "cells/");
		for (int node = 0; node < NODES; node++)
			node_start(sim, node);
		assert_still_serves(sim);
		sim_destroy(sim);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fuzz/settings", test_settings);
	g_test_add_func("/fuzz/executor_entry", test_executor_entry);
	g_test_add_func("/fuzz/routing", test_routing);
	g_test_add_func("/fuzz/job", test_job);
	g_test_add_func("/fuzz/permits", test_permits);
	g_test_add_func("/fuzz/hold", test_hold);
	g_test_add_func("/fuzz/store_answer", test_store_answer);
	g_test_add_func("/fuzz/job_copies", test_job_copies);
	g_test_add_func("/fuzz/messages", test_messages);
	g_test_add_func("/fuzz/stored_records", test_stored_records);
	return g_test_run();
}
