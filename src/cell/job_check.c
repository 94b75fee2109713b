#include "job_check.h"

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/* A step may depend only on earlier steps, which rules out cycles. */
static bool dependencies_valid(const Waxwing__JobStep *step, size_t index)
{
	for (size_t i = 0; i < step->n_after; i++)
		if (step->after[i] >= index)
			return false;
	return true;
}

/*
 * Fields that this build does not know are kept, as another build may know them. But the decoder
 * takes a field numbered 0 for one, and the message could not be decoded again from the journal.
 */
static bool unknown_fields_valid(const ProtobufCMessage *message)
{
	for (unsigned int i = 0; i < message->n_unknown_fields; i++)
		if (!message->unknown_fields[i].tag)
			return false;
	return true;
}

static bool resources_valid(const Waxwing__JobStep *step)
{
	return step->cpu_milli <= INT32_MAX && step->mem_mb <= INT32_MAX &&
	       step->gpu <= INT32_MAX && step->estimated_ms <= INT32_MAX &&
	       step->target_ms <= INT32_MAX;
}

static const char *invalid_steps(const Waxwing__Job *job)
{
	uint64_t tasks = 0;

	if (!job->n_steps || job->n_steps > WAXWING_JOB_MAX_STEPS)
		return "steps";
	for (size_t i = 0; i < job->n_steps; i++) {
		if (!unknown_fields_valid(&job->steps[i]->base))
			return "steps, field 0";
		if (!job->steps[i]->count)
			return "steps.count";
		if (!dependencies_valid(job->steps[i], i))
			return "steps.after";
		if (!resources_valid(job->steps[i]))
			return "steps.resources";
		tasks += job->steps[i]->count;
	}
	return tasks > WAXWING_JOB_MAX_TASKS ? "steps.count" : NULL;
}

const char *waxwing_job_invalid_field(const Waxwing__Job *job)
{
	if (!unknown_fields_valid(&job->base))
		return "field 0";
	if (strlen(job->spec) > WAXWING_JOB_MAX_SPEC_BYTES)
		return "spec";
	if (job->repetitions > WAXWING_JOB_MAX_REPETITIONS || (job->repetitions && !job->kept))
		return "repetitions";
	if (job->first_ms > WAXWING_JOB_MAX_TIME_MS ||
	    job->interval_ms > WAXWING_JOB_MAX_INTERVAL_MS)
		return "first_ms, interval_ms";
	if (job->stretch_milli > WAXWING_JOB_MAX_STRETCH_MILLI || job->allowance_ms > INT32_MAX ||
	    job->permit_base_ms > INT32_MAX || job->permit_each_ms > INT32_MAX ||
	    job->permit_valid_ms > INT32_MAX)
		return "stretch_milli, allowance_ms, permits";
	if (job->cold_start_ms > WAXWING_JOB_MAX_COLD_MS ||
	    job->cold_milli_starts_per_s > WAXWING_JOB_MAX_COLD_MILLI_RATE)
		return "cold_start_ms, cold_milli_starts_per_s";
	return invalid_steps(job);
}
