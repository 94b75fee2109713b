/**
 * Delay scheduling: decides whether a task that runs faster on one rack waits for a place there or
 * runs elsewhere ("far") at once.
 *
 * The decision depends only on its input. The ratio of far to near durations is learned from
 * measured runs. All times are milliseconds of the caller's clock. Not thread-safe.
 */
#ifndef WAXWING_NEAR_WAIT_H
#define WAXWING_NEAR_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/** Which tasks wait. */
enum waxwing_near_wait_policy {
	WAXWING_NEAR_WAIT_AUTO, /**< those for which a wait is expected to pay off */
	WAXWING_NEAR_WAIT_NEVER, /**< none, for comparison */
	WAXWING_NEAR_WAIT_ALWAYS, /**< all whose rack has a usable executor, for comparison */
};

/** Why a task waits or does not. */
enum waxwing_near_wait_reason {
	WAXWING_NEAR_WAIT_SOONER, /**< waits: ends sooner near than far */
	WAXWING_NEAR_WAIT_IN_TIME, /**< waits: near, it ends before it is due, or its caller gives
				     up; far, it does not */
	WAXWING_NEAR_WAIT_SAVES_WORK, /**< waits: no spare capacity for the additional work */
	WAXWING_NEAR_WAIT_POLICY, /**< the policy decides */
	WAXWING_NEAR_WAIT_NO_PLACE, /**< far: no executor of the rack can take the task */
	WAXWING_NEAR_WAIT_NO_GAIN, /**< far: near is not expected to be better */
	WAXWING_NEAR_WAIT_TOO_LONG, /**< far: the place becomes free too late */
	WAXWING_NEAR_WAIT_EXHAUSTED, /**< far: the task has waited as long as it may */
	WAXWING_NEAR_WAIT_CONTENDED, /**< far: others would use the place without having waited */
	WAXWING_NEAR_WAIT_LATE, /**< far: the task is late, and ends first there */
};

struct waxwing_near_wait_input {
	enum waxwing_near_wait_policy policy;
	int64_t now_ms;
	int64_t due_ms; /**< when the task should end */
	int64_t give_up_ms; /**< when its caller no longer waits */
	bool late; /**< its job is past its due time */
	double near_ms; /**< expected duration near */
	double far_ms; /**< expected duration on the best far executor that is free */
	double near_free_ms; /**< expected time until a near place is free; negative: never */
	double waited_ms; /**< how long the task has waited already */
	double limit_ms; /**< see waxwing_near_wait_limit_ms() */
	bool learned; /**< the durations are measured, not declared */
	double load; /**< share of the capacity that is in use, 0 to 1 */
};

struct waxwing_near_wait_decision {
	bool wait;
	int64_t until_ms; /**< when the task runs far at the latest; if it does not wait: now */
	enum waxwing_near_wait_reason reason;
};

struct waxwing_near_wait_decision
waxwing_near_wait_decide(const struct waxwing_near_wait_input *input);

/**
 * Returns how long a place on a rack may be waited for so that the mean time of all tasks that want
 * the rack is lowest. Where many want it, its places are in use anyway: a wait then only moves them
 * from one task to another, and every task behind waits too.
 * @offered: mean number of places that these tasks would occupy if all ran there.
 * @places: number of places that the rack has.
 */
double waxwing_near_wait_limit_ms(double offered, uint32_t places, double near_ms, double far_ms);

/** Returns a name for events, a static string. */
const char *waxwing_near_wait_reason_name(enum waxwing_near_wait_reason reason);

/** Learned durations of one queue's tasks near and far. Zero-initialised: nothing is known. */
struct waxwing_near_ratio {
	double near_log_mean; /**< mean logarithm of the durations near */
	double far_log_mean;
	double near_samples; /**< weight of the mean, bounded */
	double far_samples;
};

/** Adds a run that took @relative times the time expected of it on the executor's hardware. */
void waxwing_near_ratio_learn(struct waxwing_near_ratio *ratio, bool near, double relative);

/** Returns true while fewer runs far were measured than are needed. */
bool waxwing_near_ratio_lacks_far(const struct waxwing_near_ratio *ratio);

/** Returns true if enough runs near and far were measured. */
bool waxwing_near_ratio_known(const struct waxwing_near_ratio *ratio);

/** Returns the duration far divided by that near, at least 1; @declared until enough is known. */
double waxwing_near_ratio_factor(const struct waxwing_near_ratio *ratio, double declared);

#endif
