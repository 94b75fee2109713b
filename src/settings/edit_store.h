/**
 * Reads and writes the settings document in the platform's store. A small document is stored as
 * it is, a large one as a base document and a log of the edits since (settings_log.h).
 *
 * The settings key, called the head, is the only key that is overwritten, by compare-and-swap. A
 * base is written once, under a key of its own, before the head that refers to it. A later edit
 * removes it when the head no longer refers to it.
 *
 * The calls block; don't call them while serving requests.
 */
#ifndef WAXWING_EDIT_STORE_H
#define WAXWING_EDIT_STORE_H

#include "generated/settings_log.pb-c.h"
#include "platform.h"
#include "splice.h"

/** Maximum size of a document stored as it is. A document with a log keeps it if it shrinks. */
#define WAXWING_PLAIN_MAX_BYTES (16 * 1024)
/** Maximum number and total size of the edits in a log. Compaction keeps the newer half. */
#define WAXWING_LOG_MAX_EDITS 32
#define WAXWING_LOG_MAX_BYTES (4 * 1024)

/** A document as read from the store; freed by waxwing_document_clear(). */
struct waxwing_document_copy {
	char *document; /**< empty if the key is absent */
	size_t len;
	uint64_t revision; /**< revision of the key; 0 if it is absent */
	Waxwing__SettingsHead *head; /**< null if the key holds the document itself */
	char *base; /**< base document of the head; null without a head */
};

/**
 * Reads the document. Errors as for the platform's get, PLATFORM_ANSWER if the base is missing or
 * damaged, or as for waxwing_settings_resolve().
 */
enum waxwing_error_code waxwing_document_read(struct waxwing_platform *platform, const char *key,
					      struct waxwing_document_copy *copy,
					      struct waxwing_error *error);
void waxwing_document_clear(struct waxwing_document_copy *copy);

/** A new version of a document that was read. */
struct waxwing_document_change {
	const struct waxwing_splice *splice; /**< null if the whole document is replaced */
	struct waxwing_str document; /**< the whole new document */
	/** Maximum number of edits in the log; 0 means WAXWING_LOG_MAX_EDITS. */
	uint32_t log_edits;
};

/**
 * Writes the new version unless the key changed since @copy was read. Errors as for the
 * platform's put.
 */
enum waxwing_error_code waxwing_document_write(struct waxwing_platform *platform, const char *key,
					       const struct waxwing_document_copy *copy,
					       const struct waxwing_document_change *change,
					       struct waxwing_error *error);

#endif
