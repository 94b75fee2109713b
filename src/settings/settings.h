/**
 * The settings in force: a parsed tree with its revision, resolved per branch.
 *
 * A snapshot never changes once published. Readers hold it under RCU; the store takes only higher
 * revisions, so nothing reverts.
 */
#ifndef WAXWING_SETTINGS_H
#define WAXWING_SETTINGS_H

#include "binding.h"
#include "generated/settings.pb-c.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * A revision is the platform's own in the lower bits and the document's limits.generation above them, so
 * that a platform whose revisions started over can still give a higher one. Stays below 2^53.
 */
#define WAXWING_REVISION_BITS	44
#define WAXWING_GENERATION_MOST 500

/** Ranges of every settings field, for the binding and the reference. */
extern const struct waxwing_range waxwing_settings_ranges[];

/** Values of a branch after inheritance; strings live as long as the snapshot. */
struct waxwing_branch {
	struct waxwing_str path;
	bool retired;
	uint32_t weight;
	struct waxwing_str team; /**< empty: none */
	uint32_t deadline_ms;
	uint32_t declared_ms;
	uint32_t queue_tasks;
	bool idempotent;
	uint32_t max_attempts;
	uint32_t job_tasks;
	uint32_t body_bytes;
	bool run_on_outage;
};

/** Defaults of the windows' limits, also until the first settings come. */
#define WAXWING_WINDOW_LIFE_MS	60000
#define WAXWING_WINDOW_GRACE_MS 120000

/** Limits with defaults filled in. */
struct waxwing_limits {
	uint32_t queue_tasks;
	uint64_t queue_bytes;
	uint32_t window_life_ms;
	uint32_t window_grace_ms;
	uint32_t connections_per_address;
	uint32_t json_depth;
	uint32_t retry_percent;
	uint32_t cells;
};

struct waxwing_settings;

/**
 * Parses a document. @revision is the platform's or a whole one; the document's generation takes the
 * upper bits in either. Null with @error as waxwing_binding_parse(). Freed by waxwing_settings_free().
 */
struct waxwing_settings *waxwing_settings_parse(struct waxwing_str document, uint64_t revision,
						struct waxwing_error *error);
/**
 * Checks what ranges can't say: words of a value, periods and home domains of declared jobs. Errors:
 * RANGE, MISSING, with the path, and the line in @document. Any thread.
 */
enum waxwing_error_code waxwing_settings_check(const Waxwing__Tree *tree,
					       struct waxwing_str document,
					       struct waxwing_error *error);
void waxwing_settings_free(struct waxwing_settings *settings);

/** The whole revision: the platform's with the document's generation above it. */
uint64_t waxwing_settings_revision(const struct waxwing_settings *settings);
/** The text it was parsed from. */
struct waxwing_str waxwing_settings_document(const struct waxwing_settings *settings);
/** What the platform's key held: the document, or a SettingsHead that stands for it (settings_log.h). */
struct waxwing_str waxwing_settings_head(const struct waxwing_settings *settings);
/** Keeps a copy of @head. Before the snapshot is published. */
void waxwing_settings_set_head(struct waxwing_settings *settings, struct waxwing_str head);
const Waxwing__Tree *waxwing_settings_tree(const struct waxwing_settings *settings);
const struct waxwing_limits *waxwing_settings_limits(const struct waxwing_settings *settings);

/** Finds a branch by path ("" is the root); null when there is none. */
const struct waxwing_branch *waxwing_settings_branch(const struct waxwing_settings *settings,
						     struct waxwing_str path);
/** What is declared at a branch, its jobs included; null when there is none, or for the root. */
const Waxwing__Branch *waxwing_settings_declaration(const struct waxwing_settings *settings,
						    struct waxwing_str path);
/** Calls @visit for every branch, parents first. */
void waxwing_settings_each_branch(const struct waxwing_settings *settings,
				  void (*visit)(void *context, const struct waxwing_branch *branch),
				  void *context);

/** The snapshot in force, published with RCU. Zero-initialise. */
struct waxwing_settings_store {
	struct waxwing_settings *current;
	uint64_t refused; /**< documents with a revision not above the current one */
};

/**
 * Publishes @settings when its revision is above the current one and returns true; else frees it and
 * returns false. The old snapshot is freed after a grace period. One thread at a time.
 */
bool waxwing_settings_publish(struct waxwing_settings_store *store,
			      struct waxwing_settings *settings);

/**
 * The current snapshot, or null; it stays until waxwing_settings_read_end(), which must follow soon. Any
 * thread that is registered with RCU.
 */
const struct waxwing_settings *waxwing_settings_read_begin(struct waxwing_settings_store *store);
void waxwing_settings_read_end(struct waxwing_settings_store *store);

/** How a tree document is bound. */
extern const struct waxwing_binding_options waxwing_settings_binding;

/**
 * Finds every fault of a tree document or of a waxwingd settings file, not only the first; those that
 * ranges can't say only when there are no others. Returns their number. Any thread.
 */
size_t waxwing_settings_faults(struct waxwing_str document,
			       const struct waxwing_fault_visitor *visitor);
size_t waxwing_instance_faults(struct waxwing_str text,
			       const struct waxwing_fault_visitor *visitor);

/** Reads and checks a waxwingd settings file. Null with @error; SYSTEM when it can't be read. */
Waxwing__InstanceFile *waxwing_instance_file_read(const char *path, struct waxwing_error *error);

#endif
