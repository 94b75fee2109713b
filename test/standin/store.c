/**
 * Stand-in of the store: the HTTP calls that the dispatcher's store adapter makes, with leases and
 * one revision counter for all keys.
 *
 * PUT /control/key?Key=K writes the body to a key, as operators and executors do, DELETE
 * /control/key?Key=K removes it, GET /control/calls returns the number of calls, PUT
 * /control/mode?mode=busy refuses all calls with status 503 until mode=live.
 */
#include "server.h"

#include "json.h"

#include <argp.h>
#include <inttypes.h>
#include <stdlib.h>

struct standin_entry {
	char *value; /* base64 */
	uint64_t revision;
	uint64_t lease; /* 0: none */
};

struct standin_change {
	char *key;
	char *value; /* base64; null: removed */
	uint64_t revision;
};

struct standin_lease {
	uint32_t ttl_ms;
	int64_t until_ms;
};

struct store {
	struct standin_server server; /* must be first */
	uint16_t port;
	GTree *entries; /* key to struct standin_entry */
	GPtrArray *changes; /* struct standin_change, all since the start */
	GHashTable *leases; /* uint64_t id to struct standin_lease */
	uint64_t revision;
	uint64_t last_lease;
	uint64_t calls;
	bool busy; /* refuses all calls with status 503 */
};

static void entry_free(gpointer value)
{
	struct standin_entry *entry = value;

	g_free(entry->value);
	g_free(entry);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	return strcmp(a, b);
}

static void record_change(struct store *store, const char *key, const char *value)
{
	struct standin_change *change = g_new0(struct standin_change, 1);

	change->key = g_strdup(key);
	change->value = g_strdup(value);
	change->revision = store->revision;
	g_ptr_array_add(store->changes, change);
	server_wake(&store->server);
}

static void put_key(struct store *store, const char *key, const char *value, uint64_t lease)
{
	struct standin_entry *entry = g_new0(struct standin_entry, 1);

	entry->value = g_strdup(value);
	entry->revision = ++store->revision;
	entry->lease = lease;
	g_tree_replace(store->entries, g_strdup(key), entry);
	record_change(store, key, value);
}

static void remove_key(struct store *store, const char *key)
{
	char *copy = g_strdup(key);

	if (g_tree_remove(store->entries, copy)) {
		store->revision++;
		record_change(store, copy, NULL);
	}
	g_free(copy);
}

struct lease_keys {
	uint64_t lease;
	GPtrArray *keys;
};

static gboolean collect_lease_key(gpointer key, gpointer value, gpointer data)
{
	struct lease_keys *collected = data;

	if (((struct standin_entry *)value)->lease == collected->lease)
		g_ptr_array_add(collected->keys, g_strdup(key));
	return FALSE;
}

static void delete_lease_keys(struct store *store, uint64_t id)
{
	struct lease_keys collected = { id, g_ptr_array_new_with_free_func(g_free) };

	g_tree_foreach(store->entries, collect_lease_key, &collected);
	for (guint i = 0; i < collected.keys->len; i++)
		remove_key(store, collected.keys->pdata[i]);
	g_ptr_array_free(collected.keys, TRUE);
}

static int64_t expire_leases(struct standin_server *server, int64_t now_ms)
{
	struct store *store = (struct store *)server;
	int64_t next_ms = INT64_MAX;
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	g_hash_table_iter_init(&iter, store->leases);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct standin_lease *lease = value;
		uint64_t id = *(uint64_t *)key;

		if (now_ms < lease->until_ms) {
			next_ms = MIN(next_ms, lease->until_ms);
			continue;
		}
		g_array_append_val(expired, id);
		g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < expired->len; i++)
		delete_lease_keys(store, g_array_index(expired, uint64_t, i));
	g_array_free(expired, TRUE);
	return next_ms;
}

static enum server_result answer_json(struct server_request *request, unsigned int status,
				      GString *text)
{
	enum server_result result = server_answer(request, status, text->str, text->len,
						  "Content-Type", "application/json");

	g_string_free(text, TRUE);
	return result;
}

/* A response to /kv-range under construction. */
struct range_page {
	struct store *store;
	const char *prefix;
	const char *after;
	GString *text;
	int count;
};

static gboolean add_entry(gpointer key, gpointer value, gpointer data)
{
	struct range_page *page = data;
	const struct standin_entry *entry = value;

	if (!g_str_has_prefix(key, page->prefix) || (page->after && strcmp(key, page->after) <= 0))
		return FALSE;
	g_string_append_printf(page->text,
			       "%s{\"Key\":\"%s\",\"Value\":\"%s\",\"Revision\":%" PRIu64
			       ",\"Lease\":%" PRIu64 "}",
			       page->count++ ? "," : "", (const char *)key, entry->value,
			       entry->revision, entry->lease);
	return FALSE;
}

static enum server_result handle_range(struct store *store, struct server_request *request)
{
	struct range_page page = {
		.store = store,
		.prefix = server_query_argument(request, "Prefix"),
		.after = server_query_argument(request, "After"),
		.text = g_string_new("{\"items\":["),
	};

	g_tree_foreach(store->entries, add_entry, &page);
	g_string_append_printf(page.text, "],\"MorePages\":false,\"CurrentRev\":%" PRIu64 "}",
			       store->revision);
	return answer_json(request, 200, page.text);
}

/* request->state is the time until which the request waits for a change. */
static enum server_result handle_watch(struct store *store, struct server_request *request)
{
	const char *prefix = server_query_argument(request, "Prefix");
	uint64_t after = (uint64_t)server_query_number(request, "After", 0);
	GString *text = g_string_new("{\"events\":[");
	int64_t *until_ms = request->state;
	int count = 0;

	if (!until_ms) {
		until_ms = g_new0(int64_t, 1);
		*until_ms = server_now() + server_query_number(request, "WaitMs", 0);
		request->state = until_ms;
	}
	for (guint i = 0; i < store->changes->len; i++) {
		const struct standin_change *change = store->changes->pdata[i];

		if (change->revision <= after || !g_str_has_prefix(change->key, prefix))
			continue;
		g_string_append_printf(text, "%s{\"Key\":\"%s\",\"Revision\":%" PRIu64,
				       count++ ? "," : "", change->key, change->revision);
		if (change->value)
			g_string_append_printf(text, ",\"Value\":\"%s\"}", change->value);
		else
			g_string_append(text, ",\"Deleted\":true}");
	}
	if (!count && server_now() < *until_ms) {
		g_string_free(text, TRUE);
		request->wake_ms = *until_ms;
		return SERVER_WAIT;
	}
	g_string_append_printf(text, "],\"CurrentRev\":%" PRIu64 "}", store->revision);
	return answer_json(request, 200, text);
}

static struct json_object *array_item(struct json_object *object, const char *name, size_t index)
{
	struct json_object *array = json_get_member(object, name, json_type_array);

	return array ? json_object_array_get_idx(array, index) : NULL;
}

static bool preconditions_hold(struct store *store, struct json_object *object)
{
	struct json_object *item;

	for (size_t i = 0; (item = array_item(object, "Precondition", i)); i++) {
		const struct standin_entry *entry =
			g_tree_lookup(store->entries, json_get_string(item, "Key"));

		if ((entry ? entry->revision : 0) != json_get_u64_or_0(item, "Revision"))
			return false;
	}
	return true;
}

static bool leases_exist(struct store *store, struct json_object *object)
{
	struct json_object *item;

	for (size_t i = 0; (item = array_item(object, "Puts", i)); i++) {
		uint64_t lease = json_get_u64_or_0(item, "Lease");

		if (lease && !g_hash_table_contains(store->leases, &lease))
			return false;
	}
	return true;
}

/* Answers with the current entries of the keys in the preconditions. */
static enum server_result answer_conflict(struct store *store, struct server_request *request,
					  struct json_object *object)
{
	GString *text = g_string_new("{\"items\":[");
	struct json_object *item;

	for (size_t i = 0; (item = array_item(object, "Precondition", i)); i++) {
		const char *key = json_get_string(item, "Key");
		const struct standin_entry *entry = g_tree_lookup(store->entries, key);

		if (entry)
			g_string_append_printf(
				text,
				"%s{\"Key\":\"%s\",\"Value\":\"%s\",\"Revision\":%" PRIu64
				",\"Lease\":%" PRIu64 "}",
				text->str[text->len - 1] == '[' ? "" : ",", key, entry->value,
				entry->revision, entry->lease);
	}
	g_string_append(text, "]}");
	return answer_json(request, 412, text);
}

static enum server_result handle_transaction(struct store *store, struct server_request *request,
					     struct json_object *object)
{
	struct json_object *item;

	if (!preconditions_hold(store, object))
		return answer_conflict(store, request, object);
	if (!leases_exist(store, object))
		return server_answer_text(request, 404, "{}");
	for (size_t i = 0; (item = array_item(object, "Puts", i)); i++)
		put_key(store, json_get_string(item, "Key"), json_get_string(item, "Value"),
			json_get_u64_or_0(item, "Lease"));
	for (size_t i = 0; (item = array_item(object, "Remove", i)); i++)
		remove_key(store, json_object_get_string(item));
	item = json_object_new_object();
	json_object_object_add(item, "Revision", json_object_new_uint64(store->revision));
	server_answer_text(request, 200, json_object_to_json_string(item));
	json_object_put(item);
	return SERVER_ANSWERED;
}

static enum server_result grant_lease(struct store *store, struct server_request *request,
				      struct json_object *object)
{
	struct standin_lease *lease = g_new0(struct standin_lease, 1);
	GString *text = g_string_new(NULL);
	uint64_t id = ++store->last_lease;

	lease->ttl_ms = (uint32_t)json_get_u64_or_0(object, "TtlMs");
	lease->until_ms = server_now() + lease->ttl_ms;
	g_hash_table_insert(store->leases, g_memdup2(&id, sizeof(id)), lease);
	g_string_printf(text, "{\"Lease\":%" PRIu64 ",\"TtlMs\":%u}", id, lease->ttl_ms);
	pthread_cond_signal(&store->server.changed);
	return answer_json(request, 200, text);
}

static enum server_result renew_lease(struct store *store, struct server_request *request)
{
	uint64_t id = g_ascii_strtoull(request->path + strlen("/kv-keep/"), NULL, 10);
	struct standin_lease *lease = g_hash_table_lookup(store->leases, &id);

	if (!lease)
		return server_answer_text(request, 404, "{}");
	lease->until_ms = server_now() + lease->ttl_ms;
	return server_answer_text(request, 200, "{\"TtlMs\":1000}");
}

static enum server_result handle_control(struct store *store, struct server_request *request)
{
	const char *key = server_query_argument(request, "Key");
	char calls[32];

	if (strcmp(request->path, "/control/calls") == 0) {
		g_snprintf(calls, sizeof(calls), "%" PRIu64 "\n", store->calls);
		return server_answer_text(request, 200, calls);
	}
	if (strcmp(request->path, "/control/mode") == 0) {
		store->busy = g_strcmp0(server_query_argument(request, "mode"), "busy") == 0;
		return server_answer_text(request, 200, "");
	}
	if (!key)
		return server_answer_text(request, 400, "");
	if (strcmp(request->method, "DELETE") == 0) {
		remove_key(store, key);
	} else {
		char *value = g_base64_encode(request->body->data, request->body->len);

		put_key(store, key, value, 0);
		g_free(value);
	}
	return server_answer_text(request, 200, "");
}

static enum server_result handle(struct standin_server *server, struct server_request *request)
{
	struct store *store = (struct store *)server;
	struct json_object *object;
	enum server_result result = SERVER_ANSWERED;

	if (g_str_has_prefix(request->path, "/control/"))
		return handle_control(store, request);
	if (!request->state)
		store->calls++;
	if (store->busy)
		return server_answer_text(request, 503, "");
	if (strcmp(request->path, "/kv-range") == 0 && server_query_argument(request, "Prefix"))
		return handle_range(store, request);
	if (strcmp(request->path, "/kv-watch") == 0 && server_query_argument(request, "Prefix"))
		return handle_watch(store, request);
	if (g_str_has_prefix(request->path, "/kv-keep/"))
		return renew_lease(store, request);
	object = json_parse(
		(struct waxwing_str){ request->body->len, (const char *)request->body->data });
	if (strcmp(request->path, "/kv-txn") == 0 && object)
		result = handle_transaction(store, request, object);
	else if (strcmp(request->path, "/kv-lease") == 0 && object)
		result = grant_lease(store, request, object);
	else
		result = server_answer_text(request, 400, "");
	json_object_put(object);
	return result;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	if (key != 'p')
		return ARGP_ERR_UNKNOWN;
	((struct store *)state->input)->port = (uint16_t)strtoul(arg, NULL, 10);
	return 0;
}

static void change_free(gpointer value)
{
	struct standin_change *change = value;

	g_free(change->key);
	g_free(change->value);
	g_free(change);
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "port", 'p', "PORT", 0, "port on 127.0.0.1 (0: any free port)", 0 },
		{ 0 },
	};
	static const struct argp argp = {
		options, parse_option, NULL, "Stand-in of the store, for tests.", NULL, NULL, NULL
	};
	struct store store = { .server.handle = handle, .server.tick = expire_leases };
	sigset_t signals;

	argp_parse(&argp, argc, argv, 0, NULL, &store);
	store.entries = g_tree_new_full(compare_keys, NULL, g_free, entry_free);
	store.changes = g_ptr_array_new_with_free_func(change_free);
	store.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	server_block_signals(&signals);
	store.port = server_start(&store.server, store.port, 1000);
	if (!store.port) {
		perror("standin-store: bind");
		return EXIT_FAILURE;
	}
	printf("ready 127.0.0.1:%u\n", store.port);
	fflush(stdout);
	server_await_signal(&signals);
	server_stop(&store.server);
	g_tree_destroy(store.entries);
	g_ptr_array_free(store.changes, TRUE);
	g_hash_table_destroy(store.leases);
	return EXIT_SUCCESS;
}
