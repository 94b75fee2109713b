#include "binding.h"
#include "generated/api.pb-c.h"
#include "generated/settings.pb-c.h"
#include "settings.h"

static const struct waxwing_binding_options settings_options = {
	.ranges = waxwing_settings_ranges,
};

static const char tree_text[] =
	"{ // the whole tree\n"
	"  \"values\": {\"deadline_ms\": 2000, \"on_outage\": \"hold\"},\n"
	"  \"teams\": {\"kitchen\": {\"slots\": 40}},\n"
	"  /* meals\n     and headcounts */\n"
	"  \"branches\": {\n"
	"    \"meals\": {\n"
	"      \"values\": {\"weight\": 3, \"retired\": false},\n"
	"      \"branches\": {\"harvest 2019\": {\"values\": {\"retired\": true}}},\n"
	"      \"jobs\": {\"remind\": {\"domain\": \"can-tho\", \"period_ms\": 60000,\n"
	"        \"tasks\": {\"one\": {\"body\": \"a \\\"b\\\" \\u00e9\\n\"}}}}\n"
	"    }\n"
	"  },\n"
	"  \"recent_changes\": [\"c1\", \"c2\"]\n"
	"}\n";

static ProtobufCMessage *parse_tree(const char *text, struct waxwing_error *error)
{
	return waxwing_binding_parse(&waxwing__tree__descriptor, waxwing_str(text),
				     &settings_options, error);
}

static void check_tree(const Waxwing__Tree *tree)
{
	const Waxwing__Branch *meals = tree->branches[0];

	g_assert_cmpuint(tree->n_branches, ==, 1);
	g_assert_cmpstr(meals->name, ==, "meals");
	g_assert_cmpuint(meals->values->weight, ==, 3);
	g_assert_true(meals->values->has_retired);
	g_assert_false(meals->values->has_deadline_ms);
	g_assert_cmpstr(meals->branches[0]->name, ==, "harvest 2019");
	g_assert_cmpstr(meals->jobs[0]->tasks[0]->body, ==, "a \"b\" \xc3\xa9\n");
	g_assert_cmpuint(tree->teams[0]->slots, ==, 40);
	g_assert_cmpuint(tree->n_recent_changes, ==, 2);
	g_assert_cmpstr(tree->recent_changes[1], ==, "c2");
}

static void test_round_trip(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	ProtobufCMessage *message = parse_tree(tree_text, &error);

	for (int pretty = 0; pretty < 2; pretty++) {
		char *text;

		g_assert_nonnull(message);
		check_tree((Waxwing__Tree *)message);
		text = waxwing_binding_print(message, pretty);
		protobuf_c_message_free_unpacked(message, NULL);
		message = parse_tree(text, &error);
		g_free(text);
	}
	check_tree((Waxwing__Tree *)message);
	protobuf_c_message_free_unpacked(message, NULL);
}

struct invalid_document {
	const char *text;
	const char *path;
	enum waxwing_error_code code;
	uint32_t line;
};

static const struct invalid_document invalid_trees[] = {
	{ "{\n\"weight\": 3}", "weight", WAXWING_ERROR_UNKNOWN_KEY, 2 },
	{ "{\"branches\": {\n\"m\": {\n// x: {\n\"values\": {\"weight\": 0}}}}",
	  "branches.m.values.weight", WAXWING_ERROR_RANGE, 4 },
	{ "{\"branches\": {\"m\": {\"values\": {\"weight\":\n\"3\"}}}}", "branches.m.values.weight",
	  WAXWING_ERROR_TYPE, 1 },
	{ "{\"branches\": {\"m\": {\"values\": {\"weight\": 3.5}}}}", "branches.m.values.weight",
	  WAXWING_ERROR_TYPE, 1 },
	{ "{\"values\": {\"weight\": -3}}", "values.weight", WAXWING_ERROR_RANGE, 1 },
	{ "{\"values\": {\"weight\": 99999999999999999999}}", "values.weight", WAXWING_ERROR_RANGE,
	  1 },
	{ "{\"values\": {\"retired\": 1}}", "values.retired", WAXWING_ERROR_TYPE, 1 },
	{ "{\"values\": {\"team\": null}}", "values.team", WAXWING_ERROR_TYPE, 1 },
	{ "{\"values\": {\"team\": \"a\\u0000b\"}}", "values.team", WAXWING_ERROR_TYPE, 1 },
	{ "{\"values\":\n{\"weight\\u0000\": 5}}", "", WAXWING_ERROR_SYNTAX, 0 },
	{ "{\"branches\": []}", "branches", WAXWING_ERROR_TYPE, 1 },
	{ "{\"branches\": {\"a/b\": {}}}", "branches.a/b", WAXWING_ERROR_RANGE, 1 },
	{ "{\"branches\": {\"\": {}}}", "branches.", WAXWING_ERROR_RANGE, 1 },
	{ "{\"branches\": {\"a\": {\"name\": \"b\"}}}", "branches.a.name",
	  WAXWING_ERROR_UNKNOWN_KEY, 1 },
	{ "{\"branches\": {\"a\": {},\n \"a\": {}}}", "branches.a", WAXWING_ERROR_SYNTAX, 2 },
	{ "{\"values\": {\"weight\": 1, \"weight\": 1}}", "values.weight", WAXWING_ERROR_SYNTAX,
	  1 },
	{ "{\"recent_changes\": [\"a\",\n7]}", "recent_changes[1]", WAXWING_ERROR_TYPE, 2 },
	{ "{\n\n\"values\": {", "", WAXWING_ERROR_SYNTAX, 3 },
	{ "{\n\"values\" {}}", "", WAXWING_ERROR_SYNTAX, 2 },
	{ "{}\n{}", "", WAXWING_ERROR_SYNTAX, 2 },
	{ "", "", WAXWING_ERROR_SYNTAX, 1 },
	{ "null\n", "", WAXWING_ERROR_TYPE, 1 },
	{ "[]", "", WAXWING_ERROR_TYPE, 0 },
	{ "{\"values\": {\"team\": \"\xff\"}}", "", WAXWING_ERROR_SYNTAX, 1 },
};

static const struct invalid_document invalid_requests[] = {
	{ "{\"id\": \"w/1\", \"caller\": \"c\",\n\"tasks\": []}", "branch", WAXWING_ERROR_MISSING,
	  0 },
	{ "{\"id\": \"w/1\", \"caller\": \"c\", \"branch\": \"b\",\n\"tasks\": [{},\n{\"body\": 7}]}",
	  "tasks[1].body", WAXWING_ERROR_TYPE, 3 },
	{ "{\"id\": \"w/1\", \"caller\": \"c\", \"branch\": \"b\", \"tasks\": {}}", "tasks",
	  WAXWING_ERROR_TYPE, 1 },
	{ "{\"id\": [[[[[[[[1]]]]]]]]}", "", WAXWING_ERROR_TOO_DEEP, 1 },
};

static void check_rejected(const ProtobufCMessageDescriptor *type,
			   const struct invalid_document *document,
			   const struct waxwing_binding_options *options)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;

	g_test_message("%s", document->text);
	g_assert_null(waxwing_binding_parse(type, waxwing_str(document->text), options, &error));
	g_assert_cmpstr(waxwing_error_name(error.code), ==, waxwing_error_name(document->code));
	g_assert_cmpstr(error.path, ==, document->path);
	g_assert_cmpuint(error.line, ==, document->line);
	g_assert_null(waxwing_binding_parse(type, waxwing_str(document->text), options, NULL));
}

static void test_invalid_documents(void)
{
	const struct waxwing_binding_options shallow = { .max_depth = 6 };

	for (size_t i = 0; i < G_N_ELEMENTS(invalid_trees); i++)
		check_rejected(&waxwing__tree__descriptor, &invalid_trees[i], &settings_options);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_requests); i++)
		check_rejected(&waxwing__job_request__descriptor, &invalid_requests[i], &shallow);
}

static void test_request(void)
{
	const char *text = "{'id': 'w/1', 'caller': 'c', 'branch': 'b',"
			   " 'tasks': [{'body': ''}, {'declared_ms': 4294967295}, {}]}";
	struct waxwing_error error = WAXWING_ERROR_INIT;
	Waxwing__JobRequest *request = (Waxwing__JobRequest *)waxwing_binding_parse(
		&waxwing__job_request__descriptor, waxwing_str(text), NULL, &error);
	char *printed;

	g_assert_nonnull(request);
	g_assert_cmpuint(request->n_tasks, ==, 3);
	g_assert_cmpstr(request->tasks[0]->body, ==, "");
	g_assert_cmpuint(request->tasks[1]->declared_ms, ==, UINT32_MAX);
	g_assert_null(request->tasks[2]->body);
	printed = waxwing_binding_print(&request->base, false);
	g_assert_cmpstr(printed, ==,
			"{\"id\":\"w/1\",\"caller\":\"c\",\"branch\":\"b\",\"tasks\":["
			"{\"body\":\"\"},{\"declared_ms\":4294967295},{}]}");
	g_free(printed);
	protobuf_c_message_free_unpacked(&request->base, NULL);
}

static void mutate(GString *text)
{
	static const char bytes[] = "{}[]\"':,/*\\u0\n-9e.tn \xff";
	int edits = g_test_rand_int_range(1, 6);

	while (edits--) {
		gssize at = g_test_rand_int_range(0, (gint32)text->len);
		gssize length = g_test_rand_int_range(1, 12);

		switch (g_test_rand_int_range(0, 4)) {
		case 0:
			text->str[at] = bytes[g_test_rand_int_range(0, sizeof(bytes))];
			break;
		case 1:
			g_string_insert_c(text, at, bytes[g_test_rand_int_range(0, sizeof(bytes))]);
			break;
		case 2:
			g_string_erase(text, at, MIN(length, (gssize)text->len - at));
			break;
		default: {
			char *copy = g_strndup(text->str + at, (gsize)length);

			g_string_insert(text, g_test_rand_int_range(0, (gint32)text->len), copy);
			g_free(copy);
		}
		}
		if (!text->len)
			g_string_append_c(text, '{');
	}
}

/*
 * Randomly corrupted text either parses, and then survives printing and parsing, or gives an
 * error code.
 */
static void test_mutated(void)
{
	uint32_t accepted = 0;

	for (int round = 0; round < 20000; round++) {
		struct waxwing_error error = WAXWING_ERROR_INIT;
		GString *text = g_string_new(tree_text);
		ProtobufCMessage *message;

		mutate(text);
		message = waxwing_binding_parse(&waxwing__tree__descriptor,
						(struct waxwing_str){ text->len, text->str },
						&settings_options, &error);
		if (message) {
			char *first = waxwing_binding_print(message, true);
			ProtobufCMessage *reparsed = parse_tree(first, &error);
			char *second;

			g_assert_nonnull(reparsed);
			second = waxwing_binding_print(reparsed, true);
			g_assert_cmpstr(first, ==, second);
			g_free(first);
			g_free(second);
			protobuf_c_message_free_unpacked(message, NULL);
			protobuf_c_message_free_unpacked(reparsed, NULL);
			accepted++;
		} else {
			g_assert_cmpint(error.code, !=, WAXWING_OK);
			g_assert_true(waxwing_error_is_not_run(error.code));
		}
		g_string_free(text, TRUE);
	}
	g_assert_cmpuint(accepted, >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/binding/both_ways", test_round_trip);
	g_test_add_func("/binding/refusals", test_invalid_documents);
	g_test_add_func("/binding/request", test_request);
	g_test_add_func("/binding/mutated", test_mutated);
	return g_test_run();
}
