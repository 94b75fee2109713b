/** Simulated service that decides which executors may run a step. Part of node_sim.h. */
#ifndef WAXWING_TEST_NODE_SIM_PERMITS_H
#define WAXWING_TEST_NODE_SIM_PERMITS_H

#include "node_sim_types.h"

#define PERMIT_BASE_MS	10
#define PERMIT_EACH_MS	1
#define PERMIT_VALID_MS 400

struct permits_request {
	struct cluster_sim *sim;
	int host_index;
	uint64_t incarnation;
	struct waxwing_permits_call call;
	char **executors;
	uint64_t job;
	bool unanswered;
};

/* Allows two of three executors to run a job's step. */
static bool may_executor_run(uint64_t job, const char *executor)
{
	return (job + (uint64_t)atoi(executor + 1)) % 3 != 0;
}

/* Creates a ticket that contains the job, the executor and the expiry time. */
static char *make_ticket(uint64_t job, const char *executor, int64_t until_ms)
{
	return g_strdup_printf("%llu.%s.%lld", (unsigned long long)job, executor,
			       (long long)until_ms);
}

static bool is_ticket_valid(const struct cluster_sim *sim, const char *ticket, uint64_t job,
			    const char *executor)
{
	char **parts = g_strsplit(ticket ? ticket : "", ".", 3);
	bool valid = g_strv_length(parts) == 3 && strtoull(parts[0], NULL, 10) == job &&
		     strcmp(parts[1], executor) == 0 && may_executor_run(job, executor) &&
		     sim_now(sim) < atoll(parts[2]);

	g_strfreev(parts);
	return valid;
}

static void permits_deliver_answer(struct cluster_sim *sim, void *data)
{
	struct permits_request *request = data;
	struct sim_host *host = find_live_host(sim, request->host_index, request->incarnation);
	GArray *permits = g_array_new(FALSE, FALSE, sizeof(struct waxwing_permit));
	struct waxwing_permit_answer answer = { .answered = host && !request->unanswered,
						.valid_ms = PERMIT_VALID_MS };

	if (host && defer_if_frozen(host, permits_deliver_answer, request)) {
		g_array_free(permits, TRUE);
		return;
	}
	for (char **executor = request->executors; *executor; executor++) {
		struct waxwing_permit row = { *executor, NULL };

		if (!may_executor_run(request->job, *executor))
			continue;
		row.ticket = make_ticket(request->job, *executor, sim_now(sim) + PERMIT_VALID_MS);
		g_array_append_val(permits, row);
	}
	answer.permits = (const struct waxwing_permit *)permits->data;
	answer.permit_count = permits->len;
	if (host) {
		request->call.done(request->call.data, &answer);
		waxwing_node_process_events(host->node);
	} else {
		g_free(request->call.data); /* the query of a node that is no longer running */
	}
	for (guint i = 0; i < permits->len; i++)
		g_free((char *)g_array_index(permits, struct waxwing_permit, i).ticket);
	g_array_free(permits, TRUE);
	g_strfreev(request->executors);
	g_free(request);
}

static void fake_permits_query(struct waxwing_permits *permits,
			       const struct waxwing_permits_call *call)
{
	struct sim_host *host =
		(struct sim_host *)((char *)permits - offsetof(struct sim_host, permits));
	struct cluster_sim *sim = host->sim;
	struct permits_request *request = g_new0(struct permits_request, 1);
	const struct waxwing_permit_query *query = call->query;

	request->sim = sim;
	request->host_index = host->index;
	request->incarnation = host->incarnation;
	request->call = *call;
	request->job = query->job;
	request->executors = g_new0(char *, query->count + 1);
	for (size_t i = 0; i < query->count; i++)
		request->executors[i] = g_strdup(query->executors[i]);
	request->unanswered = !zones_connected(sim, host->zone, -1) ||
			      sim_chance(sim, sim->permits_unanswered_share);
	sim_schedule(sim,
		     request->unanswered ? query->timeout_ms :
					   PERMIT_BASE_MS + PERMIT_EACH_MS * (int64_t)query->count,
		     permits_deliver_answer, request);
}

static const struct waxwing_permits_ops fake_permits_ops = { .query = fake_permits_query };

#endif
