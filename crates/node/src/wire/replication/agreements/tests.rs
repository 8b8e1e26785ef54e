use super::*;

/// Two nodes with equal records must compare only once per pause, whichever of them starts the comparison. Otherwise idle
/// nodes cause needless traffic.
#[test]
fn equal_nodes_pause_and_the_greater_name_waits_longer() {
    let (mut agreements, peer) = (Agreements::default(), "m".into());
    assert!(agreements.is_due("a", "m", 7, 0.0), "never compared");
    agreements.record(&peer, 7, 0.0);
    assert!(!agreements.is_due("a", "m", 7, PAUSE_MS - 1.0));
    assert!(agreements.is_due("a", "m", 7, PAUSE_MS));
    assert!(!agreements.is_due("z", "m", 7, PAUSE_MS));
    assert!(agreements.is_due("z", "m", 7, GREATER_NAME_PAUSE_MS));
}

/// A change after an equal comparison must end the pause, or nodes converge late.
#[test]
fn a_change_ends_the_pause() {
    let (mut agreements, peer) = (Agreements::default(), "m".into());
    agreements.record(&peer, 7, 0.0);
    assert!(agreements.is_due("a", "m", 8, 1.0));
}

#[test]
fn the_number_of_remembered_peers_is_bounded() {
    let mut agreements = Agreements::default();
    for number in 0..3 * MAX_PEERS {
        agreements.record(&number.to_string().into(), 7, 0.0);
        assert!(agreements.by_peer.len() <= MAX_PEERS);
    }
}
