#include "stream.h"

static void free_message(void *message)
{
	protobuf_c_message_free_unpacked(message, NULL);
}

guint waxwing_stream_key_hash(gconstpointer pointer)
{
	const struct waxwing_stream_key *key = pointer;

	return g_int64_hash(&key->incarnation) ^ key->cell;
}

gboolean waxwing_stream_key_equal(gconstpointer a, gconstpointer b)
{
	const struct waxwing_stream_key *left = a;
	const struct waxwing_stream_key *right = b;

	return left->incarnation == right->incarnation && left->cell == right->cell;
}

struct waxwing_stream *waxwing_stream_create(struct waxwing_stream_key key,
					     struct waxwing_str address)
{
	struct waxwing_stream *stream = g_new0(struct waxwing_stream, 1);

	stream->key = key;
	stream->address = waxwing_str_dup(address);
	for (int i = 0; i < WAXWING_STREAM_FIELDS; i++)
		stream->messages[i] = g_ptr_array_new_with_free_func(free_message);
	return stream;
}

void waxwing_stream_destroy(struct waxwing_stream *stream)
{
	waxwing_stream_clear_pending(stream);
	for (int i = 0; i < WAXWING_STREAM_FIELDS; i++)
		g_ptr_array_free(stream->messages[i], TRUE);
	g_free(stream->address);
	g_free(stream);
}

void waxwing_stream_add(struct waxwing_stream *stream, enum waxwing_stream_field field,
			ProtobufCMessage *message)
{
	g_ptr_array_add(stream->messages[field], message);
}

bool waxwing_stream_has_pending(const struct waxwing_stream *stream)
{
	for (int i = 0; i < WAXWING_STREAM_FIELDS; i++)
		if (stream->messages[i]->len)
			return true;
	return stream->sync || stream->want_sync || stream->want_settings || stream->settings;
}

#define FILL_FIELD(batch, member, stream, field)                                                   \
	do {                                                                                       \
		(batch)->n_##member = (stream)->messages[field]->len;                              \
		(batch)->member = (void *)(stream)->messages[field]->pdata;                        \
	} while (0)

void waxwing_stream_fill_batch(struct waxwing_stream *stream, Waxwing__Batch *batch)
{
	FILL_FIELD(batch, offers, stream, WAXWING_STREAM_OFFER);
	FILL_FIELD(batch, grants, stream, WAXWING_STREAM_GRANT);
	FILL_FIELD(batch, refusals, stream, WAXWING_STREAM_REFUSAL);
	FILL_FIELD(batch, ends, stream, WAXWING_STREAM_END);
	FILL_FIELD(batch, withdrawals, stream, WAXWING_STREAM_WITHDRAWAL);
	FILL_FIELD(batch, held, stream, WAXWING_STREAM_HELD);
	FILL_FIELD(batch, forwards, stream, WAXWING_STREAM_FORWARD);
	FILL_FIELD(batch, answers, stream, WAXWING_STREAM_ANSWER);
	FILL_FIELD(batch, handovers, stream, WAXWING_STREAM_HANDOVER);
	FILL_FIELD(batch, acks, stream, WAXWING_STREAM_ACK);
	FILL_FIELD(batch, upstreams, stream, WAXWING_STREAM_UPSTREAM);
	batch->has_sync = batch->sync = stream->sync;
	batch->has_want_sync = batch->want_sync = stream->want_sync;
	batch->has_want_settings = batch->want_settings = stream->want_settings;
	batch->has_settings_head = batch->settings_head = stream->settings_head;
	batch->settings = stream->settings;
	batch->has_cell = true;
	batch->cell = stream->key.cell;
	batch->has_sequence = true;
	batch->sequence = stream->next_send_sequence++;
}

void waxwing_stream_clear_pending(struct waxwing_stream *stream)
{
	for (int i = 0; i < WAXWING_STREAM_FIELDS; i++)
		g_ptr_array_set_size(stream->messages[i], 0);
	stream->sync = false;
	stream->want_sync = false;
	stream->want_settings = stream->settings_head = false;
	if (stream->settings)
		free_message(stream->settings);
	stream->settings = NULL;
}

void waxwing_stream_clear_issuer(struct waxwing_stream *stream)
{
	g_ptr_array_set_size(stream->messages[WAXWING_STREAM_OFFER], 0);
	g_ptr_array_set_size(stream->messages[WAXWING_STREAM_END], 0);
	g_ptr_array_set_size(stream->messages[WAXWING_STREAM_WITHDRAWAL], 0);
	g_ptr_array_set_size(stream->messages[WAXWING_STREAM_HELD], 0);
}

bool waxwing_stream_check_sequence(struct waxwing_stream *stream, uint64_t sequence)
{
	bool gap = stream->received ? sequence != stream->next_receive_sequence : sequence != 0;

	stream->received = true;
	stream->next_receive_sequence = sequence + 1;
	return gap;
}
