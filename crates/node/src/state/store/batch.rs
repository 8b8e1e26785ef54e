//! Local writes, one record at a time or in atomic batches.
use super::admission::RecordMemory;
use super::draft::{Draft, Writers};
use super::error::StoreError;
use super::expiry::ExpiryState;
use super::{Store, MAX_VALUE};
use crate::core::lock;
use crate::state::record::Record;
use corkbay_ledger::Reservation;
use std::collections::BTreeSet;

/// Maximum number of writes in one batch.
pub const MAX_BATCH: usize = 256;

/// The next version of a record, with the size of the version it replaces.
struct NextVersion {
    record: Record,
    /// Size of the current version in bytes; `None` for a new key.
    old_size: Option<usize>,
}

/// A version that is ready to be written, with the memory reserved for it.
struct Prepared {
    record: Record,
    /// `None` if the draft carries its own reservation.
    held: Option<Reservation>,
}

impl Store {
    /// Writes the next version of a key and returns once it is durable.
    pub fn put(&self, draft: &mut Draft) -> Result<Record, StoreError> {
        let mut written = self.put_many(std::slice::from_mut(draft))?;
        Ok(written.swap_remove(0))
    }

    /// Writes the next versions of up to [`MAX_BATCH`] distinct keys and returns once they are durable, with one
    /// append to the log and one sync.
    ///
    /// All or nothing: if one draft is rejected or the append fails, nothing is written and nothing becomes visible.
    /// The records are applied in the order of the drafts. Only a crash during the append can leave a part of the
    /// batch on disk: a prefix of complete records, for which the write was never acknowledged.
    pub fn put_many(&self, drafts: &mut [Draft]) -> Result<Vec<Record>, StoreError> {
        check_batch(drafts)?;
        let mut expiry = lock(&self.writing);
        let mut prepared = Vec::with_capacity(drafts.len());
        for draft in drafts.iter_mut() {
            prepared.push(self.prepare(&mut expiry, draft)?);
        }
        let records: Vec<Record> = prepared.iter().map(|prepared| prepared.record.clone()).collect();
        self.append(&records)?;
        for (draft, Prepared { record, held }) in drafts.iter_mut().zip(prepared) {
            let over_cap = || self.ledger.reserve_over_cap(record.purpose(), record.size());
            let held = draft.held.take().or(held).unwrap_or_else(over_cap);
            self.apply(&mut expiry, record, RecordMemory::Whole(held));
        }
        let listeners = lock(&self.listeners);
        for record in &records {
            listeners.notify_write(record);
        }
        Ok(records)
    }

    /// Validates a draft and reserves memory for it.
    fn prepare(&self, expiry: &mut ExpiryState, draft: &mut Draft) -> Result<Prepared, StoreError> {
        let NextVersion { record, old_size } = self.next_version(expiry, draft)?;
        let (purpose, size) = (record.purpose(), record.size());
        if let Some(held) = &mut draft.held {
            self.reserve_or_expire(expiry, purpose, || held.resize(size))?;
            return Ok(Prepared { record, held: None });
        }
        // An update that is no larger than the current version, or that must not fail, is accepted even if the account
        // is full.
        let may_exceed_cap = old_size.is_some_and(|old_size| draft.may_exceed_cap || size <= old_size);
        let held = if may_exceed_cap {
            self.ledger.reserve_over_cap(purpose, size)
        } else {
            self.reserve_or_expire(expiry, purpose, || self.ledger.reserve(purpose, None, size))?
        };
        Ok(Prepared { record, held: Some(held) })
    }

    fn next_version(&self, expiry: &ExpiryState, draft: &Draft) -> Result<NextVersion, StoreError> {
        let old = self.stored(draft.key);
        if let Some(old) = &old {
            if old.is_final {
                return Err(StoreError::Final);
            }
            if draft.writers == Writers::First && old.node != self.node {
                return Err(StoreError::Foreign(old.node.clone()));
            }
        }
        let old_version = old.as_ref().map_or(expiry.dropped_version, |old| old.version);
        let record = Record {
            key: old.as_ref().map_or_else(|| draft.key.into(), |old| old.key.clone()),
            is_final: draft.is_final,
            version: old_version + 1,
            node: self.node.clone(),
            expires: draft.expires,
            value: draft.value.clone(),
        };
        if record.text().len() > MAX_VALUE {
            return Err(StoreError::Large);
        }
        Ok(NextVersion { record, old_size: old.map(|old| old.size()) })
    }
}

fn check_batch(drafts: &[Draft]) -> Result<(), StoreError> {
    if drafts.len() > MAX_BATCH {
        return Err(StoreError::LargeBatch { writes: drafts.len(), most: MAX_BATCH });
    }
    let mut keys = BTreeSet::new();
    for draft in drafts {
        if !keys.insert(draft.key) {
            return Err(StoreError::RepeatedKey(draft.key.into()));
        }
    }
    Ok(())
}
