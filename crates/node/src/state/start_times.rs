//! Start times of workers, on this process's monotonic clock.
//!
//! The command channel reports starts as dates of the sender's wall clock. Both that clock and ours may be wrong, and
//! ours may be stepped. A worker that is believed to be older than it is receives more load than it can bear, so of two
//! possible start times the later one is used, within known bounds: a start precedes its report, and is not much earlier
//! than the last contact on the channel that did not report it.
use crate::clock::UnixTime;
use corkbay::Ms;

/// On a working channel a start is reported within this time, in milliseconds.
const MAX_REPORT_DELAY_MS: Ms = 15_000.0;

/// A start as reported, and its time on our monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedStart {
    /// The reported date; [`UnixTime::NONE`] for long ago.
    pub since: UnixTime,
    /// Start time on the monotonic clock in milliseconds; 0 for long ago.
    pub started: Ms,
}

/// A date converted to the monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicReadings {
    /// By the wall clock as it was when this process started.
    pub at_start_clock: Ms,
    /// By the wall clock as it is now.
    pub at_present_clock: Ms,
}

impl MonotonicReadings {
    /// Converts a date now.
    pub fn of(date: UnixTime) -> Self {
        MonotonicReadings { at_start_clock: date.at_start_clock(), at_present_clock: date.at_present_clock() }
    }
}

/// When a start was reported, on the monotonic clock in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ReportTime {
    /// When the report was received.
    pub now: Ms,
    /// When the channel was last in contact without reporting it; minus infinity if never.
    pub last_contact_without_report: Ms,
}

impl ReportedStart {
    /// Determines the start time for a reported date; `before` is the previous report for the same worker.
    pub fn interpret(
        since: UnixTime,
        readings: MonotonicReadings,
        report: ReportTime,
        before: Option<ReportedStart>,
    ) -> ReportedStart {
        if since.is_none() {
            return ReportedStart { since, started: 0.0 };
        }
        if let Some(same) = before.filter(|before| before.since == since) {
            return same;
        }
        let latest = readings.at_start_clock.max(readings.at_present_clock).min(report.now);
        let is_plausible = latest >= report.last_contact_without_report - MAX_REPORT_DELAY_MS;
        let started = if is_plausible { latest } else { report.now };
        // Another date means another process, which started later.
        let after = before.map_or(Ms::MIN_POSITIVE, |before| before.started.next_up());
        ReportedStart { since, started: started.max(after) }
    }
}

/// The times of the last contacts on the channel, which bound when a reported start can have happened.
#[derive(Clone, Copy, Debug)]
pub struct ChannelContact {
    last: Ms,
    before_last: Ms,
    /// After a silence: until when missed reports are expected, and the time of the last contact before the silence.
    catching_up: Option<(Ms, Ms)>,
}

/// The channel sends a message each second; after a longer gap, reports may have been missed. In milliseconds.
const MAX_GAP_MS: Ms = 1300.0;
/// Missed reports arrive within this time after contact is restored, in milliseconds.
const CATCH_UP_MS: Ms = 2000.0;

impl Default for ChannelContact {
    fn default() -> Self {
        ChannelContact { last: Ms::NEG_INFINITY, before_last: Ms::NEG_INFINITY, catching_up: None }
    }
}

impl ChannelContact {
    /// Registers a message at `now`, on the monotonic clock in milliseconds.
    pub fn record_contact(&mut self, now: Ms) {
        if now - self.last > MAX_GAP_MS {
            self.catching_up = Some((now + CATCH_UP_MS, self.last));
        }
        (self.before_last, self.last) = (self.last, now);
    }

    /// When the channel was last in contact without the current report, on the monotonic clock in milliseconds; minus
    /// infinity if never.
    pub fn last_contact_without_report(&self) -> Ms {
        match self.catching_up {
            Some((until, before)) if self.last < until => before,
            _ => self.before_last,
        }
    }
}

#[cfg(test)]
mod tests;
