/*
 * waxwingd: one entry instance.
 *
 * Exit codes: 0 ended gracefully, or the checked file is good; 1 could not start; 2 bad settings file;
 * 64 bad command line.
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

#define EXIT_START    1
#define EXIT_SETTINGS 2

const char *argp_program_version = "waxwingd 0.1.0";

struct arguments {
	const char *file;
	bool check;
};

static const struct argp_option options[] = {
	{ "check", 'c', NULL, 0, "check the settings file and exit", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->check = true;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->file)
			argp_error(state, "one settings file is enough");
		arguments->file = value;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->file)
			argp_error(state, "a settings file is needed");
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
	       "SIGTERM and SIGINT end it once every request in flight is answered; SIGUSR1 logs its "
	       "state. Exit codes: 0 ended gracefully or FILE is good, 1 could not start, 2 FILE is "
	       "bad, 64 bad command line.",
};

static void report(const char *file, const struct waxwing_error *error)
{
	log_error("%s:%u: %s: %s (%s)", file, error->line, error->path, error->detail,
		  waxwing_error_name(error->code));
}

static void report_fault(void *context, const struct waxwing_error *error)
{
	report(context, error);
}

/* Tells every fault of the file. */
static int check(const char *path)
{
	const struct waxwing_error_visitor visitor = { .on_error = report_fault,
						       .context = (void *)path };
	GError *failure = NULL;
	gchar *text;
	gsize len;
	size_t faults;

	if (!g_file_get_contents(path, &text, &len, &failure)) {
		log_error("%s", failure->message);
		g_error_free(failure);
		return EXIT_SETTINGS;
	}
	faults = waxwing_instance_file_find_errors((struct waxwing_str){ len, text }, &visitor);
	g_free(text);
	if (faults)
		return EXIT_SETTINGS;
	printf("%s: good\n", path);
	return 0;
}

static void ask_to_end(void *context)
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

static void wait_for_end(struct waxwing_instance *instance, const sigset_t *signals)
{
	int number = 0;

	while (number != SIGTERM && number != SIGINT) {
		if (sigwait(signals, &number) == 0 && number == SIGUSR1)
			waxwing_instance_log_state(instance);
	}
}

static int run(const Waxwing__InstanceFile *file)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_instance *instance;
	sigset_t signals;

	block_signals(&signals);
	instance = waxwing_instance_open(file, ask_to_end, NULL, &error);
	if (!instance) {
		log_error("cannot start: %s %s", error.path, error.detail);
		return EXIT_START;
	}
	wait_for_end(instance, &signals);
	waxwing_instance_close(instance);
	return 0;
}

int main(int argc, char **argv)
{
	struct arguments arguments = { 0 };
	struct waxwing_error error = WAXWING_ERROR_INIT;
	enum waxwing_log_level level;
	Waxwing__InstanceFile *file;
	int code;

	/* Without fast bins, freeing an epoch of ids is not consolidated in one long call. */
	mallopt(M_MXFAST, 0);
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	if (arguments.check)
		return check(arguments.file);
	file = waxwing_instance_file_read(arguments.file, &error);
	if (!file) {
		report(arguments.file, &error);
		return EXIT_SETTINGS;
	}
	if (file->log_level && waxwing_log_level_parse(file->log_level, &level))
		waxwing_log_set_level(level);
	code = run(file);
	waxwing__instance_file__free_unpacked(file, NULL);
	return code;
}
