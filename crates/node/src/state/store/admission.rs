//! Which records of other nodes are kept when their memory account is full.
use super::{Store, MAX_VALUE};
use crate::core::lock;
use crate::state::keys::WORKER;
use crate::state::record::Record;
use corkbay_ledger::{Account, CapExceeded, Purpose, Reservation};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// A record of a worker of up to this many bytes may always replace an older version, so that a worker can be drained
/// whatever else fills the account.
const MAX_WORKER_RECORD_BYTES: usize = 2 << 10;
/// New versions of known records may take the account of the configuration over its cap by one part in this many.
const OVERDRAFT_DIVISOR: usize = 32;

/// A record of another node that was not kept.
#[derive(Clone, Debug)]
pub struct LeftOut {
    /// Its key.
    pub key: Arc<str>,
    /// Its version.
    pub version: u64,
    /// Why it was not kept.
    pub reason: LeftOutReason,
}

/// Why a record of another node was not kept.
#[derive(Clone, Debug, thiserror::Error)]
pub enum LeftOutReason {
    /// The value exceeds the size limit, [`MAX_VALUE`].
    #[error("a value of {bytes} bytes is larger than is kept")]
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
    },
    /// The memory account is full.
    #[error("{0}")]
    Full(#[from] CapExceeded),
}

/// The result of a merge.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    /// Number of records that were new.
    pub new_records: usize,
    /// The records that were not kept, though they were new.
    pub left_out: Vec<LeftOut>,
}

/// The memory reserved for a record that is to be applied.
pub(super) enum RecordMemory {
    /// All of its memory, and what indexes will take for it.
    Whole(Reservation),
    /// What it takes in addition to the version that it replaces.
    Growth(Reservation),
}

impl Store {
    /// Reserves memory for a record of another node.
    ///
    /// A record of an unknown key is kept if the account has room for it. A new version of a known record is kept even if
    /// the account is full, so that changes of what is known don't wait for room. The cost of that is bounded: versions
    /// of functions may take the account of the configuration over its cap by a fixed part only, and those of workers are
    /// bounded in size beyond it.
    pub(super) fn admit(&self, record: &Record) -> Result<RecordMemory, LeftOutReason> {
        let bytes = record.text().len();
        if bytes > MAX_VALUE {
            return Err(LeftOutReason::TooLarge { bytes });
        }
        let old = lock(&self.records).get(&record.key).map(|old| (old.record.purpose(), old.record.size()));
        let purpose = record.purpose();
        match old {
            None => {
                let bytes = record.size() + self.index_entry_bytes.load(Relaxed);
                Ok(RecordMemory::Whole(self.ledger.reserve(purpose, None, bytes)?))
            }
            Some((Purpose::Catalog, old_bytes)) if purpose == Purpose::Catalog => {
                let growth = record.size().saturating_sub(old_bytes);
                let account = self.ledger.account(purpose);
                if !may_grow(record, growth, account) {
                    let (used, cap) = (account.used(), account.cap());
                    return Err(CapExceeded { account: account.clone(), asked: growth, used, cap }.into());
                }
                Ok(RecordMemory::Growth(account.reserve_over_cap(growth)))
            }
            Some(_) => Ok(RecordMemory::Whole(self.ledger.reserve_over_cap(purpose, record.size()))),
        }
    }
}

/// Whether a new version of a known configuration record may grow by so many bytes.
fn may_grow(record: &Record, growth: usize, account: &Account) -> bool {
    let is_tombstone = record.value.is_none();
    let is_small_worker = record.key.starts_with(WORKER) && record.size() <= MAX_WORKER_RECORD_BYTES;
    let limit = account.cap() + account.cap() / OVERDRAFT_DIVISOR;
    growth == 0 || is_tombstone || is_small_worker || account.used() + growth <= limit
}
