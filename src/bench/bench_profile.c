#include "bench_profile.h"

#include <glib.h>
#include <string.h>

static const struct waxwing_bench_branch trial_branches[] = {
	{ "trial/check", 0.58, 1, 1, 50, 300, 0, 0, 0, 120, 3000 },
	{ "trial/order", 0.30, 1, 8, 80, 1000, 0.01, 2000, 6000, 300, 6000 },
	{ "trial/batch", 0.10, 10, 200, 100, 1000, 0.005, 2000, 6000, 350, 20000 },
	{ "trial/slow", 0.02, 1, 4, 2000, 8000, 0, 0, 0, 4000, 30000 },
};

static const struct waxwing_bench_branch meal_branches[] = {
	{ "meals/booking", 0.35, 1, 3, 80, 400, 0.002, 1500, 4000, 180, 3000 },
	{ "meals/headcount", 0.35, 1, 1, 50, 150, 0, 0, 0, 90, 2000 },
	{ "meals/drop-point", 0.18, 1, 2, 60, 250, 0, 0, 0, 120, 2000 },
	{ "kitchens/day-plan", 0.10, 20, 300, 150, 1000, 0.01, 2000, 6000, 400, 20000 },
	{ "kitchens/routes", 0.02, 1, 6, 2000, 8000, 0, 0, 0, 4000, 30000 },
};

static const struct waxwing_bench_branch registry_branches[] = {
	{ "orders/check", 0.50, 1, 1, 50, 120, 0, 0, 0, 80, 1500 },
	{ "orders/registration", 0.22, 1, 4, 200, 1000, 0.005, 2000, 5000, 450, 6000 },
	{ "orders/confirmation", 0.18, 1, 1, 100, 300, 0, 0, 0, 180, 3000 },
	{ "offices/statement", 0.07, 30, 400, 100, 800, 0.005, 2000, 6000, 300, 30000 },
	{ "offices/audit", 0.03, 1, 8, 2000, 10000, 0, 0, 0, 4500, 40000 },
};

static const struct waxwing_bench_profile profiles[] = {
	{
		.name = "trial",
		.description = "one domain of 13 upstreams x 8 slots, speeds 1:4",
		.domains = 1,
		.upstreams = { 13 },
		.slots = 8,
		.speed_ratio = 4,
		.instances = 4,
		.straggler_share = 0.001,
		.straggler_min_ms = 10000,
		.straggler_max_ms = 40000,
		.misdeclared_share = 0.2,
		.resubmitted_share = 0.02,
		.branches = trial_branches,
		.branch_count = G_N_ELEMENTS(trial_branches),
	},
	{
		.name = "lua-chung",
		.description = "four domains, 50 executors x 8 slots, 8 entry instances",
		.domains = 4,
		.upstreams = { 13, 13, 12, 12 },
		.slots = 8,
		.speed_ratio = 4,
		.instances = 2,
		.straggler_share = 0.001,
		.straggler_min_ms = 10000,
		.straggler_max_ms = 40000,
		.misdeclared_share = 0.3,
		.resubmitted_share = 0.02,
		.faults = true,
		.branches = meal_branches,
		.branch_count = G_N_ELEMENTS(meal_branches),
	},
	{
		.name = "registry",
		.description = "three domains, 50 executors x 8 slots, 6 entry instances",
		.domains = 3,
		.upstreams = { 17, 17, 16 },
		.slots = 8,
		.speed_ratio = 4,
		.instances = 2,
		.straggler_share = 0.0005,
		.straggler_min_ms = 15000,
		.straggler_max_ms = 60000,
		.misdeclared_share = 0.3,
		.resubmitted_share = 0.02,
		.faults = true,
		.branches = registry_branches,
		.branch_count = G_N_ELEMENTS(registry_branches),
	},
};

const struct waxwing_bench_profile *waxwing_bench_profile_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		if (strcmp(profiles[i].name, name) == 0)
			return &profiles[i];
	}
	return NULL;
}

const struct waxwing_bench_profile *waxwing_bench_profile_at(size_t index)
{
	return index < G_N_ELEMENTS(profiles) ? &profiles[index] : NULL;
}

uint32_t waxwing_bench_profile_upstreams(const struct waxwing_bench_profile *profile)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < profile->domains; i++)
		count += profile->upstreams[i];
	return count;
}

double waxwing_bench_profile_speed(const struct waxwing_bench_profile *profile, uint32_t index,
				   uint32_t count)
{
	double slowest = 2 / (profile->speed_ratio + 1);
	double fastest = slowest * profile->speed_ratio;

	if (count < 2)
		return 1;
	return fastest - (fastest - slowest) * index / (count - 1);
}
