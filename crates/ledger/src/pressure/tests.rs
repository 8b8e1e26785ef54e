use super::*;

fn case(purpose: Purpose) -> FullAccount {
    FullAccount { purpose, asked: 10, cap: 100, idle: 0, frees_in: None, waited: 0.0 }
}

#[test]
fn every_purpose_follows_its_table_entry() {
    for purpose in Purpose::all() {
        let fresh = decide_at_cap(&case(purpose));
        let idle = decide_at_cap(&FullAccount { idle: 4, ..case(purpose) });
        let already_paused = decide_at_cap(&FullAccount { waited: MAX_READ_PAUSE_MS, ..case(purpose) });
        let refused =
            |decision| matches!(decision, Decision::Refuse { retry_after: Some(span) } if span > 0.0);
        match purpose.settings().at_cap {
            CapPolicy::Refuse => {
                assert!(refused(fresh) && refused(idle) && refused(already_paused), "{purpose:?}")
            }
            CapPolicy::Evict => {
                assert_eq!(idle, Decision::Evict { bytes: 4 }, "{purpose:?}");
                assert!(refused(fresh), "nothing in use is evicted: {purpose:?}");
            }
            CapPolicy::PauseReading => {
                assert_eq!(fresh, Decision::Wait { at_most: MAX_READ_PAUSE_MS });
                assert!(refused(already_paused), "reading is not paused forever: {purpose:?}");
            }
        }
    }
}

#[test]
fn a_reservation_over_the_cap_gets_no_retry_advice() {
    for purpose in Purpose::all() {
        let huge = FullAccount { asked: 101, idle: 100, ..case(purpose) };
        assert_eq!(decide_at_cap(&huge), Decision::Refuse { retry_after: None });
    }
}

/// Guards against useless retry advice: if records are kept for an hour, no room is made within a second.
#[test]
fn retry_advice_follows_the_next_known_release() {
    let advice = |purpose, frees_in| match decide_at_cap(&FullAccount { frees_in, ..case(purpose) }) {
        Decision::Refuse { retry_after: Some(span) } => span,
        other => panic!("{other:?}"),
    };
    assert_eq!(advice(Purpose::DeferredFinal, Some(1_200_000.0)), 1_200_000.0);
    assert_eq!(advice(Purpose::DeferredFinal, Some(3.0)), MIN_RETRY_MS);
    assert_eq!(advice(Purpose::Keys, Some(1e12)), MAX_RETRY_MS);
    assert_eq!(advice(Purpose::Calls, None), SHORT_RETRY_MS);
    assert_eq!(advice(Purpose::Catalog, None), OPERATOR_RETRY_MS);
}
