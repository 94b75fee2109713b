#include "settings_explain.h"

#include <json-c/json.h>

#define IS_PRESENT(message, offset)                                                                \
	(*(const protobuf_c_boolean *)((const char *)(message) + (offset)))
#define POINTER(message, offset) (*(void *const *)((const char *)(message) + (offset)))

/* Fills in a message that sets every value of the branch; it borrows the strings of @branch. */
static void resolved_values(const struct waxwing_branch *branch, Waxwing__BranchValues *values)
{
	*values = (Waxwing__BranchValues)WAXWING__BRANCH_VALUES__INIT;
	values->has_retired = true;
	values->retired = branch->retired;
	values->has_weight = true;
	values->weight = branch->weight;
	values->team = (char *)branch->team.data;
	values->has_deadline_ms = true;
	values->deadline_ms = branch->deadline_ms;
	values->has_declared_ms = true;
	values->declared_ms = branch->declared_ms;
	values->has_queue_tasks = true;
	values->queue_tasks = branch->queue_tasks;
	values->has_idempotent = true;
	values->idempotent = branch->idempotent;
	values->has_max_attempts = true;
	values->max_attempts = branch->max_attempts;
	values->has_job_tasks = true;
	values->job_tasks = branch->job_tasks;
	values->has_body_bytes = true;
	values->body_bytes = branch->body_bytes;
	values->on_outage = branch->run_on_outage ? "run" : "hold";
}

static bool is_set(const Waxwing__BranchValues *values, const ProtobufCFieldDescriptor *field)
{
	if (!values)
		return false;
	if (field->type == PROTOBUF_C_TYPE_STRING)
		return POINTER(values, field->offset) != NULL;
	return IS_PRESENT(values, field->quantifier_offset);
}

/* Finds the branch that sets @field: the one at @path or its nearest ancestor that does. */
static void find_source(const struct waxwing_settings *settings, struct waxwing_str path,
			const ProtobufCFieldDescriptor *field, struct waxwing_explained *explained)
{
	struct waxwing_str above = path;

	while (above.len) {
		const Waxwing__Branch *branch = waxwing_settings_declaration(settings, above);

		explained->source = above;
		explained->is_set = branch && is_set(branch->values, field);
		if (explained->is_set)
			return;
		if (!waxwing_str_cut_last(above, '/', &above, NULL))
			above.len = 0;
	}
	explained->source = above;
	explained->is_set = is_set(waxwing_settings_tree(settings)->values, field);
}

bool waxwing_settings_explain(const struct waxwing_settings *settings, struct waxwing_str path,
			      void (*visit)(void *context, const struct waxwing_explained *value),
			      void *context)
{
	const struct waxwing_branch *branch = waxwing_settings_branch(settings, path);
	const ProtobufCMessageDescriptor *type = &waxwing__branch_values__descriptor;
	Waxwing__BranchValues values;
	json_object *json;
	char *text;

	if (!branch)
		return false;
	resolved_values(branch, &values);
	text = waxwing_binding_print(&values.base, false);
	json = json_tokener_parse(text);
	for (unsigned int i = 0; i < type->n_fields; i++) {
		struct waxwing_explained explained = { .key = type->fields[i].name };
		json_object *value = json_object_object_get(json, explained.key);

		explained.value = json_object_to_json_string(value);
		find_source(settings, path, &type->fields[i], &explained);
		visit(context, &explained);
	}
	json_object_put(json);
	g_free(text);
	return true;
}
