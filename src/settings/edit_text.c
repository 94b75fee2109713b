#include "edit_text.h"

#include "binding_scan.h"

#include <json-c/json.h>

/* Maximum nesting depth; above that of settings documents. */
#define PARSE_MAX_DEPTH 128

json_object *waxwing_text_parse(struct waxwing_str text)
{
	json_tokener *tokener = json_tokener_new_ex(PARSE_MAX_DEPTH);
	json_object *json;

	json_tokener_set_flags(tokener, JSON_TOKENER_ALLOW_TRAILING_CHARS);
	json = json_tokener_parse_ex(tokener, text.data, (int)text.len);
	if (json_tokener_get_error(tokener) == json_tokener_continue)
		json = json_tokener_parse_ex(tokener, "", 1); /* the NUL terminates a number */
	json_tokener_free(tokener);
	return json;
}

/* Result of looking up a key path in a document. */
struct key_lookup {
	size_t matched; /* number of keys of the path that are present */
	size_t object; /* offset of the opening brace of the innermost object reached */
	struct waxwing_scan_member member; /* member of the last key, if all are present */
	size_t previous_end; /* end of the member before it; 0 if it is the first */
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

static bool find_member(struct waxwing_str text, const char *key, struct key_lookup *lookup)
{
	size_t cursor = lookup->object;
	size_t previous_end = 0;

	while (waxwing_scan_next_member(text, &cursor, &lookup->member)) {
		if (key_matches(lookup->member.key, key)) {
			lookup->previous_end = previous_end;
			return true;
		}
		previous_end = lookup->member.value_end;
	}
	return false;
}

/* Looks up @key_path in @text; returns false if a value above it isn't an object. */
static bool find_value(struct waxwing_str text, struct waxwing_key_path key_path,
		       struct key_lookup *lookup)
{
	*lookup = (struct key_lookup){ .object = waxwing_scan_skip_blank(text, 0) };
	for (; lookup->matched < key_path.count; lookup->matched++) {
		if (lookup->matched)
			lookup->object = lookup->member.value_start;
		if (lookup->object >= text.len || text.data[lookup->object] != '{')
			return false;
		if (!find_member(text, key_path.keys[lookup->matched], lookup))
			return true;
	}
	return true;
}

bool waxwing_text_get(struct waxwing_str text, struct waxwing_key_path key_path,
		      struct waxwing_str *value)
{
	struct key_lookup lookup;

	if (!find_value(text, key_path, &lookup) || lookup.matched < key_path.count)
		return false;
	value->data = text.data + lookup.member.value_start;
	value->len = lookup.member.value_end - lookup.member.value_start;
	return true;
}

/* Appends @value wrapped in the members from @key_path.keys[from] on. */
static void append_member(GString *out, struct waxwing_key_path key_path, size_t from,
			  struct waxwing_str value)
{
	for (size_t i = from; i < key_path.count; i++) {
		char *key = waxwing_text_quote(key_path.keys[i]);

		g_string_append_printf(out, "%s%s: ", i > from ? "{" : "", key);
		g_free(key);
	}
	g_string_append_len(out, value.data, (gssize)value.len);
	for (size_t i = from + 1; i < key_path.count; i++)
		g_string_append_c(out, '}');
}

static void append_indent(GString *out, size_t depth)
{
	g_string_append_c(out, '\n');
	for (size_t i = 0; i < depth; i++)
		g_string_append_c(out, '\t');
}

/*
 * Skips blanks backwards from @offset. Returns the offset of the newline before them, or that of
 * the first blank if other text is on the line.
 */
static size_t line_start(struct waxwing_str text, size_t offset)
{
	while (offset && (text.data[offset - 1] == ' ' || text.data[offset - 1] == '\t'))
		offset--;
	return offset && text.data[offset - 1] == '\n' ? offset - 1 : offset;
}

/* Adds the missing keys of @key_path, with @value, as the last member of the innermost object. */
static char *insert_member(struct waxwing_str text, struct waxwing_key_path key_path,
			   const struct key_lookup *lookup, struct waxwing_str value)
{
	struct waxwing_scan_member member;
	size_t cursor = lookup->object;
	size_t last_end = 0;
	size_t close;
	GString *out;

	while (waxwing_scan_next_member(text, &cursor, &member))
		last_end = member.value_end;
	close = line_start(text, cursor);
	out = g_string_new_len(text.data, (gssize)(last_end ? last_end : close));
	if (last_end) {
		size_t after = waxwing_scan_skip_blank(text, last_end);

		if (text.data[after] != ',')
			g_string_append_c(out, ',');
		g_string_append_len(out, text.data + last_end, (gssize)(close - last_end));
	}
	append_indent(out, lookup->matched + 1);
	append_member(out, key_path, lookup->matched, value);
	append_indent(out, lookup->matched);
	g_string_append_len(out, text.data + cursor, (gssize)(text.len - cursor));
	return g_string_free(out, FALSE);
}

char *waxwing_text_set(struct waxwing_str text, struct waxwing_key_path key_path,
		       struct waxwing_str value)
{
	struct key_lookup lookup;
	GString *out;

	if (!find_value(text, key_path, &lookup))
		return NULL;
	if (lookup.matched < key_path.count)
		return insert_member(text, key_path, &lookup, value);
	out = g_string_new_len(text.data, (gssize)lookup.member.value_start);
	g_string_append_len(out, value.data, (gssize)value.len);
	g_string_append_len(out, text.data + lookup.member.value_end,
			    (gssize)(text.len - lookup.member.value_end));
	return g_string_free(out, FALSE);
}

char *waxwing_text_remove(struct waxwing_str text, struct waxwing_key_path key_path)
{
	struct key_lookup lookup;
	GString *out;
	size_t start;
	size_t after;

	if (!find_value(text, key_path, &lookup) || lookup.matched < key_path.count)
		return waxwing_str_dup(text);
	start = line_start(text, lookup.member.key_offset);
	after = waxwing_scan_skip_blank(text, lookup.member.value_end);
	out = g_string_new_len(text.data, (gssize)start);
	if (text.data[after] == ',') {
		after++;
	} else {
		/* For the last member, removes the comma before it instead. */
		after = lookup.member.value_end;
		if (lookup.previous_end)
			g_string_erase(
				out, (gssize)waxwing_scan_skip_blank(text, lookup.previous_end), 1);
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
