//! Sends the stream of changes from the history.
use super::{CloseReason, Feed, SessionNumber};
use crate::session::{ChangeStream, Stage};
use crate::{ControlMessage, FeedRecord, Ms, Position, Records};

/// A batch of changes after a revision.
struct ChangeBatch<R> {
    upto: u64,
    records: Vec<R>,
    bytes: usize,
}

impl<R: FeedRecord> Feed<R> {
    /// The revision at which the change stream can resume for a follower at this position, if it can.
    pub(super) fn resumable_revision(&self, position: Option<Position>) -> Option<u64> {
        let position = position?;
        position.behind(self.position())?;
        self.history.covers(position.revision).then_some(position.revision)
    }

    /// Resumes the stream at the follower's revision. If the follower is up to date, a heartbeat tells it so.
    pub(super) fn resume(&mut self, number: SessionNumber, revision: u64, now: Ms) {
        let head = self.history.revision();
        let Some(session) = self.sessions.get_mut(&number) else { return };
        session.stage = Stage::Following(ChangeStream::from(revision));
        session.acknowledge(revision, head);
        self.counters.resumes += 1;
        if revision == head {
            self.send_heartbeat(number, now);
        }
    }

    /// Handles an acknowledgement of the position that the follower has on disk.
    pub(super) fn handle_applied(
        &mut self,
        number: SessionNumber,
        position: Option<Position>,
        left_out_buckets: u16,
        now: Ms,
    ) {
        self.note_left_out(number, left_out_buckets, now);
        // A position of another control node's incarnation can't be compared with this feed's: the follower is still
        // comparing buckets.
        let Some(position) = position.filter(|position| position.incarnation == self.start.incarnation)
        else {
            return;
        };
        let head = self.history.revision();
        let Some(mut session) = self.sessions.remove(&number) else { return };
        let mut is_expected = true;
        if let Stage::Following(stream) = &mut session.stage {
            is_expected = position.revision <= stream.sent;
            if is_expected {
                stream.record_applied(position.revision);
                let copy_is_on_disk = position.revision >= stream.base;
                session.acknowledge(position.revision, head);
                if copy_is_on_disk {
                    session.unconfirmed_page_since = None;
                    self.release_copy_slot(&mut session);
                }
            }
        }
        self.sessions.insert(number, session);
        if !is_expected {
            self.close(number, CloseReason::Unexpected);
        }
    }

    /// Sends a follower the changes that it is missing, as far as its window allows.
    pub(super) fn send_changes(&mut self, number: SessionNumber, records: &impl Records<R>, now: Ms) {
        let head = self.history.revision();
        loop {
            let Some(session) = self.sessions.get_mut(&number) else { return };
            let Stage::Following(stream) = &mut session.stage else { return };
            let (sent, window) = (stream.sent, stream.remaining_window(&self.limits));
            if sent == head || window == 0 {
                return;
            }
            let Some(changes) = self.read_changes(sent, window, records) else {
                self.counters.compacted += 1;
                self.request_buckets(number, now);
                return;
            };
            self.send_change_batch(number, sent, changes, now);
        }
    }

    fn send_change_batch(&mut self, number: SessionNumber, sent: u64, changes: ChangeBatch<R>, now: Ms) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        if let Stage::Following(stream) = &mut session.stage {
            stream.record_sent(changes.upto, changes.records.len(), changes.bytes);
        }
        self.counters.changes += changes.records.len() as u64;
        let after = self.start.at(sent);
        let message = ControlMessage::Changes { after, upto: changes.upto, records: changes.records };
        self.send(number, message, now);
    }

    /// The next changes after a revision, at most `max_changes` and at most a page; `None` if they dropped out of the
    /// history.
    fn read_changes(
        &self,
        sent: u64,
        max_changes: usize,
        records: &impl Records<R>,
    ) -> Option<ChangeBatch<R>> {
        let mut changes = ChangeBatch { upto: sent, records: Vec::new(), bytes: 0 };
        for (revision, key) in self.history.since(sent).ok()? {
            let record = records.get(key);
            let size = record.as_ref().map_or(0, FeedRecord::size);
            let is_full =
                changes.records.len() == max_changes || changes.bytes + size > self.limits.page_bytes;
            if is_full && !changes.records.is_empty() {
                break;
            }
            changes.upto = revision;
            changes.bytes += size;
            changes.records.extend(record);
        }
        Some(changes)
    }
}
