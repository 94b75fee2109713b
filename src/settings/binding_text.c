#include "binding_text.h"

#include "binding_scan.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

json_object *waxwing_binding_text_error(struct waxwing_error *error, enum waxwing_error_code code,
					struct waxwing_str text, size_t offset, const char *detail)
{
	waxwing_error_set(error, code, NULL, "%s", detail);
	if (error)
		error->line = waxwing_scan_line(text, offset);
	return NULL;
}

static json_object *check_result(json_tokener *tokener, json_object *json, struct waxwing_str text,
				 struct waxwing_error *error)
{
	enum json_tokener_error result = json_tokener_get_error(tokener);
	size_t end = json_tokener_get_parse_end(tokener);

	if (result == json_tokener_error_depth)
		return waxwing_binding_text_error(error, WAXWING_ERROR_TOO_DEEP, text, end,
						  "nesting is too deep");
	if (result == json_tokener_continue)
		return waxwing_binding_text_error(error, WAXWING_ERROR_SYNTAX, text, text.len,
						  "unexpected end of text");
	if (result != json_tokener_success)
		return waxwing_binding_text_error(error, WAXWING_ERROR_SYNTAX, text, end,
						  json_tokener_error_desc(result));
	end = waxwing_scan_skip_blank(text, end);
	if (end == text.len)
		return json;
	json_object_put(json);
	return waxwing_binding_text_error(error, WAXWING_ERROR_SYNTAX, text, end,
					  "unexpected text after the value");
}

json_object *waxwing_binding_text_parse(struct waxwing_str text, uint32_t depth,
					struct waxwing_error *error)
{
	const char *nul = text.len ? memchr(text.data, '\0', text.len) : NULL;
	json_tokener *tokener;
	json_object *json;

	if (nul)
		return waxwing_binding_text_error(error, WAXWING_ERROR_SYNTAX, text,
						  (size_t)(nul - text.data),
						  "the text contains a NUL byte");
	if (text.len > INT_MAX)
		return waxwing_binding_text_error(error, WAXWING_ERROR_TOO_LARGE, text, 0,
						  "the text is too long");
	tokener = json_tokener_new_ex((int)depth);
	if (!tokener)
		abort();
	json_tokener_set_flags(tokener,
			       JSON_TOKENER_VALIDATE_UTF8 | JSON_TOKENER_ALLOW_TRAILING_CHARS);
	json = json_tokener_parse_ex(tokener, text.data, (int)text.len);
	json = check_result(tokener, json, text, error);
	json_tokener_free(tokener);
	return json;
}

bool waxwing_binding_text_check_keys(struct waxwing_str text, size_t members,
				     struct waxwing_error *error)
{
	struct waxwing_scan_result result = waxwing_scan_walk(text, NULL, NULL);
	uint32_t line = 0;
	char *path;

	if (result.nul_key) {
		waxwing_error_set(error, WAXWING_ERROR_SYNTAX, NULL,
				  "a key contains a NUL character");
		return false;
	}
	if (result.members == members)
		return true;
	path = waxwing_scan_duplicate_key(text, &line);
	waxwing_error_set(error, WAXWING_ERROR_SYNTAX, path, "duplicate key");
	if (error)
		error->line = line;
	g_free(path);
	return false;
}
