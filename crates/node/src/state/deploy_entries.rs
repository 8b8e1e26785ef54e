//! Copies entries of the deploy file into the catalog, and remembers the last seen entries of the file.
//!
//! An entry is written only if it differs from the last seen version of the file: changes of the file take effect, and
//! later changes by API are kept. The last seen entries are stored as digests in pages: one node-local record contains
//! the digests of all entries whose keys fall into the same bucket. Entries are written in one batch with their page,
//! which comes last, so that an interrupted start continues where it stopped.
//!
//! Earlier versions stored one record for each entry, with the complete value. Such records are still read, and are
//! replaced by the pages. They also wrote cell 0 for a worker whose entry names no cell; such an entry is written again
//! without a cell, unless its worker was changed by API.
use super::catalog::{Catalog, CatalogError, Function, Worker};
use super::keys::{FUNCTION, SEED, WORKER};
use super::record::{Record, Text};
use super::store::{Draft, Store, StoreError, MAX_BATCH};
use crate::state::hash::fnv1a;
use serde::Serialize;
use std::collections::BTreeMap;

/// The cell that earlier versions wrote for a worker whose entry names none.
const EARLIER_DEFAULT_CELL: i64 = 0;
/// Number of pages of digests.
const PAGES: usize = 256;
/// Maximum number of entries of one page in one batch: each may need a write of its own and a write that deletes the
/// record of an earlier version, and the page needs one.
const MAX_ENTRIES_PER_BATCH: usize = (MAX_BATCH - 1) / 2;
/// Maximum size of the keys and values in a batch that combines several pages, in bytes.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// Size of a digest in its page without the key, in bytes: two pairs of quotes, 16 digits, a colon and a comma.
const DIGEST_OVERHEAD_BYTES: usize = 22;

/// An entry of the deploy file.
pub struct DeployEntry {
    key: String,
    value: Text,
    /// What earlier versions wrote for the same entry, if that differs.
    earlier_value: Option<Text>,
}

/// How an entry relates to the version of the file that was last seen.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Change {
    /// The file has changed the entry, or names it for the first time.
    ByFile,
    /// The file is the same, but an earlier version of this program wrote the entry differently.
    ByProgram,
    /// None.
    None,
}

impl DeployEntry {
    /// An entry for a function.
    pub fn function(name: &str, function: &Function) -> Result<Self, CatalogError> {
        DeployEntry::new(format!("{FUNCTION}{name}"), function)
    }

    /// An entry for a worker.
    pub fn worker(name: &str, worker: &Worker) -> Result<Self, CatalogError> {
        let mut entry = DeployEntry::new(format!("{WORKER}{name}"), worker)?;
        if worker.cell.is_none() {
            let earlier = Worker { cell: Some(EARLIER_DEFAULT_CELL), ..worker.clone() };
            entry.earlier_value = Some(text_of(&earlier)?);
        }
        Ok(entry)
    }

    fn new(key: String, value: &impl Serialize) -> Result<Self, CatalogError> {
        Ok(DeployEntry { key, value: text_of(value)?, earlier_value: None })
    }

    fn page(&self) -> usize {
        fnv1a(self.key.as_bytes()) as usize % PAGES
    }

    /// Compares the entry with what was last seen of it: its digest, or its value in the record of an earlier version.
    fn change_since(&self, digest: Option<&String>, legacy_value: Option<&Text>) -> Change {
        let is_seen = |value: &Text| digest == Some(&digest_of(value)) || legacy_value == Some(value);
        match &self.earlier_value {
            _ if is_seen(&self.value) => Change::None,
            Some(earlier) if is_seen(earlier) => Change::ByProgram,
            _ => Change::ByFile,
        }
    }
}

fn text_of(value: &impl Serialize) -> Result<Text, CatalogError> {
    Text::of(value).map_err(|error| CatalogError::Value(error.to_string()))
}

fn digest_of(value: &Text) -> String {
    format!("{:016x}", fnv1a(value.as_str().as_bytes()))
}

/// Memory that an entry of the deploy file takes in the store of a node, including its digest, in bytes.
pub fn configured_size(node: &str, prefix: &str, name: &str, value: &impl Serialize) -> usize {
    let key = prefix.len() + name.len();
    let text = serde_json::to_string(value).map_or(0, |text| text.len());
    Record::size_of(key, text) + node.len() + key + DIGEST_OVERHEAD_BYTES
}

/// Memory that the pages for this number of entries take in the store of a node, without the digests, in bytes.
pub fn pages_size(node: &str, entries: usize) -> usize {
    let page = Record::size_of(page_key(node, 0).len(), "{}".len()) + node.len();
    page * entries.min(PAGES)
}

fn page_key(node: &str, number: usize) -> String {
    format!("{SEED}{node}/page/{number:02x}")
}

/// The digests of one page, by key of the entry.
type Digests = BTreeMap<String, String>;

/// A write that is collected into a batch.
struct PlannedWrite {
    key: String,
    value: Option<Text>,
}

impl PlannedWrite {
    /// The draft of the write. Updates of existing records are accepted even if the account is full.
    fn draft(&self) -> Draft<'_> {
        Draft { may_exceed_cap: true, ..Draft::new(&self.key, self.value.clone()) }
    }
}

/// Writes that are committed to the store together.
#[derive(Default)]
struct Batch {
    writes: Vec<PlannedWrite>,
}

impl Batch {
    fn bytes(&self) -> usize {
        let size = |write: &PlannedWrite| {
            write.key.len() + write.value.as_ref().map_or(0, |value| value.as_str().len())
        };
        self.writes.iter().map(size).sum()
    }

    fn has_room_for(&self, more: &Batch) -> bool {
        let fits = self.writes.len() + more.writes.len() <= MAX_BATCH;
        fits && self.bytes() + more.bytes() <= MAX_BATCH_BYTES
    }

    fn write(self, store: &Store) -> Result<(), StoreError> {
        let mut drafts: Vec<Draft> = self.writes.iter().map(PlannedWrite::draft).collect();
        store.put_many(&mut drafts)?;
        Ok(())
    }
}

impl Catalog {
    /// Writes the entries of the deploy file that changed since the file was last read on this node.
    ///
    /// Changes of known records are written first, as they need no room, and then new workers and new functions: if there
    /// is no room for an entry, those of the earlier groups are in force.
    pub fn seed(&self, entries: Vec<DeployEntry>) -> Result<(), CatalogError> {
        let is_known = |entry: &DeployEntry| self.store().get(&entry.key).is_some();
        let (known, new): (Vec<_>, Vec<_>) = entries.into_iter().partition(is_known);
        let (workers, functions): (Vec<_>, Vec<_>) =
            new.into_iter().partition(|entry| entry.key.starts_with(WORKER));
        self.seed_group(known)?;
        let mut new = [workers, functions].into_iter().filter(|group| !group.is_empty());
        new.try_for_each(|group| self.seed_group(group))
    }

    fn seed_group(&self, entries: Vec<DeployEntry>) -> Result<(), CatalogError> {
        let mut pages: Vec<Vec<DeployEntry>> = Vec::new();
        pages.resize_with(PAGES, Vec::new);
        for entry in entries {
            pages[entry.page()].push(entry);
        }
        let mut batch = Batch::default();
        for (number, page) in pages.iter().enumerate() {
            let mut digests = self.digests(number)?;
            for (part, entries) in page.chunks(MAX_ENTRIES_PER_BATCH).enumerate() {
                let more = self.plan(number, entries, &mut digests)?;
                // The next part writes the same page again, which takes another batch.
                let is_same_page = part > 0;
                if is_same_page || !batch.has_room_for(&more) {
                    std::mem::take(&mut batch).write(self.store())?;
                }
                batch.writes.extend(more.writes);
            }
        }
        Ok(batch.write(self.store())?)
    }

    /// The writes that are needed for some entries of a page. Updates `digests` accordingly.
    fn plan(
        &self,
        number: usize,
        entries: &[DeployEntry],
        digests: &mut Digests,
    ) -> Result<Batch, CatalogError> {
        let mut batch = Batch::default();
        let mut is_page_changed = false;
        for entry in entries {
            let digest = digest_of(&entry.value);
            let legacy_key = self.legacy_key(&entry.key);
            let legacy_value = self.value(&legacy_key);
            let change = entry.change_since(digests.get(&entry.key), legacy_value.as_ref());
            if self.is_to_be_written(entry, change) {
                let (key, value) = (entry.key.clone(), Some(entry.value.clone()));
                batch.writes.push(PlannedWrite { key, value });
            }
            if digests.get(&entry.key) != Some(&digest) {
                digests.insert(entry.key.clone(), digest);
                is_page_changed = true;
            }
            if legacy_value.is_some() {
                batch.writes.push(PlannedWrite { key: legacy_key, value: None });
            }
        }
        if is_page_changed {
            let value = Text::of(digests).map_err(|error| CatalogError::Value(error.to_string()))?;
            batch.writes.push(PlannedWrite { key: self.page_key(number), value: Some(value) });
        }
        Ok(batch)
    }

    /// Whether an entry is written over its record. A change by API is kept unless the file has changed the entry.
    fn is_to_be_written(&self, entry: &DeployEntry, change: Change) -> bool {
        match change {
            Change::ByFile => true,
            Change::ByProgram => self.value(&entry.key) == entry.earlier_value,
            Change::None => false,
        }
    }

    fn value(&self, key: &str) -> Option<Text> {
        self.store().get(key)?.value
    }

    fn digests(&self, number: usize) -> Result<Digests, CatalogError> {
        let Some(page) = self.value(&self.page_key(number)) else { return Ok(Digests::new()) };
        page.read().map_err(|error| CatalogError::Value(format!("{}: {error}", self.page_key(number))))
    }

    fn page_key(&self, number: usize) -> String {
        page_key(self.node(), number)
    }

    /// Key under which earlier versions stored the last seen value of an entry.
    fn legacy_key(&self, key: &str) -> String {
        format!("{SEED}{}/{key}", self.node())
    }
}

#[cfg(test)]
mod tests;
