//! Detects two conditions from the heartbeats of this process. A stall: the process was stopped or got no CPU
//! time, so that data read now may have arrived earlier. Overload: the process has more work than it can do
//! in time.
use corkbay::Ms;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;
use std::time::Duration;

/// Interval between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(25);
/// A longer gap between two heartbeats counts as a stall. Data may be up to twice this old before a stall is
/// detected, which is less than the slack in the deadlines that are sent to workers.
const STALL_MS: Ms = 60.0;
/// A heartbeat that follows the one before it by more than this is late. `OVERLOAD_LATE_HEARTBEATS` late ones
/// in a row are not a single pause: the process is overloaded.
const LATE_HEARTBEAT_MS: Ms = 100.0;
const OVERLOAD_LATE_HEARTBEATS: u32 = 2;

/// A change between keeping up and being overloaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadChange {
    /// The process became overloaded; the latest heartbeat was late by this many milliseconds.
    Overloaded(Ms),
    /// Heartbeats are on time again.
    Recovered,
}

/// Records heartbeats. Points on the monotonic clock are stored as the bits of an `f64`, 0 for none.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_heartbeat: AtomicU64,
    /// The heartbeat before `last_heartbeat`.
    previous_heartbeat: AtomicU64,
    consecutive_late: AtomicU32,
}

/// The detector of this process: whoever reads data asks it when that can have arrived.
pub fn process_stalls() -> &'static StallDetector {
    static DETECTOR: OnceLock<StallDetector> = OnceLock::new();
    DETECTOR.get_or_init(StallDetector::default)
}

fn load(timestamp: &AtomicU64) -> Ms {
    f64::from_bits(timestamp.load(Relaxed))
}

impl StallDetector {
    /// Records a heartbeat and returns the change that it brings, if any.
    pub fn record_heartbeat(&self, now: Ms) -> Option<LoadChange> {
        let last = load(&self.last_heartbeat);
        self.previous_heartbeat.store(last.to_bits(), Relaxed);
        self.last_heartbeat.store(now.to_bits(), Relaxed);
        let late_ms = now - last - HEARTBEAT_INTERVAL.as_secs_f64() * 1000.0;
        if last > 0.0 && now - last > LATE_HEARTBEAT_MS {
            let consecutive = self.consecutive_late.load(Relaxed).saturating_add(1);
            self.consecutive_late.store(consecutive, Relaxed);
            return (consecutive == OVERLOAD_LATE_HEARTBEATS).then_some(LoadChange::Overloaded(late_ms));
        }
        let was_overloaded = self.consecutive_late.swap(0, Relaxed) >= OVERLOAD_LATE_HEARTBEATS;
        was_overloaded.then_some(LoadChange::Recovered)
    }

    /// The earliest time at which data read now can have arrived: data that arrived before a heartbeat was
    /// read by the time of the next one, if that one was not late.
    pub fn earliest_arrival(&self, now: Ms) -> Ms {
        let (last, earlier) = (load(&self.last_heartbeat), load(&self.previous_heartbeat));
        let was_late = earlier > 0.0 && last - earlier > STALL_MS;
        // After a late heartbeat the process is still reading a backlog. If the next heartbeat is overdue,
        // the process has just resumed and the heartbeat task has not run yet.
        match last > 0.0 && now - last > STALL_MS {
            _ if was_late => earlier,
            true => last,
            false => now,
        }
    }

    /// Whether the process has more work than it can do in time.
    pub fn is_overloaded(&self, now: Ms) -> bool {
        let last = load(&self.last_heartbeat);
        let is_late = last > 0.0 && now - last > LATE_HEARTBEAT_MS;
        self.consecutive_late.load(Relaxed) + u32::from(is_late) >= OVERLOAD_LATE_HEARTBEATS
    }
}

#[cfg(test)]
mod tests;
