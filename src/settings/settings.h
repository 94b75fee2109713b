/**
 * Snapshots of the settings: the parsed document, its revision and the values of each branch
 * after inheritance.
 *
 * A published snapshot is immutable and protected by RCU. Only a snapshot with a higher revision
 * can replace it, so that settings never go back to an older version.
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
 * A revision combines the platform's revision, in the lower WAXWING_REVISION_BITS, with the
 * document's limits.generation above them. If the platform's revisions restart after a restore,
 * a higher generation still gives a higher revision. Values stay below 2^53, which JSON numbers
 * represent exactly.
 */
#define WAXWING_REVISION_BITS  44
#define WAXWING_GENERATION_MAX 500

/**
 * Ranges of all settings fields, terminated by a null message; also the source of the settings
 * reference.
 */
extern const struct waxwing_field_range waxwing_settings_ranges[];

/** Values of a branch after inheritance; strings are valid as long as the snapshot. */
struct waxwing_branch {
	struct waxwing_str path;
	bool retired;
	uint32_t weight;
	struct waxwing_str team; /**< empty if none */
	uint32_t deadline_ms;
	uint32_t declared_ms;
	uint32_t queue_tasks;
	bool idempotent;
	uint32_t max_attempts;
	uint32_t job_tasks;
	uint32_t body_bytes;
	bool run_on_outage;
};

/** Defaults of window_life_ms and window_grace_ms, also used before settings are loaded. */
#define WAXWING_DEFAULT_WINDOW_LIFE_MS	60000
#define WAXWING_DEFAULT_WINDOW_GRACE_MS 120000

/** Limits, with defaults where the document sets none. */
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
 * Parses a document; free with waxwing_settings_free(). @revision is the platform's revision or
 * a combined one; its upper bits are replaced by the document's generation. Returns null with
 * @error as for waxwing_binding_parse() and waxwing_settings_check().
 */
struct waxwing_settings *waxwing_settings_parse(struct waxwing_str document, uint64_t revision,
						struct waxwing_error *error);
/**
 * Checks what the range table can't express: the values allowed for on_outage, and the periods,
 * offsets and failure domains of declared jobs. Errors: RANGE, MISSING, with the path and the
 * line in @document. Any thread.
 */
enum waxwing_error_code waxwing_settings_check(const Waxwing__Tree *tree,
					       struct waxwing_str document,
					       struct waxwing_error *error);
void waxwing_settings_free(struct waxwing_settings *settings);

/** Returns the combined revision, see WAXWING_REVISION_BITS. */
uint64_t waxwing_settings_revision(const struct waxwing_settings *settings);
/** Returns the text that the snapshot was parsed from. */
struct waxwing_str waxwing_settings_document(const struct waxwing_settings *settings);
/** Returns the value of the platform's key: the document or its SettingsHead (settings_log.h). */
struct waxwing_str waxwing_settings_head(const struct waxwing_settings *settings);
/** Stores a copy of @head; call only before the snapshot is published. */
void waxwing_settings_set_head(struct waxwing_settings *settings, struct waxwing_str head);
const Waxwing__Tree *waxwing_settings_tree(const struct waxwing_settings *settings);
const struct waxwing_limits *waxwing_settings_limits(const struct waxwing_settings *settings);

/** Finds a branch by path ("" is the root); null if there is none. */
const struct waxwing_branch *waxwing_settings_branch(const struct waxwing_settings *settings,
						     struct waxwing_str path);
/** Returns the message that declares a branch; null if there is none, and for the root. */
const Waxwing__Branch *waxwing_settings_declaration(const struct waxwing_settings *settings,
						    struct waxwing_str path);
/** Calls @visit for every branch, parents before children. */
void waxwing_settings_each_branch(const struct waxwing_settings *settings,
				  void (*visit)(void *context, const struct waxwing_branch *branch),
				  void *context);

/** Holds the current snapshot, protected by RCU. Zero-initialise. */
struct waxwing_settings_store {
	struct waxwing_settings *current;
	uint64_t refused; /**< number of snapshots rejected because their revision was not higher */
};

/**
 * Publishes @settings and returns true if its revision is above the current one; otherwise frees
 * it and returns false. Blocks for an RCU grace period to free the old snapshot. One thread at a
 * time.
 */
bool waxwing_settings_publish(struct waxwing_settings_store *store,
			      struct waxwing_settings *settings);

/**
 * Enters an RCU read section and returns the current snapshot, or null. The snapshot is valid
 * until waxwing_settings_read_end(); keep the section short, since it delays publishing. Any
 * thread that is registered with RCU.
 */
const struct waxwing_settings *waxwing_settings_read_begin(struct waxwing_settings_store *store);
void waxwing_settings_read_end(struct waxwing_settings_store *store);

/** Options for parsing a settings document. */
extern const struct waxwing_binding_options waxwing_settings_binding;

/**
 * Reports the errors in a settings document or a waxwingd settings file, not only the first, and
 * returns their number. Checks beyond types and ranges run only if there are no other errors.
 * Any thread.
 */
size_t waxwing_settings_find_errors(struct waxwing_str document,
				    const struct waxwing_error_visitor *visitor);
size_t waxwing_instance_file_find_errors(struct waxwing_str text,
					 const struct waxwing_error_visitor *visitor);

/** Reads and checks a waxwingd settings file. Null with @error; SYSTEM if it can't be read. */
Waxwing__InstanceFile *waxwing_instance_file_read(const char *path, struct waxwing_error *error);

#endif
