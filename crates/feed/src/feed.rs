//! The control node's side of the feed.
mod copying;
mod repairing;
mod streaming;

use crate::copies::CopyQueue;
use crate::repair::RepairRequest;
use crate::session::{Session, Stage};
use crate::{
    BucketNumber, ChangeHistory, ControlMessage, FeedCounters, FeedLimits, FeedRecord, FollowerLag,
    FollowerMessage, Ms, Position, Records, TokenBucket, BUCKETS,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum length of a follower's name, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Identifies a connection of a control node. The caller never reuses a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionNumber(pub u64);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The control node has no capacity for the follower.
    Busy,
    /// The follower sent no message for [`FeedLimits::silence_ms`].
    Silent,
    /// The follower opened a new connection.
    Replaced,
    /// The follower holds a copy slot and didn't confirm a page for [`FeedLimits::stall_ms`].
    Stalled,
    /// The follower sent a message that violates the protocol.
    Unexpected,
}

/// An action for the caller to carry out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedAction<R> {
    /// Send a message.
    Send {
        /// The connection to send it on.
        session: SessionNumber,
        /// The message.
        message: ControlMessage<R>,
    },
    /// Close a connection, after sending the earlier messages to it. The feed has removed the session already;
    /// [`Feed::disconnected`] need not be called.
    Close {
        /// The connection to close.
        session: SessionNumber,
        /// The reason.
        reason: CloseReason,
    },
}

/// Sends followers the changes of a control node's records.
///
/// The caller reports events, then carries out the [`actions`](Self::actions), and calls [`tick`](Self::tick) once
/// [`next_wakeup`](Self::next_wakeup) is reached and after changes.
#[derive(Debug)]
pub struct Feed<R> {
    limits: FeedLimits,
    start: Position,
    history: ChangeHistory,
    /// The revision of the last change in each bucket.
    bucket_changed: [u64; BUCKETS],
    sessions: BTreeMap<SessionNumber, Session>,
    copies: CopyQueue,
    /// Whether records changed since the last tick, so that followers may have changes to be sent.
    has_unsent_changes: bool,
    actions: Vec<FeedAction<R>>,
    counters: FeedCounters,
}

impl<R: FeedRecord> Feed<R> {
    /// A feed that begins at the position `start` (see [`Position::start`]); records that exist by then don't count as
    /// changes. `now` is in milliseconds.
    pub fn new(limits: FeedLimits, start: Position, now: Ms) -> Self {
        let tokens = TokenBucket::new(limits.bytes_per_s, now);
        Feed {
            start,
            history: ChangeHistory::new(limits.history),
            bucket_changed: [0; BUCKETS],
            sessions: BTreeMap::new(),
            copies: CopyQueue::new(limits.full_copies, limits.waiting_copies, tokens),
            has_unsent_changes: false,
            actions: Vec::new(),
            counters: FeedCounters::default(),
            limits,
        }
    }

    /// The position after the last change.
    pub fn position(&self) -> Position {
        self.start.at(self.history.revision())
    }

    /// Reports that the record of a key changed, whatever the source of the change. [`Records`] must return the new
    /// record already. The change is sent with the next [`tick`](Self::tick).
    pub fn changed(&mut self, key: &Arc<str>, now: Ms) -> Position {
        let revision = self.history.record_change(key);
        self.bucket_changed[usize::from(BucketNumber::of(key).0)] = revision;
        self.has_unsent_changes = true;
        for session in self.sessions.values_mut() {
            session.behind_since.get_or_insert(now);
        }
        self.position()
    }

    /// Reports that a follower has connected.
    pub fn connected(&mut self, number: SessionNumber, now: Ms) {
        if self.sessions.len() >= self.limits.followers {
            self.reject_busy(number);
            return;
        }
        self.sessions.insert(number, Session::new(now));
    }

    /// Reports that a follower's connection was closed by the follower or broke.
    pub fn disconnected(&mut self, number: SessionNumber) {
        self.remove(number);
    }

    /// Handles a message from a follower. Messages on a closed connection are ignored.
    pub fn message(
        &mut self,
        number: SessionNumber,
        message: FollowerMessage,
        records: &impl Records<R>,
        now: Ms,
    ) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        session.last_received = now;
        match message {
            FollowerMessage::Hello { node, position } => self.handle_hello(number, node, position, now),
            FollowerMessage::Buckets { hashes } => self.handle_buckets(number, &hashes, records, now),
            FollowerMessage::NextPage => self.handle_next_page(number),
            FollowerMessage::Applied { position, left_out_buckets } => {
                self.handle_applied(number, position, left_out_buckets, now);
            }
            FollowerMessage::Repair { bucket, held, max_bytes } => {
                let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
                self.handle_repair(number, RepairRequest { bucket, held, max_bytes });
            }
        }
        self.send_changes(number, records, now);
        self.send_pages(records, now);
    }

    /// Performs what is due: sends changes, pages and heartbeats, and closes the connections of followers that timed
    /// out.
    pub fn tick(&mut self, records: &impl Records<R>, now: Ms) {
        self.close_timed_out(now);
        if std::mem::take(&mut self.has_unsent_changes) {
            let numbers: Vec<SessionNumber> = self.sessions.keys().copied().collect();
            for number in numbers {
                self.send_changes(number, records, now);
            }
        }
        self.send_pages(records, now);
        self.send_heartbeats(now);
    }

    /// The latest time at which [`tick`](Self::tick) must be called, in milliseconds; `None` while nothing is due.
    pub fn next_wakeup(&self) -> Option<Ms> {
        if self.has_unsent_changes && !self.sessions.is_empty() {
            return Some(Ms::MIN);
        }
        let session_wakeups = self.sessions.values().map(|session| session.next_wakeup(&self.limits));
        session_wakeups.chain(self.copies.next_page_at()).reduce(Ms::min)
    }

    /// Takes the pending actions.
    pub fn actions(&mut self) -> Vec<FeedAction<R>> {
        std::mem::take(&mut self.actions)
    }

    /// The lag of each follower that has sent its name.
    pub fn followers(&self, now: Ms) -> Vec<FollowerLag> {
        self.sessions.values().filter_map(|session| self.lag_of(session, now)).collect()
    }

    /// The follower with the most unacknowledged changes.
    pub fn oldest(&self, now: Ms) -> Option<FollowerLag> {
        self.followers(now).into_iter().max_by_key(|lag| lag.behind)
    }

    /// The followers that haven't been up to date for longer than `longer_than`, in milliseconds.
    pub fn laggards(&self, longer_than: Ms, now: Ms) -> Vec<FollowerLag> {
        self.followers(now).into_iter().filter(|lag| lag.behind_ms > longer_than).collect()
    }

    /// The number of connections.
    pub fn connections(&self) -> usize {
        self.sessions.len()
    }

    /// The number of running copies (differences of more than one page), and of followers that wait for one.
    pub fn copies(&self) -> (usize, usize) {
        (self.copies.running(), self.copies.waiting())
    }

    /// The counters since the feed was created.
    pub fn counters(&self) -> FeedCounters {
        self.counters
    }

    fn handle_hello(&mut self, number: SessionNumber, node: String, position: Option<Position>, now: Ms) {
        let awaits_hello =
            matches!(self.sessions.get(&number), Some(Session { stage: Stage::AwaitingHello, .. }));
        if !awaits_hello || node.len() > MAX_NAME_BYTES {
            self.close(number, CloseReason::Unexpected);
            return;
        }
        let has_same_node = |entry: &(&SessionNumber, &Session)| entry.1.node.as_ref() == Some(&node);
        if let Some(older) = self.sessions.iter().find(has_same_node).map(|entry| *entry.0) {
            self.close(older, CloseReason::Replaced);
        }
        if let Some(session) = self.sessions.get_mut(&number) {
            session.node = Some(node);
        }
        match self.resumable_revision(position) {
            Some(revision) => self.resume(number, revision, now),
            None => self.request_buckets(number, now),
        }
    }

    fn close_timed_out(&mut self, now: Ms) {
        let FeedLimits { silence_ms, stall_ms, .. } = self.limits;
        let mut timed_out = Vec::new();
        for (number, session) in &self.sessions {
            if session.last_received + silence_ms <= now {
                timed_out.push((*number, CloseReason::Silent));
            } else if session.is_stalled(stall_ms, now) {
                timed_out.push((*number, CloseReason::Stalled));
            }
        }
        for (number, reason) in timed_out {
            self.close(number, reason);
        }
    }

    fn send_heartbeats(&mut self, now: Ms) {
        let is_due = |entry: &(&SessionNumber, &Session)| {
            entry.1.heartbeat_at(&self.limits).is_some_and(|due| due <= now)
        };
        let due: Vec<SessionNumber> = self.sessions.iter().filter(is_due).map(|entry| *entry.0).collect();
        for number in due {
            self.send_heartbeat(number, now);
        }
    }

    fn send_heartbeat(&mut self, number: SessionNumber, now: Ms) {
        let position = self.position();
        self.send(number, ControlMessage::Heartbeat { position }, now);
    }

    fn send(&mut self, number: SessionNumber, message: ControlMessage<R>, now: Ms) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        session.last_sent = now;
        self.actions.push(FeedAction::Send { session: number, message });
    }

    fn reject_busy(&mut self, number: SessionNumber) {
        self.counters.busy += 1;
        let message = ControlMessage::Busy { retry_after_ms: self.limits.retry_after_ms as u64 };
        self.actions.push(FeedAction::Send { session: number, message });
        self.close(number, CloseReason::Busy);
    }

    fn close(&mut self, number: SessionNumber, reason: CloseReason) {
        self.remove(number);
        self.actions.push(FeedAction::Close { session: number, reason });
    }

    fn remove(&mut self, number: SessionNumber) {
        let Some(mut session) = self.sessions.remove(&number) else { return };
        self.copies.remove_session(number);
        self.release_copy_slot(&mut session);
    }

    fn lag_of(&self, session: &Session, now: Ms) -> Option<FollowerLag> {
        let revision = self.history.revision();
        Some(FollowerLag {
            node: session.node.clone()?,
            stage: session.reported_stage(),
            applied: session.applied.map(|applied| self.start.at(applied)),
            left_out_buckets: session.left_out_buckets,
            behind: revision - session.applied.unwrap_or(0),
            behind_ms: session.behind_since.map_or(0.0, |since| now - since),
            silent_ms: now - session.last_received,
        })
    }
}
