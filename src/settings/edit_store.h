/**
 * How editors read and write the settings at the platform: small documents as they are, large ones as a
 * base and the edits since (settings_log.h).
 *
 * The head is the only key that is ever written twice, by compare-and-swap. A base is written under a key
 * of its own before the head that names it, and removed by a later edit, when no head names it any more.
 *
 * Calls block. Not for the request path.
 */
#ifndef WAXWING_EDIT_STORE_H
#define WAXWING_EDIT_STORE_H

#include "generated/settings_log.pb-c.h"
#include "platform.h"
#include "splice.h"

/** Documents up to this size stand in the settings key as they are. */
#define WAXWING_PLAIN_BYTES (16 * 1024)
/** Most edits of a log, and most bytes of one that can be in a log; half stays when it is folded. */
#define WAXWING_LOG_EDITS 32
#define WAXWING_LOG_BYTES (4 * 1024)

/** What was read. Cleared by waxwing_store_clear(). */
struct waxwing_store_copy {
	char *document; /**< empty when the key is absent */
	size_t len;
	uint64_t revision; /**< the platform's; 0: the key is absent */
	Waxwing__SettingsHead *head; /**< null: the key holds the document */
	char *base; /**< text of the head's base */
};

/** Reads the document. Errors as of the platform's get; PLATFORM_ANSWER also when a base went missing. */
enum waxwing_error_code waxwing_store_read(struct waxwing_platform *platform, const char *key,
					   struct waxwing_store_copy *copy,
					   struct waxwing_error *error);
void waxwing_store_clear(struct waxwing_store_copy *copy);

/** An edit of what was read. */
struct waxwing_store_change {
	const struct waxwing_splice *splice; /**< null: the document is replaced */
	struct waxwing_str document; /**< that the edit makes */
	uint32_t log_edits; /**< most edits of a log; 0: WAXWING_LOG_EDITS */
};

/** Writes when nothing was written since the read. Errors as of the platform's put. */
enum waxwing_error_code waxwing_store_write(struct waxwing_platform *platform, const char *key,
					    const struct waxwing_store_copy *copy,
					    const struct waxwing_store_change *change,
					    struct waxwing_error *error);

#endif
