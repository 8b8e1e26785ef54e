//! Errors of the store.
use crate::memory::log::LogError;
use corkbay::Ms;
use corkbay_ledger::pressure::{decide, Case, Decision};
use corkbay_ledger::{Full, Purpose};
use std::sync::Arc;

/// Why a write did not happen.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// What stands there is final.
    #[error("the record is final")]
    Final,
    /// Another node alone may write there.
    #[error("only node {0} writes this record")]
    Foreign(Arc<str>),
    /// The value is larger than is kept.
    #[error("the value is larger than is kept")]
    Large,
    /// A batch holds more writes than one batch may.
    #[error("a batch of {writes} writes; {most} at most")]
    LargeBatch {
        /// Writes in the batch.
        writes: usize,
        /// Most writes in a batch.
        most: usize,
    },
    /// Two writes of one batch have the same key.
    #[error("a batch writes {0} twice")]
    RepeatedKey(Arc<str>),
    /// The key of a node-local note is not a node-local one.
    #[error("{0} is not the key of a node-local record")]
    NotLocal(Arc<str>),
    /// There is no room for it; what is there can still end.
    #[error("there is no room: {full}")]
    Full {
        /// What was full.
        full: Full,
        /// When to come again, in milliseconds; `None` where that is of no use.
        retry_after: Option<Ms>,
    },
    /// It could not be made to last.
    #[error(transparent)]
    Log(#[from] LogError),
}

/// The error for a full account, with the advice that its purpose calls for.
pub fn refuse(purpose: Purpose, full: Full, frees_in: Option<Ms>) -> StoreError {
    let (asked, cap) = (full.asked, full.cap);
    let retry_after = match decide(&Case { purpose, asked, cap, idle: 0, frees_in, waited: 0.0 }) {
        Decision::Refuse { retry_after } => retry_after,
        Decision::Evict { .. } | Decision::Wait { .. } => None,
    };
    StoreError::Full { full, retry_after }
}
