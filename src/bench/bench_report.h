/**
 * Reports of bench experiments, as a table for people or as JSON.
 */
#ifndef WAXWING_BENCH_REPORT_H
#define WAXWING_BENCH_REPORT_H

#include "bench_experiment.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>

/** Prints the rows of waxwing_bench_experiment_run() as a table. */
void waxwing_bench_report_table(FILE *out, const struct waxwing_bench_experiment *experiment,
				const GArray *rows);

/** The same rows, with every measure, as one JSON document; freed with g_free(). */
char *waxwing_bench_report_json(const struct waxwing_bench_experiment *experiment,
				const GArray *rows);

/** One summary as a JSON object, which the caller owns. */
struct json_object *waxwing_bench_report_summary(const struct waxwing_bench_summary *summary);

#endif
