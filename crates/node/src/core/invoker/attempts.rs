//! The attempts in flight of a request.
use super::messages::TaskMessage;
use super::request::AcceptedRequest;
use crate::core::unserved::hex;
use crate::core::{monotonic_ms, AbortReason, AttemptError, Exchange};
use corkbay::{Effect, Location, Ms, Outcome, WorkerId};

/// How long after its deadline a request waits for the dispatcher's decision before it fails here.
pub(super) const DECISION_GRACE_MS: Ms = 10.0;

/// Delay between a cancel notice and the next attempt, where a request may have only one attempt in flight. The
/// two go out on different connections with no order between them; without a delay the next attempt could overtake
/// the notice.
const CANCEL_DELIVERY_DELAY_MS: Ms = 5.0;

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    attempt: u32,
    pub(super) worker: WorkerId,
    pub(super) started: Ms,
    until: Ms,
    exchange: Box<dyn Exchange>,
    /// How it ended, if its worker may not have received the cancel notice yet.
    ended_with: Option<AttemptError>,
}

/// An attempt that was sent.
struct SentAttempt {
    attempt: u32,
    started: Ms,
    /// Where its worker was listed.
    location: Location,
}

/// What becomes of a retry that the dispatcher asked for.
#[derive(Clone, Copy)]
enum RetryStep {
    Sent,
    /// Its worker is no longer known to drop it as a repeat.
    Withheld,
}

impl RetryStep {
    /// The text of its log line.
    fn name(self) -> &'static str {
        match self {
            RetryStep::Sent => "retry",
            RetryStep::Withheld => "retry withheld",
        }
    }
}

/// The attempts in flight of a request. However the task of the request ends, each attempt is cancelled and
/// reported to the dispatcher.
pub(super) struct InFlightAttempts<'a> {
    request: &'a AcceptedRequest,
    in_flight: Vec<InFlightAttempt>,
    /// Number of attempts that the dispatcher asked for and this task has read.
    requested: u32,
    /// Attempts that were sent and are not proven to have not run, in order.
    may_have_run: Vec<SentAttempt>,
    /// Outcome of the last attempt that produced no result.
    last_failure: Option<Outcome>,
}

impl<'a> InFlightAttempts<'a> {
    pub(super) fn new(request: &'a AcceptedRequest) -> Self {
        InFlightAttempts {
            request,
            in_flight: Vec::new(),
            requested: 0,
            may_have_run: Vec::new(),
            last_failure: None,
        }
    }

    /// The earliest time limit of an attempt in flight, but at most `or`.
    pub(super) fn next_due(&self, or: Ms) -> Ms {
        self.in_flight.iter().map(|entry| entry.until).fold(or, f64::min)
    }

    /// Whether an attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        !self.may_have_run.is_empty()
    }

    /// Number of attempts that the dispatcher asked for so far.
    pub(super) fn requested(&self) -> u32 {
        self.requested
    }

    fn position(&self, attempt: u32) -> Option<usize> {
        self.in_flight.iter().position(|entry| entry.attempt == attempt)
    }

    /// Removes an attempt that has ended; `None` if its end was handled before.
    pub(super) fn remove(&mut self, attempt: u32) -> Option<InFlightAttempt> {
        self.position(attempt).map(|index| self.in_flight.swap_remove(index))
    }

    /// Cancels an attempt. If its end is already on its way, that arrives as a message.
    pub(super) fn cancel(&mut self, attempt: u32) {
        let Some(index) = self.position(attempt) else { return };
        if let Some(error) = self.in_flight[index].exchange.cancel(AbortReason::Cancelled) {
            let entry = self.in_flight.swap_remove(index);
            self.end_failed(entry, error);
        }
    }

    /// Ends one attempt whose time is up; false if there is none.
    pub(super) fn end_one_overdue(&mut self, now: Ms) -> bool {
        let overdue = self.in_flight.iter().position(|entry| entry.until <= now);
        overdue.map(|index| self.handle_overdue(index)).is_some()
    }

    /// Starts an attempt. A retry of an attempt that may have run must be sent within the deduplication
    /// window of its class, and to a worker that is still listed in the group of workers that drop it: its entry may have
    /// changed since the dispatcher chose it.
    pub(super) fn start(&mut self, worker: WorkerId, within: Ms) {
        let (attempt, call, invoker) = (self.requested, &self.request.call, &self.request.invoker);
        self.requested += 1;
        let started = monotonic_ms();
        let Some((host, location)) = invoker.listed_host(worker) else {
            return self.request.report_finished(attempt, worker, started, Outcome::Moot, false);
        };
        if !self.drops_repeats(location) {
            self.log_retry(RetryStep::Withheld, attempt, &host.name, location);
            return self.request.report_finished(attempt, worker, started, Outcome::Moot, false);
        }
        let expires = call.request.expires;
        let until = if within > 0.0 { expires.min(started + within) } else { expires };
        let window = match invoker.effect(call.request.class) {
            Some(Effect::Keyed(_, window)) => self.may_have_run.first().map(|first| first.started + window),
            _ => None,
        };
        let by = window.unwrap_or(until).min(until);
        self.record_retry(attempt, &host.name, location);
        if attempt == 0 && !invoker.may_repeat(call.request.class) {
            invoker.recent_ids().insert(call.request.id);
        }
        self.may_have_run.push(SentAttempt { attempt, started, location });
        let sender = self.request.inbox.sender.clone();
        let end = Box::new(move |end| _ = sender.send(TaskMessage::Ended { attempt, end }));
        invoker.counters.sent.increment();
        let exchange = invoker.workers.send(&host, call, until, by, end);
        self.in_flight.push(InFlightAttempt { attempt, worker, started, until, exchange, ended_with: None });
    }

    /// Whether a worker there drops the call as a repeat if an earlier attempt has run; always true for calls that are not
    /// keyed or cannot have run.
    fn drops_repeats(&self, location: Location) -> bool {
        let effect = self.request.invoker.effect(self.request.call.request.class);
        let (Some(Effect::Keyed(group, _)), Some(first)) = (effect, self.may_have_run.first()) else {
            return true;
        };
        first.location.shares_record(location, group)
    }

    /// Counts a retry, and logs it if an earlier attempt may have run.
    fn record_retry(&self, attempt: u32, host: &str, location: Location) {
        if self.last_failure.is_some() {
            self.request.invoker.counters.retried.increment();
            self.log_retry(RetryStep::Sent, attempt, host, location);
        }
    }

    /// Logs a retry: where it goes, how the attempt before it ended, and which workers drop its repeats. Retries of attempts
    /// that never ran are common and are not logged.
    fn log_retry(&self, step: RetryStep, attempt: u32, host: &str, location: Location) {
        let (invoker, call) = (&self.request.invoker, &self.request.call);
        let Some(first) = self.may_have_run.first().filter(|_| invoker.lines.take()) else { return };
        let request = hex(call.request.id);
        let last = self.last_failure.map(tracing::field::debug);
        let scope = invoker.dedup_scope(call.request.class);
        let (zone, first_zone) = (invoker.zone_name(location), invoker.zone_name(first.location));
        let (cell, first_cell) = (location.cell, first.location.cell);
        tracing::info!(%request, attempt, host, last, scope, ?zone, ?first_zone, cell, first_cell, "{}", step.name());
    }

    /// Reports an attempt that produced no result.
    fn report_failure(&mut self, entry: &InFlightAttempt, error: AttemptError, closed: bool) {
        let outcome = error.outcome();
        self.last_failure = Some(outcome);
        self.request.invoker.counters.lost(outcome);
        self.request.report_finished(entry.attempt, entry.worker, entry.started, outcome, closed);
        if outcome.proves_not_run() {
            self.may_have_run.retain(|sent| sent.attempt != entry.attempt);
        }
    }

    /// Reports an attempt that produced no result, now or once its worker has had time to receive the cancel
    /// notice.
    pub(super) fn end_failed(&mut self, mut entry: InFlightAttempt, error: AttemptError) {
        let second_copies = self.request.invoker.settings.second_copies;
        if second_copies || !matches!(error, AttemptError::Unanswered(_)) {
            return self.report_failure(&entry, error, false);
        }
        (entry.ended_with, entry.until) = (Some(error), monotonic_ms() + CANCEL_DELIVERY_DELAY_MS);
        self.in_flight.push(entry);
    }

    /// Handles an attempt whose time is up.
    fn handle_overdue(&mut self, index: usize) {
        let mut entry = self.in_flight.swap_remove(index);
        let now = monotonic_ms();
        match entry.ended_with {
            Some(error) if entry.exchange.cancel_notice().is_sent() => {
                return self.report_failure(&entry, error, false)
            }
            Some(_) => entry.until = now + CANCEL_DELIVERY_DELAY_MS,
            None => match entry.exchange.cancel(AbortReason::TimedOut) {
                Some(error) => return self.end_failed(entry, error),
                // Its end is already on its way and arrives as the next message.
                None => entry.until = now + DECISION_GRACE_MS,
            },
        }
        self.in_flight.push(entry);
    }

    /// Forgets the id of a request of which no attempt ran, once all have ended.
    pub(super) fn forget_unless_run(&self) {
        let request = &self.request.call.request;
        if self.requested > 0 && !self.may_have_run() && !self.request.invoker.may_repeat(request.class) {
            self.request.invoker.recent_ids().remove(request.id);
        }
    }

    /// Cancels all attempts in flight.
    pub(super) fn cancel_all(&mut self) {
        // Attempts that the dispatcher asked for after the message that ended the request: it counts them as
        // in flight.
        while let Ok(message) = self.request.inbox.messages.try_recv() {
            if let TaskMessage::Send { worker, .. } = message {
                self.request.report_finished(self.requested, worker, monotonic_ms(), Outcome::Moot, true);
                self.requested += 1;
            }
        }
        for mut entry in std::mem::take(&mut self.in_flight) {
            let error = entry.ended_with.or_else(|| entry.exchange.cancel(AbortReason::Cancelled));
            let error = error.unwrap_or(AttemptError::Unanswered(AbortReason::Cancelled));
            self.report_failure(&entry, error, true);
        }
    }
}

impl Drop for InFlightAttempts<'_> {
    fn drop(&mut self) {
        self.cancel_all();
    }
}
