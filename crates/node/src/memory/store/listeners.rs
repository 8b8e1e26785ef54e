//! Who is told of records.
use super::Store;
use crate::core::lock;
use crate::memory::keys::is_node_local;
use crate::memory::record::Record;
use may::sync::mpsc;

/// The senders that are told of records.
#[derive(Default)]
pub(super) struct Listeners {
    /// Told of each write of this node.
    writes: Vec<mpsc::Sender<Record>>,
    /// Told of each record that newly stands, whoever wrote it.
    changes: Vec<mpsc::Sender<Record>>,
}

impl Listeners {
    /// Whether there is any.
    pub(super) fn any(&self) -> bool {
        !self.writes.is_empty() || !self.changes.is_empty()
    }

    pub(super) fn tell_write(&self, record: &Record) {
        if !is_node_local(&record.key) {
            tell(&self.writes, record);
        }
    }

    pub(super) fn tell_change(&self, record: &Record) {
        tell(&self.changes, record);
    }
}

fn tell(listeners: &[mpsc::Sender<Record>], record: &Record) {
    for listener in listeners {
        // A listener that has gone misses nothing.
        let _ = listener.send(record.clone());
    }
}

impl Store {
    /// Has these told of each write of this node, node-local records left out.
    pub fn on_write(&self, listeners: Vec<mpsc::Sender<Record>>) {
        lock(&self.listeners).writes = listeners;
    }

    /// Has a listener told of every record that newly stands from now on: own writes and merged records,
    /// node-local ones too, in the order in which they took effect.
    ///
    /// Records are sent while writers are held off, so the order is exact. Whoever registers first and reads
    /// the store afterwards misses no record, and may meet one both ways. Tombstones are kept from now on.
    pub fn on_change(&self, listener: mpsc::Sender<Record>) {
        let _no_writer = lock(&self.writing);
        lock(&self.listeners).changes.push(listener);
    }
}
