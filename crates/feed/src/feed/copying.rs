//! Differences: the records sent to a follower whose change stream can't resume at its position.
use super::{Feed, SessionNumber};
use crate::copies::Admission;
use crate::session::{ChangeStream, Copying, Session, Stage};
use crate::{
    BucketHashes, BucketNumber, BucketSet, CloseReason, ControlMessage, FeedRecord, Ms, Page, Records,
};

impl<R: FeedRecord> Feed<R> {
    pub(super) fn request_buckets(&mut self, number: SessionNumber, now: Ms) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        session.stage = Stage::AwaitingBuckets;
        if session.repair.take().is_some() {
            self.copies.cancel_page(number);
        }
        self.counters.comparisons += 1;
        self.send(number, ControlMessage::SendBuckets, now);
    }

    /// Starts to send the buckets that differ. The follower's records in equal buckets are up to date with the current
    /// revision, so the change stream can resume there once the other buckets have been sent.
    pub(super) fn handle_buckets(
        &mut self,
        number: SessionNumber,
        hashes: &BucketHashes,
        records: &impl Records<R>,
        now: Ms,
    ) {
        let base = self.history.revision();
        let Some(session) = self.sessions.get_mut(&number) else { return };
        if !matches!(session.stage, Stage::AwaitingBuckets) {
            self.close(number, CloseReason::Unexpected);
            return;
        }
        let buckets: BucketSet = records.bucket_hashes().differing(hashes).into_iter().collect();
        session.stage = Stage::Copying(Copying { buckets, after: None, base });
        if buckets.is_empty() {
            self.send_page(number, Page { records: Vec::new(), is_last: true }, now);
        } else {
            self.copies.queue_page(number);
        }
    }

    /// Handles the confirmation that a page is on disk, which requests the next page.
    pub(super) fn handle_next_page(&mut self, number: SessionNumber) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        let is_copying = matches!(session.stage, Stage::Copying(_));
        if is_copying && session.unconfirmed_page_since.take().is_some() {
            self.copies.queue_page(number);
        } else {
            self.close(number, CloseReason::Unexpected);
        }
    }

    /// Sends pages to the sessions that wait for one, as far as the rate limit allows.
    pub(super) fn send_pages(&mut self, records: &impl Records<R>, now: Ms) {
        while let Some(number) = self.copies.next_page(now) {
            let Some(session) = self.sessions.get(&number) else { continue };
            let Stage::Copying(copying) = &session.stage else {
                self.send_missing(number, records, now);
                continue;
            };
            let page = records.page(&copying.buckets, copying.after.as_deref(), self.limits.page_bytes);
            // A difference that fits in one page needs no copy slot.
            let needs_slot = !page.is_last && !session.holds_copy_slot;
            if !needs_slot || self.request_copy_slot(number) {
                self.send_page(number, page, now);
                self.send_changes(number, records, now);
            }
        }
    }

    /// Releases the copy slot of a session, if it holds one, and passes it to the next session that waits for one.
    pub(super) fn release_copy_slot(&mut self, session: &mut Session) {
        if !std::mem::take(&mut session.holds_copy_slot) {
            return;
        }
        let Some(next) = self.copies.release_slot() else { return };
        if let Some(admitted) = self.sessions.get_mut(&next) {
            admitted.holds_copy_slot = true;
            self.counters.copies += 1;
            self.copies.queue_page(next);
        }
    }

    /// Requests a copy slot and returns whether it was granted; otherwise the session is queued or rejected.
    fn request_copy_slot(&mut self, number: SessionNumber) -> bool {
        match self.copies.request_slot(number) {
            Admission::Admitted => {
                if let Some(session) = self.sessions.get_mut(&number) {
                    session.holds_copy_slot = true;
                }
                self.counters.copies += 1;
                true
            }
            Admission::Queued => false,
            Admission::Rejected => {
                self.reject_busy(number);
                false
            }
        }
    }

    fn send_page(&mut self, number: SessionNumber, page: Page<R>, now: Ms) {
        let bytes = page.size();
        self.copies.tokens.consume(bytes);
        self.counters.difference_bytes += bytes as u64;
        let is_complete = page.is_last && self.finish_round(number);
        let Some(session) = self.sessions.get_mut(&number) else { return };
        let Stage::Copying(copying) = &mut session.stage else { return };
        let mut last = None;
        if is_complete {
            last = Some(self.start.at(copying.base));
            session.stage = Stage::Following(ChangeStream::from(copying.base));
            self.counters.differences += 1;
        } else {
            copying.after = page.records.last().map(|record| record.key().clone()).filter(|_| !page.is_last);
        }
        session.unconfirmed_page_since = Some(now);
        self.send(number, ControlMessage::Difference { records: page.records, last }, now);
    }

    /// Returns whether the change stream can resume after the last page. If not, changes since the comparison have
    /// dropped out of the history, and another round starts with the buckets that have changed since then.
    fn finish_round(&mut self, number: SessionNumber) -> bool {
        let Some(session) = self.sessions.get_mut(&number) else { return false };
        let Stage::Copying(copying) = &mut session.stage else { return false };
        if self.history.covers(copying.base) {
            return true;
        }
        let base = copying.base;
        let changed = |bucket: &BucketNumber| self.bucket_changed[usize::from(bucket.0)] > base;
        copying.buckets = BucketNumber::all().filter(changed).collect();
        copying.base = self.history.revision();
        false
    }
}
