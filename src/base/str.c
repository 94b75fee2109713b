#include "str.h"

#include <xxhash.h>

static bool split_at(struct waxwing_str s, const char *separator, struct waxwing_str *head,
		     struct waxwing_str *tail)
{
	size_t head_len;

	if (!separator)
		return false;
	head_len = (size_t)(separator - s.data);
	if (head)
		*head = (struct waxwing_str){ head_len, s.data };
	if (tail)
		*tail = (struct waxwing_str){ s.len - head_len - 1, separator + 1 };
	return true;
}

bool waxwing_str_cut(struct waxwing_str s, char separator, struct waxwing_str *head,
		     struct waxwing_str *tail)
{
	return split_at(s, s.len ? memchr(s.data, separator, s.len) : NULL, head, tail);
}

bool waxwing_str_cut_last(struct waxwing_str s, char separator, struct waxwing_str *head,
			  struct waxwing_str *tail)
{
	return split_at(s, s.len ? memrchr(s.data, separator, s.len) : NULL, head, tail);
}

bool waxwing_str_to_u64(struct waxwing_str s, unsigned int base, uint64_t *value)
{
	uint64_t result = 0;

	if (!s.len)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		int digit = g_ascii_xdigit_value(s.data[i]);

		if (digit < 0 || (unsigned int)digit >= base)
			return false;
		if (__builtin_mul_overflow(result, (uint64_t)base, &result) ||
		    __builtin_add_overflow(result, (uint64_t)digit, &result))
			return false;
	}
	*value = result;
	return true;
}

uint64_t waxwing_str_hash(struct waxwing_str s, uint64_t seed)
{
	return XXH64(s.data, s.len, seed);
}
