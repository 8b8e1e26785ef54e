//! Notices about records that were received from other nodes.
use crate::state::keys::{INVOCATION, WORKER};
use crate::state::record::Record;
use std::sync::Arc;

/// The kinds of records that were received. Functions are read from the store with each call and need no notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangedKinds {
    /// Worker records: the roster has to be updated.
    pub workers: bool,
    /// Records of deferred calls: clients that wait for one have to be woken.
    pub invocations: bool,
}

impl ChangedKinds {
    /// Collects the kinds of the given records.
    pub fn of(records: &[Record]) -> Self {
        let has = |prefix: &str| records.iter().any(|record| record.key.starts_with(prefix));
        ChangedKinds { workers: has(WORKER), invocations: has(INVOCATION) }
    }

    /// Whether no kind needs a notice.
    pub fn is_empty(self) -> bool {
        self == ChangedKinds::default()
    }
}

/// Called after records of other nodes were stored.
pub type OnRecordChanges = Arc<dyn Fn(ChangedKinds) + Send + Sync>;
