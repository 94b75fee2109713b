#include "ctl.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

/* What happened around a job is told from so long before its first line to so long after its last. */
#define AROUND_MS 1500

/* One line of a log. */
struct line {
	int64_t ms; /* since 1970 */
	struct json_object *fields;
	size_t order;
};

static void line_free(gpointer value)
{
	struct line *line = value;

	json_object_put(line->fields);
	g_free(line);
}

static int compare_lines(gconstpointer a, gconstpointer b)
{
	const struct line *left = *(struct line *const *)a;
	const struct line *right = *(struct line *const *)b;

	if (left->ms != right->ms)
		return left->ms < right->ms ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

static const char *field(const struct line *line, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(line->fields, name, &value))
		return "";
	return json_object_get_string(value);
}

/* Logs may have something before the object: a time, the name of a machine. */
static void add_line(GPtrArray *lines, const char *text)
{
	const char *start = strchr(text, '{');
	struct json_object *fields = start ? json_tokener_parse(start) : NULL;
	struct json_object *ms;
	struct line *line;

	if (!json_object_is_type(fields, json_type_object) ||
	    !json_object_object_get_ex(fields, "ms", &ms)) {
		json_object_put(fields);
		return;
	}
	line = g_new0(struct line, 1);
	line->ms = json_object_get_int64(ms);
	line->fields = fields;
	line->order = lines->len;
	g_ptr_array_add(lines, line);
}

static bool read_lines(GPtrArray *lines, const char *path)
{
	char *text = waxwing_ctl_read_file(path);
	char **rows;

	if (!text)
		return false;
	rows = g_strsplit(text, "\n", -1);
	for (size_t i = 0; rows[i]; i++)
		add_line(lines, rows[i]);
	g_strfreev(rows);
	g_free(text);
	return true;
}

static bool is_of_job(const struct line *line, const char *job)
{
	return strcmp(field(line, "job"), job) == 0;
}

/* Changes of a cell's owner, a lost store, executors that fall silent: what decides beside the job. */
static bool is_around(const struct line *line, GHashTable *named)
{
	static const char *const kinds[] = { "cell_taken",    "cell_given_up",	 "cell_fenced",
					     "store_lost",    "store_regained",	 "issuer_silent",
					     "leases_out",    "executor_silent", "executor_back",
					     "executor_gone", "stalled",	 "started",
					     "stopping",      "stopped" };

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (strcmp(field(line, "event"), kinds[i]) == 0)
			return g_hash_table_contains(named, field(line, "cell")) ||
			       g_hash_table_contains(named, field(line, "executor")) ||
			       g_hash_table_contains(named, field(line, "node"));
	return false;
}

/* Cells, executors and nodes that the job's own lines name. */
static GHashTable *names_of(GPtrArray *lines, const char *job, int64_t *first_ms, int64_t *last_ms)
{
	static const char *const keys[] = { "cell", "from", "to", "executor", "node" };
	GHashTable *named = g_hash_table_new(g_str_hash, g_str_equal);

	*first_ms = 0;
	for (guint i = 0; i < lines->len; i++) {
		struct line *line = lines->pdata[i];

		if (!is_of_job(line, job))
			continue;
		if (!*first_ms)
			*first_ms = line->ms;
		*last_ms = line->ms;
		for (size_t k = 0; k < G_N_ELEMENTS(keys); k++)
			if (*field(line, keys[k]))
				g_hash_table_add(named, (gpointer)field(line, keys[k]));
	}
	return named;
}

static void print_line(const struct line *line, int64_t first_ms, bool own)
{
	static const char *const left_out[] = { "ms", "event", "node", "zone", "job" };

	printf("%+6lld ms %c %-16s %-18s", (long long)(line->ms - first_ms), own ? '*' : ' ',
	       field(line, "node"), field(line, "event"));
	json_object_object_foreach(line->fields, key, value)
	{
		bool shown = true;

		for (size_t i = 0; i < G_N_ELEMENTS(left_out); i++)
			shown &= strcmp(key, left_out[i]) != 0;
		if (shown)
			printf(" %s=%s", key, json_object_get_string(value));
	}
	printf("\n");
}

static enum waxwing_ctl_exit tell(GPtrArray *lines, const char *job)
{
	int64_t first_ms;
	int64_t last_ms = 0;
	GHashTable *named = names_of(lines, job, &first_ms, &last_ms);

	if (!first_ms) {
		fprintf(stderr, "waxwingctl: no line of job %s\n", job);
		g_hash_table_destroy(named);
		return WAXWING_CTL_REFUSED;
	}
	for (guint i = 0; i < lines->len; i++) {
		const struct line *line = lines->pdata[i];
		bool own = is_of_job(line, job);

		if (line->ms < first_ms - AROUND_MS || line->ms > last_ms + AROUND_MS)
			continue;
		if (own || is_around(line, named))
			print_line(line, first_ms, own);
	}
	g_hash_table_destroy(named);
	return WAXWING_CTL_DONE;
}

enum waxwing_ctl_exit waxwing_ctl_story(const char *job, char *const *files, size_t count)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(line_free);
	enum waxwing_ctl_exit code = WAXWING_CTL_REFUSED;
	bool read = true;

	for (size_t i = 0; i < count && read; i++)
		read = read_lines(lines, files[i]);
	if (read) {
		g_ptr_array_sort(lines, compare_lines);
		code = tell(lines, job);
	}
	g_ptr_array_free(lines, TRUE);
	return code;
}
