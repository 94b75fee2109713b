/*
 * waxwingctl: command-line tool for operators. See enum waxwing_ctl_exit for the exit codes.
 */
#include "ctl.h"

#include <argp.h>
#include <stdio.h>

#define DEFAULT_KEY	"waxwing/settings"
#define DEFAULT_WAIT_MS 10000
#define MAX_ARGS	16

const char *argp_program_version = "waxwingctl 0.1.0";

enum option_key {
	OPTION_PLATFORM = 'p',
	OPTION_INSTANCES = 'i',
	OPTION_JSON = 'j',
	OPTION_WAIT = 'w',
	OPTION_EXPLAIN = 'e',
	OPTION_KEY = 'k',
	OPTION_CREATE = 256,
	OPTION_WAS,
	OPTION_REVISION,
};

static const struct argp_option options[] = {
	{ "platform", OPTION_PLATFORM, "IP:PORT", 0, "address of the platform", 0 },
	{ "instances", OPTION_INSTANCES, "IP:PORT,...", 0,
	  "entry instances (default: those that the platform lists)", 0 },
	{ "key", OPTION_KEY, "KEY", 0, "key of the settings at the platform (" DEFAULT_KEY ")", 0 },
	{ "json", OPTION_JSON, NULL, 0, "print JSON instead of tables", 0 },
	{ "explain", OPTION_EXPLAIN, NULL, 0, "get: print where each value is set", 0 },
	{ "wait", OPTION_WAIT, "MS", OPTION_ARG_OPTIONAL,
	  "edits: wait up to MS (10000) until all instances have the change in force", 0 },
	{ "create", OPTION_CREATE, NULL, 0, "set: create the branch if it does not exist", 0 },
	{ "was", OPTION_WAS, "VALUE", 0, "set: only if the current value is VALUE", 0 },
	{ "revision", OPTION_REVISION, "N", 0,
	  "apply: only if the settings are at revision N, as printed by diff", 0 },
	{ 0 },
};

struct ctl_arguments {
	struct waxwing_ctl ctl;
	char *args[MAX_ARGS];
	size_t count;
};

static void parse_number(struct argp_state *state, const char *text, uint64_t *number)
{
	if (!waxwing_str_to_u64(waxwing_str(text), 10, number))
		argp_error(state, "%s is not a number", text);
}

static void add_argument(struct argp_state *state, struct ctl_arguments *arguments, char *argument)
{
	if (arguments->count == MAX_ARGS)
		argp_error(state, "too many arguments");
	else
		arguments->args[arguments->count++] = argument;
}

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct ctl_arguments *arguments = state->input;
	struct waxwing_ctl *ctl = &arguments->ctl;
	uint64_t number = DEFAULT_WAIT_MS;

	switch (key) {
	case OPTION_PLATFORM:
		ctl->platform_address = value;
		return 0;
	case OPTION_INSTANCES:
		ctl->instances = value;
		return 0;
	case OPTION_KEY:
		ctl->key = value;
		return 0;
	case OPTION_JSON:
		ctl->json = true;
		return 0;
	case OPTION_EXPLAIN:
		ctl->explain = true;
		return 0;
	case OPTION_CREATE:
		ctl->create = true;
		return 0;
	case OPTION_WAS:
		ctl->expected = value;
		return 0;
	case OPTION_WAIT:
		if (value)
			parse_number(state, value, &number);
		ctl->wait = true;
		ctl->wait_ms = (uint32_t)number;
		return 0;
	case OPTION_REVISION:
		parse_number(state, value, &ctl->revision);
		ctl->has_revision = true;
		return 0;
	case ARGP_KEY_ARG:
		add_argument(state, arguments, value);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "settings get [PATH]\n"
		    "settings set PATH KEY=VALUE\n"
		    "settings unset PATH KEY\n"
		    "settings check FILE\n"
		    "settings diff FILE\n"
		    "settings apply FILE\n"
		    "settings reference\n"
		    "retire BRANCH\n"
		    "unretire BRANCH\n"
		    "jobs list\n"
		    "jobs put BRANCH NAME FILE\n"
		    "jobs remove BRANCH NAME\n"
		    "drain INSTANCE\n"
		    "state [INSTANCE...]\n"
		    "story JOB LOG...",
	.doc = "Reads and edits the settings, and talks to entry instances.\v"
	       "PATH is a branch such as meals/headcount, / for the root, @limits or @team/NAME. "
	       "A FILE of - is standard input. Exit codes: 0 done; 1 refused, nothing changed; 2 "
	       "conflicting edit, nothing changed; 3 platform or instance unreachable, nothing "
	       "changed; 4 edit not confirmed, it may have taken effect; 5 done, but not at every "
	       "instance; 64 invalid command line.",
};

/* Commands; @args are the arguments after the command's name. */

static enum waxwing_ctl_exit get(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	return waxwing_ctl_get(ctl, count ? args[0] : NULL);
}

static enum waxwing_ctl_exit set(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)count;
	return waxwing_ctl_set(ctl, args[0], args[1]);
}

static enum waxwing_ctl_exit unset(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)count;
	return waxwing_ctl_unset(ctl, args[0], args[1]);
}

static enum waxwing_ctl_exit check(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)count;
	return waxwing_ctl_check(ctl, args[0]);
}

static enum waxwing_ctl_exit diff(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)count;
	return waxwing_ctl_diff(ctl, args[0]);
}

static enum waxwing_ctl_exit apply(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)count;
	return waxwing_ctl_apply(ctl, args[0]);
}

static enum waxwing_ctl_exit reference(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)args;
	(void)count;
	return waxwing_ctl_reference(ctl);
}

static enum waxwing_ctl_exit retire(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)count;
	return waxwing_ctl_retire(ctl, args[0]);
}

static enum waxwing_ctl_exit unretire(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)count;
	return waxwing_ctl_unretire(ctl, args[0]);
}

static enum waxwing_ctl_exit jobs_list(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)args;
	(void)count;
	return waxwing_ctl_jobs_list(ctl);
}

static enum waxwing_ctl_exit jobs_put(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)count;
	return waxwing_ctl_jobs_put(ctl, args[0], args[1], args[2]);
}

static enum waxwing_ctl_exit jobs_remove(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)count;
	return waxwing_ctl_jobs_remove(ctl, args[0], args[1]);
}

static enum waxwing_ctl_exit drain(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)count;
	return waxwing_ctl_drain(ctl, args[0]);
}

static enum waxwing_ctl_exit story(struct waxwing_ctl *ctl, char *const *args, size_t count)
{
	(void)ctl;
	return waxwing_ctl_story(args[0], args + 1, count - 1);
}

struct command {
	const char *name;
	const char *subcommand; /* null: the command has one word only */
	enum waxwing_ctl_exit (*run)(struct waxwing_ctl *ctl, char *const *args, size_t count);
	size_t min_args; /* arguments after the command's name */
	size_t max_args;
};

static const struct command commands[] = {
	{ "settings", "get", get, 0, 1 },
	{ "settings", "set", set, 2, 2 },
	{ "settings", "unset", unset, 2, 2 },
	{ "settings", "check", check, 1, 1 },
	{ "settings", "diff", diff, 1, 1 },
	{ "settings", "apply", apply, 1, 1 },
	{ "settings", "reference", reference, 0, 0 },
	{ "story", NULL, story, 2, MAX_ARGS },
	{ "retire", NULL, retire, 1, 1 },
	{ "unretire", NULL, unretire, 1, 1 },
	{ "jobs", "list", jobs_list, 0, 0 },
	{ "jobs", "put", jobs_put, 3, 3 },
	{ "jobs", "remove", jobs_remove, 2, 2 },
	{ "drain", NULL, drain, 1, 1 },
	{ "state", NULL, waxwing_ctl_state, 0, MAX_ARGS },
};

/* Returns null if no command matches; else sets @name_words to its name's number of words. */
static const struct command *find_command(const struct ctl_arguments *arguments, size_t *name_words)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct command *command = &commands[i];
		size_t words = command->subcommand ? 2 : 1;

		if (arguments->count < words || strcmp(command->name, arguments->args[0]) != 0)
			continue;
		if (command->subcommand && strcmp(command->subcommand, arguments->args[1]) != 0)
			continue;
		*name_words = words;
		return command;
	}
	return NULL;
}

static enum waxwing_ctl_exit run_command(struct ctl_arguments *arguments)
{
	size_t name_words = 0;
	const struct command *command = find_command(arguments, &name_words);
	size_t arg_count = arguments->count - name_words;

	if (!command || arg_count < command->min_args || arg_count > command->max_args) {
		fprintf(stderr, "waxwingctl: %s; see waxwingctl --help\n",
			command ? "wrong number of arguments" : "no such command");
		return WAXWING_CTL_USAGE;
	}
	return command->run(&arguments->ctl, arguments->args + name_words, arg_count);
}

int main(int argc, char **argv)
{
	struct ctl_arguments arguments = {
		.ctl = { .key = DEFAULT_KEY, .wait_ms = DEFAULT_WAIT_MS },
	};
	enum waxwing_ctl_exit code;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	code = run_command(&arguments);
	waxwing_ctl_close(&arguments.ctl);
	return code;
}
