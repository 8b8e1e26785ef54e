use super::*;

const DRAIN: LeaveSchedule = LeaveSchedule {
    close_connections_at: 700.0,
    refuse_requests_at: 1600.0,
    all_closed_by: Some((4000.0, 2000.0)),
};
const END: LeaveSchedule =
    LeaveSchedule { close_connections_at: 700.0, refuse_requests_at: 700.0, all_closed_by: None };

#[test]
fn a_drain_proceeds_in_steps_and_can_be_undone() {
    let mut serving_state = ServingState::default();
    assert_eq!(
        (serving_state.leaving(), serving_state.closes_connections(1e9), serving_state.refuses(1e9)),
        (None, false, false)
    );
    serving_state.leave(Leave::Drained, 1000.0, DRAIN);
    assert_eq!(
        (serving_state.closes_connections(1699.0), serving_state.closes_connections(1700.0)),
        (false, true)
    );
    assert_eq!((serving_state.refuses(2599.0), serving_state.refuses(2600.0)), (false, true));
    serving_state.leave(Leave::Drained, 3000.0, DRAIN);
    assert!(serving_state.refuses(3000.0), "a second call does not restart the schedule");
    assert!(serving_state.come_back() && serving_state.come_back());
    assert_eq!((serving_state.leaving(), serving_state.refuses(1e9)), (None, false));
}

/// Guards the rule on draining the invoker: at the time in `all_closed_by`, a remaining connection has only old requests.
#[test]
fn only_old_requests_are_waited_for_when_all_must_be_closed() {
    let mut serving_state = ServingState::default();
    serving_state.leave(Leave::Drained, 0.0, DRAIN);
    assert!(!serving_state.ends(3599.0, 3500.0), "there is time");
    assert!(serving_state.ends(3600.0, 1801.0));
    assert!(!serving_state.ends(3600.0, 1800.0), "more than 2 s old when it counts");
    // Requests accepted before refusals start are never ended by this rule.
    assert!(!serving_state.ends(9000.0, 1600.0) && !serving_state.refuses(1599.0));
}

#[test]
fn shutdown_overrides_a_drain_and_cannot_be_undone() {
    let mut serving_state = ServingState::default();
    serving_state.leave(Leave::Drained, 0.0, DRAIN);
    serving_state.leave(Leave::Ending, 100.0, END);
    assert_eq!(serving_state.leaving(), Some(Leave::Ending));
    serving_state.leave(Leave::Drained, 200.0, DRAIN);
    assert!(!serving_state.come_back());
    assert!(serving_state.refuses(800.0) && !serving_state.ends(1e9, 1e9));
}
