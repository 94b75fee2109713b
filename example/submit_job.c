/*
 * Books lunch for three crews as one job of three tasks and prints the answer.
 *
 * usage: example-submit_job BRANCH INSTANCE...    e.g. meals/booking 127.0.0.1:8001 127.0.0.1:8002
 *
 * Exit status: 0 the job is complete, 1 it failed, 2 no task ran, 3 a task may have run, 64 invalid
 * usage.
 */
#include <stdio.h>
#include <string.h>

#include "waxwingswitch/client.h"

static const char *const bookings[] = {
	"{\"crew\":1,\"lunches\":24}",
	"{\"crew\":2,\"lunches\":18}",
	"{\"crew\":3,\"lunches\":31}",
};

#define BOOKINGS (sizeof(bookings) / sizeof(bookings[0]))

static void print_answer(const struct waxwing_client_answer *answer)
{
	printf("%s after %u calls\n", waxwing_client_state_name(answer->state), answer->calls);
	for (size_t i = 0; i < answer->task_count; i++)
		printf("task %zu: %s\n", i, answer->tasks[i].body);
	if (answer->error.code)
		printf("%s: %s\n", waxwing_error_name(answer->error.code), answer->error.detail);
	if (answer->error.retry_after_ms)
		printf("try again in %u ms\n", answer->error.retry_after_ms);
}

static int book(struct waxwing_client *client, const char *branch)
{
	struct waxwing_client_task tasks[BOOKINGS] = { 0 };
	struct waxwing_client_job job = {
		.branch = branch,
		.deadline_ms = 5000,
		.tasks = tasks,
		.task_count = BOOKINGS,
	};
	struct waxwing_client_answer answer;
	int result;

	for (size_t i = 0; i < BOOKINGS; i++) {
		tasks[i].body = bookings[i];
		tasks[i].body_len = strlen(bookings[i]);
		tasks[i].declared_ms = 200;
	}
	waxwing_client_submit(client, &job, &answer);
	print_answer(&answer);
	result = (int)answer.state;
	waxwing_client_answer_clear(&answer);
	return result;
}

int main(int argc, char **argv)
{
	struct waxwing_client_options options = { .caller = "crew leader 12" };
	struct waxwing_client *client;
	struct waxwing_error error;
	int result;

	if (argc < 3) {
		fprintf(stderr, "usage: %s BRANCH INSTANCE...\n", argv[0]);
		return 64;
	}
	options.instances = (const char *const *)argv + 2;
	options.instance_count = (size_t)argc - 2;
	client = waxwing_client_create(&options, &error);
	if (!client) {
		fprintf(stderr, "%s: %s\n", error.path, waxwing_strerror(error.code));
		return 64;
	}
	result = book(client, argv[1]);
	waxwing_client_destroy(client);
	return result;
}
