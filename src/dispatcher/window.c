#include "window.h"
#include "clock.h"

#include <inttypes.h>
#include <pthread.h>
#include <sys/random.h>
#include <xxhash.h>

#define INCARNATION_DIGITS 16

static enum waxwing_error_code bad_id(struct waxwing_error *error, const char *what)
{
	return waxwing_error_set(error, WAXWING_ERROR_BAD_ID, "id", "%s", what);
}

static bool is_visible(struct waxwing_str text)
{
	for (size_t i = 0; i < text.len; i++)
		if (!g_ascii_isgraph(text.data[i]))
			return false;
	return true;
}

static bool has_upper(struct waxwing_str text)
{
	for (size_t i = 0; i < text.len; i++)
		if (g_ascii_isupper(text.data[i]))
			return true;
	return false;
}

enum waxwing_error_code waxwing_window_parse(struct waxwing_str text, struct waxwing_window *window,
					     struct waxwing_error *error)
{
	struct waxwing_str front;
	struct waxwing_str instance;
	struct waxwing_str incarnation;
	struct waxwing_str epoch;

	if (!waxwing_str_cut_last(text, '.', &front, &epoch) ||
	    !waxwing_str_cut_last(front, '.', &instance, &incarnation))
		return bad_id(error, "the window is not <instance>.<incarnation>.<epoch>");
	if (!instance.len || !is_visible(instance) || memchr(instance.data, '/', instance.len))
		return bad_id(error, "the instance name is empty or not visible ASCII");
	if (incarnation.len != INCARNATION_DIGITS || has_upper(incarnation) ||
	    !waxwing_str_to_u64(incarnation, 16, &window->incarnation))
		return bad_id(error, "the incarnation is not 16 lower-case hex digits");
	if (!waxwing_str_to_u64(epoch, 10, &window->epoch) ||
	    (epoch.len > 1 && epoch.data[0] == '0'))
		return bad_id(error, "the epoch is not a number");
	window->instance = instance;
	return WAXWING_OK;
}

char *waxwing_window_print(const struct waxwing_window *window)
{
	return g_strdup_printf("%.*s.%016" PRIx64 ".%" PRIu64, WAXWING_STR_ARG(window->instance),
			       window->incarnation, window->epoch);
}

static uint64_t hash_seed;

static void init_hash_seed(void)
{
	if (getrandom(&hash_seed, sizeof(hash_seed), 0) != sizeof(hash_seed))
		hash_seed = (uint64_t)waxwing_clock_now(waxwing_clock_wall());
}

guint waxwing_submission_id_hash(gconstpointer id)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;

	pthread_once(&once, init_hash_seed);
	return (guint)XXH3_64bits_withSeed(id, strlen(id), hash_seed);
}

enum waxwing_error_code waxwing_submission_id_parse(struct waxwing_str text,
						    struct waxwing_submission_id *id,
						    struct waxwing_error *error)
{
	struct waxwing_str window;

	if (text.len > WAXWING_SUBMISSION_ID_BYTES)
		return bad_id(error, "the id is too long");
	if (!waxwing_str_cut(text, '/', &window, &id->key))
		return bad_id(error, "the id is not <window>/<key>");
	if (!id->key.len || !is_visible(id->key))
		return bad_id(error, "the key is empty or not visible ASCII");
	return waxwing_window_parse(window, &id->window, error);
}
