/* Waits of tasks for a place on their rack: the decision and the learned ratio. */
#include "near_wait.h"

#include <glib.h>

static struct waxwing_near_wait_input usual_input(void)
{
	return (struct waxwing_near_wait_input){
		.now_ms = 1000,
		.due_ms = 2000,
		.give_up_ms = 4000,
		.near_ms = 100,
		.far_ms = 200,
		.near_free_ms = 40,
		.limit_ms = 1000,
		.learned = true,
		.load = 0.5,
	};
}

static void assert_reason(const struct waxwing_near_wait_input *input, bool wait,
			  enum waxwing_near_wait_reason reason)
{
	struct waxwing_near_wait_decision decision = waxwing_near_wait_decide(input);

	g_assert_cmpint(decision.reason, ==, reason);
	g_assert_cmpint(decision.wait, ==, wait);
	if (wait)
		g_assert_cmpint(decision.until_ms, >, input->now_ms);
	else
		g_assert_cmpint(decision.until_ms, ==, input->now_ms);
}

/* Guards against waits that cannot pay off, and against missing those that do. */
static void test_decision(void)
{
	struct waxwing_near_wait_input input = usual_input();

	assert_reason(&input, true, WAXWING_NEAR_WAIT_SOONER);
	input.near_free_ms = 85; /* within the margin */
	assert_reason(&input, false, WAXWING_NEAR_WAIT_NO_GAIN);
	input.load = 0.95;
	assert_reason(&input, true, WAXWING_NEAR_WAIT_SAVES_WORK);
	input.load = 0.5;
	input.due_ms = 1190; /* near in time, far late */
	assert_reason(&input, true, WAXWING_NEAR_WAIT_IN_TIME);
	input.near_free_ms = 120;
	assert_reason(&input, false, WAXWING_NEAR_WAIT_TOO_LONG);
	input.late = true;
	assert_reason(&input, false, WAXWING_NEAR_WAIT_LATE);
	input.near_free_ms = 85; /* a late task runs where it ends first */
	input.due_ms = 900;
	assert_reason(&input, true, WAXWING_NEAR_WAIT_SOONER);
	input.near_free_ms = -1;
	assert_reason(&input, false, WAXWING_NEAR_WAIT_NO_PLACE);
	input = usual_input();
	input.limit_ms = 30;
	assert_reason(&input, false, WAXWING_NEAR_WAIT_CONTENDED);
	input = usual_input();
	input.near_ms = 250;
	assert_reason(&input, false, WAXWING_NEAR_WAIT_NO_GAIN);
}

/* A caller that gives up before a far run ends is served near, if that is soon enough. */
static void test_patience(void)
{
	struct waxwing_near_wait_input input = usual_input();

	input.due_ms = 900;
	input.near_free_ms = 85;
	input.give_up_ms = 1190;
	assert_reason(&input, true, WAXWING_NEAR_WAIT_IN_TIME);
}

/* Guards against tasks that wait again and again because each wait looks short. */
static void test_total_is_bounded(void)
{
	struct waxwing_near_wait_input input = usual_input();

	input.near_free_ms = 10;
	input.load = 1;
	input.waited_ms = 85;
	assert_reason(&input, true, WAXWING_NEAR_WAIT_SOONER);
	g_assert_cmpint(waxwing_near_wait_decide(&input).until_ms, ==, 1015);
	input.waited_ms = 100;
	assert_reason(&input, false, WAXWING_NEAR_WAIT_EXHAUSTED);
}

/*
 * Guards against a queue that makes every task wait for places which are always in use: at 150
 * tasks a second, the mean response was 133 ms with unlimited waits and 121 ms without any.
 */
static void test_limit(void)
{
	double idle_ms = waxwing_near_wait_limit_ms(1, 8, 100, 200);
	double busy_ms = waxwing_near_wait_limit_ms(7, 8, 100, 200);
	double over_ms = waxwing_near_wait_limit_ms(12, 8, 100, 200);

	g_test_message("limits %.1f %.1f %.1f ms", idle_ms, busy_ms, over_ms);
	g_assert_cmpfloat(idle_ms, >, busy_ms);
	g_assert_cmpfloat(busy_ms, >, over_ms);
	g_assert_cmpfloat(over_ms, <=, 100.0 / 8);
}

/* The declared factor counts until enough runs near and far were measured. */
static void test_ratio(void)
{
	struct waxwing_near_ratio ratio = { 0 };

	for (int i = 0; i < 100; i++)
		waxwing_near_ratio_learn(&ratio, true, 1.2);
	g_assert_false(waxwing_near_ratio_known(&ratio));
	g_assert_cmpfloat(waxwing_near_ratio_factor(&ratio, 2), ==, 2);
	for (int i = 0; i < 100; i++)
		waxwing_near_ratio_learn(&ratio, false, 3.6);
	g_assert_true(waxwing_near_ratio_known(&ratio));
	g_assert_cmpfloat_with_epsilon(waxwing_near_ratio_factor(&ratio, 2), 3, 0.01);
	for (int i = 0; i < 2000; i++)
		waxwing_near_ratio_learn(&ratio, false, 0.6);
	g_assert_cmpfloat(waxwing_near_ratio_factor(&ratio, 2), ==, 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/near_wait/decision", test_decision);
	g_test_add_func("/near_wait/patience", test_patience);
	g_test_add_func("/near_wait/total_is_bounded", test_total_is_bounded);
	g_test_add_func("/near_wait/limit", test_limit);
	g_test_add_func("/near_wait/ratio", test_ratio);
	return g_test_run();
}
