//! When to connect again to an event source that failed.
use crate::Ms;

/// Longest pause after the first failure.
const INITIAL_MAX_PAUSE_MS: Ms = 50.0;
/// Longest pause after any failure. An event of the channel must be received within 2 s of a broken
/// connection, and within 4 s if the channel falls silent, which takes 1.3 s to detect; a connection attempt
/// takes up to 0.3 s. This leaves the pause the smallest part of either limit.
const MAX_PAUSE_MS: Ms = 400.0;

/// Exponential backoff with jitter, so that many clients that lost the same source do not reconnect at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReconnectBackoff {
    failures: u32,
}

impl ReconnectBackoff {
    /// Records that events were received: the next attempt may follow at once.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failed attempt and returns the delay before the next, in milliseconds; `draw` is a random
    /// number between 0 and 1.
    pub fn next_delay(&mut self, draw: f64) -> Ms {
        let max_pause = (INITIAL_MAX_PAUSE_MS * 2f64.powi(self.failures.min(16) as i32)).min(MAX_PAUSE_MS);
        self.failures = self.failures.saturating_add(1);
        max_pause * (0.5 + draw.clamp(0.0, 1.0) / 2.0)
    }
}

#[cfg(test)]
mod tests;
