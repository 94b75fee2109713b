/**
 * Submission ids and the windows under which they are created.
 *
 * A window names one incarnation of one entry instance and a short epoch of that incarnation. Ids
 * travel in HTTP headers and logs, so they hold visible ASCII only.
 */
#ifndef WAXWING_WINDOW_H
#define WAXWING_WINDOW_H

#include "str.h"
#include "waxwingswitch/error.h"

#include <stdint.h>

/** Maximum length of a submission id, in bytes. */
#define WAXWING_SUBMISSION_ID_BYTES 256

/** A parsed window: "<instance name>.<incarnation, 16 hex digits>.<epoch>". */
struct waxwing_window {
	struct waxwing_str instance;
	uint64_t incarnation;
	uint64_t epoch;
};

/** A parsed submission id: "<window>/<key>". */
struct waxwing_submission_id {
	struct waxwing_window window;
	struct waxwing_str key;
};

/**
 * Parses a window; the instance points into @text. Thread-safe.
 *
 * Errors: WAXWING_ERROR_BAD_ID with path "id".
 */
enum waxwing_error_code waxwing_window_parse(struct waxwing_str text, struct waxwing_window *window,
					     struct waxwing_error *error);

/** Formats a window as text; freed with g_free(). Thread-safe. */
char *waxwing_window_print(const struct waxwing_window *window);

/**
 * Parses an id; the strings point into @text. Thread-safe.
 *
 * Errors: WAXWING_ERROR_BAD_ID with path "id".
 */
enum waxwing_error_code waxwing_submission_id_parse(struct waxwing_str text,
						    struct waxwing_submission_id *id,
						    struct waxwing_error *error);

/**
 * Hashes a zero-terminated id for use in hash tables. The seed is drawn when the process starts, so
 * that callers cannot choose keys that collide. Thread-safe.
 */
guint waxwing_submission_id_hash(gconstpointer id);

#endif
