//! Entries of the deploy file on their way into the catalog, and the record of what the file last said.
//!
//! An entry is written when the file says something else than it last did: the file's changes take effect, and what
//! was changed by API since stays changed. What the file last said is kept as a digest for each entry, in pages: one
//! node-local record holds the digests of all entries whose keys share a bucket. Entries and the page that tells of
//! them are written in one batch, the page last, so that a start that is cut short is taken up where it ended.
//!
//! Earlier versions kept one record for each entry, with the whole value. Such records still count, and give way to
//! the pages.
use super::catalog::{Catalog, CatalogError, Function, Worker};
use super::keys::{FUNCTION, SEED, WORKER};
use super::record::{Record, Text};
use super::store::{Draft, Store, StoreError, MAX_BATCH};
use crate::memory::hash::fnv1a;
use serde::Serialize;
use std::collections::BTreeMap;

/// Pages of digests.
const PAGES: usize = 256;
/// Entries of one page that are written in one batch: each may take a write of its own and one that takes an
/// earlier version's record away, and the page takes one.
const MOST_ENTRIES: usize = (MAX_BATCH - 1) / 2;
/// Bytes of keys and values from which on a batch is written.
const BATCH_BYTES: usize = 64 << 10;
/// What a digest takes in its page beside the key: two pairs of quotes, 16 digits, a colon and a comma.
const DIGEST_COST: usize = 22;

/// An entry of the deploy file.
pub struct SeedEntry {
    key: String,
    value: Text,
}

impl SeedEntry {
    /// A function.
    pub fn function(name: &str, function: &Function) -> Result<Self, CatalogError> {
        SeedEntry::new(format!("{FUNCTION}{name}"), function)
    }

    /// A worker.
    pub fn worker(name: &str, worker: &Worker) -> Result<Self, CatalogError> {
        SeedEntry::new(format!("{WORKER}{name}"), worker)
    }

    fn new(key: String, value: &impl Serialize) -> Result<Self, CatalogError> {
        let value = Text::of(value).map_err(|error| CatalogError::Value(error.to_string()))?;
        Ok(SeedEntry { key, value })
    }

    fn page(&self) -> usize {
        fnv1a(self.key.as_bytes()) as usize % PAGES
    }

    fn digest(&self) -> String {
        format!("{:016x}", fnv1a(self.value.as_str().as_bytes()))
    }
}

/// What an entry of the deploy file takes in the store of a node, in bytes, its digest included.
pub fn configured_size(node: &str, prefix: &str, name: &str, value: &impl Serialize) -> usize {
    let key = prefix.len() + name.len();
    let text = serde_json::to_string(value).map_or(0, |text| text.len());
    Record::size_of(key, text) + node.len() + key + DIGEST_COST
}

/// What the pages of digests for so many entries take in the store of a node beside the digests, in bytes.
pub fn pages_size(node: &str, entries: usize) -> usize {
    let page = Record::size_of(page_key(node, 0).len(), "{}".len()) + node.len();
    page * entries.min(PAGES)
}

fn page_key(node: &str, number: usize) -> String {
    format!("{SEED}{node}/page/{number:02x}")
}

/// The digests of one page, by key.
type Digests = BTreeMap<String, String>;

/// A write that waits for its batch.
struct PlannedWrite {
    key: String,
    value: Option<Text>,
}

impl PlannedWrite {
    /// A change of what stands there is taken whatever is full.
    fn draft(&self) -> Draft<'_> {
        Draft { owed: true, ..Draft::new(&self.key, self.value.clone()) }
    }
}

/// Writes that go into the store together.
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
        fits && self.bytes() + more.bytes() <= BATCH_BYTES
    }

    fn write(self, store: &Store) -> Result<(), StoreError> {
        let mut drafts: Vec<Draft> = self.writes.iter().map(PlannedWrite::draft).collect();
        store.put_many(&mut drafts)?;
        Ok(())
    }
}

impl Catalog {
    /// Writes the entries of the deploy file that the file changed since it was last read here.
    pub fn seed(&self, entries: Vec<SeedEntry>) -> Result<(), CatalogError> {
        let mut pages: Vec<Vec<SeedEntry>> = Vec::new();
        pages.resize_with(PAGES, Vec::new);
        for entry in entries {
            pages[entry.page()].push(entry);
        }
        let mut batch = Batch::default();
        for (number, page) in pages.iter().enumerate() {
            let mut digests = self.digests(number)?;
            for (part, entries) in page.chunks(MOST_ENTRIES).enumerate() {
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

    /// The writes that some entries of a page call for; their digests become what they will be then.
    fn plan(
        &self,
        number: usize,
        entries: &[SeedEntry],
        digests: &mut Digests,
    ) -> Result<Batch, CatalogError> {
        let mut batch = Batch::default();
        let mut is_page_changed = false;
        for entry in entries {
            let digest = entry.digest();
            let whole_value_key = self.whole_value_key(&entry.key);
            let whole_value = self.store().get(&whole_value_key).and_then(|record| record.value);
            let is_known = digests.get(&entry.key) == Some(&digest);
            if !is_known {
                if whole_value.as_ref() != Some(&entry.value) {
                    batch
                        .writes
                        .push(PlannedWrite { key: entry.key.clone(), value: Some(entry.value.clone()) });
                }
                digests.insert(entry.key.clone(), digest);
                is_page_changed = true;
            }
            if whole_value.is_some() {
                batch.writes.push(PlannedWrite { key: whole_value_key, value: None });
            }
        }
        if is_page_changed {
            let value = Text::of(digests).map_err(|error| CatalogError::Value(error.to_string()))?;
            batch.writes.push(PlannedWrite { key: self.page_key(number), value: Some(value) });
        }
        Ok(batch)
    }

    fn digests(&self, number: usize) -> Result<Digests, CatalogError> {
        let page = self.store().get(&self.page_key(number)).and_then(|record| record.value);
        let Some(page) = page else { return Ok(Digests::new()) };
        page.read().map_err(|error| CatalogError::Value(format!("{}: {error}", self.page_key(number))))
    }

    fn page_key(&self, number: usize) -> String {
        page_key(self.node(), number)
    }

    /// Where earlier versions kept what the file last said of one entry.
    fn whole_value_key(&self, key: &str) -> String {
        format!("{SEED}{}/{key}", self.node())
    }
}

#[cfg(test)]
mod tests;
