//! The stored data of open deferred calls whose class may be repeated: if the process ends, the next one runs them again
//! within their remaining time.
use super::Deferred;
use crate::clock::{machine_clock_ahead_ms, monotonic_ms, UnixTime};
use crate::core::base64_text;
use corkbay::{Ms, RequestId};
use serde::{Deserialize, Serialize};

/// The data to run a call again after a restart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rerun {
    /// The body of the request.
    #[serde(with = "base64_text")]
    pub body: Vec<u8>,
    /// Time from acceptance to the deadline, in milliseconds.
    allowed_ms: Ms,
    /// The deadline as a date.
    deadline: UnixTime,
    /// The deadline on the machine's monotonic clock in milliseconds, which is unaffected by steps of the wall clock.
    deadline_machine_ms: Ms,
}

/// A call to be run again.
pub struct Resumable {
    /// Request id of the call.
    pub id: RequestId,
    /// The stored state of the call.
    pub deferred: Deferred,
    /// The data to run it again.
    pub rerun: Rerun,
}

impl Rerun {
    /// For a call that is accepted now; `expires` is its deadline on the monotonic clock in milliseconds.
    pub fn new(body: Vec<u8>, expires: Ms) -> Self {
        Rerun {
            body,
            allowed_ms: expires - monotonic_ms(),
            deadline: UnixTime::of(expires),
            deadline_machine_ms: expires + machine_clock_ahead_ms(),
        }
    }

    /// The deadline of the call on the monotonic clock of this process, in milliseconds.
    pub fn expires(&self) -> Ms {
        let now = monotonic_ms();
        now + self.remaining_ms(now + machine_clock_ahead_ms(), self.deadline.at_present_clock() - now)
    }

    /// Time until the deadline in milliseconds, by the machine's monotonic clock, or by the wall clock if the machine was
    /// rebooted.
    fn remaining_ms(&self, machine_now: Ms, remaining_by_date_ms: Ms) -> Ms {
        let accepted_at = self.deadline_machine_ms - self.allowed_ms;
        let same_boot = machine_now >= accepted_at;
        let remaining_ms =
            if same_boot { self.deadline_machine_ms - machine_now } else { remaining_by_date_ms };
        remaining_ms.clamp(0.0, self.allowed_ms.max(0.0))
    }
}

#[cfg(test)]
mod tests;
