//! The clock.
use corkbay::Ms;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The system's Unix clock in milliseconds: the only clock of the decisions.
pub fn now_ms() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// The span from now to a point on the clock; zero once it has passed.
pub fn until(at: Ms) -> Duration {
    Duration::from_secs_f64((at - now_ms()).clamp(0.0, 1e9) / 1000.0)
}
