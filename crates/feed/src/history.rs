//! The latest changes of a control node, by revision.
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::sync::Arc;

/// Some of the changes after a revision are no longer in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the changes after this revision are no longer in the history")]
pub struct Compacted;

/// Records which key changed at which revision. Each key is kept at its latest revision only; when there are more keys
/// than the capacity, those that changed longest ago are dropped.
#[derive(Clone, Debug)]
pub struct ChangeHistory {
    capacity: usize,
    key_by_revision: BTreeMap<u64, Arc<str>>,
    revision_by_key: HashMap<Arc<str>, u64>,
    revision: u64,
    /// The greatest revision that was dropped.
    dropped_upto: u64,
}

impl ChangeHistory {
    /// An empty history at revision 0 that holds up to `capacity` keys, and at least one.
    pub fn new(capacity: usize) -> Self {
        ChangeHistory {
            capacity: capacity.max(1),
            key_by_revision: BTreeMap::new(),
            revision_by_key: HashMap::new(),
            revision: 0,
            dropped_upto: 0,
        }
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records a change of a key and returns its revision.
    pub fn record_change(&mut self, key: &Arc<str>) -> u64 {
        self.revision += 1;
        if let Some(older) = self.revision_by_key.insert(key.clone(), self.revision) {
            self.key_by_revision.remove(&older);
        }
        self.key_by_revision.insert(self.revision, key.clone());
        if self.key_by_revision.len() > self.capacity {
            self.drop_oldest();
        }
        self.revision
    }

    /// The keys that changed after a revision, each with its latest revision, in ascending order of revision.
    ///
    /// # Errors
    /// [`Compacted`] if some of these changes were dropped.
    pub fn since(&self, revision: u64) -> Result<impl Iterator<Item = (u64, &Arc<str>)>, Compacted> {
        if revision < self.dropped_upto {
            return Err(Compacted);
        }
        let after = (Bound::Excluded(revision), Bound::Unbounded);
        Ok(self.key_by_revision.range(after).map(|(revision, key)| (*revision, key)))
    }

    /// Whether the history holds all changes after a revision.
    pub fn covers(&self, revision: u64) -> bool {
        revision >= self.dropped_upto
    }

    fn drop_oldest(&mut self) {
        if let Some((revision, key)) = self.key_by_revision.pop_first() {
            self.revision_by_key.remove(&key);
            self.dropped_upto = revision;
        }
    }
}
