use super::*;

#[test]
fn each_reason_has_a_place_and_a_name_of_its_own() {
    let decided = EndReason::ALL.map(Unserved::Decided);
    let names: Vec<_> = Unserved::names().collect();
    for reason in decided.into_iter().chain(Unserved::OWN) {
        assert_eq!(names[reason.position()], reason.name());
        assert_eq!(names.iter().filter(|name| **name == reason.name()).count(), 1);
    }
}

#[test]
fn lines_beyond_the_budget_are_counted_and_told_with_the_next_second() {
    let budget = LineBudget::default();
    let taken = (0..50).filter(|_| budget.take_at(5000.0).0).count();
    assert_eq!(taken, LINES_PER_SECOND as usize);
    assert_eq!(budget.take_at(5999.0), (false, 0));
    assert_eq!(budget.take_at(6000.0), (true, 31));
    assert_eq!(budget.take_at(6001.0), (true, 0));
}
