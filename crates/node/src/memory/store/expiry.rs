//! Expired records, tombstones, and the log's compaction.
use super::error::{refuse, StoreError};
use super::{Store, PAGE};
use crate::core::{lock, monotonic_ms};
use crate::memory::keys::is_node_local;
use crate::memory::record::Record;
use corkbay::Ms;
use corkbay_ledger::{Full, Purpose, Reservation};
use std::ops::Bound;
use std::sync::Arc;

/// Least time between two looks for expired records that make room, in milliseconds.
const LOOK_INTERVAL_MS: Ms = 1000.0;

/// What is known about records that may be forgotten.
#[derive(Default)]
pub(super) struct ExpiryState {
    /// When the next record may be forgotten, as far as known.
    next_expiry: Option<Ms>,
    /// When expired records were last looked for because something was full.
    last_look: Ms,
    /// No tombstone of a later version was dropped: new keys begin behind it, so that a record that the
    /// log still holds from before is no match for them.
    pub(super) dropped_version: u64,
}

impl ExpiryState {
    /// Notes until when a record is kept, on the monotonic clock; infinity for ever.
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
    /// Reserves for what is to be kept for a tenant.
    pub fn reserve(
        &self,
        purpose: Purpose,
        tenant: Option<usize>,
        bytes: usize,
    ) -> Result<Reservation, StoreError> {
        let mut expiry = lock(&self.writing);
        self.reserve_or_expire(&mut expiry, purpose, || self.ledger.reserve(purpose, tenant, bytes))
    }

    /// Reserves; where there is no room, expired records make some.
    pub(super) fn reserve_or_expire<T>(
        &self,
        expiry: &mut ExpiryState,
        purpose: Purpose,
        mut reserve: impl FnMut() -> Result<T, Full>,
    ) -> Result<T, StoreError> {
        let now = monotonic_ms();
        let full = match reserve() {
            Ok(held) => return Ok(held),
            Err(full) => full,
        };
        if expiry.has_expired_records(now) && now - expiry.last_look >= LOOK_INTERVAL_MS {
            expiry.last_look = now;
            self.forget_expired(expiry, now);
            if let Ok(held) = reserve() {
                return Ok(held);
            }
        }
        let frees_in = expiry.next_expiry.map(|next| next - now);
        Err(refuse(purpose, full, frees_in))
    }

    /// Forgets what has expired and has the log hold no more than what stands.
    pub fn sweep(&self) -> Result<(), StoreError> {
        let mut expiry = lock(&self.writing);
        self.forget_expired(&mut expiry, monotonic_ms());
        self.forget_tombstones(&mut expiry);
        let Some(log) = &self.log else { return Ok(()) };
        let live_bytes = lock(&self.records).values().map(|entry| entry.record.size()).sum();
        if !log.is_worth_replacing(live_bytes) {
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

    /// The next records of all keys behind one.
    fn page_after(&self, key: Option<&str>) -> Vec<Record> {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        let records = lock(&self.records);
        let page = records.range::<str, _>((from, Bound::Unbounded)).take(PAGE);
        page.map(|(_, entry)| entry.record.clone()).collect()
    }

    /// Drops expired records.
    fn forget_expired(&self, expiry: &mut ExpiryState, now: Ms) {
        expiry.next_expiry = None;
        lock(&self.records).retain(|_, entry| {
            let stays = entry.is_kept(now);
            if stays {
                expiry.note_expiry(entry.keep_until);
            }
            stays
        });
    }

    /// Drops tombstones where no other node could bring back what they stand for. A node is alone as long as nobody
    /// listens to its records, which is known only once it serves: not while it starts.
    fn forget_tombstones(&self, expiry: &mut ExpiryState) {
        let is_alone = !lock(&self.listeners).any();
        lock(&self.records).retain(|key, entry| {
            let record = &entry.record;
            let is_needless = record.value.is_none() && (is_alone || is_node_local(key));
            if is_needless {
                expiry.dropped_version = expiry.dropped_version.max(record.version);
            }
            !is_needless
        });
    }
}
