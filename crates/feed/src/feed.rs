//! A control node's side of the feed.
mod copying;
mod streaming;

use crate::copies::CopyQueue;
use crate::session::{Session, Stage};
use crate::{
    BucketNumber, ChangeHistory, ControlMessage, FeedCounters, FeedLimits, FeedRecord, FollowerLag,
    FollowerMessage, Ms, Position, Records, TokenBucket, BUCKETS,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Longest name of a follower, in bytes.
const LONGEST_NAME: usize = 256;

/// Tells the connections of a control node apart. The caller never uses one twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionNumber(pub u64);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// There is no place for the follower.
    Busy,
    /// It hasn't been heard for too long.
    Silent,
    /// It has connected anew.
    Replaced,
    /// It keeps a place among the copies and doesn't confirm what it was sent.
    Stalled,
    /// It said what doesn't fit.
    Unexpected,
}

/// What the caller is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedAction<R> {
    /// Send a message.
    Send {
        /// To whom.
        session: SessionNumber,
        /// What.
        message: ControlMessage<R>,
    },
    /// Close a connection, after what was sent to it before. It is forgotten already;
    /// [`Feed::disconnected`] need not be called.
    Close {
        /// Which one.
        session: SessionNumber,
        /// Why.
        reason: CloseReason,
    },
}

/// Sends followers the changes of a control node's records.
///
/// The caller passes on what happens, then carries out [`actions`](Self::actions), and calls [`tick`](Self::tick) once
/// [`next_wakeup`](Self::next_wakeup) is reached and after changes.
#[derive(Debug)]
pub struct Feed<R> {
    limits: FeedLimits,
    start: Position,
    history: ChangeHistory,
    /// The revision at which each bucket changed last.
    bucket_changed: [u64; BUCKETS],
    sessions: BTreeMap<SessionNumber, Session>,
    copies: CopyQueue,
    /// Whether there are changes that nobody was sent.
    has_unsent: bool,
    actions: Vec<FeedAction<R>>,
    counters: FeedCounters,
}

impl<R: FeedRecord> Feed<R> {
    /// A feed that begins at `start` (see [`Position::start`]): what the records hold by then counts as no change.
    pub fn new(limits: FeedLimits, start: Position, now: Ms) -> Self {
        let tokens = TokenBucket::new(limits.bytes_per_s, now);
        Feed {
            start,
            history: ChangeHistory::new(limits.history),
            bucket_changed: [0; BUCKETS],
            sessions: BTreeMap::new(),
            copies: CopyQueue::new(limits.full_copies, limits.waiting_copies, tokens),
            has_unsent: false,
            actions: Vec::new(),
            counters: FeedCounters::default(),
            limits,
        }
    }

    /// The position after the last change.
    pub fn position(&self) -> Position {
        self.start.at(self.history.revision())
    }

    /// The record of a key was changed, by whomever. [`Records`] show the new one already. It goes out with the next
    /// [`tick`](Self::tick).
    pub fn changed(&mut self, key: &Arc<str>, now: Ms) -> Position {
        let revision = self.history.push(key);
        self.bucket_changed[usize::from(BucketNumber::of(key).0)] = revision;
        self.has_unsent = true;
        for session in self.sessions.values_mut() {
            session.behind_since.get_or_insert(now);
        }
        self.position()
    }

    /// A follower has connected.
    pub fn connected(&mut self, number: SessionNumber, now: Ms) {
        if self.sessions.len() >= self.limits.followers {
            self.refuse(number);
            return;
        }
        self.sessions.insert(number, Session::new(now));
    }

    /// A follower has closed its connection, or it broke.
    pub fn disconnected(&mut self, number: SessionNumber) {
        self.remove(number);
    }

    /// A follower has said something. What a connection says that was closed is ignored.
    pub fn message(
        &mut self,
        number: SessionNumber,
        message: FollowerMessage,
        records: &impl Records<R>,
        now: Ms,
    ) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        session.last_heard = now;
        match message {
            FollowerMessage::Hello { node, position } => self.greet(number, node, position, now),
            FollowerMessage::Buckets { hashes } => self.compare(number, &hashes, records, now),
            FollowerMessage::NextPage => self.confirm_page(number),
            FollowerMessage::Applied { position } => self.applied(number, position),
        }
        self.send_changes(number, records, now);
        self.send_pages(records, now);
    }

    /// Does what is due: sends changes, pages and heartbeats, and closes the connections of silent followers.
    pub fn tick(&mut self, records: &impl Records<R>, now: Ms) {
        self.close_silent(now);
        if std::mem::take(&mut self.has_unsent) {
            let numbers: Vec<SessionNumber> = self.sessions.keys().copied().collect();
            for number in numbers {
                self.send_changes(number, records, now);
            }
        }
        self.send_pages(records, now);
        self.send_heartbeats(now);
    }

    /// When [`tick`](Self::tick) is to be called at the latest; nothing while there is nothing to wait for.
    pub fn next_wakeup(&self) -> Option<Ms> {
        if self.has_unsent && !self.sessions.is_empty() {
            return Some(Ms::MIN);
        }
        let of_sessions = self.sessions.values().map(|session| session.next_wakeup(&self.limits));
        of_sessions.chain(self.copies.next_page_at()).reduce(Ms::min)
    }

    /// Takes what is to be done.
    pub fn actions(&mut self) -> Vec<FeedAction<R>> {
        std::mem::take(&mut self.actions)
    }

    /// All followers that said who they are, and how far each is behind.
    pub fn followers(&self, now: Ms) -> Vec<FollowerLag> {
        self.sessions.values().filter_map(|session| self.lag_of(session, now)).collect()
    }

    /// The follower that is the most changes behind.
    pub fn oldest(&self, now: Ms) -> Option<FollowerLag> {
        self.followers(now).into_iter().max_by_key(|lag| lag.behind)
    }

    /// The followers that haven't been up to date for longer than so many milliseconds.
    pub fn laggards(&self, longer_than: Ms, now: Ms) -> Vec<FollowerLag> {
        self.followers(now).into_iter().filter(|lag| lag.behind_ms > longer_than).collect()
    }

    /// The number of connections.
    pub fn connections(&self) -> usize {
        self.sessions.len()
    }

    /// Copies of more than one page that are being made, and followers that wait for one.
    pub fn copies(&self) -> (usize, usize) {
        (self.copies.running(), self.copies.waiting())
    }

    /// What was done since the start.
    pub fn counters(&self) -> FeedCounters {
        self.counters
    }

    fn greet(&mut self, number: SessionNumber, node: String, position: Option<Position>, now: Ms) {
        let is_greeting = matches!(self.sessions.get(&number), Some(Session { stage: Stage::Greeting, .. }));
        if !is_greeting || node.len() > LONGEST_NAME {
            self.close(number, CloseReason::Unexpected);
            return;
        }
        let same_node = |entry: &(&SessionNumber, &Session)| entry.1.node.as_ref() == Some(&node);
        if let Some(older) = self.sessions.iter().find(same_node).map(|entry| *entry.0) {
            self.close(older, CloseReason::Replaced);
        }
        if let Some(session) = self.sessions.get_mut(&number) {
            session.node = Some(node);
        }
        match self.resumable(position) {
            Some(revision) => self.resume(number, revision, now),
            None => self.ask_buckets(number, now),
        }
    }

    fn close_silent(&mut self, now: Ms) {
        let FeedLimits { silence_ms, stall_ms, .. } = self.limits;
        let mut ended = Vec::new();
        for (number, session) in &self.sessions {
            if session.last_heard + silence_ms <= now {
                ended.push((*number, CloseReason::Silent));
            } else if session.is_stalled(stall_ms, now) {
                ended.push((*number, CloseReason::Stalled));
            }
        }
        for (number, reason) in ended {
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

    fn refuse(&mut self, number: SessionNumber) {
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
        self.copies.forget(number);
        self.end_copy(&mut session);
    }

    fn lag_of(&self, session: &Session, now: Ms) -> Option<FollowerLag> {
        let revision = self.history.revision();
        Some(FollowerLag {
            node: session.node.clone()?,
            stage: session.reported_stage(),
            applied: session.applied.map(|applied| self.start.at(applied)),
            behind: revision - session.applied.unwrap_or(0),
            behind_ms: session.behind_since.map_or(0.0, |since| now - since),
            silent_ms: now - session.last_heard,
        })
    }
}
