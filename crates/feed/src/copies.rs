//! Admission of copies, and the queue of sessions that are to be sent a page.
use crate::{Ms, SessionNumber, TokenBucket};
use std::collections::VecDeque;

/// The outcome of a request for a copy slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Admitted,
    Queued,
    Rejected,
}

/// Limits concurrent copies, the sessions that wait for one, and the total bytes per second.
#[derive(Debug)]
pub(crate) struct CopyQueue {
    max_running: usize,
    running: usize,
    max_waiting: usize,
    waiting: VecDeque<SessionNumber>,
    /// The sessions whose next page is to be sent, in the order of their requests.
    page_queue: VecDeque<SessionNumber>,
    pub tokens: TokenBucket,
}

impl CopyQueue {
    pub fn new(max_running: usize, max_waiting: usize, tokens: TokenBucket) -> Self {
        CopyQueue {
            max_running: max_running.max(1),
            running: 0,
            max_waiting,
            waiting: VecDeque::new(),
            page_queue: VecDeque::new(),
            tokens,
        }
    }

    /// Requests a copy slot; a queued session is granted one later by [`release_slot`](Self::release_slot).
    pub fn request_slot(&mut self, session: SessionNumber) -> Admission {
        if self.running < self.max_running {
            self.running += 1;
            return Admission::Admitted;
        }
        if self.waiting.len() >= self.max_waiting {
            return Admission::Rejected;
        }
        self.waiting.push_back(session);
        Admission::Queued
    }

    /// Releases the slot of an admitted copy and returns the session that is admitted in its place.
    pub fn release_slot(&mut self) -> Option<SessionNumber> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// Appends a session to the queue of those that are to be sent a page.
    pub fn queue_page(&mut self, session: SessionNumber) {
        self.page_queue.push_back(session);
    }

    /// Removes a session from the queue of those that are to be sent a page.
    pub fn cancel_page(&mut self, session: SessionNumber) {
        self.page_queue.retain(|waiting| *waiting != session);
    }

    /// Takes the session that is to be sent a page now, if the rate limit allows one.
    pub fn next_page(&mut self, now: Ms) -> Option<SessionNumber> {
        if self.page_queue.is_empty() || !self.tokens.may_send(now) {
            return None;
        }
        self.page_queue.pop_front()
    }

    /// The earliest time for the next page, in milliseconds, if a session waits for one.
    pub fn next_page_at(&self) -> Option<Ms> {
        (!self.page_queue.is_empty()).then(|| self.tokens.available_at())
    }

    /// Removes a session from both queues.
    pub fn remove_session(&mut self, session: SessionNumber) {
        self.waiting.retain(|waiting| *waiting != session);
        self.cancel_page(session);
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
