use super::*;

const DRAIN: Terms = Terms { let_go: 700.0, refuse: 1600.0, gone: Some((4000.0, 2000.0)) };
const END: Terms = Terms { let_go: 700.0, refuse: 700.0, gone: None };

#[test]
fn a_drain_proceeds_in_steps_and_can_be_undone() {
    let mut duty = Duty::default();
    assert_eq!((duty.leaving(), duty.lets_go(1e9), duty.refuses(1e9)), (None, false, false));
    duty.leave(Leave::Drained, 1000.0, DRAIN);
    assert_eq!((duty.lets_go(1699.0), duty.lets_go(1700.0)), (false, true));
    assert_eq!((duty.refuses(2599.0), duty.refuses(2600.0)), (false, true));
    duty.leave(Leave::Drained, 3000.0, DRAIN);
    assert!(duty.refuses(3000.0), "a second call does not restart the schedule");
    assert!(duty.come_back() && duty.come_back());
    assert_eq!((duty.leaving(), duty.refuses(1e9)), (None, false));
}

/// Guards the rule on draining the invoker: at the `gone` time, a remaining connection has only old requests.
#[test]
fn only_old_requests_are_waited_for_at_the_gone_time() {
    let mut duty = Duty::default();
    duty.leave(Leave::Drained, 0.0, DRAIN);
    assert!(!duty.ends(3599.0, 3500.0), "there is time");
    assert!(duty.ends(3600.0, 1801.0));
    assert!(!duty.ends(3600.0, 1800.0), "more than 2 s old when it counts");
    // Requests accepted before refusals start are never ended by this rule.
    assert!(!duty.ends(9000.0, 1600.0) && !duty.refuses(1599.0));
}

#[test]
fn shutdown_overrides_a_drain_and_cannot_be_undone() {
    let mut duty = Duty::default();
    duty.leave(Leave::Drained, 0.0, DRAIN);
    duty.leave(Leave::Ending, 100.0, END);
    assert_eq!(duty.leaving(), Some(Leave::Ending));
    duty.leave(Leave::Drained, 200.0, DRAIN);
    assert!(!duty.come_back());
    assert!(duty.refuses(800.0) && !duty.ends(1e9, 1e9));
}
