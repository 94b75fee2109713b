/**
 * Submission ids and the windows they are minted under.
 *
 * A window names one incarnation of one entry instance and a short epoch of it. Ids travel in HTTP
 * headers and logs, so they hold visible ASCII only.
 */
#ifndef WAXWING_WINDOW_H
#define WAXWING_WINDOW_H

#include "str.h"
#include "waxwingswitch/error.h"

#include <stdint.h>

/** Longest submission id, in bytes. */
#define WAXWING_SUBMISSION_ID_BYTES 256

/** Parts of a window: "<instance name>.<incarnation, 16 hex digits>.<epoch>". */
struct waxwing_window {
	struct waxwing_str instance;
	uint64_t incarnation;
	uint64_t epoch;
};

/** A submission id: "<window>/<key>". */
struct waxwing_submission_id {
	struct waxwing_window window;
	struct waxwing_str key;
};

/**
 * Parses a window; the instance points into @text.
 *
 * Errors: WAXWING_ERROR_BAD_ID with path "id". Any thread.
 */
enum waxwing_error_code waxwing_window_parse(struct waxwing_str text, struct waxwing_window *window,
					     struct waxwing_error *error);

/** Writes a window as text; freed with g_free(). Any thread. */
char *waxwing_window_print(const struct waxwing_window *window);

/**
 * Parses an id; the strings point into @text.
 *
 * Errors: WAXWING_ERROR_BAD_ID with path "id". Any thread.
 */
enum waxwing_error_code waxwing_submission_id_parse(struct waxwing_str text,
						    struct waxwing_submission_id *id,
						    struct waxwing_error *error);

/**
 * For hash tables of ids: a hash of a zero-terminated id under a seed drawn when the process starts, so
 * that callers can't choose keys that collide. Any thread.
 */
guint waxwing_submission_id_hash(gconstpointer id);

#endif
