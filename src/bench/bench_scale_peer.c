/*
 * Cost of messages between instances: bytes of packed messages, and bytes and processor time of
 * heartbeats.
 */
#include "bench_scale.h"
#include "generated/peer.pb-c.h"
#include "membership.h"

#include <stdio.h>

#define ISSUER	      UINT64_C(0x7f3a90c27f3a90c2)
#define FIRST_JOB     UINT64_C(1000000)
#define UPSTREAM_NAME "can-tho-executor-17"
#define BRANCH_NAME   "meals/booking"
#define MAX_ITEMS     1000
#define NAME_BYTES    32
#define MAX_ADDRESSES 16
#define HEARTBEAT_MS  250
#define INTERVALS     200

static double batch_bytes(const Waxwing__Batch *batch, uint32_t items)
{
	return (double)waxwing__batch__get_packed_size(batch) / items;
}

static double offers_bytes(uint32_t count)
{
	static Waxwing__Offer items[MAX_ITEMS];
	static Waxwing__Offer *offers[MAX_ITEMS];
	static uint32_t declared_ms = 180;
	Waxwing__Batch batch = WAXWING__BATCH__INIT;

	for (uint32_t i = 0; i < count; i++) {
		waxwing__offer__init(&items[i]);
		items[i].job = FIRST_JOB + i;
		items[i].branch = (char *)BRANCH_NAME;
		items[i].task_count = 8;
		items[i].deadline_in_ms = 3000;
		items[i].n_declared_ms = 1;
		items[i].declared_ms = &declared_ms;
		items[i].has_bytes = true;
		items[i].bytes = 1024;
		offers[i] = &items[i];
	}
	batch.from = ISSUER;
	batch.n_offers = count;
	batch.offers = offers;
	return batch_bytes(&batch, count);
}

static double grants_bytes(uint32_t count)
{
	static Waxwing__Grant items[MAX_ITEMS];
	static Waxwing__Grant *grants[MAX_ITEMS];
	Waxwing__Batch batch = WAXWING__BATCH__INIT;

	for (uint32_t i = 0; i < count; i++) {
		waxwing__grant__init(&items[i]);
		items[i].job = FIRST_JOB + i;
		items[i].task = i % 8;
		items[i].upstream = (char *)UPSTREAM_NAME;
		items[i].grant = FIRST_JOB * 8 + i;
		grants[i] = &items[i];
	}
	batch.from = ISSUER;
	batch.n_grants = count;
	batch.grants = grants;
	return batch_bytes(&batch, count);
}

static double ends_bytes(uint32_t count)
{
	static Waxwing__SlotEnd items[MAX_ITEMS];
	static Waxwing__SlotEnd *ends[MAX_ITEMS];
	Waxwing__Batch batch = WAXWING__BATCH__INIT;

	for (uint32_t i = 0; i < count; i++) {
		waxwing__slot_end__init(&items[i]);
		items[i].job = FIRST_JOB + i;
		items[i].task = i % 8;
		items[i].upstream = (char *)UPSTREAM_NAME;
		items[i].run_ms = 350;
		ends[i] = &items[i];
	}
	batch.from = ISSUER;
	batch.n_ends = count;
	batch.ends = ends;
	return batch_bytes(&batch, count);
}

void waxwing_bench_scale_messages(GArray *results)
{
	static const uint32_t counts[] = { 1, 10, 100, 1000 };

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		uint32_t count = counts[i];
		struct waxwing_bench_scale_result rows[] = {
			{ "messages", "offer of a job, in a batch", "bytes", count, 0,
			  offers_bytes(count) },
			{ "messages", "grant of a task, in a batch", "bytes", count, 0,
			  grants_bytes(count) },
			{ "messages", "end of a task, in a batch", "bytes", count, 0,
			  ends_bytes(count) },
		};

		for (size_t j = 0; j < G_N_ELEMENTS(rows); j++)
			waxwing_bench_scale_add(results, &rows[j]);
	}
}

static void receive_heartbeat(struct waxwing_membership *membership, int64_t now_ms,
			      uint32_t number)
{
	Waxwing__Heartbeat heartbeat = WAXWING__HEARTBEAT__INIT;
	char name[NAME_BYTES];
	char address[NAME_BYTES];

	snprintf(name, sizeof(name), "can-tho-%u", number);
	snprintf(address, sizeof(address), "10.1.%u.%u:9001", number / 250, number % 250);
	heartbeat.name = name;
	heartbeat.incarnation = ISSUER + number;
	heartbeat.domain = (char *)"can-tho";
	heartbeat.peer_address = address;
	heartbeat.http_address = address;
	heartbeat.settings_revision = 12345;
	heartbeat.has_sequence = true;
	heartbeat.sequence = (uint64_t)now_ms;
	waxwing_membership_receive_heartbeat(membership, now_ms, &heartbeat);
}

struct heartbeat_cost {
	uint64_t bytes; /**< bytes sent to all addresses */
	uint64_t cpu_ns;
};

/*
 * Runs one heartbeat interval of the measured member: it receives as many heartbeats as a member
 * gets on average, ticks and sends its heartbeat.
 */
static void run_interval(struct waxwing_membership *membership, int64_t now_ms, uint32_t members,
			 struct heartbeat_cost *total)
{
	int64_t from_ns = waxwing_bench_scale_cpu_ns();
	struct waxwing_str addresses[MAX_ADDRESSES];
	Waxwing__Heartbeat heartbeat = WAXWING__HEARTBEAT__INIT;
	size_t watchers;
	size_t count;

	for (uint32_t i = 0; i < MIN(members, 8); i++)
		receive_heartbeat(membership, now_ms,
				  (uint32_t)(now_ms / HEARTBEAT_MS * 8 + i) % members);
	waxwing_membership_tick(membership, now_ms);
	count = waxwing_membership_next_heartbeat(membership, now_ms, &heartbeat, addresses,
						  MAX_ADDRESSES, &watchers);
	if (count)
		total->bytes += count * waxwing__heartbeat__get_packed_size(&heartbeat);
	total->cpu_ns += (uint64_t)(waxwing_bench_scale_cpu_ns() - from_ns);
}

static void measure_members(GArray *results, uint32_t members)
{
	struct waxwing_membership_options options = {
		.name = waxwing_str("can-tho-own"),
		.domain = waxwing_str("can-tho"),
		.http_address = waxwing_str("10.1.200.200:8001"),
		.peer_address = waxwing_str("10.1.200.200:9001"),
		.incarnation = 1,
		.seed = 1,
		.heartbeat_ms = HEARTBEAT_MS,
	};
	struct waxwing_membership *membership = waxwing_membership_create(&options, HEARTBEAT_MS);
	struct heartbeat_cost total = { 0 };
	struct waxwing_bench_scale_result bytes = {
		"membership", "heartbeats sent", "bytes/s", members, 0, 0
	};
	struct waxwing_bench_scale_result cpu = {
		"membership", "heartbeats heard and sent", "ns CPU/s", members, 0, 0
	};

	for (uint32_t i = 0; i < members; i++)
		receive_heartbeat(membership, HEARTBEAT_MS, i);
	for (uint32_t i = 1; i <= INTERVALS; i++)
		run_interval(membership, HEARTBEAT_MS * (i + 1), members, &total);
	bytes.value = (double)total.bytes * 1000 / (INTERVALS * HEARTBEAT_MS);
	cpu.value = (double)total.cpu_ns * 1000 / (INTERVALS * HEARTBEAT_MS);
	waxwing_bench_scale_add(results, &bytes);
	waxwing_bench_scale_add(results, &cpu);
	waxwing_membership_destroy(membership);
}

void waxwing_bench_scale_membership(GArray *results)
{
	static const uint32_t members[] = { 2, 8, 50, 200, 1000 };

	for (size_t i = 0; i < G_N_ELEMENTS(members); i++)
		measure_members(results, members[i]);
}
