/**
 * Edits of the settings document at the platform, by compare-and-swap.
 *
 * Every edit carries a change id that it leaves in the document's recent_changes. When the answer to
 * a write is lost, reading back finds the id or does not. When another edit came first, this one is
 * made again on the fresh document if the value it replaces is still what it was at the first read;
 * otherwise it is refused with CONFLICT and both values. Stale reads do no harm: a write on them
 * fails the compare-and-swap.
 *
 * Calls block. Not for the request path.
 */
#ifndef WAXWING_EDIT_H
#define WAXWING_EDIT_H

#include "platform.h"
#include "splice.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

/** Change ids that a document keeps. */
#define WAXWING_RECENT_CHANGES 32

enum waxwing_edit_kind {
	WAXWING_EDIT_SET, /**< puts a value */
	WAXWING_EDIT_UNSET, /**< takes a value out */
	WAXWING_EDIT_APPLY, /**< replaces the document */
};

/** One edit. Owned by waxwing_edit_clear(). */
struct waxwing_edit {
	enum waxwing_edit_kind kind;
	char **keys; /**< place in the document, ends with null; null for APPLY */
	char *value; /**< JSON of SET; the document of APPLY */
	char *branch; /**< path that must exist; null: none */
	char *expected; /**< JSON the operator saw ("" for unset); null: what the first read gives */
	uint64_t expected_revision; /**< of APPLY: revision the operator saw; see has_revision */
	bool has_revision;
};

/** Clears what an edit holds. */
void waxwing_edit_clear(struct waxwing_edit *edit);

/**
 * Sets @key of a place: a branch path ("" or "/" is the root), "@limits" or "@team/NAME". @value is
 * text as an operator types it; strings need no quotes. @error may not be null, here as in the other
 * three. Errors: UNKNOWN_KEY, TYPE. Any thread.
 */
enum waxwing_error_code waxwing_edit_set(struct waxwing_edit *edit, const char *path,
					 const char *key, const char *value, bool create,
					 struct waxwing_error *error);
/** Takes @key out of a place, so that it is inherited. Errors: UNKNOWN_KEY. */
enum waxwing_error_code waxwing_edit_unset(struct waxwing_edit *edit, const char *path,
					   const char *key, struct waxwing_error *error);
/** Puts a declared job (JSON), or removes it when @json is null. Errors as the binding's. */
enum waxwing_error_code waxwing_edit_job(struct waxwing_edit *edit, const char *branch,
					 const char *name, struct waxwing_str json,
					 struct waxwing_error *error);
/**
 * Replaces the document by @document. A change or removal of a value at the platform needs the
 * revision that the operator saw it at. Errors as waxwing_settings_parse().
 */
enum waxwing_error_code waxwing_edit_document(struct waxwing_edit *edit,
					      struct waxwing_str document,
					      const uint64_t *seen_revision,
					      struct waxwing_error *error);

/**
 * Makes the edit on a document: pure. The new document is freed with g_free(); null with @error:
 * UNKNOWN_BRANCH, RANGE for a generation that goes back, or as waxwing_settings_parse(). @change is put first in recent_changes.
 */
char *waxwing_edit_make(const struct waxwing_edit *edit, struct waxwing_str document,
			const char *change, struct waxwing_error *error);

/** What SET and UNSET do to the text; strings stay the edit's. */
struct waxwing_splice waxwing_edit_splice(const struct waxwing_edit *edit, const char *change);

/** How edits reach the platform. */
struct waxwing_edit_options {
	struct waxwing_platform *platform;
	const char *key; /**< of the document */
	const char *change; /**< this edit's own id, never used before */
	uint32_t attempts; /**< 0: 8 */
	uint32_t log_edits; /**< most edits of a log; 0: WAXWING_LOG_EDITS */
	/** Waits between attempts; null: sleeps. */
	void (*pause)(void *context, uint32_t wait_ms);
	void *context;
};

struct waxwing_edit_result {
	uint64_t revision; /**< at or after the change; 0: not known */
	uint32_t attempts;
	bool written; /**< false: the document already said so */
};

/**
 * Carries the edit out. WAXWING_OK: in the document, once. CONFLICT: refused, both values in the
 * detail. TIMEOUT: it may have taken effect or still do; the id tells. Any other code: surely not
 * made. @result may be null.
 */
enum waxwing_error_code waxwing_edit_run(const struct waxwing_edit *edit,
					 const struct waxwing_edit_options *options,
					 struct waxwing_edit_result *result,
					 struct waxwing_error *error);

#endif
