#include "bench_report.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>
#include <string.h>

static const char *const kind_names[] = {
	[WAXWING_BENCH_EXPERIMENT_SIM] = "sim",
	[WAXWING_BENCH_EXPERIMENT_CREST] = "crest",
	[WAXWING_BENCH_EXPERIMENT_HOL] = "hol",
};

static const struct waxwing_bench_row *row_at(const GArray *rows, guint index)
{
	return &g_array_index(rows, struct waxwing_bench_row, index);
}

/* Row of the central policy with the same seed and load; null if it was not run. */
static const struct waxwing_bench_row *central_row(const GArray *rows,
						   const struct waxwing_bench_row *row)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct waxwing_bench_row *other = row_at(rows, i);

		if (other->policy == &waxwing_bench_policy_central && other->load == row->load &&
		    other->pooled == row->pooled && other->seed == row->seed)
			return other;
	}
	return NULL;
}

static const char *seed_name(const struct waxwing_bench_row *row, char *text, size_t size)
{
	if (row->pooled)
		return "all";
	snprintf(text, size, "%" PRIu64, row->seed);
	return text;
}

static void print_invariants(FILE *out, const struct waxwing_bench_summary *summary)
{
	fprintf(out, " %" PRIu64 "/%" PRIu64 "/%" PRIu64 "\n", summary->double_starts,
		summary->partial_answers, summary->false_not_run);
}

/* 99th percentiles of each branch's response time over the ideal one, in the profile's order. */
static char *branch_ratios(const struct waxwing_bench_profile *profile,
			   const struct waxwing_bench_summary *summary)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < MIN(profile->branch_count, WAXWING_BENCH_MAX_BRANCHES); i++)
		g_string_append_printf(text, "%s%.2f", i ? "/" : "",
				       summary->branches[i].ratio.p99);
	return g_string_free(text, FALSE);
}

static void print_sim(FILE *out, const struct waxwing_bench_profile *profile, const GArray *rows)
{
	fprintf(out, "%-11s %4s %5s %7s %6s %7s %8s %10s %7s %6s %6s %6s %6s %8s %8s %-24s %s\n",
		"policy", "seed", "load", "jobs", "p50", "p99", "p99.9", "short+p99", "wasted",
		"ctl", "refus", "late", "failed", "p50/cen", "p99/cen", "p99, by branch",
		"double/partial/false");
	for (guint i = 0; i < rows->len; i++) {
		const struct waxwing_bench_row *row = row_at(rows, i);
		const struct waxwing_bench_summary *s = &row->summary;
		const struct waxwing_bench_row *central = central_row(rows, row);
		char *ratios = branch_ratios(profile, s);
		char seed[24];

		fprintf(out,
			"%-11s %4s %5.2f %7" PRIu64 " %6.3f %7.3f %8.2f %10.1f %7.4f %6.2f"
			" %6" PRIu64 " %6" PRIu64 " %6" PRIu64,
			row->policy->name, seed_name(row, seed, sizeof(seed)), row->load, s->jobs,
			s->ratio.p50, s->ratio.p99, s->ratio.p999, s->short_extra_ms.p99,
			s->wasted_per_start, s->control_per_start, s->refused,
			s->late + s->unanswered, s->failed);
		if (central)
			fprintf(out, " %8.3f %8.3f", s->ratio.p50 / central->summary.ratio.p50,
				s->ratio.p99 / central->summary.ratio.p99);
		else
			fprintf(out, " %8s %8s", "-", "-");
		fprintf(out, " %-24s", ratios);
		g_free(ratios);
		print_invariants(out, s);
	}
}

/* Returns each branch's share of completed jobs, e.g. "0.98/1.00", in the profile's order. */
static char *branch_shares(const struct waxwing_bench_profile *profile,
			   const struct waxwing_bench_summary *summary)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < MIN(profile->branch_count, WAXWING_BENCH_MAX_BRANCHES); i++) {
		const struct waxwing_bench_branch_summary *count = &summary->branches[i];

		g_string_append_printf(text, "%s%.2f", i ? "/" : "",
				       count->jobs ? (double)count->complete / (double)count->jobs :
						     1);
	}
	return g_string_free(text, FALSE);
}

static void print_peak(FILE *out, const struct waxwing_bench_profile *profile, const GArray *rows)
{
	fprintf(out, "%-11s %4s %6s %7s %8s %8s %8s %8s %8s %8s %7s %-24s %s\n", "policy", "seed",
		"demand", "jobs", "admitted", "in time", "offered", "goodput", "refused", "true",
		"wasted", "served, by branch", "double/partial/false");
	for (guint i = 0; i < rows->len; i++) {
		const struct waxwing_bench_row *row = row_at(rows, i);
		const struct waxwing_bench_summary *s = &row->summary;
		char *shares = branch_shares(profile, s);
		char seed[24];

		fprintf(out,
			"%-11s %4s %6.2f %7" PRIu64 " %8" PRIu64 " %8.4f %8.4f %8.4f %8" PRIu64
			" %8.4f %7.4f %-24s",
			row->policy->name, seed_name(row, seed, sizeof(seed)), row->load, s->jobs,
			s->jobs - s->refused, s->in_time, s->offered, s->goodput, s->refused,
			s->true_refusals, s->wasted_per_start, shares);
		g_free(shares);
		print_invariants(out, s);
	}
}

static void print_hol(FILE *out, const GArray *rows)
{
	fprintf(out, "%-11s %4s %5s %19s %19s %15s %15s %s\n", "policy", "seed", "load",
		"alone ms p50/p99", "behind ms p50/p99", "wait p50/p99", "answer p50/p99",
		"double/partial/false");
	for (guint i = 0; i < rows->len; i++) {
		const struct waxwing_bench_row *row = row_at(rows, i);
		const struct waxwing_bench_percentiles *with = &row->summary.short_wait_ms;
		const struct waxwing_bench_percentiles *alone = &row->without_long.short_wait_ms;
		const struct waxwing_bench_percentiles *answer = &row->summary.short_response_ms;
		const struct waxwing_bench_percentiles *answer_alone =
			&row->without_long.short_response_ms;
		char seed[24];

		fprintf(out, "%-11s %4s %5.2f %9.2f/%9.2f %9.2f/%9.2f %7.2f/%7.2f %7.2f/%7.2f",
			row->policy->name, seed_name(row, seed, sizeof(seed)), row->load,
			alone->p50, alone->p99, with->p50, with->p99, with->p50 / alone->p50,
			with->p99 / alone->p99, answer->p50 / answer_alone->p50,
			answer->p99 / answer_alone->p99);
		print_invariants(out, &row->summary);
	}
}

void waxwing_bench_report_table(FILE *out, const struct waxwing_bench_experiment *experiment,
				const GArray *rows)
{
	fprintf(out, "profile %s, %u entry instances a domain\n", experiment->profile->name,
		experiment->instances ? experiment->instances : experiment->profile->instances);
	switch (experiment->kind) {
	case WAXWING_BENCH_EXPERIMENT_SIM:
		print_sim(out, experiment->profile, rows);
		break;
	case WAXWING_BENCH_EXPERIMENT_CREST:
		print_peak(out, experiment->profile, rows);
		break;
	case WAXWING_BENCH_EXPERIMENT_HOL:
		print_hol(out, rows);
		break;
	}
}

/* Adds a number; an infinite one as null, since JSON has no infinity. */
static void add_number(struct json_object *object, const char *key, double value)
{
	json_object_object_add(object, key, isfinite(value) ? json_object_new_double(value) : NULL);
}

static void add_count(struct json_object *object, const char *key, uint64_t value)
{
	json_object_object_add(object, key, json_object_new_uint64(value));
}

static void add_percentiles(struct json_object *object, const char *key,
			    const struct waxwing_bench_percentiles *percentiles)
{
	struct json_object *inner = json_object_new_object();

	add_number(inner, "p50", percentiles->p50);
	add_number(inner, "p99", percentiles->p99);
	add_number(inner, "p99.9", percentiles->p999);
	json_object_object_add(object, key, inner);
}

static struct json_object *branches_json(const struct waxwing_bench_summary *summary)
{
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < WAXWING_BENCH_MAX_BRANCHES && summary->branches[i].jobs; i++) {
		struct json_object *object = json_object_new_object();

		add_count(object, "jobs", summary->branches[i].jobs);
		add_count(object, "complete", summary->branches[i].complete);
		add_percentiles(object, "ratio", &summary->branches[i].ratio);
		json_object_array_add(list, object);
	}
	return list;
}

struct json_object *waxwing_bench_report_summary(const struct waxwing_bench_summary *summary)
{
	struct json_object *object = json_object_new_object();

	add_count(object, "jobs", summary->jobs);
	add_count(object, "complete", summary->complete);
	add_count(object, "failed", summary->failed);
	add_count(object, "cancelled", summary->cancelled);
	add_count(object, "refused", summary->refused);
	add_count(object, "late", summary->late);
	add_count(object, "unanswered", summary->unanswered);
	add_percentiles(object, "ratio", &summary->ratio);
	add_percentiles(object, "response_ms", &summary->response_ms);
	add_percentiles(object, "short_wait_ms", &summary->short_wait_ms);
	add_percentiles(object, "short_response_ms", &summary->short_response_ms);
	add_percentiles(object, "short_extra_ms", &summary->short_extra_ms);
	json_object_object_add(object, "branches", branches_json(summary));
	add_number(object, "offered", summary->offered);
	add_number(object, "in_time", summary->in_time);
	add_number(object, "goodput", summary->goodput);
	add_number(object, "lost_cancelled", summary->lost_work.cancelled);
	add_number(object, "lost_failed", summary->lost_work.failed);
	add_number(object, "lost_late", summary->lost_work.late);
	add_number(object, "lost_run_on", summary->lost_work.after_end);
	add_number(object, "true_refusals", summary->true_refusals);
	add_number(object, "wasted_per_start", summary->wasted_per_start);
	add_number(object, "control_per_start", summary->control_per_start);
	add_count(object, "starts", summary->starts);
	add_count(object, "failed_starts", summary->failed_starts);
	add_count(object, "resubmissions", summary->resubmissions);
	add_count(object, "double_starts", summary->double_starts);
	add_count(object, "partial_answers", summary->partial_answers);
	add_count(object, "false_not_run", summary->false_not_run);
	return object;
}

static struct json_object *row_json(const struct waxwing_bench_experiment *experiment,
				    const struct waxwing_bench_row *row)
{
	struct json_object *object = json_object_new_object();
	char seed[24];

	json_object_object_add(object, "policy", json_object_new_string(row->policy->name));
	json_object_object_add(object, "seed",
			       json_object_new_string(seed_name(row, seed, sizeof(seed))));
	add_number(object, "load", row->load);
	json_object_object_add(object, "measures", waxwing_bench_report_summary(&row->summary));
	if (experiment->kind == WAXWING_BENCH_EXPERIMENT_HOL)
		json_object_object_add(object, "alone",
				       waxwing_bench_report_summary(&row->without_long));
	return object;
}

char *waxwing_bench_report_json(const struct waxwing_bench_experiment *experiment,
				const GArray *rows)
{
	struct json_object *object = json_object_new_object();
	struct json_object *list = json_object_new_array();
	char *text;

	json_object_object_add(object, "experiment",
			       json_object_new_string(kind_names[experiment->kind]));
	json_object_object_add(object, "profile",
			       json_object_new_string(experiment->profile->name));
	add_count(object, "instances",
		  experiment->instances ? experiment->instances : experiment->profile->instances);
	for (guint i = 0; i < rows->len; i++)
		json_object_array_add(list, row_json(experiment, row_at(rows, i)));
	json_object_object_add(object, "rows", list);
	text = g_strdup(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PRETTY));
	json_object_put(object);
	return text;
}
