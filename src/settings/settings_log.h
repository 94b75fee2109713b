/**
 * Settings at the platform as a base and the edits made since, so that an instance that has the settings
 * gets a change in a few hundred bytes.
 *
 * The key's value ("head") is either the document itself or a SettingsHead, as JSON. Each text is known
 * by its SHA-256, so what is put together is the whole document that the editor made, or is refused.
 */
#ifndef WAXWING_SETTINGS_LOG_H
#define WAXWING_SETTINGS_LOG_H

#include "generated/settings_log.pb-c.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>

/** True for a SettingsHead, false for a document. Any thread. */
bool waxwing_settings_is_head(struct waxwing_str head);

/** Parses a SettingsHead; freed with waxwing__settings_head__free_unpacked(h, NULL). Null with @error. */
Waxwing__SettingsHead *waxwing_settings_head_parse(struct waxwing_str head,
						   struct waxwing_error *error);

/** SHA-256 of a text, in hexadecimal; freed with g_free(). Any thread. */
char *waxwing_settings_digest(struct waxwing_str text);

/** Makes edits @from to before @until of a log on @text, which it frees; null when one can't be made. */
char *waxwing_settings_replay(const Waxwing__SettingsLog *log, char *text, size_t from,
			      size_t until);

/** Reads bases. */
struct waxwing_settings_fetch {
	/** The value of a key, freed with g_free(); null with @error. */
	char *(*base)(void *context, const char *key, struct waxwing_error *error);
	void *context;
};

/** The base of a log, checked; freed with g_free(). Null with @error: fetch's, or PLATFORM_ANSWER. */
char *waxwing_settings_base(const Waxwing__SettingsLog *log,
			    const struct waxwing_settings_fetch *fetch,
			    struct waxwing_error *error);

/**
 * The document that a head stands for, freed with g_free(). @have is any earlier document; its edits are
 * not read again. Null with @error: SYNTAX and such for a head that will never do; MISSING when @have
 * does not lead there and @fetch is null; else as waxwing_settings_base(). Any thread.
 */
char *waxwing_settings_resolve(struct waxwing_str head, struct waxwing_str have,
			       const struct waxwing_settings_fetch *fetch,
			       struct waxwing_error *error);

#endif
