#include "near_wait.h"

#include <glib.h>
#include <math.h>

/*
 * A wait must end the task sooner by more than this share of the far duration, which allows for
 * errors of the estimates; the second value is used while the durations are not measured.
 */
#define MARGIN_SHARE	      0.1
#define DECLARED_MARGIN_SHARE 0.2
/*
 * From this share of the capacity in use on, there is none to spare: the rest is left over on
 * executors without room for another task.
 */
#define BUSY_LOAD 0.85

/* Number of runs near, and of runs far, from which on the learned ratio is used. */
#define MIN_SAMPLES 16.0
/* Number of samples over which durations are averaged. */
#define AVERAGE_SAMPLES 200.0
/* Bounds the effect of one sample on the mean logarithm. */
#define MAX_LOG_STEP 1.5
/* Longest queue for a rack that is considered. */
#define MAX_QUEUE 256

/* Upper bound of the learned factor. */
#define MAX_FACTOR 16.0

static struct waxwing_near_wait_decision run_far(const struct waxwing_near_wait_input *input,
						 enum waxwing_near_wait_reason reason)
{
	return (struct waxwing_near_wait_decision){ false, input->now_ms, reason };
}

static struct waxwing_near_wait_decision wait_until(const struct waxwing_near_wait_input *input,
						    double left_ms,
						    enum waxwing_near_wait_reason reason)
{
	return (struct waxwing_near_wait_decision){ true, input->now_ms + (int64_t)left_ms,
						    reason };
}

struct waxwing_near_wait_decision
waxwing_near_wait_decide(const struct waxwing_near_wait_input *input)
{
	double allowed_ms = input->far_ms - input->near_ms; /* what running far costs the task */
	double left_ms = allowed_ms - input->waited_ms;
	double near_end_ms = input->near_free_ms + input->near_ms;
	double margin_ms = input->far_ms * (input->learned ? MARGIN_SHARE : DECLARED_MARGIN_SHARE);
	double due_in_ms = (double)(input->due_ms - input->now_ms);
	double patience_ms = (double)(input->give_up_ms - input->now_ms);

	if (input->policy == WAXWING_NEAR_WAIT_NEVER)
		return run_far(input, WAXWING_NEAR_WAIT_POLICY);
	if (input->near_free_ms < 0)
		return run_far(input, WAXWING_NEAR_WAIT_NO_PLACE);
	if (input->policy == WAXWING_NEAR_WAIT_ALWAYS)
		return wait_until(input, input->near_free_ms, WAXWING_NEAR_WAIT_POLICY);
	if (allowed_ms <= 0)
		return run_far(input, WAXWING_NEAR_WAIT_NO_GAIN);
	if (left_ms <= 0)
		return run_far(input, WAXWING_NEAR_WAIT_EXHAUSTED);
	if (input->near_free_ms > left_ms)
		return run_far(input,
			       input->late ? WAXWING_NEAR_WAIT_LATE : WAXWING_NEAR_WAIT_TOO_LONG);
	if ((near_end_ms <= due_in_ms && input->far_ms > due_in_ms) ||
	    (near_end_ms <= patience_ms && input->far_ms > patience_ms))
		return wait_until(input, left_ms, WAXWING_NEAR_WAIT_IN_TIME);
	/* a late task runs where it ends first */
	if (input->near_free_ms > input->limit_ms)
		return run_far(input, WAXWING_NEAR_WAIT_CONTENDED);
	if (near_end_ms + (input->late ? 0 : margin_ms) < input->far_ms)
		return wait_until(input, left_ms, WAXWING_NEAR_WAIT_SOONER);
	/* in expectation the wait costs the task nothing, and others get the capacity it saves */
	if (input->load >= BUSY_LOAD)
		return wait_until(input, left_ms, WAXWING_NEAR_WAIT_SAVES_WORK);
	return run_far(input, input->late ? WAXWING_NEAR_WAIT_LATE : WAXWING_NEAR_WAIT_NO_GAIN);
}

/*
 * A queue of tasks for the rack, with Poisson arrivals and at most @length of them waiting; the
 * others run far. The mean cost of a task is its wait, or the additional duration far. The Erlang B
 * formula gives the share of time in which all places are in use without a queue.
 */
double waxwing_near_wait_limit_ms(double offered, uint32_t places, double near_ms, double far_ms)
{
	double busy = 1;
	double ratio = offered / places;
	double place_ms = near_ms / places; /* mean time between ends */
	double total = 1; /* weight of all states, relative to that without a queue */
	double state; /* weight of the state with the longest queue */
	double wait_ms = 0; /* weighted */
	double best_ms;
	uint32_t length = 0;

	for (uint32_t i = 1; i <= places; i++)
		busy = offered * busy / (i + offered * busy);
	state = busy;
	best_ms = state * (far_ms - near_ms);
	while (length < MAX_QUEUE && (length + 1) * place_ms < far_ms - near_ms) {
		double cost_ms;

		wait_ms += state * (length + 1) * place_ms;
		state *= ratio;
		total += state;
		cost_ms = (wait_ms + state * (far_ms - near_ms)) / total;
		if (cost_ms > best_ms)
			return length * place_ms;
		best_ms = cost_ms;
		length++;
	}
	return far_ms - near_ms;
}

const char *waxwing_near_wait_reason_name(enum waxwing_near_wait_reason reason)
{
	static const char *const names[] = {
		"sooner",  "in_time",  "saves_work", "policy",	  "no_place",
		"no_gain", "too_long", "exhausted",  "contended", "late",
	};

	return names[reason];
}

static void average(double *mean, double *samples, double value)
{
	double step = *samples > 0 ? CLAMP(value - *mean, -MAX_LOG_STEP, MAX_LOG_STEP) : value;

	*samples = MIN(*samples + 1, AVERAGE_SAMPLES);
	*mean += step / *samples;
}

void waxwing_near_ratio_learn(struct waxwing_near_ratio *ratio, bool near, double relative)
{
	if (near)
		average(&ratio->near_log_mean, &ratio->near_samples, log(relative));
	else
		average(&ratio->far_log_mean, &ratio->far_samples, log(relative));
}

bool waxwing_near_ratio_lacks_far(const struct waxwing_near_ratio *ratio)
{
	return ratio->far_samples < MIN_SAMPLES;
}

bool waxwing_near_ratio_known(const struct waxwing_near_ratio *ratio)
{
	return ratio->near_samples >= MIN_SAMPLES && ratio->far_samples >= MIN_SAMPLES;
}

double waxwing_near_ratio_factor(const struct waxwing_near_ratio *ratio, double declared)
{
	if (!waxwing_near_ratio_known(ratio))
		return declared;
	return CLAMP(exp(ratio->far_log_mean - ratio->near_log_mean), 1, MAX_FACTOR);
}
