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
mod tests {
    use super::*;

    fn case(purpose: Purpose) -> Case {
        Case { purpose, asked: 10, cap: 100, idle: 0, frees_in: None, waited: 0.0 }
    }

    #[test]
    fn every_purpose_is_answered_as_its_line_says() {
        for purpose in Purpose::all() {
            let fresh = decide(&case(purpose));
            let idle = decide(&Case { idle: 4, ..case(purpose) });
            let worn = decide(&Case { waited: SLOWED_MS, ..case(purpose) });
            let refused =
                |decision| matches!(decision, Decision::Refuse { retry_after: Some(span) } if span > 0.0);
            match purpose.terms().at_cap {
                Answer::Refuse => assert!(refused(fresh) && refused(idle) && refused(worn), "{purpose:?}"),
                Answer::Evict => {
                    assert_eq!(idle, Decision::Evict { bytes: 4 }, "{purpose:?}");
                    assert!(refused(fresh), "nothing that is owed gives way: {purpose:?}");
                }
                Answer::Slow => {
                    assert_eq!(fresh, Decision::Wait { at_most: SLOWED_MS });
                    assert!(refused(worn), "nobody is held up for ever: {purpose:?}");
                }
            }
        }
    }

    #[test]
    fn what_can_never_fit_is_told_so() {
        for purpose in Purpose::all() {
            let huge = Case { asked: 101, idle: 100, ..case(purpose) };
            assert_eq!(decide(&huge), Decision::Refuse { retry_after: None });
        }
    }

    /// Guards clients against advice that is of no use: records that are kept for an hour make no room in a
    /// second.
    #[test]
    fn advice_follows_what_is_known() {
        let advice = |purpose, frees_in| match decide(&Case { frees_in, ..case(purpose) }) {
            Decision::Refuse { retry_after: Some(span) } => span,
            other => panic!("{other:?}"),
        };
        assert_eq!(advice(Purpose::DeferredFinal, Some(1_200_000.0)), 1_200_000.0);
        assert_eq!(advice(Purpose::DeferredFinal, Some(3.0)), LEAST_ADVICE_MS);
        assert_eq!(advice(Purpose::Keys, Some(1e12)), MOST_ADVICE_MS);
        assert_eq!(advice(Purpose::Calls, None), SOON_MS);
        assert_eq!(advice(Purpose::Catalog, None), OPERATOR_MS);
    }
}
