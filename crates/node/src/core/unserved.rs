//! Why requests end unserved and attempts are made again: told in the log with the request's id, within a budget of
//! lines, and counted by reason.
use super::monotonic_ms;
use corkbay::{EndReason, Ms, RequestId};
use may::sync::Mutex;

/// Lines a second; what comes on top is counted alone.
const LINES_PER_SECOND: u32 = 20;
const SECOND_MS: Ms = 1000.0;

/// Why a request got no answer of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unserved {
    /// The decisions ended it.
    Decided(EndReason),
    /// Its time was up before the decisions said a word.
    Expired,
    /// The process ends.
    ProcessEnds,
    /// Its client left or took it back.
    Withdrawn,
}

impl Unserved {
    /// Reasons beside those of the decisions, as they are counted.
    const OWN: [Unserved; 3] = [Unserved::Expired, Unserved::ProcessEnds, Unserved::Withdrawn];

    /// All names, in the order of [`Unserved::position`].
    pub fn names() -> impl Iterator<Item = &'static str> {
        let own = Self::OWN.iter().map(|reason| reason.name());
        EndReason::ALL.iter().map(|reason| reason.name()).chain(own)
    }

    /// Its place among all reasons.
    pub fn position(self) -> usize {
        let own = |reason| Self::OWN.iter().position(|known| *known == reason).unwrap_or_default();
        match self {
            Unserved::Decided(reason) => {
                EndReason::ALL.iter().position(|known| *known == reason).unwrap_or_default()
            }
            other => EndReason::ALL.len() + own(other),
        }
    }

    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Unserved::Decided(reason) => reason.name(),
            Unserved::Expired => "expired",
            Unserved::ProcessEnds => "process_ends",
            Unserved::Withdrawn => "withdrawn",
        }
    }
}

/// Lines that may still be written in this second.
#[derive(Debug)]
pub struct LineBudget(Mutex<Second>);

#[derive(Debug, Default)]
struct Second {
    began: Ms,
    lines: u32,
    left_out: u64,
}

impl Default for LineBudget {
    fn default() -> Self {
        LineBudget(Mutex::new(Second::default()))
    }
}

impl LineBudget {
    /// Whether one more line may be written; tells with the first of a second how many were left out before.
    pub fn take(&self) -> bool {
        let (allowed, left_out) = self.take_at(monotonic_ms());
        if left_out > 0 {
            tracing::info!(left_out, "lines on requests");
        }
        allowed
    }

    fn take_at(&self, now: Ms) -> (bool, u64) {
        let mut second = super::lock(&self.0);
        let mut told = 0;
        if now - second.began >= SECOND_MS {
            told = second.left_out;
            *second = Second { began: now, ..Second::default() };
        }
        second.lines += 1;
        let allowed = second.lines <= LINES_PER_SECOND;
        second.left_out += u64::from(!allowed);
        (allowed, told)
    }
}

/// The id of a request as it stands in logs.
pub(super) fn hex(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

#[cfg(test)]
mod tests;
