//! The life of one request, from its first event to its one final answer.
use super::flights::{Flights, LAST_WORD_MS};
use super::notes::{Inbox, Note};
use super::{lock, Invoker, CALL_BYTES};
use crate::core::unserved::hex;
use crate::core::{monotonic_ms, Answer, AttemptError, Call, Failure, Unserved};
use crate::memory::room;
use corkbay::{Event, Finished, Ms, Outcome, Request, Warmth, WorkerId};
use corkbay_ledger::Reservation;
use may::sync::Mutex;
use std::sync::Arc;

/// A request that ends unserved this short before its time, as the decisions do, ends for want of time.
const LAST_CALL_MS: Ms = 40.0;

/// Longest wait for room for an answer that has come.
const ANSWER_WAIT_MS: Ms = 500.0;

/// A request that was taken: a place in the books that ends with its final answer.
pub struct Taken {
    pub(super) invoker: Arc<Invoker>,
    pub(super) call: Arc<Call>,
    pub(super) inbox: Inbox,
    pub(super) held: Mutex<Reservation>,
    pub(super) since: Ms,
}

impl Taken {
    /// The life of the request, from its first event to its one final answer.
    pub fn serve(&self) -> Answer {
        let mut flights = Flights::new(self);
        self.invoker.feed(Event::Request(self.call.request.clone()));
        let mut answer = loop {
            if let Some(answer) = self.next_step(&mut flights) {
                break answer;
            }
        };
        flights.call_off();
        if let Answer::Refused { known, .. } | Answer::Failed(known) = &mut answer {
            known.may_have_run = flights.may_have_run();
        }
        answer
    }

    /// Waits for what comes next and deals with it; the final answer, if that is one.
    fn next_step(&self, flights: &mut Flights<'_>) -> Option<Answer> {
        let due = flights.next_due(self.call.request.expires + LAST_WORD_MS);
        let Some(note) = self.inbox.next(due) else { return self.time_is_up(flights) };
        match note {
            Note::Send { worker, within } => flights.start(worker, within),
            Note::Ended { attempt, end } => return self.attempt_ended(flights, attempt, end),
            Note::Cancel { attempt } => flights.cancel(attempt),
            Note::Refuse { retry_after, reason } => {
                self.unserved(flights, Unserved::Decided(reason));
                return Some(Answer::Refused { retry_after, known: self.known() });
            }
            Note::Fail { reason } => {
                self.unserved(flights, Unserved::Decided(reason));
                return Some(Answer::Failed(self.known()));
            }
            Note::Close => return Some(self.close(flights)),
            Note::Withdrawn => {
                self.unserved(flights, Unserved::Withdrawn);
                self.tell_withdrawn();
                return Some(Answer::Withdrawn);
            }
        }
        None
    }

    fn attempt_ended(
        &self,
        flights: &mut Flights<'_>,
        attempt: u32,
        end: Result<Vec<u8>, AttemptError>,
    ) -> Option<Answer> {
        let flight = flights.take(attempt)?;
        match end {
            Ok(body) => {
                self.hold(&body);
                self.finished(attempt, flight.worker, flight.started, Outcome::Ok, true);
                Some(Answer::Served { body })
            }
            Err(error) => {
                flights.ended(flight, error);
                None
            }
        }
    }

    /// The process has no more time for it.
    fn close(&self, flights: &Flights<'_>) -> Answer {
        self.unserved(flights, Unserved::ProcessEnds);
        self.tell_withdrawn();
        if flights.may_have_run() {
            return Answer::Failed(self.known());
        }
        let retry_after = self.invoker.settings.max_retry_after;
        Answer::Refused { retry_after, known: self.known() }
    }

    /// Ends an attempt whose time is up, or the request if its own is.
    fn time_is_up(&self, flights: &mut Flights<'_>) -> Option<Answer> {
        let now = monotonic_ms();
        if flights.end_overdue(now) || now < self.call.request.expires {
            return None;
        }
        self.unserved(flights, Unserved::Expired);
        self.tell_withdrawn();
        Some(Answer::Failed(self.known()))
    }

    /// Counts and logs why it ends without an answer of a worker.
    fn unserved(&self, flights: &Flights<'_>, reason: Unserved) {
        self.invoker.counters.unserved(reason);
        if self.invoker.lines.take() {
            let Request { id, class, expires, .. } = self.call.request;
            let left_ms = (expires - monotonic_ms()).round();
            let (attempts, may_have_run) = (flights.asked(), flights.may_have_run());
            tracing::info!(request = %hex(id), class, attempts, may_have_run, left_ms, reason = reason.name(), "unserved");
        }
    }

    fn tell_withdrawn(&self) {
        self.invoker.feed(Event::Withdrawn { id: self.call.request.id });
    }

    /// Counts the answer on the call until it is written: once, and once more as it is written. Where there is no room
    /// it waits a little, and is counted all the same: it is owed.
    fn hold(&self, body: &Vec<u8>) {
        let held = &mut *lock(&self.held);
        let bytes = CALL_BYTES + self.call.size() + 2 * body.capacity();
        if let Err(full) = held.resize(bytes) {
            // It must still be written in time.
            let left = (self.call.request.expires - monotonic_ms()) / 2.0;
            room::wait(&full.account, full.asked, left.clamp(0.0, ANSWER_WAIT_MS));
            held.owe(bytes);
        }
    }

    /// The call.
    pub fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// What is known at the end; how far the attempts had come is added when all have ended.
    fn known(&self) -> Failure {
        Failure { may_have_run: false, late: monotonic_ms() + LAST_CALL_MS >= self.call.request.expires }
    }

    pub(super) fn finished(
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
            warmth: Warmth::Untold,
            crowd: None,
            report: None,
        }));
    }
}

impl Drop for Taken {
    /// The place in the books ends with the request, also when its task panics.
    fn drop(&mut self) {
        self.invoker.counters.call_seconds.observe((monotonic_ms() - self.since) / 1000.0);
        lock(&self.invoker.core).open.remove(&self.call.request.id);
        if std::thread::panicking() {
            self.tell_withdrawn();
        }
        let mut owed = lock(&self.invoker.owed);
        *owed -= 1;
        if *owed == 0 {
            self.invoker.settled.notify_all();
        }
    }
}
