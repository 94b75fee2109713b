#include "settings.h"

#include "tsan.h"

#include <urcu.h>

#define DEFAULT_QUEUE_TASKS   100000
#define DEFAULT_QUEUE_BYTES   (64ull * 1024 * 1024)
#define DEFAULT_CONNECTIONS   256
#define DEFAULT_JSON_DEPTH    32
#define DEFAULT_CELLS	      1
#define DEFAULT_RETRY_PERCENT 10
#define DEFAULT_WEIGHT	      100
#define DEFAULT_DEADLINE_MS   10000
#define DEFAULT_DECLARED_MS   300
#define DEFAULT_MAX_ATTEMPTS  2
#define DEFAULT_JOB_TASKS     2000
#define DEFAULT_BODY_BYTES    (1024 * 1024)
#define DOCUMENT_DEPTH	      64

struct waxwing_settings {
	uint64_t revision;
	struct waxwing_str document;
	struct waxwing_str head; /* empty if the key holds the document itself */
	Waxwing__Tree *tree;
	struct waxwing_limits limits;
	GPtrArray *branches; /* struct waxwing_branch, parents before children */
	GHashTable *by_path; /* maps the branch's path to the branch */
};

static guint path_hash(gconstpointer path)
{
	return (guint)waxwing_str_hash(*(const struct waxwing_str *)path, 0);
}

static gboolean path_equal(gconstpointer a, gconstpointer b)
{
	return waxwing_str_equal(*(const struct waxwing_str *)a, *(const struct waxwing_str *)b);
}

static void branch_free(void *data)
{
	struct waxwing_branch *branch = data;

	g_free((char *)branch->path.data);
	g_free(branch);
}

static const struct waxwing_branch default_branch = {
	.weight = DEFAULT_WEIGHT,
	.deadline_ms = DEFAULT_DEADLINE_MS,
	.declared_ms = DEFAULT_DECLARED_MS,
	.max_attempts = DEFAULT_MAX_ATTEMPTS,
	.job_tasks = DEFAULT_JOB_TASKS,
	.body_bytes = DEFAULT_BODY_BYTES,
	.team = { 0, "" },
};

#define INHERIT(branch, values, field)                                                             \
	do {                                                                                       \
		if ((values)->has_##field)                                                         \
			(branch)->field = (values)->field;                                         \
	} while (0)

static void apply_values(struct waxwing_branch *branch, const Waxwing__BranchValues *values)
{
	if (!values)
		return;
	INHERIT(branch, values, retired);
	INHERIT(branch, values, weight);
	INHERIT(branch, values, deadline_ms);
	INHERIT(branch, values, declared_ms);
	INHERIT(branch, values, queue_tasks);
	INHERIT(branch, values, idempotent);
	INHERIT(branch, values, max_attempts);
	INHERIT(branch, values, job_tasks);
	INHERIT(branch, values, body_bytes);
	if (values->team)
		branch->team = waxwing_str(values->team);
	if (values->on_outage)
		branch->run_on_outage = strcmp(values->on_outage, "run") == 0;
}

static const struct waxwing_branch *add_branch(struct waxwing_settings *settings,
					       const struct waxwing_branch *parent,
					       const char *name,
					       const Waxwing__BranchValues *values)
{
	struct waxwing_branch *branch = g_new(struct waxwing_branch, 1);

	*branch = *parent;
	if (parent->path.len)
		branch->path = waxwing_str(
			g_strdup_printf("%.*s/%s", WAXWING_STR_ARG(parent->path), name));
	else
		branch->path = waxwing_str(g_strdup(name));
	apply_values(branch, values);
	g_ptr_array_add(settings->branches, branch);
	g_hash_table_insert(settings->by_path, &branch->path, branch);
	return branch;
}

static void add_children(struct waxwing_settings *settings, const struct waxwing_branch *parent,
			 Waxwing__Branch *const *branches, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const struct waxwing_branch *branch =
			add_branch(settings, parent, branches[i]->name, branches[i]->values);

		add_children(settings, branch, branches[i]->branches, branches[i]->n_branches);
	}
}

static void resolve_branches(struct waxwing_settings *settings)
{
	const Waxwing__Tree *tree = settings->tree;
	const struct waxwing_branch *root;

	settings->branches = g_ptr_array_new_with_free_func(branch_free);
	settings->by_path = g_hash_table_new(path_hash, path_equal);
	root = add_branch(settings, &default_branch, "", tree->values);
	add_children(settings, root, tree->branches, tree->n_branches);
}

static void resolve_limits(struct waxwing_limits *limits, const Waxwing__Limits *set)
{
	*limits = (struct waxwing_limits){
		.queue_tasks = DEFAULT_QUEUE_TASKS,
		.queue_bytes = DEFAULT_QUEUE_BYTES,
		.window_life_ms = WAXWING_DEFAULT_WINDOW_LIFE_MS,
		.window_grace_ms = WAXWING_DEFAULT_WINDOW_GRACE_MS,
		.connections_per_address = DEFAULT_CONNECTIONS,
		.json_depth = DEFAULT_JSON_DEPTH,
		.retry_percent = DEFAULT_RETRY_PERCENT,
		.cells = DEFAULT_CELLS,
	};
	if (!set)
		return;
	INHERIT(limits, set, queue_tasks);
	INHERIT(limits, set, queue_bytes);
	INHERIT(limits, set, window_life_ms);
	INHERIT(limits, set, window_grace_ms);
	INHERIT(limits, set, connections_per_address);
	INHERIT(limits, set, json_depth);
	INHERIT(limits, set, retry_percent);
	INHERIT(limits, set, cells);
}

const struct waxwing_binding_options waxwing_settings_binding = {
	.max_depth = DOCUMENT_DEPTH,
	.ranges = waxwing_settings_ranges,
};

static uint64_t combine_revision(const Waxwing__Tree *tree, uint64_t revision)
{
	uint64_t generation = tree->limits ? tree->limits->generation : 0;

	return (revision & ((1ull << WAXWING_REVISION_BITS) - 1)) |
	       generation << WAXWING_REVISION_BITS;
}

struct waxwing_settings *waxwing_settings_parse(struct waxwing_str document, uint64_t revision,
						struct waxwing_error *error)
{
	Waxwing__Tree *tree = (Waxwing__Tree *)waxwing_binding_parse(
		&waxwing__tree__descriptor, document, &waxwing_settings_binding, error);
	struct waxwing_settings *settings;

	if (!tree)
		return NULL;
	if (waxwing_settings_check(tree, document, error) != WAXWING_OK) {
		protobuf_c_message_free_unpacked(&tree->base, NULL);
		return NULL;
	}
	settings = g_new0(struct waxwing_settings, 1);
	settings->revision = combine_revision(tree, revision);
	settings->document = (struct waxwing_str){ document.len, waxwing_str_dup(document) };
	settings->tree = tree;
	resolve_limits(&settings->limits, tree->limits);
	resolve_branches(settings);
	return settings;
}

void waxwing_settings_free(struct waxwing_settings *settings)
{
	if (!settings)
		return;
	g_hash_table_destroy(settings->by_path);
	g_ptr_array_free(settings->branches, TRUE);
	protobuf_c_message_free_unpacked(&settings->tree->base, NULL);
	g_free((char *)settings->document.data);
	g_free((char *)settings->head.data);
	g_free(settings);
}

uint64_t waxwing_settings_revision(const struct waxwing_settings *settings)
{
	return settings->revision;
}

struct waxwing_str waxwing_settings_document(const struct waxwing_settings *settings)
{
	return settings->document;
}

struct waxwing_str waxwing_settings_head(const struct waxwing_settings *settings)
{
	return settings->head.len ? settings->head : settings->document;
}

void waxwing_settings_set_head(struct waxwing_settings *settings, struct waxwing_str head)
{
	g_free((char *)settings->head.data);
	settings->head = (struct waxwing_str){ head.len, waxwing_str_dup(head) };
}

const Waxwing__Tree *waxwing_settings_tree(const struct waxwing_settings *settings)
{
	return settings->tree;
}

const struct waxwing_limits *waxwing_settings_limits(const struct waxwing_settings *settings)
{
	return &settings->limits;
}

const struct waxwing_branch *waxwing_settings_branch(const struct waxwing_settings *settings,
						     struct waxwing_str path)
{
	return g_hash_table_lookup(settings->by_path, &path);
}

static const Waxwing__Branch *find_child(Waxwing__Branch *const *branches, size_t count,
					 struct waxwing_str name)
{
	for (size_t i = 0; i < count; i++)
		if (waxwing_str_equal(waxwing_str(branches[i]->name), name))
			return branches[i];
	return NULL;
}

const Waxwing__Branch *waxwing_settings_declaration(const struct waxwing_settings *settings,
						    struct waxwing_str path)
{
	const Waxwing__Branch *branch = NULL;
	struct waxwing_str rest = path;

	while (rest.len) {
		struct waxwing_str name = rest;

		if (!waxwing_str_cut(rest, '/', &name, &rest))
			rest.len = 0;
		branch = branch ? find_child(branch->branches, branch->n_branches, name) :
				  find_child(settings->tree->branches, settings->tree->n_branches,
					     name);
		if (!branch)
			return NULL;
	}
	return branch;
}

void waxwing_settings_each_branch(const struct waxwing_settings *settings,
				  void (*visit)(void *context, const struct waxwing_branch *branch),
				  void *context)
{
	for (guint i = 0; i < settings->branches->len; i++)
		visit(context, g_ptr_array_index(settings->branches, i));
}

bool waxwing_settings_publish(struct waxwing_settings_store *store,
			      struct waxwing_settings *settings)
{
	struct waxwing_settings *old = store->current;

	if (old && settings->revision <= old->revision) {
		uatomic_inc(&store->refused);
		waxwing_settings_free(settings);
		return false;
	}
	waxwing_tsan_release(store);
	rcu_set_pointer(&store->current, settings);
	if (old) {
		synchronize_rcu();
		waxwing_tsan_acquire(store);
		waxwing_settings_free(old);
	}
	return true;
}

const struct waxwing_settings *waxwing_settings_read_begin(struct waxwing_settings_store *store)
{
	const struct waxwing_settings *settings;

	rcu_read_lock();
	settings = rcu_dereference(store->current);
	waxwing_tsan_acquire(store);
	return settings;
}

void waxwing_settings_read_end(struct waxwing_settings_store *store)
{
	waxwing_tsan_release(store);
	rcu_read_unlock();
}
