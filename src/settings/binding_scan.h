/**
 * Finds the position of keys and values in JSON text, since json-c doesn't keep positions.
 *
 * The text must have been accepted by json-c in its default mode, which allows comments and single
 * quotes.
 */
#ifndef WAXWING_BINDING_SCAN_H
#define WAXWING_BINDING_SCAN_H

#include "str.h"

struct waxwing_scan_result {
	size_t members; /**< in all objects, duplicate keys counted each time */
	bool nul_key; /**< a key contains the escape of a NUL character */
};

/**
 * Calls @visit, if not null, for each object member and array element of @text with its path and
 * byte offset; a container is visited before its contents. Any thread.
 */
struct waxwing_scan_result
waxwing_scan_walk(struct waxwing_str text,
		  void (*visit)(void *context, const char *path, size_t offset), void *context);

/**
 * Returns the offset of the first byte at or after @offset that isn't white space or comment.
 * Any thread.
 */
size_t waxwing_scan_skip_blank(struct waxwing_str text, size_t offset);

/** Returns the line of a byte offset, counted from 1. Any thread. */
uint32_t waxwing_scan_line(struct waxwing_str text, size_t offset);

/**
 * Returns the line of the longest prefix of @path that is in @text; 0 if there is none. Any
 * thread.
 */
uint32_t waxwing_scan_path_line(struct waxwing_str text, const char *path);

/**
 * Returns the path of the first duplicate key, to be freed with g_free(), and sets its @line;
 * null if there is none.
 */
char *waxwing_scan_duplicate_key(struct waxwing_str text, uint32_t *line);

/** A member of an object, with byte offsets into the text. */
struct waxwing_scan_member {
	struct waxwing_str key; /**< as written, escapes included, without the quotes */
	size_t key_offset; /**< of the opening quote */
	size_t value_start;
	size_t value_end; /**< offset of the first byte after the value */
};

/**
 * Reads the next member of an object; returns false after the last one. Set *@cursor to the
 * offset of the opening brace before the first call; on false it is the offset of the closing
 * brace. Any thread.
 */
bool waxwing_scan_next_member(struct waxwing_str text, size_t *cursor,
			      struct waxwing_scan_member *member);

#endif
