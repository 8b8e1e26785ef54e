//! Paged reads of the configuration records (functions and workers).
use super::Store;
use crate::core::{lock, UnixTime};
use crate::state::keys::CONFIGURATION;
use crate::state::record::Record;
use std::ops::Bound;
use std::sync::Arc;

impl Store {
    /// Up to `most` configuration records after `key`, tombstones included: in the order of the prefixes in
    /// [`CONFIGURATION`], and in key order within each. Starts at the first record if `key` is `None`.
    pub fn configuration_after(&self, key: Option<&str>, most: usize) -> Vec<Record> {
        let now = UnixTime::steady();
        let records = lock(&self.records);
        let first = key.and_then(|key| CONFIGURATION.iter().position(|prefix| key.starts_with(prefix)));
        let mut page = Vec::new();
        for prefix in &CONFIGURATION[first.unwrap_or(0)..] {
            let from = match key {
                Some(key) if key.starts_with(prefix) => Bound::Excluded(key),
                _ => Bound::Included(*prefix),
            };
            let range = records.range::<str, _>((from, Bound::Unbounded));
            let with_prefix = range.take_while(|(key, _)| key.starts_with(prefix));
            let live = with_prefix.map(|(_, entry)| &entry.record).filter(|record| !record.expired(now));
            page.extend(live.take(most - page.len()).cloned());
        }
        page
    }

    /// All configuration records in pages of up to `page_size` records, tombstones included. No lock is held between
    /// pages: a record that is written during the iteration may or may not be returned.
    pub fn configuration(&self, page_size: usize) -> ConfigurationPages<'_> {
        ConfigurationPages { store: self, page_size, last_key: None }
    }
}

/// Iterator over the configuration records of a store, page by page.
pub struct ConfigurationPages<'a> {
    store: &'a Store,
    page_size: usize,
    last_key: Option<Arc<str>>,
}

impl Iterator for ConfigurationPages<'_> {
    type Item = Vec<Record>;

    fn next(&mut self) -> Option<Vec<Record>> {
        let page = self.store.configuration_after(self.last_key.as_deref(), self.page_size);
        self.last_key = Some(page.last()?.key.clone());
        Some(page)
    }
}
