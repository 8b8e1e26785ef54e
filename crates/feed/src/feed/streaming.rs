//! The stream of changes, from the history.
use super::{CloseReason, Feed, SessionNumber};
use crate::session::{Stage, Stream};
use crate::{ControlMessage, FeedRecord, Ms, Position, Records};

/// Some of the changes behind a revision.
struct Changes<R> {
    upto: u64,
    records: Vec<R>,
    bytes: usize,
}

impl<R: FeedRecord> Feed<R> {
    /// The revision from which a stream can go on at this position.
    pub(super) fn resumable(&self, position: Option<Position>) -> Option<u64> {
        let position = position?;
        position.behind(self.position())?;
        self.history.reaches(position.revision).then_some(position.revision)
    }

    /// Goes on from where the follower was. Where there is nothing to send, a heartbeat tells it so.
    pub(super) fn resume(&mut self, number: SessionNumber, revision: u64, now: Ms) {
        let head = self.history.revision();
        let Some(session) = self.sessions.get_mut(&number) else { return };
        session.stage = Stage::Following(Stream::from(revision));
        session.acknowledge(revision, head);
        self.counters.resumes += 1;
        if revision == head {
            self.send_heartbeat(number, now);
        }
    }

    /// The follower has told what it holds on disk.
    pub(super) fn applied(&mut self, number: SessionNumber, position: Option<Position>) {
        // What counts in the numbers of another control node says nothing here: the follower is still comparing.
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
                stream.note_applied(position.revision);
                let is_copied = position.revision >= stream.base;
                session.acknowledge(position.revision, head);
                if is_copied {
                    session.page_out_since = None;
                    self.end_copy(&mut session);
                }
            }
        }
        self.sessions.insert(number, session);
        if !is_expected {
            self.close(number, CloseReason::Unexpected);
        }
    }

    /// Sends a follower the changes that it lacks, as far as its window allows.
    pub(super) fn send_changes(&mut self, number: SessionNumber, records: &impl Records<R>, now: Ms) {
        let head = self.history.revision();
        loop {
            let Some(session) = self.sessions.get_mut(&number) else { return };
            let Stage::Following(stream) = &mut session.stage else { return };
            let (sent, room) = (stream.sent, stream.room(&self.limits));
            if sent == head || room == 0 {
                return;
            }
            let Some(changes) = self.read_changes(sent, room, records) else {
                self.counters.compacted += 1;
                self.ask_buckets(number, now);
                return;
            };
            self.send_page_of_changes(number, sent, changes, now);
        }
    }

    fn send_page_of_changes(&mut self, number: SessionNumber, sent: u64, changes: Changes<R>, now: Ms) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        if let Stage::Following(stream) = &mut session.stage {
            stream.note_sent(changes.upto, changes.records.len(), changes.bytes);
        }
        self.counters.changes += changes.records.len() as u64;
        let after = self.start.at(sent);
        let message = ControlMessage::Changes { after, upto: changes.upto, records: changes.records };
        self.send(number, message, now);
    }

    /// The next changes behind a revision, at most `most` of them and a page; nothing where they were forgotten.
    fn read_changes(&self, sent: u64, most: usize, records: &impl Records<R>) -> Option<Changes<R>> {
        let mut changes = Changes { upto: sent, records: Vec::new(), bytes: 0 };
        for (revision, key) in self.history.since(sent).ok()? {
            let record = records.get(key);
            let size = record.as_ref().map_or(0, FeedRecord::size);
            let is_full = changes.records.len() == most || changes.bytes + size > self.limits.page_bytes;
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
