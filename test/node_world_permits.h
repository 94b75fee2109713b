/** The service that says which executors may run a step, in virtual time. Part of node_world.h. */
#ifndef WAXWING_TEST_NODE_WORLD_PERMITS_H
#define WAXWING_TEST_NODE_WORLD_PERMITS_H

#include "node_world_types.h"

#define PERMIT_BASE_MS	10
#define PERMIT_EACH_MS	1
#define PERMIT_VALID_MS 400

struct permit_ask {
	struct world *world;
	int node;
	uint64_t incarnation;
	struct waxwing_permits_call call;
	char **executors;
	uint64_t job;
	bool lost;
};

/* Two of three executors may run a job's step. */
static bool may_run(uint64_t job, const char *executor)
{
	return (job + (uint64_t)atoi(executor + 1)) % 3 != 0;
}

/* A ticket tells its job, its executor and until when it is valid. */
static char *make_ticket(uint64_t job, const char *executor, int64_t until_ms)
{
	return g_strdup_printf("%llu.%s.%lld", (unsigned long long)job, executor,
			       (long long)until_ms);
}

static bool ticket_is_good(const struct world *world, const char *ticket, uint64_t job,
			   const char *executor)
{
	char **parts = g_strsplit(ticket ? ticket : "", ".", 3);
	bool good = g_strv_length(parts) == 3 && strtoull(parts[0], NULL, 10) == job &&
		    strcmp(parts[1], executor) == 0 && may_run(job, executor) &&
		    world_now(world) < atoll(parts[2]);

	g_strfreev(parts);
	return good;
}

static void permits_reply(struct world *world, void *data)
{
	struct permit_ask *ask = data;
	struct world_node *at = node_alive(world, ask->node, ask->incarnation);
	GArray *good = g_array_new(FALSE, FALSE, sizeof(struct waxwing_permit_row));
	struct waxwing_permit_answer answer = { .answered = at && !ask->lost,
						.valid_ms = PERMIT_VALID_MS };

	if (at && hold_back(at, permits_reply, ask)) {
		g_array_free(good, TRUE);
		return;
	}
	for (char **executor = ask->executors; *executor; executor++) {
		struct waxwing_permit_row row = { *executor, NULL };

		if (!may_run(ask->job, *executor))
			continue;
		row.ticket = make_ticket(ask->job, *executor, world_now(world) + PERMIT_VALID_MS);
		g_array_append_val(good, row);
	}
	answer.good = (const struct waxwing_permit_row *)good->data;
	answer.good_count = good->len;
	if (at) {
		ask->call.done(ask->call.data, &answer);
		waxwing_node_settle(at->node);
	} else {
		g_free(ask->call.data); /* the question, of a node that is gone */
	}
	for (guint i = 0; i < good->len; i++)
		g_free((char *)g_array_index(good, struct waxwing_permit_row, i).ticket);
	g_array_free(good, TRUE);
	g_strfreev(ask->executors);
	g_free(ask);
}

static void fake_ask(struct waxwing_permits *permits, const struct waxwing_permits_call *call)
{
	struct world_node *at =
		(struct world_node *)((char *)permits - offsetof(struct world_node, permits));
	struct world *world = at->world;
	struct permit_ask *ask = g_new0(struct permit_ask, 1);
	const struct waxwing_permit_question *question = call->question;

	ask->world = world;
	ask->node = at->index;
	ask->incarnation = at->incarnation;
	ask->call = *call;
	ask->job = question->job;
	ask->executors = g_new0(char *, question->count + 1);
	for (size_t i = 0; i < question->count; i++)
		ask->executors[i] = g_strdup(question->executors[i]);
	ask->lost =
		!zones_meet(world, at->zone, -1) || world_chance(world, world->permits_lost_share);
	world_later(world,
		    ask->lost ? question->timeout_ms :
				PERMIT_BASE_MS + PERMIT_EACH_MS * (int64_t)question->count,
		    permits_reply, ask);
}

static const struct waxwing_permits_ops fake_permits_ops = { .ask = fake_ask };

#endif
