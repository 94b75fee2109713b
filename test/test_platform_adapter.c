/*
 * Tests the platform adapter's decoders with valid and invalid settings, store entries, job bodies and
 * permit responses.
 */
#include "executor_http.h"
#include "job_body.h"
#include "job_check.h"
#include "json.h"
#include "permits_http.h"
#include "settings_file.h"
#include "store_entries.h"
#include "store_kv.h"

#include <glib.h>

static const char valid_settings[] = "Node=front-1\n"
				     "Role=entry\n"
				     "Ip=10.1.0.13\n"
				     "Zone=can-tho\n"
				     "Zones.can-tho=mekong\n"
				     "Zones.an-giang=mekong\n"
				     "Listen.Front=10.1.0.13:8161\n"
				     "Listen.Ready=10.1.0.13:8167\n"
				     "InternalPorts=7720,7735\n"
				     "Limits.CpuShare=0.25\n"
				     "Limits.MemoryMb=120\n"
				     "Limits.FileDescriptors=3075\n"
				     "Bounds.HoldMaxMs=1000\n"
				     "Bounds.StopMs=50\n"
				     "Bounds.GraceS=6\n"
				     "Bounds.EvacuationMs=5000\n"
				     "Bounds.FarFactor=1.5\n"
				     "platform.Address=10.200.1.7:8169\n"
				     "platform.TtlMinMs=1000\n"
				     "Something.New=with, commas\n";

static void test_settings(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct platform_settings *settings = platform_settings_parse(valid_settings, &error);

	g_assert_nonnull(settings);
	g_assert_cmpstr(settings->node, ==, "front-1");
	g_assert_cmpstr(settings->peer_address, ==, "10.1.0.13:7720");
	g_assert_cmpstr(settings->zones[0], ==, "an-giang");
	g_assert_cmpstr(settings->zones[1], ==, "can-tho");
	g_assert_null(settings->zones[2]);
	g_assert_cmpuint(settings->shutdown_grace_ms, ==, 6000);
	g_assert_cmpuint(settings->max_lease_ms, ==, 1000);
	g_assert_cmpuint(settings->evacuation_ms, ==, 5000);
	g_assert_cmpfloat(settings->remote_data_factor, ==, 1.5);
	g_assert_cmpfloat(settings->cpu_share, ==, 0.25);
	g_assert_cmpuint(settings->memory_mb, ==, 120);
	g_assert_cmpuint(settings->file_descriptors, ==, 3075);
	platform_settings_destroy(settings);
}

/*
 * The limiter of cold starts keeps to the rate itself. Guards against bounds below the rate that go
 * unnoticed, and against a node that does not start because of them.
 */
static void test_settings_cold(void)
{
	static const struct {
		const char *lines;
		double overage;
		double slack;
		bool met;
	} rows[] = {
		{ "", 1.5, 5, true },
		{ "Bounds.ColdOverage=1\nBounds.ColdSlack=1\n", 1, 1, true },
		{ "Bounds.ColdOverage=0.9\n", 0.9, 5, false },
		{ "Bounds.ColdSlack=0\n", 1.5, 0, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct waxwing_error error = WAXWING_ERROR_INIT;
		char *text = g_strconcat(valid_settings, rows[i].lines, NULL);
		struct platform_settings *settings = platform_settings_parse(text, &error);

		g_assert_nonnull(settings);
		g_assert_cmpfloat(settings->cold_overage, ==, rows[i].overage);
		g_assert_cmpfloat(settings->cold_slack, ==, rows[i].slack);
		g_assert_true(platform_settings_cold_bounds_met(settings) == rows[i].met);
		platform_settings_destroy(settings);
		g_free(text);
	}
}

/* The permit service is optional: an absent or empty field is valid, an invalid address is not. */
static void test_settings_permits(void)
{
	static const struct {
		const char *line;
		const char *address;
		enum waxwing_error_code code;
	} rows[] = {
		{ "", NULL, WAXWING_OK },
		{ "Advice=\n", NULL, WAXWING_OK },
		{ "Advice=10.200.1.9:8169\n", "10.200.1.9:8169", WAXWING_OK },
		{ "Advice=10.200.1.9\n", NULL, WAXWING_ERROR_TYPE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct waxwing_error error = WAXWING_ERROR_INIT;
		char *text = g_strconcat(valid_settings, rows[i].line, NULL);
		struct platform_settings *settings = platform_settings_parse(text, &error);

		g_assert_cmpint(error.code, ==, rows[i].code);
		g_assert_true((settings != NULL) == (rows[i].code == WAXWING_OK));
		if (settings)
			g_assert_cmpstr(settings->permits_address, ==, rows[i].address);
		platform_settings_destroy(settings);
		g_free(text);
	}
}

/* Returns the valid settings with one field replaced or added; an empty value removes the field. */
static char *replace_setting(const char *field, const char *value)
{
	char **lines = g_strsplit(valid_settings, "\n", -1);
	GString *text = g_string_new(NULL);
	char *line_start = g_strconcat(field, "=", NULL);

	for (int i = 0; lines[i]; i++)
		if (!g_str_has_prefix(lines[i], line_start))
			g_string_append_printf(text, "%s\n", lines[i]);
	if (*value)
		g_string_append_printf(text, "%s=%s\n", field, value);
	g_free(line_start);
	g_strfreev(lines);
	return g_string_free(text, FALSE);
}

/* Without its field, evacuation must stay off: the node's calls to the store would change. */
static void test_settings_no_evacuation(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	char *text = replace_setting("Bounds.EvacuationMs", "");
	struct platform_settings *settings = platform_settings_parse(text, &error);

	g_assert_nonnull(settings);
	g_assert_cmpuint(settings->evacuation_ms, ==, 0);
	platform_settings_destroy(settings);
	g_free(text);
}

static void test_settings_faulty(void)
{
	static const struct {
		const char *field;
		const char *value;
		enum waxwing_error_code code;
	} rows[] = {
		{ "Node", "", WAXWING_ERROR_MISSING },
		{ "Zone", "", WAXWING_ERROR_MISSING },
		{ "Listen.Front", "", WAXWING_ERROR_MISSING },
		{ "Listen.Front", "10.1.0.13", WAXWING_ERROR_TYPE },
		{ "Listen.Ready", "host.example:80", WAXWING_ERROR_TYPE },
		{ "InternalPorts", "", WAXWING_ERROR_MISSING },
		{ "InternalPorts", "many", WAXWING_ERROR_TYPE },
		{ "platform.Address", "", WAXWING_ERROR_MISSING },
		{ "Bounds.HoldMaxMs", "soon", WAXWING_ERROR_TYPE },
		{ "Bounds.GraceS", "-1", WAXWING_ERROR_TYPE },
		{ "Bounds.EvacuationMs", "5 s", WAXWING_ERROR_TYPE },
		{ "Limits.CpuShare", "nan", WAXWING_ERROR_TYPE },
		{ "Bounds.ColdOverage", "-1", WAXWING_ERROR_TYPE },
		{ "Bounds.ColdSlack", "1e300", WAXWING_ERROR_TYPE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct waxwing_error error = WAXWING_ERROR_INIT;
		char *text = replace_setting(rows[i].field, rows[i].value);

		g_assert_null(platform_settings_parse(text, &error));
		g_assert_cmpint(error.code, ==, rows[i].code);
		g_assert_cmpstr(error.path, ==, rows[i].field);
		g_free(text);
	}
}

static void test_settings_syntax(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;

	g_assert_null(platform_settings_parse("Node=a\nno equals sign\n", &error));
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_SYNTAX);
	g_assert_cmpuint(error.line, ==, 2);
	g_assert_null(platform_settings_load("/nonexistent/settings", &error));
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_SYSTEM);
}

static void count_entry(void *data, const struct waxwing_executor_entry *entry)
{
	(void)entry;
	++*(int *)data;
}

static void check_entry(void *data, const struct waxwing_executor_entry *entry)
{
	++*(int *)data;
	g_assert_cmpstr(entry->id, ==, "i-1");
	g_assert_cmpstr(entry->address, ==, "10.128.0.9:8080");
	g_assert_cmpstr(entry->kind, ==, "a");
	g_assert_cmpstr(entry->rack, ==, "r1-3");
	g_assert_cmpuint(entry->capacity.cpu_milli, ==, 16000);
	g_assert_cmpint(entry->started_ms, ==, 1700000000000);
	g_assert_true(entry->draining);
}

static struct waxwing_store_item make_item(const char *key, const char *value)
{
	return (struct waxwing_store_item){
		.key = waxwing_str(key),
		.value = waxwing_str(value),
		.revision = 1,
	};
}

static void test_executor_entry(void)
{
	struct waxwing_store_item item = make_item(
		"servers/i-1",
		"{\"Service\":\"s\",\"Address\":\"10.128.0.9:8080\",\"Zone\":\"z\",\"Slots\":8,"
		"\"State\":\"draining\",\"Capacity\":{\"Cpu\":16000,\"MemMb\":32768,\"Gpu\":0},"
		"\"Labels\":[\"a\",\"r1-3\"],\"born\":1700000000000,\"New\":[1]}");
	int entry_count = 0;

	g_assert_true(platform_read_executor(&item, check_entry, &entry_count));
	g_assert_cmpint(entry_count, ==, 1);
}

/* Entries are written by another system; an invalid one must not be used as an executor. */
static void test_executor_entry_faulty(void)
{
	static const char *const values[] = {
		"",
		"\xff\xfe\x00",
		"[]",
		"{}",
		"{\"Service\":7,\"Address\":\"10.0.0.1:80\",\"Zone\":\"z\",\"State\":\"ready\","
		"\"Capacity\":{\"Cpu\":1}}",
		"{\"Service\":\"s\",\"Address\":\"nowhere\",\"Zone\":\"z\",\"State\":\"ready\","
		"\"Capacity\":{\"Cpu\":1}}",
		"{\"Service\":\"s\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"z\",\"State\":\"other\","
		"\"Capacity\":{\"Cpu\":1}}",
		"{\"Service\":\"s\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"z\",\"State\":\"ready\"}",
		"{\"Service\":\"s\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"z\",\"State\":\"ready\","
		"\"Capacity\":{\"Cpu\":-4}}",
	};
	int entry_count = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		struct waxwing_store_item item = make_item("servers/i-1", values[i]);

		g_assert_false(platform_read_executor(&item, count_entry, &entry_count));
	}
	g_assert_cmpint(entry_count, ==, 0);
}

/* Returns an entry whose address, capacity, start time and further member are as given. */
static char *format_entry(const char *address, const char *cpu, const char *born, const char *more)
{
	return g_strdup_printf("{\"Service\":\"s\",\"Address\":\"%s\",\"Zone\":\"z\",\"State\":"
			       "\"ready\",\"Capacity\":{\"Cpu\":%s,\"MemMb\":1,\"Gpu\":0},"
			       "\"Labels\":[\"a\",\"r\"],\"born\":%s%s}",
			       address, cpu, born, more);
}

static void assert_refused(char *value)
{
	struct waxwing_store_item item = make_item("servers/i-1", value);
	int entry_count = 0;

	if (platform_read_executor(&item, count_entry, &entry_count))
		g_error("accepted: %.200s", value);
	g_assert_cmpint(entry_count, ==, 0);
	g_free(value);
}

/* Returns @depth nested arrays; without their ends if @open. */
static char *nest(size_t depth, bool open)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < depth; i++)
		g_string_append_c(text, '[');
	for (size_t i = 0; i < depth && !open; i++)
		g_string_append_c(text, ']');
	return g_string_free(text, FALSE);
}

/*
 * Guards against readers of the list that end, or use the entry, when another writer has left one
 * that is deeply nested, or has a number too large or a port out of range.
 */
static void test_executor_entry_odd(void)
{
	static const char *const cpus[] = {
		"1e400",
		"-1e400",
		"1e18",
		"4294967296",
		"9223372036854775808",
		"18446744073709551616",
		"99999999999999999999999999999999999999999999999999999999999999999999999999999999",
	};
	static const char *const borns[] = {
		"1e400",
		"-1",
		"9007199254740992",
		"9223372036854775807",
		"18446744073709551615",
		"18446744073709551616",
		"99999999999999999999999999999999999999999999999999999999999999999999999999999999",
	};
	static const char *const addresses[] = {
		"10.0.0.1:65536", "10.0.0.1:0",	 "10.0.0.1:-1",
		"10.0.0.1:",	  "10.0.0.1",	 "10.0.0.1:99999999999999999999999",
		"10.0.0.1:8o",	  "[::1]:70000", "[::1]",
	};
	static const size_t depths[] = { 33, 1000, 100000, 1000000 };
	struct waxwing_store_item item = { .key = waxwing_str("servers/i-1") };
	int entry_count = 0;
	char *valid = format_entry("10.0.0.1:80", "4000", "1700000000000", "");

	item.value = waxwing_str(valid);
	g_assert_true(platform_read_executor(&item, count_entry, &entry_count));
	g_free(valid);
	for (size_t i = 0; i < G_N_ELEMENTS(cpus); i++)
		assert_refused(format_entry("10.0.0.1:80", cpus[i], "0", ""));
	for (size_t i = 0; i < G_N_ELEMENTS(borns); i++)
		assert_refused(format_entry("10.0.0.1:80", "4000", borns[i], ""));
	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		assert_refused(format_entry(addresses[i], "4000", "0", ""));
	for (size_t i = 0; i < G_N_ELEMENTS(depths); i++) {
		char *arrays = nest(depths[i], false);
		char *member = g_strconcat(",\"More\":", arrays, NULL);

		assert_refused(format_entry("10.0.0.1:80", "4000", "0", member));
		assert_refused(arrays);
		assert_refused(nest(depths[i], true));
		g_free(member);
	}
}

static const char routing_value[] =
	"{\"Version\":7,\"Routes\":["
	"{\"Name\":\"q1\",\"Host\":\"Nony24.example\",\"Prefix\":\"/lohu930/\",\"Priority\":2,"
	"\"Service\":\"s\",\"MaxAttempts\":3,\"Stretch\":1.6,\"TargetDurationMs\":60},"
	"{\"Name\":\"q2\",\"Host\":\"nony24.example\",\"Prefix\":\"/lohu930/deep/\",\"Service\":\"s\","
	"\"Advice\":{\"DecisionMs\":40,\"EachMs\":2,\"ValidityMs\":3000}}],"
	"\"Services\":[{\"Name\":\"s\",\"EnforcesCapacity\":true,\"MaxConnections\":64}],"
	"\"Limits\":{\"MaxBodyBytes\":262144}}";

static void test_routing(void)
{
	struct waxwing_store_item item = make_item("op/config", routing_value);
	struct waxwing_routing *routing = platform_read_routing(&item);
	const struct waxwing_queue_route *queue;

	g_assert_nonnull(routing);
	g_assert_cmpuint(routing->version, ==, 7);
	queue = waxwing_routing_find(routing, waxwing_str("nony24.EXAMPLE:80"),
				     waxwing_str("/lohu930/0123"));
	g_assert_cmpstr(queue->name, ==, "q1");
	g_assert_cmpfloat(queue->stretch, ==, 1.6);
	g_assert_false(queue->permits_needed);
	queue = waxwing_routing_find(routing, waxwing_str("nony24.example"),
				     waxwing_str("/lohu930/deep/0123"));
	g_assert_cmpstr(queue->name, ==, "q2");
	g_assert_cmpuint(queue->max_attempts, ==, 1);
	g_assert_true(queue->permits_needed);
	g_assert_cmpuint(queue->permit_base_ms, ==, 40);
	g_assert_cmpuint(queue->permit_per_executor_ms, ==, 2);
	g_assert_cmpuint(queue->permit_valid_ms, ==, 3000);
	g_assert_null(waxwing_routing_find(routing, waxwing_str("other.example"),
					   waxwing_str("/lohu930/0123")));
	g_assert_null(waxwing_routing_find(routing, waxwing_str("nony24.example"),
					   waxwing_str("/lohu93")));
	waxwing_routing_destroy(routing);
}

static void read_cold_ms(void *data, const struct waxwing_executor_entry *entry)
{
	*(uint32_t *)data = entry->cold_remaining_ms;
}

/* An entry without a usable ColdRemainingMs is that of a warm executor; it must not be dropped. */
static void test_executor_entry_cold(void)
{
	static const struct {
		const char *member;
		uint32_t cold_ms;
	} rows[] = {
		{ "", 0 },
		{ ",\"ColdRemainingMs\":0", 0 },
		{ ",\"ColdRemainingMs\":2500", 2500 },
		{ ",\"ColdRemainingMs\":12.7", 12 },
		{ ",\"ColdRemainingMs\":86400000", 86400000 },
		{ ",\"ColdRemainingMs\":86400001", 0 },
		{ ",\"ColdRemainingMs\":-1", 0 },
		{ ",\"ColdRemainingMs\":1e400", 0 },
		{ ",\"ColdRemainingMs\":18446744073709551615", 0 },
		{ ",\"ColdRemainingMs\":\"2500\"", 0 },
		{ ",\"ColdRemainingMs\":null", 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *value = format_entry("10.0.0.1:80", "4000", "7", rows[i].member);
		struct waxwing_store_item item = make_item("servers/i-1", value);
		uint32_t cold_ms = UINT32_MAX;

		g_assert_true(platform_read_executor(&item, read_cold_ms, &cold_ms));
		g_assert_cmpuint(cold_ms, ==, rows[i].cold_ms);
		g_free(value);
	}
}

/*
 * Guards against an owner without configuration that limits no starts: jobs carry the values of
 * their service. A service without usable values has no limit; it must not be dropped.
 */
static void test_job_cold_start(void)
{
	static const struct {
		const char *members;
		uint32_t start_ms;
		uint32_t milli_rate;
	} rows[] = {
		{ "", 0, 0 },
		{ ",\"ColdStartS\":2.5,\"ColdPerS\":4", 2500, 4000 },
		{ ",\"ColdStartS\":3,\"ColdPerS\":0.0001", 3000, 1 },
		{ ",\"ColdStartS\":3", 3000, 0 },
		{ ",\"ColdPerS\":4", 0, 0 },
		{ ",\"ColdStartS\":-1,\"ColdPerS\":4", 0, 0 },
		{ ",\"ColdStartS\":1e300,\"ColdPerS\":4", 0, 0 },
		{ ",\"ColdStartS\":3,\"ColdPerS\":-4", 3000, 0 },
		{ ",\"ColdStartS\":3,\"ColdPerS\":1e10", 3000, 0 },
		{ ",\"ColdStartS\":\"3\",\"ColdPerS\":null", 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *value = g_strdup_printf(
			"{\"Version\":7,\"Routes\":[{\"Name\":\"q\",\"Host\":\"h\",\"Prefix\":"
			"\"/\",\"Service\":\"s\"}],\"Services\":[{\"Name\":\"s\"%s}]}",
			rows[i].members);
		struct waxwing_store_item item = make_item("op/config", value);
		struct waxwing_routing *routing = platform_read_routing(&item);
		struct waxwing_error error = WAXWING_ERROR_INIT;
		Waxwing__Job *job = platform_read_job(waxwing_str("{\"Steps\":[{\"Count\":1}]}"), 1,
						      routing->queues->pdata[0], &error);

		g_assert_nonnull(job);
		g_assert_cmpuint(job->cold_start_ms, ==, rows[i].start_ms);
		g_assert_cmpuint(job->cold_milli_starts_per_s, ==, rows[i].milli_rate);
		g_assert_null(waxwing_job_invalid_field(job));
		job->cold_milli_starts_per_s = UINT32_MAX;
		g_assert_nonnull(waxwing_job_invalid_field(job));
		job->cold_milli_starts_per_s = 0;
		job->cold_start_ms = UINT32_MAX;
		g_assert_nonnull(waxwing_job_invalid_field(job));
		waxwing__job__free_unpacked(job, NULL);
		waxwing_routing_destroy(routing);
		g_free(value);
	}
}

static void test_routing_faulty(void)
{
	static const char *const values[] = {
		"",
		"{}",
		"{\"Version\":1}",
		"{\"Version\":1,\"Routes\":[{}],\"Services\":[]}",
		"{\"Version\":-1,\"Routes\":[],\"Services\":[]}",
		"{\"Version\":1,\"Routes\":[null],\"Services\":[]}",
		"{\"Version\":1,\"Routes\":[[1,2]],\"Services\":[]}",
		"{\"Version\":1,\"Routes\":{},\"Services\":[]}",
		"{\"Version\":\"1\",\"Routes\":[],\"Services\":[]}",
		"[{\"Version\":1,\"Routes\":[],\"Services\":[]}]",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		struct waxwing_store_item item = make_item("op/config", values[i]);

		g_assert_null(platform_read_routing(&item));
	}
	/* a configuration that is cut off anywhere is rejected as a whole */
	for (size_t len = 0; len < strlen(routing_value); len++) {
		struct waxwing_store_item item = make_item("op/config", routing_value);

		item.value.len = len;
		g_assert_null(platform_read_routing(&item));
	}
}

/* Ten thousand routes: each is found, and a request needs few lookups. */
static void test_routing_large(void)
{
	GString *text = g_string_new("{\"Version\":9,\"Services\":[],\"Routes\":[");
	struct waxwing_store_item item;
	struct waxwing_routing *routing;

	for (int i = 0; i < 10000; i++)
		g_string_append_printf(text,
				       "%s{\"Name\":\"q%d\",\"Host\":\"h%d.example\","
				       "\"Prefix\":\"/p%d/\",\"Service\":\"absent\"}",
				       i ? "," : "", i, i % 3, i);
	g_string_append(text, "]}");
	item = make_item("op/config", text->str);
	routing = platform_read_routing(&item);
	g_assert_nonnull(routing);
	g_assert_cmpuint(routing->queues->len, ==, 10000);
	g_assert_cmpuint(routing->prefix_lengths->len, ==, 4);
	for (int i = 0; i < 10000; i++) {
		char host[32];
		char path[32];
		char name[16];

		g_snprintf(host, sizeof(host), "h%d.example", i % 3);
		g_snprintf(path, sizeof(path), "/p%d/5c0e7a21d94b36f8", i);
		g_snprintf(name, sizeof(name), "q%d", i);
		g_assert_cmpstr(
			waxwing_routing_find(routing, waxwing_str(host), waxwing_str(path))->name,
			==, name);
		g_snprintf(path, sizeof(path), "/p%d", i);
		g_assert_null(waxwing_routing_find(routing, waxwing_str(host), waxwing_str(path)));
	}
	waxwing_routing_destroy(routing);
	g_string_free(text, TRUE);
}

static Waxwing__Job *read_job(const char *body, struct waxwing_error *error)
{
	struct waxwing_queue_route queue = {
		.name = "q", .service = "s", .max_attempts = 3, .stretch = 1.6, .allowance_ms = 60
	};

	*error = (struct waxwing_error)WAXWING_ERROR_INIT;
	return platform_read_job(waxwing_str(body), 5, &queue, error);
}

static void test_job(void)
{
	struct waxwing_error error;
	Waxwing__Job *job = read_job(
		"{\"Spec\":\"text\",\"BestEffort\":true,\"Steps\":[{\"Count\":4,\"Cpu\":500,"
		"\"EstimatedMs\":90,\"Affinity\":\"r1-3\"},{\"Count\":2,\"After\":[0],"
		"\"Requirements\":\"a\",\"AntiAffinity\":1},{\"Count\":3,\"GangScheduled\":true,"
		"\"SameRack\":true},{\"Count\":1,\"LongRunning\":true}]}",
		&error);

	g_assert_nonnull(job);
	g_assert_cmpuint(job->id, ==, 5);
	g_assert_cmpuint(job->stretch_milli, ==, 1600);
	g_assert_cmpuint(job->n_steps, ==, 4);
	g_assert_cmpuint(job->steps[0]->cpu_milli, ==, 500);
	g_assert_cmpstr(job->steps[0]->affinity, ==, "r1-3");
	g_assert_cmpuint(job->steps[1]->n_after, ==, 1);
	g_assert_cmpuint(job->steps[1]->anti_affinity, ==, 1);
	g_assert_false(job->steps[1]->gang);
	g_assert_true(job->steps[2]->gang);
	g_assert_true(job->steps[2]->same_rack);
	g_assert_true(job->steps[3]->long_running);
	waxwing__job__free_unpacked(job, NULL);
}

static void test_job_repeated(void)
{
	struct waxwing_error error;
	Waxwing__Job *job = read_job("{\"Repetitions\":3,\"FirstMs\":1774363009050,"
				     "\"IntervalMs\":500,\"Steps\":[{\"Count\":1}]}",
				     &error);

	g_assert_nonnull(job);
	g_assert_true(job->kept);
	g_assert_cmpuint(job->repetitions, ==, 3);
	g_assert_cmpuint(job->first_ms, ==, 1774363009050);
	g_assert_cmpuint(job->interval_ms, ==, 500);
	waxwing__job__free_unpacked(job, NULL);
}

static void append_permits(void *data, const struct waxwing_permit_answer *answer)
{
	GString *text = data;

	g_string_append_printf(text, "%d %u:", answer->answered, answer->valid_ms);
	for (size_t i = 0; i < answer->permit_count; i++)
		g_string_append_printf(text, " %s=%s", answer->permits[i].executor,
				       answer->permits[i].ticket);
	g_string_append_c(text, ';');
}

static void test_permits(void)
{
	static const char *const ids[] = { "i-1", "i-2" };
	struct waxwing_permit_query query = {
		.job = 0x5c0e7a21d94b36f8, .occurrence = 3, .step = 1, .executors = ids, .count = 2
	};
	GString *body = permits_format_query(&query);
	GString *text = g_string_new(NULL);

	g_assert_cmpstr(body->str, ==,
			"{\"Step\":\"5c0e7a21d94b36f8.3.1\",\"Workers\":[\"i-1\",\"i-2\"]}");
	permits_parse_answer(waxwing_str("{\"Good\":[[\"i-1\",\"c81e\"],7,[\"i-2\"],[\"i-2\",4]],"
					 "\"ValidityMs\":3000}"),
			     append_permits, text);
	permits_parse_answer(waxwing_str("{\"Good\":[]}"), append_permits, text);
	permits_parse_answer(waxwing_str("{}"), append_permits, text);
	permits_parse_answer(waxwing_str("<html>"), append_permits, text);
	g_assert_cmpstr(text->str, ==, "1 3000: i-1=c81e;1 0:;0 0:;0 0:;");
	g_string_free(body, TRUE);
	g_string_free(text, TRUE);
}

static void test_job_faulty(void)
{
	static const struct {
		const char *body;
		enum waxwing_error_code code;
	} rows[] = {
		{ "", WAXWING_ERROR_SYNTAX },
		{ "[]", WAXWING_ERROR_SYNTAX },
		{ "{} {}", WAXWING_ERROR_SYNTAX },
		{ "{\"BestEffort\":true}", WAXWING_ERROR_MISSING },
		{ "{\"BestEffort\":true,\"Steps\":[]}", WAXWING_ERROR_MISSING },
		{ "{\"BestEffort\":true,\"Steps\":[4]}", WAXWING_ERROR_TYPE },
		{ "{\"BestEffort\":true,\"Steps\":[{\"Cpu\":5}]}", WAXWING_ERROR_RANGE },
		{ "{\"BestEffort\":true,\"Steps\":[{\"Count\":-1}]}", WAXWING_ERROR_RANGE },
		{ "{\"BestEffort\":true,\"Steps\":[{\"Count\":1,\"Cpu\":\"x\"}]}",
		  WAXWING_ERROR_RANGE },
		{ "{\"BestEffort\":true,\"Steps\":[{\"Count\":1,\"After\":[0]}]}",
		  WAXWING_ERROR_RANGE },
		{ "{\"BestEffort\":true,\"Steps\":[{\"Count\":1},{\"Count\":1,\"After\":[2]}]}",
		  WAXWING_ERROR_RANGE },
		{ "{\"BestEffort\":true,\"Steps\":[{\"Count\":2000000}]}", WAXWING_ERROR_TOO_MANY },
		{ "{\"BestEffort\":true,\"Repetitions\":3,\"Steps\":[{\"Count\":1}]}",
		  WAXWING_ERROR_NEVER_FITS },
		{ "{\"Spec\":\"abc\\u0000def\",\"Steps\":[{\"Count\":1}]}", WAXWING_ERROR_TYPE },
		{ "{\"Steps\":[{\"Count\":1,\"Requirements\":\"a\\u0000\"}]}", WAXWING_ERROR_TYPE },
		{ "{\"Steps\":[{\"Count\":1,\"Affinity\":\"\\u0000\"}]}", WAXWING_ERROR_TYPE },
		{ "{\"Repetitions\":-3,\"Steps\":[{\"Count\":1}]}", WAXWING_ERROR_RANGE },
		{ "{\"Repetitions\":3000000,\"Steps\":[{\"Count\":1}]}", WAXWING_ERROR_RANGE },
		{ "{\"Repetitions\":3,\"FirstMs\":\"noon\",\"Steps\":[{\"Count\":1}]}",
		  WAXWING_ERROR_RANGE },
		{ "{\"Repetitions\":3,\"IntervalMs\":1e30,\"Steps\":[{\"Count\":1}]}",
		  WAXWING_ERROR_RANGE },
		{ "{\"BestEffort\":true,\"Steps\":[{\"Count\":1,\"TargetMs\":-5}]}",
		  WAXWING_ERROR_RANGE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct waxwing_error error;

		g_assert_null(read_job(rows[i].body, &error));
		g_assert_cmpint(error.code, ==, rows[i].code);
	}
}

static void test_task_names(void)
{
	static const char *const malformed[] = { "",
						 "1.0.0.0",
						 "5c0e7a21d94b36f8",
						 "5c0e7a21d94b36f8.0.1",
						 "5c0e7a21d94b36f8.0.1.x",
						 "5c0e7a21d94b36f8.0.1.17.2",
						 "zz0e7a21d94b36f8.0.1.17" };
	struct waxwing_run_id run_id = { 0x5c0e7a21d94b36f8, 0, 1, 17, 2 };
	struct waxwing_run_id parsed = { 0 };
	char text[64];

	task_name_format(&run_id, text, sizeof(text));
	g_assert_cmpstr(text, ==, "5c0e7a21d94b36f8.0.1.17");
	g_assert_true(task_name_parse(text, &parsed));
	g_assert_cmpuint(parsed.job, ==, run_id.job);
	g_assert_cmpuint(parsed.step, ==, 1);
	g_assert_cmpuint(parsed.index, ==, 17);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		g_assert_false(task_name_parse(malformed[i], &parsed));
}

/* Guards against a body of legal size whose many short values take many times its memory. */
static void test_job_values(void)
{
	static const struct {
		const char *text;
		bool within;
	} cases[] = {
		{ "[1,2]", true }, /* itself, and room for two */
		{ "[1,2,3]", false },	  { "[[1]]", true },
		{ "[[[1]]]", false },	  { "[\",,,[[[\\\",\"]", true },
		{ "[',,,[[[\"']", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_true(json_within(waxwing_str(cases[i].text), 2, 3) == cases[i].within);
}

static void copy_status(void *data, const struct waxwing_store_answer *answer)
{
	*(enum waxwing_store_status *)data = answer->status;
}

/* Reads a response without a body as the answer to a write. */
static enum waxwing_store_status read_status(unsigned int status, bool resent)
{
	struct waxwing_http_call_result result = {
		.end = WAXWING_HTTP_COMPLETE,
		.status = status,
		.resent = resent,
	};
	enum waxwing_store_status read = WAXWING_STORE_OK;

	store_kv_read_answer(&result, NULL, (struct waxwing_store_callback){ copy_status, &read });
	return read;
}

/*
 * Guards against a write that is taken for undone: the store refused a copy of the call, but it may
 * have carried out the first one.
 */
static void test_store_refusals(void)
{
	g_assert_cmpint(read_status(429, false), ==, WAXWING_STORE_REFUSED);
	g_assert_cmpint(read_status(503, false), ==, WAXWING_STORE_REFUSED);
	g_assert_cmpint(read_status(429, true), ==, WAXWING_STORE_UNKNOWN);
	g_assert_cmpint(read_status(503, true), ==, WAXWING_STORE_UNKNOWN);
	g_assert_cmpint(read_status(412, true), ==, WAXWING_STORE_CONFLICT);
	g_assert_cmpint(read_status(200, true), ==, WAXWING_STORE_OK);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/settings", test_settings);
	g_test_add_func("/platform/settings_no_evacuation", test_settings_no_evacuation);
	g_test_add_func("/platform/settings_cold", test_settings_cold);
	g_test_add_func("/platform/settings_faulty", test_settings_faulty);
	g_test_add_func("/platform/settings_syntax", test_settings_syntax);
	g_test_add_func("/platform/executor_entry", test_executor_entry);
	g_test_add_func("/platform/executor_entry_faulty", test_executor_entry_faulty);
	g_test_add_func("/platform/executor_entry_odd", test_executor_entry_odd);
	g_test_add_func("/platform/executor_entry_cold", test_executor_entry_cold);
	g_test_add_func("/platform/job_cold_start", test_job_cold_start);
	g_test_add_func("/platform/routing", test_routing);
	g_test_add_func("/platform/routing_faulty", test_routing_faulty);
	g_test_add_func("/platform/routing_large", test_routing_large);
	g_test_add_func("/platform/job", test_job);
	g_test_add_func("/platform/job_faulty", test_job_faulty);
	g_test_add_func("/platform/job_values", test_job_values);
	g_test_add_func("/platform/job_repeated", test_job_repeated);
	g_test_add_func("/platform/store_refusals", test_store_refusals);
	g_test_add_func("/platform/permits", test_permits);
	g_test_add_func("/platform/settings_permits", test_settings_permits);
	g_test_add_func("/platform/task_names", test_task_names);
	return g_test_run();
}
