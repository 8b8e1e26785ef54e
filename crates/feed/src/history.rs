//! The latest changes of a control node, by their revisions.
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::sync::Arc;

/// The changes behind a revision aren't all remembered any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the changes behind this revision are no longer remembered")]
pub struct Compacted;

/// Which keys changed at which revision. A key stands at its latest revision only; of more keys than the capacity the
/// oldest are forgotten.
#[derive(Clone, Debug)]
pub struct ChangeHistory {
    capacity: usize,
    keys: BTreeMap<u64, Arc<str>>,
    revisions: HashMap<Arc<str>, u64>,
    revision: u64,
    /// The greatest revision that was forgotten.
    forgotten: u64,
}

impl ChangeHistory {
    /// An empty one at revision 0 that remembers so many keys, at least one.
    pub fn new(capacity: usize) -> Self {
        ChangeHistory {
            capacity: capacity.max(1),
            keys: BTreeMap::new(),
            revisions: HashMap::new(),
            revision: 0,
            forgotten: 0,
        }
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that a key changed and returns the change's revision.
    pub fn push(&mut self, key: &Arc<str>) -> u64 {
        self.revision += 1;
        if let Some(older) = self.revisions.insert(key.clone(), self.revision) {
            self.keys.remove(&older);
        }
        self.keys.insert(self.revision, key.clone());
        if self.keys.len() > self.capacity {
            self.forget_oldest();
        }
        self.revision
    }

    /// The keys that changed behind a revision, each with its latest revision, in the order of these.
    ///
    /// # Errors
    /// [`Compacted`] where some of them were forgotten.
    pub fn since(&self, revision: u64) -> Result<impl Iterator<Item = (u64, &Arc<str>)>, Compacted> {
        if revision < self.forgotten {
            return Err(Compacted);
        }
        let behind = (Bound::Excluded(revision), Bound::Unbounded);
        Ok(self.keys.range(behind).map(|(revision, key)| (*revision, key)))
    }

    /// Whether all changes behind a revision are remembered.
    pub fn reaches(&self, revision: u64) -> bool {
        revision >= self.forgotten
    }

    fn forget_oldest(&mut self) {
        if let Some((revision, key)) = self.keys.pop_first() {
            self.revisions.remove(&key);
            self.forgotten = revision;
        }
    }
}
