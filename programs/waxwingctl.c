/*
 * waxwingctl: the operators' command line. See enum waxwing_ctl_exit for the exit codes.
 */
#include "ctl.h"

#include <argp.h>
#include <stdio.h>

#define DEFAULT_KEY	"waxwing/settings"
#define DEFAULT_WAIT_MS 10000
#define MAX_WORDS	16

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
	{ "platform", OPTION_PLATFORM, "IP:PORT", 0, "the platform's service", 0 },
	{ "instances", OPTION_INSTANCES, "IP:PORT,...", 0,
	  "entry instances; without it those that the platform lists", 0 },
	{ "key", OPTION_KEY, "KEY", 0, "key of the settings (" DEFAULT_KEY ")", 0 },
	{ "json", OPTION_JSON, NULL, 0, "print JSON instead of tables", 0 },
	{ "explain", OPTION_EXPLAIN, NULL, 0, "get: say where each value comes from", 0 },
	{ "wait", OPTION_WAIT, "MS", OPTION_ARG_OPTIONAL,
	  "edits: wait until the change is in force everywhere (at most 10000 ms)", 0 },
	{ "create", OPTION_CREATE, NULL, 0, "set: make the branch if there is none", 0 },
	{ "was", OPTION_WAS, "VALUE", 0, "set: only if the value set there is still VALUE", 0 },
	{ "revision", OPTION_REVISION, "N", 0, "apply: only on the document that diff saw", 0 },
	{ 0 },
};

struct arguments {
	struct waxwing_ctl ctl;
	char *words[MAX_WORDS];
	size_t count;
};

static void parse_number(struct argp_state *state, const char *text, uint64_t *number)
{
	if (!waxwing_str_to_u64(waxwing_str(text), 10, number))
		argp_error(state, "%s is no number", text);
}

static void add_word(struct argp_state *state, struct arguments *arguments, char *word)
{
	if (arguments->count == MAX_WORDS)
		argp_error(state, "too many arguments");
	else
		arguments->words[arguments->count++] = word;
}

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct arguments *arguments = state->input;
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
		add_word(state, arguments, value);
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
	       "another edit came first, nothing changed; 3 no answer from the platform or the "
	       "instance, nothing changed; 4 the edit may have taken effect; 5 done, but not at "
	       "every instance; 64 bad command line.",
};

/* commands; @words are what follows the command's name */

static enum waxwing_ctl_exit get(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	return waxwing_ctl_get(ctl, count ? words[0] : NULL);
}

static enum waxwing_ctl_exit set(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)count;
	return waxwing_ctl_set(ctl, words[0], words[1]);
}

static enum waxwing_ctl_exit unset(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)count;
	return waxwing_ctl_unset(ctl, words[0], words[1]);
}

static enum waxwing_ctl_exit check(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)count;
	return waxwing_ctl_check(ctl, words[0]);
}

static enum waxwing_ctl_exit diff(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)count;
	return waxwing_ctl_diff(ctl, words[0]);
}

static enum waxwing_ctl_exit apply(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)count;
	return waxwing_ctl_apply(ctl, words[0]);
}

static enum waxwing_ctl_exit reference(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)words;
	(void)count;
	return waxwing_ctl_reference(ctl);
}

static enum waxwing_ctl_exit retire(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)count;
	return waxwing_ctl_retire(ctl, words[0]);
}

static enum waxwing_ctl_exit unretire(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)count;
	return waxwing_ctl_unretire(ctl, words[0]);
}

static enum waxwing_ctl_exit jobs_list(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)words;
	(void)count;
	return waxwing_ctl_jobs_list(ctl);
}

static enum waxwing_ctl_exit jobs_put(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)count;
	return waxwing_ctl_jobs_put(ctl, words[0], words[1], words[2]);
}

static enum waxwing_ctl_exit jobs_remove(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)count;
	return waxwing_ctl_jobs_remove(ctl, words[0], words[1]);
}

static enum waxwing_ctl_exit drain(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)count;
	return waxwing_ctl_drain(ctl, words[0]);
}

static enum waxwing_ctl_exit story(struct waxwing_ctl *ctl, char *const *words, size_t count)
{
	(void)ctl;
	return waxwing_ctl_story(words[0], words + 1, count - 1);
}

struct command {
	const char *name;
	const char *verb; /* second word; null: none */
	enum waxwing_ctl_exit (*run)(struct waxwing_ctl *ctl, char *const *words, size_t count);
	size_t least; /* words that follow */
	size_t most;
};

static const struct command commands[] = {
	{ "settings", "get", get, 0, 1 },
	{ "settings", "set", set, 2, 2 },
	{ "settings", "unset", unset, 2, 2 },
	{ "settings", "check", check, 1, 1 },
	{ "settings", "diff", diff, 1, 1 },
	{ "settings", "apply", apply, 1, 1 },
	{ "settings", "reference", reference, 0, 0 },
	{ "story", NULL, story, 2, MAX_WORDS },
	{ "retire", NULL, retire, 1, 1 },
	{ "unretire", NULL, unretire, 1, 1 },
	{ "jobs", "list", jobs_list, 0, 0 },
	{ "jobs", "put", jobs_put, 3, 3 },
	{ "jobs", "remove", jobs_remove, 2, 2 },
	{ "drain", NULL, drain, 1, 1 },
	{ "state", NULL, waxwing_ctl_state, 0, MAX_WORDS },
};

static const struct command *find_command(const struct arguments *arguments, size_t *used)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct command *command = &commands[i];
		size_t words = command->verb ? 2 : 1;

		if (arguments->count < words || strcmp(command->name, arguments->words[0]) != 0)
			continue;
		if (command->verb && strcmp(command->verb, arguments->words[1]) != 0)
			continue;
		*used = words;
		return command;
	}
	return NULL;
}

static enum waxwing_ctl_exit run_command(struct arguments *arguments)
{
	size_t used = 0;
	const struct command *command = find_command(arguments, &used);
	size_t rest = arguments->count - used;

	if (!command || rest < command->least || rest > command->most) {
		fprintf(stderr, "waxwingctl: %s; see waxwingctl --help\n",
			command ? "wrong number of arguments" : "no such command");
		return WAXWING_CTL_USAGE;
	}
	return command->run(&arguments->ctl, arguments->words + used, rest);
}

int main(int argc, char **argv)
{
	struct arguments arguments = {
		.ctl = { .key = DEFAULT_KEY, .wait_ms = DEFAULT_WAIT_MS },
	};
	enum waxwing_ctl_exit code;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	code = run_command(&arguments);
	waxwing_ctl_close(&arguments.ctl);
	return code;
}
