#include "ctl.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

/* Related events are printed from this long before the job's first event to this after its last. */
#define CONTEXT_MS 1500

struct log_record {
	int64_t ms; /* since the Unix epoch */
	struct json_object *fields;
	size_t order; /* position in the input, for events of the same time */
};

static void log_record_free(gpointer value)
{
	struct log_record *record = value;

	json_object_put(record->fields);
	g_free(record);
}

static int compare_records(gconstpointer a, gconstpointer b)
{
	const struct log_record *left = *(struct log_record *const *)a;
	const struct log_record *right = *(struct log_record *const *)b;

	if (left->ms != right->ms)
		return left->ms < right->ms ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

static const char *get_field(const struct log_record *record, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(record->fields, name, &value))
		return "";
	return json_object_get_string(value);
}

/* Parses a line; log collectors may put a time or a host name before the JSON object. */
static void add_record(GPtrArray *records, const char *text)
{
	const char *start = strchr(text, '{');
	struct json_object *fields = start ? json_tokener_parse(start) : NULL;
	struct json_object *ms;
	struct log_record *record;

	if (!json_object_is_type(fields, json_type_object) ||
	    !json_object_object_get_ex(fields, "ms", &ms)) {
		json_object_put(fields);
		return;
	}
	record = g_new0(struct log_record, 1);
	record->ms = json_object_get_int64(ms);
	record->fields = fields;
	record->order = records->len;
	g_ptr_array_add(records, record);
}

static bool read_records(GPtrArray *records, const char *path)
{
	char *text = waxwing_ctl_read_file(path);
	char **lines;

	if (!text)
		return false;
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i]; i++)
		add_record(records, lines[i]);
	g_strfreev(lines);
	g_free(text);
	return true;
}

static bool is_of_job(const struct log_record *record, const char *job)
{
	return strcmp(get_field(record, "job"), job) == 0;
}

/*
 * Returns true if the event may explain what happened to the job: it is a change of a cell's owner,
 * loss of the store, an evacuation, an unresponsive issuer or executor, or a stall or restart of a
 * node, and its cell, executor or node is in @names.
 */
static bool is_context_event(const struct log_record *record, GHashTable *names)
{
	static const char *const events[] = {
		"cell_taken",	  "cell_given_up", "cell_fenced",      "store_lost",
		"store_regained", "issuer_silent", "leases_out",       "executor_silent",
		"executor_back",  "executor_gone", "stalled",	       "started",
		"stopping",	  "stopped",	   "evacuation_begun", "evacuation_ended"
	};

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		if (strcmp(get_field(record, "event"), events[i]) == 0)
			return g_hash_table_contains(names, get_field(record, "cell")) ||
			       g_hash_table_contains(names, get_field(record, "executor")) ||
			       g_hash_table_contains(names, get_field(record, "node"));
	return false;
}

/*
 * Returns the cells, executors and nodes that the job's events name. Sets the times of the first
 * and the last event; without events *@first_ms is 0 and *@last_ms is unchanged.
 */
static GHashTable *collect_names(GPtrArray *records, const char *job, int64_t *first_ms,
				 int64_t *last_ms)
{
	static const char *const keys[] = { "cell", "from", "to", "executor", "node" };
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	*first_ms = 0;
	for (guint i = 0; i < records->len; i++) {
		struct log_record *record = records->pdata[i];

		if (!is_of_job(record, job))
			continue;
		if (!*first_ms)
			*first_ms = record->ms;
		*last_ms = record->ms;
		for (size_t k = 0; k < G_N_ELEMENTS(keys); k++)
			if (*get_field(record, keys[k]))
				g_hash_table_add(names, (gpointer)get_field(record, keys[k]));
	}
	return names;
}

static void print_record(const struct log_record *record, int64_t first_ms, bool of_job)
{
	static const char *const omitted[] = { "ms", "event", "node", "zone", "job" };

	printf("%+6lld ms %c %-16s %-18s", (long long)(record->ms - first_ms), of_job ? '*' : ' ',
	       get_field(record, "node"), get_field(record, "event"));
	json_object_object_foreach(record->fields, key, value)
	{
		bool shown = true;

		for (size_t i = 0; i < G_N_ELEMENTS(omitted); i++)
			shown &= strcmp(key, omitted[i]) != 0;
		if (shown)
			printf(" %s=%s", key, json_object_get_string(value));
	}
	printf("\n");
}

static enum waxwing_ctl_exit print_job_records(GPtrArray *records, const char *job)
{
	int64_t first_ms;
	int64_t last_ms = 0;
	GHashTable *names = collect_names(records, job, &first_ms, &last_ms);

	if (!first_ms) {
		fprintf(stderr, "waxwingctl: no line of job %s\n", job);
		g_hash_table_destroy(names);
		return WAXWING_CTL_REFUSED;
	}
	for (guint i = 0; i < records->len; i++) {
		const struct log_record *record = records->pdata[i];
		bool of_job = is_of_job(record, job);

		if (record->ms < first_ms - CONTEXT_MS || record->ms > last_ms + CONTEXT_MS)
			continue;
		if (of_job || is_context_event(record, names))
			print_record(record, first_ms, of_job);
	}
	g_hash_table_destroy(names);
	return WAXWING_CTL_DONE;
}

enum waxwing_ctl_exit waxwing_ctl_story(const char *job, char *const *files, size_t count)
{
	GPtrArray *records = g_ptr_array_new_with_free_func(log_record_free);
	enum waxwing_ctl_exit code = WAXWING_CTL_REFUSED;
	bool loaded = true;

	for (size_t i = 0; i < count && loaded; i++)
		loaded = read_records(records, files[i]);
	if (loaded) {
		g_ptr_array_sort(records, compare_records);
		code = print_job_records(records, job);
	}
	g_ptr_array_free(records, TRUE);
	return code;
}
