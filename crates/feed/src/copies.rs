//! Who may be sent a copy, and who is next to be sent a page of one.
use crate::{Ms, SessionNumber, TokenBucket};
use std::collections::VecDeque;

/// What became of a wish for a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Admitted,
    Waits,
    Refused,
}

/// Bounds copies at a time, those who wait for one, and the bytes a second of all.
#[derive(Debug)]
pub(crate) struct CopyQueue {
    most: usize,
    running: usize,
    most_waiting: usize,
    waiting: VecDeque<SessionNumber>,
    /// Those whose next page is to be sent, in the order in which they asked.
    pages: VecDeque<SessionNumber>,
    pub tokens: TokenBucket,
}

impl CopyQueue {
    pub fn new(most: usize, most_waiting: usize, tokens: TokenBucket) -> Self {
        CopyQueue {
            most: most.max(1),
            running: 0,
            most_waiting,
            waiting: VecDeque::new(),
            pages: VecDeque::new(),
            tokens,
        }
    }

    /// Asks for a copy; who waits gets it from [`end`](Self::end).
    pub fn begin(&mut self, session: SessionNumber) -> Admission {
        if self.running < self.most {
            self.running += 1;
            return Admission::Admitted;
        }
        if self.waiting.len() >= self.most_waiting {
            return Admission::Refused;
        }
        self.waiting.push_back(session);
        Admission::Waits
    }

    /// Ends a copy that was admitted and returns who is admitted in its place.
    pub fn end(&mut self) -> Option<SessionNumber> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// Puts a session at the end of those that are to be sent a page.
    pub fn ask_page(&mut self, session: SessionNumber) {
        self.pages.push_back(session);
    }

    /// Whoever is to be sent a page now.
    pub fn next_page(&mut self, now: Ms) -> Option<SessionNumber> {
        if self.pages.is_empty() || !self.tokens.is_open(now) {
            return None;
        }
        self.pages.pop_front()
    }

    /// When the next page may be sent, where somebody waits for one.
    pub fn next_page_at(&self) -> Option<Ms> {
        (!self.pages.is_empty()).then(|| self.tokens.opens_at())
    }

    /// Forgets a session that waits for anything.
    pub fn forget(&mut self, session: SessionNumber) {
        self.waiting.retain(|waiting| *waiting != session);
        self.pages.retain(|waiting| *waiting != session);
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
