//! How late this process is: whether it stood still (stopped, or given no processor), so that what it reads now may have
//! come before, and whether it has more to do than it can do in time.
use corkbay::Ms;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// How often it is noted that the process runs.
pub const HEARTBEAT: Duration = Duration::from_millis(25);
/// Longer than that between two heartbeats it stood still. What is read may be older by two of these before it shows,
/// which is less than the slack of the deadlines that workers are told.
const STALL_MS: Ms = 60.0;
/// A heartbeat that comes so long after the one before it is late, and so many of them in a row are no pause: the
/// process is behind.
const LATE_BEAT_MS: Ms = 100.0;
const BEHIND_BEATS: u32 = 2;

/// Whether the process has just fallen behind, or has caught up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Turn {
    /// It has more to do than it can do in time; the newest heartbeat was so late.
    FellBehind(Ms),
    /// Its heartbeats come in time again.
    CaughtUp,
}

/// Notes heartbeats; points on the monotonic clock as the bits of their numbers, 0 for none.
#[derive(Debug, Default)]
pub struct StallWatch {
    last_beat: AtomicU64,
    /// The one before it.
    earlier_beat: AtomicU64,
    late_in_a_row: AtomicU32,
}

fn load(at: &AtomicU64) -> Ms {
    f64::from_bits(at.load(Relaxed))
}

impl StallWatch {
    /// The process runs; whether that is a turn.
    pub fn beat(&self, now: Ms) -> Option<Turn> {
        let last = load(&self.last_beat);
        self.earlier_beat.store(last.to_bits(), Relaxed);
        self.last_beat.store(now.to_bits(), Relaxed);
        let late = now - last - HEARTBEAT.as_secs_f64() * 1000.0;
        if last > 0.0 && now - last > LATE_BEAT_MS {
            let in_a_row = self.late_in_a_row.load(Relaxed).saturating_add(1);
            self.late_in_a_row.store(in_a_row, Relaxed);
            return (in_a_row == BEHIND_BEATS).then_some(Turn::FellBehind(late));
        }
        let was_behind = self.late_in_a_row.swap(0, Relaxed) >= BEHIND_BEATS;
        was_behind.then_some(Turn::CaughtUp)
    }

    /// The earliest time at which what is read now can have come: what had come before a heartbeat in time was read by
    /// the next.
    pub fn came_at(&self, now: Ms) -> Ms {
        let (last, earlier) = (load(&self.last_beat), load(&self.earlier_beat));
        let was_late = earlier > 0.0 && last - earlier > STALL_MS;
        // Behind a late heartbeat it is catching up; without one it has just gone on, and there was no turn for it yet.
        match last > 0.0 && now - last > STALL_MS {
            _ if was_late => earlier,
            true => last,
            false => now,
        }
    }

    /// Whether it has more to do than it can do in time.
    pub fn is_behind(&self, now: Ms) -> bool {
        let last = load(&self.last_beat);
        let is_late = last > 0.0 && now - last > LATE_BEAT_MS;
        self.late_in_a_row.load(Relaxed) + u32::from(is_late) >= BEHIND_BEATS
    }
}

#[cfg(test)]
mod tests;
