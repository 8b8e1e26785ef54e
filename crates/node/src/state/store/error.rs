//! Errors of the store.
use crate::state::log::LogError;
use corkbay::Ms;
use corkbay_ledger::pressure::{decide_at_cap, Decision, FullAccount};
use corkbay_ledger::{CapExceeded, Purpose};
use std::sync::Arc;

/// Why a write failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The current version is final.
    #[error("the record is final")]
    Final,
    /// Only the named node may write this record.
    #[error("only node {0} writes this record")]
    Foreign(Arc<str>),
    /// The value exceeds the size limit, [`MAX_VALUE`](super::MAX_VALUE).
    #[error("the value is larger than is kept")]
    Large,
    /// The batch holds too many writes.
    #[error("a batch of {writes} writes; {most} at most")]
    LargeBatch {
        /// Number of writes in the batch.
        writes: usize,
        /// Maximum number of writes in a batch.
        most: usize,
    },
    /// Two writes of a batch have the same key.
    #[error("a batch writes {0} twice")]
    RepeatedKey(Arc<str>),
    /// The key given for a node-local record does not have a node-local prefix.
    #[error("{0} is not the key of a node-local record")]
    NotLocal(Arc<str>),
    /// The memory account is full. Updates that need no more memory are still accepted.
    #[error("there is no room: {full}")]
    Full {
        /// Which account was full.
        full: CapExceeded,
        /// Suggested delay before a retry, in milliseconds; `None` if a retry won't help.
        retry_after: Option<Ms>,
    },
    /// The record could not be written to the log.
    #[error(transparent)]
    Log(#[from] LogError),
}

/// The error for a full account, with the retry delay that the account's purpose calls for. `frees_in` is the time
/// until memory is released, in milliseconds, if known.
pub fn refuse(purpose: Purpose, full: CapExceeded, frees_in: Option<Ms>) -> StoreError {
    let (asked, cap) = (full.asked, full.cap);
    let retry_after =
        match decide_at_cap(&FullAccount { purpose, asked, cap, idle: 0, frees_in, waited: 0.0 }) {
            Decision::Refuse { retry_after } => retry_after,
            Decision::Evict { .. } | Decision::Wait { .. } => None,
        };
    StoreError::Full { full, retry_after }
}
