#include "estimate.h"

#include <glib.h>
#include <math.h>

/** Total weight at which the weights of all samples are halved. */
#define HALVING_WEIGHT 2000.0

/** Weight of the declared run time, as a number of samples. */
#define PRIOR_SAMPLES 4.0

/** Number of samples over which means and speeds are averaged. */
#define AVERAGE_SAMPLES 400.0

/** Variance of the logarithm of the work: initial value, and minimum for weighting samples. */
#define PRIOR_LOG_VARIANCE 1.0
#define MIN_LOG_VARIANCE   0.02

/**
 * Means and residuals are recomputed once the new samples reach this share of all samples or this
 * number.
 */
#define REFRESH_SHARE	    0.02
#define REFRESH_MAX_SAMPLES 32u

/** Number of standard errors by which the optimistic log-speed exceeds the estimate. */
#define OPTIMISM_ERRORS 0.5

/** Limit on the deviation of a sample from log_speed, which bounds the effect of outliers. */
#define MAX_LOG_STEP 3.0

static size_t bucket_of(double work_ms)
{
	double index;

	if (work_ms <= 1)
		return 0;
	index = log2(work_ms) * WAXWING_WORK_BUCKETS_PER_OCTAVE;
	return MIN((size_t)index, WAXWING_WORK_BUCKETS - 1);
}

static double bucket_low(size_t bucket)
{
	return exp2((double)bucket / WAXWING_WORK_BUCKETS_PER_OCTAVE);
}

static double bucket_middle(size_t bucket)
{
	return exp2(((double)bucket + 0.5) / WAXWING_WORK_BUCKETS_PER_OCTAVE);
}

void waxwing_speed_init(struct waxwing_speed_estimate *speed, double value)
{
	speed->log_speed = log(value);
	speed->value = value;
	speed->weight = 0;
}

double waxwing_speed_optimistic(const struct waxwing_speed_estimate *speed)
{
	return exp(speed->log_speed + OPTIMISM_ERRORS / sqrt(1 + speed->weight));
}

static void update_residuals(struct waxwing_work_estimate *work)
{
	double count = 0;
	double sum = 0;

	for (size_t i = WAXWING_WORK_BUCKETS; i-- > 0;) {
		double low = bucket_low(i);

		count += work->counts[i];
		sum += work->counts[i] * bucket_middle(i);
		/* Beyond the longest sample, remaining work is assumed to equal the work done. */
		work->residual_ms[i] = (float)low;
		if (count > 0)
			work->residual_ms[i] = (float)MAX(sum / count - low, low * 0.1);
	}
}

static void update_derived(struct waxwing_work_estimate *work)
{
	double sum = 0;
	double inverse = 0;

	for (size_t i = 0; i < WAXWING_WORK_BUCKETS; i++) {
		sum += work->counts[i] * bucket_middle(i);
		inverse += work->counts[i] / bucket_middle(i);
	}
	work->mean_ms = sum / work->total_weight;
	work->harmonic_mean_ms = work->total_weight / inverse;
	update_residuals(work);
	work->new_samples = 0;
}

static void add_weight(struct waxwing_work_estimate *work, double work_ms, double weight)
{
	work->counts[bucket_of(work_ms)] += (float)weight;
	work->total_weight += weight;
}

void waxwing_work_init(struct waxwing_work_estimate *work, uint32_t declared_ms)
{
	double declared = MAX(declared_ms, 1);

	*work = (struct waxwing_work_estimate){
		.log_mean = log(declared),
		.log_variance = PRIOR_LOG_VARIANCE,
	};
	add_weight(work, declared / 2, PRIOR_SAMPLES * 0.3);
	add_weight(work, declared, PRIOR_SAMPLES * 0.4);
	add_weight(work, declared * 2, PRIOR_SAMPLES * 0.25);
	add_weight(work, declared * 8, PRIOR_SAMPLES * 0.05);
	update_derived(work);
}

static void decay(struct waxwing_work_estimate *work)
{
	if (work->total_weight < HALVING_WEIGHT)
		return;
	for (size_t i = 0; i < WAXWING_WORK_BUCKETS; i++)
		work->counts[i] /= 2;
	work->total_weight /= 2;
	work->samples /= 2;
}

void waxwing_work_learn(struct waxwing_work_estimate *work, double work_ms)
{
	double log_work = log(MAX(work_ms, 1));
	double share = 1 / MIN(work->samples + PRIOR_SAMPLES, AVERAGE_SAMPLES);
	double step = log_work - work->log_mean;

	work->log_mean += share * step;
	work->log_variance += share * (step * step - work->log_variance);
	work->samples++;
	add_weight(work, work_ms, 1);
	decay(work);
	work->new_samples++;
	if (work->new_samples >= REFRESH_MAX_SAMPLES ||
	    work->new_samples >= work->samples * REFRESH_SHARE)
		update_derived(work);
}

void waxwing_estimate_learn(struct waxwing_work_estimate *work,
			    struct waxwing_speed_estimate *speed, double run_ms)
{
	double run = MAX(run_ms, 0.5);
	double variance = MAX(work->log_variance, MIN_LOG_VARIANCE);
	double step = work->log_mean - log(run) - speed->log_speed;
	double work_ms = run * speed->value;

	if (work->samples >= PRIOR_SAMPLES) {
		double weight = 1 / variance;

		speed->weight = MIN(speed->weight + weight, AVERAGE_SAMPLES);
		step = CLAMP(step, -MAX_LOG_STEP, MAX_LOG_STEP);
		speed->log_speed += step * weight / (speed->weight + PRIOR_SAMPLES);
		speed->value = exp(speed->log_speed);
	}
	waxwing_work_learn(work, work_ms);
}

double waxwing_work_quantile(const struct waxwing_work_estimate *work, double share)
{
	double remaining = share * work->total_weight;

	for (size_t i = 0; i < WAXWING_WORK_BUCKETS; i++) {
		double count = work->counts[i];

		if (count > 0 && remaining <= count)
			return exp2(((double)i + remaining / count) /
				    WAXWING_WORK_BUCKETS_PER_OCTAVE);
		remaining -= count;
	}
	return bucket_low(WAXWING_WORK_BUCKETS);
}

double waxwing_work_residual(const struct waxwing_work_estimate *work, double done_ms)
{
	return work->residual_ms[bucket_of(done_ms)];
}
