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
