//! What the `raft` crate reads back of what a replica wrote.
use crate::journal::Recovered;
use raft::eraftpb::{ConfState, Entry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Result, Storage, StorageError};

/// The journal's content in memory.
pub(crate) struct Shelf {
    pub log: MemStorage,
    /// The last snapshot, with its data: what a replica that lags is sent.
    pub snapshot: Snapshot,
}

impl Shelf {
    pub fn new(recovered: &Recovered) -> Result<Self> {
        let log = MemStorage::new();
        {
            let mut core = log.wl();
            if recovered.snapshot.get_metadata().index > 0 {
                core.apply_snapshot(recovered.snapshot.clone())?;
            }
            core.append(&recovered.entries)?;
            let mut hard = recovered.hard.clone();
            let meta = recovered.snapshot.get_metadata();
            // A crash may have come between the snapshot and the state behind it.
            hard.commit = hard.commit.max(meta.index);
            if hard.term < meta.term {
                (hard.term, hard.vote) = (meta.term, 0);
            }
            core.set_hardstate(hard);
            core.set_conf_state(recovered.members.clone());
        }
        Ok(Shelf { log, snapshot: recovered.snapshot.clone() })
    }

    pub fn members(&self) -> ConfState {
        self.log.initial_state().map(|state| state.conf_state).unwrap_or_default()
    }
}

impl Storage for Shelf {
    fn initial_state(&self) -> Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        self.log.entries(low, high, most, context)
    }

    fn term(&self, index: u64) -> Result<u64> {
        self.log.term(index)
    }

    fn first_index(&self) -> Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, least: u64, _: u64) -> Result<Snapshot> {
        if self.snapshot.get_metadata().index < least.max(1) {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
