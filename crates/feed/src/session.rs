//! A control node's connection to one follower.
use crate::repair::RepairRequest;
use crate::{BucketSet, FeedLimits, FollowerStage, Ms};
use std::collections::VecDeque;
use std::sync::Arc;

/// The state of one connection.
#[derive(Debug)]
pub(crate) struct Session {
    /// The follower's name, once it has sent its hello.
    pub node: Option<String>,
    /// When the last message from the follower was received.
    pub last_received: Ms,
    pub last_sent: Ms,
    pub stage: Stage,
    /// The revision that the follower has acknowledged as on disk.
    pub applied: Option<u64>,
    /// The number of buckets with records that the follower left out.
    pub left_out_buckets: u16,
    /// Whether the follower was told that it may ask for these records.
    pub is_repair_offered: bool,
    /// A request for records that the follower left out, until it is answered.
    pub repair: Option<RepairRequest>,
    /// Since when the follower hasn't been up to date.
    pub behind_since: Option<Ms>,
    /// Whether the session counts towards the limit of concurrent copies.
    pub holds_copy_slot: bool,
    /// When the page was sent that the follower hasn't confirmed yet.
    pub unconfirmed_page_since: Option<Ms>,
}

/// The protocol stage of a connection.
#[derive(Debug)]
pub(crate) enum Stage {
    AwaitingHello,
    AwaitingBuckets,
    Copying(Copying),
    Following(ChangeStream),
}

/// The progress of sending a difference.
#[derive(Debug)]
pub(crate) struct Copying {
    pub buckets: BucketSet,
    /// The last key that was sent; `None` before the first page of a round.
    pub after: Option<Arc<str>>,
    /// The revision at which the change stream resumes afterwards.
    pub base: u64,
}

/// The state of a change stream: what was sent, and what of that isn't acknowledged yet.
#[derive(Debug)]
pub(crate) struct ChangeStream {
    /// The revision up to which changes were sent.
    pub sent: u64,
    /// The revision at which the stream started.
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
            last_received: now,
            last_sent: now,
            stage: Stage::AwaitingHello,
            applied: None,
            left_out_buckets: 0,
            is_repair_offered: false,
            repair: None,
            behind_since: Some(now),
            holds_copy_slot: false,
            unconfirmed_page_since: None,
        }
    }

    /// Records the revision that the follower has on disk; `revision` is the control node's current one.
    pub fn acknowledge(&mut self, applied: u64, revision: u64) {
        self.applied = Some(applied);
        if applied == revision {
            self.behind_since = None;
        }
    }

    /// When the next heartbeat is due; `None` before the follower has sent its hello.
    pub fn heartbeat_at(&self, limits: &FeedLimits) -> Option<Ms> {
        let awaits_hello = matches!(self.stage, Stage::AwaitingHello);
        (!awaits_hello).then_some(self.last_sent + limits.heartbeat_ms)
    }

    /// When the next heartbeat or timeout of this session is due.
    pub fn next_wakeup(&self, limits: &FeedLimits) -> Ms {
        let silence = Some(self.last_received + limits.silence_ms);
        let heartbeat = self.heartbeat_at(limits);
        let stall =
            self.unconfirmed_page_since.filter(|_| self.holds_copy_slot).map(|since| since + limits.stall_ms);
        silence.into_iter().chain(heartbeat).chain(stall).fold(Ms::MAX, Ms::min)
    }

    /// Whether the session holds a copy slot, which keeps other followers waiting, and hasn't confirmed a page for
    /// `longer_than`.
    pub fn is_stalled(&self, longer_than: Ms, now: Ms) -> bool {
        self.holds_copy_slot && self.unconfirmed_page_since.is_some_and(|since| since + longer_than <= now)
    }

    pub fn reported_stage(&self) -> FollowerStage {
        match &self.stage {
            Stage::AwaitingHello => FollowerStage::Greeting,
            Stage::AwaitingBuckets => FollowerStage::Comparing,
            Stage::Copying(_) if self.unconfirmed_page_since.is_some() => FollowerStage::Copying,
            Stage::Copying(_) => FollowerStage::Comparing,
            Stage::Following(_) => FollowerStage::Following,
        }
    }
}

impl ChangeStream {
    pub fn from(revision: u64) -> Self {
        ChangeStream { sent: revision, base: revision, unacknowledged: VecDeque::new(), changes: 0, bytes: 0 }
    }

    /// How many more changes the follower may be sent before it acknowledges some.
    pub fn remaining_window(&self, limits: &FeedLimits) -> usize {
        if self.bytes >= limits.window_bytes {
            return 0;
        }
        limits.window.max(1).saturating_sub(self.changes)
    }

    pub fn record_sent(&mut self, upto: u64, changes: usize, bytes: usize) {
        self.sent = upto;
        self.changes += changes;
        self.bytes += bytes;
        self.unacknowledged.push_back(SentChanges { upto, changes, bytes });
    }

    pub fn record_applied(&mut self, revision: u64) {
        while let Some(oldest) = self.unacknowledged.pop_front_if(|oldest| oldest.upto <= revision) {
            self.changes -= oldest.changes;
            self.bytes -= oldest.bytes;
        }
    }
}
