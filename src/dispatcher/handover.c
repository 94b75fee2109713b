#include "handover.h"
#include "inheritance.h"
#include "submission_job.h"

#define PART_BYTES	(64 * 1024)
#define PARTS_IN_FLIGHT 4
#define RESEND_MS	300

struct part {
	Waxwing__Handover *message; /**< Freed with waxwing__handover__free_unpacked(). */
	int64_t sent_ms; /**< INT64_MIN if not sent yet. */
	bool acked;
};

struct waxwing_handover {
	uint32_t part_bytes;
	uint32_t parts_in_flight;
	uint32_t resend_ms;
	GArray *parts; /**< Of struct part. */
	guint unacked;
};

/** Builds the parts of one incarnation's ids. */
struct part_builder {
	struct waxwing_handover *handover;
	/** Fields that all parts share, and the number of the current part. */
	Waxwing__Handover common;
	GPtrArray *finished; /**< Ids of the current part, as Waxwing__FinishedId. */
	size_t bytes;
};

static void finished_free(gpointer data)
{
	Waxwing__FinishedId *finished = data;

	g_free(finished->answer.data);
	g_free(finished->id);
	g_free(finished);
}

/** Adds the current part to the hand-over as a message of its own, and starts the next part. */
static void close_part(struct part_builder *builder, bool last)
{
	Waxwing__Handover message = builder->common;
	struct part part = { .sent_ms = INT64_MIN };
	size_t len;
	uint8_t *packed;

	message.last = last;
	message.n_finished = builder->finished->len;
	message.finished = (Waxwing__FinishedId **)builder->finished->pdata;
	len = waxwing__handover__get_packed_size(&message);
	packed = g_malloc(len);
	waxwing__handover__pack(&message, packed);
	part.message = waxwing__handover__unpack(NULL, len, packed);
	g_free(packed);
	g_array_append_val(builder->handover->parts, part);
	builder->handover->unacked++;
	builder->common.part++;
	builder->bytes = 0;
	g_ptr_array_set_size(builder->finished, 0);
}

static void builder_init(struct part_builder *builder, struct waxwing_handover *handover,
			 uint64_t incarnation)
{
	*builder = (struct part_builder){ .handover = handover };
	waxwing__handover__init(&builder->common);
	builder->common.incarnation = incarnation;
	builder->finished = g_ptr_array_new_with_free_func(finished_free);
}

static void add_id(struct part_builder *builder, const char *id, uint64_t digest,
		   const uint8_t *answer, size_t answer_len)
{
	Waxwing__FinishedId *finished = g_new(Waxwing__FinishedId, 1);

	if (builder->bytes && builder->bytes + answer_len > builder->handover->part_bytes)
		close_part(builder, false);
	waxwing__finished_id__init(finished);
	finished->id = g_strdup(id);
	finished->digest = digest;
	finished->answer.len = answer_len;
	finished->answer.data = g_memdup2(answer, answer_len);
	g_ptr_array_add(builder->finished, finished);
	builder->bytes += answer_len + strlen(id);
}

static void add_issued_id(void *context, const char *id, uint64_t digest, const uint8_t *answer,
			  size_t answer_len)
{
	struct waxwing_error error;
	uint8_t *unknown;
	size_t len;

	if (answer) {
		add_id(context, id, digest, answer, answer_len);
		return;
	}
	waxwing_error_set(&error, WAXWING_ERROR_OUTCOME_UNKNOWN, "id",
			  "the issuer left while the job was running");
	unknown = waxwing_failure_pack(id, "unknown", &error, &len);
	add_id(context, id, digest, unknown, len);
	g_free(unknown);
}

static void add_issued(struct waxwing_handover *handover, uint64_t incarnation,
		       struct waxwing_submissions *table, int64_t now_ms)
{
	struct part_builder builder;
	int64_t expires_ms;

	builder_init(&builder, handover, incarnation);
	waxwing_submissions_epochs(table, &builder.common.oldest_epoch,
				   &builder.common.newest_epoch, &expires_ms);
	builder.common.expires_in_ms = (uint32_t)MAX(expires_ms - now_ms, 0);
	waxwing_submissions_each_id(table, add_issued_id, &builder);
	close_part(&builder, true);
	g_ptr_array_free(builder.finished, true);
}

/**
 * Adds the ids inherited from one incarnation. If some of the parts that carried them never
 * arrived, no outgoing part is marked as the last one.
 */
static void add_inherited(struct waxwing_handover *handover,
			  const struct waxwing_inherited_table *table, int64_t now_ms)
{
	struct part_builder builder;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	if (now_ms >= table->expires_ms)
		return;
	builder_init(&builder, handover, table->incarnation);
	builder.common.oldest_epoch = table->oldest_epoch;
	builder.common.newest_epoch = table->newest_epoch;
	builder.common.expires_in_ms = (uint32_t)(table->expires_ms - now_ms);
	g_hash_table_iter_init(&iter, table->ids);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct waxwing_inherited_id *id = value;

		add_id(&builder, key, id->digest, id->answer, id->answer_len);
	}
	close_part(&builder, waxwing_inherited_complete(table));
	g_ptr_array_free(builder.finished, true);
}

struct waxwing_handover *waxwing_handover_create(const struct waxwing_handover_options *options,
						 struct waxwing_submissions *table,
						 struct waxwing_inherited_windows *inheritance,
						 int64_t now_ms)
{
	struct waxwing_handover *handover = g_new0(struct waxwing_handover, 1);
	GHashTableIter iter;
	gpointer value;

	handover->part_bytes = options->part_bytes ? options->part_bytes : PART_BYTES;
	handover->parts_in_flight =
		options->parts_in_flight ? options->parts_in_flight : PARTS_IN_FLIGHT;
	handover->resend_ms = options->resend_ms ? options->resend_ms : RESEND_MS;
	handover->parts = g_array_new(false, false, sizeof(struct part));
	add_issued(handover, options->incarnation, table, now_ms);
	if (!inheritance)
		return handover;
	g_hash_table_iter_init(&iter, inheritance->tables);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_inherited(handover, value, now_ms);
	return handover;
}

void waxwing_handover_destroy(struct waxwing_handover *handover)
{
	if (!handover)
		return;
	for (guint i = 0; i < handover->parts->len; i++)
		waxwing__handover__free_unpacked(
			g_array_index(handover->parts, struct part, i).message, NULL);
	g_array_free(handover->parts, true);
	g_free(handover);
}

const Waxwing__Handover *waxwing_handover_next_part(struct waxwing_handover *handover,
						    int64_t now_ms)
{
	uint32_t in_flight = 0;

	for (guint i = 0; i < handover->parts->len && in_flight < handover->parts_in_flight; i++) {
		struct part *part = &g_array_index(handover->parts, struct part, i);

		if (part->acked)
			continue;
		if (part->sent_ms == INT64_MIN || now_ms - part->sent_ms >= handover->resend_ms) {
			part->sent_ms = now_ms;
			return part->message;
		}
		in_flight++;
	}
	return NULL;
}

void waxwing_handover_receive_ack(struct waxwing_handover *handover,
				  const Waxwing__HandoverAck *ack)
{
	for (guint i = 0; i < handover->parts->len; i++) {
		struct part *part = &g_array_index(handover->parts, struct part, i);

		if (part->acked || part->message->incarnation != ack->incarnation ||
		    part->message->part != ack->part)
			continue;
		part->acked = true;
		handover->unacked--;
		return;
	}
}

void waxwing_handover_restart(struct waxwing_handover *handover)
{
	for (guint i = 0; i < handover->parts->len; i++) {
		struct part *part = &g_array_index(handover->parts, struct part, i);

		part->acked = false;
		part->sent_ms = INT64_MIN;
	}
	handover->unacked = handover->parts->len;
}

bool waxwing_handover_is_complete(const struct waxwing_handover *handover)
{
	return handover->unacked == 0;
}
