/*
 * Tests that the event log writes complete lines, limits the lines of each kind per second, and never
 * blocks when standard output is a full pipe.
 */
#include "event_log.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static int saved_stdout;
static int stdout_pipe[2];

/* Redirects standard output to a pipe that is not read until stdout_release(). */
static void stdout_capture(void)
{
	fflush(stdout);
	saved_stdout = dup(STDOUT_FILENO);
	g_assert_cmpint(pipe(stdout_pipe), ==, 0);
	dup2(stdout_pipe[1], STDOUT_FILENO);
	waxwing_event_log_open("node-1", "zone-1");
}

/* Restores standard output and returns the captured text. */
static GString *stdout_release(void)
{
	GString *text = g_string_new(NULL);
	char buffer[4096];
	ssize_t len;

	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	close(stdout_pipe[1]);
	while ((len = read(stdout_pipe[0], buffer, sizeof(buffer))) > 0)
		g_string_append_len(text, buffer, len);
	close(stdout_pipe[0]);
	return text;
}

static void test_line(void)
{
	GString *text;

	stdout_capture();
	waxwing_event("job_ended", "job=%s count=%d name=%s", "0000000000000017", -4, "a\"b");
	text = stdout_release();
	g_assert_nonnull(strstr(text->str, "\"event\":\"job_ended\",\"node\":\"node-1\""));
	g_assert_nonnull(
		strstr(text->str, "\"job\":\"0000000000000017\",\"count\":-4,\"name\":\"a?b\"}\n"));
	g_string_free(text, TRUE);
}

/*
 * Of 500 events in one second, 60 are written; the first line of the next second counts the others.
 */
static void test_budget(void)
{
	struct waxwing_virtual_clock clock;
	GString *text;
	int lines = 0;

	waxwing_virtual_clock_init(&clock, 5000);
	waxwing_event_log_set_clock(&clock.base);
	stdout_capture();
	for (int i = 0; i < 500; i++)
		waxwing_event("busy", "i=%d", i);
	clock.now_ms += 1000;
	waxwing_event("busy", "i=%d", 500);
	text = stdout_release();
	waxwing_event_log_set_clock(NULL);
	for (const char *at = text->str; (at = strstr(at, "\"busy\"")); at++)
		lines++;
	g_assert_cmpint(lines, ==, 61);
	g_assert_nonnull(strstr(text->str, "\"i\":500,\"left_out\":440}"));
	g_string_free(text, TRUE);
}

/* Nobody reads the pipe while the events are written: lines that do not fit must be dropped. */
static void test_full_pipe(void)
{
	struct waxwing_virtual_clock clock;
	uint64_t before = waxwing_event_log_dropped();
	GString *text;

	waxwing_virtual_clock_init(&clock, 5000);
	waxwing_event_log_set_clock(&clock.base);
	stdout_capture();
	for (int i = 0; i < 20000; i++) {
		clock.now_ms += 100;
		waxwing_event("line", "padding=%0100d", i);
	}
	text = stdout_release();
	waxwing_event_log_set_clock(NULL);
	g_assert_cmpuint(waxwing_event_log_dropped(), >, before);
	g_assert_cmpuint(text->len, >, 0);
	g_string_free(text, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/event_log/line", test_line);
	g_test_add_func("/event_log/budget", test_budget);
	g_test_add_func("/event_log/full_pipe", test_full_pipe);
	return g_test_run();
}
