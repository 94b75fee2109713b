/**
 * Hand-over of a leaving instance's ids to a successor in its domain.
 *
 * The leaving instance freezes its table, lets running jobs end, and sends its ids in numbered
 * parts. Each part is resent until it is acknowledged. From then on the successor answers for those
 * windows. Nothing is started under them again: the sender stays frozen whether or not its parts
 * are acknowledged, and the successor only looks ids up. So a part may safely arrive twice, at one
 * successor or at several. A successor that leaves also hands over what it inherited.
 *
 * An id that the leaving instance knew gets its true answer. An id missing from a complete
 * hand-over was never run and never will be. If parts of the hand-over are missing, the outcome of
 * such an id is unknown.
 *
 * No sockets, threads or clock. Not thread-safe.
 */
#ifndef WAXWING_HANDOVER_H
#define WAXWING_HANDOVER_H

#include "generated/peer.pb-c.h"
#include "submission.h"

#include <stdbool.h>
#include <stdint.h>

/** Ids that an instance inherited from instances that left. */
struct waxwing_inherited_windows;

struct waxwing_inherited_windows *waxwing_inherited_windows_create(void);
void waxwing_inherited_windows_destroy(struct waxwing_inherited_windows *inheritance);

/**
 * Stores a part received from instance @from and fills in the acknowledgement to send back.
 * Duplicates have no effect. Parts are numbered per sender: a hand-over is complete when all parts
 * from one sender have arrived.
 */
void waxwing_inherited_windows_receive_part(struct waxwing_inherited_windows *inheritance,
					    int64_t now_ms, uint64_t from,
					    const Waxwing__Handover *part,
					    Waxwing__HandoverAck *ack);

enum waxwing_inherited_result {
	WAXWING_INHERITED_NONE, /**< The window was not handed over to this instance. */
	WAXWING_INHERITED_FINISHED, /**< The answer is known. */
	WAXWING_INHERITED_REFUSED, /**< See the error. */
};

/**
 * Looks up a submission under the inherited windows; starts nothing. The answer is owned by the
 * inheritance and valid until its next call.
 *
 * Errors with WAXWING_INHERITED_REFUSED: WAXWING_ERROR_LEAVING (not run, because its issuer left),
 * WAXWING_ERROR_OUTCOME_UNKNOWN (parts of the hand-over are missing), WAXWING_ERROR_EXPIRED_ID,
 * WAXWING_ERROR_ID_REUSED, WAXWING_ERROR_BAD_ID.
 */
enum waxwing_inherited_result
waxwing_inherited_windows_lookup(struct waxwing_inherited_windows *inheritance, int64_t now_ms,
				 const Waxwing__JobRequest *request,
				 const Waxwing__JobAnswer **answer, struct waxwing_error *error);

/** Drops ids whose windows have expired. Their incarnations are remembered for one more hour. */
void waxwing_inherited_windows_tick(struct waxwing_inherited_windows *inheritance, int64_t now_ms);

/**
 * Stores up to @max incarnations whose inherited windows have not expired; returns their number.
 */
size_t waxwing_inherited_windows_incarnations(const struct waxwing_inherited_windows *inheritance,
					      int64_t now_ms, uint64_t *incarnations, size_t max);

struct waxwing_inherited_windows_view {
	uint64_t incarnations;
	uint64_t incomplete; /**< Number of incarnations whose hand-over is incomplete. */
	uint64_t ids;
	uint64_t bytes;
};

void waxwing_inherited_windows_get_view(const struct waxwing_inherited_windows *inheritance,
					struct waxwing_inherited_windows_view *view);

/** An outgoing hand-over. */
struct waxwing_handover;

struct waxwing_handover_options {
	uint64_t incarnation; /**< Incarnation of the leaving instance. */
	uint32_t part_bytes; /**< Size at which a part is closed; 0 means 64 KiB. */
	uint32_t parts_in_flight; /**< Maximum number of unacknowledged parts; 0 means 4. */
	uint32_t resend_ms; /**< Resend interval; 0 means 300 ms. */
};

/**
 * Takes a snapshot of a frozen table and of the inherited ids (may be null). Jobs that still run
 * are handed over with an unknown outcome, so call this when they have ended or cannot be waited
 * for any longer.
 */
struct waxwing_handover *waxwing_handover_create(const struct waxwing_handover_options *options,
						 struct waxwing_submissions *table,
						 struct waxwing_inherited_windows *inheritance,
						 int64_t now_ms);
void waxwing_handover_destroy(struct waxwing_handover *handover);

/** Returns the next part to send or resend; null if none is due. Owned by the hand-over. */
const Waxwing__Handover *waxwing_handover_next_part(struct waxwing_handover *handover,
						    int64_t now_ms);

/** Processes an acknowledgement. */
void waxwing_handover_receive_ack(struct waxwing_handover *handover,
				  const Waxwing__HandoverAck *ack);

/** Marks all parts as unsent, for another successor after the first one has died or left. */
void waxwing_handover_restart(struct waxwing_handover *handover);

/** Returns true if every part is acknowledged. */
bool waxwing_handover_is_complete(const struct waxwing_handover *handover);

#endif
