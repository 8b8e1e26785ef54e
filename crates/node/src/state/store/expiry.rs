//! Removal of expired records and tombstones, and log compaction.
use super::error::{refuse, StoreError};
use super::{Store, COMPACTION_PAGE_RECORDS};
use crate::core::{lock, monotonic_ms};
use crate::state::keys::is_node_local;
use crate::state::record::Record;
use corkbay::Ms;
use corkbay_ledger::{CapExceeded, Purpose, Reservation};
use std::ops::Bound;
use std::sync::Arc;

/// Minimum interval between two scans for expired records when an account is full, in milliseconds.
const EXPIRY_SCAN_INTERVAL_MS: Ms = 1000.0;

/// When records expire, and the highest version among dropped tombstones.
#[derive(Default)]
pub(super) struct ExpiryState {
    /// When the next record expires, on the monotonic clock in milliseconds; `None` if no record is known to expire.
    next_expiry: Option<Ms>,
    /// When a full account last caused a scan for expired records, on the monotonic clock in milliseconds.
    last_scan: Ms,
    /// Highest version of all dropped tombstones. New keys start at the version after it, so that an older record
    /// that is still in the log does not override them.
    pub(super) dropped_version: u64,
}

impl ExpiryState {
    /// Registers the expiry time of a record, on the monotonic clock in milliseconds; infinity for a record that never
    /// expires.
    pub(super) fn note_expiry(&mut self, at: Ms) {
        if at.is_finite() {
            self.next_expiry = Some(self.next_expiry.map_or(at, |next| next.min(at)));
        }
    }

    fn has_expired_records(&self, now: Ms) -> bool {
        self.next_expiry.is_some_and(|next| next <= now)
    }
}

impl Store {
    /// Reserves memory for data that is kept on behalf of a tenant.
    pub fn reserve(
        &self,
        purpose: Purpose,
        tenant: Option<usize>,
        bytes: usize,
    ) -> Result<Reservation, StoreError> {
        let mut expiry = lock(&self.writing);
        self.reserve_or_expire(&mut expiry, purpose, || self.ledger.reserve(purpose, tenant, bytes))
    }

    /// Reserves memory; if the account is full, drops expired records first.
    pub(super) fn reserve_or_expire<T>(
        &self,
        expiry: &mut ExpiryState,
        purpose: Purpose,
        mut reserve: impl FnMut() -> Result<T, CapExceeded>,
    ) -> Result<T, StoreError> {
        let now = monotonic_ms();
        let full = match reserve() {
            Ok(held) => return Ok(held),
            Err(full) => full,
        };
        if expiry.has_expired_records(now) && now - expiry.last_scan >= EXPIRY_SCAN_INTERVAL_MS {
            expiry.last_scan = now;
            self.drop_expired(expiry, now);
            if let Ok(held) = reserve() {
                return Ok(held);
            }
        }
        let frees_in = expiry.next_expiry.map(|next| next - now);
        Err(refuse(purpose, full, frees_in))
    }

    /// Drops expired records and unneeded tombstones, and compacts the log if that is worthwhile.
    pub fn sweep(&self) -> Result<(), StoreError> {
        let mut expiry = lock(&self.writing);
        self.drop_expired(&mut expiry, monotonic_ms());
        self.drop_tombstones(&mut expiry);
        let Some(log) = &self.log else { return Ok(()) };
        let live_bytes = lock(&self.records).values().map(|entry| entry.record.size()).sum();
        if !log.is_worth_compacting(live_bytes) {
            return Ok(());
        }
        let mut last_key: Option<Arc<str>> = None;
        let pages = std::iter::from_fn(|| {
            let page = self.page_after(last_key.as_deref());
            last_key = page.last().map(|record| record.key.clone());
            (!page.is_empty()).then_some(page)
        });
        Ok(log.replace(pages)?)
    }

    /// The next page of records after a key, over all keys.
    fn page_after(&self, key: Option<&str>) -> Vec<Record> {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        let records = lock(&self.records);
        let page = records.range::<str, _>((from, Bound::Unbounded)).take(COMPACTION_PAGE_RECORDS);
        page.map(|(_, entry)| entry.record.clone()).collect()
    }

    /// Drops expired records.
    fn drop_expired(&self, expiry: &mut ExpiryState, now: Ms) {
        expiry.next_expiry = None;
        lock(&self.records).retain(|_, entry| {
            let keep = entry.is_kept(now);
            if keep {
                expiry.note_expiry(entry.keep_until);
            }
            keep
        });
    }

    /// Drops tombstones of records that no other node could reintroduce: node-local ones, and all of them if the node
    /// has no listeners. Listeners are registered only once the node serves, so this must not run during startup.
    fn drop_tombstones(&self, expiry: &mut ExpiryState) {
        let has_no_listeners = !lock(&self.listeners).any();
        lock(&self.records).retain(|key, entry| {
            let record = &entry.record;
            let is_unneeded = record.value.is_none() && (has_no_listeners || is_node_local(key));
            if is_unneeded {
                expiry.dropped_version = expiry.dropped_version.max(record.version);
            }
            !is_unneeded
        });
    }
}
