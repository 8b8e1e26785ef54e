//! The follower's progress on disk.
use crate::state::record::{Record, Text};
use crate::state::store::{LeftOut, Merged, Store, StoreError};
use corkbay_feed::{BatchNumber, LeftOutRecords, Progress, ProgressUpdate};

/// Key of the stored progress.
const PROGRESS_KEY: &str = "local/feed-position";
/// Key of the last stored page of an incomplete copy.
const PAGE_KEY: &str = "local/feed-page";

/// The store holds configuration that was not received over the feed and would be mixed with that of the control nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("holds functions or workers of another role; a follower starts with an empty data_dir")]
pub struct OtherConfiguration;

/// Checks that a node with this store can follow: configuration received over the feed is stored together with a progress or
/// page number.
///
/// # Errors
/// [`OtherConfiguration`] if the store holds configuration without either.
pub fn check_store(store: &Store) -> Result<(), OtherConfiguration> {
    let is_from_feed = [PROGRESS_KEY, PAGE_KEY].iter().any(|key| store.get(key).is_some());
    if is_from_feed || store.configuration_after(None, 1).is_empty() {
        return Ok(());
    }
    Err(OtherConfiguration)
}

/// The progress on disk.
pub fn stored_progress(store: &Store) -> Option<Progress> {
    let text = store.get(PROGRESS_KEY)?.value?;
    text.read().inspect_err(|error| tracing::warn!(%error, "feed: the position on disk")).ok()
}

/// Writes a batch of records and, after them, the progress or page that they lead to.
pub fn write_batch(
    store: &Store,
    before: Option<Progress>,
    BatchNumber(batch): BatchNumber,
    records: Vec<Record>,
    update: ProgressUpdate,
) -> Result<Merged, StoreError> {
    if update == ProgressUpdate::Page {
        return store.merge_with_note(records, PAGE_KEY, |_| Text::of(&batch));
    }
    store.merge_with_note(records, PROGRESS_KEY, |left_out| {
        Text::of(&update.apply(before, left_out_records(left_out)))
    })
}

/// The buckets and the number of records that were left out.
pub fn left_out_records(left_out: &[LeftOut]) -> LeftOutRecords {
    left_out.iter().map(|record| &*record.key).collect()
}
