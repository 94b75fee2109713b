#include "fair.h"

#define SHARES 4

static struct waxwing_share *serve(struct waxwing_fair_queue *queue, double amount)
{
	GTreeNode *node = waxwing_fair_first(queue);
	struct waxwing_share *share;

	g_assert_nonnull(node);
	share = g_tree_node_value(node);
	waxwing_fair_charge(queue, share, amount);
	return share;
}

/*
 * Shares that always have work are served in proportion to their weights, for any charged amounts.
 */
static void test_weights(void)
{
	struct waxwing_fair_queue queue;
	struct waxwing_share shares[SHARES];
	double received[SHARES] = { 0 };

	waxwing_fair_init(&queue);
	for (uint32_t i = 0; i < SHARES; i++) {
		waxwing_share_init(&queue, &shares[i], i + 1);
		waxwing_fair_activate(&queue, &shares[i]);
	}
	for (int i = 0; i < 20000; i++) {
		double amount = g_test_rand_double_range(1, 100);

		received[serve(&queue, amount) - shares] += amount;
	}
	for (uint32_t i = 1; i < SHARES; i++)
		g_assert_cmpfloat(ABS(received[i] / (i + 1) - received[0]), <, 200);
	waxwing_fair_clear(&queue);
}

/* A share gains no credit while idle: once active, it gets its fair share and no more. */
static void test_no_credit_while_idle(void)
{
	struct waxwing_fair_queue queue;
	struct waxwing_share busy;
	struct waxwing_share idle;
	int served = 0;

	waxwing_fair_init(&queue);
	waxwing_share_init(&queue, &busy, 1);
	waxwing_share_init(&queue, &idle, 1);
	waxwing_fair_activate(&queue, &busy);
	for (int i = 0; i < 1000; i++)
		g_assert_true(serve(&queue, 10) == &busy);
	waxwing_fair_activate(&queue, &idle);
	for (int i = 0; i < 100; i++)
		served += serve(&queue, 10) == &idle;
	g_assert_cmpint(served, >=, 49);
	g_assert_cmpint(served, <=, 52);
	waxwing_fair_deactivate(&queue, &idle);
	g_assert_true(serve(&queue, 10) == &busy);
	waxwing_fair_clear(&queue);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fair/weights", test_weights);
	g_test_add_func("/fair/idle-saves-nothing", test_no_credit_while_idle);
	return g_test_run();
}
