#include "client_budget.h"

#define CONNECTION_BYTES 100

struct fixture {
	struct waxwing_client_budget *budget;
	struct waxwing_budget_client clients[4];
	struct waxwing_budget_client *closed;
	unsigned int close_count;
};

static void note_close(void *data, struct waxwing_budget_client *client)
{
	struct fixture *fixture = data;

	fixture->closed = client;
	fixture->close_count++;
}

static void setup(struct fixture *fixture)
{
	struct waxwing_client_budget_options options = {
		.max_bytes = 1000,
		.max_connections = 32,
		.connection_bytes = CONNECTION_BYTES,
		.close = note_close,
		.data = fixture,
	};

	*fixture = (struct fixture){ .budget = waxwing_client_budget_create(&options) };
	for (unsigned int i = 0; i < G_N_ELEMENTS(fixture->clients); i++)
		waxwing_client_budget_open(fixture->budget, &fixture->clients[i],
					   WAXWING_CLIENT_CALLER);
}

/* Guards against closing an old or accepted request for the bytes of a younger one. */
static void test_youngest_incomplete_is_closed(void)
{
	struct fixture f;

	setup(&f);
	for (unsigned int i = 0; i < 4; i++)
		g_assert_true(waxwing_client_budget_take(f.budget, &f.clients[i], 150));
	g_assert_false(waxwing_client_budget_take(f.budget, &f.clients[3], 1));
	g_assert_cmpuint(f.close_count, ==, 0);
	f.clients[3].incomplete = false; /* accepted */
	g_assert_true(waxwing_client_budget_take(f.budget, &f.clients[0], 150));
	g_assert_true(f.closed == &f.clients[2]);
	g_assert_cmpuint(f.close_count, ==, 1);
	waxwing_client_budget_destroy(f.budget);
}

/* Guards against bytes that stay counted after a connection has gone. */
static void test_close_releases(void)
{
	struct fixture f;

	setup(&f);
	g_assert_true(waxwing_client_budget_take(f.budget, &f.clients[0], 600));
	g_assert_false(waxwing_client_budget_has(f.budget, 1));
	waxwing_client_budget_close(f.budget, &f.clients[0]);
	g_assert_true(waxwing_client_budget_has(f.budget, 700));
	g_assert_false(waxwing_client_budget_has(f.budget, 701));
	waxwing_client_budget_destroy(f.budget);
}

/* Guards against callers that take the last connections of the balancer and the metrics. */
static void test_classes_keep_connections(void)
{
	struct waxwing_budget_client more[32] = { 0 };
	unsigned int count = 0;
	struct fixture f;

	setup(&f);
	while (waxwing_client_budget_allow(f.budget, WAXWING_CLIENT_CALLER))
		waxwing_client_budget_open(f.budget, &more[count++], WAXWING_CLIENT_CALLER);
	g_assert_cmpuint(count, ==, 20); /* 32 less 4 open and 4 for each other class */
	g_assert_true(waxwing_client_budget_allow(f.budget, WAXWING_CLIENT_BALANCER));
	g_assert_true(waxwing_client_budget_allow(f.budget, WAXWING_CLIENT_METRICS));
	g_assert_cmpuint(waxwing_client_budget_refused(f.budget), ==, 1);
	waxwing_client_budget_destroy(f.budget);
}

/* Guards against closing a connection before its deadline, or one that has none. */
static void test_deadline(void)
{
	struct fixture f;

	setup(&f);
	f.clients[1].deadline_ms = 50;
	waxwing_client_budget_expire(f.budget, 49);
	g_assert_cmpuint(f.close_count, ==, 0);
	waxwing_client_budget_expire(f.budget, 50);
	waxwing_client_budget_expire(f.budget, 51);
	g_assert_true(f.closed == &f.clients[1]);
	g_assert_cmpuint(f.close_count, ==, 1);
	waxwing_client_budget_destroy(f.budget);
}

/* Guards against limits over the descriptors or the memory of the machine. */
static void test_defaults(void)
{
	struct waxwing_client_budget_options options = { .connection_bytes = 20480 };

	waxwing_client_budget_defaults(120, 3075, &options);
	g_assert_cmpuint(options.max_bytes, ==, 30 << 20);
	g_assert_cmpuint(options.max_connections, ==, 768);
	waxwing_client_budget_defaults(0, 0, &options);
	g_assert_cmpuint(options.max_connections, ==, 9000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/client_budget/youngest", test_youngest_incomplete_is_closed);
	g_test_add_func("/client_budget/close", test_close_releases);
	g_test_add_func("/client_budget/classes", test_classes_keep_connections);
	g_test_add_func("/client_budget/deadline", test_deadline);
	g_test_add_func("/client_budget/defaults", test_defaults);
	return g_test_run();
}
