use super::*;

const READY: SlotState = SlotState::Taken { ready: true };
const STARTING: SlotState = SlotState::Taken { ready: false };

#[test]
fn a_successor_is_tracked_from_its_start_to_its_readiness() {
    let mut succession = Succession::new(SlotState::Empty);
    assert_eq!((succession.other(), succession.parts()), (None, 1));
    assert!(!succession.look(SlotState::Empty));
    assert!(succession.look(STARTING));
    assert_eq!((succession.has_ready_successor(), succession.parts()), (false, 2));
    assert!(!succession.look(READY));
    assert!(!succession.has_ready_successor(), "one observation may show the last holder's report");
    succession.look(READY);
    assert!(succession.has_ready_successor());
}

/// Guards the old process if the new one fails to start or dies later: the old one continues as if alone.
#[test]
fn a_successor_that_dies_leaves_its_predecessor_alone() {
    let alone = LeaveSchedule { close_connections_at: 700.0, refuse_requests_at: 700.0, all_closed_by: None };
    let mut succession = Succession::new(SlotState::Empty);
    for seen in [STARTING, READY, READY] {
        succession.look(seen);
    }
    assert_eq!(succession.ending(alone, 2000.0).close_connections_at, 0.0);
    assert!(succession.look(SlotState::Empty));
    assert_eq!((succession.parts(), succession.ending(alone, 2000.0)), (1, alone));
    succession.look(READY);
    assert!(!succession.has_ready_successor(), "the next one is judged afresh");
}

#[test]
fn the_process_that_was_first_is_the_predecessor_until_it_ends() {
    let mut succession = Succession::new(READY);
    for _ in 0..3 {
        succession.look(READY);
        assert_eq!(
            (succession.other(), succession.has_ready_successor()),
            (Some(PeerProcess::Predecessor), false)
        );
    }
    assert!(succession.look(SlotState::Empty));
    succession.look(STARTING);
    assert_eq!(succession.other(), Some(PeerProcess::Successor { ready: false }));
}
