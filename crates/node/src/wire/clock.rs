//! A clock for spans.
use corkbay::Ms;
use std::sync::OnceLock;
use std::time::Instant;

/// The time since the first call in milliseconds, which never runs backwards, whatever is done to the system's clock.
pub fn monotonic_ms() -> Ms {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}
