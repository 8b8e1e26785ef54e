//! A control node's report on its followers.
use crate::{Ms, Position};

/// The stage of a follower's connection, as the control node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerStage {
    /// The follower hasn't sent [`FollowerMessage::Hello`](crate::FollowerMessage::Hello) yet.
    Greeting,
    /// The follower's buckets are being compared, or it waits for a page or for a free copy slot.
    Comparing,
    /// The follower is being sent the records that differ.
    Copying,
    /// The follower is sent changes as they occur.
    Following,
}

/// How far a connected follower lags behind the control node.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerLag {
    /// The follower's name.
    pub node: String,
    /// The stage of its connection.
    pub stage: FollowerStage,
    /// The position that the follower acknowledged as on disk, in this control node's incarnation; `None` until it has
    /// caught up once since it connected.
    pub applied: Option<Position>,
    /// Number of changes that the follower hasn't acknowledged; all of them if `applied` is `None`.
    pub behind: u64,
    /// Number of the 256 buckets with records that the follower left out, for want of room; 0 if it left out none.
    pub left_out_buckets: u16,
    /// For how long the follower hasn't been up to date, in milliseconds; 0 if it is.
    pub behind_ms: Ms,
    /// Time since the last message from the follower, in milliseconds.
    pub silent_ms: Ms,
}

/// Counters of a feed since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedCounters {
    /// Connections whose change stream resumed at the follower's position.
    pub resumes: u64,
    /// Requests for a follower's bucket hashes.
    pub comparisons: u64,
    /// Differences that were sent completely.
    pub differences: u64,
    /// Copies that were started, that is differences of more than one page.
    pub copies: u64,
    /// Bytes of records sent in differences.
    pub difference_bytes: u64,
    /// Changes sent, counted once per follower.
    pub changes: u64,
    /// Answers to requests for records that a follower left out.
    pub repairs: u64,
    /// Bytes of records sent in these answers.
    pub repair_bytes: u64,
    /// Followers rejected with [`ControlMessage::Busy`](crate::ControlMessage::Busy).
    pub busy: u64,
    /// Connected followers whose position dropped out of the history.
    pub compacted: u64,
}
