use super::*;

/// Guards the usual clients against those that connect and say nothing, or ask once and stay: these
/// give way first, and nobody who is owed an answer does.
#[test]
fn the_silent_give_way_first_then_the_longest_idle_and_the_busy_never() {
    let mut seats = Seats::default();
    let idle = seats.sit("idle", 1.0);
    let fresh = seats.sit("fresh", 2.0);
    let busy = seats.sit("busy", 0.0);
    seats.sit("silent", 5.0);
    seats.sit("silent longer", 4.0);
    for (number, now) in [(idle, 3.0), (fresh, 6.0)] {
        seats.opened(number);
        assert_eq!(seats.stance(number).0, Stance::Busy);
        seats.answered(number, now);
        seats.closed(number, now);
        assert_eq!(seats.stance(number), (Stance::Idle, now));
    }
    seats.opened(busy);
    let ways: Vec<_> = std::iter::from_fn(|| seats.give_way()).collect();
    assert_eq!(ways, ["silent longer", "silent", "idle", "fresh"]);
    seats.closed(busy, 9.0);
    assert_eq!(seats.stance(busy), (Stance::Silent, 9.0), "what it took back was never answered");
    assert_eq!(seats.give_way(), Some("busy"));
    seats.leave(busy);
    assert_eq!(seats.give_way(), None);
}

/// Guards a drain: all are let go, newcomers too; each is told once, and while something is owed on it not at all.
#[test]
fn all_are_let_go_and_told_once_nothing_is_owed() {
    let mut seats = Seats::default();
    let first = seats.sit("first", 1.0);
    assert!(!seats.is_let_go(first));
    assert_eq!((seats.let_go(), seats.is_let_go(first), seats.is_told(first)), (vec!["first"], true, true));
    let second = seats.sit("second", 2.0);
    seats.opened(second);
    assert_eq!((seats.let_go(), seats.is_let_go(second), seats.is_told(second)), (vec![], true, false));
    seats.closed(second, 3.0);
    assert_eq!(seats.let_go(), ["second"]);
    assert!(seats.let_go().is_empty());
}

/// Guards a connection that passes to a successor: it is passed or closed, never both, and by one alone.
#[test]
fn what_is_busy_is_passed_on_or_told_to_go() {
    let mut seats = Seats::default();
    let [idle, busy, late] = ["idle", "busy", "late"].map(|name| seats.sit(name, 1.0));
    [busy, late].into_iter().for_each(|number| seats.opened(number));
    assert!(!seats.pass(busy), "nobody leaves yet");
    assert_eq!(seats.let_go(), ["idle"]);
    assert!(!seats.pass(idle) && seats.pass(busy) && !seats.pass(busy));
    seats.closed(busy, 2.0);
    assert_eq!((seats.let_go(), seats.give_way()), (vec![], Some("idle")));
    seats.closed(late, 3.0);
    assert_eq!(seats.let_go(), ["late"], "nothing is owed on it any more");
    assert!(!seats.pass(late));
}
