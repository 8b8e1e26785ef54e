use super::*;

const READY: Seen = Seen::Taken { ready: true };
const STARTING: Seen = Seen::Taken { ready: false };

#[test]
fn a_successor_is_tracked_from_its_start_to_its_readiness() {
    let mut succession = Succession::new(Seen::Empty);
    assert_eq!((succession.other(), succession.parts()), (None, 1));
    assert!(!succession.look(Seen::Empty));
    assert!(succession.look(STARTING));
    assert_eq!((succession.is_succeeded(), succession.parts()), (false, 2));
    assert!(!succession.look(READY));
    assert!(!succession.is_succeeded(), "one observation may show the last holder's report");
    succession.look(READY);
    assert!(succession.is_succeeded());
}

/// Guards the old process if the new one fails to start or dies later: the old one continues as if alone.
#[test]
fn a_successor_that_dies_leaves_its_predecessor_alone() {
    let alone = Terms { let_go: 700.0, refuse: 700.0, gone: None };
    let mut succession = Succession::new(Seen::Empty);
    for seen in [STARTING, READY, READY] {
        succession.look(seen);
    }
    assert_eq!(succession.ending(alone, 2000.0).let_go, 0.0);
    assert!(succession.look(Seen::Empty));
    assert_eq!((succession.parts(), succession.ending(alone, 2000.0)), (1, alone));
    succession.look(READY);
    assert!(!succession.is_succeeded(), "the next one is judged afresh");
}

#[test]
fn the_process_that_was_first_is_the_predecessor_until_it_ends() {
    let mut succession = Succession::new(READY);
    for _ in 0..3 {
        succession.look(READY);
        assert_eq!((succession.other(), succession.is_succeeded()), (Some(Other::Predecessor), false));
    }
    assert!(succession.look(Seen::Empty));
    succession.look(STARTING);
    assert_eq!(succession.other(), Some(Other::Successor { ready: false }));
}
