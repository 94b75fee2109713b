#include "journal.h"

#define LOG_PART "journal"
#include "event_log.h"
#include "log.h"

#include "message.h"

/* Least time between two writes: the store's rate is shared by all cells. */
#define PACE_MS 10
/* Before a write or a reading that was not answered or refused is sent again. */
#define RETRY_MS 60
/* Segments after which a snapshot takes their place. */
#define SEGMENTS_MOST 160
/* Share of the store's longest value that a segment may fill. */
#define FILL_SHARE 0.6
/* Prefix of all journals' keys; the cell's name, the segment's number and its writer's token follow. */
#define JOURNAL_PREFIX "journal/"
/* Prefix of the keys that say which cell has accepted a job; the job's id follows. */
#define CLAIM_PREFIX "kept/"

struct waxwing_journal {
	struct waxwing_journal_options options;
	char *prefix;
	GByteArray *out; /* packed segment that is being written; null: none */
	char *out_key;
	uint64_t out_number;
	uint64_t out_upto; /* number of its last record */
	GPtrArray *out_records; /* Waxwing__JournalRecord that it holds; of a snapshot: none */
	GPtrArray *out_claims; /* keys of the jobs that it accepts */
	bool out_snapshot;
	bool call_out;
	GPtrArray *gathered; /* Waxwing__JournalRecord */
	uint64_t added;
	uint64_t stored;
	uint64_t next_segment;
	guint snapshot_after; /* so many segments */
	GPtrArray *segments; /* keys that stand in the store, oldest first */
	GPtrArray *removing; /* keys that a snapshot has made needless */
	uint32_t removing_now; /* of them, in the write that is out */
	GPtrArray *read; /* Waxwing__JournalSegment of the range so far; null: one cannot be read */
	char *after_key;
	int64_t next_ms;
	int64_t oldest_ms; /* when the oldest record that is not stored was added */
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
	journal->gathered = g_ptr_array_new_with_free_func(record_free);
	journal->out_records = g_ptr_array_new_with_free_func(record_free);
	journal->out_claims = g_ptr_array_new_with_free_func(g_free);
	journal->segments = g_ptr_array_new_with_free_func(g_free);
	journal->removing = g_ptr_array_new_with_free_func(g_free);
	journal->read = g_ptr_array_new_with_free_func(segment_free);
	journal->next_segment = 1;
	journal->snapshot_after = SEGMENTS_MOST;
	return journal;
}

static void journal_free(struct waxwing_journal *journal)
{
	if (journal->out)
		g_byte_array_free(journal->out, TRUE);
	g_free(journal->out_key);
	g_free(journal->after_key);
	g_ptr_array_free(journal->gathered, TRUE);
	g_ptr_array_free(journal->out_records, TRUE);
	g_ptr_array_free(journal->out_claims, TRUE);
	g_ptr_array_free(journal->segments, TRUE);
	g_ptr_array_free(journal->removing, TRUE);
	g_ptr_array_free(journal->read, TRUE);
	g_free((char *)journal->options.guard_key);
	g_free((char *)journal->options.cell);
	g_free(journal->prefix);
	g_free(journal);
}

void waxwing_journal_destroy(struct waxwing_journal *journal)
{
	if (!journal)
		return;
	if (journal->call_out)
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
	return journal->stored < journal->added ? now(journal) - journal->oldest_ms : 0;
}

uint64_t waxwing_journal_add(struct waxwing_journal *journal, const Waxwing__JournalRecord *record)
{
	g_ptr_array_add(journal->gathered, waxwing_message_copy(&record->base));
	if (journal->stored == journal->added)
		journal->oldest_ms = now(journal);
	return ++journal->added;
}

static char *claim_key(uint64_t job)
{
	return g_strdup_printf(CLAIM_PREFIX "%016llx", (unsigned long long)job);
}

void waxwing_journal_forget(struct waxwing_journal *journal, uint64_t job)
{
	g_ptr_array_add(journal->removing, claim_key(job));
}

/* --- reading ---------------------------------------------------------------------------------- */

static void read_segment(struct waxwing_journal *journal, const struct waxwing_store_item *item)
{
	Waxwing__JournalSegment *segment = waxwing__journal_segment__unpack(
		NULL, item->value.len, (const uint8_t *)item->value.data);

	if (!segment)
		waxwing_event("segment_unreadable", "cell=%s bytes=%zu", journal->options.cell,
			      item->value.len);
	g_ptr_array_add(journal->read, segment);
	g_ptr_array_add(journal->segments, waxwing_str_dup(item->key));
}

/* The last snapshot says all that came before it. */
static guint first_to_replay(const struct waxwing_journal *journal)
{
	for (guint i = journal->read->len; i-- > 0;) {
		const Waxwing__JournalSegment *segment = journal->read->pdata[i];

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
	guint first = first_to_replay(journal);

	for (guint i = first; i < journal->read->len; i++)
		if (journal->read->pdata[i])
			replay_segment(journal, journal->read->pdata[i]);
	while (first-- > 0)
		g_ptr_array_add(journal->removing, g_ptr_array_steal_index(journal->segments, 0));
	waxwing_event("journal_replayed", "cell=%s segments=%u next=%llu", journal->options.cell,
		      journal->read->len, (unsigned long long)journal->next_segment);
	g_ptr_array_set_size(journal->read, 0);
	journal->recovered = true;
	journal->options.recovered(journal->options.data);
}

static void take_page(struct waxwing_journal *journal, const struct waxwing_store_answer *answer)
{
	if (answer->end != WAXWING_STORE_OK) {
		journal->next_ms = now(journal) + RETRY_MS;
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

	journal->out = g_byte_array_sized_new((guint)len);
	g_byte_array_set_size(journal->out, (guint)len);
	waxwing__journal_segment__pack(segment, journal->out->data);
	/* a former owner's segment of the same number has a key of its own */
	journal->out_key = g_strdup_printf("%s%016llx.%llx", journal->prefix,
					   (unsigned long long)segment->number,
					   (unsigned long long)journal->options.fencing_token);
	journal->out_number = segment->number;
	journal->out_snapshot = segment->snapshot;
}

static void pack_records(struct waxwing_journal *journal, uint64_t number)
{
	Waxwing__JournalSegment segment = WAXWING__JOURNAL_SEGMENT__INIT;

	segment.number = number;
	segment.n_records = journal->out_records->len;
	segment.records = (Waxwing__JournalRecord **)journal->out_records->pdata;
	pack_segment(journal, &segment);
	for (guint i = 0; i < journal->out_records->len; i++) {
		const Waxwing__JournalRecord *record = journal->out_records->pdata[i];

		if (record->job)
			g_ptr_array_add(journal->out_claims, claim_key(record->job->id));
	}
}

/* As many of the gathered records as a segment may hold. */
static void gather_segment(struct waxwing_journal *journal)
{
	size_t bytes = 0;
	guint claims = 0;

	while (journal->gathered->len && claims < WAXWING_STORE_CLAIMS_MOST &&
	       bytes < FILL_SHARE * journal->options.value_bytes_most) {
		Waxwing__JournalRecord *record = g_ptr_array_steal_index(journal->gathered, 0);

		bytes += waxwing__journal_record__get_packed_size(record);
		claims += record->job != NULL;
		g_ptr_array_add(journal->out_records, record);
	}
	pack_records(journal, journal->next_segment++);
	journal->out_upto = journal->added - journal->gathered->len;
}

/* When what holds does not fit into one value, the segments stay. */
static void make_snapshot(struct waxwing_journal *journal)
{
	Waxwing__JournalSegment *segment = calloc(1, sizeof(*segment));
	bool fits;

	if (!segment)
		g_error("no memory for a snapshot");
	waxwing__journal_segment__init(segment);
	segment->has_snapshot = true;
	segment->snapshot = true;
	journal->options.snapshot(journal->options.data, segment);
	fits = waxwing__journal_segment__get_packed_size(segment) <
	       FILL_SHARE * journal->options.value_bytes_most;
	if (fits) {
		segment->number = journal->next_segment++;
		pack_segment(journal, segment);
		/* records that are gathered are in the snapshot, and are written again after it */
		journal->out_upto = journal->added - journal->gathered->len;
	} else {
		journal->snapshot_after = journal->segments->len * 2;
		waxwing_event("snapshot_too_large", "cell=%s records=%zu", journal->options.cell,
			      segment->n_records);
	}
	waxwing__journal_segment__free_unpacked(segment, NULL);
}

static void unpack_out(struct waxwing_journal *journal)
{
	g_byte_array_free(journal->out, TRUE);
	journal->out = NULL;
	g_clear_pointer(&journal->out_key, g_free);
	g_ptr_array_set_size(journal->out_claims, 0);
}

static void written(struct waxwing_journal *journal)
{
	if (journal->out_snapshot) {
		while (journal->segments->len)
			g_ptr_array_add(journal->removing,
					g_ptr_array_steal_index(journal->segments, 0));
	}
	g_ptr_array_add(journal->segments, g_steal_pointer(&journal->out_key));
	unpack_out(journal);
	g_ptr_array_set_size(journal->out_records, 0);
	if (journal->removing_now)
		g_ptr_array_remove_range(journal->removing, 0, journal->removing_now);
	journal->removing_now = 0;
	journal->stored = MAX(journal->stored, journal->out_upto);
	journal->oldest_ms = now(journal);
	journal->options.stored(journal->options.data, journal->stored);
}

/* The revision at which a key of the conditions stands; 0: it does not. */
static uint64_t revision_of(const struct waxwing_store_answer *answer, const char *key)
{
	for (size_t i = 0; i < answer->item_count; i++)
		if (waxwing_str_equal(answer->items[i].key, waxwing_str(key)))
			return answer->items[i].revision;
	return 0;
}

/*
 * Drops the acceptance of jobs whose id is claimed; false: there is none. No earlier try of the segment can
 * take effect any more, for it has the same condition.
 */
static bool drop_taken(struct waxwing_journal *journal, const struct waxwing_store_answer *answer)
{
	guint before = journal->out_records->len;

	for (guint i = before; i-- > 0;) {
		const Waxwing__JournalRecord *record = journal->out_records->pdata[i];
		char *key = record->job ? claim_key(record->job->id) : NULL;

		if (key && revision_of(answer, key)) {
			journal->options.taken(journal->options.data, record->job->id);
			g_ptr_array_remove_index(journal->out_records, i);
		}
		g_free(key);
	}
	return journal->out_records->len < before;
}

/* Goes on with what is left of the segment. */
static void pack_rest(struct waxwing_journal *journal)
{
	unpack_out(journal);
	journal->next_ms = now(journal);
	if (journal->out_records->len) {
		pack_records(journal, journal->out_number);
		return;
	}
	journal->stored = MAX(journal->stored, journal->out_upto);
	journal->oldest_ms = now(journal);
	journal->options.stored(journal->options.data, journal->stored);
}

/*
 * The key stands: an earlier try took effect. The owner's entry is a newer one: another owner's, or this
 * one's that it has not heard of yet. The entry is gone: the owner will claim the cell anew.
 */
static void take_conflict(struct waxwing_journal *journal,
			  const struct waxwing_store_answer *answer)
{
	uint64_t guard = revision_of(answer, journal->options.guard_key);
	bool stands = revision_of(answer, journal->out_key) != 0;

	waxwing_event("segment_conflict", "cell=%s key=%s stands=%d guard=%llu token=%llu",
		      journal->options.cell, journal->out_key, stands, (unsigned long long)guard,
		      (unsigned long long)journal->options.fencing_token);
	if (stands) {
		journal->removing_now = 0;
		written(journal);
		return;
	}
	journal->next_ms = now(journal) + RETRY_MS;
	if (guard > journal->options.fencing_token)
		journal->options.fenced(journal->options.data);
	else if (guard == journal->options.fencing_token && drop_taken(journal, answer))
		pack_rest(journal);
}

static void take_written(struct waxwing_journal *journal, const struct waxwing_store_answer *answer)
{
	journal->next_ms = now(journal) + PACE_MS;
	switch (answer->end) {
	case WAXWING_STORE_OK:
		written(journal);
		break;
	case WAXWING_STORE_CONFLICT:
		take_conflict(journal, answer);
		break;
	case WAXWING_STORE_NOT_FOUND:
	case WAXWING_STORE_HISTORY_LOST:
	case WAXWING_STORE_REFUSED:
	case WAXWING_STORE_UNKNOWN:
		journal->next_ms = now(journal) + RETRY_MS;
		break;
	}
}

static void answered(void *data, const struct waxwing_store_answer *answer)
{
	struct waxwing_journal *journal = data;

	journal->call_out = false;
	if (journal->destroyed) {
		journal_free(journal);
		return;
	}
	if (journal->recovered)
		take_written(journal, answer);
	else
		take_page(journal, answer);
}

static void send_segment(struct waxwing_journal *journal)
{
	struct waxwing_store *store = journal->options.store;
	size_t claims = journal->out_claims->len;
	size_t entries = WAXWING_STORE_APPEND_ENTRIES + WAXWING_STORE_CLAIM_ENTRIES * claims;
	struct waxwing_store_append append = {
		.guard_key = journal->options.guard_key,
		.guard_revision = journal->options.fencing_token,
		.key = journal->out_key,
		.value = { journal->out->len, (const char *)journal->out->data },
		.claims = (const char *const *)journal->out_claims->pdata,
		.claim_count = claims,
		.claim_value = journal->options.cell,
		.removes = (const char *const *)journal->removing->pdata,
		.remove_count = MIN(journal->removing->len, WAXWING_STORE_ENTRIES_MOST - entries),
	};

	journal->removing_now = (uint32_t)append.remove_count;
	journal->call_out = true;
	store->ops->append(store, &append, (struct waxwing_store_reply){ answered, journal });
}

static void send_reading(struct waxwing_journal *journal)
{
	struct waxwing_store *store = journal->options.store;

	journal->call_out = true;
	store->ops->range(store, journal->prefix, journal->after_key,
			  (struct waxwing_store_reply){ answered, journal });
}

void waxwing_journal_run(struct waxwing_journal *journal)
{
	if (journal->call_out || now(journal) < journal->next_ms)
		return;
	if (!journal->recovered) {
		send_reading(journal);
		return;
	}
	if (!journal->out && journal->segments->len > journal->snapshot_after)
		make_snapshot(journal);
	if (!journal->out && journal->gathered->len)
		gather_segment(journal);
	if (journal->out)
		send_segment(journal);
}
