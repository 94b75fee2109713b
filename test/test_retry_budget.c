#include "retry_budget.h"

#include <glib.h>

#define THREADS 4

static const struct waxwing_retry_budget_options options = { .percent = 20, .reserve = 10 };

/*
 * For any mix of attempts and retries, retries stay within the share of attempts plus the
 * reserve.
 */
static void test_bound(void)
{
	struct waxwing_retry_budget budget;
	int attempts = 0;
	int retries = 0;

	waxwing_retry_budget_init(&budget, &options);
	for (int i = 0; i < 10000; i++) {
		if (g_test_rand_bit()) {
			waxwing_retry_budget_deposit(&budget);
			attempts++;
		} else if (waxwing_retry_budget_withdraw(&budget)) {
			retries++;
		}
		g_assert_cmpint(retries * 5, <=, attempts + 50);
	}
	g_assert_cmpint(retries, >, 0);
}

static void test_reserve(void)
{
	struct waxwing_retry_budget budget;
	int retries = 0;

	waxwing_retry_budget_init(&budget, &options);
	for (int i = 0; i < 1000; i++)
		waxwing_retry_budget_deposit(&budget);
	while (waxwing_retry_budget_withdraw(&budget))
		retries++;
	g_assert_cmpint(retries, ==, 10);
	for (int i = 0; i < 4; i++)
		waxwing_retry_budget_deposit(&budget);
	g_assert_false(waxwing_retry_budget_withdraw(&budget));
	waxwing_retry_budget_deposit(&budget);
	g_assert_true(waxwing_retry_budget_withdraw(&budget));
}

static void *withdraw_all(void *data)
{
	int withdrawn = 0;

	while (waxwing_retry_budget_withdraw(data))
		withdrawn++;
	return GINT_TO_POINTER(withdrawn);
}

static void test_threads(void)
{
	static const struct waxwing_retry_budget_options large = { .percent = 1, .reserve = 10000 };
	struct waxwing_retry_budget budget;
	GThread *threads[THREADS];
	int withdrawn = 0;

	waxwing_retry_budget_init(&budget, &large);
	for (int i = 0; i < THREADS; i++)
		threads[i] = g_thread_new("take", withdraw_all, &budget);
	for (int i = 0; i < THREADS; i++)
		withdrawn += GPOINTER_TO_INT(g_thread_join(threads[i]));
	g_assert_cmpint(withdrawn, ==, 10000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry-budget/bound", test_bound);
	g_test_add_func("/retry-budget/reserve", test_reserve);
	g_test_add_func("/retry-budget/threads", test_threads);
	return g_test_run();
}
