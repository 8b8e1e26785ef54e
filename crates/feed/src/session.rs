//! A control node's connection to one follower.
use crate::{BucketSet, FeedLimits, FollowerStage, Ms};
use std::collections::VecDeque;
use std::sync::Arc;

/// One connection.
#[derive(Debug)]
pub(crate) struct Session {
    /// The follower's name, once it has said it.
    pub node: Option<String>,
    pub last_heard: Ms,
    pub last_sent: Ms,
    pub stage: Stage,
    /// The revision that it holds on disk.
    pub applied: Option<u64>,
    /// Since when it hasn't been up to date.
    pub behind_since: Option<Ms>,
    /// Whether it counts as one of the copies at a time.
    pub holds_copy_slot: bool,
    /// Since when it has had a page that it hasn't confirmed.
    pub page_out_since: Option<Ms>,
}

/// What is expected next of a follower.
#[derive(Debug)]
pub(crate) enum Stage {
    Greeting,
    AwaitingBuckets,
    Copying(Copying),
    Following(Stream),
}

/// How far a difference has been sent.
#[derive(Debug)]
pub(crate) struct Copying {
    pub buckets: BucketSet,
    /// The last key that was sent.
    pub after: Option<Arc<str>>,
    /// The revision at which the stream goes on afterwards.
    pub base: u64,
}

/// Changes that a follower was sent and has not acknowledged.
#[derive(Debug)]
pub(crate) struct Stream {
    /// The revision up to which it was sent changes.
    pub sent: u64,
    /// The revision at which it began.
    pub base: u64,
    unacknowledged: VecDeque<SentChanges>,
    changes: usize,
    bytes: usize,
}

#[derive(Debug)]
struct SentChanges {
    upto: u64,
    changes: usize,
    bytes: usize,
}

impl Session {
    pub fn new(now: Ms) -> Self {
        Session {
            node: None,
            last_heard: now,
            last_sent: now,
            stage: Stage::Greeting,
            applied: None,
            behind_since: Some(now),
            holds_copy_slot: false,
            page_out_since: None,
        }
    }

    /// Notes what it holds on disk, of the `revision` that the control node is at.
    pub fn acknowledge(&mut self, applied: u64, revision: u64) {
        self.applied = Some(applied);
        if applied == revision {
            self.behind_since = None;
        }
    }

    /// When it is to be sent a heartbeat: not before it has said who it is.
    pub fn heartbeat_at(&self, limits: &FeedLimits) -> Option<Ms> {
        let is_greeting = matches!(self.stage, Stage::Greeting);
        (!is_greeting).then_some(self.last_sent + limits.heartbeat_ms)
    }

    /// When something is due for it.
    pub fn next_wakeup(&self, limits: &FeedLimits) -> Ms {
        let silence = Some(self.last_heard + limits.silence_ms);
        let heartbeat = self.heartbeat_at(limits);
        let stall = self.page_out_since.filter(|_| self.holds_copy_slot).map(|since| since + limits.stall_ms);
        silence.into_iter().chain(heartbeat).chain(stall).fold(Ms::MAX, Ms::min)
    }

    /// Whether it keeps others from a copy and hasn't confirmed a page for so long.
    pub fn is_stalled(&self, longer_than: Ms, now: Ms) -> bool {
        self.holds_copy_slot && self.page_out_since.is_some_and(|since| since + longer_than <= now)
    }

    pub fn reported_stage(&self) -> FollowerStage {
        match &self.stage {
            Stage::Greeting => FollowerStage::Greeting,
            Stage::AwaitingBuckets => FollowerStage::Comparing,
            Stage::Copying(_) if self.page_out_since.is_some() => FollowerStage::Copying,
            Stage::Copying(_) => FollowerStage::Comparing,
            Stage::Following(_) => FollowerStage::Following,
        }
    }
}

impl Stream {
    pub fn from(revision: u64) -> Self {
        Stream { sent: revision, base: revision, unacknowledged: VecDeque::new(), changes: 0, bytes: 0 }
    }

    /// How many more changes it may be sent.
    pub fn room(&self, limits: &FeedLimits) -> usize {
        if self.bytes >= limits.window_bytes {
            return 0;
        }
        limits.window.max(1).saturating_sub(self.changes)
    }

    pub fn note_sent(&mut self, upto: u64, changes: usize, bytes: usize) {
        self.sent = upto;
        self.changes += changes;
        self.bytes += bytes;
        self.unacknowledged.push_back(SentChanges { upto, changes, bytes });
    }

    pub fn note_applied(&mut self, revision: u64) {
        while let Some(oldest) = self.unacknowledged.pop_front_if(|oldest| oldest.upto <= revision) {
            self.changes -= oldest.changes;
            self.bytes -= oldest.bytes;
        }
    }
}
