//! Estimates of the state of workers and models, and their updates.
use super::slow_start::UNRESTRICTED_FIRST_CALLS;
use super::*;

/// Upper bound of the failures counted for a worker and class, so that it can recover.
const MAX_FAILURES: f64 = 4.0;
/// Factor by which a limit (calls at a worker, concurrent loads) is decreased.
pub(super) const LIMIT_DECREASE_FACTOR: f64 = 0.7;
/// Consecutive errors after which a model that was never loaded counts as unknown to all workers.
pub(super) const UNKNOWN_MODEL_ERRORS: u32 = 3;

impl CopyEntry {
    /// Whether copies are believed to be loaded: a confirmation is valid for the keep time.
    pub(super) fn is_loaded(&self, now: Ms, keep: Ms) -> bool {
        self.copies > 0 && now - self.confirmed_at < keep
    }
}

impl Health {
    /// Records an answer or a failure. Errors, missing answers and broken connections weigh alike.
    pub(super) fn record(&mut self, now: Ms, keep: Ms, failed: bool) {
        let part = 0.5f64.powf((now - self.updated_at) / keep);
        (self.successes, self.failures, self.updated_at) = (self.successes * part, self.failures * part, now);
        if failed {
            (self.successes, self.failures) =
                (self.successes * (1.0 - NEWEST_SAMPLE_WEIGHT), (self.failures + 1.0).min(MAX_FAILURES));
        } else {
            (self.successes, self.failures) = (
                (self.successes + 1.0).min(2.0 * MAX_FAILURES),
                self.failures * (1.0 - NEWEST_SAMPLE_WEIGHT),
            );
            self.answered_at = now;
        }
    }
}

impl Model {
    /// Records a worker's answer about the model. A worker that just hasn't loaded it answers with a miss,
    /// so a model that was never loaded and brings only errors counts as unknown to all workers.
    pub(super) fn note_answer(&mut self, outcome: Outcome, is_loaded: bool, until: Ms) {
        self.known_to_exist |= is_loaded;
        match outcome {
            Outcome::Ok | Outcome::Miss | Outcome::Full => self.consecutive_errors = 0,
            Outcome::Error => self.consecutive_errors += 1,
            _ => {}
        }
        if self.consecutive_errors >= UNKNOWN_MODEL_ERRORS && !self.known_to_exist {
            self.unknown_until = until;
        }
    }
}

impl Worker {
    /// Reduces the limit of attempts in flight at the worker after a late, full or abandoned attempt, at
    /// most once in the time `took`, so that one episode counts once.
    pub(super) fn reduce_limit(&mut self, now: Ms, took: Ms) {
        if now > self.limit_reduced_at + took {
            (self.in_flight_limit, self.limit_reduced_at) =
                ((self.in_flight_limit * LIMIT_DECREASE_FACTOR).max(1.0), now);
        }
    }

    /// Time of its last start, as far as known: 0 for long ago.
    pub(super) fn started_at(&self) -> Ms {
        self.started_at.max(self.connect_failed_at)
    }

    /// Whether the worker started recently and is still in slow start.
    pub(super) fn is_cold(&self, now: Ms, settings: &Settings) -> bool {
        self.started_at() > 0.0 && now < self.started_at() + settings.cold_span
    }

    /// Whether the worker is ranked at full capacity although it is cold: this invoker has had no call for
    /// it since its start, and invokers are few.
    pub(super) fn is_untried(&self, settings: &Settings) -> bool {
        self.cold_demand.last_added_at <= 0.0 && f64::from(settings.invokers) <= UNRESTRICTED_FIRST_CALLS
    }

    /// Present capacity of the worker as a part of its full capacity: 1 unless it is cold.
    pub(super) fn warmth(&self, now: Ms, settings: &Settings) -> f64 {
        let age =
            if self.is_cold(now, settings) { (now - self.started_at()) / settings.cold_span } else { 1.0 };
        settings.cold_from + (1.0 - settings.cold_from) * age.clamp(0.0, 1.0)
    }
}
