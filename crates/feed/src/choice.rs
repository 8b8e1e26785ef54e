//! Selects the control node that a follower connects to, and when.
use crate::{stable_hash, Ms};
use rand::Rng;

/// Initial back-off, in milliseconds; it doubles with each consecutive failure.
const INITIAL_BACKOFF_MS: Ms = 200.0;
/// Maximum back-off, in milliseconds.
const MAX_BACKOFF_MS: Ms = 10_000.0;
/// Maximum wait while all control nodes fail, in milliseconds, so that followers soon notice when one recovers.
const MAX_WAIT_MS: Ms = 2_000.0;
/// Maximum count of consecutive failures; the back-off has reached its maximum by then.
const MAX_COUNTED_FAILURES: u32 = 16;

/// A configured control node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlNode {
    /// Its listen address, as `ip:port`.
    pub address: String,
    /// Its zone, if known.
    pub zone: Option<String>,
}

/// The index of a control node in the list passed to [`ControlChoice::new`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ControlNumber(pub usize);

/// The list of control nodes is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a follower needs at least one control node")]
pub struct NoControlNodes;

/// The next step of a follower without a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectDecision {
    /// Connect to this control node now.
    Connect(ControlNumber),
    /// All control nodes are in back-off; wait until this time, in milliseconds.
    WaitUntil(Ms),
}

#[derive(Clone, Debug)]
struct Candidate {
    number: ControlNumber,
    failures: u32,
    not_before: Ms,
}

/// Ranks control nodes for one follower: those of its own zone first, then by a hash over the follower's name and the
/// control node's address (rendezvous hashing). Followers are thus distributed evenly, and when a control node fails,
/// its followers are distributed evenly over the others.
#[derive(Clone, Debug)]
pub struct ControlChoice {
    /// The best first.
    candidates: Vec<Candidate>,
}

impl ControlChoice {
    /// Ranks `controls` for the follower `node` in `zone`.
    ///
    /// # Errors
    /// [`NoControlNodes`] if the list is empty.
    pub fn new(node: &str, zone: Option<&str>, controls: &[ControlNode]) -> Result<Self, NoControlNodes> {
        if controls.is_empty() {
            return Err(NoControlNodes);
        }
        let rank = |number: &usize| {
            let control = &controls[*number];
            let is_same_zone = zone.is_some() && control.zone.as_deref() == zone;
            let score = stable_hash(&[node.as_bytes(), control.address.as_bytes()]);
            (!is_same_zone, std::cmp::Reverse(score))
        };
        let mut numbers: Vec<usize> = (0..controls.len()).collect();
        numbers.sort_by_key(rank);
        let candidate =
            |number| Candidate { number: ControlNumber(number), failures: 0, not_before: Ms::MIN };
        Ok(ControlChoice { candidates: numbers.into_iter().map(candidate).collect() })
    }

    /// The highest-ranked control node that may be tried at `now`, or the time to wait for one.
    pub fn next(&self, now: Ms) -> ConnectDecision {
        if let Some(best) = self.candidates.iter().find(|candidate| candidate.not_before <= now) {
            return ConnectDecision::Connect(best.number);
        }
        let earliest = self.candidates.iter().map(|candidate| candidate.not_before).fold(Ms::MAX, Ms::min);
        ConnectDecision::WaitUntil(earliest)
    }

    /// Reports that a control node couldn't be reached, timed out, or closed the connection. It isn't tried again for a
    /// random part of a back-off that doubles with each failure.
    pub fn failed(&mut self, number: ControlNumber, now: Ms, rng: &mut impl Rng) {
        let Some(candidate) = self.candidate(number) else { return };
        let span = INITIAL_BACKOFF_MS * 2f64.powi(candidate.failures as i32);
        candidate.not_before = now + rng.random_range(0.0..=span.min(MAX_BACKOFF_MS));
        candidate.failures = (candidate.failures + 1).min(MAX_COUNTED_FAILURES);
        self.cap_wait(now, rng);
    }

    /// Reports that a control node was busy. It isn't tried again for `retry_after` milliseconds plus a random delay of
    /// up to as long again, so that followers don't all reconnect at once.
    pub fn busy(&mut self, number: ControlNumber, retry_after: Ms, now: Ms, rng: &mut impl Rng) {
        let Some(candidate) = self.candidate(number) else { return };
        let span = retry_after.clamp(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
        candidate.not_before = now + span + rng.random_range(0.0..=span);
    }

    /// Reports that a control node serves this follower, which resets its failure count.
    pub fn succeeded(&mut self, number: ControlNumber) {
        if let Some(candidate) = self.candidate(number) {
            candidate.failures = 0;
        }
    }

    /// Whether this control node is ranked highest.
    pub fn is_first_choice(&self, number: ControlNumber) -> bool {
        self.candidates.first().is_some_and(|first| first.number == number)
    }

    /// Clears the back-off of the control nodes ranked above this one.
    pub fn clear_backoff_above(&mut self, number: ControlNumber) {
        let preferred = self.candidates.iter_mut().take_while(|candidate| candidate.number != number);
        preferred.for_each(|candidate| candidate.not_before = Ms::MIN);
    }

    /// If every back-off exceeds the maximum wait, shortens the earliest one among the control nodes that failed.
    fn cap_wait(&mut self, now: Ms, rng: &mut impl Rng) {
        let latest = now + MAX_WAIT_MS;
        if self.candidates.iter().any(|candidate| candidate.not_before <= latest) {
            return;
        }
        let failed = self.candidates.iter_mut().filter(|candidate| candidate.failures > 0);
        if let Some(first) = failed.min_by(|one, other| one.not_before.total_cmp(&other.not_before)) {
            first.not_before = now + rng.random_range(0.0..=MAX_WAIT_MS);
        }
    }

    fn candidate(&mut self, number: ControlNumber) -> Option<&mut Candidate> {
        self.candidates.iter_mut().find(|candidate| candidate.number == number)
    }
}
