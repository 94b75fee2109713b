#include "platform_server.h"

#include <argp.h>

static const struct argp_option options[] = {
	{ "port", 'p', "PORT", 0, "port on 127.0.0.1 (0: any free port)", 0 },
	{ "list-lag-ms", 'l', "MS", 0, "delay of changes of the instance list (0)", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct standin_platform *platform = state->input;

	switch (key) {
	case 'p':
		platform->port = (uint16_t)strtoul(arg, NULL, 10);
		return 0;
	case 'l':
		platform->lag_ms = strtol(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options, parse_option, NULL, "Stand-in of the platform, for tests.", NULL, NULL, NULL
};

int main(int argc, char **argv)
{
	struct standin_platform platform = { 0 };
	sigset_t signals;

	argp_parse(&argp, argc, argv, 0, NULL, &platform);
	server_block_signals(&signals);
	platform.port = platform_start(&platform, platform.port);
	if (!platform.port) {
		perror("standin-platform: bind");
		return EXIT_FAILURE;
	}
	printf("ready 127.0.0.1:%u\n", platform.port);
	fflush(stdout);
	server_await_signal(&signals);
	platform_stop(&platform);
	return EXIT_SUCCESS;
}
