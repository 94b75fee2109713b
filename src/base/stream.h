/**
 * The sequenced batches exchanged with one peer incarnation.
 *
 * Outgoing messages gather until the stream is flushed. Every batch carries the next number of its
 * sequence, so that the receiver notices one that was lost.
 *
 * Not thread-safe.
 */
#ifndef WAXWING_STREAM_H
#define WAXWING_STREAM_H

#include "generated/peer.pb-c.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/** Kinds of messages that gather. */
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

/** A peer and a cell. */
struct waxwing_stream_key {
	uint64_t incarnation; /**< the peer's */
	uint32_t cell; /**< that offers, grants and ends are about */
};

struct waxwing_stream {
	struct waxwing_stream_key key;
	char *address; /**< IP:port of the peer; owned */
	uint64_t next_out; /**< sequence of the next batch sent */
	uint64_t next_in; /**< sequence expected next */
	bool heard; /**< a sequenced batch has come */
	bool synced; /**< the peer's offers and held slots are known here */
	int64_t issuing_ms; /**< time the peer last spoke as an issuer of ours */
	uint64_t peer_epoch; /**< sync epoch of the peer's last sync */
	uint32_t peer_wait_ms; /**< expected wait there, as the peer told it */
	int64_t peer_wait_heard_ms; /**< when it did; 0: never */
	int64_t sent_ms; /**< time of the last batch sent */
	int64_t asked_ms; /**< time a sync was last asked for */

	GPtrArray *fields[WAXWING_STREAM_FIELDS]; /**< owned messages waiting for a flush */
	bool sync; /**< the next batch carries a whole state */
	bool want_sync;
	bool want_settings;
	bool settings_head; /**< with it: a log of edits will do */
	Waxwing__SettingsDocument *settings; /**< to send; owned */
};

/** For a hash table of streams by their key. */
guint waxwing_stream_key_hash(gconstpointer key);
gboolean waxwing_stream_key_equal(gconstpointer a, gconstpointer b);

/** Creates a stream to an incarnation at an address, which is copied. */
struct waxwing_stream *waxwing_stream_create(struct waxwing_stream_key key,
					     struct waxwing_str address);
void waxwing_stream_destroy(struct waxwing_stream *stream);

/** Adds a message, which becomes the stream's (allocated as protobuf-c unpacks: with malloc). */
void waxwing_stream_add(struct waxwing_stream *stream, enum waxwing_stream_field field,
			ProtobufCMessage *message);

/** True when a flush would send something. */
bool waxwing_stream_pending(const struct waxwing_stream *stream);

/** Fills @batch with what waits, the next sequence number included. Pointers stay the stream's. */
void waxwing_stream_fill(struct waxwing_stream *stream, Waxwing__Batch *batch);

/** Forgets what the last fill has sent. */
void waxwing_stream_clear(struct waxwing_stream *stream);

/** Drops the waiting messages of the issuer's part: a sync is about to replace them. */
void waxwing_stream_clear_issuing(struct waxwing_stream *stream);

/** Notes an incoming sequence number; true when batches before it were lost. */
bool waxwing_stream_gap(struct waxwing_stream *stream, uint64_t sequence);

#endif
