use super::*;

#[test]
fn each_reason_has_its_own_position_and_name() {
    let decided = EndReason::ALL.map(Unserved::Decided);
    let names: Vec<_> = Unserved::names().collect();
    for reason in decided.into_iter().chain(Unserved::OUTSIDE_DISPATCHER) {
        assert_eq!(names[reason.position()], reason.name());
        assert_eq!(names.iter().filter(|name| **name == reason.name()).count(), 1);
    }
}

#[test]
fn lines_over_the_limit_are_counted_and_reported_in_the_next_second() {
    let budget = LogLineLimit::default();
    let taken = (0..50).filter(|_| budget.allow_at(5000.0).0).count();
    assert_eq!(taken, MAX_LINES_PER_SECOND as usize);
    assert_eq!(budget.allow_at(5999.0), (false, 0));
    assert_eq!(budget.allow_at(6000.0), (true, 31));
    assert_eq!(budget.allow_at(6001.0), (true, 0));
}
