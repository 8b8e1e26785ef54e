//! Limits and timeouts of both sides. Durations are in milliseconds, sizes in bytes.
use crate::Ms;

/// The limits of the control node's side.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedLimits {
    /// Maximum number of concurrent connections.
    pub followers: usize,
    /// Maximum number of concurrent copies, that is differences of more than one page.
    pub full_copies: usize,
    /// Maximum number of followers that wait for such a copy; others are told to reconnect later.
    pub waiting_copies: usize,
    /// Rate limit for differences, in bytes per second over all followers.
    pub bytes_per_s: f64,
    /// Maximum number of changed keys in the history.
    pub history: usize,
    /// Maximum number of unacknowledged changes per follower.
    pub window: usize,
    /// No more changes are sent to a follower while its unacknowledged changes are at least this many bytes; the last
    /// message sent may exceed it.
    pub window_bytes: usize,
    /// Maximum bytes of records in one message; a single larger record may exceed it.
    pub page_bytes: usize,
    /// A follower is sent a heartbeat after this time without another message to it, in milliseconds.
    pub heartbeat_ms: Ms,
    /// A connection is closed after this time without a message from its follower, in milliseconds.
    pub silence_ms: Ms,
    /// A follower with a copy slot that doesn't confirm a page for this time loses the slot and its connection, in
    /// milliseconds.
    pub stall_ms: Ms,
    /// Minimum delay before a rejected follower reconnects, in milliseconds.
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

/// The limits of the follower's side.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerLimits {
    /// Timeout of a connection attempt, in milliseconds.
    pub connect_ms: Ms,
    /// A follower tries another control node after this time without an answer to its hello, in milliseconds.
    pub greeting_ms: Ms,
    /// A follower tries another control node after this time without a message from the current one, in milliseconds.
    pub silence_ms: Ms,
    /// Maximum number of batches being written to disk; the follower disconnects from a control node that sends more.
    pub pending_batches: usize,
    /// A follower of a control node other than its first choice tries the preferred ones again after a random delay of
    /// one to three times this value, in milliseconds; each unsuccessful try doubles the delay.
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
