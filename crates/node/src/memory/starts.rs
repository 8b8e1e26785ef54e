//! When workers started, on this process's monotonic clock.
//!
//! The command channel tells starts as dates of the sender's wall clock. Neither that clock nor ours need be right, and
//! ours may be stepped. A worker that is taken for older than it is gets more than it bears, so of two readings the
//! younger counts, within what was heard: a start lies before the time at which it was told, and not long before the
//! last time at which the channel was heard without it.
use crate::clock::UnixTime;
use corkbay::Ms;

/// A start is told within this time, on a channel that is being heard.
const TOLD_WITHIN_MS: Ms = 15_000.0;

/// A start as it was told and as it was understood.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ToldStart {
    /// The date told; none for long ago.
    pub since: UnixTime,
    /// The point on the monotonic clock; 0 for long ago.
    pub started: Ms,
}

/// The readings of a date on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Readings {
    /// By the wall clock as it stood when this process began.
    pub at_start_clock: Ms,
    /// By the wall clock as it stands now.
    pub at_present_clock: Ms,
}

impl Readings {
    /// The readings of a date now.
    pub fn of(date: UnixTime) -> Self {
        Readings { at_start_clock: date.at_start_clock(), at_present_clock: date.at_present_clock() }
    }
}

/// When it was heard.
#[derive(Clone, Copy, Debug)]
pub struct HeardAt {
    /// Now.
    pub now: Ms,
    /// When the channel was last heard without it; minus infinity where it was not.
    pub heard_without: Ms,
}

impl ToldStart {
    /// Understands a date that was told, behind what was told of the same worker before.
    pub fn understand(
        since: UnixTime,
        readings: Readings,
        heard: HeardAt,
        before: Option<ToldStart>,
    ) -> ToldStart {
        if since.is_none() {
            return ToldStart { since, started: 0.0 };
        }
        if let Some(same) = before.filter(|before| before.since == since) {
            return same;
        }
        let youngest = readings.at_start_clock.max(readings.at_present_clock).min(heard.now);
        let is_plausible = youngest >= heard.heard_without - TOLD_WITHIN_MS;
        let started = if is_plausible { youngest } else { heard.now };
        // Another date is another process, which began later.
        let after = before.map_or(Ms::MIN_POSITIVE, |before| before.started.next_up());
        ToldStart { since, started: started.max(after) }
    }
}

/// When the channel was heard, so that it is known since when a start could have been told.
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    last: Ms,
    before_last: Ms,
    /// What was missed during a silence comes by that time; when the channel was heard before it.
    catching_up: Option<(Ms, Ms)>,
}

/// The channel says something each second; a longer silence is one in which news was missed.
const SILENCE_MS: Ms = 1300.0;
/// What was missed comes within this time, once the channel is heard again.
const CAUGHT_UP_MS: Ms = 2000.0;

impl Default for Contact {
    fn default() -> Self {
        Contact { last: Ms::NEG_INFINITY, before_last: Ms::NEG_INFINITY, catching_up: None }
    }
}

impl Contact {
    /// Something was heard.
    pub fn heard(&mut self, now: Ms) {
        if now - self.last > SILENCE_MS {
            self.catching_up = Some((now + CAUGHT_UP_MS, self.last));
        }
        (self.before_last, self.last) = (self.last, now);
    }

    /// When the channel was last heard without what it tells now.
    pub fn heard_without(&self) -> Ms {
        match self.catching_up {
            Some((until, before)) if self.last < until => before,
            _ => self.before_last,
        }
    }
}

#[cfg(test)]
mod tests;
