/**
 * The commands of waxwingctl. Each prints its result and returns the exit code of the process.
 */
#ifndef WAXWING_CTL_H
#define WAXWING_CTL_H

#include "edit.h"
#include "platform.h"
#include "settings.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

enum waxwing_ctl_exit {
	WAXWING_CTL_DONE = 0,
	WAXWING_CTL_REFUSED = 1, /**< invalid input or unknown name; nothing was changed */
	WAXWING_CTL_CONFLICT = 2, /**< a conflicting edit was stored first; nothing was changed */
	WAXWING_CTL_UNREACHABLE = 3, /**< platform or instance not reachable; nothing was changed */
	WAXWING_CTL_UNKNOWN = 4, /**< edit not confirmed; it may have taken effect */
	WAXWING_CTL_PARTIAL = 5, /**< done, except at instances that lag or do not respond */
	WAXWING_CTL_USAGE = 64, /**< invalid command line */
};

/** Options and state of one waxwingctl call. */
struct waxwing_ctl {
	const char *platform_address; /**< IP:port; null: option not used */
	const char *instances; /**< IP:port,...; null: the instances that the platform lists */
	const char *key; /**< key of the settings document at the platform */
	const char *expected; /**< set: required current value; "": must be unset; null: any */
	uint64_t revision; /**< apply: required current revision, if has_revision */
	uint32_t wait_ms; /**< maximum time to wait until a revision is in force */
	bool has_revision;
	bool explain; /**< get: print where each value is set */
	bool create; /**< set: create a missing branch */
	bool wait; /**< edits: wait until the new revision is in force at every instance */
	bool json; /**< print JSON instead of tables */
	struct waxwing_platform *platform; /**< null until waxwing_ctl_platform() opens it */
};

/** Prints @where (a platform, key, branch or file) and the error; returns the exit code. */
enum waxwing_ctl_exit waxwing_ctl_report_error(const char *where,
					       const struct waxwing_error *error);

/** Returns the platform; the first call opens it. On failure prints the error, returns null. */
struct waxwing_platform *waxwing_ctl_platform(struct waxwing_ctl *ctl);
/** Closes the platform if it is open. */
void waxwing_ctl_close(struct waxwing_ctl *ctl);

/**
 * Reads a file, or standard input if @path is "-". Prints the error and returns null on failure.
 * Free the text with g_free().
 */
char *waxwing_ctl_read_file(const char *path);

/* Settings. A path names a branch ("/" is the root), "@limits" or "@team/NAME". */

/** Reads the settings from the platform. On failure prints the error, sets @code, returns null. */
struct waxwing_settings *waxwing_ctl_read_settings(struct waxwing_ctl *ctl,
						   enum waxwing_ctl_exit *code);
/**
 * Prints the values in effect at a branch, the object set at "@limits" or "@team/NAME", or the
 * whole settings document if @path is null.
 */
enum waxwing_ctl_exit waxwing_ctl_get(struct waxwing_ctl *ctl, const char *path);
/** Sets a value; @assignment is "KEY=VALUE". */
enum waxwing_ctl_exit waxwing_ctl_set(struct waxwing_ctl *ctl, const char *path,
				      const char *assignment);
enum waxwing_ctl_exit waxwing_ctl_unset(struct waxwing_ctl *ctl, const char *path, const char *key);
/** Validates the settings document in a file and prints all its errors. */
enum waxwing_ctl_exit waxwing_ctl_check(struct waxwing_ctl *ctl, const char *file);
/** Prints what differs between the settings at the platform and in a file. */
enum waxwing_ctl_exit waxwing_ctl_diff(struct waxwing_ctl *ctl, const char *file);
/** Replaces the settings at the platform by those of a file. */
enum waxwing_ctl_exit waxwing_ctl_apply(struct waxwing_ctl *ctl, const char *file);
/** Prints a Markdown table of all keys with their type, range and meaning. */
enum waxwing_ctl_exit waxwing_ctl_reference(struct waxwing_ctl *ctl);
enum waxwing_ctl_exit waxwing_ctl_retire(struct waxwing_ctl *ctl, const char *branch);
enum waxwing_ctl_exit waxwing_ctl_unretire(struct waxwing_ctl *ctl, const char *branch);

/* Declared jobs */

enum waxwing_ctl_exit waxwing_ctl_jobs_list(struct waxwing_ctl *ctl);
enum waxwing_ctl_exit waxwing_ctl_jobs_put(struct waxwing_ctl *ctl, const char *branch,
					   const char *name, const char *file);
enum waxwing_ctl_exit waxwing_ctl_jobs_remove(struct waxwing_ctl *ctl, const char *branch,
					      const char *name);

/* Instances */

/** Prints the state of @count instances, given by IP:port or by name; of all if @count is 0. */
enum waxwing_ctl_exit waxwing_ctl_state(struct waxwing_ctl *ctl, char *const *names, size_t count);
enum waxwing_ctl_exit waxwing_ctl_drain(struct waxwing_ctl *ctl, const char *name);
/**
 * Waits up to wait_ms until @revision is in force at all instances; prints at how many instances
 * it is in force.
 */
enum waxwing_ctl_exit waxwing_ctl_wait(struct waxwing_ctl *ctl, uint64_t revision);

/* Logs */

/**
 * Prints the events of one job from the log files of nodes (platform/) in order of time, with
 * events of the cells, executors and nodes named in them that may explain what happened to the job.
 */
enum waxwing_ctl_exit waxwing_ctl_story(const char *job, char *const *files, size_t count);

#endif
