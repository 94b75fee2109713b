#include "bench_load.h"

#include "bench_report.h"

#include <inttypes.h>
#include <stdio.h>

static void print_starts(const struct waxwing_bench_load_result *result)
{
	const struct waxwing_bench_summary *summary = &result->summary;

	printf("response ms p50 %.1f p99 %.1f p99.9 %.1f\n", summary->response_ms.p50,
	       summary->response_ms.p99, summary->response_ms.p999);
	if (!result->has_logs)
		return;
	printf("%8s %8s %8s %10s %8s\n", "offered", "goodput", "starts", "started 2x", "true");
	printf("%8.4f %8.4f %8" PRIu64 " %10" PRIu64 " %8.4f\n", summary->offered, summary->goodput,
	       summary->starts, summary->double_starts, summary->true_refusals);
}

static void print_details(const struct waxwing_bench_load_result *result)
{
	for (int i = 0; i < WAXWING_BENCH_MAX_BRANCHES; i++) {
		const struct waxwing_bench_branch_summary *branch = &result->summary.branches[i];

		if (branch->jobs)
			printf("branch %d: %" PRIu64 " of %" PRIu64
			       " complete, p50 %.3f, p99 %.3f\n",
			       i + 1, branch->complete, branch->jobs, branch->ratio.p50,
			       branch->ratio.p99);
	}
	for (int i = 0; i < WAXWING_ERROR_COUNT; i++) {
		if (result->error_counts[i])
			printf("answered %s: %" PRIu64 "\n",
			       waxwing_error_name((enum waxwing_error_code)i),
			       result->error_counts[i]);
	}
}

static struct json_object *codes_json(const struct waxwing_bench_load_result *result)
{
	struct json_object *object = json_object_new_object();

	for (int i = 0; i < WAXWING_ERROR_COUNT; i++) {
		if (result->error_counts[i])
			json_object_object_add(object,
					       waxwing_error_name((enum waxwing_error_code)i),
					       json_object_new_uint64(result->error_counts[i]));
	}
	return object;
}

/* Removes figures that only the simulation or the missing logs provide; they would print as 0. */
static void drop_unmeasured(const struct waxwing_bench_load_result *result,
			    struct json_object *object)
{
	static const char *const sim_only[] = { "short_wait_ms",     "wasted_per_start",
						"control_per_start", "partial_answers",
						"failed_starts",     "resubmissions",
						"lost_cancelled",    "lost_failed",
						"lost_late",	     "lost_run_on" };
	static const char *const logs_only[] = { "offered",	  "goodput",	   "true_refusals",
						 "false_not_run", "double_starts", "starts" };

	for (size_t i = 0; i < G_N_ELEMENTS(sim_only); i++)
		json_object_object_del(object, sim_only[i]);
	for (size_t i = 0; !result->has_logs && i < G_N_ELEMENTS(logs_only); i++)
		json_object_object_del(object, logs_only[i]);
}

void waxwing_bench_load_report(const struct waxwing_bench_load_result *result, bool json)
{
	const struct waxwing_bench_summary *summary = &result->summary;
	struct json_object *object;

	if (!json) {
		printf("%7s %6s %7s %8s %10s %6s %6s %6s %8s %7s %6s %7s %7s %10s %7s\n", "jobs",
		       "p50", "p99", "p99.9", "short+p99", "refus", "late", "failed", "in time",
		       "unknown", "wrong", "repeats", "unlike", "sends +p99", "span s");
		printf("%7" PRIu64 " %6.3f %7.3f %8.2f %10.1f %6" PRIu64 " %6" PRIu64 " %6" PRIu64
		       " %8.4f %7" PRIu64 " %6" PRIu64 " %7" PRIu64 " %7" PRIu64 " %10.2f %7.1f\n",
		       summary->jobs, summary->ratio.p50, summary->ratio.p99, summary->ratio.p999,
		       summary->short_extra_ms.p99, summary->refused, summary->late,
		       summary->failed, summary->in_time, result->unknown, result->wrong_answers,
		       result->repeats, result->differing_repeats, result->send_delay_ms.p99,
		       result->duration_s);
		print_starts(result);
		print_details(result);
		return;
	}
	object = waxwing_bench_report_summary(summary);
	drop_unmeasured(result, object);
	json_object_object_add(object, "unknown", json_object_new_uint64(result->unknown));
	json_object_object_add(object, "wrong_answers",
			       json_object_new_uint64(result->wrong_answers));
	json_object_object_add(object, "repeats", json_object_new_uint64(result->repeats));
	json_object_object_add(object, "unlike_repeats",
			       json_object_new_uint64(result->differing_repeats));
	json_object_object_add(object, "codes", codes_json(result));
	json_object_object_add(object, "late_sends_p99_ms",
			       json_object_new_double(result->send_delay_ms.p99));
	json_object_object_add(object, "span_s", json_object_new_double(result->duration_s));
	puts(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PRETTY));
	json_object_put(object);
}
