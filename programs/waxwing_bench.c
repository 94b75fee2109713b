/*
 * waxwing-bench: measures scheduling decisions under load and compares policies.
 */
#include "bench_experiment.h"
#include "bench_load.h"
#include "bench_report.h"
#include "bench_scale.h"
#include "http_client.h"

#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_PROBE_CALLS 300
#define MAX_LIST_ITEMS	    64
#define MAX_INSTANCES	    64
#define MAX_JOBS	    10000000
#define MAX_LOAD	    100.0

const char *argp_program_version = "waxwing-bench 0.1.0";

enum command {
	COMMAND_NONE,
	COMMAND_EXPERIMENT,
	COMMAND_SCALE,
	COMMAND_LOAD,
	COMMAND_PROBE,
	COMMAND_LIST,
};

struct bench_arguments {
	struct waxwing_bench_experiment experiment;
	const struct waxwing_bench_policy_ops *policies[MAX_LIST_ITEMS];
	uint64_t seeds[MAX_LIST_ITEMS];
	double loads[MAX_LIST_ITEMS];
	char *addresses[MAX_LIST_ITEMS + 1]; /**< IP:port of the entry instances; null-terminated */
	size_t address_count;
	const char *logs; /**< directory of the upstreams' logs (*.tasks); null: none */
	enum command command;
	bool crest; /**< load command: use the crest experiment's demand and deadlines */
	bool json;
};

enum {
	OPTION_JSON = 256,
	OPTION_SWING,
	OPTION_QUIET,
	OPTION_CREST,
	OPTION_NO_FAULTS,
	OPTION_LOGS,
};

static const struct argp_option options[] = {
	{ "profile", 'p', "NAME", 0, "load profile (trial)", 0 },
	{ "policies", 'P', "A,B", 0, "policies to compare (all)", 0 },
	{ "seeds", 's', "1,2", 0, "random seeds; every policy runs once for each (1)", 0 },
	{ "load", 'l', "L,M", 0, "ratio of demand to capacity (0.7; crest: 0.5,0.9,1.2,2,5)", 0 },
	{ "instances", 'i', "N", 0, "entry instances per failure domain (default: the profile's)",
	  0 },
	{ "jobs", 'j', "N", 0, "jobs per run (6000); crest uses as many as it needs", 0 },
	{ "swing", OPTION_SWING, "F", 0, "sim, hol: ratio of highest to lowest demand (1)", 0 },
	{ "no-faults", OPTION_NO_FAULTS, NULL, 0,
	  "no mass cancellations and no upstream that fails all tasks", 0 },
	{ "crest", OPTION_CREST, NULL, 0, "load: demand varies up to --load, callers set deadlines",
	  0 },
	{ "logs", OPTION_LOGS, "FOLDER", 0,
	  "load: folder of upstream logs (*.tasks), for starts, goodput, true refusals", 0 },
	{ "json", OPTION_JSON, NULL, 0, "print JSON instead of a table", 0 },
	{ "quiet", OPTION_QUIET, NULL, 0, "do not print progress to standard error", 0 },
	{ 0 },
};

static const char doc[] =
	"Measures waxwingswitch's decisions in virtual time, reproducible for each seed.\n\n"
	"Commands:\n"
	"  sim    response time divided by the ideal, and wasted messages, at steady demand\n"
	"  crest  quality of service at demand of up to --load times capacity\n"
	"  hol    wait of short tasks beside long ones, divided by their wait alone\n"
	"  scale  CPU time, memory and message sizes of the modules\n"
	"  list   the profiles and policies\n"
	"  load INSTANCE...         jobs over HTTP to entry instances (IP:port)\n"
	"  probe INSTANCE UPSTREAM  latency through an instance and without it\n"
	"\vExit status: 0 on success; 1 if the command failed, a task started twice, an answer was "
	"partial or wrong, or a task reported as not run had started; 64 for an invalid command "
	"line.";

/* Calls @add for each item of a comma-separated list. */
static void parse_list(struct argp_state *state, const char *text, size_t *count,
		       void (*add)(struct argp_state *state, const char *item, size_t index))
{
	gchar **items = g_strsplit(text, ",", MAX_LIST_ITEMS + 1);

	*count = g_strv_length(items);
	if (*count > MAX_LIST_ITEMS)
		argp_error(state, "more than %d items: %s", MAX_LIST_ITEMS, text);
	for (size_t i = 0; i < *count; i++)
		add(state, items[i], i);
	g_strfreev(items);
}

static uint64_t parse_count(struct argp_state *state, const char *text, uint64_t min, uint64_t max)
{
	char *end;
	uint64_t value;

	errno = 0;
	value = g_ascii_strtoull(text, &end, 10);
	if (errno || *end || end == text || *text == '-' || value < min || value > max)
		argp_error(state,
			   "not a number from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT ": %s",
			   min, max, text);
	return value;
}

static double parse_number(struct argp_state *state, const char *text, double min, double max)
{
	char *end;
	double value = g_ascii_strtod(text, &end);

	if (*end || end == text || !(value >= min && value <= max))
		argp_error(state, "not a number from %g to %g: %s", min, max, text);
	return value;
}

static void add_policy(struct argp_state *state, const char *item, size_t index)
{
	struct bench_arguments *arguments = state->input;

	arguments->policies[index] = waxwing_bench_policy_find(item);
	if (!arguments->policies[index])
		argp_error(state, "no such policy: %s", item);
}

static void add_seed(struct argp_state *state, const char *item, size_t index)
{
	struct bench_arguments *arguments = state->input;

	arguments->seeds[index] = parse_count(state, item, 0, UINT64_MAX);
}

static void add_load(struct argp_state *state, const char *item, size_t index)
{
	struct bench_arguments *arguments = state->input;

	arguments->loads[index] = parse_number(state, item, 0.01, MAX_LOAD);
}

static void parse_command(struct argp_state *state, const char *name)
{
	struct bench_arguments *arguments = state->input;

	arguments->command = COMMAND_EXPERIMENT;
	if (strcmp(name, "sim") == 0)
		arguments->experiment.kind = WAXWING_BENCH_EXPERIMENT_SIM;
	else if (strcmp(name, "crest") == 0)
		arguments->experiment.kind = WAXWING_BENCH_EXPERIMENT_CREST;
	else if (strcmp(name, "hol") == 0)
		arguments->experiment.kind = WAXWING_BENCH_EXPERIMENT_HOL;
	else if (strcmp(name, "scale") == 0)
		arguments->command = COMMAND_SCALE;
	else if (strcmp(name, "load") == 0)
		arguments->command = COMMAND_LOAD;
	else if (strcmp(name, "probe") == 0)
		arguments->command = COMMAND_PROBE;
	else if (strcmp(name, "list") == 0)
		arguments->command = COMMAND_LIST;
	else
		argp_error(state, "no such command: %s", name);
}

static void parse_address(struct argp_state *state, char *address)
{
	struct bench_arguments *arguments = state->input;

	if (arguments->command != COMMAND_LOAD && arguments->command != COMMAND_PROBE)
		argp_usage(state);
	if (arguments->address_count == MAX_LIST_ITEMS || !waxwing_http_address_valid(address))
		argp_error(state, "not an IP:port, or too many: %s", address);
	arguments->addresses[arguments->address_count++] = address;
}

static void check_command(struct argp_state *state)
{
	const struct bench_arguments *arguments = state->input;

	if (arguments->command == COMMAND_NONE)
		argp_usage(state);
	if (arguments->command == COMMAND_LOAD && !arguments->address_count)
		argp_error(state, "load requires the address of an entry instance");
	if (arguments->command == COMMAND_PROBE && arguments->address_count != 2)
		argp_error(state, "probe requires the addresses of an instance and an upstream");
}

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct bench_arguments *arguments = state->input;
	struct waxwing_bench_experiment *experiment = &arguments->experiment;

	switch (key) {
	case 'p':
		experiment->profile = waxwing_bench_profile_find(value);
		if (!experiment->profile)
			argp_error(state, "no such profile: %s", value);
		return 0;
	case 'P':
		parse_list(state, value, &experiment->policy_count, add_policy);
		return 0;
	case 's':
		parse_list(state, value, &experiment->seed_count, add_seed);
		return 0;
	case 'l':
		parse_list(state, value, &experiment->load_count, add_load);
		return 0;
	case 'i':
		experiment->instances = (uint32_t)parse_count(state, value, 1, MAX_INSTANCES);
		return 0;
	case 'j':
		experiment->jobs = (uint32_t)parse_count(state, value, 1, MAX_JOBS);
		return 0;
	case OPTION_SWING:
		experiment->swing = parse_number(state, value, 1, MAX_LOAD);
		return 0;
	case OPTION_JSON:
		arguments->json = true;
		return 0;
	case OPTION_QUIET:
		experiment->progress = false;
		return 0;
	case OPTION_NO_FAULTS:
		experiment->without_faults = true;
		return 0;
	case OPTION_LOGS:
		arguments->logs = value;
		return 0;
	case OPTION_CREST:
		arguments->crest = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num > 0)
			parse_address(state, value);
		else
			parse_command(state, value);
		return 0;
	case ARGP_KEY_END:
		check_command(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void set_defaults(struct bench_arguments *arguments)
{
	static const double crest_loads[] = { 0.5, 0.9, 1.2, 2, 5 };
	struct waxwing_bench_experiment *experiment = &arguments->experiment;

	if (!experiment->policy_count) {
		while (waxwing_bench_policy_at(experiment->policy_count)) {
			arguments->policies[experiment->policy_count] =
				waxwing_bench_policy_at(experiment->policy_count);
			experiment->policy_count++;
		}
	}
	if (!experiment->seed_count)
		arguments->seeds[experiment->seed_count++] = 1;
	if (arguments->command == COMMAND_LOAD && arguments->crest)
		experiment->kind = WAXWING_BENCH_EXPERIMENT_CREST;
	if (experiment->load_count)
		return;
	if (experiment->kind == WAXWING_BENCH_EXPERIMENT_CREST &&
	    arguments->command == COMMAND_EXPERIMENT) {
		memcpy(arguments->loads, crest_loads, sizeof(crest_loads));
		experiment->load_count = G_N_ELEMENTS(crest_loads);
	} else {
		arguments->loads[experiment->load_count++] = 0.7;
	}
}

static void print_list(void)
{
	const struct waxwing_bench_profile *profile;
	const struct waxwing_bench_policy_ops *policy;

	for (size_t i = 0; (profile = waxwing_bench_profile_at(i)); i++)
		printf("profile %-12s %s\n", profile->name, profile->description);
	for (size_t i = 0; (policy = waxwing_bench_policy_at(i)); i++)
		printf("policy  %-12s %s\n", policy->name, policy->description);
}

static void run_scale(bool json)
{
	GArray *slopes = waxwing_bench_scale_run();

	if (json) {
		char *text = waxwing_bench_scale_json(slopes);

		puts(text);
		g_free(text);
	} else {
		waxwing_bench_scale_table(stdout, slopes);
	}
	g_array_unref(slopes);
}

/*
 * Returns false if a run started a task twice, answered "complete" though a task had not succeeded,
 * or answered "not run" for a job that had started.
 */
static bool invariants_hold(const GArray *rows)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct waxwing_bench_summary *summary =
			&g_array_index(rows, struct waxwing_bench_row, i).summary;

		if (summary->double_starts || summary->partial_answers || summary->false_not_run)
			return false;
	}
	return true;
}

static int run_experiment(struct bench_arguments *arguments)
{
	GArray *rows = waxwing_bench_experiment_run(&arguments->experiment);
	bool passed = invariants_hold(rows);

	if (arguments->json) {
		char *text = waxwing_bench_report_json(&arguments->experiment, rows);

		puts(text);
		g_free(text);
	} else {
		waxwing_bench_report_table(stdout, &arguments->experiment, rows);
	}
	g_array_unref(rows);
	return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int report_failure(const struct waxwing_error *error)
{
	fprintf(stderr, "waxwing-bench: %s: %s: %s\n", error->path, waxwing_strerror(error->code),
		error->detail);
	return EXIT_FAILURE;
}

static int run_load(struct bench_arguments *arguments)
{
	struct waxwing_bench_workload *workload = waxwing_bench_experiment_workload(
		&arguments->experiment, arguments->loads[0], arguments->seeds[0]);
	struct waxwing_bench_load_options load_options = {
		.workload = workload,
		.addresses = arguments->addresses,
		.log_folder = arguments->logs,
		.progress = arguments->experiment.progress,
	};
	struct waxwing_bench_load_result result;
	struct waxwing_error error = WAXWING_ERROR_INIT;
	enum waxwing_error_code code;

	waxwing_bench_experiment_window(&arguments->experiment, workload, &load_options.from_us,
					&load_options.until_us);
	code = waxwing_bench_load_run(&load_options, &result, &error);
	waxwing_bench_workload_destroy(workload);
	if (code != WAXWING_OK)
		return report_failure(&error);
	waxwing_bench_load_report(&result, arguments->json);
	return result.wrong_answers || result.differing_repeats || result.summary.double_starts ||
			       result.summary.false_not_run ?
		       EXIT_FAILURE :
		       EXIT_SUCCESS;
}

static int run_probe(const struct bench_arguments *arguments)
{
	struct waxwing_bench_probe_options probe_options = {
		.instance = arguments->addresses[0],
		.upstream = arguments->addresses[1],
		.branch = arguments->experiment.profile->branches[0].name,
		.calls = arguments->experiment.jobs ? arguments->experiment.jobs :
						      DEFAULT_PROBE_CALLS,
	};
	struct waxwing_bench_probe_result result;
	struct waxwing_error error = WAXWING_ERROR_INIT;

	if (waxwing_bench_probe_run(&probe_options, &result, &error) != WAXWING_OK)
		return report_failure(&error);
	waxwing_bench_probe_report(&result, arguments->json);
	return result.failures ? EXIT_FAILURE : EXIT_SUCCESS;
}

static int run_command(struct bench_arguments *arguments)
{
	switch (arguments->command) {
	case COMMAND_SCALE:
		run_scale(arguments->json);
		return EXIT_SUCCESS;
	case COMMAND_LOAD:
		return run_load(arguments);
	case COMMAND_PROBE:
		return run_probe(arguments);
	case COMMAND_EXPERIMENT:
		return run_experiment(arguments);
	case COMMAND_LIST:
	case COMMAND_NONE:
		break;
	}
	print_list();
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	static const struct argp argp = { options, parse_option, "COMMAND [ADDRESS...]", doc, NULL,
					  NULL,	   NULL };
	struct bench_arguments arguments = { .experiment = { .progress = true, .swing = 1 } };

	arguments.experiment.profile = waxwing_bench_profile_at(0);
	arguments.experiment.policies = arguments.policies;
	arguments.experiment.seeds = arguments.seeds;
	arguments.experiment.loads = arguments.loads;
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	set_defaults(&arguments);
	return run_command(&arguments);
}
