/**
 * Estimates of the run times of tasks and of the speeds of upstreams.
 *
 * Run times are stored as work: milliseconds on an upstream of speed 1. Both estimates use the
 * same samples: a run time gives the work if the speed is known, and the speed if the typical
 * work is known. Old samples decay, so the estimates follow a change within some hundred samples.
 * Not thread-safe.
 */
#ifndef WAXWING_ESTIMATE_H
#define WAXWING_ESTIMATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Logarithmic buckets of a histogram of work, WAXWING_WORK_BUCKETS_PER_OCTAVE for each doubling.
 */
#define WAXWING_WORK_BUCKETS		80
#define WAXWING_WORK_BUCKETS_PER_OCTAVE 4

/** Estimated speed of an upstream; initialised with waxwing_speed_init(). */
struct waxwing_speed_estimate {
	double log_speed;
	double weight; /**< sum of the weights of the samples, bounded */
	double value; /**< exp(log_speed) */
};

/** Estimated distribution of the work of a class of tasks; initialised with waxwing_work_init(). */
struct waxwing_work_estimate {
	float counts[WAXWING_WORK_BUCKETS]; /**< weight of the samples in each bucket */
	/** Mean remaining work of a task whose work done so far falls into the bucket. */
	float residual_ms[WAXWING_WORK_BUCKETS];
	double total_weight; /**< sum of the counts */
	double samples; /**< number of measured samples, decayed; excludes the declared run time */
	double mean_ms;
	double harmonic_mean_ms;
	double log_mean; /**< mean of the logarithm of the work */
	double log_variance; /**< variance of the logarithm of the work */
	uint32_t new_samples; /**< samples since the means and residuals were computed */
};

void waxwing_speed_init(struct waxwing_speed_estimate *speed, double value);

/**
 * Returns an optimistic speed: above the estimate by an error bound that shrinks as samples are
 * added.
 */
double waxwing_speed_optimistic(const struct waxwing_speed_estimate *speed);

/** Initialises with the declared run time, which a few measured samples outweigh. */
void waxwing_work_init(struct waxwing_work_estimate *work, uint32_t declared_ms);

/** Updates both estimates with the run time of a task of this class on this upstream. */
void waxwing_estimate_learn(struct waxwing_work_estimate *work,
			    struct waxwing_speed_estimate *speed, double run_ms);

/** Updates only the distribution of work, with the work of one task. */
void waxwing_work_learn(struct waxwing_work_estimate *work, double work_ms);

/** Returns the quantile @share (0 to 1) of the work. */
double waxwing_work_quantile(const struct waxwing_work_estimate *work, double share);

/** Returns the mean remaining work of a task that has done @done_ms of work. */
double waxwing_work_residual(const struct waxwing_work_estimate *work, double done_ms);

#endif
