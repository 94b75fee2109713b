/**
 * Edits the settings document in the platform's store by compare-and-swap.
 *
 * Each edit adds its change id to the document's recent_changes, so that a client whose write
 * got no response can read the document back and see whether the write took effect. If another
 * edit is written first, the edit is retried on the new document, provided that the value it
 * replaces is unchanged since the first read; otherwise it fails with CONFLICT, naming both values.
 * Stale reads are harmless, since a write based on one fails the compare-and-swap.
 *
 * The functions that access the platform block; don't call them while serving requests.
 */
#ifndef WAXWING_EDIT_H
#define WAXWING_EDIT_H

#include "platform.h"
#include "splice.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of change ids kept in a document's recent_changes. */
#define WAXWING_MAX_RECENT_CHANGES 32

enum waxwing_edit_kind {
	WAXWING_EDIT_SET, /**< sets a value */
	WAXWING_EDIT_UNSET, /**< removes a value */
	WAXWING_EDIT_REPLACE, /**< replaces the whole document */
};

/** One edit; its memory is freed by waxwing_edit_clear(). */
struct waxwing_edit {
	enum waxwing_edit_kind kind;
	char **keys; /**< key path from the root, null-terminated; null for REPLACE */
	char *value; /**< SET: the new JSON value; REPLACE: the new document */
	char *branch; /**< branch that must exist, by path; null: not checked */
	/** JSON value that may be replaced, "" if unset; null: the value at the first read. */
	char *expected;
	uint64_t expected_revision; /**< REPLACE: revision to replace, if has_expected_revision */
	bool has_expected_revision;
};

void waxwing_edit_clear(struct waxwing_edit *edit);

/**
 * Initialises @edit to set @key at @path: a branch path ("" or "/" is the root), "@limits" or
 * "@team/NAME". @value is text as typed by an operator; strings need no quotes. If @create, the
 * branch need not exist. Errors: UNKNOWN_KEY, TYPE. Any thread.
 *
 * @error must not be null in this function and the next three.
 */
enum waxwing_error_code waxwing_edit_set(struct waxwing_edit *edit, const char *path,
					 const char *key, const char *value, bool create,
					 struct waxwing_error *error);
/**
 * Initialises @edit to remove @key at @path, so that the value is inherited. Errors:
 * UNKNOWN_KEY.
 */
enum waxwing_error_code waxwing_edit_unset(struct waxwing_edit *edit, const char *path,
					   const char *key, struct waxwing_error *error);
/**
 * Initialises @edit to set a declared job to @json, or to remove the job if @json is empty. Errors:
 * MISSING if the branch or the name is empty.
 */
enum waxwing_error_code waxwing_edit_job(struct waxwing_edit *edit, const char *branch,
					 const char *name, struct waxwing_str json,
					 struct waxwing_error *error);
/**
 * Initialises @edit to replace the whole document by @document. @seen_revision is the revision to
 * replace; if null, the edit may only add values, not change or remove any. Errors as for
 * waxwing_settings_parse().
 */
enum waxwing_error_code waxwing_edit_replace(struct waxwing_edit *edit, struct waxwing_str document,
					     const uint64_t *seen_revision,
					     struct waxwing_error *error);

/**
 * Applies @edit to @document in memory and puts @change first in recent_changes. Returns the new
 * document, to be freed with g_free(), or null with @error: UNKNOWN_BRANCH, RANGE if the generation
 * decreases, TOO_LARGE, or as for waxwing_settings_parse().
 */
char *waxwing_edit_apply(const struct waxwing_edit *edit, struct waxwing_str document,
			 const char *change, struct waxwing_error *error);

/** Returns the text change of a SET or UNSET; it borrows the strings of @edit and @change. */
struct waxwing_splice waxwing_edit_splice(const struct waxwing_edit *edit, const char *change);

struct waxwing_edit_options {
	struct waxwing_platform *platform;
	const char *key; /**< key of the document in the store */
	const char *change; /**< unique id of this edit */
	uint32_t max_attempts; /**< maximum number of attempts; 0 means 8 */
	/** Maximum number of edits in the log; 0 means WAXWING_LOG_MAX_EDITS. */
	uint32_t max_log_edits;
	/** Waits between attempts; if null, the thread sleeps. */
	void (*pause)(void *context, uint32_t wait_ms);
	void *context;
};

struct waxwing_edit_result {
	uint64_t revision; /**< a revision that includes the change; 0 if unknown */
	uint32_t attempts;
	bool written; /**< false if the document had the value already */
};

/**
 * Writes the edit to the platform. WAXWING_OK: the document contains the edit exactly once.
 * CONFLICT: not written; the error's detail has both values. TIMEOUT: the edit may have taken
 * effect or may still do so; if it did, recent_changes contains its id. Any other code: the edit
 * did not and will not take effect. @result and @error may be null.
 */
enum waxwing_error_code waxwing_edit_run(const struct waxwing_edit *edit,
					 const struct waxwing_edit_options *options,
					 struct waxwing_edit_result *result,
					 struct waxwing_error *error);

#endif
