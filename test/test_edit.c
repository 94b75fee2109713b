#include "edit.h"
#include "edit_diff.h"
#include "edit_store.h"
#include "fake_store.h"
#include "settings.h"
#include "settings_log.h"

#define MAX_CONCURRENT_EDITS 3
#define RACED_KEYS	     2

static const char document[] =
	"{ // kept with care\n"
	"\t\"branches\": {\n"
	"\t\t\"meals\": {\n"
	"\t\t\t\"values\": {\"weight\": 3 /* fair */, \"team\": \"kitchen\"}\n"
	"\t\t},\n"
	"\t\t\"a\\u00e9\": {} // odd name\n"
	"\t}\n"
	"}\n";

/* For calls whose error is not checked. */
static struct waxwing_error ignored_error;

static void no_pause(void *context, uint32_t wait_ms)
{
	(void)context;
	(void)wait_ms;
}

/* Maximum number of edits in the log; small, so that most rounds compact it. */
#define LOG_EDITS 3

static char *read_any_base(void *context, const char *key, struct waxwing_error *error)
{
	const struct fake_store *store = context;
	const char *text = g_hash_table_lookup(store->write_once, key);

	(void)error;
	if (!text)
		text = g_hash_table_lookup(store->removed, key);
	g_assert_nonnull(text);
	return g_strdup(text);
}

/* Returns the document at a revision, even if its base has been removed. */
static char *document_at(const struct fake_store *store, uint64_t revision)
{
	const struct waxwing_base_reader fetch = { read_any_base, (void *)store };
	const char *head = store->history[revision % FAKE_HISTORY];
	char *text = waxwing_settings_resolve(waxwing_str(head), waxwing_str(""), &fetch, NULL);

	g_assert_nonnull(text);
	return text;
}

static enum waxwing_error_code run_edit(struct fake_store *store, struct waxwing_edit *edit,
					const char *change, struct waxwing_error *error)
{
	const struct waxwing_edit_options options = {
		.platform = &store->base,
		.key = "settings",
		.change = change,
		.pause = no_pause,
		.max_log_edits = LOG_EDITS,
	};
	enum waxwing_error_code code = waxwing_edit_run(edit, &options, NULL, error);

	waxwing_edit_clear(edit);
	return code;
}

static char *apply_to_text(struct waxwing_edit *edit, const char *text, struct waxwing_error *error)
{
	char *changed = waxwing_edit_apply(edit, waxwing_str(text), "c1", error);

	waxwing_edit_clear(edit);
	return changed;
}

static void test_layout_preserved(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_edit edit;
	char *text;
	char *next;

	g_assert_cmpint(waxwing_edit_set(&edit, "/meals/", "weight", "5", false, &error), ==, 0);
	text = apply_to_text(&edit, document, &error);
	g_assert_cmpint(waxwing_edit_unset(&edit, "meals", "team", &error), ==, 0);
	next = apply_to_text(&edit, text, &error);
	g_free(text);
	g_assert_cmpint(waxwing_edit_set(&edit, "aé", "retired", "true", false, &error), ==, 0);
	text = apply_to_text(&edit, next, &error);
	g_free(next);
	g_assert_cmpstr(text, ==,
			"{ // kept with care\n"
			"\t\"branches\": {\n"
			"\t\t\"meals\": {\n"
			"\t\t\t\"values\": {\"weight\": 5 /* fair */}\n"
			"\t\t},\n"
			"\t\t\"a\\u00e9\": {\n"
			"\t\t\t\"values\": {\"retired\": true}\n"
			"\t\t} // odd name\n"
			"\t},\n"
			"\t\"recent_changes\": [ \"c1\", \"c1\", \"c1\" ]\n"
			"}\n");
	g_free(text);
}

static void check_refused(enum waxwing_error_code code, struct waxwing_edit *edit,
			  enum waxwing_error_code expected, const char *path)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;

	g_assert_cmpint(code, ==, WAXWING_OK);
	g_assert_null(apply_to_text(edit, document, &error));
	g_assert_cmpstr(waxwing_error_name(error.code), ==, waxwing_error_name(expected));
	g_assert_cmpstr(error.path, ==, path);
}

static void test_refused(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	char *newer;
	struct waxwing_edit edit;

	check_refused(waxwing_edit_set(&edit, "maels", "weight", "5", false, &ignored_error), &edit,
		      WAXWING_ERROR_UNKNOWN_BRANCH, "maels");
	check_refused(waxwing_edit_set(&edit, "meals", "weight", "0", false, &ignored_error), &edit,
		      WAXWING_ERROR_RANGE, "branches.meals.values.weight");
	check_refused(waxwing_edit_job(&edit, "meals", "j", waxwing_str("{\"period\": 1}"),
				       &ignored_error),
		      &edit, WAXWING_ERROR_UNKNOWN_KEY, "branches.meals.jobs.j.period");
	g_assert_cmpint(
		waxwing_edit_set(&edit, "@limits", "generation", "2", false, &ignored_error), ==,
		0);
	newer = waxwing_edit_apply(&edit, waxwing_str(document), "c", &ignored_error);
	waxwing_edit_clear(&edit);
	waxwing_edit_replace(&edit, waxwing_str(document), NULL, &ignored_error);
	g_assert_null(apply_to_text(&edit, newer, &error));
	g_assert_cmpstr(error.path, ==, "limits.generation");
	g_free(newer);
	g_assert_cmpint(waxwing_edit_set(&edit, "meals", "wait", "1", false, &ignored_error), ==,
			WAXWING_ERROR_UNKNOWN_KEY);
	g_assert_cmpint(waxwing_edit_set(&edit, "meals", "weight", "1, \"retired\": true", false,
					 &ignored_error),
			==, WAXWING_ERROR_TYPE);
	g_assert_cmpint(waxwing_edit_unset(&edit, "@team/kitchen", "name", &ignored_error), ==,
			WAXWING_ERROR_UNKNOWN_KEY);
}

static struct waxwing_settings *parse_store(const struct fake_store *store)
{
	struct waxwing_settings *settings =
		waxwing_settings_parse(waxwing_str(store->data), store->revision, NULL);

	g_assert_nonnull(settings);
	return settings;
}

/* Before the next write, another operator sets this key of "meals" to this value, once. */
static const char *other_operator_key;
static const char *other_operator_value;

static void write_as_other_operator(struct fake_store *store)
{
	char *change = g_strdup_printf("rival-%s", other_operator_value);
	struct waxwing_edit edit;

	store->before_put = NULL;
	g_assert_cmpint(waxwing_edit_set(&edit, "meals", other_operator_key, other_operator_value,
					 false, &ignored_error),
			==, WAXWING_OK);
	g_assert_cmpint(run_edit(store, &edit, change, NULL), ==, WAXWING_OK);
	g_free(change);
}

static void test_race(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_settings *settings;
	struct waxwing_edit edit;
	struct fake_store store;

	fake_store_init(&store, document);
	store.before_put = write_as_other_operator;
	other_operator_key = "deadline_ms";
	other_operator_value = "700";
	waxwing_edit_set(&edit, "meals", "weight", "5", false, &ignored_error);
	g_assert_cmpint(run_edit(&store, &edit, "one", &error), ==, WAXWING_OK);
	settings = parse_store(&store);
	g_assert_cmpuint(waxwing_settings_branch(settings, waxwing_str("meals"))->weight, ==, 5);
	g_assert_cmpuint(waxwing_settings_branch(settings, waxwing_str("meals"))->deadline_ms, ==,
			 700);
	waxwing_settings_free(settings);

	store.before_put = write_as_other_operator;
	other_operator_key = "weight";
	other_operator_value = "8";
	waxwing_edit_set(&edit, "meals", "weight", "6", false, &ignored_error);
	g_assert_cmpint(run_edit(&store, &edit, "two", &error), ==, WAXWING_ERROR_CONFLICT);
	g_assert_cmpstr(error.path, ==, "branches.meals.values.weight");
	g_assert_cmpstr(error.detail, ==,
			"another edit made it 8; it was 5 when this one to 6 began");
	fake_store_clear(&store);
}

static void test_expected(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_edit edit;
	struct fake_store store;

	fake_store_init(&store, document);
	waxwing_edit_set(&edit, "meals", "weight", "5", false, &ignored_error);
	edit.expected = g_strdup("4");
	g_assert_cmpint(run_edit(&store, &edit, "one", &error), ==, WAXWING_ERROR_CONFLICT);
	waxwing_edit_set(&edit, "meals", "weight", "5", false, &ignored_error);
	edit.expected = g_strdup("3");
	g_assert_cmpint(run_edit(&store, &edit, "two", &error), ==, WAXWING_OK);
	g_assert_cmpuint(store.writes, ==, 2);
	fake_store_clear(&store);
}

static void test_apply(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	uint64_t seen = 1;
	struct waxwing_edit edit;
	struct fake_store store;
	const char *file = "{ // from version control\n\"branches\": {\"orders\": {}}}";

	fake_store_init(&store, document);
	g_assert_cmpint(waxwing_edit_replace(&edit, waxwing_str(file), NULL, &error), ==, 0);
	g_assert_cmpint(run_edit(&store, &edit, "one", &error), ==, WAXWING_ERROR_CONFLICT);
	g_assert_cmpstr(error.path, ==, "branches.aé");
	waxwing_edit_replace(&edit, waxwing_str(file), &seen, &error);
	store.before_put = write_as_other_operator;
	other_operator_key = "weight";
	other_operator_value = "9";
	g_assert_cmpint(run_edit(&store, &edit, "two", &error), ==, WAXWING_ERROR_CONFLICT);
	g_assert_cmpstr(error.path, ==, "branches.meals.values.weight");
	waxwing_edit_replace(&edit, waxwing_str(file), &seen, &error);
	g_assert_cmpint(run_edit(&store, &edit, "three", &error), ==, WAXWING_ERROR_CONFLICT);
	seen = store.revision;
	waxwing_edit_replace(&edit, waxwing_str(file), &seen, &error);
	g_assert_cmpint(run_edit(&store, &edit, "four", &error), ==, WAXWING_OK);
	g_assert_true(g_str_has_prefix(store.data, "{ // from version control\n"));
	g_assert_nonnull(strstr(store.data, "[ \"four\", \"rival-9\" ]"));
	g_assert_cmpuint(
		waxwing_settings_diff(waxwing_str(store.data), waxwing_str(file), NULL, NULL), ==,
		0);
	fake_store_clear(&store);
}

/*
 * Concurrent edits by several operators with store faults: before_put starts another
 * edit while one is being written.
 */
struct race {
	struct fake_store store;
	int waiting; /* number of edits not started yet */
	uint32_t accepted;
	uint32_t depth; /* number of edits in progress */
};

static struct race race;
static const char *const raced_keys[RACED_KEYS] = { "weight", "deadline_ms" };

static bool has_text(const struct fake_store *store, uint64_t revision, const char *what)
{
	char *text = document_at(store, revision);
	bool found = strstr(text, what) != NULL;

	g_free(text);
	return found;
}

static uint32_t raced_value(const struct fake_store *store, uint64_t revision, int key)
{
	char *text = document_at(store, revision);
	struct waxwing_settings *settings = waxwing_settings_parse(waxwing_str(text), 1, NULL);
	const struct waxwing_branch *meals =
		waxwing_settings_branch(settings, waxwing_str("meals"));
	uint32_t value = key == 0 ? meals->weight : meals->deadline_ms;

	waxwing_settings_free(settings);
	g_free(text);
	return value;
}

/* Checks that the write with @change set @value and that the value before was @seen or @value. */
static void check_replaced(const struct fake_store *store, const char *change, int key,
			   uint32_t seen, uint32_t value)
{
	for (uint64_t revision = 2; revision <= store->revision; revision++) {
		uint32_t replaced;

		if (!has_text(store, revision, change))
			continue;
		replaced = raced_value(store, revision - 1, key);
		g_assert_true(replaced == seen || replaced == value);
		g_assert_cmpuint(raced_value(store, revision, key), ==, value);
		return;
	}
	g_assert_not_reached();
}

static void run_raced_edit(struct fake_store *store)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_edit edit;
	int number = race.waiting;
	int key = g_test_rand_int_range(0, RACED_KEYS);
	char *value = g_strdup_printf("%d", number * 100 + 7);
	char *change = g_strdup_printf("change-%d", number);
	enum waxwing_error_code code;

	uint32_t seen = raced_value(store, store->revision, key);

	race.waiting--;
	race.depth++;
	waxwing_edit_set(&edit, "meals", raced_keys[key], value, false, &ignored_error);
	if (has_text(store, store->revision, raced_keys[key]))
		edit.expected = g_strdup_printf("%u", seen);
	else
		edit.expected = g_strdup("");
	code = run_edit(store, &edit, change, &error);
	race.depth--;
	if (code == WAXWING_OK) {
		race.accepted++;
		check_replaced(store, change, key, seen, (uint32_t)(number * 100 + 7));
	} else if (code != WAXWING_ERROR_TIMEOUT) {
		/* The edit must not take effect, neither now nor by a delayed write. */
		g_assert_true(code == WAXWING_ERROR_CONFLICT ||
			      code == WAXWING_ERROR_PLATFORM_DOWN ||
			      code == WAXWING_ERROR_PLATFORM_ANSWER);
		fake_apply_delayed_write(store);
		g_assert_false(has_text(store, store->revision, change));
	}
	g_free(value);
	g_free(change);
}

static void start_raced_edit(struct fake_store *store)
{
	if (race.waiting && race.depth < MAX_CONCURRENT_EDITS && fake_random_percent(40))
		run_raced_edit(store);
}

/*
 * Checks that each document can be resolved from the one before it and the head, without the
 * base.
 */
static void check_incremental_resolve(const struct fake_store *store)
{
	char *have = document_at(store, 1);

	for (uint64_t revision = 2; revision <= store->revision; revision++) {
		const char *head = store->history[revision];
		char *expected = document_at(store, revision);
		char *text =
			waxwing_settings_resolve(waxwing_str(head), waxwing_str(have), NULL, NULL);

		g_assert_cmpstr(text, ==, expected);
		g_free(have);
		g_free(text);
		have = expected;
	}
	g_free(have);
}

static void run_race(const char *start)
{
	struct waxwing_settings *settings;
	char *last;

	race = (struct race){ .waiting = 8 };
	fake_store_init(&race.store, start);
	race.store.before_put = start_raced_edit;
	race.store.down_percent = g_test_rand_int_range(0, 30);
	race.store.request_lost_percent = g_test_rand_int_range(0, 20);
	race.store.response_lost_percent = g_test_rand_int_range(0, 20);
	race.store.delayed_percent = g_test_rand_int_range(0, 20);
	race.store.read_timeout_percent = g_test_rand_int_range(0, 10);
	race.store.stale_percent = g_test_rand_int_range(0, 30);
	while (race.waiting)
		run_raced_edit(&race.store);
	fake_apply_delayed_write(&race.store);
	last = document_at(&race.store, race.store.revision);
	for (int number = 1; number <= 8; number++) {
		char *change = g_strdup_printf("\"change-%d\"", number);
		const char *first = strstr(last, change);

		g_assert_true(!first || !strstr(first + 1, change));
		g_free(change);
	}
	settings = waxwing_settings_parse(waxwing_str(last), 1, NULL);
	g_assert_nonnull(settings);
	waxwing_settings_free(settings);
	check_incremental_resolve(&race.store);
	g_free(last);
}

/* No accepted edit is lost, no rejected one is written, and each is written at most once. */
static void test_race_with_faults(void)
{
	uint32_t accepted = 0;

	for (int round = 0; round < 400; round++) {
		run_race(document);
		accepted += race.accepted;
		waxwing_settings_free(parse_store(&race.store));
		fake_store_clear(&race.store);
	}
	g_assert_cmpuint(accepted, >, 800);
}

/* Returns a document too large to be stored in the settings key as it is. */
static char *large_document(void)
{
	char *padding = g_strnfill(WAXWING_PLAIN_MAX_BYTES, 'x');
	char *large = g_strdup_printf("// %s\n%s", padding, document);

	g_free(padding);
	return large;
}

/* Checks that the base of the current head exists. */
static void check_bases(struct fake_store *store)
{
	struct waxwing_document_copy copy;

	store->down_percent = store->read_timeout_percent = store->stale_percent = 0;
	g_assert_cmpint(waxwing_document_read(&store->base, "settings", &copy, NULL), ==,
			WAXWING_OK);
	waxwing_document_clear(&copy);
}

/*
 * As test_race_with_faults(), with a document stored as a base and a log, including compaction of
 * the log.
 */
static void test_race_with_faults_log(void)
{
	char *large = large_document();
	uint32_t accepted = 0;
	uint32_t bases = 0;

	for (int round = 0; round < 150; round++) {
		run_race(large);
		accepted += race.accepted;
		bases += g_hash_table_size(race.store.write_once) +
			 g_hash_table_size(race.store.removed);
		check_bases(&race.store);
		fake_store_clear(&race.store);
	}
	g_assert_cmpuint(accepted, >, 300);
	g_assert_cmpuint(bases, >, 300);
	g_free(large);
}

/* Without faults the head stays small, and at most one base beside the current one is left over. */
static void test_log_bases(void)
{
	char *large = large_document();
	struct fake_store store;

	fake_store_init(&store, large);
	for (int i = 0; i < 20; i++) {
		char *value = g_strdup_printf("%d", i + 10);
		char *change = g_strdup_printf("c%d", i);
		struct waxwing_edit edit;

		waxwing_edit_set(&edit, "meals", "weight", value, false, &ignored_error);
		g_assert_cmpint(run_edit(&store, &edit, change, NULL), ==, WAXWING_OK);
		g_assert_cmpuint(strlen(store.data), <, 2048);
		g_assert_cmpuint(g_hash_table_size(store.write_once), <=, 2);
		g_free(value);
		g_free(change);
	}
	check_incremental_resolve(&store);
	g_assert_cmpuint(raced_value(&store, store.revision, 0), ==, 29);
	fake_store_clear(&store);
	g_free(large);
}

/*
 * A corrupted head resolves to the editor's document or fails; it never gives a different
 * document.
 */
static void test_corrupted_heads(void)
{
	char *large = large_document();
	struct waxwing_base_reader fetch = { .read = read_any_base };
	struct waxwing_edit edit;
	struct fake_store store;
	char *expected;
	size_t resolved = 0;

	fake_store_init(&store, large);
	for (int i = 0; i < 2; i++) {
		waxwing_edit_set(&edit, "meals", raced_keys[i], "17", false, &ignored_error);
		g_assert_cmpint(run_edit(&store, &edit, i ? "c1" : "c0", NULL), ==, WAXWING_OK);
	}
	expected = document_at(&store, store.revision);
	fetch.context = &store;
	for (int round = 0; round < 3000; round++) {
		char *head = g_strdup(store.data);
		char *base = strstr(head, "bases/");
		size_t at = (size_t)g_test_rand_int_range(1, (int)strlen(head));
		const char *have = round % 2 ? large : expected;
		char *text;

		if (at < (size_t)(base - head) || at > (size_t)(base - head) + 60)
			head[at] = (char)g_test_rand_int_range(1, 128);
		text = waxwing_settings_resolve(waxwing_str(head), waxwing_str(have), &fetch,
						&ignored_error);
		if (text && waxwing_settings_is_head(waxwing_str(head)))
			g_assert_cmpstr(text, ==, expected);
		resolved += text != NULL;
		g_free(text);
		g_free(head);
	}
	g_assert_cmpuint(resolved, >, 100);
	fake_store_clear(&store);
	g_free(expected);
	g_free(large);
}

static void test_outage(void)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_edit edit;
	struct fake_store store;

	fake_store_init(&store, document);
	store.down_percent = 100;
	waxwing_edit_set(&edit, "meals", "weight", "5", false, &ignored_error);
	g_assert_cmpint(run_edit(&store, &edit, "one", &error), ==, WAXWING_ERROR_PLATFORM_DOWN);
	store.down_percent = 0;
	/* Reads without a response change nothing, so the outcome is not ambiguous. */
	store.read_timeout_percent = 100;
	waxwing_edit_set(&edit, "meals", "weight", "5", false, &ignored_error);
	g_assert_cmpint(run_edit(&store, &edit, "slow", &error), ==, WAXWING_ERROR_PLATFORM_DOWN);
	store.read_timeout_percent = 0;
	store.request_lost_percent = 100;
	waxwing_edit_set(&edit, "meals", "weight", "5", false, &ignored_error);
	g_assert_cmpint(run_edit(&store, &edit, "two", &error), ==, WAXWING_ERROR_TIMEOUT);
	store.request_lost_percent = 0;
	store.response_lost_percent = 100;
	waxwing_edit_set(&edit, "meals", "weight", "5", false, &ignored_error);
	g_assert_cmpint(run_edit(&store, &edit, "three", &error), ==, WAXWING_OK);
	g_assert_cmpuint(store.writes, ==, 2);
	fake_store_clear(&store);
}

static void append_difference(void *context, const struct waxwing_difference *difference)
{
	g_string_append_printf(context, "%s: %s -> %s\n", difference->path,
			       difference->before ? difference->before : "unset",
			       difference->after ? difference->after : "unset");
}

static void test_diff(void)
{
	GString *out = g_string_new(NULL);
	const char *after =
		"{\"values\": {\"retired\": true}, \"branches\": {\"meals\": {\"values\":"
		"{\"weight\": 4, \"team\": \"kitchen\"}}, \"aé\": {\"jobs\": {}}},"
		"\"recent_changes\": [\"x\"]}";

	g_assert_cmpuint(waxwing_settings_diff(waxwing_str(document), waxwing_str(after),
					       append_difference, out),
			 ==, 3);
	g_assert_cmpstr(out->str, ==,
			"branches.aé.jobs: unset -> {}\n"
			"branches.meals.values.weight: 3 -> 4\n"
			"values.retired: unset -> true\n");
	g_string_free(out, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/edit/comments_stay", test_layout_preserved);
	g_test_add_func("/edit/refused", test_refused);
	g_test_add_func("/edit/race", test_race);
	g_test_add_func("/edit/expected", test_expected);
	g_test_add_func("/edit/apply", test_apply);
	g_test_add_func("/edit/race_with_faults", test_race_with_faults);
	g_test_add_func("/edit/race_with_faults_log", test_race_with_faults_log);
	g_test_add_func("/edit/mutated_heads", test_corrupted_heads);
	g_test_add_func("/edit/log_bases", test_log_bases);
	g_test_add_func("/edit/outage", test_outage);
	g_test_add_func("/edit/diff", test_diff);
	return g_test_run();
}
