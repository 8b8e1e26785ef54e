//! A bound on bytes a second.
use crate::Ms;

const MS_PER_S: f64 = 1000.0;

/// Lets bytes pass at a mean rate. It holds tokens for at most a second, and may go into debt by one page, so that over any
/// span no more passes than the rate times the span, plus a second's worth, plus a page.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    bytes_per_s: f64,
    tokens: f64,
    filled: Ms,
}

impl TokenBucket {
    /// A full one.
    pub fn new(bytes_per_s: f64, now: Ms) -> Self {
        TokenBucket { bytes_per_s, tokens: bytes_per_s, filled: now }
    }

    /// Whether something may pass now.
    pub fn is_open(&mut self, now: Ms) -> bool {
        let gained = (now - self.filled).max(0.0) * self.bytes_per_s / MS_PER_S;
        self.tokens = (self.tokens + gained).min(self.bytes_per_s);
        self.filled = self.filled.max(now);
        self.tokens > 0.0
    }

    /// Takes what passed.
    pub fn take(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }

    /// When something may pass again, if not now.
    pub fn opens_at(&self) -> Ms {
        if self.tokens > 0.0 {
            return self.filled;
        }
        // A little later than the debt is paid, so that it is open then whatever the rounding.
        self.filled + (1.0 - self.tokens) * MS_PER_S / self.bytes_per_s
    }
}
