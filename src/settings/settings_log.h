/**
 * Stores a large settings document as a base document and a log of the edits since. An instance
 * that has an earlier version needs only the log, so that a change costs a few hundred bytes.
 *
 * The value of the settings key, called the head, is either the document itself or a
 * SettingsHead in JSON. The SettingsHead has the SHA-256 digests of the base and of the
 * resulting document; a result that doesn't match is rejected.
 */
#ifndef WAXWING_SETTINGS_LOG_H
#define WAXWING_SETTINGS_LOG_H

#include "generated/settings_log.pb-c.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>

/** True if @head is a SettingsHead, false if it is a document. Any thread. */
bool waxwing_settings_is_head(struct waxwing_str head);

/**
 * Parses a SettingsHead; free with waxwing__settings_head__free_unpacked(h, NULL). Returns null
 * with @error as for waxwing_binding_parse(), or MISSING if an edit has no keys.
 */
Waxwing__SettingsHead *waxwing_settings_head_parse(struct waxwing_str head,
						   struct waxwing_error *error);

/** Returns the SHA-256 digest of a text in hexadecimal, to be freed with g_free(). Any thread. */
char *waxwing_settings_digest(struct waxwing_str text);

/**
 * Applies the edits from index @from up to but not including @until to @text, which it frees.
 * Returns the new text, to be freed with g_free(), or null if an edit can't be applied.
 */
char *waxwing_settings_replay(const Waxwing__SettingsLog *log, char *text, size_t from,
			      size_t until);

/** Reads base documents. */
struct waxwing_base_reader {
	/** Returns the value of a key, to be freed with g_free(); null with @error. */
	char *(*read)(void *context, const char *key, struct waxwing_error *error);
	void *context;
};

/**
 * Reads the base of a log and checks its digest and that it is a valid document; free with
 * g_free(). Returns null with the error of @fetch, or PLATFORM_ANSWER if the check fails.
 */
char *waxwing_settings_fetch_base(const Waxwing__SettingsLog *log,
				  const struct waxwing_base_reader *fetch,
				  struct waxwing_error *error);

/**
 * Returns the document of a head, to be freed with g_free(). @have is an earlier document, or
 * empty; if the log has all later edits, they are applied to it and the base isn't read.
 * Otherwise the base is read through @fetch. Returns null with @error: as for
 * waxwing_settings_head_parse() or SYNTAX if the head is invalid, MISSING if the base is needed
 * and @fetch is null, or as for waxwing_settings_fetch_base(). Any thread.
 */
char *waxwing_settings_resolve(struct waxwing_str head, struct waxwing_str have,
			       const struct waxwing_base_reader *fetch,
			       struct waxwing_error *error);

#endif
