/**
 * Learnt run times of tasks and learnt speeds of upstreams.
 *
 * Run times are kept as work: milliseconds on an upstream of speed 1. Both are learnt from the same
 * samples: a run time tells the work if the speed is known, and the speed if the usual work is known.
 * Old samples fade, so a change is followed within some hundred samples. No clock; not thread-safe.
 */
#ifndef WAXWING_ESTIMATE_H
#define WAXWING_ESTIMATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Buckets of a histogram of work, with WAXWING_WORK_BUCKETS_PER_OCTAVE a doubling. */
#define WAXWING_WORK_BUCKETS		80
#define WAXWING_WORK_BUCKETS_PER_OCTAVE 4

/** Speed of an upstream; initialise with waxwing_speed_init(). */
struct waxwing_speed {
	double log_speed;
	double weight; /**< of the samples so far */
	double value; /**< exp(log_speed) */
};

/** Distribution of the work of one kind of task; initialise with waxwing_work_init(). */
struct waxwing_work {
	float counts[WAXWING_WORK_BUCKETS];
	float residual_ms
		[WAXWING_WORK_BUCKETS]; /**< mean work left, for work done up to a bucket */
	double total;
	double samples; /**< real ones, faded */
	double mean_ms;
	double harmonic_ms; /**< 1 / mean(1 / work) */
	double log_mean;
	double log_variance;
	uint32_t stale; /**< samples since the derived figures were worked out */
};

void waxwing_speed_init(struct waxwing_speed *speed, double value);

/** The speed that it may well have: higher than what is learnt while few samples tell. */
double waxwing_speed_hoped(const struct waxwing_speed *speed);

/** Starts from a declared run time, which few real samples outweigh. */
void waxwing_work_init(struct waxwing_work *work, uint32_t declared_ms);

/** Learns one run of a task of this kind on an upstream of this speed. */
void waxwing_estimate_learn(struct waxwing_work *work, struct waxwing_speed *speed, double run_ms);

/** Learns work of which the speed is taken as known. */
void waxwing_work_learn(struct waxwing_work *work, double work_ms);

/** The work that a share (0 to 1) of the tasks does not exceed. */
double waxwing_work_quantile(const struct waxwing_work *work, double share);

/** Mean work left of a task that has done @done_ms of it. */
double waxwing_work_residual(const struct waxwing_work *work, double done_ms);

#endif
