//! The monotonic clock and the wall clock of the program.
//!
//! All durations (deadlines, windows, pauses, grace periods, ages) are differences of [`monotonic_ms`], which
//! is not affected by steps of the wall clock. It is Linux's `CLOCK_MONOTONIC`, which the kernel also uses
//! for timeouts of sockets and waits; it stops while the machine is suspended, and so do all of these. The
//! wall clock is read only in this file, as [`UnixTime`], for dates: start times reported by the command
//! channel, records that outlive the process, log lines. The two clocks have different types, so that a date
//! is never used in a duration.
use corkbay::Ms;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Minimum initial reading of the monotonic clock, used if the wall clock is near or before the Unix epoch:
/// one day, so that points shortly before the start of the process are still positive.
const MIN_START_MS: Ms = 86_400_000.0;

/// The start of the process, read on all clocks.
struct ProcessStart {
    monotonic: Instant,
    machine_ms: Ms,
    unix_ms: Ms,
}

fn process_start() -> &'static ProcessStart {
    static START: OnceLock<ProcessStart> = OnceLock::new();
    START.get_or_init(|| ProcessStart {
        monotonic: Instant::now(),
        machine_ms: machine_clock_ms(),
        unix_ms: wall_clock_ms().max(MIN_START_MS),
    })
}

fn wall_clock_ms() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// The monotonic clock in milliseconds. It starts at the Unix time of its first reading, so that processes
/// that start with the same wall clock see the same whole seconds, and is never adjusted later.
pub fn monotonic_ms() -> Ms {
    let start = process_start();
    start.unix_ms + start.monotonic.elapsed().as_secs_f64() * 1000.0
}

/// How far the machine's monotonic clock, which all its processes share until a reboot, is ahead of
/// [`monotonic_ms`], in milliseconds; constant for the life of the process.
pub fn machine_clock_ahead_ms() -> Ms {
    process_start().machine_ms - process_start().unix_ms
}

fn machine_clock_ms() -> Ms {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as Ms * 1000.0 + now.tv_nsec as Ms / 1e6
}

/// The duration from now to a point on the monotonic clock; zero once it has passed.
pub fn time_until(at: Ms) -> Duration {
    Duration::from_secs_f64((at - monotonic_ms()).clamp(0.0, 1e9) / 1000.0)
}

/// A date: milliseconds since the Unix epoch by some machine's wall clock, which may be wrong and may be
/// stepped.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixTime(Ms);

impl UnixTime {
    /// Means "no date" in records and on the command channel.
    pub const NONE: UnixTime = UnixTime(0.0);

    /// Reads the wall clock.
    pub fn now() -> Self {
        UnixTime(wall_clock_ms())
    }

    /// The current date by the wall clock as it was when the process started; later steps do not change it.
    pub fn steady() -> Self {
        UnixTime::of(monotonic_ms())
    }

    /// A date received from elsewhere, in milliseconds since the Unix epoch.
    pub fn from_ms(ms: Ms) -> Self {
        UnixTime(ms)
    }

    /// Milliseconds since the Unix epoch.
    pub fn as_ms(self) -> Ms {
        self.0
    }

    /// Whether this means "no date".
    pub fn is_none(self) -> bool {
        self.0 <= 0.0
    }

    /// The date of a point on the monotonic clock, by the wall clock as it was when the process started.
    pub fn of(at: Ms) -> Self {
        UnixTime(at)
    }

    /// The point on the monotonic clock at this date in milliseconds, by the wall clock as it was when the
    /// process started.
    pub fn at_start_clock(self) -> Ms {
        self.0
    }

    /// The same by the current wall clock.
    pub fn at_present_clock(self) -> Ms {
        monotonic_ms() - (wall_clock_ms() - self.0)
    }
}
