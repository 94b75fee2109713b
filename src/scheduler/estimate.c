#include "estimate.h"

#include <glib.h>
#include <math.h>

/** Samples after which old ones count half. */
#define HALVE_AT 2000.0

/** Weight of the declared run time, in samples. */
#define PRIOR_SAMPLES 4.0

/** Samples that a learnt mean or speed averages over. */
#define AVERAGE_SAMPLES 400.0

/** Log-variance assumed before samples tell, and the least that is assumed. */
#define PRIOR_LOG_VARIANCE 1.0
#define LEAST_LOG_VARIANCE 0.02

/** Derived figures are worked out after this share of new samples, or this many. */
#define STALE_SHARE 0.02
#define STALE_MOST  32u

/** Standard errors by which a speed is hoped to exceed what is learnt. */
#define HOPED_ERRORS 0.5

/** A speed moves by at most this in the logarithm a sample. */
#define LOG_STEP_MOST 3.0

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

void waxwing_speed_init(struct waxwing_speed *speed, double value)
{
	speed->log_speed = log(value);
	speed->value = value;
	speed->weight = 0;
}

double waxwing_speed_hoped(const struct waxwing_speed *speed)
{
	return exp(speed->log_speed + HOPED_ERRORS / sqrt(1 + speed->weight));
}

static void derive_residuals(struct waxwing_work *work)
{
	double count = 0;
	double sum = 0;

	for (size_t i = WAXWING_WORK_BUCKETS; i-- > 0;) {
		double low = bucket_low(i);

		count += work->counts[i];
		sum += work->counts[i] * bucket_middle(i);
		/* beyond the longest seen, a task is as likely as not to double */
		work->residual_ms[i] = (float)low;
		if (count > 0)
			work->residual_ms[i] = (float)MAX(sum / count - low, low * 0.1);
	}
}

static void derive(struct waxwing_work *work)
{
	double sum = 0;
	double inverse = 0;

	for (size_t i = 0; i < WAXWING_WORK_BUCKETS; i++) {
		sum += work->counts[i] * bucket_middle(i);
		inverse += work->counts[i] / bucket_middle(i);
	}
	work->mean_ms = sum / work->total;
	work->harmonic_ms = work->total / inverse;
	derive_residuals(work);
	work->stale = 0;
}

static void add(struct waxwing_work *work, double work_ms, double weight)
{
	work->counts[bucket_of(work_ms)] += (float)weight;
	work->total += weight;
}

void waxwing_work_init(struct waxwing_work *work, uint32_t declared_ms)
{
	double declared = MAX(declared_ms, 1);

	*work = (struct waxwing_work){
		.log_mean = log(declared),
		.log_variance = PRIOR_LOG_VARIANCE,
	};
	add(work, declared / 2, PRIOR_SAMPLES * 0.3);
	add(work, declared, PRIOR_SAMPLES * 0.4);
	add(work, declared * 2, PRIOR_SAMPLES * 0.25);
	add(work, declared * 8, PRIOR_SAMPLES * 0.05);
	derive(work);
}

static void fade(struct waxwing_work *work)
{
	if (work->total < HALVE_AT)
		return;
	for (size_t i = 0; i < WAXWING_WORK_BUCKETS; i++)
		work->counts[i] /= 2;
	work->total /= 2;
	work->samples /= 2;
}

void waxwing_work_learn(struct waxwing_work *work, double work_ms)
{
	double log_work = log(MAX(work_ms, 1));
	double share = 1 / MIN(work->samples + PRIOR_SAMPLES, AVERAGE_SAMPLES);
	double step = log_work - work->log_mean;

	work->log_mean += share * step;
	work->log_variance += share * (step * step - work->log_variance);
	work->samples++;
	add(work, work_ms, 1);
	fade(work);
	work->stale++;
	if (work->stale >= STALE_MOST || work->stale >= work->samples * STALE_SHARE)
		derive(work);
}

void waxwing_estimate_learn(struct waxwing_work *work, struct waxwing_speed *speed, double run_ms)
{
	double run = MAX(run_ms, 0.5);
	double variance = MAX(work->log_variance, LEAST_LOG_VARIANCE);
	double step = work->log_mean - log(run) - speed->log_speed;
	double work_ms = run * speed->value;

	if (work->samples >= PRIOR_SAMPLES) {
		double weight = 1 / variance;

		speed->weight = MIN(speed->weight + weight, AVERAGE_SAMPLES);
		step = CLAMP(step, -LOG_STEP_MOST, LOG_STEP_MOST);
		speed->log_speed += step * weight / (speed->weight + PRIOR_SAMPLES);
		speed->value = exp(speed->log_speed);
	}
	waxwing_work_learn(work, work_ms);
}

double waxwing_work_quantile(const struct waxwing_work *work, double share)
{
	double left = share * work->total;

	for (size_t i = 0; i < WAXWING_WORK_BUCKETS; i++) {
		double count = work->counts[i];

		if (count > 0 && left <= count)
			return exp2(((double)i + left / count) / WAXWING_WORK_BUCKETS_PER_OCTAVE);
		left -= count;
	}
	return bucket_low(WAXWING_WORK_BUCKETS);
}

double waxwing_work_residual(const struct waxwing_work *work, double done_ms)
{
	return work->residual_ms[bucket_of(done_ms)];
}
