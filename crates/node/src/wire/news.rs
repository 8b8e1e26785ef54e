//! What records of other nodes change for this one.
use crate::memory::keys::{INVOCATION, WORKER};
use crate::memory::record::Record;
use std::sync::Arc;

/// The kinds of records that came in. Functions are read from the store with each call and need no notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Workers: the decisions are to be told.
    pub workers: bool,
    /// Deferred calls: somebody may be waiting for one.
    pub invocations: bool,
}

impl News {
    /// The kinds of these records.
    pub fn of(records: &[Record]) -> Self {
        let has = |prefix: &str| records.iter().any(|record| record.key.starts_with(prefix));
        News { workers: has(WORKER), invocations: has(INVOCATION) }
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(self) -> bool {
        self == News::default()
    }
}

/// Called after records of other nodes came in.
pub type OnNews = Arc<dyn Fn(News) + Send + Sync>;
