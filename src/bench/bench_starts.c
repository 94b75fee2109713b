#include "bench_starts.h"

#include "str.h"

#include <glib.h>
#include <string.h>

#define LOG_SUFFIX     ".tasks"
#define END_LINE_WORDS 5 /* "end", task name, outcome, start time and end time */

struct log_reader {
	const struct waxwing_bench_workload *workload;
	char *const *ids;
	struct waxwing_bench_task_log *starts;
};

/* Entry of the task named "ID#TASK"; null if it is not part of the run. */
static struct waxwing_bench_task_log *find_entry(const struct log_reader *reader, const char *name)
{
	const struct waxwing_bench_workload *workload = reader->workload;
	struct waxwing_str id;
	struct waxwing_str number;
	struct waxwing_str task_text;
	uint64_t job;
	uint64_t task;

	if (!waxwing_str_cut_last(waxwing_str(name), '#', &id, &task_text) ||
	    !waxwing_str_cut_last(id, '/', NULL, &number) ||
	    !waxwing_str_to_u64(number, 10, &job) || !waxwing_str_to_u64(task_text, 10, &task) ||
	    job >= workload->job_count || task >= workload->jobs[job].task_count ||
	    !reader->ids[job] || !waxwing_str_equal(id, waxwing_str(reader->ids[job])))
		return NULL;
	return &reader->starts[workload->jobs[job].first_task + task];
}

static void read_line(const struct log_reader *reader, const char *line)
{
	char **words = g_strsplit(line, " ", END_LINE_WORDS + 1);
	guint count = g_strv_length(words);
	struct waxwing_bench_task_log *entry = count > 1 ? find_entry(reader, words[1]) : NULL;

	if (entry && strcmp(words[0], "start") == 0) {
		entry->start_count++;
	} else if (entry && strcmp(words[0], "end") == 0 && count == END_LINE_WORDS) {
		entry->start_ms = g_ascii_strtoll(words[END_LINE_WORDS - 2], NULL, 10);
		entry->end_ms = g_ascii_strtoll(words[END_LINE_WORDS - 1], NULL, 10);
	}
	g_strfreev(words);
}

static void read_file(const struct log_reader *reader, const char *folder, const char *name)
{
	char *path = g_build_filename(folder, name, NULL);
	char *text = NULL;
	char **lines;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		lines = g_strsplit(text, "\n", -1);
		for (char **line = lines; *line; line++)
			read_line(reader, *line);
		g_strfreev(lines);
	}
	g_free(text);
	g_free(path);
}

struct waxwing_bench_task_log *
waxwing_bench_starts_read(const char *folder, const struct waxwing_bench_workload *workload,
			  char *const *ids, struct waxwing_error *error)
{
	struct log_reader reader = { .workload = workload, .ids = ids };
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	if (!dir) {
		waxwing_error_set(error, WAXWING_ERROR_MISSING, folder, "no such folder of logs");
		return NULL;
	}
	reader.starts = g_new0(struct waxwing_bench_task_log, workload->task_count);
	while ((name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, LOG_SUFFIX))
			read_file(&reader, folder, name);
	g_dir_close(dir);
	return reader.starts;
}
