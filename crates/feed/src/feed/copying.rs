//! Differences: what a follower is sent whose stream can't go on.
use super::{Feed, SessionNumber};
use crate::copies::Admission;
use crate::session::{Copying, Session, Stage, Stream};
use crate::{
    BucketHashes, BucketNumber, BucketSet, CloseReason, ControlMessage, FeedRecord, Ms, Page, Records,
};

impl<R: FeedRecord> Feed<R> {
    pub(super) fn ask_buckets(&mut self, number: SessionNumber, now: Ms) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        session.stage = Stage::AwaitingBuckets;
        self.counters.comparisons += 1;
        self.send(number, ControlMessage::SendBuckets, now);
    }

    /// Begins to send what differs. Everything that the follower holds in equal buckets is as new as this moment's
    /// revision, so the stream can go on from there once the other buckets were sent.
    pub(super) fn compare(
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
            self.copies.ask_page(number);
        }
    }

    /// The follower has a page on disk and asks for the next.
    pub(super) fn confirm_page(&mut self, number: SessionNumber) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        let is_copying = matches!(session.stage, Stage::Copying(_));
        if is_copying && session.page_out_since.take().is_some() {
            self.copies.ask_page(number);
        } else {
            self.close(number, CloseReason::Unexpected);
        }
    }

    /// Sends pages to those who wait for one, for as long as the bytes a second allow.
    pub(super) fn send_pages(&mut self, records: &impl Records<R>, now: Ms) {
        while let Some(number) = self.copies.next_page(now) {
            let Some(session) = self.sessions.get(&number) else { continue };
            let Stage::Copying(copying) = &session.stage else { continue };
            let page = records.page(&copying.buckets, copying.after.as_deref(), self.limits.page_bytes);
            // A difference that fits one page is no copy.
            let needs_slot = !page.is_last && !session.holds_copy_slot;
            if !needs_slot || self.begin_copy(number) {
                self.send_page(number, page, now);
                self.send_changes(number, records, now);
            }
        }
    }

    /// Gives up the place of a follower among the copies at a time, where it has one.
    pub(super) fn end_copy(&mut self, session: &mut Session) {
        if !std::mem::take(&mut session.holds_copy_slot) {
            return;
        }
        let Some(next) = self.copies.end() else { return };
        if let Some(admitted) = self.sessions.get_mut(&next) {
            admitted.holds_copy_slot = true;
            self.counters.copies += 1;
            self.copies.ask_page(next);
        }
    }

    /// Whether a follower may be sent a copy now; otherwise it waits or is turned away.
    fn begin_copy(&mut self, number: SessionNumber) -> bool {
        match self.copies.begin(number) {
            Admission::Admitted => {
                if let Some(session) = self.sessions.get_mut(&number) {
                    session.holds_copy_slot = true;
                }
                self.counters.copies += 1;
                true
            }
            Admission::Waits => false,
            Admission::Refused => {
                self.refuse(number);
                false
            }
        }
    }

    fn send_page(&mut self, number: SessionNumber, page: Page<R>, now: Ms) {
        let bytes = page.size();
        self.copies.tokens.take(bytes);
        self.counters.difference_bytes += bytes as u64;
        let is_complete = page.is_last && self.finish_round(number);
        let Some(session) = self.sessions.get_mut(&number) else { return };
        let Stage::Copying(copying) = &mut session.stage else { return };
        let mut last = None;
        if is_complete {
            last = Some(self.start.at(copying.base));
            session.stage = Stage::Following(Stream::from(copying.base));
            self.counters.differences += 1;
        } else {
            copying.after = page.records.last().map(|record| record.key().clone()).filter(|_| !page.is_last);
        }
        session.page_out_since = Some(now);
        self.send(number, ControlMessage::Difference { records: page.records, last }, now);
    }

    /// Whether the stream can go on after the last page. Otherwise the changes since the comparison were forgotten, and
    /// another round begins with the buckets that they fell into.
    fn finish_round(&mut self, number: SessionNumber) -> bool {
        let Some(session) = self.sessions.get_mut(&number) else { return false };
        let Stage::Copying(copying) = &mut session.stage else { return false };
        if self.history.reaches(copying.base) {
            return true;
        }
        let base = copying.base;
        let changed = |bucket: &BucketNumber| self.bucket_changed[usize::from(bucket.0)] > base;
        copying.buckets = BucketNumber::all().filter(changed).collect();
        copying.base = self.history.revision();
        false
    }
}
