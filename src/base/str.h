/**
 * Length-counted strings.
 *
 * A struct waxwing_str is a view: it owns nothing and need not end in a zero byte. Where a function
 * hands over memory it says so and returns a GLib-allocated, zero-terminated copy.
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

/** For printf's "%.*s". */
#define WAXWING_STR_ARG(s) (int)(s).len, (s).data

/** A view of a zero-terminated string; a null pointer gives the empty string. */
static inline struct waxwing_str waxwing_str(const char *text)
{
	return (struct waxwing_str){ text ? strlen(text) : 0, text ? text : "" };
}

static inline bool waxwing_str_equal(struct waxwing_str a, struct waxwing_str b)
{
	return a.len == b.len && memcmp(a.data, b.data, a.len) == 0;
}

/** A zero-terminated copy, freed with g_free(). */
static inline char *waxwing_str_dup(struct waxwing_str s)
{
	return g_strndup(s.data, s.len);
}

/**
 * Cuts @s at the first @separator.
 *
 * Returns false, leaving the outputs alone, when there is none. @head or @tail may be null.
 */
bool waxwing_str_cut(struct waxwing_str s, char separator, struct waxwing_str *head,
		     struct waxwing_str *tail);

/** Cuts @s at the last @separator, else as waxwing_str_cut(). */
bool waxwing_str_cut_last(struct waxwing_str s, char separator, struct waxwing_str *head,
			  struct waxwing_str *tail);

/** Parses an unsigned number in @base (10 or 16); false on anything but digits, or on overflow. */
bool waxwing_str_to_u64(struct waxwing_str s, unsigned int base, uint64_t *value);

/** A 64-bit hash, the same on every machine. */
uint64_t waxwing_str_hash(struct waxwing_str s, uint64_t seed);

#endif
