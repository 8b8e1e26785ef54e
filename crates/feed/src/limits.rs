//! What the two sides are bounded by. Spans are in milliseconds, sizes in bytes.
use crate::Ms;

/// The bounds of a control node's side.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedLimits {
    /// Connections at a time.
    pub followers: usize,
    /// Copies of more than one page at a time.
    pub full_copies: usize,
    /// Followers that may wait for such a copy; others are told to come again.
    pub waiting_copies: usize,
    /// Bytes a second that differences take, over all followers.
    pub bytes_per_s: f64,
    /// Changes that are remembered.
    pub history: usize,
    /// Changes that one follower may have been sent without having acknowledged them.
    pub window: usize,
    /// Bytes of such changes; a single larger record may pass it.
    pub window_bytes: usize,
    /// Bytes of records in one message; a single larger record may pass it.
    pub page_bytes: usize,
    /// After so long without another message a follower is sent a heartbeat.
    pub heartbeat_ms: Ms,
    /// After so long without a word of its follower a connection is closed.
    pub silence_ms: Ms,
    /// After so long without a confirmation of a page a follower loses its place among the copies, and its connection.
    pub stall_ms: Ms,
    /// When a follower without a place may come again.
    pub retry_after_ms: Ms,
}

impl Default for FeedLimits {
    fn default() -> Self {
        FeedLimits {
            followers: 1024,
            full_copies: 8,
            waiting_copies: 64,
            bytes_per_s: 8.0 * 1024.0 * 1024.0,
            history: 4096,
            window: 256,
            window_bytes: 1 << 20,
            page_bytes: 64 << 10,
            heartbeat_ms: 1500.0,
            silence_ms: 3500.0,
            stall_ms: 10_000.0,
            retry_after_ms: 1000.0,
        }
    }
}

/// The bounds of a follower's side.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerLimits {
    /// After so long without an outcome an attempt to connect is given up.
    pub connect_ms: Ms,
    /// After so long without an answer to its greeting a follower tries another control node.
    pub greeting_ms: Ms,
    /// After so long without a word of its control node a follower tries another.
    pub silence_ms: Ms,
    /// Batches that may be on their way to disk; a control node that sends more is left.
    pub pending_batches: usize,
    /// A follower of another control node than its first choice tries the better ones again after one to three times so
    /// long, at random; each try that was in vain doubles the span.
    pub return_ms: Ms,
}

impl Default for FollowerLimits {
    fn default() -> Self {
        FollowerLimits {
            connect_ms: 1000.0,
            greeting_ms: 1500.0,
            silence_ms: 3500.0,
            pending_batches: 1024,
            return_ms: 60_000.0,
        }
    }
}
