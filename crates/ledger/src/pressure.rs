//! Decides what to do when an account is full: applies the rule that the table of [`Purpose`]s gives for the
//! purpose.
use crate::purpose::{CapPolicy, Purpose};
use crate::Ms;

/// Longest time for which reading from a sender is paused; after that its connection is closed.
const MAX_READ_PAUSE_MS: Ms = 1000.0;
/// Retry advice where memory is usually released soon: calls end within seconds.
const SHORT_RETRY_MS: Ms = 100.0;
/// Bounds of the retry advice where the time of the next release is known.
const MIN_RETRY_MS: Ms = 1000.0;
const MAX_RETRY_MS: Ms = 3_600_000.0;
/// Retry advice where only an operator can make room.
const OPERATOR_RETRY_MS: Ms = 60_000.0;

/// A reservation that did not fit.
#[derive(Clone, Copy, Debug)]
pub struct FullAccount {
    /// Purpose of the reservation.
    pub purpose: Purpose,
    /// Bytes asked for.
    pub asked: usize,
    /// Cap of the account, in bytes.
    pub cap: usize,
    /// Bytes held there that nothing needs and that may be evicted.
    pub idle: usize,
    /// Time until memory is released, if known, in milliseconds.
    pub frees_in: Option<Ms>,
    /// How long reading from the sender has been paused already, in milliseconds.
    pub waited: Ms,
}

/// What to do about a full account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Evict at least this many idle bytes, least recently used first, then try again.
    Evict {
        /// Bytes to evict.
        bytes: usize,
    },
    /// Stop reading from the sender until there is room, at most for this long; then decide again.
    Wait {
        /// Longest wait, in milliseconds.
        at_most: Ms,
    },
    /// Refuse the work.
    Refuse {
        /// Suggested delay before a retry, in milliseconds; `None` if a retry cannot succeed.
        retry_after: Option<Ms>,
    },
}

/// Decides what to do about a reservation that did not fit.
pub fn decide_at_cap(case: &FullAccount) -> Decision {
    // A reservation that can never fit is not worth waiting or evicting for.
    if case.asked > case.cap {
        return Decision::Refuse { retry_after: None };
    }
    match case.purpose.settings().at_cap {
        CapPolicy::Evict if case.idle > 0 => Decision::Evict { bytes: case.asked.min(case.idle) },
        CapPolicy::PauseReading if case.waited < MAX_READ_PAUSE_MS => {
            Decision::Wait { at_most: MAX_READ_PAUSE_MS - case.waited }
        }
        _ => Decision::Refuse { retry_after: Some(retry_after(case)) },
    }
}

fn retry_after(case: &FullAccount) -> Ms {
    match (case.purpose, case.frees_in) {
        (Purpose::Catalog | Purpose::Roster, None) => OPERATOR_RETRY_MS,
        (_, Some(span)) => span.clamp(MIN_RETRY_MS, MAX_RETRY_MS),
        (_, None) => SHORT_RETRY_MS,
    }
}

#[cfg(test)]
mod tests;
