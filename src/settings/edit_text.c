#include "edit_text.h"

#include "binding_scan.h"

#include <json-c/json.h>

/* Deeper than any document that the binding takes. */
#define PARSE_DEPTH 128

json_object *waxwing_text_parse(struct waxwing_str text)
{
	json_tokener *tokener = json_tokener_new_ex(PARSE_DEPTH);
	json_object *json;

	json_tokener_set_flags(tokener, JSON_TOKENER_ALLOW_TRAILING_CHARS);
	json = json_tokener_parse_ex(tokener, text.data, (int)text.len);
	if (json_tokener_get_error(tokener) == json_tokener_continue)
		json = json_tokener_parse_ex(tokener, "", 1); /* a number ends at the zero */
	json_tokener_free(tokener);
	return json;
}

/* How far a place leads into a document. */
struct found {
	size_t depth; /* keys of the place that are there */
	size_t object; /* the innermost object that is there: its opening brace */
	struct waxwing_scan_member member; /* of the last key, when all are there */
	size_t previous_end; /* of the member before it; 0: none */
};

static bool key_matches(struct waxwing_str raw, const char *key)
{
	json_object *decoded;
	char *quoted;
	bool equal;

	if (!memchr(raw.data, '\\', raw.len))
		return waxwing_str_equal(raw, waxwing_str(key));
	quoted = g_strdup_printf("\"%.*s\"", WAXWING_STR_ARG(raw));
	decoded = waxwing_text_parse(waxwing_str(quoted));
	equal = decoded && strcmp(json_object_get_string(decoded), key) == 0;
	json_object_put(decoded);
	g_free(quoted);
	return equal;
}

static bool find_member(struct waxwing_str text, const char *key, struct found *found)
{
	size_t cursor = found->object;
	size_t previous_end = 0;

	while (waxwing_scan_next(text, &cursor, &found->member)) {
		if (key_matches(found->member.key, key)) {
			found->previous_end = previous_end;
			return true;
		}
		previous_end = found->member.value_end;
	}
	return false;
}

/* False when a value on the way is no object. */
static bool find_place(struct waxwing_str text, struct waxwing_place place, struct found *found)
{
	*found = (struct found){ .object = waxwing_scan_skip(text, 0) };
	for (; found->depth < place.count; found->depth++) {
		if (found->depth)
			found->object = found->member.value;
		if (found->object >= text.len || text.data[found->object] != '{')
			return false;
		if (!find_member(text, place.keys[found->depth], found))
			return true;
	}
	return true;
}

bool waxwing_text_get(struct waxwing_str text, struct waxwing_place place,
		      struct waxwing_str *value)
{
	struct found found;

	if (!find_place(text, place, &found) || found.depth < place.count)
		return false;
	value->data = text.data + found.member.value;
	value->len = found.member.value_end - found.member.value;
	return true;
}

/* The members from @place.keys[from] on, with @value inside. */
static void append_member(GString *out, struct waxwing_place place, size_t from,
			  struct waxwing_str value)
{
	for (size_t i = from; i < place.count; i++) {
		char *key = waxwing_text_quote(place.keys[i]);

		g_string_append_printf(out, "%s%s: ", i > from ? "{" : "", key);
		g_free(key);
	}
	g_string_append_len(out, value.data, (gssize)value.len);
	for (size_t i = from + 1; i < place.count; i++)
		g_string_append_c(out, '}');
}

static void append_indent(GString *out, size_t depth)
{
	g_string_append_c(out, '\n');
	for (size_t i = 0; i < depth; i++)
		g_string_append_c(out, '\t');
}

static size_t line_start(struct waxwing_str text, size_t offset)
{
	while (offset && (text.data[offset - 1] == ' ' || text.data[offset - 1] == '\t'))
		offset--;
	return offset && text.data[offset - 1] == '\n' ? offset - 1 : offset;
}

/* Adds the missing part of @place as the last member of the innermost object. */
static char *insert(struct waxwing_str text, struct waxwing_place place, const struct found *found,
		    struct waxwing_str value)
{
	struct waxwing_scan_member member;
	size_t cursor = found->object;
	size_t last_end = 0;
	size_t close;
	GString *out;

	while (waxwing_scan_next(text, &cursor, &member))
		last_end = member.value_end;
	close = line_start(text, cursor);
	out = g_string_new_len(text.data, (gssize)(last_end ? last_end : close));
	if (last_end) {
		size_t after = waxwing_scan_skip(text, last_end);

		if (text.data[after] != ',')
			g_string_append_c(out, ',');
		g_string_append_len(out, text.data + last_end, (gssize)(close - last_end));
	}
	append_indent(out, found->depth + 1);
	append_member(out, place, found->depth, value);
	append_indent(out, found->depth);
	g_string_append_len(out, text.data + cursor, (gssize)(text.len - cursor));
	return g_string_free(out, FALSE);
}

char *waxwing_text_set(struct waxwing_str text, struct waxwing_place place,
		       struct waxwing_str value)
{
	struct found found;
	GString *out;

	if (!find_place(text, place, &found))
		return NULL;
	if (found.depth < place.count)
		return insert(text, place, &found, value);
	out = g_string_new_len(text.data, (gssize)found.member.value);
	g_string_append_len(out, value.data, (gssize)value.len);
	g_string_append_len(out, text.data + found.member.value_end,
			    (gssize)(text.len - found.member.value_end));
	return g_string_free(out, FALSE);
}

char *waxwing_text_remove(struct waxwing_str text, struct waxwing_place place)
{
	struct found found;
	GString *out;
	size_t start;
	size_t after;

	if (!find_place(text, place, &found) || found.depth < place.count)
		return waxwing_str_dup(text);
	start = line_start(text, found.member.key_offset);
	after = waxwing_scan_skip(text, found.member.value_end);
	out = g_string_new_len(text.data, (gssize)start);
	if (text.data[after] == ',') {
		after++;
	} else {
		/* The last member: the comma before it goes instead. */
		after = found.member.value_end;
		if (found.previous_end)
			g_string_erase(out, (gssize)waxwing_scan_skip(text, found.previous_end), 1);
	}
	g_string_append_len(out, text.data + after, (gssize)(text.len - after));
	return g_string_free(out, FALSE);
}

char *waxwing_text_quote(const char *text)
{
	json_object *json = json_object_new_string(text);
	char *quoted = g_strdup(json_object_to_json_string_ext(
		json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

	json_object_put(json);
	return quoted;
}
