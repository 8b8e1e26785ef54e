//! Reasons why requests end unserved and attempts are retried: logged with the request id, up to a number of
//! lines per second, and counted by reason.
use super::monotonic_ms;
use corkbay::{EndReason, Ms, RequestId};
use may::sync::Mutex;
use std::sync::OnceLock;

/// Log lines per second; events beyond that are only counted.
const MAX_LINES_PER_SECOND: u32 = 20;
const WINDOW_MS: Ms = 1000.0;

/// Why a request got no answer from a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unserved {
    /// The dispatcher ended it.
    Decided(EndReason),
    /// Its deadline passed before the dispatcher decided.
    Expired,
    /// The process is shutting down.
    ProcessEnds,
    /// Its client disconnected or withdrew it.
    Withdrawn,
}

impl Unserved {
    /// Reasons that do not come from the dispatcher, in the order in which they are counted.
    const OUTSIDE_DISPATCHER: [Unserved; 3] = [Unserved::Expired, Unserved::ProcessEnds, Unserved::Withdrawn];

    /// All names, in the order of [`Unserved::position`].
    pub fn names() -> impl Iterator<Item = &'static str> {
        let own = Self::OUTSIDE_DISPATCHER.iter().map(|reason| reason.name());
        EndReason::ALL.iter().map(|reason| reason.name()).chain(own)
    }

    /// Its index among all reasons.
    pub fn position(self) -> usize {
        let own =
            |reason| Self::OUTSIDE_DISPATCHER.iter().position(|known| *known == reason).unwrap_or_default();
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

/// Limits log lines about single requests or peers per second.
#[derive(Debug)]
pub struct LogLineLimit {
    /// What the lines are about.
    subject: &'static str,
    window: Mutex<Window>,
}

/// The limit for lines about what a peer sent or how its connection ended. A line is written by the thread that serves
/// all peers, so their number must not follow from what a peer sends.
pub fn peer_lines() -> &'static LogLineLimit {
    static LINES: OnceLock<LogLineLimit> = OnceLock::new();
    LINES.get_or_init(|| LogLineLimit { subject: "peers", window: Mutex::default() })
}

#[derive(Debug, Default)]
struct Window {
    began: Ms,
    lines: u32,
    left_out: u64,
}

impl Default for LogLineLimit {
    fn default() -> Self {
        LogLineLimit { subject: "requests", window: Mutex::default() }
    }
}

impl LogLineLimit {
    /// Whether another line may be written. The first call in a second also logs how many lines were left out
    /// before.
    pub fn take(&self) -> bool {
        let (allowed, left_out) = self.allow_at(monotonic_ms());
        if left_out > 0 {
            tracing::info!(left_out, "lines on {}", self.subject);
        }
        allowed
    }

    fn allow_at(&self, now: Ms) -> (bool, u64) {
        let mut window = super::lock(&self.window);
        let mut left_out_before = 0;
        if now - window.began >= WINDOW_MS {
            left_out_before = window.left_out;
            *window = Window { began: now, ..Window::default() };
        }
        window.lines += 1;
        let allowed = window.lines <= MAX_LINES_PER_SECOND;
        window.left_out += u64::from(!allowed);
        (allowed, left_out_before)
    }
}

/// The request id as written in logs.
pub(super) fn hex(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

#[cfg(test)]
mod tests;
