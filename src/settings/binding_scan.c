#include "binding_scan.h"

/* json-c's own limit is below this; it guards against text that json-c did not take. */
#define SCAN_DEPTH 256

#define NUL_ESCAPE "\\u0000"

struct scan {
	const char *start;
	const char *at;
	const char *end;
	GString *path; /* null when nobody is told */
	void (*visit)(void *context, const char *path, size_t offset);
	void *context;
	struct waxwing_scan_result result;
};

static void skip_line(struct scan *scan)
{
	while (scan->at < scan->end && *scan->at != '\n')
		scan->at++;
}

static void skip_block(struct scan *scan)
{
	const char *close = memmem(scan->at, (size_t)(scan->end - scan->at), "*/", 2);

	scan->at = close ? close + 2 : scan->end;
}

static void skip_blank(struct scan *scan)
{
	while (scan->at < scan->end) {
		if (g_ascii_isspace(*scan->at)) {
			scan->at++;
		} else if (*scan->at == '/' && scan->at + 1 < scan->end && scan->at[1] == '/') {
			skip_line(scan);
		} else if (*scan->at == '/' && scan->at + 1 < scan->end && scan->at[1] == '*') {
			scan->at += 2;
			skip_block(scan);
		} else {
			return;
		}
	}
}

/* Passes a quoted string; gives what stands between the quotes. */
static struct waxwing_str take_string(struct scan *scan, bool *nul)
{
	char quote = *scan->at++;
	const char *begin = scan->at;
	struct waxwing_str inner;

	while (scan->at < scan->end && *scan->at != quote) {
		if (*scan->at == '\\') {
			if (scan->end - scan->at > 6 &&
			    memcmp(scan->at, NUL_ESCAPE, strlen(NUL_ESCAPE)) == 0)
				*nul = true;
			scan->at++;
		}
		if (scan->at < scan->end)
			scan->at++;
	}
	inner = (struct waxwing_str){ (size_t)(scan->at - begin), begin };
	if (scan->at < scan->end)
		scan->at++;
	return inner;
}

static bool is_quote(char c)
{
	return c == '"' || c == '\'';
}

static void skip_scalar(struct scan *scan)
{
	bool nul;

	if (is_quote(*scan->at)) {
		take_string(scan, &nul);
		return;
	}
	while (scan->at < scan->end && !strchr(",]}/", *scan->at) && !g_ascii_isspace(*scan->at))
		scan->at++;
}

static void tell(struct scan *scan, const char *offset)
{
	if (scan->path)
		scan->visit(scan->context, scan->path->str, (size_t)(offset - scan->start));
}

static void scan_value(struct scan *scan, unsigned int depth);

static void scan_member(struct scan *scan, unsigned int depth)
{
	size_t outer = scan->path ? scan->path->len : 0;
	const char *offset = scan->at;
	struct waxwing_str key = take_string(scan, &scan->result.nul_key);

	scan->result.members++;
	if (scan->path) {
		if (outer)
			g_string_append_c(scan->path, '.');
		g_string_append_len(scan->path, key.data, (gssize)key.len);
	}
	tell(scan, offset);
	skip_blank(scan);
	if (scan->at < scan->end && *scan->at == ':')
		scan->at++;
	scan_value(scan, depth + 1);
	if (scan->path)
		g_string_truncate(scan->path, outer);
}

static void scan_element(struct scan *scan, unsigned int depth, size_t index)
{
	size_t outer = scan->path ? scan->path->len : 0;

	if (scan->path)
		g_string_append_printf(scan->path, "[%zu]", index);
	tell(scan, scan->at);
	scan_value(scan, depth + 1);
	if (scan->path)
		g_string_truncate(scan->path, outer);
}

/* Passes an object or array, the opening bracket taken. */
static void scan_items(struct scan *scan, unsigned int depth, char close)
{
	for (size_t index = 0;; index++) {
		const char *before;

		skip_blank(scan);
		if (scan->at == scan->end)
			return;
		if (*scan->at == close) {
			scan->at++;
			return;
		}
		before = scan->at;
		if (close == '}' && is_quote(*scan->at))
			scan_member(scan, depth);
		else
			scan_element(scan, depth, index);
		skip_blank(scan);
		if (scan->at < scan->end && *scan->at == ',')
			scan->at++;
		if (scan->at == before)
			scan->at = scan->end;
	}
}

static void scan_value(struct scan *scan, unsigned int depth)
{
	skip_blank(scan);
	if (scan->at == scan->end || depth > SCAN_DEPTH)
		return;
	if (*scan->at == '{' || *scan->at == '[') {
		char close = *scan->at++ == '{' ? '}' : ']';

		scan_items(scan, depth, close);
		return;
	}
	skip_scalar(scan);
}

static struct scan scan_of(struct waxwing_str text)
{
	return (struct scan){ .start = text.data, .at = text.data, .end = text.data + text.len };
}

struct waxwing_scan_result
waxwing_scan_walk(struct waxwing_str text,
		  void (*visit)(void *context, const char *path, size_t offset), void *context)
{
	struct scan scan = scan_of(text);

	scan.visit = visit;
	scan.context = context;
	scan.path = visit ? g_string_new(NULL) : NULL;
	scan_value(&scan, 0);
	if (scan.path)
		g_string_free(scan.path, TRUE);
	return scan.result;
}

size_t waxwing_scan_skip(struct waxwing_str text, size_t offset)
{
	struct scan scan = scan_of(text);

	scan.at += offset;
	skip_blank(&scan);
	return (size_t)(scan.at - scan.start);
}

uint32_t waxwing_scan_line(struct waxwing_str text, size_t offset)
{
	uint32_t line = 1;

	for (size_t i = 0; i < offset && i < text.len; i++)
		line += text.data[i] == '\n';
	return line;
}

struct line_search {
	const char *path;
	size_t matched;
	size_t offset;
	bool found;
};

static void match_path(void *context, const char *path, size_t offset)
{
	struct line_search *search = context;
	size_t len = strlen(path);

	if (len <= search->matched || strncmp(search->path, path, len) != 0)
		return;
	if (!strchr(".[", search->path[len])) /* matches the end as well */
		return;
	search->matched = len;
	search->offset = offset;
	search->found = true;
}

uint32_t waxwing_scan_path_line(struct waxwing_str text, const char *path)
{
	struct line_search search = { .path = path };

	waxwing_scan_walk(text, match_path, &search);
	return search.found ? waxwing_scan_line(text, search.offset) : 0;
}

struct duplicate_search {
	GHashTable *seen;
	char *path;
	size_t offset;
};

static void match_seen(void *context, const char *path, size_t offset)
{
	struct duplicate_search *search = context;

	if (search->path || g_hash_table_add(search->seen, g_strdup(path)))
		return;
	search->path = g_strdup(path);
	search->offset = offset;
}

char *waxwing_scan_duplicate(struct waxwing_str text, uint32_t *line)
{
	struct duplicate_search search = { .path = NULL };

	search.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	waxwing_scan_walk(text, match_seen, &search);
	g_hash_table_destroy(search.seen);
	if (search.path)
		*line = waxwing_scan_line(text, search.offset);
	return search.path;
}

bool waxwing_scan_next(struct waxwing_str text, size_t *cursor, struct waxwing_scan_member *member)
{
	struct scan scan = scan_of(text);
	bool nul;

	scan.at += *cursor;
	if (scan.at < scan.end && *scan.at == '{')
		scan.at++;
	skip_blank(&scan);
	if (scan.at < scan.end && *scan.at == ',') {
		scan.at++;
		skip_blank(&scan);
	}
	*cursor = (size_t)(scan.at - scan.start);
	if (scan.at == scan.end || !is_quote(*scan.at))
		return false;
	member->key_offset = *cursor;
	member->key = take_string(&scan, &nul);
	skip_blank(&scan);
	if (scan.at < scan.end && *scan.at == ':')
		scan.at++;
	skip_blank(&scan);
	member->value = (size_t)(scan.at - scan.start);
	scan_value(&scan, 0);
	member->value_end = (size_t)(scan.at - scan.start);
	*cursor = member->value_end;
	return true;
}
