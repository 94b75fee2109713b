#include "edit.h"

#include "edit_text.h"
#include "settings.h"

#define LIMITS_PATH	 "@limits"
#define TEAM_PATH_PREFIX "@team/"
#define EMPTY_DOCUMENT	 "{\n}\n"

void waxwing_edit_clear(struct waxwing_edit *edit)
{
	g_strfreev(edit->keys);
	g_free(edit->value);
	g_free(edit->branch);
	g_free(edit->expected);
	*edit = (struct waxwing_edit){ .kind = WAXWING_EDIT_SET };
}

static void add_key(GPtrArray *keys, const char *key)
{
	g_ptr_array_add(keys, g_strdup(key));
}

/* Returns the object keys that lead to a branch. */
static GPtrArray *branch_keys(const char *path)
{
	GPtrArray *keys = g_ptr_array_new();
	char **names = g_strsplit(path, "/", -1);

	for (size_t i = 0; names[i]; i++) {
		if (!*names[i])
			continue;
		add_key(keys, "branches");
		add_key(keys, names[i]);
	}
	g_strfreev(names);
	return keys;
}

/*
 * Returns the object keys that lead to the object with the values at @path, and sets *@type to the
 * message type of that object.
 */
static GPtrArray *values_object_keys(const char *path, const ProtobufCMessageDescriptor **type)
{
	GPtrArray *keys;

	if (strcmp(path, LIMITS_PATH) == 0) {
		keys = g_ptr_array_new();
		add_key(keys, "limits");
		*type = &waxwing__limits__descriptor;
	} else if (g_str_has_prefix(path, TEAM_PATH_PREFIX)) {
		keys = g_ptr_array_new();
		add_key(keys, "teams");
		add_key(keys, path + strlen(TEAM_PATH_PREFIX));
		*type = &waxwing__team__descriptor;
	} else {
		keys = branch_keys(path);
		add_key(keys, "values");
		*type = &waxwing__branch_values__descriptor;
	}
	return keys;
}

static char **keys_to_strv(GPtrArray *keys)
{
	g_ptr_array_add(keys, NULL);
	return (char **)g_ptr_array_free(keys, FALSE);
}

/*
 * Returns a branch path without leading and trailing slashes; null for "@limits" and
 * "@team/NAME".
 */
static char *branch_path(const char *path)
{
	char *copy;
	size_t len;

	if (*path == '@')
		return NULL;
	while (*path == '/')
		path++;
	copy = g_strdup(path);
	len = strlen(copy);
	while (len && copy[len - 1] == '/')
		copy[--len] = '\0';
	return copy;
}

/*
 * Initialises @edit for @key at @path; returns the key's field, or null with @error if there is
 * none.
 */
static const ProtobufCFieldDescriptor *init_value_edit(struct waxwing_edit *edit, const char *path,
						       const char *key, struct waxwing_error *error)
{
	const ProtobufCMessageDescriptor *type;
	const ProtobufCFieldDescriptor *field;
	GPtrArray *keys = values_object_keys(path, &type);

	add_key(keys, key);
	*edit = (struct waxwing_edit){ .kind = WAXWING_EDIT_SET, .keys = keys_to_strv(keys) };
	edit->branch = branch_path(path);
	field = protobuf_c_message_descriptor_get_field_by_name(type, key);
	if (field && strcmp(key, "name") != 0)
		return field;
	waxwing_error_set(error, WAXWING_ERROR_UNKNOWN_KEY, key, "%s has no such key",
			  type->short_name);
	return NULL;
}

static bool is_token(const char *text)
{
	for (const char *c = text; *c; c++)
		if (!g_ascii_isalnum(*c) && *c != '-')
			return false;
	return *text != '\0';
}

/* Converts a value typed by an operator to JSON; null with @error if its type is wrong. */
static char *value_to_json(const ProtobufCFieldDescriptor *field, const char *value,
			   struct waxwing_error *error)
{
	if (field->type == PROTOBUF_C_TYPE_STRING)
		return waxwing_text_quote(value);
	if (is_token(value))
		return g_strdup(value);
	waxwing_error_set(error, WAXWING_ERROR_TYPE, field->name,
			  "\"%s\" is not valid; expected %s", value,
			  field->type == PROTOBUF_C_TYPE_BOOL ? "true or false" : "number");
	return NULL;
}

enum waxwing_error_code waxwing_edit_set(struct waxwing_edit *edit, const char *path,
					 const char *key, const char *value, bool create,
					 struct waxwing_error *error)
{
	const ProtobufCFieldDescriptor *field = init_value_edit(edit, path, key, error);

	if (create)
		g_clear_pointer(&edit->branch, g_free);
	if (field)
		edit->value = value_to_json(field, value, error);
	if (edit->value)
		return WAXWING_OK;
	waxwing_edit_clear(edit);
	return error->code;
}

enum waxwing_error_code waxwing_edit_unset(struct waxwing_edit *edit, const char *path,
					   const char *key, struct waxwing_error *error)
{
	if (init_value_edit(edit, path, key, error)) {
		edit->kind = WAXWING_EDIT_UNSET;
		return WAXWING_OK;
	}
	waxwing_edit_clear(edit);
	return error->code;
}

enum waxwing_error_code waxwing_edit_job(struct waxwing_edit *edit, const char *branch,
					 const char *name, struct waxwing_str json,
					 struct waxwing_error *error)
{
	GPtrArray *keys = branch_keys(branch);

	add_key(keys, "jobs");
	add_key(keys, name);
	*edit = (struct waxwing_edit){ .kind = json.len ? WAXWING_EDIT_SET : WAXWING_EDIT_UNSET };
	edit->keys = keys_to_strv(keys);
	edit->branch = branch_path(branch);
	edit->value = json.len ? waxwing_str_dup(json) : NULL;
	if (*edit->branch && *name)
		return WAXWING_OK;
	waxwing_edit_clear(edit);
	return waxwing_error_set(error, WAXWING_ERROR_MISSING, "jobs",
				 "a job needs a branch and a name");
}

enum waxwing_error_code waxwing_edit_replace(struct waxwing_edit *edit, struct waxwing_str document,
					     const uint64_t *seen_revision,
					     struct waxwing_error *error)
{
	struct waxwing_settings *settings = waxwing_settings_parse(document, 0, error);

	*edit = (struct waxwing_edit){ .kind = WAXWING_EDIT_REPLACE };
	if (!settings)
		return error->code;
	waxwing_settings_free(settings);
	edit->value = waxwing_str_dup(document);
	edit->has_expected_revision = seen_revision != NULL;
	edit->expected_revision = seen_revision ? *seen_revision : 0;
	return WAXWING_OK;
}

struct waxwing_splice waxwing_edit_splice(const struct waxwing_edit *edit, const char *change)
{
	return (struct waxwing_splice){
		.change = change,
		.keys = (const char *const *)edit->keys,
		.key_count = g_strv_length(edit->keys),
		.value = edit->kind == WAXWING_EDIT_UNSET ? NULL : edit->value,
	};
}

static char *edit_text(const struct waxwing_edit *edit, struct waxwing_str document,
		       const char *change)
{
	struct waxwing_splice splice;

	if (edit->kind == WAXWING_EDIT_REPLACE)
		return waxwing_splice_add_change(waxwing_str(edit->value), document, change);
	splice = waxwing_edit_splice(edit, change);
	return waxwing_splice_apply(&splice, 1, document);
}

static struct waxwing_str document_or_empty(struct waxwing_str document)
{
	return document.len ? document : waxwing_str(EMPTY_DOCUMENT);
}

static uint32_t settings_generation(const struct waxwing_settings *settings)
{
	const Waxwing__Limits *limits = waxwing_settings_tree(settings)->limits;

	return limits ? limits->generation : 0;
}

/*
 * Checks the size of a new document and that its generation is not below the current one, since
 * instances would reject its lower revision.
 */
static bool check_replacement(const struct waxwing_settings *settings, uint32_t generation,
			      size_t bytes, struct waxwing_error *error)
{
	if (bytes > WAXWING_PLATFORM_VALUE_BYTES) {
		waxwing_error_set(error, WAXWING_ERROR_TOO_LARGE, NULL,
				  "the document would be %zu bytes long; the maximum is %d", bytes,
				  WAXWING_PLATFORM_VALUE_BYTES);
		return false;
	}
	if (settings_generation(settings) < generation) {
		waxwing_error_set(error, WAXWING_ERROR_RANGE, "limits.generation",
				  "the generation is %u and must not decrease", generation);
		return false;
	}
	return true;
}

/* Validates a new document; if it is rejected, frees it and returns null. */
static char *check_document(char *document, uint32_t generation, struct waxwing_error *error)
{
	struct waxwing_settings *settings = waxwing_settings_parse(waxwing_str(document), 0, error);
	bool fits = settings && check_replacement(settings, generation, strlen(document), error);

	waxwing_settings_free(settings);
	if (fits)
		return document;
	g_free(document);
	return NULL;
}

char *waxwing_edit_apply(const struct waxwing_edit *edit, struct waxwing_str document,
			 const char *change, struct waxwing_error *error)
{
	struct waxwing_settings *settings;
	char *changed = NULL;
	uint32_t generation;

	document = document_or_empty(document);
	settings = waxwing_settings_parse(document, 0, error);
	if (!settings)
		return NULL;
	if (edit->branch && !waxwing_settings_branch(settings, waxwing_str(edit->branch)))
		waxwing_error_set(error, WAXWING_ERROR_UNKNOWN_BRANCH, edit->branch,
				  "the settings have no such branch");
	else
		changed = edit_text(edit, document, change);
	generation = settings_generation(settings);
	waxwing_settings_free(settings);
	return changed ? check_document(changed, generation, error) : NULL;
}
