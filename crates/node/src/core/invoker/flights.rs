//! The attempts of a request that are out.
use super::notes::Note;
use super::request::Taken;
use crate::core::unserved::hex;
use crate::core::{monotonic_ms, AttemptError, Cause, Exchange};
use corkbay::{Effect, Ms, Outcome, WorkerId};

/// How long after its time a request waits for the decisions' last word before it is failed here.
pub(super) const LAST_WORD_MS: Ms = 10.0;

/// Where a request may have one attempt out at a time, the next one follows so long after the notice that ends one
/// which may be running. Nothing orders what goes out on two connections: without a pause the next overtakes it.
const NOTICE_ARRIVES_MS: Ms = 5.0;

/// An attempt that is out.
pub(super) struct Flight {
    attempt: u32,
    pub(super) worker: WorkerId,
    pub(super) started: Ms,
    until: Ms,
    exchange: Box<dyn Exchange>,
    /// How it ended, while its worker may not know yet that it did.
    over: Option<AttemptError>,
}

/// The attempts of a request that are out. However its task ends, each is given up and the decisions hear
/// of it.
pub(super) struct Flights<'a> {
    taken: &'a Taken,
    /// Those that are out.
    out: Vec<Flight>,
    /// Attempts that the decisions asked for and this task has read of.
    asked: u32,
    /// Attempts that went to a worker and are not proved never to have run, with the time of each, in order.
    ran: Vec<(u32, Ms)>,
    /// How the last one ended that brought nothing.
    last_lost: Option<Outcome>,
}

impl<'a> Flights<'a> {
    pub(super) fn new(taken: &'a Taken) -> Self {
        Flights { taken, out: Vec::new(), asked: 0, ran: Vec::new(), last_lost: None }
    }

    /// When the time of the next attempt is up, or that time.
    pub(super) fn next_due(&self, or: Ms) -> Ms {
        self.out.iter().map(|flight| flight.until).fold(or, f64::min)
    }

    /// Whether an attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        !self.ran.is_empty()
    }

    /// Attempts that were asked for so far.
    pub(super) fn asked(&self) -> u32 {
        self.asked
    }

    fn position(&self, attempt: u32) -> Option<usize> {
        self.out.iter().position(|flight| flight.attempt == attempt)
    }

    /// Takes out an attempt that has come to its end; none where that was told before.
    pub(super) fn take(&mut self, attempt: u32) -> Option<Flight> {
        self.position(attempt).map(|at| self.out.swap_remove(at))
    }

    /// Gives up an attempt; one whose end is on its way comes with the next note.
    pub(super) fn cancel(&mut self, attempt: u32) {
        let Some(at) = self.position(attempt) else { return };
        if let Some(error) = self.out[at].exchange.give_up(Cause::GivenUp) {
            let flight = self.out.swap_remove(at);
            self.ended(flight, error);
        }
    }

    /// Ends an attempt whose time is up; false where there is none.
    pub(super) fn end_overdue(&mut self, now: Ms) -> bool {
        let overdue = self.out.iter().position(|flight| flight.until <= now);
        overdue.map(|at| self.overdue(at)).is_some()
    }

    /// Starts an attempt. One that repeats what may have run goes out within the window of its class.
    pub(super) fn start(&mut self, worker: WorkerId, within: Ms) {
        let (attempt, call, invoker) = (self.asked, &self.taken.call, &self.taken.invoker);
        self.asked += 1;
        let started = monotonic_ms();
        let Some(host) = invoker.host(worker) else {
            return self.taken.finished(attempt, worker, started, Outcome::Moot, false);
        };
        let expires = call.request.expires;
        let until = if within > 0.0 { expires.min(started + within) } else { expires };
        let window = match invoker.settings.classes.get(call.request.class).map(|class| class.effect) {
            Some(Effect::Keyed(_, window)) => self.ran.first().map(|(_, first)| first + window),
            _ => None,
        };
        let by = window.unwrap_or(until).min(until);
        self.note_retry(attempt, &host.name);
        self.ran.push((attempt, started));
        let sender = self.taken.inbox.sender.clone();
        let end = Box::new(move |end| _ = sender.send(Note::Ended { attempt, end }));
        invoker.counters.sent.add();
        let exchange = invoker.workers.send(&host, call, until, by, end);
        self.out.push(Flight { attempt, worker, started, until, exchange, over: None });
    }

    /// Counts and logs an attempt behind the first: where it goes, and how the one before it ended.
    fn note_retry(&self, attempt: u32, host: &str) {
        let invoker = &self.taken.invoker;
        let Some(last) = self.last_lost else { return };
        invoker.counters.retried.add();
        // What never ran is tried elsewhere all the time; what may have run is worth a line.
        if !last.proves_not_run() && invoker.lines.take() {
            let request = hex(self.taken.call.request.id);
            tracing::info!(%request, attempt, host, last = ?last, "retry");
        }
    }

    /// Tells of an attempt that brought nothing.
    fn lost(&mut self, flight: &Flight, error: AttemptError, closed: bool) {
        let outcome = error.outcome();
        self.last_lost = Some(outcome);
        self.taken.invoker.counters.lost(outcome);
        self.taken.finished(flight.attempt, flight.worker, flight.started, outcome, closed);
        if outcome.proves_not_run() {
            self.ran.retain(|(attempt, _)| *attempt != flight.attempt);
        }
    }

    /// Tells of an attempt that brought nothing, now or once its worker has had time to hear.
    pub(super) fn ended(&mut self, mut flight: Flight, error: AttemptError) {
        let second_copies = self.taken.invoker.settings.second_copies;
        if second_copies || !matches!(error, AttemptError::Unanswered(_)) {
            return self.lost(&flight, error, false);
        }
        (flight.over, flight.until) = (Some(error), monotonic_ms() + NOTICE_ARRIVES_MS);
        self.out.push(flight);
    }

    /// The time of an attempt is up.
    fn overdue(&mut self, at: usize) {
        let mut flight = self.out.swap_remove(at);
        let now = monotonic_ms();
        match flight.over {
            Some(error) if flight.exchange.cancel_notice().is_sent() => {
                return self.lost(&flight, error, false)
            }
            Some(_) => flight.until = now + NOTICE_ARRIVES_MS,
            None => match flight.exchange.give_up(Cause::Silent) {
                Some(error) => return self.ended(flight, error),
                // An end that is on its way already comes as the next note.
                None => flight.until = now + LAST_WORD_MS,
            },
        }
        self.out.push(flight);
    }

    /// Calls off what is still out.
    pub(super) fn call_off(&mut self) {
        // An attempt that was asked for behind the note that ended the request: the decisions count it as out.
        while let Ok(note) = self.taken.inbox.notes.try_recv() {
            if let Note::Send { worker, .. } = note {
                self.taken.finished(self.asked, worker, monotonic_ms(), Outcome::Moot, true);
                self.asked += 1;
            }
        }
        for mut flight in std::mem::take(&mut self.out) {
            let error = flight.over.or_else(|| flight.exchange.give_up(Cause::GivenUp));
            let error = error.unwrap_or(AttemptError::Unanswered(Cause::GivenUp));
            self.lost(&flight, error, true);
        }
    }
}

impl Drop for Flights<'_> {
    fn drop(&mut self) {
        self.call_off();
    }
}
