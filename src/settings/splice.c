#include "splice.h"

#include "edit.h"
#include "edit_text.h"

#include <json-c/json.h>

static const char *const changes_keys[] = { "recent_changes" };
static const struct waxwing_place changes_place = { changes_keys, 1 };

/* The ids that a document tells, or null. */
static json_object *read_changes(struct waxwing_str document)
{
	struct waxwing_str text;
	json_object *ids;

	if (!waxwing_text_get(document, changes_place, &text))
		return NULL;
	ids = waxwing_text_parse(text);
	if (json_object_is_type(ids, json_type_array))
		return ids;
	json_object_put(ids);
	return NULL;
}

/* @document with the ids of @splices, the last one first, before those of @before. */
static char *put_changes(struct waxwing_str document, struct waxwing_str before,
			 const struct waxwing_splice *splices, size_t count)
{
	json_object *old = read_changes(before);
	size_t old_count = old ? json_object_array_length(old) : 0;
	json_object *ids = json_object_new_array();
	char *changed;

	for (size_t i = count; i && json_object_array_length(ids) < WAXWING_RECENT_CHANGES; i--)
		json_object_array_add(ids, json_object_new_string(splices[i - 1].change));
	for (size_t i = 0; i < old_count && json_object_array_length(ids) < WAXWING_RECENT_CHANGES;
	     i++)
		json_object_array_add(ids, json_object_get(json_object_array_get_idx(old, i)));
	changed = waxwing_text_set(document, changes_place,
				   waxwing_str(json_object_to_json_string(ids)));
	json_object_put(ids);
	json_object_put(old);
	return changed;
}

char *waxwing_splice_changes(struct waxwing_str document, struct waxwing_str before,
			     const char *change)
{
	const struct waxwing_splice splice = { .change = change };

	return put_changes(document, before, &splice, 1);
}

char *waxwing_splice_last(struct waxwing_str document)
{
	json_object *ids = read_changes(document);
	json_object *last = ids ? json_object_array_get_idx(ids, 0) : NULL;
	char *change = last ? g_strdup(json_object_get_string(last)) : NULL;

	json_object_put(ids);
	return change;
}

/* Takes the value out, and then the object that held it if that is left empty and means nothing. */
static char *unset_text(struct waxwing_str document, struct waxwing_place place)
{
	char *changed = waxwing_text_remove(document, place);
	struct waxwing_str holder;
	const char *key;
	char *tidied;

	if (--place.count == 0)
		return changed;
	key = place.keys[place.count - 1];
	if (strcmp(key, "values") != 0 && strcmp(key, "jobs") != 0 && strcmp(key, "limits") != 0)
		return changed;
	if (!waxwing_text_get(waxwing_str(changed), place, &holder) ||
	    strspn(holder.data + 1, " \t\n") + 2 != holder.len)
		return changed;
	tidied = waxwing_text_remove(waxwing_str(changed), place);
	g_free(changed);
	return tidied;
}

/* The text with one edit made, its id apart. */
static char *make_value(const struct waxwing_splice *splice, struct waxwing_str document)
{
	const struct waxwing_place place = { splice->keys, splice->key_count };

	if (splice->value)
		return waxwing_text_set(document, place, waxwing_str(splice->value));
	return unset_text(document, place);
}

/*
 * Ids are put in once for all edits: a look through the whole text each would cost more than the edits. It
 * gives the same text as one by one where recent_changes has its place already, so the first edit gives it one.
 */
char *waxwing_splice_make(const struct waxwing_splice *splices, size_t count,
			  struct waxwing_str document)
{
	struct waxwing_str text;
	bool placed = waxwing_text_get(document, changes_place, &text);
	size_t most = placed ? count : MIN(count, 1);
	char *changed = NULL;
	char *marked;

	for (size_t i = 0; i < most; i++) {
		char *next = make_value(&splices[i], changed ? waxwing_str(changed) : document);

		g_free(changed);
		changed = next;
		if (!changed)
			return NULL;
	}
	if (!changed)
		return waxwing_str_dup(document);
	marked = put_changes(waxwing_str(changed), document, splices, most);
	g_free(changed);
	if (most == count || !marked)
		return marked;
	changed = waxwing_splice_make(splices + most, count - most, waxwing_str(marked));
	g_free(marked);
	return changed;
}
