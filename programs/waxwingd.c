/*
 * waxwingd: runs one entry instance.
 *
 * Exit codes: 0 after a graceful shutdown, or if the checked file is valid; 1 if the instance can't
 * start; 2 for an invalid settings file; 64 for an invalid command line.
 */
#include "instance.h"
#include "log.h"
#include "settings.h"

#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#define LOG_COMPONENT "waxwingd"

#define EXIT_START_FAILED 1
#define EXIT_BAD_SETTINGS 2

const char *argp_program_version = "waxwingd 0.1.0";

struct daemon_arguments {
	const char *file;
	bool check_only;
};

static const struct argp_option options[] = {
	{ "check", 'c', NULL, 0, "check the settings file and exit", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct daemon_arguments *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->check_only = true;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->file)
			argp_error(state, "more than one settings file given");
		arguments->file = value;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->file)
			argp_error(state, "a settings file is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "FILE",
	.doc = "Runs an entry instance from a settings file in JSON with comments.\v"
	       "SIGTERM and SIGINT stop it once requests in flight are answered; SIGUSR1 logs its "
	       "state. Exit codes: 0 after a graceful shutdown or if FILE is valid, 1 if it cannot "
	       "start, 2 if FILE is invalid, 64 for an invalid command line.",
};

static void report_error(const char *file, const struct waxwing_error *error)
{
	log_error("%s:%u: %s: %s (%s)", file, error->line, error->path, error->detail,
		  waxwing_error_name(error->code));
}

static void report_file_error(void *context, const struct waxwing_error *error)
{
	report_error(context, error);
}

/* Checks the instance's settings file and logs every error; returns the exit code. */
static int check_file(const char *path)
{
	const struct waxwing_error_visitor visitor = { .on_error = report_file_error,
						       .context = (void *)path };
	GError *read_error = NULL;
	gchar *text;
	gsize len;
	size_t error_count;

	if (!g_file_get_contents(path, &text, &len, &read_error)) {
		log_error("%s", read_error->message);
		g_error_free(read_error);
		return EXIT_BAD_SETTINGS;
	}
	error_count =
		waxwing_instance_file_find_errors((struct waxwing_str){ len, text }, &visitor);
	g_free(text);
	if (error_count)
		return EXIT_BAD_SETTINGS;
	printf("%s: good\n", path);
	return 0;
}

static void request_shutdown(void *context)
{
	(void)context;
	kill(getpid(), SIGTERM);
}

static void block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGUSR1);
	sigprocmask(SIG_BLOCK, signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static void wait_for_shutdown(struct waxwing_instance *instance, const sigset_t *signals)
{
	int signal_number = 0;

	while (signal_number != SIGTERM && signal_number != SIGINT) {
		if (sigwait(signals, &signal_number) == 0 && signal_number == SIGUSR1)
			waxwing_instance_log_state(instance);
	}
}

static int run_instance(const Waxwing__InstanceFile *file)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_instance *instance;
	sigset_t signals;

	block_signals(&signals);
	instance = waxwing_instance_open(file, request_shutdown, NULL, &error);
	if (!instance) {
		log_error("cannot start: %s %s", error.path, error.detail);
		return EXIT_START_FAILED;
	}
	wait_for_shutdown(instance, &signals);
	waxwing_instance_close(instance);
	return 0;
}

int main(int argc, char **argv)
{
	struct daemon_arguments arguments = { 0 };
	struct waxwing_error error = WAXWING_ERROR_INIT;
	enum waxwing_log_level level;
	Waxwing__InstanceFile *file;
	int code;

	/*
	 * Disables malloc's fast bins: after the job ids of an expired epoch (submission_epoch.h)
	 * are freed, consolidating the bins would take one long call.
	 */
	mallopt(M_MXFAST, 0);
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	if (arguments.check_only)
		return check_file(arguments.file);
	file = waxwing_instance_file_read(arguments.file, &error);
	if (!file) {
		report_error(arguments.file, &error);
		return EXIT_BAD_SETTINGS;
	}
	if (file->log_level && waxwing_log_level_parse(file->log_level, &level))
		waxwing_log_set_level(level);
	code = run_instance(file);
	waxwing__instance_file__free_unpacked(file, NULL);
	return code;
}
