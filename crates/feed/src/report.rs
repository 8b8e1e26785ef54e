//! What a control node knows of its followers.
use crate::{Ms, Position};

/// Where a control node is with a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerStage {
    /// It hasn't said who it is.
    Greeting,
    /// Its buckets are being compared, or it waits for a copy.
    Comparing,
    /// It is being sent the records that differ.
    Copying,
    /// It is sent changes as they come.
    Following,
}

/// How far a connected follower is behind.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerLag {
    /// Its name.
    pub node: String,
    /// Where the control node is with it.
    pub stage: FollowerStage,
    /// What it holds on disk, in the control node's numbering; nothing where it hasn't caught up since it connected.
    pub applied: Option<Position>,
    /// Changes that it has not acknowledged; all of them where `applied` is nothing.
    pub behind: u64,
    /// For how many milliseconds it hasn't been up to date.
    pub behind_ms: Ms,
    /// How many milliseconds ago it was last heard.
    pub silent_ms: Ms,
}

/// What a feed has done since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedCounters {
    /// Followers whose stream went on from their position.
    pub resumes: u64,
    /// Followers whose buckets were asked for.
    pub comparisons: u64,
    /// Comparisons that came to their end.
    pub differences: u64,
    /// Copies of more than one page that were begun.
    pub copies: u64,
    /// Bytes of records in differences.
    pub difference_bytes: u64,
    /// Changes sent, counted once for each follower.
    pub changes: u64,
    /// Followers turned away.
    pub busy: u64,
    /// Followers whose position was forgotten while they were connected.
    pub compacted: u64,
}
