#include "settings.h"

#include <glib/gstdio.h>
#include <unistd.h>
#include <urcu.h>

static const char document[] =
	"{\"values\": {\"deadline_ms\": 2000},\n"
	" \"branches\": {\n"
	"  \"meals\": {\"values\": {\"weight\": 3, \"team\": \"kitchen\"},\n"
	"   \"branches\": {\"harvest\": {\"values\": {\"retired\": true, \"on_outage\": \"run\"},\n"
	"    \"branches\": {\"old\": {}, \"kept\": {\"values\": {\"retired\": false}}}}}},\n"
	"  \"orders\": {}}}";

static const struct waxwing_branch *branch_at(const struct waxwing_settings *settings,
					      const char *path)
{
	const struct waxwing_branch *branch = waxwing_settings_branch(settings, waxwing_str(path));

	g_assert_nonnull(branch);
	return branch;
}

static void add_seen_branch(void *context, const struct waxwing_branch *branch)
{
	struct waxwing_str parent;
	GHashTable *seen = context;

	if (waxwing_str_cut_last(branch->path, '/', &parent, NULL)) {
		char *key = waxwing_str_dup(parent);

		g_assert_true(g_hash_table_contains(seen, key));
		g_free(key);
	}
	g_hash_table_add(seen, waxwing_str_dup(branch->path));
}

static void test_inheritance(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_settings *settings =
		waxwing_settings_parse(waxwing_str(document), 7, &error);
	GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	g_assert_nonnull(settings);
	g_assert_cmpuint(branch_at(settings, "")->deadline_ms, ==, 2000);
	g_assert_cmpuint(branch_at(settings, "meals/harvest/old")->deadline_ms, ==, 2000);
	g_assert_cmpuint(branch_at(settings, "meals/harvest/old")->weight, ==, 3);
	g_assert_cmpstr(branch_at(settings, "meals/harvest/old")->team.data, ==, "kitchen");
	g_assert_true(branch_at(settings, "meals/harvest/old")->retired);
	g_assert_true(branch_at(settings, "meals/harvest/old")->run_on_outage);
	g_assert_false(branch_at(settings, "meals/harvest/kept")->retired);
	g_assert_false(branch_at(settings, "orders")->retired);
	g_assert_cmpuint(branch_at(settings, "orders")->team.len, ==, 0);
	g_assert_null(waxwing_settings_branch(settings, waxwing_str("meals/none")));
	g_assert_cmpuint(waxwing_settings_limits(settings)->json_depth, ==, 32);
	waxwing_settings_each_branch(settings, add_seen_branch, seen);
	g_assert_cmpuint(g_hash_table_size(seen), ==, 6);
	g_hash_table_destroy(seen);
	waxwing_settings_free(settings);
}

static void check_refused(const char *text, enum waxwing_error_code code, const char *path,
			  uint32_t line)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;

	g_assert_null(waxwing_settings_parse(waxwing_str(text), 1, &error));
	g_assert_cmpstr(waxwing_error_name(error.code), ==, waxwing_error_name(code));
	g_assert_cmpstr(error.path, ==, path);
	g_assert_cmpuint(error.line, ==, line);
}

static void test_refused(void)
{
	check_refused("{\"branches\": {\"m\": {\n\"values\": {\n\"on_outage\": \"run!\"}}}}",
		      WAXWING_ERROR_RANGE, "branches.m.values.on_outage", 3);
	check_refused("{\"branches\": {\"m\": {\"jobs\": {\n\"j\": {\"period_ms\": 1000}}}}}",
		      WAXWING_ERROR_MISSING, "branches.m.jobs.j.domain", 2);
	check_refused("{\"branches\": {\"m\": {\"branches\": {\"n\": {\"jobs\": {\"j\":\n"
		      "{\"domain\": \"d\", \"period_ms\": 1000,\n\"offset_ms\": 1000}}}}}}}",
		      WAXWING_ERROR_RANGE, "branches.m.branches.n.jobs.j.offset_ms", 3);
}

static void test_publish(void)
{
	struct waxwing_settings_store store = { .current = NULL };
	static const uint64_t revisions[] = { 3, 5, 4, 5, 9, 1 };
	uint64_t highest = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(revisions); i++) {
		struct waxwing_settings *settings =
			waxwing_settings_parse(waxwing_str(document), revisions[i], NULL);
		bool published = waxwing_settings_publish(&store, settings);

		g_assert_cmpint(published, ==, revisions[i] > highest);
		highest = MAX(highest, revisions[i]);
		g_assert_cmpuint(waxwing_settings_revision(waxwing_settings_read_begin(&store)), ==,
				 highest);
		waxwing_settings_read_end(&store);
	}
	g_assert_cmpuint(store.refused, ==, 3);
	waxwing_settings_free(store.current);
}

/*
 * After a platform is restored from an older copy, its revisions are lower; a higher generation
 * still gives a higher combined revision.
 */
static void test_restored_platform(void)
{
	static const char with_generation[] = "{\"limits\": {\"generation\": 1}}";
	struct waxwing_settings_store store = { .current = NULL };
	struct waxwing_settings *settings;
	uint64_t revision;

	waxwing_settings_publish(&store, waxwing_settings_parse(waxwing_str("{}"), 500, NULL));
	g_assert_false(waxwing_settings_publish(
		&store, waxwing_settings_parse(waxwing_str("{}"), 301, NULL)));
	g_assert_true(waxwing_settings_publish(
		&store, waxwing_settings_parse(waxwing_str(with_generation), 302, NULL)));
	revision = waxwing_settings_revision(store.current);
	g_assert_cmpuint(revision, <, 1ull << 53);
	/* Parsing with a combined revision, as received from a peer, gives the same revision. */
	settings = waxwing_settings_parse(waxwing_str(with_generation), revision, NULL);
	g_assert_cmpuint(waxwing_settings_revision(settings), ==, revision);
	waxwing_settings_free(settings);
	waxwing_settings_free(store.current);
}

static void write_file(const char *path, const char *text)
{
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
}

static void test_instance_file(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	char *path = g_build_filename(g_get_tmp_dir(), "waxwing-test-XXXXXX", NULL);
	Waxwing__InstanceFile *file;

	close(g_mkstemp(path));
	write_file(path, "{ // can-tho's first\n\"name\": \"can-tho-1\", \"domain\": \"can-tho\",\n"
			 "\"address\": \"127.0.0.1\", \"http_port\": 8080, \"peer_port\": 8081,\n"
			 "\"platform\": \"127.0.0.1:8500\"}");
	file = waxwing_instance_file_read(path, &error);
	g_assert_nonnull(file);
	g_assert_cmpstr(file->domain, ==, "can-tho");
	protobuf_c_message_free_unpacked(&file->base, NULL);
	write_file(path, "{\"name\": \"can-tho-1\", \"domain\": \"can-tho\",\n"
			 "\"address\": \"127.0.0.1\", \"http_port\": 8080, \"peer_port\": 8081,\n"
			 "\"platform\": \"platform.example:8500\"}");
	g_assert_null(waxwing_instance_file_read(path, &error));
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_RANGE);
	g_assert_cmpstr(error.path, ==, "platform");
	g_assert_cmpuint(error.line, ==, 3);
	write_file(path, "{\"name\": \"can-tho-1\",\n\"http_port\": 70000}");
	g_assert_null(waxwing_instance_file_read(path, &error));
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_RANGE);
	g_assert_cmpuint(error.line, ==, 2);
	unlink(path);
	g_assert_null(waxwing_instance_file_read(path, &error));
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_SYSTEM);
	g_free(path);
}

static void append_error(void *context, const struct waxwing_error *error)
{
	g_string_append_printf(context, "%u %s %s\n", error->line, error->path,
			       waxwing_error_name(error->code));
}

/* All errors are reported with path and line, also if required keys are missing as well. */
static void test_find_errors(void)
{
	static const char tree[] = "{\n\"limits\": { \"cells\": 0, \"colour\": 1 },\n"
				   "\"branches\": { \"a\": { \"values\": { \"weight\": \"x\" } },\n"
				   "\"b\": 7, \"c\": { \"values\": { \"retired\": 1 } } }\n}";
	static const char file[] = "{\n\"name\": 5,\n\"address\": \"127.0.0.1\",\n"
				   "\"http_port\": 70000\n}";
	static const char invalid_values[] =
		"{\n\"name\": \"a b\", \"domain\": \"d\",\n\"address\": \"here\",\n"
		"\"http_port\": 1, \"peer_port\": 1,\n\"platform\": \"127.0.0.1:1\",\n"
		"\"peer_listen\": \"there\"\n}";
	GString *seen = g_string_new(NULL);
	const struct waxwing_error_visitor visitor = { .on_error = append_error, .context = seen };

	g_assert_cmpuint(waxwing_settings_find_errors(waxwing_str(tree), &visitor), ==, 5);
	g_assert_cmpstr(seen->str, ==,
			"2 limits.cells range\n2 limits.colour unknown_key\n"
			"3 branches.a.values.weight type\n4 branches.b type\n"
			"4 branches.c.values.retired type\n");
	g_string_truncate(seen, 0);
	g_assert_cmpuint(waxwing_instance_file_find_errors(waxwing_str(file), &visitor), ==, 5);
	g_assert_cmpstr(seen->str, ==,
			"2 name type\n4 http_port range\n0 domain missing\n0 peer_port missing\n"
			"0 platform missing\n");
	g_string_truncate(seen, 0);
	g_assert_cmpuint(waxwing_instance_file_find_errors(waxwing_str(invalid_values), &visitor),
			 ==, 4);
	g_assert_cmpstr(seen->str, ==,
			"3 address range\n6 peer_listen range\n4 peer_port range\n2 name range\n");
	g_string_truncate(seen, 0);
	g_assert_cmpuint(waxwing_settings_find_errors(
				 waxwing_str("{ \"limits\": {}, \"limits\": {} }"), &visitor),
			 ==, 1);
	g_assert_cmpuint(waxwing_settings_find_errors(waxwing_str("{ \"limits\":"), &visitor), ==,
			 1);
	g_assert_cmpuint(waxwing_settings_find_errors(waxwing_str("{}"), &visitor), ==, 0);
	g_string_free(seen, TRUE);
}

int main(int argc, char **argv)
{
	int result;

	g_test_init(&argc, &argv, NULL);
	rcu_register_thread();
	g_test_add_func("/settings/inheritance", test_inheritance);
	g_test_add_func("/settings/refused", test_refused);
	g_test_add_func("/settings/publish", test_publish);
	g_test_add_func("/settings/restored", test_restored_platform);
	g_test_add_func("/settings/instance_file", test_instance_file);
	g_test_add_func("/settings/faults", test_find_errors);
	result = g_test_run();
	rcu_unregister_thread();
	return result;
}
