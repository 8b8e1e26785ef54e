//! What is believed of workers and models, and how news changes it.
use super::slow_start::FIRST_CALLS;
use super::*;

/// Answers and failures remembered of a worker and class at most, so that it can be forgiven.
const MEMORY: f64 = 4.0;
/// What a bound is multiplied with when it proves too wide.
pub(super) const NARROWER: f64 = 0.7;
/// Errors in a row about a model that never stood until it counts as one that no worker knows.
pub(super) const UNKNOWN: u32 = 3;

impl Holder {
    /// Whether its copies are believed to stand: the table ages by the keep time.
    pub(super) fn stands(&self, now: Ms, keep: Ms) -> bool {
        self.copies > 0 && now - self.seen < keep
    }
}

impl Health {
    /// An answer or a failure, whatever its kind: errors, silence and broken connections weigh alike.
    pub(super) fn note(&mut self, now: Ms, keep: Ms, failed: bool) {
        let part = 0.5f64.powf((now - self.at) / keep);
        (self.good, self.bad, self.at) = (self.good * part, self.bad * part, now);
        if failed {
            (self.good, self.bad) = (self.good * (1.0 - NEWEST), (self.bad + 1.0).min(MEMORY));
        } else {
            (self.good, self.bad) = ((self.good + 1.0).min(2.0 * MEMORY), self.bad * (1.0 - NEWEST));
            self.heard = now;
        }
    }
}

impl Model {
    /// A worker answered something about it. Who lacks it says so: a model that never stood, and that only
    /// brings errors wherever it is named, is one that no worker knows.
    pub(super) fn told(&mut self, outcome: Outcome, stands: bool, until: Ms) {
        self.proven |= stands;
        match outcome {
            Outcome::Ok | Outcome::Miss | Outcome::Full => self.strange = 0,
            Outcome::Error => self.strange += 1,
            _ => {}
        }
        if self.strange >= UNKNOWN && !self.proven {
            self.unknown_until = until;
        }
    }
}

impl Worker {
    /// Late answers from any cause (crowding, a slow core, overload) and calls given up there
    /// narrow the worker's share of our calls, once in the time that the late one took.
    pub(super) fn narrow(&mut self, now: Ms, took: Ms) {
        if now > self.cut_at + took {
            (self.limit, self.cut_at) = ((self.limit * NARROWER).max(1.0), now);
        }
    }

    pub(super) fn started(&self) -> Ms {
        self.born.max(self.broke)
    }

    pub(super) fn cold(&self, now: Ms, set: &Settings) -> bool {
        self.started() > 0.0 && now < self.started() + set.cold_span
    }

    /// Whether it is looked at like any other, cold or not: no call of ours came yet, and front ends are few.
    pub(super) fn untried(&self, set: &Settings) -> bool {
        self.wanted.last <= 0.0 && f64::from(set.front_ends) <= FIRST_CALLS
    }

    /// Part of its full capacity that it has at least: all of it unless it is cold.
    pub(super) fn warmth(&self, now: Ms, set: &Settings) -> f64 {
        let age = if self.cold(now, set) { (now - self.started()) / set.cold_span } else { 1.0 };
        set.cold_from + (1.0 - set.cold_from) * age.clamp(0.0, 1.0)
    }
}
