//! Whether this process stood still (stopped, or given no processor), so that what it reads now may have come before.
use corkbay::Ms;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// How often it is noted that the process runs.
pub const HEARTBEAT: Duration = Duration::from_millis(50);
/// Longer than that between two heartbeats it stood still.
const STALL_MS: Ms = 100.0;
/// What came during a stall is read within this time after it.
const CAUGHT_UP_MS: Ms = 50.0;

/// Notes heartbeats; points on the monotonic clock as the bits of their numbers, 0 for none.
#[derive(Debug, Default)]
pub struct StallWatch {
    last_beat: AtomicU64,
    stalled_from: AtomicU64,
    catching_up_until: AtomicU64,
}

fn load(at: &AtomicU64) -> Ms {
    f64::from_bits(at.load(Relaxed))
}

impl StallWatch {
    /// The process runs.
    pub fn beat(&self, now: Ms) {
        let last = load(&self.last_beat);
        if last > 0.0 && now - last > STALL_MS {
            self.stalled_from.store(last.to_bits(), Relaxed);
            self.catching_up_until.store((now + CAUGHT_UP_MS).to_bits(), Relaxed);
        }
        self.last_beat.store(now.to_bits(), Relaxed);
    }

    /// The earliest time at which what is read now can have come.
    pub fn came_at(&self, now: Ms) -> Ms {
        let last = load(&self.last_beat);
        if last > 0.0 && now - last > STALL_MS {
            // It has just gone on, and the heartbeat had no turn yet.
            return last;
        }
        if now < load(&self.catching_up_until) {
            return load(&self.stalled_from);
        }
        now
    }
}

#[cfg(test)]
mod tests;
