//! In-memory storage that the `raft` crate reads, filled from the journal.
use crate::journal::Recovered;
use raft::eraftpb::{ConfState, Entry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Result, Storage, StorageError};

/// The journal's content in memory.
pub(crate) struct RaftStorage {
    pub log: MemStorage,
    /// The last snapshot with its data, to be sent to members that lag behind.
    pub snapshot: Snapshot,
}

impl RaftStorage {
    pub fn new(recovered: &Recovered) -> Result<Self> {
        let log = MemStorage::new();
        {
            let mut core = log.wl();
            if recovered.snapshot.get_metadata().index > 0 {
                core.apply_snapshot(recovered.snapshot.clone())?;
            }
            core.append(&recovered.entries)?;
            let mut hard_state = recovered.hard_state.clone();
            let meta = recovered.snapshot.get_metadata();
            // A crash may have happened between writing the snapshot and the hard state that follows it.
            hard_state.commit = hard_state.commit.max(meta.index);
            if hard_state.term < meta.term {
                (hard_state.term, hard_state.vote) = (meta.term, 0);
            }
            core.set_hardstate(hard_state);
            core.set_conf_state(recovered.members.clone());
        }
        Ok(RaftStorage { log, snapshot: recovered.snapshot.clone() })
    }

    pub fn members(&self) -> ConfState {
        self.log.initial_state().map(|state| state.conf_state).unwrap_or_default()
    }
}

impl Storage for RaftStorage {
    fn initial_state(&self) -> Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        self.log.entries(low, high, max_size, context)
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

    fn snapshot(&self, min_index: u64, _: u64) -> Result<Snapshot> {
        if self.snapshot.get_metadata().index < min_index.max(1) {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
