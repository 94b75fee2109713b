#include "splice.h"

#include "edit.h"
#include "edit_text.h"

#include <json-c/json.h>

static const char *const changes_keys[] = { "recent_changes" };
static const struct waxwing_key_path changes_key_path = { changes_keys, 1 };

/* Returns the document's recent_changes, or null. */
static json_object *read_changes(struct waxwing_str document)
{
	struct waxwing_str text;
	json_object *ids;

	if (!waxwing_text_get(document, changes_key_path, &text))
		return NULL;
	ids = waxwing_text_parse(text);
	if (json_object_is_type(ids, json_type_array))
		return ids;
	json_object_put(ids);
	return NULL;
}

/*
 * Returns @document with recent_changes set to the change ids of @splices, newest first, then those
 * of @before.
 */
static char *write_changes(struct waxwing_str document, struct waxwing_str before,
			   const struct waxwing_splice *splices, size_t count)
{
	json_object *old = read_changes(before);
	size_t old_count = old ? json_object_array_length(old) : 0;
	json_object *ids = json_object_new_array();
	char *changed;

	for (size_t i = count; i && json_object_array_length(ids) < WAXWING_MAX_RECENT_CHANGES; i--)
		json_object_array_add(ids, json_object_new_string(splices[i - 1].change));
	for (size_t i = 0;
	     i < old_count && json_object_array_length(ids) < WAXWING_MAX_RECENT_CHANGES; i++)
		json_object_array_add(ids, json_object_get(json_object_array_get_idx(old, i)));
	changed = waxwing_text_set(document, changes_key_path,
				   waxwing_str(json_object_to_json_string(ids)));
	json_object_put(ids);
	json_object_put(old);
	return changed;
}

char *waxwing_splice_add_change(struct waxwing_str document, struct waxwing_str before,
				const char *change)
{
	const struct waxwing_splice splice = { .change = change };

	return write_changes(document, before, &splice, 1);
}

char *waxwing_splice_last_change(struct waxwing_str document)
{
	json_object *ids = read_changes(document);
	json_object *last = ids ? json_object_array_get_idx(ids, 0) : NULL;
	char *change = last ? g_strdup(json_object_get_string(last)) : NULL;

	json_object_put(ids);
	return change;
}

/*
 * Removes the value, and the object around it if that becomes empty and is "values", "jobs" or
 * "limits", which have no meaning when empty.
 */
static char *remove_value(struct waxwing_str document, struct waxwing_key_path key_path)
{
	char *changed = waxwing_text_remove(document, key_path);
	struct waxwing_str parent;
	const char *key;
	char *pruned;

	if (--key_path.count == 0)
		return changed;
	key = key_path.keys[key_path.count - 1];
	if (strcmp(key, "values") != 0 && strcmp(key, "jobs") != 0 && strcmp(key, "limits") != 0)
		return changed;
	if (!waxwing_text_get(waxwing_str(changed), key_path, &parent) ||
	    strspn(parent.data + 1, " \t\n") + 2 != parent.len)
		return changed;
	pruned = waxwing_text_remove(waxwing_str(changed), key_path);
	g_free(changed);
	return pruned;
}

/* Applies one edit without adding its change id to recent_changes. */
static char *apply_splice(const struct waxwing_splice *splice, struct waxwing_str document)
{
	const struct waxwing_key_path key_path = { splice->keys, splice->key_count };

	if (splice->value)
		return waxwing_text_set(document, key_path, waxwing_str(splice->value));
	return remove_value(document, key_path);
}

/*
 * Adds the change ids of all edits at once, since scanning the whole text for each of them would
 * cost more than the edits. The result is the same as adding them one by one only if
 * recent_changes exists; if it doesn't, the first edit is applied alone, which creates it.
 */
char *waxwing_splice_apply(const struct waxwing_splice *splices, size_t count,
			   struct waxwing_str document)
{
	struct waxwing_str text;
	bool has_changes = waxwing_text_get(document, changes_key_path, &text);
	size_t batch = has_changes ? count : MIN(count, 1);
	char *changed = NULL;
	char *with_ids;

	for (size_t i = 0; i < batch; i++) {
		char *next = apply_splice(&splices[i], changed ? waxwing_str(changed) : document);

		g_free(changed);
		changed = next;
		if (!changed)
			return NULL;
	}
	if (!changed)
		return waxwing_str_dup(document);
	with_ids = write_changes(waxwing_str(changed), document, splices, batch);
	g_free(changed);
	if (batch == count || !with_ids)
		return with_ids;
	changed = waxwing_splice_apply(splices + batch, count - batch, waxwing_str(with_ids));
	g_free(with_ids);
	return changed;
}
