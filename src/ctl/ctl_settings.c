#include "ctl.h"

#include "ctl_table.h"
#include "edit_diff.h"
#include "edit_store.h"
#include "edit_text.h"
#include "settings_explain.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>

struct waxwing_settings *waxwing_ctl_read_settings(struct waxwing_ctl *ctl,
						   enum waxwing_ctl_exit *code)
{
	struct waxwing_platform *platform = waxwing_ctl_platform(ctl);
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_settings *settings;
	struct waxwing_document_copy copy;
	struct waxwing_str document;

	*code = WAXWING_CTL_UNREACHABLE;
	if (!platform)
		return NULL;
	if (waxwing_document_read(platform, ctl->key, &copy, &error) != WAXWING_OK) {
		waxwing_ctl_report_error(ctl->platform_address, &error);
		return NULL;
	}
	document = copy.len ? (struct waxwing_str){ copy.len, copy.document } : waxwing_str("{}");
	settings = waxwing_settings_parse(document, copy.revision, &error);
	if (!settings)
		*code = waxwing_ctl_report_error(ctl->key, &error);
	waxwing_document_clear(&copy);
	return settings;
}

/* Values of a branch */

struct value_printer {
	const struct waxwing_ctl *ctl;
	struct waxwing_table *table;
	json_object *json;
};

static void add_value(void *context, const struct waxwing_explained *explained)
{
	struct value_printer *printer = context;
	char *source = explained->is_set ? waxwing_str_dup(explained->source) : g_strdup("default");
	json_object *value = json_object_new_object();

	if (!*source) {
		g_free(source);
		source = g_strdup("/");
	}
	json_object_object_add(value, "value", waxwing_text_parse(waxwing_str(explained->value)));
	json_object_object_add(value, "from", json_object_new_string(source));
	json_object_object_add(printer->json, explained->key, value);
	waxwing_table_add_cell(printer->table, "%s", explained->key);
	waxwing_table_add_cell(printer->table, "%s", explained->value);
	if (printer->ctl->explain)
		waxwing_table_add_cell(printer->table, "%s", source);
	g_free(source);
}

static void print_values(struct value_printer *printer, const struct waxwing_settings *settings,
			 struct waxwing_str path)
{
	json_object *json = json_object_new_object();

	json_object_object_add(json, "path", json_object_new_string_len(path.data, (int)path.len));
	json_object_object_add(json, "revision",
			       json_object_new_uint64(waxwing_settings_revision(settings)));
	json_object_object_add(json, "values", printer->json);
	if (printer->ctl->json) {
		printf("%s\n",
		       json_object_to_json_string_ext(
			       json, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
		waxwing_table_destroy(printer->table);
	} else {
		waxwing_table_print(printer->table);
	}
	json_object_put(json);
}

static enum waxwing_ctl_exit print_branch(const struct waxwing_ctl *ctl,
					  const struct waxwing_settings *settings,
					  struct waxwing_str path)
{
	static const char *const heading[] = { "KEY", "VALUE", "FROM" };
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct value_printer printer = { .ctl = ctl };

	if (!waxwing_settings_branch(settings, path)) {
		char *name = waxwing_str_dup(path);

		waxwing_error_set(&error, WAXWING_ERROR_UNKNOWN_BRANCH, name, "%s", "");
		g_free(name);
		return waxwing_ctl_report_error(ctl->platform_address, &error);
	}
	printer.table = waxwing_table_create(ctl->explain ? 3 : 2, heading);
	printer.json = json_object_new_object();
	waxwing_settings_explain(settings, path, add_value, &printer);
	print_values(&printer, settings, path);
	return WAXWING_CTL_DONE;
}

/* Prints the JSON object that is set at "@limits" or "@team/NAME", without defaults. */
static enum waxwing_ctl_exit print_settings_object(const struct waxwing_settings *settings,
						   const char *path)
{
	const char *const team[] = { "teams", strchr(path, '/') ? strchr(path, '/') + 1 : "" };
	const char *const limits[] = { "limits" };
	bool is_team = g_str_has_prefix(path, "@team/");
	const struct waxwing_key_path key_path = { is_team ? team : limits, is_team ? 2 : 1 };
	struct waxwing_str text;

	if (!is_team && strcmp(path, "@limits") != 0) {
		fprintf(stderr, "waxwingctl: %s: expected @limits or @team/NAME\n", path);
		return WAXWING_CTL_REFUSED;
	}
	if (!waxwing_text_get(waxwing_settings_document(settings), key_path, &text))
		text = waxwing_str("{}");
	printf("%.*s\n", WAXWING_STR_ARG(text));
	return WAXWING_CTL_DONE;
}

static struct waxwing_str trim_slashes(const char *path)
{
	struct waxwing_str trimmed = waxwing_str(path);

	while (trimmed.len && *trimmed.data == '/')
		trimmed = (struct waxwing_str){ trimmed.len - 1, trimmed.data + 1 };
	while (trimmed.len && trimmed.data[trimmed.len - 1] == '/')
		trimmed.len--;
	return trimmed;
}

enum waxwing_ctl_exit waxwing_ctl_get(struct waxwing_ctl *ctl, const char *path)
{
	enum waxwing_ctl_exit code;
	struct waxwing_settings *settings = waxwing_ctl_read_settings(ctl, &code);

	if (!settings)
		return code;
	code = WAXWING_CTL_DONE;
	if (!path) {
		printf("%.*s", WAXWING_STR_ARG(waxwing_settings_document(settings)));
		fprintf(stderr, "revision %" PRIu64 "\n", waxwing_settings_revision(settings));
	} else if (*path == '@') {
		code = print_settings_object(settings, path);
	} else {
		code = print_branch(ctl, settings, trim_slashes(path));
	}
	waxwing_settings_free(settings);
	return code;
}

/* Files */

static struct waxwing_settings *parse_file(const char *file, char **text)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_settings *settings;

	*text = waxwing_ctl_read_file(file);
	if (!*text)
		return NULL;
	settings = waxwing_settings_parse(waxwing_str(*text), 0, &error);
	if (!settings)
		waxwing_ctl_report_error(file, &error);
	return settings;
}

static void count_branch(void *context, const struct waxwing_branch *branch)
{
	size_t *count = context;

	(void)branch;
	++*count;
}

static void report_file_error(void *context, const struct waxwing_error *error)
{
	waxwing_ctl_report_error(context, error);
}

enum waxwing_ctl_exit waxwing_ctl_check(struct waxwing_ctl *ctl, const char *file)
{
	const struct waxwing_error_visitor visitor = { .on_error = report_file_error,
						       .context = (void *)file };
	struct waxwing_settings *settings;
	char *text = waxwing_ctl_read_file(file);
	size_t branches = 0;

	(void)ctl;
	if (!text)
		return WAXWING_CTL_REFUSED;
	if (waxwing_settings_find_errors(waxwing_str(text), &visitor)) {
		g_free(text);
		return WAXWING_CTL_REFUSED;
	}
	settings = waxwing_settings_parse(waxwing_str(text), 0, NULL);
	g_free(text);
	waxwing_settings_each_branch(settings, count_branch, &branches);
	printf("%s is good: %zu branches\n", file, branches - 1);
	waxwing_settings_free(settings);
	return WAXWING_CTL_DONE;
}

struct diff_printer {
	struct waxwing_table *table;
	json_object *json;
};

static json_object *json_or_null(const char *text)
{
	return text ? waxwing_text_parse(waxwing_str(text)) : NULL;
}

static void add_difference(void *context, const struct waxwing_difference *difference)
{
	struct diff_printer *printer = context;
	json_object *json = json_object_new_object();

	json_object_object_add(json, "path", json_object_new_string(difference->path));
	json_object_object_add(json, "before", json_or_null(difference->before));
	json_object_object_add(json, "after", json_or_null(difference->after));
	json_object_array_add(printer->json, json);
	waxwing_table_add_cell(printer->table, "%s", difference->path);
	waxwing_table_add_cell(printer->table, "%s",
			       difference->before ? difference->before : "unset");
	waxwing_table_add_cell(printer->table, "%s",
			       difference->after ? difference->after : "unset");
}

static void print_diff(const struct waxwing_ctl *ctl, const struct waxwing_settings *settings,
		       struct waxwing_str after)
{
	static const char *const heading[] = { "PATH", "AT THE PLATFORM", "IN THE FILE" };
	struct diff_printer printer = { waxwing_table_create(3, heading), json_object_new_array() };
	struct waxwing_str before = waxwing_settings_document(settings);
	size_t count = waxwing_settings_diff(before, after, add_difference, &printer);

	if (ctl->json)
		printf("{\"revision\":%" PRIu64 ",\"differences\":%s}\n",
		       waxwing_settings_revision(settings),
		       json_object_to_json_string_ext(printer.json,
						      JSON_C_TO_STRING_NOSLASHESCAPE));
	if (!ctl->json && count) {
		waxwing_table_print(printer.table);
	} else {
		waxwing_table_destroy(printer.table);
	}
	if (!ctl->json)
		printf("%zu %s at revision %" PRIu64 "\n", count,
		       count == 1 ? "difference" : "differences",
		       waxwing_settings_revision(settings));
	json_object_put(printer.json);
}

enum waxwing_ctl_exit waxwing_ctl_diff(struct waxwing_ctl *ctl, const char *file)
{
	char *text;
	struct waxwing_settings *settings = parse_file(file, &text);
	enum waxwing_ctl_exit code = WAXWING_CTL_REFUSED;

	if (settings) {
		waxwing_settings_free(settings);
		settings = waxwing_ctl_read_settings(ctl, &code);
	}
	if (settings) {
		print_diff(ctl, settings, waxwing_str(text));
		waxwing_settings_free(settings);
		code = WAXWING_CTL_DONE;
	}
	g_free(text);
	return code;
}

/* Declared jobs */

static void add_job_row(struct waxwing_table *table, const struct waxwing_branch *branch,
			const Waxwing__DeclaredJob *job)
{
	bool retired = job->has_retired ? job->retired : branch->retired;

	waxwing_table_add_cell(table, "%.*s", WAXWING_STR_ARG(branch->path));
	waxwing_table_add_cell(table, "%s", job->name);
	waxwing_table_add_cell(table, "%s", job->domain ? job->domain : "-");
	waxwing_table_add_cell(table, "%u", job->period_ms);
	waxwing_table_add_cell(table, "%u", job->offset_ms);
	waxwing_table_add_cell(table, "%zu", job->n_tasks);
	waxwing_table_add_cell(table, "%s",
			       retired		  ? "retired" :
			       job->has_period_ms ? "live" :
						    "idle");
}

static void add_job_rows(struct waxwing_table *table, const struct waxwing_settings *settings,
			 GString *path, Waxwing__Branch *const *branches, size_t count)
{
	size_t parent_len = path->len;

	for (size_t i = 0; i < count; i++) {
		const struct waxwing_branch *branch;

		g_string_append_printf(path, "%s%s", parent_len ? "/" : "", branches[i]->name);
		branch = waxwing_settings_branch(settings,
						 (struct waxwing_str){ path->len, path->str });
		for (size_t j = 0; j < branches[i]->n_jobs; j++)
			add_job_row(table, branch, branches[i]->jobs[j]);
		add_job_rows(table, settings, path, branches[i]->branches, branches[i]->n_branches);
		g_string_truncate(path, parent_len);
	}
}

enum waxwing_ctl_exit waxwing_ctl_jobs_list(struct waxwing_ctl *ctl)
{
	static const char *const heading[] = { "BRANCH",    "JOB",   "DOMAIN", "PERIOD MS",
					       "OFFSET MS", "TASKS", "STATE" };
	enum waxwing_ctl_exit code;
	struct waxwing_settings *settings = waxwing_ctl_read_settings(ctl, &code);
	const Waxwing__Tree *tree;
	struct waxwing_table *table;
	GString *path;

	if (!settings)
		return code;
	tree = waxwing_settings_tree(settings);
	table = waxwing_table_create(G_N_ELEMENTS(heading), heading);
	path = g_string_new(NULL);
	add_job_rows(table, settings, path, tree->branches, tree->n_branches);
	waxwing_table_print(table);
	g_string_free(path, TRUE);
	waxwing_settings_free(settings);
	return WAXWING_CTL_DONE;
}

/* Reference */

static const char *type_name(const struct waxwing_field_range *range)
{
	static const ProtobufCMessageDescriptor *const types[] = {
		&waxwing__tree__descriptor,	     &waxwing__limits__descriptor,
		&waxwing__team__descriptor,	     &waxwing__branch__descriptor,
		&waxwing__branch_values__descriptor, &waxwing__declared_job__descriptor,
		&waxwing__declared_task__descriptor, &waxwing__instance_file__descriptor,
	};
	const ProtobufCFieldDescriptor *field = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(types) && !field; i++)
		if (strcmp(types[i]->short_name, range->message) == 0)
			field = protobuf_c_message_descriptor_get_field_by_name(types[i],
										range->field);
	if (!field)
		return "?";
	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		return field->type == PROTOBUF_C_TYPE_MESSAGE ? "object" : "array";
	if (field->type == PROTOBUF_C_TYPE_MESSAGE)
		return "object";
	if (field->type == PROTOBUF_C_TYPE_BOOL)
		return "true or false";
	return field->type == PROTOBUF_C_TYPE_STRING ? "string" : "number";
}

static void print_range(const struct waxwing_field_range *range)
{
	const char *type = type_name(range);

	printf("| %s | %s | %s | ", range->message, range->field, type);
	if (strcmp(type, "object") == 0 || strcmp(type, "true or false") == 0)
		printf(" | %s |\n", range->description);
	else
		printf("%" PRIu64 " to %" PRIu64 "%s%s | %s |\n", range->min, range->max,
		       *range->unit ? " " : "", range->unit, range->description);
}

enum waxwing_ctl_exit waxwing_ctl_reference(struct waxwing_ctl *ctl)
{
	(void)ctl;
	printf("| of | key | type | range | meaning |\n|---|---|---|---|---|\n");
	for (const struct waxwing_field_range *range = waxwing_settings_ranges; range->message;
	     range++)
		print_range(range);
	return WAXWING_CTL_DONE;
}
