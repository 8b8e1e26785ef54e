//! The two clocks of the program.
//!
//! All spans (deadlines, windows, pauses, graces, ages) are differences of [`monotonic_ms`], which no step of the wall
//! clock moves. It is Linux's `CLOCK_MONOTONIC`, by which the kernel also times sockets and waits; it stands still while
//! the machine is suspended, and so do all of these together. The wall clock is read here alone, as [`UnixTime`], for what
//! is a date: starts told by the command channel, records that outlive the process, log lines. The two are two types, so
//! that a date is never mixed into a span.
use corkbay::Ms;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock's reading where the wall clock stands before the Unix epoch: a day, so that what lies a little
/// before the start of the process is still above zero.
const LEAST_START_MS: Ms = 86_400_000.0;

/// One instant on all clocks.
struct Start {
    monotonic: Instant,
    machine_ms: Ms,
    unix_ms: Ms,
}

fn start() -> &'static Start {
    static START: OnceLock<Start> = OnceLock::new();
    START.get_or_init(|| Start {
        monotonic: Instant::now(),
        machine_ms: machine_clock_ms(),
        unix_ms: wall_clock_ms().max(LEAST_START_MS),
    })
}

fn wall_clock_ms() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// The monotonic clock in milliseconds. It begins with the Unix time at its first reading, so that processes that begin
/// with the same wall clock see the same whole seconds, and is never set after that.
pub fn monotonic_ms() -> Ms {
    let start = start();
    start.unix_ms + start.monotonic.elapsed().as_secs_f64() * 1000.0
}

/// How far the machine's monotonic clock, which all its processes share until it is started anew, is ahead of
/// [`monotonic_ms`]; the same for as long as the process lives.
pub fn machine_clock_ahead_ms() -> Ms {
    start().machine_ms - start().unix_ms
}

fn machine_clock_ms() -> Ms {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as Ms * 1000.0 + now.tv_nsec as Ms / 1e6
}

/// The span from now to a point on the monotonic clock; zero once it has passed.
pub fn until(at: Ms) -> Duration {
    Duration::from_secs_f64((at - monotonic_ms()).clamp(0.0, 1e9) / 1000.0)
}

/// A date: milliseconds since the Unix epoch by some machine's wall clock, which may be wrong and may be stepped.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixTime(Ms);

impl UnixTime {
    /// The date that stands for none, in records and on the command channel.
    pub const NONE: UnixTime = UnixTime(0.0);

    /// The wall clock now.
    pub fn now() -> Self {
        UnixTime(wall_clock_ms())
    }

    /// The date now by the wall clock as it stood when the process began: no later step moves it.
    pub fn steady() -> Self {
        UnixTime::of(monotonic_ms())
    }

    /// A date that somebody told.
    pub fn from_ms(ms: Ms) -> Self {
        UnixTime(ms)
    }

    /// Its milliseconds, for telling it on.
    pub fn as_ms(self) -> Ms {
        self.0
    }

    /// Whether it stands for no date.
    pub fn is_none(self) -> bool {
        self.0 <= 0.0
    }

    /// The date of a point on the monotonic clock, by the wall clock as it stood when the process began.
    pub fn of(at: Ms) -> Self {
        UnixTime(at)
    }

    /// The point on the monotonic clock at that date, by the wall clock as it stood when the process began.
    pub fn at_start_clock(self) -> Ms {
        self.0
    }

    /// The same by the wall clock as it stands now.
    pub fn at_present_clock(self) -> Ms {
        monotonic_ms() - (wall_clock_ms() - self.0)
    }
}
