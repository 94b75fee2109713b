#include "journal.h"

#define LOG_COMPONENT "journal"
#include "event_log.h"
#include "log.h"

#include "message.h"

/* Minimum time between two writes, as all cells share the store's rate limit. */
#define WRITE_INTERVAL_MS 10
/* Delay before a refused or unanswered call is sent again. */
#define RETRY_MS 60
/* Number of segments after which a snapshot replaces them. */
#define MAX_SEGMENTS 160
/* Maximum size of a segment, as a share of the store's maximum value size. */
#define MAX_VALUE_FILL 0.6
/*
 * Prefix of the journals' keys, followed by the cell's name, the segment's number and the writer's
 * token.
 */
#define JOURNAL_PREFIX "journal/"
/* Prefix of the keys that claim the id of a durable job for a cell, followed by the id. */
#define JOB_CLAIM_PREFIX "kept/"

struct waxwing_journal {
	struct waxwing_journal_options options;
	char *prefix;
	GByteArray *pending_segment; /* packed segment being written; null: none */
	char *pending_key;
	uint64_t pending_number;
	uint64_t pending_last_record; /* number of the last record in the pending segment */
	/* Waxwing__JournalRecord in the pending segment; empty for a snapshot */
	GPtrArray *pending_records;
	GPtrArray *pending_claims; /* keys of the job ids that the pending segment claims */
	bool pending_is_snapshot;
	bool call_pending;
	GPtrArray *queued_records; /* Waxwing__JournalRecord waiting for a segment */
	uint64_t last_added;
	uint64_t last_stored;
	uint64_t next_segment;
	guint snapshot_threshold; /* number of segments that triggers a snapshot */
	GPtrArray *segment_keys; /* keys in the store, oldest first */
	/* keys to be removed from the store: segments before a snapshot, ids of ended jobs */
	GPtrArray *obsolete_keys;
	uint32_t pending_removals; /* number of obsolete keys that the pending write removes */
	/* Waxwing__JournalSegment read during recovery; a null element was unreadable */
	GPtrArray *read_segments;
	char *after_key; /* last key of the previous page; null: read from the start */
	int64_t next_call_ms;
	int64_t oldest_unstored_ms; /* time at which the oldest unstored record was added */
	bool recovered;
	bool destroyed;
};

static int64_t now(const struct waxwing_journal *journal)
{
	return waxwing_clock_now(journal->options.clock);
}

static void record_free(gpointer record)
{
	waxwing__journal_record__free_unpacked(record, NULL);
}

static void segment_free(gpointer segment)
{
	if (segment)
		waxwing__journal_segment__free_unpacked(segment, NULL);
}

struct waxwing_journal *waxwing_journal_create(const struct waxwing_journal_options *options)
{
	struct waxwing_journal *journal = g_new0(struct waxwing_journal, 1);

	journal->options = *options;
	journal->options.guard_key = g_strdup(options->guard_key);
	journal->options.cell = g_strdup(options->cell);
	journal->prefix = g_strconcat(JOURNAL_PREFIX, options->cell, "/", NULL);
	journal->queued_records = g_ptr_array_new_with_free_func(record_free);
	journal->pending_records = g_ptr_array_new_with_free_func(record_free);
	journal->pending_claims = g_ptr_array_new_with_free_func(g_free);
	journal->segment_keys = g_ptr_array_new_with_free_func(g_free);
	journal->obsolete_keys = g_ptr_array_new_with_free_func(g_free);
	journal->read_segments = g_ptr_array_new_with_free_func(segment_free);
	journal->next_segment = 1;
	journal->snapshot_threshold = MAX_SEGMENTS;
	return journal;
}

static void journal_free(struct waxwing_journal *journal)
{
	if (journal->pending_segment)
		g_byte_array_free(journal->pending_segment, TRUE);
	g_free(journal->pending_key);
	g_free(journal->after_key);
	g_ptr_array_free(journal->queued_records, TRUE);
	g_ptr_array_free(journal->pending_records, TRUE);
	g_ptr_array_free(journal->pending_claims, TRUE);
	g_ptr_array_free(journal->segment_keys, TRUE);
	g_ptr_array_free(journal->obsolete_keys, TRUE);
	g_ptr_array_free(journal->read_segments, TRUE);
	g_free((char *)journal->options.guard_key);
	g_free((char *)journal->options.cell);
	g_free(journal->prefix);
	g_free(journal);
}

void waxwing_journal_destroy(struct waxwing_journal *journal)
{
	if (!journal)
		return;
	if (journal->call_pending)
		journal->destroyed = true;
	else
		journal_free(journal);
}

void waxwing_journal_set_token(struct waxwing_journal *journal, uint64_t fencing_token)
{
	journal->options.fencing_token = fencing_token;
}

int64_t waxwing_journal_delay_ms(const struct waxwing_journal *journal)
{
	return journal->last_stored < journal->last_added ?
		       now(journal) - journal->oldest_unstored_ms :
		       0;
}

uint64_t waxwing_journal_add(struct waxwing_journal *journal, const Waxwing__JournalRecord *record)
{
	g_ptr_array_add(journal->queued_records, waxwing_message_copy(&record->base));
	if (journal->last_stored == journal->last_added)
		journal->oldest_unstored_ms = now(journal);
	return ++journal->last_added;
}

static char *job_claim_key(uint64_t job)
{
	return g_strdup_printf(JOB_CLAIM_PREFIX "%016llx", (unsigned long long)job);
}

void waxwing_journal_release_job(struct waxwing_journal *journal, uint64_t job)
{
	g_ptr_array_add(journal->obsolete_keys, job_claim_key(job));
}

/* --- recovery --------------------------------------------------------------------------------- */

static void read_segment(struct waxwing_journal *journal, const struct waxwing_store_item *item)
{
	Waxwing__JournalSegment *segment = waxwing__journal_segment__unpack(
		NULL, item->value.len, (const uint8_t *)item->value.data);

	if (!segment)
		waxwing_event("segment_unreadable", "cell=%s bytes=%zu", journal->options.cell,
			      item->value.len);
	g_ptr_array_add(journal->read_segments, segment);
	g_ptr_array_add(journal->segment_keys, waxwing_str_dup(item->key));
}

/* The last snapshot contains the state of all segments before it. */
static guint find_replay_start(const struct waxwing_journal *journal)
{
	for (guint i = journal->read_segments->len; i-- > 0;) {
		const Waxwing__JournalSegment *segment = journal->read_segments->pdata[i];

		if (segment && segment->snapshot)
			return i;
	}
	return 0;
}

static void replay_segment(struct waxwing_journal *journal, const Waxwing__JournalSegment *segment)
{
	for (size_t i = 0; i < segment->n_records; i++)
		journal->options.replay(journal->options.data, segment->records[i]);
	journal->next_segment = MAX(journal->next_segment, segment->number + 1);
}

static void replay_all(struct waxwing_journal *journal)
{
	guint first = find_replay_start(journal);

	for (guint i = first; i < journal->read_segments->len; i++)
		if (journal->read_segments->pdata[i])
			replay_segment(journal, journal->read_segments->pdata[i]);
	while (first-- > 0)
		g_ptr_array_add(journal->obsolete_keys,
				g_ptr_array_steal_index(journal->segment_keys, 0));
	waxwing_event("journal_replayed", "cell=%s segments=%u next=%llu", journal->options.cell,
		      journal->read_segments->len, (unsigned long long)journal->next_segment);
	g_ptr_array_set_size(journal->read_segments, 0);
	journal->recovered = true;
	journal->options.recovered(journal->options.data);
}

static void handle_range_page(struct waxwing_journal *journal,
			      const struct waxwing_store_answer *answer)
{
	if (answer->status != WAXWING_STORE_OK) {
		journal->next_call_ms = now(journal) + RETRY_MS;
		return;
	}
	for (size_t i = 0; i < answer->item_count; i++)
		read_segment(journal, &answer->items[i]);
	g_free(journal->after_key);
	journal->after_key = NULL;
	if (answer->more && answer->item_count)
		journal->after_key = waxwing_str_dup(answer->items[answer->item_count - 1].key);
	else
		replay_all(journal);
}

/* --- writing ---------------------------------------------------------------------------------- */

static void pack_segment(struct waxwing_journal *journal, Waxwing__JournalSegment *segment)
{
	size_t len = waxwing__journal_segment__get_packed_size(segment);

	journal->pending_segment = g_byte_array_sized_new((guint)len);
	g_byte_array_set_size(journal->pending_segment, (guint)len);
	waxwing__journal_segment__pack(segment, journal->pending_segment->data);
	/*
	 * The token distinguishes the key from that of a former owner's segment of the same number.
	 */
	journal->pending_key = g_strdup_printf("%s%016llx.%llx", journal->prefix,
					       (unsigned long long)segment->number,
					       (unsigned long long)journal->options.fencing_token);
	journal->pending_number = segment->number;
	journal->pending_is_snapshot = segment->snapshot;
}

static void pack_records(struct waxwing_journal *journal, uint64_t number)
{
	Waxwing__JournalSegment segment = WAXWING__JOURNAL_SEGMENT__INIT;

	segment.number = number;
	segment.n_records = journal->pending_records->len;
	segment.records = (Waxwing__JournalRecord **)journal->pending_records->pdata;
	pack_segment(journal, &segment);
	for (guint i = 0; i < journal->pending_records->len; i++) {
		const Waxwing__JournalRecord *record = journal->pending_records->pdata[i];

		if (record->job)
			g_ptr_array_add(journal->pending_claims, job_claim_key(record->job->id));
	}
}

/* Moves as many queued records into a segment as fit. */
static void build_segment(struct waxwing_journal *journal)
{
	size_t bytes = 0;
	guint claims = 0;

	while (journal->queued_records->len && claims < WAXWING_STORE_MAX_CLAIMS &&
	       bytes < MAX_VALUE_FILL * journal->options.max_value_bytes) {
		Waxwing__JournalRecord *record =
			g_ptr_array_steal_index(journal->queued_records, 0);

		bytes += waxwing__journal_record__get_packed_size(record);
		claims += record->job != NULL;
		g_ptr_array_add(journal->pending_records, record);
	}
	pack_records(journal, journal->next_segment++);
	journal->pending_last_record = journal->last_added - journal->queued_records->len;
}

/* Writes no snapshot, and keeps the segments, if it would not fit into one value. */
static void build_snapshot(struct waxwing_journal *journal)
{
	Waxwing__JournalSegment *segment = calloc(1, sizeof(*segment));
	bool fits;

	if (!segment)
		g_error("out of memory while building a journal snapshot");
	waxwing__journal_segment__init(segment);
	segment->has_snapshot = true;
	segment->snapshot = true;
	journal->options.snapshot(journal->options.data, segment);
	fits = waxwing__journal_segment__get_packed_size(segment) <
	       MAX_VALUE_FILL * journal->options.max_value_bytes;
	if (fits) {
		segment->number = journal->next_segment++;
		pack_segment(journal, segment);
		/*
		 * The queued records are part of the snapshot and are also written after it.
		 */
		journal->pending_last_record = journal->last_added - journal->queued_records->len;
	} else {
		journal->snapshot_threshold = journal->segment_keys->len * 2;
		waxwing_event("snapshot_too_large", "cell=%s records=%zu", journal->options.cell,
			      segment->n_records);
	}
	waxwing__journal_segment__free_unpacked(segment, NULL);
}

static void clear_pending_segment(struct waxwing_journal *journal)
{
	g_byte_array_free(journal->pending_segment, TRUE);
	journal->pending_segment = NULL;
	g_clear_pointer(&journal->pending_key, g_free);
	g_ptr_array_set_size(journal->pending_claims, 0);
}

static void complete_write(struct waxwing_journal *journal)
{
	if (journal->pending_is_snapshot) {
		while (journal->segment_keys->len)
			g_ptr_array_add(journal->obsolete_keys,
					g_ptr_array_steal_index(journal->segment_keys, 0));
	}
	g_ptr_array_add(journal->segment_keys, g_steal_pointer(&journal->pending_key));
	clear_pending_segment(journal);
	g_ptr_array_set_size(journal->pending_records, 0);
	if (journal->pending_removals)
		g_ptr_array_remove_range(journal->obsolete_keys, 0, journal->pending_removals);
	journal->pending_removals = 0;
	journal->last_stored = MAX(journal->last_stored, journal->pending_last_record);
	journal->oldest_unstored_ms = now(journal);
	journal->options.stored(journal->options.data, journal->last_stored);
}

/* Returns the revision of one of the condition's keys; 0: the key does not exist. */
static uint64_t find_revision(const struct waxwing_store_answer *answer, const char *key)
{
	for (size_t i = 0; i < answer->item_count; i++)
		if (waxwing_str_equal(answer->items[i].key, waxwing_str(key)))
			return answer->items[i].revision;
	return 0;
}

/*
 * Drops the records of jobs whose id is already claimed; returns false if there are none. Earlier
 * attempts to write the segment can no longer take effect, because they also require these ids to
 * be unclaimed.
 */
static bool drop_claimed_records(struct waxwing_journal *journal,
				 const struct waxwing_store_answer *answer)
{
	guint before = journal->pending_records->len;

	for (guint i = before; i-- > 0;) {
		const Waxwing__JournalRecord *record = journal->pending_records->pdata[i];
		char *key = record->job ? job_claim_key(record->job->id) : NULL;

		if (key && find_revision(answer, key)) {
			journal->options.claimed_elsewhere(journal->options.data, record->job->id);
			g_ptr_array_remove_index(journal->pending_records, i);
		}
		g_free(key);
	}
	return journal->pending_records->len < before;
}

/* Continues with the remaining records of the segment. */
static void repack_remaining(struct waxwing_journal *journal)
{
	clear_pending_segment(journal);
	journal->next_call_ms = now(journal);
	if (journal->pending_records->len) {
		pack_records(journal, journal->pending_number);
		return;
	}
	journal->last_stored = MAX(journal->last_stored, journal->pending_last_record);
	journal->oldest_unstored_ms = now(journal);
	journal->options.stored(journal->options.data, journal->last_stored);
}

/*
 * If the segment's key exists, an earlier attempt at this write took effect. If the owner's entry
 * is newer, it was written by another node, or by this node, which has not yet read its own new
 * entry. If the entry was removed, this node will claim the cell again.
 */
static void handle_write_conflict(struct waxwing_journal *journal,
				  const struct waxwing_store_answer *answer)
{
	uint64_t owner_revision = find_revision(answer, journal->options.guard_key);
	bool key_exists = find_revision(answer, journal->pending_key) != 0;

	waxwing_event("segment_conflict", "cell=%s key=%s stands=%d guard=%llu token=%llu",
		      journal->options.cell, journal->pending_key, key_exists,
		      (unsigned long long)owner_revision,
		      (unsigned long long)journal->options.fencing_token);
	if (key_exists) {
		journal->pending_removals = 0;
		complete_write(journal);
		return;
	}
	journal->next_call_ms = now(journal) + RETRY_MS;
	if (owner_revision > journal->options.fencing_token)
		journal->options.fenced(journal->options.data);
	else if (owner_revision == journal->options.fencing_token &&
		 drop_claimed_records(journal, answer))
		repack_remaining(journal);
}

static void handle_write_answer(struct waxwing_journal *journal,
				const struct waxwing_store_answer *answer)
{
	journal->next_call_ms = now(journal) + WRITE_INTERVAL_MS;
	switch (answer->status) {
	case WAXWING_STORE_OK:
		complete_write(journal);
		break;
	case WAXWING_STORE_CONFLICT:
		handle_write_conflict(journal, answer);
		break;
	case WAXWING_STORE_NOT_FOUND:
	case WAXWING_STORE_HISTORY_LOST:
	case WAXWING_STORE_REFUSED:
	case WAXWING_STORE_UNKNOWN:
		journal->next_call_ms = now(journal) + RETRY_MS;
		break;
	}
}

static void handle_journal_answer(void *data, const struct waxwing_store_answer *answer)
{
	struct waxwing_journal *journal = data;

	journal->call_pending = false;
	if (journal->destroyed) {
		journal_free(journal);
		return;
	}
	if (journal->recovered)
		handle_write_answer(journal, answer);
	else
		handle_range_page(journal, answer);
}

static void send_segment(struct waxwing_journal *journal)
{
	struct waxwing_store *store = journal->options.store;
	size_t claims = journal->pending_claims->len;
	size_t entries = WAXWING_STORE_APPEND_ENTRIES + WAXWING_STORE_CLAIM_ENTRIES * claims;
	struct waxwing_store_append append = {
		.guard_key = journal->options.guard_key,
		.guard_revision = journal->options.fencing_token,
		.key = journal->pending_key,
		.value = { journal->pending_segment->len,
			   (const char *)journal->pending_segment->data },
		.claims = (const char *const *)journal->pending_claims->pdata,
		.claim_count = claims,
		.claim_value = journal->options.cell,
		.removed_keys = (const char *const *)journal->obsolete_keys->pdata,
		.removed_count =
			MIN(journal->obsolete_keys->len, WAXWING_STORE_MAX_ENTRIES - entries),
	};

	journal->pending_removals = (uint32_t)append.removed_count;
	journal->call_pending = true;
	store->ops->append(store, &append,
			   (struct waxwing_store_callback){ handle_journal_answer, journal });
}

static void send_range(struct waxwing_journal *journal)
{
	struct waxwing_store *store = journal->options.store;

	journal->call_pending = true;
	store->ops->range(store, journal->prefix, journal->after_key,
			  (struct waxwing_store_callback){ handle_journal_answer, journal });
}

void waxwing_journal_run(struct waxwing_journal *journal)
{
	if (journal->call_pending || now(journal) < journal->next_call_ms)
		return;
	if (!journal->recovered) {
		send_range(journal);
		return;
	}
	if (!journal->pending_segment && journal->segment_keys->len > journal->snapshot_threshold)
		build_snapshot(journal);
	if (!journal->pending_segment && journal->queued_records->len)
		build_segment(journal);
	if (journal->pending_segment)
		send_segment(journal);
}
