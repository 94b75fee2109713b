/**
 * Places in JSON text: the library that parses it keeps none.
 *
 * Works on text that json-c has taken in its default mode, so with comments and either quote.
 */
#ifndef WAXWING_BINDING_SCAN_H
#define WAXWING_BINDING_SCAN_H

#include "str.h"

struct waxwing_scan_result {
	size_t members; /**< of all objects, repeated keys included */
	bool nul_key; /**< a key holds the escape of a zero byte */
};

/**
 * Walks @text and calls @visit (which may be null) for each member and array element, outer ones
 * first, with its path and offset. Any thread.
 */
struct waxwing_scan_result
waxwing_scan_walk(struct waxwing_str text,
		  void (*visit)(void *context, const char *path, size_t offset), void *context);

/** The offset after white space and comments from @offset on. Any thread. */
size_t waxwing_scan_skip(struct waxwing_str text, size_t offset);

/** The line of an offset, from 1. Any thread. */
uint32_t waxwing_scan_line(struct waxwing_str text, size_t offset);

/** The line of the longest part of @path that is in @text; 0 when none is. Any thread. */
uint32_t waxwing_scan_path_line(struct waxwing_str text, const char *path);

/** The path of the first key that stands twice in its object, freed with g_free(); null when none. */
char *waxwing_scan_duplicate(struct waxwing_str text, uint32_t *line);

/** A member of an object, by offsets into the text. */
struct waxwing_scan_member {
	struct waxwing_str key; /**< as written, without the quotes */
	size_t key_offset; /**< of the quote */
	size_t value;
	size_t value_end; /**< just past the value */
};

/**
 * Takes the next member of an object. *@cursor starts as the offset of the opening brace and ends, on
 * false, as that of the closing one. Any thread.
 */
bool waxwing_scan_next(struct waxwing_str text, size_t *cursor, struct waxwing_scan_member *member);

#endif
