//! Which control node a follower connects to, and when.
use crate::{stable_hash, Ms};
use rand::Rng;

/// The first span of the back-off, in milliseconds; it doubles with each failure in a row.
const FIRST_BACKOFF_MS: Ms = 200.0;
/// The longest span of the back-off, in milliseconds.
const LONGEST_BACKOFF_MS: Ms = 10_000.0;
/// The longest wait while all control nodes fail, in milliseconds: whichever comes back first, its followers notice soon.
const LONGEST_WAIT_MS: Ms = 2_000.0;
/// Failures in a row that are told apart: by then the span is at its longest.
const MOST_FAILURES: u32 = 16;

/// A control node as it is configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlNode {
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// The zone that it is in, where that is known.
    pub zone: Option<String>,
}

/// The place of a control node in the list that [`ControlChoice::new`] was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ControlNumber(pub usize);

/// There is nobody to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a follower needs at least one control node")]
pub struct NoControlNodes;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Attempt {
    /// Connect to this one now.
    Connect(ControlNumber),
    /// All of them are to be left alone until then.
    WaitUntil(Ms),
}

#[derive(Clone, Debug)]
struct Candidate {
    number: ControlNumber,
    failures: u32,
    not_before: Ms,
}

/// Ranks control nodes for one follower: those of its own zone first, and among these by a hash over both names, so that
/// followers spread evenly, and spread evenly again over the others when one fails.
#[derive(Clone, Debug)]
pub struct ControlChoice {
    /// The best first.
    candidates: Vec<Candidate>,
}

impl ControlChoice {
    /// A choice for the follower `node` in `zone`.
    ///
    /// # Errors
    /// [`NoControlNodes`] where the list is empty.
    pub fn new(node: &str, zone: Option<&str>, controls: &[ControlNode]) -> Result<Self, NoControlNodes> {
        if controls.is_empty() {
            return Err(NoControlNodes);
        }
        let rank = |number: &usize| {
            let control = &controls[*number];
            let is_near = zone.is_some() && control.zone.as_deref() == zone;
            let score = stable_hash(&[node.as_bytes(), control.address.as_bytes()]);
            (!is_near, std::cmp::Reverse(score))
        };
        let mut numbers: Vec<usize> = (0..controls.len()).collect();
        numbers.sort_by_key(rank);
        let candidate =
            |number| Candidate { number: ControlNumber(number), failures: 0, not_before: Ms::MIN };
        Ok(ControlChoice { candidates: numbers.into_iter().map(candidate).collect() })
    }

    /// The best control node that may be tried now.
    pub fn next(&self, now: Ms) -> Attempt {
        if let Some(best) = self.candidates.iter().find(|candidate| candidate.not_before <= now) {
            return Attempt::Connect(best.number);
        }
        let soonest = self.candidates.iter().map(|candidate| candidate.not_before).fold(Ms::MAX, Ms::min);
        Attempt::WaitUntil(soonest)
    }

    /// A control node couldn't be reached, fell silent, or closed: it is left alone for a random part of a span that
    /// doubles each time.
    pub fn failed(&mut self, number: ControlNumber, now: Ms, rng: &mut impl Rng) {
        let Some(candidate) = self.candidate(number) else { return };
        let span = FIRST_BACKOFF_MS * 2f64.powi(candidate.failures as i32);
        candidate.not_before = now + rng.random_range(0.0..=span.min(LONGEST_BACKOFF_MS));
        candidate.failures = (candidate.failures + 1).min(MOST_FAILURES);
        self.bound_wait(now, rng);
    }

    /// A control node asked to be left alone for a span: it is, and for up to as long again, so that not all come back at
    /// once.
    pub fn busy(&mut self, number: ControlNumber, retry_after: Ms, now: Ms, rng: &mut impl Rng) {
        let Some(candidate) = self.candidate(number) else { return };
        let span = retry_after.clamp(FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS);
        candidate.not_before = now + span + rng.random_range(0.0..=span);
    }

    /// A control node serves this follower.
    pub fn succeeded(&mut self, number: ControlNumber) {
        if let Some(candidate) = self.candidate(number) {
            candidate.failures = 0;
        }
    }

    /// Whether no other control node ranks before this one.
    pub fn is_first(&self, number: ControlNumber) -> bool {
        self.candidates.first().is_some_and(|first| first.number == number)
    }

    /// Lets those that rank before this one be tried again at once.
    pub fn retry_before(&mut self, number: ControlNumber) {
        let better = self.candidates.iter_mut().take_while(|candidate| candidate.number != number);
        better.for_each(|candidate| candidate.not_before = Ms::MIN);
    }

    /// Where all are left alone for long, moves the one that failed and comes first closer.
    fn bound_wait(&mut self, now: Ms, rng: &mut impl Rng) {
        let longest = now + LONGEST_WAIT_MS;
        if self.candidates.iter().any(|candidate| candidate.not_before <= longest) {
            return;
        }
        let failed = self.candidates.iter_mut().filter(|candidate| candidate.failures > 0);
        if let Some(first) = failed.min_by(|one, other| one.not_before.total_cmp(&other.not_before)) {
            first.not_before = now + rng.random_range(0.0..=LONGEST_WAIT_MS);
        }
    }

    fn candidate(&mut self, number: ControlNumber) -> Option<&mut Candidate> {
        self.candidates.iter_mut().find(|candidate| candidate.number == number)
    }
}
