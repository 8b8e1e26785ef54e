//! Whether the invoker serves clients, and how it leaves them.
use crate::Ms;

/// The schedule of a drain or shutdown, in milliseconds from its beginning.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaveSchedule {
    /// When connections start to be closed: each is closed once no request on it awaits an answer.
    pub close_connections_at: Ms,
    /// When requests start to be refused.
    pub refuse_requests_at: Ms,
    /// `(closed_by, recent)`: by `closed_by`, no connection may remain that is idle or had a request within the last
    /// `recent`; `None` if the end of the process closes them all.
    pub all_closed_by: Option<(Ms, Ms)>,
}

/// Connections are ended this long before `all_closed_by`, which leaves time for the last answers.
const LAST_ANSWERS_MARGIN_MS: Ms = 400.0;
/// A request counts as this much more recent than the time at which it was read, because its last byte may have
/// waited for the reader.
const MAX_READ_DELAY_MS: Ms = 200.0;

/// Why the invoker leaves its clients; a greater value is the stronger reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Leave {
    /// Operators drain it; this can be undone.
    Drained,
    /// The process ends; this cannot be undone.
    Ending,
}

/// Whether the invoker serves clients or is leaving them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServingState {
    leaving: Option<(Leave, Ms, LeaveSchedule)>,
}

impl ServingState {
    /// Starts to leave the clients. A schedule in progress is kept, unless `why` is a stronger reason.
    pub fn leave(&mut self, why: Leave, now: Ms, schedule: LeaveSchedule) {
        if self.leaving.is_none_or(|(before, ..)| before < why) {
            self.leaving = Some((why, now, schedule));
        }
    }

    /// Returns to serving clients; false if the process is about to end.
    pub fn come_back(&mut self) -> bool {
        if matches!(self.leaving, Some((Leave::Ending, ..))) {
            return false;
        }
        self.leaving = None;
        true
    }

    /// The reason for leaving the clients, if they are being left.
    pub fn leaving(&self) -> Option<Leave> {
        self.leaving.map(|(why, ..)| why)
    }

    /// Whether requests are refused.
    pub fn refuses(&self, now: Ms) -> bool {
        self.leaving.is_some_and(|(_, since, schedule)| now >= since + schedule.refuse_requests_at)
    }

    /// Whether connections are closed once no request on them awaits an answer.
    pub fn closes_connections(&self, now: Ms) -> bool {
        self.leaving.is_some_and(|(_, since, schedule)| now >= since + schedule.close_connections_at)
    }

    /// Whether the unanswered requests of a connection must end now, given when the last request on it was
    /// read: close to `all_closed_by`, only connections with old requests may stay open.
    pub fn ends(&self, now: Ms, last_request: Ms) -> bool {
        let Some((_, since, LeaveSchedule { all_closed_by: Some((closed_by, recent)), .. })) = self.leaving
        else {
            return false;
        };
        now >= since + closed_by - LAST_ANSWERS_MARGIN_MS
            && last_request > since + closed_by - recent - MAX_READ_DELAY_MS
    }
}

#[cfg(test)]
mod tests;
