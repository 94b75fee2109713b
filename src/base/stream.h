/**
 * The sequenced batches exchanged with one peer incarnation about one cell.
 *
 * Outgoing messages are queued until the stream is flushed into a batch. Batches are numbered, so
 * that the receiver detects a lost batch.
 *
 * Not thread-safe.
 */
#ifndef WAXWING_STREAM_H
#define WAXWING_STREAM_H

#include "generated/peer.pb-c.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/** The repeated fields of a batch, in which messages are queued. */
enum waxwing_stream_field {
	WAXWING_STREAM_OFFER,
	WAXWING_STREAM_GRANT,
	WAXWING_STREAM_REFUSAL,
	WAXWING_STREAM_END,
	WAXWING_STREAM_WITHDRAWAL,
	WAXWING_STREAM_HELD,
	WAXWING_STREAM_FORWARD,
	WAXWING_STREAM_ANSWER,
	WAXWING_STREAM_HANDOVER,
	WAXWING_STREAM_ACK,
	WAXWING_STREAM_UPSTREAM,
	WAXWING_STREAM_FIELDS
};

/** Identifies a stream by peer and cell. */
struct waxwing_stream_key {
	uint64_t incarnation; /**< incarnation of the peer */
	uint32_t cell; /**< cell of the offers, grants and ends */
};

struct waxwing_stream {
	struct waxwing_stream_key key;
	char *address; /**< IP:port of the peer */
	uint64_t next_send_sequence; /**< sequence number of the next batch to send */
	uint64_t next_receive_sequence; /**< sequence number expected next */
	bool received; /**< a sequenced batch was received; next_receive_sequence is valid */
	bool synced; /**< the peer's offers and held slots are known */
	int64_t issuer_seen_ms; /**< when the peer last sent a batch as an issuer */
	uint64_t peer_epoch; /**< epoch of the peer's last sync */
	uint32_t peer_wait_ms; /**< expected wait that the peer advertised */
	int64_t peer_wait_received_ms; /**< when peer_wait_ms was received; 0: never */
	int64_t last_sent_ms; /**< when the last batch was sent */
	int64_t sync_requested_ms; /**< when a sync was last requested; 0: never */

	GPtrArray *messages[WAXWING_STREAM_FIELDS]; /**< queued messages, owned */
	bool sync; /**< the next batch carries the full state */
	bool want_sync; /**< the next batch requests a sync */
	bool want_settings; /**< the next batch requests the settings document */
	/**
	 * With want_settings: the peer may answer with the value of the settings key, which can be
	 * a base reference and the log of recent edits, instead of the whole document.
	 */
	bool settings_head;
	Waxwing__SettingsDocument *settings; /**< settings document to send; null: none */
};

/** Hash and equality functions for a hash table keyed by struct waxwing_stream_key. */
guint waxwing_stream_key_hash(gconstpointer key);
gboolean waxwing_stream_key_equal(gconstpointer a, gconstpointer b);

/** Creates a stream; @address, the peer's IP:port, is copied. */
struct waxwing_stream *waxwing_stream_create(struct waxwing_stream_key key,
					     struct waxwing_str address);
void waxwing_stream_destroy(struct waxwing_stream *stream);

/**
 * Queues a message and takes ownership of it. It must be malloc()ed, as protobuf-c allocates when
 * unpacking.
 */
void waxwing_stream_add(struct waxwing_stream *stream, enum waxwing_stream_field field,
			ProtobufCMessage *message);

/** Returns true if a flush would send a batch. */
bool waxwing_stream_has_pending(const struct waxwing_stream *stream);

/**
 * Fills @batch with the queued messages and consumes a sequence number. The messages remain owned
 * by the stream.
 */
void waxwing_stream_fill_batch(struct waxwing_stream *stream, Waxwing__Batch *batch);

/** Frees the queued messages and resets the flags once a batch was sent. */
void waxwing_stream_clear_pending(struct waxwing_stream *stream);

/**
 * Drops the queued messages that this instance sends as an issuer, which a sync is about to
 * replace.
 */
void waxwing_stream_clear_issuer(struct waxwing_stream *stream);

/** Records the sequence number of a received batch; returns true if earlier batches were lost. */
bool waxwing_stream_check_sequence(struct waxwing_stream *stream, uint64_t sequence);

#endif
