//! What a full account leads to. The table of [`Purpose`]s says which of three ways a purpose takes; here it
//! is applied to the case at hand.
use crate::purpose::{Answer, Purpose};
use crate::Ms;

/// The longest for which whoever sends is read no further; after that its connection ends.
const SLOWED_MS: Ms = 1000.0;
/// Advice where what is held goes by itself soon: calls end within seconds.
const SOON_MS: Ms = 100.0;
/// The least and the most advice where it is known when something is given back.
const LEAST_ADVICE_MS: Ms = 1000.0;
const MOST_ADVICE_MS: Ms = 3_600_000.0;
/// Advice where only an operator makes room.
const OPERATOR_MS: Ms = 60_000.0;

/// A case in which something did not fit.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// What it was wanted for.
    pub purpose: Purpose,
    /// Bytes that were asked for.
    pub asked: usize,
    /// What the account may hold in all, in bytes.
    pub cap: usize,
    /// Bytes that are held there and owed to nobody.
    pub idle: usize,
    /// How long until something is given back, where that is known, in milliseconds.
    pub frees_in: Option<Ms>,
    /// For how long whoever sends has been held up already, in milliseconds.
    pub waited: Ms,
}

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// At least so many idle bytes give way, the longest unused first; then it is tried again.
    Evict {
        /// How many, in bytes.
        bytes: usize,
    },
    /// Read no further until there is room, for so long at most; then decide again.
    Wait {
        /// How long, in milliseconds.
        at_most: Ms,
    },
    /// Turned away.
    Refuse {
        /// Advice when to come again, in milliseconds; `None` where coming again is of no use.
        retry_after: Option<Ms>,
    },
}

/// Decides a case.
pub fn decide(case: &Case) -> Decision {
    // What could never fit is not worth waiting for, nor throwing others out.
    if case.asked > case.cap {
        return Decision::Refuse { retry_after: None };
    }
    match case.purpose.terms().at_cap {
        Answer::Evict if case.idle > 0 => Decision::Evict { bytes: case.asked.min(case.idle) },
        Answer::Slow if case.waited < SLOWED_MS => Decision::Wait { at_most: SLOWED_MS - case.waited },
        _ => Decision::Refuse { retry_after: Some(advice(case)) },
    }
}

fn advice(case: &Case) -> Ms {
    match (case.purpose, case.frees_in) {
        (Purpose::Catalog | Purpose::Roster, None) => OPERATOR_MS,
        (_, Some(span)) => span.clamp(LEAST_ADVICE_MS, MOST_ADVICE_MS),
        (_, None) => SOON_MS,
    }
}

#[cfg(test)]
mod tests;
