/**
 * Histograms of durations with fixed buckets, printed in the Prometheus text format. Not
 * thread-safe.
 */
#ifndef WAXWING_HISTOGRAM_H
#define WAXWING_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/** Inclusive upper bounds of the buckets in milliseconds; one more bucket holds larger values. */
#define WAXWING_HISTOGRAM_BOUNDS                                                                   \
	{                                                                                          \
		1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000                        \
	}
#define WAXWING_HISTOGRAM_BUCKETS 14

/** A histogram; zero-initialise it. */
struct waxwing_histogram {
	uint64_t counts[WAXWING_HISTOGRAM_BUCKETS];
	int64_t sum_ms;
};

void waxwing_histogram_add(struct waxwing_histogram *histogram, int64_t ms);

/** Appends the series to @text. @labels is "" or label pairs that end in a comma: `cell="a",`. */
void waxwing_histogram_print(const struct waxwing_histogram *histogram, GString *text,
			     const char *name, const char *labels);

#endif
