/**
 * Length-counted strings.
 *
 * A struct waxwing_str is a view: it does not own its data, which need not be zero-terminated. A
 * function that returns memory to its caller says so; that memory is zero-terminated and allocated
 * by GLib.
 */
#ifndef WAXWING_STR_H
#define WAXWING_STR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

struct waxwing_str {
	size_t len;
	const char *data;
};

/** The arguments of printf's "%.*s". */
#define WAXWING_STR_ARG(s) (int)(s).len, (s).data

/** Returns a view of a zero-terminated string; null gives the empty string. */
static inline struct waxwing_str waxwing_str(const char *text)
{
	return (struct waxwing_str){ text ? strlen(text) : 0, text ? text : "" };
}

static inline bool waxwing_str_equal(struct waxwing_str a, struct waxwing_str b)
{
	return a.len == b.len && memcmp(a.data, b.data, a.len) == 0;
}

/** Returns a zero-terminated copy; free with g_free(). */
static inline char *waxwing_str_dup(struct waxwing_str s)
{
	return g_strndup(s.data, s.len);
}

/**
 * Splits @s at the first @separator, which neither part includes.
 *
 * Returns false and leaves the outputs unchanged if there is no separator. @head and @tail may be
 * null.
 */
bool waxwing_str_cut(struct waxwing_str s, char separator, struct waxwing_str *head,
		     struct waxwing_str *tail);

/** Like waxwing_str_cut(), but splits at the last @separator. */
bool waxwing_str_cut_last(struct waxwing_str s, char separator, struct waxwing_str *head,
			  struct waxwing_str *tail);

/** Parses an unsigned number in @base 10 or 16; false on empty input, a non-digit or overflow. */
bool waxwing_str_to_u64(struct waxwing_str s, unsigned int base, uint64_t *value);

/** Returns a 64-bit hash that is the same on every machine. */
uint64_t waxwing_str_hash(struct waxwing_str s, uint64_t seed);

#endif
