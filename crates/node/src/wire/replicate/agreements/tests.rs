use super::*;

/// Guards idle meshes against chatter: two nodes that hold the same compare once in a pause, whichever of them asks.
#[test]
fn equal_nodes_pause_and_the_greater_name_waits_longer() {
    let (mut agreements, peer) = (Agreements::default(), "m".into());
    assert!(agreements.is_due("a", "m", 7, 0.0), "never compared");
    agreements.note(&peer, 7, 0.0);
    assert!(!agreements.is_due("a", "m", 7, PAUSE_MS - 1.0));
    assert!(agreements.is_due("a", "m", 7, PAUSE_MS));
    assert!(!agreements.is_due("z", "m", 7, PAUSE_MS));
    assert!(agreements.is_due("z", "m", 7, SECOND_PAUSE_MS));
}

/// Guards convergence: a change since the agreement ends the pause.
#[test]
fn a_change_ends_the_pause() {
    let (mut agreements, peer) = (Agreements::default(), "m".into());
    agreements.note(&peer, 7, 0.0);
    assert!(agreements.is_due("a", "m", 8, 1.0));
}

#[test]
fn ever_new_names_take_no_more_room() {
    let mut agreements = Agreements::default();
    for number in 0..3 * MOST_PEERS {
        agreements.note(&number.to_string().into(), 7, 0.0);
        assert!(agreements.by_peer.len() <= MOST_PEERS);
    }
}
