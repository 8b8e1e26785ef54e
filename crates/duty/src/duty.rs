//! Whether the invoker wants clients, and how it leaves them.
use crate::Ms;

/// The times of a leave, in milliseconds from its beginning.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// From then on connections are let go: each is closed once nothing is owed on it.
    pub let_go: Ms,
    /// From then on requests are refused.
    pub refuse: Ms,
    /// When no connection may be left that is idle or had a request lately, and how lately; none where the end of
    /// the process ends them all.
    pub gone: Option<(Ms, Ms)>,
}

/// Connections are ended so long before they must be gone: that is for the last answers.
const LAST_ANSWERS_MS: Ms = 400.0;
/// A request counts as so much later than it was read: its last byte may have waited for the reader.
const READ_LATE_MS: Ms = 200.0;

/// Why the invoker leaves its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Leave {
    /// The operators drain it; they may have it return.
    Drained,
    /// The process ends, which nothing takes back.
    Ending,
}

/// What the invoker does about clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct Duty {
    leaving: Option<(Leave, Ms, Terms)>,
}

impl Duty {
    /// Leaves the clients from now on. What is under way already goes on as it was; the end of the process is the
    /// stronger reason.
    pub fn leave(&mut self, why: Leave, now: Ms, terms: Terms) {
        if self.leaving.is_none_or(|(before, ..)| before < why) {
            self.leaving = Some((why, now, terms));
        }
    }

    /// Wants clients again; false where the process is about to end.
    pub fn come_back(&mut self) -> bool {
        if matches!(self.leaving, Some((Leave::Ending, ..))) {
            return false;
        }
        self.leaving = None;
        true
    }

    /// Why the clients are left, if they are.
    pub fn leaving(&self) -> Option<Leave> {
        self.leaving.map(|(why, ..)| why)
    }

    /// Whether requests are refused.
    pub fn refuses(&self, now: Ms) -> bool {
        self.leaving.is_some_and(|(_, since, terms)| now >= since + terms.refuse)
    }

    /// Whether connections are let go.
    pub fn lets_go(&self, now: Ms) -> bool {
        self.leaving.is_some_and(|(_, since, terms)| now >= since + terms.let_go)
    }

    /// Whether what is owed on a connection has to end now, given when the last request on it was read: of what is
    /// left when all must be gone, only old requests may be waited for.
    pub fn ends(&self, now: Ms, last_request: Ms) -> bool {
        let Some((_, since, Terms { gone: Some((gone, lately)), .. })) = self.leaving else { return false };
        now >= since + gone - LAST_ANSWERS_MS && last_request > since + gone - lately - READ_LATE_MS
    }
}

#[cfg(test)]
mod tests;
