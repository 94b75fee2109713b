/* Graceful exit: a request that is read in the loop's last iteration is answered. */
#include "drain.h"

#include <glib.h>
#include <unistd.h>

#define ANSWER_AFTER_MS 20

struct server {
	uv_loop_t loop;
	uv_poll_t input;
	uv_timer_t answer_timer;
	int pipe[2];
	uint32_t pending; /* requests without an answer */
	uint32_t read; /* requests read */
	uint32_t given_up;
	bool never_answers;
};

static bool is_idle(void *data)
{
	return !((struct server *)data)->pending;
}

static void give_up(void *data)
{
	struct server *server = data;

	server->given_up += server->pending;
	server->pending = 0;
}

static void ignore_give_up(void *data)
{
	(void)data;
}

static void answer(uv_timer_t *timer)
{
	((struct server *)timer->data)->pending = 0;
}

static void read_request(uv_poll_t *poll, int status, int events)
{
	struct server *server = poll->data;
	char byte;

	(void)status;
	(void)events;
	g_assert_cmpint((int)read(server->pipe[0], &byte, 1), ==, 1);
	server->read++;
	server->pending++;
	if (!server->never_answers)
		uv_timer_start(&server->answer_timer, answer, ANSWER_AFTER_MS, 0);
}

static void send_request(struct server *server)
{
	g_assert_cmpint((int)write(server->pipe[1], "x", 1), ==, 1);
}

static void server_init(struct server *server)
{
	uv_loop_init(&server->loop);
	g_assert_cmpint(pipe(server->pipe), ==, 0);
	uv_poll_init(&server->loop, &server->input, server->pipe[0]);
	server->input.data = server;
	uv_poll_start(&server->input, UV_READABLE, read_request);
	uv_timer_init(&server->loop, &server->answer_timer);
	server->answer_timer.data = server;
}

static void server_close(struct server *server)
{
	uv_close((uv_handle_t *)&server->input, NULL);
	uv_close((uv_handle_t *)&server->answer_timer, NULL);
	uv_run(&server->loop, UV_RUN_NOWAIT);
	g_assert_cmpint(uv_loop_close(&server->loop), ==, 0);
	close(server->pipe[0]);
	close(server->pipe[1]);
}

/* Keeps the process from its loop, as a large configuration does; a request arrives meanwhile. */
static void stall(uv_check_t *check)
{
	struct server *server = check->data;

	uv_check_stop(check);
	g_usleep(100 * 1000);
	send_request(server);
}

/*
 * Guards against a process that decides to exit and then reads a request, which is never answered:
 * seen when a leaving node had been busy with a large configuration.
 */
static void test_read_in_last_iteration(void)
{
	struct server server = { 0 };
	struct waxwing_drain_options options = {
		.loop = &server.loop,
		.give_up_ms = 5000,
		.exit_ms = 5000,
		.idle = is_idle,
		.give_up = give_up,
		.data = &server,
	};
	struct waxwing_drain *drain;
	uv_check_t stall_check;

	server_init(&server);
	/* the next iteration begins with the timers, before it polls for input */
	uv_check_init(&server.loop, &stall_check);
	stall_check.data = &server;
	uv_check_start(&stall_check, stall);
	uv_timer_start(&server.answer_timer, answer, 10, 0);
	drain = waxwing_drain_create(&options);
	g_assert_true(waxwing_drain_start(drain));
	g_assert_false(waxwing_drain_start(drain));
	waxwing_drain_run_loop(drain);
	g_assert_cmpuint(server.read, ==, 1);
	g_assert_cmpuint(server.pending, ==, 0);
	g_assert_cmpuint(server.given_up, ==, 0);
	uv_close((uv_handle_t *)&stall_check, NULL);
	waxwing_drain_destroy(drain);
	server_close(&server);
}

/* Guards against a process that waits for ever for work that does not end. */
static void test_limits(gconstpointer data)
{
	bool gives_up = GPOINTER_TO_INT(data);
	struct server server = { .never_answers = true };
	struct waxwing_drain_options options = {
		.loop = &server.loop,
		.min_ms = 100,
		.give_up_ms = 200,
		.exit_ms = 400,
		.idle = is_idle,
		.give_up = gives_up ? give_up : ignore_give_up,
		.data = &server,
	};
	struct waxwing_drain *drain;
	uint32_t took_ms;

	server_init(&server);
	send_request(&server);
	drain = waxwing_drain_create(&options);
	waxwing_drain_start(drain);
	took_ms = waxwing_drain_run_loop(drain);
	g_assert_cmpuint(took_ms, >=, gives_up ? options.give_up_ms : options.exit_ms);
	g_assert_cmpuint(server.given_up, ==, gives_up ? 1 : 0);
	waxwing_drain_destroy(drain);
	server_close(&server);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drain/read_in_last_iteration", test_read_in_last_iteration);
	g_test_add_data_func("/drain/gives_up", GINT_TO_POINTER(true), test_limits);
	g_test_add_data_func("/drain/exits", GINT_TO_POINTER(false), test_limits);
	return g_test_run();
}
