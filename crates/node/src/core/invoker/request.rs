//! Processes one request, from its first event to its final answer.
use super::attempts::{InFlightAttempts, DECISION_GRACE_MS};
use super::messages::{Inbox, TaskMessage};
use super::{lock, Invoker, CALL_OVERHEAD_BYTES};
use crate::core::unserved::hex;
use crate::core::{monotonic_ms, Answer, AttemptError, Call, Failure, Unserved};
use crate::state::memory_wait;
use corkbay::{Event, Finished, Ms, Outcome, Request, Warmth, WorkerId};
use corkbay_ledger::Reservation;
use may::sync::Mutex;
use std::sync::Arc;

/// An unserved request that ends less than this before its deadline counts as late, because the dispatcher
/// ends requests shortly before their deadline.
const DEADLINE_MARGIN_MS: Ms = 40.0;

/// Longest wait for memory for an answer that has arrived.
const MAX_ANSWER_WAIT_MS: Ms = 500.0;

/// An accepted request; it stays registered with the invoker until this is dropped, after its final answer.
pub struct AcceptedRequest {
    pub(super) invoker: Arc<Invoker>,
    pub(super) call: Arc<Call>,
    pub(super) inbox: Inbox,
    pub(super) reservation: Mutex<Reservation>,
    pub(super) accepted_at: Ms,
}

impl AcceptedRequest {
    /// Processes the request, from its first event to its final answer.
    pub fn serve(&self) -> Answer {
        let mut attempts = InFlightAttempts::new(self);
        self.invoker.feed(Event::Request(self.call.request.clone()));
        let mut answer = loop {
            if let Some(answer) = self.next_step(&mut attempts) {
                break answer;
            }
        };
        attempts.cancel_all();
        attempts.forget_unless_run();
        if let Answer::Refused { known, .. } | Answer::Failed(known) = &mut answer {
            known.may_have_run = attempts.may_have_run();
        }
        answer
    }

    /// Waits for the next message or timeout and handles it; returns the final answer if that ends the
    /// request.
    fn next_step(&self, attempts: &mut InFlightAttempts<'_>) -> Option<Answer> {
        let due = attempts.next_due(self.call.request.expires + DECISION_GRACE_MS);
        let Some(message) = self.inbox.next(due) else { return self.handle_timeout(attempts) };
        match message {
            TaskMessage::Send { worker, within } => attempts.start(worker, within),
            TaskMessage::Ended { attempt, end } => return self.attempt_ended(attempts, attempt, end),
            TaskMessage::Cancel { attempt } => attempts.cancel(attempt),
            TaskMessage::Refuse { retry_after, reason } => {
                self.record_unserved(attempts, Unserved::Decided(reason));
                return Some(Answer::Refused { retry_after, known: self.failure() });
            }
            TaskMessage::Fail { reason } => {
                self.record_unserved(attempts, Unserved::Decided(reason));
                return Some(Answer::Failed(self.failure()));
            }
            TaskMessage::Close => return Some(self.close(attempts)),
            TaskMessage::Withdrawn => {
                self.record_unserved(attempts, Unserved::Withdrawn);
                self.report_withdrawn();
                return Some(Answer::Withdrawn);
            }
        }
        None
    }

    fn attempt_ended(
        &self,
        attempts: &mut InFlightAttempts<'_>,
        attempt: u32,
        end: Result<Vec<u8>, AttemptError>,
    ) -> Option<Answer> {
        let entry = attempts.remove(attempt)?;
        match end {
            Ok(body) => {
                self.reserve_answer(&body);
                self.report_finished(attempt, entry.worker, entry.started, Outcome::Ok, true);
                Some(Answer::Served { body })
            }
            Err(error) => {
                attempts.end_failed(entry, error);
                None
            }
        }
    }

    /// Ends the request because the process has no more time for it.
    fn close(&self, attempts: &InFlightAttempts<'_>) -> Answer {
        self.record_unserved(attempts, Unserved::ProcessEnds);
        self.report_withdrawn();
        if attempts.may_have_run() {
            return Answer::Failed(self.failure());
        }
        let retry_after = self.invoker.settings.max_retry_after;
        Answer::Refused { retry_after, known: self.failure() }
    }

    /// Ends an attempt whose time is up, or the request if its own deadline has passed.
    fn handle_timeout(&self, attempts: &mut InFlightAttempts<'_>) -> Option<Answer> {
        let now = monotonic_ms();
        if attempts.end_one_overdue(now) || now < self.call.request.expires {
            return None;
        }
        self.record_unserved(attempts, Unserved::Expired);
        self.report_withdrawn();
        Some(Answer::Failed(self.failure()))
    }

    /// Counts and logs why the request ends without an answer from a worker.
    fn record_unserved(&self, attempts: &InFlightAttempts<'_>, reason: Unserved) {
        self.invoker.counters.unserved(reason);
        if self.invoker.lines.take() {
            let Request { id, class, expires, .. } = self.call.request;
            let left_ms = (expires - monotonic_ms()).round();
            let (attempts, may_have_run) = (attempts.requested(), attempts.may_have_run());
            tracing::info!(request = %hex(id), class, attempts, may_have_run, left_ms, reason = reason.name(), "unserved");
        }
    }

    fn report_withdrawn(&self) {
        self.invoker.feed(Event::Withdrawn { id: self.call.request.id });
    }

    /// Adds the answer to the call's reservation until it is written: twice, as it is copied into the write
    /// buffer. If there is no room, it waits a little and then exceeds the cap, because the client must get
    /// the answer.
    fn reserve_answer(&self, body: &Vec<u8>) {
        let reservation = &mut *lock(&self.reservation);
        let bytes = CALL_OVERHEAD_BYTES + self.call.size() + 2 * body.capacity();
        if let Err(full) = reservation.resize(bytes) {
            // The answer must still be written before the deadline.
            let left_ms = (self.call.request.expires - monotonic_ms()) / 2.0;
            memory_wait::wait_for_memory(&full.account, full.asked, left_ms.clamp(0.0, MAX_ANSWER_WAIT_MS));
            reservation.reserve_over_cap(bytes);
        }
    }

    /// The call.
    pub fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// Details of the failure; `may_have_run` is set once all attempts have ended.
    fn failure(&self) -> Failure {
        Failure {
            may_have_run: false,
            late: monotonic_ms() + DEADLINE_MARGIN_MS >= self.call.request.expires,
        }
    }

    pub(super) fn report_finished(
        &self,
        attempt: u32,
        worker: WorkerId,
        started: Ms,
        outcome: Outcome,
        closed: bool,
    ) {
        self.invoker.feed(Event::Finished(Finished {
            id: self.call.request.id,
            attempt,
            worker,
            closed,
            outcome,
            took: monotonic_ms() - started,
            warmth: Warmth::Unknown,
            concurrent_calls: None,
            report: None,
        }));
    }
}

impl Drop for AcceptedRequest {
    /// Removes the request from the invoker, also when its task panics.
    fn drop(&mut self) {
        self.invoker.counters.call_seconds.observe((monotonic_ms() - self.accepted_at) / 1000.0);
        lock(&self.invoker.core).inboxes.remove(&self.call.request.id);
        if std::thread::panicking() {
            self.report_withdrawn();
        }
        let mut unanswered = lock(&self.invoker.unanswered);
        *unanswered -= 1;
        if *unanswered == 0 {
            self.invoker.all_answered.notify_all();
        }
    }
}
