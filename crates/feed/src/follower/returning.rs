//! Going back to the control node that a follower prefers, so that followers spread evenly again after a failure.
use super::{Follower, FollowerState};
use crate::{ChangeOrder, ControlNumber, FeedRecord, Ms};
use rand::Rng;

/// The longest planned span is so many times the span at random.
const SPREAD: f64 = 3.0;
/// Returns in vain after which the span doubles no more.
const MOST_DOUBLINGS: u32 = 4;
/// How long a return is put off while something is on its way to disk, in milliseconds.
const WRITING_MS: Ms = 1_000.0;

/// When a follower goes back, and how often it has in vain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Return {
    at: Option<Ms>,
    vain: u32,
}

impl Return {
    /// When the return is due, or that time if it comes first.
    pub fn or_before(&self, other: Ms) -> Ms {
        self.at.map_or(other, |at| at.min(other))
    }

    /// Nothing is planned until the follower follows again.
    pub fn put_off(&mut self) {
        self.at = None;
    }
}

impl<R: FeedRecord, O: ChangeOrder<R>> Follower<R, O> {
    /// Plans a return where the control node that is followed is not the first choice.
    pub(super) fn plan_return(&mut self, now: Ms, rng: &mut impl Rng) {
        let FollowerState::Following { control } = self.state else { return };
        if self.choice.is_first(control) {
            self.planned_return = Return::default();
        } else if self.planned_return.at.is_none() {
            let span = self.limits.return_ms * 2f64.powi(self.planned_return.vain as i32);
            self.planned_return.at = Some(now + rng.random_range(span..=SPREAD * span));
        }
    }

    /// Leaves a control node that serves for one that is preferred. Should that one not serve, the back-off leads here
    /// again, and nothing that was kept is sent once more.
    pub(super) fn go_back(&mut self, control: ControlNumber, now: Ms) {
        if !self.in_flight.is_empty() {
            self.planned_return.at = Some(now + WRITING_MS);
            return;
        }
        self.planned_return.vain = (self.planned_return.vain + 1).min(MOST_DOUBLINGS);
        self.choice.retry_before(control);
        self.leave(now);
    }
}
