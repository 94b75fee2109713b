/*
 * What a cell serves at a crest, against a clairvoyant policy on the same arrivals; how soon it
 * refuses the rest; and that no kind of job is left out.
 */
#include "crest_sim.h"

#define SEEDS 5
/* What must end in time, as a share of what the clairvoyant policy serves, by worth (issue 20). */
#define MIN_RATIO 0.9
/* Share of the refusals that come at once; later ones are due to more urgent jobs. */
#define MIN_PROMPT 0.95
/* The largest tenth of a kind must be served at least this often, relative to the kind (the users' gate). */
#define MIN_LARGEST_SHARE 0.5
/* No kind may be served less than this, whatever the others ask for. */
#define MIN_SERVED    0.05
#define LARGEST_SHARE 0.1

static double total_work(const struct job *job)
{
	double work_ms = 0;

	for (uint32_t i = 0; i < job->kind->tasks; i++)
		work_ms += job->work_ms[i];
	return work_ms;
}

static gint compare_work(gconstpointer a, gconstpointer b)
{
	double left = total_work(*(const struct job *const *)a);
	double right = total_work(*(const struct job *const *)b);

	return left > right ? -1 : left < right;
}

static double completed_share(const GPtrArray *jobs, guint count)
{
	guint completed = 0;

	for (guint i = 0; i < count; i++)
		completed += ((const struct job *)jobs->pdata[i])->outcome == WAXWING_JOB_COMPLETED;
	return (double)completed / MAX(count, 1);
}

/* The largest jobs of a kind are not refused much more often than the others. */
static void assert_largest_served(GArray *sims, const struct kind *kind, const guint *first)
{
	GPtrArray *jobs = g_ptr_array_new();

	for (guint k = 0; k < sims->len; k++) {
		const struct crest_sim *sim = g_array_index(sims, struct crest_sim *, k);

		for (guint i = first[k]; i < sim->jobs->len; i++) {
			struct job *job = &g_array_index(sim->jobs, struct job, i);

			if (job->kind == kind)
				g_ptr_array_add(jobs, job);
		}
	}
	g_ptr_array_sort(jobs, compare_work);
	g_test_message("kind of %u tasks: served %.3f, of the largest tenth %.3f", kind->tasks,
		       completed_share(jobs, jobs->len),
		       completed_share(jobs, (guint)(jobs->len * LARGEST_SHARE)));
	g_assert_cmpfloat(completed_share(jobs, jobs->len), >=, MIN_SERVED);
	g_assert_cmpfloat(completed_share(jobs, (guint)(jobs->len * LARGEST_SHARE)), >=,
			  MIN_LARGEST_SHARE * completed_share(jobs, jobs->len));
	g_ptr_array_free(jobs, TRUE);
}

static double share_in_time(const struct crest_sim *sim, guint first, const struct kind *kind)
{
	guint all = 0;
	guint in_time = 0;

	for (guint i = first; i < sim->jobs->len; i++) {
		const struct job *job = &g_array_index(sim->jobs, struct job, i);

		if (kind && job->kind != kind)
			continue;
		all++;
		in_time += job->outcome == WAXWING_JOB_COMPLETED && job->answered_ms <= job->due_ms;
	}
	return (double)in_time / MAX(all, 1);
}

static void test_crest(gconstpointer load_times_ten)
{
	double load = GPOINTER_TO_INT(load_times_ten) / 10.0;
	double served = 0;
	double possible = 0;
	GArray *sims = g_array_new(FALSE, FALSE, sizeof(struct crest_sim *));
	guint firsts[SEEDS];

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		guint first;
		struct crest_sim *sim = run_crest(seed, load, &first);
		double prompt = prompt_refusals(sim, first);

		firsts[seed - 1] = first;
		g_array_append_val(sims, sim);
		served += served_worth(sim, first);
		possible += clairvoyant_worth(sim, first);
		g_test_message(
			"load %.1f seed %u: refused at once %.3f; in time %.3f, by kind %.3f "
			"%.3f %.3f",
			load, seed, prompt, share_in_time(sim, first, NULL),
			share_in_time(sim, first, &kinds[0]), share_in_time(sim, first, &kinds[1]),
			share_in_time(sim, first, &kinds[2]));
		g_assert_cmpfloat(prompt, >=, MIN_PROMPT);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		assert_largest_served(sims, &kinds[i], firsts);
	for (guint i = 0; i < sims->len; i++)
		crest_destroy(g_array_index(sims, struct crest_sim *, i));
	g_array_free(sims, TRUE);
	g_test_message("load %.1f: worth in time over the clairvoyant's %.3f", load,
		       served / possible);
	g_assert_cmpfloat(served / possible, >=, MIN_RATIO);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/crest/below_capacity", GINT_TO_POINTER(7), test_crest);
	g_test_add_data_func("/crest/two_times", GINT_TO_POINTER(20), test_crest);
	g_test_add_data_func("/crest/three_times", GINT_TO_POINTER(30), test_crest);
	g_test_add_data_func("/crest/six_times", GINT_TO_POINTER(60), test_crest);
	return g_test_run();
}
