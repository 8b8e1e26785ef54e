//! A rate limit in bytes per second.
use crate::Ms;

const MS_PER_S: f64 = 1000.0;

/// A token bucket that limits bytes to a mean rate. It holds at most one second's worth of tokens and may go into debt
/// by one page, so over any period it passes at most the rate times the period, plus one second's worth, plus one page.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    bytes_per_s: f64,
    tokens: f64,
    refilled_at: Ms,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(bytes_per_s: f64, now: Ms) -> Self {
        TokenBucket { bytes_per_s, tokens: bytes_per_s, refilled_at: now }
    }

    /// Refills the bucket and returns whether bytes may be sent now.
    pub fn may_send(&mut self, now: Ms) -> bool {
        let gained = (now - self.refilled_at).max(0.0) * self.bytes_per_s / MS_PER_S;
        self.tokens = (self.tokens + gained).min(self.bytes_per_s);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens > 0.0
    }

    /// Deducts bytes that were sent.
    pub fn consume(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }

    /// The earliest time, in milliseconds, at which bytes may be sent.
    pub fn available_at(&self) -> Ms {
        if self.tokens > 0.0 {
            return self.refilled_at;
        }
        // Waits for one token more than the debt, so that rounding can't leave the bucket empty at that time.
        self.refilled_at + (1.0 - self.tokens) * MS_PER_S / self.bytes_per_s
    }
}
