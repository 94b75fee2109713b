/*
 * Queries the status of an order with a single request. If its answer is lost or the program
 * crashes, the request can be repeated with the printed id without running it twice.
 *
 * usage: example-single_request BRANCH INSTANCE [ID]    e.g. orders/standing 127.0.0.1:8001
 *
 * Prints the id first. Exit status: 0 the request is complete, 1 it failed, 2 it did not run, 3 it
 * may have run and should be repeated with the id, 64 invalid usage.
 */
#include <stdio.h>
#include <string.h>

#include "waxwingswitch/client.h"

static const char *const order = "{\"order\":4711}";

static int check_standing(struct waxwing_client *client, const char *branch, const char *id)
{
	struct waxwing_client_task task = { .body = order, .body_len = strlen(order) };
	struct waxwing_client_job job = {
		.id = id,
		.branch = branch,
		.tasks = &task,
		.task_count = 1,
	};
	struct waxwing_client_answer answer;
	int result;

	waxwing_client_request(client, &job, &answer);
	if (answer.state == WAXWING_CLIENT_COMPLETE)
		printf("answer: %s\n", answer.tasks[0].body);
	else
		printf("%s, %s: %s\n", waxwing_client_state_name(answer.state),
		       waxwing_error_name(answer.error.code), answer.error.detail);
	result = (int)answer.state;
	waxwing_client_answer_clear(&answer);
	return result;
}

int main(int argc, char **argv)
{
	struct waxwing_client_options options = { .caller = "clerk 3", .instance_count = 1 };
	struct waxwing_client *client;
	struct waxwing_error error;
	char id[WAXWING_CLIENT_ID_BYTES];
	int result = WAXWING_CLIENT_NOT_RUN;

	if (argc < 3 || argc > 4) {
		fprintf(stderr, "usage: %s BRANCH INSTANCE [ID]\n", argv[0]);
		return 64;
	}
	options.instances = (const char *const *)argv + 2;
	client = waxwing_client_create(&options, &error);
	if (!client) {
		fprintf(stderr, "%s: %s\n", error.path, waxwing_strerror(error.code));
		return 64;
	}
	if (argc == 4)
		snprintf(id, sizeof(id), "%s", argv[3]);
	if (argc == 4 || waxwing_client_new_id(client, id, &error) == WAXWING_OK) {
		printf("id: %s\n", id);
		result = check_standing(client, argv[1], id);
	} else {
		printf("no window: %s\n", waxwing_strerror(error.code));
	}
	waxwing_client_destroy(client);
	return result;
}
