#include "log.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

/* Logs @text and returns what was written to standard error. */
static char *capture_log(const char *text)
{
	char line[4096] = "";
	int pipe_ends[2];
	int saved = dup(STDERR_FILENO);
	ssize_t len;

	g_assert_cmpint(pipe(pipe_ends), ==, 0);
	dup2(pipe_ends[1], STDERR_FILENO);
	waxwing_log(WAXWING_LOG_NOTICE, "part", "caller %s", text);
	dup2(saved, STDERR_FILENO);
	len = read(pipe_ends[0], line, sizeof(line) - 1);
	g_assert_cmpint(len, >, 0);
	close(pipe_ends[0]);
	close(pipe_ends[1]);
	close(saved);
	return g_strndup(line, (gsize)len);
}

/* Control characters in logged input must not start a new log line. */
static void test_control_bytes(void)
{
	char *line = capture_log("x\n<3>core: forged\r\x1b[2J");

	g_assert_true(g_str_has_prefix(line, "<5>part: caller x"));
	g_assert_cmpuint(strcspn(line, "\n"), ==, strlen(line) - 1);
	for (const char *at = line; *at != '\n'; at++)
		g_assert_cmpint((unsigned char)*at, >=, ' ');
	g_free(line);
}

static void test_long_line(void)
{
	char *text = g_strnfill(5000, 'a');
	char *line = capture_log(text);

	g_assert_cmpuint(strlen(line), <=, 1024);
	g_assert_cmpint(line[strlen(line) - 1], ==, '\n');
	g_free(line);
	g_free(text);
}

static void test_limit(void)
{
	struct waxwing_log_limit limit = { 0 };
	uint32_t suppressed;
	uint32_t written = 0;

	for (int i = 0; i < 1000; i++)
		written += waxwing_log_limit_allow(&limit, 5000, &suppressed);
	g_assert_cmpuint(written, ==, 10);
	g_assert_true(waxwing_log_limit_allow(&limit, 7000, &suppressed));
	g_assert_cmpuint(suppressed, ==, 990);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log/control_bytes", test_control_bytes);
	g_test_add_func("/log/long_line", test_long_line);
	g_test_add_func("/log/limit", test_limit);
	return g_test_run();
}
