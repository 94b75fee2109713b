#include "binding_scan.h"

/*
 * Maximum nesting depth; above what json-c accepts. Limits the recursion for text that json-c has
 * not checked.
 */
#define SCAN_MAX_DEPTH 256

#define NUL_ESCAPE "\\u0000"

struct scanner {
	const char *start;
	const char *pos;
	const char *end;
	GString *path; /* of the current value; null without a visitor */
	void (*visit)(void *context, const char *path, size_t offset);
	void *context;
	struct waxwing_scan_result result;
};

static void skip_line(struct scanner *scanner)
{
	while (scanner->pos < scanner->end && *scanner->pos != '\n')
		scanner->pos++;
}

static void skip_block(struct scanner *scanner)
{
	const char *close = memmem(scanner->pos, (size_t)(scanner->end - scanner->pos), "*/", 2);

	scanner->pos = close ? close + 2 : scanner->end;
}

static void skip_blank(struct scanner *scanner)
{
	while (scanner->pos < scanner->end) {
		if (g_ascii_isspace(*scanner->pos)) {
			scanner->pos++;
		} else if (*scanner->pos == '/' && scanner->pos + 1 < scanner->end &&
			   scanner->pos[1] == '/') {
			skip_line(scanner);
		} else if (*scanner->pos == '/' && scanner->pos + 1 < scanner->end &&
			   scanner->pos[1] == '*') {
			scanner->pos += 2;
			skip_block(scanner);
		} else {
			return;
		}
	}
}

/*
 * Skips a quoted string and returns the text between the quotes; sets *@nul if it has a NUL
 * escape.
 */
static struct waxwing_str scan_string(struct scanner *scanner, bool *nul)
{
	char quote = *scanner->pos++;
	const char *begin = scanner->pos;
	struct waxwing_str inner;

	while (scanner->pos < scanner->end && *scanner->pos != quote) {
		if (*scanner->pos == '\\') {
			if (scanner->end - scanner->pos > 6 &&
			    memcmp(scanner->pos, NUL_ESCAPE, strlen(NUL_ESCAPE)) == 0)
				*nul = true;
			scanner->pos++;
		}
		if (scanner->pos < scanner->end)
			scanner->pos++;
	}
	inner = (struct waxwing_str){ (size_t)(scanner->pos - begin), begin };
	if (scanner->pos < scanner->end)
		scanner->pos++;
	return inner;
}

static bool is_quote(char c)
{
	return c == '"' || c == '\'';
}

static void skip_scalar(struct scanner *scanner)
{
	bool nul;

	if (is_quote(*scanner->pos)) {
		scan_string(scanner, &nul);
		return;
	}
	while (scanner->pos < scanner->end && !strchr(",]}/", *scanner->pos) &&
	       !g_ascii_isspace(*scanner->pos))
		scanner->pos++;
}

static void visit_current(struct scanner *scanner, const char *at)
{
	if (scanner->path)
		scanner->visit(scanner->context, scanner->path->str, (size_t)(at - scanner->start));
}

static void scan_value(struct scanner *scanner, unsigned int depth);

static void scan_member(struct scanner *scanner, unsigned int depth)
{
	size_t outer = scanner->path ? scanner->path->len : 0;
	const char *start = scanner->pos;
	struct waxwing_str key = scan_string(scanner, &scanner->result.nul_key);

	scanner->result.members++;
	if (scanner->path) {
		if (outer)
			g_string_append_c(scanner->path, '.');
		g_string_append_len(scanner->path, key.data, (gssize)key.len);
	}
	visit_current(scanner, start);
	skip_blank(scanner);
	if (scanner->pos < scanner->end && *scanner->pos == ':')
		scanner->pos++;
	scan_value(scanner, depth + 1);
	if (scanner->path)
		g_string_truncate(scanner->path, outer);
}

static void scan_element(struct scanner *scanner, unsigned int depth, size_t index)
{
	size_t outer = scanner->path ? scanner->path->len : 0;

	if (scanner->path)
		g_string_append_printf(scanner->path, "[%zu]", index);
	visit_current(scanner, scanner->pos);
	scan_value(scanner, depth + 1);
	if (scanner->path)
		g_string_truncate(scanner->path, outer);
}

/* Scans the items of an object or array after its opening bracket, up to and including @close. */
static void scan_items(struct scanner *scanner, unsigned int depth, char close)
{
	for (size_t index = 0;; index++) {
		const char *before;

		skip_blank(scanner);
		if (scanner->pos == scanner->end)
			return;
		if (*scanner->pos == close) {
			scanner->pos++;
			return;
		}
		before = scanner->pos;
		if (close == '}' && is_quote(*scanner->pos))
			scan_member(scanner, depth);
		else
			scan_element(scanner, depth, index);
		skip_blank(scanner);
		if (scanner->pos < scanner->end && *scanner->pos == ',')
			scanner->pos++;
		if (scanner->pos == before)
			scanner->pos = scanner->end;
	}
}

static void scan_value(struct scanner *scanner, unsigned int depth)
{
	skip_blank(scanner);
	if (scanner->pos == scanner->end || depth > SCAN_MAX_DEPTH)
		return;
	if (*scanner->pos == '{' || *scanner->pos == '[') {
		char close = *scanner->pos++ == '{' ? '}' : ']';

		scan_items(scanner, depth, close);
		return;
	}
	skip_scalar(scanner);
}

static struct scanner scanner_init(struct waxwing_str text)
{
	return (struct scanner){ .start = text.data,
				 .pos = text.data,
				 .end = text.data + text.len };
}

struct waxwing_scan_result
waxwing_scan_walk(struct waxwing_str text,
		  void (*visit)(void *context, const char *path, size_t offset), void *context)
{
	struct scanner scanner = scanner_init(text);

	scanner.visit = visit;
	scanner.context = context;
	scanner.path = visit ? g_string_new(NULL) : NULL;
	scan_value(&scanner, 0);
	if (scanner.path)
		g_string_free(scanner.path, TRUE);
	return scanner.result;
}

size_t waxwing_scan_skip_blank(struct waxwing_str text, size_t offset)
{
	struct scanner scanner = scanner_init(text);

	scanner.pos += offset;
	skip_blank(&scanner);
	return (size_t)(scanner.pos - scanner.start);
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
	if (!strchr(".[", search->path[len])) /* also finds the NUL at the end */
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

static void match_duplicate(void *context, const char *path, size_t offset)
{
	struct duplicate_search *search = context;

	if (search->path || g_hash_table_add(search->seen, g_strdup(path)))
		return;
	search->path = g_strdup(path);
	search->offset = offset;
}

char *waxwing_scan_duplicate_key(struct waxwing_str text, uint32_t *line)
{
	struct duplicate_search search = { .path = NULL };

	search.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	waxwing_scan_walk(text, match_duplicate, &search);
	g_hash_table_destroy(search.seen);
	if (search.path)
		*line = waxwing_scan_line(text, search.offset);
	return search.path;
}

bool waxwing_scan_next_member(struct waxwing_str text, size_t *cursor,
			      struct waxwing_scan_member *member)
{
	struct scanner scanner = scanner_init(text);
	bool nul;

	scanner.pos += *cursor;
	if (scanner.pos < scanner.end && *scanner.pos == '{')
		scanner.pos++;
	skip_blank(&scanner);
	if (scanner.pos < scanner.end && *scanner.pos == ',') {
		scanner.pos++;
		skip_blank(&scanner);
	}
	*cursor = (size_t)(scanner.pos - scanner.start);
	if (scanner.pos == scanner.end || !is_quote(*scanner.pos))
		return false;
	member->key_offset = *cursor;
	member->key = scan_string(&scanner, &nul);
	skip_blank(&scanner);
	if (scanner.pos < scanner.end && *scanner.pos == ':')
		scanner.pos++;
	skip_blank(&scanner);
	member->value_start = (size_t)(scanner.pos - scanner.start);
	scan_value(&scanner, 0);
	member->value_end = (size_t)(scanner.pos - scanner.start);
	*cursor = member->value_end;
	return true;
}
