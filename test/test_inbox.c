#include "inbox.h"

#include <glib.h>
#include <poll.h>
#include <pthread.h>

#define PRODUCERS 4
#define MESSAGES  20000

struct message {
	struct waxwing_inbox_node node;
	int producer;
	int number;
};

struct producer {
	struct waxwing_inbox *inbox;
	int index;
};

static void *producer_thread(void *argument)
{
	struct producer *producer = argument;

	for (int i = 0; i < MESSAGES; i++) {
		struct message *message = g_new0(struct message, 1);

		message->producer = producer->index;
		message->number = i;
		waxwing_inbox_post(producer->inbox, &message->node);
	}
	return NULL;
}

/*
 * Each message is delivered exactly once, in order for each producer, and no wake-up of the owner
 * is lost.
 */
static void test_many_producers(void)
{
	struct waxwing_inbox inbox;
	struct producer producers[PRODUCERS];
	pthread_t threads[PRODUCERS];
	int next[PRODUCERS] = { 0 };
	int taken = 0;

	g_assert_true(waxwing_inbox_init(&inbox));
	for (int i = 0; i < PRODUCERS; i++) {
		producers[i] = (struct producer){ &inbox, i };
		g_assert_cmpint(pthread_create(&threads[i], NULL, producer_thread, &producers[i]),
				==, 0);
	}
	while (taken < PRODUCERS * MESSAGES) {
		struct waxwing_inbox_node *node = waxwing_inbox_take(&inbox);
		struct message *message = (struct message *)node;
		struct pollfd item = { .fd = inbox.wake_fd, .events = POLLIN };

		if (!node) {
			if (waxwing_inbox_prepare_wait(&inbox))
				poll(&item, 1, -1);
			waxwing_inbox_finish_wait(&inbox);
			continue;
		}
		g_assert_cmpint(message->number, ==, next[message->producer]++);
		g_free(message);
		taken++;
	}
	for (int i = 0; i < PRODUCERS; i++)
		pthread_join(threads[i], NULL);
	g_assert_null(waxwing_inbox_take(&inbox));
	waxwing_inbox_destroy(&inbox);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/inbox/many_posters", test_many_producers);
	return g_test_run();
}
