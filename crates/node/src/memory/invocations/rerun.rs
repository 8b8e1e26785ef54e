//! Deferred calls that were open when their process ended and whose class may be repeated: what is kept of them, so that
//! the next process runs them again in what is left of their time.
use super::Deferred;
use crate::clock::{machine_clock_ahead_ms, monotonic_ms, UnixTime};
use crate::core::base64_text;
use corkbay::{Ms, RequestId};
use serde::{Deserialize, Serialize};

/// What it takes to run a call again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rerun {
    /// What the worker is to work on.
    #[serde(with = "base64_text")]
    pub body: Vec<u8>,
    /// The client's whole time for it, in milliseconds.
    allowed_ms: Ms,
    /// When that is up.
    deadline: UnixTime,
    /// The same on the machine's monotonic clock, which no step of the wall clock moves.
    deadline_machine_ms: Ms,
}

/// A call that is to be run again.
pub struct Resumable {
    /// Its id.
    pub id: RequestId,
    /// What was kept of it.
    pub deferred: Deferred,
    /// What it takes to run it again.
    pub rerun: Rerun,
}

impl Rerun {
    /// For a call that was accepted now and is given up at a point on the monotonic clock.
    pub fn new(body: Vec<u8>, expires: Ms) -> Self {
        Rerun {
            body,
            allowed_ms: expires - monotonic_ms(),
            deadline: UnixTime::of(expires),
            deadline_machine_ms: expires + machine_clock_ahead_ms(),
        }
    }

    /// When the call is given up, on the monotonic clock of this process.
    pub fn expires(&self) -> Ms {
        let now = monotonic_ms();
        now + self.left(now + machine_clock_ahead_ms(), self.deadline.at_present_clock() - now)
    }

    /// What is left of its time, by the machine's clock, or as the wall clock has it where the machine was started anew.
    fn left(&self, machine_now: Ms, left_by_date: Ms) -> Ms {
        let accepted_at = self.deadline_machine_ms - self.allowed_ms;
        let same_boot = machine_now >= accepted_at;
        let left = if same_boot { self.deadline_machine_ms - machine_now } else { left_by_date };
        left.clamp(0.0, self.allowed_ms.max(0.0))
    }
}

#[cfg(test)]
mod tests;
