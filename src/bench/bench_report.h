/**
 * Reports of bench experiments as tables or JSON.
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

/** Returns the rows with all measures as a JSON document. Free with g_free(). */
char *waxwing_bench_report_json(const struct waxwing_bench_experiment *experiment,
				const GArray *rows);

/** Returns a summary as a JSON object owned by the caller. */
struct json_object *waxwing_bench_report_summary(const struct waxwing_bench_summary *summary);

#endif
