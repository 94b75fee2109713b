#include "edit_diff.h"

#include "edit_text.h"

#include <json-c/json.h>

#define RECENT_CHANGES "recent_changes"

static void flatten(GTree *values, GString *path, json_object *json);

static void flatten_member(GTree *values, GString *path, const char *key, json_object *json)
{
	size_t outer = path->len;

	if (outer)
		g_string_append_c(path, '.');
	g_string_append(path, key);
	flatten(values, path, json);
	g_string_truncate(path, outer);
}

/* An empty object counts as a value, since it declares a branch or a job. */
static void flatten(GTree *values, GString *path, json_object *json)
{
	if (json_object_is_type(json, json_type_object) && json_object_object_length(json)) {
		json_object_object_foreach(json, key, value)
		{
			flatten_member(values, path, key, value);
		}
		return;
	}
	if (path->len)
		g_tree_insert(values, g_strdup(path->str),
			      g_strdup(json_object_to_json_string_ext(
				      json, JSON_C_TO_STRING_NOSLASHESCAPE)));
}

static gint compare_paths(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static GTree *flatten_text(struct waxwing_str text)
{
	GTree *values = g_tree_new_full(compare_paths, NULL, g_free, g_free);
	GString *path = g_string_new(NULL);
	json_object *json = waxwing_text_parse(text);

	if (json) {
		json_object_object_del(json, RECENT_CHANGES);
		flatten(values, path, json);
	}
	json_object_put(json);
	g_string_free(path, TRUE);
	return values;
}

static gboolean add_path(gpointer path, gpointer value, gpointer tree)
{
	(void)value;
	g_tree_insert(tree, path, path);
	return FALSE;
}

struct diff_context {
	GTree *before;
	GTree *after;
	void (*visit)(void *context, const struct waxwing_difference *difference);
	void *context;
	size_t count;
};

static bool has_descendant(GTree *values, const char *path)
{
	char *prefix = g_strdup_printf("%s.", path);
	GTreeNode *node = g_tree_lower_bound(values, prefix);
	bool below = node && g_str_has_prefix(g_tree_node_key(node), prefix);

	g_free(prefix);
	return below;
}

static gboolean compare_path(gpointer path, gpointer unused, gpointer data)
{
	struct diff_context *diff = data;
	struct waxwing_difference difference = {
		.path = path,
		.before = g_tree_lookup(diff->before, path),
		.after = g_tree_lookup(diff->after, path),
	};

	(void)unused;
	if (g_strcmp0(difference.before, difference.after) == 0)
		return FALSE;
	/* If an object became empty or non-empty, its members are reported instead. */
	if ((!difference.after && has_descendant(diff->after, path)) ||
	    (!difference.before && has_descendant(diff->before, path)))
		return FALSE;
	diff->count++;
	if (diff->visit)
		diff->visit(diff->context, &difference);
	return FALSE;
}

size_t waxwing_settings_diff(struct waxwing_str before, struct waxwing_str after,
			     void (*visit)(void *context,
					   const struct waxwing_difference *difference),
			     void *context)
{
	GTree *paths = g_tree_new_full(compare_paths, NULL, NULL, NULL);
	struct diff_context diff = { flatten_text(before), flatten_text(after), visit, context, 0 };

	g_tree_foreach(diff.before, add_path, paths);
	g_tree_foreach(diff.after, add_path, paths);
	g_tree_foreach(paths, compare_path, &diff);
	g_tree_destroy(paths);
	g_tree_unref(diff.before);
	g_tree_unref(diff.after);
	/* cppcheck-suppress memleak */
	return diff.count;
}
