//! Returns a follower to the control node that it prefers, so that followers are distributed evenly again after a
//! failure.
use super::{Follower, FollowerState};
use crate::{ChangeOrder, ControlNumber, FeedRecord, Ms};
use rand::Rng;

/// A return is planned after a random delay of 1 to this many times the base delay.
const MAX_DELAY_FACTOR: f64 = 3.0;
/// Maximum number of times that unsuccessful returns double the base delay.
const MAX_DOUBLINGS: u32 = 4;
/// Delay of a return while batches are in flight, in milliseconds.
const IN_FLIGHT_DELAY_MS: Ms = 1_000.0;

/// When a follower returns to a preferred control node, and how many returns were unsuccessful.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct PlannedReturn {
    at: Option<Ms>,
    failed_returns: u32,
}

impl PlannedReturn {
    /// The earlier of the planned return and another time.
    pub fn earlier_of(&self, other: Ms) -> Ms {
        self.at.map_or(other, |at| at.min(other))
    }

    /// Cancels the planned return; a new one is planned once the follower follows again.
    pub fn cancel(&mut self) {
        self.at = None;
    }
}

impl<R: FeedRecord, O: ChangeOrder<R>> Follower<R, O> {
    /// Plans a return if the control node being followed is not the first choice.
    pub(super) fn plan_return(&mut self, now: Ms, rng: &mut impl Rng) {
        let FollowerState::Following { control } = self.state else { return };
        if self.choice.is_first_choice(control) {
            self.planned_return = PlannedReturn::default();
        } else if self.planned_return.at.is_none() {
            let delay = self.limits.return_ms * 2f64.powi(self.planned_return.failed_returns as i32);
            self.planned_return.at = Some(now + rng.random_range(delay..=MAX_DELAY_FACTOR * delay));
        }
    }

    /// Disconnects from a working control node to try the preferred ones. If none of those serves, the back-off leads
    /// back to this one, which doesn't resend what is on disk already.
    pub(super) fn return_to_preferred(&mut self, control: ControlNumber, now: Ms) {
        if !self.in_flight.is_empty() {
            self.planned_return.at = Some(now + IN_FLIGHT_DELAY_MS);
            return;
        }
        self.planned_return.failed_returns = (self.planned_return.failed_returns + 1).min(MAX_DOUBLINGS);
        self.choice.clear_backoff_above(control);
        self.disconnect_and_reconnect(now);
    }
}
