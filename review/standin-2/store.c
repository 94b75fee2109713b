/*
 * The project's stand-in of the store, with leases that pause while the store is down (PROTOCOL.md: "While the store is
 * down, leases either pause or expire"): PUT /control/mode?mode=busy answers all calls with 503 until mode=live.
 */
#define main unused_main
#include "../../test/standin/store.c"
#undef main

static int64_t tick_with_pause(struct standin_server *server, int64_t now_ms)
{
	static int64_t last_ms;
	struct store *store = (struct store *)server;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->leases);
	while (store->busy && last_ms && g_hash_table_iter_next(&iter, NULL, &value))
		((struct standin_lease *)value)->until_ms += now_ms - last_ms;
	last_ms = now_ms;
	return MIN(expire_leases(server, now_ms), now_ms + 5);
}

int main(void)
{
	struct store store = { .server.handle = handle, .server.tick = tick_with_pause };
	sigset_t signals;

	(void)unused_main;
	store.entries = g_tree_new_full(compare_keys, NULL, g_free, entry_free);
	store.changes = g_ptr_array_new_with_free_func(change_free);
	store.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	server_block_signals(&signals);
	store.port = server_start(&store.server, 0, 1000);
	if (!store.port)
		return EXIT_FAILURE;
	printf("ready 127.0.0.1:%u\n", store.port);
	fflush(stdout);
	server_await_signal(&signals);
	server_stop(&store.server);
	return EXIT_SUCCESS;
}
