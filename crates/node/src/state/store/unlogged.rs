//! Changes of known workers that hold although the log can't be written, for example because the disk is full.
//!
//! A node that hears of a drain must heed it, whether or not it can store it. Such a change is applied in memory at once.
//! It is not acknowledged to the node that sent it, which therefore sends it again after a crash of this one; and it is
//! the first to be written once the log can be written again, before anything that implies it.
use super::admission::RecordMemory;
use super::expiry::ExpiryState;
use super::Store;
use crate::core::lock;
use crate::state::keys::WORKER;
use crate::state::log::{Log, LogError};
use crate::state::record::Record;

impl Store {
    /// Applies those of the records of a failed write that change known workers.
    pub(super) fn apply_unlogged(&self, expiry: &mut ExpiryState, failed: Vec<(Record, RecordMemory)>) {
        for (record, memory) in failed {
            let is_known = matches!(memory, RecordMemory::Growth(_));
            if is_known && record.key.starts_with(WORKER) {
                lock(&self.unlogged).insert(record.key.clone(), record.clone());
                self.apply(expiry, record, memory);
            }
        }
    }

    /// Appends the records to the log that were applied without it.
    pub(super) fn append_unlogged(&self, log: &Log) -> Result<(), LogError> {
        let mut unlogged = lock(&self.unlogged);
        let records: Vec<Record> = unlogged.values().cloned().collect();
        self.pages(&records).try_for_each(|page| log.append(page))?;
        unlogged.clear();
        Ok(())
    }
}
