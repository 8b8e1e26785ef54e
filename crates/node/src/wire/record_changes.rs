//! Notices about records that were received from other nodes.
use crate::state::keys::{INVOCATION, WORKER};
use crate::state::record::Record;
use crate::state::store::Store;
use std::sync::Arc;

/// What records that were received change. Functions are read from the store with each call and need no notice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordChanges {
    /// There are worker records: the roster has to be updated.
    pub workers: bool,
    /// There are records of deferred calls: clients that wait for one have to be woken.
    pub invocations: bool,
    /// The keys of records of deferred calls that this node wrote in an earlier life and did not have any more.
    pub own_invocations: Vec<Arc<str>>,
}

impl RecordChanges {
    /// Collects what the given records will change in a store that has not merged them yet.
    pub fn of(records: &[Record], store: &Store) -> Self {
        let has = |prefix: &str| records.iter().any(|record| record.key.starts_with(prefix));
        let is_own = |record: &&Record| {
            record.key.starts_with(INVOCATION) && &*record.node == store.node() && store.is_news(record)
        };
        RecordChanges {
            workers: has(WORKER),
            invocations: has(INVOCATION),
            own_invocations: records.iter().filter(is_own).map(|record| record.key.clone()).collect(),
        }
    }

    /// Whether no notice is needed.
    pub fn is_empty(&self) -> bool {
        *self == RecordChanges::default()
    }
}

/// Called after records of other nodes were stored.
pub type OnRecordChanges = Arc<dyn Fn(RecordChanges) + Send + Sync>;
