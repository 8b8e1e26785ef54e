//! Listeners that are notified of writes and changes.
use super::Store;
use crate::core::lock;
use crate::state::keys::is_node_local;
use crate::state::record::Record;
use may::sync::mpsc;

/// Channels that receive records.
#[derive(Default)]
pub(super) struct Listeners {
    /// Receive each write of this node.
    writes: Vec<mpsc::Sender<Record>>,
    /// Receive each record that takes effect, whichever node wrote it.
    changes: Vec<mpsc::Sender<Record>>,
}

impl Listeners {
    /// Whether any listener is registered.
    pub(super) fn any(&self) -> bool {
        !self.writes.is_empty() || !self.changes.is_empty()
    }

    pub(super) fn notify_write(&self, record: &Record) {
        if !is_node_local(&record.key) {
            notify(&self.writes, record);
        }
    }

    pub(super) fn notify_change(&self, record: &Record) {
        notify(&self.changes, record);
    }
}

fn notify(listeners: &[mpsc::Sender<Record>], record: &Record) {
    for listener in listeners {
        // The receiver may have been dropped; that is not an error.
        let _ = listener.send(record.clone());
    }
}

impl Store {
    /// Sets the listeners that receive each write of this node, except node-local records.
    pub fn on_write(&self, listeners: Vec<mpsc::Sender<Record>>) {
        lock(&self.listeners).writes = listeners;
    }

    /// Adds a listener that receives every record that takes effect from now on: local writes and merged records,
    /// including node-local ones, in the order in which they took effect.
    ///
    /// Records are sent while the write lock is held, so the order is exact. A caller that registers first and reads
    /// the store afterwards misses no record, but may see a record twice. From now on, tombstones of records that are
    /// shared with other nodes are kept.
    pub fn on_change(&self, listener: mpsc::Sender<Record>) {
        let _write_lock = lock(&self.writing);
        lock(&self.listeners).changes.push(listener);
    }
}
