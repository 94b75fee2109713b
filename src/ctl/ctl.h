/**
 * The operators' commands behind waxwingctl. Each prints its outcome and returns an exit code.
 */
#ifndef WAXWING_CTL_H
#define WAXWING_CTL_H

#include "edit.h"
#include "platform.h"
#include "settings.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

/** Exit codes of waxwingctl. */
enum waxwing_ctl_exit {
	WAXWING_CTL_DONE = 0,
	WAXWING_CTL_REFUSED = 1, /**< bad input or no such thing; nothing was changed */
	WAXWING_CTL_CONFLICT = 2, /**< another edit came first; nothing was changed */
	WAXWING_CTL_UNREACHABLE = 3, /**< the platform or an instance gave no answer; not changed */
	WAXWING_CTL_UNKNOWN = 4, /**< the edit may have taken effect */
	WAXWING_CTL_PARTIAL = 5, /**< done, but not in force or answered at every instance */
	WAXWING_CTL_USAGE = 64, /**< bad command line */
};

struct waxwing_ctl {
	const char *platform_address; /**< IP:port; may be null */
	const char *instances; /**< IP:port,...; null: from the platform's list */
	const char *key; /**< of the settings document */
	const char *expected; /**< value that the operator saw; may be null */
	uint64_t revision; /**< that the operator saw; see has_revision */
	uint32_t wait_ms; /**< longest wait for a change to be in force */
	bool has_revision;
	bool explain;
	bool create;
	bool wait;
	bool json;
	struct waxwing_platform *platform; /**< opened by waxwing_ctl_platform() */
};

/** Prints an error with where it comes from (platform, instance or file) and gives its exit code. */
enum waxwing_ctl_exit waxwing_ctl_report(const char *where, const struct waxwing_error *error);

/** The platform, opened at the first call; null, with the error printed, when it can't be. */
struct waxwing_platform *waxwing_ctl_platform(struct waxwing_ctl *ctl);
/** Closes what was opened. */
void waxwing_ctl_close(struct waxwing_ctl *ctl);

/** Reads a file whole; null with the error printed. Freed with g_free(). */
char *waxwing_ctl_read_file(const char *path);

/* settings; a path names a branch ("/" is the root), "@limits" or "@team/NAME" */

/** The settings at the platform; null with the error printed and its *@code. */
struct waxwing_settings *waxwing_ctl_read_settings(struct waxwing_ctl *ctl,
						   enum waxwing_ctl_exit *code);
/** Prints the values of a branch, or the whole document when @path is null. */
enum waxwing_ctl_exit waxwing_ctl_get(struct waxwing_ctl *ctl, const char *path);
/** Sets "KEY=VALUE". */
enum waxwing_ctl_exit waxwing_ctl_set(struct waxwing_ctl *ctl, const char *path,
				      const char *assignment);
enum waxwing_ctl_exit waxwing_ctl_unset(struct waxwing_ctl *ctl, const char *path, const char *key);
enum waxwing_ctl_exit waxwing_ctl_check(struct waxwing_ctl *ctl, const char *file);
enum waxwing_ctl_exit waxwing_ctl_diff(struct waxwing_ctl *ctl, const char *file);
enum waxwing_ctl_exit waxwing_ctl_apply(struct waxwing_ctl *ctl, const char *file);
/** Prints every key with its type, range and meaning. */
enum waxwing_ctl_exit waxwing_ctl_reference(struct waxwing_ctl *ctl);
enum waxwing_ctl_exit waxwing_ctl_retire(struct waxwing_ctl *ctl, const char *branch);
enum waxwing_ctl_exit waxwing_ctl_unretire(struct waxwing_ctl *ctl, const char *branch);

/* declared jobs */

enum waxwing_ctl_exit waxwing_ctl_jobs_list(struct waxwing_ctl *ctl);
enum waxwing_ctl_exit waxwing_ctl_jobs_put(struct waxwing_ctl *ctl, const char *branch,
					   const char *name, const char *file);
enum waxwing_ctl_exit waxwing_ctl_jobs_remove(struct waxwing_ctl *ctl, const char *branch,
					      const char *name);

/* instances */

/** Dumps @count instances, named by IP:port or by name; all when @count is 0. */
enum waxwing_ctl_exit waxwing_ctl_state(struct waxwing_ctl *ctl, char *const *names, size_t count);
enum waxwing_ctl_exit waxwing_ctl_drain(struct waxwing_ctl *ctl, const char *name);
/** Waits until all instances have @revision in force, and says how many do. */
enum waxwing_ctl_exit waxwing_ctl_wait(struct waxwing_ctl *ctl, uint64_t revision);

/* logs */

/**
 * Prints in order what the log files of nodes (platform/) say of one job, and of the cells, executors
 * and nodes that it met.
 */
enum waxwing_ctl_exit waxwing_ctl_story(const char *job, char *const *files, size_t count);

#endif
